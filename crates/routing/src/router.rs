//! Picks runners for requests and counts this proxy's own load.
//!
//! # Eligible runners
//!
//! A runner is eligible if the newest record of its VM lists it, it is warm,
//! its VM serves, it is not known to be leaving, it is not ejected, and it is
//! below this proxy's share of its slots. The eligible runner with the lowest
//! cost is picked. The cost is this proxy's own load on the runner, divided by
//! the square of its recent success rate: by load alone, a runner that
//! immediately fails everything would look free and attract most of the work.
//!
//! # Drains
//!
//! A proxy learns of a drain from several sources (the record, peers, the
//! backend server itself), in any order and repeatedly. The state of a VM is
//! therefore the maximum of what was received: the record with the highest
//! revision, and the highest drain epoch. A record admits work only if its
//! epoch is at least that of every known drain. A late message may be ignored,
//! but it never undoes newer ones.

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
    /// The key of a runner in a [`Router`]. Keys are never reused.
    pub struct RunnerKey;
    /// The key of a service in a [`Router`].
    pub struct ServiceKey;
}

/// The capacity per runner of a service that was not declared.
const DEFAULT_CAPACITY: Share = Share { slots: 8, connections: 64, borrow: 0 };
/// When to retry if no runner is listed.
const RETRY_NO_RUNNER: Duration = Duration::from_secs(5);
/// When to retry while runners start or leave.
const RETRY_NONE_SERVING: Duration = Duration::from_secs(2);
/// When to retry in all other cases.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// A proxy's view of the runners. See the [crate docs](crate) for an example.
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
    /// Creates a router for the proxy `me` without runners and peers.
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

    /// Sets how many requests and connections each runner of a service accepts
    /// at once.
    pub fn set_service(&mut self, service: &Name, slots: u16, connections: u16) {
        let key = self.service(service);
        let capacity = Share { slots: slots.into(), connections: connections.into(), borrow: 0 };
        self.services[key].set_capacity(capacity);
    }

    /// Applies a VM's record and returns whether it was newer than all previous
    /// ones, or as new as the newest and stops the VM. A runner that is no
    /// longer listed receives no new work; its requests in flight are still
    /// counted.
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
                self.runners[key].clear_leaving();
            }
            if !listed.contains(&key) {
                listed.push(key);
            }
        }
        for key in before.iter().chain(&listed) {
            let service = self.runners[*key].service;
            self.services[service].invalidate_shares();
        }
        for key in before.into_iter().filter(|key| !listed.contains(key)) {
            self.unlist(key);
        }
        self.vms.entry(record.name).or_default().runners = listed;
        self.update_all_shares(now);
        true
    }

    /// Applies the deletion of a VM's record as of the store's `revision`.
    /// Returns whether it was newer than all previous records.
    pub fn remove_vm(&mut self, now: Time, vm: &Name, revision: u64) -> bool {
        let epoch = self.vms.get(vm).map_or(0, Vm::epoch);
        self.apply_record(now, view::Vm::new(vm.clone(), revision).epoch(epoch))
    }

    /// Records that a drain of `vm` has started, and returns whether that was
    /// unknown. Records of an earlier epoch then admit no work, whatever the
    /// order in which they arrive. A record of this epoch that serves means
    /// that the drain has ended.
    pub fn drain(&mut self, vm: &Name, epoch: u64) -> bool {
        let known = self.vms.entry(vm.clone()).or_default();
        let is_new = known.drain(epoch);
        for key in known.runners.iter().filter(|_| is_new) {
            let service = self.runners[*key].service;
            self.services[service].invalidate_shares();
        }
        is_new
    }

    /// Records that the backend server itself rejected work because it is
    /// leaving or does not run the service. This information is newer than the
    /// records, so it applies until a newer epoch or another address is
    /// recorded, or until [`Config::leaving_hold`] is over.
    pub fn mark_leaving(&mut self, now: Time, runner: RunnerKey) {
        let until = now + self.leaving_hold;
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.leaving_until = until;
            self.services[runner.service].invalidate_shares();
        }
    }

    /// Picks a runner of `service`, except those in `exclude`, at which the
    /// request was tried already.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no runner is available; the request was not run.
    pub fn pick(
        &mut self,
        now: Time,
        service: &Name,
        exclude: &[RunnerKey],
    ) -> Result<Ticket, Refusal> {
        let Some(&service) = self.service_names.get(service) else {
            return Err(Refusal { retry_after: RETRY_NO_RUNNER, reason: Reason::NoRunner });
        };
        self.update_shares(now, service);
        let not_tried = |key: &RunnerKey| !exclude.contains(key);
        let free = self.free(now, service).into_iter().filter(not_tried).collect();
        let own = self.best(now, free);
        let borrowed = own.is_none();
        let Some(key) = own.or_else(|| self.borrow(now, service, exclude)) else {
            return Err(self.refusal(now, service, exclude));
        };
        self.detector.on_pick(now, key);
        if borrowed {
            self.services[service].allowance.take();
        }
        let runner = &mut self.runners[key];
        runner.in_flight += 1;
        if let Some(vm) = self.vms.get_mut(&runner.vm) {
            vm.in_flight += 1;
        }
        let (address, vm) = (runner.address, runner.vm.clone());
        Ok(Ticket { runner: key, address, vm, started: now, borrowed })
    }

    /// Whether [`Router::pick`] would find a runner for a first try.
    pub fn has_room(&mut self, now: Time, service: &Name) -> bool {
        let Some(&service) = self.service_names.get(service) else { return false };
        self.update_shares(now, service);
        !self.free(now, service).is_empty() || self.borrow(now, service, &[]).is_some()
    }

    /// Releases a ticket with the result of its try.
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
            service.release_borrowed(now, result);
        }
        if !result.is_not_run() {
            service.demand.record_hold(now - ticket.started);
        }
        match result {
            Attempt::Rejected(Rejection::Busy) => runner.rejected_busy(now, jitter),
            Attempt::Rejected(Rejection::Leaving | Rejection::NotHere) => {
                self.mark_leaving(now, key)
            }
            _ => runner.accepted(),
        }
        if let Some(success) = result.is_success() {
            self.detector.record(now, key, success);
        }
        self.remove_if_gone(key);
    }

    /// Counts a request of a caller. Call this once for each request, whether
    /// or not it gets a slot: this proxy's demand is computed from these.
    pub fn count_request(&mut self, now: Time, service: &Name) {
        // Unknown names are not stored, because callers can send any name.
        if let Some(key) = self.service_names.get(service) {
            self.services[*key].demand.count_request(now);
        }
    }

    /// Returns the key of a service, adding the service if necessary.
    fn service(&mut self, name: &Name) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service::new(name.clone(), DEFAULT_CAPACITY));
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

    /// Removes a runner that is not listed and has no requests in flight.
    fn remove_if_gone(&mut self, key: RunnerKey) {
        let gone = |runner: &Runner| !runner.listed && runner.in_flight == 0;
        if self.runners.get(key).is_some_and(gone) {
            self.runners.remove(key);
            self.detector.remove(key);
        }
    }

    fn invalidate_service_shares(&mut self, name: &Name) {
        if let Some(key) = self.service_names.get(name) {
            self.services[*key].invalidate_shares();
        }
    }

    fn invalidate_all_shares(&mut self) {
        self.services.values_mut().for_each(Service::invalidate_shares);
    }
}
