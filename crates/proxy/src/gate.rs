//! The router and the waiting queue behind one lock.
//!
//! Decisions are pure and take microseconds; the lock is never held over a
//! call to anything outside of the process.

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

/// How long a thread waits past a request's time before it looks for itself:
/// the sweep answers it before that.
const GRACE: Duration = Duration::from_millis(500);
/// When to come back to a proxy whose queue gave no sign.
const RETRY: Duration = Duration::from_secs(1);

/// Who gets a slot, and who waits. Shared by all threads.
#[derive(Debug)]
pub struct Gate {
    clock: Monotonic,
    inner: Mutex<Inner>,
}

/// A runner by names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Its service.
    pub service: Name,
    /// Its VM.
    pub vm: Name,
}

/// A slot of a runner; give it back by [`Gate::release`].
#[derive(Debug)]
#[must_use = "a slot stays in use until it is given to `Gate::release`"]
pub struct Slot {
    ticket: Ticket,
    service: Name,
    /// Connections to the runner that may stay open and idle.
    pub idle: usize,
}

impl Slot {
    /// The ticket of the router.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// What a request that wants a slot says of itself.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a Name,
    /// Its class.
    pub class: Class,
    /// Runners that the request was tried at.
    pub exclude: &'a [RunnerKey],
    /// Until when it may wait.
    pub until: Time,
}

/// The runners' loads and the news for peers.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// What the router tells.
    pub report: Report,
    /// This proxy's requests in flight, a runner each.
    pub in_flight: BTreeMap<Key, u32>,
    /// Requests that wait, a service each.
    pub waiting: BTreeMap<Name, u32>,
    /// VMs that said themselves that they leave.
    pub leaving: Vec<Name>,
}

impl Gate {
    /// A gate of the proxy `me` whose queue holds `queue` requests.
    pub fn new(clock: Monotonic, me: Name, config: router::Config, queue: usize) -> Self {
        Self { clock, inner: Mutex::new(Inner::new(me, config, queue)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gets a slot, waiting for one in the order of classes.
    ///
    /// # Errors
    ///
    /// Refuses at once where waiting makes no sense, and as soon as it makes
    /// none any more.
    pub fn acquire(&self, want: &Want<'_>) -> Result<Slot, Refusal> {
        let (id, receiver) = {
            let now = self.clock.now();
            let mut inner = self.lock();
            if inner.queue.waiting(want.service) == 0 {
                match inner.pick(now, want.service, want.exclude) {
                    Err(refusal) if refusal.reason == Reason::Busy => {}
                    result => return result,
                }
            }
            let waiting = inner.wait(now, want)?;
            inner.pump(now);
            waiting
        };
        let left = want.until - self.clock.now();
        match receiver.recv_timeout(left + GRACE) {
            Ok(result) => result,
            Err(RecvTimeoutError::Disconnected) => Err(gave_up()),
            Err(RecvTimeoutError::Timeout) => self.give_up(id, &receiver),
        }
    }

    /// Whether a first try would find a runner, or could wait for one.
    ///
    /// # Errors
    ///
    /// Refuses if there is none to wait for.
    pub fn admits(&self, service: &Name) -> Result<(), Refusal> {
        let now = self.clock.now();
        self.lock().admits(now, service)
    }

    /// A thread whose time is over takes its place back, unless a slot was
    /// given to it in this moment.
    fn give_up(
        &self,
        id: u64,
        receiver: &Receiver<Result<Slot, Refusal>>,
    ) -> Result<Slot, Refusal> {
        let mut inner = self.lock();
        if inner.waiters.remove(&id).is_some() {
            return Err(gave_up());
        }
        receiver.try_recv().unwrap_or_else(|_| Err(gave_up()))
    }

    /// Gives a slot back with the result of its try.
    pub fn release(&self, slot: Slot, attempt: Attempt) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.release(now, slot, attempt);
        inner.pump(now);
    }

    /// Counts a request that a caller made, of which retries may be a share.
    pub fn offered(&self, service: &Name) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.count_request(now, service);
        inner.budget(service).first_try(now);
    }

    /// Takes one retry of `service`, if its budget has one left.
    pub fn retry(&self, service: &Name) -> bool {
        let now = self.clock.now();
        self.lock().budget(service).retry(now)
    }

    /// Refuses what waits in vain and gives free slots to what waits. To be
    /// called a few times a second.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for refused in inner.queue.sweep(now) {
            inner.refuse(refused);
        }
        inner.pump(now);
        inner.refuse_unserved(now);
        inner.leaving.retain(|_, until| now < *until);
    }

    /// Declares a service.
    pub fn set_service(&self, service: &Name, slots: u16, connections: u16) {
        self.lock().router.set_service(service, slots, connections);
    }

    /// Applies a VM's record; says whether it was news.
    pub fn set_runners(&self, record: view::Vm) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let news = inner.router.apply_record(now, record);
        inner.pump(now);
        news
    }

    /// Applies that a VM's record was deleted.
    pub fn remove_vm(&self, vm: &Name, revision: u64) -> bool {
        let now = self.clock.now();
        self.lock().router.remove_vm(now, vm, revision)
    }

    /// Applies the news of a drain; says whether it was news.
    pub fn drain(&self, vm: &Name, epoch: u64) -> bool {
        self.lock().router.drain(vm, epoch)
    }

    /// Whether the drain may be confirmed.
    pub fn is_drained(&self, vm: &Name, epoch: u64) -> bool {
        self.lock().router.is_drained(vm, epoch)
    }

    /// Notes a proxy.
    pub fn meet(&self, member: &Name) {
        let now = self.clock.now();
        self.lock().router.add_member(now, member);
    }

    /// Forgets a proxy.
    pub fn forget(&self, member: &Name) {
        self.lock().router.remove_member(member);
    }

    /// Applies a peer's report.
    pub fn peer_load(&self, member: &Name, report: &Report) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.apply_report(now, member, report);
        inner.pump(now);
    }

    /// What to tell peers.
    pub fn loads(&self) -> Loads {
        let now = self.clock.now();
        let mut inner = self.lock();
        Loads {
            report: inner.router.report(now),
            in_flight: inner.loads.clone(),
            waiting: inner.waiting(),
            leaving: inner.leaving.keys().cloned().collect(),
        }
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }
}

fn gave_up() -> Refusal {
    Refusal { retry_after: RETRY, reason: Reason::DeadlineTooSoon }
}
