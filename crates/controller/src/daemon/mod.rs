//! Puts the parts together: threads, ports and the supervisor tree.

mod control;
mod tree;

use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use corianderfork_coord::member;
use corianderfork_provider::count::Counted;
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

use crate::actor::gossip::Door;
use crate::actor::planner::Outside;
use crate::actor::sync::Ready;
use crate::directory::Directory;
use crate::gauges::Gauges;
use crate::settings::Settings;
use crate::state::World;
use control::Calls;
use tree::{Parts, Stops};

/// Events that wait for the core, at most.
const QUEUE: usize = 4096;
/// How long a stop waits for the leases to be given up.
const FAREWELL: Duration = Duration::from_millis(300);
/// Silent members that are no longer listed are forgotten after this many
/// times the longest wait for their word.
const FORGET: u32 = 3;

/// Why the daemon could not run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address can't be bound, or the system gives no thread.
    #[error("{what} could not be started: {cause}; free the address or correct the settings")]
    Start {
        /// What.
        what: &'static str,
        /// The system's reason.
        cause: std::io::Error,
    },
    /// The name is too long for a member.
    #[error(transparent)]
    Name(#[from] corianderfork_model::name::Error),
    /// The core ended.
    #[error(transparent)]
    Core(#[from] core::Failure),
}

/// What is made before the core runs.
struct Base {
    settings: Arc<Settings>,
    clock: Monotonic,
    client: Arc<Counted<Client>>,
    me: Member,
    peers: Peers,
    door: Arc<Door>,
    ready: Ready,
    directory: Directory,
    gauges: Gauges,
    pools: [Pool; 4],
}

fn failed(what: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |cause| Error::Start { what, cause }
}

/// Runs the controller until it is told to stop.
///
/// # Errors
///
/// Fails if an address can't be bound, or once an actor has failed too often.
pub fn run(settings: Settings) -> Result<(), Error> {
    let base = Base::new(settings)?;
    let mut started = Ok(());
    core::run(QUEUE, |stakker, handle| started = base.start(stakker, handle))?;
    started
}

impl Base {
    fn new(settings: Settings) -> Result<Self, Error> {
        let process = &settings.process;
        let config = http::Config::new(process.platform)
            .timeout(settings.platform_timeout)
            .caller(&format!("controller-{}", process.name));
        let client = Arc::new(Counted::new(Client::new(config)));
        let metrics = Metrics::new();
        let gauges = Gauges::new(metrics.clone(), Arc::clone(&client));
        let door: Arc<Door> = Arc::default();
        let handler: Arc<dyn peers::Handler> = Arc::clone(&door) as _;
        let (peers, address) =
            peers::start(process.peers, handler).map_err(failed("the service for peers"))?;
        let me = Member {
            name: process.name.clone(),
            role: Role::Controller,
            // Grows with each start of a process of this name, as long as the
            // clocks of entry VMs that follow one another agree to a second.
            incarnation: unix_millis(),
            data_centre: process.data_centre.clone(),
            peers: address,
            callers: None,
        };
        let forget = (settings.isolation_limit + settings.request_deadline) * FORGET;
        let limits = member::Config::new().isolation_limit(settings.isolation_limit).fan_out(1);
        let directory = Directory::new(limits, me.clone(), forget)?;
        let ready = Ready::default();
        let admin = serve_admin(&settings, metrics, &ready)?;
        println!("ready admin {admin} peers {address}");
        let _ = std::io::stdout().flush();
        let pool = |name, threads, queue| {
            Pool::start(name, threads, queue).map_err(failed("a thread for calls"))
        };
        let pools = [
            pool("leases", 2, 16)?,
            pool("writes", 4, 256)?,
            pool("calls", 4, 256)?,
            pool("reads", 4, 64)?,
        ];
        let (settings, clock) = (Arc::new(settings), Monotonic::start());
        Ok(Self { settings, clock, client, me, peers, door, ready, directory, gauges, pools })
    }

    fn start(self, stakker: &mut Stakker, handle: Handle) -> Result<(), Error> {
        let store: Arc<dyn Store> = Arc::clone(&self.client) as _;
        let control: Arc<dyn Control> = Arc::new(Calls(Arc::clone(&self.client)));
        let [leases, writes, calls, reads] = self.pools;
        let view = crate::view::View::default();
        let world =
            World { clock: self.clock, view, directory: self.directory, waker: Waker::default() };
        let gauges = self.gauges;
        let outside = Outside { store: Arc::clone(&store), control, writes, calls, reads, gauges };
        let stops = Stops::default();
        stop_on_signal(handle.clone(), Arc::clone(&stops))?;
        let notify = ret_shutdown!(stakker);
        let timer = actor!(stakker, <timer::Service>::init(self.clock), notify);
        let parts = Parts {
            settings: self.settings,
            handle,
            clock: self.clock,
            world: Share::new(stakker, world),
            store,
            me: self.me,
            peers: self.peers,
            door: self.door,
            ready: self.ready,
            leases,
            outside,
            timer: timer.clone(),
            stops,
        };
        let notify = ret_shutdown!(stakker);
        let config = supervisor::Config::default();
        let root = actor!(stakker, Supervisor::init("root", parts.clock, config), notify);
        parts.tree(&root);
        stakker.anymap_set(Tree { _root: Rc::new(root), _timer: Rc::new(timer) });
        Ok(())
    }
}

/// Keeps the actors at the top of the tree for as long as the core runs.
#[derive(Clone)]
struct Tree {
    _root: Rc<ActorOwn<Supervisor>>,
    _timer: Rc<ActorOwn<timer::Service>>,
}

fn serve_admin(settings: &Settings, metrics: Metrics, ready: &Ready) -> Result<SocketAddr, Error> {
    *ready.lock().unwrap_or_else(PoisonError::into_inner) = Some("starting".to_owned());
    let ready = Arc::clone(ready);
    let why = move || ready.lock().unwrap_or_else(PoisonError::into_inner).clone();
    admin::serve(settings.admin, metrics, Arc::new(why)).map_err(failed("the admin service"))
}

/// Gives the leases up before the process ends, so that another one takes over
/// at once instead of at the end of their time to live.
fn stop_on_signal(handle: Handle, stops: Stops) -> Result<(), Error> {
    let stop = move || {
        log::info!("stopping");
        for port in stops.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = port.send(());
        }
        std::thread::sleep(FAREWELL);
        let _ = handle.post_wait(|stakker| stakker.shutdown(StopCause::Stopped));
    };
    signal::on_stop(stop).map_err(failed("the handler of signals"))
}
