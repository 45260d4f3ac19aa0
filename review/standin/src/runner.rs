//! A runner (PROTOCOL.md, "Running tasks"): one life of a machine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};
use crate::ledger::Ledger;

/// How many ends a runner lists at a time.
const LISTED: usize = 500;
/// How long a runner takes to stop a task; the pages allow `stop_ms`, 400.
const STOP: Duration = Duration::from_millis(100);
/// The longest lease (`hold_max_ms`).
const MAX_LEASE_MS: u64 = 10_000;
/// How long a task that lasts takes until it is at work.
pub const STARTUP: Duration = Duration::from_millis(300);

struct Run {
    began: Instant,
    /// When it ends by itself, and how; `None` for a task that lasts.
    ends: Option<(Duration, &'static str)>,
    stopped: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: VecDeque<End>,
    last_end: u64,
    /// The last end before the latest time at which the lease was over.
    lapsed_upto: u64,
    highest: HashMap<String, u64>,
    has_crashed: bool,
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    born: Instant,
    state: Mutex<State>,
    changed: Condvar,
    ledger: Arc<Ledger>,
}

impl Runner {
    pub fn new(id: String, machine: String, address: SocketAddr, ledger: Arc<Ledger>) -> Arc<Self> {
        let runner = Arc::new(Self {
            id,
            machine,
            address,
            born: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            ledger,
        });
        let ticking = runner.clone();
        std::thread::spawn(move || {
            while !ticking.tick() {
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        runner
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.born.elapsed().as_millis() as u64
    }

    /// Ends what is due. Returns whether the runner has crashed.
    fn tick(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.has_crashed {
            return true;
        }
        let has_lapsed = self.clock_ms() >= state.deadline_ms;
        let due: Vec<((String, u64), &'static str)> = state
            .running
            .iter()
            .filter_map(|(name, run)| {
                let how = match (run.ends, run.stopped) {
                    (_, Some(at)) if at.elapsed() >= STOP => "stopped",
                    (Some((after, how)), _) if run.began.elapsed() >= after => how,
                    _ if has_lapsed => "lapsed",
                    _ => return None,
                };
                Some((name.clone(), how))
            })
            .collect();
        if has_lapsed {
            state.lapsed_upto = state.last_end + due.len() as u64;
        }
        if due.is_empty() {
            return false;
        }
        for ((task, run), how) in due {
            state.running.remove(&(task.clone(), run));
            state.last_end += 1;
            let number = state.last_end;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            self.ledger.ended(&self.id, number, &task, run, how);
            state.ended.push_back(End { number, task, run, how });
        }
        drop(state);
        self.changed.notify_all();
        false
    }

    /// Ends this life: everything that runs is gone, without an end that anybody hears of.
    pub fn crash(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        state.has_crashed = true;
        for (task, run) in std::mem::take(&mut state.running).into_keys() {
            self.ledger.gone(&self.id, &task, run, why);
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn runs(&self, task: &str) -> bool {
        self.state.lock().unwrap().running.keys().any(|(running, _)| running == task)
    }

    pub fn handle(&self, request: &Request) -> Reply {
        if self.state.lock().unwrap().has_crashed {
            return Reply::Reset;
        }
        if request.header("target-instance").is_some_and(|id| id != self.id) {
            return Reply::Answer(421, json!({ "clock_ms": self.clock_ms() }));
        }
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/hold" => {
                drop(state);
                self.hold(&body)
            }
            "/api/run-start" => self.start(&mut state, &body),
            "/api/run-stop" => {
                let (task, run) = task_run(&body);
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(known) = state.running.get_mut(&(task.clone(), run))
                    && known.stopped.is_none()
                {
                    known.stopped = Some(Instant::now());
                    self.ledger.stopping(&self.id, &task, run, known.ends.is_none());
                }
                Reply::Answer(200, json!({ "clock_ms": self.clock_ms() }))
            }
            "/api/pace" => Reply::Answer(200, json!({ "clock_ms": self.clock_ms() })),
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        Reply::Answer(409, json!({ "clock_ms": self.clock_ms(), "reason": reason }))
    }

    fn start(&self, state: &mut State, body: &Value) -> Reply {
        let (task, run) = task_run(body);
        let now = self.clock_ms();
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0).min(now + MAX_LEASE_MS);
        state.deadline_ms = state.deadline_ms.max(deadline);
        if state.running.contains_key(&(task.clone(), run)) {
            return Reply::Answer(200, json!({ "clock_ms": now }));
        }
        if state.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return self.refuse("old");
        }
        if deadline <= now {
            return self.refuse("late");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let ends = self.ledger.started(&self.id, &self.machine, &task, run, spec);
        let ends = ends.map(|(ms, how)| (Duration::from_millis(ms), how));
        state.running.insert((task, run), Run { began: Instant::now(), ends, stopped: None });
        Reply::Answer(200, json!({ "clock_ms": now }))
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut state = self.state.lock().unwrap();
        let now = self.clock_ms();
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0).min(now + MAX_LEASE_MS);
        state.deadline_ms = state.deadline_ms.max(deadline);
        let seen = body["seen_upto"].as_u64().unwrap_or(0);
        while state.ended.front().is_some_and(|end| end.number <= seen) {
            if let Some(end) = state.ended.pop_front() {
                let is_held = end.number > state.lapsed_upto;
                self.ledger.noted(&self.id, end.number, &end.task, end.run, end.how, is_held);
            }
        }
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while state.ended.is_empty() && !state.has_crashed {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if state.has_crashed {
            return Reply::Reset;
        }
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|((task, run), r)| {
                let percent = match r.ends {
                    Some((after, _)) => {
                        (r.began.elapsed().as_secs_f64() / after.as_secs_f64() * 100.0).min(99.0)
                    }
                    None if r.began.elapsed() >= STARTUP => 100.0,
                    None => 0.0,
                };
                json!([task, run, "", percent as u64, 0])
            })
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(LISTED)
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        self.ledger.listed(&self.id, state.running.len(), ended.len(), state.ended.len());
        let body = json!({ "clock_ms": self.clock_ms(), "running": running, "ended": ended });
        Reply::Answer(200, body)
    }
}

fn task_run(body: &Value) -> (String, u64) {
    (body["task"].as_str().unwrap_or_default().to_owned(), body["run"].as_u64().unwrap_or(0))
}
