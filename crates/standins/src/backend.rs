//! Many runners in one process, started and stopped as the platform requests.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{io, thread};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::behaviour::Behaviour;
use crate::clock::unix_ms;
use crate::connections::Connections;
use crate::fleet::{Phase, State, Task, Usage, Vm};
use crate::http::{Reply, Request, Response, Server, Service, lock, spawn};
use crate::ledger::Ledger;
use crate::runner::{Config, Handle, Status};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(2);
const USAGE_INTERVAL_MS: u64 = 1000;
const REPORTED_MEMORY_MIB: u64 = 512;
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// The VM and the service of a runner.
type Key = (String, String);

#[derive(Debug)]
struct Instance {
    handle: Handle,
    generation: u64,
    boots: u64,
}

/// The runners of this process.
#[derive(Debug)]
pub struct Host {
    config: Config,
    ledger: Arc<Ledger>,
    runners: Mutex<HashMap<Key, Instance>>,
    /// Replaced runners that still have requests in flight.
    closing: Mutex<Vec<Handle>>,
}

#[derive(Deserialize)]
struct Snapshot {
    tasks: Vec<Task>,
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Filter {
    vm: Option<String>,
    service: Option<String>,
}

impl Filter {
    fn matches(&self, (vm, service): &Key) -> bool {
        self.vm.as_ref().is_none_or(|v| v == vm)
            && self.service.as_ref().is_none_or(|s| s == service)
    }
}

impl Host {
    /// Creates a host without runners.
    pub fn new(config: Config) -> Arc<Self> {
        let (ledger, runners) = (Arc::default(), Mutex::default());
        Arc::new(Self { config, ledger, runners, closing: Mutex::default() })
    }

    /// Serves the admin paths on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn serve_admin(self: &Arc<Self>, listener: TcpListener) -> io::Result<Server> {
        let connections = Arc::new(Connections::default());
        Server::start(listener, MAX_ADMIN_CONNECTIONS, connections, self.clone())
    }

    /// Starts a runner that no platform requested.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn open(&self, vm: &str, service: &str) -> io::Result<SocketAddr> {
        self.start(vm, service, 0, 0)
    }

    /// Starts a thread that follows the tasks of the platform at `address` until
    /// the process ends.
    pub fn follow(self: &Arc<Self>, address: SocketAddr) {
        let host = self.clone();
        spawn(move || {
            let platform = Platform::new(address);
            let mut measured_ms = unix_ms();
            loop {
                if let Some(snapshot) = platform.snapshot() {
                    host.reconcile(&platform, &snapshot);
                }
                let now = unix_ms();
                if now >= measured_ms + USAGE_INTERVAL_MS {
                    platform
                        .post("/_backend/usage", &json!({ "usage": host.usage(now, measured_ms) }));
                    measured_ms = now;
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
    }

    fn start(
        &self,
        vm: &str,
        service: &str,
        generation: u64,
        boots: u64,
    ) -> io::Result<SocketAddr> {
        let handle = Handle::start(vm, service, &self.config, self.ledger.clone())?;
        let address = handle.address();
        let instance = Instance { handle, generation, boots };
        lock(&self.runners).insert((vm.to_owned(), service.to_owned()), instance);
        Ok(address)
    }

    /// Starts and stops runners to match the platform's tasks. Compares the whole
    /// snapshot each time, so that the next poll makes up for a lost report.
    fn reconcile(&self, platform: &Platform, snapshot: &Snapshot) {
        let tasks: HashMap<_, _> =
            snapshot.tasks.iter().map(|t| ((t.vm.clone(), t.service.clone()), t)).collect();
        let vms: HashMap<_, _> = snapshot.vms.iter().map(|vm| (vm.name.as_str(), vm)).collect();
        self.stop_outdated(&tasks, &vms);
        for (key, task) in &tasks {
            let runners = lock(&self.runners);
            let Some(instance) = runners.get(key) else {
                drop(runners);
                self.start_task(platform, task, &vms);
                continue;
            };
            let address = instance.handle.address().to_string();
            let state = match task.state {
                Phase::Stopping => {
                    instance.handle.leave();
                    if instance.handle.try_close() { Phase::Stopped } else { Phase::Stopping }
                }
                _ if instance.handle.is_warm() => Phase::Running,
                _ => Phase::Starting,
            };
            drop(runners);
            if state == Phase::Stopped {
                lock(&self.runners).remove(key);
            }
            if state != task.state || address != task.address {
                platform.report(task, state, address);
            }
        }
    }

    /// Stops the runners of an earlier boot of their VM or an earlier start of
    /// their task.
    fn stop_outdated(&self, tasks: &HashMap<Key, &Task>, vms: &HashMap<&str, &Vm>) {
        let mut closing = lock(&self.closing);
        closing.retain(|handle| !handle.try_close());
        let mut runners = lock(&self.runners);
        let outdated = |(key, instance): (&Key, &Instance)| {
            let rebooted = vms.get(key.0.as_str()).is_none_or(|vm| vm.boots != instance.boots);
            let replaced = tasks.get(key).is_none_or(|t| t.generation != instance.generation);
            (rebooted || replaced).then(|| (key.clone(), rebooted))
        };
        let outdated: Vec<_> = runners.iter().filter_map(outdated).collect();
        for (key, rebooted) in outdated {
            let Some(instance) = runners.remove(&key) else { continue };
            if rebooted {
                instance.handle.cut();
            } else {
                instance.handle.leave();
                closing.push(instance.handle);
            }
        }
    }

    fn start_task(&self, platform: &Platform, task: &Task, vms: &HashMap<&str, &Vm>) {
        let Some(vm) = vms.get(task.vm.as_str()) else { return };
        if task.state == Phase::Stopping {
            platform.report(task, Phase::Stopped, String::new());
        } else if vm.state == State::Live {
            let address = self.start(&task.vm, &task.service, task.generation, vm.boots);
            if let Ok(address) = address {
                platform.report(task, Phase::Starting, address.to_string());
            }
        }
    }

    fn usage(&self, now: u64, since: u64) -> Vec<Usage> {
        let span = (now - since) as f64;
        let measure = |((vm, service), instance): (&Key, &Instance)| Usage {
            vm: vm.clone(),
            service: service.clone(),
            milli_cores: (instance.handle.take_busy_ms() / span * 1000.0) as u64,
            memory_mib: REPORTED_MEMORY_MIB,
            at_ms: now,
        };
        lock(&self.runners).iter().map(measure).collect()
    }

    fn admin(&self, request: &Request) -> serde_json::Result<Response> {
        if request.method == "GET" {
            return Ok(match request.path.as_str() {
                "/_runs" => Response::json(200, &self.ledger.runs()),
                "/_runners" => {
                    let runners = lock(&self.runners);
                    let statuses: Vec<Status> =
                        runners.values().map(|instance| instance.handle.status()).collect();
                    Response::json(200, &json!({ "runners": statuses }))
                }
                _ => Response { status: 404, ..Response::default() },
            });
        }
        let filter: Filter = serde_json::from_slice(&request.body)?;
        let mut runners = lock(&self.runners);
        let keys: Vec<Key> = runners.keys().filter(|key| filter.matches(key)).cloned().collect();
        let matching = || keys.iter().filter_map(|key| runners.get(key));
        match request.path.as_str() {
            "/_behave" => {
                let behaviour: Behaviour = serde_json::from_slice(&request.body)?;
                matching().for_each(|instance| instance.handle.behave(behaviour));
            }
            "/_leave" => matching().for_each(|instance| instance.handle.leave()),
            "/_cut" => {
                matching().for_each(|instance| instance.handle.cut());
                keys.iter().for_each(|key| drop(runners.remove(key)));
            }
            _ => return Ok(Response { status: 404, ..Response::default() }),
        }
        Ok(Response::json(200, &json!({ "runners": keys.len() })))
    }
}

impl Service for Host {
    fn call(&self, request: &Request) -> Reply {
        let bad = |e: serde_json::Error| Response::json(400, &json!({ "error": e.to_string() }));
        Reply::Whole(self.admin(request).unwrap_or_else(bad))
    }
}

/// A client of the platform stand-in's `/_backend` paths.
struct Platform {
    agent: ureq::Agent,
    base: String,
}

impl Platform {
    fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT));
        Self { agent: config.build().into(), base: format!("http://{address}") }
    }

    fn snapshot(&self) -> Option<Snapshot> {
        let mut response = self.agent.get(format!("{}/_backend", self.base)).call().ok()?;
        serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
    }

    fn post(&self, path: &str, body: &impl Serialize) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        // The next poll makes up for a lost report.
        let result = self.agent.post(format!("{}{path}", self.base)).send(&body[..]);
        let _ = result.map(|mut response| response.body_mut().read_to_vec());
    }

    fn report(&self, task: &Task, state: Phase, address: String) {
        self.post("/_backend/state", &Task { state, address, ..task.clone() });
    }
}
