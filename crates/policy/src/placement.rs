//! Starts copies and selects their VMs.
//!
//! Starts come before stops: a copy that is marked as leaving keeps serving
//! until enough other copies do.

use std::cmp::Reverse;

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, Size};
use corianderfork_model::service::{Class, Outlasts, ServiceId};

use crate::note::Note;
use crate::state::Copy;
use crate::step::{Operation, Reason, Step};
use crate::target::Target;
use crate::view::{CopyStatus, Placement, View, VmStatus};
use crate::{choice, feasibility};

/// A pool's request for another VM, as it lacks room for a copy that load or
/// budget require.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) pool: PoolId,
    pub(crate) service: ServiceId,
}

/// Decides which copies of all services to start and to stop.
pub(crate) struct Planner<'v, 'a> {
    pub(crate) view: &'v mut View<'a>,
    pub(crate) steps: &'v mut Vec<Step>,
    pub(crate) notes: &'v mut Vec<Note>,
    team_usage: Vec<Size>,
    requests: Vec<Request>,
}

/// Why a service needs another copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// Too few copies for the load or for the budget's minimum.
    Required,
    /// Too few copies would survive the failure that the budget covers.
    Redundancy,
    /// Fewer copies than the target, none of which is strictly required.
    Desired,
}

impl<'v, 'a> Planner<'v, 'a> {
    pub(crate) fn new(
        view: &'v mut View<'a>,
        steps: &'v mut Vec<Step>,
        notes: &'v mut Vec<Note>,
    ) -> Self {
        let mut team_usage = vec![Size::default(); view.fleet.teams().len()];
        for (id, spec) in view.fleet.services() {
            let Some(team) = spec.team else { continue };
            let used = &mut team_usage[team.index()];
            for _ in 0..view.licensed(id) {
                *used = used.plus(&view.sizes[id.index()]);
            }
        }
        Self { view, steps, notes, team_usage, requests: Vec::new() }
    }

    /// Decides all starts and stops. Returns a request for each required copy
    /// that its pool has no room for.
    pub(crate) fn run(mut self) -> Vec<Request> {
        if !self.view.directive.refuse_moves {
            self.relieve_overcommitted_vms();
        }
        for service in self.placement_order() {
            let target = Target::new(self.view, service, self.notes);
            match feasibility::unschedulable_reason(self.view, service) {
                Some(reason) => self.notes.push(Note::Unschedulable { service, reason }),
                None => self.start_copies(service, target),
            }
            self.stop_copies(service, target);
        }
        self.requests
    }

    /// Returns the services in the order in which their copies are placed.
    fn placement_order(&self) -> Vec<ServiceId> {
        let fleet = self.view.fleet;
        let preferred = &self.view.directive.placement_order;
        let mut order: Vec<ServiceId> = fleet.service_ids().collect();
        let rank = |id: &ServiceId| preferred.iter().position(|other| other == id);
        order.sort_by_key(|id| {
            (rank(id).unwrap_or(usize::MAX), Reverse(fleet.service(*id).class), *id)
        });
        order
    }

    /// Marks one copy on each overcommitted VM as leaving. Only learned sizes
    /// count: after a failover the new controller has just the declared sizes,
    /// and would move copies that are known to fit.
    fn relieve_overcommitted_vms(&mut self) {
        let view = &mut *self.view;
        for (id, vm) in view.state.vms() {
            let is_usable = view.vm_statuses[id.index()] == VmStatus::Usable;
            let is_learned =
                |copy: &Copy| view.state.sizer.has_learned_size(copy.service, view.config);
            if !is_usable
                || !vm.copies.iter().all(is_learned)
                || !is_overcommitted(view.fleet.vm(id).size, view.used[id.index()])
            {
                continue;
            }
            // The least urgent class first, then the largest copy.
            let cost = |service: ServiceId| {
                let class = view.fleet.service(service).class;
                (class, Reverse(view.sizes[service.index()].milli_cores), service)
            };
            if let Some(service) =
                vm.copies.iter().map(|copy| copy.service).min_by_key(|s| cost(*s))
            {
                view.mark_leaving(id, service);
            }
        }
    }

    fn start_copies(&mut self, service: ServiceId, target: Target) {
        let failures = self.view.state.start_failures(service);
        let next = feasibility::next_start_at(failures);
        if let Some(next) = next.filter(|&next| next > self.view.now) {
            self.notes.push(Note::Backoff { service, failed: failures.count, next });
            return;
        }
        while let Some(shortage) = self.shortage(service, target) {
            if !self.start_copy(service, target, shortage) || next.is_some() {
                break;
            }
        }
    }

    fn shortage(&self, service: ServiceId, target: Target) -> Option<Shortage> {
        let view = &self.view;
        let staying = view.count_copies(service, Placement::is_staying);
        if staying < target.required {
            return Some(Shortage::Required);
        }
        if choice::survivors(view, service, target) < target.required {
            let pool = view.fleet.service(service).pool;
            let domains = view.domains(pool, target.level);
            if domains >= 2 || target.level == Outlasts::Nothing {
                return Some(Shortage::Redundancy);
            }
        }
        let awaited = if view.has_recent_losses(service) { self.lost_copies(service) } else { 0 };
        (view.count_copies(service, Placement::will_remain) + awaited < target.desired)
            .then_some(Shortage::Desired)
    }

    fn lost_copies(&self, service: ServiceId) -> u32 {
        let is_lost = |placement: &Placement| {
            matches!(placement.status, CopyStatus::Lost | CopyStatus::LeaseExpired)
        };
        self.view.count_copies(service, is_lost)
    }

    /// Starts one copy. Returns false if that is impossible or does not help.
    fn start_copy(&mut self, service: ServiceId, target: Target, shortage: Shortage) -> bool {
        let spec = self.view.fleet.service(service);
        let max_copies = spec.licences.min(spec.budget.max_copies);
        if self.view.licensed(service) >= max_copies {
            self.free_licence(service, target, shortage);
            return false;
        }
        if !self.fits_quota(service) {
            return false;
        }
        let Some(vm) = choice::best_vm(self.view, service) else {
            self.on_no_room(service, target, shortage);
            return false;
        };
        if shortage == Shortage::Redundancy
            && !choice::improves_survival(self.view, service, target, vm)
        {
            let missing = target.required - choice::survivors(self.view, service, target);
            self.notes.push(Note::Uncovered { service, missing });
            return false;
        }
        let reason = self.start_reason(service, shortage);
        self.steps.push(Step::new(Operation::Start { vm, service }, reason));
        self.view.add_copy(vm, service, CopyStatus::Warming);
        if let Some(team) = spec.team {
            let used = &mut self.team_usage[team.index()];
            *used = used.plus(&self.view.sizes[service.index()]);
        }
        true
    }

    fn start_reason(&self, service: ServiceId, shortage: Shortage) -> Reason {
        let view = &self.view;
        let is_down = |placement: &Placement| {
            !matches!(placement.status, CopyStatus::Ready | CopyStatus::Warming)
        };
        let spec = view.fleet.service(service);
        if view.count_copies(service, Placement::is_staying) < spec.budget.min_copies {
            return Reason::Budget;
        }
        if view.count_copies(service, |placement| placement.leaving && !is_down(placement)) > 0 {
            return Reason::Surge;
        }
        match shortage {
            _ if view.count_copies(service, is_down) > 0 => Reason::Replace,
            Shortage::Redundancy => Reason::Redundancy,
            _ => Reason::Load,
        }
    }

    fn fits_quota(&mut self, service: ServiceId) -> bool {
        let Some(team) = self.view.fleet.service(service).team else { return true };
        let total = self.team_usage[team.index()].plus(&self.view.sizes[service.index()]);
        let fits = self.view.fleet.team(team).quota.holds(&total);
        if !fits {
            self.notes.push(Note::Quota { service, team });
        }
        fits
    }

    fn on_no_room(&mut self, service: ServiceId, target: Target, shortage: Shortage) {
        let spec = self.view.fleet.service(service);
        let staying = self.view.count_copies(service, Placement::is_staying);
        let missing = target.desired.max(target.required).saturating_sub(staying);
        self.notes.push(Note::NoRoom { service, missing });
        if shortage == Shortage::Desired {
            return;
        }
        if shortage == Shortage::Required && spec.class == Class::First && self.displace(service) {
            return;
        }
        self.requests.push(Request { pool: spec.pool, service });
    }

    /// Stops one copy, unless this decision stops it already.
    pub(crate) fn stop_copy(&mut self, service: ServiceId, placement: Placement, reason: Reason) {
        let operation = Operation::Stop { vm: placement.vm, service };
        // A displaced copy may have been stopped by this decision already.
        if !self.steps.iter().any(|step| step.operation == operation) {
            self.steps.push(Step::new(operation, reason));
        }
        self.view.mark_stopped(placement.vm, service);
    }
}

/// Whether `used` exceeds `size` by more than a twentieth, the error of the
/// size estimates.
fn is_overcommitted(size: Size, used: Size) -> bool {
    let exceeds = |capacity: u32, used: u32| u64::from(used) * 20 > u64::from(capacity) * 21;
    exceeds(size.milli_cores, used.milli_cores) || exceeds(size.memory_mib, used.memory_mib)
}
