//! Steps that no worker of a pool may run at the moment.

use std::collections::HashMap;

use corianderfork_model::Time;

use super::entry::Entry;
use super::{Pool, advice, evacuate};
use crate::job::{Room, Step};
use crate::worker::{self, Worker};

/// What these steps require of a worker, without what a stricter requirement includes.
///
/// One worker that meets a requirement may run all steps that have it, one after the other. How many
/// workers their work needs is told by [`super::Load::needed`].
#[derive(Default)]
struct Requirements<'a> {
    rooms: HashMap<Option<&'a str>, Vec<Room>>,
}

impl<'a> Requirements<'a> {
    fn insert(&mut self, step: &'a Step) {
        let room = step.room();
        let rooms = self.rooms.entry(step.label.as_deref()).or_default();
        if !rooms.iter().any(|other| other.fits(&Room::default(), &room)) {
            rooms.retain(|other| !room.fits(&Room::default(), other));
            rooms.push(room);
        }
    }

    fn count(&self) -> u32 {
        let count = self.rooms.values().map(Vec::len).sum::<usize>();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// The requirements of all these steps of a pool.
#[derive(Default)]
pub(super) struct Unrunnable<'a> {
    /// Those that no worker meets.
    unmet: Requirements<'a>,
    /// Those that some worker meets that is refused by advice, or has no room beside its
    /// long-running tasks.
    refused: Requirements<'a>,
}

impl<'a> Unrunnable<'a> {
    /// Adds the steps of a job that none of the pool's workers may run.
    ///
    /// All workers lack a label, are too small, are refused by advice, or have no room beside
    /// their long-running tasks. Another worker may be able to run the step; without one the
    /// job would wait forever.
    pub fn add(
        &mut self,
        pool: &Pool,
        now: Time,
        entry: &'a Entry,
        held: impl Fn((u32, usize)) -> u32,
    ) {
        let steps = entry.occurrences.iter().flat_map(|(number, occurrence)| {
            let steps = entry.steps.iter().zip(&occurrence.steps).enumerate();
            steps.map(|(index, (step, state))| ((*number, index), step, state))
        });
        for (step_key, step, state) in steps {
            let is_blocked =
                state.waiting_since.is_some_and(|since| now - since > evacuate::BLOCKED_AFTER);
            if step.long_running || state.waiting <= held(step_key) || !is_blocked {
                continue;
            }
            let could_run = |worker: &Worker| {
                worker.is_usable_or_surplus(now) && advice::meets_requirements(worker, step)
            };
            let can_run = |(key, worker): (worker::Key, &Worker)| {
                let has_room = worker.room.fits(&pool.long_running_room(worker), &step.room());
                could_run(worker) && !state.advice.is_refused(key) && has_room
            };
            if pool.workers.iter().any(can_run) {
                continue;
            }
            if pool.workers.values().any(could_run) {
                self.refused.insert(step);
            } else {
                self.unmet.insert(step);
            }
        }
    }

    /// Returns the number of workers that suffice for each of the steps to be run by one.
    pub fn count(&self) -> u32 {
        self.unmet.count() + self.refused.count()
    }

    /// Returns how many of these are for steps that some worker could run but for advice.
    pub fn refused_count(&self) -> u32 {
        self.refused.count()
    }
}
