//! The state behind the lock of the gate.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_routing::outcome::{Attempt, Reason, Refusal, Rejection};
use corianderfork_routing::queue::{self, Queue};
use corianderfork_routing::retry::{self, Budget};
use corianderfork_routing::router::{self, Router, RunnerKey};

use super::{Key, Slot, SlotRequest};

/// How long a VM that refused a request as leaving is reported to peers.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) router: Router,
    pub(super) queue: Queue<u64>,
    pub(super) waiters: HashMap<u64, Waiter>,
    next_waiter: u64,
    retry_budgets: HashMap<Name, Budget>,
    pub(super) in_flight: BTreeMap<Key, u32>,
    /// VMs whose backend server refused a request as leaving, and until when they are
    /// reported to peers.
    pub(super) leaving: HashMap<Name, Time>,
}

#[derive(Debug)]
pub(super) struct Waiter {
    service: Name,
    exclude: Vec<RunnerKey>,
    sender: SyncSender<Result<Slot, Refusal>>,
}

impl Inner {
    pub(super) fn new(me: Name, config: router::Config, queue: usize) -> Self {
        Self {
            router: Router::new(me, config),
            queue: Queue::new(queue::Config::default().capacity(queue)),
            waiters: HashMap::new(),
            next_waiter: 0,
            retry_budgets: HashMap::new(),
            in_flight: BTreeMap::new(),
            leaving: HashMap::new(),
        }
    }

    pub(super) fn retry_budget(&mut self, service: &Name) -> &mut Budget {
        let new_budget = || Budget::new(retry::Config::default());
        self.retry_budgets.entry(service.clone()).or_insert_with(new_budget)
    }

    pub(super) fn waiting_by_service(&self) -> BTreeMap<Name, u32> {
        let mut counts = BTreeMap::new();
        for waiter in self.waiters.values() {
            *counts.entry(waiter.service.clone()).or_default() += 1;
        }
        counts
    }

    pub(super) fn pick(
        &mut self,
        now: Time,
        service: &Name,
        exclude: &[RunnerKey],
    ) -> Result<Slot, Refusal> {
        let ticket = self.router.pick(now, service, exclude)?;
        self.queue.count_start(now, service);
        let key = Key { service: service.clone(), vm: ticket.vm().clone() };
        *self.in_flight.entry(key).or_default() += 1;
        let connections = self.router.share(now, ticket.runner()).connections;
        // Half of the share; the other half is for requests that open their own
        // connection.
        let idle = usize::try_from(connections / 2).unwrap_or(0).max(1);
        Ok(Slot { ticket, service: service.clone(), idle })
    }

    pub(super) fn enqueue(
        &mut self,
        now: Time,
        request: &SlotRequest<'_>,
    ) -> Result<(u64, Receiver<Result<Slot, Refusal>>), Refusal> {
        let id = self.next_waiter;
        self.next_waiter += 1;
        let queued = queue::Request::new(request.class, request.service.clone(), request.until, id);
        let displaced_request = self.queue.push(now, queued).map_err(|refused| refused.refusal)?;
        let (sender, receiver) = sync_channel(1);
        let (service, exclude) = (request.service.clone(), request.exclude.to_vec());
        self.waiters.insert(id, Waiter { service, exclude, sender });
        if let Some(displaced) = displaced_request {
            self.refuse(displaced);
        }
        Ok((id, receiver))
    }

    pub(super) fn refuse(&mut self, refused: queue::Refused<u64>) {
        if let Some(waiter) = self.waiters.remove(&refused.item) {
            // The channel has capacity for the single result.
            let _ = waiter.sender.try_send(Err(refused.refusal));
        }
    }

    /// Grants free slots to waiting requests.
    pub(super) fn grant_free_slots(&mut self, now: Time) {
        loop {
            let (queue, router) = (&mut self.queue, &mut self.router);
            let Some(id) = queue.take(now, |service| router.has_room(now, service)) else { return };
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            let result = self.pick(now, &waiter.service, &waiter.exclude);
            let _ = waiter.sender.try_send(result);
        }
    }

    /// Refuses requests that wait for a service without any serving runner.
    ///
    /// Left in the queue, they would be refused for the same reason only at their
    /// deadline.
    pub(super) fn refuse_unserved(&mut self, now: Time) {
        let services: BTreeSet<Name> = self.waiters.values().map(|w| w.service.clone()).collect();
        for service in services {
            let Err(refusal) = self.check_admission(now, &service) else { continue };
            while let Some(item) = self.queue.take(now, |waiting| *waiting == service) {
                self.refuse(queue::Refused { item, refusal });
            }
        }
    }

    /// Checks that a first try would find a runner or could wait for one.
    pub(super) fn check_admission(&mut self, now: Time, service: &Name) -> Result<(), Refusal> {
        if self.router.has_room(now, service) {
            return Ok(());
        }
        match self.router.pick(now, service, &[]) {
            // `has_room` returned false under the same lock, so this is not expected.
            Ok(ticket) => self.router.done(now, ticket, Attempt::Answered),
            Err(refusal) if refusal.reason == Reason::Busy => {}
            Err(refusal) => return Err(refusal),
        }
        Ok(())
    }

    pub(super) fn release(&mut self, now: Time, slot: Slot, attempt: Attempt) {
        let Slot { ticket, service, .. } = slot;
        let vm = ticket.vm().clone();
        if attempt == Attempt::Rejected(Rejection::Leaving) {
            self.leaving.insert(vm.clone(), now + LEAVING_REPORT_TIME);
        }
        let key = Key { service, vm };
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&key);
            }
        }
        self.router.done(now, ticket, attempt);
    }
}
