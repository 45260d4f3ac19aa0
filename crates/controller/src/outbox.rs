//! What is told beside the decisions: the audit trail and the explanation.
//! Both may lag or be written late; no decision waits for them.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_provider::record::{Explain, Line};
use corianderfork_provider::store::Revision;

use crate::plan::explain::essence;

/// Lines kept while the store is down; the oldest are dropped beyond.
const LINES: usize = 4096;
/// Lines written at once.
const BATCH: usize = 256;
/// The least time between two writes of the explanation.
const EXPLAIN: Duration = Duration::from_secs(2);
/// The least time between two writes of the trail.
const TRAIL: Duration = Duration::from_secs(1);

/// Lines that wait to be written. Pure.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    waiting: VecDeque<Line>,
    writing: usize,
    next: Time,
}

impl Lines {
    /// Adds a line.
    pub fn push(&mut self, line: Line) {
        if self.waiting.len() >= LINES {
            log::warn!("the audit trail can't be written; its oldest waiting line is dropped");
            self.waiting.remove(self.writing);
        }
        self.waiting.push_back(line);
    }

    /// The lines to be written now; [`Lines::on_end`] has to follow.
    pub fn take(&mut self, now: Time) -> Option<Vec<Line>> {
        if self.writing > 0 || self.waiting.is_empty() || now < self.next {
            return None;
        }
        self.next = now + TRAIL;
        self.writing = self.waiting.len().min(BATCH);
        Some(self.waiting.iter().take(self.writing).cloned().collect())
    }

    /// The lines taken last are written, or not.
    pub fn on_end(&mut self, written: bool) {
        let count = std::mem::take(&mut self.writing);
        if written {
            self.waiting.drain(..count);
        }
    }
}

/// The explanation in the store. Pure.
#[derive(Clone, Debug, Default)]
pub struct Told {
    told: Option<Explain>,
    revision: Option<Revision>,
    writing: bool,
    next: Time,
}

impl Told {
    /// Whether `explain` says something new and may be written now.
    pub fn is_due(&self, now: Time, explain: &Explain) -> bool {
        let new = self.told.as_ref().is_none_or(|told| essence(told) != essence(explain));
        new && !self.writing && now >= self.next
    }

    /// Whether `problem` was told already.
    pub fn has(&self, problem: &String) -> bool {
        self.told.as_ref().is_some_and(|told| told.problems.contains(problem))
    }

    /// The write begins; gives the revision that it replaces.
    pub fn begin(&mut self, now: Time) -> Option<Revision> {
        self.writing = true;
        self.next = now + EXPLAIN;
        self.revision
    }

    /// The write of `explain` has ended; `revision` is what is there now.
    pub fn on_end(&mut self, explain: Option<Explain>, revision: Option<Revision>) {
        self.writing = false;
        self.revision = revision;
        if explain.is_some() {
            self.told = explain;
        }
    }
}

/// Up to which revision operators were told that their writes have been heard.
#[derive(Debug, Default)]
pub struct Heard {
    told: u64,
    is_writing: bool,
}

impl Heard {
    /// Whether `newest` is to be told now.
    pub fn is_due(&self, newest: u64) -> bool {
        newest > self.told && !self.is_writing
    }

    /// The write begins.
    pub fn begin(&mut self) {
        self.is_writing = true;
    }

    /// The write has ended; `told` is what it told, if it was applied.
    pub fn on_end(&mut self, told: Option<u64>) {
        self.is_writing = false;
        self.told = self.told.max(told.unwrap_or(0));
    }
}
