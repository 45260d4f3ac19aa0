//! Storing of submitted jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::Outcome;
use corianderfork_model::Time;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Gateway;
use super::lookup_log::Sought;
use crate::admission::{Admission, Offer};
use crate::attempts::Tries;
use crate::clock;
use crate::lookup::Next;
use crate::placement::Entry;
use crate::server::Asked;
use crate::store::Error;

/// How long storing a job is attempted before the caller is told that it wasn't stored.
/// This is within a quarter of the time that callers wait.
const ACCEPT: Duration = Duration::from_millis(700);
/// The fraction of a caller's deadline within which its job is to be stored, as a divisor.
const PATIENCE: u32 = 4;
/// The pause between two attempts.
const PAUSE: Duration = Duration::from_millis(40);
/// The most writes of jobs in flight: further ones are sent while the first waits for its
/// response.
const WRITES: usize = 4;

/// The outcome of a submission.
pub(super) enum Accepted {
    /// It is stored in this pool, at this revision.
    Stored(String, u64),
    /// It was stored before.
    Known,
    /// It was not stored and never will be.
    NotStored,
    /// It is not known whether it was stored.
    Unknown,
}

/// A job that waits for its write.
pub(super) struct Waiting {
    /// Identifies this attempt among those of the same job.
    number: u64,
    offer: Offer,
    until: Time,
    /// Whether a write of it may have been carried out unconfirmed.
    maybe: bool,
    told: oneshot::Sender<Accepted>,
    /// Held while a write includes the job.
    under_way: Option<UnderWay>,
}

/// Counts an attempt to store a job, or a write that includes it, until dropped. A write
/// continues after its caller's time is over.
struct UnderWay {
    tries: Rc<RefCell<Tries>>,
    id: String,
}

impl UnderWay {
    fn new(tries: &Rc<RefCell<Tries>>, id: &str) -> Self {
        tries.borrow_mut().begins(id);
        Self { tries: tries.clone(), id: id.to_owned() }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.tries.borrow_mut().ends(&self.id);
    }
}

impl Gateway {
    /// Stores a job; gives up after `within`.
    pub(super) async fn store(self: &Rc<Self>, offer: Offer, within: Duration) -> Accepted {
        let (told, accepted) = oneshot::channel();
        let (number, until) = (self.offers.get(), clock::now() + within);
        self.offers.set(number + 1);
        let _trying = UnderWay::new(&self.node.tries, &offer.id);
        let job = Waiting { number, offer, until, maybe: false, told, under_way: None };
        self.waiting.borrow_mut().push_back(job);
        self.write_some();
        match timeout(within, accepted).await {
            Ok(accepted) => accepted.unwrap_or(Accepted::Unknown),
            Err(_) => self.withdraw(number),
        }
    }

    /// Gives up on a job whose time is over. If it still waits for its write, it is
    /// certainly not stored; a write in flight may still be carried out.
    fn withdraw(&self, number: u64) -> Accepted {
        let mut waiting = self.waiting.borrow_mut();
        let before = waiting.len();
        waiting.retain(|job| job.number != number || job.maybe);
        if waiting.len() < before { Accepted::NotStored } else { Accepted::Unknown }
    }

    /// Starts a write of waiting jobs, unless enough writes are in flight. Jobs that arrive
    /// meanwhile go into the next one together.
    fn write_some(self: &Rc<Self>) {
        if self.writing.get() >= WRITES || self.waiting.borrow().is_empty() {
            return;
        }
        let count = self.admission(self.waiting.borrow().iter()).count();
        let mut jobs: Vec<Waiting> = self.waiting.borrow_mut().drain(..count).collect();
        for job in &mut jobs {
            job.under_way = Some(UnderWay::new(&self.node.tries, &job.offer.id));
        }
        self.writing.set(self.writing.get() + 1);
        let gateway = self.clone();
        spawn_local(async move {
            gateway.write(jobs).await;
            gateway.writing.set(gateway.writing.get() - 1);
            gateway.write_some();
        });
    }

    /// Returns the admission of the jobs that fit in one write, given what is known of their
    /// queues.
    fn admission<'a>(&self, jobs: impl Iterator<Item = &'a Waiting>) -> Admission {
        let table = self.node.table.borrow();
        Admission::new(jobs.map(|job| &job.offer), &table)
    }

    /// Updates queues' records. Returns whether any of them changed.
    fn learn(&self, entries: Vec<(String, Entry)>) -> bool {
        let mut table = self.node.table.borrow_mut();
        entries.into_iter().fold(false, |is_news, (queue, entry)| {
            // `learn` comes first so that every record is updated.
            table.learn(&queue, entry) || is_news
        })
    }

    /// Retries a write of jobs until each is known to be stored or its time is over.
    async fn write(self: &Rc<Self>, mut jobs: Vec<Waiting>) {
        while !jobs.is_empty() {
            let admission = self.admission(jobs.iter());
            // Jobs of a queue that was just moved to another pool need more rows.
            for mut job in jobs.drain(admission.count()..).rev() {
                job.under_way = None;
                self.waiting.borrow_mut().push_front(job);
            }
            jobs = self.sift(&admission, jobs).await;
            if jobs.is_empty() {
                return;
            }
            let txn = admission.txn(jobs.iter().map(|job| &job.offer));
            let mut is_news = false;
            match self.node.store.txn(&txn).await {
                Ok(Outcome::Written(revision)) => {
                    self.learn(admission.written(revision));
                    for job in jobs {
                        let pool = admission.pool(&job.offer).to_owned();
                        // A caller that left finds its job when it retries.
                        let _ = job.told.send(Accepted::Stored(pool, revision));
                    }
                    return;
                }
                Ok(Outcome::Conflict(items)) => {
                    is_news = self.learn(admission.seen(&items));
                    let is_stored = |job: &Waiting| admission.is_stored(&job.offer, &items);
                    let (stored, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_stored);
                    is_news |= !stored.is_empty();
                    jobs = rest;
                    tell_known(stored);
                }
                Ok(Outcome::NoLease) | Err(Error::Unknown) => {
                    jobs.iter_mut().for_each(|job| job.maybe = true);
                }
                Err(Error::NotDone(_)) => {}
            }
            jobs = self.give_up(jobs, self.node.store.is_away());
            if !is_news {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Checks the earlier pools that don't fit into the write. Reports the jobs found there
    /// and returns the others; where a pool can't be read, the job is given up.
    async fn sift(self: &Rc<Self>, admission: &Admission, jobs: Vec<Waiting>) -> Vec<Waiting> {
        let mut rest = Vec::new();
        'jobs: for job in jobs {
            for pool in admission.unchecked(&job.offer) {
                let mut sought = Sought::unasked(pool);
                match self.look_up(pool, &job.offer.id, &mut sought).await {
                    Ok(Next::Absent) => {}
                    Ok(_) => {
                        tell_known(vec![job]);
                        continue 'jobs;
                    }
                    Err(_) => {
                        self.give_up(vec![job], true);
                        continue 'jobs;
                    }
                }
            }
            rest.push(job);
        }
        rest
    }

    /// Gives up jobs whose time is over, or all if the store is down. Returns the others.
    fn give_up(self: &Rc<Self>, jobs: Vec<Waiting>, is_away: bool) -> Vec<Waiting> {
        let now = clock::now();
        let is_over = |job: &Waiting| is_away || now >= job.until;
        let (over, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_over);
        for job in over {
            let accepted = if job.maybe { Accepted::Unknown } else { Accepted::NotStored };
            let is_heard = job.told.send(accepted).is_ok();
            // The caller left and may retry at another entry VM.
            if job.maybe && !is_heard {
                let gateway = self.clone();
                spawn_local(async move { gateway.note_unsure(&job.offer.id).await });
            }
        }
        rest
    }
}

fn tell_known(jobs: Vec<Waiting>) {
    for job in jobs {
        // A caller that left finds its job when it retries.
        let _ = job.told.send(Accepted::Known);
    }
}

/// Returns how long a job may wait to be stored: a fraction of the caller's deadline, so
/// that a caller with a short deadline gets its response before it.
pub(super) fn patience(asked: &Asked) -> Duration {
    let deadline = asked.deadline_ms.map_or(ACCEPT, |ms| Duration::from_millis(ms) / PATIENCE);
    ACCEPT.min(deadline).max(PAUSE)
}
