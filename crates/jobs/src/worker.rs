//! A worker, as the owner of its pool sees it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use crate::id::JobId;
use crate::job::{Room, Step};
use crate::pool::symbol::Symbol;
use crate::pool::usage::Usage;
use crate::task;
use crate::{lease, organisation};

slotmap::new_key_type! {
    /// The key of a worker of a pool.
    pub struct Key;
}

/// After how many polls without an answer a worker is considered silent.
pub(crate) const SILENT_POLLS: u32 = 2;

/// By how much the clock of an instance may seem to advance more than the time.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(1_000);

/// How long a worker that is to be maintained waits for room elsewhere. This is longer than
/// moving another worker into the pool takes.
pub(crate) const STRANDED_AFTER: Duration = Duration::from_millis(4_000);

/// A worker's entry in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The ID of the worker instance.
    pub id: String,
    /// The address of the worker.
    pub address: SocketAddr,
    /// The labels, including the rack.
    pub labels: Vec<String>,
    /// The rack; empty if unknown.
    pub rack: String,
    /// The total room.
    pub room: Room,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// The store revision of the entry, which increases with each heartbeat.
    pub revision: u64,
    /// When the worker started, in Unix milliseconds; `None` if the entry doesn't say.
    pub born_ms: Option<u64>,
}

/// The location of a worker, kept in the store for a successor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// The ID of the worker.
    pub id: String,
    /// The address of the worker.
    pub address: SocketAddr,
    /// When the worker instance started, in Unix milliseconds, if it is known. Earlier versions
    /// don't write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
}

impl Location {
    /// Returns whether two locations name one worker, perhaps different instances of it.
    pub(crate) fn is_same_worker(&self, other: &Self) -> bool {
        self.id == other.id && self.address == other.address
    }
}

/// The reason why a worker may not forget an exit yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pending {
    /// This version of the job's progress has to be written.
    Written { job: JobId, version: u64 },
    /// The job is unknown; it has to become known or be certain not to exist.
    Unknown { since: Time },
}

/// The room that a run occupies on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allocation {
    pub run: u64,
    pub room: Room,
    /// The organisation, and the room that counts towards its limit.
    charge: Option<(organisation::Key, Room)>,
    is_long_running: bool,
    /// Whether it serves users of its own, with a target for their latency.
    is_serving: bool,
    is_backfill: bool,
}

impl Allocation {
    /// Returns the allocation of a run of a task of `step`.
    pub fn new(run: u64, step: &Step, organisation: Option<organisation::Key>) -> Self {
        Self {
            run,
            room: step.room(),
            charge: organisation.map(|key| (key, step.needs)),
            is_long_running: step.long_running,
            is_serving: step.target_ms > 0,
            is_backfill: step.backfill,
        }
    }
}

/// A run that the worker lists and this owner didn't order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stray {
    pub run: u64,
    pub since: Time,
    /// When a stop was last sent.
    pub stop_sent: Option<Time>,
    /// Whether its step, and therefore its room, is known.
    pub is_room_known: bool,
    /// Whether its job is known to have ended.
    pub is_job_over: bool,
    /// Whether the worker may carry out its start at any time until it confirms a stop.
    pub is_start_pending: bool,
    /// When the worker confirmed a stop.
    pub stop_confirmed: Option<Time>,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    /// When this instance started, in Unix milliseconds: as it reported, or before its first report
    /// as its entry or the roster says. `None` if unknown.
    pub(crate) born_ms: Option<u64>,
    /// The start of the instance that wrote the entry from which labels, rack, room and drain
    /// are taken.
    pub(crate) registered_born_ms: Option<u64>,
    /// The store's revision at which it was last known to have its address: that of its entry, or
    /// before it is listed that of the roster.
    pub(crate) known_at: u64,
    /// The clock of its last report, in milliseconds.
    pub(crate) reported_clock_ms: u64,
    /// When that report was requested.
    pub(crate) reported_since: Time,
    pub(crate) labels: Vec<String>,
    pub(crate) rack: String,
    pub(crate) rack_symbol: Symbol,
    pub(crate) room: Room,
    pub(crate) used: Room,
    pub(crate) draining: bool,
    /// Since when the list of workers has not contained it.
    pub(crate) missing_since: Option<Time>,
    /// Whether it has answered under this owner's fence.
    pub(crate) fenced: bool,
    /// The fence of polls and orders.
    pub(crate) fence: u64,
    /// The highest fence of starts for this instance and earlier ones; 0 if there are none.
    pub(crate) start_fence: u64,
    /// The highest fence of starts for earlier instances; 0 if there are none.
    pub(crate) former_fence: u64,
    /// The fence of the last poll.
    pub(crate) polled_fence: u64,
    /// The highest fence of a poll that it answered.
    pub(crate) answered_fence: u64,
    /// Whether a predecessor may have started tasks on it.
    pub(crate) is_inherited: bool,
    /// Whether a report has listed all of its exits.
    pub(crate) has_listed_all: bool,
    /// Whether the instance has certainly ended. It is kept for starts that may still reach the next
    /// one under its ID.
    pub(crate) has_ended: bool,
    /// Whether it has been polled, successfully or not.
    pub(crate) is_polled: bool,
    /// Whether the written roster contains it.
    pub(crate) rostered: bool,
    /// Number of consecutive unanswered polls.
    pub(crate) unanswered_polls: u32,
    /// The leases that it may hold.
    pub(crate) leases: lease::Bounds,
    /// The number of the last exit that was handled.
    pub(crate) last_exit: u64,
    /// The number of the last exit that the worker may forget.
    pub(crate) acked: u64,
    pub(crate) pending: BTreeMap<u64, Pending>,
    pub(crate) orphans: Vec<task::Exit>,
    pub(crate) allocations: HashMap<task::Name, Allocation>,
    /// What the runs of organisations use on all workers of the pool.
    usage: Rc<Usage>,
    /// The numbers of allocations of long-running, serving and backfill tasks.
    pub(crate) long_running: u32,
    pub(crate) serving: u32,
    pub(crate) backfill: u32,
    /// The room that long-running tasks use.
    pub(crate) long_running_room: Room,
    pub(crate) strays: HashMap<task::Name, Stray>,
    /// Room reserved for tasks that are to start here.
    pub(crate) reserved: BTreeMap<task::Name, Room>,
    /// Room kept for tasks that were stopped elsewhere or for which runs are stopped here, until they
    /// start.
    pub(crate) incoming: BTreeMap<task::Name, Room>,
    pub(crate) vacate_until: Time,
    /// When vacating for maintenance was first requested.
    pub(crate) vacating_since: Time,
    /// Whether it is vacated because the pool has too many workers, and not for maintenance.
    pub(crate) is_surplus: bool,
    pub(crate) avoid_until: Time,
    /// Number of consecutive failed runs, of different jobs.
    pub(crate) failures_in_row: u32,
    pub(crate) last_failed_job: Option<JobId>,
    /// The speed of backfill tasks here, in percent, and when it last changed.
    pub(crate) pace: u32,
    pub(crate) pace_changed: Time,
}

impl Worker {
    pub(crate) fn new(location: Location, leases: lease::Bounds, usage: Rc<Usage>) -> Self {
        Self {
            id: location.id,
            address: location.address,
            born_ms: location.born_ms,
            registered_born_ms: None,
            known_at: 0,
            reported_clock_ms: 0,
            reported_since: Time::ZERO,
            labels: Vec::new(),
            rack: String::new(),
            rack_symbol: Symbol::default(),
            room: Room::default(),
            used: Room::default(),
            draining: false,
            missing_since: None,
            fenced: false,
            fence: 0,
            start_fence: 0,
            former_fence: 0,
            polled_fence: 0,
            answered_fence: 0,
            is_inherited: false,
            has_listed_all: false,
            has_ended: false,
            is_polled: false,
            rostered: false,
            unanswered_polls: 0,
            leases,
            last_exit: 0,
            acked: 0,
            pending: BTreeMap::new(),
            orphans: Vec::new(),
            allocations: HashMap::new(),
            usage,
            long_running: 0,
            serving: 0,
            backfill: 0,
            long_running_room: Room::default(),
            strays: HashMap::new(),
            reserved: BTreeMap::new(),
            incoming: BTreeMap::new(),
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

    /// Returns the next instance of this worker, which was first heard of at `now`. It keeps what is
    /// known of the VM and what was decided about it, and nothing that the former instance did or said.
    pub(crate) fn next_instance(&self, now: Time, born_ms: Option<u64>) -> Self {
        let mut next = Self {
            born_ms,
            fence: self.fence,
            start_fence: self.start_fence,
            former_fence: self.start_fence,
            polled_fence: self.polled_fence,
            known_at: self.known_at,
            missing_since: self.missing_since,
            rostered: self.rostered,
            vacate_until: self.vacate_until,
            vacating_since: self.vacating_since,
            is_surplus: self.is_surplus,
            is_inherited: self.is_inherited && !self.fenced,
            ..Self::new(
                Location { born_ms, ..self.location() },
                self.leases.next_instance(now),
                self.usage.clone(),
            )
        };
        if is_same_start(self.registered_born_ms, born_ms) {
            next.registered_born_ms = self.registered_born_ms;
            next.labels.clone_from(&self.labels);
            next.rack.clone_from(&self.rack);
            next.rack_symbol = self.rack_symbol;
            next.room = self.room;
            next.draining = self.draining;
        }
        next
    }

    /// Returns whether a report that arrived at `now` can't be one of this instance.
    ///
    /// Reports arrive in the order in which they were sent, so the clock of an instance never goes
    /// back from one to the next. Nor does it advance by more than the time between, which tells
    /// instances apart whose starts aren't known.
    pub(crate) fn has_restarted(&self, now: Time, born_ms: Option<u64>, clock_ms: u64) -> bool {
        if self.born_ms.is_some() && born_ms.is_some() {
            return self.born_ms != born_ms || clock_ms < self.reported_clock_ms;
        }
        let has_reported = self.reported_since > Time::ZERO;
        let elapsed = lease::max_duration(now - self.reported_since) + CLOCK_TOLERANCE;
        let is_ahead = clock_ms > self.reported_clock_ms + millis(elapsed);
        clock_ms < self.reported_clock_ms || has_reported && is_ahead
    }

    pub(crate) fn location(&self) -> Location {
        let born_ms = self.born_ms.or(self.registered_born_ms);
        Location { id: self.id.clone(), address: self.address, born_ms }
    }

    /// Returns whether starts for earlier instances may have its fence.
    pub(crate) fn needs_fence(&self) -> bool {
        self.former_fence > 0 && self.fence <= self.former_fence
    }

    /// Returns whether it has certainly been told a fence that makes it reject all starts for earlier
    /// instances.
    pub(crate) fn rejects_former_starts(&self) -> bool {
        self.former_fence == 0 || self.answered_fence > self.former_fence
    }

    /// Returns whether the last poll was answered.
    pub(crate) fn is_responsive(&self) -> bool {
        self.unanswered_polls == 0
    }

    /// Returns whether tasks may run or have ended there unknown to this owner, which a predecessor
    /// started.
    pub(crate) fn hides_runs(&self, now: Time) -> bool {
        let may_run = !self.fenced && now < self.leases.inherited_until();
        let may_have_exits = self.is_inherited && self.fenced && !self.has_listed_all;
        !self.has_ended && (may_run || may_have_exits)
    }

    /// Returns whether the worker is considered silent.
    pub(crate) fn is_silent(&self) -> bool {
        self.unanswered_polls >= SILENT_POLLS
    }

    /// Allocates room to a run, whether or not it fits: the run exists.
    pub(crate) fn allocate(&mut self, task: task::Name, allocation: Allocation) {
        if let Some(old) = self.allocations.insert(task, allocation) {
            self.uncount(&old);
        }
        self.used.add(&allocation.room);
        if let Some((organisation, room)) = &allocation.charge {
            self.usage.add(*organisation, room);
        }
        self.long_running += u32::from(allocation.is_long_running);
        self.serving += u32::from(allocation.is_serving);
        self.backfill += u32::from(allocation.is_backfill);
        if allocation.is_long_running {
            self.long_running_room.add(&allocation.room);
        }
    }

    fn uncount(&mut self, allocation: &Allocation) {
        self.used.sub(&allocation.room);
        if let Some((organisation, room)) = &allocation.charge {
            self.usage.sub(*organisation, room);
        }
        self.long_running -= u32::from(allocation.is_long_running);
        self.serving -= u32::from(allocation.is_serving);
        self.backfill -= u32::from(allocation.is_backfill);
        if allocation.is_long_running {
            self.long_running_room.sub(&allocation.room);
        }
    }

    /// Releases the room of all runs.
    pub(crate) fn clear_allocations(&mut self) {
        for allocation in std::mem::take(&mut self.allocations).into_values() {
            self.uncount(&allocation);
        }
        self.strays.clear();
        self.used = Room::default();
        (self.long_running, self.serving, self.backfill) = (0, 0, 0);
        self.long_running_room = Room::default();
    }

    /// Releases the room of a run. Another run of the same task keeps its room.
    pub(crate) fn release(&mut self, task: task::Name, run: u64) {
        if self.allocations.get(&task).is_some_and(|allocation| allocation.run == run)
            && let Some(old) = self.allocations.remove(&task)
        {
            self.uncount(&old);
        }
    }

    /// Returns the runs of long-running tasks.
    pub(crate) fn long_running_runs(&self) -> impl Iterator<Item = (&task::Name, &Allocation)> {
        self.allocations.iter().filter(|(_, allocation)| allocation.is_long_running)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    pub(crate) fn is_vacating(&self, now: Time) -> bool {
        now < self.vacate_until
    }

    /// Returns whether the worker is about to leave or to be maintained, so that its end is no crash.
    pub(crate) fn is_end_expected(&self, now: Time) -> bool {
        self.has_ended || self.draining || self.is_vacating(now)
    }

    /// Returns whether the worker is ready for tasks, apart from decisions of the owner.
    pub(crate) fn is_healthy(&self) -> bool {
        self.fenced
            && self.rejects_former_starts()
            && self.rostered
            && self.is_responsive()
            && !self.draining
            && self.missing_since.is_none()
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.accepts_runs(now) && !self.is_vacating(now)
    }

    /// Returns whether tasks that were stopped elsewhere may resume here: it takes new tasks, or
    /// leaves only because its pool has too many workers.
    pub(crate) fn is_host(&self, now: Time) -> bool {
        self.accepts_runs(now) && (!self.is_vacating(now) || self.is_surplus)
    }

    /// Returns whether the worker has no runs and keeps no room for tasks that are to resume here.
    pub(crate) fn is_empty(&self) -> bool {
        self.allocations.is_empty() && self.incoming.is_empty()
    }

    /// Returns whether the worker is to be maintained and could not be emptied for a while.
    pub(crate) fn is_stranded(&self, now: Time) -> bool {
        let is_due = self.is_vacating(now) && !self.is_surplus;
        self.accepts_runs(now) && is_due && now - self.vacating_since > STRANDED_AFTER
    }

    fn accepts_runs(&self, now: Time) -> bool {
        // Nothing is certain to fit beside a run of unknown size.
        let is_room_known = self.strays.values().all(|stray| stray.is_room_known);
        self.is_healthy() && now >= self.avoid_until && is_room_known
    }
}

/// Returns whether two reported starts may be those of one instance: a start that isn't reported
/// is no sign of another instance.
pub(crate) fn is_same_start(first: Option<u64>, second: Option<u64>) -> bool {
    first.is_none() || second.is_none() || first == second
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
