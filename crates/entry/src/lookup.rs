//! The state of a job by its two records in the store.
//!
//! A job has an acceptance record and, from its first change on, a progress record. When the
//! job ends, one write updates the progress record and removes the acceptance record. A
//! reader must therefore read the acceptance record first. [`Lookup`] does no I/O: it names
//! the key to read next and interprets the values.

use corianderfork_adapter::store::MAX_KEY;
use corianderfork_jobs::JobId;
use corianderfork_jobs::record::{Progress, State};
use serde::Deserialize;

use crate::access::Identity;
use crate::duty;
use crate::placement::queue_key;
use crate::write_slots::Slots;

/// The key prefix of acceptance records; pool and id follow.
pub const JOB_PREFIX: &str = "job/";
/// The key prefix of progress records; pool and id follow.
pub const RUN_PREFIX: &str = "run/";

/// Returns the key of a job's acceptance record.
pub fn job_key(pool: &str, id: &str) -> String {
    format!("{JOB_PREFIX}{pool}/{id}")
}

/// Returns the key of a job's progress record.
pub fn run_key(pool: &str, id: &str) -> String {
    format!("{RUN_PREFIX}{pool}/{id}")
}

/// Returns the prefix of the keys of a pool's acceptance records. Keys of another pool, whose name
/// continues this one's after a slash, begin with it as well; see [`id_of`].
pub fn job_prefix(pool: &str) -> String {
    format!("{JOB_PREFIX}{pool}/")
}

/// Returns the prefix of the keys of a pool's progress records, as [`job_prefix`].
pub fn run_prefix(pool: &str) -> String {
    format!("{RUN_PREFIX}{pool}/")
}

/// Returns whether the store takes the keys of a queue's jobs in a pool: operators may give names that
/// are longer than its keys.
///
/// ```
/// use corianderfork_entry::lookup::is_storable;
///
/// assert!(is_storable("queue", "pool"));
/// assert!(!is_storable("queue", &"long".repeat(50)));
/// ```
pub fn is_storable(queue: &str, pool: &str) -> bool {
    let of_job = job_key(pool, &JobId(0).to_string());
    let of_slot = Slots::new(pool).key(Slots::first());
    [of_job, of_slot, duty::key(&duty::of_pool(pool)), queue_key(queue)]
        .iter()
        .all(|key| key.len() <= MAX_KEY)
}

/// Returns the ID of the job whose record has a key, given the prefix of the pool's keys; `None` if
/// the key isn't one of the pool.
///
/// ```
/// use corianderfork_entry::lookup::{id_of, job_key, job_prefix};
///
/// let id = "0123456789abcdef";
/// assert_eq!(id_of(&job_prefix("desk"), &job_key("desk", id)), Some(id));
/// assert_eq!(id_of(&job_prefix("desk"), &job_key("desk/north", id)), None);
/// ```
pub fn id_of<'a>(prefix: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(prefix).filter(|id| id.parse::<JobId>().is_ok())
}

/// The organisation of a record of a job, whatever else it contains.
#[derive(Deserialize)]
struct Owned {
    #[serde(default)]
    organisation: Option<String>,
}

/// Returns the organisation to which a job belongs by one of its records.
pub fn organisation(value: &[u8]) -> Option<String> {
    serde_json::from_slice::<Owned>(value).ok()?.organisation
}

/// The next step or the result of a [`Lookup`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Read this key and pass its value to [`Lookup::set_value`].
    Read(String),
    /// The job exists and is in this state.
    Found(State),
    /// The job belongs to another organisation.
    Foreign,
    /// There is no such job.
    Absent,
    /// The job exists, but its progress record can't be decoded.
    Unreadable,
}

/// Looks up the state of a job.
///
/// An end that is written between the two reads moves the job from the first key to the second. In
/// the opposite order both would be found empty, and the caller of a job that has just completed
/// would get the response that there is no such job. In this order a job that has left the first
/// key is found under the second.
///
/// ```
/// use corianderfork_entry::lookup::{Lookup, LookupStep};
/// use corianderfork_jobs::record::State;
///
/// let mut lookup = Lookup::new("pool", "0123456789abcdef");
/// assert_eq!(lookup.next(), LookupStep::Read("job/pool/0123456789abcdef".to_owned()));
/// lookup.set_value(Some(b"{}"));
/// assert_eq!(lookup.next(), LookupStep::Read("run/pool/0123456789abcdef".to_owned()));
/// lookup.set_value(None);
/// assert_eq!(lookup.next(), LookupStep::Found(State::Queued));
/// ```
#[derive(Clone, Debug)]
pub struct Lookup {
    pool: String,
    id: String,
    identity: Identity,
    is_accepted: Option<bool>,
    found: Option<LookupStep>,
}

impl Lookup {
    /// Starts a lookup of the job `id` of a pool.
    pub fn new(pool: &str, id: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            id: id.to_owned(),
            identity: Identity::Anonymous,
            is_accepted: None,
            found: None,
        }
    }

    /// Sets on whose behalf the job is looked up.
    #[must_use]
    pub fn on_behalf_of(mut self, identity: &Identity) -> Self {
        self.identity = identity.clone();
        self
    }

    /// Returns the key to read next, or the result.
    pub fn next(&self) -> LookupStep {
        match (&self.found, self.is_accepted) {
            (Some(found), _) => found.clone(),
            (None, None) => LookupStep::Read(job_key(&self.pool, &self.id)),
            (None, Some(_)) => LookupStep::Read(run_key(&self.pool, &self.id)),
        }
    }

    /// Records the value of the key that [`Lookup::next`] named.
    pub fn set_value(&mut self, value: Option<&[u8]>) {
        if value.is_some_and(|value| !self.identity.may_use(organisation(value).as_deref())) {
            self.found = Some(LookupStep::Foreign);
            return;
        }
        let Some(is_accepted) = self.is_accepted else {
            self.is_accepted = Some(value.is_some());
            return;
        };
        let progress = value.map(serde_json::from_slice::<Progress>);
        self.found = Some(match (progress, is_accepted) {
            (Some(Ok(progress)), _) => LookupStep::Found(progress.state),
            (Some(Err(_)), _) => LookupStep::Unreadable,
            (None, true) => LookupStep::Found(State::Queued),
            (None, false) => LookupStep::Absent,
        });
    }
}
