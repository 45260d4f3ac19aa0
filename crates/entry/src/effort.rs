//! Time that the event loop spends, by activity.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time spent in each activity since the start. Clones count together.
///
/// Activities don't nest. What no activity covers is spent in the event loop and in the transport of
/// calls.
///
/// ```
/// use corianderfork_entry::effort::Effort;
///
/// let effort = Effort::default();
/// assert_eq!(effort.measure("sum", || 1 + 2), 3);
/// assert!(effort.totals().contains_key("sum"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Effort {
    totals: Rc<RefCell<BTreeMap<&'static str, Duration>>>,
}

impl Effort {
    /// Runs `work` and counts the time that it takes.
    pub fn measure<T>(&self, activity: &'static str, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.add(activity, started.elapsed());
        result
    }

    /// Counts time that was spent in an activity.
    pub fn add(&self, activity: &'static str, took: Duration) {
        *self.totals.borrow_mut().entry(activity).or_default() += took;
    }

    /// Returns the totals by activity.
    pub fn totals(&self) -> BTreeMap<&'static str, Duration> {
        self.totals.borrow().clone()
    }
}
