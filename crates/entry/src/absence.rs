//! VMs that the fleet's list no longer names.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a VM has to be missing from one list after the other before it
/// counts as taken away. The list is read in pages while it changes, and lags by
/// about a second: a VM that moves from one page to another in between is on
/// neither.
const GONE: Duration = Duration::from_millis(3_000);

/// Since when VMs are missing. Pure.
///
/// Without it a wave is told to be completed as soon as one list lacks its last
/// VM, which then is never maintained.
///
/// ```
/// use corianderfork_entry::absence::Absence;
/// use corianderfork_model::Time;
///
/// let mut absence = Absence::default();
/// absence.note(Time::from_millis(0), ["vm-1"], |_| false);
/// assert!(!absence.is_gone(Time::from_millis(250), "vm-1"));
/// absence.note(Time::from_millis(3_100), ["vm-1"], |_| false);
/// assert!(absence.is_gone(Time::from_millis(3_100), "vm-1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Absence {
    since: HashMap<String, Time>,
}

impl Absence {
    /// Takes in a list: which of `wanted` it names.
    pub fn note<'a>(
        &mut self,
        now: Time,
        wanted: impl IntoIterator<Item = &'a str>,
        is_listed: impl Fn(&str) -> bool,
    ) {
        let missing: Vec<&str> = wanted.into_iter().filter(|vm| !is_listed(vm)).collect();
        self.since.retain(|vm, _| missing.contains(&vm.as_str()));
        for vm in missing {
            self.since.entry(vm.to_owned()).or_insert(now);
        }
    }

    /// Whether a VM was missing from all lists for long enough.
    pub fn is_gone(&self, now: Time, vm: &str) -> bool {
        self.since.get(vm).is_some_and(|since| now - *since >= GONE)
    }
}
