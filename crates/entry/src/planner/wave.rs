//! Maintenance waves: each VM of a wave is vacated and maintained before the deadline.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use corianderfork_adapter::config::{self, Wave};
use corianderfork_adapter::fleet::{self, Answer, Vm};
use corianderfork_adapter::store::{Outcome, Txn};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};

use super::{EMPTY_VALIDITY, Planner, Progress, VACATE_AHEAD, WAVE_PREFIX};
use crate::clock;
use crate::duty::{self, FLEET};
use crate::owner::ms;
use crate::peer::{Message, Reply};

/// How long one round of a wave takes: a VM is vacated, which takes as long as its longest
/// task, and maintained for two seconds.
const ROUND_DURATION: Duration = Duration::from_millis(4_500);
/// The reserve kept before a wave's deadline: long-running tasks leave a VM one after the
/// other.
const RESERVE: Duration = Duration::from_millis(6_000);

impl Planner {
    pub(super) async fn tick_wave(&mut self, wave: &Wave, vms: &BTreeMap<String, Vm>) {
        if self.announced_waves.insert(wave.number) {
            let done = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write_progress(wave.number, done).await;
        }
        let names = self.remaining_vms(wave);
        if names.is_empty() {
            let done = self.waves.get(&wave.number).map(|p| p.done.clone()).unwrap_or_default();
            let progress = Progress { done, completed: true, ..Progress::default() };
            self.write_progress(wave.number, progress).await;
            return;
        }
        let name_count = names.len();
        let remaining: Vec<&Vm> = names.into_iter().filter_map(|name| vms.get(name)).collect();
        let capacity = self.away.capacity(wave);
        let is_ready = |vm: &&Vm| {
            self.away.may_order(vm)
                && self.may_order_vm(&vm.name)
                && !self.arrivals.contains(&vm.name)
        };
        let remaining_count = remaining.len();
        let mut ready: Vec<&Vm> = remaining.into_iter().filter(is_ready).collect();
        if self.node.settings.contention.maintenance {
            let asked_at = clock::now();
            let mut empty = self.empty_cheaply(wave, name_count, &ready, vms).await;
            empty.truncate(capacity.min(self.allowance()));
            self.maintain_empty(wave, empty, asked_at).await;
            return;
        }
        if capacity == 0 {
            return;
        }
        let may_wait = self.is_scarce && self.may_wait(wave, remaining_count);
        // VMs without a worker need no vacating and go first.
        ready.sort_by_key(|vm| (!vm.worker.is_empty(), vm.name.clone()));
        // If there is time, VMs whose tasks would have to move wait for lower load.
        ready.retain(|vm| vm.worker.is_empty() || !may_wait);
        ready.truncate(capacity + VACATE_AHEAD);
        let allowance = self.allowance();
        let asked_at = clock::now();
        let mut empty = self.vacate(&ready).await;
        empty.truncate(capacity.min(allowance));
        self.maintain_empty(wave, empty, asked_at).await;
    }

    /// Returns the VMs of a wave whose maintenance has not begun.
    pub(super) fn remaining_vms<'a>(&self, wave: &'a Wave) -> Vec<&'a String> {
        let now = clock::now();
        let done = self.waves.get(&wave.number).map(|progress| &progress.done);
        let is_remaining = |name: &&String| {
            !done.is_some_and(|done| done.contains(*name)) && !self.absence.is_gone(now, name)
        };
        wave.vms.iter().filter(is_remaining).collect()
    }

    /// Orders the maintenance of VMs that were empty at `asked_at`.
    async fn maintain_empty(&mut self, wave: &Wave, mut empty: Vec<&Vm>, asked_at: Time) {
        let names: Vec<String> = empty.iter().map(|vm| vm.name.clone()).collect();
        if names.is_empty() || !self.record_orders(&names).await {
            return;
        }
        if clock::now() - asked_at >= EMPTY_VALIDITY {
            empty.retain(|vm| vm.worker.is_empty());
        }
        if self.order_maintenance(wave, &empty).await {
            let progress = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write_progress(wave.number, progress).await;
        }
    }

    /// Whether there is enough time to maintain the remaining VMs later.
    fn may_wait(&self, wave: &Wave, remaining: usize) -> bool {
        let rounds = u32::try_from(remaining.div_ceil(wave.max_concurrent)).unwrap_or(u32::MAX);
        let needed = ROUND_DURATION.saturating_mul(rounds).saturating_add(RESERVE);
        self.wave_age(wave.number).is_some_and(|elapsed| elapsed + needed < wave.time_limit)
    }

    pub(super) fn wave_age(&self, number: u64) -> Option<Duration> {
        let since = self.node.waves.borrow().get(&number).map(|(_, since)| *since)?;
        Some(self.wave_ages.age(clock::now(), number, since))
    }

    /// Asks the owners of the VMs' pools to vacate them. Returns those on which nothing
    /// runs.
    async fn vacate<'a>(&self, vms: &[&'a Vm]) -> Vec<&'a Vm> {
        let mut by_pool: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for vm in vms.iter().filter(|vm| !vm.worker.is_empty()) {
            by_pool.entry(&vm.pool).or_default().push(vm.worker.clone());
        }
        let to_message = |(pool, workers): (&str, Vec<String>)| Message::Vacate {
            pool: pool.to_owned(),
            workers,
            candidates: Vec::new(),
        };
        let replies = self.send_to_owners(by_pool.into_iter().map(to_message).collect()).await;
        let mut empty = HashSet::new();
        for reply in replies {
            if let Some(Reply::Vacated { empty: workers, .. }) = reply {
                empty.extend(workers);
            }
        }
        let is_empty = |vm: &&&Vm| vm.worker.is_empty() || empty.contains(&vm.worker);
        vms.iter().filter(is_empty).copied().collect()
    }

    /// Orders the maintenance of VMs concurrently. Returns whether any VM was newly done.
    async fn order_maintenance(&mut self, wave: &Wave, vms: &[&Vm]) -> bool {
        let mut sent = Vec::new();
        for vm in vms {
            if self.is_holder() {
                sent.push(self.maintain(wave.number, vm));
            }
        }
        let mut has_changed = false;
        for answer in sent {
            if let Ok((vm, answer)) = answer.await {
                has_changed |= self.handle_maintenance_answer(wave.number, &vm, answer);
            }
        }
        has_changed
    }

    fn maintain(&mut self, wave: u64, vm: &Vm) -> JoinHandle<(Vm, Option<Answer>)> {
        let call = fleet::maintain(&vm.name, wave, &self.holder);
        // Recorded before sending: an order without a response may still be carried out.
        self.away.order(clock::now(), &vm.name);
        self.cheap.rounds.note_ordered(&vm.name);
        let (node, vm) = (self.node.clone(), vm.clone());
        spawn_local(async move {
            let answer = super::call(&node, &call).await;
            (vm, answer.map(|(status, body)| fleet::parse_order(status, &body)))
        })
    }

    fn handle_maintenance_answer(&mut self, wave: u64, vm: &Vm, answer: Option<Answer>) -> bool {
        self.node.trace.line("maintenance ordered", || {
            json!({ "vm": vm.name, "pool": vm.pool, "worker": vm.worker, "wave": wave,
                "fence": self.holder.fence, "answer": format!("{answer:?}") })
        });
        self.away.answer(clock::now(), &vm.name, answer);
        match answer {
            Some(Answer::Done) => {
                self.report_gone_workers(std::slice::from_ref(vm));
                let progress = self.waves.entry(wave).or_default();
                return progress.done.insert(vm.name.clone());
            }
            Some(Answer::Fenced) => self.node.planner.set(None),
            Some(Answer::Refused) => {
                // The VM is no longer part of this wave: nothing is left to do.
                let progress = self.waves.entry(wave).or_default();
                return progress.done.insert(vm.name.clone());
            }
            Some(Answer::Busy | Answer::Unavailable | Answer::Unknown) | None => {}
        }
        false
    }

    /// Writes a wave's progress, for a successor and for operators.
    pub(super) async fn write_progress(&mut self, number: u64, mut progress: Progress) {
        progress.elapsed_ms = self.wave_age(number).map_or(progress.elapsed_ms, ms);
        let value = serde_json::to_vec(&progress).unwrap_or_default();
        let status = config::wave_status(progress.completed);
        let txn = Txn {
            expect: vec![(duty::key(FLEET), self.holder.fence)],
            set: vec![
                (format!("{WAVE_PREFIX}{number}"), value, 0),
                (config::wave_status_key(number), status, 0),
            ],
            remove: Vec::new(),
        };
        match self.node.store.txn(&txn).await {
            Ok(Outcome::Written(_)) => {
                if progress.completed {
                    self.node.trace.line("wave completed", || json!({ "wave": number }));
                }
                self.waves.insert(number, progress);
            }
            Ok(_) => self.node.planner.set(None),
            Err(error) => {
                // Written again with the next change, or at the next tick.
                self.announced_waves.remove(&number);
                self.node.trace.line(
                    "wave not written",
                    || json!({ "wave": number, "why": error.to_string() }),
                );
            }
        }
    }
}
