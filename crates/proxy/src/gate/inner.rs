//! What is behind the gate's lock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_routing::outcome::{Attempt, Reason, Refusal, Rejection};
use corianderfork_routing::queue::{self, Queue};
use corianderfork_routing::retry::{self, Budget};
use corianderfork_routing::router::{self, Router, RunnerKey};

use super::{Key, Slot, Want};

/// For how long peers are told that a VM refused as leaving.
const LEAVING_HOLD: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) router: Router,
    pub(super) queue: Queue<u64>,
    pub(super) waiters: HashMap<u64, Waiter>,
    next: u64,
    budgets: HashMap<Name, Budget>,
    pub(super) loads: BTreeMap<Key, u32>,
    /// VMs that said themselves that they leave, and until when that is told.
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
            next: 0,
            budgets: HashMap::new(),
            loads: BTreeMap::new(),
            leaving: HashMap::new(),
        }
    }

    pub(super) fn budget(&mut self, service: &Name) -> &mut Budget {
        let new = || Budget::new(retry::Config::default());
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    pub(super) fn waiting(&self) -> BTreeMap<Name, u32> {
        let mut waiting = BTreeMap::new();
        for waiter in self.waiters.values() {
            *waiting.entry(waiter.service.clone()).or_default() += 1;
        }
        waiting
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
        *self.loads.entry(key).or_default() += 1;
        let connections = self.router.share(now, ticket.runner()).connections;
        // Half of the share: the other half is for the requests that open a
        // connection of their own.
        let idle = usize::try_from(connections / 2).unwrap_or(0).max(1);
        Ok(Slot { ticket, service: service.clone(), idle })
    }

    pub(super) fn wait(
        &mut self,
        now: Time,
        want: &Want<'_>,
    ) -> Result<(u64, Receiver<Result<Slot, Refusal>>), Refusal> {
        let id = self.next;
        self.next += 1;
        let request = queue::Request::new(want.class, want.service.clone(), want.until, id);
        let pushed = self.queue.push(now, request).map_err(|refused| refused.refusal)?;
        let (sender, receiver) = sync_channel(1);
        let (service, exclude) = (want.service.clone(), want.exclude.to_vec());
        self.waiters.insert(id, Waiter { service, exclude, sender });
        if let Some(displaced) = pushed {
            self.refuse(displaced);
        }
        Ok((id, receiver))
    }

    pub(super) fn refuse(&mut self, refused: queue::Refused<u64>) {
        if let Some(waiter) = self.waiters.remove(&refused.item) {
            // The channel has room for the one result it ever gets.
            let _ = waiter.sender.try_send(Err(refused.refusal));
        }
    }

    /// Gives free slots to those that wait.
    pub(super) fn pump(&mut self, now: Time) {
        loop {
            let (queue, router) = (&mut self.queue, &mut self.router);
            let Some(id) = queue.take(now, |service| router.has_room(now, service)) else { return };
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            let result = self.pick(now, &waiter.service, &waiter.exclude);
            let _ = waiter.sender.try_send(result);
        }
    }

    /// Refuses what waits for a service that nothing serves any more.
    ///
    /// Left in the queue, it would be told at its deadline what is known now.
    pub(super) fn refuse_unserved(&mut self, now: Time) {
        let services: BTreeSet<Name> = self.waiters.values().map(|w| w.service.clone()).collect();
        for service in services {
            let Err(refusal) = self.admits(now, &service) else { continue };
            while let Some(item) = self.queue.take(now, |waiting| *waiting == service) {
                self.refuse(queue::Refused { item, refusal });
            }
        }
    }

    /// Whether a first try would find a runner, or could wait for one.
    pub(super) fn admits(&mut self, now: Time, service: &Name) -> Result<(), Refusal> {
        if self.router.has_room(now, service) {
            return Ok(());
        }
        match self.router.pick(now, service, &[]) {
            // There was no room a moment ago under the same lock.
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
            self.leaving.insert(vm.clone(), now + LEAVING_HOLD);
        }
        let key = Key { service, vm };
        if let Some(count) = self.loads.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.loads.remove(&key);
            }
        }
        self.router.done(now, ticket, attempt);
    }
}
