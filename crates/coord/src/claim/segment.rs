//! The format of a shard's journal in the platform's service.

use std::fmt;

use corianderfork_model::{Name, Time};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::base64;
use super::id::{Attempt, Id};

/// The number of the segment that has no records but names the process that
/// took over the shard last. It is never deleted.
pub const HEAD: u64 = 0;
/// The size of a record in JSON: quotes, comma, tag and two numbers.
pub(super) const RECORD_BYTES: usize = 3 + 1 + 2 * base64::LEN;

/// The state of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The attempt may have run the request; the outcome is unknown.
    Claimed(Attempt),
    /// The attempt ran the request and received its answer.
    Done(Attempt),
    /// The attempt was given up before the first byte was sent; another one may
    /// run the request.
    Abandoned(Attempt),
}

/// An id and its state, in JSON a string of 45 characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request id.
    pub id: Id,
    /// The state of an id.
    pub state: State,
}

/// The process that wrote a segment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// The process name.
    pub name: Name,
    /// The incarnation, which distinguishes it from earlier processes of the
    /// same name.
    pub incarnation: u64,
}

impl Writer {
    /// Creates the writer `name` with `incarnation`.
    pub fn new(name: Name, incarnation: u64) -> Self {
        Self { name, incarnation }
    }
}

/// One value of the journal. An owner rewrites the last segment with each
/// batch, and starts a new one when it reaches the configured size.
///
/// ```
/// use corianderfork_coord::claim::{segment::Writer, Attempt, Id, Record, Segment, State};
/// use corianderfork_model::{Name, Time};
///
/// let id = Id::issue(Time::from_millis(1_700_000_000_000), 5);
/// let writer = Writer::new(Name::new("entry-1")?, 42);
/// let mut segment = Segment::new(writer, 17);
/// segment.records.push(Record { id, state: State::Claimed(Attempt::new(42, 1)) });
/// let text = serde_json::to_string(&segment)?;
/// assert_eq!(serde_json::from_str::<Segment>(&text)?, segment);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The process that writes the segment.
    pub owner: Writer,
    /// The fencing token under which it writes.
    pub epoch: u64,
    /// The sequence number of the last write. It increases with each write that
    /// is sent, so that an owner recognises a write whose answer was lost.
    pub seq: u64,
    /// The fencing token of the owner that sealed the segment, if it is sealed;
    /// no record is added to it after that.
    pub sealed_by: Option<u64>,
    /// The first segment that is still needed; lower ones may be deleted.
    pub first: u64,
    /// Ids issued before this time (Unix time) are forgotten and never granted.
    pub floor: Time,
    /// At most one record per id; later segments override earlier ones.
    pub records: Vec<Record>,
}

impl Segment {
    /// Creates an empty segment of `owner` under the fencing token `epoch`.
    pub fn new(owner: Writer, epoch: u64) -> Self {
        let floor = Time::ZERO;
        Self { owner, epoch, seq: 0, sealed_by: None, first: HEAD + 1, floor, records: Vec::new() }
    }

    /// Whether `owner` wrote the segment under `epoch`.
    pub fn is_written_by(&self, owner: &Writer, epoch: u64) -> bool {
        self.epoch == epoch && self.owner == *owner
    }
}

/// A segment as read from the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The segment number.
    pub number: u64,
    /// The revision of the key.
    pub revision: u64,
    /// The value, or `None` if it can't be decoded.
    pub segment: Option<Segment>,
}

impl Serialize for Record {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let (tag, attempt) = match self.state {
            State::Claimed(attempt) => ('c', attempt),
            State::Done(attempt) => ('d', attempt),
            State::Abandoned(attempt) => ('a', attempt),
        };
        let (id, attempt) = (base64::encode(self.id.as_u128()), base64::encode(attempt.as_u128()));
        s.collect_str(&format_args!("{tag}{id}{attempt}"))
    }
}

impl<'de> Deserialize<'de> for Record {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(Visitor)
    }
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Record;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a claim record: c, d or a, then an id and an attempt of 22 characters each")
    }

    fn visit_str<E: de::Error>(self, s: &str) -> Result<Record, E> {
        parse(s).ok_or_else(|| E::invalid_value(de::Unexpected::Str(s), &self))
    }
}

fn parse(s: &str) -> Option<Record> {
    let tag = s.get(..1)?;
    let id = Id::new(base64::decode(s.get(1..1 + base64::LEN)?)?).ok()?;
    let attempt = Attempt::from_u128(base64::decode(s.get(1 + base64::LEN..)?)?);
    let state = match tag {
        "c" => State::Claimed(attempt),
        "d" => State::Done(attempt),
        "a" => State::Abandoned(attempt),
        _ => return None,
    };
    Some(Record { id, state })
}
