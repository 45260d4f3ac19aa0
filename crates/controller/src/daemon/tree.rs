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

use crate::actor::gossip::{Gossip, Inbox};
use crate::actor::membership::Membership;
use crate::actor::planner::{Planner, Poll, Resources};
use crate::actor::sync::{Readiness, Syncer};
use crate::lease::{Client, Lease};
use crate::plan::{self, Limits};
use crate::settings::Settings;
use crate::state::State;

/// What is needed to start, or restart, the actors.
#[derive(Clone)]
pub(super) struct Parts {
    pub(super) settings: Arc<Settings>,
    pub(super) handle: Handle,
    pub(super) clock: Monotonic,
    pub(super) state: Share<State>,
    pub(super) store: Arc<dyn Store>,
    pub(super) me: Member,
    pub(super) peers: Peers,
    pub(super) inbox: Arc<Inbox>,
    pub(super) readiness: Readiness,
    pub(super) leases: Pool,
    pub(super) resources: Resources,
    pub(super) timer: Actor<timer::Service>,
    pub(super) release_ports: ReleasePorts,
}

/// Ports to ask the actors that hold a lease to release it.
pub(super) type ReleasePorts = Arc<Mutex<Vec<Port<()>>>>;

type StartFn = Box<dyn Fn(&mut Cx<'_, Supervisor>, Ret<StopCause>) -> ActorOwnAnon>;

impl Parts {
    /// Builds the tree. One branch keeps this process informed, the other makes
    /// decisions.
    pub(super) fn tree(&self, root: &ActorOwn<Supervisor>) {
        let informed = self.supervise("informed", |parts| {
            vec![
                ("view", parts.starter(Self::syncer)),
                ("gossip", parts.starter(Self::gossip)),
                ("membership", parts.starter(Self::membership)),
            ]
        });
        let deciding =
            self.supervise("deciding", |parts| vec![("planner", parts.starter(Self::planner))]);
        call!([root], add("informed", informed));
        call!([root], add("deciding", deciding));
    }

    fn supervise(
        &self,
        name: &'static str,
        children: impl Fn(&Self) -> Vec<(&'static str, StartFn)> + 'static,
    ) -> StartFn {
        let parts = self.clone();
        Box::new(move |cx, ended| {
            let config = supervisor::Config::default();
            let supervisor = actor!(cx, Supervisor::init(name, parts.clock, config), ended);
            for (name, start) in children(&parts) {
                call!([supervisor], add(name, start));
            }
            supervisor.anon()
        })
    }

    fn starter(
        &self,
        start: fn(&Self, &mut Cx<'_, Supervisor>, Ret<StopCause>) -> ActorOwnAnon,
    ) -> StartFn {
        let parts = self.clone();
        Box::new(move |cx, ended| start(&parts, cx, ended))
    }

    fn syncer(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let (state, readiness) = (self.state.clone(), Arc::clone(&self.readiness));
        let actor = actor!(cx, Syncer::init(state, readiness), ended);
        let updates = fwd_to!([actor], on_update() as (sync::Update));
        let port = Port::open(cx, self.handle.clone(), updates);
        let config = sync::Config::default().wait(self.settings.watch_timeout);
        let (store, waker) = (Arc::clone(&self.store), self.state.ro(cx).waker.clone());
        if let Err(error) = sync::start(store, config, seed(), waker, port) {
            log::error!("failed to start reading the shared records: {error}");
        }
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(Syncer::PERIOD, ticks));
        actor.anon()
    }

    fn gossip(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let (state, peers) = (self.state.clone(), self.peers.clone());
        let (inbox, seeds) = (Arc::clone(&self.inbox), self.settings.seeds.clone());
        let handle = self.handle.clone();
        let actor = actor!(cx, Gossip::init(state, peers, inbox, seeds, handle), ended);
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(self.settings.gossip_interval, ticks));
        actor.anon()
    }

    fn membership(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let key = key::member(self.me.role, &self.me.name);
        let value = serde_json::to_string(&self.me).unwrap_or_default();
        let lease = self.lease(key, value, self.settings.member_ttl);
        let actor = actor!(cx, Membership::init(lease, self.handle.clone()), ended);
        let ticks = fwd_to!([actor], on_tick() as (Tick));
        call!([self.timer], subscribe(Membership::PERIOD, ticks));
        self.release_on_stop(cx, fwd_to!([actor], stop() as ()));
        actor.anon()
    }

    fn planner(&self, cx: &mut Cx<'_, Supervisor>, ended: Ret<StopCause>) -> ActorOwnAnon {
        let me = &self.me;
        let holder = Holder { name: me.name.clone(), incarnation: me.incarnation, peers: me.peers };
        let value = serde_json::to_string(&holder).unwrap_or_default();
        let lease = self.lease(key::PLANNER.to_owned(), value, self.settings.lease_ttl);
        let state = self.state.clone();
        let plan = plan::Planner::new(Limits::new(&self.settings));
        let resources = self.resources.clone();
        let handle = self.handle.clone();
        let actor = actor!(cx, Planner::init(state, plan, lease, resources, handle, seed()), ended);
        let settings = &self.settings;
        let ticks = fwd_to!([actor], on_lease_tick() as (Tick));
        call!([self.timer], subscribe(Planner::PERIOD, ticks));
        let ticks = fwd_to!([actor], on_decide() as (Tick));
        call!([self.timer], subscribe(settings.decide_interval, ticks));
        let polls = [
            (Poll::Tasks, settings.tasks_interval),
            (Poll::Vms, settings.list_interval),
            (Poll::Wave, settings.list_interval),
            (Poll::Usage, settings.usage_interval),
        ];
        for (poll, period) in polls {
            let polls = fwd_to!([actor], on_poll(poll) as (Tick));
            call!([self.timer], subscribe(period, polls));
        }
        self.release_on_stop(cx, fwd_to!([actor], stop() as ()));
        actor.anon()
    }

    fn lease(&self, key: String, value: String, ttl: Duration) -> Lease {
        let client = Client::new(Arc::clone(&self.store), key, value, ttl);
        Lease::new(client, self.clock, self.leases.clone(), seed())
    }

    fn release_on_stop(&self, cx: &mut Cx<'_, Supervisor>, fwd: Fwd<()>) {
        let port = Port::open(cx, self.handle.clone(), fwd);
        self.release_ports.lock().unwrap_or_else(PoisonError::into_inner).push(port);
    }
}
