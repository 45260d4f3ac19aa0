//! Polls of workers, which report runs and exits and renew the lease.

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::order::Answer;
use super::proof::Proof;

use crate::task::{Exit, Run};
use crate::worker::{self, Worker};

/// How long a poll waits for an exit: exits are reported as they occur, and a dead connection
/// is noticed after this plus the time of an answer.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// How long a poll waits of an instance that awaits a fence, and can't be used until it was told one.
const FENCE_WAIT: Duration = Duration::from_millis(100);

/// The connection over which a worker is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A new one. It may reach another instance of the worker than the known one.
    New,
    /// The one over which the worker answered the last poll. It ends with that instance.
    Kept,
}

/// A request for the state of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The worker.
    pub worker: worker::Key,
    /// The ID of the worker instance.
    pub id: String,
    /// The address of the worker.
    pub address: SocketAddr,
    /// The owner's fence.
    pub fence: u64,
    /// The end of the renewed lease, in milliseconds on the worker's clock; `None` leaves the
    /// lease as it is.
    pub deadline_ms: Option<u64>,
    /// The number of the last exit that the worker may forget.
    pub acked: u64,
    /// How long the worker waits for an exit before it answers.
    pub wait: Duration,
}

/// A worker's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the worker started, in Unix milliseconds; `None` if it doesn't say.
    pub born_ms: Option<u64>,
    /// The current runs.
    pub running: Vec<Run>,
    /// The exits that the worker has not forgotten, or the first of them.
    pub exits: Vec<Exit>,
    /// Whether there may be more exits than listed. What isn't listed may then have ended or not.
    pub is_cut_short: bool,
}

impl Pool {
    /// Returns the next poll of a worker, or `None` if the worker is gone.
    ///
    /// An unresponsive worker gets no new leases: each lease that is sent to it delays the
    /// restart of its tasks elsewhere.
    ///
    /// The first poll on a connection grants and acknowledges nothing. An instance that started
    /// meanwhile would take a deadline on its predecessor's clock and forget exits that nobody has
    /// read.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Answer, Config, Connection, Pool, Report};
    /// use corianderfork_jobs::worker::Location;
    /// use corianderfork_model::Time;
    ///
    /// let now = Time::from_millis(1);
    /// let mut pool = Pool::new(Config::new(7, now));
    /// let address = ([127, 0, 0, 1], 80).into();
    /// pool.set_roster(vec![Location { id: "w".to_owned(), address, born_ms: None }], 1);
    /// let key = pool.workers().next().expect("a worker");
    /// let poll = pool.next_poll(now, key, Connection::New).expect("a poll");
    /// assert_eq!((poll.deadline_ms, poll.acked), (None, 0));
    /// pool.handle_poll_answer(now, now, key, &Answer::Done(Report::default()));
    /// let poll = pool.next_poll(now, key, Connection::Kept).expect("a poll");
    /// assert!(poll.deadline_ms.is_some());
    /// ```
    pub fn next_poll(
        &mut self,
        now: Time,
        key: worker::Key,
        connection: Connection,
    ) -> Option<Poll> {
        let lease = self.config.lease;
        let newest_fence = self.newest_fence;
        let worker = self.workers.get_mut(key)?;
        // It may reach a later instance, which rejects starts for this one as soon as it answers.
        if connection == Connection::New && worker.fence <= worker.start_fence {
            worker.fence = newest_fence;
        }
        // The last answer may have come from another instance, and didn't count.
        let is_kept = connection == Connection::Kept && worker.is_responsive();
        let is_reachable = is_kept && worker.fenced && !worker.is_silent();
        let deadline_ms = if is_reachable { worker.leases.grant(now, lease) } else { None };
        let wait = match is_reachable && worker.is_responsive() {
            true if worker.rejects_former_starts() => MAX_WAIT,
            true => FENCE_WAIT,
            false => Duration::ZERO,
        };
        worker.polled_fence = worker.fence;
        Some(Poll {
            worker: key,
            id: worker.id.clone(),
            address: worker.address,
            fence: worker.fence,
            deadline_ms,
            acked: if is_kept { worker.acked } else { 0 },
            wait,
        })
    }

    /// Handles the answer to a poll that was sent at `sent`.
    pub fn handle_poll_answer(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        answer: &Answer<Report>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.is_polled = true;
        let is_outdated = worker.polled_fence < worker.fence;
        let ended = match answer {
            Answer::Gone => Some(Proof::Replaced),
            Answer::Done(report) if worker.has_restarted(now, report.born_ms, report.clock_ms) => {
                Some(Proof::Restarted)
            }
            _ => None,
        };
        // What another instance answers says nothing about this one.
        let is_conclusive = ended.is_none_or(|proof| self.may_conclude(now, key, proof));
        let Some(worker) = self.workers.get_mut(key) else { return };
        match answer {
            Answer::Done(report) if is_conclusive => self.handle_report(now, sent, key, report),
            Answer::Fenced if !is_outdated => self.set_deposed(key),
            Answer::Gone if is_conclusive => self.remove_worker(now, key, Proof::Replaced),
            _ => {
                worker.unanswered_polls += 1;
                if worker.unanswered_polls == worker::SILENT_POLLS {
                    self.note(
                        "worker silent",
                        None,
                        Some(key),
                        "two polls without an answer".to_owned(),
                    );
                }
            }
        }
    }

    pub(super) fn set_deposed(&mut self, key: worker::Key) {
        if !self.deposed {
            self.note("deposed", None, Some(key), "the worker saw a higher fence".to_owned());
        }
        self.deposed = true;
    }

    fn handle_report(&mut self, now: Time, sent: Time, key: worker::Key, report: &Report) {
        let Some(key) = self.reporting_instance(now, sent, key, report) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.is_silent() {
            let why = format!("after {} polls without an answer", worker.unanswered_polls);
            self.note("worker answers again", None, Some(key), why);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let location = worker.location();
        let is_same_instance = worker.born_ms.is_some() && worker.born_ms == report.born_ms;
        let may_have_restarted = worker.is_inherited && !worker.fenced && !is_same_instance;
        if may_have_restarted {
            self.lost_inherited_workers.insert(worker.id.clone());
        }
        worker.born_ms = report.born_ms.or(worker.born_ms);
        self.is_roster_outdated |= worker.location() != location;
        worker.reported_clock_ms = report.clock_ms;
        worker.reported_since = sent;
        worker.leases.update_clock(now, report.clock_ms);
        worker.leases.settle(sent);
        worker.unanswered_polls = 0;
        if !worker.fenced {
            worker.fenced = true;
            worker.leases.fence(now);
        }
        let was_rejecting = worker.rejects_former_starts();
        worker.answered_fence = worker.answered_fence.max(worker.polled_fence);
        if !was_rejecting && worker.rejects_former_starts() {
            worker.leases.reject_former_starts(now);
        }
        worker.has_listed_all |= !report.is_cut_short;
        for exit in &report.exits {
            self.handle_listed_exit(now, key, exit);
        }
        for running in &report.running {
            self.handle_running(now, key, running);
        }
        if !report.is_cut_short {
            self.release_unlisted(now, sent, key, report);
        }
        self.expire_orphans(now, key);
        self.advance_ack(key);
    }

    /// Returns the keys of all known workers.
    pub fn workers(&self) -> impl Iterator<Item = worker::Key> + '_ {
        self.workers.keys()
    }

    /// Returns a worker by its ID, if it is known.
    pub fn worker(&self, id: &str) -> Option<(worker::Key, &Worker)> {
        let key = *self.by_id.get(id)?;
        Some((key, self.workers.get(key)?))
    }
}
