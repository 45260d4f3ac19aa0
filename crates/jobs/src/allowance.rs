//! Division of an organisation's limit among pools.
//!
//! Each pool may use a part of the limit, and the parts of all pools add up to the whole. A part is
//! moved by one transaction that lowers one pool's and raises another's, so none is made or lost.
//! Only the owner of a pool lowers its part, and it counts the part as lowered before it writes
//! that: whatever a process doesn't know yet, it uses at most what is recorded.
//!
//! A part is a share of the limit, so it follows a changed limit without any message.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// All parts of a limit.
pub const WHOLE: u32 = 10_000;
/// The share of an equal part that a pool without demand keeps, as a divisor: its first tasks can
/// start before it gets more.
const RESERVE_DIVISOR: u32 = 4;
/// The least parts that are moved at once, if the giver has as many to spare.
const MIN_TRANSFER: u32 = WHOLE / 32;

/// The parts of a limit by pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    parts: BTreeMap<String, u32>,
}

impl Division {
    /// Divides the limit equally among pools.
    ///
    /// ```
    /// use corianderfork_jobs::allowance::{Division, WHOLE};
    ///
    /// let division = Division::equal(["a", "b", "c"]);
    /// assert!(division.is_whole());
    /// assert_eq!(division.part("b"), WHOLE / 3);
    /// assert_eq!(division.part("other"), 0);
    /// ```
    pub fn equal<'a>(pools: impl IntoIterator<Item = &'a str>) -> Self {
        let mut parts: BTreeMap<String, u32> =
            pools.into_iter().map(|pool| (pool.to_owned(), 0)).collect();
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX).max(1);
        for part in parts.values_mut() {
            *part = WHOLE / count;
        }
        if let Some(first) = parts.values_mut().next() {
            *first += WHOLE % count;
        }
        Self { parts }
    }

    /// Returns the part of a pool.
    pub fn part(&self, pool: &str) -> u32 {
        self.parts.get(pool).copied().unwrap_or(0)
    }

    /// Returns the pools with a part.
    pub fn pools(&self) -> impl Iterator<Item = (&str, u32)> {
        self.parts.iter().map(|(pool, part)| (pool.as_str(), *part))
    }

    /// Returns whether the parts add up to the whole, as those of every valid division.
    pub fn is_whole(&self) -> bool {
        let sum: u64 = self.parts.values().map(|part| u64::from(*part)).sum();
        sum == u64::from(WHOLE)
    }

    /// Moves parts from one pool to another. Returns `None` if `from` has fewer.
    ///
    /// ```
    /// use corianderfork_jobs::allowance::{Division, WHOLE};
    ///
    /// let division = Division::equal(["a", "b"]);
    /// let moved = division.transfer("a", "b", 1_000).expect("a has enough");
    /// assert_eq!((moved.part("a"), moved.part("b")), (4_000, 6_000));
    /// assert!(moved.is_whole());
    /// assert_eq!(moved.transfer("a", "b", 4_001), None);
    /// ```
    #[must_use]
    pub fn transfer(&self, from: &str, to: &str, parts: u32) -> Option<Self> {
        let left = self.part(from).checked_sub(parts)?;
        let mut next = self.clone();
        next.parts.insert(from.to_owned(), left);
        *next.parts.entry(to.to_owned()).or_default() += parts;
        Some(next)
    }

    /// Returns the part that a pool keeps if it has no use for it.
    fn reserve(&self) -> u32 {
        let count = u32::try_from(self.parts.len()).unwrap_or(u32::MAX).max(1);
        WHOLE / count / RESERVE_DIVISOR
    }
}

/// What a pool does with its part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// What its runs use.
    pub used: u32,
    /// What its runs and the tasks that could start now would use.
    pub wanted: u32,
    /// What its runs and the next task would use, if no task could start for a while; else 0.
    #[serde(default)]
    pub needed: u32,
    /// What tasks of jobs that can still be in time use or wait for; `None` stands for all that is
    /// wanted, as earlier versions mean it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<u32>,
    /// Whether a task that can still be in time has waited for the limit for a while, although
    /// others may have started.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_delayed: bool,
}

impl Demand {
    /// Returns the demand as it is sent: without `urgent` where that is all that is wanted.
    ///
    /// ```
    /// use corianderfork_jobs::allowance::Demand;
    ///
    /// let demand = |urgent| Demand { wanted: 6_000, urgent: Some(urgent), ..Demand::default() };
    /// assert_eq!(demand(6_000).compact().urgent, None);
    /// assert_eq!(demand(0).compact(), demand(0));
    /// ```
    #[must_use]
    pub fn compact(self) -> Self {
        Self { urgent: self.urgent.filter(|urgent| *urgent != self.wanted), ..self }
    }

    /// Returns the urgent part of what is wanted, and the rest.
    fn by_urgency(&self) -> (u64, u64) {
        let urgent = self.urgent.map_or(self.wanted, |urgent| urgent.min(self.wanted));
        (u64::from(urgent), u64::from(self.wanted - urgent))
    }
}

/// Returns the part of `both` that `own` gets beside `other`: what is urgent for both is served
/// first, in proportion, and then the rest.
fn fair_part(both: u64, own: &Demand, other: &Demand) -> u32 {
    let ((own_urgent, own_rest), (other_urgent, other_rest)) =
        (own.by_urgency(), other.by_urgency());
    let urgent = own_urgent + other_urgent;
    let part = if urgent + own_rest + other_rest <= both {
        u64::from(own.wanted)
    } else if urgent >= both {
        both * own_urgent / urgent.max(1)
    } else {
        own_urgent + (both - urgent) * own_rest / (own_rest + other_rest).max(1)
    };
    u32::try_from(part).unwrap_or(u32::MAX)
}

/// Returns how many parts `giver` hands to `taker`.
///
/// A pool gives what it has no use for. Where both want more than they have together, they divide
/// that by urgency, and in proportion to what they want. If no task of the taker could start for a while, it gives
/// all that its runs don't use and the next task needs: a task that takes most of the limit would
/// otherwise never start. What its runs use is never given.
///
/// ```
/// use corianderfork_jobs::allowance::{Demand, Division, gift};
///
/// let division = Division::equal(["idle", "busy"]);
/// let busy = Demand { used: 5_000, wanted: 9_000, ..Demand::default() };
/// let idle = Demand::default();
/// assert_eq!(gift(&division, ("idle", &idle), ("busy", &busy)), 3_750);
/// assert_eq!(gift(&division, ("busy", &busy), ("idle", &idle)), 0);
/// ```
pub fn gift(division: &Division, giver: (&str, &Demand), taker: (&str, &Demand)) -> u32 {
    let (giver, own) = giver;
    let (taker, other) = taker;
    let (part, taken) = (division.part(giver), division.part(taker));
    let missing = other.wanted.saturating_sub(taken);
    if missing == 0 || giver == taker {
        return 0;
    }
    let unused = part.saturating_sub(own.used);
    let for_next = other.needed.saturating_sub(taken).min(unused);
    let both = u64::from(part) + u64::from(taken);
    let fair = fair_part(both, own, other);
    let kept = fair.max(own.used).max(division.reserve());
    missing.max(MIN_TRANSFER).min(part.saturating_sub(kept)).max(for_next)
}

/// Returns how many parts `giver` holds back for `taker` if tasks of the taker couldn't start for a
/// while: new runs of the giver don't use them, so the taker gets what current runs free when they
/// end.
///
/// It is what the giver has beyond its fair part, so two pools never hold parts back for each
/// other. If no task of the taker could start, it is also what the next one needs, unless the giver
/// can't start any itself.
///
/// ```
/// use corianderfork_jobs::allowance::{Demand, Division, held_back};
///
/// let division = Division::equal(["long", "short"]).transfer("short", "long", 4_000);
/// let division = division.expect("short has enough");
/// let long = Demand { used: 9_000, wanted: 10_000, ..Demand::default() };
/// let short = Demand { used: 1_000, wanted: 10_000, is_delayed: true, ..Demand::default() };
/// assert_eq!(held_back(&division, ("long", &long), ("short", &short)), 4_000);
/// let short = Demand { is_delayed: false, ..short };
/// assert_eq!(held_back(&division, ("long", &long), ("short", &short)), 0);
/// ```
pub fn held_back(division: &Division, giver: (&str, &Demand), taker: (&str, &Demand)) -> u32 {
    let (giver, own) = giver;
    let (taker, other) = taker;
    let (part, taken) = (division.part(giver), division.part(taker));
    let next = other.needed.saturating_sub(taken);
    let missing = other.wanted.saturating_sub(taken);
    if giver == taker || missing == 0 || !(other.is_delayed || next > 0) {
        return 0;
    }
    let fair = fair_part(u64::from(part) + u64::from(taken), own, other);
    let beyond = missing.min(part.saturating_sub(fair.max(division.reserve())));
    let next = if own.needed > 0 { 0 } else { next.min(part) };
    beyond.max(next)
}
