//! Assembles the daemon: threads, ports and the supervisor tree.

mod control;
mod tree;

use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use corianderfork_coord::member;
use corianderfork_provider::count::CountingStore;
use corianderfork_provider::fleet::Control;
use corianderfork_provider::http::{self, Client};
use corianderfork_provider::record::{Member, Role};
use corianderfork_provider::store::Store;
use corianderfork_runtime::clock::{Monotonic, unix_millis};
use corianderfork_runtime::core::{self, Handle};
use corianderfork_runtime::metrics::Metrics;
use corianderfork_runtime::peers::{self, Peers};
use corianderfork_runtime::supervisor::{self, Supervisor};
use corianderfork_runtime::sync::Waker;
use corianderfork_runtime::timer;
use corianderfork_runtime::worker::Pool;
use corianderfork_runtime::{admin, signal};
use stakker::{ActorOwn, Share, Stakker, StopCause, actor, ret_shutdown};

use crate::actor::gossip::Inbox;
use crate::actor::planner::Resources;
use crate::actor::sync::Readiness;
use crate::directory::Directory;
use crate::gauges::Gauges;
use crate::settings::Settings;
use crate::state::State;
use control::ClientControl;
use tree::{Parts, ReleasePorts};

/// The capacity of the core's event queue.
const QUEUE_CAPACITY: usize = 4096;
/// How long shutdown waits for the leases to be released.
const RELEASE_GRACE: Duration = Duration::from_millis(300);
/// Silent members that are no longer listed are dropped after this many times
/// the longest wait for their confirmation.
const EXPIRY_FACTOR: u32 = 3;

/// The reason why the daemon could not run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address can't be bound, or the system can't create a thread.
    #[error("{what} could not be started: {cause}; free the address or correct the settings")]
    Start {
        /// What could not be started.
        what: &'static str,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The name is too long for a member.
    #[error(transparent)]
    Name(#[from] corianderfork_model::name::Error),
    /// The core ended.
    #[error(transparent)]
    Core(#[from] core::Failure),
}

/// Everything that is created before the core runs.
struct Setup {
    settings: Arc<Settings>,
    clock: Monotonic,
    client: Arc<CountingStore<Client>>,
    me: Member,
    peers: Peers,
    inbox: Arc<Inbox>,
    readiness: Readiness,
    directory: Directory,
    gauges: Gauges,
    pools: [Pool; 4],
}

fn start_error(what: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Start { what, cause }
}

/// Runs the controller until it is stopped.
///
/// # Errors
///
/// Fails if an address can't be bound, or if an actor has failed too often.
pub fn run(settings: Settings) -> Result<(), Error> {
    let setup = Setup::new(settings)?;
    let mut started = Ok(());
    core::run(QUEUE_CAPACITY, |stakker, handle| started = setup.start(stakker, handle))?;
    started
}

impl Setup {
    fn new(settings: Settings) -> Result<Self, Error> {
        let process = &settings.process;
        let config = http::Config::new(process.platform)
            .timeout(settings.platform_timeout)
            .caller(&format!("controller-{}", process.name));
        let client = Arc::new(CountingStore::new(Client::new(config)));
        let metrics = Metrics::new();
        let gauges = Gauges::new(metrics.clone(), Arc::clone(&client));
        let inbox: Arc<Inbox> = Arc::default();
        let handler: Arc<dyn peers::Handler> = Arc::clone(&inbox) as _;
        let (peers, address) =
            peers::start(process.peers, handler).map_err(start_error("the peer service"))?;
        let me = Member {
            name: process.name.clone(),
            role: Role::Controller,
            // Grows with each start of a process of this name, as long as the
            // clocks of consecutive entry VMs agree to within a second.
            incarnation: unix_millis(),
            data_centre: process.data_centre.clone(),
            peers: address,
            callers: None,
        };
        let expiry = (settings.isolation_limit + settings.request_deadline) * EXPIRY_FACTOR;
        let limits = member::Config::new().isolation_limit(settings.isolation_limit).fan_out(1);
        let directory = Directory::new(limits, me.clone(), expiry)?;
        let readiness = Readiness::default();
        let admin = serve_admin(&settings, metrics, &readiness)?;
        println!("ready admin {admin} peers {address}");
        let _ = std::io::stdout().flush();
        let pool = |name, threads, queue| {
            Pool::start(name, threads, queue).map_err(start_error("a worker thread"))
        };
        let pools = [
            pool("leases", 2, 16)?,
            pool("writes", 4, 256)?,
            pool("calls", 4, 256)?,
            pool("reads", 4, 64)?,
        ];
        let (settings, clock) = (Arc::new(settings), Monotonic::start());
        Ok(Self { settings, clock, client, me, peers, inbox, readiness, directory, gauges, pools })
    }

    fn start(self, stakker: &mut Stakker, handle: Handle) -> Result<(), Error> {
        let store: Arc<dyn Store> = Arc::clone(&self.client) as _;
        let control: Arc<dyn Control> = Arc::new(ClientControl(Arc::clone(&self.client)));
        let [leases, writes, calls, reads] = self.pools;
        let view = crate::view::View::default();
        let state =
            State { clock: self.clock, view, directory: self.directory, waker: Waker::default() };
        let gauges = self.gauges;
        let resources =
            Resources { store: Arc::clone(&store), control, writes, calls, reads, gauges };
        let release_ports = ReleasePorts::default();
        stop_on_signal(handle.clone(), Arc::clone(&release_ports))?;
        let notify = ret_shutdown!(stakker);
        let timer = actor!(stakker, <timer::Service>::init(self.clock), notify);
        let parts = Parts {
            settings: self.settings,
            handle,
            clock: self.clock,
            state: Share::new(stakker, state),
            store,
            me: self.me,
            peers: self.peers,
            inbox: self.inbox,
            readiness: self.readiness,
            leases,
            resources,
            timer: timer.clone(),
            release_ports,
        };
        let notify = ret_shutdown!(stakker);
        let config = supervisor::Config::default();
        let root = actor!(stakker, Supervisor::init("root", parts.clock, config), notify);
        parts.tree(&root);
        stakker.anymap_set(Tree { _root: Rc::new(root), _timer: Rc::new(timer) });
        Ok(())
    }
}

/// Keeps the actors at the root of the tree alive for as long as the core runs.
#[derive(Clone)]
struct Tree {
    _root: Rc<ActorOwn<Supervisor>>,
    _timer: Rc<ActorOwn<timer::Service>>,
}

fn serve_admin(
    settings: &Settings,
    metrics: Metrics,
    readiness: &Readiness,
) -> Result<SocketAddr, Error> {
    *readiness.lock().unwrap_or_else(PoisonError::into_inner) = Some("starting".to_owned());
    let readiness = Arc::clone(readiness);
    let not_ready = move || readiness.lock().unwrap_or_else(PoisonError::into_inner).clone();
    admin::serve(settings.admin, metrics, Arc::new(not_ready))
        .map_err(start_error("the admin service"))
}

/// Releases the leases before the process ends, so that another process takes
/// over at once and not only when they expire.
fn stop_on_signal(handle: Handle, release_ports: ReleasePorts) -> Result<(), Error> {
    let stop = move || {
        log::info!("shutting down");
        for port in release_ports.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = port.send(());
        }
        std::thread::sleep(RELEASE_GRACE);
        let _ = handle.post_wait(|stakker| stakker.shutdown(StopCause::Stopped));
    };
    signal::on_stop(stop).map_err(start_error("the signal handler"))
}
