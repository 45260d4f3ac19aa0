//! Moves VMs between pools.
//!
//! A pool that lacks room for required copies borrows a VM. A VM outside its
//! home pool, because it was lent or because operators changed its home, returns
//! once its current pool can do without it.

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::Outlasts;

use crate::budget;
use crate::failure_domain::domain;
use crate::placement::Request;
use crate::state::{Phase, Purpose};
use crate::step::{Operation, Reason, Step};
use crate::view::{Placement, View, VmStatus};

/// Drains one VM of another pool for each pool that lacks room for required
/// copies. Each pool borrows one VM at a time; the next decision takes its
/// effect into account.
pub(crate) fn lend_vms(view: &mut View<'_>, requests: &[Request], steps: &mut Vec<Step>) {
    let mut served: Vec<PoolId> = Vec::new();
    for request in requests {
        if served.contains(&request.pool) || has_incoming_vm(view, request.pool) {
            continue;
        }
        served.push(request.pool);
        if let Some(vm) = donor(view, request) {
            let purpose = Purpose::Switch(request.pool);
            steps.push(Step::new(Operation::Drain { vm, purpose }, Reason::NoRoom));
            view.mark_drained(vm, false);
        }
    }
}

/// Drains VMs that can return to their home pool, one per pool at a time. A VM
/// that arrived recently stays for the hold time, as the need may recur.
pub(crate) fn return_vms(view: &mut View<'_>, requests: &[Request], steps: &mut Vec<Step>) {
    let state = view.state;
    let mut busy_pools: Vec<PoolId> = requests.iter().map(|request| request.pool).collect();
    for (id, vm) in state.vms() {
        let home = view.fleet.vm(id).home;
        let may_not_move = vm.pool == home || vm.phase != Phase::Serving;
        let is_recent = view.age(vm.since) < view.hold_time;
        if may_not_move
            || is_recent
            || view.vm_statuses[id.index()] != VmStatus::Usable
            || busy_pools.contains(&vm.pool)
        {
            continue;
        }
        if has_incoming_vm(view, home) || !fits_elsewhere(view, id) {
            continue;
        }
        busy_pools.push(vm.pool);
        if budget::blocking_service(view, id).is_none() {
            let purpose = Purpose::Switch(home);
            steps.push(Step::new(Operation::Drain { vm: id, purpose }, Reason::ReturnHome));
            view.mark_drained(id, false);
        }
    }
}

/// Whether all copies on `vm` fit on other VMs of its pool.
fn fits_elsewhere(view: &View<'_>, vm: VmId) -> bool {
    let state = view.state.vm(vm);
    let mut used = view.used.clone();
    state.copies.iter().all(|copy| {
        let size = view.sizes[copy.service.index()];
        let fits = |other: &&VmId| {
            **other != vm
                && view.vm_statuses[other.index()] == VmStatus::Usable
                && !view.has_copy(**other, copy.service)
                && view.fleet.vm(**other).size.holds(&used[other.index()].plus(&size))
        };
        let Some(&other) = view.pool_vms(state.pool).iter().find(fits) else { return false };
        used[other.index()] = used[other.index()].plus(&size);
        true
    })
}

/// Whether a VM is about to join `pool`.
fn has_incoming_vm(view: &View<'_>, pool: PoolId) -> bool {
    view.state.vms().any(|(_, vm)| {
        let is_leaving = vm.purpose == Some(Purpose::Switch(pool)) && vm.phase != Phase::Serving;
        is_leaving || (vm.phase == Phase::Switching && vm.pool == pool)
    })
}

/// Returns the best VM to lend: an empty one, preferably one whose home is the
/// requesting pool, in the data centre with the fewest copies of the service.
fn donor(view: &View<'_>, request: &Request) -> Option<VmId> {
    let fleet = view.fleet;
    let size = view.sizes[request.service.index()];
    let copies_in_data_centre = |vm: VmId| {
        let own = domain(fleet, Outlasts::DataCentre, vm);
        view.count_copies(request.service, |placement: &Placement| {
            placement.is_staying() && domain(fleet, Outlasts::DataCentre, placement.vm) == own
        })
    };
    let is_available = |vm: VmId| {
        let state = view.state.vm(vm);
        view.vm_statuses[vm.index()] == VmStatus::Usable
            && state.phase == Phase::Serving
            && state.pool != request.pool
            && fleet.pool(state.pool).lends
            && fleet.vm(vm).size.holds(&size)
            && view.used[vm.index()] == Default::default()
    };
    let vms = fleet
        .vm_ids()
        .filter(|&vm| is_available(vm) && budget::blocking_service(view, vm).is_none());
    vms.min_by_key(|&vm| (fleet.vm(vm).home != request.pool, copies_in_data_centre(vm), vm))
}
