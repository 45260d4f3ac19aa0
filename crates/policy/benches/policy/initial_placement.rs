//! The initial placement of copies.

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::ServiceId;
use corianderfork_policy::state::{Copy, State};

use crate::scenario::Scenario;
use crate::simulator::{schedulable_services, time};

/// Places ten copies of each service evenly over data centres, racks and VMs.
pub fn place_evenly(scenario: &Scenario, state: &mut State) {
    let fleet = &scenario.fleet;
    for index in 0..schedulable_services(scenario) {
        let service = ServiceId::from_index(index);
        for _ in 0..10 {
            let pool = fleet.service(service).pool;
            let has_copy = |copy: &Copy| copy.service == service;
            let copies_near = |same: &dyn Fn(VmId) -> bool| {
                let copies = state.vms().filter(|(id, _)| same(*id));
                copies.filter(|(_, vm)| vm.copies.iter().any(has_copy)).count()
            };
            let vms = fleet.vms().filter(|(_, vm)| vm.home == pool).map(|(id, _)| id);
            let best = vms.min_by_key(|&vm| {
                let dc = fleet.data_centre_of(vm);
                let rack = fleet.vm(vm).rack;
                let copies_on_vm = &state.vm(vm).copies;
                (
                    copies_on_vm.iter().any(has_copy),
                    copies_near(&|other| fleet.data_centre_of(other) == dc),
                    copies_near(&|other| fleet.vm(other).rack == rack),
                    copies_on_vm.len(),
                    vm,
                )
            });
            let mut copy = Copy::new(service, time(scenario.start));
            copy.warm = true;
            state.vm_mut(best.expect("each pool has VMs")).copies.push(copy);
        }
    }
}
