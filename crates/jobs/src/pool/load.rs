//! How busy a pool is, and how much room it needs.

use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use super::entry::{Entry, Occurrence};
use super::{Pool, advice, evacuate};
use crate::job::{Room, Step, chain_ms};
use crate::task;
use crate::work::Work;
use crate::worker::{self, Worker};

/// The shortest time within which what waits is to be done: a worker takes longer
/// than this to come, and what has to begin sooner can't be helped by it.
const MIN_HORIZON: Duration = Duration::from_millis(1_000);
/// Within how long work is to be done that will be late whatever is done.
const LATE_HORIZON: Duration = Duration::from_millis(3_000);
/// A second: work over it is room.
const ONE_SECOND: Duration = Duration::from_secs(1);

/// How busy a pool is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Workers that take work.
    pub workers: u32,
    /// Workers besides that take none since they are too many, and are to run
    /// empty.
    pub surplus: u32,
    /// Workers that take work and carry lasting tasks.
    pub rooted: u32,
    /// What they have, all together.
    pub room: Room,
    /// What runs takes.
    pub used: Room,
    /// What tasks wait for whose turn has come.
    pub waiting: Room,
    /// What lasting tasks take or wait for.
    pub lasting: Room,
    /// What all other work needs to be in time: what is known, and what goes on
    /// coming in.
    pub needed: Room,
    /// By how much that changes from one second to the next by chance.
    pub noise: Room,
    /// Lasting tasks that have waited for a worker for a while, and steps that no
    /// worker of the pool may run: there is none that has what one needs, however
    /// much all have together.
    pub unfit: u32,
    /// Of these, steps that the service which gives advice allows on none of the
    /// pool's workers: it judges lives of workers, and another life of the same VM
    /// may be allowed.
    #[serde(default)]
    pub refused: u32,
}

impl Pool {
    /// How busy the pool is.
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
        let (mut workload, mut largest) = (Workload::default(), Work::default());
        for entry in self.jobs.values().filter(|entry| !entry.state.is_final()) {
            entry.add_waiting(&mut load.waiting);
            let (unrunnable, refused) = self.unrunnable(now, entry);
            load.unfit += entry.unplaced_tasks(now) + unrunnable;
            load.refused += refused;
            if entry.long_running {
                load.lasting.add(&entry.room_left());
                continue;
            }
            for occurrence in entry.occurrences.values() {
                self.add_workload(now, entry, occurrence, &mut workload);
                largest = largest.max(&entry.largest_gang(occurrence));
            }
        }
        let flow = self.flow.rate(now);
        load.noise = self.flow.noise(now).to_room();
        load.needed = workload.needed(&flow).max(&largest).to_room();
        load
    }

    /// Adds what runs and waits of an occurrence.
    fn add_workload(
        &self,
        now: Time,
        entry: &Entry,
        occurrence: &Occurrence,
        workload: &mut Workload,
    ) {
        let predict = |step: &Step| Duration::from_millis(self.predict(&entry.queue, step));
        let takes: Vec<Duration> = entry.steps.iter().map(predict).collect();
        let left = chain_ms(&entry.steps, |index, _| {
            if occurrence.is_open(index) { worker::millis(takes[index]) } else { 0 }
        });
        let end = now + Duration::from_millis(left);
        let within = if end > entry.deadline(occurrence) {
            LATE_HORIZON
        } else {
            (entry.deadline(occurrence) - end).max(MIN_HORIZON)
        };
        for (index, (step, state)) in entry.steps.iter().zip(&occurrence.steps).enumerate() {
            if !occurrence.is_ready(step) {
                continue;
            }
            let room = step.room();
            workload.room.add(&Work::of(&room.times(state.unfinished), ONE_SECOND));
            let waiting = Work::of(&room.times(state.waiting), takes[index]);
            workload.backlog.add(&waiting.per(within));
        }
    }

    /// Whether a worker is among those that [`Pool::load`] counts.
    pub fn is_counted(&self, id: &str) -> bool {
        self.worker(id).is_some_and(|(_, worker)| worker.is_healthy())
    }

    /// Steps of a job that none of the pool's workers may run: all lack a label,
    /// are too small, are not among those that advice names, or have no room beside
    /// what lasts there. Another worker may; without one the job would wait for ever.
    /// And how many of them there are
    /// for the last of these reasons alone.
    fn unrunnable(&self, now: Time, entry: &Entry) -> (u32, u32) {
        let (mut unrunnable, mut refused) = (0, 0);
        let steps = entry
            .occurrences
            .values()
            .flat_map(|occurrence| entry.steps.iter().zip(&occurrence.steps));
        for (step, state) in steps {
            let is_blocked =
                state.waiting_since.is_some_and(|since| now - since > evacuate::BLOCKED_AFTER);
            if entry.long_running || state.waiting == 0 || !is_blocked {
                continue;
            }
            let could = |worker: &Worker| {
                worker.is_usable_or_surplus(now) && advice::meets_requirements(worker, step)
            };
            let may = |(key, worker): (worker::Key, &Worker)| {
                let has_room = worker.room.fits(&self.long_running_room(worker), &step.room());
                could(worker) && !state.advice.is_refused(key) && has_room
            };
            if !self.workers.iter().any(may) {
                unrunnable += 1;
                refused += u32::from(self.workers.values().any(could));
            }
        }
        (unrunnable, refused)
    }

    /// What lasting tasks take there, and what is kept for some: it doesn't come free
    /// by itself.
    pub(super) fn long_running_room(&self, worker: &Worker) -> Room {
        let is_lasting = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running)
        };
        let mut room = Room::default();
        let long_running = worker.allocations.iter().filter(|(name, _)| is_lasting(name));
        long_running.for_each(|(_, allocation)| room.add(&allocation.room));
        worker.reserved.values().for_each(|kept| room.add(kept));
        room
    }

    /// Whether lasting tasks run there, or have room kept.
    pub(crate) fn hosts_long_running(&self, worker: &Worker) -> bool {
        let is_lasting = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running)
        };
        !worker.reserved.is_empty() || worker.allocations.keys().any(is_lasting)
    }
}

/// What runs and waits of work that ends by itself.
#[derive(Default)]
struct Workload {
    /// What all tasks take whose turn has come.
    room: Work,
    /// What is needed for what waits to be done while it is in time.
    backlog: Work,
}

impl Workload {
    /// The room that keeps up with `flow` and clears what waits; but no more than
    /// there are tasks for, unless the flow says that more come.
    fn needed(&self, flow: &Work) -> Work {
        let mut both = *flow;
        both.add(&self.backlog);
        flow.max(&both.min(&self.room))
    }
}

impl Occurrence {
    /// Whether a step has tasks that aren't done.
    fn is_open(&self, step: usize) -> bool {
        self.steps.get(step).is_some_and(|state| state.unfinished > 0)
    }
}

impl Entry {
    /// Adds what its tasks wait for whose turn has come.
    fn add_waiting(&self, waiting: &mut Room) {
        for occurrence in self.occurrences.values() {
            for (step, state) in self.steps.iter().zip(&occurrence.steps) {
                if occurrence.is_ready(step) {
                    waiting.add(&step.room().times(state.waiting));
                }
            }
        }
    }

    /// What all tasks take that aren't done.
    fn room_left(&self) -> Room {
        let mut room = Room::default();
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| self.steps.iter().zip(&occurrence.steps));
        steps.for_each(|(step, state)| room.add(&step.room().times(state.unfinished)));
        room
    }

    /// What the widest gang takes whose turn has come: it starts as a whole.
    fn largest_gang(&self, occurrence: &Occurrence) -> Work {
        let gangs = self.steps.iter().zip(&occurrence.steps).filter(|(step, _)| step.gang);
        let ready = gangs.filter(|(step, state)| state.unfinished > 0 && occurrence.is_ready(step));
        let room = |(step, _): (&Step, _)| Work::of(&step.room().times(step.count), ONE_SECOND);
        ready.map(room).fold(Work::default(), |most, room| most.max(&room))
    }
}
