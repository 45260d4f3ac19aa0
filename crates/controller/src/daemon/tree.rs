//! The supervisor tree.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use corianderfork_provider::key;
use corianderfork_provider::record::{Holder, Member};
use corianderfork_provider::store::Store;
use corianderfork_runtime::clock::{Monotonic, seed};
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::peers::Peers;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::supervisor::{self, Supervisor};
use corianderfork_runtime::sync;
use corianderfork_runtime::timer::{self, Tick};
use corianderfork_runtime::worker::Pool;
use stakker::{Actor, ActorOwn, ActorOwnAnon, Cx, Fwd, Ret, Share, StopCause, actor, call, fwd_to};

use crate::actor::gossip::{Door, Gossip};
use crate::actor::membership::Membership;
use crate::actor::planner::{Outside, Planner, Poll};
use crate::actor::sync::{Ready, View};
use crate::lease::{Keeper, Tenure};
use crate::plan::{self, Limits};
use crate::settings::Settings;
use crate::state::World;

/// What the actors are made from, each time one is started.
#[derive(Clone)]
pub(super) struct Parts {
    pub(super) settings: Arc<Settings>,
    pub(super) handle: Handle,
    pub(super) clock: Monotonic,
    pub(super) world: Share<World>,
    pub(super) store: Arc<dyn Store>,
    pub(super) me: Member,
    pub(super) peers: Peers,
    pub(super) door: Arc<Door>,
    pub(super) ready: Ready,
    pub(super) leases: Pool,
    pub(super) outside: Outside,
    pub(super) timer: Actor<timer::Service>,
    pub(super) stops: Stops,
}

/// Where the actors that hold a lease are told to give it up.
pub(super) type Stops = Arc<Mutex<Vec<Port<()>>>>;

type Start = Box<dyn Fn(&mut Cx<'_, Supervisor>, Ret<StopCause>) -> ActorOwnAnon>;

impl Parts {
    /// The tree: what keeps this process informed, and what decides.
    pub(super) fn tree(&self, root: &ActorOwn<Supervisor>) {
        let informed = self.branch("informed", |parts| {
            vec![
                ("view", parts.start(Self::view)),
                ("gossip", parts.start(Self::gossip)),
                ("membership", parts.start(Self::membership)),
            ]
        });
        let deciding =
            self.branch("deciding", |parts| vec![("planner", parts.start(Self::planner))]);
        call!([root], add("informed", informed));
        call!([root], add("deciding", deciding));
    }

    fn branch(
        &self,
        name: &'static str,
        children: impl Fn(&Self) -> Vec<(&'static str, Start)> + 'static,
    ) -> Start {
        let parts = self.clone();
        Box::new(move |cx, ended| {
            let config = supervisor::Config::default();
            let branch = actor!(cx, Supervisor::init(name, parts.clock, config), ended);
            for (name, start) in children(&parts) {
                call!([branch], add(name, start));
            }
            branch.anon()
        })
    }

    fn start(
        &self,
        start: fn(&Self, &mut Cx<'_, Supervisor>, Ret<StopCause>) -> ActorOwnAnon,
    ) -> Start {
        let parts = self.clone();
        Box::new(move |cx, ended| start(&parts, cx, ended))
    }

    fn view(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let (world, ready) = (self.world.clone(), Arc::clone(&self.ready));
        let actor = actor!(cx, View::init(world, ready), ended);
        let updates = fwd_to!([actor], on_update() as (sync::Update));
        let port = Port::open(cx, self.handle.clone(), updates);
        let config = sync::Config::default().wait(self.settings.watch);
        let (store, waker) = (Arc::clone(&self.store), self.world.ro(cx).waker.clone());
        if let Err(error) = sync::start(store, config, seed(), waker, port) {
            log::error!("the shared records can't be read: {error}");
        }
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(View::PERIOD, ticks));
        actor.anon()
    }

    fn gossip(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let (world, peers) = (self.world.clone(), self.peers.clone());
        let (door, seeds) = (Arc::clone(&self.door), self.settings.seeds.clone());
        let handle = self.handle.clone();
        let actor = actor!(cx, Gossip::init(world, peers, door, seeds, handle), ended);
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(self.settings.gossip, ticks));
        actor.anon()
    }

    fn membership(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let key = key::member(self.me.role, &self.me.name);
        let value = serde_json::to_string(&self.me).unwrap_or_default();
        let tenure = self.tenure(key, value, self.settings.member_ttl);
        let actor = actor!(cx, Membership::init(tenure, self.handle.clone()), ended);
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(Membership::PERIOD, ticks));
        self.on_stop(cx, fwd_to!([actor], stop() as ()));
        actor.anon()
    }

    fn planner(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let me = &self.me;
        let holder = Holder { name: me.name.clone(), incarnation: me.incarnation, peers: me.peers };
        let value = serde_json::to_string(&holder).unwrap_or_default();
        let tenure = self.tenure(key::PLANNER.to_owned(), value, self.settings.lease_ttl);
        let world = self.world.clone();
        let plan = plan::Planner::new(Limits::new(&self.settings));
        let outside = self.outside.clone();
        let handle = self.handle.clone();
        let actor = actor!(cx, Planner::init(world, plan, tenure, outside, handle, seed()), ended);
        let settings = &self.settings;
        let ticks = fwd_to!([actor], on_lease_tick() as (Tick));
        call!([self.timer], subscribe(Planner::PERIOD, ticks));
        let ticks = fwd_to!([actor], on_decide() as (Tick));
        call!([self.timer], subscribe(settings.decide, ticks));
        let polls = [
            (Poll::Tasks, settings.tasks),
            (Poll::Vms, settings.list),
            (Poll::Wave, settings.list),
            (Poll::Usage, settings.usage),
        ];
        for (poll, period) in polls {
            let polls = fwd_to!([actor], on_poll(poll) as (Tick));
            call!([self.timer], subscribe(period, polls));
        }
        self.on_stop(cx, fwd_to!([actor], stop() as ()));
        actor.anon()
    }

    fn tenure(&self, key: String, value: String, ttl: Duration) -> Tenure {
        let keeper = Keeper::new(Arc::clone(&self.store), key, value, ttl);
        Tenure::new(keeper, self.clock, self.leases.clone(), seed())
    }

    fn on_stop(&self, cx: &mut Cx<'_, Supervisor>, fwd: Fwd<()>) {
        let port = Port::open(cx, self.handle.clone(), fwd);
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(port);
    }
}
