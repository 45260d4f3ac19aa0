//! How many copies of a service there are to be.

use corianderfork_model::arena::Id;
use corianderfork_model::service::{Outlasts, Service, ServiceId};

use crate::directive::Copies;
use crate::failure_domain::spread;
use crate::note::Note;
use crate::view::{Place, View};

/// What is asked for one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// Copies there are to be.
    pub(crate) want: u32,
    /// Copies that have to be able to serve.
    pub(crate) need: u32,
    /// The failure after which `need` are to be left.
    pub(crate) level: Outlasts,
    /// Whether copies beyond `want` may be stopped.
    pub(crate) shrink: bool,
}

impl Target {
    /// What load, budget and directive ask for `service`.
    pub(crate) fn new(view: &View<'_>, service: ServiceId, notes: &mut Vec<Note>) -> Self {
        let row = view.fleet.service(service);
        let demand = view.demands[service.index()];
        let (min, max) = bounds(service, row, notes);
        let shed = view.directive.shed.is_some_and(|class| row.class <= class);
        if shed {
            return Self { want: min, need: min, level: Outlasts::Nothing, shrink: true };
        }
        let level = view.level(service);
        let here = view.count(service, Place::remains);
        let need = demand.now.clamp(min, max);
        let covered = |load: u32| spread(load, level, view.domains(row.pool, level));
        // The least copies too are to be left after the failure.
        let held = covered(demand.retained.max(min));
        // While a failure is waited out, what is left is no surplus.
        let whole = level == row.budget.outlasts;
        let settled = demand.settled && !demand.stale && whole;
        if demand.stale {
            notes.push(Note::StaleLoad { service });
        }
        let target = match view.directive.copies_of(service) {
            Copies::Measured if demand.stale => {
                Self { want: here.max(held), need, level, shrink: false }
            }
            Copies::Measured => Self { want: held, need, level, shrink: settled },
            Copies::Count(count) => Self { want: count, need, level, shrink: true },
            Copies::Share(share) => {
                Self { want: share.of(row.licences), need, level, shrink: true }
            }
            // Never less than the budget's failure calls for: what may be
            // drained is judged by the budget, and with fewer copies than that
            // no VM could ever be drained.
            Copies::Headroom(share) => {
                let want = demand.retained.saturating_add(share.of(demand.retained)).max(held);
                Self { want, need, level, shrink: settled }
            }
            // As many as there are, those that are about to leave included:
            // else no VM that carries one could be drained while a rule holds.
            Copies::Hold => {
                let want = here + view.count(service, Place::leaves);
                Self { want, need: min, level: Outlasts::Nothing, shrink: false }
            }
        };
        Self { want: target.want.clamp(min, max), ..target }
    }
}

/// The least and the most copies that can be asked for.
fn bounds(service: ServiceId, row: &Service, notes: &mut Vec<Note>) -> (u32, u32) {
    let max = row.budget.max_copies.min(row.licences);
    let min = row.budget.min_copies;
    if min > max {
        notes.push(Note::ConflictingLimits { service, min, max });
    }
    (min.min(max), max)
}
