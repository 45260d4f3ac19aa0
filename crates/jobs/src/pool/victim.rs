//! What it costs to stop a run, so that its worker can leave or others get its room.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Entry, Occurrence, Phase, Placement, TaskState};
use super::order::{Action, Order, RESEND_DELAY};
use crate::job::{Room, Step, chain_ms};
use crate::tally::Outcome;
use crate::task;
use crate::worker::{self, millis};

/// The most times that a task is stopped. Each stop delays its job and loses some of its work.
pub(super) const MAX_STOPS: usize = 3;
/// The shortest predicted time left of a run that is not known to have ended, in milliseconds.
pub(super) const MIN_LEFT_MS: u64 = 50;

/// When a job will end, compared to when it is of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outlook {
    InTime,
    Late,
    /// It earns nothing any more.
    Expired,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    pub name: task::Name,
    pub run: u64,
    pub worker: worker::Key,
    pub room: Room,
    /// Whether it saves its progress, also when it is stopped.
    pub saves: bool,
    /// How long it has been placed.
    pub elapsed_ms: u64,
    /// The predicted time until it ends if it isn't stopped.
    pub remaining_ms: u64,
    /// The predicted time from its start to its end.
    pub predicted_ms: u64,
    /// The outlook of its job if it isn't stopped.
    pub outlook: Outlook,
    /// By how much its job may end later with the same outlook.
    pub slack_ms: u64,
    /// The work that is thrown away if it can't save its progress now: since the last save, or all.
    unsaved_ms: u64,
    /// How often its task was stopped before.
    pub stops: usize,
    attempts_left: u32,
}

impl Victim {
    /// Returns by how much a stop delays its end, if its room elsewhere is free after `wait_ms`.
    pub fn delay_ms(&self, times: &StopTimes, wait_ms: u64) -> u64 {
        let repeated = if self.saves { 0 } else { self.elapsed_ms };
        times.stop_ms.max(wait_ms) + times.resume_ms + repeated
    }

    /// Returns whether its job would become late or expire because of a stop.
    pub fn is_harmed(&self, times: &StopTimes, wait_ms: u64) -> bool {
        self.outlook != Outlook::Expired && self.delay_ms(times, wait_ms) > self.slack_ms
    }

    /// Returns the cost of a stop, in milliseconds of its room: the work that it may throw away and
    /// the time to stop and resume. It is larger for a task that was stopped before or has one
    /// attempt left, and smaller if its job is late or expired in any case. A job that becomes late
    /// or expires because of the stop loses the work of the whole run.
    pub fn cost_ms(&self, times: &StopTimes) -> u64 {
        let mut cost = (self.unsaved_ms + times.stop_ms + times.resume_ms)
            * (1 + u64::try_from(self.stops).unwrap_or(0));
        if self.attempts_left <= 1 {
            cost *= 2;
        }
        if self.is_harmed(times, 0) {
            cost += self.elapsed_ms + self.remaining_ms;
        }
        match self.outlook {
            Outlook::InTime => cost,
            Outlook::Late => cost / 2,
            Outlook::Expired => cost / 4,
        }
    }

    /// Returns the work that a stop is expected to lose, in milliseconds of a core: its room while it
    /// stops and resumes, and what it has to repeat. For a job that is late in any case it counts
    /// half, and for an expired one nothing. A job that becomes late or expires because of the stop
    /// loses the work of the whole run.
    pub fn lost_work(&self, times: &StopTimes) -> u64 {
        let harmed = if self.is_harmed(times, 0) { self.elapsed_ms + self.remaining_ms } else { 0 };
        let lost = (self.delay_ms(times, 0) + harmed).saturating_mul(self.room.cpu) / 1_000;
        match self.outlook {
            Outlook::InTime => lost,
            Outlook::Late => lost / 2,
            Outlook::Expired => 0,
        }
    }

    /// Returns the cost of a stop, in milliseconds of a core.
    pub fn work_cost(&self, times: &StopTimes) -> u64 {
        self.cost_ms(times).saturating_mul(self.room.cpu) / 1_000
    }
}

/// How long stopping and resuming a task takes, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopTimes {
    /// The longest time that a stop takes.
    pub stop_ms: u64,
    /// The time to resume from saved progress.
    pub resume_ms: u64,
}

impl StopTimes {
    /// Returns the time to stop and resume.
    pub fn total_ms(&self) -> u64 {
        self.stop_ms + self.resume_ms
    }
}

impl Pool {
    pub(super) fn stop_times(&self) -> StopTimes {
        StopTimes {
            stop_ms: millis(self.config.stop_time),
            resume_ms: millis(self.config.resume_time),
        }
    }

    /// Returns the run of a task that may be stopped: it is confirmed to run, has not been stopped
    /// too often, and could be started again. Gangs and long-running tasks are never stopped, nor
    /// are tasks that are suspected of a crash: another start of them endangers another worker.
    pub(super) fn victim(&self, now: Time, name: task::Name) -> Option<Victim> {
        let entry = self.entry(name.job).filter(|entry| self.may_start(entry))?;
        let (step, task) = (entry.step(name)?, entry.task(name)?);
        let placement = entry.placement(name)?;
        let is_running = matches!(placement.phase, Phase::Running { .. });
        // The crashes of a gang are counted at its first task, and it is excluded in any case.
        let is_excluded = step.gang || step.long_running || !task.crashed.is_empty();
        if !is_running || is_excluded || task.stopped.len() >= MAX_STOPS {
            return None;
        }
        let elapsed_ms = millis(now - placement.since);
        let remaining_ms = self.predicted_remaining_ms(now, entry, step, placement);
        let finish = self.finish_after(now, entry, name, remaining_ms)?;
        let occurrence = entry.occurrences.get(&name.occurrence)?;
        let (outlook, slack) = entry.outlook(occurrence, finish);
        let attempts = self.attempts(entry).unwrap_or(0);
        let failed = u32::try_from(task.failed.len()).unwrap_or(u32::MAX);
        let unsaved_ms = if step.checkpoints {
            millis(now - placement.saved_at.max(placement.since))
        } else {
            elapsed_ms
        };
        Some(Victim {
            name,
            run: placement.run,
            worker: placement.worker,
            room: step.room(),
            saves: step.checkpoints,
            elapsed_ms,
            remaining_ms,
            predicted_ms: self.predict(&entry.queue, step),
            outlook,
            slack_ms: millis(slack),
            unsaved_ms,
            stops: task.stopped.len(),
            attempts_left: attempts.saturating_sub(failed),
        })
    }

    /// Returns the predicted time until a run ends, by its reported progress if there is any. A run
    /// that takes several times as long as predicted is recognised by its slow progress, and one
    /// that has resumed by the progress that it began with.
    ///
    /// A run that should have ended is assumed to take as long again as it is late: three in a
    /// hundred tasks take seven times as long as predicted. If it counted as ending now, its worker
    /// would count as nearly empty for seconds, and would never be emptied by stopping it.
    pub(super) fn predicted_remaining_ms(
        &self,
        now: Time,
        entry: &Entry,
        step: &Step,
        placement: &Placement,
    ) -> u64 {
        let predicted = self.predict(&entry.queue, step);
        let elapsed = millis(now - placement.since);
        let percent = u64::from(placement.percent.min(100));
        if percent == 0 {
            return predicted.abs_diff(elapsed).max(MIN_LEFT_MS);
        }
        let at_report = millis(placement.progressed - placement.since);
        let by_prediction = predicted * (100 - percent) / 100;
        let by_speed = at_report * (100 - percent) / percent;
        let since_report = millis(now - placement.progressed);
        by_prediction.max(by_speed).abs_diff(since_report).max(MIN_LEFT_MS)
    }

    /// Returns the predicted end of a job if one of its runs ends in `own_ms`.
    fn finish_after(
        &self,
        now: Time,
        entry: &Entry,
        name: task::Name,
        own_ms: u64,
    ) -> Option<Time> {
        let occurrence = entry.occurrences.get(&name.occurrence)?;
        let own = name.step as usize;
        let left = chain_ms(&entry.steps, |index, step| match occurrence.steps.get(index) {
            Some(state) if index == own && state.waiting == 0 => own_ms,
            Some(state) if index == own && state.waiting > 0 => {
                own_ms.max(self.predict(&entry.queue, step))
            }
            Some(state) if state.unfinished > 0 => self.predict(&entry.queue, step),
            _ => 0,
        });
        Some(now + Duration::from_millis(left))
    }

    /// Orders the stop of a run, which counts as a stop of its task. The count is written with the
    /// saved progress, usually in the same batch as the end of the run.
    pub(super) fn stop_victim(&mut self, now: Time, victim: &Victim, orders: &mut Vec<Order>) {
        let Some(entry) = self.entry_mut(victim.name.job) else { return };
        let Some(task) = entry.task_mut(victim.name) else { return };
        let TaskState::Placed(placement) = &mut task.state else { return };
        placement.phase = Phase::Stopping { retry_at: now + RESEND_DELAY, confirmed: None };
        task.stopped.push(victim.run);
        self.count(victim.name.job, Outcome::Stopped);
        self.mark_dirty(now, victim.name.job, false);
        orders.extend(self.order(victim.worker, victim.name, victim.run, Action::Stop));
    }
}

impl Entry {
    /// Returns the outlook of a job that ends at `finish`, and by how much it may end later with
    /// the same outlook.
    pub(super) fn outlook(&self, occurrence: &Occurrence, finish: Time) -> (Outlook, Duration) {
        let (deadline, expiry) = (self.deadline(occurrence), self.expiry(occurrence));
        if finish <= deadline {
            (Outlook::InTime, deadline - finish)
        } else if finish <= expiry {
            (Outlook::Late, expiry - finish)
        } else {
            (Outlook::Expired, Duration::MAX)
        }
    }
}
