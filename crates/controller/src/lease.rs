//! Holds one key of the store under a lease, and fences the actions taken under
//! it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use corianderfork_coord::lease::{Action, Answer, Config, Event, Holder, Key, Token};
use corianderfork_model::Time;
use corianderfork_provider::store::{Error, Expect, LeaseId, Store};
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::worker::Pool;

/// A change in who holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// This process now holds the lease.
    Acquired,
    /// This process no longer holds the lease.
    Lost,
}

/// Makes the calls to the store that a [`Holder`] requests.
pub struct Client {
    store: Arc<dyn Store>,
    key: String,
    value: String,
    ttl: Duration,
}

impl Client {
    /// Creates a client that keeps `value` under `key`.
    pub fn new(store: Arc<dyn Store>, key: String, value: String, ttl: Duration) -> Self {
        Self { store, key, value, ttl }
    }

    /// Makes the call for `action`. Blocks.
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
                // If the call fails, the lease expires by itself.
                let _ = self.store.revoke(LeaseId(lease));
                Answer::Failed
            }
            Action::Started { .. } | Action::Stopped => Answer::Failed,
        }
    }

    /// Reads the key before granting a lease, so that an attempt costs one read
    /// instead of three writes while another process holds the key.
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

/// Checks whether this process still holds the lease it decided under. Can be
/// used from any thread.
#[derive(Clone)]
pub struct Fence {
    holder: Arc<Mutex<Holder>>,
    clock: Monotonic,
    token: Token,
}

impl Fence {
    /// Whether the lease is still held. To be called directly before each
    /// action.
    ///
    /// An action can wait in a queue, or its thread can be paused, for longer
    /// than the lease lasts. By then another process may decide. A call that
    /// starts or reboots something can't be made conditional on a revision, so
    /// this check is its only fence.
    pub fn holds(&self) -> bool {
        lock(&self.holder).token(self.clock.now()) == Some(self.token)
    }
}

/// A lease of this process.
pub struct Lease {
    holder: Arc<Mutex<Holder>>,
    client: Arc<Client>,
    clock: Monotonic,
    pool: Pool,
}

impl Lease {
    /// Creates a lease that is not held yet. Its calls run on `pool`.
    pub fn new(client: Client, clock: Monotonic, pool: Pool, seed: u64) -> Self {
        let config = Config::new().ttl(client.ttl);
        let holder = Arc::new(Mutex::new(Holder::new(config, seed)));
        Self { holder, client: Arc::new(client), clock, pool }
    }

    /// Handles `event`. The answers to the resulting calls go to `on_answer`,
    /// on another thread.
    pub fn on_event(
        &self,
        event: Event,
        on_answer: impl Fn(Answer) + Clone + Send + 'static,
    ) -> Vec<Transition> {
        let mut events = vec![event];
        let mut transitions = Vec::new();
        while let Some(event) = events.pop() {
            let actions = lock(&self.holder).on_event(self.clock.now(), event);
            for action in actions {
                match action {
                    Action::Started { .. } => transitions.push(Transition::Acquired),
                    Action::Stopped => transitions.push(Transition::Lost),
                    _ if !self.submit(action, on_answer.clone()) => {
                        events.push(Event::Store(Answer::Failed));
                    }
                    _ => {}
                }
            }
        }
        transitions
    }

    /// Returns whether the call was queued or needs no answer.
    fn submit(&self, action: Action, on_answer: impl Fn(Answer) + Send + 'static) -> bool {
        let client = Arc::clone(&self.client);
        let ignores_answer = matches!(action, Action::Revoke { .. });
        let job = move || {
            let answer = client.call(action);
            if !ignores_answer {
                on_answer(answer);
            }
        };
        self.pool.submit(job).is_ok() || ignores_answer
    }

    /// Returns the fence of the current tenure, if the lease is held.
    pub fn fence(&self) -> Option<Fence> {
        let token = lock(&self.holder).token(self.clock.now())?;
        Some(Fence { holder: Arc::clone(&self.holder), clock: self.clock, token })
    }

    /// Returns the fencing token if this process may act at `now`.
    pub fn token(&self, now: Time) -> Option<Token> {
        lock(&self.holder).token(now)
    }
}

fn lock(holder: &Mutex<Holder>) -> MutexGuard<'_, Holder> {
    holder.lock().unwrap_or_else(PoisonError::into_inner)
}
