//! Memory for the bodies of requests that are being received and handled.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_model::Time;

/// The longest body that is charged to the part for small bodies, in bytes. Few jobs are larger.
pub const SMALL_BODY: usize = 16 << 10;
/// How long a large body makes no progress before another one may take its memory.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// The result of a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Whether the body may use the memory. Otherwise it must be dropped.
    pub is_granted: bool,
    /// Other bodies that have lost their memory and must be dropped.
    pub dropped: Vec<Id>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Small,
    Large,
}

#[derive(Debug)]
struct Body {
    part: Part,
    bytes: usize,
    /// When bytes last arrived; `None` once the body is complete.
    progressed: Option<Time>,
}

#[derive(Debug)]
struct Pool {
    limit: usize,
    used: usize,
    /// The incomplete bodies, the one without progress for the longest first.
    incomplete: BTreeSet<(Time, Id)>,
}

impl Pool {
    fn new(limit: usize) -> Self {
        Self { limit, used: 0, incomplete: BTreeSet::new() }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used == 0 || self.used.saturating_add(bytes) <= self.limit
    }
}

/// Divides memory among bodies.
///
/// Small bodies have a part of their own. In it a new body takes the memory of the one without
/// progress for the longest, so that unfinished requests keep nobody out. Among large bodies only
/// one that has stalled loses its memory: if bodies that still arrive replaced each other, none
/// would ever be complete.
///
/// ```
/// use corianderfork_entry::intake::Budget;
/// use corianderfork_model::Time;
///
/// let mut budget = Budget::new(8 << 10, 1 << 20);
/// let now = Time::ZERO;
/// let (first, second) = (budget.begin(now), budget.begin(now));
/// assert!(budget.resize(now, first, 6 << 10).is_granted);
/// let grant = budget.resize(now, second, 6 << 10);
/// assert!(grant.is_granted);
/// assert_eq!(grant.dropped, [first]);
/// ```
#[derive(Debug)]
pub struct Budget {
    small: Pool,
    large: Pool,
    bodies: BTreeMap<Id, Body>,
    next_id: u64,
}

impl Budget {
    /// Returns a budget of `small` bytes for small bodies and `large` bytes for others.
    pub fn new(small: usize, large: usize) -> Self {
        Self {
            small: Pool::new(small),
            large: Pool::new(large),
            bodies: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds a body that has no memory yet.
    pub fn begin(&mut self, now: Time) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        self.insert(id, Body { part: Part::Small, bytes: 0, progressed: Some(now) });
        id
    }

    /// Charges `bytes` in total to a body that has made progress. A body that is the only one of
    /// its size is always granted its memory.
    pub fn resize(&mut self, now: Time, id: Id, bytes: usize) -> Grant {
        let mut dropped = Vec::new();
        if !self.bodies.contains_key(&id) {
            return Grant { is_granted: false, dropped };
        }
        self.end(id);
        let (part, stall_time) = match bytes {
            ..=SMALL_BODY => (Part::Small, Duration::ZERO),
            _ => (Part::Large, STALL_TIME),
        };
        while !self.pool(part).has_room(bytes) {
            let oldest = self.pool(part).incomplete.first().copied();
            let Some((_, stalled)) = oldest.filter(|(since, _)| now - *since >= stall_time) else {
                return Grant { is_granted: false, dropped };
            };
            self.end(stalled);
            dropped.push(stalled);
        }
        self.insert(id, Body { part, bytes, progressed: Some(now) });
        Grant { is_granted: true, dropped }
    }

    /// Notes that a body is complete: it keeps its memory until [`Budget::end`].
    pub fn complete(&mut self, id: Id) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        if let (part, Some(progressed)) = (body.part, body.progressed.take()) {
            self.pool(part).incomplete.remove(&(progressed, id));
        }
    }

    /// Removes a body, unless another one has taken its memory.
    pub fn end(&mut self, id: Id) {
        let Some(body) = self.bodies.remove(&id) else { return };
        let pool = self.pool(body.part);
        pool.used -= body.bytes;
        if let Some(progressed) = body.progressed {
            pool.incomplete.remove(&(progressed, id));
        }
    }

    /// Returns the memory of all bodies, in bytes.
    pub fn used(&self) -> usize {
        self.small.used + self.large.used
    }

    fn insert(&mut self, id: Id, body: Body) {
        let pool = self.pool(body.part);
        pool.used += body.bytes;
        // Without bytes there is nothing to take.
        if let Some(progressed) = body.progressed.filter(|_| body.bytes > 0) {
            pool.incomplete.insert((progressed, id));
        }
        self.bodies.insert(id, body);
    }

    fn pool(&mut self, part: Part) -> &mut Pool {
        match part {
            Part::Small => &mut self.small,
            Part::Large => &mut self.large,
        }
    }
}
