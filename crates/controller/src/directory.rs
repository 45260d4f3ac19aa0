//! The other processes: who is there, what each told, and who confirmed what.
//! Pure.
//!
//! Proxies and controllers are members alike: whether a process is in touch is
//! a question of all of them. One name can belong to a proxy and a controller
//! of the same entry VM, so that members are told apart by role and name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Peer, Sighting, Table};
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

use crate::message::{member, message};

/// What a proxy told of itself last.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When it was told.
    pub at: Time,
    /// The revision up to which it knows all records.
    pub store_revision: u64,
    /// Its work on each runner.
    pub loads: Vec<peer::Load>,
    /// Runners that fail it.
    pub suspects: Vec<peer::Suspect>,
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    /// When this process first knew of it, in this incarnation.
    since: Time,
    listed: bool,
    acks: BTreeMap<Name, u64>,
    config_revision: u64,
    told: Option<Told>,
}

/// The other processes.
#[derive(Clone, Debug)]
pub struct Directory {
    me: Member,
    table: Table,
    rows: BTreeMap<Name, Row>,
    forget: Duration,
}

/// The name of a member in the table: its role and name. `None` if that is
/// longer than a name can be.
pub fn id(role: Role, name: &Name) -> Option<Name> {
    Name::new(&format!("{role}-{name}")).ok()
}

impl Directory {
    /// A directory that knows only `me`. Members that the store no longer
    /// lists and that were silent for `forget` are forgotten.
    ///
    /// # Errors
    ///
    /// Fails if the name of `me` is too long for a member.
    pub fn new(
        config: Config,
        me: Member,
        forget: Duration,
    ) -> Result<Self, corianderfork_model::name::Error> {
        let id = Name::new(&format!("{}-{}", me.role, me.name))?;
        let table = Table::new(config, Identity::new(id, me.incarnation));
        Ok(Self { me, table, rows: BTreeMap::new(), forget })
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The table of members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The store listed `members` at `revision`, by a call sent at `sent`.
    pub fn on_store<'a>(
        &mut self,
        now: Time,
        sent: Time,
        revision: u64,
        members: impl Iterator<Item = &'a Member>,
    ) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        let mut known = Vec::new();
        for member in members {
            let Some(id) = self.learn(now, member, true) else { continue };
            known.push(Identity::new(id, member.incarnation));
        }
        self.table.on_list(sent, revision, known);
        self.tidy(now);
    }

    /// A peer passed on the members that the store listed to it.
    pub fn on_snapshot<'a>(&mut self, now: Time, members: impl Iterator<Item = &'a Member>) {
        let mut known = Vec::new();
        for member in members {
            let Some(id) = id(member.role, &member.name) else { continue };
            known.push(Identity::new(id, member.incarnation));
            let _ = self.learn(now, member, false);
        }
        self.table.on_snapshot(now, known);
    }

    /// A peer reported. `sent` is when this process sent the call that the
    /// report answers; `None` if the peer called by itself.
    pub fn on_report(&mut self, now: Time, sent: Option<Time>, report: &peer::Report) {
        let Some(from) = report.from.as_ref().and_then(member) else { return };
        let Some(known) = self.known(now, &from) else { return };
        match sent {
            Some(sent) => self.table.on_contact(sent, &known, report.store_revision),
            None => self.table.on_call(now, &known, report.store_revision),
        }
        for seen in &report.seen {
            self.on_seen(now, seen);
        }
        self.on_told(now, &from, report);
    }

    fn on_seen(&mut self, now: Time, seen: &peer::Seen) {
        let Some(about) = seen.member.as_ref().and_then(member) else { return };
        let Some(known) = self.known(now, &about) else { return };
        let age = Duration::from_millis(seen.age_ms);
        let incarnation = known.incarnation;
        let id = known.name.clone();
        self.table.on_sightings(now, [Sighting { member: known, age }]);
        let Some(row) = self.rows.get_mut(&id) else { return };
        if row.member.incarnation != incarnation {
            return;
        }
        row.config_revision = row.config_revision.max(seen.config_revision);
        for ack in &seen.acks {
            let Ok(vm) = Name::new(&ack.vm) else { continue };
            let epoch = row.acks.entry(vm).or_default();
            *epoch = ack.epoch.max(*epoch);
        }
    }

    fn on_told(&mut self, now: Time, from: &Member, report: &peer::Report) {
        let row = id(from.role, &from.name).and_then(|id| self.rows.get_mut(&id));
        let Some(row) = row.filter(|row| row.member.incarnation == from.incarnation) else {
            return;
        };
        row.config_revision = row.config_revision.max(report.config_revision);
        row.told = Some(Told {
            at: now,
            store_revision: report.store_revision,
            loads: report.loads.clone(),
            suspects: report.suspects.clone(),
        });
    }

    fn known(&mut self, now: Time, member: &Member) -> Option<Identity> {
        let id = self.learn(now, member, false)?;
        Some(Identity::new(id, member.incarnation))
    }

    fn learn(&mut self, now: Time, member: &Member, listed: bool) -> Option<Name> {
        if member.role == self.me.role && member.name == self.me.name {
            return None;
        }
        let id = id(member.role, &member.name)?;
        let row = self.rows.get_mut(&id);
        match row {
            Some(row) if row.member.incarnation == member.incarnation => row.listed |= listed,
            Some(row) if row.member.incarnation > member.incarnation => return None,
            _ => {
                let member = member.clone();
                let (acks, config_revision, told) = (BTreeMap::new(), 0, None);
                let row = Row { member, since: now, listed, acks, config_revision, told };
                self.rows.insert(id.clone(), row);
            }
        }
        Some(id)
    }

    /// Forgets members that ended long ago.
    ///
    /// Entry VMs are replaced at any time. Were the old ones kept for ever,
    /// they would in the end be the majority, and nobody would be in touch
    /// any more. One that the store does not list, that is silent for longer
    /// than any stand-in for its word, and that was cut off from the majority,
    /// has stopped acting.
    fn tidy(&mut self, now: Time) {
        let gone = |peer: &Peer| {
            let silent = now - peer.last_contact > self.forget && peer.cut_off;
            silent && self.rows.get(&peer.member.name).is_none_or(|row| !row.listed)
        };
        let gone: Vec<Name> =
            self.table.peers(now).into_iter().filter(gone).map(|p| p.member.name).collect();
        for name in gone {
            self.table.remove(name.as_str());
            self.rows.remove(&name);
        }
    }

    /// The proxies, as a barrier has to know them.
    pub fn proxies(&self, now: Time) -> Vec<Peer> {
        let is_proxy = |peer: &Peer| {
            self.rows.get(&peer.member.name).is_none_or(|row| row.member.role == Role::Proxy)
        };
        self.table.peers(now).into_iter().filter(is_proxy).collect()
    }

    /// Since when each proxy has been known in its incarnation.
    pub fn proxies_since(&self) -> impl Iterator<Item = (Identity, Time)> {
        let proxies = self.rows.iter().filter(|(_, row)| row.member.role == Role::Proxy);
        proxies.map(|(id, row)| (Identity::new(id.clone(), row.member.incarnation), row.since))
    }

    /// Who confirmed the drain `epoch` of `vm`.
    pub fn acked(&self, vm: &Name, epoch: u64) -> Vec<Identity> {
        let acked = |(id, row): (&Name, &Row)| {
            let acked = row.acks.get(vm) == Some(&epoch);
            acked.then(|| Identity::new(id.clone(), row.member.incarnation))
        };
        self.rows.iter().filter_map(acked).collect()
    }

    /// What the proxies told of themselves, none older than `limit`.
    pub fn told(&self, now: Time, limit: Duration) -> impl Iterator<Item = (Identity, &Told)> {
        self.rows.iter().filter_map(move |(id, row)| {
            let told = row.told.as_ref().filter(|told| now - told.at <= limit)?;
            let known = Identity::new(id.clone(), row.member.incarnation);
            (row.member.role == Role::Proxy).then_some((known, told))
        })
    }

    /// Whom to call in `round`, and where.
    pub fn partners(&self, round: u64) -> Vec<SocketAddr> {
        let partners = self.table.partners(round);
        partners.iter().filter_map(|id| Some(self.rows.get(id)?.member.peers)).collect()
    }

    /// The newest configuration that members told of.
    pub fn newest_config(&self) -> u64 {
        self.rows.values().map(|row| row.config_revision).max().unwrap_or_default()
    }

    /// What to pass on about the others, this process first.
    pub fn seen(&self, now: Time, config_revision: u64) -> Vec<peer::Seen> {
        let own = peer::Seen {
            member: Some(message(&self.me)),
            config_revision,
            ..peer::Seen::default()
        };
        let others = self.table.sightings(now).into_iter().filter_map(|heard| {
            let row = self.rows.get(&heard.member.name)?;
            Some(peer::Seen {
                member: Some(message(&row.member)),
                age_ms: u64::try_from(heard.age.as_millis()).unwrap_or(u64::MAX),
                acks: acks(&row.acks),
                config_revision: row.config_revision,
            })
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Drops confirmations of VMs that are not in `draining`: the barriers no
    /// longer ask for them, and passing them on costs room in each report.
    pub fn retain_acks(&mut self, draining: &BTreeSet<Name>) {
        for row in self.rows.values_mut() {
            row.acks.retain(|vm, _| draining.contains(vm));
        }
    }
}

fn acks(acks: &BTreeMap<Name, u64>) -> Vec<peer::Ack> {
    acks.iter().map(|(vm, epoch)| peer::Ack { vm: vm.to_string(), epoch: *epoch }).collect()
}
