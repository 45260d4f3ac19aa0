//! The other processes: where they are, and what each is known to have
//! confirmed. Pure.
//!
//! Proxies and controllers are members alike: whether a process is in touch is
//! a question of all of them. A proxy and a controller of one entry VM may
//! have one name, so the table of members names them by role and name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Sighting, Table};
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

use crate::convert;

/// The most bytes of a member's name, so that its role fits before it.
pub const MAX_NAME: usize = corianderfork_model::name::MAX_LEN - "controller-".len();

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    acks: Vec<peer::Ack>,
    /// When the acks were told by the member itself, as far as known.
    told: Time,
    config_revision: u64,
    /// Since when the store was seen not to list it.
    unlisted: Option<Time>,
}

/// The other processes.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    table: Table,
    rows: BTreeMap<Name, Row>,
    forget: Duration,
}

/// The name of a member in the table.
fn id(member: &Member) -> Option<Name> {
    Name::new(&format!("{}-{}", member.role, member.name)).ok()
}

fn known(member: &Member) -> Option<Identity> {
    Some(Identity::new(id(member)?, member.incarnation))
}

impl Members {
    /// Knows only `me`. A member that the store no longer lists and that was
    /// silent for `forget` is forgotten.
    ///
    /// # Errors
    ///
    /// Fails if the name of `me` is longer than [`MAX_NAME`].
    pub fn new(
        config: Config,
        me: Member,
        forget: Duration,
    ) -> Result<Self, corianderfork_model::name::Error> {
        let name = Name::new(&format!("{}-{}", me.role, me.name))?;
        let table = Table::new(config, Identity::new(name, me.incarnation));
        Ok(Self { me, table, rows: BTreeMap::new(), forget })
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether this process may act on its views.
    pub fn in_touch(&self, now: Time) -> bool {
        self.table.in_touch(now)
    }

    /// How many members are known, this one included.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Never: this process is always known.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// The store listed `listed` at its `revision`, by a call sent at `sent`.
    /// Gives the proxies that are forgotten.
    pub fn on_store<'a>(
        &mut self,
        now: Time,
        sent: Time,
        revision: u64,
        listed: impl Iterator<Item = &'a Member>,
    ) -> Vec<Name> {
        let listed = self.list(listed);
        for (name, row) in &mut self.rows {
            let is_listed = listed.iter().any(|known| known.name == *name);
            row.unlisted = if is_listed { None } else { row.unlisted.or(Some(now)) };
        }
        self.table.on_list(sent, revision, listed);
        self.tidy(now)
    }

    /// A peer passed on what the store listed.
    pub fn on_snapshot<'a>(&mut self, now: Time, listed: impl Iterator<Item = &'a Member>) {
        let listed = self.list(listed);
        self.table.on_snapshot(now, listed);
    }

    fn list<'a>(&mut self, listed: impl Iterator<Item = &'a Member>) -> Vec<Identity> {
        let mut all = Vec::new();
        for member in listed {
            let Some(about) = known(member) else { continue };
            self.learn(member);
            all.push(about);
        }
        all
    }

    /// The members that the store ever listed and that are not forgotten, for
    /// a process that starts while the store is down.
    pub fn listed(&self) -> impl Iterator<Item = &Member> {
        let listed = self.table.listed().into_iter();
        listed.filter_map(|known| self.rows.get(&known.name).map(|row| &row.member))
    }

    /// A member reported. `sent` is when this process sent the call that it
    /// answers; `None` if the member called by itself. Gives who it is, or
    /// `None` if the report is of an earlier incarnation or makes no sense.
    pub fn on_report(
        &mut self,
        now: Time,
        sent: Option<Time>,
        report: &peer::Report,
    ) -> Option<Member> {
        let from = convert::member_of(report.from.as_ref()?)?;
        let about = self.learn(&from)?;
        match sent {
            Some(sent) => self.table.on_contact(sent, &about, report.store_revision),
            None => self.hear(now, about, Duration::ZERO),
        }
        for seen in &report.seen {
            self.on_seen(now, seen);
        }
        Some(from)
    }

    fn on_seen(&mut self, now: Time, seen: &peer::Seen) -> Option<()> {
        let about = convert::member_of(seen.member.as_ref()?)?;
        let about = self.learn(&about)?;
        let age = Duration::from_millis(seen.age_ms);
        self.hear(now, about.clone(), age);
        let told = Time::from_millis(now.as_millis().saturating_sub(seen.age_ms));
        let row = self.rows.get_mut(&about.name)?;
        row.config_revision = row.config_revision.max(seen.config_revision);
        if row.member.incarnation == about.incarnation && told >= row.told {
            row.told = told;
            row.acks.clone_from(&seen.acks);
        }
        Some(())
    }

    fn hear(&mut self, now: Time, member: Identity, age: Duration) {
        self.table.on_sightings(now, [Sighting { member, age }]);
    }

    /// `None` for this process and for incarnations that are over.
    fn learn(&mut self, member: &Member) -> Option<Identity> {
        let known = known(member)?;
        if member.role == self.me.role && member.name == self.me.name {
            return None;
        }
        let newest = self.rows.get(&known.name).map(|row| row.member.incarnation);
        if newest.is_some_and(|newest| newest > member.incarnation) {
            return None;
        }
        if newest != Some(member.incarnation) {
            let row = Row {
                member: member.clone(),
                acks: Vec::new(),
                told: Time::ZERO,
                config_revision: 0,
                unlisted: None,
            };
            self.rows.insert(known.name.clone(), row);
        }
        Some(known)
    }

    /// Forgets members that are gone.
    ///
    /// Entry VMs are replaced at any time. Were the old ones kept for ever,
    /// they would in the end be the majority, and with the store down nobody
    /// would count as in touch any more.
    fn tidy(&mut self, now: Time) -> Vec<Name> {
        let is_past = |at: Time| now - at > self.forget;
        let is_silent = |name: &Name| self.table.last_contact(name.as_str()).is_none_or(is_past);
        let gone =
            |(name, row): &(&Name, &Row)| row.unlisted.is_some_and(is_past) && is_silent(name);
        let gone: Vec<Name> = self.rows.iter().filter(gone).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.table.remove(name.as_str());
        }
        let rows = gone.iter().filter_map(|name| self.rows.remove(name));
        rows.filter(|row| row.member.role == Role::Proxy).map(|row| row.member.name).collect()
    }

    /// Whom to call in `round`.
    pub fn partners(&self, round: u64) -> BTreeSet<SocketAddr> {
        let partners = self.table.partners(round);
        partners.iter().filter_map(|name| Some(self.rows.get(name)?.member.peers)).collect()
    }

    /// Where all others are called.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.rows.values().map(|row| row.member.peers).collect()
    }

    /// What to pass on: this process first, then all it heard of.
    pub fn seen(&self, now: Time, config_revision: u64, acks: Vec<peer::Ack>) -> Vec<peer::Seen> {
        let me = peer::Seen {
            member: Some(convert::member(&self.me)),
            age_ms: 0,
            acks,
            config_revision,
        };
        let others = self.table.sightings(now).into_iter().filter_map(|heard| {
            let row = self.rows.get(&heard.member.name)?;
            Some(peer::Seen {
                member: Some(convert::member(&row.member)),
                age_ms: u64::try_from(heard.age.as_millis()).unwrap_or(u64::MAX),
                acks: row.acks.clone(),
                config_revision: row.config_revision,
            })
        });
        std::iter::once(me).chain(others).collect()
    }
}
