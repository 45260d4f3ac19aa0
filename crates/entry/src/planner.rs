//! The fleet's planner: one daemon at a time that orders VMs to pools and to
//! maintenance.

mod size;
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

use crate::clock;
use crate::duty::FLEET;
use crate::node::Node;

/// The prefix of how far waves are; the number follows.
const WAVES: &str = "fleet/wave/";
/// How often the fleet is looked at.
const TICK: Duration = Duration::from_millis(250);
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
    /// VMs on their way to a pool.
    coming: HashMap<String, size::Coming>,
    /// What is known of each pool's size.
    sizes: HashMap<String, size::Pool>,
}

/// Plans until another holds the duty.
pub async fn plan(node: Rc<Node>, fence: u64) {
    let begun = clock::now();
    let name = node.settings.name.as_str().to_owned();
    let holder = Holder { name, fence };
    let (waves, away, told) = (BTreeMap::new(), HashMap::new(), BTreeSet::new());
    let (coming, sizes) = (HashMap::new(), HashMap::new());
    let mut planner = Planner { node: node.clone(), holder, waves, away, told, coming, sizes };
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
        let listed_at = clock::now();
        let Some(vms) = self.list().await else { return };
        self.settle(listed_at, &vms);
        for wave in waves {
            self.tick_wave(&wave, &vms).await;
        }
        self.tick_sizes(listed_at, &vms).await;
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
}
