//! Carries out what a lease's holder wants done, off the core's thread.

use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::lease::{Action, Answer, Key};
use corianderfork_provider::store::{Error, Expect, LeaseId, Store};
use corianderfork_runtime::worker::{Busy, Pool};

/// What a holder keeps under its lease.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The TTL to ask for.
    pub ttl: Duration,
    /// The incarnation that is written, if an earlier incarnation's entry is
    /// to be replaced.
    ///
    /// The entry of a process that was killed stays until its lease lapses.
    /// Its successor of the same name would be unknown for as long, although
    /// nobody else may ever write that key.
    pub replaces_below: Option<u64>,
}

/// Carries `action` out on `pool`; `then` gets the answer on that thread.
/// Nothing is done for [`Action::Started`] and [`Action::Stopped`].
///
/// # Errors
///
/// Fails if the pool has no room; `then` is not called.
pub fn carry_out(
    pool: &Pool,
    store: &Arc<dyn Store>,
    kept: &Kept,
    action: Action,
    then: impl FnOnce(Answer) + Send + 'static,
) -> Result<(), Busy> {
    if matches!(action, Action::Started { .. } | Action::Stopped) {
        return Ok(());
    }
    let (store, kept) = (Arc::clone(store), kept.clone());
    pool.submit(move || then(answer(&*store, &kept, action)))
}

fn answer(store: &dyn Store, kept: &Kept, action: Action) -> Answer {
    match action {
        Action::Grant => match store.grant(kept.ttl) {
            Ok(lease) => Answer::Granted { lease: lease.0 },
            Err(_) => Answer::Failed,
        },
        Action::Put { lease } => put(store, kept, LeaseId(lease)),
        Action::Read => match store.get(&kept.key) {
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

fn put(store: &dyn Store, kept: &Kept, lease: LeaseId) -> Answer {
    let mut expect = Expect::Absent;
    // The second time replaces an earlier incarnation's entry, by its revision.
    for _ in 0..2 {
        match store.put(&kept.key, &kept.value, expect, Some(lease)) {
            Ok(revision) => return Answer::PutDone { revision: revision.0 },
            Err(Error::Conflict { current: Some(entry), .. }) => {
                let found = serde_json::from_str::<Incarnation>(&entry.value);
                let is_earlier = kept
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

/// The part that all records under a lease have.
#[derive(serde::Deserialize)]
struct Incarnation {
    incarnation: u64,
}
