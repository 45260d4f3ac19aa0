//! The supervisor tree: the root, and under it one actor a task, the shards of
//! claims under a supervisor of their own.

use corianderfork_provider::key;
use corianderfork_provider::record::{Holder, Role};
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::supervisor::{Config as Restarts, Start, Supervisor};
use stakker::{ActorOwnAnon, Cx, Ret, Stakker, StopCause, actor, call, ret_shutdown};

use super::{Parts, SLACK};
use crate::claims::{self, Shard};
use crate::feed::Feed;
use crate::gossip::{self, Gossip};
use crate::lease;
use crate::membership::Membership;
use crate::pulse::Pulse;
use crate::stop::{self, Stop};

/// Starts the tree.
pub(super) fn supervise(stakker: &mut Stakker, parts: &Parts, clock: Monotonic) -> ActorOwnAnon {
    let root = actor!(
        stakker,
        Supervisor::init("root", clock, Restarts::default()),
        ret_shutdown!(stakker)
    );
    let p = parts.clone();
    let pulse: Start = Box::new(move |cx, ended| {
        let own = actor!(cx, Pulse::init(p.hub.clone(), p.stores.clone(), p.timer.clone()), ended);
        own.anon()
    });
    call!([root], add("pulse", pulse));
    let p = parts.clone();
    let feed: Start = Box::new(move |cx, ended| {
        let gossip = p.inboxes.gossip.clone();
        let own = actor!(cx, Feed::init(p.hub.clone(), p.means.clone(), gossip), ended);
        own.anon()
    });
    call!([root], add("feed", feed));
    let p = parts.clone();
    let gossip: Start = Box::new(move |cx, ended| start_gossip(cx, &p, ended));
    call!([root], add("gossip", gossip));
    let p = parts.clone();
    let membership: Start = Box::new(move |cx, ended| start_membership(cx, &p, ended));
    call!([root], add("membership", membership));
    let p = parts.clone();
    let claims: Start = Box::new(move |cx, ended| start_claims(cx, &p, clock, ended));
    call!([root], add("claims", claims));
    let p = parts.clone();
    let stop: Start = Box::new(move |cx, ended| start_stop(cx, &p, ended));
    call!([root], add("stop", stop));
    root.anon()
}

type Context<'a, 'b> = &'a mut Cx<'b, Supervisor>;

fn start_gossip(cx: Context<'_, '_>, p: &Parts, ended: Ret<StopCause>) -> ActorOwnAnon {
    let config =
        gossip::Config { interval: p.settings.gossip_interval, seeds: p.settings.seeds.clone() };
    let inbox = p.inboxes.gossip.clone();
    let core = (p.means.handle.clone(), p.timer.clone());
    let (hub, peers) = (p.hub.clone(), p.peers.clone());
    actor!(cx, Gossip::init(hub, config, peers, inbox, core), ended).anon()
}

fn start_membership(cx: Context<'_, '_>, p: &Parts, ended: Ret<StopCause>) -> ActorOwnAnon {
    let me = p.hub.me();
    let kept = lease::Kept {
        key: key::member(Role::Proxy, &me.name),
        value: json(&me),
        ttl: p.settings.member_lease,
        replaces_below: Some(me.incarnation),
    };
    let inbox = p.inboxes.told.membership.clone();
    actor!(cx, Membership::init(p.hub.clone(), p.means.clone(), kept, inbox), ended).anon()
}

fn start_claims(
    cx: Context<'_, '_>,
    p: &Parts,
    clock: Monotonic,
    ended: Ret<StopCause>,
) -> ActorOwnAnon {
    let supervisor = actor!(cx, Supervisor::init("claims", clock, Restarts::default()), ended);
    for (index, inboxes) in (0..).zip(&p.inboxes.told.shards) {
        let (p, inboxes) = (p.clone(), inboxes.clone());
        let start: Start = Box::new(move |cx, ended| {
            let shard = (index, inboxes.clone());
            start_shard(cx, &p, shard, ended)
        });
        call!([supervisor], add("shard", start));
    }
    supervisor.anon()
}

fn start_shard(
    cx: Context<'_, '_>,
    p: &Parts,
    shard: (u32, claims::Inboxes),
    ended: Ret<StopCause>,
) -> ActorOwnAnon {
    let me = p.hub.me();
    let holder = Holder { name: me.name, incarnation: me.incarnation, peers: me.peers };
    let kept = lease::Kept {
        key: key::claim_owner(shard.0),
        value: json(&holder),
        ttl: p.settings.claim_lease,
        replaces_below: None,
    };
    let (hub, means, timer) = (p.hub.clone(), p.means.clone(), p.timer.clone());
    actor!(cx, Shard::init(hub, means, kept, shard, timer), ended).anon()
}

fn start_stop(cx: Context<'_, '_>, p: &Parts, ended: Ret<StopCause>) -> ActorOwnAnon {
    let config =
        stop::Config { grace: p.settings.stop_grace, limit: p.settings.request_timeout + SLACK };
    let (told, inbox) = (p.inboxes.told.clone(), p.inboxes.stop.clone());
    let core = (p.means.handle.clone(), p.timer.clone());
    actor!(cx, Stop::init(p.hub.clone(), config, told, inbox, core), ended).anon()
}

fn json(record: &impl serde::Serialize) -> String {
    serde_json::to_string(record).expect("names, numbers and addresses are JSON")
}
