//! The journal as its owner writes it, one write at a time.

use std::collections::BTreeMap;

use super::id::Id;
use super::index::Horizon;
use super::message::{Action, Answer};
use super::segment::{Entry, HEAD, RECORD_BYTES, Record, Segment, State, Writer};

/// The segment being written, as this owner knows it.
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
    checked: bool,
    /// Whether the last write is in the journal and only the head's read is
    /// missing.
    checking: bool,
}

/// What became of a write.
#[derive(Debug)]
pub(super) enum Landing {
    /// Not known yet; this read will tell.
    Read(Action),
    /// It is in the journal.
    Landed,
    /// It is in the journal, which a successor has sealed since.
    Sealed,
    /// It is not in the journal.
    NotLanded,
    /// An earlier write of this owner is in the journal, this one isn't.
    Adopted(Segment),
    /// The journal is another's.
    Foreign,
}

impl Journal {
    /// The journal of an owner that has created the segment `number` and read
    /// [`HEAD`] since.
    pub(super) fn new(number: u64, revision: u64, segment: Segment) -> Self {
        let Segment { owner: writer, epoch, seq, records, .. } = segment;
        let records = by_id(&records);
        Self { writer, epoch, number, revision, seq, records, checked: true, checking: false }
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

    /// Starts the next segment if this one has grown to `bytes`.
    ///
    /// There is no way back, also if the create should fail: a write to this
    /// one while the next may exist would miss the seal of a successor, which
    /// seals the last segment only.
    pub(super) fn roll_at(&mut self, bytes: usize) {
        if self.revision == 0 || self.records.len() * RECORD_BYTES < bytes {
            return;
        }
        self.number += 1;
        self.revision = 0;
        self.records.clear();
        self.checked = false;
    }

    /// The write that adds `changes`. Its number has never been used, so that
    /// its effect can be told from that of any other.
    pub(super) fn put(&mut self, changes: &BTreeMap<Id, State>, to: Horizon) -> (Segment, Action) {
        self.seq += 1;
        self.checking = false;
        let mut records = self.records.clone();
        records.extend(changes);
        let mut value = Segment::new(self.writer.clone(), self.epoch);
        value.seq = self.seq;
        value.first = to.first;
        value.floor = to.floor;
        value.records = records.into_iter().map(|(id, state)| Record { id, state }).collect();
        let (segment, expect) = (self.number, self.revision);
        (value.clone(), Action::Put { segment, expect, value })
    }

    /// The read that tells what became of the last write.
    pub(super) fn read(&self) -> Action {
        Action::Read { segment: if self.checking { HEAD } else { self.number } }
    }

    /// Takes in an answer about the write of `value`.
    pub(super) fn on_answer(&mut self, answer: Answer, value: &Segment) -> Landing {
        match answer {
            Answer::PutDone { revision, .. } => self.land(revision, value),
            Answer::PutConflict { .. } | Answer::PutUnknown { .. } => Landing::Read(self.read()),
            Answer::Read { segment: HEAD, entry } => self.check(entry.as_ref()),
            Answer::Read { entry, .. } => self.recognise(entry, value),
            _ => Landing::NotLanded,
        }
    }

    fn land(&mut self, revision: u64, value: &Segment) -> Landing {
        self.revision = revision;
        self.records = by_id(&value.records);
        if self.checked {
            return Landing::Landed;
        }
        self.checking = true;
        Landing::Read(self.read())
    }

    /// A create-only write also succeeds where a successor has created the
    /// segment, filled it and deleted it since: a second journal would begin.
    /// The successor wrote its token to the head before all that.
    fn check(&mut self, head: Option<&Entry>) -> Landing {
        let head = head.and_then(|entry| entry.segment.as_ref());
        if !head.is_some_and(|head| head.is_of(&self.writer, self.epoch)) {
            return Landing::Foreign;
        }
        self.checked = true;
        self.checking = false;
        Landing::Landed
    }

    fn recognise(&mut self, entry: Option<Entry>, value: &Segment) -> Landing {
        let Some(Entry { revision, segment, .. }) = entry else {
            return if self.revision == 0 { Landing::NotLanded } else { Landing::Foreign };
        };
        let Some(segment) = segment.filter(|s| s.is_of(&self.writer, self.epoch)) else {
            return Landing::Foreign;
        };
        if segment.sealed_by.is_some() {
            let landed = segment.seq == value.seq && self.checked;
            return if landed { Landing::Sealed } else { Landing::Foreign };
        }
        if segment.seq == value.seq {
            return self.land(revision, value);
        }
        if revision == self.revision {
            return Landing::NotLanded;
        }
        // The head has to be read again: this may be a late copy of the create
        // of this segment, which a successor has sealed and deleted since.
        self.checked = false;
        self.revision = revision;
        self.records = by_id(&segment.records);
        Landing::Adopted(segment)
    }
}

fn by_id(records: &[Record]) -> BTreeMap<Id, State> {
    records.iter().map(|record| (record.id, record.state)).collect()
}
