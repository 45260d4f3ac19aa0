//! VMs that change their pool.
//!
//! A pool that lacks room for copies it has to have borrows a VM. A VM that is
//! in another pool than its home, because it was lent or because its operators
//! gave it a new home, goes home once the pool it is in can do without it.

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::Outlasts;

use crate::budget;
use crate::failure_domain::domain;
use crate::placement::Request;
use crate::state::{Phase, Purpose};
use crate::step::{Operation, Reason, Step};
use crate::view::{Host, Place, View};

/// Drains one VM of another pool for each pool that lacks room for copies
/// that load or budget call for. One at a time: the next decision sees what it
/// brought.
pub(crate) fn lend(view: &mut View<'_>, requests: &[Request], steps: &mut Vec<Step>) {
    let mut served: Vec<PoolId> = Vec::new();
    for request in requests {
        if served.contains(&request.pool) || on_its_way(view, request.pool) {
            continue;
        }
        served.push(request.pool);
        if let Some(vm) = donor(view, request) {
            let purpose = Purpose::Switch(request.pool);
            steps.push(Step::new(Operation::Drain { vm, purpose }, Reason::NoRoom));
            view.drained(vm, false);
        }
    }
}

/// Drains VMs that can go home, one of each pool at a time. One that has come
/// lately stays for the holding time: what it was lent for may come back.
pub(crate) fn go_home(view: &mut View<'_>, requests: &[Request], steps: &mut Vec<Step>) {
    let state = view.state;
    let mut left: Vec<PoolId> = requests.iter().map(|request| request.pool).collect();
    for (id, vm) in state.vms() {
        let home = view.fleet.vm(id).home;
        let stays = vm.pool == home || vm.phase != Phase::Serving;
        let young = view.age(vm.since) < view.hold_time;
        if stays || young || view.hosts[id.index()] != Host::Usable || left.contains(&vm.pool) {
            continue;
        }
        if on_its_way(view, home) || !fits_elsewhere(view, id) {
            continue;
        }
        left.push(vm.pool);
        if budget::blocks(view, id).is_none() {
            let purpose = Purpose::Switch(home);
            steps.push(Step::new(Operation::Drain { vm: id, purpose }, Reason::ReturnHome));
            view.drained(id, false);
        }
    }
}

/// Whether the pool of `vm` has room elsewhere for all that it carries.
fn fits_elsewhere(view: &View<'_>, vm: VmId) -> bool {
    let state = view.state.vm(vm);
    let mut used = view.used.clone();
    state.copies.iter().all(|copy| {
        let size = view.sizes[copy.service.index()];
        let fits = |other: &&VmId| {
            **other != vm
                && view.hosts[other.index()] == Host::Usable
                && !view.carries(**other, copy.service)
                && view.fleet.vm(**other).size.holds(&used[other.index()].plus(&size))
        };
        let Some(&other) = view.pool(state.pool).iter().find(fits) else { return false };
        used[other.index()] = used[other.index()].plus(&size);
        true
    })
}

fn on_its_way(view: &View<'_>, pool: PoolId) -> bool {
    view.state.vms().any(|(_, vm)| {
        let comes = vm.purpose == Some(Purpose::Switch(pool)) && vm.phase != Phase::Serving;
        comes || (vm.phase == Phase::Switching && vm.pool == pool)
    })
}

/// The VM whose loan costs least: an empty one at home in the pool, in the
/// data centre that has fewest copies of the service.
fn donor(view: &View<'_>, request: &Request) -> Option<VmId> {
    let fleet = view.fleet;
    let size = view.sizes[request.service.index()];
    let near = |vm: VmId| {
        let here = domain(fleet, Outlasts::DataCentre, vm);
        view.count(request.service, |place: &Place| {
            place.stays() && domain(fleet, Outlasts::DataCentre, place.vm) == here
        })
    };
    let open = |vm: VmId| {
        let state = view.state.vm(vm);
        view.hosts[vm.index()] == Host::Usable
            && state.phase == Phase::Serving
            && state.pool != request.pool
            && fleet.pool(state.pool).lends
            && fleet.vm(vm).size.holds(&size)
            && view.used[vm.index()] == Default::default()
    };
    let vms = fleet.vm_ids().filter(|&vm| open(vm) && budget::blocks(view, vm).is_none());
    vms.min_by_key(|&vm| (fleet.vm(vm).home != request.pool, near(vm), vm))
}
