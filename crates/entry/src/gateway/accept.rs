//! Jobs on their way into the store.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::config::Route;
use corianderfork_adapter::store::{MAX_ROWS, Outcome, Txn};
use corianderfork_jobs::Record;
use corianderfork_model::Time;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Gateway;
use crate::clock;
use crate::lookup::{Lookup, Next, job_key, run_key};
use crate::server::Asked;
use crate::store::Error;

/// How long the store is asked to take a job before the caller is told that it
/// did not. Within a quarter of the time that callers wait.
const ACCEPT: Duration = Duration::from_millis(700);
/// The part of the time that a caller waits in which its job is to be stored.
const PATIENCE: u32 = 4;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(40);
/// Rows of a write that one job takes: two conditions and a value.
const JOB_ROWS: usize = 3;
/// Writes of jobs under way at once: a second one goes out while the first
/// waits for its answer.
const WRITES: usize = 4;
/// How long a write without an answer may yet be carried out: the platform names
/// some seconds, and callers ask again within as many.
const UNSURE: Duration = Duration::from_secs(15);
/// Jobs of which that is remembered: a bound on memory.
const MOST_UNSURE: usize = 4_096;

/// What became of a job handed in.
pub(super) enum Accepted {
    /// It is stored, at this revision, or was before.
    Stored(Option<u64>),
    /// It was not stored and never will be.
    NotStored,
    /// Nobody knows.
    Unknown,
}

/// A job that waits for its write.
pub(super) struct Waiting {
    pool: String,
    id: String,
    value: Vec<u8>,
    until: Time,
    /// Whether a write of it may have been done though nobody said so.
    maybe: bool,
    told: oneshot::Sender<Accepted>,
}

impl Gateway {
    /// Notes that a write of a job may yet be carried out.
    pub(super) fn note_unsure(&self, id: &str) {
        let now = clock::now();
        let mut unsure = self.unsure.borrow_mut();
        unsure.retain(|_, at| now - *at < UNSURE);
        if unsure.len() < MOST_UNSURE {
            unsure.insert(id.to_owned(), now);
        }
    }

    /// Whether a write of a job may yet be carried out. To a later try of the same
    /// job 503 would promise that it never runs.
    pub(super) fn is_unsure(&self, id: &str) -> bool {
        let now = clock::now();
        self.unsure.borrow().get(id).is_some_and(|at| now - *at < UNSURE)
    }

    /// Has a job stored, within a part of the time that its caller waits.
    pub(super) async fn store(
        self: &Rc<Self>,
        route: &Route,
        id: &str,
        record: &Record,
        within: Duration,
    ) -> Accepted {
        let pools = self.node.pools_of(&route.name, &route.pool);
        for earlier in pools.iter().skip(1) {
            match self.is_known(earlier, id).await {
                Ok(true) => return Accepted::Stored(None),
                Ok(false) => {}
                Err(_) => return Accepted::NotStored,
            }
        }
        let (told, accepted) = oneshot::channel();
        self.waiting.borrow_mut().push_back(Waiting {
            pool: route.pool.clone(),
            id: id.to_owned(),
            value: serde_json::to_vec(record).unwrap_or_default(),
            until: clock::now() + within,
            maybe: false,
            told,
        });
        self.write_some();
        match timeout(within, accepted).await {
            Ok(accepted) => accepted.unwrap_or(Accepted::Unknown),
            Err(_) => self.withdraw(id),
        }
    }

    /// Gives a job up whose time is over. One that still waits for its write is
    /// certainly not stored; a write that is under way may yet be carried out.
    fn withdraw(&self, id: &str) -> Accepted {
        let mut waiting = self.waiting.borrow_mut();
        let before = waiting.len();
        waiting.retain(|job| job.id != id || job.maybe);
        if waiting.len() < before { Accepted::NotStored } else { Accepted::Unknown }
    }

    /// Starts a write of what waits, unless enough are under way: what comes
    /// meanwhile goes together in the next.
    fn write_some(self: &Rc<Self>) {
        if self.writing.get() >= WRITES || self.waiting.borrow().is_empty() {
            return;
        }
        let most = MAX_ROWS / JOB_ROWS;
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(most);
        let jobs: Vec<Waiting> = waiting.drain(..count).collect();
        drop(waiting);
        self.writing.set(self.writing.get() + 1);
        let gateway = self.clone();
        spawn_local(async move {
            gateway.write(jobs).await;
            gateway.writing.set(gateway.writing.get() - 1);
            gateway.write_some();
        });
    }

    /// Writes jobs until each is known to be stored or its time is over.
    async fn write(&self, mut jobs: Vec<Waiting>) {
        while !jobs.is_empty() {
            let failed = match self.node.store.txn(&txn(&jobs)).await {
                Ok(Outcome::Written(revision)) => {
                    for job in jobs {
                        // A caller that left finds its job when it asks again.
                        let _ = job.told.send(Accepted::Stored(Some(revision)));
                    }
                    return;
                }
                Ok(Outcome::Conflict(items)) => {
                    let is_stored = |job: &Waiting| {
                        let keys = [job_key(&job.pool, &job.id), run_key(&job.pool, &job.id)];
                        items.iter().any(|item| keys.contains(&item.key))
                    };
                    let (stored, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_stored);
                    jobs = rest;
                    for job in stored {
                        let _ = job.told.send(Accepted::Stored(None));
                    }
                    continue;
                }
                Ok(Outcome::NoLease) | Err(Error::Unknown) => true,
                Err(Error::NotDone(_)) => false,
            };
            jobs.iter_mut().for_each(|job| job.maybe |= failed);
            jobs = give_up(jobs, self.node.store.is_away());
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn is_known(&self, pool: &str, id: &str) -> Result<bool, Error> {
        let mut lookup = Lookup::new(pool, id);
        while let Next::Read(key) = lookup.next() {
            let item = self.node.store.get(&key).await?;
            lookup.learn(item.as_ref().map(|item| item.value.as_slice()));
        }
        Ok(lookup.next() != Next::Absent)
    }
}

fn txn(jobs: &[Waiting]) -> Txn {
    let mut txn = Txn::default();
    for job in jobs {
        let key = job_key(&job.pool, &job.id);
        txn.expect.push((key.clone(), 0));
        txn.expect.push((run_key(&job.pool, &job.id), 0));
        txn.set.push((key, job.value.clone(), 0));
    }
    txn
}

/// Answers those whose time is over, or all if the store is away, and keeps the
/// others.
fn give_up(jobs: Vec<Waiting>, is_away: bool) -> Vec<Waiting> {
    let now = clock::now();
    let is_over = |job: &Waiting| is_away || now >= job.until;
    let (over, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_over);
    for job in over {
        let accepted = if job.maybe { Accepted::Unknown } else { Accepted::NotStored };
        let _ = job.told.send(accepted);
    }
    rest
}

/// How long a caller's job may wait to be stored: a part of the time that the
/// caller waits. One that is close to its deadline is told before it.
pub(super) fn patience(asked: &Asked) -> Duration {
    let deadline = asked.deadline_ms.map_or(ACCEPT, |ms| Duration::from_millis(ms) / PATIENCE);
    ACCEPT.min(deadline).max(PAUSE)
}
