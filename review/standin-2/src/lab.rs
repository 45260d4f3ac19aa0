//! A small deployment on loopback: store, machines, entry daemons, clients.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::daemon::{Daemon, Platform};
use crate::http::{call, serve};
use crate::store::Store;
use crate::world::World;

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/q/";
pub const SERVICE: &str = "desk";
pub const SPARE: &str = "portal";

pub struct Lab {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
}

impl Lab {
    /// Starts the platform, `machines` machines with a runner each, and `daemons` daemons.
    pub fn start(
        dir: &Path,
        daemons: usize,
        machines: usize,
        attempts: u64,
    ) -> std::io::Result<Self> {
        Self::start_with(dir, daemons, machines, 0, attempts)
    }

    /// The same with `spares` machines in a spare pool, which are off.
    pub fn start_with(
        dir: &Path,
        daemons: usize,
        machines: usize,
        spares: usize,
        attempts: u64,
    ) -> std::io::Result<Self> {
        std::fs::create_dir_all(dir)?;
        let store = Arc::new(Store::default());
        let world = World::new(store.clone());
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (stores, fleets, advices) = (bind()?, bind()?, bind()?);
        let platform = Platform {
            store: stores.local_addr()?,
            fleet: fleets.local_addr()?,
            advice: advices.local_addr()?,
        };
        let served = store.clone();
        serve(stores, Arc::new(move |request| served.serve(request)));
        let fleet = world.clone();
        serve(fleets, Arc::new(move |request| fleet.serve_fleet(request)));
        let advice = world.clone();
        serve(advices, Arc::new(move |request| advice.serve_advice(request)));
        store.put("op/config", &config(attempts, spares > 0, false));
        for index in 0..spares {
            world.add_spare(&format!("s-{index}"), SPARE);
        }
        for index in 0..machines {
            world.add_machine(&format!("m-{index}"), SERVICE, &format!("r1-{}", index / 4), 16_000);
        }
        let daemons: std::io::Result<Vec<Daemon>> =
            (0..daemons).map(|number| Daemon::prepare(dir, number, &platform)).collect();
        let mut lab = Self { world, store, daemons: daemons? };
        for daemon in &mut lab.daemons {
            daemon.start()?;
        }
        Ok(lab)
    }

    /// Waits until the pool has an owner.
    pub fn await_owner(&self, within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let record = self.store.value(&format!("entry/duty/{SERVICE}"));
            let name = record.and_then(|record| record["name"].as_str().map(str::to_owned));
            if let Some(name) = name.filter(|name| !name.is_empty()) {
                return Some(name);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Sends a request as a client does: to one daemon, then to others.
    pub fn ask(&self, first: usize, method: &str, id: &str, body: &str) -> Vec<Option<u16>> {
        self.ask_for(first, method, id, body).0
    }

    pub fn ask_for(
        &self,
        first: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> (Vec<Option<u16>>, Option<Value>) {
        let mut answers = Vec::new();
        for attempt in 0..5 {
            let daemon = &self.daemons[(first + attempt) % self.daemons.len()];
            let path = format!("{PREFIX}{id}");
            let within = Duration::from_millis(3_000);
            let answer = call(daemon.callers, method, &path, HOST, body, within);
            let status = answer.as_ref().map(|(status, _)| *status);
            answers.push(status);
            if status.is_some_and(|status| status < 500 && status != 429) {
                let body = answer.and_then(|(_, body)| serde_json::from_str(&body).ok());
                return (answers, body);
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        (answers, None)
    }

    /// Submits a job. Returns whether it was accepted.
    pub fn submit(&self, first: usize, id: &str, job: &Value) -> bool {
        self.world.lock().jobs.insert(id.to_owned(), job.clone());
        let mut sent = job.clone();
        if let Some(fields) = sent.as_object_mut() {
            fields.remove("due_ms");
        }
        let answers = self.ask(first, "POST", id, &sent.to_string());
        self.world.note(format!("POST {id}: {answers:?}"));
        answers.last().is_some_and(|status| *status == Some(200))
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.daemons.clear();
    }
}

pub fn config(attempts: u64, has_spare: bool, has_advice: bool) -> Value {
    let mut services = vec![json!({ "name": SERVICE, "enforces_capacity": false })];
    if has_spare {
        services.push(json!({ "name": SPARE, "enforces_capacity": false, "spare": true }));
    }
    let mut route = json!({ "name": "q", "host": HOST, "prefix": PREFIX, "service": SERVICE,
        "priority": 0, "attempts": attempts, "stretch": 1.6, "target_duration_ms": 1000 });
    if has_advice {
        route["advice"] = json!({ "decide_ms": 100, "each_ms": 2, "valid_ms": 4000 });
    }
    let version = 1 + u64::from(has_advice);
    json!({ "version": version, "routes": [route], "services": services, "limits": {} })
}
