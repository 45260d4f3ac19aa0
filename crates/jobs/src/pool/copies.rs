//! The copies of a start order, and what became of each.
//!
//! A start is sent again while its answer is missing, and a copy may be carried out seconds after it
//! was sent. What is known of one copy says nothing about another: a run has certainly not begun
//! only once each copy was refused or not sent.

use std::fmt;

use super::proof::Proof;

/// The copies of the start order of one run.
///
/// A copy counts as on its way from when it is issued until its own fate is known, whether or not
/// it has been sent, so that none can be missed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Copies {
    issued: u32,
    /// The numbers of the copies on their way.
    open: Vec<u32>,
    /// Whether a copy got no answer, and may still be carried out.
    has_unanswered: bool,
}

impl Copies {
    /// Issues a copy. Returns its number, from 1.
    pub fn issue(&mut self) -> u32 {
        self.issued += 1;
        self.open.push(self.issued);
        self.issued
    }

    /// Records that a copy was answered, or not sent: it will not be carried out any more.
    pub fn settle(&mut self, copy: u32) {
        self.open.retain(|open| *open != copy);
    }

    /// Records that a copy got no answer.
    pub fn lose(&mut self, copy: u32) {
        self.settle(copy);
        self.has_unanswered = true;
    }

    /// Records that any copy may reach the next instance of the worker.
    pub fn lose_all(&mut self) {
        self.open.clear();
        self.has_unanswered = true;
    }

    /// Returns whether a copy is on its way whose answer may still come.
    pub fn are_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns whether a copy may still be carried out.
    pub fn may_arrive(&self) -> bool {
        self.has_unanswered || !self.open.is_empty()
    }

    /// Returns the proof that a run whose copies were all refused or not sent has not begun.
    pub fn not_started(&self) -> Option<Proof> {
        (!self.may_arrive()).then_some(Proof::NotStarted)
    }
}

impl fmt::Display for Copies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unanswered = if self.has_unanswered { ", some unanswered" } else { "" };
        write!(f, "{} start orders, {} on their way{unanswered}", self.issued, self.open.len())
    }
}
