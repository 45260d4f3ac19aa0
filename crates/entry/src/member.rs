//! This daemon among the others: its record under a lease, and what it takes on.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Outcome, Txn};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::duty::{DUTIES, FLEET, Holder, MEMBERS, Member, Past, Record};
use crate::node::{Node, TTL};
use crate::owner::Owner;
use crate::placement::Entry;
use crate::planner;
use crate::store::Error;

/// How often the lease is renewed: four times in its length.
const RENEW: Duration = Duration::from_millis(600);
/// The pause after a renewal that failed.
const AGAIN: Duration = Duration::from_millis(150);
/// How often duties are looked through though nothing changed.
const TICK: Duration = Duration::from_millis(150);

/// Keeps this daemon's record and lease.
pub async fn keep(node: Rc<Node>) {
    let mut lease = None;
    while !node.stopping.get() {
        let sent = clock::now();
        let kept = match lease {
            Some(number) => renew(&node, number).await,
            None => register(&node).await,
        };
        match kept {
            Ok(Some(number)) => {
                lease = Some(number);
                node.renewed.set(sent);
                tokio::time::sleep(RENEW).await;
            }
            Ok(None) => lease = None,
            Err(_) => tokio::time::sleep(AGAIN).await,
        }
    }
    if let Some(number) = lease {
        node.store.end(number).await;
    }
}

async fn renew(node: &Rc<Node>, lease: u64) -> Result<Option<u64>, Error> {
    if !node.store.keep(lease).await? {
        node.trace.key("lease lost", json!({ "lease": lease }));
        node.doubted.set(clock::now());
        return Ok(None);
    }
    // The lease may live while its key was taken away.
    let name = node.settings.name.as_str();
    let is_there = node.table.borrow().members.get(name).is_some_and(|m| m.boot == node.boot);
    if !is_there && !put_record(node, lease).await? {
        return Ok(None);
    }
    Ok(Some(lease))
}

async fn register(node: &Rc<Node>) -> Result<Option<u64>, Error> {
    let (lease, _) = node.store.lease(TTL).await?;
    node.trace.key("lease taken", json!({ "lease": lease }));
    Ok(put_record(node, lease).await?.then_some(lease))
}

async fn put_record(node: &Rc<Node>, lease: u64) -> Result<bool, Error> {
    let member = Member {
        boot: node.boot,
        peers: node.settings.peers,
        data_centre: node.settings.data_centre.as_str().to_owned(),
        capacity: node.settings.capacity,
        revision: 0,
        seen: Time::ZERO,
    };
    let value = serde_json::to_vec(&member).unwrap_or_default();
    let key = format!("{MEMBERS}{}", node.settings.name);
    let txn = Txn { set: vec![(key, value, lease)], ..Txn::default() };
    Ok(matches!(node.store.txn(&txn).await?, Outcome::Written(_)))
}

/// Takes duties that nobody holds, and leaves those that another holds.
pub async fn attend(node: Rc<Node>) {
    node.attended.set(clock::now());
    while !node.stopping.get() {
        let now = clock::now();
        if node.is_frozen_since(now) {
            // Frozen or suspended: others may have taken over meanwhile. No
            // order goes out until the lease was renewed once more.
            node.trace
                .key("was away", json!({ "for_ms": crate::owner::ms(now - node.attended.get()) }));
            node.renewed.set(Time::ZERO);
            node.doubted.set(now);
        }
        node.attended.set(now);
        look_through(&node, now);
        let _ = timeout(TICK, node.changed.notified()).await;
    }
}

fn duties(node: &Node) -> Vec<String> {
    let config = node.config.borrow();
    let Some(config) = config.as_ref() else { return Vec::new() };
    let mut duties: Vec<String> =
        config.pools.iter().filter(|pool| !pool.spare).map(|pool| pool.name.clone()).collect();
    // A pool that the configuration dropped may have jobs left.
    let table = node.table.borrow();
    let left = table.owned();
    // So may one that was dropped before anyone owned it.
    let named = table.queues.values().flat_map(Entry::pools).map(String::as_str);
    for name in left.chain(named) {
        if !duties.iter().any(|duty| duty == name) {
            duties.push(name.to_owned());
        }
    }
    if node.settings.fleet.is_some() {
        duties.push(FLEET.to_owned());
    }
    duties.sort();
    duties
}

fn look_through(node: &Rc<Node>, now: Time) {
    leave_others(node);
    if now - node.renewed.get() >= TTL {
        return;
    }
    let duties = duties(node);
    resume(node, &duties);
    let name = node.settings.name.as_str();
    let take = node.table.borrow_mut().due_for(now, name, &duties);
    for duty in take {
        if node.taking.borrow_mut().insert(duty.clone()) {
            spawn_local(take_duty(node.clone(), duty));
        }
    }
}

/// Leaves duties whose record names another holder.
fn leave_others(node: &Rc<Node>) {
    let table = node.table.borrow();
    let is_lost = |duty: &str, fence: u64| {
        table.duties.get(duty).is_some_and(|r| r.revision > fence && !node.is_me(&r.holder))
    };
    node.owners.borrow_mut().retain(|pool, owner| {
        let is_lost = is_lost(pool, owner.fence());
        if is_lost {
            owner.retire("the store names another holder");
        }
        !is_lost && !owner.is_retired()
    });
    if node.planner.get().is_some_and(|fence| is_lost(FLEET, fence)) {
        node.planner.set(None);
    }
}

/// Goes on with duties that the store says are this daemon's: a write that took
/// effect though its answer was lost.
fn resume(node: &Rc<Node>, duties: &[String]) {
    for duty in duties {
        let record = node.table.borrow().duties.get(duty).cloned();
        let Some(record) = record else { continue };
        let is_taking = node.taking.borrow().contains(duty);
        let is_over = node.has_given_up(duty, record.revision);
        if node.is_me(&record.holder) && !is_taking && !is_held(node, duty) && !is_over {
            let past = node.table.borrow().past(clock::now(), duty);
            begin(node, duty, record.revision, past);
        }
    }
}

fn is_held(node: &Node, duty: &str) -> bool {
    if duty == FLEET {
        node.planner.get().is_some()
    } else {
        node.owners.borrow().contains_key(duty)
    }
}

async fn take_duty(node: Rc<Node>, duty: String) {
    let record = node.table.borrow().duties.get(&duty).cloned().unwrap_or_default();
    let key = format!("{DUTIES}{duty}");
    let holder = Holder { before: node.table.borrow().formers(&duty), ..node.holder() };
    let past = node.table.borrow().past(clock::now(), &duty);
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let txn = Txn {
        expect: vec![(key.clone(), record.revision)],
        set: vec![(key, value, 0)],
        remove: Vec::new(),
    };
    let outcome = node.store.txn(&txn).await;
    node.trace.key(
        "duty taken",
        json!({ "duty": duty, "from": record.holder.name, "revision": record.revision,
            "outcome": format!("{outcome:?}") }),
    );
    if let Ok(Outcome::Written(fence)) = outcome {
        let taken = Record { holder, revision: fence };
        node.table.borrow_mut().put_duty(clock::now(), &duty, taken);
        begin(&node, &duty, fence, past);
    } else {
        // The watch tells who holds it now.
        tokio::time::sleep(TICK * 2).await;
    }
    node.taking.borrow_mut().remove(&duty);
}

fn begin(node: &Rc<Node>, duty: &str, fence: u64, past: Past) {
    if duty == FLEET {
        node.planner.set(Some(fence));
        spawn_local(planner::plan(node.clone(), fence));
        return;
    }
    let owner = Owner::start(node, duty, fence, past);
    node.owners.borrow_mut().insert(duty.to_owned(), owner);
    node.changed.notify_waiters();
}

/// Hands all duties over, for a planned stop.
pub async fn hand_over(node: &Rc<Node>) {
    let owners: Vec<(String, Rc<Owner>)> =
        node.owners.borrow().iter().map(|(name, owner)| (name.clone(), owner.clone())).collect();
    // The planner leaves its duty by itself once it sees that this process stops.
    node.changed.notify_waiters();
    let mut left = Vec::new();
    for (name, owner) in owners {
        let node = node.clone();
        left.push(spawn_local(async move {
            owner.flush().await;
            owner.retire("planned stop");
            vacate(node, (name, owner.fence())).await;
        }));
    }
    for left in left {
        // One that fails is taken over when this process is gone.
        let _ = left.await;
    }
}

/// Writes that nobody holds a duty any more.
pub async fn vacate(node: Rc<Node>, (duty, fence): (String, u64)) {
    let key = format!("{DUTIES}{duty}");
    // The address stays, for the successor to ask what was granted.
    let before = node.table.borrow().formers(&duty);
    let before = before.into_iter().filter(|former| former.boot != node.boot).collect();
    let holder = Holder { name: String::new(), before, ..node.holder() };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let txn =
        Txn { expect: vec![(key.clone(), fence)], set: vec![(key, value, 0)], remove: Vec::new() };
    let outcome = node.store.txn(&txn).await;
    let outcome = format!("{outcome:?}");
    node.trace.key("duty handed over", json!({ "duty": duty, "outcome": outcome }));
}
