//! The journal from the owner's side: one write at a time.

use std::collections::BTreeMap;

use super::id::Id;
use super::index::Horizon;
use super::message::{Action, Answer};
use super::segment::{Entry, HEAD, RECORD_BYTES, Record, Segment, State, Writer};

/// The segment that is being written, as this owner knows it.
#[derive(Clone, Debug)]
pub(super) struct Journal {
    writer: Writer,
    epoch: u64,
    number: u64,
    /// The revision of the segment, 0 before it exists.
    revision: u64,
    seq: u64,
    records: BTreeMap<Id, State>,
    /// Whether [`HEAD`] was read after this segment was created.
    head_checked: bool,
    /// Whether the last write is in the journal and only the read of the head
    /// is missing.
    head_check_pending: bool,
}

/// The outcome of a write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// Not known yet; this read has to be sent to find out.
    Unknown(Action),
    /// The write is in the journal.
    Written,
    /// The write is in the journal, which a successor has sealed since.
    Sealed,
    /// The write is not in the journal.
    NotWritten,
    /// An earlier write of this owner is in the journal, but this one is not.
    EarlierWritten(Segment),
    /// Another process owns the journal.
    LostOwnership,
}

impl Journal {
    /// Creates the journal of an owner that has created the segment `number`
    /// and has read [`HEAD`] since.
    pub(super) fn new(number: u64, revision: u64, segment: Segment) -> Self {
        let Segment { owner: writer, epoch, seq, records, .. } = segment;
        let records = by_id(&records);
        Self {
            writer,
            epoch,
            number,
            revision,
            seq,
            records,
            head_checked: true,
            head_check_pending: false,
        }
    }

    pub(super) fn writer(&self) -> &Writer {
        &self.writer
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Starts the next segment if this one has reached `bytes`.
    ///
    /// This is not undone even if the create fails: if this owner wrote to the
    /// old segment while the next one may exist, the write would escape the
    /// seal of a successor, which seals only the last segment.
    pub(super) fn roll_if_full(&mut self, bytes: usize) {
        if self.revision == 0 || self.records.len() * RECORD_BYTES < bytes {
            return;
        }
        self.number += 1;
        self.revision = 0;
        self.records.clear();
        self.head_checked = false;
    }

    /// Returns the write that adds `changes`. Its sequence number is unused, so
    /// that its effect can be distinguished from that of any other write.
    pub(super) fn next_put(
        &mut self,
        changes: &BTreeMap<Id, State>,
        horizon: Horizon,
    ) -> (Segment, Action) {
        self.seq += 1;
        self.head_check_pending = false;
        let mut records = self.records.clone();
        records.extend(changes);
        let mut value = Segment::new(self.writer.clone(), self.epoch);
        value.seq = self.seq;
        value.first = horizon.first;
        value.floor = horizon.floor;
        value.records = records.into_iter().map(|(id, state)| Record { id, state }).collect();
        let (segment, expect) = (self.number, self.revision);
        (value.clone(), Action::Put { segment, expect, value })
    }

    /// Returns the read that determines the outcome of the last write.
    pub(super) fn read_back(&self) -> Action {
        Action::Read { segment: if self.head_check_pending { HEAD } else { self.number } }
    }

    /// Handles an answer about the write of `value`.
    pub(super) fn on_answer(&mut self, answer: Answer, value: &Segment) -> WriteOutcome {
        match answer {
            Answer::PutDone { revision, .. } => self.on_written(revision, value),
            Answer::PutConflict { .. } | Answer::PutUnknown { .. } => {
                WriteOutcome::Unknown(self.read_back())
            }
            Answer::Read { segment: HEAD, entry } => self.check_head(entry.as_ref()),
            Answer::Read { entry, .. } => self.match_read(entry, value),
            _ => WriteOutcome::NotWritten,
        }
    }

    fn on_written(&mut self, revision: u64, value: &Segment) -> WriteOutcome {
        self.revision = revision;
        self.records = by_id(&value.records);
        if self.head_checked {
            return WriteOutcome::Written;
        }
        self.head_check_pending = true;
        WriteOutcome::Unknown(self.read_back())
    }

    /// Checks that this process still owns the journal. A create-only write
    /// also succeeds if a successor has created, filled and deleted the segment
    /// since, which would start a second journal. The successor wrote its token
    /// to the head before doing so.
    fn check_head(&mut self, head: Option<&Entry>) -> WriteOutcome {
        let head = head.and_then(|entry| entry.segment.as_ref());
        if !head.is_some_and(|head| head.is_written_by(&self.writer, self.epoch)) {
            return WriteOutcome::LostOwnership;
        }
        self.head_checked = true;
        self.head_check_pending = false;
        WriteOutcome::Written
    }

    fn match_read(&mut self, entry: Option<Entry>, value: &Segment) -> WriteOutcome {
        let Some(Entry { revision, segment, .. }) = entry else {
            return if self.revision == 0 {
                WriteOutcome::NotWritten
            } else {
                WriteOutcome::LostOwnership
            };
        };
        let Some(segment) = segment.filter(|s| s.is_written_by(&self.writer, self.epoch)) else {
            return WriteOutcome::LostOwnership;
        };
        if segment.sealed_by.is_some() {
            let written = segment.seq == value.seq && self.head_checked;
            return if written { WriteOutcome::Sealed } else { WriteOutcome::LostOwnership };
        }
        if segment.seq == value.seq {
            return self.on_written(revision, value);
        }
        if revision == self.revision {
            return WriteOutcome::NotWritten;
        }
        // The head has to be read again: this may be a delayed copy of the
        // write that created this segment, which a successor has sealed and
        // deleted since.
        self.head_checked = false;
        self.revision = revision;
        self.records = by_id(&segment.records);
        WriteOutcome::EarlierWritten(segment)
    }
}

fn by_id(records: &[Record]) -> BTreeMap<Id, State> {
    records.iter().map(|record| (record.id, record.state)).collect()
}
