//! Holds one key of the store under a lease, and fences what is done under it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use corianderfork_coord::lease::{Action, Answer, Config, Event, Holder, Key, Token};
use corianderfork_model::Time;
use corianderfork_provider::store::{Error, Expect, LeaseId, Store};
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::worker::Pool;

/// What became of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// This process holds it.
    Started,
    /// It no longer does.
    Stopped,
}

/// The store's side of a lease: carries out what a [`Holder`] asks for.
pub struct Keeper {
    store: Arc<dyn Store>,
    key: String,
    value: String,
    ttl: Duration,
}

impl Keeper {
    /// Keeps `value` under `key`.
    pub fn new(store: Arc<dyn Store>, key: String, value: String, ttl: Duration) -> Self {
        Self { store, key, value, ttl }
    }

    /// Carries out `action`. Blocks.
    pub fn call(&self, action: Action) -> Answer {
        match action {
            Action::Grant => self.grant(),
            Action::Put { lease } => self.put(LeaseId(lease)),
            Action::Read => self.read(),
            Action::Renew { lease } => match self.store.renew(LeaseId(lease)) {
                Ok(()) => Answer::Renewed,
                Err(Error::Lapsed) => Answer::Lapsed,
                Err(_) => Answer::Failed,
            },
            Action::Revoke { lease } => {
                // Lost, it lapses by itself.
                let _ = self.store.revoke(LeaseId(lease));
                Answer::Failed
            }
            Action::Started { .. } | Action::Stopped => Answer::Failed,
        }
    }

    /// Those who don't hold the key look before they ask for a lease: a read
    /// every now and then instead of three writes.
    fn grant(&self) -> Answer {
        match self.store.get(&self.key) {
            Ok(found) if found.entry.is_none() => match self.store.grant(self.ttl) {
                Ok(lease) => Answer::Granted { lease: lease.0 },
                Err(_) => Answer::Failed,
            },
            _ => Answer::Failed,
        }
    }

    fn put(&self, lease: LeaseId) -> Answer {
        match self.store.put(&self.key, &self.value, Expect::Absent, Some(lease)) {
            Ok(revision) => Answer::PutDone { revision: revision.0 },
            Err(Error::Conflict { .. }) => Answer::PutConflict,
            Err(_) => Answer::Failed,
        }
    }

    fn read(&self) -> Answer {
        match self.store.get(&self.key) {
            Ok(found) => Answer::Read(found.entry.map(|entry| Key {
                lease: entry.lease.map(|lease| lease.0),
                revision: entry.revision.0,
            })),
            Err(_) => Answer::Failed,
        }
    }
}

/// Whether this process still holds the lease it decided under; from any
/// thread.
#[derive(Clone)]
pub struct Fence {
    holder: Arc<Mutex<Holder>>,
    clock: Monotonic,
    token: Token,
}

impl Fence {
    /// To be asked directly before each act.
    ///
    /// An act can wait in a queue, or its thread be paused, for longer than
    /// the lease lasts. By then another process may decide; a call that starts
    /// or reboots something can't be made conditional on a revision, so that
    /// this is all that holds it back.
    pub fn holds(&self) -> bool {
        lock(&self.holder).token(self.clock.now()) == Some(self.token)
    }
}

/// One lease of this process.
pub struct Tenure {
    holder: Arc<Mutex<Holder>>,
    keeper: Arc<Keeper>,
    clock: Monotonic,
    pool: Pool,
}

impl Tenure {
    /// A lease that is not held yet. Its calls run on `pool`.
    pub fn new(keeper: Keeper, clock: Monotonic, pool: Pool, seed: u64) -> Self {
        let config = Config::new().ttl(keeper.ttl);
        let holder = Arc::new(Mutex::new(Holder::new(config, seed)));
        Self { holder, keeper: Arc::new(keeper), clock, pool }
    }

    /// Takes in `event`. The answers to the calls it leads to come to `then`,
    /// on another thread.
    pub fn on_event(
        &self,
        event: Event,
        then: impl Fn(Answer) + Clone + Send + 'static,
    ) -> Vec<Turn> {
        let mut events = vec![event];
        let mut turns = Vec::new();
        while let Some(event) = events.pop() {
            let actions = lock(&self.holder).on_event(self.clock.now(), event);
            for action in actions {
                match action {
                    Action::Started { .. } => turns.push(Turn::Started),
                    Action::Stopped => turns.push(Turn::Stopped),
                    _ if !self.submit(action, then.clone()) => {
                        events.push(Event::Store(Answer::Failed));
                    }
                    _ => {}
                }
            }
        }
        turns
    }

    /// Whether the call was taken, or needs no answer.
    fn submit(&self, action: Action, then: impl Fn(Answer) + Send + 'static) -> bool {
        let keeper = Arc::clone(&self.keeper);
        let is_revoke = matches!(action, Action::Revoke { .. });
        let job = move || {
            let answer = keeper.call(action);
            if !is_revoke {
                then(answer);
            }
        };
        self.pool.submit(job).is_ok() || is_revoke
    }

    /// The fence of the present holding, if there is one.
    pub fn fence(&self) -> Option<Fence> {
        let token = lock(&self.holder).token(self.clock.now())?;
        Some(Fence { holder: Arc::clone(&self.holder), clock: self.clock, token })
    }

    /// The fencing token, if this process may act at `now`.
    pub fn token(&self, now: Time) -> Option<Token> {
        lock(&self.holder).token(now)
    }
}

fn lock(holder: &Mutex<Holder>) -> MutexGuard<'_, Holder> {
    holder.lock().unwrap_or_else(PoisonError::into_inner)
}
