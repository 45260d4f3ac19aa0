//! Carries out one write or call, on a thread that may block.

use corianderfork_provider::fleet::Control;
use corianderfork_provider::store::{Entry, Error, Expect, Revision, Store};

use crate::plan::action::Action;

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was applied as this revision.
    Applied(Revision),
    /// Someone else's write came first; the entry as it is.
    Conflict(Option<Entry>),
    /// Nothing was written.
    Refused(String),
    /// Nobody knows: it has to be read back.
    Unknown(String),
}

/// Writes `value` under `key`, if `holds` says that this process still may.
///
/// A write whose answer was lost may have taken effect. It is read back and
/// recognised by its value; writing it again untested would conflict with
/// itself and be taken for another's.
pub fn put(
    store: &dyn Store,
    holds: impl Fn() -> bool,
    key: &str,
    value: &str,
    expect: Expect,
) -> Written {
    if !holds() {
        return Written::Refused("the lease has lapsed".to_owned());
    }
    match store.put(key, value, expect, None) {
        Ok(revision) => Written::Applied(revision),
        Err(Error::Conflict { current, .. }) => {
            own(current.as_ref(), value).unwrap_or(Written::Conflict(current))
        }
        Err(error) if error.may_have_applied() => read_back(store, key, value, &error.to_string()),
        Err(error) => Written::Refused(error.to_string()),
    }
}

/// Whether a write of `value` that ended unknown was applied.
pub fn read_back(store: &dyn Store, key: &str, value: &str, why: &str) -> Written {
    match store.get(key) {
        Ok(found) => own(found.entry.as_ref(), value).unwrap_or(Written::Conflict(found.entry)),
        Err(_) => Written::Unknown(why.to_owned()),
    }
}

fn own(entry: Option<&Entry>, value: &str) -> Option<Written> {
    let entry = entry.filter(|entry| entry.value == value)?;
    Some(Written::Applied(entry.revision))
}

/// Makes a call to the platform, if `holds` says that this process still may.
///
/// # Errors
///
/// Fails as the platform does. A call whose answer was lost is made again when
/// the next list doesn't show its effect.
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
