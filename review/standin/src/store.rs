//! The platform's metadata store (PROTOCOL.md, "The platform's metadata store").

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    /// Rejects calls with 503.
    Busy,
    /// Answers nothing.
    Silent,
    /// Resets connections.
    Reset,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    mode: Mode,
    down_since: Option<Instant>,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 text with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn row(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "revision": item.revision,
        "created_rev": item.created, "lease": item.lease })
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    /// Ends leases. While the store is down, leases pause.
    fn expire(&mut self) {
        if self.mode != Mode::Up {
            return;
        }
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.until > now);
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.revision += 1;
            let revision = self.revision;
            self.remove(&key, revision);
        }
    }
}

impl Store {
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        if mode == Mode::Up
            && let Some(since) = state.down_since.take()
        {
            for lease in state.leases.values_mut() {
                lease.until += since.elapsed();
            }
        } else if mode != Mode::Up {
            state.down_since.get_or_insert_with(Instant::now);
        }
        state.mode = mode;
        drop(state);
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a runner does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, encode(value.to_string().as_bytes()), 0, revision);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns a value as text.
    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let value = &state.items.get(key)?.value;
        let digit = |c: u8| DIGITS.iter().position(|d| *d == c).map(|d| d as u32);
        let mut bytes = Vec::new();
        for chunk in value.as_bytes().chunks(4) {
            let word = chunk.iter().fold(0, |word, c| word << 6 | digit(*c).unwrap_or(0));
            let kept = chunk.iter().filter(|c| **c != b'=').count().saturating_sub(1);
            bytes.extend_from_slice(&word.to_be_bytes()[1..=kept]);
        }
        String::from_utf8(bytes).ok()
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        drop(state);
        self.changed.notify_all();
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let mode = self.state.lock().unwrap().mode;
        match mode {
            Mode::Up => {}
            Mode::Busy => return Reply::Answer(503, json!({})),
            Mode::Silent => return Reply::Silent,
            Mode::Reset => return Reply::Reset,
        }
        // The usual time of an answer.
        std::thread::sleep(Duration::from_millis(4));
        let id = request.path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        match request.path.as_str() {
            "/api/kv-key" => self.get(request),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.txn(&request.json()),
            "/api/kv-lease" => {
                let ttl = Duration::from_millis(request.json()["ttl_ms"].as_u64().unwrap_or(1_000));
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, Lease { ttl, until: Instant::now() + ttl });
                Reply::Answer(200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
            }
            path if path.starts_with("/api/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        Reply::Answer(200, json!({}))
                    }
                    None => Reply::Answer(404, json!({})),
                }
            }
            path if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                state.leases.remove(&id);
                state.expire();
                drop(state);
                self.changed.notify_all();
                Reply::Answer(200, json!({}))
            }
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let key = request.param("key");
        match state.items.get(key) {
            Some(item) => {
                let mut value = row(key, item);
                value["store_revision"] = json!(state.revision);
                Reply::Answer(200, value)
            }
            None => Reply::Answer(404, json!({ "store_revision": state.revision })),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let mut items: Vec<Value> = state
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(501)
            .map(|(key, item)| row(key, item))
            .collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        let body =
            json!({ "items": items, "has_more": has_more, "store_revision": state.revision });
        Reply::Answer(200, body)
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.param("prefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            if state.mode != Mode::Up {
                return Reply::Reset;
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => json!({ "key": key, "revision": revision, "tombstone": true }),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "store_revision": state.revision });
                return Reply::Answer(200, body);
            }
            let step = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }

    fn txn(&self, txn: &Value) -> Reply {
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let (expect, set, remove) = (rows("expect_rev"), rows("set_keys"), rows("remove"));
        let mut state = self.state.lock().unwrap();
        state.expire();
        if expect.len() + set.len() + remove.len() > 32 {
            return Reply::Answer(400, json!({}));
        }
        let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let is_met = |row: &Value| {
            let known = state.items.get(&key(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64().unwrap_or(0) == known
        };
        if !expect.iter().all(is_met) {
            let items: Vec<Value> = expect
                .iter()
                .filter_map(|e| state.items.get(&key(e)).map(|item| row(&key(e), item)))
                .collect();
            return Reply::Answer(412, json!({ "items": items }));
        }
        let has_lease = |row: &Value| {
            let lease = row["lease"].as_u64().unwrap_or(0);
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !set.iter().all(has_lease) {
            return Reply::Answer(404, json!({}));
        }
        state.revision += 1;
        let revision = state.revision;
        for entry in &set {
            let value = entry["value"].as_str().unwrap_or_default().to_owned();
            state.put(&key(entry), value, entry["lease"].as_u64().unwrap_or(0), revision);
        }
        for entry in &remove {
            state.remove(entry.as_str().unwrap_or_default(), revision);
        }
        drop(state);
        self.changed.notify_all();
        Reply::Answer(200, json!({ "revision": revision }))
    }
}
