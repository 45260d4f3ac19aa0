//! Tracking of whether a refused job is certain never to run.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long a write without a response may still be carried out: the platform documents
/// some seconds, and callers retry within that time.
const UNSURE_TTL: Duration = Duration::from_secs(15);
/// The most jobs remembered as unsure, this entry VM's and those that it remembers for
/// others: some hundreds of kilobytes. Beyond that a later attempt may get a 503.
const MAX_UNSURE: usize = 4_096;

/// Attempts to store jobs by one entry VM, and what it remembers of others'. It does no I/O.
///
/// A refusal promises that the job never runs. One attempt may be refused unwritten while
/// the write of another attempt of the same job is in flight or was given up: that write may
/// store the job and make the refusal untrue.
///
/// ```
/// use corianderfork_entry::attempts::Attempts;
/// use corianderfork_model::Time;
///
/// let at = Time::from_millis;
/// let mut attempts = Attempts::default();
/// assert!(!attempts.may_be_stored(at(0), "a"));
/// attempts.begin("a");
/// assert!(attempts.may_be_stored(at(10), "a"));
/// attempts.end("a");
/// assert!(!attempts.may_be_stored(at(20), "a"));
/// attempts.note_unsure(at(30), "a");
/// assert!(attempts.may_be_stored(at(15_000), "a"));
/// assert!(!attempts.may_be_stored(at(15_030), "a"));
/// ```
#[derive(Debug, Default)]
pub struct Attempts {
    /// Waiting attempts of a job, writes in flight that include it, and notifications of its owner.
    in_flight: HashMap<String, usize>,
    /// Jobs with a write that was given up, or that no owner is known to know, and when.
    unsure: HashMap<String, Time>,
}

impl Attempts {
    /// Records that an attempt of the job starts, or that a write including it is sent.
    pub fn begin(&mut self, id: &str) {
        *self.in_flight.entry(id.to_owned()).or_default() += 1;
    }

    /// Records that such an attempt or write is finished or given up.
    pub fn end(&mut self, id: &str) {
        let left = self.in_flight.get(id).map_or(0, |count| count - 1);
        if left == 0 {
            self.in_flight.remove(id);
        } else {
            self.in_flight.insert(id.to_owned(), left);
        }
    }

    /// Records that a write of the job was given up that may still be carried out, or that the job
    /// was stored and its owner didn't reply.
    pub fn note_unsure(&mut self, now: Time, id: &str) {
        self.unsure.retain(|_, at| now - *at < UNSURE_TTL);
        if self.unsure.len() < MAX_UNSURE {
            self.unsure.insert(id.to_owned(), now);
        }
    }

    /// Whether any attempt may have stored the job or may still do so.
    pub fn may_be_stored(&self, now: Time, id: &str) -> bool {
        let is_unsure = self.unsure.get(id).is_some_and(|at| now - *at < UNSURE_TTL);
        is_unsure || self.in_flight.contains_key(id)
    }
}
