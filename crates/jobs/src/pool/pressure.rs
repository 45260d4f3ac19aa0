//! What the owner of a pool reports of the jobs that it can't serve.
//!
//! The estimate errs towards accepting: work counts only if it goes before a new job by the pool's
//! order, workers count from the moment at which they are expected, and a job counts as served too
//! late only if that has held for a while.

mod monitor;

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Occurrence};
use super::{Pool, worker};
use crate::contention::Order;
use crate::job::{Room, chain_ms};
use crate::pressure::{Lack, MAX_AGE, Question, Report, Size, declared_work};
use crate::work::Work;
pub(super) use monitor::Monitor;
use monitor::{SETTLING, SizeProfile, Wait};

/// The least time between two estimates, and how many jobs that haven't ended lengthen it by as much
/// again: an estimate of 20,000 jobs takes as long as [`Pool::load`], some 15 ms.
const INTERVAL: Duration = Duration::from_millis(100);
const JOBS_PER_INTERVAL: usize = 10_000;
const MAX_INTERVAL: Duration = Duration::from_millis(220);
/// The longest time between two estimates of a period that counts as whole.
const MAX_GAP: Duration = Duration::from_millis(300);
/// How long a size that the planner told holds: it tells it ten times a second.
const TARGET_TTL: Duration = Duration::from_secs(1);
/// By how much the work before a job has to exceed what fits before its last start. It covers the
/// errors of predicted durations and of taking all workers for one. It is not measured.
const MARGIN: f64 = 1.25;
/// For how long the measured rate of arrivals is assumed to go on. The busy time of a queue may end
/// after any second.
const ARRIVALS_HORIZON: Duration = Duration::from_secs(1);
/// The width in which deadlines are summed up, in milliseconds.
const BUCKET_MS: u64 = 100;
/// The work that goes before others.
#[derive(Debug, Default)]
struct Backlog {
    /// What is left of running tasks.
    running: Work,
    /// Work of jobs that can be in time, by priority and deadline.
    by_deadline: BTreeMap<(u32, u64), Work>,
    /// Work of owed jobs that can be done before they expire, by priority and the last moment at
    /// which they have to start for that.
    by_last_start: BTreeMap<(u32, u64), Work>,
    /// What arrives and goes before late jobs.
    arriving: Work,
}

impl Backlog {
    /// Returns the work before a job with the operators' priority and the given time.
    fn before(&self, map: &BTreeMap<(u32, u64), Work>, priority: u32, time: Time) -> Work {
        let mut work = self.running;
        map.range(..(priority, bucket(time))).for_each(|(_, part)| work.add(part));
        work
    }
}

impl Pool {
    /// Records the number of workers that the planner means the pool to have, with those that are
    /// on their way. Without it, nothing is reported: more workers may be expected.
    pub fn set_target_size(&mut self, now: Time, workers: u32) {
        self.pressure.target = Some((now, workers));
    }

    /// Returns which jobs of a queue can't be served, as of the last plan; `None` if all can be, or
    /// if too little is known.
    pub fn pressure(&self, now: Time, queue: &str) -> Option<Report> {
        let updated = self.pressure.updated.filter(|at| now - *at <= MAX_AGE)?;
        let profile = self.pressure.queues.get(queue)?;
        let waits = |wait: fn(&SizeProfile) -> &Wait| {
            Size::ALL.map(|size| wait(&profile.sizes[size as usize]).sustained(updated))
        };
        let report = Report {
            mean: profile.mean_work as u64,
            free: self.pressure.free,
            expiring: waits(|size| &size.expiring),
            late: waits(|size| &size.late),
            age_ms: worker::millis(now - updated),
        };
        Some(report).filter(|report| !report.is_clear())
    }

    /// Returns why a job of a queue would be refused, as of the last plan; `None` if it can be
    /// served.
    pub fn lack(&self, now: Time, queue: &str, question: &Question, is_owed: bool) -> Option<Lack> {
        self.pressure(now, queue)?.answer(&self.queue(queue), question, is_owed)
    }

    /// Records an accepted job for the means of its queue.
    pub(super) fn note_pressure_job(&mut self, entry: &Entry, chain: Duration) {
        let is_refusable = !entry.long_running
            && entry.schedule.is_none()
            && !entry.steps.iter().any(|step| step.gang);
        if self.config.contention.refuse && is_refusable {
            self.pressure.note_job(&entry.queue, declared_work(&entry.steps), chain);
        }
    }

    /// Estimates which jobs can't be served, if that is due, after the tasks that fit were placed.
    pub(super) fn update_pressure(&mut self, now: Time) {
        let last = self.pressure.updated;
        let interval = INTERVAL.mul_f64(1.0 + self.active.len() as f64 / JOBS_PER_INTERVAL as f64);
        let interval = interval.min(MAX_INTERVAL);
        if !self.config.contention.refuse || last.is_some_and(|last| now - last < interval) {
            return;
        }
        if last.is_some_and(|last| now - last > MAX_GAP) {
            self.pressure.clear();
        }
        self.pressure.updated = Some(now);
        let was_pressed = self.pressed_queues(now);
        match self.capacity(now) {
            Some(capacity) => {
                let backlog = self.pressure_backlog(now);
                self.estimate_waits(now, &capacity, &backlog);
                self.note_pressure(now, &was_pressed, &capacity, &backlog);
            }
            None => self.pressure.clear(),
        }
    }

    /// Returns the work a second of the workers of the pool and those expected; `None` if that is
    /// not known, or if nothing waits.
    fn capacity(&mut self, now: Time) -> Option<Work> {
        let (mut count, mut room, mut free) = (0_u32, Room::default(), Room::default());
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            let mut usable = worker.room;
            usable.sub(&self.long_running_room(worker));
            let mut left = worker.room;
            left.sub(&worker.used);
            worker.reserved.values().for_each(|reserved| left.sub(reserved));
            room.add(&usable);
            free.cpu = free.cpu.max(left.cpu);
            free.memory_mb = free.memory_mb.max(left.memory_mb);
            free.gpu = free.gpu.max(left.gpu);
            count += 1;
        }
        self.pressure.free = free;
        let is_growing = self.pressure.is_growing(now, count);
        let is_open = self.gate_is_open_to_all() && self.is_every_inherited_worker_polled();
        let open_since = if is_open { self.pressure.open_since.or(Some(now)) } else { None };
        self.pressure.open_since = open_since;
        let is_settled = open_since.is_some_and(|since| now - since >= SETTLING);
        let (told, target) = self.pressure.target?;
        if !is_settled || is_growing || count == 0 || now - told > TARGET_TTL {
            return None;
        }
        self.ranking.least_cpu()?;
        let expected = f64::from(target.max(count)) / f64::from(count);
        Some(Work::of(&room, Duration::from_secs(1)).times(expected))
    }

    /// Returns the work that is known, in time linear in the jobs that haven't ended.
    fn pressure_backlog(&self, now: Time) -> Backlog {
        let mut backlog = Backlog::default();
        for entry in self.active_jobs() {
            // Tasks that wait for a limit or a label leave the room to others.
            let is_blocked = entry.organisation.is_some_and(|key| self.accounts.is_blocked(key));
            let is_special = entry.steps.iter().any(|step| step.gang || step.label.is_some());
            if entry.long_running || is_blocked || is_special || !self.may_start(entry) {
                continue;
            }
            let priority = self.queues.get(&entry.queue).map_or(u32::MAX, |queue| queue.priority);
            for occurrence in entry.occurrences.values() {
                self.add_pressure(now, entry, priority, occurrence, &mut backlog);
            }
        }
        // Where late jobs go first when they are about to expire, arriving ones don't go before.
        if self.config.contention.order != Order::Deadline {
            backlog.arriving = self.flow.steady(now).times(ARRIVALS_HORIZON.as_secs_f64());
        }
        backlog
    }

    fn add_pressure(
        &self,
        now: Time,
        entry: &Entry,
        priority: u32,
        occurrence: &Occurrence,
        backlog: &mut Backlog,
    ) {
        let (mut waiting, mut durations) = (Work::default(), Vec::with_capacity(entry.steps.len()));
        let estimate = self.estimates.get(&entry.queue);
        for (step, state) in entry.steps.iter().zip(&occurrence.steps) {
            let declared = step.estimate_ms;
            let predicted = estimate.map_or(declared, |estimate| estimate.predict(declared));
            let duration = Duration::from_millis(predicted);
            let room = step.room();
            waiting.add(&Work::of(&room.times(state.waiting), duration));
            // Half of it is left of a running task on average.
            let running = state.unfinished.saturating_sub(state.waiting);
            backlog.running.add(&Work::of(&room.times(running), duration / 2));
            durations.push(if state.unfinished > 0 { worker::millis(duration) } else { 0 });
        }
        let left = Duration::from_millis(chain_ms(&entry.steps, |step, _| durations[step]));
        let (deadline, expiry) = (entry.deadline(occurrence), entry.expiry(occurrence));
        if now + left <= deadline {
            backlog.by_deadline.entry((priority, bucket(deadline))).or_default().add(&waiting);
        }
        // Only owed jobs are refused by this, and jobs that aren't owed yield to them.
        if entry.is_owed && now + left <= expiry {
            let last_start = before(expiry, left);
            backlog.by_last_start.entry((priority, bucket(last_start))).or_default().add(&waiting);
        }
    }

    fn estimate_waits(&mut self, now: Time, capacity: &Work, backlog: &Backlog) {
        let queues = &self.queues;
        for (name, profile) in &mut self.pressure.queues {
            let queue = queues.get(name).cloned().unwrap_or_default();
            for size in profile.sizes.iter_mut().filter(|size| size.samples > 0.0) {
                let chain = Duration::from_secs_f64(size.chain);
                let allowed = chain.mul_f64(queue.stretch.clamp(0.0, 100.0)) + queue.slack;
                let before_deadline =
                    backlog.before(&backlog.by_deadline, queue.priority, now + allowed);
                let late = wait(&before_deadline, capacity)
                    .filter(|wait| *wait > allowed.saturating_sub(chain));
                let last_start = (allowed * 3).saturating_sub(chain);
                let mut before_expiry =
                    backlog.before(&backlog.by_last_start, queue.priority, now + last_start);
                before_expiry.add(&backlog.arriving);
                // A job that can be in time goes before all that can't.
                let expiring = late
                    .and_then(|_| wait(&before_expiry, capacity))
                    .filter(|wait| *wait > last_start);
                size.late.set(now, late);
                size.expiring.set(now, expiring);
            }
        }
    }

    /// Returns the queues of which something is reported.
    fn pressed_queues(&self, now: Time) -> Vec<String> {
        let is_pressed = |name: &&String| self.pressure(now, name).is_some();
        self.pressure.queues.keys().filter(is_pressed).cloned().collect()
    }

    /// Logs the queues of which jobs can't be served from now on.
    fn note_pressure(&mut self, now: Time, before: &[String], capacity: &Work, backlog: &Backlog) {
        for name in self.pressed_queues(now) {
            if before.contains(&name) {
                continue;
            }
            let Some(report) = self.pressure(now, &name) else { continue };
            let mut waiting = Work::default();
            backlog.by_last_start.values().for_each(|work| waiting.add(work));
            let why = format!(
                "queue {name}: waits of {:?} ms are too long before the expiry, of {:?} ms before the deadline; {:.0} thousandths of a core a second for {:.0} of waiting, {:.0} of running and {:.0} of arriving work",
                report.expiring,
                report.late,
                capacity.cpu,
                waiting.cpu,
                backlog.running.cpu,
                backlog.arriving.cpu
            );
            self.note("queue can't serve all jobs", None, None, why);
        }
    }
}

/// Returns how long `capacity` takes for `work`, by the scarcest resource and less [`MARGIN`].
fn wait(work: &Work, capacity: &Work) -> Option<Duration> {
    let part = |work: f64, capacity: f64| if work > 0.0 { work / capacity.max(1e-6) } else { 0.0 };
    let seconds = part(work.cpu, capacity.cpu)
        .max(part(work.memory_mb, capacity.memory_mb))
        .max(part(work.gpu, capacity.gpu));
    Duration::try_from_secs_f64(seconds / MARGIN).ok()
}

fn bucket(time: Time) -> u64 {
    time.as_millis() / BUCKET_MS
}

fn before(time: Time, duration: Duration) -> Time {
    Time::from_millis(time.as_millis().saturating_sub(worker::millis(duration)))
}
