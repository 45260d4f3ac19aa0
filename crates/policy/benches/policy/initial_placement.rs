//! Where copies stand at the beginning.

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::ServiceId;
use corianderfork_policy::state::{Copy, State};

use crate::scenario::Shape;
use crate::simulator::{real_services, time};

/// Ten copies of each service, over data centres, racks and VMs in turn.
pub fn place_evenly(shape: &Shape, state: &mut State) {
    let fleet = &shape.fleet;
    for index in 0..real_services(shape) {
        let service = ServiceId::from_index(index);
        for _ in 0..10 {
            let pool = fleet.service(service).pool;
            let here = |copy: &Copy| copy.service == service;
            let near = |same: &dyn Fn(VmId) -> bool| {
                let copies = state.vms().filter(|(id, _)| same(*id));
                copies.filter(|(_, vm)| vm.copies.iter().any(here)).count()
            };
            let vms = fleet.vms().filter(|(_, vm)| vm.home == pool).map(|(id, _)| id);
            let best = vms.min_by_key(|&vm| {
                let dc = fleet.data_centre_of(vm);
                let rack = fleet.vm(vm).rack;
                let carried = &state.vm(vm).copies;
                (
                    carried.iter().any(here),
                    near(&|other| fleet.data_centre_of(other) == dc),
                    near(&|other| fleet.vm(other).rack == rack),
                    carried.len(),
                    vm,
                )
            });
            let mut copy = Copy::new(service, time(shape.begin));
            copy.warm = true;
            state.vm_mut(best.expect("each pool has VMs")).copies.push(copy);
        }
    }
}
