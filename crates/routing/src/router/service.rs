//! One service as this proxy sees it.

use std::collections::BTreeSet;

use corianderfork_model::{Name, Time};

use super::RunnerKey;
use super::demand::Demand;
use crate::limits::{Allowance, Share};
use crate::outcome::{Attempt, Rejection};

/// A service with its demand and the state of its division.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) name: Name,
    pub(super) demand: Demand,
    pub(super) capacity: Share,
    pub(super) allowance: Allowance,
    /// The runners that the newest records list, by VM. Kept beside the VMs'
    /// own lists: a division that had to look through the whole fleet for the
    /// few runners of one service made each change of a record cost as much as
    /// all records together.
    pub(super) listed: BTreeSet<(Name, RunnerKey)>,
    /// The runners among which every proxy divides, by VM.
    pub(super) seated: Vec<RunnerKey>,
    /// Until when the shares are those of the present situation; `None` if
    /// something was heard since they were computed.
    divided_until: Option<Time>,
}

impl Service {
    pub(super) fn new(name: Name, capacity: Share) -> Self {
        Self {
            name,
            demand: Demand::default(),
            capacity,
            allowance: Allowance::default(),
            listed: BTreeSet::new(),
            seated: Vec::new(),
            divided_until: None,
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: Share) {
        self.capacity = capacity;
        self.divide_again();
    }

    pub(super) fn report_demand(&mut self, now: Time) -> u32 {
        let before = self.demand.reported();
        let demand = self.demand.report(now);
        if demand != before {
            self.divide_again();
        }
        demand
    }

    /// Gives a borrowed slot back.
    pub(super) fn give_back(&mut self, now: Time, result: Attempt) {
        let taken = match result {
            Attempt::Rejected(Rejection::Busy) => Some(false),
            Attempt::Answered => Some(true),
            _ => None,
        };
        let most = self.capacity.slots * self.seated.len() as u32;
        self.allowance.give_back(now, taken, most);
    }

    pub(super) fn divide_again(&mut self) {
        self.divided_until = None;
    }

    /// Notes that `seated` were divided, which holds until `until`.
    pub(super) fn divided(&mut self, seated: Vec<RunnerKey>, until: Time) {
        self.seated = seated;
        self.divided_until = Some(until);
    }

    pub(super) fn is_divided(&self, now: Time) -> bool {
        self.divided_until.is_some_and(|until| now < until)
    }
}
