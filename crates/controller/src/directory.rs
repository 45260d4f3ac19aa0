//! The other processes: the members, their latest reports and their
//! confirmations of drains. Does no I/O.
//!
//! Proxies and controllers are both members, since whether a process is in
//! touch depends on all of them. A proxy and a controller of the same entry VM
//! can share a name, so members are identified by role and name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Peer, Sighting, Table};
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

use crate::message::{decode_member, encode_member};

/// The latest report of a proxy about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// When the report arrived.
    pub received: Time,
    /// The revision up to which the proxy knows all records.
    pub store_revision: u64,
    /// The proxy's load on each runner.
    pub loads: Vec<peer::Load>,
    /// The runners that the proxy sees failing.
    pub suspects: Vec<peer::Suspect>,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When this process first learned of this incarnation.
    since: Time,
    listed: bool,
    acks: BTreeMap<Name, u64>,
    config_revision: u64,
    report: Option<Report>,
}

/// The other processes.
#[derive(Clone, Debug)]
pub struct Directory {
    me: Member,
    table: Table,
    entries: BTreeMap<Name, Entry>,
    expiry: Duration,
}

/// Returns the identifier of a member in the table, made of its role and name.
/// `None` if that is too long for a name.
pub fn member_id(role: Role, name: &Name) -> Option<Name> {
    Name::new(&format!("{role}-{name}")).ok()
}

impl Directory {
    /// Creates a directory that contains only `me`. Members that the store no
    /// longer lists are dropped after `expiry` of silence.
    ///
    /// # Errors
    ///
    /// Fails if the name of `me` is too long for a member.
    pub fn new(
        config: Config,
        me: Member,
        expiry: Duration,
    ) -> Result<Self, corianderfork_model::name::Error> {
        let id = Name::new(&format!("{}-{}", me.role, me.name))?;
        let table = Table::new(config, Identity::new(id, me.incarnation));
        Ok(Self { me, table, entries: BTreeMap::new(), expiry })
    }

    /// Returns this process's own member record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the table of members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies the `members` that the store listed at `revision`, read by a
    /// call sent at `sent`.
    pub fn on_store<'a>(
        &mut self,
        now: Time,
        sent: Time,
        revision: u64,
        members: impl Iterator<Item = &'a Member>,
    ) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        let mut known = Vec::new();
        for member in members {
            let Some(id) = self.upsert(now, member, true) else { continue };
            known.push(Identity::new(id, member.incarnation));
        }
        self.table.on_list(sent, revision, known);
        self.prune(now);
    }

    /// Applies the members in a peer's snapshot.
    pub fn on_snapshot<'a>(&mut self, now: Time, members: impl Iterator<Item = &'a Member>) {
        let mut known = Vec::new();
        for member in members {
            let Some(id) = member_id(member.role, &member.name) else { continue };
            known.push(Identity::new(id, member.incarnation));
            let _ = self.upsert(now, member, false);
        }
        self.table.on_snapshot(now, known);
    }

    /// Applies a peer's report. `sent` is when this process sent the call that
    /// the report answers, or `None` if the peer made the call.
    pub fn on_report(&mut self, now: Time, sent: Option<Time>, report: &peer::Report) {
        let Some(from) = report.from.as_ref().and_then(decode_member) else { return };
        let Some(known) = self.known_member(now, &from) else { return };
        match sent {
            Some(sent) => self.table.on_contact(sent, &known, report.store_revision),
            None => self.table.on_call(now, &known, report.store_revision),
        }
        for seen in &report.seen {
            self.on_seen(now, seen);
        }
        self.store_report(now, &from, report);
    }

    fn on_seen(&mut self, now: Time, seen: &peer::Seen) {
        let Some(about) = seen.member.as_ref().and_then(decode_member) else { return };
        let Some(known) = self.known_member(now, &about) else { return };
        let age = Duration::from_millis(seen.age_ms);
        let incarnation = known.incarnation;
        let id = known.name.clone();
        self.table.on_sightings(now, [Sighting { member: known, age }]);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.member.incarnation != incarnation {
            return;
        }
        entry.config_revision = entry.config_revision.max(seen.config_revision);
        for ack in &seen.acks {
            let Ok(vm) = Name::new(&ack.vm) else { continue };
            let epoch = entry.acks.entry(vm).or_default();
            *epoch = ack.epoch.max(*epoch);
        }
    }

    fn store_report(&mut self, now: Time, from: &Member, report: &peer::Report) {
        let entry = member_id(from.role, &from.name).and_then(|id| self.entries.get_mut(&id));
        let Some(entry) = entry.filter(|entry| entry.member.incarnation == from.incarnation) else {
            return;
        };
        entry.config_revision = entry.config_revision.max(report.config_revision);
        entry.report = Some(Report {
            received: now,
            store_revision: report.store_revision,
            loads: report.loads.clone(),
            suspects: report.suspects.clone(),
        });
    }

    fn known_member(&mut self, now: Time, member: &Member) -> Option<Identity> {
        let id = self.upsert(now, member, false)?;
        Some(Identity::new(id, member.incarnation))
    }

    fn upsert(&mut self, now: Time, member: &Member, listed: bool) -> Option<Name> {
        if member.role == self.me.role && member.name == self.me.name {
            return None;
        }
        let id = member_id(member.role, &member.name)?;
        let entry = self.entries.get_mut(&id);
        match entry {
            Some(entry) if entry.member.incarnation == member.incarnation => entry.listed |= listed,
            Some(entry) if entry.member.incarnation > member.incarnation => return None,
            _ => {
                let member = member.clone();
                let (acks, config_revision, report) = (BTreeMap::new(), 0, None);
                let entry = Entry { member, since: now, listed, acks, config_revision, report };
                self.entries.insert(id.clone(), entry);
            }
        }
        Some(id)
    }

    /// Drops members that ended long ago.
    ///
    /// Entry VMs can be replaced at any time. If the old ones were kept
    /// forever, they would eventually be the majority and no process would be
    /// in touch any more. A member has stopped acting if the store does not
    /// list it, it has been silent for longer than any wait for its
    /// confirmation, and it was cut off from the majority.
    fn prune(&mut self, now: Time) {
        let is_expired = |peer: &Peer| {
            let is_silent = now - peer.last_contact > self.expiry && peer.cut_off;
            is_silent && self.entries.get(&peer.member.name).is_none_or(|entry| !entry.listed)
        };
        let expired: Vec<Name> =
            self.table.peers(now).into_iter().filter(is_expired).map(|p| p.member.name).collect();
        for name in expired {
            self.table.remove(name.as_str());
            self.entries.remove(&name);
        }
    }

    /// Returns the proxies as peers of a drain barrier.
    pub fn proxies(&self, now: Time) -> Vec<Peer> {
        let is_proxy = |peer: &Peer| {
            self.entries.get(&peer.member.name).is_none_or(|entry| entry.member.role == Role::Proxy)
        };
        self.table.peers(now).into_iter().filter(is_proxy).collect()
    }

    /// Returns each proxy with the time since which its incarnation has been
    /// known.
    pub fn proxies_since(&self) -> impl Iterator<Item = (Identity, Time)> {
        let proxies = self.entries.iter().filter(|(_, entry)| entry.member.role == Role::Proxy);
        proxies
            .map(|(id, entry)| (Identity::new(id.clone(), entry.member.incarnation), entry.since))
    }

    /// Returns the members that confirmed the drain `epoch` of `vm`.
    pub fn acked(&self, vm: &Name, epoch: u64) -> Vec<Identity> {
        let acked = |(id, entry): (&Name, &Entry)| {
            let acked = entry.acks.get(vm) == Some(&epoch);
            acked.then(|| Identity::new(id.clone(), entry.member.incarnation))
        };
        self.entries.iter().filter_map(acked).collect()
    }

    /// Returns the reports of the proxies that are no older than `limit`.
    pub fn reports(&self, now: Time, limit: Duration) -> impl Iterator<Item = (Identity, &Report)> {
        self.entries.iter().filter_map(move |(id, entry)| {
            let report = entry.report.as_ref().filter(|report| now - report.received <= limit)?;
            let proxy = Identity::new(id.clone(), entry.member.incarnation);
            (entry.member.role == Role::Proxy).then_some((proxy, report))
        })
    }

    /// Returns the addresses of the peers to call in `round`.
    pub fn partners(&self, round: u64) -> Vec<SocketAddr> {
        let partners = self.table.partners(round);
        partners.iter().filter_map(|id| Some(self.entries.get(id)?.member.peers)).collect()
    }

    /// Returns the newest configuration revision that any member reported.
    pub fn newest_config(&self) -> u64 {
        self.entries.values().map(|entry| entry.config_revision).max().unwrap_or_default()
    }

    /// Returns what this process knows of all members, itself first, to be
    /// passed on to a peer.
    pub fn seen(&self, now: Time, config_revision: u64) -> Vec<peer::Seen> {
        let own = peer::Seen {
            member: Some(encode_member(&self.me)),
            config_revision,
            ..peer::Seen::default()
        };
        let others = self.table.sightings(now).into_iter().filter_map(|heard| {
            let entry = self.entries.get(&heard.member.name)?;
            Some(peer::Seen {
                member: Some(encode_member(&entry.member)),
                age_ms: u64::try_from(heard.age.as_millis()).unwrap_or(u64::MAX),
                acks: acks(&entry.acks),
                config_revision: entry.config_revision,
            })
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Drops confirmations for VMs that are not in `draining`: the barriers no
    /// longer need them, and they take up space in each report.
    pub fn retain_acks(&mut self, draining: &BTreeSet<Name>) {
        for entry in self.entries.values_mut() {
            entry.acks.retain(|vm, _| draining.contains(vm));
        }
    }
}

fn acks(acks: &BTreeMap<Name, u64>) -> Vec<peer::Ack> {
    acks.iter().map(|(vm, epoch)| peer::Ack { vm: vm.to_string(), epoch: *epoch }).collect()
}
