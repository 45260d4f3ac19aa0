//! A plan that one process publishes for all, safe against a lease holder that was paused.
//!
//! Two workers want to publish a plan. A lease decides which of them may, and the fencing
//! token (the revision of the key under the lease) decides which plan is newer. The first
//! worker is paused until its lease has expired and resumes with an outdated plan. Without
//! fencing, readers would apply that plan over the second worker's. Here a `Register`
//! rejects it because its token is older.
//!
//! Run it with `cargo run --example fenced_worker`.

use std::time::Duration;

use corianderfork::lease::{Action, Answer, Config, Event, Holder, Key, Token};
use corianderfork::model::Time;
use corianderfork::register::{Offer, Register};

/// How long a lease lasts without renewal.
const TTL: Duration = Duration::from_secs(9);

/// An in-memory store of one key, with leases and create-if-absent.
#[derive(Default)]
struct Store {
    revision: u64,
    leases: u64,
    key: Option<Key>,
}

impl Store {
    /// Executes a holder's action and returns the answer. A revoke has no answer.
    fn answer(&mut self, action: Action) -> Option<Answer> {
        match action {
            Action::Grant => {
                self.leases += 1;
                Some(Answer::Granted { lease: self.leases })
            }
            Action::Put { .. } if self.key.is_some() => Some(Answer::PutConflict),
            Action::Put { lease } => {
                self.revision += 1;
                self.key = Some(Key { lease: Some(lease), revision: self.revision });
                Some(Answer::PutDone { revision: self.revision })
            }
            Action::Read => Some(Answer::Read(self.key)),
            Action::Renew { lease } if self.is_under(lease) => Some(Answer::Renewed),
            Action::Renew { .. } => Some(Answer::Lapsed),
            Action::Revoke { lease } => {
                if self.is_under(lease) {
                    self.key = None;
                }
                None
            }
            Action::Started { .. } | Action::Stopped => None,
        }
    }

    fn is_under(&self, lease: u64) -> bool {
        self.key.is_some_and(|key| key.lease == Some(lease))
    }

    /// Expires the lease, as the store does after its time to live without a renewal.
    fn expire_lease(&mut self) {
        self.key = None;
    }
}

/// Passes `event` to `holder`, and then each answer of the store.
fn drive(holder: &mut Holder, store: &mut Store, now: Time, event: Event) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let actions = holder.on_event(now, event);
        let answers = actions.into_iter().filter_map(|action| store.answer(action));
        events.extend(answers.map(Event::Store));
    }
}

fn main() {
    let mut store = Store::default();
    let mut first = Holder::new(Config::new().ttl(TTL), 1);
    let mut second = Holder::new(Config::new().ttl(TTL), 2);
    let mut plan: Register<&str> = Register::default();

    let start = Time::from_millis(0);
    drive(&mut first, &mut store, start, Event::Tick);
    drive(&mut second, &mut store, start, Event::Tick);
    let old = first.token(start).expect("the first worker holds the lease");
    assert_eq!(second.token(start), None, "one holder at a time");
    assert_eq!(plan.offer(old.0, "drain rack k1"), Offer::Applied);
    println!("first holds {old:?}: {:?}", plan.get());

    // The first is paused here, between checking its token and its next write. Its lease
    // expires at the store, and the second takes over.
    store.expire_lease();
    let later = start + TTL + Duration::from_secs(1);
    drive(&mut second, &mut store, later, Event::Vacant);
    let new = second.token(later).expect("the key was absent");
    assert!(new > old, "each holder's token is larger than the last");
    assert_eq!(plan.offer(new.0, "keep rack k1"), Offer::Applied);
    println!("second holds {new:?}: {:?}", plan.get());

    // The first resumes. It decided on its write under the old token.
    assert_eq!(plan.offer(old.0, "reboot rack k1"), Offer::Stale);
    assert_eq!(first.token(later), None, "the lease has expired by the first's own clock");
    drive(&mut first, &mut store, later, Event::Tick);
    assert_eq!(second.token(later), Some(new), "the second keeps the lease");
    assert_eq!(plan.get(), Some(&"keep rack k1"));
    println!("first woke; its plan was dropped: {:?}", plan.get());

    // A graceful stop releases the key at once instead of when the lease expires.
    drive(&mut second, &mut store, later, Event::Release);
    assert_eq!(store.key, None);
    assert_eq!(second.token(later), None::<Token>);
    println!("second stopped; the work is free for the next");
}
