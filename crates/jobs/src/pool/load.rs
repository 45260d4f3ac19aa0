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
const SOONEST: Duration = Duration::from_millis(1_000);
/// Within how long work is to be done that will be late whatever is done.
const CATCH_UP: Duration = Duration::from_millis(3_000);
/// A second: work over it is room.
const ONCE: Duration = Duration::from_secs(1);

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
            if worker.is_able() && !worker.is_vacating(now) {
                load.workers += 1;
                load.rooted += u32::from(self.is_rooted(worker));
                load.room.add(&worker.room);
            }
            let is_surplus = worker.is_able() && worker.is_vacating(now) && worker.is_surplus;
            load.surplus += u32::from(is_surplus);
        }
        let (mut stock, mut widest) = (Stock::default(), Work::default());
        for entry in self.jobs.values().filter(|entry| !entry.state.is_final()) {
            entry.add_waiting(&mut load.waiting);
            let (barred, refused) = self.barred(now, entry);
            load.unfit += entry.unfit(now) + barred;
            load.refused += refused;
            if entry.long_running {
                load.lasting.add(&entry.room_left());
                continue;
            }
            for row in entry.occurrences.values() {
                self.add_stock(now, entry, row, &mut stock);
                widest = widest.max(&entry.widest_gang(row));
            }
        }
        let flow = self.flow.rate(now);
        load.noise = self.flow.noise(now).to_room();
        load.needed = stock.needed(&flow).max(&widest).to_room();
        load
    }

    /// Adds what runs and waits of an occurrence.
    fn add_stock(&self, now: Time, entry: &Entry, row: &Occurrence, stock: &mut Stock) {
        let predict = |step: &Step| Duration::from_millis(self.predict(&entry.queue, step));
        let takes: Vec<Duration> = entry.steps.iter().map(predict).collect();
        let left = chain_ms(&entry.steps, |index, _| {
            if row.is_open(index) { worker::millis(takes[index]) } else { 0 }
        });
        let end = now + Duration::from_millis(left);
        let within =
            if end > entry.due(row) { CATCH_UP } else { (entry.due(row) - end).max(SOONEST) };
        for (index, (step, state)) in entry.steps.iter().zip(&row.steps).enumerate() {
            if !row.is_ready(step) {
                continue;
            }
            let room = step.room();
            stock.room.add(&Work::of(&room.times(state.left), ONCE));
            let waiting = Work::of(&room.times(state.waiting), takes[index]);
            stock.backlog.add(&waiting.per(within));
        }
    }

    /// Whether a worker is among those that [`Pool::load`] counts.
    pub fn is_counted(&self, id: &str) -> bool {
        self.worker(id).is_some_and(|(_, worker)| worker.is_able())
    }

    /// Steps of a job that none of the pool's workers may run: all lack a label,
    /// are too small, are not among those that advice names, or have no room beside
    /// what lasts there. Another worker may; without one the job would wait for ever.
    /// And how many of them there are
    /// for the last of these reasons alone.
    fn barred(&self, now: Time, entry: &Entry) -> (u32, u32) {
        let (mut barred, mut refused) = (0, 0);
        let steps = entry.occurrences.values().flat_map(|row| entry.steps.iter().zip(&row.steps));
        for (step, state) in steps {
            let is_stuck = state.stuck.is_some_and(|since| now - since > evacuate::BLOCKED);
            if entry.long_running || state.waiting == 0 || !is_stuck {
                continue;
            }
            let could =
                |worker: &Worker| worker.is_kept_or_surplus(now) && advice::could(worker, step);
            let may = |(key, worker): (worker::Key, &Worker)| {
                let has_room = worker.room.fits(&self.lasting_on(worker), &step.room());
                could(worker) && !state.advice.is_bad(key) && has_room
            };
            if !self.workers.iter().any(may) {
                barred += 1;
                refused += u32::from(self.workers.values().any(could));
            }
        }
        (barred, refused)
    }

    /// What lasting tasks take there, and what is kept for some: it doesn't come free
    /// by itself.
    pub(super) fn lasting_on(&self, worker: &Worker) -> Room {
        let is_lasting = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running)
        };
        let mut room = Room::default();
        let hosted = worker.hosted.iter().filter(|(name, _)| is_lasting(name));
        hosted.for_each(|(_, hosted)| room.add(&hosted.room));
        worker.kept.values().for_each(|kept| room.add(kept));
        room
    }

    /// Whether lasting tasks run there, or have room kept.
    pub(crate) fn is_rooted(&self, worker: &Worker) -> bool {
        let is_lasting = |name: &task::Name| {
            let step = self.entry(name.job).and_then(|entry| entry.step(*name));
            step.is_some_and(|step| step.long_running)
        };
        !worker.kept.is_empty() || worker.hosted.keys().any(is_lasting)
    }
}

/// What runs and waits of work that ends by itself.
#[derive(Default)]
struct Stock {
    /// What all tasks take whose turn has come.
    room: Work,
    /// What is needed for what waits to be done while it is in time.
    backlog: Work,
}

impl Stock {
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
        self.steps.get(step).is_some_and(|state| state.left > 0)
    }
}

impl Entry {
    /// Adds what its tasks wait for whose turn has come.
    fn add_waiting(&self, waiting: &mut Room) {
        for row in self.occurrences.values() {
            for (step, state) in self.steps.iter().zip(&row.steps) {
                if row.is_ready(step) {
                    waiting.add(&step.room().times(state.waiting));
                }
            }
        }
    }

    /// What all tasks take that aren't done.
    fn room_left(&self) -> Room {
        let mut room = Room::default();
        let steps = self.occurrences.values().flat_map(|row| self.steps.iter().zip(&row.steps));
        steps.for_each(|(step, state)| room.add(&step.room().times(state.left)));
        room
    }

    /// What the widest gang takes whose turn has come: it starts as a whole.
    fn widest_gang(&self, row: &Occurrence) -> Work {
        let gangs = self.steps.iter().zip(&row.steps).filter(|(step, _)| step.gang);
        let ready = gangs.filter(|(step, state)| state.left > 0 && row.is_ready(step));
        let room = |(step, _): (&Step, _)| Work::of(&step.room().times(step.count), ONCE);
        ready.map(room).fold(Work::default(), |most, room| most.max(&room))
    }
}
