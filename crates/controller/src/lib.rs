//! The controller daemon: evaluates the rules and manages copies, placement and
//! maintenance waves.
//!
//! A controller runs on every entry VM, and all are equal. The one that holds
//! the planner lease makes decisions for the fleet. The others follow the
//! records and the load, so that one of them can take over within the lease's
//! time to live.
//!
//! [`plan`] makes the decisions: it turns the known state into writes and
//! calls. Its input comes from [`view`], the shared records, [`directory`], the
//! other processes and their confirmations, and [`facts`], the state reported
//! by the platform. None of these does I/O. The [`actor`]s run on the core
//! thread, [`lease`] and [`execute`] on threads that may block, and [`daemon`]
//! assembles them.
//!
//! Decisions stay safe even if two processes make them at the same time. Each
//! write of a record is conditional on the revision that it is based on, and
//! each call is made only while the lease is held: if a holder was paused past
//! the end of its lease, its writes are refused and its calls are not made.
//!
//! ```
//! use corianderfork_controller::plan::change;
//! use corianderfork_model::{Name, Time};
//!
//! let vm = change::created(&Name::new("registry")?, Time::from_millis(1));
//! let drained = change::draining(&vm, "maintenance", None, Time::from_millis(2));
//! assert_eq!(drained.epoch, vm.epoch + 1);
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

pub mod actor;
pub mod daemon;
pub mod directory;
pub mod execute;
pub mod facts;
pub mod gauges;
pub mod lease;
pub mod message;
pub mod outbox;
pub mod plan;
pub mod settings;
pub mod state;
pub mod view;

pub use settings::Settings;
