//! The target number of copies of a service.

use corianderfork_model::arena::Id;
use corianderfork_model::service::{Outlasts, Service, ServiceId};

use crate::directive::Copies;
use crate::failure_domain::copies_to_survive;
use crate::note::Note;
use crate::view::{Placement, View};

/// The target for one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The number of copies to run.
    pub(crate) desired: u32,
    /// The number of copies that must be able to serve: what the load requires,
    /// within the limits of budget and licences.
    pub(crate) required: u32,
    /// The failure that `required` copies have to survive.
    pub(crate) level: Outlasts,
    /// Whether copies beyond `desired` may be stopped.
    pub(crate) may_shrink: bool,
}

impl Target {
    /// Computes the target of `service` from its load, its budget and the
    /// directive.
    pub(crate) fn new(view: &View<'_>, service: ServiceId, notes: &mut Vec<Note>) -> Self {
        let spec = view.fleet.service(service);
        let demand = view.demands[service.index()];
        let (min, max) = copy_limits(service, spec, notes);
        let is_shed = view.directive.shed.is_some_and(|class| spec.class <= class);
        if is_shed {
            return Self {
                desired: min,
                required: min,
                level: Outlasts::Nothing,
                may_shrink: true,
            };
        }
        let level = view.failure_level(service);
        let present = view.count_copies(service, Placement::will_remain);
        let required = demand.now.clamp(min, max);
        let with_redundancy =
            |load: u32| copies_to_survive(load, level, view.domains(spec.pool, level));
        // The budget's minimum has to survive the failure too.
        let retained = with_redundancy(demand.retained.max(min));
        // During a failure the redundancy is lowered; the remaining copies are
        // not surplus then.
        let has_full_redundancy = level == spec.budget.outlasts;
        let settled = demand.settled && !demand.stale && has_full_redundancy;
        if demand.stale {
            notes.push(Note::StaleLoad { service });
        }
        let target = match view.directive.copies_of(service) {
            Copies::Measured if demand.stale => {
                Self { desired: present.max(retained), required, level, may_shrink: false }
            }
            Copies::Measured => Self { desired: retained, required, level, may_shrink: settled },
            Copies::Count(count) => Self { desired: count, required, level, may_shrink: true },
            Copies::Share(share) => {
                Self { desired: share.of(spec.licences), required, level, may_shrink: true }
            }
            // Never less than the redundancy that the budget requires: with
            // fewer copies the budget would not allow any drain.
            Copies::Headroom(share) => {
                let desired =
                    demand.retained.saturating_add(share.of(demand.retained)).max(retained);
                Self { desired, required, level, may_shrink: settled }
            }
            // Includes copies that are leaving: otherwise no VM with a copy
            // could be drained while the directive applies.
            Copies::Hold => {
                let desired = present + view.count_copies(service, Placement::is_leaving);
                Self { desired, required: min, level: Outlasts::Nothing, may_shrink: false }
            }
        };
        Self { desired: target.desired.clamp(min, max), ..target }
    }
}

/// Returns the minimum and the maximum number of copies. Adds a note if the
/// budget's minimum exceeds the maximum.
fn copy_limits(service: ServiceId, spec: &Service, notes: &mut Vec<Note>) -> (u32, u32) {
    let max = spec.budget.max_copies.min(spec.licences);
    let min = spec.budget.min_copies;
    if min > max {
        notes.push(Note::ConflictingLimits { service, min, max });
    }
    (min.min(max), max)
}
