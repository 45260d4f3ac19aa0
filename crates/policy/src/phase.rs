//! Advances VMs that are out of service, and starts drains requested by
//! operators or rules, or caused by failures.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;

use crate::budget;
use crate::note::Note;
use crate::state::{Phase, Purpose, Vm};
use crate::step::{Operation, Reason, Step};
use crate::view::{UNFIT_FAILED_STARTS, View, VmStatus};

/// The number of reboots after which a VM that is still unfit is taken out.
const MAX_UNFIT_REBOOTS: u16 = 4;
/// The delay before an unfit VM's second reboot; it doubles with each further
/// reboot. Faults that hit many VMs at once often pass by themselves.
const REBOOT_BACKOFF: Duration = Duration::from_secs(30 * 60);

/// Adds the next step of each VM that is not serving.
pub(crate) fn advance(view: &mut View<'_>, steps: &mut Vec<Step>) {
    let state = view.state;
    for (id, vm) in state.vms() {
        if view.vm_statuses[id.index()] == VmStatus::Lost {
            continue;
        }
        match vm.phase {
            Phase::Serving | Phase::Out => {}
            Phase::Draining => cancel_drain(view, id, vm, steps),
            Phase::Drained => advance_drained(view, id, vm, steps),
            Phase::Rebooting => readmit(view, id, vm, steps),
            Phase::Switching => {
                steps.push(Step::new(Operation::Admit { vm: id }, Reason::NextPhase))
            }
        }
    }
}

/// Whether an operator or a rule requests a drain of `id`.
pub(crate) fn wants_drain(view: &View<'_>, id: VmId) -> bool {
    view.state.vm(id).drain_requested || view.directive.drains.contains(&id)
}

fn cancel_drain(view: &View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    if vm.purpose == Some(Purpose::Operator) && !wants_drain(view, id) {
        steps.push(Step::new(Operation::Admit { vm: id }, Reason::Requested));
    }
}

fn advance_drained(view: &View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    let operation = match vm.purpose {
        Some(Purpose::Maintenance) => Operation::Reboot { vm: id },
        // All copies of the old pool must be gone before the VM joins another
        // pool; otherwise callers of the new pool could reach one of them.
        _ if !vm.copies.is_empty() => return stop_copies(id, vm, steps),
        Some(Purpose::Switch(to)) => Operation::SwitchPool { vm: id, to },
        Some(Purpose::Unfit) if vm.unfit_reboots >= MAX_UNFIT_REBOOTS => {
            Operation::SetOut { vm: id }
        }
        Some(Purpose::Unfit) if is_backing_off(view, vm) => return,
        Some(Purpose::Unfit) => Operation::Reboot { vm: id },
        _ if wants_drain(view, id) => return,
        _ => Operation::Admit { vm: id },
    };
    steps.push(Step::new(operation, Reason::NextPhase));
}

fn is_backing_off(view: &View<'_>, vm: &Vm) -> bool {
    let Some(doublings) = vm.unfit_reboots.checked_sub(1) else { return false };
    view.age(vm.since) < REBOOT_BACKOFF * (1 << doublings.min(MAX_UNFIT_REBOOTS))
}

fn stop_copies(id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    for copy in &vm.copies {
        let operation = Operation::Stop { vm: id, service: copy.service };
        steps.push(Step::new(operation, Reason::LeavingPool));
    }
}

/// Admits a VM that is back from its reboot and restarts its copies.
fn readmit(view: &mut View<'_>, id: VmId, vm: &Vm, steps: &mut Vec<Step>) {
    let is_back = vm.maintained_at.is_some_and(|then| then >= vm.since);
    if !is_back || wants_drain(view, id) {
        return;
    }
    steps.push(Step::new(Operation::Admit { vm: id }, Reason::NextPhase));
    for copy in &vm.copies {
        let operation = Operation::Start { vm: id, service: copy.service };
        steps.push(Step::new(operation, Reason::NextPhase));
    }
    view.mark_admitted(id);
}

/// Drains VMs on request of operators or rules, and unfit VMs, each as soon as
/// the budgets allow it. Cordons those that have to wait.
pub(crate) fn drain_requested(view: &mut View<'_>, steps: &mut Vec<Step>, notes: &mut Vec<Note>) {
    let state = view.state;
    for (id, vm) in state.vms() {
        let status = view.vm_statuses[id.index()];
        if vm.phase != Phase::Serving || status == VmStatus::Lost {
            continue;
        }
        let (purpose, reason) = if wants_drain(view, id) {
            (Purpose::Operator, Reason::Requested)
        } else if vm.failed_starts >= UNFIT_FAILED_STARTS && status == VmStatus::Cordoned {
            notes.push(Note::Unfit { vm: id });
            (Purpose::Unfit, Reason::Unfit)
        } else {
            continue;
        };
        match budget::blocking_service(view, id) {
            None => {
                steps.push(Step::new(Operation::Drain { vm: id, purpose }, reason));
                view.mark_drained(id, false);
            }
            Some(service) => {
                notes.push(Note::WaitsForBudget { service });
                view.cordon(id);
            }
        }
    }
}
