//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};

const PAGE: usize = 500;

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

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    #[default]
    Up,
    /// Calls get 503; leases pause.
    Busy,
    /// Calls get no answer and aren't carried out; leases pause.
    Silent,
    /// A third of the writes is carried out and not answered.
    Lose,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    mode: Mode,
    down_since: Option<Instant>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
        self.revision = revision;
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
            self.revision = revision;
        }
    }

    fn expire(&mut self) {
        if matches!(self.mode, Mode::Busy | Mode::Silent) {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        let next = self.revision + 1;
        for key in keys {
            self.remove(&key, next);
        }
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "revision": item.revision,
        "created_rev": item.created, "lease": item.lease })
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire();
        state
    }

    /// Writes a key as the platform or the operator does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        let next = state.revision + 1;
        state.set(key, base64(value.to_string().as_bytes()), 0, next);
        drop(state);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        let next = state.revision + 1;
        state.remove(key, next);
        drop(state);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        serde_json::from_slice(&unbase64(&state.items.get(key)?.value)).ok()
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        if matches!(mode, Mode::Up | Mode::Lose) {
            if let Some(since) = state.down_since.take() {
                let down = since.elapsed();
                state.leases.values_mut().for_each(|lease| lease.until += down);
            }
        } else {
            state.down_since.get_or_insert_with(Instant::now);
        }
        state.mode = mode;
        drop(state);
        self.changed.notify_all();
    }

    pub fn serve(&self, request: &Request) -> Reply {
        let mode = self.lock().mode;
        match mode {
            Mode::Busy => return Reply::Json(503, json!({})),
            Mode::Silent => return Reply::Silent,
            Mode::Up => {}
            Mode::Lose => {
                let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let is_lost = nanos.unwrap_or_default().as_nanos() / 1_000 % 3 == 0;
                if request.method == "POST" && is_lost {
                    drop(self.carry_out(request));
                    return Reply::Silent;
                }
            }
        }
        self.carry_out(request)
    }

    fn carry_out(&self, request: &Request) -> Reply {
        let last = request.path.rsplit('/').next().unwrap_or_default().parse().unwrap_or(0);
        match request.path.as_str() {
            "/api/kv-key" => self.get(request),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.txn(request),
            "/api/kv-lease" => self.lease(request),
            path if path.starts_with("/api/kv-keep/") => {
                let mut state = self.lock();
                match state.leases.get_mut(&last) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        Reply::Json(200, json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
                    }
                    None => Reply::Json(404, json!({})),
                }
            }
            path if path.starts_with("/api/kv-lease-end/") => {
                self.lock().end(last);
                self.changed.notify_all();
                Reply::Json(200, json!({}))
            }
            _ => Reply::Json(404, json!({})),
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let state = self.lock();
        let key = request.param("key").unwrap_or_default();
        let mut answer = state.items.get(key).map(|item| row(key, item));
        let status = if answer.is_some() { 200 } else { 404 };
        let answer = answer.get_or_insert_with(|| json!({}));
        answer["store_revision"] = json!(state.revision);
        Reply::Json(status, answer.clone())
    }

    fn range(&self, request: &Request) -> Reply {
        let state = self.lock();
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.param("after").unwrap_or_default();
        let rows = state.items.range(prefix.to_owned()..);
        let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        let rows = rows.filter(|(key, _)| key.as_str() > after);
        let mut items: Vec<Value> = rows.take(PAGE + 1).map(|(k, i)| row(k, i)).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        let answer =
            json!({ "items": items, "has_more": has_more, "store_revision": state.revision });
        Reply::Json(200, answer)
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.param("prefix").unwrap_or_default();
        let number = |name| request.param(name).and_then(|n| n.parse().ok()).unwrap_or(0u64);
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.lock();
        loop {
            if matches!(state.mode, Mode::Busy | Mode::Silent) {
                return Reply::Cut;
            }
            let changes = state.history.iter().rev().take_while(|(r, ..)| *r > after);
            let changes = changes.filter(|(_, key, _)| key.starts_with(prefix));
            let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
                Some(item) => row(key, item),
                None => json!({ "key": key, "revision": revision, "tombstone": true }),
            };
            let mut events: Vec<Value> = changes.map(event).collect();
            events.reverse();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return Reply::Json(200, json!({ "events": events, "store_revision": revision }));
            }
            let step = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, step).expect("no panic").0;
            state.expire();
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let Ok(txn) = serde_json::from_slice::<Value>(&request.body) else {
            return Reply::Json(400, json!({}));
        };
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let (expect, set, remove) = (rows("expect_rev"), rows("set_keys"), rows("remove"));
        if expect.len() + set.len() + remove.len() > 32 {
            return Reply::Json(400, json!({}));
        }
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let differs = |row: &Value| {
            let there = state.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            there != row["revision"].as_u64().unwrap_or(0)
        };
        if expect.iter().any(differs) {
            let keys = expect.iter().map(|row| text(row, "key"));
            let items: Vec<Value> =
                keys.filter_map(|key| state.items.get(&key).map(|item| row(&key, item))).collect();
            return Reply::Json(412, json!({ "items": items }));
        }
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if set.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return Reply::Json(404, json!({}));
        }
        let next = state.revision + 1;
        for row in &set {
            state.set(&text(row, "key"), text(row, "value"), lease(row), next);
        }
        for key in remove {
            state.remove(key.as_str().unwrap_or_default(), next);
        }
        state.revision = next;
        drop(state);
        self.changed.notify_all();
        Reply::Json(200, json!({ "revision": next }))
    }

    fn lease(&self, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, Lease { ttl, until: Instant::now() + ttl });
        Reply::Json(200, json!({ "lease": lease, "ttl_ms": ttl_ms }))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { break };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
