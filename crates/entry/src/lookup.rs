//! Where a job stands by its two records in the store.
//!
//! A job has a record of its acceptance and, once something happened to it, one
//! of how far it is. Its end writes the second and removes the first in one
//! write. Whoever reads both, one after the other, must read the first one
//! first. Pure: [`Lookup`] says what to read next and concludes.

use corianderfork_jobs::record::{Progress, State};

/// The prefix of accepted jobs; pool and id follow.
pub const JOBS: &str = "job/";
/// The prefix of how far jobs are; pool and id follow.
pub const RUNS: &str = "run/";

/// The key of an accepted job.
pub fn job_key(pool: &str, id: &str) -> String {
    format!("{JOBS}{pool}/{id}")
}

/// The key of how far a job is.
pub fn run_key(pool: &str, id: &str) -> String {
    format!("{RUNS}{pool}/{id}")
}

/// What a [`Lookup`] asks for or found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read this key and tell what is there.
    Read(String),
    /// The job stands so.
    Found(State),
    /// There is no such job.
    Absent,
    /// There is one, and its record can't be read: where it stands isn't known.
    Unreadable,
}

/// Looks a job up.
///
/// An end that is written between the two reads moves the job from the first key
/// to the second. Read the other way round, both are found empty, and the caller
/// of a job that has just completed is told that there is no such job. In this
/// order a job that has left the first key is found under the second.
///
/// ```
/// use corianderfork_entry::lookup::{Lookup, Next};
/// use corianderfork_jobs::record::State;
///
/// let mut lookup = Lookup::new("pool", "0123456789abcdef");
/// assert_eq!(lookup.next(), Next::Read("job/pool/0123456789abcdef".to_owned()));
/// lookup.learn(Some(b"{}"));
/// assert_eq!(lookup.next(), Next::Read("run/pool/0123456789abcdef".to_owned()));
/// lookup.learn(None);
/// assert_eq!(lookup.next(), Next::Found(State::Queued));
/// ```
#[derive(Clone, Debug)]
pub struct Lookup {
    pool: String,
    id: String,
    is_accepted: Option<bool>,
    found: Option<Next>,
}

impl Lookup {
    /// Looks for the job `id` of a pool.
    pub fn new(pool: &str, id: &str) -> Self {
        Self { pool: pool.to_owned(), id: id.to_owned(), is_accepted: None, found: None }
    }

    /// What to read next, or what was found.
    pub fn next(&self) -> Next {
        match (&self.found, self.is_accepted) {
            (Some(found), _) => found.clone(),
            (None, None) => Next::Read(job_key(&self.pool, &self.id)),
            (None, Some(_)) => Next::Read(run_key(&self.pool, &self.id)),
        }
    }

    /// Takes in the value under the key that [`Lookup::next`] named.
    pub fn learn(&mut self, value: Option<&[u8]>) {
        let Some(is_accepted) = self.is_accepted else {
            self.is_accepted = Some(value.is_some());
            return;
        };
        let progress = value.map(serde_json::from_slice::<Progress>);
        self.found = Some(match (progress, is_accepted) {
            (Some(Ok(progress)), _) => Next::Found(progress.state),
            (Some(Err(_)), _) => Next::Unreadable,
            (None, true) => Next::Found(State::Queued),
            (None, false) => Next::Absent,
        });
    }
}
