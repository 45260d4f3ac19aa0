//! Merges records, lists and reports into the state that the policy works on.

use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::state::{self, Purpose};
use corianderfork_provider::fleet::{TaskState, VmState};
use corianderfork_provider::record::{self, Phase};

use crate::facts::{Copy, Facts};
use crate::plan::{Inputs, Planner, reason, wave};
use crate::view::View;

/// Returns the home of a VM if operators have moved it to another pool than the
/// one it is in.
pub(crate) fn new_home(fleet: &Fleet, vm: VmId, record: &record::Vm) -> Option<PoolId> {
    let home = fleet.vm(vm).home;
    let is_rehomed = fleet.pool(home).name != record.pool && !reason::is_lent(record);
    is_rehomed.then_some(home)
}

/// Whether the list shows a VM as absent.
pub(crate) fn is_lost(facts: &Facts, vm: &Name, phase: Phase) -> bool {
    let Some(list) = &facts.vms else { return false };
    match list.value.get(vm) {
        None | Some(VmState::Gone) => true,
        Some(VmState::Rebooting) => !matches!(phase, Phase::Rebooting | Phase::Returning),
        _ => false,
    }
}

/// Whether the platform is about to take a VM away without a request from this
/// system.
pub(crate) fn is_leaving(facts: &Facts, vm: &Name, phase: Phase) -> bool {
    facts.vm_state(vm) == Some(VmState::Leaving)
        && !matches!(phase, Phase::Rebooting | Phase::Returning)
}

/// Updates the planner's state to what is known now.
pub(crate) fn observe(planner: &mut Planner, fleet: &Fleet, inputs: &Inputs<'_>) {
    let start_timeout = planner.limits.start_timeout;
    let stops = &planner.stops;
    let stopping = |copy: &Copy| stops.contains(copy);
    planner.tracker.on_suspects(inputs.now, inputs.directory, stopping);
    planner.tracker.on_tasks(inputs.unix, fleet, inputs.facts, &mut planner.state, start_timeout);
    for (id, vm) in fleet.vms() {
        let observed = observe_vm(planner, fleet, inputs, id, &vm.name);
        *planner.state.vm_mut(id) = observed;
    }
}

fn observe_vm(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    id: VmId,
    name: &Name,
) -> state::Vm {
    let (view, facts) = (inputs.view, &*inputs.facts);
    let mut vm = state::Vm::new(fleet.vm(id).home, inputs.unix);
    vm.failed_starts = planner.state.vm(id).failed_starts;
    let Some(entry) = view.vm(name) else {
        // A VM without a record gets one in this decision and copies in the
        // next. If the record can't be read, the VM's pool is unknown.
        if view.is_unreadable(name) {
            vm.phase = state::Phase::Out;
        }
        return vm;
    };
    let record = &entry.record;
    vm.pool = fleet.find_pool(record.pool.as_str()).unwrap_or(vm.pool);
    vm.since = Time::from_millis(record.since_ms);
    vm.maintained_at = (record.maintained_ms > 0).then(|| Time::from_millis(record.maintained_ms));
    vm.phase = phase(record, &vm);
    vm.purpose = purpose(fleet, id, record, view);
    let lost = is_lost(facts, name, record.phase);
    vm.lost_since = planner.tracker.lost(inputs.unix, name, lost);
    vm.drain_requested = view.drain(name).is_some()
        || is_leaving(facts, name, record.phase)
        || (record.phase == Phase::Serving && new_home(fleet, id, record).is_some());
    vm.copies = copies(planner, fleet, inputs, name, record);
    vm
}

fn phase(record: &record::Vm, vm: &state::Vm) -> state::Phase {
    match record.phase {
        Phase::Serving => state::Phase::Serving,
        Phase::Draining => state::Phase::Draining,
        Phase::Drained => state::Phase::Drained,
        Phase::Rebooting => state::Phase::Rebooting,
        // The write that ends a reboot also sets the maintenance time; a return
        // from another pool does not.
        Phase::Returning if vm.maintained_at.is_some_and(|then| then >= vm.since) => {
            state::Phase::Rebooting
        }
        Phase::Returning => state::Phase::Switching,
        _ => state::Phase::Out,
    }
}

/// Returns the purpose for which the VM is out of service. If operators gave it
/// another home, it moves there once it is drained, whatever the reason for the
/// drain.
fn purpose(fleet: &Fleet, id: VmId, record: &record::Vm, view: &View) -> Option<Purpose> {
    if record.phase == Phase::Serving {
        return None;
    }
    let drain_requested = view.drain(&fleet.vm(id).name).is_some();
    let purpose = reason::purpose(record, fleet);
    match (purpose, new_home(fleet, id, record)) {
        (None | Some(Purpose::Operator | Purpose::Switch(_)), Some(home)) if !drain_requested => {
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
            // A stopping copy holds its licence and room until it is gone, but
            // no longer serves. With the oldest possible start it counts as one
            // that failed to start.
            TaskState::Stopping => Time::ZERO,
            _ => planner.tracker.since(&copy).unwrap_or(inputs.unix),
        };
        // A copy that is about to be stopped has left the record. If it counted
        // as warming, the decision to stop it would affect other copies too.
        let listed = record.runners.iter().any(|runner| runner.service == copy.1);
        let is_expected = listed || planner.stops.contains(&copy);
        let is_stray = fleet.pool(fleet.service(id).pool).name != record.pool;
        let failing =
            is_stray || planner.tracker.is_failing(inputs.now, &copy, planner.limits.suspect_after);
        let warm = facts.is_running(&copy) && (is_expected || record.phase != Phase::Serving);
        let warm = warm && is_proven(planner, inputs, record, &copy);
        copies.push(state::Copy { service: id, since, warm, failing });
    }
    copies.sort_by_key(|copy| copy.service);
    copies
}

/// Whether a copy on a VM that is back from a reboot has run long enough to
/// show that it works.
///
/// That a task runs does not mean that its responses are good. If copies
/// counted as able at once, VMs that fail every request after their reboot
/// would let the wave take the next VMs within a second, long before proxies
/// suspect them: a bad update would spread over the whole fleet, and all of it
/// would return errors. Until it is proven, a copy counts as warming: it gets
/// work, but does not allow other copies to be taken out.
fn is_proven(planner: &Planner, inputs: &Inputs<'_>, record: &record::Vm, copy: &Copy) -> bool {
    let returned = Time::from_millis(record.maintained_ms);
    let wave = inputs.facts.wave.as_ref().and_then(|reading| reading.value.as_ref());
    let in_wave = wave
        .is_some_and(|(_, wave)| !wave::is_finished(wave) && wave.began_ms <= record.maintained_ms);
    // A VM that came back without copies has proven nothing; its first copy has
    // to.
    let since = if in_wave { planner.tracker.since(copy).unwrap_or(inputs.unix) } else { returned };
    let has_run_long_enough = inputs.unix - since.max(returned) >= planner.limits.prove_after;
    record.phase != Phase::Serving || has_run_long_enough
}
