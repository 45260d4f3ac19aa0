//! The daemon's listening addresses and their handlers.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use tokio::task::spawn_local;

use crate::delivery;
use crate::gateway::Gateway;
use crate::intake::Budget;
use crate::node::Node;
use crate::peer::{Message, Reply};
use crate::receive::Receiver;
use crate::server::{self, Gauge, Handler, HttpRequest, HttpResponse};
use crate::{clock, explain, relay};

/// Descriptors reserved for calls to the store, workers and peers, and for the log.
const RESERVED_FDS: usize = 300;
/// Descriptors that the platform reserves for files: sockets share the others.
const FILE_FDS: usize = 200;
/// The fraction of the descriptors that peers' connections may take, as a divisor. Each entry VM
/// sends requests to the owners of pools and keeps some connections to them (`MAX_IDLE_PER_PEER` in
/// `run`): an eighth of 4,100 is enough for 128 entry VMs. The limit is separate from those of the
/// balancer and of metrics clients: with one limit for all three, an owner with many peer
/// connections appeared not ready, and the metrics that show the cause could not be read.
const PEER_FDS_DIVISOR: usize = 8;
/// Connections of the balancer, and of metrics clients: a few of each at once.
const MAX_MONITOR_CONNECTIONS: usize = 32;
/// The share of the memory that callers' connections may take, with the heads that they send.
const CONNECTION_MEMORY: Share = Share { parts: 3, of: 8 };
/// The shares for the bodies of callers' requests.
const SMALL_BODY_MEMORY: Share = Share { parts: 1, of: 16 };
const LARGE_BODY_MEMORY: Share = Share { parts: 3, of: 16 };
/// The buffer for what a peer sends, in bytes: its messages are larger than callers' requests.
const PEER_READ_BUFFER: usize = 256 << 10;
/// The largest body of a peer's request, which is a relayed call to the store.
const MAX_PEER_BODY: usize = 8 << 20;
const METRICS_PATH: &str = "/metrics";
/// The path under which jobs are explained, on the metrics address; the id follows.
const EXPLAIN_PATH: &str = "/jobs/";

/// The path under which the use of limits is shown, on the metrics address.
const ORGANISATIONS_PATH: &str = "/organisations";

/// A part of a whole.
pub(crate) struct Share {
    pub(crate) parts: usize,
    pub(crate) of: usize,
}

impl Share {
    pub(crate) fn part(&self, whole: usize) -> usize {
        whole / self.of * self.parts
    }
}

/// The gauges of all addresses.
#[derive(Clone)]
pub struct Gauges {
    /// For callers.
    pub callers: Gauge,
    /// The connections of callers that the descriptors suffice for.
    caller_fds: usize,
    peers: Gauge,
    readiness: Gauge,
    metrics: Gauge,
}

impl Gauges {
    /// Divides `max_fds` descriptors and `memory` bytes among the addresses.
    pub fn new(max_fds: usize, memory: usize) -> Self {
        let peers = max_fds / PEER_FDS_DIVISOR;
        let others = FILE_FDS + RESERVED_FDS + peers + 2 * MAX_MONITOR_CONNECTIONS;
        let caller_fds = max_fds.saturating_sub(others).max(16);
        let (small, large) = (SMALL_BODY_MEMORY.part(memory), LARGE_BODY_MEMORY.part(memory));
        let receiver = Receiver::new(Budget::new(small, large));
        // Only callers are beyond our control: peers and the balancer keep what they have opened.
        let replaceable = Some(Rc::default());
        let callers = Gauge { receiver, replaceable, ..Gauge::new("callers", caller_fds) };
        callers.limit_connections(caller_fds, CONNECTION_MEMORY.part(memory));
        Self {
            callers,
            caller_fds,
            peers: Gauge::new("peers", peers),
            readiness: Gauge::new("readiness", MAX_MONITOR_CONNECTIONS),
            metrics: Gauge::new("metrics", MAX_MONITOR_CONNECTIONS),
        }
    }

    /// Returns the number of accepted connections that are open.
    pub fn connections(&self) -> usize {
        let all = [&self.callers, &self.peers, &self.readiness, &self.metrics];
        all.iter().map(|gauge| gauge.connections.get()).sum()
    }

    /// Listens on all addresses of a daemon and serves them.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be bound.
    pub async fn open(&self, node: &Rc<Node>) -> std::io::Result<()> {
        let readiness = server::listen(node.settings.readiness).await?;
        let metrics = server::listen(node.settings.metrics).await?;
        let peers = server::listen(node.settings.peers).await?;
        let callers = server::listen(node.settings.callers).await?;
        self.peers.max_body.set(MAX_PEER_BODY);
        self.peers.read_buffer.set(PEER_READ_BUFFER);
        let serve = |listener, gauge: &Gauge, handler| {
            let traffic = node.traffic.clone();
            spawn_local(server::serve(
                listener,
                gauge.clone(),
                handler,
                traffic,
                node.trace.clone(),
            ));
        };
        serve(readiness, &self.readiness, ready_handler(node));
        serve(metrics, &self.metrics, metrics_handler(node, self));
        serve(peers, &self.peers, peer_handler(node));
        serve(callers, &self.callers, caller_handler(node, self));
        Ok(())
    }
}

fn ready_handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |request| {
        if request.path != caller::READY {
            return Box::pin(async { not_found() });
        }
        let is_ready = node.config.borrow().is_some() && !node.stopping.get();
        let status = if is_ready { 200 } else { 503 };
        Box::pin(async move { HttpResponse::new(status, b"{}".to_vec()) })
    })
}

/// The response at any other path: a caller that reaches these addresses by mistake must
/// not take their success for the response to its own request.
fn not_found() -> HttpResponse {
    HttpResponse::new(
        404,
        caller::error("nothing is served at this path; see [listen] of the settings"),
    )
}

fn metrics_handler(node: &Rc<Node>, gauges: &Gauges) -> Handler {
    let (node, gauges) = (node.clone(), gauges.clone());
    Rc::new(move |request| {
        if let Some(id) = request.path.strip_prefix(EXPLAIN_PATH) {
            let response = explain::explain(&node, id);
            return Box::pin(async move { response });
        }
        if request.path == ORGANISATIONS_PATH {
            let response = explain::organisations(&node);
            return Box::pin(async move { response });
        }
        if request.path != METRICS_PATH {
            return Box::pin(async { not_found() });
        }
        let uses = explain::uses(&node);
        let pools = uses.into_iter().filter(|(_, uses)| !uses.is_empty());
        node.metrics.set_organisations(pools);
        node.metrics.set("connections", gauges.callers.connections.get());
        node.metrics.set("requests", gauges.callers.requests.get());
        node.metrics.set("peers' connections", gauges.peers.connections.get());
        node.metrics.set("callers closed unheard", gauges.callers.rejected.get());
        node.metrics.set("callers closed for others", gauges.callers.replaced.get());
        node.metrics.set("peers closed unheard", gauges.peers.rejected.get());
        node.metrics.set("bodies refused for lack of memory", gauges.callers.receiver.refused());
        node.metrics.set("kilobytes of bodies", gauges.callers.receiver.used() >> 10);
        node.metrics.set("answers cut off", node.client.truncated_responses());
        node.metrics.set("peers' answers cut off", node.peers.truncated_responses());
        node.metrics.set("duties", node.owners.borrow().len());
        let text = node.metrics.text();
        Box::pin(async move { HttpResponse::new(200, text.into_bytes()) })
    })
}

fn caller_handler(node: &Rc<Node>, gauges: &Gauges) -> Handler {
    let gateway = Gateway::new(node.clone());
    let (node, gauge, caller_fds) = (node.clone(), gauges.callers.clone(), gauges.caller_fds);
    let memory = CONNECTION_MEMORY.part(node.settings.memory);
    gauge.max_body.set(1 << 20);
    Rc::new(move |request: HttpRequest| {
        let gateway = gateway.clone();
        if let Some(config) = &*node.config.borrow() {
            gauge.max_body.set(config.max_body);
            gauge.limit_heads(config.max_head.unwrap_or(server::DEFAULT_MAX_HEAD));
            gauge.limit_connections(caller_fds, memory);
        }
        Box::pin(async move {
            if request.path == caller::READY {
                return HttpResponse::new(404, caller::error("no such queue"));
            }
            gateway.handle(request).await
        })
    })
}

fn peer_handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |request: HttpRequest| {
        let node = node.clone();
        Box::pin(async move {
            let body = request.body.whole();
            let message = body.and_then(|body| serde_json::from_slice::<Message>(body).ok());
            let Some(message) = message else {
                return HttpResponse::new(400, b"a peer sends a message of this version".to_vec());
            };
            let reply = handle_message(&node, message).await;
            HttpResponse::new(200, serde_json::to_vec(&reply).unwrap_or_default())
        })
    })
}

async fn handle_message(node: &Rc<Node>, message: Message) -> Reply {
    match message {
        Message::Retire { duty, fence } => {
            let grants = node.relinquish(&duty, fence);
            Reply::Retired { grants, process: Some(node.process()) }
        }
        Message::Store { method, target, body, within_ms } => {
            relay::relayed(node, &method, target, body, within_ms).await
        }
        Message::Deliver { deliveries, within_ms } => {
            delivery::deliver(node, deliveries, Duration::from_millis(within_ms)).await
        }
        Message::Advise { job, occurrence, step, workers, within_ms } => {
            let within = Duration::from_millis(within_ms);
            node.advise_peer((&job, occurrence, step), &workers, within).await
        }
        Message::Unsure { id } => {
            node.attempts.borrow_mut().note_unsure(clock::now(), &id);
            Reply::Done
        }
        Message::Tried { id } => {
            let is_unsure = node.attempts.borrow().may_be_stored(clock::now(), &id);
            Reply::Tried { is_unsure }
        }
        message => match node.local_owner(message.pool()) {
            Some(owner) => owner.handle(message).await,
            None => Reply::NotOwner,
        },
    }
}
