//! The controller daemon: rules, placement and waves, held by lease.
//!
//! One runs on every entry VM, all equal. The one that holds the lease on
//! planning decides for the fleet; the others keep up with the records and the
//! load, and one of them takes over within the lease's time to live.
//!
//! [`plan`] is the decision: what is known in, writes and calls out, without
//! I/O. Around it, [`view`] keeps the shared records, [`directory`] the other
//! processes and what they confirmed, and [`facts`] what the platform said. All
//! of these are pure. The rest is the shell: [`actor`]s on the core thread,
//! [`lease`] and [`execute`] on threads that may block, [`daemon`] to put it
//! together.
//!
//! A decision never rests on being the only one to decide. Each write of a
//! record expects the revision it was decided on, and each call is made only
//! while the lease holds: a holder that was paused past its lease finds its
//! writes refused and its calls held back.
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
