//! Carries out a single write or call, on a thread that may block.

use corianderfork_provider::fleet::Control;
use corianderfork_provider::store::{Entry, Error, Expect, Revision, Store};

use crate::plan::action::Action;

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write was applied at this revision.
    Applied(Revision),
    /// Another write came first. Holds the current entry.
    Conflict(Option<Entry>),
    /// Nothing was written.
    Refused(String),
    /// It is unknown whether the write was applied; it has to be read back.
    Unknown(String),
}

/// Writes `value` under `key` if `holds` confirms that this process still holds
/// the lease.
///
/// A write whose response was lost may have been applied. It is read back and
/// recognised by its value: a blind retry would conflict with the first
/// attempt, and the conflict would be taken for another process's write.
pub fn put(
    store: &dyn Store,
    holds: impl Fn() -> bool,
    key: &str,
    value: &str,
    expect: Expect,
) -> Outcome {
    if !holds() {
        return Outcome::Refused("the lease has expired".to_owned());
    }
    match store.put(key, value, expect, None) {
        Ok(revision) => Outcome::Applied(revision),
        Err(Error::Conflict { current, .. }) => {
            applied_if_own(current.as_ref(), value).unwrap_or(Outcome::Conflict(current))
        }
        Err(error) if error.may_have_applied() => read_back(store, key, value, &error.to_string()),
        Err(error) => Outcome::Refused(error.to_string()),
    }
}

/// Reads back a write of `value` whose outcome is unknown, to find out whether
/// it was applied.
pub fn read_back(store: &dyn Store, key: &str, value: &str, why: &str) -> Outcome {
    match store.get(key) {
        Ok(found) => {
            applied_if_own(found.entry.as_ref(), value).unwrap_or(Outcome::Conflict(found.entry))
        }
        Err(_) => Outcome::Unknown(why.to_owned()),
    }
}

fn applied_if_own(entry: Option<&Entry>, value: &str) -> Option<Outcome> {
    let entry = entry.filter(|entry| entry.value == value)?;
    Some(Outcome::Applied(entry.revision))
}

/// Makes a call to the platform if `holds` confirms that this process still
/// holds the lease.
///
/// # Errors
///
/// Returns the platform's error. A call whose response was lost is retried if
/// the next list does not show its effect.
pub fn call(control: &dyn Control, holds: impl Fn() -> bool, action: &Action) -> Result<(), Error> {
    if !holds() {
        return Err(Error::Lapsed);
    }
    match action {
        Action::Start((vm, service)) => control.start(vm, service),
        Action::Stop((vm, service)) => control.stop(vm, service),
        Action::Reboot(vm) => control.reboot(vm),
        Action::Write(_) | Action::Wave { .. } => Ok(()),
    }
}
