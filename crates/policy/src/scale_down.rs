//! Selects the copies to stop.

use std::cmp::Reverse;

use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Class, Outlasts, ServiceId};

use crate::failure_domain::domain;
use crate::note::Note;
use crate::placement::{Planner, Shortage};
use crate::step::Reason;
use crate::target::Target;
use crate::view::{CopyStatus, Placement, VmStatus};
use crate::{budget, feasibility, wave};

impl Planner<'_, '_> {
    /// Stops copies of `service` that are not needed to meet `target`.
    pub(crate) fn stop_copies(&mut self, service: ServiceId, target: Target) {
        let is_ready =
            |placement: &Placement| placement.is_staying() && placement.status == CopyStatus::Ready;
        if self.view.count_copies(service, is_ready) < target.desired.max(target.required) {
            // If every start fails, failed copies would otherwise pile up on
            // the VMs.
            if feasibility::next_start_at(self.view.state.start_failures(service)).is_some() {
                self.stop_failing(service);
            }
            return;
        }
        self.stop_unneeded(service);
        if target.may_shrink && !self.view.directive.refuse_moves && !self.started_recently(service)
        {
            self.stop_surplus(service, target);
        }
    }

    /// Stops copies that fail, are marked as leaving or are on a VM in
    /// maintenance, and gives up copies whose lease has expired. Called once
    /// enough copies serve.
    fn stop_unneeded(&mut self, service: ServiceId) {
        for placement in self.view.placements(service).to_vec() {
            let is_usable = self.view.vm_statuses[placement.vm.index()] == VmStatus::Usable;
            let reason = match placement.status {
                // On a VM that came back from the wave failing, the copies show
                // when it is repaired.
                CopyStatus::Failing if wave::has_returned_failing(self.view, placement.vm) => {
                    continue;
                }
                CopyStatus::Failing if is_usable && !placement.leaving => Reason::Failing,
                CopyStatus::Maintenance => Reason::Surplus,
                CopyStatus::LeaseExpired if !self.view.has_recent_losses(service) => {
                    Reason::Replace
                }
                CopyStatus::Ready | CopyStatus::Warming if is_usable && placement.leaving => {
                    Reason::Overcommitted
                }
                _ => continue,
            };
            self.stop_copy(service, placement, reason);
        }
    }

    fn stop_failing(&mut self, service: ServiceId) {
        for placement in self.view.placements(service).to_vec() {
            let is_usable = self.view.vm_statuses[placement.vm.index()] == VmStatus::Usable;
            if is_usable && placement.status == CopyStatus::Failing && !placement.leaving {
                self.stop_copy(service, placement, Reason::Failing);
            }
        }
    }

    /// Whether a copy was started so recently that keeping the copies has cost
    /// less than stopping one would. A copy restarted after a failure counts too.
    fn started_recently(&self, service: ServiceId) -> bool {
        let view = &self.view;
        let is_young = |placement: &Placement| {
            let copies = &view.state.vm(placement.vm).copies;
            let copy = copies.iter().find(|copy| copy.service == service);
            copy.is_none_or(|copy| view.age(copy.since) < view.hold_time)
        };
        view.count_copies(service, |placement| placement.is_staying() && is_young(placement)) > 0
    }

    fn stop_surplus(&mut self, service: ServiceId, target: Target) {
        while let Some(placement) = self.surplus_copy(service, target) {
            self.stop_copy(service, placement, Reason::Surplus);
        }
    }

    /// Returns a copy that can be stopped, from the failure domain with the most
    /// copies.
    fn surplus_copy(&self, service: ServiceId, target: Target) -> Option<Placement> {
        let view = &self.view;
        let is_ready =
            |placement: &Placement| placement.is_staying() && placement.status == CopyStatus::Ready;
        if view.count_copies(service, is_ready) <= target.desired.max(target.required) {
            return None;
        }
        let copies_in_domain = |level: Outlasts, vm: VmId| {
            let own = domain(view.fleet, level, vm);
            view.count_copies(service, |placement| {
                is_ready(placement) && domain(view.fleet, level, placement.vm) == own
            })
        };
        let can_spare = |removed: VmId| {
            let rest = |placement: &Placement| is_ready(placement) && placement.vm != removed;
            view.surviving(service, target.level, rest) >= target.required
        };
        let candidates = view
            .placements(service)
            .iter()
            .filter(|placement| is_ready(placement) && can_spare(placement.vm));
        let best = candidates.max_by_key(|placement| {
            (
                copies_in_domain(Outlasts::DataCentre, placement.vm),
                copies_in_domain(Outlasts::Rack, placement.vm),
                Reverse(view.used[placement.vm.index()].milli_cores),
                Reverse(placement.vm),
            )
        });
        best.copied()
    }

    /// Frees a licence when all are in use: stops a copy that does not serve, or
    /// else one that is marked as leaving and that the budget can spare.
    pub(crate) fn free_licence(&mut self, service: ServiceId, target: Target, shortage: Shortage) {
        let staying = self.view.count_copies(service, Placement::is_staying);
        let missing = target.desired.max(target.required).saturating_sub(staying);
        let is_unused = |placement: &&Placement| match placement.status {
            CopyStatus::Failing => !placement.leaving,
            CopyStatus::LeaseExpired => true,
            CopyStatus::Maintenance => shortage == Shortage::Required,
            _ => false,
        };
        let is_spare = |placement: &&Placement| {
            let is_usable = self.view.vm_statuses[placement.vm.index()] == VmStatus::Usable;
            let is_ready = placement.status == CopyStatus::Ready;
            is_usable
                && is_ready
                && placement.leaving
                && budget::can_spare(self.view, service, placement.vm)
        };
        let placements = self.view.placements(service).iter();
        let found = placements
            .clone()
            .find(is_unused)
            .or_else(|| placements.clone().find(is_spare))
            .copied();
        if let Some(placement) = found {
            let reason = match placement.status {
                CopyStatus::Failing => Reason::Failing,
                CopyStatus::Ready => Reason::Overcommitted,
                _ => Reason::Replace,
            };
            self.stop_copy(service, placement, reason);
        }
        if missing > 0 {
            self.notes.push(Note::Licences { service, missing });
        }
    }

    /// Stops one copy of a service of class [`Class::Later`] if that makes room
    /// for `service`. Returns whether it did.
    pub(crate) fn displace(&mut self, service: ServiceId) -> bool {
        let view = &self.view;
        let fleet = view.fleet;
        let size = view.sizes[service.index()];
        for &vm in view.pool_vms(fleet.service(service).pool) {
            if view.vm_statuses[vm.index()] != VmStatus::Usable || view.has_copy(vm, service) {
                continue;
            }
            for copy in &view.state.vm(vm).copies {
                let other = copy.service;
                let spec = fleet.service(other);
                let has_spare =
                    view.count_copies(other, Placement::is_staying) > spec.budget.min_copies;
                let copy_here = view
                    .placements(other)
                    .iter()
                    .find(|placement| placement.vm == vm && placement.is_staying());
                let (true, Class::Later, Some(&placement)) = (has_spare, spec.class, copy_here)
                else {
                    continue;
                };
                let remaining = view.used[vm.index()].minus(&view.sizes[other.index()]);
                if remaining
                    .is_some_and(|remaining| fleet.vm(vm).size.holds(&remaining.plus(&size)))
                {
                    self.stop_copy(other, placement, Reason::Displaced(service));
                    return true;
                }
            }
        }
        false
    }
}
