//! A runner as the pages describe it: lease, fence, numbered ends, and orders.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use corianderfork_adapter_standin::store::Store;
use corianderfork_adapter_standin::{fleet, listener};
use corianderfork_standins::connections::Connections;
use corianderfork_standins::http::{Reply, Request, Response, Server, Service};
use serde_json::{Value, json};

use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STOP_TIME: Duration = Duration::from_millis(150);
const MAX_LEASE_MS: u64 = 10_000;

struct Run {
    number: u64,
    began: Instant,
    /// How long it takes; `None` for a task that lasts.
    takes: Option<Duration>,
    stopped: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    highest: HashMap<String, u64>,
}

/// What all runners have seen.
#[derive(Default)]
pub struct Seen {
    /// Starts by task.
    pub starts: Mutex<BTreeMap<String, u32>>,
    /// Ends `done` by task.
    pub done: Mutex<BTreeMap<String, u32>>,
    /// Tasks whose end `done` was taken note of.
    pub noted: Mutex<BTreeSet<String>>,
    /// Tasks that started after such an end.
    pub started_again: Mutex<Vec<String>>,
    /// The present life of each runner.
    lives: Mutex<HashMap<String, Arc<Runner>>>,
    /// How late the next start that arrives anywhere is carried out; it gets no answer.
    pub delay: Mutex<Option<Duration>>,
    /// The delayed start: its runner and task.
    pub delayed: Mutex<Option<(String, String)>>,
}

impl Seen {
    /// Returns the present life of a runner.
    pub fn life(&self, id: &str) -> Option<Arc<Runner>> {
        self.lives.lock().unwrap().get(id).cloned()
    }
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub pool: String,
    pub address: SocketAddr,
    beat_at: Mutex<Instant>,
    started: Instant,
    born_ms: u64,
    state: Mutex<State>,
    is_down: AtomicBool,
    record: Arc<Record>,
    seen: Arc<Seen>,
    server: Mutex<Option<Server>>,
    store: Arc<Store>,
    cpu: u64,
}

struct Front(Arc<Runner>);

impl Runner {
    /// Starts a runner that registers itself in the store.
    pub fn start(
        id: &str,
        pool: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Seen>,
    ) -> Arc<Self> {
        Self::start_at(listener(), id, pool, cpu, store, record, seen)
    }

    /// Starts the next life of a crashed runner at the same address, with the ID given.
    pub fn start_again(&self, id: &str) -> Option<Arc<Self>> {
        let listener = TcpListener::bind(self.address).ok()?;
        Some(Self::start_at(
            listener,
            id,
            &self.pool,
            self.cpu,
            &self.store,
            &self.record,
            &self.seen,
        ))
    }

    fn start_at(
        listener: TcpListener,
        id: &str,
        pool: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Seen>,
    ) -> Arc<Self> {
        let address = listener.local_addr().expect("its address");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            pool: pool.to_owned(),
            address,
            beat_at: Mutex::new(Instant::now()),
            started: Instant::now(),
            born_ms: unix_ms(),
            state: Mutex::default(),
            is_down: AtomicBool::new(false),
            record: record.clone(),
            seen: seen.clone(),
            server: Mutex::default(),
            store: store.clone(),
            cpu,
        });
        seen.lives.lock().unwrap().insert(id.to_owned(), runner.clone());
        let front = Arc::new(Front(runner.clone()));
        let server = Server::start(listener, 512, Arc::new(Connections::default()), front)
            .expect("a server");
        *runner.server.lock().unwrap() = Some(server);
        let beat = runner.clone();
        thread::spawn(move || beat.heartbeats(address));
        let tick = runner.clone();
        thread::spawn(move || {
            while !tick.is_down() {
                tick.end_due(&mut tick.state.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
        runner
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Whether nothing runs here.
    pub fn is_idle(&self) -> bool {
        self.is_down() || self.state.lock().unwrap().running.is_empty()
    }

    /// Crashes: all that runs is gone, connections end, and the port has no listener. Its entry in the
    /// store is removed after three heartbeats, unless it has started again under its ID.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        let lost: Vec<String> = self.state.lock().unwrap().running.keys().cloned().collect();
        self.record.line(&format!("runner {} crashed, runs lost: {lost:?}", self.id));
        let (store, id) = (self.store.clone(), self.id.clone());
        let (seen, born) = (self.seen.clone(), self.born_ms);
        let left = 3 * HEARTBEAT - self.beat_at.lock().unwrap().elapsed();
        thread::spawn(move || {
            thread::sleep(left);
            if seen.life(&id).is_none_or(|life| life.born_ms == born) {
                store.remove(&format!("servers/{id}"));
            }
        });
    }

    fn heartbeats(&self, address: SocketAddr) {
        let mut sequence = 0;
        while !self.is_down() {
            sequence += 1;
            *self.beat_at.lock().unwrap() = Instant::now();
            let entry = json!({ "service": self.pool, "address": address.to_string(), "zone": "kolkata-hall",
                "version": "1", "capacity": 8, "state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": self.born_ms,
                "available": { "cpu": self.cpu, "mem_mb": 262_144, "gpu": 0 }, "labels": ["a", format!("r-{}", self.id)] });
            fleet::write_json(&self.store, &format!("servers/{}", self.id), &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn end_due(&self, state: &mut State) {
        let has_lapsed = self.clock_ms() >= state.deadline_ms;
        let outcome = |run: &Run| match (run.stopped, run.takes) {
            (_, Some(takes)) if run.began.elapsed() >= takes => Some("done"),
            (Some(at), _) if at.elapsed() >= STOP_TIME => Some("stopped"),
            _ if has_lapsed => Some("lapsed"),
            _ => None,
        };
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), outcome(run)?)))
            .collect();
        for (task, how) in due {
            let Some(run) = state.running.remove(&task) else { continue };
            state.count += 1;
            let number = state.count;
            state.ended.push((number, task.clone(), run.number, how));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run.number);
            self.record
                .line(&format!("runner {} task {task} run {} ended {how}", self.id, run.number));
            if how == "done" {
                *self.seen.done.lock().unwrap().entry(task).or_default() += 1;
            }
        }
    }

    fn take_deadline(&self, state: &mut State, deadline: u64) {
        state.deadline_ms = state.deadline_ms.max(deadline.min(self.clock_ms() + MAX_LEASE_MS));
    }

    fn refuse(&self, reason: &str) -> Reply {
        Reply::Whole(Response::json(409, &json!({ "clock_ms": self.clock_ms(), "reason": reason })))
    }

    fn done(&self) -> Reply {
        Reply::Whole(Response::json(200, &json!({ "clock_ms": self.clock_ms() })))
    }

    fn run_start(&self, state: &mut State, body: &Value) -> Reply {
        let (task, number) =
            (body["task"].as_str().unwrap_or("").to_owned(), body["run"].as_u64().unwrap_or(0));
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|run| run.number == number) {
            self.take_deadline(state, deadline);
            return self.done();
        }
        if state.highest.get(&task).is_some_and(|highest| number <= *highest) {
            self.take_deadline(state, deadline);
            return self.refuse("old");
        }
        if deadline <= self.clock_ms() {
            return self.refuse("late");
        }
        self.take_deadline(state, deadline);
        let spec = body["spec"].as_str().unwrap_or("");
        let takes = spec.parse().ok().map(Duration::from_millis);
        self.record.line(&format!("runner {} task {task} run {number} started", self.id));
        if self.seen.noted.lock().unwrap().contains(&task) {
            self.record.line(&format!(
                "that start comes after the end `done` of {task}, which was taken note of"
            ));
            self.seen.started_again.lock().unwrap().push(task.clone());
        }
        *self.seen.starts.lock().unwrap().entry(task.clone()).or_default() += 1;
        state.running.insert(task, Run { number, began: Instant::now(), takes, stopped: None });
        self.done()
    }

    fn hold(&self, body: &Value) -> Reply {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut first = true;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let fence = body["fence"].as_u64().unwrap_or(0);
                if fence < state.fence {
                    return self.refuse("fence");
                }
                if std::mem::take(&mut first) {
                    state.fence = fence;
                    let upto = body["seen_upto"].as_u64().unwrap_or(0);
                    for (_, task, run, how) in state.ended.iter().filter(|(n, ..)| *n <= upto) {
                        if *how == "done" {
                            self.record.line(&format!(
                                "runner {} task {task} run {run}: its end is taken note of",
                                self.id
                            ));
                            self.seen.noted.lock().unwrap().insert(task.clone());
                        }
                    }
                    state.ended.retain(|(number, ..)| *number > upto);
                    self.take_deadline(&mut state, body["deadline_ms"].as_u64().unwrap_or(0));
                    self.end_due(&mut state);
                }
                if !state.ended.is_empty() || Instant::now() >= until || self.is_down() {
                    let running: Vec<Value> = state
                        .running
                        .iter()
                        .map(|(task, run)| {
                            let percent = run.takes.map_or(100, |takes| {
                                (run.began.elapsed().as_millis() * 100 / takes.as_millis().max(1))
                                    .min(99)
                            });
                            json!([task, run.number, "", percent, 100])
                        })
                        .collect();
                    let ended: Vec<Value> = state
                        .ended
                        .iter()
                        .take(500)
                        .map(|(n, task, run, how)| json!([n, task, run, how, ""]))
                        .collect();
                    let body = json!({ "clock_ms": self.clock_ms(), "born": self.born_ms, "running": running, "ended": ended });
                    return Reply::Whole(Response::json(200, &body));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Carries a call out.
    fn handle(&self, path: &str, body: &Value) -> Reply {
        let mut state = self.state.lock().unwrap();
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        self.end_due(&mut state);
        match path {
            "/api/run-start" => self.run_start(&mut state, body),
            "/api/run-stop" => {
                let (task, number) = (
                    body["task"].as_str().unwrap_or("").to_owned(),
                    body["run"].as_u64().unwrap_or(0),
                );
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                if let Some(run) = state.running.get_mut(&task).filter(|run| run.number == number) {
                    run.stopped.get_or_insert_with(Instant::now);
                }
                self.done()
            }
            "/api/pace" => self.done(),
            _ => Reply::Whole(Response::json(404, &json!({}))),
        }
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Front {
    /// Leaves a start without an answer; the runner that has this ID by then carries it out.
    fn carry_out_late(&self, delay: Duration, body: Value) -> Reply {
        let runner = &self.0;
        let (id, task) = (runner.id.clone(), body["task"].as_str().unwrap_or("").to_owned());
        runner
            .record
            .line(&format!("runner {id} leaves the start of {task} without an answer: {body}"));
        *runner.seen.delayed.lock().unwrap() = Some((id.clone(), task));
        let (seen, record) = (runner.seen.clone(), runner.record.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let Some(life) = seen.life(&id).filter(|life| !life.is_down()) else { return };
            record.line(&format!(
                "runner {id} carries the delayed start out, {delay:?} late; its clock says {}",
                life.clock_ms()
            ));
            if let Reply::Whole(answer) = life.handle("/api/run-start", &body) {
                record.line(&format!("to that start nobody hears the answer {}", answer.status));
            }
        });
        let until = Instant::now() + delay;
        while Instant::now() < until && !runner.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
        Reply::Cut
    }
}

impl Service for Front {
    fn call(&self, request: &Request) -> Reply {
        let runner = &self.0;
        if runner.is_down() {
            return Reply::Cut;
        }
        if request.header("Target-Instance").is_some_and(|id| id != runner.id) {
            return Reply::Whole(Response::json(421, &json!({})));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if request.path == "/api/hold" {
            return runner.hold(&body);
        }
        if request.path == "/api/run-start" {
            let delay = runner.seen.delay.lock().unwrap().take();
            if let Some(delay) = delay {
                return self.carry_out_late(delay, body);
            }
        }
        runner.handle(&request.path, &body)
    }
}
