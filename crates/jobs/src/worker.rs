//! One worker, as the owner of its pool knows it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use crate::id::JobId;
use crate::job::Room;
use crate::task;

slotmap::new_key_type! {
    /// A worker of a pool.
    pub struct Key;
}

/// A worker's clock may run slow by this share, in percent: what the platform
/// promises of its clocks.
const CLOCK_SLOW_PERCENT: u32 = 2;

/// How long a lease of `length` may hold on the clock of the process that granted it:
/// the worker's clock may be slow, by a little more between an answer of the worker and
/// the grant.
///
/// ```
/// use std::time::Duration;
///
/// let length = Duration::from_secs(4);
/// assert_eq!(corianderfork_jobs::worker::max_lease_duration(length), Duration::from_millis(4_120));
/// ```
pub fn max_lease_duration(length: Duration) -> Duration {
    length * (100 + CLOCK_SLOW_PERCENT + 1) / 100
}

/// How long a worker that is to be maintained waits for room elsewhere: longer
/// than it takes to move another one into the pool.
pub(crate) const STRANDED_AFTER: Duration = Duration::from_millis(4_000);

/// What the list of workers says of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// One life of the worker.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its labels, its rack among them.
    pub labels: Vec<String>,
    /// Its rack; empty if that isn't known.
    pub rack: String,
    /// What it has.
    pub room: Room,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The store's revision of the entry: it grows with each heartbeat.
    pub revision: u64,
}

/// Where a worker can be found again: kept in the store for a successor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// One life of the worker.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
}

/// An end that the worker may not forget yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pending {
    /// Until this version of the job's progress is written.
    Written { job: JobId, version: u64 },
    /// Until the job is known, or it is certain that there is none.
    Unknown { since: Time },
}

/// A run that takes room on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allocation {
    pub run: u64,
    pub room: Room,
}

/// A run that the worker lists and the owner didn't ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stray {
    pub run: u64,
    pub since: Time,
    /// When it was last asked to stop.
    pub stop_sent: Option<Time>,
    /// Whether its step, and so what it takes, is known.
    pub is_room_known: bool,
    /// Whether its job is known to be over.
    pub is_job_over: bool,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) labels: Vec<String>,
    pub(crate) rack: String,
    pub(crate) room: Room,
    pub(crate) used: Room,
    pub(crate) draining: bool,
    /// When the list last ceased to hold it.
    pub(crate) missing_since: Option<Time>,
    /// Whether it has answered under the owner's fence.
    pub(crate) fenced: bool,
    /// Whether a look at it has been tried.
    pub(crate) is_polled: bool,
    /// Whether the store's roster names it.
    pub(crate) rostered: bool,
    /// Looks in a row that it didn't answer.
    pub(crate) unanswered_polls: u32,
    /// Its clock, and when it was heard.
    clock: Option<(u64, Time)>,
    /// Until when, on its clock, anything may run there.
    granted_until_ms: u64,
    /// Until when, at the latest, a predecessor's grants hold.
    pub(crate) inherited_until: Time,
    /// The last end that was taken in.
    pub(crate) last_exit: u64,
    /// The last end that it may forget.
    pub(crate) acked: u64,
    pub(crate) pending: BTreeMap<u64, Pending>,
    pub(crate) orphans: Vec<task::Exit>,
    pub(crate) allocations: HashMap<task::Name, Allocation>,
    pub(crate) strays: HashMap<task::Name, Stray>,
    /// Room that is kept for tasks which are to come.
    pub(crate) reserved: BTreeMap<task::Name, Room>,
    pub(crate) vacate_until: Time,
    /// When it was first asked to be emptied for maintenance.
    pub(crate) vacating_since: Time,
    /// Whether it is vacated for want of work, and not for maintenance.
    pub(crate) is_surplus: bool,
    pub(crate) avoid_until: Time,
    /// Failed ends in a row, of different jobs.
    pub(crate) failures_in_row: u32,
    pub(crate) last_failed_job: Option<JobId>,
    /// The share that filling tasks here are let work at, and since when.
    pub(crate) pace: u32,
    pub(crate) pace_changed: Time,
}

impl Worker {
    pub(crate) fn new(seat: Location, inherited_until: Time) -> Self {
        Self {
            id: seat.id,
            address: seat.address,
            labels: Vec::new(),
            rack: String::new(),
            room: Room::default(),
            used: Room::default(),
            draining: false,
            missing_since: None,
            fenced: false,
            is_polled: false,
            rostered: false,
            unanswered_polls: 0,
            clock: None,
            granted_until_ms: 0,
            inherited_until,
            last_exit: 0,
            acked: 0,
            pending: BTreeMap::new(),
            orphans: Vec::new(),
            allocations: HashMap::new(),
            strays: HashMap::new(),
            reserved: BTreeMap::new(),
            vacate_until: Time::ZERO,
            vacating_since: Time::ZERO,
            is_surplus: false,
            avoid_until: Time::ZERO,
            failures_in_row: 0,
            last_failed_job: None,
            pace: 100,
            pace_changed: Time::ZERO,
        }
    }

    pub(crate) fn location(&self) -> Location {
        Location { id: self.id.clone(), address: self.address }
    }

    /// Learns the worker's clock from an answer.
    pub(crate) fn update_clock(&mut self, now: Time, clock_ms: u64) {
        // Answers overtake each other; only a later clock is news.
        if self.clock.is_none_or(|(known, _)| clock_ms >= known) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// When the worker last answered, if it has.
    pub(crate) fn last_heard(&self) -> Option<Time> {
        self.clock.map(|(_, at)| at)
    }

    /// The deadline, on the worker's clock, of a lease of `length` from now, if
    /// its clock is known. What is sent counts as granted: an order without an
    /// answer may have been carried out.
    pub(crate) fn grant(&mut self, now: Time, length: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let deadline = clock + millis(now - at) + millis(length);
        self.granted_until_ms = self.granted_until_ms.max(deadline);
        Some(deadline)
    }

    /// When all that was granted has certainly ended, on the owner's clock.
    ///
    /// The worker's clock may be slow: it shows at least what was heard and 98%
    /// of the time since.
    pub(crate) fn leases_end(&self) -> Time {
        let Some((clock, at)) = self.clock else { return self.inherited_until };
        let left = self.granted_until_ms.saturating_sub(clock);
        let stretched = left * 100 / u64::from(100 - CLOCK_SLOW_PERCENT) + 1;
        (at + Duration::from_millis(stretched)).max(self.inherited_until)
    }

    /// Whether it has answered lately.
    pub(crate) fn is_responsive(&self) -> bool {
        self.unanswered_polls == 0
    }

    /// Counts a run's room. Fits or not: what runs runs.
    pub(crate) fn allocate(&mut self, task: task::Name, run: u64, room: Room) {
        if let Some(old) = self.allocations.insert(task, Allocation { run, room }) {
            self.used.sub(&old.room);
        }
        self.used.add(&room);
    }

    /// Frees a run's room; another run of the task keeps its own.
    pub(crate) fn release(&mut self, task: task::Name, run: u64) {
        if self.allocations.get(&task).is_some_and(|allocation| allocation.run == run)
            && let Some(old) = self.allocations.remove(&task)
        {
            self.used.sub(&old.room);
        }
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    pub(crate) fn is_vacating(&self, now: Time) -> bool {
        now < self.vacate_until
    }

    /// Whether it is one that takes work, as far as it is up to it.
    pub(crate) fn is_healthy(&self) -> bool {
        self.fenced
            && self.rostered
            && self.is_responsive()
            && !self.draining
            && self.missing_since.is_none()
    }

    /// Whether new work may go there.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.accepts_runs(now) && !self.is_vacating(now)
    }

    /// Whether it is to be maintained and could not be emptied for a while.
    pub(crate) fn is_stranded(&self, now: Time) -> bool {
        let is_due = self.is_vacating(now) && !self.is_surplus;
        self.accepts_runs(now) && is_due && now - self.vacating_since > STRANDED_AFTER
    }

    fn accepts_runs(&self, now: Time) -> bool {
        // Beside a run of unknown size nothing is certain to fit.
        let is_room_known = self.strays.values().all(|stray| stray.is_room_known);
        self.is_healthy() && now >= self.avoid_until && is_room_known
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
