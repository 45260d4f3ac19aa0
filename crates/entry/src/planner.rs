//! The fleet's planner: the one daemon that orders moves of VMs to pools and their
//! maintenance.

mod cheap;
pub mod meter;
mod orders;
mod size;
pub mod target;
mod wave;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_adapter::config::Wave;
use corianderfork_adapter::fleet::{self, Holder, State, Vm};
use corianderfork_model::Time;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::absence::Absence;
use crate::arrivals::Arrivals;
use crate::away::{self, RESPONSE_TIMEOUT};
use crate::clock;
use crate::duty::FLEET;
use crate::ended;
use crate::member;
use crate::node::Node;
use crate::peer::{self, Message, Reply};
use crate::wave_ages::WaveAges;

/// The key prefix of waves' progress; the number follows.
const WAVE_PREFIX: &str = "fleet/wave/";
/// The key of the recently ordered VMs.
const ORDERS_KEY: &str = "fleet/orders";
/// How often sizes are decided: any delay in noticing a queue's busy time makes its jobs wait
/// longer. Compared with 0.25 s, and with workers' heartbeats noticed as soon, days of 34 s earn
/// 0.008 and 0.013 more of a day's possible earnings.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How often the fleet is listed. The list lags by more than this, and each page of it is
/// a call that is priced and counted.
const LIST_INTERVAL: Duration = Duration::from_millis(250);
/// How long an owner's report that a worker is empty is relied on: less than the time for
/// which the owner keeps it empty. The write that records an order takes seconds when the
/// store is slow, and an order sent later would end a task that was started meanwhile.
const EMPTY_VALIDITY: Duration = Duration::from_millis(1_500);
/// How many VMs are vacated ahead of those that may be maintained now.
const VACATE_AHEAD: usize = 1;

/// The progress of a wave, as stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Progress {
    /// VMs whose maintenance has begun or is over.
    done: BTreeSet<String>,
    /// Whether this is so for all VMs of the wave.
    completed: bool,
    /// The age of the wave when this was written, in milliseconds.
    #[serde(default)]
    elapsed_ms: u64,
}

struct Planner {
    node: Rc<Node>,
    holder: Holder,
    waves: BTreeMap<u64, Progress>,
    wave_ages: WaveAges,
    /// VMs that count as away for maintenance.
    away: away::Tracker,
    /// The choice of VMs for maintenance while VMs are short.
    cheap: cheap::State,
    /// Waves whose start was reported to operators.
    announced_waves: BTreeSet<u64>,
    /// VMs on their way to a pool.
    arrivals: Arrivals,
    /// The sizing state of each pool.
    sizes: HashMap<String, size::Pool>,
    /// VMs of waves that are missing from the list.
    absence: Absence,
    /// The workers that no VM runs any more.
    workers: ended::Workers,
    /// The arrivals by which the rates of organisations are divided among pools.
    meter: meter::Meter,
    /// VMs that the previous holder ordered recently, and until when they are left alone:
    /// its order may still be in flight, and orders of two holders for one VM must not mix.
    quarantined: BTreeMap<String, Time>,
    /// VMs that this holder ordered recently.
    recent_orders: BTreeMap<String, Time>,
    /// Orders that may be sent, as of `order_budget_at`.
    order_budget: f64,
    order_budget_at: Time,
    /// When the sizes of pools were first decided.
    sizing_since: Option<Time>,
    /// Whether pools wanted more VMs than there are at the last check.
    is_scarce: bool,
    /// The last list of the fleet, and when it was requested.
    listed: Option<(Time, Rc<BTreeMap<String, Vm>>)>,
}

/// Calls the fleet service.
async fn call(node: &Node, call: &Call) -> Option<(u16, hyper::body::Bytes)> {
    let address = node.settings.fleet?;
    node.client.call("fleet", address, call, RESPONSE_TIMEOUT).await.ok()
}

/// Plans until another process holds the duty.
pub async fn plan(node: Rc<Node>, fence: u64) {
    let name = node.settings.name.as_str().to_owned();
    let holder = Holder { name, fence };
    let (waves, announced_waves) = (BTreeMap::new(), BTreeSet::new());
    let (arrivals, sizes) = (Arrivals::default(), HashMap::new());
    let (quarantined, recent_orders) = (BTreeMap::new(), BTreeMap::new());
    let mut planner = Planner {
        node: node.clone(),
        holder,
        waves,
        wave_ages: WaveAges::default(),
        away: away::Tracker::default(),
        cheap: cheap::State::default(),
        announced_waves,
        arrivals,
        sizes,
        absence: Absence::default(),
        workers: ended::Workers::default(),
        meter: meter::Meter::new(fence),
        quarantined,
        recent_orders,
        order_budget: 0.0,
        order_budget_at: Time::ZERO,
        sizing_since: None,
        is_scarce: false,
        listed: None,
    };
    planner.load().await;
    node.trace.unlimited("duty begun", json!({ "duty": FLEET, "fence": fence }));
    while planner.is_holder() {
        if node.may_order() {
            planner.tick().await;
        }
        // Wakes early for a stop of this process; other changes may wait for the interval.
        let _ = timeout(PLAN_INTERVAL, node.changed.notified()).await;
    }
    node.trace.unlimited("duty left", json!({ "duty": FLEET, "fence": fence }));
    if node.stopping.get() && node.planner.get() == Some(fence) {
        planner.write_order_ages().await;
        member::release_duty(node, (FLEET.to_owned(), fence)).await;
    }
}

impl Planner {
    fn is_holder(&self) -> bool {
        self.node.planner.get() == Some(self.holder.fence) && !self.node.stopping.get()
    }

    async fn load(&mut self) {
        while self.is_holder() {
            let Ok(orders) = self.node.store.get(ORDERS_KEY).await else {
                tokio::time::sleep(PLAN_INTERVAL).await;
                continue;
            };
            let order_ages = orders.and_then(|item| serde_json::from_slice(&item.value).ok());
            self.quarantine(order_ages.unwrap_or_default());
            if let Ok((items, _)) = self.node.store.range(WAVE_PREFIX).await {
                for item in items {
                    let number = item.key.strip_prefix(WAVE_PREFIX).and_then(|n| n.parse().ok());
                    let progress = serde_json::from_slice(&item.value).ok();
                    if let (Some(number), Some(progress)) = (number, progress) {
                        let progress: Progress = progress;
                        let written = Duration::from_millis(progress.elapsed_ms);
                        self.wave_ages.set(clock::now(), number, written);
                        self.waves.insert(number, progress);
                    }
                }
                return;
            }
            tokio::time::sleep(PLAN_INTERVAL).await;
        }
    }

    /// Notifies owners that workers of their pools are gone. This is best effort: an owner that
    /// isn't notified detects it when the worker's lease expires.
    fn report_gone_workers(&self, vms: &[Vm]) {
        let mut gone: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for vm in vms.iter().filter(|vm| !vm.worker.is_empty()) {
            gone.entry(&vm.pool).or_default().push(vm.worker.clone());
        }
        for (pool, workers) in gone {
            let (node, pool) = (self.node.clone(), pool.to_owned());
            spawn_local(async move {
                let message = Message::Gone { pool: pool.clone(), workers };
                let _ = node.send_to_owner(&pool, message, peer::RESPONSE_TIMEOUT).await;
            });
        }
    }

    /// Sends requests to owners of pools concurrently; the replies are in the order of the
    /// requests.
    ///
    /// Sent one after the other, a request to an owner that is cut off would delay all others by
    /// its timeout, and with them the sizes of all pools. With a third of the entry VMs cut off and
    /// VMs to be maintained, it would take 0.8 to 2.2 s from one decision to the next; sent
    /// concurrently, it takes 0.3 s.
    async fn send_to_owners(&self, messages: Vec<Message>) -> Vec<Option<Reply>> {
        let send = |message: Message| {
            let node = self.node.clone();
            spawn_local(async move {
                let pool = message.pool().to_owned();
                node.send_to_owner(&pool, message, peer::SHORT_TIMEOUT).await.ok()
            })
        };
        let tasks: Vec<_> = messages.into_iter().map(send).collect();
        let mut replies = Vec::with_capacity(tasks.len());
        for reply in tasks {
            replies.push(reply.await.ok().flatten());
        }
        replies
    }

    async fn tick(&mut self) {
        let mut waves: Vec<Wave> = {
            let all = self.node.waves.borrow();
            let is_open = |number: &u64| !self.waves.get(number).is_some_and(|p| p.completed);
            all.values().map(|(wave, _)| wave).filter(|w| is_open(&w.number)).cloned().collect()
        };
        let known = self.listed.clone().filter(|(at, _)| clock::now() - *at < LIST_INTERVAL);
        let is_fresh = known.is_none();
        let (listed_at, vms, is_whole) = match known {
            Some((at, vms)) => (at, vms, false),
            None => {
                let at = clock::now();
                let Some((vms, is_whole)) = self.list().await else { return };
                (at, Rc::new(vms), is_whole)
            }
        };
        self.listed = Some((listed_at, vms.clone()));
        if is_fresh {
            self.update_away(listed_at, &vms);
            let wanted = waves.iter().flat_map(|wave| &wave.vms).map(String::as_str);
            if is_whole {
                self.absence.note(listed_at, wanted, |vm| vms.contains_key(vm));
                self.workers.note_list(listed_at, &vms);
            } else {
                // No VM or worker counts as ended by such a list, however long it takes.
                self.node.metrics.event("list incomplete");
                self.node.trace.line("list incomplete", || json!({ "readable": vms.len() }));
            }
            if self.node.settings.contention.maintenance {
                let remaining = waves.iter().flat_map(|wave| self.remaining_vms(wave)).cloned();
                let remaining = remaining.collect();
                self.cheap.begin_tick(clock::now(), remaining);
                // The wave whose deadline is next gets orders first.
                let left = |wave: &Wave| {
                    self.wave_age(wave.number).map(|age| wave.time_limit.saturating_sub(age))
                };
                waves.sort_by_key(left);
            }
            for wave in waves {
                self.tick_wave(&wave, &vms).await;
            }
        }
        self.tick_sizes(listed_at, &vms).await;
    }

    /// Returns the VMs, and whether the list is whole: without unreadable rows.
    async fn list(&self) -> Option<(BTreeMap<String, Vm>, bool)> {
        let (mut vms, mut is_whole) = (BTreeMap::new(), true);
        let mut page = None;
        loop {
            let (status, body) = call(&self.node, &fleet::list(page.as_deref())).await?;
            let read = fleet::parse_list(status, &body).ok()?;
            is_whole &= read.is_whole;
            vms.extend(read.vms.into_iter().map(|vm| (vm.name.clone(), vm)));
            page = read.next;
            if page.is_none() {
                return Some((vms, is_whole));
            }
        }
    }

    /// Updates the VMs that count as away, and records how long those that are back were away.
    fn update_away(&mut self, listed_at: Time, vms: &BTreeMap<String, Vm>) {
        for vm in vms.values().filter(|vm| vm.state == State::Maintained) {
            if self.away.is_away(&vm.name) {
                self.cheap.rounds.note_maintained(&vm.name);
            }
        }
        for (name, away) in self.away.update(listed_at, vms) {
            self.cheap.rounds.record_return(&name, away);
        }
    }
}
