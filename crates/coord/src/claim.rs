//! At-most-once execution by request id, recorded in a journal in the
//! platform's service.
//!
//! A caller that did not receive an answer retries at another entry VM. The
//! process that receives the retry must know whether the request may have been
//! run already, even if the process that ran it is gone. So the id is claimed
//! in the platform's service before the first byte is sent to a backend server.
//!
//! One write per request would exceed the service's rate limits, so ids are
//! split over a fixed number of [`shard`]s. Each shard has one [`Owner`] at a
//! time, which batches claims and writes each batch by compare-and-swap. It
//! grants a claim only after the write that contains it is confirmed. The write
//! rate is bounded by the number of shards and the write interval, not by the
//! request rate.
//!
//! Failures that the design prevents:
//!
//! - *A paused owner resumes and grants an id that its successor has granted
//!   too.* The id would have two attempts. A [`Takeover`] seals the last
//!   segment by compare-and-swap before it reads the journal. The old owner's
//!   next write then fails, and a claim that is not written is never granted.
//! - *The paused owner's segment is deleted, and its create-only write creates
//!   the segment again.* Every takeover first writes its fencing token to the
//!   segment [`segment::HEAD`], which is never deleted. An owner reads it after
//!   each segment that it creates, before it grants the claims in that segment.
//! - *The clock of an owner is behind that of a previous owner which forgot an
//!   id, so the id looks new.* Before records are deleted, the journal stores a
//!   floor. An id issued before the floor is [`Verdict::Expired`] by any clock.
//! - *An answer of the service is lost after the write took effect.* The owner
//!   reads the segment back and recognises its own write by its sequence number
//!   before it retries.
//! - *The service is down.* Claims are refused immediately. An owner never
//!   continues without the service, because its claims would be lost if it
//!   died.
//!
//! Times in this module are Unix times, because ids contain one.
//!
//! The driver answers every [`Action::Put`], [`Action::Read`], [`Action::List`]
//! and [`Action::Delete`] with exactly one [`Answer`]. On a timeout it answers
//! `PutUnknown` or `ReadFailed` and drops the late answer.
//!
//! ```
//! use corianderfork_coord::claim::{
//!     Action, Answer, Request, Attempt, Config, Event, Id, Segment, Takeover, Verdict, segment::Writer,
//! };
//! use corianderfork_model::{Name, Time};
//! use std::collections::BTreeMap;
//!
//! // A store that always answers, with the revision and value of each segment.
//! #[derive(Default)]
//! struct Store(u64, BTreeMap<u64, (u64, Segment)>);
//! impl Store {
//!     fn answer(&mut self, action: &Action) -> Option<Answer> {
//!         use corianderfork_coord::claim::segment::Entry;
//!         let entry = |(&number, (revision, segment)): (&u64, &(u64, Segment))| Entry {
//!             number,
//!             revision: *revision,
//!             segment: Some(segment.clone()),
//!         };
//!         match action {
//!             Action::List => Some(Answer::Listed(self.1.iter().map(entry).collect())),
//!             Action::Read { segment } => {
//!                 let found = self.1.get_key_value(segment).map(entry);
//!                 Some(Answer::Read { segment: *segment, entry: found })
//!             }
//!             Action::Put { segment, value, .. } => {
//!                 self.0 += 1;
//!                 self.1.insert(*segment, (self.0, value.clone()));
//!                 Some(Answer::PutDone { segment: *segment, revision: self.0 })
//!             }
//!             _ => None,
//!         }
//!     }
//! }
//!
//! let now = Time::from_millis(1_700_000_000_000);
//! let (mut store, token) = (Store::default(), 1);
//! let writer = Writer::new(Name::new("entry-1")?, 42);
//! let mut takeover = Takeover::new(Config::new(), writer, token);
//! let mut actions = takeover.on_event(now, Event::Tick);
//! while let Some(answer) = actions.first().and_then(|action| store.answer(action)) {
//!     actions = takeover.on_event(now, Event::Store(answer));
//! }
//! let mut owner = takeover.take_owner().expect("no other process wrote to the journal");
//!
//! let request = Request { key: 1, id: Id::issue(now, 7), attempt: Attempt::new(42, 1) };
//! let put = owner.on_event(now, Event::Request(request));
//! assert!(matches!(put[..], [Action::Put { .. }])); // not granted yet
//! let answer = store.answer(&put[0]).expect("the store answers every put");
//! let reply = owner.on_event(now, Event::Store(answer));
//! assert_eq!(reply, [Action::Reply { key: 1, verdict: Verdict::Granted }]);
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

mod base64;
mod batch;
pub mod config;
pub mod id;
mod index;
mod journal;
pub mod message;
pub mod owner;
pub mod segment;
pub mod takeover;

pub use config::Config;
pub use id::{Attempt, Id, shard};
pub use message::{Action, Answer, End, Event, Outcome, Request, Verdict};
pub use owner::Owner;
pub use segment::{Record, Segment, State};
pub use takeover::Takeover;
