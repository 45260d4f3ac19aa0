//! Maintenance waves.
//!
//! The progress of a wave is derived from the state of the VMs, not kept in
//! memory, so that another controller can take over at any time. A wave starts
//! with one VM per pool and widens with each VM that comes back healthy. It
//! halts when VMs come back failing, and waits while a service's budget is used
//! up, whatever the cause.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::budget;
use crate::config::Width;
use crate::directive::Pace;
use crate::note::Note;
use crate::periodic;
use crate::progress::{Progress, is_failing, is_reboot_overdue};
use crate::state::{Phase, Purpose, Vm};
use crate::step::{Operation, Reason, Step};
use crate::view::{View, VmStatus};

/// At most one in this many of a pool's VMs is in progress, so that there is
/// room for copies that are lost in the meantime.
const POOL_DIVISOR: u32 = 2;

/// A maintenance wave ordered by operators: each VM of its pools is rebooted
/// once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// When it was ordered. VMs that have come back since then are done.
    pub started_at: Time,
    /// When it has to be complete.
    pub deadline: Time,
    /// The pools it covers; empty means all pools.
    pub pools: Vec<PoolId>,
    /// When an operator last resumed it. VMs that came back failing before then
    /// no longer halt it.
    pub resumed_at: Option<Time>,
}

impl Order {
    /// Creates a wave over all pools.
    pub fn new(started_at: Time, deadline: Time) -> Self {
        Self { started_at, deadline, pools: Vec::new(), resumed_at: None }
    }

    /// Whether the wave covers `pool`.
    pub fn covers(&self, pool: PoolId) -> bool {
        self.pools.is_empty() || self.pools.contains(&pool)
    }

    /// Whether the wave still has to reboot `vm`.
    pub fn is_pending(&self, vm: &Vm) -> bool {
        self.covers(vm.pool)
            && vm.phase != Phase::Out
            && vm.maintained_at.is_none_or(|then| then < self.started_at)
    }

    /// Whether every VM was rebooted and has come back.
    pub fn is_done(&self, state: &crate::State) -> bool {
        state.vms().all(|(_, vm)| !self.is_pending(vm) && !in_progress(vm))
    }
}

/// Whether the current wave still has to reboot `vm`.
pub(crate) fn is_pending(view: &View<'_>, vm: VmId) -> bool {
    view.state.wave.as_ref().is_some_and(|order| order.is_pending(view.state.vm(vm)))
}

/// Whether `vm` came back from the current wave and is failing.
pub(crate) fn has_returned_failing(view: &View<'_>, vm: VmId) -> bool {
    let vm = view.state.vm(vm);
    let has_come_back = |order: &Order| {
        order.covers(vm.pool) && vm.maintained_at.is_some_and(|then| then >= order.started_at)
    };
    view.state.wave.as_ref().is_some_and(has_come_back) && is_failing(vm)
}

/// Whether `vm` is in maintenance.
pub(crate) fn in_progress(vm: &Vm) -> bool {
    vm.purpose == Some(Purpose::Maintenance) && !matches!(vm.phase, Phase::Serving | Phase::Out)
}

/// The candidates for maintenance in one pool, and the limits that apply.
struct Batch {
    pool: PoolId,
    /// The VMs to reboot, in this order.
    candidates: Vec<VmId>,
    /// How many of them may be drained now.
    capacity: u32,
    /// How many may be cordoned so that their copies are started elsewhere.
    max_cordoned: u32,
    /// Whether no VM of the pool is in progress.
    is_idle: bool,
    reason: Reason,
    deadline: Option<Time>,
}

/// Selects the VMs to drain for maintenance now.
pub(crate) fn plan(view: &mut View<'_>, steps: &mut Vec<Step>, notes: &mut Vec<Note>) {
    let progress_by_pool: Vec<Progress> =
        view.fleet.pool_ids().map(|pool| Progress::new(view, pool)).collect();
    let total =
        progress_by_pool.iter().fold(Progress::default(), |sum, progress| sum.add(*progress));
    periodic::note_overdue(view, notes);
    let reboots_overdue = view.fleet.vm_ids().filter(|&vm| is_reboot_overdue(view, vm));
    notes.extend(reboots_overdue.map(|vm| Note::NotBack { vm }));
    if total.should_halt() {
        notes.push(Note::Halted { failing: total.failing, back: total.healthy + total.failing });
        return;
    }
    let mut allowance = match view.directive.pace {
        Pace::Paused => return,
        // The operators' limit covers every VM that the wave took out. This
        // includes VMs lost during their reboot; without them the wave would
        // exceed the limit.
        Pace::AtMost(max) => max.saturating_sub(total.in_progress + total.lost),
        Pace::Measured => u32::MAX,
    };
    for pool in view.fleet.pool_ids() {
        let progress = progress_by_pool[pool.index()];
        if progress.should_halt() {
            notes.push(Note::Halted {
                failing: progress.failing,
                back: progress.healthy + progress.failing,
            });
            continue;
        }
        let Some(mut batch) = next_batch(view, pool, progress) else { continue };
        batch.capacity = batch.capacity.min(allowance);
        batch.max_cordoned = batch.max_cordoned.min(allowance);
        allowance -= drain_batch(view, batch, steps, notes);
    }
}

fn next_batch(view: &View<'_>, pool: PoolId, progress: Progress) -> Option<Batch> {
    let order = view.state.wave.as_ref();
    let is_available = |vm: &&VmId| {
        view.state.vm(**vm).phase == Phase::Serving
            && view.vm_statuses[vm.index()] == VmStatus::Usable
    };
    let is_ordered = |vm: &&VmId| order.is_some_and(|order| order.is_pending(view.state.vm(**vm)));
    let available = view.pool_vms(pool).iter().filter(is_available);
    let mut candidates: Vec<VmId> = available.filter(is_ordered).copied().collect();
    let (reason, capacity, deadline) = if candidates.is_empty() {
        candidates = periodic::due_vms(view, pool, progress.in_progress);
        (Reason::Due, candidates.len() as u32, None)
    } else {
        (Reason::Wave, remaining_width(view, pool, progress), order.map(|order| order.deadline))
    };
    if candidates.is_empty() {
        return None;
    }
    candidates.sort_by_key(|&vm| (view.state.vm(vm).copies.len(), vm));
    let is_idle = progress.in_progress == 0;
    Some(Batch {
        pool,
        candidates,
        capacity,
        max_cordoned: capacity.max(progress.healthy),
        is_idle,
        reason,
        deadline,
    })
}

/// Returns how many more VMs of a pool may be in progress.
fn remaining_width(view: &View<'_>, pool: PoolId, progress: Progress) -> u32 {
    let max = (view.pool_vms(pool).len() as u32 / POOL_DIVISOR).max(1);
    let width = match view.config.width {
        Width::Fixed(width) => width,
        Width::Doubling => 1 + progress.healthy,
        // A VM that comes back without copies proves less than one whose copies
        // answer.
        Width::Tripling => 1 + progress.healthy + progress.proven,
    };
    width.min(max).saturating_sub(progress.in_progress)
}

/// Drains as many VMs as the limits and budgets allow, and cordons VMs whose
/// copies have to be started elsewhere first. Returns the number of drained VMs.
fn drain_batch(
    view: &mut View<'_>,
    mut batch: Batch,
    steps: &mut Vec<Step>,
    notes: &mut Vec<Note>,
) -> u32 {
    let mut drained = 0;
    let mut blocked = Vec::new();
    for &vm in &batch.candidates {
        if drained >= batch.capacity && blocked.len() >= batch.max_cordoned as usize {
            break;
        }
        if let Some(service) = budget::blocking_service(view, vm) {
            blocked.push((vm, service));
            continue;
        }
        if drained >= batch.capacity {
            continue;
        }
        let purpose = Purpose::Maintenance;
        steps.push(Step::new(Operation::Drain { vm, purpose }, batch.reason));
        view.mark_drained(vm, true);
        drained += 1;
        batch.is_idle = false;
    }
    if let Some(&(_, service)) = blocked.first() {
        notes.push(Note::WaitsForBudget { service });
    }
    for (vm, _) in blocked.into_iter().take(batch.max_cordoned as usize) {
        if !is_worth_moving(view, &batch, vm) {
            break;
        }
        view.cordon(vm);
    }
    drained
}

/// Whether it is worth the moves to start the copies of `vm` elsewhere first:
/// either the weights value the saved roll-out time at least as highly, or the
/// wave would miss its deadline otherwise. The saved time is one step; if no VM
/// is in progress, the wave might be blocked until its deadline, so the saved
/// time is all that is left until then.
fn is_worth_moving(view: &View<'_>, batch: &Batch, vm: VmId) -> bool {
    if !view.config.surge || view.directive.refuse_moves {
        return false;
    }
    let weights = &view.fleet.weights;
    let moves = view.state.vm(vm).copies.len() as f64;
    let time_saved = match batch.deadline {
        Some(deadline) if batch.is_idle => (deadline - view.now).max(view.config.step_duration),
        _ => view.config.step_duration,
    };
    let hours = time_saved.as_secs_f64() / 3600.0;
    let is_worth_it = moves * f64::from(weights.moves) <= hours * f64::from(weights.roll_out);
    is_worth_it || batch.deadline.is_some_and(|deadline| would_miss_deadline(view, batch, deadline))
}

/// Whether rebooting the remaining VMs one after the other would take longer
/// than until `deadline`.
fn would_miss_deadline(view: &View<'_>, batch: &Batch, deadline: Time) -> bool {
    let remaining = batch.candidates.len().min(view.pool_vms(batch.pool).len()) as u32;
    let needed: Duration = view.config.step_duration.saturating_mul(remaining);
    view.now + needed > deadline
}
