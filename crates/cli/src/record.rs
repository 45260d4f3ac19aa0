//! Records as the store holds them, and the audit of changing them.

use corianderfork_provider::record::{AuditLine, Config};
use corianderfork_provider::store::{Lookup, Revision};
use corianderfork_provider::{key, store};
use serde::de::DeserializeOwned;

use crate::context::Context;
use crate::error::{Error, Kind};
use corianderfork_provider::audit::Writer;

/// The pause between two attempts to write the audit trail.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// Its revision.
    pub revision: Revision,
    /// The record.
    pub config: Config,
}

/// Reads the record of an entry.
///
/// # Errors
///
/// Fails if it is not such a record.
pub fn parse<T: DeserializeOwned>(entry: &store::Entry) -> Result<T, Error> {
    serde_json::from_str(&entry.value).map_err(|cause| Error::record(&entry.key, cause))
}

/// Reads one record, if the key exists.
///
/// # Errors
///
/// Fails if the store does, or if the entry is not such a record.
pub fn get<T: DeserializeOwned>(context: &Context<'_>, key: &str) -> Result<Option<T>, Error> {
    let found = context.store.get(key).map_err(|error| Error::read(&error))?;
    found.entry.as_ref().map(parse).transpose()
}

/// The configuration that a read of [`key::CONFIG`] found.
///
/// # Errors
///
/// Fails if the entry is not a configuration.
pub fn current(found: &Lookup) -> Result<Option<Current>, Error> {
    let Some(entry) = &found.entry else { return Ok(None) };
    Ok(Some(Current { revision: entry.revision, config: parse(entry)? }))
}

/// The configuration in force.
///
/// # Errors
///
/// [`Kind::NoConfig`] if none was applied yet.
pub fn config(context: &Context<'_>) -> Result<Current, Error> {
    let found = context.store.get(key::CONFIG).map_err(|error| Error::read(&error))?;
    current(&found)?.ok_or_else(|| Kind::NoConfig.into())
}

/// A change that took effect.
#[derive(Clone, Copy, Debug)]
pub struct Done<'a> {
    /// What was changed.
    pub what: &'a str,
    /// What it was before.
    pub from: &'a str,
    /// What it is now.
    pub to: &'a str,
    /// The revision of the write.
    pub revision: Revision,
}

/// Adds a change to the audit trail, trying until the deadline. Gives why it
/// could not be added, if so: the change itself stands, so that this is no
/// failure of the command.
pub fn audit(context: &Context<'_>, done: &Done<'_>) -> Option<String> {
    let line = AuditLine {
        at_ms: context.clock.unix_ms(),
        who: context.by.to_owned(),
        what: done.what.to_owned(),
        from: done.from.to_owned(),
        to: done.to.to_owned(),
        revision: done.revision.0,
    };
    let mut writer = Writer::new();
    loop {
        let Err(error) = writer.append(context.store, std::slice::from_ref(&line)) else {
            return None;
        };
        if context.late() {
            return Some(format!(
                "the change stands, but its line in the audit trail may be missing: {error}"
            ));
        }
        context.clock.pause(PAUSE);
    }
}
