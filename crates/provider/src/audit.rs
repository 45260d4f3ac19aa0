//! The audit trail: who changed what, when, from, to, and at which revision.
//!
//! The trail lies in the platform's service as numbered segments of lines.
//! Lines are added to the last segment by compare-and-swap; one that has
//! reached [`SEGMENT_BYTES`] takes no more, and the next is begun. The newest
//! [`SEGMENTS`] segments are kept. Whether a segment is full follows from its
//! content alone: two writers that race, or one that was paused, decide the
//! same, and the compare-and-swap lets one of them through.
//!
//! [`Trail`] decides and does no I/O; [`Writer`] carries its decisions out.

use std::collections::VecDeque;

use crate::key;
use crate::record::{AuditLine, AuditSegment};
use crate::store::{Entry, Error, Expect, Range, Revision, Store};

/// A segment with at least this many bytes takes no more lines.
pub const SEGMENT_BYTES: usize = 64 << 10;
/// How many segments are kept; the oldest beyond them are dropped.
pub const SEGMENTS: usize = 64;
/// Longer fields of a line are cut, so that no line outgrows a segment.
pub const FIELD_CHARS: usize = 512;
/// The most lines written at once: with a segment just short of full, and each
/// character escaped, they stay below the store's largest value.
const BATCH: usize = 64;
/// How often an append that loses against other writers starts again.
const ATTEMPTS: usize = 8;
/// A lost append lies in the last segment, or just before one begun since.
const SEARCHED: usize = 2;

/// A write that adds lines to the trail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Put {
    /// The key of the segment.
    pub key: String,
    /// Its new content.
    pub value: String,
    /// What it has to replace.
    pub expect: Expect,
    number: u64,
    audit: AuditSegment,
}

/// A segment to drop.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Surplus {
    /// Its key.
    pub key: String,
    /// Its revision, at which it is dropped.
    pub revision: Revision,
}

#[derive(Clone, Debug)]
struct Segment {
    number: u64,
    revision: Revision,
    bytes: usize,
    audit: AuditSegment,
}

/// The end of the trail as it was last seen.
///
/// ```
/// use corianderfork_provider::audit::Trail;
/// use corianderfork_provider::record::AuditLine;
/// use corianderfork_provider::store::{Range, Revision};
///
/// let trail = Trail::new(&Range { revision: Revision(7), entries: Vec::new() });
/// let line = AuditLine {
///     at_ms: 0,
///     who: "operator".to_owned(),
///     what: "drain v01".to_owned(),
///     from: "serving".to_owned(),
///     to: "draining".to_owned(),
///     revision: 7,
/// };
/// let put = trail.append(&[line]);
/// assert_eq!(put.key, "audit/00000000");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Trail {
    segments: VecDeque<Segment>,
}

impl Trail {
    /// The trail as a read of [`key::AUDIT`] found it.
    ///
    /// A segment that can't be read counts as full: it is neither overwritten
    /// nor does it stop the trail.
    pub fn new(range: &Range) -> Self {
        let mut segments: Vec<Segment> = range.entries.iter().filter_map(Segment::new).collect();
        segments.sort_by_key(|segment| segment.number);
        Self { segments: segments.into() }
    }

    /// Those of `lines` that the end of the trail doesn't have yet.
    ///
    /// An append whose answer was lost may have taken effect; asking again for
    /// all its lines would put them into the trail twice.
    pub fn missing(&self, lines: &[AuditLine]) -> Vec<AuditLine> {
        let seen = |line: &&AuditLine| {
            let latest = self.segments.iter().rev().take(SEARCHED);
            !latest.flat_map(|segment| &segment.audit.lines).any(|other| other == *line)
        };
        lines.iter().filter(seen).cloned().collect()
    }

    /// Whether the next append begins a segment.
    pub fn rolls(&self) -> bool {
        self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES)
    }

    /// The write that adds `lines`.
    pub fn append(&self, lines: &[AuditLine]) -> Put {
        let open = self.segments.back().filter(|_| !self.rolls());
        let next = || self.segments.back().map_or(0, |segment| segment.number + 1);
        let number = open.map_or_else(next, |segment| segment.number);
        let expect = open.map_or(Expect::Absent, |segment| Expect::Revision(segment.revision));
        let mut audit = open.map_or_else(AuditSegment::default, |segment| segment.audit.clone());
        audit.lines.extend(lines.iter().cloned());
        let value = serde_json::to_string(&audit).expect("strings and numbers are always JSON");
        Put { key: key::audit(number), value, expect, number, audit }
    }

    /// Takes note that `put` was written as `revision`.
    pub fn written(&mut self, put: Put, revision: Revision) {
        self.segments.retain(|segment| segment.number != put.number);
        let bytes = put.value.len();
        self.segments.push_back(Segment { number: put.number, revision, bytes, audit: put.audit });
    }

    /// The segments beyond [`SEGMENTS`], oldest first.
    pub fn surplus(&self) -> Vec<Surplus> {
        let count = self.segments.len().saturating_sub(SEGMENTS);
        let oldest = self.segments.iter().take(count);
        let drop = |segment: &Segment| Surplus {
            key: key::audit(segment.number),
            revision: segment.revision,
        };
        oldest.map(drop).collect()
    }

    /// All lines, in the order of their revisions.
    pub fn lines(&self) -> Vec<AuditLine> {
        let segments = self.segments.iter();
        let mut lines: Vec<AuditLine> =
            segments.flat_map(|segment| segment.audit.lines.clone()).collect();
        lines.sort_by_key(|line| line.revision);
        lines
    }

    /// Forgets all but the segments that later appends look at.
    fn trim(&mut self) {
        let rest = self.segments.len().saturating_sub(SEARCHED);
        self.segments.drain(..rest);
    }
}

impl Segment {
    fn new(entry: &Entry) -> Option<Self> {
        let number = entry.key.strip_prefix(key::AUDIT)?.parse().ok()?;
        let revision = entry.revision;
        let segment = match serde_json::from_str(&entry.value) {
            Ok(audit) => Self { number, revision, bytes: entry.value.len(), audit },
            Err(_) => {
                Self { number, revision, bytes: SEGMENT_BYTES, audit: AuditSegment::default() }
            }
        };
        Some(segment)
    }
}

/// Appends to the trail in the store.
///
/// One that is kept remembers the last segment, so that an append is one
/// write; it reads the trail only at first, after a lost race, and before a new
/// segment.
#[derive(Debug, Default)]
pub struct Writer {
    trail: Option<Trail>,
}

impl Writer {
    /// A writer that has not seen the trail yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `lines`. After a failure, calling it again with the same lines
    /// adds those that are not there yet.
    ///
    /// # Errors
    ///
    /// Fails as the store does; with [`Error::Conflict`] only after having
    /// lost against other writers many times in a row.
    pub fn append(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        let lines: Vec<AuditLine> = lines.iter().map(clipped).collect();
        lines.chunks(BATCH).try_for_each(|batch| self.append_batch(store, batch))
    }

    fn append_batch(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        let mut result = Ok(());
        for _ in 0..ATTEMPTS {
            result = self.attempt(store, lines);
            if !matches!(result, Err(Error::Conflict { .. })) {
                break;
            }
        }
        result
    }

    fn attempt(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        // Before a new segment the trail is read anew: a writer paused for the
        // whole retention would else begin one that was dropped long ago, and
        // its lines would lie at the wrong end and be dropped next.
        let kept = self.trail.take().filter(|trail| !trail.rolls());
        let mut trail = match kept {
            Some(trail) => trail,
            None => Trail::new(&store.range(key::AUDIT)?),
        };
        let missing = trail.missing(lines);
        if !missing.is_empty() {
            let put = trail.append(&missing);
            let revision = store.put(&put.key, &put.value, put.expect, None)?;
            trail.written(put, revision);
            drop_surplus(store, &trail);
        }
        trail.trim();
        self.trail = Some(trail);
        Ok(())
    }
}

/// Drops the segments beyond the retention. One that can't be dropped now is
/// dropped by a later append, so that a failure here is none of the append.
fn drop_surplus(store: &dyn Store, trail: &Trail) {
    for segment in trail.surplus() {
        let _ = store.delete(&segment.key, Expect::Revision(segment.revision));
    }
}

fn clipped(line: &AuditLine) -> AuditLine {
    let clip = |text: &str| text.chars().take(FIELD_CHARS).collect();
    AuditLine {
        at_ms: line.at_ms,
        who: clip(&line.who),
        what: clip(&line.what),
        from: clip(&line.from),
        to: clip(&line.to),
        revision: line.revision,
    }
}
