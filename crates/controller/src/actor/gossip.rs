//! Exchanges reports with the other processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_provider::record::{Member, Phase};
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::peers::{Error, Handler, Peers, Reply};
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::Tick;
use corianderfork_wire::peer;
use stakker::{CX, Share, fwd_to};

use crate::message::encode_member;
use crate::state::State;

/// The timeout of an exchange of reports.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a request for a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long this process may be behind the newest configuration before it
/// requests a snapshot. The watch is faster as long as it works.
const CATCH_UP_DELAY: Duration = Duration::from_millis(500);

/// The number of peers called per tick while a VM drains.
const CALLS_WHILE_DRAINING: u64 = 4;

/// A message from the thread that serves and calls peers.
pub enum Message {
    /// A peer's report, to be answered with a report.
    Report(peer::Report, Reply<peer::Report>),
    /// A peer's request for a snapshot.
    SnapshotRequest(peer::SnapshotRequest, Reply<peer::SnapshotReply>),
    /// The response to a report that was sent at this time.
    ReportReply(Time, Result<peer::Report, Error>),
    /// The response to a request for a snapshot.
    SnapshotReply(Result<peer::SnapshotReply, Error>),
}

/// Passes peers' messages to the actor once it has started.
#[derive(Default)]
pub struct Inbox {
    port: Mutex<Option<Port<Message>>>,
}

impl Inbox {
    fn send(&self, message: Message) {
        // If there is no port or it is full, the reply is dropped and the peer
        // asks another process.
        let port = self.port.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(Err(full)) = port.map(|port| port.send(message)) {
            log::debug!("dropped a peer's message: {full}");
        }
    }
}

impl Handler for Inbox {
    fn exchange(&self, report: peer::Report, reply: Reply<peer::Report>) {
        self.send(Message::Report(report, reply));
    }

    fn snapshot(&self, request: peer::SnapshotRequest, reply: Reply<peer::SnapshotReply>) {
        self.send(Message::SnapshotRequest(request, reply));
    }

    fn claim(&self, _: peer::ClaimRequest, reply: Reply<peer::ClaimReply>) {
        let verdict = peer::Verdict::NotOwner.into();
        reply.send(peer::ClaimReply { verdict, retry_after_ms: 0 });
    }

    fn settle(&self, _: peer::SettleRequest, reply: Reply<peer::SettleReply>) {
        reply.send(peer::SettleReply {});
    }
}

/// The actor that exchanges reports.
pub struct Gossip {
    state: Share<State>,
    peers: Peers,
    port: Port<Message>,
    seeds: Vec<SocketAddr>,
    round: u64,
    behind_since: Option<Time>,
    snapshot_in_flight: bool,
}

impl Gossip {
    /// Starts the actor and connects `inbox` to it.
    pub fn init(
        cx: CX![],
        state: Share<State>,
        peers: Peers,
        inbox: Arc<Inbox>,
        seeds: Vec<SocketAddr>,
        handle: Handle,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], on_message() as (Message));
        let port = Port::open(cx, handle, fwd);
        *inbox.port.lock().unwrap_or_else(PoisonError::into_inner) = Some(port.clone());
        Some(Self {
            state,
            peers,
            port,
            seeds,
            round: 0,
            behind_since: None,
            snapshot_in_flight: false,
        })
    }

    /// Calls the peers of this round.
    pub fn on_tick(&mut self, cx: CX![], tick: Tick) {
        let state = self.state.ro(cx);
        let draining = state.view.vms().any(|(_, entry)| entry.record.phase == Phase::Draining);
        // The wave waits for the proxies' confirmations, so more peers are
        // called while a VM drains.
        let calls = if draining { CALLS_WHILE_DRAINING } else { 1 };
        let rounds = self.round..self.round + calls;
        let partners: Vec<SocketAddr> =
            rounds.flat_map(|round| state.directory.partners(round)).collect();
        self.round += calls;
        let report = build_report(state, tick.now);
        let behind = state.directory.newest_config() > state.view.config_revision();
        let has_no_config = state.view.config().is_none();
        let request = peer::SnapshotRequest {
            config_revision: state.view.config_revision(),
            store_revision: state.view.synced_revision().0,
        };
        for partner in &partners {
            let port = self.port.clone();
            self.peers.exchange(*partner, report.clone(), EXCHANGE_TIMEOUT, move |answer| {
                let _ = port.send(Message::ReportReply(tick.now, answer));
            });
        }
        self.catch_up(tick.now, behind || has_no_config, &partners, request);
    }

    /// Requests a snapshot from a peer if this process has been behind for a
    /// while. The watch may use a connection that went silent, or the store may
    /// have been down since before startup.
    fn catch_up(
        &mut self,
        now: Time,
        behind: bool,
        partners: &[SocketAddr],
        request: peer::SnapshotRequest,
    ) {
        if !behind {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.snapshot_in_flight || now - since < CATCH_UP_DELAY {
            return;
        }
        let candidates: Vec<SocketAddr> = partners.iter().chain(&self.seeds).copied().collect();
        let Some(peer) =
            candidates.get(usize::try_from(self.round).unwrap_or(0) % candidates.len().max(1))
        else {
            return;
        };
        self.snapshot_in_flight = true;
        self.behind_since = Some(now);
        let port = self.port.clone();
        self.peers.snapshot(*peer, request, SNAPSHOT_TIMEOUT, move |answer| {
            let _ = port.send_wait(Message::SnapshotReply(answer));
        });
    }

    fn on_message(&mut self, cx: CX![], message: Message) {
        let state = self.state.rw(cx);
        let now = state.clock.now();
        match message {
            Message::Report(report, reply) => {
                merge_report(state, now, None, &report);
                reply.send(build_report(state, now));
            }
            Message::ReportReply(sent, Ok(report)) => merge_report(state, now, Some(sent), &report),
            Message::ReportReply(_, Err(error)) => {
                log::debug!("exchange of reports failed: {error}")
            }
            Message::SnapshotRequest(request, reply) => reply.send(state.view.snapshot(&request)),
            Message::SnapshotReply(answer) => {
                self.snapshot_in_flight = false;
                match answer {
                    Ok(snapshot) => merge_snapshot(state, now, &snapshot),
                    Err(error) => log::debug!("request for a snapshot failed: {error}"),
                }
            }
        }
    }
}

fn merge_report(state: &mut State, now: Time, sent: Option<Time>, report: &peer::Report) {
    state.directory.on_report(now, sent, report);
    state.waker.wake(report.store_revision);
    state.view.on_peer_drains(&report.wishes);
}

fn build_report(state: &State, now: Time) -> peer::Report {
    let config_revision = state.view.config_revision();
    let leaving = state
        .view
        .vms()
        .filter(|(_, entry)| entry.record.epoch > 0 && entry.record.phase != Phase::Serving);
    let leaving: Vec<_> = leaving.collect();
    let mut seen = state.directory.seen(now, config_revision);
    // Members' confirmations only matter to drains. Without a drain they would
    // be most of each message, and grow with the number of members.
    if leaving.is_empty() {
        seen.truncate(1);
    }
    peer::Report {
        from: Some(encode_member(state.directory.me())),
        config_revision,
        store_revision: state.view.synced_revision().0,
        seen,
        leaving: leaving
            .into_iter()
            .map(|(name, entry)| peer::Leaving {
                vm: name.to_string(),
                epoch: entry.record.epoch,
                revision: entry.revision.0,
            })
            .collect(),
        wishes: state.view.pending_drains(),
        ..peer::Report::default()
    }
}

fn merge_snapshot(state: &mut State, now: Time, snapshot: &peer::SnapshotReply) {
    if state.view.on_snapshot(snapshot) {
        log::info!(revision = snapshot.config_revision; "configuration from a peer is in force");
    }
    let members: Vec<Member> = snapshot
        .members
        .iter()
        .filter_map(|record| serde_json::from_str(&record.value).ok())
        .collect();
    state.directory.on_snapshot(now, members.iter());
}
