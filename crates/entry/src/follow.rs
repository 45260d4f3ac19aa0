//! Following of keys in the store: one read of all, then a watch of changes.

use std::collections::btree_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::config;
use corianderfork_adapter::store::{self, Event, Item};
use corianderfork_adapter::worker;
use corianderfork_model::Time;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::clock;
use crate::duty::{self, DUTY_PREFIX, MEMBER_PREFIX};
use crate::node::Node;
use crate::owner::ms;
use crate::placement::{self, QUEUE_PREFIX};
use crate::store::Error;

/// How long a watch waits. Its end shows that it still works: a dead connection is noticed
/// after this and the response timeout, well within the two seconds in which a configuration
/// has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(900);
/// How long changes of workers' entries are batched. Each heartbeat of each worker is a
/// change, some 30 a second on a site of 49: read one by one they were nine in ten of all
/// calls to the store.
const WORKER_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// The same while workers are expected: on average each of them waits half of this to be
/// seen, and so does the work that it was sent for.
const WORKER_BATCH_PAUSE_EXPECTING: Duration = Duration::from_millis(40);
/// The pause after the store didn't respond.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// An update of followed keys.
pub enum Update {
    /// All existing keys.
    All(Vec<Item>),
    /// A change of one key.
    Change(Event),
    /// All changes written before this time, or up to this revision of the store, have been reported.
    KnownUntil(Time, u64),
}

/// What follows a watch without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// The same watch again.
    Watch,
    /// A read of all keys. A store that answers reads but no watches delays changes by one watch
    /// at most; the read costs as much as the keys are large.
    Read,
}

/// An earlier read from which keys are followed.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The store's revision of the read.
    pub revision: u64,
    /// When the read was requested.
    pub at: Time,
}

/// Follows the keys with `prefix` for as long as `is_wanted`. After changes it pauses for
/// `batch_pause`, so that further changes are read in one call. Without `start`, all keys are read
/// first.
pub async fn follow(
    node: Rc<Node>,
    prefix: String,
    recovery: Recovery,
    mut start: Option<Start>,
    batch_pause: impl Fn() -> Duration,
    is_wanted: impl Fn() -> bool,
    mut apply: impl FnMut(Update),
) {
    while is_wanted() {
        let mut after = match start.take() {
            Some(Start { revision, at }) => {
                apply(Update::KnownUntil(at, revision));
                revision
            }
            None => {
                let started = clock::now();
                let (items, revision) = match node.store.range(&prefix).await {
                    Ok(read) => read,
                    Err(error) => {
                        log_failed_read(&node, &prefix, "range", started, &error);
                        tokio::time::sleep(RETRY_PAUSE).await;
                        continue;
                    }
                };
                apply(Update::All(items));
                apply(Update::KnownUntil(started, revision));
                revision
            }
        };
        while is_wanted() {
            let started = clock::now();
            match node.store.watch(&prefix, after, WATCH_WAIT).await {
                Ok(store::Update::Events(events, revision)) => {
                    let has_changes = !events.is_empty();
                    node.effort.measure("watched changes", || {
                        events.into_iter().for_each(|event| apply(Update::Change(event)));
                    });
                    after = after.max(revision);
                    apply(Update::KnownUntil(started, after));
                    if has_changes {
                        tokio::time::sleep(batch_pause()).await;
                    }
                }
                Ok(store::Update::Compacted) => {
                    node.trace.line(
                        "watch history compacted",
                        || json!({ "prefix": prefix, "after": after }),
                    );
                    break;
                }
                Err(error) => {
                    log_failed_read(&node, &prefix, "watch", started, &error);
                    if recovery == Recovery::Read {
                        break;
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Counts and logs a failed read of the followed keys, with the time since it started.
fn log_failed_read(node: &Node, prefix: &str, call: &'static str, started: Time, error: &Error) {
    node.metrics.event("read failed");
    node.trace.line("read failed", || {
        json!({ "prefix": prefix, "call": call, "took_ms": ms(clock::now() - started),
            "why": error.to_string() })
    });
}

/// Follows the keys that operators write.
pub async fn operators(node: Rc<Node>) {
    let target = node.clone();
    let apply = move |update: Update| match update {
        Update::All(items) => {
            for item in items {
                update_from_operators(&target, &item.key, &item.value, item.revision);
            }
        }
        Update::Change(event) => {
            if let Some(value) = event.value {
                update_from_operators(&target, &event.key, &value, event.revision);
            }
        }
        Update::KnownUntil(at, revision) => {
            target.config_revision.set(revision);
            target.note_config_known(at);
        }
    };
    follow(
        node,
        config::PREFIX.to_owned(),
        Recovery::Read,
        None,
        || Duration::ZERO,
        || true,
        apply,
    )
    .await;
}

fn update_from_operators(node: &Rc<Node>, key: &str, value: &[u8], revision: u64) {
    if key == config::KEY {
        match config::parse(value) {
            Ok(config) => node.set_config(config, value.len()),
            Err(error) => log_unreadable(node, key, revision, &error.to_string()),
        }
    } else if key.starts_with(config::WAVE_PREFIX) {
        match config::parse_wave(value) {
            Ok(wave) => {
                let mut waves = node.waves.borrow_mut();
                let number = wave.number;
                if let Entry::Vacant(entry) = waves.entry(number) {
                    let count = wave.vms.len();
                    node.trace.unlimited("wave requested", json!({ "wave": number, "vms": count }));
                    entry.insert((wave, clock::now()));
                }
            }
            Err(error) => log_unreadable(node, key, revision, &error.to_string()),
        }
    }
}

/// Follows the records of members, duties and queues.
pub async fn entries(node: Rc<Node>) {
    let target = node.clone();
    let apply = move |update: Update| {
        match update {
            Update::All(items) => {
                let is_listed = |key: String| items.iter().any(|item| item.key == key);
                let mut table = target.table.borrow_mut();
                table.members.retain(|name, _| is_listed(format!("{MEMBER_PREFIX}{name}")));
                table.duties.retain(|name, _| is_listed(duty::key(name)));
                // Queues' records stay: this read may be older than a job accepted here,
                // and a record that was removed shows in the next write.
                drop(table);
                for item in items {
                    update_entry(&target, &item.key, Some(&item.value), item.revision);
                }
            }
            Update::Change(event) => {
                let value = event.value.as_deref();
                update_entry(&target, &event.key, value, event.revision);
                target.trace.line(
                    "duty or member changed",
                    || json!({ "key": event.key, "revision": event.revision, "there": value.is_some() }),
                );
            }
            Update::KnownUntil(at, _) => {
                return target.update_tenure(|tenure| tenure.note_known(at));
            }
        }
        target.changed.notify_waiters();
    };
    follow(node, duty::PREFIX.to_owned(), Recovery::Watch, None, || Duration::ZERO, || true, apply)
        .await;
}

/// Updates a duty's record as read from the store.
pub fn update_duty(node: &Rc<Node>, item: &Item) {
    update_entry(node, &item.key, Some(&item.value), item.revision);
}

fn update_entry(node: &Rc<Node>, key: &str, value: Option<&[u8]>, revision: u64) {
    let mut table = node.table.borrow_mut();
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        match value.and_then(|value| decode::<duty::Member>(node, key, value, revision)) {
            Some(mut member) => {
                let known = table.members.get(name).filter(|known| known.boot == member.boot);
                member.seen = known.map_or_else(clock::now, |known| known.seen);
                member.revision = revision;
                table.members.insert(name.to_owned(), member);
            }
            None => drop(table.members.remove(name)),
        }
    } else if let Some(name) = key.strip_prefix(DUTY_PREFIX) {
        // A record that can't be decoded names no holder: the next member that takes the duty
        // overwrites it.
        let holder = value.and_then(|value| decode(node, key, value, revision));
        let is_there = value.is_some();
        // A read beside the watch may have told more.
        if is_there && table.duties.get(name).is_some_and(|known| known.revision > revision) {
            return;
        }
        let revision = if is_there { revision } else { 0 };
        let record = duty::Record { holder: holder.unwrap_or_default(), revision };
        table.put_duty(clock::now(), name, record);
    } else if let Some(name) = key.strip_prefix(QUEUE_PREFIX) {
        // No daemon removes such a record: without it, the queue's pools are unknown.
        let removed = placement::QueueRecord::Damaged { revision: 0 };
        let entry = value.map_or(removed, |value| placement::QueueRecord::read(value, revision));
        if value.is_some() && entry.pools().is_empty() {
            log_unreadable(
                node,
                key,
                revision,
                "the queue's pools aren't known until it is written",
            );
        }
        table.update_queue(name, entry);
    }
}

/// Decodes an entry; one that can't be decoded is logged and counts as missing.
fn decode<T: DeserializeOwned>(node: &Node, key: &str, value: &[u8], revision: u64) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_unreadable(node, key, revision, &error.to_string());
            None
        }
    }
}

/// Logs and counts an entry that can't be decoded. The log limits the number of such lines.
fn log_unreadable(node: &Node, key: &str, revision: u64, why: &str) {
    node.metrics.event("entry unreadable");
    node.trace.line("entry unreadable", || json!({ "key": key, "revision": revision, "why": why }));
}

/// Follows the workers' entries while this daemon owns a pool.
pub async fn workers(node: Rc<Node>) {
    loop {
        if node.owners.borrow().is_empty() {
            node.workers_loaded.set(false);
            node.changed.notified().await;
            continue;
        }
        let (target, wanted) = (node.clone(), node.clone());
        let is_wanted = move || !wanted.owners.borrow().is_empty();
        let apply = move |update: Update| {
            match update {
                Update::All(items) => {
                    target.listed_workers.borrow_mut().clear();
                    for item in items {
                        update_worker(&target, &item.key, Some(&item.value), item.revision);
                    }
                    target.workers_loaded.set(true);
                }
                Update::Change(event) => {
                    update_worker(&target, &event.key, event.value.as_deref(), event.revision);
                }
                Update::KnownUntil(..) => return,
            }
            for owner in target.owners.borrow().values() {
                owner.list_changed.set(true);
                owner.wake.notify_one();
            }
        };
        let expecting = node.clone();
        let batch_pause = move || {
            let is_expecting = clock::now() < expecting.workers_expected_until.get();
            if is_expecting { WORKER_BATCH_PAUSE_EXPECTING } else { WORKER_BATCH_PAUSE }
        };
        let prefix = worker::PREFIX.to_owned();
        follow(node.clone(), prefix, Recovery::Watch, None, batch_pause, is_wanted, apply).await;
    }
}

/// Updates or removes a worker by its entry. One that can't be decoded names no worker:
/// nothing new is sent there, and its running tasks are kept by their lease, as for any
/// worker that is no longer listed.
fn update_worker(node: &Rc<Node>, key: &str, value: Option<&[u8]>, revision: u64) {
    let id = key.strip_prefix(worker::PREFIX).unwrap_or(key);
    let listed = value.and_then(|value| match worker::parse_entry(key, value, revision) {
        Ok(listed) => Some(listed),
        Err(error) => {
            log_unreadable(node, key, revision, &error.to_string());
            None
        }
    });
    match listed {
        Some(listed) => drop(node.listed_workers.borrow_mut().insert(id.to_owned(), listed)),
        None if node.listed_workers.borrow_mut().remove(id).is_some() => {
            node.trace.line("worker unlisted", || json!({ "worker": id, "revision": revision }));
        }
        None => {}
    }
}
