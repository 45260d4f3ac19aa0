//! What the failure tests of whole fleets share: callers that go on until they
//! are told to stop, the history of the VM records, and configurations.

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

/// How often the balancer asks each proxy whether it is ready.
const HEALTH: Duration = Duration::from_millis(50);
/// How long one watch of the records waits.
const WATCH: Duration = Duration::from_millis(500);

/// Milliseconds since the Unix epoch: the clock of all histories.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
    now.as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How callers call.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Services, each called as often.
    pub services: Vec<String>,
    /// Callers at once, each with connections of its own.
    pub workers: u64,
    /// What a caller waits between an answer and its next call.
    pub pause: Duration,
    /// Transfers among the calls, in per mille.
    pub transfers: u32,
    /// Whether a caller stays with a proxy for as long as it is served there,
    /// whatever the balancer says: it has an open connection.
    pub stays: bool,
}

impl Callers {
    /// Twelve callers with ten calls a second each, lookups alone.
    pub fn new(services: &[&str]) -> Self {
        let services = services.iter().map(|name| (*name).to_owned()).collect();
        let pause = Duration::from_millis(100);
        Self { services, workers: 12, pause, transfers: 0, stays: false }
    }

    /// Begins to call the proxies that run now, behind a balancer that sends
    /// nobody to a proxy that is not ready.
    pub fn start(&self, system: &System) -> Calling {
        self.start_at(system.targets())
    }

    /// Begins to call these proxies.
    pub fn start_at(&self, targets: Vec<String>) -> Calling {
        let stop = Arc::new(AtomicBool::new(false));
        let ready = Arc::new(Mutex::new(targets.clone()));
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let balancers = targets.into_iter().map(|target| balance(target, &ready, &stop));
        let mut threads: Vec<_> = balancers.collect();
        for number in 0..self.workers {
            let (this, ready) = (self.clone(), Arc::clone(&ready));
            let (calls, stop) = (Arc::clone(&calls), Arc::clone(&stop));
            threads.push(thread::spawn(move || this.work(number, &ready, &calls, &stop)));
        }
        Calling { stop, calls, threads }
    }

    fn work(
        &self,
        number: u64,
        ready: &Mutex<Vec<String>>,
        calls: &Mutex<Vec<Call>>,
        stop: &AtomicBool,
    ) {
        let mut rng = SmallRng::seed_from_u64(number);
        let mut clients: HashMap<String, Client> = HashMap::new();
        let mut stayed: Option<String> = None;
        while !stop.load(Ordering::Relaxed) {
            let chosen = stayed.take().filter(|_| self.stays);
            let target = chosen.or_else(|| lock(ready).choose(&mut rng).cloned());
            if let Some(target) = target {
                let client = clients.entry(target.clone()).or_insert_with_key(|at| client(at));
                let service = self.services.choose(&mut rng).expect("a service");
                let call = match rng.random_range(0..1000) < self.transfers {
                    true => client.transfer(service, &mut rng),
                    false => client.lookup(service, &mut rng),
                };
                stayed = Some(target).filter(|_| call.outcome == Outcome::Answered);
                lock(calls).push(call);
            }
            thread::park_timeout(self.pause);
        }
    }
}

/// One attempt a call: what each proxy said is told apart.
fn client(target: &str) -> Client {
    let mut config = load::Config::new(vec![target.to_owned()]);
    config.attempts = 1;
    config.timeout = Duration::from_secs(20);
    Client::new(config)
}

/// Keeps `target` in the list of those that are ready, or out of it. Each has a
/// thread of its own: one that is frozen must not keep the others' state back.
fn balance(
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
            thread::park_timeout(HEALTH);
        }
    })
}

/// Callers at work.
#[derive(Debug)]
pub struct Calling {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Calling {
    /// How many calls were answered so far.
    pub fn answered(&self) -> usize {
        let calls = lock(&self.calls);
        calls.iter().filter(|call| call.outcome == Outcome::Answered).count()
    }

    /// Whether a call that began after `at_ms` was answered.
    pub fn answered_after(&self, at_ms: u64) -> bool {
        let calls = lock(&self.calls);
        calls.iter().any(|call| call.outcome == Outcome::Answered && call.at_ms > at_ms)
    }

    /// Ends the calls and gives them all.
    ///
    /// # Panics
    ///
    /// Panics if a caller did.
    pub fn finish(mut self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("no panic");
        }
        std::mem::take(&mut *lock(&self.calls))
    }
}

impl Drop for Calling {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A VM's record as it was written once.
#[derive(Clone, Debug)]
pub struct Written {
    /// The VM.
    pub vm: String,
    /// The revision of the write.
    pub revision: Revision,
    /// The record.
    pub record: Vm,
}

/// Every write of every VM's record, as a watch of the store showed it.
#[derive(Debug)]
pub struct Records {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Written>>>,
    thread: Option<JoinHandle<()>>,
}

impl Records {
    /// Watches from now on; the records as they are come first.
    ///
    /// # Panics
    ///
    /// Panics if the store is down now.
    pub fn watch(system: &System) -> Self {
        let store = Platform::new(Platforms::new(system.platform()).caller("watcher"));
        let range = store.range(key::VMS).expect("the store is up");
        let first = range.entries.iter().map(written).collect();
        let seen: Arc<Mutex<Vec<Written>>> = Arc::new(Mutex::new(first));
        let stop = Arc::new(AtomicBool::new(false));
        let (to, until) = (Arc::clone(&seen), Arc::clone(&stop));
        let mut after = range.revision;
        let thread = thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                let Ok(changes) = store.watch(key::VMS, after, WATCH) else {
                    thread::park_timeout(HEALTH);
                    continue;
                };
                after = changes.revision;
                let entries = changes.changes.iter().filter_map(|change| change.entry.as_ref());
                lock(&to).extend(entries.map(written));
            }
        });
        Self { stop, seen, thread: Some(thread) }
    }

    /// What was seen so far.
    pub fn seen(&self) -> Vec<Written> {
        lock(&self.seen).clone()
    }

    /// What was seen of one VM so far.
    pub fn of(&self, vm: &str) -> Vec<Written> {
        self.seen().into_iter().filter(|one| one.vm == vm).collect()
    }

    /// Each time a VM left service: from its drain until it served again.
    pub fn absences(&self) -> Vec<Absence> {
        let mut open: HashMap<String, Absence> = HashMap::new();
        let mut ended = Vec::new();
        for one in self.seen() {
            let at_ms = one.record.since_ms;
            match one.record.phase {
                Phase::Draining => {
                    let new = Absence { vm: one.vm.clone(), from_ms: at_ms, until_ms: u64::MAX };
                    open.entry(one.vm).or_insert(new);
                }
                Phase::Serving => {
                    let closed = open.remove(&one.vm);
                    ended.extend(closed.map(|absence| Absence { until_ms: at_ms, ..absence }));
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

/// A time in which a VM takes no new work.
#[derive(Clone, Debug)]
pub struct Absence {
    /// The VM.
    pub vm: String,
    /// When its drain was written, in Unix milliseconds.
    pub from_ms: u64,
    /// When it served again, in Unix milliseconds; the greatest number if it
    /// does not yet.
    pub until_ms: u64,
}

fn written(entry: &Entry) -> Written {
    let vm = entry.key.trim_start_matches(key::VMS).to_owned();
    let record = serde_json::from_str(&entry.value).expect("a VM record");
    Written { vm, revision: entry.revision, record }
}

/// Which entry VM's controller holds the lease on deciding.
pub fn holder(system: &System) -> Option<usize> {
    let found = system.store().get(key::PLANNER).ok()?.entry?;
    let holder: Holder = serde_json::from_str(&found.value).expect("a holder");
    system.entries.iter().position(|entry| entry.settings.name == holder.name.as_str())
}

/// A configuration of two services, `lookup` and `transfer`, with `copies`
/// each of which two have to serve, on `racks` racks of `vms` VMs in each of
/// three data centres.
pub fn wide(racks: usize, vms: usize, copies: usize) -> String {
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
