//! The surroundings of a case: store, daemons, runners and clients, all on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use corianderfork_adapter_standin::store::Store;
use corianderfork_adapter_standin::{fleet, listener};
use corianderfork_standins::connections::Connections;
use corianderfork_standins::http::Server;
use serde_json::{Value, json};

use crate::daemon::{Daemon, Platform};
use crate::http::call;
use crate::record::Record;
use crate::runner::{Runner, Seen};

/// How long clients wait for a response (`Deadline-Ms` of the users' clients).
pub const DEADLINE: Duration = Duration::from_secs(3);

/// A small deployment.
pub struct Setup {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub seen: Arc<Seen>,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<Arc<Runner>>,
    /// The store's servers: the present one, and one before it.
    servers: Vec<Server>,
    work: PathBuf,
}

impl Setup {
    /// Starts the store, `daemons` daemons, and the runners of each service; waits until the daemons
    /// are ready. Returns an error if they don't get ready.
    pub fn start(
        record: Arc<Record>,
        root: &Path,
        daemons: usize,
        services: &[(&str, usize)],
    ) -> Result<Self, String> {
        let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&work).map_err(|error| error.to_string())?;
        let (store, seen) = (Arc::new(Store::default()), Arc::new(Seen::default()));
        let connections = Arc::new(Connections::default());
        let server = Server::start(listener(), 4_096, connections, store.clone())
            .map_err(|error| error.to_string())?;
        let platform = Platform { store: server.address(), fleet: String::new(), orders_per_s: 64 };
        configure(&store, 1, services);
        let mut runners = Vec::new();
        for (service, count) in services {
            for number in 0..*count {
                let id = format!("i-{}-{number}", service.replace('/', "."));
                runners.push(Runner::start(&id, service, 64_000, &store, &record, &seen));
            }
        }
        let names = (0..daemons).map(|number| format!("front-kolkata-hall-{number}"));
        let mut daemons: Vec<Daemon> =
            names.map(|name| Daemon::new(root, &work, &name, &platform)).collect();
        daemons.iter_mut().for_each(Daemon::start);
        let until = Instant::now() + Duration::from_secs(15);
        for daemon in &daemons {
            let is_ready = || {
                let answer = call(daemon.readiness, "GET", "/api/ready", "", DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            };
            while !is_ready() {
                if Instant::now() > until {
                    return Err(format!("{} isn't ready", daemon.name));
                }
                sleep(Duration::from_millis(50));
            }
        }
        // Each service gets an owner, which hears from the runners.
        sleep(Duration::from_millis(1_500));
        Ok(Self { record, store, seen, daemons, runners, servers: vec![server], work })
    }

    /// Serves the same store at a new address beside the old one. Returns both.
    pub fn open_new_address(&mut self) -> Result<(SocketAddr, SocketAddr), String> {
        let connections = Arc::new(Connections::default());
        let server = Server::start(listener(), 4_096, connections, self.store.clone())
            .map_err(|error| error.to_string())?;
        let old = self.servers[0].address();
        let new = server.address();
        self.servers.push(server);
        Ok((old, new))
    }

    /// Ends the store's first address.
    pub fn close_old_address(&self) {
        self.servers[0].close();
    }

    /// Sends a client's request to a daemon.
    pub fn ask(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let daemon = &self.daemons[daemon % self.daemons.len()];
        let answer = call(daemon.callers, method, path, body, DEADLINE);
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!("{method} {path} at {} -> {shown}", daemon.name));
        answer
    }

    /// Hands a job in, at up to four daemons as clients do. Returns whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, first: usize, job: &Value) -> bool {
        (first..first + 4).any(|daemon| {
            let answer = self.ask(daemon, "POST", &format!("/{queue}/{id}"), &job.to_string());
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    /// Returns the state of a job as the first daemon tells it, or else the last status; `None` if no
    /// daemon answers in time.
    pub fn state(&self, queue: &str, id: &str) -> Option<String> {
        let mut told = None;
        for daemon in 0..self.daemons.len() {
            let Some((status, body)) = self.ask(daemon, "GET", &format!("/{queue}/{id}"), "")
            else {
                continue;
            };
            let body: Value = serde_json::from_str(&body).unwrap_or_default();
            match (status, body["state"].as_str()) {
                (200, Some(state)) => return Some(state.to_owned()),
                _ => told = Some(format!("told with status {status}")),
            }
        }
        told
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
        let _ = std::fs::remove_dir_all(&self.work);
    }
}

/// Writes a configuration as the operator does: one queue for each service, named after it.
pub fn configure(store: &Store, version: u64, services: &[(&str, usize)]) {
    let route = |(service, _): &(&str, usize)| {
        let queue = service.replace('/', "-");
        json!({ "name": queue, "host": "h.example", "prefix": format!("/{queue}/"), "type": "unsafe",
            "timeout_ms": 3_000, "target_duration_ms": 600, "priority": 0, "service": service,
            "attempts": 4, "stretch": 1.6 })
    };
    let service = |(name, _): &(&str, usize)| json!({ "name": name, "enforces_capacity": false });
    let config = json!({ "version": version, "routes": services.iter().map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": { "max_body_bytes": 262_144 } });
    fleet::write_json(store, "op/config", &config);
}

/// Returns a job of one step.
pub fn job(count: u32, cpu: u32, millis: u64) -> Value {
    json!({ "spec": millis.to_string(),
        "steps": [{ "count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": millis }] })
}
