//! The platform's HTTP interface, with switchable faults.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::body::{Delete, LeaseId, Place, Put, Reports, Ttl, Vms};
use crate::clock::{mono_ms, unix_ms};
use crate::connections::Connections;
use crate::fleet::{Fleet, State, Task};
use crate::http::{Reply, Request, Response, Server, Service, lock, spawn};
use crate::store::{Error, Store};
use crate::switches::{Stats, Switches};
use crate::trace::{End, Trace, Watch};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: usize = 1024;
const MAX_WATCH_MS: u64 = 60_000;
const HISTORY_LIMIT: usize = 10_000;

/// The platform's settings.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The duration of a VM's reboot.
    pub reboot_ms: u64,
    /// How far the list of VMs lags.
    pub list_lag_ms: u64,
    /// How far usage reports lag.
    pub usage_lag_ms: u64,
    /// The VMs that are live from the start.
    pub vms: Vec<String>,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    fleet: Fleet,
    faults: Switches,
    stats: Stats,
    trace: Trace,
}

/// The platform's HTTP service.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<Inner>,
    changed: Condvar,
    connections: Arc<Connections>,
    usage_lag_ms: u64,
}

/// Serves a platform on `listener`.
///
/// # Errors
///
/// Fails if the listener's address can't be read.
pub fn start(listener: TcpListener, config: Config) -> io::Result<Server> {
    let connections = Arc::new(Connections::default());
    let mut fleet = Fleet::new(config.reboot_ms);
    for vm in &config.vms {
        fleet.set(0, vm, State::Live);
    }
    let faults = Switches { list_lag_ms: Some(config.list_lag_ms), ..Switches::default() };
    let stats = Stats::default();
    let store = Store::new(HISTORY_LIMIT);
    let trace = Trace::default();
    let state = Mutex::new(Inner { store, fleet, faults, stats, trace });
    let platform = Arc::new(Platform {
        state,
        changed: Condvar::new(),
        connections: connections.clone(),
        usage_lag_ms: config.usage_lag_ms,
    });
    let ticker = platform.clone();
    spawn(move || {
        loop {
            drop(ticker.lock());
            thread::sleep(TICK_INTERVAL);
        }
    });
    Server::start(listener, MAX_CONNECTIONS, connections, platform)
}

impl Service for Platform {
    fn call(&self, request: &Request) -> Reply {
        if request.path.starts_with("/_") {
            return Reply::Whole(self.control(request).unwrap_or_else(bad_request));
        }
        let delay_ms = self.count(request);
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        let result = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/watch") => Ok(self.watch(request)),
            ("GET", path) => Ok(self.read(path, request)),
            (_, path) => self.write(path, &request.body),
        };
        let response = result.unwrap_or_else(bad_request);
        if response.status == 200 && self.loses_response(request) {
            return Reply::Cut;
        }
        Reply::Whole(response)
    }
}

impl Platform {
    /// Locks the state after expiring leases and advancing reboots to the current
    /// time.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut state = lock(&self.state);
        let now = mono_ms();
        let before = state.store.revision();
        state.store.expire_leases(now);
        state.fleet.tick(now);
        if state.store.revision() != before {
            self.changed.notify_all();
        }
        state
    }

    /// Counts a call and returns the milliseconds by which to delay it.
    fn count(&self, request: &Request) -> u64 {
        let mut state = self.lock();
        state.stats.count(request);
        let watch_delay_ms = match request.path.as_str() {
            "/watch" => state.faults.watch_delay_ms.unwrap_or(0),
            _ => 0,
        };
        state.faults.slow_ms.unwrap_or(0) + watch_delay_ms
    }

    /// Returns whether to lose the response to this write, and counts the lost
    /// response.
    fn loses_response(&self, request: &Request) -> bool {
        if !request.path.starts_with("/kv/") {
            return false;
        }
        let key = serde_json::from_slice::<Delete>(&request.body).map(|d| d.key);
        let mut state = self.lock();
        let prefix = state.faults.lose_prefix.clone().unwrap_or_default();
        let remaining = state.faults.lose_answers.unwrap_or(0);
        let loses = remaining > 0 && key.is_ok_and(|k| k.starts_with(&prefix));
        if loses {
            state.faults.lose_answers = Some(remaining - 1);
            state.stats.lost_answers += 1;
        }
        loses
    }

    fn read(&self, path: &str, request: &Request) -> Response {
        let mut state = self.lock();
        if state.is_down() {
            return unavailable();
        }
        let lag = state.faults.list_lag_ms.unwrap_or(0);
        let (tasks, mut vms) = state.fleet.public(mono_ms(), lag);
        let body = match path {
            "/kv" => {
                if let Some(prefix) = request.param("prefix") {
                    let revision = state.store.revision();
                    state.trace.range(caller(request), prefix, revision);
                }
                state.kv(request)
            }
            "/vms" => json!({ "vms": vms }),
            "/vms/one" => {
                let name = request.param("vm").unwrap_or_default();
                vms.retain(|vm| vm.name == name);
                json!({ "vms": vms })
            }
            "/tasks" => json!({ "tasks": tasks }),
            "/usage" => {
                let at_ms = unix_ms().saturating_sub(self.usage_lag_ms);
                json!({ "usage": state.fleet.usage(at_ms) })
            }
            _ => return not_found(),
        };
        Response::json(200, &body)
    }

    fn write(&self, path: &str, body: &[u8]) -> serde_json::Result<Response> {
        let mut state = self.lock();
        if state.is_down() {
            return Ok(unavailable());
        }
        let now = mono_ms();
        let ok_if = |found: bool| if found { Response::json(200, &json!({})) } else { not_found() };
        let response = match path {
            "/kv/put" => {
                let put: Put = serde_json::from_slice(body)?;
                let result = state.store.put(&put.key, &put.value, put.expect, put.lease);
                if let Ok(revision) = result {
                    state.trace.write(&put.key, false, revision);
                    if state.faults.on_put(&put.key) {
                        state.trace.down(true, revision);
                    }
                }
                write_response(result)
            }
            "/kv/delete" => {
                let delete: Delete = serde_json::from_slice(body)?;
                let result = state.store.delete(&delete.key, delete.expect);
                if let Ok(revision) = result {
                    state.trace.write(&delete.key, true, revision);
                }
                write_response(result)
            }
            "/lease" => {
                let ttl: Ttl = serde_json::from_slice(body)?;
                Response::json(200, &json!({ "lease": state.store.grant(now, ttl.ttl_ms) }))
            }
            "/lease/renew" => {
                let id: LeaseId = serde_json::from_slice(body)?;
                ok_if(state.store.renew(now, id.lease).is_ok())
            }
            "/lease/revoke" => {
                let id: LeaseId = serde_json::from_slice(body)?;
                state.store.revoke(id.lease);
                ok_if(true)
            }
            _ => {
                let place: Place = serde_json::from_slice(body)?;
                match path {
                    "/vms/reboot" => ok_if(state.fleet.reboot(now, &place.vm)),
                    "/tasks/start" => ok_if(state.fleet.start(&place.vm, &place.service)),
                    "/tasks/stop" => ok_if(state.fleet.stop(&place.vm, &place.service)),
                    _ => not_found(),
                }
            }
        };
        drop(state);
        self.changed.notify_all();
        Ok(response)
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.number("after");
        let deadline = mono_ms() + request.number("wait_ms").min(MAX_WATCH_MS);
        let mut state = self.lock();
        state.stats.waiting += 1;
        let id =
            state.trace.start(Watch { caller: caller(request), prefix: prefix.clone(), after });
        let (response, end, unseen) = loop {
            let is_down = state.is_down();
            let Ok(changes) = state.store.changes(&prefix, after) else {
                if is_down {
                    break (unavailable(), End::Refused, 0);
                }
                let body = json!({ "error": "compacted; read the range again" });
                break (Response::json(410, &body), End::Compacted, 0);
            };
            if is_down {
                break (unavailable(), End::Refused, changes.len());
            }
            let remaining = deadline.saturating_sub(mono_ms());
            if !changes.is_empty() || remaining == 0 {
                let revision = state.store.revision();
                let end = if changes.is_empty() { End::Timeout } else { End::Changes };
                let body = json!({ "revision": revision, "changes": changes });
                break (Response::json(200, &body), end, 0);
            }
            let waited = self.changed.wait_timeout(state, Duration::from_millis(remaining));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        state.stats.waiting -= 1;
        let revision = state.store.revision();
        state.trace.end(id, end, revision, unseen);
        response
    }

    /// Handles the stand-in's own paths, which no fault affects.
    fn control(&self, request: &Request) -> serde_json::Result<Response> {
        let mut state = self.lock();
        let body = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_stats") => state.stats(),
            ("GET", "/_trace") => state.trace.events(),
            ("GET", "/_backend") => {
                json!({ "tasks": state.fleet.tasks(), "vms": state.fleet.vms(mono_ms(), 0) })
            }
            ("POST", "/_backend/state") => {
                let report: Task = serde_json::from_slice(&request.body)?;
                state.fleet.report(report);
                json!({})
            }
            ("POST", "/_backend/usage") => {
                let reports: Reports = serde_json::from_slice(&request.body)?;
                state.fleet.report_usage(reports.usage);
                json!({})
            }
            ("POST", "/_vms") => {
                let vms: Vms = serde_json::from_slice(&request.body)?;
                for vm in &vms.vms {
                    state.fleet.set(mono_ms(), vm, vms.state.unwrap_or(State::Live));
                }
                json!({})
            }
            ("POST", "/_fault") => {
                let was_down = state.is_down();
                state.faults.apply(serde_json::from_slice(&request.body)?);
                if state.is_down() != was_down {
                    let revision = state.store.revision();
                    state.trace.down(!was_down, revision);
                }
                if state.faults.silent.take() == Some(true) {
                    self.connections.silence();
                }
                json!({})
            }
            _ => return Ok(not_found()),
        };
        drop(state);
        self.changed.notify_all();
        Ok(Response::json(200, &body))
    }
}

impl Inner {
    fn is_down(&self) -> bool {
        self.faults.down == Some(true)
    }

    fn kv(&self, request: &Request) -> Value {
        let revision = self.store.revision();
        match request.param("prefix") {
            Some(prefix) => {
                json!({ "revision": revision, "entries": self.store.range(&prefix) })
            }
            None => {
                let key = request.param("key").unwrap_or_default();
                json!({ "revision": revision, "entry": self.store.get(&key) })
            }
        }
    }

    fn stats(&self) -> Value {
        let mut body = json!(self.stats.total);
        body["callers"] = json!(self.stats.callers);
        body["waiting"] = json!(self.stats.waiting);
        body["lost_answers"] = json!(self.stats.lost_answers);
        body["revision"] = json!(self.store.revision());
        body["boots"] = json!(self.fleet.boots());
        body
    }
}

fn caller(request: &Request) -> String {
    request.header("user-agent").unwrap_or_default().to_owned()
}

fn write_response(result: Result<u64, Error>) -> Response {
    match result {
        Ok(revision) => Response::json(200, &json!({ "revision": revision })),
        Err(Error::Conflict(current)) => Response::json(409, &json!({ "current": current })),
        Err(Error::TooLarge) => Response::json(413, &json!({ "error": "value over 1 MiB" })),
        Err(Error::LeaseExpired | Error::Compacted) => not_found(),
    }
}

fn unavailable() -> Response {
    Response::json(503, &json!({ "error": "down" }))
}

fn not_found() -> Response {
    Response::json(404, &json!({ "error": "not found" }))
}

fn bad_request(e: serde_json::Error) -> Response {
    Response::json(400, &json!({ "error": e.to_string() }))
}
