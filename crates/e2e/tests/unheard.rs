//! `leaving`: a drain that is accepted right after another write answered the watches of
//! all processes.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_e2e::fleet::{Callers, RunningCallers, generated_config, unix_ms};
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::{http, wait};
use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::{Drain, Phase};
use corianderfork_provider::store::{Expect, Store};
use serde_json::{Value, json};

/// The promised time limit, in milliseconds.
const PROMISED_MS: u64 = 4_000;
/// The time in which a configuration has to be in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(4);
/// How long callers have to be answered after a drain, in milliseconds. A VM that isn't
/// skipped gets several requests per second.
const OBSERVED_MS: u64 = PROMISED_MS + 4_000;
/// How long the store takes to consider a new watch: longer than it stays up.
const WATCH_DELAY_MS: u64 = 1_500;
/// The longest pause between two watches of a running reader, with the time of a watch.
const READER_US: u64 = 3_000_000;
/// The rounds in which the order of events may be reached.
const ROUNDS: usize = 10;
const SERVICES: [&str; 2] = ["lookup", "transfer"];
/// The number of copies of a service at which each of the 24 VMs has one.
const COPY_PER_VM: usize = 24;

/// A watch at the platform's store, with the positions of its events.
#[derive(Debug)]
struct Watch {
    caller: String,
    prefix: String,
    start: usize,
    end: Option<(usize, String)>,
}

/// The events of the platform's store, oldest first.
struct Trace {
    events: Vec<Value>,
    watches: BTreeMap<u64, Watch>,
}

impl Trace {
    fn read(system: &System) -> Self {
        let events = system.store_trace()["events"].as_array().expect("events").clone();
        let mut watches = BTreeMap::new();
        for (at, event) in events.iter().enumerate() {
            let id = event["id"].as_u64().unwrap_or_default();
            let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
            if event["event"] == "watch" {
                let (caller, prefix) =
                    (text(&event["watch"]["caller"]), text(&event["watch"]["prefix"]));
                watches.insert(id, Watch { caller, prefix, start: at, end: None });
            } else if event["event"] == "end"
                && let Some(watch) = watches.get_mut(&id)
            {
                watch.end = Some((at, text(&event["end"])));
            }
        }
        Self { events, watches }
    }

    /// Returns the position of the last write of a key.
    fn write(&self, key: &str) -> usize {
        let is_write = |event: &Value| event["event"] == "write" && event["key"] == key;
        self.events.iter().rposition(is_write).expect("written")
    }

    /// Returns the position of the last time the store went down.
    fn down(&self) -> usize {
        let is_down = |event: &Value| event["event"] == "down" && event["down"] == true;
        self.events.iter().rposition(is_down).expect("went down")
    }

    fn at_us(&self, event: usize) -> u64 {
        self.events[event]["at_us"].as_u64().expect("a time")
    }

    /// Returns the watches for a key that were waiting at an event.
    fn waiting(&self, key: &str, at: usize) -> Vec<&Watch> {
        let is_open = |watch: &Watch| watch.end.as_ref().is_none_or(|(end, _)| *end > at);
        let watches = self.watches.values().filter(|watch| key.starts_with(&watch.prefix));
        watches.filter(|watch| watch.start < at && is_open(watch)).collect()
    }

    /// Returns whether each reader of a key had a watch waiting at an event.
    fn is_settled(&self, key: &str, at: usize) -> bool {
        let since_us = self.at_us(at).saturating_sub(READER_US);
        let waiting = self.waiting(key, at);
        let watches = self.watches.values().filter(|watch| key.starts_with(&watch.prefix));
        let mut recent =
            watches.filter(|watch| watch.start < at && self.at_us(watch.start) > since_us);
        let is_same = |a: &Watch, b: &Watch| a.caller == b.caller && a.prefix == b.prefix;
        recent.all(|watch| waiting.iter().any(|other| is_same(watch, other)))
    }

    /// Returns whether the store went down with these writes seen as intended: when
    /// `first` was written, all readers were waiting, and it had answered all that waited
    /// for it before `drain` was written. None of the others that waited for `drain` ended
    /// by itself in between, and the store answered those left before it went down, and
    /// considered no new watch.
    fn is_in_order(&self, first: &str, drain: &str) -> bool {
        let (first_at, drain_at, down) = (self.write(first), self.write(drain), self.down());
        let ended = |watch: &&Watch, until: usize, how: &str| {
            watch.end.as_ref().is_some_and(|(at, end)| *at < until && end == how)
        };
        let (told, standing) = (self.waiting(first, first_at), self.waiting(drain, first_at));
        self.is_settled(first, first_at)
            && self.is_settled(drain, first_at)
            && !told.is_empty()
            && told.iter().all(|watch| ended(watch, drain_at, "changes"))
            && !standing.iter().any(|watch| ended(watch, drain_at, "timeout"))
            && self.waiting(drain, drain_at).iter().all(|watch| ended(watch, down, "changes"))
            && !self.watches.values().any(|watch| watch.start > first_at && watch.start < down)
    }

    /// Describes the watches for a key that were waiting at its last write.
    fn describe(&self, key: &str) -> String {
        let at = self.write(key);
        let describe = |watch: &Watch| {
            let end = watch.end.as_ref().map_or("open", |(_, end)| end);
            format!("{} {} {end}", watch.caller, watch.prefix)
        };
        let watches: Vec<_> = self.waiting(key, at).into_iter().map(describe).collect();
        let ms = self.at_us(self.down()).saturating_sub(self.at_us(at)) / 1_000;
        format!("{key}: {} waiting {watches:?}, store down {ms} ms later", watches.len())
    }
}

fn drain_key(vm: &str) -> String {
    key::drain(&Name::new(vm).expect("a name"))
}

fn vm_key(vm: &str) -> String {
    key::vm(&Name::new(vm).expect("a name"))
}

/// Writes a drain as the command line does. Returns its key and when it was accepted, in
/// Unix milliseconds.
fn drain(system: &System, vm: &str) -> (String, u64) {
    let drain = Drain { by: "test".to_owned(), reason: "test".to_owned() };
    let value = serde_json::to_string(&drain).expect("JSON");
    let key = drain_key(vm);
    system.store().put(&key, &value, Expect::Absent, None).expect("accepted");
    (key, unix_ms())
}

fn undrain(system: &System, vms: [&str; 2]) {
    for vm in vms {
        system.store().delete(&drain_key(vm), Expect::Anything).expect("accepted");
    }
    for vm in vms {
        system.wait_phase(vm, Phase::Serving);
    }
}

/// Writes a record again as it is. Returns its key.
fn rewrite(system: &System, key: &str) -> String {
    let entry = system.store().get(key).expect("the store is up").entry.expect("a record");
    let expect = Expect::Revision(entry.revision);
    system.store().put(key, &entry.value, expect, None).expect("accepted");
    key.to_owned()
}

/// Returns two serving VMs with copies.
fn two_vms(system: &System) -> [String; 2] {
    let is_candidate = |vm: &corianderfork_provider::record::Vm| {
        vm.phase == Phase::Serving && !vm.runners.is_empty()
    };
    wait::until("VMs with copies", || {
        let vms = system.vms().into_iter().filter(|(_, vm)| is_candidate(vm));
        let vms: Vec<_> = vms.map(|(vm, _)| vm).collect();
        // The rest has to be able to take the requests.
        let is_enough = vms.len() == COPY_PER_VM;
        vms.get(..2).filter(|_| is_enough).map(|vms| [vms[0].clone(), vms[1].clone()])
    })
    .0
}

/// Waits until each reader of some key has a watch waiting.
fn wait_settled(system: &System, keys: &[&str]) {
    wait::until("all watches to be waiting", || {
        let trace = Trace::read(system);
        let now = trace.events.len() - 1;
        keys.iter().all(|key| trace.is_settled(key, now)).then_some(())
    });
}

/// Waits until every watch that waited for a write has ended.
fn wait_told(system: &System, key: &str) {
    wait::until("the watches to be answered", || {
        let trace = Trace::read(system);
        let at = trace.write(key);
        trace.waiting(key, at).iter().all(|watch| watch.end.is_some()).then_some(())
    });
}

fn wait_observed(callers: &RunningCallers, since_ms: u64) {
    wait::until("callers to be answered for long enough", || {
        callers.answered_after(since_ms + OBSERVED_MS).then_some(())
    });
}

/// Returns the milliseconds from `from` to the last run at a VM, 0 if there was none.
fn last_run_after(system: &System, vm: &str, from: u64) -> u64 {
    let runs = system.runs().runs;
    let later = runs.iter().filter(|run| run.vm == vm && run.at_ms > from);
    later.map(|run| run.at_ms - from).max().unwrap_or_default()
}

/// Has `first` make a write that answers the watches of all processes, drains a VM before
/// the store considers another watch, takes the store down, and checks that the VM gets no
/// request after the time limit. `first` gets another VM, and returns the key it wrote.
fn check_drain_after(what: &str, first: impl Fn(&System, &str) -> String) {
    let system = System::converged(Config::new(&generated_config(1, 8, COPY_PER_VM)));
    let callers = Callers::new(&SERVICES).start(&system);
    for _ in 0..ROUNDS {
        let [other, vm] = two_vms(&system);
        wait_settled(&system, &[&vm_key(&other), &drain_key(&other), &drain_key(&vm)]);
        system.platform_fault(&json!({ "watch_delay_ms": WATCH_DELAY_MS }));
        let first_key = first(&system, &other);
        let first_ms = unix_ms();
        wait_told(&system, &first_key);
        let (key, accepted_ms) = drain(&system, &vm);
        wait_told(&system, &key);
        system.store_down(true);
        let trace = Trace::read(&system);
        if trace.is_in_order(&first_key, &key) {
            wait_observed(&callers, accepted_ms);
            let last_run_ms = last_run_after(&system, &vm, accepted_ms);
            println!("leaving, {what}: last run {last_run_ms} ms later");
            println!("{}\n{}", trace.describe(&first_key), trace.describe(&key));
            assert_eq!(system.runs().cut, 0);
            callers.finish();
            if first_key == drain_key(&other) {
                let last_run_ms = last_run_after(&system, &other, first_ms);
                assert!(last_run_ms <= PROMISED_MS, "first drain: last run {last_run_ms} ms later");
            }
            assert!(last_run_ms <= PROMISED_MS, "{what}: last run {last_run_ms} ms later");
            return;
        }
        system.platform_fault(&json!({ "watch_delay_ms": 0, "down": false }));
        undrain(&system, [&other, &vm]);
    }
    panic!("the events never came in the intended order");
}

#[test]
fn leaving_after_another_drain_answered_all_watches() {
    // Guards against an accepted drain that no process hears of because the drain of
    // another VM has just answered every watch that was waiting for it.
    check_drain_after("another VM drained", |system, other| drain(system, other).0);
}

#[test]
fn leaving_after_another_record_answered_the_watches_of_all_records() {
    // Guards against an accepted drain that no process hears of because the write of
    // another shared record has just answered the watches of all records. The watches of
    // drains alone are waiting then, also without those of single VMs.
    check_drain_after("a VM record written", |system, other| rewrite(system, &vm_key(other)));
}

#[test]
fn config_after_another_record_answered_the_watches_of_all_records() {
    // Guards against an accepted configuration that no proxy hears of because the write of
    // another shared record has just answered the watches of all records.
    let system = System::converged(Config::new(&generated_config(1, 8, COPY_PER_VM)));
    for _ in 0..ROUNDS {
        let [other, _] = two_vms(&system);
        wait_settled(&system, &[&vm_key(&other), key::CONFIG]);
        system.platform_fault(&json!({ "watch_delay_ms": WATCH_DELAY_MS }));
        let first_key = rewrite(&system, &vm_key(&other));
        wait_told(&system, &first_key);
        rewrite(&system, key::CONFIG);
        wait_told(&system, key::CONFIG);
        system.store_down(true);
        let trace = Trace::read(&system);
        if trace.is_in_order(&first_key, key::CONFIG) {
            println!("{}\n{}", trace.describe(&first_key), trace.describe(key::CONFIG));
            let revision = trace.events[trace.write(key::CONFIG)]["revision"].as_u64();
            let is_applied = || is_in_force(&system, revision).then_some(());
            let (_, took) = wait::until("the configuration to be in force", is_applied);
            assert!(took <= CONFIG_LIMIT, "in force after {took:?}");
            return;
        }
        system.platform_fault(&json!({ "watch_delay_ms": 0, "down": false }));
    }
    panic!("the events never came in the intended order");
}

/// Returns whether all proxies act on the configuration written at `revision`.
fn is_in_force(system: &System, revision: Option<u64>) -> bool {
    let known = |address| http::metric(address, "corianderfork_proxy", "config_revision");
    let mut known = system.entries.iter().map(|entry| known(entry.callers()));
    known.all(|known| known.map(|known| known as u64) >= revision)
}
