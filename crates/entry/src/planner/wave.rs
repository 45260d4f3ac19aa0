//! Waves: each VM of them is emptied and maintained in its time.

use std::collections::BTreeMap;

use corianderfork_adapter::config::{self, Wave};
use corianderfork_adapter::fleet::{self, Answer, State, Vm};
use corianderfork_adapter::store::{Outcome, Txn};
use serde_json::json;

use std::time::Duration;

use super::{AHEAD, Planner, Progress, WAVES};
use crate::clock;
use crate::duty::{DUTIES, FLEET};
use crate::peer::{self, Ask, Reply};

/// How long one round of a wave takes: a VM is emptied, which takes as long as
/// its longest task, and maintained for two seconds.
const ROUND: Duration = Duration::from_millis(4_500);
/// What is kept in reserve until a wave's deadline: lasting tasks leave a VM one
/// after the other.
const RESERVE: Duration = Duration::from_millis(6_000);

impl Planner {
    pub(super) async fn tick_wave(&mut self, wave: &Wave, vms: &BTreeMap<String, Vm>) {
        if self.told.insert(wave.number) {
            let done = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write(wave.number, done).await;
        }
        let done = self.waves.get(&wave.number).map(|p| p.done.clone()).unwrap_or_default();
        let now = clock::now();
        let is_left = |name: &&String| !done.contains(*name) && !self.absence.is_gone(now, name);
        let names: Vec<&String> = wave.vms.iter().filter(is_left).collect();
        if names.is_empty() {
            let progress = Progress { done, completed: true };
            self.write(wave.number, progress).await;
            return;
        }
        let left: Vec<&Vm> = names.into_iter().filter_map(|name| vms.get(name)).collect();
        let may_wait = self.is_scarce && self.may_wait(wave, left.len());
        let is_away = |name: &String| {
            self.away.contains_key(name)
                || vms.get(name).is_some_and(|v| v.state == State::Maintained)
        };
        let away = wave.vms.iter().filter(|name| is_away(name)).count();
        let may_go = wave.most.saturating_sub(away);
        let is_ready = |vm: &&Vm| {
            vm.state == State::Up
                && self.may_order_vm(&vm.name)
                && !self.coming.contains_key(&vm.name)
        };
        let mut ready: Vec<&Vm> = left.into_iter().filter(is_ready).collect();
        // VMs without a worker have nothing to be emptied of.
        ready.sort_by_key(|vm| (!vm.worker.is_empty(), vm.name.clone()));
        // Those whose work would have to go elsewhere wait for a calmer moment.
        ready.retain(|vm| vm.worker.is_empty() || !may_wait);
        ready.truncate(may_go + AHEAD);
        let allowance = self.allowance();
        let mut empty = Vec::new();
        for vm in ready {
            if self.is_empty(vm).await && empty.len() < may_go.min(allowance) {
                empty.push(vm);
            }
        }
        let names: Vec<String> = empty.iter().map(|vm| vm.name.clone()).collect();
        if names.is_empty() || !self.announce(&names).await {
            return;
        }
        let mut changed = false;
        for vm in empty {
            changed |= self.is_holder() && self.maintain(wave, vm).await;
        }
        if changed {
            let progress = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write(wave.number, progress).await;
        }
    }

    /// Whether there is time enough to maintain the VMs that are left later.
    fn may_wait(&self, wave: &Wave, left: usize) -> bool {
        let waves = self.node.waves.borrow();
        let Some((_, since)) = waves.get(&wave.number) else { return false };
        let rounds = u32::try_from(left.div_ceil(wave.most)).unwrap_or(u32::MAX);
        let needed = ROUND.saturating_mul(rounds).saturating_add(RESERVE);
        clock::now() - *since + needed < wave.within
    }

    /// Whether nothing runs on a VM, after asking the owner of its pool to empty
    /// it.
    async fn is_empty(&self, vm: &Vm) -> bool {
        if vm.worker.is_empty() {
            return true;
        }
        let ask = Ask::Vacate { pool: vm.pool.clone(), worker: vm.worker.clone() };
        let reply = self.node.ask_owner(&vm.pool, ask, peer::ANSWER).await;
        matches!(reply, Ok(Reply::Vacated { empty: Some(true) }))
    }

    async fn maintain(&mut self, wave: &Wave, vm: &Vm) -> bool {
        let call = fleet::maintain(&vm.name, wave.number, &self.holder);
        // Counted before it is sent: without an answer it may be carried out.
        self.away.insert(vm.name.clone(), clock::now());
        let answer = super::call(&self.node, &call)
            .await
            .map(|(status, body)| fleet::ordered(status, &body));
        self.node.trace.line(
            "maintenance ordered",
            json!({ "vm": vm.name, "pool": vm.pool, "worker": vm.worker, "wave": wave.number,
                "fence": self.holder.fence, "answer": format!("{answer:?}") }),
        );
        match answer {
            Some(Answer::Done) => {
                self.tell_gone(std::slice::from_ref(vm)).await;
                let progress = self.waves.entry(wave.number).or_default();
                return progress.done.insert(vm.name.clone());
            }
            Some(Answer::Fenced) => self.node.planner.set(None),
            Some(Answer::Busy | Answer::Unavailable) => drop(self.away.remove(&vm.name)),
            Some(Answer::Refused) => {
                // It is not of this wave any more: nothing is left to do.
                self.away.remove(&vm.name);
                let progress = self.waves.entry(wave.number).or_default();
                return progress.done.insert(vm.name.clone());
            }
            None => {}
        }
        false
    }

    /// Writes how far a wave is, for a successor and for operators.
    async fn write(&mut self, number: u64, progress: Progress) {
        let value = serde_json::to_vec(&progress).unwrap_or_default();
        let status = config::wave_status(progress.completed);
        let txn = Txn {
            expect: vec![(format!("{DUTIES}{FLEET}"), self.holder.fence)],
            set: vec![
                (format!("{WAVES}{number}"), value, 0),
                (config::wave_status_key(number), status, 0),
            ],
            remove: Vec::new(),
        };
        match self.node.store.txn(&txn).await {
            Ok(Outcome::Written(_)) => {
                if progress.completed {
                    self.node.trace.line("wave completed", json!({ "wave": number }));
                }
                self.waves.insert(number, progress);
            }
            Ok(_) => self.node.planner.set(None),
            Err(error) => {
                // Told again with the next change, or by the next look.
                self.told.remove(&number);
                self.node
                    .trace
                    .line("wave not written", json!({ "wave": number, "why": error.to_string() }));
            }
        }
    }
}
