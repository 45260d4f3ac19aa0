//! The daemon's start, its end, and what it answers in between.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_model::Time;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

use crate::gateway::Gateway;
use crate::http::Client;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{Ask, Reply};
use crate::server::{self, Asked, Gauge, Handler, Told};
use crate::settings::Settings;
use crate::store::Store;
use crate::trace::Trace;
use crate::{clock, explain, follow, member, relay};

/// Descriptors kept for the store, workers, peers and the log.
const OWN_FDS: usize = 300;
/// The largest body of a peer: an answer of the store on its way.
const PEER_BODY: usize = 8 << 20;
/// The path of the metrics.
const METRICS: &str = "/metrics";
/// The path, on the address of the metrics, under which a job is explained; its
/// id follows.
const JOBS: &str = "/jobs/";
/// How often the settings file is looked at: it may change without a signal.
const SETTINGS: Duration = Duration::from_secs(2);
/// How long after SIGTERM new connections still come: the balancer notices
/// after two looks of a second each.
const NOTICED: Duration = Duration::from_millis(2_600);
/// What is left of the grace period when the daemon ends at the latest.
const SPARE: Duration = Duration::from_millis(500);

/// Runs the daemon.
pub fn run(settings: Settings, path: &Path) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no event loop ({error}); see the limits of the process");
            return ExitCode::FAILURE;
        }
    };
    let path = path.to_owned();
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

fn node(settings: Settings) -> Rc<Node> {
    let trace = Trace::start(settings.name.as_str());
    let metrics = Metrics::default();
    let client = Rc::new(Client::default());
    let store = Store::new(settings.store, client.clone(), trace.clone(), metrics.clone());
    Rc::new(Node {
        settings,
        boot: corianderfork_runtime::clock::seed() >> 12,
        client,
        store,
        trace,
        metrics,
        config: RefCell::default(),
        waves: RefCell::default(),
        table: RefCell::default(),
        owners: RefCell::default(),
        taking: RefCell::default(),
        planner: Cell::new(None),
        servers: RefCell::default(),
        servers_known: Cell::new(false),
        expects_until: Cell::new(Time::ZERO),
        renewed: Cell::new(Time::ZERO),
        stopping: Cell::new(false),
        changed: Notify::new(),
        heard: RefCell::default(),
    })
}

async fn serve(settings: Settings, path: PathBuf) -> ExitCode {
    let node = node(settings);
    let gauge = Gauge::default();
    gauge.most.set(node.settings.max_fds.saturating_sub(OWN_FDS).max(16));
    if let Err(error) = open(&node, &gauge).await {
        eprintln!("an address can't be had ({error}); see [listen] of the settings");
        return ExitCode::FAILURE;
    }
    node.trace.key("started", json!({ "boot": node.boot, "callers": node.settings.callers }));
    node.store.set_relay(relay::relay(&node));
    let prober = node.clone();
    spawn_local(async move { prober.store.probe().await });
    spawn_local(follow::operators(node.clone()));
    spawn_local(follow::entries(node.clone()));
    spawn_local(follow::workers(node.clone()));
    spawn_local(member::attend(node.clone()));
    let kept = spawn_local(member::keep(node.clone()));
    spawn_local(watch_settings(node.clone(), path));
    wait_for_stop().await;
    stop(&node, &gauge, kept).await;
    ExitCode::SUCCESS
}

async fn open(node: &Rc<Node>, gauge: &Gauge) -> std::io::Result<()> {
    let readiness = server::listen(node.settings.readiness).await?;
    let metrics = server::listen(node.settings.metrics).await?;
    let peers = server::listen(node.settings.peers).await?;
    let callers = server::listen(node.settings.callers).await?;
    let own = Gauge::default();
    own.most.set(OWN_FDS / 2);
    own.max_body.set(PEER_BODY);
    spawn_local(server::serve(readiness, own.clone(), ready_handler(node)));
    spawn_local(server::serve(metrics, own.clone(), metrics_handler(node, gauge)));
    spawn_local(server::serve(peers, own, peer_handler(node)));
    spawn_local(server::serve(callers, gauge.clone(), caller_handler(node, gauge)));
    Ok(())
}

fn ready_handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |asked| {
        if asked.path != caller::READY {
            return Box::pin(async { nothing_here() });
        }
        let is_ready = node.config.borrow().is_some() && !node.stopping.get();
        let status = if is_ready { 200 } else { 503 };
        Box::pin(async move { Told::new(status, b"{}".to_vec()) })
    })
}

/// What other paths get. A caller that reaches these addresses by mistake must
/// not take an answer of theirs for one to its request.
fn nothing_here() -> Told {
    Told::new(404, caller::error("nothing is served at this path; see [listen] of the settings"))
}

fn metrics_handler(node: &Rc<Node>, gauge: &Gauge) -> Handler {
    let (node, gauge) = (node.clone(), gauge.clone());
    Rc::new(move |asked| {
        if let Some(id) = asked.path.strip_prefix(JOBS) {
            let told = explain::explain(&node, id);
            return Box::pin(async move { told });
        }
        if asked.path != METRICS {
            return Box::pin(async { nothing_here() });
        }
        node.metrics.set("connections", gauge.connections.get());
        node.metrics.set("requests", gauge.requests.get());
        node.metrics.set("duties", node.owners.borrow().len());
        let text = node.metrics.text();
        Box::pin(async move { Told::new(200, text.into_bytes()) })
    })
}

fn caller_handler(node: &Rc<Node>, gauge: &Gauge) -> Handler {
    let gateway = Gateway::new(node.clone());
    let (node, gauge) = (node.clone(), gauge.clone());
    gauge.max_body.set(1 << 20);
    Rc::new(move |asked: Asked| {
        let gateway = gateway.clone();
        let max_body = node.config.borrow().as_ref().map(|config| config.max_body);
        gauge.max_body.set(max_body.unwrap_or(1 << 20));
        Box::pin(async move {
            if asked.path == caller::READY {
                return Told::new(404, caller::error("no such queue"));
            }
            gateway.answer(asked).await
        })
    })
}

fn peer_handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |asked: Asked| {
        let node = node.clone();
        Box::pin(async move {
            let ask = asked.body.and_then(|body| serde_json::from_slice::<Ask>(&body).ok());
            let Some(ask) = ask else {
                return Told::new(400, b"a peer sends a message of this version".to_vec());
            };
            let reply = answer(&node, ask).await;
            Told::new(200, serde_json::to_vec(&reply).unwrap_or_default())
        })
    })
}

async fn answer(node: &Rc<Node>, ask: Ask) -> Reply {
    match ask {
        Ask::Retire { duty, fence } => {
            let owner = node.owners.borrow().get(&duty).cloned();
            Reply::Retired { grants: owner.and_then(|owner| owner.give_way(fence)) }
        }
        Ask::Store { method, target, body, within_ms } => {
            relay::relayed(node, &method, target, body, within_ms).await
        }
        Ask::Advise { job, occurrence, step, workers, within_ms } => {
            let within = Duration::from_millis(within_ms);
            node.advise_peer((&job, occurrence, step), &workers, within).await
        }
        ask => match node.own(ask.pool()) {
            Some(owner) => owner.answer(ask).await,
            None => Reply::NotOwner,
        },
    }
}

async fn wait_for_stop() {
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    // SIGHUP says that the settings changed, which is looked at anyway; without
    // a handler it would end the process.
    let hup = signal(SignalKind::hangup());
    if let Ok(mut hup) = hup {
        spawn_local(async move { while hup.recv().await.is_some() {} });
    }
    term.recv().await;
}

/// Looks whether the settings changed. What can change in a running process is
/// told; an address can't.
async fn watch_settings(node: Rc<Node>, path: PathBuf) {
    let mut last = node.settings.clone();
    loop {
        tokio::time::sleep(SETTINGS).await;
        match Settings::read(&path) {
            Ok(settings) if settings != last => {
                node.trace.key("settings changed", json!({ "applied": "at the next start" }));
                last = settings;
            }
            Ok(_) => {}
            Err(error) => {
                node.trace.key("settings unreadable", json!({ "why": error.to_string() }))
            }
        }
    }
}

/// Ends gracefully: not ready at once, duties handed over at once, and every
/// request on an open connection answered until the end.
async fn stop(node: &Rc<Node>, gauge: &Gauge, kept: tokio::task::JoinHandle<()>) {
    let begun = clock::now();
    node.trace.key(
        "stopping",
        json!({ "requests": gauge.requests.get(), "duties": node.owners.borrow().len() }),
    );
    node.stopping.set(true);
    gauge.closing.set(true);
    member::hand_over(node).await;
    // Its record goes last: peers still ask here what was granted.
    let _ = kept.await;
    let last = node.settings.grace.saturating_sub(SPARE);
    loop {
        let since = clock::now() - begun;
        let is_idle = gauge.requests.get() == 0 && gauge.connections.get() == 0;
        if since >= last || (since >= NOTICED && is_idle) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    node.trace.key(
        "stopped",
        json!({ "requests": gauge.requests.get(), "connections": gauge.connections.get() }),
    );
    // The log's thread writes what is queued.
    tokio::time::sleep(Duration::from_millis(30)).await;
}
