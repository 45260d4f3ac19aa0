//! The platform's HTTP, with switches for its failures.

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

const TICK: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: usize = 1024;
const MAX_WAIT_MS: u64 = 60_000;
const HISTORY: usize = 10_000;

/// How the platform behaves.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// How long a VM's reboot takes.
    pub reboot_ms: u64,
    /// How late the list of VMs is.
    pub list_lag_ms: u64,
    /// How late usage reports are.
    pub usage_lag_ms: u64,
    /// VMs that are live from the start.
    pub vms: Vec<String>,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    fleet: Fleet,
    faults: Switches,
    stats: Stats,
}

/// The platform as a service.
#[derive(Debug)]
pub struct Platform {
    inner: Mutex<Inner>,
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
    let inner = Mutex::new(Inner { store: Store::new(HISTORY), fleet, faults, stats });
    let platform = Arc::new(Platform {
        inner,
        changed: Condvar::new(),
        connections: connections.clone(),
        usage_lag_ms: config.usage_lag_ms,
    });
    let ticking = platform.clone();
    spawn(move || {
        loop {
            drop(ticking.lock());
            thread::sleep(TICK);
        }
    });
    Server::start(listener, MAX_CONNECTIONS, connections, platform)
}

impl Service for Platform {
    fn call(&self, request: &Request) -> Reply {
        if request.path.starts_with("/_") {
            return Reply::Whole(self.own(request).unwrap_or_else(bad_request));
        }
        let slow = self.count(request);
        if slow > 0 {
            thread::sleep(Duration::from_millis(slow));
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/watch") => Ok(self.watch(request)),
            ("GET", path) => Ok(self.read(path, request)),
            (_, path) => self.write(path, &request.body),
        };
        let response = answer.unwrap_or_else(bad_request);
        if response.status == 200 && self.loses(request) {
            return Reply::Cut;
        }
        Reply::Whole(response)
    }
}

impl Platform {
    /// Locks the state with leases and reboots brought up to now.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = lock(&self.inner);
        let now = mono_ms();
        let before = inner.store.revision();
        inner.store.lapse(now);
        inner.fleet.tick(now);
        if inner.store.revision() != before {
            self.changed.notify_all();
        }
        inner
    }

    /// Counts a call, and gives the milliseconds to hold it back.
    fn count(&self, request: &Request) -> u64 {
        let mut inner = self.lock();
        inner.stats.count(request);
        inner.faults.slow_ms.unwrap_or(0)
    }

    /// Whether this write's answer is to be lost.
    fn loses(&self, request: &Request) -> bool {
        if !request.path.starts_with("/kv/") {
            return false;
        }
        let key = serde_json::from_slice::<Delete>(&request.body).map(|d| d.key);
        let mut inner = self.lock();
        let prefix = inner.faults.lose_prefix.clone().unwrap_or_default();
        let left = inner.faults.lose_answers.unwrap_or(0);
        let loses = left > 0 && key.is_ok_and(|k| k.starts_with(&prefix));
        if loses {
            inner.faults.lose_answers = Some(left - 1);
            inner.stats.lost_answers += 1;
        }
        loses
    }

    fn read(&self, path: &str, request: &Request) -> Response {
        let inner = self.lock();
        if inner.is_down() {
            return unavailable();
        }
        let lag = inner.faults.list_lag_ms.unwrap_or(0);
        let (tasks, mut vms) = inner.fleet.public(mono_ms(), lag);
        let body = match path {
            "/kv" => inner.kv(request),
            "/vms" => json!({ "vms": vms }),
            "/vms/one" => {
                let name = request.param("vm").unwrap_or_default();
                vms.retain(|vm| vm.name == name);
                json!({ "vms": vms })
            }
            "/tasks" => json!({ "tasks": tasks }),
            "/usage" => {
                let at_ms = unix_ms().saturating_sub(self.usage_lag_ms);
                json!({ "usage": inner.fleet.usage(at_ms) })
            }
            _ => return missing(),
        };
        Response::json(200, &body)
    }

    fn write(&self, path: &str, body: &[u8]) -> serde_json::Result<Response> {
        let mut inner = self.lock();
        if inner.is_down() {
            return Ok(unavailable());
        }
        let now = mono_ms();
        let done = |found: bool| if found { Response::json(200, &json!({})) } else { missing() };
        let response = match path {
            "/kv/put" => {
                let put: Put = serde_json::from_slice(body)?;
                let end = inner.store.put(&put.key, &put.value, put.expect, put.lease);
                if end.is_ok() {
                    inner.faults.written(&put.key);
                }
                written(end)
            }
            "/kv/delete" => {
                let delete: Delete = serde_json::from_slice(body)?;
                written(inner.store.delete(&delete.key, delete.expect))
            }
            "/lease" => {
                let ttl: Ttl = serde_json::from_slice(body)?;
                Response::json(200, &json!({ "lease": inner.store.grant(now, ttl.ttl_ms) }))
            }
            "/lease/renew" => {
                let id: LeaseId = serde_json::from_slice(body)?;
                done(inner.store.renew(now, id.lease).is_ok())
            }
            "/lease/revoke" => {
                let id: LeaseId = serde_json::from_slice(body)?;
                inner.store.revoke(id.lease);
                done(true)
            }
            _ => {
                let place: Place = serde_json::from_slice(body)?;
                match path {
                    "/vms/reboot" => done(inner.fleet.reboot(now, &place.vm)),
                    "/tasks/start" => done(inner.fleet.start(&place.vm, &place.service)),
                    "/tasks/stop" => done(inner.fleet.stop(&place.vm, &place.service)),
                    _ => missing(),
                }
            }
        };
        drop(inner);
        self.changed.notify_all();
        Ok(response)
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.number("after");
        let until = mono_ms() + request.number("wait_ms").min(MAX_WAIT_MS);
        let mut inner = self.lock();
        inner.stats.waiting += 1;
        let response = loop {
            if inner.is_down() {
                break unavailable();
            }
            let Ok(changes) = inner.store.changes(&prefix, after) else {
                break Response::json(410, &json!({ "error": "compacted; read the range again" }));
            };
            let left = until.saturating_sub(mono_ms());
            if !changes.is_empty() || left == 0 {
                let revision = inner.store.revision();
                break Response::json(200, &json!({ "revision": revision, "changes": changes }));
            }
            let waited = self.changed.wait_timeout(inner, Duration::from_millis(left));
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        inner.stats.waiting -= 1;
        response
    }

    /// The stand-in's own paths, which no failure touches.
    fn own(&self, request: &Request) -> serde_json::Result<Response> {
        let mut inner = self.lock();
        let body = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_stats") => inner.stats(),
            ("GET", "/_backend") => {
                json!({ "tasks": inner.fleet.tasks(), "vms": inner.fleet.vms(mono_ms(), 0) })
            }
            ("POST", "/_backend/state") => {
                let report: Task = serde_json::from_slice(&request.body)?;
                inner.fleet.report(report);
                json!({})
            }
            ("POST", "/_backend/usage") => {
                let reports: Reports = serde_json::from_slice(&request.body)?;
                inner.fleet.report_usage(reports.usage);
                json!({})
            }
            ("POST", "/_vms") => {
                let vms: Vms = serde_json::from_slice(&request.body)?;
                for vm in &vms.vms {
                    inner.fleet.set(mono_ms(), vm, vms.state.unwrap_or(State::Live));
                }
                json!({})
            }
            ("POST", "/_fault") => {
                inner.faults.change(serde_json::from_slice(&request.body)?);
                if inner.faults.silent.take() == Some(true) {
                    self.connections.silence();
                }
                json!({})
            }
            _ => return Ok(missing()),
        };
        drop(inner);
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
        let mut body = json!(self.stats.all);
        body["callers"] = json!(self.stats.callers);
        body["waiting"] = json!(self.stats.waiting);
        body["lost_answers"] = json!(self.stats.lost_answers);
        body["revision"] = json!(self.store.revision());
        body["boots"] = json!(self.fleet.boots());
        body
    }
}

fn written(result: Result<u64, Error>) -> Response {
    match result {
        Ok(revision) => Response::json(200, &json!({ "revision": revision })),
        Err(Error::Conflict(current)) => Response::json(409, &json!({ "current": current })),
        Err(Error::TooLarge) => Response::json(413, &json!({ "error": "value over 1 MiB" })),
        Err(Error::Lapsed | Error::Compacted) => missing(),
    }
}

fn unavailable() -> Response {
    Response::json(503, &json!({ "error": "down" }))
}

fn missing() -> Response {
    Response::json(404, &json!({ "error": "not found" }))
}

fn bad_request(e: serde_json::Error) -> Response {
    Response::json(400, &json!({ "error": e.to_string() }))
}
