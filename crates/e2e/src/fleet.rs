//! Helpers for failure tests of whole fleets: callers in the background, the
//! history of the VM records and generated configurations.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use corianderfork_provider::http::{Client as Platform, Config as Platforms};
use corianderfork_provider::key;
use corianderfork_provider::record::{Holder, Phase, Vm};
use corianderfork_provider::store::{Entry, Revision, Store};
use corianderfork_standins::history::{Call, Outcome};
use corianderfork_standins::load::{self, Client};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::http;
use crate::system::System;

/// The interval between the balancer's readiness checks of a proxy.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of one watch of the records.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the milliseconds since the Unix epoch, the clock of all histories.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
    now.as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The settings of background callers.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Services to call, all equally often.
    pub services: Vec<String>,
    /// The number of concurrent callers, each with its own connections.
    pub workers: u64,
    /// The pause of a caller between a response and its next call.
    pub pause: Duration,
    /// The share of transfers among the calls, in per mille.
    pub transfers: u32,
    /// Whether a caller keeps using the same proxy while it gets answers there,
    /// whatever the balancer says, as a caller with an open connection does.
    pub is_sticky: bool,
}

impl Callers {
    /// Returns settings for twelve callers that make at most ten lookups per second
    /// each.
    pub fn new(services: &[&str]) -> Self {
        let services = services.iter().map(|name| (*name).to_owned()).collect();
        let pause = Duration::from_millis(100);
        Self { services, workers: 12, pause, transfers: 0, is_sticky: false }
    }

    /// Starts callers of the running proxies, behind a balancer that skips proxies
    /// that are not ready.
    pub fn start(&self, system: &System) -> RunningCallers {
        self.start_at(system.targets())
    }

    /// Starts callers of these proxies.
    pub fn start_at(&self, targets: Vec<String>) -> RunningCallers {
        let stop = Arc::new(AtomicBool::new(false));
        let ready = Arc::new(Mutex::new(targets.clone()));
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let checks = targets.into_iter().map(|target| start_readiness_check(target, &ready, &stop));
        let mut threads: Vec<_> = checks.collect();
        for number in 0..self.workers {
            let (this, ready) = (self.clone(), Arc::clone(&ready));
            let (calls, stop) = (Arc::clone(&calls), Arc::clone(&stop));
            threads.push(thread::spawn(move || {
                this.call_until_stopped(number, &ready, &calls, &stop)
            }));
        }
        RunningCallers { stop, calls, threads }
    }

    fn call_until_stopped(
        &self,
        number: u64,
        ready: &Mutex<Vec<String>>,
        calls: &Mutex<Vec<Call>>,
        stop: &AtomicBool,
    ) {
        let mut rng = SmallRng::seed_from_u64(number);
        let mut clients: HashMap<String, Client> = HashMap::new();
        let mut last_target: Option<String> = None;
        while !stop.load(Ordering::Relaxed) {
            let sticky = last_target.take().filter(|_| self.is_sticky);
            let target = sticky.or_else(|| lock(ready).choose(&mut rng).cloned());
            if let Some(target) = target {
                let client = clients.entry(target.clone()).or_insert_with_key(|at| client(at));
                let service = self.services.choose(&mut rng).expect("a service");
                let call = match rng.random_range(0..1000) < self.transfers {
                    true => client.transfer(service, &mut rng),
                    false => client.lookup(service, &mut rng),
                };
                last_target = Some(target).filter(|_| call.outcome == Outcome::Answered);
                lock(calls).push(call);
            }
            thread::park_timeout(self.pause);
        }
    }
}

/// Returns a client with one attempt per call, so that each result belongs to one
/// proxy.
fn client(target: &str) -> Client {
    let mut config = load::Config::new(vec![target.to_owned()]);
    config.attempts = 1;
    config.timeout = Duration::from_secs(20);
    Client::new(config)
}

/// Starts a thread that keeps `target` in the `ready` list while it is ready. Each
/// proxy has its own thread, so that a frozen one doesn't delay the others' checks.
fn start_readiness_check(
    target: String,
    ready: &Arc<Mutex<Vec<String>>>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (ready, stop) = (Arc::clone(ready), Arc::clone(stop));
    let address = target.parse().expect("an address");
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let is_ready = http::get(address, "/-/ready").is_some_and(|(status, _)| status == 200);
            let mut list = lock(&ready);
            list.retain(|other| *other != target);
            if is_ready {
                list.push(target.clone());
            }
            drop(list);
            thread::park_timeout(CHECK_INTERVAL);
        }
    })
}

/// Callers that run in the background.
#[derive(Debug)]
pub struct RunningCallers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningCallers {
    /// Returns how many calls were answered so far.
    pub fn answered(&self) -> usize {
        let calls = lock(&self.calls);
        calls.iter().filter(|call| call.outcome == Outcome::Answered).count()
    }

    /// Returns whether a call that began after `at_ms` was answered.
    pub fn answered_after(&self, at_ms: u64) -> bool {
        let calls = lock(&self.calls);
        calls.iter().any(|call| call.outcome == Outcome::Answered && call.at_ms > at_ms)
    }

    /// Stops the callers and returns all calls.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub fn finish(mut self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("no panic");
        }
        std::mem::take(&mut *lock(&self.calls))
    }
}

impl Drop for RunningCallers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// One write of a VM's record.
#[derive(Clone, Debug)]
pub struct RecordWrite {
    /// The VM.
    pub vm: String,
    /// The revision of the write.
    pub revision: Revision,
    /// The record.
    pub record: Vm,
}

/// Collects every write of every VM's record from a watch of the store.
#[derive(Debug)]
pub struct Records {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<RecordWrite>>>,
    thread: Option<JoinHandle<()>>,
}

impl Records {
    /// Starts watching. The first writes are the current records.
    ///
    /// # Panics
    ///
    /// Panics if the store is down.
    pub fn watch(system: &System) -> Self {
        let store = Platform::new(Platforms::new(system.platform()).caller("watcher"));
        let range = store.range(key::VMS).expect("the store is up");
        let first = range.entries.iter().map(to_write).collect();
        let seen: Arc<Mutex<Vec<RecordWrite>>> = Arc::new(Mutex::new(first));
        let stop = Arc::new(AtomicBool::new(false));
        let (sink, stopped) = (Arc::clone(&seen), Arc::clone(&stop));
        let mut after = range.revision;
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let Ok(changes) = store.watch(key::VMS, after, WATCH_TIMEOUT) else {
                    thread::park_timeout(CHECK_INTERVAL);
                    continue;
                };
                after = changes.revision;
                let entries = changes.changes.iter().filter_map(|change| change.entry.as_ref());
                lock(&sink).extend(entries.map(to_write));
            }
        });
        Self { stop, seen, thread: Some(thread) }
    }

    /// Returns the writes seen so far.
    pub fn seen(&self) -> Vec<RecordWrite> {
        lock(&self.seen).clone()
    }

    /// Returns the writes of one VM's record seen so far.
    pub fn for_vm(&self, vm: &str) -> Vec<RecordWrite> {
        self.seen().into_iter().filter(|write| write.vm == vm).collect()
    }

    /// Returns the absences of all VMs, each from a drain until the VM served again.
    pub fn absences(&self) -> Vec<Absence> {
        let mut open: HashMap<String, Absence> = HashMap::new();
        let mut ended = Vec::new();
        for write in self.seen() {
            let at_ms = write.record.since_ms;
            match write.record.phase {
                Phase::Draining => {
                    let new = Absence { vm: write.vm.clone(), from_ms: at_ms, until_ms: u64::MAX };
                    open.entry(write.vm).or_insert(new);
                }
                Phase::Serving => {
                    let absence = open.remove(&write.vm);
                    ended.extend(absence.map(|absence| Absence { until_ms: at_ms, ..absence }));
                }
                _ => {}
            }
        }
        ended.extend(open.into_values());
        ended
    }
}

impl Drop for Records {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A period in which a VM takes no new work.
#[derive(Clone, Debug)]
pub struct Absence {
    /// The VM.
    pub vm: String,
    /// When its drain was written, in Unix milliseconds.
    pub from_ms: u64,
    /// When it served again, in Unix milliseconds, or `u64::MAX` if it does not
    /// yet.
    pub until_ms: u64,
}

fn to_write(entry: &Entry) -> RecordWrite {
    let vm = entry.key.trim_start_matches(key::VMS).to_owned();
    let record = serde_json::from_str(&entry.value).expect("a VM record");
    RecordWrite { vm, revision: entry.revision, record }
}

/// Returns the index of the entry VM whose controller holds the planner's lease.
pub fn lease_holder(system: &System) -> Option<usize> {
    let found = system.store().get(key::PLANNER).ok()?.entry?;
    let holder: Holder = serde_json::from_str(&found.value).expect("a holder");
    system.entries.iter().position(|entry| entry.settings.name == holder.name.as_str())
}

/// Returns a configuration of two services, `lookup` and `transfer`, with `copies`
/// copies each and at least two, on `racks` racks of `vms` VMs in each of three
/// data centres.
pub fn generated_config(racks: usize, vms: usize, copies: usize) -> String {
    let mut text = "[fleet]\nversion = 1\nname = wide\n\n[weights]\nmoves = 1\nbuffer = 1\n\
                    roll_out = 1\n\n"
        .to_owned();
    for centre in ["a", "b", "c"] {
        writeln!(text, "[data_centre.{centre}]\nregion = r\n").expect("memory");
        for rack in 1..=racks {
            let name = format!("{centre}{rack}");
            writeln!(text, "[rack.{name}]\ndata_centre = {centre}\nvms = {name}v[1..{vms}]")
                .expect("memory");
            writeln!(text, "cores = 16\nmemory_gb = 32\npool = front\n").expect("memory");
        }
    }
    text.push_str("[pool.front]\n\n");
    for service in ["lookup", "transfer"] {
        writeln!(
            text,
            "[service.{service}]\npool = front\ncores = 2\nmemory_gb = 4\nmin_copies = 2\n\
             max_copies = {max}\nunavailable = 50%\noutlasts = nothing\nlicences = {max}\n\
             run_ms = 5\nwarm_ms = 100\n",
            max = copies * 2,
        )
        .expect("memory");
    }
    writeln!(
        text,
        "[rule.last]\nwhen = always\nthen = copies lookup {copies}; copies transfer {copies}"
    )
    .expect("memory");
    text
}
