//! This daemon's membership: its record and lease, and the duties that it takes on.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{MAX_KEY, Outcome, Txn};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::duty::{self, DUTY_PREFIX, FLEET, Holder, HolderHistory, MEMBER_PREFIX, Member, Record};
use crate::follow;
use crate::node::Node;
use crate::owner::{Owner, ms};
use crate::placement::QueueRecord;
use crate::planner;
use crate::store::Error;
use crate::tenure::{LEASE_TTL, Tenure};

/// How often the lease is renewed: four times in its length.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// How often the record is written under one lease while others change it.
const MAX_PUTS: usize = 3;
/// The pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How often duties are checked even if nothing has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// What became of a write of the member's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Put {
    /// The record is there, under this lease.
    There,
    /// The record isn't as known here: it is gone, or another one is there.
    Changed,
    /// The lease has ended.
    NoLease,
}

/// Keeps this daemon's record and lease alive until it stops.
pub async fn maintain_membership(node: Rc<Node>) {
    let mut lease = None;
    while !node.stopping.get() {
        let sent = clock::now();
        let renewal = match lease {
            Some(number) => renew(&node, number).await,
            None => register(&node).await,
        };
        match renewal {
            Ok(Some(number)) if lease.is_some() => {
                node.update_tenure(|tenure| tenure.renew(sent));
                lease = Some(number);
                tokio::time::sleep(RENEW_INTERVAL).await;
            }
            Ok(Some(number)) => {
                node.update_tenure(|tenure| tenure.register(sent, clock::now()));
                spawn_local(read_duties(node.clone()));
                lease = Some(number);
                tokio::time::sleep(RENEW_INTERVAL).await;
            }
            Ok(None) => lease = None,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    if let Some(number) = lease {
        node.store.end(number).await;
    }
}

/// Renews the lease. Returns `None` if it or the record is lost.
async fn renew(node: &Rc<Node>, lease: u64) -> Result<Option<u64>, Error> {
    if !node.store.keep(lease).await? {
        lose_lease(node, lease, "the lease has ended");
        return Ok(None);
    }
    // The record may be missing although the lease is alive.
    let name = node.settings.name.as_str();
    let is_own = |member: &Member| member.boot == node.boot && member.lease == lease;
    let is_listed = node.table.borrow().members.get(name).is_some_and(is_own);
    if !is_listed && put_record(node, lease).await? != Put::There {
        lose_lease(node, lease, "the member record is gone");
        return Ok(None);
    }
    Ok(Some(lease))
}

fn lose_lease(node: &Node, lease: u64, why: &str) {
    node.trace.unlimited(
        "lease lost",
        json!({ "lease": lease, "why": why, "renewed_ms_ago": node.since_renewal() }),
    );
    node.update_tenure(Tenure::lose);
}

async fn register(node: &Rc<Node>) -> Result<Option<u64>, Error> {
    let (lease, _) = node.store.lease(LEASE_TTL).await?;
    node.trace.unlimited("lease taken", json!({ "lease": lease }));
    for _ in 0..MAX_PUTS {
        match put_record(node, lease).await? {
            Put::There => return Ok(Some(lease)),
            Put::Changed => {}
            Put::NoLease => return Ok(None),
        }
    }
    Ok(None)
}

/// Writes the record over the one that is known. An earlier write that is carried out late would put
/// it under a lease that is renewed no more.
async fn put_record(node: &Rc<Node>, lease: u64) -> Result<Put, Error> {
    let member = Member {
        boot: node.boot,
        peers: node.settings.peers,
        data_centre: node.settings.data_centre.as_str().to_owned(),
        capacity: node.settings.capacity,
        lease,
        memory_mb: node.settings.memory >> 20,
        revision: 0,
        seen: Time::ZERO,
    };
    let value = serde_json::to_vec(&member).unwrap_or_default();
    let key = format!("{MEMBER_PREFIX}{}", node.settings.name);
    let expect = vec![(key.clone(), node.member_revision.get())];
    let txn = Txn { expect, set: vec![(key, value.clone(), lease)], remove: Vec::new() };
    match node.store.txn(&txn).await? {
        Outcome::Written(revision) => {
            node.member_revision.set(revision);
            Ok(Put::There)
        }
        Outcome::Conflict(items) => {
            let there = items.first();
            node.member_revision.set(there.map_or(0, |item| item.revision));
            let is_own = there.is_some_and(|item| item.value == value);
            Ok(if is_own { Put::There } else { Put::Changed })
        }
        Outcome::NoLease => Ok(Put::NoLease),
    }
}

/// Reads who holds the duties, if that is in doubt: a watch may tell a second later.
async fn read_duties(node: Rc<Node>) {
    while !node.stopping.get() && !node.tenure.get().is_known() {
        let started = clock::now();
        match node.store.range(DUTY_PREFIX).await {
            Ok((items, _)) => {
                items.iter().for_each(|item| follow::update_duty(&node, item));
                node.update_tenure(|tenure| tenure.note_known(started));
                node.changed.notify_waiters();
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Takes vacant duties and leaves those that another member holds.
pub async fn maintain_duties(node: Rc<Node>) {
    while !node.stopping.get() {
        let now = clock::now();
        if let Some(away) = node.update_tenure(|tenure| tenure.check(now)) {
            node.trace.unlimited("was away", json!({ "for_ms": ms(away) }));
            spawn_local(read_duties(node.clone()));
        }
        check_duties(&node, now);
        let _ = timeout(CHECK_INTERVAL, node.changed.notified()).await;
    }
}

fn known_duties(node: &Node) -> Vec<String> {
    let config = node.config.borrow();
    let Some(config) = config.as_ref() else { return Vec::new() };
    let mut duties: Vec<String> =
        config.pools.iter().filter(|pool| !pool.spare).map(|p| duty::of_pool(&p.name)).collect();
    // A pool that was removed from the configuration may have jobs left.
    let table = node.table.borrow();
    let previously_owned = table.owned_pools();
    // The same holds for a pool that was removed before it had an owner.
    let in_queue_records = table.queues.values().flat_map(QueueRecord::pools).map(String::as_str);
    for duty in previously_owned.chain(in_queue_records).map(duty::of_pool) {
        if !duties.contains(&duty) {
            duties.push(duty);
        }
    }
    if node.settings.fleet.is_some() {
        duties.push(FLEET.to_owned());
    }
    duties.retain(|duty| duty::key(duty).len() <= MAX_KEY);
    duties.sort();
    duties
}

fn check_duties(node: &Rc<Node>, now: Time) {
    leave_lost_duties(node);
    if !node.tenure.get().has_lease(now) {
        return;
    }
    let duties = known_duties(node);
    resume(node, &duties);
    let name = node.settings.name.as_str();
    let due = node.table.borrow_mut().due_duties(now, name, &duties);
    for duty in due {
        if node.taking.borrow_mut().insert(duty.clone()) {
            spawn_local(take_duty(node.clone(), duty));
        }
    }
}

/// Leaves duties whose record names another holder.
fn leave_lost_duties(node: &Rc<Node>) {
    let is_lost = |duty: &str, fence: u64| node.is_superseded(duty, fence);
    node.owners.borrow_mut().retain(|pool, owner| {
        let is_lost = is_lost(&duty::of_pool(pool), owner.fence());
        if is_lost {
            owner.retire("the store names another holder");
        }
        !is_lost && !owner.is_retired()
    });
    if node.planner.get().is_some_and(|fence| is_lost(FLEET, fence)) {
        node.planner.set(None);
    }
}

/// Resumes duties whose record names this daemon: the write took effect although its
/// response was lost.
fn resume(node: &Rc<Node>, duties: &[String]) {
    for duty in duties {
        let record = node.table.borrow().duties.get(duty).cloned();
        let Some(record) = record else { continue };
        let is_taking = node.taking.borrow().contains(duty);
        let is_relinquished = node.is_relinquished(duty, record.revision);
        if node.is_me(&record.holder) && !is_taking && !is_held(node, duty) && !is_relinquished {
            let history = node.table.borrow().history(clock::now(), duty);
            start_duty(node, duty, record.revision, history);
        }
    }
}

fn is_held(node: &Node, duty: &str) -> bool {
    match duty::pool_of(duty) {
        Some(pool) => node.owners.borrow().contains_key(pool),
        None => node.planner.get().is_some(),
    }
}

async fn take_duty(node: Rc<Node>, duty: String) {
    let record = node.table.borrow().duties.get(&duty).cloned().unwrap_or_default();
    let key = duty::key(&duty);
    let holder = Holder { before: node.table.borrow().former_holders(&duty), ..node.holder() };
    let history = node.table.borrow().history(clock::now(), &duty);
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let expect = node.table.borrow().takeover_conditions(&duty);
    let txn = Txn { expect, set: vec![(key, value, 0)], remove: Vec::new() };
    let outcome = node.store.txn(&txn).await;
    node.trace.unlimited(
        "duty takeover attempted",
        json!({ "duty": duty, "from": record.holder.name, "revision": record.revision,
            "outcome": format!("{outcome:?}") }),
    );
    if let Ok(Outcome::Written(fence)) = outcome {
        let taken = Record { holder, revision: fence };
        node.table.borrow_mut().put_duty(clock::now(), &duty, taken);
        start_duty(&node, &duty, fence, history);
    } else {
        // The watch reports the current holder.
        tokio::time::sleep(CHECK_INTERVAL * 2).await;
    }
    node.taking.borrow_mut().remove(&duty);
}

fn start_duty(node: &Rc<Node>, duty: &str, fence: u64, history: HolderHistory) {
    let Some(pool) = duty::pool_of(duty) else {
        node.planner.set(Some(fence));
        spawn_local(planner::plan(node.clone(), fence));
        return;
    };
    let owner = Owner::start(node, pool, fence, history);
    node.owners.borrow_mut().insert(pool.to_owned(), owner);
    node.changed.notify_waiters();
}

/// Hands all duties over, for a planned stop.
pub async fn hand_over(node: &Rc<Node>) {
    let owners: Vec<(String, Rc<Owner>)> =
        node.owners.borrow().iter().map(|(name, owner)| (name.clone(), owner.clone())).collect();
    // The planner leaves its duty by itself when it sees that the process is stopping.
    node.changed.notify_waiters();
    let mut handovers = Vec::new();
    for (name, owner) in owners {
        let node = node.clone();
        handovers.push(spawn_local(async move {
            owner.flush().await;
            owner.retire("planned stop");
            release_duty(node, (duty::of_pool(&name), owner.fence())).await;
        }));
    }
    for handover in handovers {
        // A duty whose handover fails is taken over when this process is gone.
        let _ = handover.await;
    }
}

/// Writes that a duty has no holder any more.
pub async fn release_duty(node: Rc<Node>, (duty, fence): (String, u64)) {
    let key = duty::key(&duty);
    // The address stays, so that the successor can ask for the grants.
    let before = node.table.borrow().former_holders(&duty);
    let before = before.into_iter().filter(|former| former.boot != node.boot).collect();
    let holder = Holder { name: String::new(), before, ..node.holder() };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let txn =
        Txn { expect: vec![(key.clone(), fence)], set: vec![(key, value, 0)], remove: Vec::new() };
    let outcome = node.store.txn(&txn).await;
    let outcome = format!("{outcome:?}");
    node.trace.unlimited("duty handed over", json!({ "duty": duty, "outcome": outcome }));
}
