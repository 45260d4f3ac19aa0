//! Reads records from the store and writes the audit trail.

use corianderfork_provider::record::{AuditLine, Config};
use corianderfork_provider::store::{Lookup, Revision};
use corianderfork_provider::{key, store};
use serde::de::DeserializeOwned;

use crate::context::Context;
use crate::error::{Error, Kind};
use corianderfork_provider::audit::Writer;

/// The delay between two attempts to write the audit trail.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// The configuration in force, with its revision.
#[derive(Clone, Debug)]
pub struct Current {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub config: Config,
}

/// Parses the record in an entry.
///
/// # Errors
///
/// Fails if the value is not a record of type `T`.
pub fn parse<T: DeserializeOwned>(entry: &store::Entry) -> Result<T, Error> {
    serde_json::from_str(&entry.value).map_err(|cause| Error::invalid_record(&entry.key, cause))
}

/// Reads the record at `key`, or returns `None` if the key does not exist.
///
/// # Errors
///
/// Fails if the store fails or the value is not a record of type `T`.
pub fn get<T: DeserializeOwned>(context: &Context<'_>, key: &str) -> Result<Option<T>, Error> {
    let found = context.store.get(key).map_err(|error| Error::unchanged(&error))?;
    found.entry.as_ref().map(parse).transpose()
}

/// Parses the result of a read of [`key::CONFIG`].
///
/// # Errors
///
/// Fails if the entry is not a configuration.
pub fn current(found: &Lookup) -> Result<Option<Current>, Error> {
    let Some(entry) = &found.entry else { return Ok(None) };
    Ok(Some(Current { revision: entry.revision, config: parse(entry)? }))
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Fails with [`Kind::NoConfig`] if none was applied yet.
pub fn config(context: &Context<'_>) -> Result<Current, Error> {
    let found = context.store.get(key::CONFIG).map_err(|error| Error::unchanged(&error))?;
    current(&found)?.ok_or_else(|| Kind::NoConfig.into())
}

/// A change to record in the audit trail.
#[derive(Clone, Copy, Debug)]
pub struct Update<'a> {
    /// What was changed.
    pub subject: &'a str,
    /// What it was before.
    pub from: &'a str,
    /// What it is now.
    pub to: &'a str,
    /// The revision of the write.
    pub revision: Revision,
}

/// Adds a change to the audit trail, with retries until the deadline.
///
/// Returns a note if that failed. It is not an error of the command, as the change
/// itself took effect.
pub fn audit(context: &Context<'_>, update: &Update<'_>) -> Option<String> {
    let line = AuditLine {
        at_ms: context.clock.unix_ms(),
        who: context.operator.to_owned(),
        what: update.subject.to_owned(),
        from: update.from.to_owned(),
        to: update.to.to_owned(),
        revision: update.revision.0,
    };
    let mut writer = Writer::new();
    loop {
        let Err(error) = writer.append(context.store, std::slice::from_ref(&line)) else {
            return None;
        };
        if context.deadline_passed() {
            return Some(format!(
                "the change stands, but its line in the audit trail may be missing: {error}"
            ));
        }
        context.clock.sleep(RETRY_DELAY);
    }
}
