//! Checks disruption budgets: whether a VM may be taken out of service.
//!
//! A budget counts only copies that are ready now. Copies that are lost,
//! failing, warming up or in maintenance don't count, whatever the cause. An
//! unplanned failure therefore uses up the same budget as a wave, and makes the
//! wave wait.

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Outlasts, ServiceId};

use crate::failure_domain::copies_to_survive;
use crate::view::{CopyStatus, Placement, View};

/// Returns the first service whose budget does not allow taking `vm` out of
/// service.
pub(crate) fn blocking_service(view: &View<'_>, vm: VmId) -> Option<ServiceId> {
    let services = view.state.vm(vm).copies.iter().map(|copy| copy.service);
    services.into_iter().find(|&service| !can_spare(view, service, vm))
}

/// Whether the budget of `service` allows to take out its copy on `vm`.
pub(crate) fn can_spare(view: &View<'_>, service: ServiceId, vm: VmId) -> bool {
    let is_ready = |placement: &Placement| placement.status == CopyStatus::Ready;
    let on_vm = |placement: &Placement| placement.vm == vm && is_ready(placement);
    if view.count_copies(service, on_vm) == 0 {
        return true;
    }
    let floor = Floor::new(view, service);
    let rest = |placement: &Placement| is_ready(placement) && placement.vm != vm;
    view.count_copies(service, rest) >= floor.ready
        && view.surviving(service, floor.level, rest) >= floor.surviving
}

/// The minimum that a service has to keep during planned maintenance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    /// The number of ready copies.
    pub(crate) ready: u32,
    /// The number of copies that have to survive a failure of `level`.
    pub(crate) surviving: u32,
    /// The unplanned failure to survive on top of the planned one.
    pub(crate) level: Outlasts,
}

impl Floor {
    pub(crate) fn new(view: &View<'_>, service: ServiceId) -> Self {
        let spec = view.fleet.service(service);
        let demand = view.demands[service.index()];
        let min = spec.budget.min_copies;
        if view.directive.shed.is_some_and(|class| spec.class <= class) {
            return Self { ready: min, surviving: min, level: Outlasts::Nothing };
        }
        if demand.stale {
            // The load is unknown, so no copy can be spared.
            return Self { ready: u32::MAX, surviving: u32::MAX, level: Outlasts::Nothing };
        }
        let current = view.failure_level(service);
        let domains = view.domains(spec.pool, current);
        let level = if domains < 2 { Outlasts::Nothing } else { current };
        // The minimum has to survive the failure too; otherwise a failure during
        // a wave would take the service below its budget.
        let max = spec.budget.max_copies.min(spec.licences);
        let surviving = demand.upcoming.max(min).min(max);
        let desired = copies_to_survive(surviving, level, domains).max(min);
        let ready =
            desired.saturating_sub(spec.budget.unavailable.of(desired)).max(surviving).max(min);
        Self { ready, surviving, level }
    }
}

/// Returns how many more copies `service` needs before one can be taken out.
pub(crate) fn missing_copies(view: &View<'_>, service: ServiceId) -> u32 {
    let floor = Floor::new(view, service);
    let is_ready = |placement: &Placement| placement.status == CopyStatus::Ready;
    let ready = view.count_copies(service, is_ready);
    let survivors = view.surviving(service, floor.level, is_ready);
    let shortage = floor.ready.saturating_sub(ready).max(floor.surviving.saturating_sub(survivors));
    shortage.saturating_add(1).min(view.fleet.service(service).licences.saturating_add(1))
}
