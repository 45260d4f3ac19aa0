//! Startup and shutdown of the daemon.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

use crate::effort::Effort;
use crate::http::Client;
use crate::listen::Gauges;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::server::Gauge;
use crate::settings::Settings;
use crate::store::Store;
use crate::trace::Trace;
use crate::traffic::Traffic;
use crate::{clock, follow, member, relay, usage};

/// Unused connections kept to each peer. A request takes milliseconds, and each connection kept by
/// any entry VM is open at the receiver. With 24 to each peer and 44 entry VMs, unused connections
/// took all 150 connections of the owner of a busy pool.
const MAX_IDLE_PER_PEER: usize = 4;
/// How often the settings file is checked: it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// How long new connections still arrive after SIGTERM: the balancer notices after two
/// checks of a second each.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the daemon exits at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Runs the daemon.
pub fn run(settings: Settings, path: &Path) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot create the event loop ({error}); check the limits of the process");
            return ExitCode::FAILURE;
        }
    };
    let path = path.to_owned();
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

fn node(settings: Settings) -> Rc<Node> {
    let trace = Trace::start(settings.name.as_str());
    let metrics = Metrics::default();
    if !metrics.jobs.failures().is_empty() {
        trace.unlimited("metrics left out", json!({ "why": metrics.jobs.failures() }));
    }
    let traffic = Traffic::default();
    let new_client = || Client::new(traffic.clone()).with_source(settings.connect_from);
    let client = Rc::new(new_client());
    let peers = Rc::new(new_client().with_max_idle(MAX_IDLE_PER_PEER));
    let store = Store::new(settings.store, client.clone(), trace.clone(), metrics.clone());
    Rc::new(Node {
        settings,
        boot: corianderfork_runtime::clock::seed() >> 12,
        client,
        peers,
        store,
        trace,
        metrics,
        traffic,
        effort: Effort::default(),
        config: RefCell::default(),
        config_known_at: Cell::new(Time::ZERO),
        config_revision: Cell::new(0),
        config_news: Notify::new(),
        waves: RefCell::default(),
        table: RefCell::default(),
        owners: RefCell::default(),
        relinquished: RefCell::default(),
        retired_grants: RefCell::default(),
        taking: RefCell::default(),
        planner: Cell::new(None),
        listed_workers: RefCell::default(),
        workers_loaded: Cell::new(false),
        workers_expected_until: Cell::new(Time::ZERO),
        member_revision: Cell::new(0),
        tenure: Cell::default(),
        stopping: Cell::new(false),
        changed: Notify::new(),
        queue_counts: RefCell::default(),
        pressure: RefCell::default(),
        full_pools: RefCell::default(),
        relays: RefCell::default(),
        attempts: Rc::default(),
    })
}

async fn serve(settings: Settings, path: PathBuf) -> ExitCode {
    let node = node(settings);
    let gauges = Gauges::new(node.settings.max_fds, node.settings.memory);
    if let Err(error) = gauges.open(&node).await {
        eprintln!("cannot bind an address ({error}); check [listen] in the settings");
        return ExitCode::FAILURE;
    }
    node.trace.unlimited("started", json!({ "boot": node.boot, "callers": node.settings.callers }));
    node.store.set_relay(relay::relay(&node));
    let prober = node.clone();
    spawn_local(async move { prober.store.probe().await });
    let running = node.clone();
    spawn_local(async move { running.store.note_running().await });
    spawn_local(follow::operators(node.clone()));
    spawn_local(follow::entries(node.clone()));
    spawn_local(follow::workers(node.clone()));
    spawn_local(member::maintain_duties(node.clone()));
    let membership = spawn_local(member::maintain_membership(node.clone()));
    spawn_local(watch_settings(node.clone(), path));
    spawn_local(usage::report(node.clone(), gauges.clone()));
    wait_for_stop().await;
    stop(&node, &gauges.callers, membership).await;
    ExitCode::SUCCESS
}

async fn wait_for_stop() {
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    // SIGHUP announces changed settings, which are polled anyway; without a handler it would
    // end the process.
    let hup = signal(SignalKind::hangup());
    if let Ok(mut hup) = hup {
        spawn_local(async move { while hup.recv().await.is_some() {} });
    }
    term.recv().await;
}

/// Logs changes of the settings file. They take effect at the next start.
async fn watch_settings(node: Rc<Node>, path: PathBuf) {
    let mut last = node.settings.clone();
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        let memory_mb = u64::try_from(node.settings.memory >> 20).unwrap_or(u64::MAX);
        match Settings::read(&path).map(|settings| settings.or_memory(memory_mb)) {
            Ok(settings) if settings != last => {
                node.trace.unlimited("settings changed", json!({ "applied": "at the next start" }));
                last = settings;
            }
            Ok(_) => {}
            Err(error) => {
                node.trace.unlimited("settings unreadable", json!({ "why": error.to_string() }))
            }
        }
    }
}

/// Shuts down gracefully: reports not ready, hands duties over, and answers requests on open
/// connections until the end.
async fn stop(node: &Rc<Node>, gauge: &Gauge, membership: tokio::task::JoinHandle<()>) {
    let started = clock::now();
    node.trace.unlimited(
        "stopping",
        json!({ "requests": gauge.requests.get(), "duties": node.owners.borrow().len() }),
    );
    node.stopping.set(true);
    gauge.closing.set(true);
    member::hand_over(node).await;
    // Its record is removed only then: peers still ask for the grants.
    let _ = membership.await;
    let last = node.settings.grace.saturating_sub(EXIT_MARGIN);
    loop {
        let since = clock::now() - started;
        let is_idle = gauge.requests.get() == 0 && gauge.connections.get() == 0;
        if since >= last || (since >= BALANCER_DELAY && is_idle) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    node.trace.unlimited(
        "stopped",
        json!({ "requests": gauge.requests.get(), "connections": gauge.connections.get() }),
    );
    // Lets the log's thread write the queued lines.
    tokio::time::sleep(Duration::from_millis(30)).await;
}
