//! Transitions that follow from the state without a choice: a VM is drained
//! once its barrier is clear, it returns once it is seen back, and its record
//! lists the copies that run.

use std::collections::BTreeSet;

use corianderfork_coord::drain::{Reason, Status, Wait};
use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Name};
use corianderfork_policy::{Operation, Step};
use corianderfork_provider::fleet::TaskState;
use corianderfork_provider::record::{Phase, Runner, Vm};
use corianderfork_provider::store::Expect;

use crate::facts::{Copy, RebootStep};
use crate::plan::action::{Action, Write};
use crate::plan::{Draft, Inputs, Planner, change, observe, reason};
use crate::view::VmEntry;

/// Advances every VM by at most one transition, including those whose records
/// remain from an earlier configuration.
pub(crate) fn advance(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    draft: &mut Draft,
) {
    let view = inputs.view;
    for (name, entry) in view.vms() {
        if planner.is_writing(name) {
            continue;
        }
        match fleet.find_vm(name.as_str()) {
            Some(id) => advance_vm(planner, fleet, inputs, draft, id, entry),
            None => advance_removed(planner, inputs, draft, name, entry),
        }
    }
    for (_, vm) in fleet.vms() {
        let has_record = inputs.view.vm(&vm.name).is_some() || inputs.view.is_unreadable(&vm.name);
        if !has_record && !planner.is_writing(&vm.name) {
            let record = change::created(&fleet.pool(vm.home).name, inputs.unix);
            draft.create(&vm.name, record);
        }
    }
}

fn advance_vm(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    draft: &mut Draft,
    id: VmId,
    entry: &VmEntry,
) {
    let name = &fleet.vm(id).name;
    let (record, unix) = (&entry.record, inputs.unix);
    let leaving = observe::is_leaving(inputs.facts, name, record.phase);
    match record.phase {
        Phase::Serving if leaving => {
            // The platform takes the VM away in any case. Waiting for a budget
            // would only cost the requests sent there until then.
            draft.write(
                name,
                entry,
                change::draining(record, reason::LEAVING, None, unix),
                "platform",
            );
        }
        Phase::Serving => {
            let runners = ready_runners(planner, fleet, inputs, name, record);
            if runners != record.runners {
                draft.write(name, entry, change::runners(record, runners), "tasks");
            }
        }
        // The drain was cancelled, so confirmations by the proxies no longer
        // matter: if the VM were drained now, it would lose its copies to other
        // VMs and return with none.
        Phase::Draining if draft.admitted.contains(&id) => {}
        Phase::Draining => advance_drain(planner, inputs, draft, name, entry),
        Phase::Rebooting => advance_reboot(planner, fleet, inputs, draft, id, entry),
        Phase::Out => {
            let drain_requested = inputs.view.drain(name).is_some();
            match reason::base(record) {
                reason::OPERATOR | reason::REMOVED if !drain_requested => {
                    draft.write(name, entry, change::returning(record, unix), "operator");
                }
                reason::OPERATOR => {}
                _ if drain_requested => {
                    draft.write(
                        name,
                        entry,
                        change::out(record, reason::OPERATOR, unix),
                        "operator",
                    );
                }
                _ => {}
            }
        }
        _ => {}
    }
}

/// Returns the copies that the record of a serving VM should list.
pub(crate) fn ready_runners(
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
        let is_ready = belongs && inputs.facts.is_running(&copy) && !planner.stops.contains(&copy);
        if let (true, Some(address)) = (is_ready, task.address) {
            runners.push(Runner { service: task.service.clone(), address });
        }
    }
    runners.sort_by(|a, b| a.service.cmp(&b.service));
    runners
}

fn advance_drain(
    planner: &mut Planner,
    inputs: &Inputs<'_>,
    draft: &mut Draft,
    name: &Name,
    entry: &VmEntry,
) {
    // A proxy that registered before the drain was written may not be known
    // here yet. Once all shared records up to the drain's are known, so are all
    // proxies that could have missed it.
    if inputs.view.synced_revision() < entry.revision {
        return;
    }
    let epoch = entry.record.epoch;
    match planner.barriers.drain(inputs.now, name, epoch, inputs.directory) {
        Status::Clear => {
            draft.write(name, entry, change::drained(&entry.record, inputs.unix), "barrier");
        }
        Status::Waiting(waits) => draft.waits.extend(describe_waits(name, &waits)),
    }
}

fn describe_waits(vm: &Name, waits: &[Wait]) -> Option<String> {
    let first = waits.first()?;
    let why = match first.reason {
        Reason::NoAck => "which has not confirmed yet",
        Reason::Silent { .. } => "which is silent and may still have work there",
        Reason::MaybeInTouch => "which is silent but may be in touch with others",
        Reason::EarlierIncarnation { .. } => "whose earlier process may have left work there",
        _ => "which may have work there",
    };
    let others = waits.len() - 1;
    Some(format!("{vm} waits for {}, {why}, and {others} more", first.proxy.name))
}

fn advance_reboot(
    planner: &mut Planner,
    fleet: &Fleet,
    inputs: &mut Inputs<'_>,
    draft: &mut Draft,
    id: VmId,
    entry: &VmEntry,
) {
    let name = &fleet.vm(id).name;
    let retry = planner.limits.reboot_retry;
    match inputs.facts.reboot(inputs.now, name, entry.record.epoch, retry) {
        RebootStep::Request => draft.call(Action::Reboot(name.clone())),
        RebootStep::Wait => {}
        RebootStep::Done => {
            planner.state.record_reboot(id, inputs.unix);
            let record = change::rebooted(&entry.record, inputs.unix);
            draft.write(name, entry, record, "platform");
        }
    }
}

/// Drains and empties a VM that operators removed from the configuration.
fn advance_removed(
    planner: &mut Planner,
    inputs: &mut Inputs<'_>,
    draft: &mut Draft,
    name: &Name,
    entry: &VmEntry,
) {
    let (record, unix) = (&entry.record, inputs.unix);
    match record.phase {
        Phase::Serving | Phase::Returning => {
            draft.write(
                name,
                entry,
                change::draining(record, reason::REMOVED, None, unix),
                "config",
            );
        }
        Phase::Draining => advance_drain(planner, inputs, draft, name, entry),
        Phase::Drained | Phase::Rebooting => {
            let copies: BTreeSet<Copy> = inputs
                .facts
                .tasks_on(name)
                .filter(|task| task.state != TaskState::Stopping)
                .map(|task| (name.clone(), task.service.clone()))
                .collect();
            if inputs.facts.tasks_on(name).next().is_none() {
                draft.write(name, entry, change::out(record, reason::REMOVED, unix), "config");
            }
            for copy in copies {
                draft.call(Action::Stop(copy));
            }
        }
        _ => {}
    }
}

impl Draft {
    /// Creates a draft of a decision that carries out `steps`.
    pub(crate) fn new(steps: &[Step]) -> Self {
        let admitted = |step: &Step| match step.operation {
            Operation::Admit { vm } => Some(vm),
            _ => None,
        };
        Self { admitted: steps.iter().filter_map(admitted).collect(), ..Self::default() }
    }

    /// Adds the write of a VM's first record.
    pub(crate) fn create(&mut self, vm: &Name, record: Vm) {
        let (vm, who) = (vm.clone(), "config".to_owned());
        self.writes.push(Write { vm, expect: Expect::Absent, from: None, record, who });
    }

    /// Adds a write that replaces the record it is based on.
    pub(crate) fn write(&mut self, vm: &Name, entry: &VmEntry, record: Vm, who: &str) {
        if !self.written.insert(vm.clone()) {
            return;
        }
        self.writes.push(Write {
            vm: vm.clone(),
            expect: Expect::Revision(entry.revision),
            from: Some(entry.record.clone()),
            record,
            who: who.to_owned(),
        });
    }

    /// Adds a call to the platform.
    pub(crate) fn call(&mut self, action: Action) {
        self.calls.push(action);
    }
}
