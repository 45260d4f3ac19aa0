//! Selects the VM for a new copy.
//!
//! A copy goes to the data centre, then the rack, with the fewest copies of its
//! service. Among equals, the VM with the highest processor use wins, so that
//! some VMs stay empty and can be maintained or lent without moving copies.

use std::cmp::Reverse;
use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Outlasts, ServiceId};

use crate::failure_domain::domain;
use crate::target::Target;
use crate::view::{Placement, View, VmStatus};
use crate::wave;

/// How long a VM gets no new copies after a start failed on it.
const START_BACKOFF: Duration = Duration::from_secs(10 * 60);

/// Returns the best VM for another copy of `service`.
pub(crate) fn best_vm(view: &View<'_>, service: ServiceId) -> Option<VmId> {
    let fleet = view.fleet;
    let copies_in_domain = |level: Outlasts, vm: VmId| {
        let own = domain(fleet, level, vm);
        view.count_copies(service, |placement| {
            placement.will_remain() && domain(fleet, level, placement.vm) == own
        })
    };
    let vms = view.pool_vms(fleet.service(service).pool).iter().copied();
    let available = vms.filter(|vm| {
        view.vm_statuses[vm.index()] == VmStatus::Usable && !is_backing_off(view, *vm)
    });
    let fitting = available.filter(|&vm| !view.has_copy(vm, service) && view.fits(vm, service));
    fitting.min_by_key(|&vm| {
        (
            view.state.vm(vm).failed_starts,
            copies_in_domain(Outlasts::DataCentre, vm),
            copies_in_domain(Outlasts::Rack, vm),
            wave::is_pending(view, vm),
            Reverse(view.used[vm.index()].milli_cores),
            vm,
        )
    })
}

/// Whether another copy on `vm` increases the number of copies that survive the
/// worst failure, or the service has fewer copies than its target.
pub(crate) fn improves_survival(
    view: &View<'_>,
    service: ServiceId,
    target: Target,
    vm: VmId,
) -> bool {
    let fleet = view.fleet;
    let chosen = domain(fleet, target.level, vm);
    let inside = view.count_copies(service, |placement| {
        placement.will_remain() && domain(fleet, target.level, placement.vm) == chosen
    });
    let worst_loss =
        view.count_copies(service, Placement::will_remain) - survivors(view, service, target);
    let below_target = view.count_copies(service, Placement::will_remain) < target.desired;
    inside < worst_loss || below_target
}

/// Returns how many copies survive the failure that the target covers.
pub(crate) fn survivors(view: &View<'_>, service: ServiceId, target: Target) -> u32 {
    view.surviving(service, target.level, Placement::will_remain)
}

/// Whether `vm` gets no new copies for now because starts failed on it. The
/// delay doubles with each failure. Without it, a VM on which copies fail fast
/// would be empty and be selected again and again.
fn is_backing_off(view: &View<'_>, vm: VmId) -> bool {
    let vm = view.state.vm(vm);
    let Some(doublings) = vm.failed_starts.checked_sub(1) else { return false };
    view.age(vm.failed_at) < START_BACKOFF * (1 << doublings.min(6))
}
