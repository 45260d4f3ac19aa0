//! Decides how many copies of each service run, on which VMs, and which VMs are
//! maintained next.
//!
//! [`decide`] is the only entry point. It takes the configuration, the current
//! state, the directive of the operators' rules and the time, and returns the
//! steps to take, each with its reason. It keeps no state between calls: after
//! a failover, the new controller makes the same decision from the same
//! [`State`]. Learned loads and sizes are part of the state, in
//! [`sizing::Sizer`].
//!
//! A decision has four parts, in this order:
//!
//! 1. Advance each VM that is draining, rebooting or changing its pool.
//! 2. Drain VMs, as far as every service's budget allows ([`wave`]).
//! 3. Compute how many copies each service needs ([`sizing`]) and place them.
//! 4. Move VMs to pools that lack capacity, or back to their home pool.
//!
//! The steps of one decision may be taken all at once and in any order. Each is
//! checked against the current state: the room and the licence of a stopped
//! copy are free only once the state no longer contains the copy.
//!
//! # Example
//!
//! ```
//! use corianderfork_model::place::{DataCentre, Pool, Rack, Size, Vm};
//! use corianderfork_model::service::{Budget, Service};
//! use corianderfork_model::{Fleet, Name, Time};
//! use corianderfork_policy::{Config, Directive, Operation, State, decide};
//!
//! let mut fleet = Fleet::default();
//! let pool = fleet.add_pool(Pool::new(Name::new("registry")?));
//! let size = Size { milli_cores: 16_000, memory_mib: 32_768, accelerators: 0 };
//! for dc in ["kolkata", "siliguri"] {
//!     let region = Name::new("bengal")?;
//!     let dc = fleet.add_data_centre(DataCentre::new(Name::new(dc)?, region));
//!     let rack = fleet.add_rack(Rack::new(Name::new("rack")?, dc));
//!     fleet.add_vm(Vm::new(Name::new("vm")?, rack, size, pool));
//! }
//! let copy = Size { milli_cores: 4_000, memory_mib: 8_192, accelerators: 0 };
//! let service = Service::new(Name::new("lookup")?, pool, copy, Budget::new(2, 4), 4);
//! fleet.add_service(service);
//!
//! let now = Time::from_millis(0);
//! let state = State::new(&fleet, now);
//! let decision = decide(&fleet, &state, &Directive::default(), &Config::default(), now);
//! // The budget's minimum of two copies, one in each data centre.
//! let operations = decision.steps.iter().map(|step| step.operation);
//! let starts = operations.filter(|operation| matches!(operation, Operation::Start { .. }));
//! assert_eq!(starts.count(), 2);
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

pub mod config;
pub mod directive;
pub mod forecast;
pub mod note;
pub mod sizing;
pub mod state;
pub mod step;
pub mod wave;

mod budget;
mod choice;
mod estimate;
mod failure_domain;
mod feasibility;
mod history;
mod lend;
mod periodic;
mod phase;
mod placement;
mod progress;
mod scale_down;
mod status;
mod target;
mod view;

pub use config::Config;
pub use directive::Directive;
pub use note::Note;
pub use state::State;
pub use step::{Operation, Reason, Step};

use corianderfork_model::{Fleet, Time};

/// The steps to take, and notes for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Steps that may all be taken at once.
    pub steps: Vec<Step>,
    /// Messages for operators.
    pub notes: Vec<Note>,
}

/// Decides the next steps. `now` and all times in `state` are relative to the
/// Unix epoch.
///
/// The same arguments give the same decision. It never panics if `state` was
/// created for `fleet`. Notes report what can't be done.
pub fn decide(
    fleet: &Fleet,
    state: &State,
    directive: &Directive,
    config: &Config,
    now: Time,
) -> Decision {
    let mut view = view::View::new(fleet, state, directive, config, now);
    let Decision { mut steps, mut notes } = Decision::default();
    phase::advance(&mut view, &mut steps);
    phase::drain_requested(&mut view, &mut steps, &mut notes);
    wave::plan(&mut view, &mut steps, &mut notes);
    let requests = placement::Planner::new(&mut view, &mut steps, &mut notes).run();
    if !directive.refuse_moves {
        lend::lend_vms(&mut view, &requests, &mut steps);
        lend::return_vms(&mut view, &requests, &mut steps);
    }
    Decision { steps, notes }
}
