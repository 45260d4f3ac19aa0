//! A write whose end is known.
//!
//! The answer to a write can be lost after the write took effect. Writing
//! again blindly then either fails against oneself or, worse, undoes what
//! someone else wrote in between. [`write()`] reads back and recognises its own
//! write, for as long as the deadline allows.

use std::time::Duration;

use corianderfork_provider::store::{Change, Entry, Error, Expect, Lookup, Revision};

use crate::context::Context;

/// The pause before the first reading back; each later one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// A compare-and-swap on one key.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// The key.
    pub key: &'a str,
    /// What to write, different from what anybody else writes; `None` deletes
    /// the key.
    pub value: Option<&'a str>,
    /// What the key held when the write was decided on.
    pub base: &'a Lookup,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It took effect.
    Applied {
        /// The revision it got.
        revision: Revision,
        /// Whether someone else has replaced it since.
        replaced: bool,
    },
    /// Someone else was first; it has not and will not take effect.
    Conflict(Option<Entry>),
}

/// Why a write did not end, or how it can't be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It has not taken effect.
    Refused(Error),
    /// It may have taken effect.
    Unknown(Error),
}

/// Carries out `write` and finds out how it ended.
///
/// # Errors
///
/// [`Failure::Unknown`] if that can't be found out by the deadline.
pub fn write(context: &Context<'_>, write: &Write<'_>) -> Result<End, Failure> {
    match put(context, write) {
        Ok(revision) => Ok(End::Applied { revision, replaced: false }),
        Err(Error::Conflict { current, .. }) => Ok(End::Conflict(current)),
        Err(error) if error.may_have_applied() => resolve(context, write, error),
        Err(error) => Err(Failure::Refused(error)),
    }
}

/// Reads back and, where the write has not taken effect, writes again, until
/// one of both tells. Writing again is safe: both writes expect the same
/// revision, so that at most one of them takes effect.
fn resolve(context: &Context<'_>, write: &Write<'_>, lost: Error) -> Result<End, Failure> {
    let mut pause = FIRST_PAUSE;
    loop {
        match read_back(context, write) {
            Ok(Seen::End(end)) => return Ok(end),
            Ok(Seen::Untold) => return Err(Failure::Unknown(lost)),
            Ok(Seen::Unchanged) if !context.late() => {
                if let Ok(revision) = put(context, write) {
                    return Ok(End::Applied { revision, replaced: false });
                }
            }
            Ok(Seen::Unchanged) | Err(_) => {}
        }
        if context.late() {
            return Err(Failure::Unknown(lost));
        }
        context.clock.pause(pause);
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

enum Seen {
    /// The key is as before; the write may still be on its way.
    Unchanged,
    /// How the write ended.
    End(End),
    /// The key was written several times and the store forgot how it began.
    Untold,
}

fn read_back(context: &Context<'_>, write: &Write<'_>) -> Result<Seen, Error> {
    let found = context.store.get(write.key)?;
    if revision(&found) == revision(write.base) {
        return Ok(Seen::Unchanged);
    }
    if let Some(entry) = found.entry.as_ref().filter(|entry| mine(Some(entry), write)) {
        return Ok(Seen::End(End::Applied { revision: entry.revision, replaced: false }));
    }
    // Someone else wrote the key. Whether in place of this write or after it
    // only the history tells: the first change since is this write or none is.
    let after = write.base.revision;
    let changes = match context.store.watch(write.key, after, Duration::ZERO) {
        Err(Error::Compacted) => return Ok(Seen::Untold),
        result => result?.changes,
    };
    let mut changes = changes.into_iter().filter(|change| change.key == write.key);
    let Some(first) = changes.next() else { return Ok(Seen::Unchanged) };
    Ok(Seen::End(judge(write, first, changes.next().is_some(), found.entry)))
}

fn judge(write: &Write<'_>, first: Change, more: bool, current: Option<Entry>) -> End {
    if mine(first.entry.as_ref(), write) {
        return End::Applied { revision: first.revision, replaced: more };
    }
    End::Conflict(current)
}

fn mine(entry: Option<&Entry>, write: &Write<'_>) -> bool {
    entry.map(|entry| entry.value.as_str()) == write.value
}

fn revision(found: &Lookup) -> Option<Revision> {
    found.entry.as_ref().map(|entry| entry.revision)
}

fn put(context: &Context<'_>, write: &Write<'_>) -> Result<Revision, Error> {
    let expect = revision(write.base).map_or(Expect::Absent, Expect::Revision);
    match write.value {
        Some(value) => context.store.put(write.key, value, expect, None),
        None => context.store.delete(write.key, expect),
    }
}
