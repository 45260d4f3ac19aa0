//! A service as this proxy sees it.

use std::collections::BTreeSet;

use corianderfork_model::{Name, Time};

use super::RunnerKey;
use super::demand::Demand;
use crate::limits::{Allowance, Share};
use crate::outcome::{Attempt, Rejection};

/// A service with its demand and the state of its shares.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) name: Name,
    pub(super) demand: Demand,
    pub(super) capacity: Share,
    pub(super) allowance: Allowance,
    /// The runners that the newest records list, by VM. Stored here in addition
    /// to the VMs' own lists: if a division searched the whole fleet for the
    /// few runners of one service, each change of a record would cost as much
    /// as all records together.
    pub(super) listed: BTreeSet<(Name, RunnerKey)>,
    /// The runners whose slots are divided among the proxies, by VM.
    pub(super) available: Vec<RunnerKey>,
    /// When the shares become outdated; `None` if a message has arrived since
    /// they were computed.
    shares_valid_until: Option<Time>,
}

impl Service {
    pub(super) fn new(name: Name, capacity: Share) -> Self {
        Self {
            name,
            demand: Demand::default(),
            capacity,
            allowance: Allowance::default(),
            listed: BTreeSet::new(),
            available: Vec::new(),
            shares_valid_until: None,
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: Share) {
        self.capacity = capacity;
        self.invalidate_shares();
    }

    pub(super) fn report_demand(&mut self, now: Time) -> u32 {
        let before = self.demand.reported();
        let demand = self.demand.report(now);
        if demand != before {
            self.invalidate_shares();
        }
        demand
    }

    pub(super) fn release_borrowed(&mut self, now: Time, result: Attempt) {
        let accepted = match result {
            Attempt::Rejected(Rejection::Busy) => Some(false),
            Attempt::Answered => Some(true),
            _ => None,
        };
        let max = self.capacity.slots * self.available.len() as u32;
        self.allowance.release(now, accepted, max);
    }

    pub(super) fn invalidate_shares(&mut self) {
        self.shares_valid_until = None;
    }

    /// Records that the slots of `available` were divided, with shares that are
    /// valid until `until`.
    pub(super) fn set_available(&mut self, available: Vec<RunnerKey>, until: Time) {
        self.available = available;
        self.shares_valid_until = Some(until);
    }

    pub(super) fn has_current_shares(&self, now: Time) -> bool {
        self.shares_valid_until.is_some_and(|until| now < until)
    }
}
