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
use super::lookup_log::PoolLookup;
use crate::admission::{Admission, Submission};
use crate::attempts::Attempts;
use crate::clock;
use crate::lookup::LookupStep;
use crate::placement::QueueRecord;
use crate::server::HttpRequest;
use crate::store::Error;

/// How long storing a job is attempted before the response reports that it wasn't stored. This is
/// within a quarter of the time that callers wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// The fraction of a caller's deadline within which its job is to be stored, as a divisor.
const DEADLINE_DIVISOR: u32 = 4;
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// The most writes of jobs in flight: further ones are sent while the first waits for its
/// response.
const MAX_WRITES: usize = 4;

/// The outcome of a submission.
pub(super) enum StoreResult {
    /// It is stored in this pool, at this revision.
    Stored(String, u64),
    /// It was stored before.
    Known,
    /// Another organisation's job has its ID.
    Foreign,
    /// It was not stored and never will be.
    NotStored,
    /// It is not known whether it was stored.
    Unknown,
}

/// A job that waits for its write.
pub(super) struct PendingJob {
    /// Identifies this attempt among those of the same job.
    attempt: u64,
    submission: Submission,
    deadline: Time,
    /// Whether a write of it may have been carried out unconfirmed.
    may_be_written: bool,
    result_sender: oneshot::Sender<StoreResult>,
    /// Held while a write includes the job.
    in_flight: Option<InFlight>,
}

/// Counts an attempt to store a job, a write that includes it, or a notification of its owner until
/// dropped. A write continues after its caller's time is over.
pub(super) struct InFlight {
    attempts: Rc<RefCell<Attempts>>,
    id: String,
}

impl InFlight {
    pub(super) fn new(attempts: &Rc<RefCell<Attempts>>, id: &str) -> Self {
        attempts.borrow_mut().begin(id);
        Self { attempts: attempts.clone(), id: id.to_owned() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.attempts.borrow_mut().end(&self.id);
    }
}

impl Gateway {
    /// Stores a job; gives up after `within`.
    pub(super) async fn store(
        self: &Rc<Self>,
        submission: Submission,
        within: Duration,
    ) -> StoreResult {
        let (result_sender, result) = oneshot::channel();
        let (attempt, deadline) = (self.submission_count.get(), clock::now() + within);
        self.submission_count.set(attempt + 1);
        let _in_flight = InFlight::new(&self.node.attempts, &submission.id);
        let job = PendingJob {
            attempt,
            submission,
            deadline,
            may_be_written: false,
            result_sender,
            in_flight: None,
        };
        self.pending_jobs.borrow_mut().push_back(job);
        self.start_write();
        match timeout(within, result).await {
            Ok(result) => result.unwrap_or(StoreResult::Unknown),
            Err(_) => self.withdraw(attempt),
        }
    }

    /// Gives up on a job whose time is over. If it still waits for its write, it is
    /// certainly not stored; a write in flight may still be carried out.
    fn withdraw(&self, attempt: u64) -> StoreResult {
        let mut pending_jobs = self.pending_jobs.borrow_mut();
        let len_before = pending_jobs.len();
        pending_jobs.retain(|job| job.attempt != attempt || job.may_be_written);
        if pending_jobs.len() < len_before { StoreResult::NotStored } else { StoreResult::Unknown }
    }

    /// Starts a write of waiting jobs, unless enough writes are in flight. Jobs that arrive
    /// meanwhile go into the next one together.
    fn start_write(self: &Rc<Self>) {
        if self.writes_in_flight.get() >= MAX_WRITES || self.pending_jobs.borrow().is_empty() {
            return;
        }
        let count = self.admission(self.pending_jobs.borrow().iter()).count();
        let mut jobs: Vec<PendingJob> = self.pending_jobs.borrow_mut().drain(..count).collect();
        for job in &mut jobs {
            job.in_flight = Some(InFlight::new(&self.node.attempts, &job.submission.id));
        }
        self.writes_in_flight.set(self.writes_in_flight.get() + 1);
        let gateway = self.clone();
        spawn_local(async move {
            gateway.write(jobs).await;
            gateway.writes_in_flight.set(gateway.writes_in_flight.get() - 1);
            gateway.start_write();
        });
    }

    /// Returns the admission of the jobs that fit in one write, given what is known of their
    /// queues.
    fn admission<'a>(&self, jobs: impl Iterator<Item = &'a PendingJob>) -> Admission {
        let table = self.node.table.borrow();
        Admission::new(jobs.map(|job| &job.submission), &table)
    }

    /// Updates queues' records. Returns whether any of them changed.
    fn update_queues(&self, records: Vec<(String, QueueRecord)>) -> bool {
        let mut table = self.node.table.borrow_mut();
        records.into_iter().fold(false, |is_changed, (queue, record)| {
            // `update_queue` comes first so that every record is updated.
            table.update_queue(&queue, record) || is_changed
        })
    }

    /// Retries a write of jobs until each is known to be stored or its time is over.
    async fn write(self: &Rc<Self>, mut jobs: Vec<PendingJob>) {
        while !jobs.is_empty() {
            // A job that is not sent is refused later with the certainty that it isn't stored.
            if !self.node.store.is_answering().await {
                jobs = self.give_up(jobs, self.node.store.is_down());
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let admission = self.admission(jobs.iter());
            // Jobs of a queue that was just moved to another pool need more rows.
            for mut job in jobs.drain(admission.count()..).rev() {
                job.in_flight = None;
                self.pending_jobs.borrow_mut().push_front(job);
            }
            jobs = self.resolve_unchecked(&admission, jobs).await;
            if jobs.is_empty() {
                return;
            }
            let txn = admission.txn(jobs.iter().map(|job| &job.submission));
            let mut is_changed = false;
            match self.node.store.txn(&txn).await {
                Ok(Outcome::Written(revision)) => {
                    self.update_queues(admission.written_records(revision));
                    for job in jobs {
                        let pool = admission.pool(&job.submission).to_owned();
                        // A caller that left finds its job when it retries.
                        let _ = job.result_sender.send(StoreResult::Stored(pool, revision));
                    }
                    return;
                }
                Ok(Outcome::Conflict(items)) => {
                    is_changed = self.update_queues(admission.conflicting_records(&items));
                    let is_stored = |job: &PendingJob| admission.is_stored(&job.submission, &items);
                    let (stored, remaining): (Vec<_>, Vec<_>) =
                        jobs.into_iter().partition(is_stored);
                    is_changed |= !stored.is_empty();
                    jobs = remaining;
                    let (foreign, known): (Vec<_>, Vec<_>) = stored
                        .into_iter()
                        .partition(|job| admission.is_foreign(&job.submission, &items));
                    report(known, || StoreResult::Known);
                    report(foreign, || StoreResult::Foreign);
                }
                Ok(Outcome::NoLease) | Err(Error::Unknown) => {
                    jobs.iter_mut().for_each(|job| job.may_be_written = true);
                }
                Err(Error::NotDone(_)) => {}
            }
            jobs = self.give_up(jobs, self.node.store.is_down());
            if !is_changed {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Checks the earlier pools that don't fit into the write. Reports the jobs found there
    /// and returns the others; where a pool can't be read, the job is given up.
    async fn resolve_unchecked(
        self: &Rc<Self>,
        admission: &Admission,
        jobs: Vec<PendingJob>,
    ) -> Vec<PendingJob> {
        let mut remaining = Vec::new();
        'jobs: for job in jobs {
            for pool in admission.unchecked_pools(&job.submission) {
                let mut log = PoolLookup::store_only(pool);
                let Submission { id, identity, .. } = &job.submission;
                match self.look_up(pool, id, identity, &mut log).await {
                    Ok(LookupStep::Absent) => {}
                    Ok(LookupStep::Foreign) => {
                        report(vec![job], || StoreResult::Foreign);
                        continue 'jobs;
                    }
                    Ok(_) => {
                        report(vec![job], || StoreResult::Known);
                        continue 'jobs;
                    }
                    Err(_) => {
                        self.give_up(vec![job], true);
                        continue 'jobs;
                    }
                }
            }
            remaining.push(job);
        }
        remaining
    }

    /// Gives up jobs whose time is over, or all if the store is down. Returns the others.
    fn give_up(self: &Rc<Self>, jobs: Vec<PendingJob>, is_down: bool) -> Vec<PendingJob> {
        let now = clock::now();
        let is_expired = |job: &PendingJob| is_down || now >= job.deadline;
        let (expired, remaining): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_expired);
        for job in expired {
            let result =
                if job.may_be_written { StoreResult::Unknown } else { StoreResult::NotStored };
            let is_received = job.result_sender.send(result).is_ok();
            // The caller left and may retry at another entry VM.
            if job.may_be_written && !is_received {
                let gateway = self.clone();
                spawn_local(async move { gateway.note_unsure(&job.submission.id).await });
            }
        }
        remaining
    }
}

fn report(jobs: Vec<PendingJob>, result: impl Fn() -> StoreResult) {
    for job in jobs {
        // A caller that left finds its job when it retries.
        let _ = job.result_sender.send(result());
    }
}

/// Returns how long a job may wait to be stored: a fraction of the caller's deadline, so
/// that a caller with a short deadline gets its response before it.
pub(super) fn store_timeout(request: &HttpRequest) -> Duration {
    let deadline = request
        .deadline_ms
        .map_or(STORE_TIMEOUT, |ms| Duration::from_millis(ms) / DEADLINE_DIVISOR);
    STORE_TIMEOUT.min(deadline).max(RETRY_PAUSE)
}
