//! The actor that exchanges reports with peers, and asks them for what it
//! lacks while the store is silent.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::peers::{Error, Peers, Reply};
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::{Service, Tick};
use corianderfork_wire::peer;
use stakker::{Actor, CX, call, fwd_to};

use crate::hub::Hub;
use crate::inbox::Inbox;

/// How long a peer may take to answer a report.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How long a peer may take to send all records.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the store may leave this process without news before it asks a
/// peer. A watch ends and begins anew within less.
const STALE: Duration = Duration::from_secs(3);
/// For how long a newer configuration at a peer is awaited from the watch.
const CONFIG_GRACE: Duration = Duration::from_millis(750);

/// What reaches the actor from other threads.
pub enum Message {
    /// A peer called.
    Called(peer::Report, Reply<peer::Report>),
    /// A peer answered, or did not.
    Answered(Answered),
    /// A peer asks for records.
    Asked(peer::SnapshotRequest, Reply<peer::SnapshotReply>),
    /// A peer sent records, or did not.
    Sent(Result<peer::SnapshotReply, Error>),
    /// The store brought news after an outage: all peers are to hear that it is back.
    Returned,
}

/// The end of a call to a peer.
pub struct Answered {
    to: SocketAddr,
    sent: Time,
    result: Result<peer::Report, Error>,
}

/// How to gossip.
#[derive(Clone, Debug)]
pub struct Config {
    /// The time between two rounds.
    pub interval: Duration,
    /// Peers that are asked while no other is known.
    pub seeds: Vec<SocketAddr>,
}

/// Exchanges reports with peers.
pub struct Gossip {
    hub: Rc<Hub>,
    config: Config,
    peers: Peers,
    inbox: Inbox<Message>,
    round: u64,
    /// Peers whose answer is awaited: one call at a time each.
    out: HashSet<SocketAddr>,
    /// Whether a snapshot is awaited.
    asking: bool,
    /// Since when a peer is known to have a newer configuration.
    behind: Option<Time>,
}

impl Gossip {
    /// Listens at `inbox` and begins its rounds.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        config: Config,
        peers: Peers,
        inbox: Inbox<Message>,
        (handle, timer): (Handle, Actor<Service>),
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], heard() as (Message));
        inbox.connect(Port::open(cx, handle, fwd));
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(config.interval, tick));
        let (out, asking, behind) = (HashSet::new(), false, None);
        Some(Self { hub, config, peers, inbox, round: 0, out, asking, behind })
    }

    fn tick(&mut self, _: CX![], tick: Tick) {
        self.hub.touch(tick.now);
        let mut partners = self.hub.members.borrow().partners(self.round);
        self.round += 1;
        let alone = partners.is_empty() || !self.hub.shared.in_touch();
        if alone {
            let own = self.hub.me().peers;
            partners.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        partners.retain(|to| self.out.insert(*to));
        self.tell_all(partners);
    }

    fn tell_all(&self, partners: BTreeSet<SocketAddr>) {
        if partners.is_empty() {
            return;
        }
        let report = self.hub.report();
        for to in partners {
            self.tell(to, report.clone());
        }
    }

    fn returned(&mut self) {
        let mut peers = self.hub.members.borrow().addresses();
        peers.retain(|to| self.out.insert(*to));
        self.tell_all(peers);
    }

    fn tell(&self, to: SocketAddr, report: peer::Report) {
        let inbox = self.inbox.clone();
        let sent = self.hub.shared.clock.now();
        self.peers.exchange(to, report, TIMEOUT, move |result| {
            let _ = inbox.send(Message::Answered(Answered { to, sent, result }));
        });
    }

    fn heard(&mut self, _: CX![], message: Message) {
        match message {
            Message::Called(report, reply) => {
                self.learn(None, &report);
                reply.send(self.hub.report());
            }
            Message::Answered(answered) => self.answered(answered),
            Message::Asked(request, reply) => reply.send(self.hub.snapshot(&request)),
            Message::Sent(result) => self.sent(result),
            Message::Returned => self.returned(),
        }
    }

    fn answered(&mut self, answered: Answered) {
        self.out.remove(&answered.to);
        let result = if answered.result.is_ok() { "ok" } else { "failed" };
        self.hub.shared.metrics.peer_calls.with_label_values(&["exchange", result]).inc();
        match answered.result {
            Ok(report) => {
                self.learn(Some(answered.sent), &report);
                self.catch_up(answered.to, &report);
            }
            Err(error) => ::log::debug!("gossip: {error}"),
        }
    }

    fn learn(&self, sent: Option<Time>, report: &peer::Report) {
        self.hub.on_report(sent, report);
    }

    /// Asks a peer that knows more than this process, if the store does not
    /// bring it. The watch of a connection that went silent never ends by
    /// itself, and a store that is down brings nothing.
    fn catch_up(&mut self, to: SocketAddr, report: &peer::Report) {
        let now = self.hub.shared.clock.now();
        let view = self.hub.view.borrow();
        let is_stale = self.hub.synced.get().is_none_or(|at| now - at > STALE);
        let older_config = report.config_revision > view.config_revision();
        if !older_config {
            self.behind = None;
        }
        let waited = older_config && now - *self.behind.get_or_insert(now) >= CONFIG_GRACE;
        let older_records = report.store_revision > view.store_revision();
        let wanted = if is_stale { older_config || older_records } else { waited };
        if self.asking || !wanted {
            return;
        }
        self.asking = true;
        let request = peer::SnapshotRequest {
            config_revision: view.config_revision(),
            store_revision: view.store_revision(),
        };
        let inbox = self.inbox.clone();
        self.peers.snapshot(to, request, SNAPSHOT_TIMEOUT, move |result| {
            let _ = inbox.send_wait(Message::Sent(result));
        });
    }

    fn sent(&mut self, result: Result<peer::SnapshotReply, Error>) {
        self.asking = false;
        match result {
            Ok(snapshot) => {
                ::log::info!(revision = snapshot.store_revision; "records from a peer");
                self.hub.on_snapshot(&snapshot);
            }
            Err(error) => ::log::warn!("no records from a peer: {error}"),
        }
    }
}
