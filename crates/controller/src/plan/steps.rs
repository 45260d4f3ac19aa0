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
use crate::plan::{Inputs, Planner, Turn, change, observe, transition};

/// Carries out `steps`, each decided by the rule `rule`.
pub(crate) fn carry(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    turn: &mut Turn,
    steps: &[Step],
    rule: &str,
) {
    planner.stops.retain_asked(steps, fleet, inputs);
    for step in steps {
        let name = &fleet.vm(step.operation.vm()).name;
        if planner.is_busy(name) {
            continue;
        }
        carry_one(planner, fleet, inputs, turn, step, &who(step, rule));
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

fn carry_one(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    turn: &mut Turn,
    step: &Step,
    who: &str,
) {
    let name = &fleet.vm(step.operation.vm()).name;
    let Some(held) = inputs.view.vm(name) else { return };
    let (record, unix) = (&held.record, inputs.unix);
    match step.operation {
        Operation::Start { service, .. } => start(fleet, inputs, turn, name, service),
        Operation::Stop { service, .. } => stop(planner, fleet, inputs, turn, name, service),
        Operation::Drain { vm, purpose } if record.phase == Phase::Serving => {
            let (why, to) = drain_for(fleet, inputs, vm, purpose);
            turn.write(name, held, change::draining(record, &why, to, unix), who);
        }
        Operation::Reboot { .. } if record.phase == Phase::Drained => {
            turn.write(name, held, change::rebooting(record, unix), who);
        }
        // A copy of the old pool that still runs would serve beside the new
        // pool's, so the switch waits until the list has none.
        Operation::SwitchPool { vm, to }
            if record.phase == Phase::Drained && is_empty(inputs, name) =>
        {
            let lent = fleet.vm(vm).home != to;
            let to = &fleet.pool(to).name;
            turn.write(name, held, change::switched(record, to, lent, unix), who);
        }
        Operation::Admit { .. } if may_serve(record.phase) => {
            let runners = transition::runners(planner, fleet, inputs, name, record);
            turn.write(name, held, change::serving(record, runners, unix), who);
        }
        Operation::SetOut { .. } if record.phase == Phase::Drained => {
            turn.write(name, held, change::out(record, "unfit", unix), who);
        }
        _ => {}
    }
}

fn is_empty(inputs: &Inputs<'_>, vm: &Name) -> bool {
    inputs.facts.tasks_on(vm).next().is_none()
}

fn may_serve(phase: Phase) -> bool {
    matches!(phase, Phase::Draining | Phase::Drained | Phase::Returning)
}

/// The reason and the target of a drain. Operators who gave a VM another home
/// asked for its drain only to have it moved there.
fn drain_for(
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    vm: VmId,
    purpose: Purpose,
) -> (String, Option<Name>) {
    let name = &fleet.vm(vm).name;
    let home = inputs.view.vm(name).and_then(|held| observe::rehomed(fleet, vm, &held.record));
    let asked = inputs.view.drain(name).is_some();
    let purpose = match (purpose, home) {
        (Purpose::Operator, Some(home)) if !asked => Purpose::Switch(home),
        (purpose, _) => purpose,
    };
    let to = match purpose {
        Purpose::Switch(to) => Some(fleet.pool(to).name.clone()),
        _ => None,
    };
    (purpose.to_text(fleet), to)
}

fn start(fleet: &Fleet, inputs: &Inputs<'_>, turn: &mut Turn, vm: &Name, service: ServiceId) {
    let copy: Copy = (vm.clone(), fleet.service(service).name.clone());
    let there = inputs.facts.task(&copy).is_some_and(|task| task.state != TaskState::Stopping);
    if !there && inputs.facts.pending(&copy).is_none() {
        turn.call(Action::Start(copy));
    }
}

/// Stops a copy. On a serving VM it leaves the record first, and the call
/// waits until no proxy has work there: else the stop would cut it off.
fn stop(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    turn: &mut Turn,
    vm: &Name,
    service: ServiceId,
) {
    let copy: Copy = (vm.clone(), fleet.service(service).name.clone());
    stop_copy(planner, inputs, turn, copy);
}

/// Stops tasks that the configuration no longer has a place for.
pub(crate) fn stop_strays(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    turn: &mut Turn,
) {
    let known = |service: &Name| fleet.find_service(service.as_str()).is_some();
    let strays: Vec<Copy> = inputs
        .facts
        .all_tasks()
        .filter(|task| !known(&task.service) && fleet.find_vm(task.vm.as_str()).is_some())
        .map(|task| (task.vm.clone(), task.service.clone()))
        .collect();
    for copy in strays {
        if !planner.is_busy(&copy.0) {
            stop_copy(planner, inputs, turn, copy);
        }
    }
}

fn stop_copy(planner: &mut Planner, inputs: &Inputs<'_>, turn: &mut Turn, copy: Copy) {
    let task = inputs.facts.task(&copy);
    let stopping = task.is_none_or(|task| task.state == TaskState::Stopping);
    if stopping || inputs.facts.pending(&copy) == Some(Change::Stop) {
        return;
    }
    let Some(held) = inputs.view.vm(&copy.0) else { return };
    match held.record.phase {
        Phase::Draining => {}
        Phase::Serving => {
            planner.stops.ask(copy.clone());
            let listed = held.record.runners.iter().any(|runner| runner.service == copy.1);
            if listed || inputs.view.complete() < held.revision {
                // The record without it is written at the next turn.
                return;
            }
            let revision = planner.stops.gone_since(&copy, held.revision.0);
            let status = planner.barriers.stop(inputs.now, &copy, revision, inputs.directory);
            if status == Status::Clear {
                turn.call(Action::Stop(copy));
            }
        }
        _ => turn.call(Action::Stop(copy)),
    }
}
