//! What has to be left while VMs are taken out on purpose.
//!
//! The budget counts what serves now. A copy that is lost, failing, warming
//! or away for maintenance is not there, whatever the reason: so an unplanned
//! failure spends the same budget as a wave, and makes the wave wait.

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Outlasts, ServiceId};

use crate::failure_domain::spread;
use crate::view::{Place, Standing, View};

/// The first service that can't spare `vm`, if there is one.
pub(crate) fn blocks(view: &View<'_>, vm: VmId) -> Option<ServiceId> {
    let services = view.state.vm(vm).copies.iter().map(|copy| copy.service);
    services.into_iter().find(|&service| !spares(view, service, vm))
}

/// Whether `service` keeps its budget without its copy on `vm`.
pub(crate) fn spares(view: &View<'_>, service: ServiceId, vm: VmId) -> bool {
    let able = |place: &Place| place.standing == Standing::Able;
    let here = |place: &Place| place.vm == vm && able(place);
    if view.count(service, here) == 0 {
        return true;
    }
    let floor = Floor::new(view, service);
    let rest = |place: &Place| able(place) && place.vm != vm;
    view.count(service, rest) >= floor.able && view.left(service, floor.level, rest) >= floor.need
}

/// What a service has to keep while VMs are taken out on purpose.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    /// Copies able to serve.
    pub(crate) able: u32,
    /// Copies left after a failure of `level`.
    pub(crate) need: u32,
    /// The failure to be outlasted beside the planned stop.
    pub(crate) level: Outlasts,
}

impl Floor {
    pub(crate) fn new(view: &View<'_>, service: ServiceId) -> Self {
        let row = view.fleet.service(service);
        let demand = view.demands[service.index()];
        let least = row.budget.min_copies;
        if view.directive.shed.is_some_and(|class| row.class <= class) {
            return Self { able: least, need: least, level: Outlasts::Nothing };
        }
        if demand.stale {
            // Nobody knows what the load is: nothing can be spared.
            return Self { able: u32::MAX, need: u32::MAX, level: Outlasts::Nothing };
        }
        let named = view.level(service);
        let domains = view.domains(row.pool, named);
        let level = if domains < 2 { Outlasts::Nothing } else { named };
        // The least copies too are to be left after the failure: else it takes
        // the service below its budget when it hits in the middle of a wave.
        let most = row.budget.max_copies.min(row.licences);
        let need = demand.upcoming.max(least).min(most);
        let want = spread(need, level, domains).max(least);
        let able = want.saturating_sub(row.budget.unavailable.of(want)).max(need).max(least);
        Self { able, need, level }
    }
}

/// Copies of `service` that are missing before one can be spared.
pub(crate) fn missing(view: &View<'_>, service: ServiceId) -> u32 {
    let floor = Floor::new(view, service);
    let able = |place: &Place| place.standing == Standing::Able;
    let have = view.count(service, able);
    let left = view.left(service, floor.level, able);
    let short = floor.able.saturating_sub(have).max(floor.need.saturating_sub(left));
    short.saturating_add(1).min(view.fleet.service(service).licences.saturating_add(1))
}
