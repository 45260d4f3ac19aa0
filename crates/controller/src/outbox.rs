//! Records written for operators in addition to the decisions: the audit trail,
//! the explanation and the acknowledgement of operators' writes. They may lag;
//! no decision waits for them.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_provider::record::{AuditLine, Explain};
use corianderfork_provider::store::Revision;

use crate::plan::explain::comparable;

/// Audit lines kept while the store is down. Beyond this the oldest are
/// dropped.
const CAPACITY: usize = 4096;
/// Audit lines written at once.
const BATCH_SIZE: usize = 256;
/// The minimum time between two writes of the explanation.
const EXPLANATION_INTERVAL: Duration = Duration::from_secs(2);
/// The minimum time between two writes of the audit trail.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);

/// Audit lines that are still to be written. Does no I/O.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    pending: VecDeque<AuditLine>,
    in_flight: usize,
    next_write: Time,
}

impl Audit {
    /// Adds a line.
    pub fn push(&mut self, line: AuditLine) {
        if self.pending.len() >= CAPACITY {
            log::warn!(
                "audit queue is full as the trail can't be written; dropped its oldest line"
            );
            self.pending.remove(self.in_flight);
        }
        self.pending.push_back(line);
    }

    /// Returns the lines to be written now. [`Audit::on_end`] must follow.
    pub fn take(&mut self, now: Time) -> Option<Vec<AuditLine>> {
        if self.in_flight > 0 || self.pending.is_empty() || now < self.next_write {
            return None;
        }
        self.next_write = now + AUDIT_INTERVAL;
        self.in_flight = self.pending.len().min(BATCH_SIZE);
        Some(self.pending.iter().take(self.in_flight).cloned().collect())
    }

    /// Ends the write of the lines taken last. If it failed, they are written
    /// again.
    pub fn on_end(&mut self, written: bool) {
        let count = std::mem::take(&mut self.in_flight);
        if written {
            self.pending.drain(..count);
        }
    }
}

/// The explanation as last written to the store. Does no I/O.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    written: Option<Explain>,
    revision: Option<Revision>,
    in_flight: bool,
    next_write: Time,
}

impl Explanation {
    /// Whether `explain` differs from the last one in more than ages and may be
    /// written now.
    pub fn is_due(&self, now: Time, explain: &Explain) -> bool {
        let is_new =
            self.written.as_ref().is_none_or(|written| comparable(written) != comparable(explain));
        is_new && !self.in_flight && now >= self.next_write
    }

    /// Whether the last explanation already reported `problem`.
    pub fn has_problem(&self, problem: &String) -> bool {
        self.written.as_ref().is_some_and(|written| written.problems.contains(problem))
    }

    /// Begins a write. Returns the revision that it replaces.
    pub fn begin(&mut self, now: Time) -> Option<Revision> {
        self.in_flight = true;
        self.next_write = now + EXPLANATION_INTERVAL;
        self.revision
    }

    /// Ends a write. `explain` is the explanation that was applied, if any, and
    /// `revision` the current revision in the store.
    pub fn on_end(&mut self, explain: Option<Explain>, revision: Option<Revision>) {
        self.in_flight = false;
        self.revision = revision;
        if explain.is_some() {
            self.written = explain;
        }
    }
}

/// The revision up to which operators' writes were acknowledged.
#[derive(Debug, Default)]
pub struct Acknowledgement {
    acknowledged: u64,
    in_flight: bool,
}

impl Acknowledgement {
    /// Whether `newest` is to be acknowledged now.
    pub fn is_due(&self, newest: u64) -> bool {
        newest > self.acknowledged && !self.in_flight
    }

    /// Begins a write.
    pub fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Ends a write. `acknowledged` is the revision that it acknowledged, if it
    /// was applied.
    pub fn on_end(&mut self, acknowledged: Option<u64>) {
        self.in_flight = false;
        self.acknowledged = self.acknowledged.max(acknowledged.unwrap_or(0));
    }
}
