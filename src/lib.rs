//! Coordination parts for fleets that are maintained while they serve.
//!
//! Each part here is a decision kept apart from the world: time and events go
//! in, actions come out. None of them reads a clock, starts a thread, does I/O
//! or draws a random number that was not seeded, so a program embeds one
//! without taking the others, tests it without waiting, and replays it from a
//! log. The daemons of this project are thin shells around the same parts.
//!
//! | part | asks | answers |
//! |---|---|---|
//! | [`lease`] | may I act now? | a fencing token, or no |
//! | [`member`] | who is there, and am I in touch? | members by incarnation, ages of contact |
//! | [`claim`] | may this attempt run this id? | granted once, whoever asks and how often |
//! | [`drain`] | is anything still in flight there? | who has yet to confirm |
//! | [`register`] | is this newer than what I have? | applied, the same, or stale |
//! | [`backoff`] | when do I try again? | a jittered wait |
//! | [`router`] | which copy serves this request? | a ticket, or when to come back |
//! | [`queue`] | who waits, and who is refused at once? | the most urgent, the oldest |
//! | [`limits`] | how much of a shared copy is mine? | a share that sums up over all |
//! | [`retry`] | may I try once more? | yes within a budget |
//! | [`outlier`] | which copies fail? | ejections, bounded |
//! | [`rules`] | which rule decides? | the first that matches, and why |
//! | [`policy`] | how many copies, where, and when to maintain? | steps with reasons |
//! | [`jobs`] | which task runs where, until when, and what has ended? | orders to workers, rows to write |
//!
//! Each module says when to use it, what goes wrong without it, and what it
//! does not promise. Three programs under `examples/` put parts together:
//! `fenced_worker` (a lease and a register), `at_most_once` (claims against a
//! journal in memory) and `route_and_retry` (a router and a retry budget).
//!
//! # How a part is driven
//!
//! The program around a part owns clock and I/O. It tells the part what
//! happened and when, carries out the actions that come back, and tells the
//! answers. Where a part asks to be woken, its `wake` gives the time. An answer
//! that never comes is told as failed or unknown, after a timeout of the
//! program's own; which of the two is the difference between "not written" and
//! "perhaps written", and the parts treat them apart.
//!
//! # Example: a configuration that never goes back
//!
//! ```
//! use corianderfork::register::{Offer, Register};
//!
//! let mut config = Register::default();
//! assert_eq!(config.offer(4, "four"), Offer::Applied);
//! // A slow path brings an older revision: it is not taken.
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
//! // Ask directly before each act; write under the token that it gives.
//! assert!(holder.token(Time::from_millis(1_000)).is_some());
//! // Not renewed, so it ends: by its own clock, a margin before the store's.
//! assert!(holder.token(Time::from_millis(8_500)).is_none());
//! ```

pub use corianderfork_config as config;
pub use corianderfork_coord::{backoff, claim, drain, lease, member, register};
pub use corianderfork_jobs as jobs;
pub use corianderfork_model as model;
pub use corianderfork_policy as policy;
pub use corianderfork_routing::{limits, outcome, outlier, queue, report, retry, router, view};
pub use corianderfork_rules as rules;
