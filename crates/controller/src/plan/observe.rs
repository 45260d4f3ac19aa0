//! Merges records, lists and reports into the state that the policy decides
//! from.

use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::state::{self, Purpose};
use corianderfork_provider::fleet::{TaskState, VmState};
use corianderfork_provider::record::{self, Phase};

use crate::facts::{Copy, Facts};
use crate::plan::{Inputs, Planner, reason, wave};
use crate::view::View;

/// Whether a VM's operators have given it another home than the pool it is in.
pub(crate) fn rehomed(fleet: &Fleet, vm: VmId, record: &record::Vm) -> Option<PoolId> {
    let home = fleet.vm(vm).home;
    let moved = fleet.pool(home).name != record.pool && !reason::is_lent(record);
    moved.then_some(home)
}

/// Whether the list says that a VM is not there.
pub(crate) fn is_lost(facts: &Facts, vm: &Name, phase: Phase) -> bool {
    let Some(list) = &facts.vms else { return false };
    match list.value.get(vm) {
        None | Some(VmState::Gone) => true,
        Some(VmState::Rebooting) => !matches!(phase, Phase::Rebooting | Phase::Returning),
        _ => false,
    }
}

/// Whether the platform is about to take a VM, without this system's asking.
pub(crate) fn is_leaving(facts: &Facts, vm: &Name, phase: Phase) -> bool {
    facts.state(vm) == Some(VmState::Leaving)
        && !matches!(phase, Phase::Rebooting | Phase::Returning)
}

/// Brings the planner's state up to what is known now.
pub(crate) fn observe(planner: &mut Planner, fleet: &Fleet, inputs: &Inputs<'_>) {
    let limit = planner.settings.start_limit;
    let stops = &planner.stops;
    let stopping = |copy: &Copy| stops.contains(copy);
    planner.tracker.on_suspects(inputs.now, inputs.directory, stopping);
    planner.tracker.on_tasks(inputs.unix, fleet, inputs.facts, &mut planner.state, limit);
    for (id, vm) in fleet.vms() {
        let row = observed(planner, fleet, inputs, id, &vm.name);
        *planner.state.vm_mut(id) = row;
    }
}

fn observed(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    id: VmId,
    name: &Name,
) -> state::Vm {
    let (view, facts) = (inputs.view, &*inputs.facts);
    let mut row = state::Vm::new(fleet.vm(id).home, inputs.unix);
    row.failed_starts = planner.state.vm(id).failed_starts;
    let Some(held) = view.vm(name) else {
        // One without a record gets it in this round, and copies in the next.
        // Of one whose record can't be read, nobody knows the pool.
        if view.is_unreadable(name) {
            row.phase = state::Phase::Out;
        }
        return row;
    };
    let record = &held.record;
    row.pool = fleet.find_pool(record.pool.as_str()).unwrap_or(row.pool);
    row.since = Time::from_millis(record.since_ms);
    row.maintained_at = (record.maintained_ms > 0).then(|| Time::from_millis(record.maintained_ms));
    row.phase = phase(record, &row);
    row.purpose = purpose(fleet, id, record, view);
    let lost = is_lost(facts, name, record.phase);
    row.lost_since = planner.tracker.lost(inputs.unix, name, lost);
    row.drain_requested = view.drain(name).is_some()
        || is_leaving(facts, name, record.phase)
        || (record.phase == Phase::Serving && rehomed(fleet, id, record).is_some());
    row.copies = copies(planner, fleet, inputs, name, record);
    row
}

fn phase(record: &record::Vm, row: &state::Vm) -> state::Phase {
    match record.phase {
        Phase::Serving => state::Phase::Serving,
        Phase::Draining => state::Phase::Draining,
        Phase::Drained => state::Phase::Drained,
        Phase::Rebooting => state::Phase::Rebooting,
        // Back from a reboot, the VM was maintained in the same write; back
        // from another pool, it was not.
        Phase::Returning if row.maintained_at.is_some_and(|then| then >= row.since) => {
            state::Phase::Rebooting
        }
        Phase::Returning => state::Phase::Switching,
        _ => state::Phase::Out,
    }
}

/// What the VM is out for. One that its operators gave another home goes there
/// once it is drained, whatever it was drained for.
fn purpose(fleet: &Fleet, id: VmId, record: &record::Vm, view: &View) -> Option<Purpose> {
    if record.phase == Phase::Serving {
        return None;
    }
    let asked = view.drain(&fleet.vm(id).name).is_some();
    let purpose = reason::purpose(record, fleet);
    match (purpose, rehomed(fleet, id, record)) {
        (None | Some(Purpose::Operator | Purpose::Switch(_)), Some(home)) if !asked => {
            Some(Purpose::Switch(home))
        }
        (purpose, _) => purpose,
    }
}

fn copies(
    planner: &Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    vm: &Name,
    record: &record::Vm,
) -> Vec<state::Copy> {
    let facts = &*inputs.facts;
    let listed = facts.tasks_on(vm).map(|task| (task.service.clone(), task.state));
    let starting = facts.starting().filter(|copy| copy.0 == *vm);
    let starting = starting.map(|copy| (copy.1.clone(), TaskState::Starting));
    let mut copies = Vec::new();
    for (service, task) in listed.chain(starting) {
        let Some(id) = fleet.find_service(service.as_str()) else { continue };
        let copy: Copy = (vm.clone(), service);
        let since = match task {
            // It holds its licence and room until it is gone, and serves no
            // more: as old as can be, it counts as one that failed to start.
            TaskState::Stopping => Time::ZERO,
            _ => planner.tracker.since(&copy).unwrap_or(inputs.unix),
        };
        // One that is about to be stopped has left the record. Taken for one
        // that warms, the decision to stop it would be made about others too.
        let listed = record.runners.iter().any(|runner| runner.service == copy.1);
        let known = listed || planner.stops.contains(&copy);
        let stray = fleet.pool(fleet.service(id).pool).name != record.pool;
        let failing =
            stray || planner.tracker.is_failing(inputs.now, &copy, planner.settings.suspect_after);
        let warm = facts.is_running(&copy) && (known || record.phase != Phase::Serving);
        let warm = warm && is_proven(planner, inputs, record, &copy);
        copies.push(state::Copy { service: id, since, warm, failing });
    }
    copies.sort_by_key(|copy| copy.service);
    copies
}

/// Whether a copy on a VM that is back from a reboot has had the time to show
/// that it works.
///
/// That a task runs says nothing of its answers. Counted as able at once, the
/// copies of VMs that fail everything after their reboot let the wave take the
/// next VMs within a second, long before proxies suspect them: one sees a wave
/// with a bad update go over the whole fleet, and callers get errors from all
/// of it. Until it is proven a copy counts as warming, takes work, and gives no
/// room to take others out.
fn is_proven(planner: &Planner, inputs: &Inputs<'_>, record: &record::Vm, copy: &Copy) -> bool {
    let back = Time::from_millis(record.maintained_ms);
    let wave = inputs.facts.wave.as_ref().and_then(|listed| listed.value.as_ref());
    let in_wave = wave
        .is_some_and(|(_, wave)| !wave::is_finished(wave) && wave.began_ms <= record.maintained_ms);
    // A VM that came back empty has shown nothing; its first copy does.
    let since = if in_wave { planner.tracker.since(copy).unwrap_or(inputs.unix) } else { back };
    let proven = inputs.unix - since.max(back) >= planner.settings.prove_after;
    record.phase != Phase::Serving || proven
}
