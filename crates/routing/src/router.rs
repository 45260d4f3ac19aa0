//! Picks runners for requests and keeps this proxy's own counts.
//!
//! # What a runner needs to be picked
//!
//! It is listed by the newest record of its VM, warm, on a VM that serves, not
//! known to be leaving, not ejected, and below this proxy's share of its slots.
//! Among those, the one with the least own load for its share goes first, with
//! the load divided by the square of its recent success: by load alone, a runner
//! that fails everything at once would look free and draw most of the work.
//!
//! # Drains
//!
//! News of a drain comes on several ways (the record, peers, the backend server
//! itself), in any order and more than once. A VM's state is therefore the
//! maximum of what was heard: the record of the highest revision, and the
//! highest drain epoch. A record admits work only if its epoch is no lower than
//! any drain heard of. A late message can lose against newer ones but never
//! undo them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_model::{Name, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use crate::limits::{Policy, Share};
use crate::outcome::{Attempt, Reason, Refusal, Rejection};
use crate::outlier::Detector;
use crate::view;

mod config;
mod demand;
mod gossip;
mod peers;
mod query;
mod runner;
mod selection;
mod service;
mod ticket;
mod vm;

pub use config::Config;
pub use ticket::Ticket;

use peers::Peers;
use runner::Runner;
use service::Service;
use vm::Vm;

slotmap::new_key_type! {
    /// A runner of a [`Router`]. Never used again for another runner.
    pub struct RunnerKey;
    /// A service of a [`Router`].
    pub struct ServiceKey;
}

/// Slots and connections of a service that nobody declared yet.
const UNDECLARED: Share = Share { slots: 8, connections: 64, borrow: 0 };
/// When to ask again while no runner is listed at all.
const RETRY_NO_RUNNER: Duration = Duration::from_secs(5);
/// When to ask again while runners start or leave.
const RETRY_NONE_SERVING: Duration = Duration::from_secs(2);
/// When to ask again in all other cases.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// A proxy's view of the runners. See the [crate] for an example.
#[derive(Debug)]
pub struct Router {
    me: Name,
    policy: Box<dyn Policy>,
    leaving_hold: Duration,
    hint_timeout: Duration,
    vms: BTreeMap<Name, Vm>,
    services: SlotMap<ServiceKey, Service>,
    service_names: HashMap<Name, ServiceKey>,
    runners: SlotMap<RunnerKey, Runner>,
    peers: Peers,
    detector: Detector,
    rng: SmallRng,
}

impl Router {
    /// A router of the proxy `me` that knows no runner and no peer.
    pub fn new(me: Name, config: Config) -> Self {
        let mut rng = SmallRng::seed_from_u64(config.seed);
        let detector = Detector::new(config.outlier, rng.random());
        Self {
            me,
            policy: config.policy,
            leaving_hold: config.leaving_hold,
            hint_timeout: config.peer_timeout,
            vms: BTreeMap::new(),
            services: SlotMap::with_key(),
            service_names: HashMap::new(),
            runners: SlotMap::with_key(),
            peers: Peers::new(config.peer_timeout),
            detector,
            rng,
        }
    }

    /// Declares how many requests and connections each runner of a service
    /// holds at once.
    pub fn set_service(&mut self, service: &Name, slots: u16, connections: u16) {
        let key = self.service(service);
        let capacity = Share { slots: slots.into(), connections: connections.into(), borrow: 0 };
        self.services[key].set_capacity(capacity);
    }

    /// Applies a VM's record and says whether it was newer than all before. A
    /// runner that it no longer lists gets no new work; its requests in flight
    /// are still counted.
    pub fn apply_record(&mut self, now: Time, record: view::Vm) -> bool {
        let vm = self.vms.entry(record.name.clone()).or_default();
        let new_epoch = record.epoch > vm.epoch();
        if !vm.apply(record.revision, record.epoch, record.serving) {
            return false;
        }
        let before = std::mem::take(&mut vm.runners);
        let mut listed = Vec::with_capacity(record.runners.len());
        for runner in &record.runners {
            let service = self.service(&runner.service);
            let same = |key: &&RunnerKey| self.runners[**key].is_at(service, runner.address);
            let known = before.iter().chain(&listed).find(same).copied();
            let key = known.unwrap_or_else(|| self.add_runner(now, &record.name, runner));
            self.runners[key].warm = runner.warm;
            if new_epoch {
                self.runners[key].forget_leaving();
            }
            if !listed.contains(&key) {
                listed.push(key);
            }
        }
        for key in before.iter().chain(&listed) {
            let service = self.runners[*key].service;
            self.services[service].divide_again();
        }
        for key in before.into_iter().filter(|key| !listed.contains(key)) {
            self.unlist(key);
        }
        self.vms.entry(record.name).or_default().runners = listed;
        self.divide_all(now);
        true
    }

    /// Applies that a VM's record was deleted, as of the store's `revision`.
    pub fn remove_vm(&mut self, now: Time, vm: &Name, revision: u64) -> bool {
        let epoch = self.vms.get(vm).map_or(0, Vm::epoch);
        self.apply_record(now, view::Vm::new(vm.clone(), revision).epoch(epoch))
    }

    /// Notes that a drain of `vm` began, and says whether that was news. Records
    /// of an earlier epoch don't admit work any more, in whichever order they
    /// come; a record of this epoch that serves says that the drain has ended.
    pub fn drain(&mut self, vm: &Name, epoch: u64) -> bool {
        let known = self.vms.entry(vm.clone()).or_default();
        let news = known.drain(epoch);
        for key in known.runners.iter().filter(|_| news) {
            let service = self.runners[*key].service;
            self.services[service].divide_again();
        }
        news
    }

    /// Notes that the backend server itself refused work as leaving, or as not
    /// carrying the service. This is ahead of the records, so it holds until a
    /// newer epoch or another address is recorded, or until the hold time of
    /// [`Config::leaving_hold`] is over.
    pub fn mark_leaving(&mut self, now: Time, runner: RunnerKey) {
        let until = now + self.leaving_hold;
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.leaving_until = until;
            self.services[runner.service].divide_again();
        }
    }

    /// Picks a runner of `service` other than those of `exclude`, which the
    /// request has been tried at.
    ///
    /// # Errors
    ///
    /// Refuses if there is none; the request was not run.
    pub fn pick(
        &mut self,
        now: Time,
        service: &Name,
        exclude: &[RunnerKey],
    ) -> Result<Ticket, Refusal> {
        let Some(&service) = self.service_names.get(service) else {
            return Err(Refusal { retry_after: RETRY_NO_RUNNER, reason: Reason::NoRunner });
        };
        self.divide(now, service);
        let not_tried = |key: &RunnerKey| !exclude.contains(key);
        let free = self.free(now, service).into_iter().filter(not_tried).collect();
        let own = self.best(now, free);
        let borrowed = own.is_none();
        let Some(key) = own.or_else(|| self.borrow(now, service, exclude)) else {
            return Err(self.refusal(now, service, exclude));
        };
        self.detector.picked(now, key);
        if borrowed {
            self.services[service].allowance.take();
        }
        let runner = &mut self.runners[key];
        runner.in_flight += 1;
        if let Some(vm) = self.vms.get_mut(&runner.vm) {
            vm.in_flight += 1;
        }
        let (address, vm) = (runner.address, runner.vm.clone());
        Ok(Ticket { runner: key, address, vm, since: now, borrowed })
    }

    /// Whether [`Router::pick`] would find a runner for a first try.
    pub fn has_room(&mut self, now: Time, service: &Name) -> bool {
        let Some(&service) = self.service_names.get(service) else { return false };
        self.divide(now, service);
        !self.free(now, service).is_empty() || self.borrow(now, service, &[]).is_some()
    }

    /// Takes back a ticket with the result of its try.
    pub fn done(&mut self, now: Time, ticket: Ticket, result: Attempt) {
        let key = ticket.runner;
        let jitter = self.jitter();
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.in_flight -= 1;
        if let Some(vm) = self.vms.get_mut(&runner.vm) {
            vm.in_flight -= 1;
        }
        let service = &mut self.services[runner.service];
        if ticket.borrowed {
            service.give_back(now, result);
        }
        if !result.is_not_run() {
            service.demand.held(now - ticket.since);
        }
        match result {
            Attempt::Rejected(Rejection::Busy) => runner.refused_busy(now, jitter),
            Attempt::Rejected(Rejection::Leaving | Rejection::NotHere) => {
                self.mark_leaving(now, key)
            }
            _ => runner.taken(),
        }
        if let Some(success) = result.is_success() {
            self.detector.record(now, key, success);
        }
        self.remove_if_gone(key);
    }

    /// Counts a request that a caller made, to be called once for each, whether
    /// it gets a slot or not: this proxy's demand is made of these.
    pub fn count_request(&mut self, now: Time, service: &Name) {
        // An unknown name is not kept: callers may ask for any.
        if let Some(key) = self.service_names.get(service) {
            self.services[*key].demand.offered(now);
        }
    }

    /// The key of a service, added if there is none yet.
    fn service(&mut self, name: &Name) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service::new(name.clone(), UNDECLARED));
        self.service_names.insert(name.clone(), key);
        key
    }

    fn add_runner(&mut self, now: Time, vm: &Name, runner: &view::Runner) -> RunnerKey {
        let service = self.service(&runner.service);
        let key = self.runners.insert(Runner::new(vm.clone(), service, runner.address));
        self.services[service].listed.insert((vm.clone(), key));
        self.detector.add(now, key, service);
        key
    }

    fn unlist(&mut self, key: RunnerKey) {
        let runner = &mut self.runners[key];
        runner.listed = false;
        self.services[runner.service].listed.remove(&(runner.vm.clone(), key));
        self.remove_if_gone(key);
    }

    /// Removes a runner that is neither listed nor has requests in flight.
    fn remove_if_gone(&mut self, key: RunnerKey) {
        let gone = |runner: &Runner| !runner.listed && runner.in_flight == 0;
        if self.runners.get(key).is_some_and(gone) {
            self.runners.remove(key);
            self.detector.remove(key);
        }
    }

    fn divide_service_again(&mut self, name: &Name) {
        if let Some(key) = self.service_names.get(name) {
            self.services[*key].divide_again();
        }
    }

    fn divide_all_again(&mut self) {
        self.services.values_mut().for_each(Service::divide_again);
    }
}
