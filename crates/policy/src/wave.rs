//! Maintenance waves.
//!
//! Nothing of a wave lives in memory: what is done, under way and failing is
//! read off the VMs, so a controller that takes over goes on where the one
//! before it stopped. A wave begins with one VM a pool and widens with each VM
//! that comes back well. It halts where VMs come back failing, and waits
//! where a service's budget has no room, whoever used it up.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::budget;
use crate::config::Width;
use crate::directive::Pace;
use crate::note::Note;
use crate::periodic;
use crate::progress::{Tally, fails, is_late};
use crate::state::{Phase, Purpose, Vm};
use crate::step::{Operation, Reason, Step};
use crate::view::{Host, View};

/// At most one in this many of a pool's VMs is under way, so that copies lost
/// meanwhile find room.
const POOL_SHARE: u32 = 2;

/// A wave that operators ordered: each VM of its pools is rebooted once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// When it was ordered. A VM that came back since then is done.
    pub started_at: Time,
    /// When it has to be finished.
    pub deadline: Time,
    /// The pools it goes over; all, if there is none.
    pub pools: Vec<PoolId>,
    /// When an operator last said to go on: VMs that came back failing before
    /// then no longer halt it.
    pub resumed_at: Option<Time>,
}

impl Order {
    /// A wave over all pools.
    pub fn new(started_at: Time, deadline: Time) -> Self {
        Self { started_at, deadline, pools: Vec::new(), resumed_at: None }
    }

    /// Whether it goes over `pool`.
    pub fn covers(&self, pool: PoolId) -> bool {
        self.pools.is_empty() || self.pools.contains(&pool)
    }

    /// Whether it has still to reboot `vm`.
    pub fn is_pending(&self, vm: &Vm) -> bool {
        self.covers(vm.pool)
            && vm.phase != Phase::Out
            && vm.maintained_at.is_none_or(|then| then < self.started_at)
    }

    /// Whether no VM is left to reboot or to come back.
    pub fn is_done(&self, state: &crate::State) -> bool {
        state.vms().all(|(_, vm)| !self.is_pending(vm) && !under_way(vm))
    }
}

/// Whether the wave under way has still to come to `vm`.
pub(crate) fn is_pending(view: &View<'_>, vm: VmId) -> bool {
    view.state.wave.as_ref().is_some_and(|order| order.is_pending(view.state.vm(vm)))
}

/// Whether `vm` came back failing in the wave under way.
pub(crate) fn failed_return(view: &View<'_>, vm: VmId) -> bool {
    let vm = view.state.vm(vm);
    let back = |order: &Order| {
        order.covers(vm.pool) && vm.maintained_at.is_some_and(|then| then >= order.started_at)
    };
    view.state.wave.as_ref().is_some_and(back) && fails(vm)
}

/// Whether `vm` is being maintained.
pub(crate) fn under_way(vm: &Vm) -> bool {
    vm.purpose == Some(Purpose::Maintenance) && !matches!(vm.phase, Phase::Serving | Phase::Out)
}

/// One pool's share of a wave.
struct Batch {
    pool: PoolId,
    /// VMs to be rebooted, in this order.
    todo: Vec<VmId>,
    /// How many more may be under way.
    room: u32,
    /// How many may have their copies placed elsewhere meanwhile.
    ahead: u32,
    /// Whether nothing is under way.
    idle: bool,
    reason: Reason,
    deadline: Option<Time>,
}

/// Decides which VMs are drained for maintenance now.
pub(crate) fn plan(view: &mut View<'_>, steps: &mut Vec<Step>, notes: &mut Vec<Note>) {
    let tallies: Vec<Tally> = view.fleet.pool_ids().map(|pool| Tally::new(view, pool)).collect();
    let all = tallies.iter().fold(Tally::default(), |sum, tally| sum.plus(*tally));
    periodic::overdue(view, notes);
    let late = view.fleet.vm_ids().filter(|&vm| is_late(view, vm));
    notes.extend(late.map(|vm| Note::NotBack { vm }));
    if all.halts() {
        notes.push(Note::Halted { failing: all.failing, back: all.well + all.failing });
        return;
    }
    let mut left = match view.directive.pace {
        Pace::Paused => return,
        // What operators allow bounds what is away by the wave's doing. One that went out
        // of sight in its reboot is: uncounted, another one would be taken beside it.
        Pace::AtMost(most) => most.saturating_sub(all.under_way + all.lost),
        Pace::Measured => u32::MAX,
    };
    for pool in view.fleet.pool_ids() {
        let tally = tallies[pool.index()];
        if tally.halts() {
            notes.push(Note::Halted { failing: tally.failing, back: tally.well + tally.failing });
            continue;
        }
        let Some(mut batch) = batch(view, pool, tally) else { continue };
        batch.room = batch.room.min(left);
        batch.ahead = batch.ahead.min(left);
        left -= drain(view, batch, steps, notes);
    }
}

fn batch(view: &View<'_>, pool: PoolId, tally: Tally) -> Option<Batch> {
    let order = view.state.wave.as_ref();
    let waiting = |vm: &&VmId| {
        view.state.vm(**vm).phase == Phase::Serving && view.hosts[vm.index()] == Host::Usable
    };
    let ordered = |vm: &&VmId| order.is_some_and(|order| order.is_pending(view.state.vm(**vm)));
    let open = view.pool(pool).iter().filter(waiting);
    let mut todo: Vec<VmId> = open.filter(ordered).copied().collect();
    let (reason, room, deadline) = if todo.is_empty() {
        todo = periodic::next(view, pool, tally.under_way);
        (Reason::Due, todo.len() as u32, None)
    } else {
        (Reason::Wave, width(view, pool, tally), order.map(|order| order.deadline))
    };
    if todo.is_empty() {
        return None;
    }
    todo.sort_by_key(|&vm| (view.state.vm(vm).copies.len(), vm));
    let idle = tally.under_way == 0;
    Some(Batch { pool, todo, room, ahead: room.max(tally.well), idle, reason, deadline })
}

/// How many more VMs of a pool may be under way.
fn width(view: &View<'_>, pool: PoolId, tally: Tally) -> u32 {
    let most = (view.pool(pool).len() as u32 / POOL_SHARE).max(1);
    let width = match view.config.width {
        Width::Fixed(width) => width,
        Width::Doubling => 1 + tally.well,
        // That an empty VM is back proves less than a copy that answers.
        Width::Tripling => 1 + tally.well + tally.proven,
    };
    width.min(most).saturating_sub(tally.under_way)
}

/// Drains what can be drained; closes VMs whose copies have to be placed
/// elsewhere first. Gives how many.
fn drain(
    view: &mut View<'_>,
    mut batch: Batch,
    steps: &mut Vec<Step>,
    notes: &mut Vec<Note>,
) -> u32 {
    let mut taken = 0;
    let mut blocked = Vec::new();
    for &vm in &batch.todo {
        if taken >= batch.room && blocked.len() >= batch.ahead as usize {
            break;
        }
        if let Some(service) = budget::blocks(view, vm) {
            blocked.push((vm, service));
            continue;
        }
        if taken >= batch.room {
            continue;
        }
        let purpose = Purpose::Maintenance;
        steps.push(Step::new(Operation::Drain { vm, purpose }, batch.reason));
        view.drained(vm, true);
        taken += 1;
        batch.idle = false;
    }
    if let Some(&(_, service)) = blocked.first() {
        notes.push(Note::WaitsForBudget { service });
    }
    for (vm, _) in blocked.into_iter().take(batch.ahead as usize) {
        if !worth_moving(view, &batch, vm) {
            break;
        }
        view.close(vm);
    }
    taken
}

/// Whether starting the copies of `vm` elsewhere first is worth its moves:
/// where it saves as much roll-out time by the user's weights, or the deadline
/// would pass otherwise. What it saves is one step; but where nothing is under
/// way and no VM can be spared, nothing tells that one can be before the
/// deadline.
fn worth_moving(view: &View<'_>, batch: &Batch, vm: VmId) -> bool {
    if !view.config.surge || view.directive.refuse_moves {
        return false;
    }
    let weights = &view.fleet.weights;
    let moves = view.state.vm(vm).copies.len() as f64;
    let saved = match batch.deadline {
        Some(deadline) if batch.idle => (deadline - view.now).max(view.config.step_duration),
        _ => view.config.step_duration,
    };
    let hours = saved.as_secs_f64() / 3600.0;
    let worth = moves * f64::from(weights.moves) <= hours * f64::from(weights.roll_out);
    worth || batch.deadline.is_some_and(|deadline| too_late(view, batch, deadline))
}

/// Whether the VMs left would take past `deadline` one after the other.
fn too_late(view: &View<'_>, batch: &Batch, deadline: Time) -> bool {
    let left = batch.todo.len().min(view.pool(batch.pool).len()) as u32;
    let needed: Duration = view.config.step_duration.saturating_mul(left);
    view.now + needed > deadline
}
