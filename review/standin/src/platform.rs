//! The machines, their runners' entries, and the service that lists, moves and maintains them
//! (PROTOCOL.md, "Machines" and "Service discovery").

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::daemons::Site;
use crate::http::{Reply, Request, serve};
use crate::ledger::Ledger;
use crate::runner::Runner;
use crate::store::Store;

pub const SPARE: &str = "spare";
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MOVE: Duration = Duration::from_millis(1_500);
/// Machines in a rack.
const RACK: usize = 4;

struct Machine {
    pool: String,
    rack: String,
    /// Its address, which all its runners have.
    address: SocketAddr,
    /// What answers at that address.
    slot: Arc<Mutex<Option<Arc<Runner>>>>,
    runner: Option<Arc<Runner>>,
    /// What it is until when, if it isn't up.
    away: Option<(&'static str, Instant)>,
    fence: u64,
}

pub struct Platform {
    pub store: Arc<Store>,
    pub ledger: Arc<Ledger>,
    ip: IpAddr,
    site: Site,
    machines: Mutex<BTreeMap<String, Machine>>,
    lives: Mutex<u64>,
    /// Entries of crashed runners, and when they are removed.
    stale: Mutex<Vec<(String, Instant)>>,
}

impl Platform {
    pub fn start(
        store: Arc<Store>,
        ledger: Arc<Ledger>,
        ip: IpAddr,
        site: Site,
        pool: &str,
        count: usize,
    ) -> Arc<Self> {
        let platform = Arc::new(Self {
            store,
            ledger,
            ip,
            site,
            machines: Mutex::default(),
            lives: Mutex::new(0),
            stale: Mutex::default(),
        });
        for number in 0..count {
            let name = format!("m{number}");
            let rack = format!("r{}", number / RACK);
            let listener = TcpListener::bind((platform.ip, 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            let slot: Arc<Mutex<Option<Arc<Runner>>>> = Arc::default();
            let current = slot.clone();
            let handler = move |request: &Request| {
                let runner = current.lock().unwrap().clone();
                runner.map_or(Reply::Reset, |runner| runner.handle(request))
            };
            serve(listener, Arc::new(handler));
            let pool = pool.to_owned();
            let mut machine =
                Machine { pool, rack, address, slot, runner: None, away: None, fence: 0 };
            platform.live(&name, &mut machine);
            platform.machines.lock().unwrap().insert(name, machine);
        }
        let beating = platform.clone();
        std::thread::spawn(move || {
            let mut sequence = 0;
            let mut beaten = Instant::now() - HEARTBEAT;
            loop {
                let is_beat = beaten.elapsed() >= HEARTBEAT;
                if is_beat {
                    sequence += 1;
                    beaten = Instant::now();
                }
                beating.tick(is_beat, sequence);
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        platform
    }

    /// Starts a new runner on a machine, with a new id.
    fn live(&self, name: &str, machine: &mut Machine) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let id = format!("i{:04}", *lives);
        let runner = Runner::new(id, name.to_owned(), machine.address, self.ledger.clone());
        *machine.slot.lock().unwrap() = Some(runner.clone());
        machine.runner = Some(runner);
    }

    fn tick(&self, is_beat: bool, sequence: u64) {
        let mut machines = self.machines.lock().unwrap();
        for (name, machine) in machines.iter_mut() {
            let is_back = machine.away.is_some_and(|(_, until)| Instant::now() >= until);
            if is_back {
                machine.away = None;
                if machine.pool != SPARE {
                    self.live(name, machine);
                    if let Some(runner) = &machine.runner {
                        self.ledger.say(&format!(
                            "machine {name} is up in {} as {}",
                            machine.pool, runner.id
                        ));
                        self.enter(machine, runner, sequence);
                    }
                }
            } else if let Some(runner) = machine.runner.as_ref().filter(|_| is_beat) {
                self.enter(machine, runner, sequence);
            }
        }
        drop(machines);
        let mut stale = self.stale.lock().unwrap();
        stale.retain(|(id, at)| {
            let is_due = Instant::now() >= *at;
            if is_due {
                self.store.delete(&format!("servers/{id}"));
            }
            !is_due
        });
    }

    fn enter(&self, machine: &Machine, runner: &Runner, sequence: u64) {
        let entry = json!({ "service": machine.pool, "address": runner.address.to_string(), "zone": "z1",
            "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0, "sequence": sequence,
            "available": { "cpu": self.site.cpu, "mem_mb": self.site.mem_mb, "gpu": 0 }, "labels": ["a", machine.rack] });
        self.store.write(&format!("servers/{}", runner.id), &entry);
    }

    /// Returns the machine that runs a task.
    pub fn machine_of(&self, task: &str) -> Option<String> {
        let machines = self.machines.lock().unwrap();
        let runs = |machine: &Machine| machine.runner.as_ref().is_some_and(|r| r.runs(task));
        machines.iter().find(|(_, machine)| runs(machine)).map(|(name, _)| name.clone())
    }

    /// Crashes a machine for `down`; then it has a new runner. Without `down` it is lost for good.
    pub fn crash(&self, name: &str, down: Option<Duration>) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else { return };
        let Some(runner) = machine.runner.take() else { return };
        self.ledger.say(&format!("FAULT machine {name} with runner {} crashes", runner.id));
        *machine.slot.lock().unwrap() = None;
        runner.crash("crashed");
        match down {
            Some(down) => machine.away = Some(("down", Instant::now() + down)),
            None => drop(machines.remove(name)),
        }
        self.stale.lock().unwrap().push((runner.id.clone(), Instant::now() + HEARTBEAT * 3));
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/api/machines" => {
                let machines = self.machines.lock().unwrap();
                let rows: Vec<Value> = machines
                    .iter()
                    .map(|(name, machine)| {
                        let id = machine.runner.as_ref().map_or("", |r| r.id.as_str());
                        json!({ "machine": name, "pool": machine.pool, "zone": "z1", "id": id,
                            "state": machine.away.map_or("up", |(state, _)| state),
                            "labels": ["a", machine.rack],
                            "available": { "cpu": self.site.cpu, "mem_mb": self.site.mem_mb, "gpu": 0 } })
                    })
                    .collect();
                Reply::Answer(200, json!({ "machines": rows, "next_token": "" }))
            }
            "/api/machine-move" => self.order(request),
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn order(&self, request: &Request) -> Reply {
        let body = request.json();
        let fence = request.header("fencing-token").and_then(|f| f.parse().ok()).unwrap_or(0);
        let (name, pool) = (
            body["machine"].as_str().unwrap_or_default(),
            body["pool"].as_str().unwrap_or_default(),
        );
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else { return Reply::Answer(400, json!({})) };
        if fence < machine.fence {
            return Reply::Answer(409, json!({ "reason": "fence" }));
        }
        machine.fence = fence;
        if machine.away.is_some() {
            return Reply::Answer(409, json!({ "reason": "busy" }));
        }
        if machine.pool == pool {
            return Reply::Answer(200, json!({}));
        }
        self.ledger.say(&format!("machine {name} moves from {} to {pool}", machine.pool));
        if let Some(runner) = machine.runner.take() {
            *machine.slot.lock().unwrap() = None;
            runner.crash("moved");
            self.store.delete(&format!("servers/{}", runner.id));
        }
        machine.pool = pool.to_owned();
        machine.away = Some(("moving", Instant::now() + MOVE));
        Reply::Answer(200, json!({}))
    }
}
