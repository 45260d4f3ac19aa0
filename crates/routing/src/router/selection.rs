//! Which runners are free, which one is best, and why there is none.

use corianderfork_model::{Name, Time};
use rand::Rng;
use rand::seq::SliceRandom;

use super::runner::Runner;
use super::service::Service;
use super::vm::Vm;
use super::{RETRY_NO_RUNNER, RETRY_NONE_SERVING, RETRY_SOON, Router, RunnerKey, ServiceKey};
use crate::hash;
use crate::limits::{Seat, Situation};
use crate::outcome::{Reason, Refusal};
use crate::outlier::Admission;

/// The least success rate in a cost: a runner that always failed has a high
/// cost, not an infinite one.
const LEAST_SUCCESS: f64 = 0.05;

impl Router {
    /// Makes the shares of all services those of the present situation. Not
    /// left to the next pick, since a larger share rests from the moment it is
    /// computed.
    pub(super) fn divide_all(&mut self, now: Time) {
        let services: Vec<ServiceKey> = self.services.keys().collect();
        for service in services {
            self.divide(now, service);
        }
    }

    /// Makes the shares of a service those of the present situation.
    pub(super) fn divide(&mut self, now: Time, key: ServiceKey) {
        let service = &self.services[key];
        if service.is_divided(now) {
            return;
        }
        let (capacity, name) = (service.capacity, service.name.clone());
        let demand = service.demand.reported();
        let members = self.peers.members(now, &name, &self.me, demand);
        let seated = self.seated(now, key);
        let seat = |runner: &RunnerKey| Seat {
            hash: hash::of(&[self.runners[*runner].vm.as_str(), name.as_str()]),
            slots: capacity.slots,
            connections: capacity.connections,
        };
        let seats: Vec<Seat> = seated.iter().map(seat).collect();
        let situation = Situation { me: &self.me, members: &members, seats: &seats };
        let shares = self.policy.divide(&situation);
        let settle = self.policy.settle();
        for (runner, share) in seated.iter().zip(shares) {
            self.runners[*runner].grant.set(now, share, settle);
        }
        let until = self.next_change(now, key);
        self.services[key].divided(seated, until);
    }

    /// The divided runners of a service that are below this proxy's share and
    /// may be given work.
    pub(super) fn free(&mut self, now: Time, service: ServiceKey) -> Vec<RunnerKey> {
        let settle = self.policy.settle();
        let mut free = self.services[service].seated.clone();
        free.retain(|&key| {
            let runner = &mut self.runners[key];
            let most = match self.detector.admission(now, key) {
                Admission::Open => runner.grant.get(now, settle).slots,
                Admission::Probe => runner.grant.get(now, settle).slots.min(1),
                Admission::Ejected(_) => 0,
            };
            runner.busy_until <= now && runner.in_flight < most
        });
        free
    }

    /// A runner to try beyond the share: the better of two, since the best one
    /// by own counts would be the same again and again.
    pub(super) fn borrow(
        &mut self,
        now: Time,
        service: ServiceKey,
        exclude: &[RunnerKey],
    ) -> Option<RunnerKey> {
        let Service { allowance, capacity, seated, .. } = &self.services[service];
        if !allowance.has_room(now) {
            return None;
        }
        let most = capacity.slots;
        let mut fitting = seated.clone();
        fitting.retain(|key| !exclude.contains(key));
        let settle = self.policy.settle();
        fitting.retain(|&key| {
            let runner = &mut self.runners[key];
            let share = runner.grant.get(now, settle);
            let open = self.detector.admission(now, key) == Admission::Open;
            let room = runner.in_flight < most.min(share.slots + share.borrow);
            open && room && runner.busy_until <= now
        });
        self.best_of(now, fitting, 2)
    }

    /// The runner of the least cost among as many as the policy looks at.
    pub(super) fn best(&mut self, now: Time, free: Vec<RunnerKey>) -> Option<RunnerKey> {
        self.best_of(now, free, self.policy.candidates())
    }

    /// The runner of the least cost among `most` that are drawn at random.
    fn best_of(&mut self, now: Time, mut free: Vec<RunnerKey>, most: usize) -> Option<RunnerKey> {
        // The order decides between equals: were it the same at every proxy,
        // they would all begin with the same runner.
        free.shuffle(&mut self.rng);
        free.truncate(most);
        let cost = |key: &RunnerKey| self.cost(now, *key);
        free.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn cost(&self, now: Time, key: RunnerKey) -> f64 {
        if self.runners[key].in_flight == 0 && self.detector.is_to_retest(now, key) {
            return 0.0;
        }
        let success = self.detector.success(now, key).max(LEAST_SUCCESS);
        let load = f64::from(self.runners[key].in_flight + 1);
        load / (success * success)
    }

    /// Why no runner of a service could be picked.
    pub(super) fn refusal(&self, now: Time, service: ServiceKey, exclude: &[RunnerKey]) -> Refusal {
        let seated = &self.services[service].seated;
        let ejected = |key: &RunnerKey| match self.detector.admission(now, *key) {
            Admission::Ejected(until) => Some(until),
            _ => None,
        };
        let tried = |key: &RunnerKey| exclude.contains(key) || ejected(key).is_some();
        let (retry_after, reason) = if !self.is_listed(service) {
            (RETRY_NO_RUNNER, Reason::NoRunner)
        } else if seated.is_empty() {
            (RETRY_NONE_SERVING, Reason::NoneServing)
        } else if seated.iter().all(tried) {
            let back = seated.iter().filter_map(ejected).min();
            (back.map_or(RETRY_SOON, |until| (until - now).max(RETRY_SOON)), Reason::NoneHealthy)
        } else {
            (RETRY_SOON, Reason::Busy)
        };
        Refusal { retry_after, reason }
    }

    /// A part of a rest, drawn at random.
    pub(super) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.0)
    }

    /// The runners of a service that take work as far as is known, by VM.
    fn seated(&self, now: Time, service: ServiceKey) -> Vec<RunnerKey> {
        let admits = |vm: &Name| self.vms.get(vm).is_some_and(Vm::admits);
        let takes = |runner: &Runner| runner.warm && runner.leaves_until() <= now;
        let listed = self.services[service].listed.iter();
        let seated = listed.filter(|(vm, key)| admits(vm) && takes(&self.runners[*key]));
        seated.map(|(_, key)| *key).collect()
    }

    fn is_listed(&self, service: ServiceKey) -> bool {
        !self.services[service].listed.is_empty()
    }

    /// When the division changes though nothing is heard: a peer falls silent,
    /// or a runner no longer counts as leaving.
    fn next_change(&self, now: Time, service: ServiceKey) -> Time {
        let listed = self.services[service].listed.iter();
        let leaving = listed.map(|(_, key)| self.runners[*key].leaves_until());
        let leaving = leaving.filter(|until| now < *until);
        let changes = leaving.chain(self.peers.next_silence(now));
        changes.min().unwrap_or(Time::from_millis(u64::MAX))
    }
}
