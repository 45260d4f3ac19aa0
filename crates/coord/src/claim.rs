//! At-most-once ids, kept in a journal in the platform's service.
//!
//! A caller whose answer was lost asks again, at another entry VM. Whoever
//! takes the request in must know whether it may have been run already, even
//! though the process that ran it is gone. So a claim on the id stands in the
//! platform's service before the first byte goes to a backend server.
//!
//! One write a request would not fit the service's rates. Ids are therefore
//! split over a fixed number of [`shard`]s. Each shard has one [`Owner`] at a
//! time, which gathers claims and writes them as one batch by
//! compare-and-swap; a claim is granted only after the write that holds it is
//! confirmed. Writes a second are bounded by shards and gap, not by requests.
//!
//! What goes wrong otherwise, and what prevents it:
//!
//! - *A paused owner wakes and grants an id that its successor granted too.*
//!   One would notice an id with two attempts. A [`Takeover`] seals the last
//!   segment by compare-and-swap before it reads the journal; the old owner's
//!   next write then fails, and a claim that isn't written is never granted.
//! - *The paused owner's segment is deleted and its create-only write brings
//!   the number to life again.* Every takeover first writes its fencing token
//!   to the segment [`segment::HEAD`], which is never deleted, and an owner
//!   reads it after each segment it creates, before it grants what is in it.
//! - *A clock is behind that of the owner that forgot an id, which then looks
//!   fresh.* What is forgotten is written as a floor in the journal before it
//!   is deleted; an id below the floor is [`Verdict::Expired`] by any clock.
//! - *An answer of the service is lost after the write took effect.* The owner
//!   reads back and recognises its own write by its number before it retries.
//! - *The service is down.* Claims are refused at once; an owner never goes on
//!   alone, since its death would take the claims with it.
//!
//! Times here are Unix time, as ids carry it.
//!
//! The driver answers every [`Action::Put`], [`Action::Read`],
//! [`Action::List`] and [`Action::Delete`] by exactly one [`Answer`]. On a
//! timeout it answers `PutUnknown` or `ReadFailed` and drops what comes later.
//!
//! ```
//! use corianderfork_coord::claim::{
//!     Action, Answer, Request, Attempt, Config, Event, Id, Segment, Takeover, Verdict, segment::Writer,
//! };
//! use corianderfork_model::{Name, Time};
//! use std::collections::BTreeMap;
//!
//! // A store that always answers: revision and value of each segment.
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
//! let mut owner = takeover.take_owner().expect("nobody else was there");
//!
//! let ask = Request { key: 1, id: Id::issue(now, 7), attempt: Attempt::new(42, 1) };
//! let put = owner.on_event(now, Event::Request(ask));
//! assert!(matches!(put[..], [Action::Put { .. }])); // not granted yet
//! let answer = store.answer(&put[0]).expect("a put is answered");
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
