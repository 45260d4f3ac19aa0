//! The router and the queue of waiting requests behind one lock.
//!
//! Decisions are pure and take microseconds; the lock is never held across a call outside
//! the process.

mod inner;

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use corianderfork_model::service::Class;
use corianderfork_model::{Name, Time};
use corianderfork_routing::outcome::{Attempt, Reason, Refusal};
use corianderfork_routing::report::Report;
use corianderfork_routing::router::{self, RunnerKey, Ticket};
use corianderfork_routing::view;
use corianderfork_runtime::clock::Monotonic;

use inner::Inner;

/// How long a thread waits past the deadline of its request before it checks for itself.
/// The periodic sweep normally answers it earlier.
const WAIT_MARGIN: Duration = Duration::from_millis(500);
/// The retry delay after a wait that ended without an answer from the queue.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Grants slots of runners and queues requests. Shared by all threads.
#[derive(Debug)]
pub struct Gate {
    clock: Monotonic,
    inner: Mutex<Inner>,
}

/// Identifies a runner by service and VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Its service.
    pub service: Name,
    /// Its VM.
    pub vm: Name,
}

/// A slot of a runner; return it with [`Gate::release`].
#[derive(Debug)]
#[must_use = "a slot stays in use until it is given to `Gate::release`"]
pub struct Slot {
    ticket: Ticket,
    service: Name,
    /// The number of idle connections to the runner that may be kept.
    pub idle: usize,
}

impl Slot {
    /// Returns the ticket of the router.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a Name,
    /// Its class.
    pub class: Class,
    /// Runners that were already tried.
    pub exclude: &'a [RunnerKey],
    /// The deadline for getting a slot.
    pub until: Time,
}

/// The loads of runners and other information for peers.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// The report of the router.
    pub report: Report,
    /// Requests of this proxy in flight, by runner.
    pub in_flight: BTreeMap<Key, u32>,
    /// Waiting requests, by service.
    pub waiting: BTreeMap<Name, u32>,
    /// VMs whose backend server refused requests as leaving.
    pub leaving: Vec<Name>,
}

impl Gate {
    /// Creates the gate of the proxy `me`; its queue holds `queue` requests.
    pub fn new(clock: Monotonic, me: Name, config: router::Config, queue: usize) -> Self {
        Self { clock, inner: Mutex::new(Inner::new(me, config, queue)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot, waiting for one in the order of classes.
    ///
    /// # Errors
    ///
    /// Refuses as soon as waiting has no chance of success.
    pub fn acquire(&self, request: &SlotRequest<'_>) -> Result<Slot, Refusal> {
        let (id, receiver) = {
            let now = self.clock.now();
            let mut inner = self.lock();
            if inner.queue.waiting(request.service) == 0 {
                match inner.pick(now, request.service, request.exclude) {
                    Err(refusal) if refusal.reason == Reason::Busy => {}
                    result => return result,
                }
            }
            let waiter = inner.enqueue(now, request)?;
            inner.grant_free_slots(now);
            waiter
        };
        let left = request.until - self.clock.now();
        match receiver.recv_timeout(left + WAIT_MARGIN) {
            Ok(result) => result,
            Err(RecvTimeoutError::Disconnected) => Err(wait_ended()),
            Err(RecvTimeoutError::Timeout) => self.end_wait(id, &receiver),
        }
    }

    /// Checks that a first try would find a runner or could wait for one.
    ///
    /// # Errors
    ///
    /// Fails if there is no runner to wait for.
    pub fn check_admission(&self, service: &Name) -> Result<(), Refusal> {
        let now = self.clock.now();
        self.lock().check_admission(now, service)
    }

    /// Ends the wait of a thread whose deadline has passed. Returns a slot if one was
    /// granted in the meantime.
    fn end_wait(
        &self,
        id: u64,
        receiver: &Receiver<Result<Slot, Refusal>>,
    ) -> Result<Slot, Refusal> {
        let mut inner = self.lock();
        if inner.waiters.remove(&id).is_some() {
            return Err(wait_ended());
        }
        receiver.try_recv().unwrap_or_else(|_| Err(wait_ended()))
    }

    /// Gives a slot back with the result of its try.
    pub fn release(&self, slot: Slot, attempt: Attempt) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.release(now, slot, attempt);
        inner.grant_free_slots(now);
    }

    /// Counts a request of a caller; the retry budget is a share of these.
    pub fn record_request(&self, service: &Name) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.count_request(now, service);
        inner.retry_budget(service).first_try(now);
    }

    /// Takes one retry from the budget of `service`; returns whether one was left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let now = self.clock.now();
        self.lock().retry_budget(service).retry(now)
    }

    /// Refuses waiting requests that have no chance and grants free slots to the others.
    /// Must be called a few times a second.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for refused in inner.queue.sweep(now) {
            inner.refuse(refused);
        }
        inner.grant_free_slots(now);
        inner.refuse_unserved(now);
        inner.leaving.retain(|_, until| now < *until);
    }

    /// Adds a service or updates its limits.
    pub fn set_service(&self, service: &Name, slots: u16, connections: u16) {
        self.lock().router.set_service(service, slots, connections);
    }

    /// Applies a VM's record; returns whether it changed anything.
    pub fn set_runners(&self, record: view::Vm) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let is_new = inner.router.apply_record(now, record);
        inner.grant_free_slots(now);
        is_new
    }

    /// Removes a VM whose record was deleted.
    pub fn remove_vm(&self, vm: &Name, revision: u64) -> bool {
        let now = self.clock.now();
        self.lock().router.remove_vm(now, vm, revision)
    }

    /// Starts a drain; returns whether it was not known yet.
    pub fn start_drain(&self, vm: &Name, epoch: u64) -> bool {
        self.lock().router.drain(vm, epoch)
    }

    /// Returns whether the drain may be confirmed.
    pub fn is_drained(&self, vm: &Name, epoch: u64) -> bool {
        self.lock().router.is_drained(vm, epoch)
    }

    /// Adds a proxy to the known members.
    pub fn add_proxy(&self, member: &Name) {
        let now = self.clock.now();
        self.lock().router.add_member(now, member);
    }

    /// Removes a proxy from the known members.
    pub fn remove_proxy(&self, member: &Name) {
        self.lock().router.remove_member(member);
    }

    /// Applies the report of a peer.
    pub fn apply_peer_report(&self, member: &Name, report: &Report) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.apply_report(now, member, report);
        inner.grant_free_slots(now);
    }

    /// Returns the loads to report to peers.
    pub fn loads(&self) -> Loads {
        let now = self.clock.now();
        let mut inner = self.lock();
        Loads {
            report: inner.router.report(now),
            in_flight: inner.in_flight.clone(),
            waiting: inner.waiting_by_service(),
            leaving: inner.leaving.keys().cloned().collect(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }
}

fn wait_ended() -> Refusal {
    Refusal { retry_after: RETRY_AFTER, reason: Reason::DeadlineTooSoon }
}
