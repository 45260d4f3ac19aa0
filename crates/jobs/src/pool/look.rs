//! Looks at workers: they bring what runs and what ended, and renew the lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::order::Answer;
use super::table::{At, Entry, Phase, Place};
use crate::record::State;
use crate::task::{self, Ended, How, Running};
use crate::worker::{self, Hosted, Pending, Stray, Worker};

/// How long a look waits for an end: it brings ends as they come, and a silent
/// connection is noticed after this and the time of an answer.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long an end of an unknown job is kept for the job to become known. The
/// store tells of an accepted job within milliseconds; a watch that went silent
/// is noticed within two seconds.
const ORPHAN: Duration = Duration::from_secs(4);
/// After how many failed runs in a row, of different jobs, a worker is avoided:
/// one that fails everything at once looks idle and would draw all work.
const FAILURES: u32 = 3;
/// How long a worker is avoided that fails or stalls what it runs.
pub(super) const AVOID: Duration = Duration::from_secs(5);
/// The pause before a failed task is started anew.
const RETRY: Duration = Duration::from_millis(50);

/// What to ask a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Look {
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
    pub seen: u64,
    /// How long it waits for an end before it answers.
    pub wait: Duration,
}

/// What a worker said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its clock.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<Running>,
    /// What ended there and was not yet forgotten.
    pub ended: Vec<Ended>,
}

impl Pool {
    /// What to ask a worker next; none if there is no such worker any more.
    ///
    /// A worker that doesn't answer is granted nothing more: each grant that is
    /// sent to it puts off the moment at which its tasks may start elsewhere.
    pub fn next_look(&mut self, now: Time, key: worker::Key) -> Option<Look> {
        let lease = self.config.lease;
        let worker = self.workers.get_mut(key)?;
        let is_known = worker.fenced && worker.unanswered < 2;
        let deadline_ms = if is_known { worker.grant(now, lease) } else { None };
        let wait = if is_known && worker.answers() { WAIT } else { Duration::ZERO };
        Some(Look {
            worker: key,
            id: worker.id.clone(),
            address: worker.address,
            fence: self.config.fence,
            deadline_ms,
            seen: worker.seen,
            wait,
        })
    }

    /// Takes in the answer to a look that was sent at `sent`.
    pub fn looked(&mut self, now: Time, sent: Time, key: worker::Key, answer: &Answer<Report>) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.tried = true;
        match answer {
            Answer::Done(report) => self.take_report(now, sent, key, report),
            Answer::Fenced => self.depose(key),
            Answer::Gone => self.remove_worker(now, key, "another life of the worker answers"),
            _ => {
                worker.unanswered += 1;
                if worker.unanswered == 2 {
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

    pub(super) fn depose(&mut self, key: worker::Key) {
        if !self.deposed {
            self.note("deposed", None, Some(key), "the worker saw a higher fence".to_owned());
        }
        self.deposed = true;
    }

    fn take_report(&mut self, now: Time, sent: Time, key: worker::Key, report: &Report) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.unanswered >= 2 {
            let why = format!("after {} looks without an answer", worker.unanswered);
            self.note("worker answers again", None, Some(key), why);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.heard(now, report.clock_ms);
        worker.unanswered = 0;
        worker.fenced = true;
        for ended in &report.ended {
            self.take_end_once(now, key, ended);
        }
        for running in &report.running {
            self.take_running(now, key, running);
        }
        self.drop_absent(now, sent, key, report);
        self.expire_orphans(now, key);
        self.advance_seen(key);
    }

    fn take_end_once(&mut self, now: Time, key: worker::Key, ended: &Ended) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if ended.number <= worker.taken {
            return;
        }
        worker.taken = ended.number;
        worker.strays.remove(&ended.task);
        self.take_end(now, key, ended);
    }

    /// Takes in that a run ended.
    pub(super) fn take_end(&mut self, now: Time, key: worker::Key, ended: &Ended) {
        let name = ended.task;
        if self.entry(name.job).is_none() {
            let Some(worker) = self.workers.get_mut(key) else { return };
            worker.orphans.push(ended.clone());
            worker.pending.insert(ended.number, Pending::Unknown { until: now + ORPHAN });
            worker.release(name, ended.run);
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(name, ended.run);
            worker.pending.remove(&ended.number);
        }
        let began = self.clear_place(now, key, ended);
        match ended.how {
            How::Done => self.task_done(now, key, ended, began),
            How::Failed => self.task_failed(now, key, ended, began.is_some()),
            _ => {}
        }
    }

    /// Frees the task if this was its current run, and tells since when that ran;
    /// keeps its progress.
    fn clear_place(&mut self, now: Time, key: worker::Key, ended: &Ended) -> Option<Time> {
        let entry = self.entry_mut(ended.task.job)?;
        let task = entry.task_mut(ended.task)?;
        if !ended.saved.is_empty() {
            task.saved = Rc::from(ended.saved.as_str());
        }
        let At::On(place) = &task.at else { return None };
        if place.worker != key || place.run != ended.run {
            return None;
        }
        let since = place.since;
        let why = format!("{:?} after {} ms", ended.how, worker::millis(now - place.since));
        entry.put(ended.task, At::Waiting);
        if let Some(task) = entry.task_mut(ended.task) {
            task.not_before = now;
        }
        self.note("task ended", Some(ended.task), Some(key), why);
        Some(since)
    }

    /// Learns how long a task took, unless it went on from saved progress.
    fn learn(&mut self, now: Time, name: task::Name, began: Option<Time>) {
        let (Some(began), Some(entry)) = (began, self.entry(name.job)) else { return };
        let is_whole = entry.task(name).is_some_and(|task| task.saved.is_empty());
        let (queue, declared) =
            (entry.queue.clone(), entry.step(name).map_or(0, |step| step.estimate_ms));
        if is_whole && declared > 0 {
            let actual = worker::millis(now - began);
            self.estimates.entry(queue).or_default().learn(declared, actual);
        }
    }

    fn task_done(&mut self, now: Time, key: worker::Key, ended: &Ended, began: Option<Time>) {
        let name = ended.task;
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures = 0;
        }
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.lasts || entry.state.is_final() {
            return;
        }
        self.learn(now, name, began);
        let Some(entry) = self.entry_mut(name.job) else { return };
        let is_gang = entry.step(name).is_some_and(|step| step.gang);
        let members = if is_gang { entry.step(name).map_or(1, |step| step.count) } else { 1 };
        for member in 0..members {
            let index = if is_gang { member } else { name.index };
            self.set_done(now, task::Name { index, ..name }, is_gang);
        }
        let Some(entry) = self.entry_mut(name.job) else { return };
        let is_all = entry.finish(name.occurrence);
        let version = if is_all {
            self.end_job(now, name.job, State::Completed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            self.touch(now, name.job, false)
        };
        self.set_pending(key, ended.number, Pending::Written { job: name.job, version });
    }

    /// Notes a task as done. A run of it elsewhere goes on until it is stopped,
    /// and takes room until then: it is a stray from now on.
    fn set_done(&mut self, now: Time, name: task::Name, is_member: bool) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        let place = entry.place(name).map(|place| (place.worker, place.run));
        entry.put(name, At::Done);
        // Members of a gang end by themselves, together.
        let Some((key, run)) = place.filter(|_| !is_member) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let stray = Stray { run, since: now, asked: None, is_sized: true, is_over: true };
        worker.strays.insert(name, stray);
        self.note("task done elsewhere", Some(name), Some(key), format!("run {run} is stopped"));
    }

    fn task_failed(&mut self, now: Time, key: worker::Key, ended: &Ended, was_current: bool) {
        let name = ended.task;
        self.blame(now, key, name);
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.lasts {
            if was_current {
                self.requeue(name, now + RETRY);
            }
            return;
        }
        if entry.state.is_final() {
            return;
        }
        let queue = entry.queue.clone();
        let attempts = self.queue(&queue).attempts.max(1);
        let Some(failed) = self.count_failure(name, ended.run) else { return };
        let version = if failed >= attempts {
            self.end_job(now, name.job, State::Failed);
            self.entry(name.job).map_or(0, |entry| entry.version)
        } else {
            if was_current {
                self.requeue(name, now + RETRY);
            }
            self.touch(now, name.job, false)
        };
        self.set_pending(key, ended.number, Pending::Written { job: name.job, version });
    }

    /// Counts a failed run once, however often its end is listed; a gang's run
    /// once, whoever of it failed. The runs of a gang are kept at its first
    /// member.
    fn count_failure(&mut self, name: task::Name, run: u64) -> Option<u32> {
        let entry = self.entry_mut(name.job)?;
        let index = if entry.step(name)?.gang { 0 } else { name.index };
        let task = entry.task_mut(task::Name { index, ..name })?;
        if !task.failed.contains(&run) {
            task.failed.push(run);
        }
        u32::try_from(task.failed.len()).ok()
    }

    /// Counts failures of different jobs in a row against the worker: one
    /// hopeless job must not condemn the workers that it failed on.
    fn blame(&mut self, now: Time, key: worker::Key, name: task::Name) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.failed_job == Some(name.job) {
            return;
        }
        worker.failed_job = Some(name.job);
        worker.failures += 1;
        if worker.failures >= FAILURES && now >= worker.avoid_until {
            worker.avoid_until = now + AVOID;
            worker.failures = FAILURES - 1;
            let why = format!("{FAILURES} runs of different jobs failed in a row");
            self.note("worker avoided", Some(name), Some(key), why);
        }
    }

    fn take_running(&mut self, now: Time, key: worker::Key, running: &Running) {
        let name = running.task;
        let Some(entry) = self.entry_mut(name.job) else {
            return self.take_stray(now, key, running);
        };
        let is_final = entry.state.is_final();
        let Some(task) = entry.task_mut(name) else {
            return self.take_stray(now, key, running);
        };
        match &mut task.at {
            At::On(place) if place.worker == key && place.run == running.run => {
                place.listed(now, running);
                if !running.saved.is_empty() && *task.saved != *running.saved {
                    task.saved = Rc::from(running.saved.as_str());
                }
                self.mark_running(name);
            }
            At::Waiting if !is_final => self.adopt(now, key, running),
            _ => self.take_stray(now, key, running),
        }
    }

    fn mark_running(&mut self, name: task::Name) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        if entry.state == State::Queued {
            entry.state = State::Running;
        }
    }

    /// Takes over a run that a predecessor started.
    fn adopt(&mut self, now: Time, key: worker::Key, running: &Running) {
        let name = running.task;
        let Some(entry) = self.entry_mut(name.job) else { return };
        let Some(room) = entry.step(name).map(super::super::job::Step::room) else { return };
        let mut place = Place::new(key, running.run, now, Phase::Running { confirmed: now });
        place.listed(now, running);
        entry.put(name, At::On(place));
        if let Some(worker) = self.workers.get_mut(key) {
            worker.strays.remove(&name);
            worker.host(name, running.run, room);
        }
        self.mark_running(name);
        self.note("task adopted", Some(name), Some(key), format!("run {}", running.run));
    }

    /// A run that nobody asked for: its job is over, or not known yet. It takes
    /// room all the same.
    fn take_stray(&mut self, now: Time, key: worker::Key, running: &Running) {
        let step = self.entry(running.task.job).and_then(|entry| entry.step(running.task));
        let known = step.map(super::super::job::Step::room);
        let room = known.unwrap_or_default();
        let is_over = self.entry(running.task.job).is_some_and(|entry| entry.state.is_final());
        let Some(worker) = self.workers.get_mut(key) else { return };
        let fresh =
            Stray { run: running.run, since: now, asked: None, is_sized: known.is_some(), is_over };
        let stray = worker.strays.entry(running.task).or_insert(fresh);
        if stray.run != running.run {
            *stray = fresh;
        }
        stray.is_over |= is_over;
        let is_hosted = worker.hosted.get(&running.task).is_some_and(|h| h.run == running.run);
        if !is_hosted {
            worker.host(running.task, running.run, room);
        }
    }

    /// Frees what the worker neither runs nor lists as ended, though it was
    /// confirmed before the look was sent: its end was forgotten, or its job is
    /// over.
    fn drop_absent(&mut self, now: Time, sent: Time, key: worker::Key, report: &Report) {
        let Some(worker) = self.workers.get(key) else { return };
        let is_listed = |name: &task::Name, run: u64| {
            report.running.iter().any(|r| r.task == *name && r.run == run)
        };
        let absent: Vec<(task::Name, Hosted)> = worker
            .hosted
            .iter()
            .filter(|(name, hosted)| !is_listed(name, hosted.run))
            .map(|(name, hosted)| (*name, *hosted))
            .collect();
        for (name, hosted) in absent {
            self.drop_if_over(now, sent, key, name, hosted.run);
        }
    }

    fn drop_if_over(
        &mut self,
        now: Time,
        sent: Time,
        key: worker::Key,
        name: task::Name,
        run: u64,
    ) {
        let place = self.entry(name.job).and_then(|entry| entry.place(name));
        let current = place.filter(|place| place.worker == key && place.run == run);
        let is_over = match current.map(|place| place.phase) {
            Some(Phase::Starting { .. }) => false,
            Some(Phase::Running { confirmed }) => confirmed < sent,
            Some(Phase::Stopping { confirmed, .. }) => confirmed.is_some_and(|at| at < sent),
            None => true,
        };
        if !is_over {
            return;
        }
        let is_current = current.is_some();
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(name, run);
            worker.strays.remove(&name);
        }
        if is_current {
            self.requeue(name, now);
            self.note("task vanished", Some(name), Some(key), format!("run {run} is not listed"));
        }
    }

    fn expire_orphans(&mut self, now: Time, key: worker::Key) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_over =
            |pending: &Pending| matches!(pending, Pending::Unknown { until } if now >= *until);
        let over: Vec<u64> =
            worker.pending.iter().filter(|(_, p)| is_over(p)).map(|(n, _)| *n).collect();
        for number in over {
            worker.pending.remove(&number);
            worker.orphans.retain(|ended| ended.number != number);
        }
    }

    /// Lets the worker forget ends up to the first that isn't written.
    pub(super) fn advance_seen(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else { return };
        let is_open = |pending: &Pending| match pending {
            Pending::Written { job, version } => {
                self.entry(*job).is_some_and(|entry| entry.written < *version)
            }
            Pending::Unknown { .. } => true,
        };
        let first_open = worker.pending.iter().find(|(_, p)| is_open(p)).map(|(n, _)| *n);
        let seen = first_open.map_or(worker.taken, |number| number - 1);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.seen = worker.seen.max(seen);
            worker.pending.retain(|number, _| *number > seen);
        }
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

impl Entry {
    pub(super) fn place(&self, name: task::Name) -> Option<&Place> {
        match &self.task(name)?.at {
            At::On(place) => Some(place),
            _ => None,
        }
    }

    pub(super) fn place_mut(&mut self, name: task::Name) -> Option<&mut Place> {
        match &mut self.task_mut(name)?.at {
            At::On(place) => Some(place),
            _ => None,
        }
    }
}

impl Place {
    pub(super) fn new(worker: worker::Key, run: u64, now: Time, phase: Phase) -> Self {
        Self {
            worker,
            run,
            since: now,
            phase,
            lost: false,
            percent: 0,
            moved: now,
            pace: 100,
            pace_asked: Time::ZERO,
            gauge: 0,
        }
    }

    fn listed(&mut self, now: Time, running: &Running) {
        if let Phase::Starting { .. } = self.phase {
            self.phase = Phase::Running { confirmed: now };
        }
        if running.percent != self.percent {
            self.percent = running.percent;
            self.moved = now;
        }
        self.gauge = running.gauge;
    }
}
