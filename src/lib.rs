//! Coordination components for fleets that are maintained while they serve.
//!
//! Each component is a deterministic state machine or function: time and events go in,
//! actions come out. None of them reads a clock, starts a thread, does I/O or uses an
//! unseeded random number. A program can therefore embed one without the others, test it
//! without waiting and replay it from a log. This project's daemons are thin layers around
//! the same components.
//!
//! | component | question | result |
//! |---|---|---|
//! | [`lease`] | may this process act now? | a fencing token, or none |
//! | [`member`] | which members exist, and is this one connected? | members by incarnation, ages of contact |
//! | [`claim`] | may this attempt run this id? | one grant per id |
//! | [`drain`] | is a request still in flight there? | the members yet to confirm |
//! | [`register`] | is this value newer than the current one? | applied, the same, or stale |
//! | [`backoff`] | when is the next retry? | a delay with jitter |
//! | [`router`] | which copy serves this request? | a ticket, or a time to retry |
//! | [`queue`] | which requests wait, and which are refused at once? | the most urgent and oldest first |
//! | [`limits`] | how much of a shared copy may this process use? | shares that add up to its capacity |
//! | [`retry`] | may this request be retried? | yes, within a budget |
//! | [`outlier`] | which copies fail? | a bounded number of ejections |
//! | [`rules`] | which rule applies? | the first that matches, and why |
//! | [`policy`] | how many copies, where, and when to maintain? | steps with reasons |
//! | [`jobs`] | which task runs where, until when, and which have ended? | orders to workers, rows to write |
//!
//! Each module documents when to use it, what fails without it and what it does not
//! guarantee. Three programs under `examples/` combine components: `fenced_worker` (a lease
//! and a register), `at_most_once` (claims in an in-memory journal) and `route_and_retry`
//! (a router and a retry budget).
//!
//! # Driving a component
//!
//! The embedding program owns the clock and the I/O. It passes each event with its time to
//! the component, executes the returned actions and passes back the answers. If a component
//! needs a timer, its `wake` returns the time. When an answer does not arrive within the
//! program's own timeout, the program reports it as failed or as unknown. Failed means "not
//! written" and unknown means "perhaps written", and components treat the two differently.
//!
//! # Example: a configuration that never reverts
//!
//! ```
//! use corianderfork::register::{Offer, Register};
//!
//! let mut config = Register::default();
//! assert_eq!(config.offer(4, "four"), Offer::Applied);
//! // An older revision that arrives late is rejected.
//! assert_eq!(config.offer(3, "three"), Offer::Stale);
//! assert_eq!(config.get(), Some(&"four"));
//! ```
//!
//! # Example: act only while the lease is held
//!
//! ```
//! use corianderfork::lease::{Action, Answer, Config, Event, Holder};
//! use corianderfork::model::Time;
//! use std::time::Duration;
//!
//! let mut holder = Holder::new(Config::new().ttl(Duration::from_secs(9)), 1);
//! let now = Time::from_millis(0);
//! assert_eq!(holder.on_event(now, Event::Tick), [Action::Grant]);
//! let granted = Event::Store(Answer::Granted { lease: 5 });
//! assert_eq!(holder.on_event(now, granted), [Action::Put { lease: 5 }]);
//! let written = Event::Store(Answer::PutDone { revision: 70 });
//! let _ = holder.on_event(now, written);
//!
//! // Check directly before each action, and write under the returned token.
//! assert!(holder.token(Time::from_millis(1_000)).is_some());
//! // Without a renewal the lease expires by the holder's own clock, a margin before it
//! // does at the store.
//! assert!(holder.token(Time::from_millis(8_500)).is_none());
//! ```

pub use corianderfork_config as config;
pub use corianderfork_coord::{backoff, claim, drain, lease, member, register};
pub use corianderfork_jobs as jobs;
pub use corianderfork_model as model;
pub use corianderfork_policy as policy;
pub use corianderfork_routing::{limits, outcome, outlier, queue, report, retry, router, view};
pub use corianderfork_rules as rules;
