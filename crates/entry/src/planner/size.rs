//! Pool sizing: VMs are moved to pools with work, and to the spare pools when idle.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use corianderfork_adapter::fleet::{self, Answer, State, Vm};
use corianderfork_jobs::allocate::{self, divide_free};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::size::{self, Request, Sizer};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};

use super::target::Target;
use super::{EMPTY_VALIDITY, Planner, cheap};
use crate::arrivals::{Stock, divide_missing};
use crate::clock;
use crate::division::{Arrivals, Update};
use crate::exchange::Exchange;
use crate::peer::{Message, Reply};

/// The most orders in flight at once.
const MAX_CONCURRENT_ORDERS: usize = 24;
/// The `keep` of a shrink request by which an owner keeps all workers.
const KEEP_ALL: u32 = u32::MAX;

/// How long a planner that takes over waits for the first load of each pool.
const FIRST_LOADS_TIMEOUT: Duration = Duration::from_millis(500);
/// The share of the orders a second that is kept for pools whose load rises.
const RISING_SHARE: f64 = 0.2;

/// The sizing state of a pool.
#[derive(Default)]
pub(super) struct Pool {
    sizer: Sizer,
    /// Whether its owner was last asked to shrink it.
    is_shrunk: bool,
    /// The last target size.
    target: Target,
    exchange: Exchange,
    /// Whether it was last given fewer VMs than it needed.
    has_shortage: bool,
}

/// What a pool has and wants.
struct Demand {
    pool: String,
    load: Load,
    stock: Stock,
    request: Request,
    /// Whether the owner reported this now; otherwise it is derived from its last report.
    is_current: bool,
}

#[derive(Clone)]
struct Shortage {
    pool: String,
    missing: usize,
    /// Number of VMs that it has or that are coming.
    stock: usize,
}

impl Planner {
    /// Moves VMs to pools with waiting work, and idle ones to the spare pool.
    pub(super) async fn tick_sizes(&mut self, listed_at: Time, vms: &BTreeMap<String, Vm>) {
        self.arrivals.update(listed_at, vms);
        let (pools, spares) = self.pools();
        let Some(vm_room) = typical_room(vms) else { return };
        let mut free = self.spare_vms(vms, &spares);
        let total = vm_count(vms);
        let mut demands = self.fetch_demands(&pools, &vm_room, total).await;
        demands.extend(self.recall_demands(&pools, &demands, vms));
        if !self.knows_loads(&pools, &demands) {
            return;
        }
        let requests: Vec<Request> = demands.iter().map(|demand| demand.request).collect();
        self.is_scarce = requests.iter().map(|request| request.current).sum::<u32>() > total;
        let (mut shortages, mut needs) = (Vec::new(), BTreeMap::new());
        let mut messages = Vec::new();
        for (demand, target) in demands.iter().zip(self.targets(&demands, &requests, total)) {
            let target = target as usize;
            self.log_size(demand, target, clock::now() - listed_at);
            let missing = demand.stock.missing(target);
            let (present, in_time) = (demand.stock.present, demand.request.in_time as usize);
            needs.insert(demand.pool.clone(), cheap::Need { present, in_time, missing });
            if missing > 0 {
                let (pool, stock) = (demand.pool.clone(), present + demand.stock.coming);
                shortages.push(Shortage { pool, missing, stock });
            }
            if demand.is_current {
                let present = demand.stock.present;
                let message = self.shrink_message(demand, target);
                messages.extend(message.map(|message| (message, present)));
            }
        }
        let missing: usize = shortages.iter().map(|shortage| shortage.missing).sum();
        let messages = announce_missing(messages, missing.saturating_sub(free.len()));
        let asked_at = clock::now();
        self.cheap.set_needs(asked_at, needs, total);
        let idle = self.shrink(messages, vms).await;
        shortages.sort_by_key(|shortage| std::cmp::Reverse(shortage.missing));
        free.extend(idle.iter().cloned());
        let parts = self.serve_shortages(&shortages, free.len());
        let moves = assign_moves(&parts, &free, &idle, spares.first(), vms);
        self.record_shortages(&shortages, &moves);
        let allowance = self.move_allowance();
        let mut moves = self.limit_moves(moves, allowance);
        let names: Vec<String> = moves.iter().map(|(vm, _)| vm.clone()).collect();
        if names.is_empty() || !self.record_orders(&names).await {
            return;
        }
        if clock::now() - asked_at >= EMPTY_VALIDITY {
            moves.retain(|(vm, _)| !idle.contains(vm));
        }
        for chunk in moves.chunks(MAX_CONCURRENT_ORDERS) {
            self.send_moves(chunk, vms).await;
        }
    }

    /// Sends orders for moves concurrently: one after the other, the last one of a pool
    /// would be seconds late.
    async fn send_moves(&mut self, moves: &[(String, String)], vms: &BTreeMap<String, Vm>) {
        let mut sent = Vec::new();
        for (name, pool) in moves {
            if let Some(vm) = vms.get(name)
                && self.is_holder()
            {
                sent.push(self.transfer(vm, pool.clone()));
            }
        }
        let mut gone = Vec::new();
        for answer in sent {
            if let Ok((vm, answer)) = answer.await {
                self.handle_transfer_answer(&vm, answer);
                if answer == Some(Answer::Done) {
                    gone.push(vm);
                }
            }
        }
        self.report_gone_workers(&gone);
    }

    async fn fetch_demands(&mut self, pools: &[String], vm_room: &Room, total: u32) -> Vec<Demand> {
        let tells_target = self.node.settings.contention.refuse;
        let mut messages = Vec::with_capacity(pools.len());
        for pool in pools {
            let (meter_version, meter_parts, meter_change) = match self.next_meter_update(pool) {
                Some(Update::Whole(version, parts)) => (Some(version), Some(parts), None),
                Some(Update::Change(change)) => (None, None, Some(change)),
                None => (None, None, None),
            };
            let sizing = self.sizes.get(pool).filter(|_| tells_target);
            messages.push(Message::Load {
                pool: pool.clone(),
                arrived: self.arrivals.uncounted(pool),
                expects: self.arrivals.count_coming(pool) > 0,
                target: sizing.and_then(|sizing| sizing.target.told()),
                meter_parts,
                meter_version,
                meter_change,
                ended: self.workers.ended(pool),
            });
        }
        let replies = self.send_to_owners(messages).await;
        let mut demands = Vec::new();
        for (pool, reply) in pools.iter().zip(replies) {
            let Some(Reply::Load { load, counted, arrivals, arrival_changes, holds_parts, silent }) =
                reply
            else {
                continue;
            };
            self.workers.set_silent(pool, silent);
            let arrivals = arrivals
                .map(|all| Arrivals::Whole(all.into_iter().collect()))
                .or(arrival_changes.map(Arrivals::Change));
            if let Some(arrivals) = arrivals {
                self.meter.note(clock::now(), pool, arrivals, holds_parts);
            }
            self.arrivals.mark_counted(pool, &counted);
            let stock = Stock::new(&load, self.arrivals.count_coming(pool));
            let sizing = self.sizes.entry(pool.clone()).or_default();
            let load = load.without_oversized_gang(total);
            let request = sizing.sizer.request(clock::now(), &load, vm_room);
            demands.push(Demand { pool: pool.clone(), load, stock, request, is_current: true });
        }
        demands
    }

    /// Returns the update of a pool's parts of the rates that organisations are owed, if it is due.
    fn next_meter_update(&mut self, pool: &str) -> Option<Update> {
        let is_on = self.node.settings.contention.meter;
        is_on.then(|| self.meter.next_update(clock::now(), pool)).flatten()
    }

    /// Returns the demands of pools whose owners don't respond. VMs are still sent to them,
    /// based on the fleet's list of what they have.
    fn recall_demands(
        &self,
        pools: &[String],
        demands: &[Demand],
        vms: &BTreeMap<String, Vm>,
    ) -> Vec<Demand> {
        let now = clock::now();
        let is_unreported = |pool: &&String| !demands.iter().any(|demand| demand.pool == **pool);
        let recall = |pool: &String| {
            let request = self.sizes.get(pool)?.sizer.last_request(now)?;
            let is_present = |vm: &&Vm| {
                vm.pool == *pool && vm.state == State::Up && !self.arrivals.contains(&vm.name)
            };
            let present = vms.values().filter(is_present).count();
            let stock = Stock { present, coming: self.arrivals.count_coming(pool) };
            let (pool, load) = (pool.clone(), Load::default());
            Some(Demand { pool, load, stock, request, is_current: false })
        };
        pools.iter().filter(is_unreported).filter_map(recall).collect()
    }

    /// Whether the loads of all pools are known, or can't be expected any more.
    ///
    /// A planner that takes over knows no load. If it decided before the owners have answered, the
    /// pools that it doesn't know would count as wanting nothing.
    fn knows_loads(&mut self, pools: &[String], demands: &[Demand]) -> bool {
        if !self.node.settings.contention.allocate {
            return true;
        }
        let since = *self.sizing_since.get_or_insert_with(clock::now);
        let is_known = |pool: &String| demands.iter().any(|demand| demand.pool == *pool);
        clock::now() - since >= FIRST_LOADS_TIMEOUT || pools.iter().all(is_known)
    }

    /// Returns the target sizes.
    fn targets(&self, demands: &[Demand], requests: &[Request], total: u32) -> Vec<u32> {
        if !self.node.settings.contention.allocate {
            return size::allocate(requests, total);
        }
        let to_pool = |demand: &Demand| allocate::Pool {
            request: demand.request,
            stock: to_u32(demand.stock.present + demand.stock.coming),
            leaving: demand.load.surplus,
        };
        let pools: Vec<allocate::Pool> = demands.iter().map(to_pool).collect();
        allocate::allocate(&pools, total)
    }

    /// Returns the shortages that `free` VMs can end, in the order in which they are served.
    fn serve_shortages(&self, shortages: &[Shortage], free: usize) -> Vec<Shortage> {
        if !self.node.settings.contention.allocate {
            return shortages.to_vec();
        }
        let pools: Vec<(usize, usize)> =
            shortages.iter().map(|shortage| (shortage.stock, shortage.missing)).collect();
        let given = divide_free(&pools, free);
        let part =
            |(shortage, missing): (&Shortage, usize)| Shortage { missing, ..shortage.clone() };
        shortages.iter().zip(given).map(part).collect()
    }

    /// Returns the moves that may be ordered now. A fifth of the rate is kept for pools whose load
    /// rises.
    fn limit_moves(&self, moves: Vec<(String, String)>, allowance: usize) -> Vec<(String, String)> {
        if !self.node.settings.contention.allocate {
            return moves.into_iter().take(allowance).collect();
        }
        let is_rising = |(_, pool): &(String, String)| {
            self.sizes.get(pool).is_some_and(|sizing| sizing.sizer.is_rising())
        };
        let (mut first, others): (Vec<_>, Vec<_>) = moves.into_iter().partition(is_rising);
        first.truncate(allowance);
        let kept = (self.order_rate() * RISING_SHARE).round() as usize;
        let left = (allowance - first.len()).min(allowance.saturating_sub(kept));
        first.extend(others.into_iter().take(left));
        first
    }

    fn log_size(&mut self, demand: &Demand, target: usize, listed: Duration) {
        let Some(sizing) = self.sizes.get_mut(&demand.pool) else { return };
        if sizing.target.set(target) {
            let (load, request) = (demand.load, demand.request);
            self.node.trace.line(
                "pool sized",
                || json!({ "pool": demand.pool, "target": target, "now": request.current, "held": request.peak, "in_time": request.in_time,
                    "workers": load.workers, "surplus": load.surplus, "coming": demand.stock.coming, "rooted": load.rooted, "unfit": load.unfit, "at_once": load.at_once, "refused": load.refused,
                    "used": load.used, "waiting": load.waiting, "lasting": load.lasting,
                    "needed": load.needed, "needed_in_time": load.in_time, "noise": load.noise,
                    "listed_ms_ago": crate::owner::ms(listed) }),
            );
        }
    }

    fn pools(&self) -> (Vec<String>, Vec<String>) {
        let config = self.node.config.borrow();
        let pools = config.iter().flat_map(|config| &config.pools);
        let (spares, pools): (Vec<_>, Vec<_>) = pools.partition(|pool| pool.spare);
        let names = |pools: Vec<&corianderfork_adapter::config::Pool>| {
            pools.into_iter().map(|pool| pool.name.clone()).collect()
        };
        (names(pools), names(spares))
    }

    /// Returns the names of spare VMs that may be moved.
    fn spare_vms(&self, vms: &BTreeMap<String, Vm>, spares: &[String]) -> Vec<String> {
        let is_free = |vm: &&Vm| {
            spares.contains(&vm.pool) && vm.state == State::Up && !self.is_order_pending(&vm.name)
        };
        let mut free: Vec<String> =
            vms.values().filter(is_free).map(|vm| vm.name.clone()).collect();
        // A VM that is still to be maintained would soon leave its pool again. Empty unless cheap
        // maintenance is on.
        free.sort_by_key(|vm| self.cheap.is_remaining(vm));
        free
    }

    fn is_order_pending(&self, vm: &str) -> bool {
        self.arrivals.contains(vm) || self.away.is_away(vm) || !self.may_order_vm(vm)
    }

    /// Returns the request that sets how many workers a pool's owner keeps, if needed: an owner
    /// keeps all until it receives one.
    fn shrink_message(&mut self, demand: &Demand, target: usize) -> Option<Message> {
        let sizing = self.sizes.get_mut(&demand.pool)?;
        let is_stuck = demand.load.refused > 0 && sizing.has_shortage;
        let should_release = sizing.exchange.should_release(clock::now(), is_stuck);
        let target = if should_release {
            target.min(demand.stock.present.saturating_sub(1))
        } else {
            target
        };
        let keep = demand.stock.keep(target);
        if keep.is_none() && !sizing.is_shrunk {
            return None;
        }
        sizing.is_shrunk = keep.is_some();
        let keep = keep.and_then(|keep| u32::try_from(keep).ok()).unwrap_or(KEEP_ALL);
        Some(Message::Shrink { pool: demand.pool.clone(), keep, missing: 0 })
    }

    /// Records which pools got fewer VMs than they needed.
    fn record_shortages(&mut self, shortages: &[Shortage], moves: &[(String, String)]) {
        for (pool, sizing) in &mut self.sizes {
            let missing =
                shortages.iter().find(|shortage| shortage.pool == *pool).map_or(0, |n| n.missing);
            sizing.has_shortage = moves.iter().filter(|(_, to)| to == pool).count() < missing;
        }
    }

    /// Asks owners to vacate surplus workers. Returns the VMs that may leave now.
    async fn shrink(&self, messages: Vec<Message>, vms: &BTreeMap<String, Vm>) -> Vec<String> {
        let mut empty: HashSet<String> = HashSet::new();
        for reply in self.send_to_owners(messages).await {
            if let Some(Reply::Spare { workers }) = reply {
                empty.extend(workers);
            }
        }
        let is_idle = |vm: &&Vm| {
            vm.state == State::Up && empty.contains(&vm.worker) && !self.is_order_pending(&vm.name)
        };
        vms.values().filter(is_idle).map(|vm| vm.name.clone()).collect()
    }

    fn transfer(&mut self, vm: &Vm, pool: String) -> JoinHandle<(Vm, Option<Answer>)> {
        if self
            .sizes
            .get_mut(&vm.pool)
            .is_some_and(|sizing| sizing.exchange.note_departure(clock::now()))
        {
            self.node.trace.line("worker released", || {
                json!({ "pool": vm.pool, "vm": vm.name, "worker": vm.worker,
                    "why": "a step is allowed on none of the pool's workers, and no VM is free" })
            });
        }
        let call = fleet::transfer(&vm.name, &pool, &self.holder);
        self.arrivals.order(clock::now(), &vm.name, &pool);
        let (node, vm) = (self.node.clone(), vm.clone());
        spawn_local(async move {
            let answer = super::call(&node, &call).await;
            (vm, answer.map(|(status, body)| fleet::parse_order(status, &body)))
        })
    }

    fn handle_transfer_answer(&mut self, vm: &Vm, answer: Option<Answer>) {
        let pool = self.arrivals.pool_of(&vm.name);
        self.node.trace.line("move ordered", || {
            json!({ "vm": vm.name, "from": vm.pool, "pool": pool, "worker": vm.worker,
                "fence": self.holder.fence, "answer": format!("{answer:?}") })
        });
        match answer {
            Some(Answer::Fenced) => self.node.planner.set(None),
            Some(Answer::Done | Answer::Unknown) | None => {}
            Some(Answer::Busy | Answer::Refused | Answer::Unavailable) => {
                self.arrivals.cancel(&vm.name);
            }
        }
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the room of a typical VM, which is what one more VM adds.
fn typical_room(vms: &BTreeMap<String, Vm>) -> Option<Room> {
    let mut rooms: Vec<Room> = vms.values().map(|vm| vm.room).filter(|room| room.cpu > 0).collect();
    rooms.sort_by_key(|room| (room.cpu, room.memory_mb));
    rooms.get(rooms.len() / 2).copied()
}

/// Returns the number of VMs to share among pools. This includes VMs that are moving or
/// being vacated: without them each VM that a pool gives up would lower every pool's share,
/// also its own, until it had given up all.
fn vm_count(vms: &BTreeMap<String, Vm>) -> u32 {
    let is_present = |vm: &&Vm| matches!(vm.state, State::Up | State::Moving);
    u32::try_from(vms.values().filter(is_present).count()).unwrap_or(u32::MAX)
}

/// Tells the pools that are asked to shrink how many VMs others miss. Each request comes with the
/// number of workers that its pool has.
fn announce_missing(requests: Vec<(Message, usize)>, missing: usize) -> Vec<Message> {
    let released = |(message, present): &(Message, usize)| match message {
        Message::Shrink { keep, .. } => present.saturating_sub(*keep as usize),
        _ => 0,
    };
    let released: Vec<usize> = requests.iter().map(released).collect();
    let announce = |((mut message, _), share): ((Message, usize), usize)| {
        if let Message::Shrink { missing, .. } = &mut message {
            *missing = u32::try_from(share).unwrap_or(u32::MAX);
        }
        message
    };
    requests.into_iter().zip(divide_missing(missing, &released)).map(announce).collect()
}

/// Assigns VMs to pools: free ones to the pools that miss most, and remaining idle ones to
/// the spare pool. No VM is assigned to its own pool: that would be no move, and a pool that
/// exchanges a worker needs it to leave first.
fn assign_moves(
    shortages: &[Shortage],
    free: &[String],
    idle: &[String],
    spare: Option<&String>,
    vms: &BTreeMap<String, Vm>,
) -> Vec<(String, String)> {
    let mut free: Vec<&String> = free.iter().collect();
    let mut moves = Vec::new();
    for shortage in shortages {
        let is_present = |vm: &&String| vms.get(*vm).is_some_and(|vm| vm.pool == shortage.pool);
        let (own, mut others): (Vec<_>, Vec<_>) = free.into_iter().partition(is_present);
        let rest = others.split_off(shortage.missing.min(others.len()));
        moves.extend(others.into_iter().map(|vm| (vm.clone(), shortage.pool.clone())));
        free = rest.into_iter().chain(own).collect();
    }
    if let Some(spare) = spare {
        let left = free.into_iter().filter(|vm| idle.contains(*vm));
        moves.extend(left.map(|vm| (vm.clone(), spare.clone())));
    }
    moves
}
