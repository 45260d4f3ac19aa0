//! Detects services that can never run, and delays starts that keep failing.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::Size;
use corianderfork_model::service::ServiceId;

use crate::note::Unschedulable;
use crate::state::StartFailures;
use crate::view::View;

/// The number of consecutive failed starts from which starts back off. With
/// fewer failures the VMs may be the cause.
const BACKOFF_AFTER_FAILURES: u16 = 3;
/// The first delay; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(60);
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// Returns when a service with these start failures may be started again, or
/// `None` if there is no backoff.
pub(crate) fn next_start_at(failures: StartFailures) -> Option<Time> {
    if failures.count < BACKOFF_AFTER_FAILURES {
        return None;
    }
    let doublings = u32::from(failures.count - BACKOFF_AFTER_FAILURES).min(12);
    let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
    Some(failures.last_at + backoff)
}

/// Returns why no copy of `service` can ever run on the VMs of its pool, or
/// `None` if one can.
pub(crate) fn unschedulable_reason(view: &View<'_>, service: ServiceId) -> Option<Unschedulable> {
    let spec = view.fleet.service(service);
    let size = view.sizes[service.index()];
    if spec.licences == 0 {
        return Some(Unschedulable::Licences);
    }
    if spec.budget.max_copies == 0 {
        return Some(Unschedulable::Budget);
    }
    if spec.slots == 0 {
        return Some(Unschedulable::Slots);
    }
    if spec.team.is_some_and(|team| !view.fleet.team(team).quota.holds(&size)) {
        return Some(Unschedulable::Quota);
    }
    let vms = view.pool_vms(spec.pool);
    if vms.is_empty() {
        return Some(Unschedulable::EmptyPool);
    }
    let any_vm = |fits: &dyn Fn(Size) -> bool| vms.iter().any(|&vm| fits(view.fleet.vm(vm).size));
    if any_vm(&|vm| vm.holds(&size)) {
        return None;
    }
    if !any_vm(&|vm| vm.milli_cores >= size.milli_cores) {
        return Some(Unschedulable::Cores);
    }
    if !any_vm(&|vm| vm.memory_mib >= size.memory_mib) {
        return Some(Unschedulable::Memory);
    }
    if !any_vm(&|vm| vm.accelerators >= size.accelerators) {
        return Some(Unschedulable::Accelerators);
    }
    Some(Unschedulable::Combined)
}
