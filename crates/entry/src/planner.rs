//! The fleet's planner: one daemon at a time that orders maintenance of VMs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_adapter::config::{self, Wave};
use corianderfork_adapter::fleet::{self, Answer, Holder, State, Vm};
use corianderfork_adapter::store::{Outcome, Txn};
use corianderfork_model::Time;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock;
use crate::duty::{DUTIES, FLEET};
use crate::node::Node;
use crate::peer::{self, Ask, Reply};

/// The prefix of how far waves are; the number follows.
const WAVES: &str = "fleet/wave/";
/// How often a wave is looked at.
const TICK: Duration = Duration::from_millis(300);
/// How long the fleet's service may take over an answer.
const ANSWER: Duration = Duration::from_millis(1_000);
/// How long a VM whose maintenance was ordered counts as away though the list,
/// which lags, shows it up.
const SETTLE: Duration = Duration::from_millis(1_200);
/// VMs that are emptied ahead of those that may go now.
const AHEAD: usize = 1;

/// How far a wave is, as it is written.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Progress {
    /// VMs whose maintenance has begun or is over.
    done: BTreeSet<String>,
    /// Whether all are.
    completed: bool,
}

struct Planner {
    node: Rc<Node>,
    holder: Holder,
    waves: BTreeMap<u64, Progress>,
    /// VMs whose maintenance was ordered, and when.
    away: HashMap<String, Time>,
    /// Waves that operators were told to be under way.
    told: BTreeSet<u64>,
}

/// Plans until another holds the duty.
pub async fn plan(node: Rc<Node>, fence: u64) {
    let begun = clock::now();
    let name = node.settings.name.as_str().to_owned();
    let holder = Holder { name, fence };
    let (waves, away, told) = (BTreeMap::new(), HashMap::new(), BTreeSet::new());
    let mut planner = Planner { node: node.clone(), holder, waves, away, told };
    planner.load().await;
    // An order of the holder before may be on its way still; two holders' orders
    // for one VM must not mix.
    let gap = node.settings.order_gap;
    let begin = begun + gap + Duration::from_millis(300);
    node.trace.line("duty begun", json!({ "duty": FLEET, "fence": fence }));
    while planner.is_holder() {
        if clock::now() >= begin && node.may_order() {
            planner.tick().await;
        }
        tokio::time::sleep(TICK).await;
    }
    node.trace.line("duty left", json!({ "duty": FLEET, "fence": fence }));
}

impl Planner {
    fn is_holder(&self) -> bool {
        self.node.planner.get() == Some(self.holder.fence) && !self.node.stopping.get()
    }

    async fn load(&mut self) {
        while self.is_holder() {
            if let Ok((items, _)) = self.node.store.range(WAVES).await {
                for item in items {
                    let number = item.key.strip_prefix(WAVES).and_then(|n| n.parse().ok());
                    let progress = serde_json::from_slice(&item.value).ok();
                    if let (Some(number), Some(progress)) = (number, progress) {
                        self.waves.insert(number, progress);
                    }
                }
                return;
            }
            tokio::time::sleep(TICK).await;
        }
    }

    async fn tick(&mut self) {
        let waves: Vec<Wave> = {
            let all = self.node.waves.borrow();
            let is_open = |number: &u64| !self.waves.get(number).is_some_and(|p| p.completed);
            all.values().map(|(wave, _)| wave).filter(|w| is_open(&w.number)).cloned().collect()
        };
        if waves.is_empty() {
            return;
        }
        let listed_at = clock::now();
        let Some(vms) = self.list().await else { return };
        self.settle(listed_at, &vms);
        for wave in waves {
            self.tick_wave(&wave, &vms).await;
        }
    }

    async fn call(&self, call: &Call) -> Option<(u16, hyper::body::Bytes)> {
        let address = self.node.settings.fleet?;
        self.node.client.call(address, call, ANSWER).await.ok()
    }

    async fn list(&self) -> Option<BTreeMap<String, Vm>> {
        let mut vms = BTreeMap::new();
        let mut page = None;
        loop {
            let (status, body) = self.call(&fleet::list(page.as_deref())).await?;
            let (rows, next) = fleet::listed(status, &body).ok()?;
            vms.extend(rows.into_iter().map(|vm| (vm.name.clone(), vm)));
            page = next;
            if page.is_none() {
                return Some(vms);
            }
        }
    }

    /// VMs that are up again are no longer away.
    fn settle(&mut self, listed_at: Time, vms: &BTreeMap<String, Vm>) {
        self.away.retain(|name, since| {
            let is_up = vms.get(name).is_none_or(|vm| vm.state == State::Up);
            !is_up || listed_at - *since < SETTLE
        });
    }

    async fn tick_wave(&mut self, wave: &Wave, vms: &BTreeMap<String, Vm>) {
        if self.told.insert(wave.number) {
            let done = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write(wave.number, done).await;
        }
        let done = self.waves.get(&wave.number).map(|p| p.done.clone()).unwrap_or_default();
        let is_left = |name: &&String| !done.contains(*name) && vms.contains_key(*name);
        let left: Vec<&Vm> =
            wave.vms.iter().filter(is_left).filter_map(|name| vms.get(name)).collect();
        if left.is_empty() {
            let progress = Progress { done, completed: true };
            self.write(wave.number, progress).await;
            return;
        }
        let is_away = |name: &String| {
            self.away.contains_key(name)
                || vms.get(name).is_some_and(|v| v.state == State::Maintained)
        };
        let away = wave.vms.iter().filter(|name| is_away(name)).count();
        let may_go = wave.most.saturating_sub(away);
        let mut ready: Vec<&Vm> = left.into_iter().filter(|vm| vm.state == State::Up).collect();
        // VMs without a worker have nothing to be emptied of.
        ready.sort_by_key(|vm| (!vm.worker.is_empty(), vm.name.clone()));
        ready.truncate(may_go + AHEAD);
        let mut gone = 0;
        let mut changed = false;
        for vm in ready {
            let is_empty = self.is_empty(vm).await;
            if is_empty && gone < may_go && self.is_holder() && self.node.may_order() {
                gone += 1;
                changed |= self.maintain(wave, vm).await;
            }
        }
        if changed {
            let progress = self.waves.get(&wave.number).cloned().unwrap_or_default();
            self.write(wave.number, progress).await;
        }
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
        let answer = self.call(&call).await.map(|(status, body)| fleet::ordered(status, &body));
        self.node.trace.line(
            "maintenance ordered",
            json!({ "vm": vm.name, "pool": vm.pool, "worker": vm.worker, "wave": wave.number,
                "fence": self.holder.fence, "answer": format!("{answer:?}") }),
        );
        match answer {
            Some(Answer::Done) => {
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
