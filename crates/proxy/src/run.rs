//! Puts the process together and runs it.

mod tree;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::member;
use corianderfork_provider::count::Counted;
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
use crate::membership::Means;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stop::{self, Reason};
use crate::{exchange, serve};

/// Events posted to the core and not yet run.
const QUEUE: usize = 8192;
/// Calls to the store that wait for a thread.
const STORE_QUEUE: usize = 256;
/// After how long without a report a peer's demand no longer counts: a few
/// times what it takes until two proxies have called each other.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads for calls to the store beside one a shard.
const STORE_THREADS: usize = 3;
/// Answers kept for repetitions, and their bytes all together.
const CACHE: (usize, usize) = (1024, 16 << 20);
/// How long a member that the store no longer lists is remembered.
const FORGET: Duration = Duration::from_secs(60);
/// How long past its timeout a request may take to be answered.
const SLACK: Duration = Duration::from_secs(2);

/// Why the process cannot run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be bound, or the system gives no thread.
    #[error("cannot start: {0}; free the address, or raise the limit of threads")]
    Io(#[from] std::io::Error),
    /// The name leaves no room for the role.
    #[error("[process] name: {0}; write a shorter one")]
    Name(#[from] corianderfork_model::name::Error),
    /// The core ended abnormally.
    #[error(transparent)]
    Failure(#[from] core::Failure),
}

/// The addresses at which a process listens.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Inboxes of all actors, made before the actors are.
#[derive(Clone, Default)]
struct Inboxes {
    gossip: Inbox<gossip::Message>,
    stop: Inbox<Reason>,
    told: stop::Told,
}

/// What actors are made of.
#[derive(Clone)]
struct Parts {
    settings: Rc<Settings>,
    hub: Rc<Hub>,
    means: Means,
    peers: Peers,
    inboxes: Inboxes,
    stores: Vec<Arc<Counted<http::Client>>>,
    timer: Actor<Service>,
}

/// Runs a proxy until it is stopped; `ready` is told where it listens.
///
/// # Errors
///
/// Fails if it cannot start, or ends abnormally.
pub fn run(settings: Settings, ready: impl FnOnce(Bound)) -> Result<(), Error> {
    let mut started = Ok(());
    let ended = core::run(QUEUE, |stakker, handle| {
        started = start(stakker, handle, settings).map(ready);
        if started.is_err() {
            stakker.shutdown(stakker::StopCause::Stopped);
        }
    });
    started?;
    Ok(ended?)
}

fn start(stakker: &mut Stakker, handle: Handle, settings: Settings) -> Result<Bound, Error> {
    let clock = Monotonic::start();
    let mut inboxes = Inboxes::default();
    inboxes.told.shards = (0..key::CLAIM_SHARDS).map(|_| claims::Inboxes::default()).collect();

    let handler = Handler::new(inboxes.gossip.clone(), inboxes.told.shards.clone());
    let (peers, peers_bound) = peers::start(settings.process.peers, Arc::new(handler))?;

    let shared = Arc::new(shared(&settings, clock));
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
        inboxes.told.shards.iter().map(|shard| shard.claims.clone()).collect(),
        settings.claim_timeout,
    );
    let limits = forward::Config {
        request_timeout: settings.request_timeout,
        try_timeout: settings.try_timeout,
        queue_wait: settings.queue_wait,
    };
    let cache = Cache::new(CACHE.0, CACHE.1);
    let forwarder = Forwarder::new(limits, Arc::clone(&shared), claimant, cache);
    let front =
        serve::Config { worker_threads: settings.worker_threads, max_body: settings.max_body };
    let failed = inboxes.stop.clone();
    let fail = Arc::new(move |why| {
        let _ = failed.send_wait(Reason::Failed(why));
    });
    let callers = serve::start(settings.callers, front, Arc::clone(&shared), forwarder, fail)?;
    me.callers = Some(callers);

    let [store, watched, watched_drains] = std::array::from_fn(|_| store(&settings));
    let threads = key::CLAIM_SHARDS as usize + STORE_THREADS;
    let pool = Pool::start("store", threads, STORE_QUEUE)?;
    let means = Means {
        store: store.clone(),
        watched: watched.clone(),
        watched_drains: watched_drains.clone(),
        pool,
        handle: handle.clone(),
    };
    let config = member::Config::new()
        .isolation_limit(settings.isolation_limit)
        .fan_out(settings.gossip_fan_out);
    let hub = Hub::new(Arc::clone(&shared), Members::new(config, me, FORGET)?);
    let timer = actor!(stakker, Service::init(clock), ret_shutdown!(stakker));
    let parts = Parts {
        settings: Rc::new(settings),
        hub,
        means,
        stores: vec![store, watched, watched_drains],
        peers,
        inboxes: inboxes.clone(),
        timer: timer.clone(),
    };
    let root = tree::supervise(stakker, &parts, clock);
    stakker.anymap_set(Kept(Rc::new([timer.anon(), root])));
    signal::on_stop(move || {
        let _ = inboxes.stop.send_wait(Reason::Asked);
    })?;
    Ok(Bound { callers, peers: peers_bound })
}

/// Keeps the actors at the top alive as long as the core.
#[derive(Clone)]
struct Kept(#[allow(dead_code)] Rc<[ActorOwnAnon; 2]>);

fn shared(settings: &Settings, clock: Monotonic) -> Shared {
    let config = router::Config::default().seed(clock::seed()).peer_timeout(PEER_TIMEOUT);
    let name = settings.process.name.clone();
    let gate = Gate::new(clock, name, config, settings.queue);
    let calls = exchange::Config::default()
        .connect_timeout(settings.connect_timeout)
        .max_answer(settings.max_answer);
    Shared::new(clock, gate, exchange::Client::new(calls), Metrics::new())
}

fn store(settings: &Settings) -> Arc<Counted<http::Client>> {
    let caller = format!("proxy-{}", settings.process.name);
    let config = http::Config::new(settings.process.platform).caller(&caller);
    Arc::new(Counted::new(http::Client::new(config)))
}
