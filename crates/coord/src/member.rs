//! Membership: which processes are alive, in which incarnation, and when each
//! was last in contact.
//!
//! A [`Table`] is updated by reads of the platform's service, by the process's
//! own calls to other members, and by what those members report about third
//! ones. It answers three questions: whether this process may still act on its
//! view ([`Table::in_touch`]), when each member was last alive
//! ([`Table::peers`]), and which members to call next ([`Table::partners`]).
//!
//! Members exchange ages, not timestamps, because their clocks differ. A
//! reported contact looks more recent than it was by the transit time of the
//! message. It is therefore used only to wait longer for a silent member, never
//! as evidence that this process itself is in touch.
//!
//! Majorities are counted over the members that the platform's service has
//! listed. If members known only from other members counted too, new processes
//! started on both sides of a partition would give each side a majority of its
//! own.
//!
//! ```
//! use corianderfork_coord::member::{Config, Identity, Table};
//! use corianderfork_model::{Name, Time};
//!
//! let me = Identity::new(Name::new("entry-1")?, 1);
//! let other = Identity::new(Name::new("entry-2")?, 1);
//! let mut table = Table::new(Config::new(), me.clone());
//! table.on_list(Time::ZERO, 1, [me, other]);
//! assert!(table.in_touch(Time::from_millis(9_000)));
//! // After silence for longer than the isolation limit of 10 s:
//! assert!(!table.in_touch(Time::from_millis(10_001)));
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

mod config;
mod identity;

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::{Name, Time};

use crate::backoff::mix;

pub use config::Config;
pub use identity::{Identity, Peer, Sighting};

#[derive(Clone, Debug)]
struct Contact {
    incarnation: u64,
    last_reply: Option<Time>,
    /// When it was last alive, from direct contact or a report.
    last_seen: Time,
    /// Whether the service has listed it.
    listed: bool,
    /// A lower bound on the number of listed members that it knows, from which
    /// its majority is computed. 0 if unknown.
    known_members: usize,
}

/// The members known to one process, including itself.
#[derive(Clone, Debug)]
pub struct Table {
    config: Config,
    me: Identity,
    self_listed: bool,
    contacts: BTreeMap<Name, Contact>,
    last_sync: Option<Time>,
    /// The revision at which the current length of the service's list was first
    /// seen, and that length.
    latest_list: (u64, usize),
}

impl Table {
    /// Creates a table that contains only `me`.
    pub fn new(config: Config, me: Identity) -> Self {
        let (contacts, last_sync, latest_list) = (BTreeMap::new(), None, (0, 0));
        Self { config, me, self_listed: false, contacts, last_sync, latest_list }
    }

    /// Records that the platform's service listed `members` at `revision`, in a
    /// read sent at `sent` that fetched everything this process acts on.
    ///
    /// A member that is no longer listed stays in the table: its record also
    /// expires when it is merely cut off from the service, and it may still be
    /// acting. [`Table::remove`] removes it.
    pub fn on_list(
        &mut self,
        sent: Time,
        revision: u64,
        members: impl IntoIterator<Item = Identity>,
    ) {
        self.last_sync = self.last_sync.max(Some(sent));
        let listed = self.insert_listed(sent, members);
        // While the length stays the same, the revision at which it was first
        // seen is kept: a member that has read the list since then knows as
        // many members. With the revision of each read, a peer whose reads are
        // slightly behind would never count as knowing the list, and its
        // silence would block drains forever.
        if listed != self.latest_list.1 {
            self.latest_list = self.latest_list.max((revision, listed));
        }
    }

    /// Records members that the service listed to a peer, from the peer's
    /// [`Table::listed`]. A process that starts while the service is down
    /// learns this way over which members a majority is counted.
    pub fn on_snapshot(&mut self, now: Time, members: impl IntoIterator<Item = Identity>) {
        self.insert_listed(now, members);
    }

    fn insert_listed(&mut self, at: Time, members: impl IntoIterator<Item = Identity>) -> usize {
        let mut listed = 0;
        for member in members {
            listed += 1;
            self.self_listed |= member.name == self.me.name;
            if let Some(contact) = self.upsert(at, &member) {
                contact.listed = true;
            }
        }
        listed
    }

    /// Returns the members that the service has ever listed and that were not
    /// removed, to be sent to a process that starts while the service is down.
    pub fn listed(&self) -> Vec<Identity> {
        let me = self.self_listed.then(|| self.me.clone());
        let listed = self.contacts.iter().filter(|(_, contact)| contact.listed);
        let known =
            |(name, contact): (&Name, &Contact)| Identity::new(name.clone(), contact.incarnation);
        me.into_iter().chain(listed.map(known)).collect()
    }

    /// Records that `member` answered a call sent at `sent` and reported that
    /// it has read the service's list as of `list_revision`.
    pub fn on_contact(&mut self, sent: Time, member: &Identity, list_revision: u64) {
        let Some(contact) = self.upsert(sent, member) else { return };
        contact.last_reply = contact.last_reply.max(Some(sent));
        contact.last_seen = contact.last_seen.max(sent);
        self.on_list_read(member, list_revision);
    }

    /// Records that `member` called this process at `now` and reported that it
    /// has read the service's list as of `list_revision`. This shows that the
    /// member is alive, but not that this process can reach it.
    pub fn on_call(&mut self, now: Time, member: &Identity, list_revision: u64) {
        self.on_sightings(now, [Sighting { member: member.clone(), age: Duration::ZERO }]);
        self.on_list_read(member, list_revision);
    }

    /// A member never forgets a listed one, so it knows at least as many
    /// members as were listed at any revision that it has read.
    fn on_list_read(&mut self, member: &Identity, list_revision: u64) {
        let (revision, listed) = self.latest_list;
        let contact = self.contacts.get_mut(&member.name).filter(|_| list_revision >= revision);
        if let Some(contact) = contact.filter(|contact| contact.incarnation == member.incarnation) {
            contact.known_members = contact.known_members.max(listed);
        }
    }

    /// Records what another member reported about third members.
    pub fn on_sightings(&mut self, now: Time, sightings: impl IntoIterator<Item = Sighting>) {
        for Sighting { member, age } in sightings {
            let alive = Time::from_millis(now.as_millis().saturating_sub(age.as_millis() as u64));
            if let Some(contact) = self.upsert(alive, &member) {
                contact.last_seen = contact.last_seen.max(alive);
            }
        }
    }

    /// Removes a member that has ended: it left cleanly with nothing in flight,
    /// or the platform reports that its VM is gone.
    ///
    /// Call this only while this process can read the platform's service. A
    /// process that is cut off would otherwise create its own majority by
    /// removing the others.
    pub fn remove(&mut self, name: &str) {
        if self.contacts.remove(name).is_none() {
            return;
        }
        // The other members may have removed it too.
        for contact in self.contacts.values_mut() {
            contact.known_members = contact.known_members.saturating_sub(1);
        }
    }

    /// Returns what to send with each call and answer. This process comes
    /// first, so that the receiver learns about it.
    pub fn sightings(&self, now: Time) -> Vec<Sighting> {
        let me = Sighting { member: self.me.clone(), age: Duration::ZERO };
        let sighting = |(name, contact): (&Name, &Contact)| Sighting {
            member: Identity::new(name.clone(), contact.incarnation),
            age: now - contact.last_seen,
        };
        std::iter::once(me).chain(self.contacts.iter().map(sighting)).collect()
    }

    /// Returns the number of known members, including this process.
    pub fn len(&self) -> usize {
        self.contacts.len() + 1
    }

    /// Returns `false`: this process is always known.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether this process may act on its view: either it read all of the view
    /// from the service within the isolation limit, or it was in direct contact
    /// with a majority of the listed members within that limit.
    pub fn in_touch(&self, now: Time) -> bool {
        let synced = self.last_sync.is_some_and(|at| self.is_fresh(now, at));
        synced || self.has_majority(now)
    }

    /// Whether more than half of the listed members answered this process
    /// within the isolation limit, counting this process if it is listed.
    /// `false` for a process that has no list yet.
    pub fn has_majority(&self, now: Time) -> bool {
        let voters = self.contacts.values().filter(|contact| contact.listed).count();
        let me = usize::from(self.self_listed);
        2 * (voters - self.unreachable(now) + me) > voters + me
    }

    /// Returns all other members with what a [`crate::drain::Barrier`] needs to
    /// know about them. For a drain, [`Table::on_list`] must have been called
    /// since the drain started.
    ///
    /// A silent member counts as cut off if the members that this process has
    /// no direct contact with, including the silent one, are not a majority of
    /// the members that the silent one knows. A majority on this process's side
    /// is not sufficient: when cut-off members are replaced by new ones, both
    /// sides can have majorities of different sets.
    pub fn peers(&self, now: Time) -> Vec<Peer> {
        let (unreachable, majority) = (self.unreachable(now), self.has_majority(now));
        let peer = |(name, contact): (&Name, &Contact)| Peer {
            member: Identity::new(name.clone(), contact.incarnation),
            last_contact: contact.last_seen,
            cut_off: majority && 2 * unreachable <= contact.known_members,
        };
        self.contacts.iter().map(peer).collect()
    }

    /// Returns the known incarnation of `name`.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.contacts.get(name).map(|contact| contact.incarnation)
    }

    /// Returns when `name` was last known to be alive.
    pub fn last_contact(&self, name: &str) -> Option<Time> {
        self.contacts.get(name).map(|contact| contact.last_seen)
    }

    /// Returns the members to call in `round`, at most the configured fan-out.
    ///
    /// The members are shuffled for each pass over all of them, seeded by this
    /// process's incarnation. Independent random draws could leave a member
    /// uncalled for a long time; in a shuffle each one is called once per pass.
    pub fn partners(&self, round: u64) -> Vec<Name> {
        let (count, fan_out) = (self.contacts.len(), self.config.fan_out);
        if count <= fan_out || fan_out == 0 {
            return self.contacts.keys().take(fan_out).cloned().collect();
        }
        let rounds = count.div_ceil(fan_out) as u64;
        let (pass, turn) = (round / rounds, (round % rounds) as usize);
        let seed = mix(self.me.incarnation ^ mix(pass));
        let mut order: Vec<&Name> = self.contacts.keys().collect();
        order.sort_by_cached_key(|name| name_hash(seed, name));
        order.into_iter().skip(turn * fan_out).take(fan_out).cloned().collect()
    }

    /// Returns how many listed members, other than this process, did not answer
    /// it within the isolation limit.
    fn unreachable(&self, now: Time) -> usize {
        let fresh = |contact: &Contact| contact.last_reply.is_some_and(|at| self.is_fresh(now, at));
        self.contacts.values().filter(|contact| contact.listed && !fresh(contact)).count()
    }

    fn is_fresh(&self, now: Time, at: Time) -> bool {
        now - at <= self.config.isolation_limit
    }

    /// Returns the contact entry of `member`, created or reset to its incarnation if
    /// necessary. Returns `None` for this process and for an incarnation that
    /// has ended.
    fn upsert(&mut self, last_seen: Time, member: &Identity) -> Option<&mut Contact> {
        if member.name == self.me.name {
            return None;
        }
        let incarnation = member.incarnation;
        let new =
            |listed| Contact { incarnation, last_reply: None, last_seen, listed, known_members: 0 };
        let contact = self.contacts.entry(member.name.clone()).or_insert_with(|| new(false));
        if contact.incarnation > incarnation {
            return None;
        }
        if contact.incarnation < incarnation {
            *contact = new(contact.listed);
        }
        Some(contact)
    }
}

fn name_hash(seed: u64, name: &Name) -> u64 {
    name.as_str().bytes().fold(seed, |hash, byte| mix(hash ^ u64::from(byte)))
}
