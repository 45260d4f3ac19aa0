//! The other proxies and their last reports.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_model::{Name, Time};

use crate::limits::Member;
use crate::report::Report;

/// All other known proxies, by name.
#[derive(Debug)]
pub(super) struct Peers {
    timeout: Duration,
    peers: BTreeMap<Name, Peer>,
}

#[derive(Debug)]
struct Peer {
    last_report: Time,
    demands: HashMap<Name, u32>,
}

/// The services whose shares a report affects.
#[derive(Debug)]
pub(super) enum Affected {
    /// All services.
    All,
    /// These services.
    Services(Vec<Name>),
}

impl Peers {
    pub(super) fn new(timeout: Duration) -> Self {
        Self { timeout, peers: BTreeMap::new() }
    }

    /// Adds a member and returns whether it is new.
    pub(super) fn add(&mut self, now: Time, member: &Name) -> bool {
        let known = self.peers.contains_key(member);
        if !known {
            self.peers.insert(member.clone(), Peer { last_report: now, demands: HashMap::new() });
        }
        !known
    }

    /// Stores a member's report and returns which shares it affects.
    pub(super) fn update(&mut self, now: Time, member: &Name, report: &Report) -> Affected {
        let demands: HashMap<Name, u32> =
            report.demands.iter().map(|d| (d.service.clone(), d.tenths)).collect();
        let before = self.peers.insert(member.clone(), Peer { last_report: now, demands });
        let (Some(before), Some(peer)) = (before, self.peers.get(member)) else {
            return Affected::All;
        };
        if before.last_report + self.timeout <= now {
            return Affected::All;
        }
        let differs = |name: &&Name| before.demands.get(*name) != peer.demands.get(*name);
        let names = before.demands.keys().chain(peer.demands.keys());
        Affected::Services(names.filter(differs).cloned().collect())
    }

    pub(super) fn forget(&mut self, member: &Name) {
        self.peers.remove(member);
    }

    /// Returns all proxies with their demands for `service`, sorted by name.
    /// `me` has `demand`.
    pub(super) fn members(&self, now: Time, service: &Name, me: &Name, demand: u32) -> Vec<Member> {
        let member = |(name, peer): (&Name, &Peer)| Member {
            name: name.clone(),
            demand: peer.demands.get(service).copied().unwrap_or(0),
            silent: peer.last_report + self.timeout <= now,
        };
        let mut members: Vec<Member> = self.peers.iter().map(member).collect();
        let index = members.partition_point(|m| m.name < *me);
        members.insert(index, Member { name: me.clone(), demand, silent: false });
        members
    }

    /// Returns when the next peer becomes silent if none reports.
    pub(super) fn next_silence(&self, now: Time) -> Option<Time> {
        let ends = self.peers.values().map(|peer| peer.last_report + self.timeout);
        ends.filter(|end| now < *end).min()
    }
}
