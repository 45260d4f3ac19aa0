//! Forecasts how long a wave takes.
//!
//! The forecast is a dry run of the planner: in each round, the VMs that it
//! would drain count as done. It assumes that the load does not change.

use corianderfork_model::Fleet;
use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::PoolId;
use corianderfork_model::service::ServiceId;

use crate::budget;
use crate::config::Config;
use crate::directive::{Directive, Pace};
use crate::state::{Phase, Purpose, State};
use crate::step::Operation;
use crate::view::{View, VmStatus};
use crate::wave::Order;

/// The maximum number of rounds of a dry run.
const MAX_ROUNDS: usize = 10_000;

/// A change that would let a wave meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Remedy {
    /// Set the deadline to this time or later.
    Deadline(Time),
    /// Run more copies of a service, if its licences, budget and room allow it.
    Copies {
        /// The service whose budget blocks the wave.
        service: ServiceId,
        /// The number of missing copies.
        missing: u32,
    },
    /// Lift the pause or the limit on the wave's pace.
    Pace,
    /// Repair VMs of this pool or end their drains: a failure or an operator's
    /// drain keeps them from being maintained.
    Repair(PoolId),
}

/// The expected course of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// When the last VM is back, or `None` if the wave can't complete.
    pub finish: Option<Time>,
    /// Whether the wave completes by its deadline.
    pub meets_deadline: bool,
    /// The number of VMs of each pool that are not done by the deadline.
    pub remaining: Vec<(PoolId, u32)>,
    /// Changes that would help to meet the deadline; empty if it is met.
    pub remedies: Vec<Remedy>,
}

/// Returns how long `order` would take from `now`, which VMs would not be done
/// in time, and what would help.
///
/// ```
/// use corianderfork_model::place::{DataCentre, Pool, Rack, Size, Vm};
/// use corianderfork_model::{Fleet, Name, Time};
/// use corianderfork_policy::forecast::{Remedy, forecast};
/// use corianderfork_policy::wave::Order;
/// use corianderfork_policy::{Config, Directive, State};
///
/// let mut fleet = Fleet::default();
/// let pool = fleet.add_pool(Pool::new(Name::new("settlement")?));
/// let dc = fleet.add_data_centre(DataCentre::new(Name::new("lahore")?, Name::new("punjab")?));
/// let rack = fleet.add_rack(Rack::new(Name::new("rack")?, dc));
/// for vm in ["vm-1", "vm-2"] {
///     fleet.add_vm(Vm::new(Name::new(vm)?, rack, Size::default(), pool));
/// }
/// let now = Time::from_millis(0);
/// let state = State::new(&fleet, now);
/// let (directive, config) = (Directive::default(), Config::default());
/// // Two VMs, one at a time, twelve minutes each: 15 minutes are too short.
/// let order = Order::new(Time::from_millis(1), Time::from_millis(15 * 60_000));
/// let now = Time::from_millis(1);
/// let forecast = forecast(&fleet, &state, &directive, &config, &order, now);
/// assert!(!forecast.meets_deadline);
/// assert_eq!(forecast.remaining, [(pool, 1)]);
/// let finish = Time::from_millis(1 + 24 * 60_000);
/// assert!(forecast.remedies.contains(&Remedy::Deadline(finish)));
/// # Ok::<(), corianderfork_model::name::Error>(())
/// ```
pub fn forecast(
    fleet: &Fleet,
    state: &State,
    directive: &Directive,
    config: &Config,
    order: &Order,
    now: Time,
) -> Forecast {
    let mut state = state.clone();
    state.wave = Some(order.clone());
    complete_in_progress(fleet, &mut state, now);
    let mut at = now;
    let mut by_deadline = None;
    for _ in 0..MAX_ROUNDS {
        if at + config.step_duration > order.deadline && by_deadline.is_none() {
            by_deadline = Some(remaining_vms(fleet, &state, order));
        }
        if !simulate_round(fleet, &mut state, directive, config, now) {
            break;
        }
        at = at + config.step_duration;
    }
    let unfinished = remaining_vms(fleet, &state, order);
    let finish = unfinished.is_empty().then_some(at);
    let remaining = by_deadline.unwrap_or_else(|| unfinished.clone());
    let meets_deadline = finish.is_some_and(|finish| finish <= order.deadline);
    let mut remedies = Vec::new();
    if !meets_deadline {
        remedies.extend(finish.map(Remedy::Deadline));
        let view = View::new(fleet, &state, directive, config, now);
        add_blockers(&view, order, &mut remedies);
        if directive.pace != Pace::Measured {
            remedies.push(Remedy::Pace);
        }
    }
    Forecast { finish, meets_deadline, remaining, remedies }
}

/// Marks VMs in maintenance as done.
fn complete_in_progress(fleet: &Fleet, state: &mut State, now: Time) {
    for id in fleet.vm_ids() {
        let vm = state.vm_mut(id);
        if vm.purpose == Some(Purpose::Maintenance) && vm.phase != Phase::Out {
            vm.phase = Phase::Serving;
            vm.purpose = None;
            vm.maintained_at = Some(now);
        }
    }
}

/// Simulates one round. Returns false if no VM could be drained.
fn simulate_round(
    fleet: &Fleet,
    state: &mut State,
    directive: &Directive,
    config: &Config,
    now: Time,
) -> bool {
    let before = state.clone();
    let mut view = View::new(fleet, &before, directive, config, now);
    let mut steps = Vec::new();
    crate::wave::plan(&mut view, &mut steps, &mut Vec::new());
    let mut progressed = false;
    for step in steps {
        if let Operation::Drain { vm, .. } = step.operation {
            state.vm_mut(vm).maintained_at = Some(now);
            progressed = true;
        }
    }
    // Cordoned VMs are drained once their copies serve elsewhere.
    for vm in fleet.vm_ids() {
        if view.vm_statuses[vm.index()] == VmStatus::Cordoned && crate::wave::is_pending(&view, vm)
        {
            state.vm_mut(vm).maintained_at = Some(now);
            progressed = true;
        }
    }
    progressed
}

fn remaining_vms(fleet: &Fleet, state: &State, order: &Order) -> Vec<(PoolId, u32)> {
    let mut counts = vec![0; fleet.pools().len()];
    for (_, vm) in state.vms().filter(|(_, vm)| order.is_pending(vm)) {
        counts[vm.pool.index()] += 1;
    }
    let pools = fleet.pool_ids().zip(counts);
    pools.filter(|&(_, count)| count > 0).collect()
}

/// Adds a remedy for each cause that blocks the remaining VMs.
fn add_blockers(view: &View<'_>, order: &Order, remedies: &mut Vec<Remedy>) {
    for (id, vm) in view.state.vms().filter(|(_, vm)| order.is_pending(vm)) {
        let remedy = match budget::blocking_service(view, id) {
            _ if view.vm_statuses[id.index()] != VmStatus::Usable => Remedy::Repair(vm.pool),
            Some(service) => {
                Remedy::Copies { service, missing: budget::missing_copies(view, service) }
            }
            None => continue,
        };
        if !remedies.contains(&remedy) {
            remedies.push(remedy);
        }
    }
}
