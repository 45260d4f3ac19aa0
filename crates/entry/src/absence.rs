//! VMs that are missing from the fleet's list.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a VM has to be missing from consecutive lists before it counts as removed. The
/// list lags by about a second and changes while its pages are read: a VM that moves from
/// one page to another meanwhile is on neither.
const REMOVAL_DELAY: Duration = Duration::from_millis(3_000);

/// Records since when VMs are missing; it does no I/O.
///
/// If a single list counted, a wave would be completed as soon as one list lacks its last
/// VM, which would never be maintained.
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
    /// Records which of the `wanted` VMs a list contains.
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
        self.since.get(vm).is_some_and(|since| now - *since >= REMOVAL_DELAY)
    }
}
