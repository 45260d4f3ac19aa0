//! Follows keys of the store: a read of all, then what changes.

use std::collections::btree_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::config;
use corianderfork_adapter::store::{Event, Item, Watched};
use corianderfork_adapter::worker;
use corianderfork_model::Time;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::clock;
use crate::duty::{self, DUTIES, MEMBERS};
use crate::node::Node;
use crate::owner::ms;
use crate::placement::{self, QUEUES};
use crate::store::Error;

/// How long a watch waits. Its end is what shows that it still works: one whose
/// connection went silent is noticed after this and the time for an answer, well
/// inside the two seconds in which a configuration has to be in force.
const WAIT: Duration = Duration::from_millis(900);
/// How long changes of workers' entries are gathered. Each heartbeat of each
/// worker is one, some 30 a second on a site of 49: read one by one they were
/// nine in ten of all calls to the store.
const BEATS: Duration = Duration::from_millis(200);
/// The same while workers are expected: each waits to be seen for half of this on
/// the average, and so does the work that it was sent for.
const BEATS_EXPECTING: Duration = Duration::from_millis(40);
/// The pause after the store didn't answer.
const PAUSE: Duration = Duration::from_millis(150);

/// News of followed keys.
pub enum News {
    /// All keys there are.
    All(Vec<Item>),
    /// One change.
    Change(Event),
    /// All that was written before this moment has been told.
    Upto(Time),
}

/// Follows the keys with `prefix` for as long as `is_wanted`. After changes it
/// waits for as long as `together` says, so that what comes meanwhile is read in one call.
pub async fn follow(
    node: Rc<Node>,
    prefix: String,
    together: impl Fn() -> Duration,
    is_wanted: impl Fn() -> bool,
    mut learn: impl FnMut(News),
) {
    while is_wanted() {
        let asked = clock::now();
        let (items, mut after) = match node.store.range(&prefix).await {
            Ok(read) => read,
            Err(error) => {
                log_failed_read(&node, &prefix, "range", asked, &error);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        learn(News::All(items));
        learn(News::Upto(asked));
        while is_wanted() {
            let asked = clock::now();
            match node.store.watch(&prefix, after, WAIT).await {
                Ok(Watched::Events(events, revision)) => {
                    let is_news = !events.is_empty();
                    for event in events {
                        learn(News::Change(event));
                    }
                    learn(News::Upto(asked));
                    after = after.max(revision);
                    if is_news {
                        tokio::time::sleep(together()).await;
                    }
                }
                Ok(Watched::Compacted) => {
                    node.trace.line("history lost", json!({ "prefix": prefix, "after": after }));
                    break;
                }
                Err(error) => {
                    log_failed_read(&node, &prefix, "watch", asked, &error);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// Counts and logs a failed read of the followed keys, with the time since it started.
fn log_failed_read(node: &Node, prefix: &str, call: &'static str, asked: Time, error: &Error) {
    node.metrics.event("read failed");
    node.trace.line(
        "read failed",
        json!({ "prefix": prefix, "call": call, "took_ms": ms(clock::now() - asked),
            "why": error.to_string() }),
    );
}

/// Follows what operators write.
pub async fn operators(node: Rc<Node>) {
    let learner = node.clone();
    let learn = move |news: News| match news {
        News::All(items) => {
            for item in items {
                operators_key(&learner, &item.key, &item.value, item.revision);
            }
        }
        News::Change(event) => {
            if let Some(value) = event.value {
                operators_key(&learner, &event.key, &value, event.revision);
            }
        }
        News::Upto(_) => {}
    };
    follow(node, config::PREFIX.to_owned(), || Duration::ZERO, || true, learn).await;
}

fn operators_key(node: &Rc<Node>, key: &str, value: &[u8], revision: u64) {
    if key == config::KEY {
        match config::parse(value) {
            Ok(config) => node.set_config(config, value.len()),
            Err(error) => unreadable(node, key, revision, &error.to_string()),
        }
    } else if key.starts_with(config::WAVES) {
        match config::wave(value) {
            Ok(wave) => {
                let mut waves = node.waves.borrow_mut();
                let number = wave.number;
                if let Entry::Vacant(entry) = waves.entry(number) {
                    let count = wave.vms.len();
                    node.trace.key("wave asked for", json!({ "wave": number, "vms": count }));
                    entry.insert((wave, clock::now()));
                }
            }
            Err(error) => unreadable(node, key, revision, &error.to_string()),
        }
    }
}

/// Follows members, duties and queues' records.
pub async fn entries(node: Rc<Node>) {
    let learner = node.clone();
    let learn = move |news: News| {
        match news {
            News::All(items) => {
                let there = |key: String| items.iter().any(|item| item.key == key);
                let mut table = learner.table.borrow_mut();
                table.members.retain(|name, _| there(format!("{MEMBERS}{name}")));
                table.duties.retain(|name, _| there(format!("{DUTIES}{name}")));
                // Queues' records stay: this reading may have been sent before a job
                // was accepted here, and one that is gone shows in the next write.
                drop(table);
                for item in items {
                    put(&learner, &item.key, Some(&item.value), item.revision);
                }
            }
            News::Change(event) => {
                let value = event.value.as_deref();
                put(&learner, &event.key, value, event.revision);
                learner.trace.line(
                    "duty or member changed",
                    json!({ "key": event.key, "revision": event.revision, "there": value.is_some() }),
                );
            }
            News::Upto(at) => return learner.duties_known.set(at),
        }
        learner.changed.notify_waiters();
    };
    follow(node, duty::PREFIX.to_owned(), || Duration::ZERO, || true, learn).await;
}

fn put(node: &Rc<Node>, key: &str, value: Option<&[u8]>, revision: u64) {
    let mut table = node.table.borrow_mut();
    if let Some(name) = key.strip_prefix(MEMBERS) {
        match value.and_then(|value| readable::<duty::Member>(node, key, value, revision)) {
            Some(mut member) => {
                let known = table.members.get(name).filter(|known| known.boot == member.boot);
                member.seen = known.map_or_else(clock::now, |known| known.seen);
                member.revision = revision;
                table.members.insert(name.to_owned(), member);
            }
            None => drop(table.members.remove(name)),
        }
    } else if let Some(name) = key.strip_prefix(DUTIES) {
        // A record that can't be read names no holder: who takes the duty writes
        // over it.
        let holder = value.and_then(|value| readable(node, key, value, revision));
        let revision = if value.is_some() { revision } else { 0 };
        let record = duty::Record { holder: holder.unwrap_or_default(), revision };
        table.put_duty(clock::now(), name, record);
    } else if let Some(name) = key.strip_prefix(QUEUES) {
        // No daemon removes one: without it, nobody knows where the jobs are.
        let removed = placement::Entry::Damaged { revision: 0 };
        let entry = value.map_or(removed, |value| placement::Entry::read(value, revision));
        if value.is_some() && entry.pools().is_empty() {
            unreadable(node, key, revision, "the queue's pools aren't known until it is written");
        }
        table.learn(name, entry);
    }
}

/// Reads an entry; one that can't be read is told and counts as none.
fn readable<T: DeserializeOwned>(node: &Node, key: &str, value: &[u8], revision: u64) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            unreadable(node, key, revision, &error.to_string());
            None
        }
    }
}

/// Tells of an entry that can't be read. The log bounds how many such lines
/// there are.
fn unreadable(node: &Node, key: &str, revision: u64, why: &str) {
    node.metrics.event("entry unreadable");
    node.trace.line("entry unreadable", json!({ "key": key, "revision": revision, "why": why }));
}

/// Follows workers while this daemon owns the work of a pool.
pub async fn workers(node: Rc<Node>) {
    loop {
        if node.owners.borrow().is_empty() {
            node.servers_known.set(false);
            node.changed.notified().await;
            continue;
        }
        let (learner, wanted) = (node.clone(), node.clone());
        let is_wanted = move || !wanted.owners.borrow().is_empty();
        let learn = move |news: News| {
            match news {
                News::All(items) => {
                    learner.servers.borrow_mut().clear();
                    for item in items {
                        put_worker(&learner, &item.key, Some(&item.value), item.revision);
                    }
                    learner.servers_known.set(true);
                }
                News::Change(event) => {
                    put_worker(&learner, &event.key, event.value.as_deref(), event.revision);
                }
                News::Upto(_) => return,
            }
            for owner in learner.owners.borrow().values() {
                owner.list_changed.set(true);
                owner.wake.notify_one();
            }
        };
        let expecting = node.clone();
        let together = move || {
            let is_expecting = clock::now() < expecting.expects_until.get();
            if is_expecting { BEATS_EXPECTING } else { BEATS }
        };
        follow(node.clone(), worker::PREFIX.to_owned(), together, is_wanted, learn).await;
    }
}

/// Takes in a worker's entry, or that there is none. One that can't be read
/// names no worker: nothing new is sent there, and what runs there is kept by
/// its lease as for any worker that is no longer listed.
fn put_worker(node: &Rc<Node>, key: &str, value: Option<&[u8]>, revision: u64) {
    let id = key.strip_prefix(worker::PREFIX).unwrap_or(key);
    let listed = value.and_then(|value| match worker::listed(key, value, revision) {
        Ok(listed) => Some(listed),
        Err(error) => {
            unreadable(node, key, revision, &error.to_string());
            None
        }
    });
    match listed {
        Some(listed) => drop(node.servers.borrow_mut().insert(id.to_owned(), listed)),
        None if node.servers.borrow_mut().remove(id).is_some() => {
            node.trace.line("worker unlisted", json!({ "worker": id, "revision": revision }));
        }
        None => {}
    }
}
