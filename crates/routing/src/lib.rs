//! Routing decisions of a proxy: which runner receives a request, and when a
//! request is refused instead.
//!
//! Seven to nine proxies share backend servers that have a few slots each, and
//! no proxy sees the load of another. This crate makes one proxy's decisions
//! and does nothing else: time and events go in, decisions come out. It reads
//! no clock, opens no socket and starts no thread.
//!
//! * [`router`] picks a runner for a request and counts the proxy's own load.
//!   The newest drain epoch wins, whatever the source and order of the
//!   messages.
//! * [`limits`] divides the slots of each runner among the proxies.
//! * [`outlier`] ejects runners that fail all requests, so that they do not
//!   attract work.
//! * [`queue`] holds requests that wait for a slot, most urgent first.
//! * [`retry`] limits retries to a share of the first tries.
//! * [`outcome`] distinguishes answered, not run and unknown.
//! * [`report`] defines what proxies report to each other.
//!
//! # Example
//!
//! ```
//! use corianderfork_model::{Name, Time};
//! use corianderfork_routing::outcome::Attempt;
//! use corianderfork_routing::router::{Config, Router};
//! use corianderfork_routing::view::{Runner, Vm};
//!
//! let transfer = Name::new("transfer")?;
//! let mut router = Router::new(Name::new("proxy-1")?, Config::default());
//! router.set_service(&transfer, 8, 64);
//! let vm = Vm::new(Name::new("vm-1")?, 7)
//!     .serving(true)
//!     .runner(Runner::new(transfer.clone(), "127.0.0.1:9000".parse()?, true));
//! router.apply_record(Time::ZERO, vm);
//!
//! // A larger share may be used only after the settle time.
//! let now = Time::from_millis(2_000);
//! let ticket = router.pick(now, &transfer, &[])?;
//! assert_eq!(ticket.address().port(), 9000);
//! router.done(now, ticket, Attempt::Answered);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod limits;
pub mod outcome;
pub mod outlier;
pub mod queue;
pub mod report;
pub mod retry;
pub mod router;
pub mod view;

mod hash;

pub use report::Report;
pub use router::{Router, RunnerKey, ServiceKey, Ticket};
