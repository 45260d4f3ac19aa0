//! Which pools a queue's jobs may lie in, and when a job is known to be in none.
//!
//! A job stays in the pool in which it was accepted when operators send its queue
//! to another one. The list of these pools is a record in the store: what one
//! process remembers of earlier configurations is lost with it, and a daemon that
//! starts later would take accepted jobs for unknown. Pure: [`Placement`] says
//! where new jobs go, [`Search`] where to look for one and what may be concluded.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The prefix of queues' records; the name follows.
pub const QUEUES: &str = "entry/queue/";

/// The key of a queue's record.
pub fn queue_key(queue: &str) -> String {
    format!("{QUEUES}{queue}")
}

/// The pools that a queue's jobs may lie in, as the store keeps them. A pool is
/// added by the write that accepts the first job there, and none is removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Places {
    /// The version of the configuration that named the first pool.
    pub version: u64,
    /// The pools, the newest first.
    pub pools: Vec<String>,
}

/// What is known of a queue's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Entry {
    /// There is none: nothing was accepted yet.
    #[default]
    Missing,
    /// It can be read.
    Whole {
        /// Its revision.
        revision: u64,
        /// What it says.
        places: Places,
    },
    /// Another writer laid something else there, or removed it (revision 0): the
    /// pools aren't known.
    Damaged {
        /// Its revision.
        revision: u64,
    },
}

impl Entry {
    /// Reads a record.
    ///
    /// ```
    /// use corianderfork_entry::placement::Entry;
    ///
    /// assert_eq!(Entry::read(b"\xff{", 7), Entry::Damaged { revision: 7 });
    /// ```
    pub fn read(value: &[u8], revision: u64) -> Self {
        match serde_json::from_slice::<Places>(value) {
            Ok(places) if !places.pools.is_empty() => Self::Whole { revision, places },
            _ => Self::Damaged { revision },
        }
    }

    /// The revision that a write expects; 0 if there is no record.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Missing => 0,
            Self::Whole { revision, .. } | Self::Damaged { revision } => *revision,
        }
    }

    /// The pools that it names.
    pub fn pools(&self) -> &[String] {
        match self {
            Self::Whole { places, .. } => &places.pools,
            Self::Missing | Self::Damaged { .. } => &[],
        }
    }
}

/// Where a configuration sends a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    /// The configuration's version.
    pub version: u64,
    /// The pool.
    pub pool: String,
}

/// Where a queue's new jobs go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The revision that the queue's record must still have.
    pub revision: u64,
    /// The pool.
    pub pool: String,
    /// The other pools in which a job may lie that is handed in again.
    pub earlier: Vec<String>,
    /// What the record is to say from now on, if something else than it does.
    pub change: Option<Places>,
}

impl Placement {
    /// Places jobs by what is known of the record. `all` are the pools that have
    /// an owner: where the record is damaged, each may hold some of the queue's jobs.
    ///
    /// A gateway whose configuration is older than the record's doesn't send the
    /// queue back: it follows the record. Otherwise two gateways, of which one
    /// hasn't heard of the newest configuration yet, would move the queue to and
    /// fro.
    ///
    /// ```
    /// use corianderfork_entry::placement::{Entry, Placement, Way};
    ///
    /// let way = Way { version: 1, pool: "alpha".to_owned() };
    /// let first = Placement::new(&Entry::Missing, &way, []);
    /// assert_eq!((first.revision, first.pool.as_str()), (0, "alpha"));
    /// assert!(first.change.is_some());
    /// ```
    pub fn new<'a>(entry: &'a Entry, way: &Way, all: impl IntoIterator<Item = &'a str>) -> Self {
        let revision = entry.revision();
        let before: Vec<&str> = match entry {
            Entry::Whole { places, .. }
                if places.pools[0] == way.pool || places.version >= way.version =>
            {
                let (first, earlier) = (places.pools[0].clone(), places.pools[1..].to_vec());
                return Self { revision, pool: first, earlier, change: None };
            }
            Entry::Whole { places, .. } => places.pools.iter().map(String::as_str).collect(),
            Entry::Damaged { .. } => all.into_iter().collect(),
            Entry::Missing => Vec::new(),
        };
        let earlier = before.into_iter().filter(|pool| *pool != way.pool);
        let earlier: Vec<String> = earlier.map(str::to_owned).collect();
        let pools = std::iter::once(&way.pool).chain(&earlier).cloned().collect();
        let change = Some(Places { version: way.version, pools });
        Self { revision, pool: way.pool.clone(), earlier, change }
    }
}

/// What a [`Search`] asks for or concludes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Look in this pool.
    Pool(String),
    /// Read the queue's record from the store.
    Record,
    /// The job is in no pool.
    Absent,
    /// It isn't known whether there is such a job.
    Unclear,
}

/// Looks for a job in the pools of its queue.
///
/// What a daemon knows of the record may be older than the job. So before the
/// search ends without a finding the record is read: a pool is in it before a job
/// is in the pool. Without that, a caller whose job was just accepted by another
/// entry VM, in the queue's new pool, is told that there is no such job.
///
/// ```
/// use corianderfork_entry::placement::{Entry, Search, Step};
///
/// let mut search = Search::new(Entry::Missing, "alpha");
/// assert_eq!(search.next(), Step::Pool("alpha".to_owned()));
/// search.absent();
/// assert_eq!(search.next(), Step::Record);
/// search.learn(Entry::Missing);
/// assert_eq!(search.next(), Step::Absent);
/// ```
#[derive(Clone, Debug)]
pub struct Search {
    known: Entry,
    searched: Vec<String>,
    left: VecDeque<String>,
    is_read: bool,
    is_unclear: bool,
}

impl Search {
    /// Looks in the pools of a record, as it is known so far, and in the pool to
    /// which the queue is sent now.
    pub fn new(known: Entry, pool: &str) -> Self {
        let mut search = Self {
            known: Entry::Missing,
            searched: Vec::new(),
            left: VecDeque::new(),
            is_read: false,
            is_unclear: false,
        };
        search.add(known.pools());
        search.add(&[pool.to_owned()]);
        search.known = known;
        search
    }

    fn add(&mut self, pools: &[String]) {
        for pool in pools {
            if !self.searched.contains(pool) && !self.left.contains(pool) {
                self.left.push_back(pool.clone());
            }
        }
    }

    /// What to do next, or what is concluded.
    pub fn next(&self) -> Step {
        match self.left.front() {
            Some(pool) => Step::Pool(pool.clone()),
            None if !self.is_read => Step::Record,
            None if self.is_unclear => Step::Unclear,
            None => Step::Absent,
        }
    }

    /// The job isn't in the pool that [`Search::next`] named.
    pub fn absent(&mut self) {
        self.searched.extend(self.left.pop_front());
    }

    /// Whether the job is in the pool that [`Search::next`] named isn't known, or
    /// the record could not be read from the store.
    pub fn unclear(&mut self) {
        self.is_unclear = true;
        if self.left.is_empty() {
            self.is_read = true;
        }
        self.absent();
    }

    /// Takes the record in, as it was just read from the store.
    pub fn learn(&mut self, entry: Entry) {
        self.is_read = true;
        // One that was there is never removed by a daemon.
        let is_removed = entry == Entry::Missing && self.known != Entry::Missing;
        self.is_unclear |= is_removed || matches!(entry, Entry::Damaged { .. });
        self.add(entry.pools());
    }
}
