//! Jobs on their way into the store.

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

/// How long the store is asked to take a job before the caller is told that it
/// did not. Within a quarter of the time that callers wait.
const ACCEPT: Duration = Duration::from_millis(700);
/// The part of the time that a caller waits in which its job is to be stored.
const PATIENCE: u32 = 4;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(40);
/// Writes of jobs under way at once: a second one goes out while the first
/// waits for its answer.
const WRITES: usize = 4;
/// What became of a job handed in.
pub(super) enum Accepted {
    /// It is stored in this pool, at this revision.
    Stored(String, u64),
    /// It was stored before.
    Known,
    /// It was not stored and never will be.
    NotStored,
    /// Nobody knows.
    Unknown,
}

/// A job that waits for its write.
pub(super) struct Waiting {
    /// Tells tries of one job apart.
    number: u64,
    offer: Offer,
    until: Time,
    /// Whether a write of it may have been done though nobody said so.
    maybe: bool,
    told: oneshot::Sender<Accepted>,
    /// Kept while a write holds it.
    under_way: Option<UnderWay>,
}

/// Counts a try of a job, or a write that holds it, until it is dropped: a write goes
/// on when its caller's time is over.
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
    /// Has a job stored, within a part of the time that its caller waits.
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

    /// Gives a job up whose time is over. One that still waits for its write is
    /// certainly not stored; a write that is under way may yet be carried out.
    fn withdraw(&self, number: u64) -> Accepted {
        let mut waiting = self.waiting.borrow_mut();
        let before = waiting.len();
        waiting.retain(|job| job.number != number || job.maybe);
        if waiting.len() < before { Accepted::NotStored } else { Accepted::Unknown }
    }

    /// Starts a write of what waits, unless enough are under way: what comes
    /// meanwhile goes together in the next.
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

    /// What of some jobs goes together in one write, by what is known of their
    /// queues.
    fn admission<'a>(&self, jobs: impl Iterator<Item = &'a Waiting>) -> Admission {
        let table = self.node.table.borrow();
        Admission::new(jobs.map(|job| &job.offer), &table)
    }

    /// Takes in queues' records. Whether any of them is news.
    fn learn(&self, entries: Vec<(String, Entry)>) -> bool {
        let mut table = self.node.table.borrow_mut();
        entries.into_iter().fold(false, |is_news, (queue, entry)| {
            // Each is taken in, also behind the first that is news.
            table.learn(&queue, entry) || is_news
        })
    }

    /// Writes jobs until each is known to be stored or its time is over.
    async fn write(self: &Rc<Self>, mut jobs: Vec<Waiting>) {
        while !jobs.is_empty() {
            let admission = self.admission(jobs.iter());
            // A queue that has just come to another pool takes more of a write.
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
                        // A caller that left finds its job when it asks again.
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

    /// Tells those that are known in a pool for which their write has no room, and
    /// keeps the others. Where that can't be read, a caller is told to come back.
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

    /// Answers those whose time is over, or all if the store is away, and keeps the
    /// others.
    fn give_up(self: &Rc<Self>, jobs: Vec<Waiting>, is_away: bool) -> Vec<Waiting> {
        let now = clock::now();
        let is_over = |job: &Waiting| is_away || now >= job.until;
        let (over, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_over);
        for job in over {
            let accepted = if job.maybe { Accepted::Unknown } else { Accepted::NotStored };
            let is_heard = job.told.send(accepted).is_ok();
            // Its caller left, and asks again elsewhere.
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
        // A caller that left finds its job when it asks again.
        let _ = job.told.send(Accepted::Known);
    }
}

/// How long a caller's job may wait to be stored: a part of the time that the
/// caller waits. One that is close to its deadline is told before it.
pub(super) fn patience(asked: &Asked) -> Duration {
    let deadline = asked.deadline_ms.map_or(ACCEPT, |ms| Duration::from_millis(ms) / PATIENCE);
    ACCEPT.min(deadline).max(PAUSE)
}
