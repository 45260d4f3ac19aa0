//! What an entry VM knows of the pressure on queues, and what it decides by it.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;

use super::question::{Lack, Question};
use super::refused::Refused;
use super::{Candidate, MAX_AGE, Refusal, Report, Size};
use crate::job::Room;
use crate::queue::Queue;

/// How long a report or its confirmation is fresh: an accepted job asks for no other within it.
const RENEWAL: Duration = Duration::from_millis(500);
/// How often a report of a queue is asked for at most.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// How long a report is kept whose outline its owner confirms, instead of asking for a whole one.
/// Reports of 34 queues that all refuse take 0.9 kB a second; with one each 500 ms, it would be 9.
const MAX_CONFIRMED: Duration = Duration::from_secs(5);
/// The most organisations remembered as beyond what they are owed. The rest count as owed until the
/// next answer.
const MAX_UNOWED: usize = 64;
/// How long that is remembered.
const UNOWED_TTL: Duration = Duration::from_secs(1);

/// Bounds of `Retry-After`, in seconds.
const MIN_RETRY_AFTER: u64 = 1;
const MAX_RETRY_AFTER: u64 = 4;
/// The most of the lack of room that counts in `Retry-After`. The rest up to [`MAX_RETRY_AFTER`]
/// spreads the callers.
const MAX_COUNTED_EXCESS: Duration = Duration::from_millis(1_500);
/// What is added for each step in size, for a job that isn't owed, and for one that comes for the
/// first time.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// The time over which callers of the same rank are spread, in milliseconds.
const SPREAD_MS: u64 = 2_000;

/// A report, and when it was asked for.
#[derive(Clone, Debug)]
struct Known {
    pool: String,
    report: Report,
    /// When it was asked for or confirmed, less its age then.
    at: Time,
    /// When it was asked for.
    received: Time,
}

/// What an entry VM knows of the pressure on all queues. It does no I/O.
///
/// Missing or old information accepts a job.
///
/// ```
/// use corianderfork_jobs::pressure::{Candidate, Report, View};
/// use corianderfork_jobs::queue::Queue;
/// use corianderfork_jobs::{Job, JobId, Step};
/// use corianderfork_model::Time;
///
/// let (at, queue) = (Time::from_millis, Queue::default());
/// let mut step = Step::new(1);
/// (step.needs.cpu, step.estimate_ms) = (1_000, 800);
/// let job = Candidate::new(JobId(1), &Job::new(String::new(), vec![step])?).unwrap();
/// let mut view = View::default();
/// let report = Report { mean: 800, expiring: [20_000; 3], ..Report::default() };
/// view.note(at(5_000), "q", "pool", Some(report));
/// assert!(view.decide(at(5_100), ("q", "pool"), &queue, &job, true).is_some());
/// assert!(view.decide(at(6_001), ("q", "pool"), &queue, &job, true).is_none());
/// # Ok::<(), corianderfork_jobs::job::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct View {
    queues: HashMap<String, Known>,
    /// When a report of a queue was last asked for.
    asked: HashMap<String, Time>,
    /// Jobs that were refused here.
    refused: Refused,
    /// The pools and organisations of which an owner last replied that the next job isn't owed, and
    /// when that was asked for.
    unowed: HashMap<(String, String), Time>,
}

impl View {
    /// Records what the owner of `pool` answered to a request at `asked`: a report, or that there
    /// is nothing to report.
    pub fn note(&mut self, asked: Time, queue: &str, pool: &str, report: Option<Report>) {
        let age = report.map_or(0, |report| report.age_ms);
        let at = Time::from_millis(asked.as_millis().saturating_sub(age));
        if self.queues.get(queue).is_some_and(|known| known.at > at) {
            return;
        }
        match report.filter(|report| !report.is_clear()) {
            Some(report) => {
                let known = Known { pool: pool.to_owned(), report, at, received: asked };
                self.queues.insert(queue.to_owned(), known);
            }
            None => drop(self.queues.remove(queue)),
        }
    }

    /// Records that the owner of `pool` confirmed, to a request at `asked`, the outline of the report
    /// that is known here.
    pub fn confirm(&mut self, asked: Time, queue: &str, pool: &str) {
        if let Some(known) = self.queues.get_mut(queue).filter(|known| known.pool == pool) {
            known.at = known.at.max(asked);
        }
    }

    /// Returns whether to ask for a report of a queue with an accepted job now, and records that it
    /// is asked for.
    pub fn should_ask(&mut self, now: Time, queue: &str) -> bool {
        let is_fresh = |at: &Time| now - *at < RENEWAL;
        if self.asked.get(queue).is_some_and(is_fresh)
            || self.queues.get(queue).is_some_and(|known| is_fresh(&known.at))
        {
            return false;
        }
        self.asked.insert(queue.to_owned(), now);
        true
    }

    /// Returns the outline of the report that is known of a queue, by which its owner tells whether
    /// a new one is needed; `None` if one is in any case.
    pub fn known_outline(&self, now: Time, route: (&str, &str)) -> Option<u32> {
        let known = self.queues.get(route.0).filter(|known| known.pool == route.1)?;
        (now - known.received < MAX_CONFIRMED).then(|| known.report.outline())
    }

    /// Returns what to ask the owner of a queue's pool before a job is refused.
    pub fn question(&mut self, now: Time, route: (&str, &str), job: &Candidate) -> Question {
        let is_recent = |at: &Time| now - *at < MIN_INTERVAL;
        let known = if self.asked.get(route.0).is_some_and(is_recent) {
            Some(0)
        } else {
            self.asked.insert(route.0.to_owned(), now);
            self.known_outline(now, route)
        };
        let Room { cpu, memory_mb, gpu } = job.least;
        let chain = u64::try_from(job.chain.as_millis()).unwrap_or(u64::MAX);
        Question { work: job.work, chain, least: [cpu, memory_mb, gpu], known }
    }

    /// Returns why a job is refused now; `None` if it is accepted.
    ///
    /// `route` is the queue and its pool. `is_owed` tells whether the job is within what its
    /// organisation is owed a second.
    pub fn decide(
        &self,
        now: Time,
        route: (&str, &str),
        queue: &Queue,
        job: &Candidate,
        is_owed: bool,
    ) -> Option<Refusal> {
        let known = self.queues.get(route.0).filter(|known| known.pool == route.1)?;
        let age = now - known.at;
        if age > MAX_AGE {
            return None;
        }
        let (wait, bearable) = known.report.lack(queue, job, is_owed)?;
        Some(self.refusal(known.report.mean, job, is_owed, (wait, bearable, age)))
    }

    /// Returns the refusal of a job that the owner of a queue's pool would refuse now.
    pub fn refuse(&self, queue: &str, job: &Candidate, is_owed: bool, lack: &Lack) -> Refusal {
        let mean = self.queues.get(queue).map_or(job.work, |known| known.report.mean);
        let millis = Duration::from_millis;
        let inputs = (millis(lack.wait), millis(lack.bearable), millis(lack.age));
        self.refusal(mean, job, is_owed, inputs)
    }

    fn refusal(
        &self,
        mean: u64,
        job: &Candidate,
        is_owed: bool,
        (wait, bearable, age): (Duration, Duration, Duration),
    ) -> Refusal {
        let size = Size::of(job.work, mean);
        let is_repeated = self.refused.contains(job.id);
        let rank = size as u32 + u32::from(!is_owed) + u32::from(!is_repeated);
        let excess = wait.saturating_sub(bearable).min(MAX_COUNTED_EXCESS);
        let spread = Duration::from_millis(mix(job.id.0) % SPREAD_MS);
        let seconds = (excess + RANK_DELAY * rank + spread).as_secs_f64().ceil() as u64;
        let retry_after = seconds.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal { size, is_owed, wait, bearable, age, retry_after }
    }

    /// Records what the owner of `pool` answered to a request at `asked`: whether the next job of an
    /// organisation would be owed.
    ///
    /// An owed job doesn't end the memory of earlier ones that weren't: of an organisation that
    /// floods, single jobs are owed in between, and those that follow have to be asked about again.
    pub fn note_owed(&mut self, asked: Time, pool: &str, organisation: &str, is_owed: bool) {
        self.unowed.retain(|_, at| asked - *at < UNOWED_TTL);
        let key = (pool.to_owned(), organisation.to_owned());
        if !is_owed && (self.unowed.len() < MAX_UNOWED || self.unowed.contains_key(&key)) {
            let at = self.unowed.entry(key).or_insert(asked);
            *at = asked.max(*at);
        }
    }

    /// Returns whether the next job of an organisation may be taken as owed, by the last answers of
    /// the owner of `pool`. It tells whether to ask the owner before a refusal: only its answer to
    /// that decides.
    pub fn seems_owed(&self, now: Time, pool: &str, organisation: &str) -> bool {
        let is_known = |(key, at): (&(String, String), &Time)| {
            key.0 == pool && key.1 == organisation && now - *at < UNOWED_TTL
        };
        !self.unowed.iter().any(is_known)
    }

    /// Records that a job was refused. The cost doesn't depend on the number of jobs remembered.
    pub fn note_refused(&mut self, now: Time, job: &Candidate) {
        self.refused.add(now, job.id);
    }
}

/// Spreads IDs evenly, whatever the pattern in which callers choose them.
fn mix(id: u64) -> u64 {
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
