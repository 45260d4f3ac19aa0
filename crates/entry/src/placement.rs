//! The pools that may hold a queue's jobs, and when a job is known to be in none.
//!
//! A job stays in the pool in which it was accepted when operators route its queue to
//! another one. The list of these pools is a record in the store: a process loses what it
//! remembers of earlier configurations when it ends, and a daemon that starts later would
//! take accepted jobs for unknown. This module does no I/O: [`Placement`] decides where new
//! jobs go, [`Search`] where to look for a job and what follows.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The key prefix of queues' records; the name follows.
pub const QUEUE_PREFIX: &str = "entry/queue/";

/// Returns the key of a queue's record.
pub fn queue_key(queue: &str) -> String {
    format!("{QUEUE_PREFIX}{queue}")
}

/// The pools that may hold a queue's jobs, as stored. A pool is added by the write that
/// accepts the first job there, and none is removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolList {
    /// The version of the configuration that named the first pool.
    pub version: u64,
    /// The pools, the newest first.
    pub pools: Vec<String>,
}

/// A queue's record, as far as known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum QueueRecord {
    /// There is none: no job was accepted yet.
    #[default]
    Missing,
    /// It could be decoded.
    Valid {
        /// Its revision.
        revision: u64,
        /// Its content.
        pool_list: PoolList,
    },
    /// Another writer overwrote it with something else or removed it (revision 0): the
    /// pools aren't known.
    Damaged {
        /// Its revision.
        revision: u64,
    },
}

impl QueueRecord {
    /// Decodes a record.
    ///
    /// ```
    /// use corianderfork_entry::placement::QueueRecord;
    ///
    /// assert_eq!(QueueRecord::read(b"\xff{", 7), QueueRecord::Damaged { revision: 7 });
    /// ```
    pub fn read(value: &[u8], revision: u64) -> Self {
        match serde_json::from_slice::<PoolList>(value) {
            Ok(pool_list) if !pool_list.pools.is_empty() => Self::Valid { revision, pool_list },
            _ => Self::Damaged { revision },
        }
    }

    /// Returns the revision that a write expects; 0 if there is no record.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Missing => 0,
            Self::Valid { revision, .. } | Self::Damaged { revision } => *revision,
        }
    }

    /// Returns the pools that it names.
    pub fn pools(&self) -> &[String] {
        match self {
            Self::Valid { pool_list, .. } => &pool_list.pools,
            Self::Missing | Self::Damaged { .. } => &[],
        }
    }
}

/// The pool to which a configuration routes a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRoute {
    /// The configuration's version.
    pub version: u64,
    /// The pool.
    pub pool: String,
}

/// The placement of a queue's new jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The revision that the queue's record must still have.
    pub revision: u64,
    /// The pool.
    pub pool: String,
    /// The other pools that may hold a job that is submitted again.
    pub earlier: Vec<String>,
    /// The new content of the record, if it has to change.
    pub change: Option<PoolList>,
}

impl Placement {
    /// Places jobs according to the known record. `owned_pools` are the pools that have an owner:
    /// if the record is damaged, each may hold some of the queue's jobs.
    ///
    /// A gateway whose configuration is older than the record follows the record. Otherwise
    /// two gateways, one of which hasn't received the newest configuration yet, would move
    /// the queue back and forth.
    ///
    /// ```
    /// use corianderfork_entry::placement::{QueueRecord, Placement, QueueRoute};
    ///
    /// let queue_route = QueueRoute { version: 1, pool: "alpha".to_owned() };
    /// let first = Placement::new(&QueueRecord::Missing, &queue_route, []);
    /// assert_eq!((first.revision, first.pool.as_str()), (0, "alpha"));
    /// assert!(first.change.is_some());
    /// ```
    pub fn new<'a>(
        record: &'a QueueRecord,
        queue_route: &QueueRoute,
        owned_pools: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let revision = record.revision();
        let earlier_pools: Vec<&str> = match record {
            QueueRecord::Valid { pool_list, .. }
                if pool_list.pools[0] == queue_route.pool
                    || pool_list.version >= queue_route.version =>
            {
                let (first, earlier) = (pool_list.pools[0].clone(), pool_list.pools[1..].to_vec());
                return Self { revision, pool: first, earlier, change: None };
            }
            QueueRecord::Valid { pool_list, .. } => {
                pool_list.pools.iter().map(String::as_str).collect()
            }
            QueueRecord::Damaged { .. } => owned_pools.into_iter().collect(),
            QueueRecord::Missing => Vec::new(),
        };
        let earlier = earlier_pools.into_iter().filter(|pool| *pool != queue_route.pool);
        let earlier: Vec<String> = earlier.map(str::to_owned).collect();
        let pools = std::iter::once(&queue_route.pool).chain(&earlier).cloned().collect();
        let change = Some(PoolList { version: queue_route.version, pools });
        Self { revision, pool: queue_route.pool.clone(), earlier, change }
    }
}

/// The next step or the result of a [`Search`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Look in this pool.
    Pool(String),
    /// Read the queue's record from the store.
    Record,
    /// The job is in no pool.
    Absent,
    /// It isn't known whether the job exists.
    Unclear,
}

/// Searches for a job in the pools of its queue.
///
/// The record known to this daemon may be older than the job. So before the search concludes that
/// the job is absent, the record is read: a pool is in it before a job is in the pool. Otherwise a
/// caller whose job was just accepted by another entry VM, in the queue's new pool, would get the
/// response that there is no such job.
///
/// ```
/// use corianderfork_entry::placement::{QueueRecord, Search, Step};
///
/// let mut search = Search::new(QueueRecord::Missing, "alpha");
/// assert_eq!(search.next(), Step::Pool("alpha".to_owned()));
/// search.mark_absent();
/// assert_eq!(search.next(), Step::Record);
/// search.set_record(QueueRecord::Missing);
/// assert_eq!(search.next(), Step::Absent);
/// ```
#[derive(Clone, Debug)]
pub struct Search {
    known: QueueRecord,
    searched: Vec<String>,
    remaining_pools: VecDeque<String>,
    is_read: bool,
    is_unclear: bool,
}

impl Search {
    /// Starts a search of the pools of a record as known so far, and of the pool to which the
    /// queue is routed now.
    pub fn new(known: QueueRecord, pool: &str) -> Self {
        let mut search = Self {
            known: QueueRecord::Missing,
            searched: Vec::new(),
            remaining_pools: VecDeque::new(),
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
            if !self.searched.contains(pool) && !self.remaining_pools.contains(pool) {
                self.remaining_pools.push_back(pool.clone());
            }
        }
    }

    /// Returns the next step, or the result.
    pub fn next(&self) -> Step {
        match self.remaining_pools.front() {
            Some(pool) => Step::Pool(pool.clone()),
            None if !self.is_read => Step::Record,
            None if self.is_unclear => Step::Unclear,
            None => Step::Absent,
        }
    }

    /// Records that the job isn't in the pool that [`Search::next`] named.
    pub fn mark_absent(&mut self) {
        self.searched.extend(self.remaining_pools.pop_front());
    }

    /// Records that it isn't known whether the job is in the pool that [`Search::next`]
    /// named, or that the queue's record could not be read.
    pub fn mark_unclear(&mut self) {
        self.is_unclear = true;
        if self.remaining_pools.is_empty() {
            self.is_read = true;
        }
        self.mark_absent();
    }

    /// Records the queue's record as just read from the store.
    pub fn set_record(&mut self, record: QueueRecord) {
        self.is_read = true;
        // No daemon removes an existing record.
        let is_removed = record == QueueRecord::Missing && self.known != QueueRecord::Missing;
        self.is_unclear |= is_removed || matches!(record, QueueRecord::Damaged { .. });
        self.add(record.pools());
    }
}
