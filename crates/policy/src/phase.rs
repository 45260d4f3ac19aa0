//! The next step of each VM that is between two admissions, and drains that
//! operators asked for.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;

use crate::budget;
use crate::note::Note;
use crate::state::{Phase, Purpose, Vm};
use crate::step::{Operation, Reason, Step};
use crate::view::{Host, UNFIT, View};

/// Reboots after which an unfit VM stays out.
const MAX_UNFIT_REBOOTS: u16 = 4;
/// How long an unfit VM rests before its second reboot; the rest doubles with
/// each further one. Faults that hit many VMs at once often pass by themselves.
const REST: Duration = Duration::from_secs(30 * 60);

/// Takes each VM that isn't serving one step on.
pub(crate) fn advance(view: &mut View<'_>, steps: &mut Vec<Step>) {
    let state = view.state;
    for (id, vm) in state.vms() {
        if view.hosts[id.index()] == Host::Lost {
            continue;
        }
        match vm.phase {
            Phase::Serving | Phase::Out => {}
            Phase::Draining => undrain(view, id, vm, steps),
            Phase::Drained => leave(view, id, vm, steps),
            Phase::Rebooting => come_back(view, id, vm, steps),
            Phase::Switching => {
                steps.push(Step::new(Operation::Admit { vm: id }, Reason::NextPhase))
            }
        }
    }
}

/// Whether an operator or a rule wants `id` drained.
pub(crate) fn wanted(view: &View<'_>, id: VmId) -> bool {
    view.state.vm(id).drain_requested || view.directive.drains.contains(&id)
}

fn undrain(view: &View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    if vm.purpose == Some(Purpose::Operator) && !wanted(view, id) {
        steps.push(Step::new(Operation::Admit { vm: id }, Reason::Requested));
    }
}

fn leave(view: &View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    let operation = match vm.purpose {
        Some(Purpose::Maintenance) => Operation::Reboot { vm: id },
        // A pool's copies must be gone before its VM is another pool's: else
        // the new pool's callers could reach a copy of the old one.
        _ if !vm.copies.is_empty() => return stop_all(id, vm, steps),
        Some(Purpose::Switch(to)) => Operation::SwitchPool { vm: id, to },
        Some(Purpose::Unfit) if vm.unfit_reboots >= MAX_UNFIT_REBOOTS => {
            Operation::SetOut { vm: id }
        }
        Some(Purpose::Unfit) if rests(view, vm) => return,
        Some(Purpose::Unfit) => Operation::Reboot { vm: id },
        _ if wanted(view, id) => return,
        _ => Operation::Admit { vm: id },
    };
    steps.push(Step::new(operation, Reason::NextPhase));
}

fn rests(view: &View<'_>, vm: &Vm) -> bool {
    let Some(doublings) = vm.unfit_reboots.checked_sub(1) else { return false };
    view.age(vm.since) < REST * (1 << doublings.min(MAX_UNFIT_REBOOTS))
}

fn stop_all(id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    for copy in &vm.copies {
        let operation = Operation::Stop { vm: id, service: copy.service };
        steps.push(Step::new(operation, Reason::LeavingPool));
    }
}

/// Admits a VM that is back from its reboot, and starts again what it carried.
fn come_back(view: &mut View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    let back = vm.maintained_at.is_some_and(|then| then >= vm.since);
    if !back || wanted(view, id) {
        return;
    }
    steps.push(Step::new(Operation::Admit { vm: id }, Reason::NextPhase));
    for copy in &vm.copies {
        let operation = Operation::Start { vm: id, service: copy.service };
        steps.push(Step::new(operation, Reason::NextPhase));
    }
    view.admitted(id);
}

/// Drains what operators, rules or failures ask to be drained, each as soon as
/// the budgets have room for it.
pub(crate) fn drain(view: &mut View<'_>, steps: &mut Vec<Step>, notes: &mut Vec<Note>) {
    let state = view.state;
    for (id, vm) in state.vms() {
        let host = view.hosts[id.index()];
        if vm.phase != Phase::Serving || host == Host::Lost {
            continue;
        }
        let (purpose, reason) = if wanted(view, id) {
            (Purpose::Operator, Reason::Requested)
        } else if vm.failed_starts >= UNFIT && host == Host::Closing {
            notes.push(Note::Unfit { vm: id });
            (Purpose::Unfit, Reason::Unfit)
        } else {
            continue;
        };
        match budget::blocks(view, id) {
            None => {
                steps.push(Step::new(Operation::Drain { vm: id, purpose }, reason));
                view.drained(id, false);
            }
            Some(service) => {
                notes.push(Note::WaitsForBudget { service });
                view.close(id);
            }
        }
    }
}
