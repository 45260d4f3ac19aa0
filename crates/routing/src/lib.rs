//! Which runner a request goes to, and when it is refused instead.
//!
//! Seven to nine proxies stand in front of backend servers that have a few
//! slots each, and no proxy sees another's load. This crate makes a proxy's
//! decisions and nothing else: time and events go in, decisions come out. It
//! reads no clock, opens no socket and starts no thread.
//!
//! * [`router`] picks a runner for a request and keeps the proxy's own counts.
//!   The newest drain epoch wins, whichever way and in whichever order the news
//!   came.
//! * [`limits`] divides the slots of every runner among the proxies.
//! * [`outlier`] keeps runners that fail everything from attracting work.
//! * [`queue`] holds requests that wait for a slot, the most urgent first.
//! * [`retry`] bounds retries to a share of first tries.
//! * [`outcome`] keeps answered, not run and unknown apart.
//! * [`report`] is what proxies tell each other.
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
//! // A share that grew is used after a settle time.
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
