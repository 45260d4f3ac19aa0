//! Stand-ins for runners and machines, and the record of all that they see.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, serve};
use crate::store::Store;

/// The bounds of a small deployment.
const HOLD_MAX_MS: u64 = 10_000;
const GANG_MS: u64 = 3_000;
const UPKEEP_MS: u64 = 2_000;
const STOP_TAKES: Duration = Duration::from_millis(150);
const SAVE_EVERY_MS: u64 = 500;
const RESTORE_MS: u64 = 600;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// A list holds at most so many ends.
const MAX_ENDS: usize = 500;

/// What runners, clients and the operator see, in its order.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "some fields are only written into the record")]
pub enum Event {
    Start {
        runner: usize,
        task: String,
        run: u64,
        saved: String,
        spec: String,
        fence: u64,
    },
    End {
        runner: usize,
        number: u64,
        task: String,
        run: u64,
        how: &'static str,
        saved: String,
    },
    /// The runner was told that ends up to this number are seen.
    Noted {
        runner: usize,
        upto: u64,
    },
    /// The runner's lease passed.
    Lapse {
        runner: usize,
    },
    Down {
        runner: usize,
    },
    /// Anything else, for the record.
    Text(String),
}

#[derive(Clone, Debug)]
struct Run {
    began: Instant,
    /// When its work began: at once, or when all of its gang were there.
    works_from: Option<Instant>,
    work_ms: u64,
    fails: bool,
    lasts: bool,
    saves: bool,
    resumed_ms: u64,
    stopping: Option<Instant>,
    gang: u64,
    lost: bool,
}

impl Run {
    fn done_ms(&self, now: Instant) -> u64 {
        let Some(from) = self.works_from else { return self.resumed_ms };
        let restore = if self.resumed_ms > 0 { RESTORE_MS } else { 0 };
        let worked = now.saturating_duration_since(from).as_millis() as u64;
        self.resumed_ms + worked.saturating_sub(restore)
    }

    fn saved(&self, now: Instant, is_stop: bool) -> String {
        let done = self.done_ms(now).min(self.work_ms);
        let kept = if is_stop { done } else { done / SAVE_EVERY_MS * SAVE_EVERY_MS };
        let kept = kept.max(self.resumed_ms);
        if self.saves && kept > 0 { format!("{kept:08}") } else { String::new() }
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    pub address: SocketAddr,
    pub alive: bool,
    pub draining: bool,
    /// It is partitioned from all machines of the system; its entry in the store goes on.
    pub silent: bool,
    born: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<End>,
    end_count: u64,
    highest: HashMap<String, u64>,
    seen_upto: u64,
    sequence: u64,
    last_beat: Option<Instant>,
    has_lapsed: bool,
}

impl Runner {
    fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.born).as_millis() as u64 + 1_000
    }
}

/// A machine as the platform lists it.
pub struct Machine {
    pub name: String,
    pub service: String,
    pub runner: Option<usize>,
    pub state: &'static str,
    pub back_at: Option<Instant>,
    pub orders: Vec<(u64, String, u64)>,
    /// The waves for which its upkeep has begun.
    pub kept: Vec<u64>,
}

#[derive(Default)]
pub struct State {
    pub runners: Vec<Runner>,
    pub machines: Vec<Machine>,
    pub events: Vec<(u64, Event)>,
    /// Submitted jobs by id: the body that was sent.
    pub jobs: BTreeMap<String, Value>,
    /// Starts so far, by task.
    starts: HashMap<String, u64>,
}

pub struct World {
    pub state: Mutex<State>,
    pub changed: Condvar,
    pub store: Arc<Store>,
    pub begun: Instant,
    /// The share of orders that get no answer and are carried out late.
    pub late_percent: std::sync::atomic::AtomicU64,
    /// Whether starts need a ticket.
    pub needs_ticket: std::sync::atomic::AtomicBool,
}

fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

/// Returns the number behind `key=` in a spec such as `work=800;fail=2`.
pub fn spec_number(spec: &str, key: &str) -> Option<u64> {
    let find = |part: &str| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok();
    spec.split(';').find_map(find)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Splits the name of a task: id, occurrence, step, index.
pub fn split(task: &str) -> Option<(&str, u64, usize, u64)> {
    let mut parts = task.split('.');
    let id = parts.next()?;
    let occurrence = parts.next()?.parse().ok()?;
    Some((id, occurrence, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl World {
    pub fn new(store: Arc<Store>) -> Arc<Self> {
        let (state, changed) = (Mutex::default(), Condvar::new());
        let world = Arc::new(Self {
            state,
            changed,
            store,
            begun: Instant::now(),
            late_percent: Default::default(),
            needs_ticket: Default::default(),
        });
        let ticker = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticker.tick();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn push(&self, state: &mut State, event: Event) {
        state.events.push((self.now_ms(), event));
    }

    pub fn note(&self, text: impl Into<String>) {
        let mut state = self.lock();
        self.push(&mut state, Event::Text(text.into()));
    }

    /// Adds a machine with a runner, and returns the machine's index.
    pub fn add_machine(self: &Arc<Self>, name: &str, service: &str, rack: &str, cpu: u64) -> usize {
        let index = {
            let mut state = self.lock();
            let (name, service) = (name.to_owned(), service.to_owned());
            state.machines.push(Machine {
                name,
                service,
                runner: None,
                state: "up",
                back_at: None,
                orders: Vec::new(),
                kept: Vec::new(),
            });
            state.machines.len() - 1
        };
        self.start_runner(index, rack, cpu);
        index
    }

    /// Adds a machine that is off, in a spare pool.
    pub fn add_spare(&self, name: &str, service: &str) {
        let (name, service) = (name.to_owned(), service.to_owned());
        let machine = Machine {
            name,
            service,
            runner: None,
            state: "up",
            back_at: None,
            orders: Vec::new(),
            kept: Vec::new(),
        };
        self.lock().machines.push(machine);
    }

    /// Starts a new runner on a machine.
    pub fn start_runner(self: &Arc<Self>, machine: usize, rack: &str, cpu: u64) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let index = {
            let mut state = self.lock();
            let index = state.runners.len();
            let runner = Runner {
                id: format!("i-{index:04}{:06x}", unix_ms() & 0xff_ffff),
                service: state.machines[machine].service.clone(),
                labels: vec!["a".to_owned(), rack.to_owned()],
                cpu,
                mem: 32_768,
                address,
                alive: true,
                draining: false,
                silent: false,
                born: Instant::now(),
                fence: 0,
                deadline_ms: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                end_count: 0,
                highest: HashMap::new(),
                seen_upto: 0,
                sequence: 0,
                last_beat: None,
                has_lapsed: true,
            };
            state.runners.push(runner);
            state.machines[machine].runner = Some(index);
            state.machines[machine].state = "up";
            index
        };
        let world = self.clone();
        serve(listener, Arc::new(move |request| world.serve_runner(index, request)));
        index
    }

    /// Crashes a runner: it says nothing more, and its entry goes after three heartbeats.
    pub fn crash_runner(&self, index: usize) {
        let mut state = self.lock();
        if !state.runners[index].alive {
            return;
        }
        state.runners[index].alive = false;
        state.runners[index].running.clear();
        for machine in &mut state.machines {
            if machine.runner == Some(index) {
                machine.runner = None;
                machine.state = "down";
            }
        }
        self.push(&mut state, Event::Down { runner: index });
        drop(state);
        self.changed.notify_all();
    }

    fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut ends: Vec<(usize, String, u64, &'static str)> = Vec::new();
        let mut lapsed = Vec::new();
        for (index, runner) in state.runners.iter_mut().enumerate().filter(|(_, r)| r.alive) {
            let has_lapsed = runner.clock_ms(now) >= runner.deadline_ms;
            if has_lapsed && !runner.has_lapsed {
                lapsed.push(index);
            }
            runner.has_lapsed = has_lapsed;
            for ((task, number), run) in &runner.running {
                let is_over = run.works_from.is_some() && run.done_ms(now) >= run.work_ms;
                let waited = now.saturating_duration_since(run.began).as_millis() as u64;
                let how = match run.stopping {
                    Some(at) if now >= at => "stopped",
                    _ if has_lapsed => "lapsed",
                    None if is_over && run.fails => "failed",
                    None if is_over && !run.lasts => "done",
                    None if run.lost => "broken",
                    None if run.works_from.is_none() && waited >= GANG_MS => "alone",
                    _ => continue,
                };
                ends.push((index, task.clone(), *number, how));
            }
        }
        for index in lapsed {
            self.push(state, Event::Lapse { runner: index });
        }
        let any = !ends.is_empty();
        for (index, task, number, how) in ends {
            self.end_run(state, index, &task, number, how, now);
        }
        self.begin_gangs(state, now);
        let removed = self.beat(state, now);
        drop(guard);
        if any {
            self.changed.notify_all();
        }
        for key in removed {
            self.store.delete(&key);
        }
        self.return_machines(now);
    }

    fn end_run(
        &self,
        state: &mut State,
        index: usize,
        task: &str,
        number: u64,
        how: &'static str,
        now: Instant,
    ) {
        let key = (task.to_owned(), number);
        let Some(run) = state.runners[index].running.remove(&key) else { return };
        let runner = &mut state.runners[index];
        runner.end_count += 1;
        let count = runner.end_count;
        let highest = runner.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        let saved = if how == "done" { String::new() } else { run.saved(now, how == "stopped") };
        runner.ended.push(End {
            number: count,
            task: task.to_owned(),
            run: number,
            how,
            saved: saved.clone(),
        });
        let (task, run_number) = (task.to_owned(), number);
        let event = Event::End {
            runner: index,
            number: count,
            task: task.clone(),
            run: number,
            how,
            saved,
        };
        self.push(state, event);
        if run.gang > 0 && how != "done" {
            self.mark_gang(state, &task, run_number);
        }
    }

    /// The other members of a gang end when one ends otherwise than done.
    fn mark_gang(&self, state: &mut State, task: &str, number: u64) {
        let stem = task.rsplit_once('.').map_or(task, |(stem, _)| stem).to_owned();
        for runner in &mut state.runners {
            for ((other, run_number), run) in &mut runner.running {
                let is_member = other.rsplit_once('.').is_some_and(|(other, _)| other == stem);
                if is_member && *run_number == number && run.works_from.is_some() {
                    run.lost = true;
                }
            }
        }
    }

    /// Lets gangs work whose members are all there, and breaks those that have lost one.
    fn begin_gangs(&self, state: &mut State, now: Instant) {
        let mut present: BTreeMap<(String, u64), (u64, u64)> = BTreeMap::new();
        for runner in state.runners.iter().filter(|runner| runner.alive) {
            for ((task, number), run) in runner.running.iter().filter(|(_, run)| run.gang > 0) {
                let stem = task.rsplit_once('.').map_or("", |(stem, _)| stem).to_owned();
                present.entry((stem, *number)).or_insert((0, run.gang)).0 += 1;
            }
        }
        for runner in &mut state.runners {
            for ((task, number), run) in &mut runner.running {
                if run.gang == 0 {
                    continue;
                }
                let stem = task.rsplit_once('.').map_or("", |(stem, _)| stem).to_owned();
                let (there, all) = present.get(&(stem, *number)).copied().unwrap_or((0, 1));
                if there >= all && run.works_from.is_none() {
                    run.works_from = Some(now);
                } else if there < all && run.works_from.is_some() && run.done_ms(now) < run.work_ms
                {
                    run.lost = true;
                }
            }
        }
    }

    /// Writes the runners' entries. Returns the keys to remove.
    fn beat(&self, state: &mut State, now: Instant) -> Vec<String> {
        let mut removed = Vec::new();
        for runner in &mut state.runners {
            let Some(last) = runner.last_beat else {
                if runner.alive {
                    self.write_entry(runner, now);
                }
                continue;
            };
            let since = now.saturating_duration_since(last);
            if runner.alive && since >= HEARTBEAT {
                self.write_entry(runner, now);
            } else if !runner.alive && since >= HEARTBEAT * 3 {
                runner.last_beat = None;
                removed.push(format!("servers/{}", runner.id));
            }
        }
        removed
    }

    fn write_entry(&self, runner: &mut Runner, now: Instant) {
        runner.last_beat = Some(now);
        runner.sequence += 1;
        let state = if runner.draining { "draining" } else { "ready" };
        let entry = json!({ "service": runner.service, "address": runner.address.to_string(),
            "zone": "zone-a", "version": "v1", "capacity": 8, "state": state, "cold_left_ms": 0,
            "sequence": runner.sequence, "labels": runner.labels,
            "available": { "cpu": runner.cpu, "mem_mb": runner.mem, "gpu": 0 } });
        self.store.put(&format!("servers/{}", runner.id), &entry);
    }

    fn return_machines(self: &Arc<Self>, now: Instant) {
        let due: Vec<usize> = {
            let mut state = self.lock();
            let machines = state.machines.iter_mut().enumerate();
            let is_due = |machine: &Machine| machine.back_at.is_some_and(|at| now >= at);
            machines
                .filter(|(_, machine)| is_due(machine))
                .map(|(index, machine)| {
                    machine.back_at = None;
                    index
                })
                .collect()
        };
        for index in due {
            let is_spare = self.lock().machines[index].service == crate::lab::SPARE;
            if is_spare {
                self.lock().machines[index].state = "up";
            } else {
                self.start_runner(index, "r1-1", 16_000);
            }
        }
    }

    fn serve_runner(self: &Arc<Self>, index: usize, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let percent = self.late_percent.load(std::sync::atomic::Ordering::Relaxed);
        if percent > 0 && unix_nanos() / 1_000 % 100 < percent {
            // Unanswered, and carried out 2 to 12 s later.
            let (world, path) = (self.clone(), request.path.clone());
            let delay = 2_000 + unix_nanos() / 100_000 % 10_000;
            let headers = request.headers.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay));
                let target =
                    headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("target-instance"));
                let target = target.map(|(_, v)| v.clone());
                drop(world.carry_out(index, &path, target.as_deref(), &body));
            });
            return Reply::Silent;
        }
        self.carry_out(index, &request.path, request.header("Target-Instance"), &body)
    }

    fn carry_out(&self, index: usize, path: &str, target: Option<&str>, body: &Value) -> Reply {
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let now = Instant::now();
        let mut state = self.lock();
        let runner = &mut state.runners[index];
        if !runner.alive || runner.silent {
            drop(state);
            return Reply::Silent;
        }
        if target.is_some_and(|id| id != runner.id) {
            return Reply::Json(421, json!({}));
        }
        let clock = runner.clock_ms(now);
        let refuse =
            |reason: &str| Reply::Json(409, json!({ "clock_ms": clock, "reason": reason }));
        if number("fence") < runner.fence {
            return refuse("fence");
        }
        runner.fence = number("fence");
        match path {
            "/api/run-start" => self.start(&mut state, index, body, now),
            "/api/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default().to_owned();
                let key = (task.clone(), number("run"));
                match runner.running.get_mut(&key) {
                    Some(run) => drop(run.stopping.get_or_insert(now + STOP_TAKES)),
                    None => {
                        let highest = runner.highest.entry(task).or_default();
                        *highest = (*highest).max(key.1);
                    }
                }
                Reply::Json(200, json!({ "clock_ms": clock }))
            }
            "/api/pace" => Reply::Json(200, json!({ "clock_ms": clock })),
            "/api/hold" => {
                if let Some(deadline) = body["deadline_ms"].as_u64() {
                    let deadline = deadline.min(clock + HOLD_MAX_MS);
                    runner.deadline_ms = runner.deadline_ms.max(deadline);
                }
                let upto = number("seen_upto");
                if upto > runner.seen_upto {
                    runner.seen_upto = upto;
                    runner.ended.retain(|end| end.number > upto);
                    self.push(&mut state, Event::Noted { runner: index, upto });
                }
                let until = now + Duration::from_millis(number("wait_ms").min(2_000));
                loop {
                    let runner = &state.runners[index];
                    let left = until.saturating_duration_since(Instant::now());
                    if !runner.alive || runner.silent {
                        drop(state);
                        return Reply::Silent;
                    }
                    if !runner.ended.is_empty() || left.is_zero() {
                        return Reply::Json(200, report(runner, Instant::now()));
                    }
                    let step = left.min(Duration::from_millis(100));
                    state = self.changed.wait_timeout(state, step).expect("no panic").0;
                }
            }
            _ => Reply::Json(404, json!({})),
        }
    }

    fn start(&self, state: &mut State, index: usize, body: &Value, now: Instant) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default().to_owned();
        let saved = body["saved"].as_str().unwrap_or_default().to_owned();
        let fence = body["fence"].as_u64().unwrap_or(0);
        let runner = &mut state.runners[index];
        let clock = runner.clock_ms(now);
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        let refuse =
            |reason: &str| Reply::Json(409, json!({ "clock_ms": clock, "reason": reason }));
        if deadline <= clock {
            return refuse("late");
        }
        runner.deadline_ms = runner.deadline_ms.max(deadline.min(clock + HOLD_MAX_MS));
        let key = (task.clone(), number);
        if runner.running.contains_key(&key) {
            return Reply::Json(200, json!({ "clock_ms": clock }));
        }
        let stem = task.rsplit_once('.').map_or("", |(stem, _)| stem);
        let needs_ticket = self.needs_ticket.load(std::sync::atomic::Ordering::Relaxed);
        let ticket = format!("{stem}:{}", runner.id);
        if needs_ticket && body["ticket"].as_str() != Some(ticket.as_str()) {
            return refuse("ticket");
        }
        if runner.highest.get(&task).is_some_and(|highest| number <= *highest) {
            return refuse("old");
        }
        let job = split(&task).and_then(|(id, _, step, _)| {
            let steps = state.jobs.get(id)?["steps"].as_array()?;
            steps.get(step).cloned()
        });
        let step = job.unwrap_or_default();
        let starts = state.starts.entry(task.clone()).or_default();
        *starts += 1;
        let gang = if step["gang"] == true { step["count"].as_u64().unwrap_or(0) } else { 0 };
        let lasts = step["long_running"] == true;
        let run = Run {
            began: now,
            works_from: (gang == 0).then_some(now),
            work_ms: if lasts { u64::MAX } else { spec_number(&spec, "work").unwrap_or(500) },
            fails: *starts <= spec_number(&spec, "fail").unwrap_or(0),
            lasts,
            saves: step["checkpoint"] == true,
            resumed_ms: saved.parse().unwrap_or(0),
            stopping: None,
            gang,
            lost: false,
        };
        state.runners[index].running.insert(key, run);
        self.push(state, Event::Start { runner: index, task, run: number, saved, spec, fence });
        Reply::Json(200, json!({ "clock_ms": clock }))
    }

    /// Serves the advice service: a step may run on two runners of three, a gang on all.
    pub fn serve_advice(&self, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let step = body["step"].as_str().unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        std::thread::sleep(Duration::from_millis(100 + 2 * workers.len() as u64));
        let mut parts = step.split('.');
        let (id, number) = (parts.next().unwrap_or_default(), parts.nth(1));
        let number: usize = number.and_then(|n| n.parse().ok()).unwrap_or(0);
        let is_gang =
            self.lock().jobs.get(id).is_some_and(|job| job["steps"][number]["gang"] == true);
        let is_good = |worker: &str| {
            let sum: usize = step.bytes().chain(worker.bytes()).map(usize::from).sum();
            is_gang || sum % 3 != 0
        };
        let workers = workers.iter().filter_map(Value::as_str).filter(|worker| is_good(worker));
        let good: Vec<Value> = workers.map(|w| json!([w, format!("{step}:{w}")])).collect();
        Reply::Json(200, json!({ "good": good, "valid_ms": 4_000 }))
    }

    /// Serves the platform's interface to machines.
    pub fn serve_fleet(self: &Arc<Self>, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.lock();
        if request.path == "/api/machines" {
            let rows = state.machines.iter().map(|machine| {
                let runner = machine.runner.map(|index| &state.runners[index]);
                json!({ "machine": machine.name, "pool": machine.service, "state": machine.state,
                    "zone": "zone-a", "labels": runner.map(|r| r.labels.clone()).unwrap_or_default(),
                    "available": { "cpu": 16_000, "mem_mb": 32_768, "gpu": 0 },
                    "id": runner.map(|r| r.id.clone()).unwrap_or_default() })
            });
            let rows: Vec<Value> = rows.collect();
            return Reply::Json(200, json!({ "machines": rows }));
        }
        let fence = request.header("Fencing-Token").and_then(|t| t.parse().ok()).unwrap_or(0);
        let holder = request.header("Lease-Holder").unwrap_or_default().to_owned();
        let at = self.now_ms();
        let name = body["machine"].as_str().unwrap_or_default();
        let found = state.machines.iter().position(|machine| machine.name == name);
        let Some(index) = found else { return Reply::Json(400, json!({})) };
        let machine = &mut state.machines[index];
        let highest = machine.orders.iter().map(|(_, _, fence)| *fence).max().unwrap_or(0);
        if fence < highest {
            return Reply::Json(409, json!({ "reason": "fence" }));
        }
        machine.orders.push((at, holder, fence));
        if request.path == "/api/machine-move" && body["pool"] == machine.service.as_str() {
            return Reply::Json(200, json!({}));
        }
        if machine.state != "up" {
            return Reply::Json(409, json!({ "reason": "busy" }));
        }
        let is_upkeep = request.path == "/api/machine-upkeep";
        if is_upkeep {
            let wave = body["wave"].as_u64().unwrap_or(0);
            if machine.kept.contains(&wave) {
                return Reply::Json(200, json!({}));
            }
            machine.kept.push(wave);
        }
        let text = format!("order {} {name} {}", request.path, body);
        machine.state = if is_upkeep { "upkeep" } else { "moving" };
        machine.back_at = Some(Instant::now() + Duration::from_millis(UPKEEP_MS));
        if !is_upkeep {
            machine.service = body["pool"].as_str().unwrap_or_default().to_owned();
        }
        let runner = machine.runner.take();
        self.push(&mut state, Event::Text(text));
        if let Some(runner) = runner {
            state.runners[runner].alive = false;
            state.runners[runner].running.clear();
            self.push(&mut state, Event::Down { runner });
        }
        Reply::Json(200, json!({}))
    }

    /// Returns the machine on which a runner runs.
    pub fn machine_of(&self, runner: usize) -> Option<usize> {
        self.lock().machines.iter().position(|machine| machine.runner == Some(runner))
    }

    /// Returns how many sound runners have `cpu` free, their free and used and whole capacity.
    pub fn room_for(&self, cpu: u64) -> (usize, u64, u64, u64) {
        let state = self.lock();
        let (mut count, mut free, mut used, mut all) = (0, 0, 0, 0);
        for runner in state.runners.iter().filter(|r| r.alive && !r.draining && !r.silent) {
            let of = |(task, _): &(String, u64)| {
                let step = split(task)
                    .and_then(|(id, _, step, _)| Some(state.jobs.get(id)?["steps"][step].clone()));
                step.and_then(|step| step["cpu"].as_u64()).unwrap_or(0)
            };
            let busy: u64 = runner.running.keys().map(of).sum();
            used += busy;
            all += runner.cpu;
            free += runner.cpu - busy.min(runner.cpu);
            count += usize::from(busy + cpu <= runner.cpu);
        }
        (count, free, used, all)
    }

    /// Returns the runs of tasks of a job that are at work.
    pub fn running_of(&self, id: &str) -> BTreeSet<(usize, String)> {
        let state = self.lock();
        let runners = state.runners.iter().enumerate();
        let of = |(index, runner): (usize, &Runner)| {
            let tasks = runner.running.keys().map(|(task, _)| task.clone()).collect::<Vec<_>>();
            tasks.into_iter().map(move |task| (index, task)).collect::<Vec<_>>()
        };
        runners.flat_map(of).filter(|(_, task)| task.starts_with(id)).collect()
    }
}

fn report(runner: &Runner, now: Instant) -> Value {
    let running = runner.running.iter().map(|((task, number), run)| {
        let percent =
            if run.lasts { 100 } else { (run.done_ms(now) * 100 / run.work_ms.max(1)).min(99) };
        json!([task, number, run.saved(now, false), percent, 0])
    });
    let running: Vec<Value> = running.collect();
    let ended = runner.ended.iter().take(MAX_ENDS);
    let ended = ended.map(|end| json!([end.number, end.task, end.run, end.how, end.saved]));
    let ended: Vec<Value> = ended.collect();
    json!({ "clock_ms": runner.clock_ms(now), "running": running, "ended": ended })
}
