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

use crate::message::message;
use crate::state::World;

/// How long a peer may take to answer a report.
const EXCHANGE: Duration = Duration::from_secs(1);
/// How long a peer may take to send a snapshot.
const SNAPSHOT: Duration = Duration::from_secs(3);
/// How long this process may be behind the peers' configuration before it asks
/// them for it: a watch is faster as long as it works.
const BEHIND: Duration = Duration::from_millis(500);

/// How many peers are called at each tick while a VM drains.
const DRAINING_CALLS: u64 = 4;

/// What reaches the actor from the thread of all messages.
pub enum Incoming {
    /// A peer's report, to be answered.
    Report(peer::Report, Reply<peer::Report>),
    /// A peer wants a snapshot.
    Request(peer::SnapshotRequest, Reply<peer::SnapshotReply>),
    /// The answer to a report that was sent then.
    Answer(Time, Result<peer::Report, Error>),
    /// The answer to a request for a snapshot.
    Snapshot(Result<peer::SnapshotReply, Error>),
}

/// Takes peers' messages to the actor, once there is one.
#[derive(Default)]
pub struct Door {
    port: Mutex<Option<Port<Incoming>>>,
}

impl Door {
    fn send(&self, incoming: Incoming) {
        // Without a port or room the reply is dropped, which tells the peer
        // to ask another.
        let port = self.port.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(Err(full)) = port.map(|port| port.send(incoming)) {
            log::debug!("a peer's message was dropped: {full}");
        }
    }
}

impl Handler for Door {
    fn exchange(&self, report: peer::Report, reply: Reply<peer::Report>) {
        self.send(Incoming::Report(report, reply));
    }

    fn snapshot(&self, request: peer::SnapshotRequest, reply: Reply<peer::SnapshotReply>) {
        self.send(Incoming::Request(request, reply));
    }

    fn claim(&self, _: peer::ClaimRequest, reply: Reply<peer::ClaimReply>) {
        let verdict = peer::Verdict::NotOwner.into();
        reply.send(peer::ClaimReply { verdict, retry_after_ms: 0 });
    }

    fn settle(&self, _: peer::SettleRequest, reply: Reply<peer::SettleReply>) {
        reply.send(peer::SettleReply {});
    }
}

/// The actor.
pub struct Gossip {
    world: Share<World>,
    peers: Peers,
    port: Port<Incoming>,
    seeds: Vec<SocketAddr>,
    round: u64,
    behind_since: Option<Time>,
    asking: bool,
}

impl Gossip {
    /// Starts, and opens `door` for peers' messages.
    pub fn init(
        cx: CX![],
        world: Share<World>,
        peers: Peers,
        door: Arc<Door>,
        seeds: Vec<SocketAddr>,
        handle: Handle,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], on_incoming() as (Incoming));
        let port = Port::open(cx, handle, fwd);
        *door.port.lock().unwrap_or_else(PoisonError::into_inner) = Some(port.clone());
        Some(Self { world, peers, port, seeds, round: 0, behind_since: None, asking: false })
    }

    /// Calls the partners of this round.
    pub fn on_tick(&mut self, cx: CX![], tick: Tick) {
        let world = self.world.ro(cx);
        let draining = world.view.vms().any(|(_, held)| held.record.phase == Phase::Draining);
        // Several while a VM drains, since the wave waits for what the proxies
        // confirm.
        let calls = if draining { DRAINING_CALLS } else { 1 };
        let rounds = self.round..self.round + calls;
        let partners: Vec<SocketAddr> =
            rounds.flat_map(|round| world.directory.partners(round)).collect();
        self.round += calls;
        let report = report(world, tick.now);
        let behind = world.directory.newest_config() > world.view.config_revision();
        let empty = world.view.config().is_none();
        let request = peer::SnapshotRequest {
            config_revision: world.view.config_revision(),
            store_revision: world.view.complete().0,
        };
        for partner in &partners {
            let port = self.port.clone();
            self.peers.exchange(*partner, report.clone(), EXCHANGE, move |answer| {
                let _ = port.send(Incoming::Answer(tick.now, answer));
            });
        }
        self.catch_up(tick.now, behind || empty, &partners, request);
    }

    /// Asks a peer for what it has, if this process has been behind for a
    /// while: the watch may be on a connection that went silent, or the store
    /// be down since before the start.
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
        if self.asking || now - since < BEHIND {
            return;
        }
        let all: Vec<SocketAddr> = partners.iter().chain(&self.seeds).copied().collect();
        let Some(peer) = all.get(usize::try_from(self.round).unwrap_or(0) % all.len().max(1))
        else {
            return;
        };
        self.asking = true;
        self.behind_since = Some(now);
        let port = self.port.clone();
        self.peers.snapshot(*peer, request, SNAPSHOT, move |answer| {
            let _ = port.send_wait(Incoming::Snapshot(answer));
        });
    }

    fn on_incoming(&mut self, cx: CX![], incoming: Incoming) {
        let world = self.world.rw(cx);
        let now = world.clock.now();
        match incoming {
            Incoming::Report(from, reply) => {
                learn(world, now, None, &from);
                reply.send(report(world, now));
            }
            Incoming::Answer(sent, Ok(from)) => learn(world, now, Some(sent), &from),
            Incoming::Answer(_, Err(error)) => log::debug!("no report: {error}"),
            Incoming::Request(request, reply) => reply.send(world.view.snapshot(&request)),
            Incoming::Snapshot(answer) => {
                self.asking = false;
                match answer {
                    Ok(snapshot) => take(world, now, &snapshot),
                    Err(error) => log::debug!("no snapshot: {error}"),
                }
            }
        }
    }
}

fn learn(world: &mut World, now: Time, sent: Option<Time>, from: &peer::Report) {
    world.directory.on_report(now, sent, from);
    world.waker.wake(from.store_revision);
    world.view.on_wishes(&from.wishes);
}

fn report(world: &World, now: Time) -> peer::Report {
    let config_revision = world.view.config_revision();
    let leaving = world
        .view
        .vms()
        .filter(|(_, held)| held.record.epoch > 0 && held.record.phase != Phase::Serving);
    let leaving: Vec<_> = leaving.collect();
    let mut seen = world.directory.seen(now, config_revision);
    // What is passed on about others serves drains; at rest it would be most
    // of each message, and grow with the members.
    if leaving.is_empty() {
        seen.truncate(1);
    }
    peer::Report {
        from: Some(message(world.directory.me())),
        config_revision,
        store_revision: world.view.complete().0,
        seen,
        leaving: leaving
            .into_iter()
            .map(|(name, held)| peer::Leaving {
                vm: name.to_string(),
                epoch: held.record.epoch,
                revision: held.revision.0,
            })
            .collect(),
        wishes: world.view.wishes(),
        ..peer::Report::default()
    }
}

fn take(world: &mut World, now: Time, snapshot: &peer::SnapshotReply) {
    if world.view.on_snapshot(snapshot) {
        log::info!(revision = snapshot.config_revision; "a peer's configuration came into force");
    }
    let members: Vec<Member> =
        snapshot.members.iter().filter_map(|one| serde_json::from_str(&one.value).ok()).collect();
    world.directory.on_snapshot(now, members.iter());
}
