//! The actor that exchanges reports with peers, and requests snapshots from them while
//! the store is silent.

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

/// The timeout of a report exchange.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a snapshot request.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the store may be silent before a snapshot is requested from a peer. A watch
/// ends and restarts within less time.
const STALE_AFTER: Duration = Duration::from_secs(3);
/// How long the watch may take to deliver a configuration that a peer already has.
const CONFIG_GRACE: Duration = Duration::from_millis(750);

/// A message from another thread.
pub enum Message {
    /// A peer sent its report.
    Report(peer::Report, Reply<peer::Report>),
    /// The exchange with a peer ended.
    Exchange(Exchange),
    /// A peer requested a snapshot.
    SnapshotRequest(peer::SnapshotRequest, Reply<peer::SnapshotReply>),
    /// The snapshot request to a peer ended.
    Snapshot(Result<peer::SnapshotReply, Error>),
    /// The store is reachable again after an outage; all peers are to be notified.
    StoreReturned,
}

/// The result of a report exchange that this process started.
pub struct Exchange {
    to: SocketAddr,
    sent: Time,
    result: Result<peer::Report, Error>,
}

/// Settings of gossip.
#[derive(Clone, Debug)]
pub struct Config {
    /// The interval between two rounds.
    pub interval: Duration,
    /// Peers to call while no other peer is known.
    pub seeds: Vec<SocketAddr>,
}

/// Exchanges reports with peers.
pub struct Gossip {
    hub: Rc<Hub>,
    config: Config,
    peers: Peers,
    inbox: Inbox<Message>,
    round: u64,
    /// Peers with an exchange in flight; at most one each.
    in_flight: HashSet<SocketAddr>,
    /// Whether a snapshot request is in flight.
    snapshot_in_flight: bool,
    /// Since when a peer is known to have a newer configuration.
    config_behind_since: Option<Time>,
}

impl Gossip {
    /// Starts the actor, connected to `inbox`, and its rounds.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        config: Config,
        peers: Peers,
        inbox: Inbox<Message>,
        (handle, timer): (Handle, Actor<Service>),
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], on_message() as (Message));
        inbox.connect(Port::open(cx, handle, fwd));
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(config.interval, tick));
        let (in_flight, snapshot_in_flight, config_behind_since) = (HashSet::new(), false, None);
        Some(Self {
            hub,
            config,
            peers,
            inbox,
            round: 0,
            in_flight,
            snapshot_in_flight,
            config_behind_since,
        })
    }

    fn tick(&mut self, _: CX![], tick: Tick) {
        self.hub.refresh_in_touch(tick.now);
        let mut partners = self.hub.members.borrow().partners(self.round);
        self.round += 1;
        let needs_seeds = partners.is_empty() || !self.hub.shared.in_touch();
        if needs_seeds {
            let own = self.hub.me().peers;
            partners.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        partners.retain(|to| self.in_flight.insert(*to));
        self.send_reports(partners);
    }

    fn send_reports(&self, partners: BTreeSet<SocketAddr>) {
        if partners.is_empty() {
            return;
        }
        let report = self.hub.report();
        for to in partners {
            self.send_report(to, report.clone());
        }
    }

    fn on_store_returned(&mut self) {
        let mut peers = self.hub.members.borrow().addresses();
        peers.retain(|to| self.in_flight.insert(*to));
        self.send_reports(peers);
    }

    fn send_report(&self, to: SocketAddr, report: peer::Report) {
        let inbox = self.inbox.clone();
        let sent = self.hub.shared.clock.now();
        self.peers.exchange(to, report, REPORT_TIMEOUT, move |result| {
            let _ = inbox.send(Message::Exchange(Exchange { to, sent, result }));
        });
    }

    fn on_message(&mut self, _: CX![], message: Message) {
        match message {
            Message::Report(report, reply) => {
                self.apply_report(None, &report);
                reply.send(self.hub.report());
            }
            Message::Exchange(exchange) => self.on_exchange(exchange),
            Message::SnapshotRequest(request, reply) => reply.send(self.hub.snapshot(&request)),
            Message::Snapshot(result) => self.on_snapshot(result),
            Message::StoreReturned => self.on_store_returned(),
        }
    }

    fn on_exchange(&mut self, exchange: Exchange) {
        self.in_flight.remove(&exchange.to);
        let result = if exchange.result.is_ok() { "ok" } else { "failed" };
        self.hub.shared.metrics.peer_calls.with_label_values(&["exchange", result]).inc();
        match exchange.result {
            Ok(report) => {
                self.apply_report(Some(exchange.sent), &report);
                self.request_snapshot_if_behind(exchange.to, &report);
            }
            Err(error) => ::log::debug!("report exchange with a peer failed: {error}"),
        }
    }

    fn apply_report(&self, sent: Option<Time>, report: &peer::Report) {
        self.hub.on_report(sent, report);
    }

    /// Requests a snapshot from a peer with newer records, if the store does not deliver
    /// them: the store may be down, and a watch on a connection that went silent never
    /// ends by itself.
    fn request_snapshot_if_behind(&mut self, to: SocketAddr, report: &peer::Report) {
        let now = self.hub.shared.clock.now();
        let view = self.hub.view.borrow();
        let store_is_silent = self.hub.last_sync.get().is_none_or(|at| now - at > STALE_AFTER);
        let config_is_behind = report.config_revision > view.config_revision();
        if !config_is_behind {
            self.config_behind_since = None;
        }
        let config_is_late =
            config_is_behind && now - *self.config_behind_since.get_or_insert(now) >= CONFIG_GRACE;
        let records_are_behind = report.store_revision > view.store_revision();
        let is_needed =
            if store_is_silent { config_is_behind || records_are_behind } else { config_is_late };
        if self.snapshot_in_flight || !is_needed {
            return;
        }
        self.snapshot_in_flight = true;
        let request = peer::SnapshotRequest {
            config_revision: view.config_revision(),
            store_revision: view.store_revision(),
        };
        let inbox = self.inbox.clone();
        self.peers.snapshot(to, request, SNAPSHOT_TIMEOUT, move |result| {
            let _ = inbox.send_wait(Message::Snapshot(result));
        });
    }

    fn on_snapshot(&mut self, result: Result<peer::SnapshotReply, Error>) {
        self.snapshot_in_flight = false;
        match result {
            Ok(snapshot) => {
                ::log::info!(revision = snapshot.store_revision; "received a snapshot from a peer");
                self.hub.on_snapshot(&snapshot);
            }
            Err(error) => ::log::warn!("snapshot request to a peer failed: {error}"),
        }
    }
}
