//! Who is there, in which incarnation, and when each was last heard of.
//!
//! A [`Table`] is fed by reads of the platform's service, by a process's own
//! calls to others, and by what those others heard of third ones. It answers
//! three questions: may this process still act on its views
//! ([`Table::in_touch`]), when was a member last alive ([`Table::peers`]), and
//! whom to call next ([`Table::partners`]).
//!
//! Ages are passed on, never clock readings: two processes' clocks differ.
//! A passed-on contact looks fresher than it was by the time the message
//! travelled, so it serves only to wait longer for a silent member, never to
//! show that this process itself is in touch.
//!
//! A majority is one of the members that the platform's service listed. Were
//! members known by hearsay to count, new processes that start on both sides
//! of a partition would give each side a majority of its own.
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
//! // Silence for longer than the isolation limit of 10 s:
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
struct Row {
    incarnation: u64,
    direct: Option<Time>,
    /// Alive, directly or by hearsay.
    alive: Time,
    /// Whether the service listed it.
    listed: bool,
    /// How many listed members it knows, at least: what it takes a majority
    /// of. 0 if that can't be told.
    knows: usize,
}

/// The members that one process knows, itself included.
#[derive(Clone, Debug)]
pub struct Table {
    config: Config,
    me: Identity,
    me_listed: bool,
    rows: BTreeMap<Name, Row>,
    synced: Option<Time>,
    /// The revision and the length of the service's last list.
    list: (u64, usize),
}

impl Table {
    /// A table that knows only `me`.
    pub fn new(config: Config, me: Identity) -> Self {
        let (rows, synced, list) = (BTreeMap::new(), None, (0, 0));
        Self { config, me, me_listed: false, rows, synced, list }
    }

    /// The platform's service listed `members` at its `revision`, by a read
    /// that was sent at `sent` and got all that this process acts on.
    ///
    /// A member that is no longer listed stays: its record lapses also when it
    /// is only cut off from the service, and it may still be acting. It goes
    /// by [`Table::remove`].
    pub fn on_list(
        &mut self,
        sent: Time,
        revision: u64,
        members: impl IntoIterator<Item = Identity>,
    ) {
        self.synced = self.synced.max(Some(sent));
        let listed = self.on_listed(sent, members);
        // While as many are listed, the revision at which that began will do:
        // whoever has read the list since knows as many. Were it each read's
        // own, a peer whose reads are a moment behind would never be known to
        // know any, and its silence would hold up drains for good.
        if listed != self.list.1 {
            self.list = self.list.max((revision, listed));
        }
    }

    /// A peer passed on what the service listed to it ([`Table::listed`]):
    /// how a process that starts while the service is down learns of whom to
    /// take a majority.
    pub fn on_snapshot(&mut self, now: Time, members: impl IntoIterator<Item = Identity>) {
        self.on_listed(now, members);
    }

    fn on_listed(&mut self, at: Time, members: impl IntoIterator<Item = Identity>) -> usize {
        let mut listed = 0;
        for member in members {
            listed += 1;
            self.me_listed |= member.name == self.me.name;
            if let Some(row) = self.learn(at, &member) {
                row.listed = true;
            }
        }
        listed
    }

    /// The members that the service ever listed and that aren't removed, to
    /// pass on to a process that starts while the service is down.
    pub fn listed(&self) -> Vec<Identity> {
        let me = self.me_listed.then(|| self.me.clone());
        let listed = self.rows.iter().filter(|(_, row)| row.listed);
        let known = |(name, row): (&Name, &Row)| Identity::new(name.clone(), row.incarnation);
        me.into_iter().chain(listed.map(known)).collect()
    }

    /// `member` answered a call of this process that was sent at `sent`, and
    /// told that it has read the service's list as of the revision `read`.
    pub fn on_contact(&mut self, sent: Time, member: &Identity, read: u64) {
        let Some(row) = self.learn(sent, member) else { return };
        row.direct = row.direct.max(Some(sent));
        row.alive = row.alive.max(sent);
        self.on_read(member, read);
    }

    /// `member` called this process by itself at `now`, and told that it has
    /// read the service's list as of the revision `read`. That shows it alive,
    /// but not that this process reaches it.
    pub fn on_call(&mut self, now: Time, member: &Identity, read: u64) {
        self.on_sightings(now, [Sighting { member: member.clone(), age: Duration::ZERO }]);
        self.on_read(member, read);
    }

    /// It never forgets one that was listed, so it knows at least as many as
    /// were listed at any revision that it has read.
    fn on_read(&mut self, member: &Identity, read: u64) {
        let (revision, listed) = self.list;
        let row = self.rows.get_mut(&member.name).filter(|_| read >= revision);
        if let Some(row) = row.filter(|row| row.incarnation == member.incarnation) {
            row.knows = row.knows.max(listed);
        }
    }

    /// Another member passed on what it heard.
    pub fn on_sightings(&mut self, now: Time, heard: impl IntoIterator<Item = Sighting>) {
        for Sighting { member, age } in heard {
            let alive = Time::from_millis(now.as_millis().saturating_sub(age.as_millis() as u64));
            if let Some(row) = self.learn(alive, &member) {
                row.alive = row.alive.max(alive);
            }
        }
    }

    /// `name` is known to be gone for good: it said goodbye with nothing in
    /// flight, or the platform says that its VM is gone.
    ///
    /// Only for a process that reads the platform's service at the time: one
    /// that is cut off would make its own majority by removing the others.
    pub fn remove(&mut self, name: &str) {
        if self.rows.remove(name).is_none() {
            return;
        }
        // The others may have removed it too.
        for row in self.rows.values_mut() {
            row.knows = row.knows.saturating_sub(1);
        }
    }

    /// What to pass on to others with each call and each answer; this process
    /// comes first, so that whoever is told learns of it.
    pub fn sightings(&self, now: Time) -> Vec<Sighting> {
        let me = Sighting { member: self.me.clone(), age: Duration::ZERO };
        let heard = |(name, row): (&Name, &Row)| Sighting {
            member: Identity::new(name.clone(), row.incarnation),
            age: now - row.alive,
        };
        std::iter::once(me).chain(self.rows.iter().map(heard)).collect()
    }

    /// How many members are known, this process included.
    pub fn len(&self) -> usize {
        self.rows.len() + 1
    }

    /// Never: this process is always known.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether this process may act on its views: all of them were read from
    /// the service within the isolation limit, or it was in direct contact
    /// with a majority of the listed members within it.
    pub fn in_touch(&self, now: Time) -> bool {
        let synced = self.synced.is_some_and(|at| self.is_fresh(now, at));
        synced || self.has_majority(now)
    }

    /// Whether the listed members that answered this process within the
    /// isolation limit, itself included if listed, are more than half of all
    /// listed. Never for a process that has no list yet.
    pub fn has_majority(&self, now: Time) -> bool {
        let voters = self.rows.values().filter(|row| row.listed).count();
        let me = usize::from(self.me_listed);
        2 * (voters - self.apart(now) + me) > voters + me
    }

    /// All other members, with what a drain has to know of them. For a drain,
    /// this table must have had an [`Table::on_list`] since it started.
    ///
    /// A silent member is cut off if those this process has no direct contact
    /// with, itself among them, are no majority of the members it knows. That
    /// this process has a majority isn't enough: when cut-off members are
    /// replaced by new ones, both sides can have a majority of different sets.
    pub fn peers(&self, now: Time) -> Vec<Peer> {
        let (apart, majority) = (self.apart(now), self.has_majority(now));
        let peer = |(name, row): (&Name, &Row)| Peer {
            member: Identity::new(name.clone(), row.incarnation),
            last_contact: row.alive,
            cut_off: majority && 2 * apart <= row.knows,
        };
        self.rows.iter().map(peer).collect()
    }

    /// The incarnation in which `name` is known.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.rows.get(name).map(|row| row.incarnation)
    }

    /// When `name` was last known alive.
    pub fn last_contact(&self, name: &str) -> Option<Time> {
        self.rows.get(name).map(|row| row.alive)
    }

    /// Whom to call in `round`: a fan-out's worth of members.
    ///
    /// The order is shuffled by this process's incarnation and anew in each
    /// pass over all of them. Drawing partners independently would leave one
    /// uncalled for long by chance; in a shuffle each is called once a pass.
    pub fn partners(&self, round: u64) -> Vec<Name> {
        let (count, fan_out) = (self.rows.len(), self.config.fan_out);
        if count <= fan_out || fan_out == 0 {
            return self.rows.keys().take(fan_out).cloned().collect();
        }
        let rounds = count.div_ceil(fan_out) as u64;
        let (pass, turn) = (round / rounds, (round % rounds) as usize);
        let seed = mix(self.me.incarnation ^ mix(pass));
        let mut order: Vec<&Name> = self.rows.keys().collect();
        order.sort_by_cached_key(|name| name_hash(seed, name));
        order.into_iter().skip(turn * fan_out).take(fan_out).cloned().collect()
    }

    /// How many listed members, but for this process, did not answer it within
    /// the isolation limit.
    fn apart(&self, now: Time) -> usize {
        let fresh = |row: &Row| row.direct.is_some_and(|at| self.is_fresh(now, at));
        self.rows.values().filter(|row| row.listed && !fresh(row)).count()
    }

    fn is_fresh(&self, now: Time, at: Time) -> bool {
        now - at <= self.config.isolation_limit
    }

    /// The row of `member`, made or brought to its incarnation; `None` for
    /// this process and for an incarnation that is over.
    fn learn(&mut self, alive: Time, member: &Identity) -> Option<&mut Row> {
        if member.name == self.me.name {
            return None;
        }
        let incarnation = member.incarnation;
        let new = |listed| Row { incarnation, direct: None, alive, listed, knows: 0 };
        let row = self.rows.entry(member.name.clone()).or_insert_with(|| new(false));
        if row.incarnation > incarnation {
            return None;
        }
        if row.incarnation < incarnation {
            *row = new(row.listed);
        }
        Some(row)
    }
}

fn name_hash(seed: u64, name: &Name) -> u64 {
    name.as_str().bytes().fold(seed, |hash, byte| mix(hash ^ u64::from(byte)))
}
