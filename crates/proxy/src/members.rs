//! The table of other processes: their addresses and what each has confirmed. Pure.
//!
//! Proxies and controllers are both members, because all of them count for whether a
//! process is in touch. A proxy and a controller on the same entry VM may share a name,
//! so members are identified by role and name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_coord::member::{Config, Identity, Sighting, Table};
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Member, Role};
use corianderfork_wire::peer;

use crate::convert;

/// The maximum length of a member name, which leaves space for the role in front of it.
pub const MAX_NAME: usize = corianderfork_model::name::MAX_LEN - "controller-".len();

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    acks: Vec<peer::Ack>,
    /// When the member itself last reported the acks, as far as known.
    acked_at: Time,
    config_revision: u64,
    /// Since when the store no longer lists it.
    unlisted_since: Option<Time>,
}

/// The known members: this process and the other ones.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    table: Table,
    entries: BTreeMap<Name, Entry>,
    forget_after: Duration,
}

/// Returns the name of a member in the table.
fn table_name(member: &Member) -> Option<Name> {
    Name::new(&format!("{}-{}", member.role, member.name)).ok()
}

fn to_known(member: &Member) -> Option<Identity> {
    Some(Identity::new(table_name(member)?, member.incarnation))
}

impl Members {
    /// Creates a table that knows only `me`. A member that the store no longer lists and
    /// that was silent for `forget_after` is removed.
    ///
    /// # Errors
    ///
    /// Fails if the name of `me` is longer than [`MAX_NAME`].
    pub fn new(
        config: Config,
        me: Member,
        forget_after: Duration,
    ) -> Result<Self, corianderfork_model::name::Error> {
        let name = Name::new(&format!("{}-{}", me.role, me.name))?;
        let table = Table::new(config, Identity::new(name, me.incarnation));
        Ok(Self { me, table, entries: BTreeMap::new(), forget_after })
    }

    /// Returns this process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns whether this process is in touch: it recently reached the store or a
    /// majority of the members, so it may act on its views.
    pub fn in_touch(&self, now: Time) -> bool {
        self.table.in_touch(now)
    }

    /// Returns the number of known members, including this process.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns false, because this process is always known.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Applies a list of members that the store returned at `revision` to a call sent at
    /// `sent`. Returns the names of proxies that were removed.
    pub fn on_store<'a>(
        &mut self,
        now: Time,
        sent: Time,
        revision: u64,
        listed: impl Iterator<Item = &'a Member>,
    ) -> Vec<Name> {
        let listed = self.record_listed(listed);
        for (name, entry) in &mut self.entries {
            let is_listed = listed.iter().any(|known| known.name == *name);
            entry.unlisted_since =
                if is_listed { None } else { entry.unlisted_since.or(Some(now)) };
        }
        self.table.on_list(sent, revision, listed);
        self.remove_expired(now)
    }

    /// Applies the list of members in a snapshot from a peer.
    pub fn on_snapshot<'a>(&mut self, now: Time, listed: impl Iterator<Item = &'a Member>) {
        let listed = self.record_listed(listed);
        self.table.on_snapshot(now, listed);
    }

    fn record_listed<'a>(&mut self, listed: impl Iterator<Item = &'a Member>) -> Vec<Identity> {
        let mut known_members = Vec::new();
        for member in listed {
            let Some(subject) = to_known(member) else { continue };
            self.update(member);
            known_members.push(subject);
        }
        known_members
    }

    /// Returns all members that the store has listed and that were not removed since, for
    /// a process that starts while the store is down.
    pub fn listed(&self) -> impl Iterator<Item = &Member> {
        let listed = self.table.listed().into_iter();
        listed.filter_map(|known| self.entries.get(&known.name).map(|entry| &entry.member))
    }

    /// Applies the report of a member. `sent` is when this process sent the call that the
    /// report answers; `None` if the member made the call. Returns the member, or `None`
    /// if the report is invalid or from an earlier incarnation.
    pub fn on_report(
        &mut self,
        now: Time,
        sent: Option<Time>,
        report: &peer::Report,
    ) -> Option<Member> {
        let from = convert::parse_member(report.from.as_ref()?)?;
        let subject = self.update(&from)?;
        match sent {
            Some(sent) => self.table.on_contact(sent, &subject, report.store_revision),
            None => self.record_contact(now, subject, Duration::ZERO),
        }
        for seen in &report.seen {
            self.on_seen(now, seen);
        }
        Some(from)
    }

    fn on_seen(&mut self, now: Time, seen: &peer::Seen) -> Option<()> {
        let subject = convert::parse_member(seen.member.as_ref()?)?;
        let subject = self.update(&subject)?;
        let age = Duration::from_millis(seen.age_ms);
        self.record_contact(now, subject.clone(), age);
        let acked_at = Time::from_millis(now.as_millis().saturating_sub(seen.age_ms));
        let entry = self.entries.get_mut(&subject.name)?;
        entry.config_revision = entry.config_revision.max(seen.config_revision);
        if entry.member.incarnation == subject.incarnation && acked_at >= entry.acked_at {
            entry.acked_at = acked_at;
            entry.acks.clone_from(&seen.acks);
        }
        Some(())
    }

    fn record_contact(&mut self, now: Time, member: Identity, age: Duration) {
        self.table.on_sightings(now, [Sighting { member, age }]);
    }

    /// Adds or updates a member; returns `None` for this process and for earlier
    /// incarnations.
    fn update(&mut self, member: &Member) -> Option<Identity> {
        let known = to_known(member)?;
        if member.role == self.me.role && member.name == self.me.name {
            return None;
        }
        let newest = self.entries.get(&known.name).map(|entry| entry.member.incarnation);
        if newest.is_some_and(|newest| newest > member.incarnation) {
            return None;
        }
        if newest != Some(member.incarnation) {
            let entry = Entry {
                member: member.clone(),
                acks: Vec::new(),
                acked_at: Time::ZERO,
                config_revision: 0,
                unlisted_since: None,
            };
            self.entries.insert(known.name.clone(), entry);
        }
        Some(known)
    }

    /// Removes members that are gone.
    ///
    /// Entry VMs are replaced at any time. If the old ones were kept, they would
    /// eventually be the majority, and with the store down no process would count as in
    /// touch.
    fn remove_expired(&mut self, now: Time) -> Vec<Name> {
        let is_expired = |at: Time| now - at > self.forget_after;
        let is_silent = |name: &Name| self.table.last_contact(name.as_str()).is_none_or(is_expired);
        let gone = |(name, entry): &(&Name, &Entry)| {
            entry.unlisted_since.is_some_and(is_expired) && is_silent(name)
        };
        let gone: Vec<Name> =
            self.entries.iter().filter(gone).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.table.remove(name.as_str());
        }
        let entries = gone.iter().filter_map(|name| self.entries.remove(name));
        entries
            .filter(|entry| entry.member.role == Role::Proxy)
            .map(|entry| entry.member.name)
            .collect()
    }

    /// Returns the addresses of the members to call in `round`.
    pub fn partners(&self, round: u64) -> BTreeSet<SocketAddr> {
        let partners = self.table.partners(round);
        partners.iter().filter_map(|name| Some(self.entries.get(name)?.member.peers)).collect()
    }

    /// Returns the addresses of all other members.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.entries.values().map(|entry| entry.member.peers).collect()
    }

    /// Returns what to report about members: this process first, then all members heard
    /// of.
    pub fn seen(&self, now: Time, config_revision: u64, acks: Vec<peer::Ack>) -> Vec<peer::Seen> {
        let me = peer::Seen {
            member: Some(convert::member(&self.me)),
            age_ms: 0,
            acks,
            config_revision,
        };
        let others = self.table.sightings(now).into_iter().filter_map(|heard| {
            let entry = self.entries.get(&heard.member.name)?;
            Some(peer::Seen {
                member: Some(convert::member(&entry.member)),
                age_ms: u64::try_from(heard.age.as_millis()).unwrap_or(u64::MAX),
                acks: entry.acks.clone(),
                config_revision: entry.config_revision,
            })
        });
        std::iter::once(me).chain(others).collect()
    }
}
