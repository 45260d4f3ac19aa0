//! The load of a pool and the room that it needs.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use super::Pool;
use super::entry::{Entry, Occurrence, name};
use super::held::HeldTasks;
use super::unrunnable::Unrunnable;
use crate::job::{Room, Step, chain_ms};
use crate::organisation::Key;
use crate::work::Work;
use crate::worker::{self, Worker};

/// Shortest time within which waiting work is planned to be done. A new worker takes longer
/// than this to arrive, so it can't help work that has to start sooner.
const MIN_HORIZON: Duration = Duration::from_millis(1_000);
/// Time within which work is planned to be done that will be late in any case.
const LATE_HORIZON: Duration = Duration::from_millis(3_000);
/// Converts room to work: the work of one second of it.
const ONE_SECOND: Duration = Duration::from_secs(1);

/// The load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of workers that take new tasks.
    pub workers: u32,
    /// Number of other workers that take none because the pool has too many, and that are being
    /// emptied.
    pub surplus: u32,
    /// Number of workers that take new tasks and host long-running ones or have room reserved
    /// for them.
    pub rooted: u32,
    /// Total room of the workers that take new tasks.
    pub room: Room,
    /// Room that runs use.
    pub used: Room,
    /// Room that the waiting tasks of ready steps need.
    pub waiting: Room,
    /// Room that long-running tasks use or wait for.
    pub lasting: Room,
    /// Room that all other work needs to be in time: the known work, and the work that is
    /// expected to keep arriving.
    pub needed: Room,
    /// The part of `needed` whose jobs can still be in time. `None` if it isn't distinguished: then
    /// all of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_time: Option<Room>,
    /// Number of workers that the ready gang which needs the most has to have at once: its tasks
    /// don't fit on fewer, whatever the total room. Earlier versions neither send nor read this.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub at_once: u32,
    /// Random variation of `needed` from one second to the next.
    pub noise: Room,
    /// Number of long-running tasks that have waited for a worker for a while, plus different
    /// requirements of steps that no worker of the pool may run. No single worker has what they
    /// need, whatever the total room.
    pub unfit: u32,
    /// Number of requirements among these whose steps the advice service allows on none of the
    /// pool's workers. It decides about worker instances, so another instance of the same VM may
    /// be allowed.
    #[serde(default)]
    pub refused: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Load {
    /// Returns the load as it is sent: without `in_time` where that is all of `needed`, which is what
    /// its absence means.
    ///
    /// ```
    /// use corianderfork_jobs::job::Room;
    /// use corianderfork_jobs::pool::Load;
    ///
    /// let load = |cpu| Load { in_time: Some(Room { cpu, ..Room::default() }), ..Load::default() };
    /// assert_eq!(load(0).compact().in_time, None);
    /// assert_eq!(load(1).compact(), load(1));
    /// ```
    #[must_use]
    pub fn compact(self) -> Self {
        Self { in_time: self.in_time.filter(|in_time| *in_time != self.needed), ..self }
    }

    /// Returns the load without a gang that needs more than all `total` workers: it can't start, and
    /// other pools would lack what it asks for.
    ///
    /// ```
    /// use corianderfork_jobs::pool::Load;
    ///
    /// let load = Load { at_once: 5, ..Load::default() };
    /// assert_eq!(load.without_oversized_gang(5).at_once, 5);
    /// assert_eq!(load.without_oversized_gang(4).at_once, 0);
    /// ```
    #[must_use]
    pub const fn without_oversized_gang(mut self, total: u32) -> Self {
        if self.at_once > total {
            self.at_once = 0;
        }
        self
    }
}

impl Pool {
    /// Returns the load of the pool.
    pub fn load(&self, now: Time) -> Load {
        let mut load = Load::default();
        for worker in self.workers.values() {
            load.used.add(&worker.used);
            if worker.is_healthy() && !worker.is_vacating(now) {
                load.workers += 1;
                load.rooted += u32::from(self.hosts_long_running(worker));
                load.room.add(&worker.room);
            }
            let is_surplus = worker.is_healthy() && worker.is_vacating(now) && worker.is_surplus;
            load.surplus += u32::from(is_surplus);
        }
        let held = self.held_tasks();
        let (mut workload, mut largest) = (Workload::new(&held), Work::default());
        let mut unrunnable = Unrunnable::default();
        for (key, entry) in self.active.iter().filter_map(|key| Some((*key, self.jobs.get(*key)?)))
        {
            entry.add_waiting(&mut load.waiting, |step| held.count((key, step)));
            let held_in = |step| held.count((key, step));
            unrunnable.add(self, now, entry, held_in);
            let held_count: u32 = entry.positions.iter().map(|p| held_in(p.step())).sum();
            load.unfit += entry.unplaced_tasks(now).saturating_sub(held_count);
            if entry.long_running {
                load.lasting.add(&entry.long_running_room(held_in));
            }
            for (number, occurrence) in &entry.occurrences {
                let held = |step| held.count((key, (*number, step)));
                self.add_workload(now, entry, (*number, occurrence), held, &mut workload);
                let at_once = self.workers_at_once(now, entry, occurrence, held);
                load.at_once = load.at_once.max(at_once);
                largest = largest.max(&entry.largest_gang(occurrence, held));
            }
        }
        load.unfit += unrunnable.count();
        load.refused = unrunnable.refused_count();
        let flow = self.flow.rate_without(now, &workload.held);
        load.noise = self.flow.noise(now).to_room();
        load.needed = workload.needed(&flow).max(&largest).to_room();
        if self.config.contention.allocate {
            load.in_time = Some(workload.in_time(&self.flow.recent_rate(now)).to_room());
        }
        load
    }

    /// Adds the running and waiting work of an occurrence.
    fn add_workload(
        &self,
        now: Time,
        entry: &Entry,
        (number, occurrence): (u32, &Occurrence),
        held: impl Fn(usize) -> u32,
        workload: &mut Workload,
    ) {
        let predict = |step: &Step| Duration::from_millis(self.predict(&entry.queue, step));
        let durations: Vec<Duration> = entry.steps.iter().map(predict).collect();
        let left = chain_ms(&entry.steps, |index, _| {
            if occurrence.has_unfinished_tasks(index) {
                worker::millis(durations[index])
            } else {
                0
            }
        });
        let end = now + Duration::from_millis(left);
        let is_late = end > entry.deadline(occurrence);
        let horizon = if is_late {
            LATE_HORIZON
        } else {
            (entry.deadline(occurrence) - end).max(MIN_HORIZON)
        };
        let until_deadline = (entry.deadline(occurrence) - now).max(MIN_HORIZON);
        let (mut ready_count, mut held_count) = (0, 0);
        let steps = entry.steps.iter().zip(&occurrence.steps).enumerate();
        for (index, (step, state)) in steps.filter(|(_, (step, _))| !step.long_running) {
            let room = step.room();
            let held = held(index).min(state.waiting);
            if !is_late {
                let unfinished = Work::of(&room.times(state.unfinished), durations[index]);
                let backlog = workload.backlog_of(entry.organisation);
                backlog.unfinished_in_time.add(&unfinished.per(until_deadline));
            }
            if !occurrence.is_ready(step) {
                continue;
            }
            ready_count += state.unfinished;
            held_count += held;
            // Tasks that only change their worker need no more room than before.
            let with_room = self.tasks_with_kept_room(name(entry.id, number, index, 0));
            let waiting = state.waiting.saturating_sub(with_room);
            let ready = Work::of(&room.times(state.unfinished - held), ONE_SECOND);
            let waiting = Work::of(&room.times(waiting), durations[index]).per(horizon);
            let backlog = workload.backlog_of(entry.organisation);
            backlog.add(&ready, &waiting, !is_late);
        }
        if held_count > 0 && entry.schedule.is_none() {
            let share = f64::from(held_count) / f64::from(ready_count.max(1));
            let work = self.work(&entry.queue, &entry.steps).times(share);
            workload.held.push((entry.accepted, work));
        }
    }

    /// Returns whether [`Pool::load`] counts a worker.
    pub fn is_counted(&self, id: &str) -> bool {
        self.worker(id).is_some_and(|(_, worker)| worker.is_healthy())
    }

    /// Returns the room that long-running tasks use on a worker or have reserved. It doesn't
    /// become free by itself.
    pub(super) fn long_running_room(&self, worker: &Worker) -> Room {
        let mut room = worker.long_running_room;
        worker.reserved.values().for_each(|reserved| room.add(reserved));
        room
    }

    /// Returns whether a worker hosts long-running tasks or has room reserved for them.
    pub(crate) fn hosts_long_running(&self, worker: &Worker) -> bool {
        !worker.reserved.is_empty() || worker.long_running > 0
    }
}

/// The tasks of ready steps, of one organisation if its tasks wait for a limit.
#[derive(Clone, Copy, Default)]
struct Backlog {
    /// Work of one second of the unfinished tasks that don't wait for a limit: what may run at once.
    ready: Work,
    /// Room, as work per second, needed for all waiting tasks to be done in time.
    waiting: Work,
    /// The part of `ready` and of `waiting` whose jobs can still be in time.
    ready_in_time: Work,
    waiting_in_time: Work,
    /// Room, as work per second, that all unfinished tasks of these jobs need until their
    /// deadlines, also tasks that run or aren't ready.
    unfinished_in_time: Work,
}

impl Backlog {
    fn add(&mut self, ready: &Work, waiting: &Work, is_in_time: bool) {
        self.ready.add(ready);
        self.waiting.add(waiting);
        if is_in_time {
            self.ready_in_time.add(ready);
            self.waiting_in_time.add(waiting);
        }
    }

    /// Adds the backlog of an organisation whose tasks wait for a limit. They start one after the
    /// other as its runs end, so it needs room for as long as they last, but never for more at
    /// once than the limit allows.
    fn add_limited(&mut self, other: &Self) {
        self.ready.add(&other.ready);
        self.waiting.add(&other.waiting.min(&other.ready));
        self.ready_in_time.add(&other.ready_in_time);
        self.waiting_in_time.add(&other.waiting_in_time.min(&other.ready_in_time));
        self.unfinished_in_time.add(&other.unfinished_in_time.min(&other.ready));
    }
}

/// Running and waiting work that ends by itself.
#[derive(Default)]
struct Workload {
    /// The tasks of organisations none of whose tasks wait for a limit.
    backlog: Backlog,
    /// The tasks of the others.
    limited: HashMap<Key, Backlog>,
    /// Work of recent jobs whose tasks wait for a limit, and when it arrived.
    held: Vec<(Time, Work)>,
}

impl Workload {
    fn new(held: &HeldTasks) -> Self {
        let limited = held.organisations().map(|key| (key, Backlog::default())).collect();
        Self { limited, ..Self::default() }
    }

    /// Returns the backlog to which a job of an organisation belongs.
    fn backlog_of(&mut self, organisation: Option<Key>) -> &mut Backlog {
        match organisation.and_then(|key| self.limited.get_mut(&key)) {
            Some(limited) => limited,
            None => &mut self.backlog,
        }
    }

    fn total_backlog(&self) -> Backlog {
        let mut total = self.backlog;
        self.limited.values().for_each(|limited| total.add_limited(limited));
        total
    }

    /// Returns the room that keeps up with `flow` and works off the backlog, but no more than
    /// there are tasks for, unless the flow predicts more.
    fn needed(&self, flow: &Work) -> Work {
        let backlog = self.total_backlog();
        let mut total = *flow;
        total.add(&backlog.waiting);
        flow.max(&total.min(&backlog.ready))
    }

    /// Like [`Workload::needed`], for jobs that can still be in time.
    fn in_time(&self, flow: &Work) -> Work {
        let backlog = self.total_backlog();
        let mut total = *flow;
        total.add(&backlog.waiting_in_time);
        flow.max(&total.min(&backlog.ready_in_time)).max(&backlog.unfinished_in_time)
    }
}

impl Occurrence {
    /// Returns whether a step has unfinished tasks.
    fn has_unfinished_tasks(&self, step: usize) -> bool {
        self.steps.get(step).is_some_and(|state| state.unfinished > 0)
    }
}

impl Entry {
    /// Adds the room that the waiting tasks of ready steps need, except those that are held.
    fn add_waiting(&self, waiting: &mut Room, held: impl Fn((u32, usize)) -> u32) {
        for (number, occurrence) in &self.occurrences {
            for (index, (step, state)) in self.steps.iter().zip(&occurrence.steps).enumerate() {
                if occurrence.is_ready(step) {
                    let count = state.waiting.saturating_sub(held((*number, index)));
                    waiting.add(&step.room().times(count));
                }
            }
        }
    }

    /// Returns the room that the tasks of long-running steps need, except those that are held.
    fn long_running_room(&self, held: impl Fn((u32, usize)) -> u32) -> Room {
        let mut room = Room::default();
        for (number, occurrence) in &self.occurrences {
            let steps = self.steps.iter().zip(&occurrence.steps).enumerate();
            let is_ready = |step: &Step| step.long_running && occurrence.is_ready(step);
            for (index, (step, state)) in steps.filter(|(_, (step, _))| is_ready(step)) {
                let count = state.unfinished.saturating_sub(held((*number, index)));
                room.add(&step.room().times(count));
            }
        }
        room
    }

    /// Returns the work per second of the largest ready gang, which can only start as a whole.
    fn largest_gang(&self, occurrence: &Occurrence, held: impl Fn(usize) -> u32) -> Work {
        let steps = self.steps.iter().zip(&occurrence.steps).enumerate();
        let is_ending_gang = |step: &Step| step.gang && !step.long_running;
        let gangs = steps.filter(|(index, (step, _))| is_ending_gang(step) && held(*index) == 0);
        let ready =
            gangs.filter(|(_, (step, state))| state.unfinished > 0 && occurrence.is_ready(step));
        let room = |(_, (step, _)): (usize, (&Step, _))| {
            Work::of(&step.room().times(step.count), ONE_SECOND)
        };
        ready.map(room).fold(Work::default(), |most, room| most.max(&room))
    }
}
