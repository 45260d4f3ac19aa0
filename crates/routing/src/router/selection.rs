//! Selects runners: which ones are free, which one is best, and why there is
//! none.

use corianderfork_model::{Name, Time};
use rand::Rng;
use rand::seq::SliceRandom;

use super::runner::Runner;
use super::service::Service;
use super::vm::Vm;
use super::{RETRY_NO_RUNNER, RETRY_NONE_SERVING, RETRY_SOON, Router, RunnerKey, ServiceKey};
use crate::hash;
use crate::limits::{Backend, Situation};
use crate::outcome::{Reason, Refusal};
use crate::outlier::Admission;

/// The minimum success rate in a cost, so that a runner that always failed has
/// a high but finite cost.
const MIN_SUCCESS_RATE: f64 = 0.05;

impl Router {
    /// Updates the shares of all services. This is not left to the next pick,
    /// because the settle time of a larger share starts when it is computed.
    pub(super) fn update_all_shares(&mut self, now: Time) {
        let services: Vec<ServiceKey> = self.services.keys().collect();
        for service in services {
            self.update_shares(now, service);
        }
    }

    /// Updates the shares of a service if they are outdated.
    pub(super) fn update_shares(&mut self, now: Time, key: ServiceKey) {
        let service = &self.services[key];
        if service.has_current_shares(now) {
            return;
        }
        let (capacity, name) = (service.capacity, service.name.clone());
        let demand = service.demand.reported();
        let members = self.peers.members(now, &name, &self.me, demand);
        let available = self.available(now, key);
        let backend = |runner: &RunnerKey| Backend {
            hash: hash::of(&[self.runners[*runner].vm.as_str(), name.as_str()]),
            slots: capacity.slots,
            connections: capacity.connections,
        };
        let backends: Vec<Backend> = available.iter().map(backend).collect();
        let situation = Situation { me: &self.me, members: &members, backends: &backends };
        let shares = self.policy.divide(&situation);
        let settle_time = self.policy.settle_time();
        for (runner, share) in available.iter().zip(shares) {
            self.runners[*runner].grant.set(now, share, settle_time);
        }
        let until = self.next_change(now, key);
        self.services[key].set_available(available, until);
    }

    /// Returns the available runners of a service that are below this proxy's
    /// share and may be given work.
    pub(super) fn free(&mut self, now: Time, service: ServiceKey) -> Vec<RunnerKey> {
        let settle_time = self.policy.settle_time();
        let mut free = self.services[service].available.clone();
        free.retain(|&key| {
            let runner = &mut self.runners[key];
            let limit = match self.detector.admission(now, key) {
                Admission::Open => runner.grant.get(now, settle_time).slots,
                Admission::Probe => runner.grant.get(now, settle_time).slots.min(1),
                Admission::Ejected(_) => 0,
            };
            runner.busy_until <= now && runner.in_flight < limit
        });
        free
    }

    /// Returns a runner to try beyond the share: the better of two random ones,
    /// because the best one by this proxy's own counts would be the same every
    /// time.
    pub(super) fn borrow(
        &mut self,
        now: Time,
        service: ServiceKey,
        exclude: &[RunnerKey],
    ) -> Option<RunnerKey> {
        let Service { allowance, capacity, available, .. } = &self.services[service];
        if !allowance.has_room(now) {
            return None;
        }
        let total_slots = capacity.slots;
        let mut eligible = available.clone();
        eligible.retain(|key| !exclude.contains(key));
        let settle_time = self.policy.settle_time();
        eligible.retain(|&key| {
            let runner = &mut self.runners[key];
            let share = runner.grant.get(now, settle_time);
            let open = self.detector.admission(now, key) == Admission::Open;
            let below_limit = runner.in_flight < total_slots.min(share.slots + share.borrow);
            open && below_limit && runner.busy_until <= now
        });
        self.best_of(now, eligible, 2)
    }

    /// Returns the runner with the lowest cost among as many as the policy
    /// samples.
    pub(super) fn best(&mut self, now: Time, free: Vec<RunnerKey>) -> Option<RunnerKey> {
        self.best_of(now, free, self.policy.candidates())
    }

    /// Returns the runner with the lowest cost among `sample_size` random ones.
    fn best_of(
        &mut self,
        now: Time,
        mut free: Vec<RunnerKey>,
        sample_size: usize,
    ) -> Option<RunnerKey> {
        // The order breaks ties. If it were the same at every proxy, all of
        // them would start with the same runner.
        free.shuffle(&mut self.rng);
        free.truncate(sample_size);
        let cost = |key: &RunnerKey| self.cost(now, *key);
        free.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn cost(&self, now: Time, key: RunnerKey) -> f64 {
        if self.runners[key].in_flight == 0 && self.detector.needs_retest(now, key) {
            return 0.0;
        }
        let success = self.detector.success_rate(now, key).max(MIN_SUCCESS_RATE);
        let load = f64::from(self.runners[key].in_flight + 1);
        load / (success * success)
    }

    /// Returns why no runner of a service could be picked.
    pub(super) fn refusal(&self, now: Time, service: ServiceKey, exclude: &[RunnerKey]) -> Refusal {
        let available = &self.services[service].available;
        let ejected = |key: &RunnerKey| match self.detector.admission(now, *key) {
            Admission::Ejected(until) => Some(until),
            _ => None,
        };
        let tried = |key: &RunnerKey| exclude.contains(key) || ejected(key).is_some();
        let (retry_after, reason) = if !self.has_listed_runners(service) {
            (RETRY_NO_RUNNER, Reason::NoRunner)
        } else if available.is_empty() {
            (RETRY_NONE_SERVING, Reason::NoneServing)
        } else if available.iter().all(tried) {
            let first_readmission = available.iter().filter_map(ejected).min();
            (
                first_readmission.map_or(RETRY_SOON, |until| (until - now).max(RETRY_SOON)),
                Reason::NoneHealthy,
            )
        } else {
            (RETRY_SOON, Reason::Busy)
        };
        Refusal { retry_after, reason }
    }

    /// Returns a random fraction of a busy pause.
    pub(super) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.0)
    }

    /// Returns the runners of a service that are known to take work, ordered by
    /// VM.
    fn available(&self, now: Time, service: ServiceKey) -> Vec<RunnerKey> {
        let admits = |vm: &Name| self.vms.get(vm).is_some_and(Vm::admits);
        let accepts = |runner: &Runner| runner.warm && runner.leaves_until() <= now;
        let listed = self.services[service].listed.iter();
        let available = listed.filter(|(vm, key)| admits(vm) && accepts(&self.runners[*key]));
        available.map(|(_, key)| *key).collect()
    }

    fn has_listed_runners(&self, service: ServiceKey) -> bool {
        !self.services[service].listed.is_empty()
    }

    /// Returns when the shares change without any message: a peer becomes
    /// silent, or a runner no longer counts as leaving.
    fn next_change(&self, now: Time, service: ServiceKey) -> Time {
        let listed = self.services[service].listed.iter();
        let leaving = listed.map(|(_, key)| self.runners[*key].leaves_until());
        let leaving = leaving.filter(|until| now < *until);
        let changes = leaving.chain(self.peers.next_silence(now));
        changes.min().unwrap_or(Time::from_millis(u64::MAX))
    }
}
