//! Turns the policy's steps into writes and calls.

use corianderfork_coord::drain::Status;
use corianderfork_model::place::VmId;
use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Name};
use corianderfork_policy::state::Purpose;
use corianderfork_policy::{Operation, Reason, Step};
use corianderfork_provider::fleet::TaskState;
use corianderfork_provider::record::Phase;

use crate::facts::{Change, Copy};
use crate::plan::action::Action;
use crate::plan::{Draft, Inputs, Planner, change, observe, transition};

/// Turns `steps`, decided by `rule`, into writes and calls.
pub(crate) fn apply(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    draft: &mut Draft,
    steps: &[Step],
    rule: &str,
) {
    planner.stops.retain(steps, fleet, inputs);
    for step in steps {
        let name = &fleet.vm(step.operation.vm()).name;
        if planner.is_writing(name) {
            continue;
        }
        apply_step(planner, fleet, inputs, draft, step, &who(step, rule));
    }
}

fn who(step: &Step, rule: &str) -> String {
    match step.reason {
        Reason::Wave => "wave".to_owned(),
        Reason::Due => "maintenance".to_owned(),
        Reason::Requested => "operator".to_owned(),
        _ => format!("rule {rule}: {}", step.reason),
    }
}

fn apply_step(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    draft: &mut Draft,
    step: &Step,
    who: &str,
) {
    let name = &fleet.vm(step.operation.vm()).name;
    let Some(entry) = inputs.view.vm(name) else { return };
    let (record, unix) = (&entry.record, inputs.unix);
    match step.operation {
        Operation::Start { service, .. } => start(fleet, inputs, draft, name, service),
        Operation::Stop { service, .. } => stop(planner, fleet, inputs, draft, name, service),
        Operation::Drain { vm, purpose } if record.phase == Phase::Serving => {
            let (why, to) = drain_target(fleet, inputs, vm, purpose);
            draft.write(name, entry, change::draining(record, &why, to, unix), who);
        }
        Operation::Reboot { .. } if record.phase == Phase::Drained => {
            draft.write(name, entry, change::rebooting(record, unix), who);
        }
        // A copy of the old pool that still runs would serve alongside those of
        // the new pool, so the switch waits until none is listed.
        Operation::SwitchPool { vm, to }
            if record.phase == Phase::Drained && has_no_tasks(inputs, name) =>
        {
            let lent = fleet.vm(vm).home != to;
            let to = &fleet.pool(to).name;
            draft.write(name, entry, change::switched(record, to, lent, unix), who);
        }
        Operation::Admit { .. } if can_admit(record.phase) => {
            let runners = transition::ready_runners(planner, fleet, inputs, name, record);
            draft.write(name, entry, change::serving(record, runners, unix), who);
        }
        Operation::SetOut { .. } if record.phase == Phase::Drained => {
            draft.write(name, entry, change::out(record, "unfit", unix), who);
        }
        _ => {}
    }
}

fn has_no_tasks(inputs: &Inputs<'_>, vm: &Name) -> bool {
    inputs.facts.tasks_on(vm).next().is_none()
}

fn can_admit(phase: Phase) -> bool {
    matches!(phase, Phase::Draining | Phase::Drained | Phase::Returning)
}

/// Returns the reason and the target pool of a drain. If operators moved a VM
/// to another home, its drain serves that move.
fn drain_target(
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    vm: VmId,
    purpose: Purpose,
) -> (String, Option<Name>) {
    let name = &fleet.vm(vm).name;
    let home = inputs.view.vm(name).and_then(|entry| observe::new_home(fleet, vm, &entry.record));
    let drain_requested = inputs.view.drain(name).is_some();
    let purpose = match (purpose, home) {
        (Purpose::Operator, Some(home)) if !drain_requested => Purpose::Switch(home),
        (purpose, _) => purpose,
    };
    let to = match purpose {
        Purpose::Switch(to) => Some(fleet.pool(to).name.clone()),
        _ => None,
    };
    (purpose.to_text(fleet), to)
}

fn start(fleet: &Fleet, inputs: &Inputs<'_>, draft: &mut Draft, vm: &Name, service: ServiceId) {
    let copy: Copy = (vm.clone(), fleet.service(service).name.clone());
    let is_listed = inputs.facts.task(&copy).is_some_and(|task| task.state != TaskState::Stopping);
    if !is_listed && inputs.facts.pending(&copy).is_none() {
        draft.call(Action::Start(copy));
    }
}

/// Stops a copy. On a serving VM it first leaves the record, and the call waits
/// until no proxy has work in flight there, which the stop would cut off.
fn stop(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    draft: &mut Draft,
    vm: &Name,
    service: ServiceId,
) {
    let copy: Copy = (vm.clone(), fleet.service(service).name.clone());
    stop_copy(planner, inputs, draft, copy);
}

/// Stops tasks of services that are no longer in the configuration.
pub(crate) fn stop_strays(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    draft: &mut Draft,
) {
    let known = |service: &Name| fleet.find_service(service.as_str()).is_some();
    let strays: Vec<Copy> = inputs
        .facts
        .all_tasks()
        .filter(|task| !known(&task.service) && fleet.find_vm(task.vm.as_str()).is_some())
        .map(|task| (task.vm.clone(), task.service.clone()))
        .collect();
    for copy in strays {
        if !planner.is_writing(&copy.0) {
            stop_copy(planner, inputs, draft, copy);
        }
    }
}

fn stop_copy(planner: &mut Planner, inputs: &Inputs<'_>, draft: &mut Draft, copy: Copy) {
    let task = inputs.facts.task(&copy);
    let is_stopping = task.is_none_or(|task| task.state == TaskState::Stopping);
    if is_stopping || inputs.facts.pending(&copy) == Some(Change::Stop) {
        return;
    }
    let Some(entry) = inputs.view.vm(&copy.0) else { return };
    match entry.record.phase {
        Phase::Draining => {}
        Phase::Serving => {
            planner.stops.add(copy.clone());
            let listed = entry.record.runners.iter().any(|runner| runner.service == copy.1);
            if listed || inputs.view.synced_revision() < entry.revision {
                // The next decision writes the record without the copy.
                return;
            }
            let revision = planner.stops.unlisted_since(&copy, entry.revision.0);
            let status = planner.barriers.stop(inputs.now, &copy, revision, inputs.directory);
            if status == Status::Clear {
                draft.call(Action::Stop(copy));
            }
        }
        _ => draft.call(Action::Stop(copy)),
    }
}
