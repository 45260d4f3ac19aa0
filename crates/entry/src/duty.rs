//! Who does what: each pool's work and the fleet's planning have one holder.
//!
//! Pure: the state that all see in the store goes in, who should take what comes
//! out. Whoever decides to take a duty writes itself into its record by
//! compare-and-swap; the revision of that write is its fence.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;
use serde::{Deserialize, Serialize};

use crate::node::{HOLD_ON, TTL};
use crate::placement::Entry;
use crate::rendezvous::score;

/// The prefix of members' records; the name follows.
pub const MEMBERS: &str = "entry/member/";
/// The prefix of duties' records; the name follows.
pub const DUTIES: &str = "entry/duty/";
/// The prefix of both.
pub const PREFIX: &str = "entry/";
/// The duty of planning for the fleet.
pub const FLEET: &str = "fleet";

/// How long a holder's member record may be missing before it counts as dead.
/// When the store comes back from an outage in which leases ran out, all members
/// register anew within one renewal; without this pause the first one back would
/// take everything from holders that live.
const ABSENT: Duration = Duration::from_millis(900);
/// How much later the next in line tries, when those before it don't.
const NEXT: Duration = Duration::from_millis(700);

/// How long a holder grants leases that may have been replaced: as long as it holds on
/// while the store answers nobody, and as long as its lease of before.
const GOES_ON: Duration = HOLD_ON.saturating_add(TTL);
/// Holders of before that a record names at most.
const FORMERS: usize = 4;

/// How long after a restart others are expected to be restarted too.
const ROLLING: Duration = Duration::from_secs(10);
/// Duties for a whole core, in millionths, above which a young member is passed
/// over: three for a quarter of a core.
const CROWDED: u64 = 13_000;

/// A process that lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// A number of this one start.
    pub boot: u64,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// What it can carry, in thousandths of a core; its network counts too.
    pub capacity: u64,
    /// The revision of its record.
    #[serde(skip)]
    pub revision: u64,
    /// When this start of it was first seen here.
    #[serde(skip)]
    pub seen: Time,
}

/// Who holds a duty; nobody if `name` is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub name: String,
    /// Its start.
    pub boot: u64,
    /// Where peers reach it.
    pub peers: Option<SocketAddr>,
    /// Those before it that were not known to have ended when it took over.
    #[serde(default)]
    pub before: Vec<Former>,
}

impl Former {
    /// Whether both name one process, wherever it was reached.
    pub fn is_same(&self, other: &Self) -> bool {
        self.name == other.name && self.boot == other.boot
    }
}

impl Holder {
    /// It and those before it.
    fn all(&self) -> impl Iterator<Item = Former> + '_ {
        let last = Former { name: self.name.clone(), boot: self.boot, peers: self.peers };
        std::iter::once(last).chain(self.before.iter().cloned())
    }
}

/// One that held a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Former {
    /// Its name.
    pub name: String,
    /// Its start.
    pub boot: u64,
    /// Where peers reach it, if that is known.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// What one that takes a duty has to know of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Past {
    /// Those that held it, newest first. One without a name has handed it over.
    pub formers: Vec<Former>,
    /// Whether no former holder is missing among them.
    pub is_complete: bool,
    /// How much longer it, or one before it, may grant leases if it doesn't answer.
    pub may_grant: Duration,
}

/// A duty's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The holder.
    pub holder: Holder,
    /// The revision; 0 if there is none.
    pub revision: u64,
}

/// Members and duties as the store tells of them.
#[derive(Debug, Default)]
pub struct Table {
    /// Members by name.
    pub members: BTreeMap<String, Member>,
    /// Duties by name.
    pub duties: BTreeMap<String, Record>,
    /// Queues' records by queue.
    pub queues: BTreeMap<String, Entry>,
    /// Since when a duty has no live holder, by duty.
    vacant: HashMap<String, (Time, Duration)>,
    /// When a duty's record was first seen here, and its revision.
    seen: HashMap<String, (u64, Time)>,
}

impl Table {
    /// Takes in a queue's record, unless a newer one is known. Whether it is news.
    pub fn learn(&mut self, queue: &str, entry: Entry) -> bool {
        let known = self.queues.entry(queue.to_owned()).or_default();
        let is_removed = entry == Entry::Damaged { revision: 0 };
        let is_news = *known != entry && (is_removed || entry.revision() > known.revision());
        if is_news {
            *known = entry;
        }
        is_news
    }

    /// The pools that have an owner, or had one.
    pub fn owned(&self) -> impl Iterator<Item = &str> {
        self.duties.keys().map(String::as_str).filter(|duty| *duty != FLEET)
    }

    /// Takes in a duty's record.
    pub fn put_duty(&mut self, now: Time, duty: &str, record: Record) {
        if self.seen.get(duty).is_none_or(|(revision, _)| *revision != record.revision) {
            self.seen.insert(duty.to_owned(), (record.revision, now));
        }
        self.duties.insert(duty.to_owned(), record);
    }

    /// Whether a process is known to have ended: another start of it has registered.
    pub fn has_restarted(&self, name: &str, boot: u64) -> bool {
        self.members.get(name).is_some_and(|member| member.boot != boot)
    }

    /// What is known of those that hold a duty up to now.
    pub fn past(&self, now: Time, duty: &str) -> Past {
        let may_grant = self.may_grant(now, duty);
        let Some(Record { holder, .. }) = self.duties.get(duty) else {
            return Past { may_grant, ..Past::default() };
        };
        // A record that can't be read names nobody, and has no address either.
        let is_read = !holder.name.is_empty() || holder.peers.is_some();
        let is_complete = is_read && holder.before.len() < FORMERS;
        Past { formers: holder.all().collect(), is_complete, may_grant }
    }

    /// How much longer those that held a duty up to now may grant leases on its
    /// workers, if none of them answers.
    ///
    /// One that has started anew grants nothing more. But it may have held the duty
    /// for a moment only, and the one before it, which was cut off, goes on without
    /// the store for as long as it may hold on: what that one grants meanwhile was
    /// taken to be over, and tasks on workers that it alone reaches ran twice.
    pub fn may_grant(&self, now: Time, duty: &str) -> Duration {
        let record = self.duties.get(duty).cloned().unwrap_or_default();
        let Record { holder, revision } = record;
        if !self.has_restarted(&holder.name, holder.boot) {
            return GOES_ON;
        }
        let is_alive = |former: &Former| !self.has_restarted(&former.name, former.boot);
        if !holder.before.iter().any(is_alive) {
            return Duration::ZERO;
        }
        let seen = self.seen.get(duty).filter(|(seen, _)| *seen == revision);
        seen.map_or(GOES_ON, |(_, at)| GOES_ON.saturating_sub(now - *at))
    }

    /// Those whom the next holder of a duty names as before it.
    pub fn formers(&self, duty: &str) -> Vec<Former> {
        let Some(Record { holder, .. }) = self.duties.get(duty) else { return Vec::new() };
        let is_meant = |former: &Former| {
            !former.name.is_empty() && !self.has_restarted(&former.name, former.boot)
        };
        holder.all().filter(is_meant).take(FORMERS).collect()
    }

    /// Whether the holder of a record is known to live.
    pub fn is_live(&self, holder: &Holder) -> bool {
        self.members.get(&holder.name).is_some_and(|member| member.boot == holder.boot)
    }

    /// Which of `duties` the member `me` is to take now.
    ///
    /// Vacant duties go to members with few duties for their processors, drawn
    /// by a hash so that all see the same order without talking. The first in
    /// line takes at once, the next ones later and only if it didn't.
    ///
    /// While members are restarted one after the other, the youngest comes
    /// first: it has been restarted already, and a duty that goes to one that is
    /// still to be restarted is handed over twice.
    pub fn due_for(&mut self, now: Time, me: &str, duties: &[String]) -> Vec<String> {
        let mut held = self.held();
        let mut mine = Vec::new();
        for duty in duties {
            let Some(since) = self.vacant_since(now, duty) else { continue };
            let line = self.line(now, duty, &held);
            if let Some(first) = line.first() {
                *held.entry(first.clone()).or_default() += 1;
            }
            let Some(rank) = line.iter().position(|name| name == me) else { continue };
            let (since, pause) = since;
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            if now - since >= pause + NEXT.saturating_mul(rank) {
                mine.push(duty.clone());
            }
        }
        mine
    }

    fn vacant_since(&mut self, now: Time, duty: &str) -> Option<(Time, Duration)> {
        let record = self.duties.get(duty).cloned().unwrap_or_default();
        if !record.holder.name.is_empty() && self.is_live(&record.holder) {
            self.vacant.remove(duty);
            return None;
        }
        // Nobody holds it, or its holder has started anew: no need to wait.
        let is_certain =
            record.holder.name.is_empty() || self.members.contains_key(&record.holder.name);
        let pause = if is_certain { Duration::ZERO } else { ABSENT };
        let row = self.vacant.entry(duty.to_owned()).or_insert((now, pause));
        row.1 = row.1.min(pause);
        Some(*row)
    }

    fn held(&self) -> HashMap<String, u64> {
        let mut held = HashMap::new();
        for record in self.duties.values().filter(|record| self.is_live(&record.holder)) {
            *held.entry(record.holder.name.clone()).or_default() += 1;
        }
        held
    }

    /// Members in the order in which they are to take `duty`.
    fn line(&self, now: Time, duty: &str, held: &HashMap<String, u64>) -> Vec<String> {
        let is_young = |member: &Member| now - member.seen < ROLLING;
        let is_rolling =
            self.members.values().any(is_young) && !self.members.values().all(is_young);
        let most = self.members.values().map(|member| member.capacity).max().unwrap_or(0);
        let mut line: Vec<(u64, u64, &String)> = self
            .members
            .iter()
            .map(|(name, member)| {
                let duties = held.get(name).copied().unwrap_or(0) + 1;
                let load = duties * 1_000_000 / member.capacity.max(1);
                // Young or not, a weak member comes after the strong ones.
                if is_rolling && member.capacity * 2 >= most {
                    return (load / CROWDED, u64::MAX - member.revision, name);
                }
                (load, score(duty, name), name)
            })
            .collect();
        line.sort();
        line.into_iter().map(|(.., name)| name.clone()).collect()
    }
}
