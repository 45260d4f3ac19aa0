//! Which VM each copy runs on.
//!
//! Starts come before stops: a copy that is to be left serves on until enough
//! others do.

use std::cmp::Reverse;

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, Size};
use corianderfork_model::service::{Class, Outlasts, ServiceId};

use crate::note::Note;
use crate::state::Copy;
use crate::step::{Operation, Reason, Step};
use crate::target::Target;
use crate::view::{Host, Place, Standing, View};
use crate::{choice, feasibility};

/// A pool that lacks room for a copy it has to have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) pool: PoolId,
    pub(crate) service: ServiceId,
}

/// Places the copies of all services.
pub(crate) struct Planner<'v, 'a> {
    pub(crate) view: &'v mut View<'a>,
    pub(crate) steps: &'v mut Vec<Step>,
    pub(crate) notes: &'v mut Vec<Note>,
    teams: Vec<Size>,
    requests: Vec<Request>,
}

/// What a service lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// Copies for the load or the budget's least.
    Need,
    /// Copies in other domains, for the failure the budget names.
    Cover,
    /// Copies that are wanted beside these.
    Want,
}

impl<'v, 'a> Planner<'v, 'a> {
    pub(crate) fn new(
        view: &'v mut View<'a>,
        steps: &'v mut Vec<Step>,
        notes: &'v mut Vec<Note>,
    ) -> Self {
        let mut teams = vec![Size::default(); view.fleet.teams().len()];
        for (id, row) in view.fleet.services() {
            let Some(team) = row.team else { continue };
            let used = &mut teams[team.index()];
            for _ in 0..view.licensed(id) {
                *used = used.plus(&view.sizes[id.index()]);
            }
        }
        Self { view, steps, notes, teams, requests: Vec::new() }
    }

    /// Decides all starts and stops, and says which pools lack room.
    pub(crate) fn run(mut self) -> Vec<Request> {
        if !self.view.directive.refuse_moves {
            self.relieve();
        }
        for service in self.order() {
            let target = Target::new(self.view, service, self.notes);
            match feasibility::reason(self.view, service) {
                Some(reason) => self.notes.push(Note::Unschedulable { service, reason }),
                None => self.start(service, target),
            }
            self.stop(service, target);
        }
        self.requests
    }

    /// Services in the order in which they take room.
    fn order(&self) -> Vec<ServiceId> {
        let fleet = self.view.fleet;
        let first = &self.view.directive.placement_order;
        let mut order: Vec<ServiceId> = fleet.service_ids().collect();
        let rank = |id: &ServiceId| first.iter().position(|other| other == id);
        order.sort_by_key(|id| {
            (rank(id).unwrap_or(usize::MAX), Reverse(fleet.service(*id).class), *id)
        });
        order
    }

    /// Marks one copy on each VM that carries more than it has. Declared sizes
    /// alone are no reason: a controller that takes over has nothing else, and
    /// would move copies that have long been known to fit.
    fn relieve(&mut self) {
        let view = &mut *self.view;
        for (id, vm) in view.state.vms() {
            let usable = view.hosts[id.index()] == Host::Usable;
            let knows = |copy: &Copy| view.state.sizer.has_learned_size(copy.service, view.config);
            if !usable
                || !vm.copies.iter().all(knows)
                || !overfull(view.fleet.vm(id).size, view.used[id.index()])
            {
                continue;
            }
            let cost = |service: ServiceId| {
                let class = view.fleet.service(service).class;
                (class, Reverse(view.sizes[service.index()].milli_cores), service)
            };
            if let Some(service) =
                vm.copies.iter().map(|copy| copy.service).min_by_key(|s| cost(*s))
            {
                view.leave(id, service);
            }
        }
    }

    fn start(&mut self, service: ServiceId, target: Target) {
        let failures = self.view.state.start_failures(service);
        let next = feasibility::next_try(failures);
        if let Some(next) = next.filter(|&next| next > self.view.now) {
            self.notes.push(Note::Backoff { service, failed: failures.count, next });
            return;
        }
        while let Some(lack) = self.lack(service, target) {
            if !self.start_one(service, target, lack) || next.is_some() {
                break;
            }
        }
    }

    fn lack(&self, service: ServiceId, target: Target) -> Option<Lack> {
        let view = &self.view;
        let stays = view.count(service, Place::stays);
        if stays < target.need {
            return Some(Lack::Need);
        }
        if choice::left(view, service, target) < target.need {
            let pool = view.fleet.service(service).pool;
            let domains = view.domains(pool, target.level);
            if domains >= 2 || target.level == Outlasts::Nothing {
                return Some(Lack::Cover);
            }
        }
        let waited = if view.lost_lately(service) { self.lost(service) } else { 0 };
        (view.count(service, Place::remains) + waited < target.want).then_some(Lack::Want)
    }

    fn lost(&self, service: ServiceId) -> u32 {
        let lost = |place: &Place| matches!(place.standing, Standing::Lost | Standing::Lapsed);
        self.view.count(service, lost)
    }

    /// Starts one copy; false if that can't be done or doesn't help.
    fn start_one(&mut self, service: ServiceId, target: Target, lack: Lack) -> bool {
        let row = self.view.fleet.service(service);
        let most = row.licences.min(row.budget.max_copies);
        if self.view.licensed(service) >= most {
            self.free_licence(service, target, lack);
            return false;
        }
        if !self.quota_holds(service) {
            return false;
        }
        let Some(vm) = choice::best(self.view, service) else {
            self.no_room(service, target, lack);
            return false;
        };
        if lack == Lack::Cover && !choice::helps(self.view, service, target, vm) {
            let missing = target.need - choice::left(self.view, service, target);
            self.notes.push(Note::Uncovered { service, missing });
            return false;
        }
        let reason = self.reason(service, lack);
        self.steps.push(Step::new(Operation::Start { vm, service }, reason));
        self.view.add(vm, service, Standing::Warming);
        if let Some(team) = row.team {
            let used = &mut self.teams[team.index()];
            *used = used.plus(&self.view.sizes[service.index()]);
        }
        true
    }

    fn reason(&self, service: ServiceId, lack: Lack) -> Reason {
        let view = &self.view;
        let out = |place: &Place| !matches!(place.standing, Standing::Able | Standing::Warming);
        let row = view.fleet.service(service);
        if view.count(service, Place::stays) < row.budget.min_copies {
            return Reason::Budget;
        }
        if view.count(service, |place| place.leaving && !out(place)) > 0 {
            return Reason::Surge;
        }
        match lack {
            _ if view.count(service, out) > 0 => Reason::Replace,
            Lack::Cover => Reason::Redundancy,
            _ => Reason::Load,
        }
    }

    fn quota_holds(&mut self, service: ServiceId) -> bool {
        let Some(team) = self.view.fleet.service(service).team else { return true };
        let total = self.teams[team.index()].plus(&self.view.sizes[service.index()]);
        let holds = self.view.fleet.team(team).quota.holds(&total);
        if !holds {
            self.notes.push(Note::Quota { service, team });
        }
        holds
    }

    fn no_room(&mut self, service: ServiceId, target: Target, lack: Lack) {
        let row = self.view.fleet.service(service);
        let have = self.view.count(service, Place::stays);
        let missing = target.want.max(target.need).saturating_sub(have);
        self.notes.push(Note::NoRoom { service, missing });
        if lack == Lack::Want {
            return;
        }
        if lack == Lack::Need && row.class == Class::First && self.displace(service) {
            return;
        }
        self.requests.push(Request { pool: row.pool, service });
    }

    pub(crate) fn stop_one(&mut self, service: ServiceId, place: Place, reason: Reason) {
        let operation = Operation::Stop { vm: place.vm, service };
        // A displaced copy may have been decided on already.
        if !self.steps.iter().any(|step| step.operation == operation) {
            self.steps.push(Step::new(operation, reason));
        }
        self.view.stop(place.vm, service);
    }
}

/// Whether `used` is more than `size` by more than the estimate's own error: a
/// twentieth.
fn overfull(size: Size, used: Size) -> bool {
    let over = |have: u32, used: u32| u64::from(used) * 20 > u64::from(have) * 21;
    over(size.milli_cores, used.milli_cores) || over(size.memory_mib, used.memory_mib)
}
