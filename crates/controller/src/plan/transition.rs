//! Steps that follow from what is, without a choice: a VM is drained once its
//! barrier is clear, back once it is seen back, and its record has the copies
//! that run.

use std::collections::BTreeSet;

use corianderfork_coord::drain::{Reason, Status, Wait};
use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Name};
use corianderfork_policy::{Operation, Step};
use corianderfork_provider::fleet::TaskState;
use corianderfork_provider::record::{Phase, Runner, Vm};
use corianderfork_provider::store::Expect;

use crate::facts::{Copy, Next};
use crate::plan::action::{Action, Write};
use crate::plan::{Inputs, Planner, Turn, change, observe, reason};
use crate::view::Held;

/// Follows every VM one step, those of the configuration and those whose
/// record is left of an earlier one.
pub(crate) fn follow(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    turn: &mut Turn,
) {
    let view = inputs.view;
    for (name, held) in view.vms() {
        if planner.is_busy(name) {
            continue;
        }
        match fleet.find_vm(name.as_str()) {
            Some(id) => follow_one(planner, fleet, inputs, turn, id, held),
            None => follow_removed(planner, inputs, turn, name, held),
        }
    }
    for (_, vm) in fleet.vms() {
        let there = inputs.view.vm(&vm.name).is_some() || inputs.view.is_unreadable(&vm.name);
        if !there && !planner.is_busy(&vm.name) {
            let record = change::created(&fleet.pool(vm.home).name, inputs.unix);
            turn.create(&vm.name, record);
        }
    }
}

fn follow_one(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    turn: &mut Turn,
    id: VmId,
    held: &Held,
) {
    let name = &fleet.vm(id).name;
    let (record, unix) = (&held.record, inputs.unix);
    let leaving = observe::is_leaving(inputs.facts, name, record.phase);
    match record.phase {
        Phase::Serving if leaving => {
            // The platform takes it in any case; waiting for a budget would
            // only cost the requests that are sent there until then.
            turn.write(
                name,
                held,
                change::draining(record, reason::LEAVING, None, unix),
                "platform",
            );
        }
        Phase::Serving => {
            let runners = runners(planner, fleet, inputs, name, record);
            if runners != record.runners {
                turn.write(name, held, change::runners(record, runners), "tasks");
            }
        }
        // Its drain was taken back. That its proxies have confirmed it meanwhile changes
        // nothing: emptied, it would lose its copies to other VMs, and come back with none.
        Phase::Draining if turn.admitted.contains(&id) => {}
        Phase::Draining => drained(planner, inputs, turn, name, held),
        Phase::Rebooting => reboot(planner, fleet, inputs, turn, id, held),
        Phase::Out => {
            let asked = inputs.view.drain(name).is_some();
            match reason::base(record) {
                reason::OPERATOR | reason::REMOVED if !asked => {
                    turn.write(name, held, change::returning(record, unix), "operator");
                }
                reason::OPERATOR => {}
                _ if asked => {
                    turn.write(name, held, change::out(record, reason::OPERATOR, unix), "operator");
                }
                _ => {}
            }
        }
        _ => {}
    }
}

/// The copies that a record of a serving VM should have.
pub(crate) fn runners(
    planner: &Planner,
    fleet: &Fleet,
    inputs: &Inputs<'_>,
    name: &Name,
    record: &Vm,
) -> Vec<Runner> {
    if observe::is_lost(inputs.facts, name, record.phase) {
        return Vec::new();
    }
    let mut runners = Vec::new();
    for task in inputs.facts.tasks_on(name) {
        let copy: Copy = (name.clone(), task.service.clone());
        let belongs = fleet
            .find_service(task.service.as_str())
            .is_some_and(|service| fleet.pool(fleet.service(service).pool).name == record.pool);
        let takes_work =
            belongs && inputs.facts.is_running(&copy) && !planner.stops.contains(&copy);
        if let (true, Some(address)) = (takes_work, task.address) {
            runners.push(Runner { service: task.service.clone(), address });
        }
    }
    runners.sort_by(|a, b| a.service.cmp(&b.service));
    runners
}

fn drained(planner: &mut Planner, inputs: &Inputs<'_>, turn: &mut Turn, name: &Name, held: &Held) {
    // A proxy that registered before the drain was written may not be known
    // here yet; only once all shared records up to the drain's are known is
    // everyone who could have missed it among the members.
    if inputs.view.complete() < held.revision {
        return;
    }
    let epoch = held.record.epoch;
    match planner.barriers.drain(inputs.now, name, epoch, inputs.directory) {
        Status::Clear => {
            turn.write(name, held, change::drained(&held.record, inputs.unix), "barrier");
        }
        Status::Waiting(waits) => turn.waits.extend(waiting(name, &waits)),
    }
}

fn waiting(vm: &Name, waits: &[Wait]) -> Option<String> {
    let first = waits.first()?;
    let why = match first.reason {
        Reason::NoAck => "which has not confirmed yet",
        Reason::Silent { .. } => "which is silent and may still have work there",
        Reason::MaybeInTouch => "which is silent but may be in touch with others",
        Reason::Earlier { .. } => "whose earlier process may have left work there",
        _ => "which may have work there",
    };
    let others = waits.len() - 1;
    Some(format!("{vm} waits for {}, {why}, and {others} more", first.proxy.name))
}

fn reboot(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    turn: &mut Turn,
    id: VmId,
    held: &Held,
) {
    let name = &fleet.vm(id).name;
    let retry = planner.settings.reboot_retry;
    match inputs.facts.reboot(inputs.now, name, held.record.epoch, retry) {
        Next::Ask => turn.call(Action::Reboot(name.clone())),
        Next::Wait => {}
        Next::Back => {
            planner.state.record_reboot(id, inputs.unix);
            let record = change::rebooted(&held.record, inputs.unix);
            turn.write(name, held, record, "platform");
        }
    }
}

/// A VM that operators took out of the configuration is drained and emptied.
fn follow_removed(
    planner: &mut Planner,
    inputs: &mut Inputs<'_>,
    turn: &mut Turn,
    name: &Name,
    held: &Held,
) {
    let (record, unix) = (&held.record, inputs.unix);
    match record.phase {
        Phase::Serving | Phase::Returning => {
            turn.write(name, held, change::draining(record, reason::REMOVED, None, unix), "config");
        }
        Phase::Draining => drained(planner, inputs, turn, name, held),
        Phase::Drained | Phase::Rebooting => {
            let copies: BTreeSet<Copy> = inputs
                .facts
                .tasks_on(name)
                .filter(|task| task.state != TaskState::Stopping)
                .map(|task| (name.clone(), task.service.clone()))
                .collect();
            if inputs.facts.tasks_on(name).next().is_none() {
                turn.write(name, held, change::out(record, reason::REMOVED, unix), "config");
            }
            for copy in copies {
                turn.call(Action::Stop(copy));
            }
        }
        _ => {}
    }
}

impl Turn {
    /// A turn that carries out `steps`.
    pub(crate) fn new(steps: &[Step]) -> Self {
        let admitted = |step: &Step| match step.operation {
            Operation::Admit { vm } => Some(vm),
            _ => None,
        };
        Self { admitted: steps.iter().filter_map(admitted).collect(), ..Self::default() }
    }

    /// Writes the first record of a VM.
    pub(crate) fn create(&mut self, vm: &Name, record: Vm) {
        let (vm, who) = (vm.clone(), "config".to_owned());
        self.writes.push(Write { vm, expect: Expect::Absent, from: None, record, who });
    }

    /// Writes a record in place of the one it was decided on.
    pub(crate) fn write(&mut self, vm: &Name, held: &Held, record: Vm, who: &str) {
        if !self.written.insert(vm.clone()) {
            return;
        }
        self.writes.push(Write {
            vm: vm.clone(),
            expect: Expect::Revision(held.revision),
            from: Some(held.record.clone()),
            record,
            who: who.to_owned(),
        });
    }

    /// Makes a call to the platform.
    pub(crate) fn call(&mut self, action: Action) {
        self.calls.push(action);
    }
}
