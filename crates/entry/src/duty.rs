//! Assigns duties to members: each pool's work and the fleet's planning have one holder.
//!
//! This module does no I/O: it takes the state that all members read from the store and
//! returns which duties a member should take. A member takes a duty by writing itself into
//! the duty's record with compare-and-swap; the revision of that write is its fence.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use crate::placement::QueueRecord;
use crate::rendezvous::score;
use crate::tenure::{LEASE_TTL, OUTAGE_GRACE};

/// The key prefix of members' records; the name follows.
pub const MEMBER_PREFIX: &str = "entry/member/";
/// The key prefix of duties' records; the name follows.
pub const DUTY_PREFIX: &str = "entry/duty/";
/// The common prefix of members', duties' and queues' records.
pub const PREFIX: &str = "entry/";
/// The duty of planning for the fleet.
pub const FLEET: &str = "fleet";

/// Returns the duty of owning a pool.
///
/// A pool has the name that operators give it, and may be called like the planner's duty. That name,
/// with any number of slashes behind it, gets one slash more, so that no two duties are called alike.
/// All other pools' duties are called as the pool.
///
/// ```
/// use corianderfork_entry::duty::{FLEET, of_pool, pool_of};
///
/// assert_eq!(of_pool("desk"), "desk");
/// assert_ne!(of_pool("fleet"), FLEET);
/// for pool in ["desk", "desk/north", "fleet", "fleet/", "fleet/north", ""] {
///     assert_eq!(pool_of(&of_pool(pool)), Some(pool));
/// }
/// ```
pub fn of_pool(pool: &str) -> String {
    if is_like_fleet(pool) { format!("{pool}/") } else { pool.to_owned() }
}

/// Returns the pool whose owner has a duty; `None` for the planner's duty.
pub fn pool_of(duty: &str) -> Option<&str> {
    match is_like_fleet(duty) {
        true => duty.strip_suffix('/'),
        false => Some(duty),
    }
}

fn is_like_fleet(name: &str) -> bool {
    name.trim_end_matches('/') == FLEET
}

/// Returns the key of a duty's record.
pub fn key(duty: &str) -> String {
    format!("{DUTY_PREFIX}{duty}")
}

/// How long a holder's member record may be missing before the holder counts as dead.
/// After an outage of the store in which leases expired, all members register again
/// within one renewal; without this pause the first one back would take over duties
/// from holders that are alive.
const ABSENCE_GRACE: Duration = Duration::from_millis(900);
/// The extra delay of each further candidate, in case those before it don't take the duty.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(700);

/// How long a replaced holder may continue to grant leases: as long as it continues without the
/// store, plus its previous lease.
const STALE_HOLDER_TIMEOUT: Duration = OUTAGE_GRACE.saturating_add(LEASE_TTL);
/// The most former holders that a record names.
const MAX_FORMER_HOLDERS: usize = 4;

/// How long after the restart of a member further restarts are expected.
const RESTART_WINDOW: Duration = Duration::from_secs(10);
/// Load above which a recently restarted member is passed over, in millionths of a duty
/// per thousandth of a core: three duties for a quarter of a core.
const CROWDED_LOAD: u64 = 13_000;

/// A live process, as its record in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// A number that is unique to this start of the process.
    pub boot: u64,
    /// The address for requests of peers.
    pub peers: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its capacity in thousandths of a core, limited by its network too.
    pub capacity: u64,
    /// The lease under which the record was written.
    #[serde(default)]
    pub lease: u64,
    /// Its memory in megabytes; 0 if it is unknown. Earlier versions neither write nor read it.
    #[serde(default)]
    pub memory_mb: usize,
    /// The revision of its record.
    #[serde(skip)]
    pub revision: u64,
    /// When this start of the process was first seen here.
    #[serde(skip)]
    pub seen: Time,
}

/// The holder of a duty. An empty `name` means that there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub name: String,
    /// The boot number of its process.
    pub boot: u64,
    /// Its address for requests of peers.
    pub peers: Option<SocketAddr>,
    /// Former holders that were not known to have ended when it took over.
    #[serde(default)]
    pub before: Vec<FormerHolder>,
}

impl FormerHolder {
    /// Whether both name the same process; the address is ignored.
    pub fn is_same(&self, other: &Self) -> bool {
        self.name == other.name && self.boot == other.boot
    }
}

impl Holder {
    /// Returns this holder and those before it, newest first.
    fn all(&self) -> impl Iterator<Item = FormerHolder> + '_ {
        let last = FormerHolder { name: self.name.clone(), boot: self.boot, peers: self.peers };
        std::iter::once(last).chain(self.before.iter().cloned())
    }
}

/// A process that held a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// Its name.
    pub name: String,
    /// The boot number of its process.
    pub boot: u64,
    /// Its address for requests of peers, if known.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// What a new holder of a duty has to know of the former ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderHistory {
    /// The former holders, newest first. One without a name handed the duty over.
    pub former_holders: Vec<FormerHolder>,
    /// Whether the list names every former holder that may still grant leases.
    pub is_complete: bool,
    /// How much longer any of them may grant leases if none responds.
    pub may_grant: Duration,
}

/// The record of a duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The holder.
    pub holder: Holder,
    /// The revision; 0 if there is no record.
    pub revision: u64,
}

/// Members, duties and queues as read from the store.
#[derive(Debug, Default)]
pub struct Table {
    /// Members by name.
    pub members: BTreeMap<String, Member>,
    /// Duties by name.
    pub duties: BTreeMap<String, Record>,
    /// Queues' records by queue.
    pub queues: BTreeMap<String, QueueRecord>,
    /// When a duty lost its live holder, and the pause before it may be taken, by duty.
    vacant: HashMap<String, (Time, Duration)>,
    /// The revision of each duty's record and when it was first seen here.
    seen: HashMap<String, (u64, Time)>,
}

impl Table {
    /// Updates a queue's record unless a newer one is known. Returns whether it changed.
    pub fn update_queue(&mut self, queue: &str, record: QueueRecord) -> bool {
        let known = self.queues.entry(queue.to_owned()).or_default();
        let is_removed = record == QueueRecord::Damaged { revision: 0 };
        let is_changed = *known != record && (is_removed || record.revision() > known.revision());
        if is_changed {
            *known = record;
        }
        is_changed
    }

    /// Returns the pools that have or had an owner.
    pub fn owned_pools(&self) -> impl Iterator<Item = &str> {
        self.duties.keys().filter_map(|duty| pool_of(duty))
    }

    /// Updates a duty's record.
    pub fn put_duty(&mut self, now: Time, duty: &str, record: Record) {
        if self.seen.get(duty).is_none_or(|(revision, _)| *revision != record.revision) {
            self.seen.insert(duty.to_owned(), (record.revision, now));
        }
        self.duties.insert(duty.to_owned(), record);
    }

    /// Whether another start of a process has registered, so that this one has ended.
    pub fn has_restarted(&self, name: &str, boot: u64) -> bool {
        self.members.get(name).is_some_and(|member| member.boot != boot)
    }

    /// Returns what is known of the holders of a duty up to now.
    pub fn history(&self, now: Time, duty: &str) -> HolderHistory {
        let may_grant = self.may_grant(now, duty);
        let Some(Record { holder, .. }) = self.duties.get(duty) else {
            return HolderHistory { may_grant, ..HolderHistory::default() };
        };
        // A record that can't be read has neither a name nor an address.
        let is_read = !holder.name.is_empty() || holder.peers.is_some();
        let is_complete = is_read && holder.before.len() < MAX_FORMER_HOLDERS;
        HolderHistory { former_holders: holder.all().collect(), is_complete, may_grant }
    }

    /// Returns how much longer the holders of a duty up to now may grant leases on its
    /// workers if none of them responds.
    ///
    /// A holder that has restarted grants nothing more. But it may have held the duty only briefly,
    /// and its predecessor, if cut off from the store, continues for the whole outage grace period.
    /// Ignoring that predecessor's grants made tasks run twice on workers that only it could reach.
    pub fn may_grant(&self, now: Time, duty: &str) -> Duration {
        let record = self.duties.get(duty).cloned().unwrap_or_default();
        let Record { holder, revision } = record;
        if !self.has_restarted(&holder.name, holder.boot) {
            return STALE_HOLDER_TIMEOUT;
        }
        let is_alive = |former: &FormerHolder| !self.has_restarted(&former.name, former.boot);
        if !holder.before.iter().any(is_alive) {
            return Duration::ZERO;
        }
        let seen = self.seen.get(duty).filter(|(seen, _)| *seen == revision);
        seen.map_or(STALE_HOLDER_TIMEOUT, |(_, at)| STALE_HOLDER_TIMEOUT.saturating_sub(now - *at))
    }

    /// Returns the former holders that the next holder of a duty names in its record.
    pub fn former_holders(&self, duty: &str) -> Vec<FormerHolder> {
        let Some(Record { holder, .. }) = self.duties.get(duty) else { return Vec::new() };
        let may_be_alive = |former: &FormerHolder| {
            !former.name.is_empty() && !self.has_restarted(&former.name, former.boot)
        };
        holder.all().filter(may_be_alive).take(MAX_FORMER_HOLDERS).collect()
    }

    /// Returns what a takeover of a duty expects of the store, as rows of keys and revisions: that its
    /// record and its holder's member record are as known here.
    ///
    /// A holder relies on its member record: while that is there, nobody takes its duties. A member that
    /// hears of changes late may still count a holder as gone that has registered again.
    ///
    /// ```
    /// use corianderfork_entry::duty::{Holder, Record, Table};
    /// use corianderfork_model::Time;
    ///
    /// let holder = Holder { name: "e0".to_owned(), boot: 1, ..Holder::default() };
    /// let mut table = Table::default();
    /// table.put_duty(Time::ZERO, "pool", Record { holder, revision: 7 });
    /// let expected = [("entry/duty/pool".to_owned(), 7), ("entry/member/e0".to_owned(), 0)];
    /// assert_eq!(table.takeover_conditions("pool"), expected);
    /// ```
    pub fn takeover_conditions(&self, duty: &str) -> Vec<(String, u64)> {
        let record = self.duties.get(duty).cloned().unwrap_or_default();
        let mut rows = vec![(key(duty), record.revision)];
        let name = record.holder.name;
        if !name.is_empty() {
            let revision = self.members.get(&name).map_or(0, |member| member.revision);
            rows.push((format!("{MEMBER_PREFIX}{name}"), revision));
        }
        rows
    }

    /// Whether the holder of a record is known to be alive.
    pub fn is_live(&self, holder: &Holder) -> bool {
        self.members.get(&holder.name).is_some_and(|member| member.boot == holder.boot)
    }

    /// Returns those of `duties` that the member `me` should take now.
    ///
    /// Vacant duties go to members with few duties for their capacity, ordered by a hash
    /// so that all members compute the same order without communication. The first
    /// candidate takes a duty at once, later ones only if those before them didn't.
    ///
    /// During a rolling restart the youngest members come first: a duty that goes to a
    /// member that is still to be restarted is handed over twice.
    pub fn due_duties(&mut self, now: Time, me: &str, duties: &[String]) -> Vec<String> {
        let mut duty_counts = self.duty_counts();
        let mut due = Vec::new();
        for duty in duties {
            let Some(vacancy) = self.vacant_since(now, duty) else { continue };
            let candidates = self.takeover_order(now, duty, &duty_counts);
            if let Some(first) = candidates.first() {
                *duty_counts.entry(first.clone()).or_default() += 1;
            }
            let Some(rank) = candidates.iter().position(|name| name == me) else { continue };
            let (since, pause) = vacancy;
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            if now - since >= pause + TAKEOVER_STAGGER.saturating_mul(rank) {
                due.push(duty.clone());
            }
        }
        due
    }

    fn vacant_since(&mut self, now: Time, duty: &str) -> Option<(Time, Duration)> {
        let record = self.duties.get(duty).cloned().unwrap_or_default();
        if !record.holder.name.is_empty() && self.is_live(&record.holder) {
            self.vacant.remove(duty);
            return None;
        }
        // If it has no holder or its holder has restarted, there is no need to wait.
        let is_certain =
            record.holder.name.is_empty() || self.members.contains_key(&record.holder.name);
        let pause = if is_certain { Duration::ZERO } else { ABSENCE_GRACE };
        let vacancy = self.vacant.entry(duty.to_owned()).or_insert((now, pause));
        vacancy.1 = vacancy.1.min(pause);
        Some(*vacancy)
    }

    fn duty_counts(&self) -> HashMap<String, u64> {
        let mut counts = HashMap::new();
        for record in self.duties.values().filter(|record| self.is_live(&record.holder)) {
            *counts.entry(record.holder.name.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the members in the order in which they should take `duty`.
    fn takeover_order(
        &self,
        now: Time,
        duty: &str,
        duty_counts: &HashMap<String, u64>,
    ) -> Vec<String> {
        let is_recent = |member: &Member| now - member.seen < RESTART_WINDOW;
        let is_rolling =
            self.members.values().any(is_recent) && !self.members.values().all(is_recent);
        let max_capacity = self.members.values().map(|member| member.capacity).max().unwrap_or(0);
        let mut candidates: Vec<(u64, u64, &String)> = self
            .members
            .iter()
            .map(|(name, member)| {
                let duties = duty_counts.get(name).copied().unwrap_or(0) + 1;
                let load = duties * 1_000_000 / member.capacity.max(1);
                // Weak members come after the strong ones even if they are young.
                if is_rolling && member.capacity * 2 >= max_capacity {
                    return (load / CROWDED_LOAD, u64::MAX - member.revision, name);
                }
                (load, score(duty, name), name)
            })
            .collect();
        candidates.sort();
        candidates.into_iter().map(|(.., name)| name.clone()).collect()
    }
}
