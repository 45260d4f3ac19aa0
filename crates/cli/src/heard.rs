//! Whether what an operator wrote has been heard.
//!
//! The store's answer to a write says that the store has it, and nothing of who
//! knows of it. Were the store to go down before any watch has shown the write, a
//! drain that was told to be accepted would be heeded by nobody for the whole
//! outage. So a change counts as accepted once the controller that decides has said
//! that it knows of it: it passes that on to all others without the store.

use std::time::Duration;

use corianderfork_provider::key;
use corianderfork_provider::record::OperatorRevision;
use corianderfork_provider::store::Revision;

use crate::context::Context;
use crate::error::{Error, Kind};
use crate::record;

/// The pause between two looks: a controller says so some tenths of a second after
/// the write.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until the write of `revision` has been heard.
///
/// # Errors
///
/// Fails with [`Kind::Pending`] if it isn't by the deadline. The write stands.
pub fn wait(context: &Context<'_>, revision: Revision) -> Result<(), Error> {
    loop {
        // The store may be away; the deadline bounds that too.
        let heard = record::get::<OperatorRevision>(context, key::OPERATOR_REVISION);
        if heard.is_ok_and(|heard| heard.is_some_and(|heard| heard.revision >= revision.0)) {
            return Ok(());
        }
        if context.late() {
            return Err(Kind::Pending(revision.0).into());
        }
        context.clock.pause(PAUSE);
    }
}
