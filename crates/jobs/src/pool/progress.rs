//! Conversion of a job's state to and from its written progress.

use super::entry::{Entry, Occurrence, SuspectedStart, TaskState, name};
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
            organisation: self.organisation_name.as_deref().map(str::to_owned),
            ended_ms: self.ended_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for (occurrence, state) in &self.occurrences {
            state.add_to(*occurrence, &mut progress);
        }
        progress.done.finished = self.finished();
        progress
    }

    pub fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_ms = progress.ended_ms;
        let last = occurrences(progress).chain(progress.done.finished.last()).max();
        if !self.state.is_final()
            && let Some(last) = last.filter(|_| self.begun_occurrences == 0)
        {
            self.begin_unfinished(&progress.done.finished, last);
        }
        for (key, bits) in &progress.done.tasks {
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
                let starts = suspected_starts(progress, key);
                task.inherited_starts =
                    starts.filter(|start| crashed.contains(&start.run)).collect();
            }
        }
        for (key, bits) in &progress.proven {
            let mut parts = key.split('.').map_while(|part| part.parse::<u32>().ok());
            let (Some(occurrence), Some(step)) = (parts.next(), parts.next()) else { continue };
            for index in set_bits(bits) {
                if let Some(task) = self.task_mut(name(self.id, occurrence, step as usize, index)) {
                    task.is_proven = true;
                }
            }
        }
        for (key, saved) in &progress.saved {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.saved = saved.as_str().into();
                task.saved_by = progress.saved_by.get(key).copied().unwrap_or(0);
                task.has_resumed = true;
            }
        }
        for (key, stopped) in &progress.stopped {
            if let Some(name) = parse_task(self.id, key)
                && let Some(task) = self.task_mut(name)
            {
                task.stopped.clone_from(stopped);
            }
        }
    }

    fn restore_done(&mut self, key: &str, bits: &[u64]) {
        let mut parts = key.split('.').map_while(|part| part.parse::<u32>().ok());
        let Some(occurrence) = parts.next() else { return };
        let Some(step) = parts.next() else { return };
        for index in set_bits(bits) {
            self.set_task_state(name(self.id, occurrence, step as usize, index), TaskState::Done);
        }
    }
}

impl Occurrence {
    fn add_to(&self, occurrence: u32, progress: &mut Progress) {
        for (step, state) in self.steps.iter().enumerate() {
            let done = state.tasks.done_words();
            let proven = state.tasks.known().filter(|(_, task)| task.is_proven);
            let proven = bit_set(state.tasks.len(), proven.map(|(index, _)| index));
            for (index, task) in state.tasks.known() {
                let key = || format!("{occurrence}.{step}.{index}");
                if !task.failed.is_empty() {
                    progress.failed.insert(key(), task.failed.clone());
                }
                let mut crashed = task.crashed.clone();
                crashed.extend(task.starting_run.iter().map(|start| start.run));
                if !crashed.is_empty() {
                    progress.crashed.insert(key(), crashed);
                }
                let starts = || task.inherited_starts.iter().chain(&task.starting_run);
                if starts().next().is_some() {
                    let workers = starts().map(|start| start.worker.clone().unwrap_or_default());
                    progress.starting.insert(key(), starts().map(|start| start.run).collect());
                    progress.starting_on.insert(key(), workers.collect());
                }
                let is_only_here = match &task.state {
                    TaskState::Waiting => true,
                    TaskState::Placed(_) => task.has_resumed,
                    TaskState::Done => false,
                };
                if is_only_here && !task.saved.is_empty() {
                    progress.saved.insert(key(), task.saved.to_string());
                    progress.saved_by.insert(key(), task.saved_by);
                }
                if !task.stopped.is_empty() {
                    progress.stopped.insert(key(), task.stopped.clone());
                }
            }
            for (map, bits) in [(&mut progress.done.tasks, done), (&mut progress.proven, proven)] {
                if bits.iter().any(|word| *word != 0) {
                    map.insert(format!("{occurrence}.{step}"), bits);
                }
            }
        }
    }
}

/// Returns the occurrences about which something is written.
fn occurrences(progress: &Progress) -> impl Iterator<Item = u32> {
    let keys =
        progress.done.tasks.keys().chain(progress.failed.keys()).chain(progress.crashed.keys());
    let keys = keys.chain(progress.proven.keys()).chain(progress.saved.keys());
    let keys = keys.chain(progress.stopped.keys());
    keys.filter_map(|key| key.split('.').next()?.parse().ok())
}

/// Returns the words of a bit set of `count` bits of which those at the given indices are set.
fn bit_set(count: usize, indices: impl Iterator<Item = usize>) -> Vec<u64> {
    let mut words = vec![0u64; count.div_ceil(WORD_BITS as usize)];
    for index in indices {
        words[index / WORD_BITS as usize] |= 1 << (index % WORD_BITS as usize);
    }
    words
}

/// Returns the indices of the bits that are set.
fn set_bits(words: &[u64]) -> impl Iterator<Item = usize> {
    words.iter().enumerate().flat_map(|(word, value)| {
        let bits = (0..WORD_BITS).filter(move |bit| value & (1 << bit) != 0);
        bits.map(move |bit| word * WORD_BITS as usize + bit as usize)
    })
}

/// Returns the recorded starts of a task, with their workers as far as they are named.
fn suspected_starts(progress: &Progress, key: &str) -> impl Iterator<Item = SuspectedStart> {
    let runs = progress.starting.get(key).cloned().unwrap_or_default();
    let workers = progress.starting_on.get(key).cloned().unwrap_or_default();
    runs.into_iter().enumerate().map(move |(index, run)| {
        let worker = workers.get(index).filter(|id| !id.is_empty()).cloned();
        SuspectedStart { run, worker }
    })
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
