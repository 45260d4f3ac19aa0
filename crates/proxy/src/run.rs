//! Assembles the process and runs it.

mod tree;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::member;
use corianderfork_provider::count::CountingStore;
use corianderfork_provider::record::{Member, Role};
use corianderfork_provider::{http, key};
use corianderfork_routing::router;
use corianderfork_runtime::clock::{self, Monotonic};
use corianderfork_runtime::core::{self, Handle};
use corianderfork_runtime::peers::{self, Peers};
use corianderfork_runtime::signal;
use corianderfork_runtime::timer::Service;
use corianderfork_runtime::worker::Pool;
use stakker::{Actor, ActorOwnAnon, Stakker, actor, ret_shutdown};

use crate::cache::Cache;
use crate::claimant::Claimant;
use crate::claims;
use crate::forward::{self, Forwarder};
use crate::gate::Gate;
use crate::gossip;
use crate::handler::Handler;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::members::Members;
use crate::membership::StoreAccess;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stop::{self, Reason};
use crate::{exchange, serve};

/// Capacity of the core's event queue.
const CORE_QUEUE: usize = 8192;
/// Capacity of the queue of store calls.
const STORE_QUEUE: usize = 256;
/// How long the demand in a peer's last report counts: a few times the period within
/// which any two proxies call each other.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads for store calls, in addition to one per shard.
const STORE_THREADS: usize = 3;
/// The maximum number of cached responses and their maximum total size in bytes.
const CACHE: (usize, usize) = (1024, 16 << 20);
/// How long a member that the store no longer lists is kept.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// How long after its timeout a request may take to be answered.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Why the process cannot start or has failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be bound or a thread cannot be started.
    #[error("cannot start: {0}; free the address, or raise the limit of threads")]
    Io(#[from] std::io::Error),
    /// The process name is too long.
    #[error("[process] name: {0}; write a shorter one")]
    Name(#[from] corianderfork_model::name::Error),
    /// The core ended abnormally.
    #[error(transparent)]
    Failure(#[from] core::Failure),
}

/// The addresses on which a process listens.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// The inboxes of all actors, created before the actors.
#[derive(Clone, Default)]
struct Inboxes {
    gossip: Inbox<gossip::Message>,
    stop: Inbox<Reason>,
    targets: stop::Targets,
}

/// What the actors need to start.
#[derive(Clone)]
struct Dependencies {
    settings: Rc<Settings>,
    hub: Rc<Hub>,
    access: StoreAccess,
    peers: Peers,
    inboxes: Inboxes,
    stores: Vec<Arc<CountingStore<http::Client>>>,
    timer: Actor<Service>,
}

/// Runs a proxy until it is stopped; calls `ready` with its addresses.
///
/// # Errors
///
/// Fails if the proxy cannot start or ends abnormally.
pub fn run(settings: Settings, ready: impl FnOnce(Bound)) -> Result<(), Error> {
    let mut started = Ok(());
    let result = core::run(CORE_QUEUE, |stakker, handle| {
        started = start(stakker, handle, settings).map(ready);
        if started.is_err() {
            stakker.shutdown(stakker::StopCause::Stopped);
        }
    });
    started?;
    Ok(result?)
}

fn start(stakker: &mut Stakker, handle: Handle, settings: Settings) -> Result<Bound, Error> {
    let clock = Monotonic::start();
    let mut inboxes = Inboxes::default();
    inboxes.targets.shards = (0..key::CLAIM_SHARDS).map(|_| claims::Inboxes::default()).collect();

    let handler = Handler::new(inboxes.gossip.clone(), inboxes.targets.shards.clone());
    let (peers, peers_bound) = peers::start(settings.process.peers, Arc::new(handler))?;

    let shared = Arc::new(new_shared(&settings, clock));
    let mut me = Member {
        name: settings.process.name.clone(),
        role: Role::Proxy,
        incarnation: clock::unix_millis(),
        data_centre: settings.process.data_centre.clone(),
        peers: peers_bound,
        callers: None,
    };
    let claimant = Claimant::new(
        me.clone(),
        peers.clone(),
        Arc::clone(&shared),
        inboxes.targets.shards.iter().map(|shard| shard.claims.clone()).collect(),
        settings.claim_timeout,
    );
    let forward_config = forward::Config {
        request_timeout: settings.request_timeout,
        try_timeout: settings.try_timeout,
        queue_wait: settings.queue_wait,
    };
    let cache = Cache::new(CACHE.0, CACHE.1);
    let forwarder = Forwarder::new(forward_config, Arc::clone(&shared), claimant, cache);
    let serve_config =
        serve::Config { worker_threads: settings.worker_threads, max_body: settings.max_body };
    let stop_inbox = inboxes.stop.clone();
    let on_failure = Arc::new(move |cause| {
        let _ = stop_inbox.send_wait(Reason::Failed(cause));
    });
    let callers =
        serve::start(settings.callers, serve_config, Arc::clone(&shared), forwarder, on_failure)?;
    me.callers = Some(callers);

    let [store, watch_store, drain_watch_store, group_watch_store] =
        std::array::from_fn(|_| new_store(&settings));
    let threads = key::CLAIM_SHARDS as usize + STORE_THREADS;
    let pool = Pool::start("store", threads, STORE_QUEUE)?;
    let access = StoreAccess {
        store: store.clone(),
        watch_store: watch_store.clone(),
        drain_watch_store: drain_watch_store.clone(),
        group_watch_store: group_watch_store.clone(),
        pool,
        handle: handle.clone(),
    };
    let config = member::Config::new()
        .isolation_limit(settings.isolation_limit)
        .fan_out(settings.gossip_fan_out);
    let hub = Hub::new(Arc::clone(&shared), Members::new(config, me, FORGET_AFTER)?);
    let timer = actor!(stakker, Service::init(clock), ret_shutdown!(stakker));
    let dependencies = Dependencies {
        settings: Rc::new(settings),
        hub,
        access,
        stores: vec![store, watch_store, drain_watch_store, group_watch_store],
        peers,
        inboxes: inboxes.clone(),
        timer: timer.clone(),
    };
    let root = tree::supervise(stakker, &dependencies, clock);
    stakker.anymap_set(Roots(Rc::new([timer.anon(), root])));
    signal::on_stop(move || {
        let _ = inboxes.stop.send_wait(Reason::Asked);
    })?;
    Ok(Bound { callers, peers: peers_bound })
}

/// Keeps the root actors alive as long as the core.
#[derive(Clone)]
struct Roots(#[allow(dead_code)] Rc<[ActorOwnAnon; 2]>);

fn new_shared(settings: &Settings, clock: Monotonic) -> Shared {
    let config = router::Config::default().seed(clock::seed()).peer_timeout(PEER_TIMEOUT);
    let name = settings.process.name.clone();
    let gate = Gate::new(clock, name, config, settings.queue);
    let client_config = exchange::Config::default()
        .connect_timeout(settings.connect_timeout)
        .max_response(settings.max_response);
    Shared::new(clock, gate, exchange::Client::new(client_config), Metrics::new())
}

fn new_store(settings: &Settings) -> Arc<CountingStore<http::Client>> {
    let caller = format!("proxy-{}", settings.process.name);
    let config = http::Config::new(settings.process.platform).caller(&caller);
    Arc::new(CountingStore::new(http::Client::new(config)))
}
