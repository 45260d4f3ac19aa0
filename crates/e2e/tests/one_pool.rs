//! `one_pool`: a VM belongs to exactly one pool at any moment, as its record
//! says and as the backend servers' history shows.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_e2e::fleet::{Callers, RecordWrite, Records, RunningCallers, lease_holder};
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::wait;
use corianderfork_provider::record::Phase;
use corianderfork_standins::history::{self, Run};
use serde_json::json;

/// Two pools with a service each, which the VMs of rack `c` change between.
const TWO: &str = "\
[fleet]
version = 1
name = two

[weights]
moves = 1
buffer = 1
roll_out = 1

[data_centre.a]
region = r
[data_centre.b]
region = r
[data_centre.c]
region = r

[rack.a1]
data_centre = a
vms = a[1..3]
cores = 16
memory_gb = 32
pool = front
[rack.b1]
data_centre = b
vms = b[1..3]
cores = 16
memory_gb = 32
pool = back
[rack.c1]
data_centre = c
vms = c[1..3]
cores = 16
memory_gb = 32
pool = front

[pool.front]
[pool.back]

[service.lookup]
pool = front
cores = 2
memory_gb = 4
min_copies = 2
max_copies = 6
unavailable = 80%
outlasts = nothing
licences = 12
run_ms = 20
warm_ms = 100

[service.archive]
pool = back
cores = 2
memory_gb = 4
min_copies = 2
max_copies = 6
unavailable = 80%
outlasts = nothing
licences = 12
run_ms = 20
warm_ms = 100

[rule.last]
when = always
then = copies lookup 6; copies archive 6
";

const MOVED: [&str; 3] = ["c1", "c2", "c3"];
/// The lease lapses within a second, so that a test can wait for it.
const CONTROLLER: &str = "lease_ttl_ms = 1000\ndecide_ms = 200\ntasks_ms = 200\n";

fn other(pool: &str) -> &'static str {
    if pool == "front" { "back" } else { "front" }
}

fn service(pool: &str) -> &'static str {
    if pool == "front" { "lookup" } else { "archive" }
}

struct Moves {
    system: System,
    records: Records,
    calling: RunningCallers,
    pool: &'static str,
}

impl Moves {
    fn start(config: Config) -> Self {
        let system = System::converged(config.run_ms(20).controller(CONTROLLER));
        let records = Records::watch(&system);
        let calling = Callers::new(&["lookup", "archive"]).start(&system);
        let moves = Self { system, records, calling, pool: "front" };
        moves.wait_carrying();
        moves
    }

    /// Orders that the VMs of rack `c1` be in the other pool.
    fn order(&mut self) {
        self.pool = other(self.pool);
        let rack = format!("vms = c[1..3]\ncores = 16\nmemory_gb = 32\npool = {}", self.pool);
        let text = TWO.replace("vms = c[1..3]\ncores = 16\nmemory_gb = 32\npool = front", &rack);
        let (code, out) = self.system.apply_text(&text);
        assert_eq!(code, 0, "{out}");
    }

    /// Waits until a VM is in `phase` on its way.
    fn wait_step(&self, phase: Phase) {
        let there = || self.system.vms().into_iter().find(|(_, vm)| vm.phase == phase);
        wait::until(format!("a VM to be {phase}"), there);
    }

    /// Waits until the VMs are where they are to be, and the new pool's
    /// service has run at each.
    fn wait_moved(&self) {
        wait::until(format!("the VMs to serve in {}", self.pool), || {
            let vms = self.system.vms();
            let moved = vms.iter().filter(|(name, vm)| {
                MOVED.contains(&name.as_str())
                    && vm.pool.as_str() == self.pool
                    && vm.phase == Phase::Serving
            });
            (moved.count() == MOVED.len()).then_some(())
        });
        self.wait_carrying();
    }

    fn wait_carrying(&self) {
        let since = self.system.runs().runs.len();
        wait::until("each moved VM to run its pool's service", || {
            let runs = self.system.runs().runs;
            let own = runs[since..].iter().filter(|run| run.service == service(self.pool));
            let at: BTreeSet<&str> = own.map(|run| run.vm.as_str()).collect();
            MOVED.iter().all(|vm| at.contains(vm)).then_some(())
        });
    }

    /// Checks all histories.
    fn finish(self) {
        let calls = self.calling.finish();
        let runs = self.system.runs();
        let findings = history::check(&runs, &calls);
        assert!(findings.is_clean(), "{findings:?}");
        assert_eq!(findings.cut, 0, "requests were cut off by a move");
        let writes: usize = MOVED.iter().map(|vm| check_record(&self.records.for_vm(vm))).sum();
        let moves: usize = MOVED.iter().map(|vm| check_runs(vm, &runs.runs, &self.records)).sum();
        println!("one_pool: {writes} writes, {moves} moves, {} runs", runs.runs.len());
        assert!(moves >= MOVED.len(), "{moves} moves");
    }
}

/// Each write follows from the one before it; a pool changes only where
/// nothing is left of the old one.
fn check_record(history: &[RecordWrite]) -> usize {
    for pair in history.windows(2) {
        let (from, to) = (&pair[0].record, &pair[1].record);
        assert!(pair[0].revision < pair[1].revision, "{pair:?}");
        assert!(to.epoch >= from.epoch, "an older drain came back: {pair:?}");
        let follows = match from.phase {
            Phase::Serving => matches!(to.phase, Phase::Serving | Phase::Draining),
            Phase::Draining => matches!(to.phase, Phase::Drained | Phase::Serving),
            Phase::Drained => matches!(to.phase, Phase::Returning | Phase::Serving),
            Phase::Returning => to.phase == Phase::Serving,
            _ => false,
        };
        assert!(follows, "no step leads there: {pair:?}");
        let drained = from.phase == Phase::Drained && to.phase == Phase::Returning;
        assert!(from.pool == to.pool || drained, "switched before it was drained: {pair:?}");
        assert!(from.pool == to.pool || to.runners.is_empty(), "{pair:?}");
    }
    history.len()
}

/// No run of a pool's service falls outside of the VM's time in that pool.
/// Gives how often the VM changed its pool.
fn check_runs(vm: &str, runs: &[Run], records: &Records) -> usize {
    let history = records.for_vm(vm);
    let switches: Vec<&RecordWrite> = history
        .windows(2)
        .filter(|pair| pair[0].record.pool != pair[1].record.pool)
        .map(|pair| &pair[1])
        .collect();
    let first = history[0].record.pool.to_string();
    for run in runs.iter().filter(|run| run.vm == vm) {
        let mut before = switches.iter().filter(|switch| switch.record.since_ms <= run.at_ms);
        let pool =
            before.next_back().map_or(first.clone(), |switch| switch.record.pool.to_string());
        assert_eq!(run.service, service(&pool), "{vm} was in {pool}: {run:?}");
    }
    // The same told by the runs alone: one stretch of runs for each stay.
    let mut stays: BTreeMap<usize, &str> = BTreeMap::new();
    let here: Vec<&Run> = runs.iter().filter(|run| run.vm == vm).collect();
    for (number, run) in here.iter().enumerate() {
        if number == 0 || here[number - 1].service != run.service {
            stays.insert(number, &run.service);
        }
    }
    assert!(stays.len() <= switches.len() + 1, "{vm} went back and forth: {stays:?}");
    switches.len()
}

#[test]
fn one_pool_holder_frozen_past_its_lease_between_steps() {
    // Symptom: a VM runs two pools' work, or falls back to the pool it left.
    // Sequence: VMs are ordered to another pool; the controller that decides
    // is frozen at each step until another has taken over and gone on, then it
    // wakes.
    // Cause: it goes on by what it knew when it was frozen.
    let mut moves = Moves::start(Config::new(TWO).entries(3));
    for step in [Phase::Draining, Phase::Drained, Phase::Returning] {
        moves.order();
        moves.wait_step(step);
        let (first, _) = wait::until("someone to decide", || lease_holder(&moves.system));
        let frozen = moves.system.entries[first].controller.as_ref().expect("runs");
        frozen.stop().expect("freezes");
        wait::until("another to decide", || {
            lease_holder(&moves.system).filter(|now| *now != first)
        });
        moves.wait_moved();
        moves.system.entries[first].controller.as_ref().expect("runs").cont().expect("wakes");
    }
    moves.order();
    moves.wait_moved();
    moves.finish();
}

#[test]
fn one_pool_holder_killed_between_steps() {
    // Symptom: a VM stays between two pools for good.
    // Sequence: the controller that decides is killed while VMs drain, and the
    // next one once they are drained.
    // Cause: what comes next is in its memory alone.
    let mut moves = Moves::start(Config::new(TWO).entries(4));
    for step in [Phase::Draining, Phase::Drained] {
        moves.order();
        moves.wait_step(step);
        let (first, _) = wait::until("someone to decide", || {
            lease_holder(&moves.system).filter(|at| moves.system.entries[*at].controller.is_some())
        });
        moves.system.entries[first].controller = None;
        moves.wait_moved();
    }
    moves.finish();
}

#[test]
fn one_pool_answers_of_writes_lost() {
    // Symptom: a VM goes through a step twice, or stays between two.
    // Sequence: the store loses the answers of writes of VM records that took
    // effect, while VMs change their pool.
    // Cause: a write without an answer is taken for one that failed.
    let mut moves = Moves::start(Config::new(TWO));
    for _ in 0..2 {
        moves.system.platform_fault(&json!({ "lose_answers": 6, "lose_prefix": "shared/vm/" }));
        moves.order();
        moves.wait_moved();
    }
    assert!(moves.system.stats()["lost_answers"].as_u64() >= Some(6), "no answer was lost");
    moves.finish();
}

#[test]
fn one_pool_write_held_up_past_the_lease() {
    // Symptom: a VM falls back to the pool it left, and to an older drain.
    // Sequence: what the controller that decides sends to the store is held up
    // in the network; its lease lapses; another moves the VMs; then the held
    // writes arrive.
    // Cause: a write is fenced where it is sent, not where it takes effect.
    let mut moves = Moves::start(Config::new(TWO).faults());
    for _ in 0..2 {
        let (first, _) = wait::until("someone to decide", || lease_holder(&moves.system));
        moves.system.network_fault(first, &json!({ "freeze": "to" }));
        moves.order();
        wait::until("another to decide", || {
            lease_holder(&moves.system).filter(|now| *now != first)
        });
        moves.wait_moved();
        moves.system.network_fault(first, &json!({ "freeze": "none" }));
        moves.wait_carrying();
    }
    moves.finish();
}
