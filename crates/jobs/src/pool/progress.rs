//! Conversion of a job's state to and from its written progress.

use super::entry::{Entry, Occurrence, TaskState, name};
use crate::id::JobId;
use crate::record::Progress;
use crate::task;

/// Bits per word of the set of finished tasks.
const WORD_BITS: u32 = 64;

impl Entry {
    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            queue: self.queue.clone(),
            ended_ms: self.ended_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for occurrence in 0..self.begun_occurrences {
            match self.occurrences.get(&occurrence) {
                Some(state) => state.add_to(occurrence, &mut progress),
                None => drop(progress.done.insert(format!("{occurrence}"), Vec::new())),
            }
        }
        progress
    }

    pub fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_ms = progress.ended_ms;
        for (key, bits) in &progress.done {
            self.restore_done(key, bits);
        }
        for (key, failed) in &progress.failed {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.failed.clone_from(failed);
            }
        }
        for (key, crashed) in &progress.crashed {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.crashed.clone_from(crashed);
                let starting = progress.starting.get(key).cloned().unwrap_or_default();
                task.inherited_starts =
                    starting.into_iter().filter(|run| crashed.contains(run)).collect();
            }
        }
        for (key, saved) in &progress.saved {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.saved = saved.as_str().into();
            }
        }
    }

    fn restore_done(&mut self, key: &str, bits: &[u64]) {
        let mut parts = key.split('.').map_while(|part| part.parse::<u32>().ok());
        let Some(occurrence) = parts.next() else { return };
        while self.begun_occurrences <= occurrence && self.begun_occurrences < self.occurrence_count
        {
            let is_scheduled = self.schedule.is_some();
            self.begin_occurrence(if is_scheduled { self.known_since } else { self.accepted });
        }
        let Some(step) = parts.next() else {
            self.occurrences.remove(&occurrence);
            self.finished_occurrences += 1;
            return;
        };
        for (word, value) in bits.iter().enumerate() {
            for bit in (0..WORD_BITS).filter(|bit| value & (1 << bit) != 0) {
                let index = word * WORD_BITS as usize + bit as usize;
                self.set_task_state(
                    name(self.id, occurrence, step as usize, index),
                    TaskState::Done,
                );
            }
        }
    }
}

impl Occurrence {
    fn add_to(&self, occurrence: u32, progress: &mut Progress) {
        for (step, state) in self.steps.iter().enumerate() {
            let mut bits = vec![0u64; state.tasks.len().div_ceil(WORD_BITS as usize)];
            for (index, task) in state.tasks.iter().enumerate() {
                if matches!(task.state, TaskState::Done) {
                    bits[index / WORD_BITS as usize] |= 1 << (index % WORD_BITS as usize);
                }
                let key = || format!("{occurrence}.{step}.{index}");
                if !task.failed.is_empty() {
                    progress.failed.insert(key(), task.failed.clone());
                }
                let mut crashed = task.crashed.clone();
                crashed.extend(task.starting_run);
                if !crashed.is_empty() {
                    progress.crashed.insert(key(), crashed);
                }
                let starting = task.inherited_starts.iter().copied().chain(task.starting_run);
                let starting: Vec<u64> = starting.collect();
                if !starting.is_empty() {
                    progress.starting.insert(key(), starting);
                }
                if matches!(task.state, TaskState::Waiting) && !task.saved.is_empty() {
                    progress.saved.insert(key(), task.saved.to_string());
                }
            }
            if bits.iter().any(|word| *word != 0) {
                progress.done.insert(format!("{occurrence}.{step}"), bits);
            }
        }
    }
}

fn parse_task(job: JobId, key: &str) -> Option<task::Name> {
    let mut parts = key.split('.').map(|part| part.parse().ok());
    Some(task::Name {
        job,
        occurrence: parts.next()??,
        step: parts.next()??,
        index: parts.next()??,
    })
}
