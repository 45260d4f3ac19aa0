//! `one_pool`: a VM belongs to exactly one pool at any moment, by its record and
//! by the backend servers' history.

use std::collections::{BTreeMap, BTreeSet};

use corianderfork_e2e::fleet::{Callers, RecordWrite, Records, RunningCallers, lease_holder};
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::wait;
use corianderfork_provider::record::Phase;
use corianderfork_standins::history::{self, Run};
use serde_json::json;

/// Two pools with a service each. The VMs of rack `c1` move between them.
const TWO_POOLS: &str = "\
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
/// The lease expires within a second, so that a test can wait for it.
const CONTROLLER: &str = "lease_ttl_ms = 1000\ndecide_ms = 200\ntasks_ms = 200\n";

fn other_pool(pool: &str) -> &'static str {
    if pool == "front" { "back" } else { "front" }
}

fn service_of(pool: &str) -> &'static str {
    if pool == "front" { "lookup" } else { "archive" }
}

struct Moves {
    system: System,
    records: Records,
    callers: RunningCallers,
    pool: &'static str,
}

impl Moves {
    fn start(config: Config) -> Self {
        let system = System::converged(config.run_ms(20).controller(CONTROLLER));
        let records = Records::watch(&system);
        let callers = Callers::new(&["lookup", "archive"]).start(&system);
        let moves = Self { system, records, callers, pool: "front" };
        moves.wait_runs();
        moves
    }

    /// Applies a configuration that moves the VMs of rack `c1` to the other pool.
    fn order(&mut self) {
        self.pool = other_pool(self.pool);
        let rack = format!("vms = c[1..3]\ncores = 16\nmemory_gb = 32\npool = {}", self.pool);
        let text =
            TWO_POOLS.replace("vms = c[1..3]\ncores = 16\nmemory_gb = 32\npool = front", &rack);
        let (code, out) = self.system.apply_text(&text);
        assert_eq!(code, 0, "{out}");
    }

    /// Waits until a VM is in `phase`.
    fn wait_phase(&self, phase: Phase) {
        let vm_in_phase = || self.system.vms().into_iter().find(|(_, vm)| vm.phase == phase);
        wait::until(format!("a VM to be {phase}"), vm_in_phase);
    }

    /// Waits until the moved VMs serve in the new pool and its service has run at
    /// each.
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
        self.wait_runs();
    }

    fn wait_runs(&self) {
        let before = self.system.runs().runs.len();
        wait::until("each moved VM to run its pool's service", || {
            let runs = self.system.runs().runs;
            let own = runs[before..].iter().filter(|run| run.service == service_of(self.pool));
            let at: BTreeSet<&str> = own.map(|run| run.vm.as_str()).collect();
            MOVED.iter().all(|vm| at.contains(vm)).then_some(())
        });
    }

    /// Stops the callers and checks all histories.
    fn finish(self) {
        let calls = self.callers.finish();
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

/// Checks that each write is a valid successor of the one before it, and that the pool
/// changes only on a drained VM. Returns the number of writes.
fn check_record(history: &[RecordWrite]) -> usize {
    for pair in history.windows(2) {
        let (from, to) = (&pair[0].record, &pair[1].record);
        assert!(pair[0].revision < pair[1].revision, "{pair:?}");
        assert!(to.epoch >= from.epoch, "the epoch went back: {pair:?}");
        let is_valid = match from.phase {
            Phase::Serving => matches!(to.phase, Phase::Serving | Phase::Draining),
            Phase::Draining => matches!(to.phase, Phase::Drained | Phase::Serving),
            Phase::Drained => matches!(to.phase, Phase::Returning | Phase::Serving),
            Phase::Returning => to.phase == Phase::Serving,
            _ => false,
        };
        assert!(is_valid, "invalid phase change: {pair:?}");
        let is_drained = from.phase == Phase::Drained && to.phase == Phase::Returning;
        assert!(from.pool == to.pool || is_drained, "moved before it was drained: {pair:?}");
        assert!(from.pool == to.pool || to.runners.is_empty(), "{pair:?}");
    }
    history.len()
}

/// Checks that no run of a pool's service falls outside of the VM's time in that pool.
/// Returns how often the VM changed its pool.
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
        assert_eq!(run.service, service_of(&pool), "{vm} was in {pool}: {run:?}");
    }
    // Checks the same by the runs alone: one period of runs for each stay in a pool.
    let mut stays: BTreeMap<usize, &str> = BTreeMap::new();
    let vm_runs: Vec<&Run> = runs.iter().filter(|run| run.vm == vm).collect();
    for (number, run) in vm_runs.iter().enumerate() {
        if number == 0 || vm_runs[number - 1].service != run.service {
            stays.insert(number, &run.service);
        }
    }
    assert!(stays.len() <= switches.len() + 1, "{vm} ran the services alternately: {stays:?}");
    switches.len()
}

#[test]
fn one_pool_holder_frozen_past_its_lease() {
    // Guards against a VM that serves two pools or returns to its old pool. While VMs move
    // to another pool, the deciding controller is frozen in each phase until another has
    // taken over and completed the move. When it resumes, it must not continue with its
    // outdated state.
    let mut moves = Moves::start(Config::new(TWO_POOLS).entries(3));
    for phase in [Phase::Draining, Phase::Drained, Phase::Returning] {
        moves.order();
        moves.wait_phase(phase);
        let (first, _) = wait::until("a controller to decide", || lease_holder(&moves.system));
        let controller = moves.system.entries[first].controller.as_ref().expect("runs");
        controller.stop().expect("freezes");
        wait::until("another controller to decide", || {
            lease_holder(&moves.system).filter(|now| *now != first)
        });
        moves.wait_moved();
        moves.system.entries[first].controller.as_ref().expect("runs").cont().expect("resumes");
    }
    moves.order();
    moves.wait_moved();
    moves.finish();
}

#[test]
fn one_pool_holder_killed() {
    // Guards against a VM that stays between two pools forever. The deciding controller is
    // killed while VMs drain, and the next one once they are drained. The next steps must
    // not exist only in a controller's memory.
    let mut moves = Moves::start(Config::new(TWO_POOLS).entries(4));
    for phase in [Phase::Draining, Phase::Drained] {
        moves.order();
        moves.wait_phase(phase);
        let (first, _) = wait::until("a controller to decide", || {
            lease_holder(&moves.system).filter(|at| moves.system.entries[*at].controller.is_some())
        });
        moves.system.entries[first].controller = None;
        moves.wait_moved();
    }
    moves.finish();
}

#[test]
fn one_pool_write_responses_lost() {
    // Guards against a VM that repeats a phase or stays between two. While VMs change their
    // pool, the store loses the responses to applied writes of VM records. A write without
    // a response must not count as failed.
    let mut moves = Moves::start(Config::new(TWO_POOLS));
    for _ in 0..2 {
        moves.system.platform_fault(&json!({ "lose_answers": 6, "lose_prefix": "shared/vm/" }));
        moves.order();
        moves.wait_moved();
    }
    assert!(moves.system.stats()["lost_answers"].as_u64() >= Some(6), "no response was lost");
    moves.finish();
}

#[test]
fn one_pool_write_delayed_past_the_lease() {
    // Guards against a VM that returns to its old pool and an older drain. The network
    // delays the deciding controller's writes until its lease has expired and another
    // controller has moved the VMs; then the writes arrive. The fence has to be checked
    // where a write takes effect, not where it is sent.
    let mut moves = Moves::start(Config::new(TWO_POOLS).faults());
    for _ in 0..2 {
        let (first, _) = wait::until("a controller to decide", || lease_holder(&moves.system));
        moves.system.network_fault(first, &json!({ "freeze": "to" }));
        moves.order();
        wait::until("another controller to decide", || {
            lease_holder(&moves.system).filter(|now| *now != first)
        });
        moves.wait_moved();
        moves.system.network_fault(first, &json!({ "freeze": "none" }));
        moves.wait_runs();
    }
    moves.finish();
}
