//! Executes the actions of a lease holder on worker threads, off the core thread.

use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::lease::{Action, Answer, Key};
use corianderfork_provider::store::{Error, Expect, LeaseId, Store};
use corianderfork_runtime::worker::{Busy, Pool};

/// A store entry that a holder keeps under its lease.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The TTL to request.
    pub ttl: Duration,
    /// The incarnation in `value`, if it may replace the entry of an earlier incarnation.
    ///
    /// The entry of a killed process remains until its lease expires. Without a
    /// replacement, its successor of the same name would stay unlisted until then,
    /// although no other process writes that key.
    pub replaces_below: Option<u64>,
}

/// Executes `action` on `pool` and passes the answer to `then` on the worker thread. Does
/// nothing for [`Action::Started`] and [`Action::Stopped`].
///
/// # Errors
///
/// Fails if the pool is full; `then` is not called.
pub fn execute(
    pool: &Pool,
    store: &Arc<dyn Store>,
    registration: &Registration,
    action: Action,
    then: impl FnOnce(Answer) + Send + 'static,
) -> Result<(), Busy> {
    if matches!(action, Action::Started { .. } | Action::Stopped) {
        return Ok(());
    }
    let (store, registration) = (Arc::clone(store), registration.clone());
    pool.submit(move || then(call_store(&*store, &registration, action)))
}

fn call_store(store: &dyn Store, registration: &Registration, action: Action) -> Answer {
    match action {
        Action::Grant => match store.grant(registration.ttl) {
            Ok(lease) => Answer::Granted { lease: lease.0 },
            Err(_) => Answer::Failed,
        },
        Action::Put { lease } => put(store, registration, LeaseId(lease)),
        Action::Read => match store.get(&registration.key) {
            Ok(found) => Answer::Read(found.entry.map(|entry| Key {
                lease: entry.lease.map(|lease| lease.0),
                revision: entry.revision.0,
            })),
            Err(_) => Answer::Failed,
        },
        Action::Renew { lease } => match store.renew(LeaseId(lease)) {
            Ok(()) => Answer::Renewed,
            Err(Error::Lapsed) => Answer::Lapsed,
            Err(_) => Answer::Failed,
        },
        Action::Revoke { lease } => {
            let _ = store.revoke(LeaseId(lease));
            Answer::Failed
        }
        Action::Started { .. } | Action::Stopped => Answer::Failed,
    }
}

fn put(store: &dyn Store, registration: &Registration, lease: LeaseId) -> Answer {
    let mut expect = Expect::Absent;
    // The second iteration replaces the entry of an earlier incarnation, by its revision.
    for _ in 0..2 {
        match store.put(&registration.key, &registration.value, expect, Some(lease)) {
            Ok(revision) => return Answer::PutDone { revision: revision.0 },
            Err(Error::Conflict { current: Some(entry), .. }) => {
                let found = serde_json::from_str::<Incarnation>(&entry.value);
                let is_earlier = registration
                    .replaces_below
                    .zip(found.ok())
                    .is_some_and(|(own, found)| found.incarnation < own);
                if !is_earlier {
                    return Answer::PutConflict;
                }
                expect = Expect::Revision(entry.revision);
            }
            Err(Error::Conflict { .. }) => expect = Expect::Absent,
            Err(_) => return Answer::Failed,
        }
    }
    Answer::PutConflict
}

/// The field that all records under a lease have.
#[derive(serde::Deserialize)]
struct Incarnation {
    incarnation: u64,
}
