//! Decisions about a fleet: how many copies, where, and which VM next.
//!
//! [`decide`] is the one entry point. It takes the configuration, what is
//! known at the moment, what the operators' rules ask for and the time, and
//! gives the steps to take, each with its reason. It keeps nothing between two
//! calls: a controller that takes over from another one decides the same from
//! the same [`State`]. What is learned over time, load and sizes, is in the
//! state's [`sizing::Sizer`].
//!
//! Four questions are answered in this order, each by a module:
//!
//! 1. What is next for a VM that is draining, rebooting or changing its pool?
//! 2. Which VMs are drained now, so that every budget keeps ([`wave`])?
//! 3. How many copies does each service need ([`sizing`]), and where do they
//!    run?
//! 4. Which VM changes its pool, because another pool lacks room?
//!
//! The steps of one decision may all be taken at once, in any order. Each is
//! decided against the state as it is: the room and the licence of a copy
//! that is stopped are free only once the state no longer has it.
//!
//! # Example
//!
//! ```
//! use corianderfork_model::place::{DataCentre, Pool, Rack, Size, Vm};
//! use corianderfork_model::service::{Budget, Service};
//! use corianderfork_model::{Fleet, Name, Time};
//! use corianderfork_policy::{Operation, Config, Directive, State, decide};
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
//! // The budget's two copies, one in each data centre.
//! let starts = decision.steps.iter().filter(|step| matches!(step.operation, Operation::Start { .. }));
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

/// What to do, and what to tell operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Steps that may all be taken at once.
    pub steps: Vec<Step>,
    /// What operators should know.
    pub notes: Vec<Note>,
}

/// Decides the next steps. `now` is the time since the Unix epoch, as are all
/// times of `state`.
///
/// The same arguments give the same decision. No input makes it panic, as long
/// as `state` was made for `fleet`; what can't be done is named in the notes.
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
    phase::drain(&mut view, &mut steps, &mut notes);
    wave::plan(&mut view, &mut steps, &mut notes);
    let requests = placement::Planner::new(&mut view, &mut steps, &mut notes).run();
    if !directive.refuse_moves {
        lend::lend(&mut view, &requests, &mut steps);
        lend::go_home(&mut view, &requests, &mut steps);
    }
    Decision { steps, notes }
}
