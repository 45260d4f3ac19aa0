//! Waits until the controller has acknowledged an operator's change.
//!
//! A successful write only means that the store has the change. If the store went
//! down before any watch delivered it, a drain that was reported as accepted would
//! have no effect for the whole outage. A change is therefore accepted only once
//! the controller that decides has acknowledged it: the controller passes it on to
//! all others without the store.

use std::time::Duration;

use corianderfork_provider::key;
use corianderfork_provider::record::OperatorRevision;
use corianderfork_provider::store::Revision;

use crate::context::Context;
use crate::error::{Error, Kind};
use crate::record;

/// The poll interval. A controller acknowledges a write within some tenths of a
/// second.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the write of `revision` is acknowledged.
///
/// # Errors
///
/// Fails with [`Kind::Pending`] at the deadline. The write stays in the store.
pub fn wait(context: &Context<'_>, revision: Revision) -> Result<(), Error> {
    loop {
        // An unavailable store is retried until the deadline, too.
        let acknowledged = record::get::<OperatorRevision>(context, key::OPERATOR_REVISION);
        if acknowledged
            .is_ok_and(|record| record.is_some_and(|record| record.revision >= revision.0))
        {
            return Ok(());
        }
        if context.deadline_passed() {
            return Err(Kind::Pending(revision.0).into());
        }
        context.clock.sleep(POLL_INTERVAL);
    }
}
