//! The audit trail: who changed what, when, the old and new value, and the
//! revision.
//!
//! The trail is stored in the platform's store as numbered segments of lines.
//! Lines are appended to the last segment by compare-and-swap. A segment that
//! has reached [`SEGMENT_BYTES`] is full, and the next append starts a new one.
//! The newest [`SEGMENTS`] segments are kept. Whether a segment is full depends
//! only on its content, so that concurrent or paused writers decide the same
//! and the compare-and-swap lets one of them succeed.
//!
//! [`Trail`] does no I/O; [`Writer`] performs the reads and writes.

use std::collections::VecDeque;

use crate::key;
use crate::record::{AuditLine, AuditSegment};
use crate::store::{Entry, Error, Expect, Range, Revision, Store};

/// A segment of at least this many bytes is full.
pub const SEGMENT_BYTES: usize = 64 << 10;
/// The number of segments to keep; older ones are deleted.
pub const SEGMENTS: usize = 64;
/// Longer fields of a line are truncated, so that no line exceeds a segment.
pub const FIELD_CHARS: usize = 512;
/// The maximum number of lines per write. Added to a segment that is almost
/// full, with each character escaped, they stay below the store's value limit.
const MAX_BATCH_LINES: usize = 64;
/// The maximum number of attempts of an append that conflicts with other
/// writers.
const MAX_ATTEMPTS: usize = 8;
/// The number of segments searched for an append whose response was lost: it is
/// in the last segment, or in the one before if a new one was started since.
const SEARCHED_SEGMENTS: usize = 2;

/// A write that appends lines to the trail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Put {
    /// The key of the segment.
    pub key: String,
    /// The new content of the segment.
    pub value: String,
    /// The precondition of the write.
    pub expect: Expect,
    number: u64,
    content: AuditSegment,
}

/// A segment beyond the retention.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct ExpiredSegment {
    /// Its key.
    pub key: String,
    /// Its revision, the precondition of the deletion.
    pub revision: Revision,
}

#[derive(Clone, Debug)]
struct Segment {
    number: u64,
    revision: Revision,
    bytes: usize,
    content: AuditSegment,
}

/// The trail as last read or written. [`Writer`] keeps only its end.
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
    /// Creates the trail from a read of [`key::AUDIT`].
    ///
    /// A segment that cannot be parsed counts as full, so that it is not
    /// overwritten and later appends still work.
    pub fn new(range: &Range) -> Self {
        let mut segments: Vec<Segment> = range.entries.iter().filter_map(Segment::new).collect();
        segments.sort_by_key(|segment| segment.number);
        Self { segments: segments.into() }
    }

    /// Returns those of `lines` that the end of the trail does not contain.
    ///
    /// An append whose response was lost may have been applied; retrying it
    /// with all lines would duplicate them.
    pub fn missing(&self, lines: &[AuditLine]) -> Vec<AuditLine> {
        let is_missing = |line: &&AuditLine| {
            let latest = self.segments.iter().rev().take(SEARCHED_SEGMENTS);
            !latest.flat_map(|segment| &segment.content.lines).any(|other| other == *line)
        };
        lines.iter().filter(is_missing).cloned().collect()
    }

    /// Whether the next append starts a new segment.
    pub fn needs_new_segment(&self) -> bool {
        self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES)
    }

    /// Returns the write that appends `lines`.
    pub fn append(&self, lines: &[AuditLine]) -> Put {
        let open = self.segments.back().filter(|_| !self.needs_new_segment());
        let next = || self.segments.back().map_or(0, |segment| segment.number + 1);
        let number = open.map_or_else(next, |segment| segment.number);
        let expect = open.map_or(Expect::Absent, |segment| Expect::Revision(segment.revision));
        let mut content =
            open.map_or_else(AuditSegment::default, |segment| segment.content.clone());
        content.lines.extend(lines.iter().cloned());
        let value = serde_json::to_string(&content).expect("strings and numbers are always JSON");
        Put { key: key::audit(number), value, expect, number, content }
    }

    /// Records that `put` was written at `revision`.
    pub fn on_written(&mut self, put: Put, revision: Revision) {
        self.segments.retain(|segment| segment.number != put.number);
        let bytes = put.value.len();
        self.segments.push_back(Segment {
            number: put.number,
            revision,
            bytes,
            content: put.content,
        });
    }

    /// Returns the segments beyond [`SEGMENTS`], oldest first.
    pub fn expired(&self) -> Vec<ExpiredSegment> {
        let count = self.segments.len().saturating_sub(SEGMENTS);
        let oldest = self.segments.iter().take(count);
        let to_expired = |segment: &Segment| ExpiredSegment {
            key: key::audit(segment.number),
            revision: segment.revision,
        };
        oldest.map(to_expired).collect()
    }

    /// Returns all lines, ordered by revision.
    pub fn lines(&self) -> Vec<AuditLine> {
        let segments = self.segments.iter();
        let mut lines: Vec<AuditLine> =
            segments.flat_map(|segment| segment.content.lines.clone()).collect();
        lines.sort_by_key(|line| line.revision);
        lines
    }

    /// Drops all segments that later appends do not search.
    fn trim(&mut self) {
        let rest = self.segments.len().saturating_sub(SEARCHED_SEGMENTS);
        self.segments.drain(..rest);
    }
}

impl Segment {
    fn new(entry: &Entry) -> Option<Self> {
        let number = entry.key.strip_prefix(key::AUDIT)?.parse().ok()?;
        let revision = entry.revision;
        let segment = match serde_json::from_str(&entry.value) {
            Ok(content) => Self { number, revision, bytes: entry.value.len(), content },
            Err(_) => {
                Self { number, revision, bytes: SEGMENT_BYTES, content: AuditSegment::default() }
            }
        };
        Some(segment)
    }
}

/// Appends lines to the trail in the store.
///
/// A writer caches the last segments, so that an append usually needs one write.
/// It reads the trail at the first append, after a failure, and before it starts
/// a new segment.
#[derive(Debug, Default)]
pub struct Writer {
    trail: Option<Trail>,
}

impl Writer {
    /// Creates a writer with an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends `lines`. Idempotent: a retry after a failure with the same lines
    /// appends only those that are missing.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store, and [`Error::Conflict`] only after several
    /// conflicts with other writers in a row.
    pub fn append(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        let lines: Vec<AuditLine> = lines.iter().map(truncated).collect();
        lines.chunks(MAX_BATCH_LINES).try_for_each(|batch| self.append_batch(store, batch))
    }

    fn append_batch(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        let mut result = Ok(());
        for _ in 0..MAX_ATTEMPTS {
            result = self.try_append(store, lines);
            if !matches!(result, Err(Error::Conflict { .. })) {
                break;
            }
        }
        result
    }

    fn try_append(&mut self, store: &dyn Store, lines: &[AuditLine]) -> Result<(), Error> {
        // Rereads the trail before starting a segment. A writer that was paused
        // for the whole retention would otherwise recreate a segment that was
        // deleted long ago, and its lines would be the next to be deleted.
        let cached = self.trail.take().filter(|trail| !trail.needs_new_segment());
        let mut trail = match cached {
            Some(trail) => trail,
            None => Trail::new(&store.range(key::AUDIT)?),
        };
        let missing = trail.missing(lines);
        if !missing.is_empty() {
            let put = trail.append(&missing);
            let revision = store.put(&put.key, &put.value, put.expect, None)?;
            trail.on_written(put, revision);
            delete_expired(store, &trail);
        }
        trail.trim();
        self.trail = Some(trail);
        Ok(())
    }
}

/// Deletes the segments beyond the retention. Failures are ignored because a
/// later append retries the deletion.
fn delete_expired(store: &dyn Store, trail: &Trail) {
    for segment in trail.expired() {
        let _ = store.delete(&segment.key, Expect::Revision(segment.revision));
    }
}

fn truncated(line: &AuditLine) -> AuditLine {
    let truncate = |text: &str| text.chars().take(FIELD_CHARS).collect();
    AuditLine {
        at_ms: line.at_ms,
        who: truncate(&line.who),
        what: truncate(&line.what),
        from: truncate(&line.from),
        to: truncate(&line.to),
        revision: line.revision,
    }
}
