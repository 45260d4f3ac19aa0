//! The write that accepts jobs, in the pools that their queues are in.
//!
//! Pure: [`Admission`] builds the write and reads its conflicts. A job is accepted
//! only if it is in no pool of its queue and the queue's record is as it is known:
//! all in one write. Were the earlier pools read before the write, a gateway whose
//! configuration is older, or a write that is carried out late, could accept the
//! job there in between, and it would run twice.

use std::collections::BTreeMap;

use corianderfork_adapter::store::{Item, MAX_ROWS, Txn};

use crate::duty::Table;
use crate::lookup::{job_key, run_key};
use crate::placement::{Entry, Placement, Way, queue_key};

/// Rows of one job in its pool: two conditions and a value.
const JOB_ROWS: usize = 3;
/// Rows of one job for each earlier pool: two conditions.
const EARLIER_ROWS: usize = 2;
/// Rows of one queue whose record changes: a condition and a value.
const QUEUE_ROWS: usize = 2;
/// Earlier pools that the write of a single job has room for.
const MOST_EARLIER: usize = (MAX_ROWS - QUEUE_ROWS - JOB_ROWS) / EARLIER_ROWS;

/// A job that is handed in.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Its queue.
    pub queue: String,
    /// Where the queue is sent, as far as the gateway knows.
    pub way: Way,
    /// Its id.
    pub id: String,
    /// The record of its acceptance.
    pub value: Vec<u8>,
}

/// Jobs that go together in one write.
///
/// ```
/// use corianderfork_entry::admission::{Admission, Offer};
/// use corianderfork_entry::duty::Table;
/// use corianderfork_entry::placement::Way;
///
/// let way = Way { version: 1, pool: "alpha".to_owned() };
/// let id = "0123456789abcdef".to_owned();
/// let offer = Offer { queue: "q".to_owned(), way, id, value: b"{}".to_vec() };
/// let admission = Admission::new([&offer], &Table::default());
/// let txn = admission.txn([&offer]);
/// assert!(txn.expect.contains(&("entry/queue/q".to_owned(), 0)));
/// assert!(txn.expect.contains(&("job/alpha/0123456789abcdef".to_owned(), 0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Admission {
    queues: BTreeMap<String, (Way, Placement)>,
    count: usize,
    rows: usize,
}

impl Admission {
    /// Takes as many of `offers` as fit one write, from the first one on. `table`
    /// has the queues' records as they are known.
    pub fn new<'a>(offers: impl IntoIterator<Item = &'a Offer>, table: &Table) -> Self {
        let mut admission = Self::default();
        for offer in offers {
            if !admission.take(offer, table) {
                break;
            }
        }
        admission
    }

    fn take(&mut self, offer: &Offer, table: &Table) -> bool {
        if let Some((way, placement)) = self.queues.get(&offer.queue) {
            let rows = self.rows + job_rows(placement);
            // Two configurations would have the record say two things.
            if rows > MAX_ROWS || *way != offer.way {
                return false;
            }
            self.rows = rows;
        } else {
            let entry = table.queues.get(&offer.queue).unwrap_or(&Entry::Missing);
            let placement = Placement::new(entry, &offer.way, table.owned());
            let queue_rows = if placement.change.is_some() { QUEUE_ROWS } else { 1 };
            let rows = self.rows + job_rows(&placement) + queue_rows;
            if rows > MAX_ROWS {
                return false;
            }
            self.rows = rows;
            self.queues.insert(offer.queue.clone(), (offer.way.clone(), placement));
        }
        self.count += 1;
        true
    }

    /// How many of the jobs fit.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// The write, for those of the jobs taken that are still to be stored.
    pub fn txn<'a>(&self, offers: impl IntoIterator<Item = &'a Offer>) -> Txn {
        let mut txn = Txn::default();
        for (queue, (_, placement)) in &self.queues {
            txn.expect.push((queue_key(queue), placement.revision));
            if let Some(places) = &placement.change {
                let value = serde_json::to_vec(places).unwrap_or_default();
                txn.set.push((queue_key(queue), value, 0));
            }
        }
        for offer in offers {
            let Some((_, placement)) = self.queues.get(&offer.queue) else { continue };
            let earlier = placement.earlier.iter().take(MOST_EARLIER);
            for pool in std::iter::once(&placement.pool).chain(earlier) {
                txn.expect.push((job_key(pool, &offer.id), 0));
                txn.expect.push((run_key(pool, &offer.id), 0));
            }
            txn.set.push((job_key(&placement.pool, &offer.id), offer.value.clone(), 0));
        }
        txn
    }

    /// The pool in which a job is accepted.
    pub fn pool<'a>(&'a self, offer: &'a Offer) -> &'a str {
        self.queues.get(&offer.queue).map_or(&offer.way.pool, |(_, placement)| &placement.pool)
    }

    /// Earlier pools for which the write has no room: they are read before it.
    /// Nothing is accepted there meanwhile, since that would change the queue's
    /// record, of which the write expects that it is as it was before the reads.
    pub fn unchecked(&self, offer: &Offer) -> &[String] {
        let earlier = self.queues.get(&offer.queue).map(|(_, placement)| &placement.earlier);
        earlier.and_then(|earlier| earlier.get(MOST_EARLIER..)).unwrap_or_default()
    }

    /// Whether a conflict says that a job was accepted before.
    pub fn is_stored(&self, offer: &Offer, items: &[Item]) -> bool {
        let Some((_, placement)) = self.queues.get(&offer.queue) else { return false };
        std::iter::once(&placement.pool).chain(&placement.earlier).any(|pool| {
            let keys = [job_key(pool, &offer.id), run_key(pool, &offer.id)];
            items.iter().any(|item| keys.contains(&item.key))
        })
    }

    /// The queues' records that a conflict shows to be others than was known.
    pub fn seen(&self, items: &[Item]) -> Vec<(String, Entry)> {
        let seen = self.queues.iter().filter_map(|(queue, (_, placement))| {
            let item = items.iter().find(|item| item.key == queue_key(queue));
            let entry = match item {
                Some(item) => Entry::read(&item.value, item.revision),
                // It was there: another writer removed it.
                None => Entry::Damaged { revision: 0 },
            };
            (entry.revision() != placement.revision).then(|| (queue.clone(), entry))
        });
        seen.collect()
    }

    /// The queues' records that the write changed, at its revision.
    pub fn written(&self, revision: u64) -> Vec<(String, Entry)> {
        let changed = self.queues.iter().filter_map(|(queue, (_, placement))| {
            let places = placement.change.clone()?;
            Some((queue.clone(), Entry::Whole { revision, places }))
        });
        changed.collect()
    }
}

fn job_rows(placement: &Placement) -> usize {
    JOB_ROWS + EARLIER_ROWS * placement.earlier.len().min(MOST_EARLIER)
}
