//! The best VM for a copy.
//!
//! A copy is placed where fewest of its service stand, by data centre, then
//! rack; among equal places the fullest VM is taken, so that whole VMs stay
//! empty and can be maintained or lent without a move.

use std::cmp::Reverse;
use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Outlasts, ServiceId};

use crate::failure_domain::domain;
use crate::target::Target;
use crate::view::{Host, Place, View};
use crate::wave;

/// How long a VM is left alone after a start failed on it.
const REST: Duration = Duration::from_secs(10 * 60);

/// The best VM for one more copy of `service`.
pub(crate) fn best(view: &View<'_>, service: ServiceId) -> Option<VmId> {
    let fleet = view.fleet;
    let near = |level: Outlasts, vm: VmId| {
        let here = domain(fleet, level, vm);
        view.count(service, |place| place.remains() && domain(fleet, level, place.vm) == here)
    };
    let vms = view.pool(fleet.service(service).pool).iter().copied();
    let open = vms.filter(|vm| view.hosts[vm.index()] == Host::Usable && !rests(view, *vm));
    let fitting = open.filter(|&vm| !view.carries(vm, service) && view.fits(vm, service));
    fitting.min_by_key(|&vm| {
        (
            view.state.vm(vm).failed_starts,
            near(Outlasts::DataCentre, vm),
            near(Outlasts::Rack, vm),
            wave::is_pending(view, vm),
            Reverse(view.used[vm.index()].milli_cores),
            vm,
        )
    })
}

/// Whether a copy on `vm` lets more be left after the worst failure.
pub(crate) fn helps(view: &View<'_>, service: ServiceId, target: Target, vm: VmId) -> bool {
    let fleet = view.fleet;
    let chosen = domain(fleet, target.level, vm);
    let inside = view
        .count(service, |place| place.remains() && domain(fleet, target.level, place.vm) == chosen);
    let worst = view.count(service, Place::remains) - left(view, service, target);
    let wanted = view.count(service, Place::remains) < target.want;
    inside < worst || wanted
}

/// Copies left after the failure that the target names.
pub(crate) fn left(view: &View<'_>, service: ServiceId, target: Target) -> u32 {
    view.left(service, target.level, Place::remains)
}

/// Whether `vm` is left alone for now because starts failed on it: each
/// failure doubles the time. One that fails fast is empty, and would be the
/// best place again and again.
fn rests(view: &View<'_>, vm: VmId) -> bool {
    let vm = view.state.vm(vm);
    let Some(doublings) = vm.failed_starts.checked_sub(1) else { return false };
    view.age(vm.failed_at) < REST * (1 << doublings.min(6))
}
