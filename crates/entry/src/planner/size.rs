//! Sizes of pools: VMs follow the work, and leave for the spares when there is
//! none.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use corianderfork_adapter::fleet::{self, Answer, State, Vm};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::size::{Request, Sizer, allocate};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};

use super::{EMPTY, Planner};
use crate::arrivals::Stock;
use crate::clock;
use crate::exchange::Exchange;
use crate::peer::{Ask, Reply};

/// Orders under way at once.
const AT_ONCE: usize = 24;
/// Keeps all workers of a pool.
const ALL: u32 = u32::MAX;

/// What is known of a pool's size.
#[derive(Default)]
pub(super) struct Pool {
    size: Sizer,
    /// Whether it was last asked to shrink.
    is_shrunk: bool,
    /// What was decided last.
    target: usize,
    exchange: Exchange,
    /// Whether it was last given fewer VMs than it asked for.
    is_short: bool,
}

/// What a pool's owner told, and what follows.
struct Asked {
    pool: String,
    load: Load,
    stock: Stock,
    want: Request,
    /// Whether the owner told; else this is what it told last.
    is_told: bool,
}

struct Need {
    pool: String,
    missing: usize,
}

impl Planner {
    /// Sends VMs where work waits, and those that idle to the spares.
    pub(super) async fn tick_sizes(&mut self, listed_at: Time, vms: &BTreeMap<String, Vm>) {
        self.coming.settle(listed_at, vms);
        let (pools, spares) = self.pools();
        let Some(each) = usual_room(vms) else { return };
        let mut free = self.spare_vms(vms, &spares);
        let mut asked = self.ask_loads(&pools, &each).await;
        asked.extend(self.recalled(&pools, &asked, vms));
        let wants: Vec<Request> = asked.iter().map(|asked| asked.want).collect();
        let total = there(vms);
        self.is_scarce = wants.iter().map(|want| want.current).sum::<u32>() > total;
        let mut needs = Vec::new();
        let mut keeps = Vec::new();
        for (asked, target) in asked.iter().zip(allocate(&wants, total)) {
            let target = target as usize;
            self.log_size(asked, target, clock::now() - listed_at);
            let missing = asked.stock.missing(target);
            if missing > 0 {
                needs.push(Need { pool: asked.pool.clone(), missing });
            }
            if asked.is_told {
                keeps.extend(self.keep(asked, target));
            }
        }
        let asked_at = clock::now();
        let idle = self.shrink(keeps, vms).await;
        needs.sort_by_key(|need| std::cmp::Reverse(need.missing));
        free.extend(idle.iter().cloned());
        let moves = moves(&needs, &free, &idle, spares.first(), vms);
        self.note_short(&needs, &moves);
        let most = self.allowance();
        let mut moves: Vec<(String, String)> = moves.into_iter().take(most).collect();
        let names: Vec<String> = moves.iter().map(|(vm, _)| vm.clone()).collect();
        if names.is_empty() || !self.announce(&names).await {
            return;
        }
        if clock::now() - asked_at >= EMPTY {
            moves.retain(|(vm, _)| !idle.contains(vm));
        }
        for some in moves.chunks(AT_ONCE) {
            self.transfer_some(some, vms).await;
        }
    }

    /// Sends orders for moves, all at once: one after the other, the last of a
    /// pool's turn would come seconds late.
    async fn transfer_some(&mut self, moves: &[(String, String)], vms: &BTreeMap<String, Vm>) {
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
                self.transferred(&vm, answer);
                if answer == Some(Answer::Done) {
                    gone.push(vm);
                }
            }
        }
        self.tell_gone(&gone);
    }

    async fn ask_loads(&mut self, pools: &[String], each: &Room) -> Vec<Asked> {
        let ask = |pool: &String| Ask::Load {
            pool: pool.clone(),
            arrived: self.coming.uncounted(pool),
            expects: self.coming.number(pool) > 0,
        };
        let replies = self.ask_all(pools.iter().map(ask).collect()).await;
        let mut asked = Vec::new();
        for (pool, reply) in pools.iter().zip(replies) {
            let Some(Reply::Load { load, counted }) = reply else { continue };
            self.coming.counted(pool, &counted);
            let stock = Stock::new(&load, self.coming.number(pool));
            let known = self.sizes.entry(pool.clone()).or_default();
            let want = known.size.request(clock::now(), &load, each);
            asked.push(Asked { pool: pool.clone(), load, stock, want, is_told: true });
        }
        asked
    }

    /// What pools want whose owners don't tell: VMs go on being sent to them, by the
    /// list of what they have.
    fn recalled(
        &self,
        pools: &[String],
        asked: &[Asked],
        vms: &BTreeMap<String, Vm>,
    ) -> Vec<Asked> {
        let now = clock::now();
        let is_silent = |pool: &&String| !asked.iter().any(|asked| asked.pool == **pool);
        let recall = |pool: &String| {
            let want = self.sizes.get(pool)?.size.last_request(now)?;
            let is_there =
                |vm: &&Vm| vm.pool == *pool && vm.state == State::Up && !self.coming.has(&vm.name);
            let there = vms.values().filter(is_there).count();
            let stock = Stock { there, coming: self.coming.number(pool) };
            let (pool, load) = (pool.clone(), Load::default());
            Some(Asked { pool, load, stock, want, is_told: false })
        };
        pools.iter().filter(is_silent).filter_map(recall).collect()
    }

    fn log_size(&mut self, asked: &Asked, target: usize, listed: Duration) {
        let Some(known) = self.sizes.get_mut(&asked.pool) else { return };
        if std::mem::replace(&mut known.target, target) != target {
            let (load, want) = (asked.load, asked.want);
            self.node.trace.line(
                "pool sized",
                json!({ "pool": asked.pool, "target": target, "now": want.current, "held": want.peak,
                    "workers": load.workers, "surplus": load.surplus, "coming": asked.stock.coming, "rooted": load.rooted, "unfit": load.unfit, "refused": load.refused,
                    "used": load.used, "waiting": load.waiting, "lasting": load.lasting,
                    "needed": load.needed, "noise": load.noise,
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

    /// VMs of the spares that may be moved.
    fn spare_vms(&self, vms: &BTreeMap<String, Vm>, spares: &[String]) -> Vec<String> {
        let is_free = |vm: &&Vm| {
            spares.contains(&vm.pool) && vm.state == State::Up && !self.is_ordered(&vm.name)
        };
        vms.values().filter(is_free).map(|vm| vm.name.clone()).collect()
    }

    fn is_ordered(&self, vm: &str) -> bool {
        self.coming.has(vm) || self.away.contains_key(vm) || !self.may_order_vm(vm)
    }

    /// What the owner of a pool is to be told of its size, if anything: it keeps
    /// all until it is told otherwise.
    fn keep(&mut self, asked: &Asked, target: usize) -> Option<Ask> {
        let known = self.sizes.get_mut(&asked.pool)?;
        let is_stuck = asked.load.refused > 0 && known.is_short;
        let gives = known.exchange.gives(clock::now(), is_stuck);
        let target = if gives { target.min(asked.stock.there.saturating_sub(1)) } else { target };
        let keep = asked.stock.keep(target);
        if keep.is_none() && !known.is_shrunk {
            return None;
        }
        known.is_shrunk = keep.is_some();
        let keep = keep.and_then(|keep| u32::try_from(keep).ok()).unwrap_or(ALL);
        Some(Ask::Shrink { pool: asked.pool.clone(), keep })
    }

    /// Notes which pools got fewer VMs than they asked for.
    fn note_short(&mut self, needs: &[Need], moves: &[(String, String)]) {
        for (pool, known) in &mut self.sizes {
            let missing = needs.iter().find(|need| need.pool == *pool).map_or(0, |n| n.missing);
            known.is_short = moves.iter().filter(|(_, to)| to == pool).count() < missing;
        }
    }

    /// Has owners empty what is too much; VMs that may leave now.
    async fn shrink(&self, keeps: Vec<Ask>, vms: &BTreeMap<String, Vm>) -> Vec<String> {
        let mut empty: HashSet<String> = HashSet::new();
        for reply in self.ask_all(keeps).await {
            if let Some(Reply::Spare { workers }) = reply {
                empty.extend(workers);
            }
        }
        let is_idle = |vm: &&Vm| {
            vm.state == State::Up && empty.contains(&vm.worker) && !self.is_ordered(&vm.name)
        };
        vms.values().filter(is_idle).map(|vm| vm.name.clone()).collect()
    }

    fn transfer(&mut self, vm: &Vm, pool: String) -> JoinHandle<(Vm, Option<Answer>)> {
        if self.sizes.get_mut(&vm.pool).is_some_and(|known| known.exchange.gave(clock::now())) {
            self.node.trace.line(
                "worker given up",
                json!({ "pool": vm.pool, "vm": vm.name, "worker": vm.worker,
                    "why": "a step is allowed on none of the pool's workers, and no VM is free" }),
            );
        }
        let call = fleet::transfer(&vm.name, &pool, &self.holder);
        self.coming.order(clock::now(), &vm.name, &pool);
        let (node, vm) = (self.node.clone(), vm.clone());
        spawn_local(async move {
            let answer = super::call(&node, &call).await;
            (vm, answer.map(|(status, body)| fleet::ordered(status, &body)))
        })
    }

    fn transferred(&mut self, vm: &Vm, answer: Option<Answer>) {
        let pool = self.coming.pool_of(&vm.name);
        self.node.trace.line(
            "move ordered",
            json!({ "vm": vm.name, "from": vm.pool, "pool": pool, "worker": vm.worker,
                "fence": self.holder.fence, "answer": format!("{answer:?}") }),
        );
        match answer {
            Some(Answer::Fenced) => self.node.planner.set(None),
            Some(Answer::Done | Answer::Unknown) | None => {}
            Some(Answer::Busy | Answer::Refused | Answer::Unavailable) => {
                self.coming.cancel(&vm.name);
            }
        }
    }
}

/// The room that most VMs have: what one more brings.
fn usual_room(vms: &BTreeMap<String, Vm>) -> Option<Room> {
    let mut rooms: Vec<Room> = vms.values().map(|vm| vm.room).filter(|room| room.cpu > 0).collect();
    rooms.sort_by_key(|room| (room.cpu, room.memory_mb));
    rooms.get(rooms.len() / 2).copied()
}

/// How many VMs there are to share. Those on their way from one pool to another
/// count, and those that empty: left out, each VM that a pool gives up would
/// lower what all get, and so the pool's own share, until it has given up all.
fn there(vms: &BTreeMap<String, Vm>) -> u32 {
    let is_there = |vm: &&Vm| matches!(vm.state, State::Up | State::Moving);
    u32::try_from(vms.values().filter(is_there).count()).unwrap_or(u32::MAX)
}

/// Which VM goes where: the free ones to where most is missing, and what idles
/// beyond that to the spares. None goes to the pool that it is in: that is no move,
/// and a pool that gives one up for another life wants it gone first.
fn moves(
    needs: &[Need],
    free: &[String],
    idle: &[String],
    spare: Option<&String>,
    vms: &BTreeMap<String, Vm>,
) -> Vec<(String, String)> {
    let mut free: Vec<&String> = free.iter().collect();
    let mut moves = Vec::new();
    for need in needs {
        let is_there = |vm: &&String| vms.get(*vm).is_some_and(|vm| vm.pool == need.pool);
        let (own, mut others): (Vec<_>, Vec<_>) = free.into_iter().partition(is_there);
        let rest = others.split_off(need.missing.min(others.len()));
        moves.extend(others.into_iter().map(|vm| (vm.clone(), need.pool.clone())));
        free = rest.into_iter().chain(own).collect();
    }
    if let Some(spare) = spare {
        let left = free.into_iter().filter(|vm| idle.contains(*vm));
        moves.extend(left.map(|vm| (vm.clone(), spare.clone())));
    }
    moves
}
