//! Whether a job that is refused is certain never to run.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a write without an answer may yet be carried out: the platform names
/// some seconds, and callers ask again within as many.
const UNSURE: Duration = Duration::from_secs(15);
/// Jobs that are remembered as unsure at most, this entry VM's and those that it
/// remembers for others: some hundreds of kilobytes. Past them a later try may be told
/// 503.
const MOST_UNSURE: usize = 4_096;

/// Tries to have jobs stored, by one entry VM, and what it remembers of others'. Pure.
///
/// A refusal promises that the job never runs. One try of a job may be refused
/// unwritten while the write of another one is on its way, or was given up on: the
/// job may be stored by that, and the refusal untrue.
///
/// ```
/// use corianderfork_entry::attempts::Tries;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut tries = Tries::default();
/// assert!(!tries.may_be_stored(at(0), "a"));
/// tries.begins("a");
/// assert!(tries.may_be_stored(at(10), "a"));
/// tries.ends("a");
/// assert!(!tries.may_be_stored(at(20), "a"));
/// tries.note_unsure(at(30), "a");
/// assert!(tries.may_be_stored(at(15_000), "a"));
/// assert!(!tries.may_be_stored(at(15_030), "a"));
/// ```
#[derive(Debug, Default)]
pub struct Tries {
    /// Tries of a job that wait, and writes under way that hold it.
    under_way: HashMap<String, usize>,
    /// Jobs of which it was told that nobody knows whether they were stored, and
    /// when.
    unsure: HashMap<String, Time>,
}

impl Tries {
    /// A try of the job begins, or a write that holds it goes out.
    pub fn begins(&mut self, id: &str) {
        *self.under_way.entry(id.to_owned()).or_default() += 1;
    }

    /// That try has an answer; it is known how that write ended, or it is given up.
    pub fn ends(&mut self, id: &str) {
        let left = self.under_way.get(id).map_or(0, |count| count - 1);
        if left == 0 {
            self.under_way.remove(id);
        } else {
            self.under_way.insert(id.to_owned(), left);
        }
    }

    /// A write of the job was given up on that may yet be carried out.
    pub fn note_unsure(&mut self, now: Time, id: &str) {
        self.unsure.retain(|_, at| now - *at < UNSURE);
        if self.unsure.len() < MOST_UNSURE {
            self.unsure.insert(id.to_owned(), now);
        }
    }

    /// Whether some try of the job may have it stored, now or later.
    pub fn may_be_stored(&self, now: Time, id: &str) -> bool {
        let is_unsure = self.unsure.get(id).is_some_and(|at| now - *at < UNSURE);
        is_unsure || self.under_way.contains_key(id)
    }
}
