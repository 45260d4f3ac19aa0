//! VMs, or workers that run on them, that are missing from the fleet's list.

use std::collections::{HashMap, HashSet};
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
#[derive(Clone, Debug)]
pub struct Absence {
    missing: HashMap<String, Missing>,
    /// How long consecutive lists have to lack a VM.
    delay: Duration,
    /// The fewest of these lists.
    min_lists: u32,
}

impl Default for Absence {
    fn default() -> Self {
        Self { missing: HashMap::new(), delay: REMOVAL_DELAY, min_lists: 1 }
    }
}

/// Lists that lack a VM.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// When the first of them was requested.
    since: Time,
    /// Their number.
    lists: u32,
}

impl Absence {
    /// Sets how long consecutive lists have to lack a VM.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Requires at least `lists` consecutive lists that lack a VM.
    ///
    /// ```
    /// use corianderfork_entry::absence::Absence;
    /// use corianderfork_model::Time;
    ///
    /// let mut absence = Absence::default().min_lists(3);
    /// absence.note(Time::from_millis(0), ["vm-1"], |_| false);
    /// absence.note(Time::from_millis(5_000), ["vm-1"], |_| false);
    /// assert!(!absence.is_gone(Time::from_millis(5_000), "vm-1"));
    /// ```
    #[must_use]
    pub fn min_lists(mut self, lists: u32) -> Self {
        self.min_lists = lists;
        self
    }

    /// Records which of the `wanted` VMs a list that was requested at `now` contains.
    pub fn note<'a>(
        &mut self,
        now: Time,
        wanted: impl IntoIterator<Item = &'a str>,
        is_listed: impl Fn(&str) -> bool,
    ) {
        let missing: HashSet<&str> = wanted.into_iter().filter(|vm| !is_listed(vm)).collect();
        self.missing.retain(|vm, _| missing.contains(vm.as_str()));
        for vm in missing {
            let known = self.missing.entry(vm.to_owned());
            known.or_insert(Missing { since: now, lists: 0 }).lists += 1;
        }
    }

    /// Whether a VM was missing from all lists for long enough.
    pub fn is_gone(&self, now: Time, vm: &str) -> bool {
        let missing = self.missing.get(vm);
        missing.is_some_and(|missing| {
            now - missing.since >= self.delay && missing.lists >= self.min_lists
        })
    }
}
