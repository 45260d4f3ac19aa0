//! Jobs that can never run, and tries that go on failing.

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::Size;
use corianderfork_model::service::ServiceId;

use crate::note::Unschedulable;
use crate::state::StartFailures;
use crate::view::View;

/// Starts that fail in a row before tries become rarer. Below this the VMs may
/// be at fault.
const TRIES: u16 = 3;
/// The first wait; it doubles with each further failure.
const FIRST_WAIT: Duration = Duration::from_secs(60);
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// When a service whose starts went like `trial` may be tried again; `None` if
/// it may be tried freely.
pub(crate) fn next_try(failures: StartFailures) -> Option<Time> {
    if failures.count < TRIES {
        return None;
    }
    let doublings = u32::from(failures.count - TRIES).min(12);
    let wait = FIRST_WAIT.saturating_mul(1 << doublings).min(LONGEST_WAIT);
    Some(failures.last_at + wait)
}

/// Why no copy of `service` can ever run on the VMs that can be its pool's.
pub(crate) fn reason(view: &View<'_>, service: ServiceId) -> Option<Unschedulable> {
    let row = view.fleet.service(service);
    let size = view.sizes[service.index()];
    if row.licences == 0 {
        return Some(Unschedulable::Licences);
    }
    if row.budget.max_copies == 0 {
        return Some(Unschedulable::Budget);
    }
    if row.slots == 0 {
        return Some(Unschedulable::Slots);
    }
    if row.team.is_some_and(|team| !view.fleet.team(team).quota.holds(&size)) {
        return Some(Unschedulable::Quota);
    }
    let vms = view.pool(row.pool);
    if vms.is_empty() {
        return Some(Unschedulable::EmptyPool);
    }
    let has = |fits: &dyn Fn(Size) -> bool| vms.iter().any(|&vm| fits(view.fleet.vm(vm).size));
    if has(&|vm| vm.holds(&size)) {
        return None;
    }
    if !has(&|vm| vm.milli_cores >= size.milli_cores) {
        return Some(Unschedulable::Cores);
    }
    if !has(&|vm| vm.memory_mib >= size.memory_mib) {
        return Some(Unschedulable::Memory);
    }
    if !has(&|vm| vm.accelerators >= size.accelerators) {
        return Some(Unschedulable::Accelerators);
    }
    Some(Unschedulable::Combined)
}
