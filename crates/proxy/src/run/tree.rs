//! The supervisor tree: a root with one actor per task; the claim shards have a separate
//! supervisor.

use corianderfork_provider::key;
use corianderfork_provider::record::{Holder, Role};
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::supervisor::{Config as Restarts, Start, Supervisor};
use stakker::{ActorOwnAnon, Cx, Ret, Stakker, StopCause, actor, call, ret_shutdown};

use super::{Dependencies, RESPONSE_MARGIN};
use crate::claims::{self, Shard};
use crate::feed::Feed;
use crate::gossip::{self, Gossip};
use crate::lease;
use crate::membership::Membership;
use crate::pulse::Pulse;
use crate::stop::{self, Stop};

/// Starts the tree and returns its root.
pub(super) fn supervise(
    stakker: &mut Stakker,
    dependencies: &Dependencies,
    clock: Monotonic,
) -> ActorOwnAnon {
    let root = actor!(
        stakker,
        Supervisor::init("root", clock, Restarts::default()),
        ret_shutdown!(stakker)
    );
    let deps = dependencies.clone();
    let pulse: Start = Box::new(move |cx, ended| {
        let own = actor!(
            cx,
            Pulse::init(deps.hub.clone(), deps.stores.clone(), deps.timer.clone()),
            ended
        );
        own.anon()
    });
    call!([root], add("pulse", pulse));
    let deps = dependencies.clone();
    let feed: Start = Box::new(move |cx, ended| {
        let gossip = deps.inboxes.gossip.clone();
        let (hub, access, timer) = (deps.hub.clone(), deps.access.clone(), deps.timer.clone());
        let own = actor!(cx, Feed::init(hub, access, gossip, timer), ended);
        own.anon()
    });
    call!([root], add("feed", feed));
    let deps = dependencies.clone();
    let gossip: Start = Box::new(move |cx, ended| start_gossip(cx, &deps, ended));
    call!([root], add("gossip", gossip));
    let deps = dependencies.clone();
    let membership: Start = Box::new(move |cx, ended| start_membership(cx, &deps, ended));
    call!([root], add("membership", membership));
    let deps = dependencies.clone();
    let claims: Start = Box::new(move |cx, ended| start_claims(cx, &deps, clock, ended));
    call!([root], add("claims", claims));
    let deps = dependencies.clone();
    let stop: Start = Box::new(move |cx, ended| start_stop(cx, &deps, ended));
    call!([root], add("stop", stop));
    root.anon()
}

type Context<'a, 'b> = &'a mut Cx<'b, Supervisor>;

fn start_gossip(cx: Context<'_, '_>, deps: &Dependencies, ended: Ret<StopCause>) -> ActorOwnAnon {
    let config = gossip::Config {
        interval: deps.settings.gossip_interval,
        seeds: deps.settings.seeds.clone(),
    };
    let inbox = deps.inboxes.gossip.clone();
    let core = (deps.access.handle.clone(), deps.timer.clone());
    let (hub, peers) = (deps.hub.clone(), deps.peers.clone());
    actor!(cx, Gossip::init(hub, config, peers, inbox, core), ended).anon()
}

fn start_membership(
    cx: Context<'_, '_>,
    deps: &Dependencies,
    ended: Ret<StopCause>,
) -> ActorOwnAnon {
    let me = deps.hub.me();
    let registration = lease::Registration {
        key: key::member(Role::Proxy, &me.name),
        value: json(&me),
        ttl: deps.settings.member_lease,
        replaces_below: Some(me.incarnation),
    };
    let inbox = deps.inboxes.targets.membership.clone();
    actor!(cx, Membership::init(deps.hub.clone(), deps.access.clone(), registration, inbox), ended)
        .anon()
}

fn start_claims(
    cx: Context<'_, '_>,
    deps: &Dependencies,
    clock: Monotonic,
    ended: Ret<StopCause>,
) -> ActorOwnAnon {
    let supervisor = actor!(cx, Supervisor::init("claims", clock, Restarts::default()), ended);
    for (index, inboxes) in (0..).zip(&deps.inboxes.targets.shards) {
        let (deps, inboxes) = (deps.clone(), inboxes.clone());
        let start: Start = Box::new(move |cx, ended| {
            let shard = (index, inboxes.clone());
            start_shard(cx, &deps, shard, ended)
        });
        call!([supervisor], add("shard", start));
    }
    supervisor.anon()
}

fn start_shard(
    cx: Context<'_, '_>,
    deps: &Dependencies,
    shard: (u32, claims::Inboxes),
    ended: Ret<StopCause>,
) -> ActorOwnAnon {
    let me = deps.hub.me();
    let holder = Holder { name: me.name, incarnation: me.incarnation, peers: me.peers };
    let registration = lease::Registration {
        key: key::claim_owner(shard.0),
        value: json(&holder),
        ttl: deps.settings.claim_lease,
        replaces_below: None,
    };
    let (hub, access, timer) = (deps.hub.clone(), deps.access.clone(), deps.timer.clone());
    actor!(cx, Shard::init(hub, access, registration, shard, timer), ended).anon()
}

fn start_stop(cx: Context<'_, '_>, deps: &Dependencies, ended: Ret<StopCause>) -> ActorOwnAnon {
    let config = stop::Config {
        grace: deps.settings.stop_grace,
        limit: deps.settings.request_timeout + RESPONSE_MARGIN,
    };
    let (targets, inbox) = (deps.inboxes.targets.clone(), deps.inboxes.stop.clone());
    let core = (deps.access.handle.clone(), deps.timer.clone());
    actor!(cx, Stop::init(deps.hub.clone(), config, targets, inbox, core), ended).anon()
}

fn json(record: &impl serde::Serialize) -> String {
    serde_json::to_string(record).expect("names, numbers and addresses are JSON")
}
