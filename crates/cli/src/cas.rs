//! A compare-and-swap that finds out its outcome after a lost response.
//!
//! The response to a write can be lost after the write took effect. A blind retry
//! would then conflict with its own first attempt or, worse, overwrite what
//! someone else wrote in between. [`write()`] therefore reads the key back and
//! recognises its own write, until the deadline.

use std::time::Duration;

use corianderfork_provider::store::{Change, Entry, Error, Expect, Lookup, Revision};

use crate::context::Context;

/// The delay before the second read, doubled for each later one.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay between two reads.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A compare-and-swap on one key.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// The key.
    pub key: &'a str,
    /// The new value, or `None` to delete the key. The value must be unique to
    /// this write, which is recognised by it.
    pub value: Option<&'a str>,
    /// The state of the key that the write replaces.
    pub base: &'a Lookup,
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Applied {
        /// The revision of the write.
        revision: Revision,
        /// Whether someone else has replaced it since.
        replaced: bool,
    },
    /// The key was changed first by someone else, and the write did not take
    /// effect. Holds the current entry.
    Conflict(Option<Entry>),
}

/// Why a write failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It did not take effect.
    NotApplied(Error),
    /// It may have taken effect.
    Unknown(Error),
}

/// Executes `write` and finds out its outcome.
///
/// # Errors
///
/// Returns [`Failure::Unknown`] if the outcome is still unknown at the deadline.
pub fn write(context: &Context<'_>, write: &Write<'_>) -> Result<Outcome, Failure> {
    match execute(context, write) {
        Ok(revision) => Ok(Outcome::Applied { revision, replaced: false }),
        Err(Error::Conflict { current, .. }) => Ok(Outcome::Conflict(current)),
        Err(error) if error.may_have_applied() => resolve(context, write, error),
        Err(error) => Err(Failure::NotApplied(error)),
    }
}

/// Reads the key back, and retries the write while the key is unchanged, until the
/// outcome is known. The retry is safe: both writes expect the same revision, so
/// that at most one of them takes effect.
fn resolve(context: &Context<'_>, write: &Write<'_>, cause: Error) -> Result<Outcome, Failure> {
    let mut delay = INITIAL_DELAY;
    loop {
        match read_back(context, write) {
            Ok(ReadBack::Resolved(outcome)) => return Ok(outcome),
            Ok(ReadBack::Compacted) => return Err(Failure::Unknown(cause)),
            Ok(ReadBack::Unchanged) if !context.deadline_passed() => {
                if let Ok(revision) = execute(context, write) {
                    return Ok(Outcome::Applied { revision, replaced: false });
                }
            }
            Ok(ReadBack::Unchanged) | Err(_) => {}
        }
        if context.deadline_passed() {
            return Err(Failure::Unknown(cause));
        }
        context.clock.sleep(delay);
        delay = MAX_DELAY.min(delay * 2);
    }
}

/// The state of the key after a lost response.
enum ReadBack {
    /// The key is unchanged; the write may still be in flight.
    Unchanged,
    /// The outcome of the write.
    Resolved(Outcome),
    /// The key was changed, and the history that shows by whom is compacted.
    Compacted,
}

fn read_back(context: &Context<'_>, write: &Write<'_>) -> Result<ReadBack, Error> {
    let found = context.store.get(write.key)?;
    if revision(&found) == revision(write.base) {
        return Ok(ReadBack::Unchanged);
    }
    if let Some(entry) = found.entry.as_ref().filter(|entry| is_own_write(Some(entry), write)) {
        return Ok(ReadBack::Resolved(Outcome::Applied {
            revision: entry.revision,
            replaced: false,
        }));
    }
    // Someone else wrote the key, either before this write or after it. The history
    // shows which: if this write took effect, it is the first change since `base`.
    let after = write.base.revision;
    let changes = match context.store.watch(write.key, after, Duration::ZERO) {
        Err(Error::Compacted) => return Ok(ReadBack::Compacted),
        result => result?.changes,
    };
    let mut changes = changes.into_iter().filter(|change| change.key == write.key);
    let Some(first) = changes.next() else { return Ok(ReadBack::Unchanged) };
    Ok(ReadBack::Resolved(outcome(write, first, changes.next().is_some(), found.entry)))
}

/// Returns the outcome of `write`, given the `first` change since its base and
/// whether another change followed (`is_replaced`).
fn outcome(write: &Write<'_>, first: Change, is_replaced: bool, current: Option<Entry>) -> Outcome {
    if is_own_write(first.entry.as_ref(), write) {
        return Outcome::Applied { revision: first.revision, replaced: is_replaced };
    }
    Outcome::Conflict(current)
}

fn is_own_write(entry: Option<&Entry>, write: &Write<'_>) -> bool {
    entry.map(|entry| entry.value.as_str()) == write.value
}

fn revision(found: &Lookup) -> Option<Revision> {
    found.entry.as_ref().map(|entry| entry.revision)
}

/// Sends the write once.
fn execute(context: &Context<'_>, write: &Write<'_>) -> Result<Revision, Error> {
    let expect = revision(write.base).map_or(Expect::Absent, Expect::Revision);
    match write.value {
        Some(value) => context.store.put(write.key, value, expect, None),
        None => context.store.delete(write.key, expect),
    }
}
