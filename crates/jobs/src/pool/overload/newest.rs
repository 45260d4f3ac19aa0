//! When the newest jobs go first.

use std::time::Duration;

use corianderfork_model::Time;

/// How long the wait of the oldest job has to call for the other order until the order is changed.
/// A shorter time would change it with each burst that is worked off in time anyway.
const DWELL: Duration = Duration::from_millis(500);
/// The part of its slack for which the oldest job has waited when the newest go first.
const WAITED_SHARE: f64 = 0.5;

/// Decides whether the newest of the jobs that can be in time go first.
///
/// ```
/// use corianderfork_jobs::pool::overload::Newest;
/// use corianderfork_model::Time;
///
/// let mut newest = Newest::default();
/// newest.update(Time::from_millis(1_000), 0.6);
/// assert!(!newest.is_on());
/// newest.update(Time::from_millis(1_500), 0.6);
/// assert!(newest.is_on());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Newest {
    is_on: bool,
    /// Since when the other order has been called for.
    contradicted: Option<Time>,
}

impl Newest {
    /// Returns whether the newest jobs go first.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Updates the decision. `waited` is the largest part of its slack for which a job that can
    /// still be in time has waited. Returns whether the decision changed.
    pub fn update(&mut self, now: Time, waited: f64) -> bool {
        if (waited > WAITED_SHARE) == self.is_on {
            self.contradicted = None;
            return false;
        }
        let since = *self.contradicted.get_or_insert(now);
        let is_changed = now - since >= DWELL;
        if is_changed {
            self.is_on = !self.is_on;
            self.contradicted = None;
        }
        is_changed
    }
}
