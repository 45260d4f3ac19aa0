//! Which copies are stopped.

use std::cmp::Reverse;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Class, Outlasts, ServiceId};

use crate::failure_domain::domain;
use crate::note::Note;
use crate::placement::{Lack, Planner};
use crate::step::Reason;
use crate::target::Target;
use crate::view::{Host, Place, Standing};
use crate::{budget, feasibility, wave};

impl Planner<'_, '_> {
    pub(crate) fn stop(&mut self, service: ServiceId, target: Target) {
        let able = |place: &Place| place.stays() && place.standing == Standing::Able;
        if self.view.count(service, able) < target.want.max(target.need) {
            // Where every start fails, what fails would pile up on the VMs.
            if feasibility::next_try(self.view.state.start_failures(service)).is_some() {
                self.stop_failing(service);
            }
            return;
        }
        self.stop_idle(service);
        if target.shrink && !self.view.directive.refuse_moves && !self.grew_lately(service) {
            self.stop_surplus(service, target);
        }
    }

    /// Enough copies serve: those that fail, are left, or are away are given
    /// up.
    fn stop_idle(&mut self, service: ServiceId) {
        for place in self.view.places(service).to_vec() {
            let usable = self.view.hosts[place.vm.index()] == Host::Usable;
            let reason = match place.standing {
                // On a VM that came back failing they show when it is mended.
                Standing::Failing if wave::failed_return(self.view, place.vm) => continue,
                Standing::Failing if usable && !place.leaving => Reason::Failing,
                Standing::Away => Reason::Surplus,
                Standing::Lapsed if !self.view.lost_lately(service) => Reason::Replace,
                Standing::Able | Standing::Warming if usable && place.leaving => {
                    Reason::Overcommitted
                }
                _ => continue,
            };
            self.stop_one(service, place, reason);
        }
    }

    fn stop_failing(&mut self, service: ServiceId) {
        for place in self.view.places(service).to_vec() {
            let usable = self.view.hosts[place.vm.index()] == Host::Usable;
            if usable && place.standing == Standing::Failing && !place.leaving {
                self.stop_one(service, place, Reason::Failing);
            }
        }
    }

    /// Whether a copy was started so lately that stopping one costs more than
    /// holding it has. A copy that comes back from a failure counts too.
    fn grew_lately(&self, service: ServiceId) -> bool {
        let view = &self.view;
        let young = |place: &Place| {
            let copies = &view.state.vm(place.vm).copies;
            let copy = copies.iter().find(|copy| copy.service == service);
            copy.is_none_or(|copy| view.age(copy.since) < view.hold_time)
        };
        view.count(service, |place| place.stays() && young(place)) > 0
    }

    fn stop_surplus(&mut self, service: ServiceId, target: Target) {
        while let Some(place) = self.surplus(service, target) {
            self.stop_one(service, place, Reason::Surplus);
        }
    }

    /// A copy that can be given up, from the domain that has most of them.
    fn surplus(&self, service: ServiceId, target: Target) -> Option<Place> {
        let view = &self.view;
        let able = |place: &Place| place.stays() && place.standing == Standing::Able;
        if view.count(service, able) <= target.want.max(target.need) {
            return None;
        }
        let near = |level: Outlasts, vm: VmId| {
            let here = domain(view.fleet, level, vm);
            view.count(service, |place| able(place) && domain(view.fleet, level, place.vm) == here)
        };
        let kept = |gone: VmId| {
            let rest = |place: &Place| able(place) && place.vm != gone;
            view.left(service, target.level, rest) >= target.need
        };
        let candidates = view.places(service).iter().filter(|place| able(place) && kept(place.vm));
        let best = candidates.max_by_key(|place| {
            (
                near(Outlasts::DataCentre, place.vm),
                near(Outlasts::Rack, place.vm),
                Reverse(view.used[place.vm.index()].milli_cores),
                Reverse(place.vm),
            )
        });
        best.copied()
    }

    /// With every licence taken, gives up a copy that doesn't serve, or one
    /// that is to be left and can be spared.
    pub(crate) fn free_licence(&mut self, service: ServiceId, target: Target, lack: Lack) {
        let have = self.view.count(service, Place::stays);
        let missing = target.want.max(target.need).saturating_sub(have);
        let idle = |place: &&Place| match place.standing {
            Standing::Failing => !place.leaving,
            Standing::Lapsed => true,
            Standing::Away => lack == Lack::Need,
            _ => false,
        };
        let spared = |place: &&Place| {
            let usable = self.view.hosts[place.vm.index()] == Host::Usable;
            let able = place.standing == Standing::Able;
            usable && able && place.leaving && budget::spares(self.view, service, place.vm)
        };
        let places = self.view.places(service).iter();
        let found = places.clone().find(idle).or_else(|| places.clone().find(spared)).copied();
        if let Some(place) = found {
            let reason = match place.standing {
                Standing::Failing => Reason::Failing,
                Standing::Able => Reason::Overcommitted,
                _ => Reason::Replace,
            };
            self.stop_one(service, place, reason);
        }
        if missing > 0 {
            self.notes.push(Note::Licences { service, missing });
        }
    }

    /// Stops one copy of later work where that makes room for `service`.
    pub(crate) fn displace(&mut self, service: ServiceId) -> bool {
        let view = &self.view;
        let fleet = view.fleet;
        let size = view.sizes[service.index()];
        for &vm in view.pool(fleet.service(service).pool) {
            if view.hosts[vm.index()] != Host::Usable || view.carries(vm, service) {
                continue;
            }
            for copy in &view.state.vm(vm).copies {
                let other = copy.service;
                let row = fleet.service(other);
                let spare = view.count(other, Place::stays) > row.budget.min_copies;
                let here = view.places(other).iter().find(|place| place.vm == vm && place.stays());
                let (true, Class::Later, Some(&place)) = (spare, row.class, here) else { continue };
                let kept = view.used[vm.index()].minus(&view.sizes[other.index()]);
                if kept.is_some_and(|kept| fleet.vm(vm).size.holds(&kept.plus(&size))) {
                    self.stop_one(other, place, Reason::Displaced(service));
                    return true;
                }
            }
        }
        false
    }
}
