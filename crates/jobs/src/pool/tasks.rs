//! The states of the tasks of a step.
//!
//! A step may have thousands of equal tasks, and a pool a million that wait. So only a task of which
//! something is known has a state of its own: one that was started, or that failed. The others are
//! numbers. What an owner holds, and what a successor holds once it has read the same jobs, grows with
//! what runs and with the number of jobs.

use std::collections::BTreeMap;
use std::rc::Rc;

use corianderfork_model::Time;

use super::entry::{Task, TaskState};

/// Bits per word of a set of tasks.
const WORD_BITS: usize = u64::BITS as usize;

thread_local! {
    static PLAIN: Rc<Plain> = Rc::new(Plain {
        waiting: Task::new(TaskState::Waiting),
        done: Task::new(TaskState::Done),
    });
}

/// The states of tasks of which nothing else is known.
#[derive(Debug)]
struct Plain {
    waiting: Task,
    done: Task,
}

/// The tasks of a step, by index.
#[derive(Debug)]
pub(super) struct Tasks {
    count: usize,
    /// The tasks of which something is known.
    known: BTreeMap<usize, Box<Task>>,
    /// The tasks that are done and of which nothing else is known, as a bit set.
    finished: Vec<u64>,
    /// All tasks before this one are done.
    first_open: usize,
    plain: Rc<Plain>,
}

impl Tasks {
    /// Returns `count` tasks that wait.
    pub fn new(count: usize) -> Self {
        Self {
            count,
            known: BTreeMap::new(),
            finished: Vec::new(),
            first_open: 0,
            plain: PLAIN.with(Rc::clone),
        }
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns a task.
    pub fn get(&self, index: usize) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let Plain { waiting, done } = &*self.plain;
        let plain = if self.is_finished(index) { done } else { waiting };
        Some(self.known.get(&index).map_or(plain, |task| task))
    }

    /// Returns a task to change it; `None` if it is done and nothing else is known of it.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        if index >= self.count || self.is_finished(index) {
            return None;
        }
        let new = || Box::new(self.plain.waiting.clone());
        Some(self.known.entry(index).or_insert_with(new))
    }

    /// Returns all tasks, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        (0..self.count).filter_map(|index| self.get(index))
    }

    /// Returns the tasks of which something is known, with their indices.
    pub fn known(&self) -> impl Iterator<Item = (usize, &Task)> {
        self.known.iter().map(|(index, task)| (*index, &**task))
    }

    /// Returns the tasks that may not be done, with their indices.
    pub fn open(&self) -> impl Iterator<Item = (usize, &Task)> {
        (self.first_open..self.count).filter_map(|index| Some((index, self.get(index)?)))
    }

    /// Returns the indices from the first task on that may not be done.
    pub fn open_indices(&self) -> std::ops::Range<usize> {
        self.first_open..self.count
    }

    /// Returns the done tasks as words of a bit set.
    pub fn done_words(&self) -> Vec<u64> {
        let mut words = self.finished.clone();
        words.resize(self.count.div_ceil(WORD_BITS), 0);
        for (index, task) in self.known() {
            if matches!(task.state, TaskState::Done) {
                set_bit(&mut words, index);
            }
        }
        words
    }

    /// Drops the state of a task that is done, unless something has to be kept of it.
    pub fn settle(&mut self, index: usize) {
        if self.known.get(&index).is_some_and(|task| task.is_plainly_done()) {
            self.known.remove(&index);
            self.finished.resize(self.count.div_ceil(WORD_BITS), 0);
            set_bit(&mut self.finished, index);
        }
        let is_done = |index| self.get(index).is_some_and(|t| matches!(t.state, TaskState::Done));
        let first_open = (self.first_open..self.count).find(|index| !is_done(*index));
        self.first_open = first_open.unwrap_or(self.count);
    }

    fn is_finished(&self, index: usize) -> bool {
        let word = self.finished.get(index / WORD_BITS);
        word.is_some_and(|word| word & (1 << (index % WORD_BITS)) != 0)
    }
}

fn set_bit(words: &mut [u64], index: usize) {
    if let Some(word) = words.get_mut(index / WORD_BITS) {
        *word |= 1 << (index % WORD_BITS);
    }
}

impl Task {
    fn new(state: TaskState) -> Self {
        Self {
            state,
            failed: Vec::new(),
            crashed: Vec::new(),
            crashed_since: None,
            crashed_at: Vec::new(),
            is_proven: false,
            starting_run: None,
            inherited_starts: Vec::new(),
            saved: "".into(),
            saved_by: 0,
            has_resumed: false,
            stopped: Vec::new(),
            not_before: Time::ZERO,
            former_run: None,
        }
    }

    /// Returns whether it is done and a successor needs to know nothing else of it.
    fn is_plainly_done(&self) -> bool {
        matches!(self.state, TaskState::Done)
            && self.failed.is_empty()
            && self.crashed.is_empty()
            && self.stopped.is_empty()
            && self.starting_run.is_none()
            && self.inherited_starts.is_empty()
    }
}
