//! Until when the former holders of a duty may grant leases on its workers.
//!
//! Pure: the former holders go in, and what is learned of each one. The time at which all
//! of them would give up by themselves bounds the wait; a former holder that has ended, or
//! that has given way, ends it earlier.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_jobs::worker;
use corianderfork_model::Time;

use crate::duty::{Former, Table};

/// Until when leases that were granted may hold, by worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// On any worker.
    pub until: Time,
    /// By a worker's life, where that is later.
    pub by_worker: BTreeMap<String, Time>,
}

/// What is known of a former holder's grants.
#[derive(Clone, Debug)]
enum Grants {
    /// It may go on granting.
    Open,
    /// It grants nothing more, and what it granted ends by then.
    Until(Time),
    /// What it granted, and what holders before it did, ends by then.
    ByWorker(BTreeMap<String, Time>),
}

/// The former holders of one duty, newest first.
#[derive(Debug)]
pub struct Tracker {
    rows: Vec<(Former, Grants)>,
    /// Whether no former holder is missing.
    is_complete: bool,
    /// How long a lease that was just granted may hold.
    lease: Duration,
}

impl Tracker {
    /// The former holders `formers`, newest first, whose leases are `lease` long. One
    /// without a name has handed the duty over. Unless the list `is_complete`, nothing that
    /// is learned ends the wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use corianderfork_entry::duty::Former;
    /// use corianderfork_entry::predecessor::Tracker;
    /// use corianderfork_model::Time;
    ///
    /// let former = Former { name: "e0".to_owned(), boot: 1, peers: None };
    /// let now = Time::from_millis(1_000);
    /// let mut tracker = Tracker::new(now, vec![former.clone()], true, Duration::from_secs(4));
    /// assert!(tracker.limit().is_none(), "it may go on granting");
    /// tracker.end(now, &former);
    /// assert_eq!(tracker.limit().unwrap().until, Time::from_millis(5_120));
    /// ```
    pub fn new(now: Time, formers: Vec<Former>, is_complete: bool, lease: Duration) -> Self {
        let lease = worker::max_lease_duration(lease);
        let grants = |former: &Former| {
            if former.name.is_empty() { Grants::Until(now + lease) } else { Grants::Open }
        };
        let rows = formers.into_iter().map(|former| (former.clone(), grants(&former))).collect();
        Self { rows, is_complete, lease }
    }

    /// Former holders that may have more to tell of their grants.
    pub fn to_ask(&self) -> Vec<Former> {
        let is_open = |row: &&(Former, Grants)| match row {
            (_, Grants::Open) => true,
            (former, Grants::Until(_)) => former.name.is_empty(),
            (_, Grants::ByWorker(_)) => false,
        };
        self.rows.iter().filter(is_open).map(|(former, _)| former.clone()).collect()
    }

    /// Learns at `now` that a former holder has ended.
    pub fn end(&mut self, now: Time, former: &Former) {
        let until = now + self.lease;
        let row = self.rows.iter_mut().find(|(known, _)| known.is_same(former));
        if let Some((_, grants @ Grants::Open)) = row {
            *grants = Grants::Until(until);
        }
    }

    /// Learns which former holders have started anew by now.
    pub fn observe(&mut self, now: Time, table: &Table) {
        for former in self.to_ask() {
            if table.has_restarted(&former.name, former.boot) {
                self.end(now, &former);
            }
        }
    }

    /// Learns from a former holder that gave way how many milliseconds each worker's grants
    /// hold at most. These cover what holders before it granted.
    pub fn learn(&mut self, now: Time, former: &Former, left_ms: &BTreeMap<String, u64>) {
        let position = self.rows.iter().position(|(known, _)| known.is_same(former));
        let Some(at) = position else { return };
        let until = |(id, left): (&String, &u64)| (id.clone(), now + Duration::from_millis(*left));
        self.rows.truncate(at + 1);
        self.rows[at].1 = Grants::ByWorker(left_ms.iter().map(until).collect());
    }

    /// Until when grants hold, once that is known of all former holders.
    pub fn limit(&self) -> Option<Limit> {
        // Only the oldest row can cover holders that aren't listed.
        let is_covered = matches!(self.rows.last(), Some((_, Grants::ByWorker(_))));
        if !self.is_complete && !is_covered {
            return None;
        }
        let mut limit = Limit { until: Time::ZERO, by_worker: BTreeMap::new() };
        for (_, grants) in &self.rows {
            match grants {
                Grants::Open => return None,
                Grants::Until(until) => limit.until = limit.until.max(*until),
                Grants::ByWorker(grants) => {
                    for (id, until) in grants {
                        let known = limit.by_worker.entry(id.clone()).or_default();
                        *known = (*known).max(*until);
                    }
                }
            }
        }
        Some(limit)
    }
}
