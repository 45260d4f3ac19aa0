//! Queries for drains and metrics.

use corianderfork_model::{Name, Time};

use super::{Router, RunnerKey};
use crate::limits::Share;

impl Router {
    /// Returns the number of this proxy's requests in flight on a VM, including
    /// those at runners that are no longer listed.
    pub fn in_flight(&self, vm: &Name) -> u32 {
        self.vms.get(vm).map_or(0, |vm| vm.in_flight)
    }

    /// Whether this proxy may acknowledge the drain `epoch` of `vm`: it knows
    /// of the drain, so it sends no new work, and it has no requests in flight
    /// there.
    pub fn is_drained(&self, vm: &Name, epoch: u64) -> bool {
        let is_known = self.vms.get(vm).is_some_and(|vm| vm.is_drained(epoch));
        is_known && self.in_flight(vm) == 0
    }

    /// Returns this proxy's current share of a runner.
    pub fn share(&mut self, now: Time, runner: RunnerKey) -> Share {
        let Some(service) = self.runners.get(runner).map(|r| r.service) else {
            return Share::default();
        };
        self.update_shares(now, service);
        let settle_time = self.policy.settle_time();
        self.runners.get_mut(runner).map_or_else(Share::default, |r| r.grant.get(now, settle_time))
    }

    /// Returns the listed runners of `service`, ordered by VM.
    pub fn runners(&self, service: &Name) -> Vec<RunnerKey> {
        let Some(service) = self.service_names.get(service) else { return Vec::new() };
        self.services[*service].listed.iter().map(|(_, key)| *key).collect()
    }
}
