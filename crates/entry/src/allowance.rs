//! What one owner knows of the divisions of limits, and the transfers that it makes.
//!
//! [`Book`] does no I/O: it says which parts the pool may use, prepares the transfers to write and
//! takes their outcomes.

use std::collections::{BTreeMap, HashMap};

use corianderfork_jobs::allowance::{Demand, Division, gift, held_back};
use serde::{Deserialize, Serialize};

/// The most pools that are asked for parts of one limit at once.
const MAX_GIVERS: usize = 3;

/// A pool's shortage of one organisation's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The organisation.
    pub organisation: String,
    /// What the pool uses and wants.
    pub demand: Demand,
}

/// The division of an organisation's limit at a revision of its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The organisation.
    pub organisation: String,
    /// The revision of the record; as part of a transfer, the revision that it expects.
    pub revision: u64,
    /// The division.
    pub division: Division,
}

#[derive(Clone, Debug, Default)]
struct Account {
    revision: u64,
    division: Division,
    /// Parts that are being given away: not used any more, and perhaps not written yet.
    giving: u32,
}

/// The divisions of all limits that the owner of a pool knows.
///
/// ```
/// use corianderfork_entry::allowance::{Book, Request};
/// use corianderfork_jobs::allowance::{Demand, Division};
///
/// let mut book = Book::new("a");
/// book.apply("club", 3, Division::equal(["a", "b"]));
/// assert_eq!(book.part("club"), 5_000);
/// let demand = Demand { wanted: 6_000, ..Demand::default() };
/// let requests = [Request { organisation: "club".to_owned(), demand }];
/// let transfer = book.prepare("b", &requests, |_| Demand::default());
/// // The part is lowered before that is written.
/// assert_eq!(book.part("club"), 4_000);
/// book.settle(&transfer, Some(4));
/// assert_eq!(book.part("club"), 4_000);
/// ```
#[derive(Clone, Debug)]
pub struct Book {
    pool: String,
    accounts: HashMap<String, Account>,
    /// The number of rounds of requests so far.
    rounds: usize,
    /// Whether each round asks the pool with the largest part.
    asks_largest: bool,
}

impl Book {
    /// Returns the book of the owner of `pool`.
    pub fn new(pool: &str) -> Self {
        Self { pool: pool.to_owned(), accounts: HashMap::new(), rounds: 0, asks_largest: false }
    }

    /// Sets whether each round of requests asks the pool with the largest part: what that one holds
    /// back lies idle until the next request.
    #[must_use]
    pub fn asks_largest(mut self, is_on: bool) -> Self {
        self.asks_largest = is_on;
        self
    }

    /// Returns whether an organisation's division is known.
    pub fn contains(&self, organisation: &str) -> bool {
        self.accounts.contains_key(organisation)
    }

    /// Returns the parts of a limit that the pool may use.
    pub fn part(&self, organisation: &str) -> u32 {
        let part =
            |account: &Account| account.division.part(&self.pool).saturating_sub(account.giving);
        self.accounts.get(organisation).map_or(0, part)
    }

    /// Returns the sum of the pool's parts of all limits.
    pub fn total(&self) -> u64 {
        self.accounts.values().map(|account| u64::from(account.division.part(&self.pool))).sum()
    }

    /// Takes a division if it is newer than the known one and valid.
    ///
    /// The pool's part in it can be relied on: only its own owner lowers it.
    pub fn apply(&mut self, organisation: &str, revision: u64, division: Division) {
        if !division.is_whole() {
            return;
        }
        let account = self.accounts.entry(organisation.to_owned()).or_default();
        if revision > account.revision {
            account.revision = revision;
            account.division = division;
        }
    }

    /// Returns the requests for parts of the limits that tasks wait for, by the pool that is asked.
    /// Few pools are asked at once, and all of them in turn: those with the largest parts may need
    /// all of them.
    pub fn requests(&mut self, shortages: &[Request]) -> BTreeMap<String, Vec<Request>> {
        let mut requests: BTreeMap<String, Vec<Request>> = BTreeMap::new();
        for shortage in shortages {
            let Some(account) = self.accounts.get(&shortage.organisation) else { continue };
            let pools = account.division.pools();
            let mut others: Vec<(&str, u32)> =
                pools.filter(|(pool, part)| *pool != self.pool && *part > 0).collect();
            others.sort_by_key(|(_, part)| std::cmp::Reverse(*part));
            let fixed = usize::from(self.asks_largest && others.len() > MAX_GIVERS);
            let others_in_turn = others.get_mut(fixed..).unwrap_or_default();
            let asked = self.rounds * (MAX_GIVERS - fixed);
            others_in_turn.rotate_left(asked.checked_rem(others_in_turn.len()).unwrap_or(0));
            for (giver, _) in others.into_iter().take(MAX_GIVERS) {
                requests.entry(giver.to_owned()).or_default().push(shortage.clone());
            }
        }
        self.rounds = self.rounds.wrapping_add(1);
        requests
    }

    /// Returns the known divisions of the limits that were asked for.
    pub fn records(&self, requests: &[Request]) -> Vec<Record> {
        let record = |request: &Request| {
            let account = self.accounts.get(&request.organisation)?;
            Some(Record {
                organisation: request.organisation.clone(),
                revision: account.revision,
                division: account.division.clone(),
            })
        };
        requests.iter().filter_map(record).collect()
    }

    /// Lowers the pool's parts by what it gives to `taker`, and returns the records to write.
    pub fn prepare(
        &mut self,
        taker: &str,
        requests: &[Request],
        own_demand: impl Fn(&str) -> Demand,
    ) -> Vec<Record> {
        let mut records = Vec::new();
        for Request { organisation, demand } in requests {
            let Some(account) = self.accounts.get_mut(organisation) else { continue };
            if account.giving > 0 {
                continue;
            }
            let division = &account.division;
            let own = own_demand(organisation);
            let parts = gift(division, (&self.pool, &own), (taker, demand));
            if let Some(division) =
                division.transfer(&self.pool, taker, parts).filter(|_| parts > 0)
            {
                account.giving = parts;
                let (organisation, revision) = (organisation.clone(), account.revision);
                records.push(Record { organisation, revision, division });
            }
        }
        records
    }

    /// Returns the parts to hold back for `taker`, by organisation.
    pub fn held_back(
        &self,
        taker: &str,
        requests: &[Request],
        own_demand: impl Fn(&str) -> Demand,
    ) -> Vec<(String, u32)> {
        let parts = |request: &Request| {
            let account = self.accounts.get(&request.organisation)?;
            let own = own_demand(&request.organisation);
            let giver = (self.pool.as_str(), &own);
            let parts = held_back(&account.division, giver, (taker, &request.demand));
            (parts > 0).then(|| (request.organisation.clone(), parts))
        };
        requests.iter().filter_map(parts).collect()
    }

    /// Ends a transfer: it was written at a revision, or certainly not and never will be. In the
    /// latter case the records that conflicted have to be applied before the parts are used.
    pub fn settle(&mut self, transfer: &[Record], written: Option<u64>) {
        for Record { organisation, division, .. } in transfer {
            if let Some(account) = self.accounts.get_mut(organisation) {
                account.giving = 0;
            }
            if let Some(revision) = written {
                self.apply(organisation, revision, division.clone());
            }
        }
    }
}
