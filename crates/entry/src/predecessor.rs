//! Tracks until when the former holders of a duty may grant leases on its workers.
//!
//! This module does no I/O. The wait for former holders is bounded by the time after which all of
//! them stop by themselves; it ends earlier once each is known to have ended or to have retired in
//! favour of a successor.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_jobs::lease;
use corianderfork_model::Time;

use crate::duty::{FormerHolder, Table};

/// Until when granted leases may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// For any worker.
    pub until: Time,
    /// By worker instance, for those whose leases may hold longer.
    pub by_worker: BTreeMap<String, Time>,
}

/// What is known of a former holder's grants.
#[derive(Clone, Debug)]
enum Grants {
    /// It may still be granting.
    Open,
    /// It grants nothing more, and its grants expire by then.
    Until(Time),
    /// Its grants and those of holders before it expire by then, by worker instance.
    ByWorker(BTreeMap<String, Time>),
}

/// The former holders of one duty, newest first.
#[derive(Debug)]
pub struct Tracker {
    holders: Vec<(FormerHolder, Grants)>,
    /// Whether the list names every former holder.
    is_complete: bool,
    /// The longest time for which a lease may hold whose order was sent just now.
    lease: Duration,
}

impl Tracker {
    /// Tracks the former holders `former_holders`, newest first, whose orders may give leases of up to
    /// `lease`: a worker may have taken them in another instance than was meant. One
    /// without a name has handed the duty over. If the list isn't complete, the grants of
    /// the unlisted holders are only known once the oldest listed one has reported them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use corianderfork_entry::duty::FormerHolder;
    /// use corianderfork_entry::predecessor::Tracker;
    /// use corianderfork_model::Time;
    ///
    /// let former = FormerHolder { name: "e0".to_owned(), boot: 1, peers: None };
    /// let now = Time::from_millis(1_000);
    /// let mut tracker = Tracker::new(now, vec![former.clone()], true, Duration::from_secs(4));
    /// assert!(tracker.limit().is_none(), "it may still be granting");
    /// tracker.mark_ended(now, &former);
    /// assert_eq!(tracker.limit().unwrap().until, Time::from_millis(5_120));
    /// ```
    pub fn new(
        now: Time,
        former_holders: Vec<FormerHolder>,
        is_complete: bool,
        lease: Duration,
    ) -> Self {
        let lease = lease::max_duration(lease);
        let grants = |former: &FormerHolder| {
            if former.name.is_empty() { Grants::Until(now + lease) } else { Grants::Open }
        };
        let holders =
            former_holders.into_iter().map(|former| (former.clone(), grants(&former))).collect();
        Self { holders, is_complete, lease }
    }

    /// Returns the former holders that may have more to report on their grants.
    pub fn to_query(&self) -> Vec<FormerHolder> {
        let is_open = |holder: &&(FormerHolder, Grants)| match holder {
            (_, Grants::Open) => true,
            (former, Grants::Until(_)) => former.name.is_empty(),
            (_, Grants::ByWorker(_)) => false,
        };
        self.holders.iter().filter(is_open).map(|(former, _)| former.clone()).collect()
    }

    /// Returns the names of the former holders that may still be granting.
    pub fn pending(&self) -> Vec<String> {
        let is_open = |(_, grants): &&(FormerHolder, Grants)| matches!(grants, Grants::Open);
        self.holders.iter().filter(is_open).map(|(former, _)| former.name.clone()).collect()
    }

    /// Records that a former holder is known at `now` to have ended.
    pub fn mark_ended(&mut self, now: Time, former: &FormerHolder) {
        let until = now + self.lease;
        let holder = self.holders.iter_mut().find(|(known, _)| known.is_same(former));
        if let Some((_, grants @ Grants::Open)) = holder {
            *grants = Grants::Until(until);
        }
    }

    /// Records which former holders have restarted by `now`.
    pub fn observe(&mut self, now: Time, table: &Table) {
        for former in self.to_query() {
            if table.has_restarted(&former.name, former.boot) {
                self.mark_ended(now, &former);
            }
        }
    }

    /// Records the report of a former holder that has retired: for how many more milliseconds the
    /// grants on each worker hold. They cover those of the holders before it.
    pub fn record_report(
        &mut self,
        now: Time,
        former: &FormerHolder,
        remaining_ms: &BTreeMap<String, u64>,
    ) {
        let position = self.holders.iter().position(|(known, _)| known.is_same(former));
        let Some(position) = position else { return };
        let until = |(id, left): (&String, &u64)| (id.clone(), now + Duration::from_millis(*left));
        self.holders.truncate(position + 1);
        self.holders[position].1 = Grants::ByWorker(remaining_ms.iter().map(until).collect());
    }

    /// Returns until when grants hold, or `None` while any former holder's are unknown.
    pub fn limit(&self) -> Option<Limit> {
        // Only the oldest listed holder can cover holders that aren't listed.
        let is_covered = matches!(self.holders.last(), Some((_, Grants::ByWorker(_))));
        if !self.is_complete && !is_covered {
            return None;
        }
        let mut limit = Limit { until: Time::ZERO, by_worker: BTreeMap::new() };
        for (_, grants) in &self.holders {
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
