//! Looks at workers: they bring what runs and what ended, and renew the lease.

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::order::Answer;

use crate::task::{Exit, Run};
use crate::worker::{self, Worker};

/// How long a look waits for an end: it brings ends as they come, and a silent
/// connection is noticed after this and the time of an answer.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// What to ask a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The worker.
    pub worker: worker::Key,
    /// One life of it.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// The owner's fence.
    pub fence: u64,
    /// Until when, on its clock, it may go on with what it runs; none to leave
    /// that as it is.
    pub deadline_ms: Option<u64>,
    /// The last end that it may forget.
    pub acked: u64,
    /// How long it waits for an end before it answers.
    pub wait: Duration,
}

/// What a worker said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its clock.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<Run>,
    /// What ended there and was not yet forgotten.
    pub exits: Vec<Exit>,
}

impl Pool {
    /// What to ask a worker next; none if there is no such worker any more.
    ///
    /// A worker that doesn't answer is granted nothing more: each grant that is
    /// sent to it puts off the moment at which its tasks may start elsewhere.
    pub fn next_poll(&mut self, now: Time, key: worker::Key) -> Option<Poll> {
        let lease = self.config.lease;
        let worker = self.workers.get_mut(key)?;
        let is_known = worker.fenced && worker.unanswered_polls < 2;
        let deadline_ms = if is_known { worker.grant(now, lease) } else { None };
        let wait = if is_known && worker.is_responsive() { MAX_WAIT } else { Duration::ZERO };
        Some(Poll {
            worker: key,
            id: worker.id.clone(),
            address: worker.address,
            fence: self.config.fence,
            deadline_ms,
            acked: worker.acked,
            wait,
        })
    }

    /// Takes in the answer to a look that was sent at `sent`.
    pub fn handle_poll_answer(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        answer: &Answer<Report>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.is_polled = true;
        match answer {
            Answer::Done(report) => self.handle_report(now, sent, key, report),
            Answer::Fenced => self.set_deposed(key),
            Answer::Gone => self.remove_worker(now, key, "another life of the worker answers"),
            _ => {
                worker.unanswered_polls += 1;
                if worker.unanswered_polls == 2 {
                    self.note(
                        "worker silent",
                        None,
                        Some(key),
                        "two looks without an answer".to_owned(),
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
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.unanswered_polls >= 2 {
            let why = format!("after {} looks without an answer", worker.unanswered_polls);
            self.note("worker answers again", None, Some(key), why);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.update_clock(now, report.clock_ms);
        worker.unanswered_polls = 0;
        if !worker.fenced {
            worker.fenced = true;
            // From here on the worker refuses predecessors: what they granted ends
            // within one lease, however long they go on elsewhere.
            let until = now + worker::max_lease_duration(self.config.lease);
            worker.inherited_until = worker.inherited_until.min(until);
        }
        for ended in &report.exits {
            self.handle_listed_exit(now, key, ended);
        }
        for running in &report.running {
            self.handle_running(now, key, running);
        }
        self.release_unlisted(now, sent, key, report);
        self.expire_orphans(now, key);
        self.advance_ack(key);
    }

    /// The workers that are known.
    pub fn workers(&self) -> impl Iterator<Item = worker::Key> + '_ {
        self.workers.keys()
    }

    /// The worker of this life, if it is known.
    pub fn worker(&self, id: &str) -> Option<(worker::Key, &Worker)> {
        let key = *self.by_id.get(id)?;
        Some((key, self.workers.get(key)?))
    }
}
