//! What a wave will take, said when it is planned.
//!
//! The forecast is a dry run of the planner itself: round by round the VMs it
//! would drain count as done. It takes the load to stay as it is.

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
use crate::view::{Host, View};
use crate::wave::Order;

/// Rounds after which a dry run is given up.
const MOST_ROUNDS: usize = 10_000;

/// What would make a wave fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Remedy {
    /// A deadline no earlier than this.
    Deadline(Time),
    /// This many more copies of a service, if its licences, budget and room
    /// allow them.
    Copies {
        /// The service whose budget holds the wave up.
        service: ServiceId,
        /// Copies missing.
        missing: u32,
    },
    /// A pace that isn't paused or limited.
    Pace,
    /// Work that VMs of this pool have is let go: an operator's drain or a
    /// failure keeps them from being maintained.
    Repair(PoolId),
}

/// What a wave will take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// When the last VM is back, if there is no end in sight: `None`.
    pub finish: Option<Time>,
    /// Whether that is within the deadline.
    pub meets_deadline: bool,
    /// VMs of each pool that won't have been maintained by the deadline.
    pub remaining: Vec<(PoolId, u32)>,
    /// What would make it fit; empty if it does.
    pub remedies: Vec<Remedy>,
}

/// Says how long `order` would take from `now`, what can't be done in time,
/// and what would make it fit.
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
/// // Two VMs, one at a time, twelve minutes each: a quarter of an hour is short.
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
    settle(fleet, &mut state, now);
    let mut at = now;
    let mut by_deadline = None;
    for _ in 0..MOST_ROUNDS {
        if at + config.step_duration > order.deadline && by_deadline.is_none() {
            by_deadline = Some(remaining(fleet, &state, order));
        }
        if !round(fleet, &mut state, directive, config, now) {
            break;
        }
        at = at + config.step_duration;
    }
    let stuck = remaining(fleet, &state, order);
    let finish = stuck.is_empty().then_some(at);
    let remaining = by_deadline.unwrap_or_else(|| stuck.clone());
    let meets_deadline = finish.is_some_and(|finish| finish <= order.deadline);
    let mut remedies = Vec::new();
    if !meets_deadline {
        remedies.extend(finish.map(Remedy::Deadline));
        let view = View::new(fleet, &state, directive, config, now);
        blockers(&view, order, &mut remedies);
        if directive.pace != Pace::Measured {
            remedies.push(Remedy::Pace);
        }
    }
    Forecast { finish, meets_deadline, remaining, remedies }
}

/// Takes VMs that are under way as back.
fn settle(fleet: &Fleet, state: &mut State, now: Time) {
    for id in fleet.vm_ids() {
        let vm = state.vm_mut(id);
        if vm.purpose == Some(Purpose::Maintenance) && vm.phase != Phase::Out {
            vm.phase = Phase::Serving;
            vm.purpose = None;
            vm.maintained_at = Some(now);
        }
    }
}

/// Plays one round; false if nothing could be done.
fn round(
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
    let mut done = false;
    for step in steps {
        if let Operation::Drain { vm, .. } = step.operation {
            state.vm_mut(vm).maintained_at = Some(now);
            done = true;
        }
    }
    // Closed VMs are drained once their copies serve elsewhere.
    for vm in fleet.vm_ids() {
        if view.hosts[vm.index()] == Host::Closing && crate::wave::is_pending(&view, vm) {
            state.vm_mut(vm).maintained_at = Some(now);
            done = true;
        }
    }
    done
}

fn remaining(fleet: &Fleet, state: &State, order: &Order) -> Vec<(PoolId, u32)> {
    let mut left = vec![0; fleet.pools().len()];
    for (_, vm) in state.vms().filter(|(_, vm)| order.is_pending(vm)) {
        left[vm.pool.index()] += 1;
    }
    let pools = fleet.pool_ids().zip(left);
    pools.filter(|&(_, left)| left > 0).collect()
}

/// The services whose budgets hold back the VMs that are left.
fn blockers(view: &View<'_>, order: &Order, remedies: &mut Vec<Remedy>) {
    for (id, vm) in view.state.vms().filter(|(_, vm)| order.is_pending(vm)) {
        let remedy = match budget::blocks(view, id) {
            _ if view.hosts[id.index()] != Host::Usable => Remedy::Repair(vm.pool),
            Some(service) => Remedy::Copies { service, missing: budget::missing(view, service) },
            None => continue,
        };
        if !remedies.contains(&remedy) {
            remedies.push(remedy);
        }
    }
}
