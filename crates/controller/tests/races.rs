//! Races between controllers, and proxies that lag.

mod support;

use corianderfork_controller::plan::Limits;
use corianderfork_controller::plan::action::Action;
use corianderfork_provider::fleet::VmState;
use corianderfork_provider::record::Phase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{FLEET, Simulation, fleet_with_v3_moved, fleet_without_rally, settings};

fn running_fleet(limits: &Limits) -> Simulation {
    let mut sim = Simulation::with(2, 2, limits);
    sim.run_until(0, "serving", |sim| {
        sim.store.entries.contains_key("shared/vm/v5")
            && (1..=5).all(|i| {
                let vm = sim.store.vm(&format!("v{i}"));
                let here = sim.tasks.keys().filter(|copy| copy.0.as_str() == format!("v{i}"));
                vm.runners.len() == here.count()
            })
            && ["transfer", "rally", "dossier"].iter().all(|service| sim.running(service) > 0)
    });
    sim
}

fn default_fleet() -> Simulation {
    running_fleet(&Limits::new(&settings()))
}

// Guards against a serving VM that is reset to an old state, or rebooted under
// load. A holder decides and is paused past its lease; another holder drains
// and returns the same VM; the first one resumes and writes its old decision.
// The write has to be fenced by the revision that it is based on.
#[test]
fn decide_stale_write_is_refused_by_revision() {
    let mut sim = default_fleet();
    let idle = (1..=5).map(|i| format!("v{i}")).find(|vm| sim.store.vm(vm).runners.is_empty());
    let vm = idle.expect("a VM without copies");
    sim.drain(&vm);
    sim.now += 2_000;
    sim.read(0);
    sim.settle_proxies();
    sim.decide(0);
    let stale = sim.controllers[0].queue.clone();
    assert!(stale.iter().any(Action::is_write), "no write is queued: {stale:?}");
    sim.holder = 1;
    sim.run_until(1, "drained", |sim| sim.store.vm(&vm).phase == Phase::Drained);
    sim.undrain(&vm);
    sim.run_until(1, "serving", |sim| sim.store.vm(&vm).phase == Phase::Serving);
    let before = sim.store.vm(&vm);
    sim.carry_out(0);
    assert_eq!(sim.store.vm(&vm), before);
    assert!(sim.controllers[0].conflicts > 0);
}

// Guards against a reboot that cuts off a request. One proxy has not confirmed
// a drain, as it still has work there or does not know of the drain. Neither
// the other proxies' confirmations nor time alone may release the VM.
#[test]
fn drain_waits_for_unconfirmed_proxy() {
    let mut sim = default_fleet();
    sim.drain("v1");
    sim.run_until(0, "draining", |sim| sim.store.vm("v1").phase == Phase::Draining);
    for _ in 0..20 {
        sim.now += 400;
        sim.read(0);
        sim.proxies[0].sync(&sim.store);
        sim.gossip(0, 0);
        // The other proxy reports, but does not know of the drain.
        sim.gossip(1, 0);
        sim.decide(0);
        sim.carry_out(0);
        assert_eq!(sim.store.vm("v1").phase, Phase::Draining);
    }
    sim.proxies[1].sync(&sim.store);
    sim.gossip(1, 0);
    sim.decide(0);
    sim.carry_out(0);
    assert_eq!(sim.store.vm("v1").phase, Phase::Drained);
}

// Guards against a reboot that cuts off a request. A proxy registers and sends
// work after the controller last read the members and before it writes the
// drain; all proxies that the controller knows confirm. The barrier must not
// cover only the proxies known before the drain.
#[test]
fn drain_waits_for_unknown_proxy() {
    let mut sim = default_fleet();
    let copy = sim.tasks.keys().next().cloned().expect("a copy runs");
    sim.vms.insert(copy.0.clone(), VmState::Leaving);
    sim.read(0);
    let late = sim.add_proxy();
    sim.proxies[late].send_to(&copy);
    assert_eq!(sim.proxies[late].in_flight.len(), 1);
    sim.now += 500;
    sim.decide(0);
    sim.carry_out(0);
    assert_eq!(sim.store.vm(copy.0.as_str()).phase, Phase::Draining);
    for _ in 0..3 {
        sim.now += 500;
        for p in 0..late {
            sim.sync(p);
            sim.gossip(p, 0);
        }
        sim.decide(0);
        sim.carry_out(0);
    }
    assert_eq!(sim.store.vm(copy.0.as_str()).phase, Phase::Draining);
}

// Guards against a request that is cut off when its copy is stopped on a VM
// that keeps serving. The copy has left the record, but one proxy still has
// work there.
#[test]
fn stop_waits_until_nothing_is_in_flight() {
    let mut sim = default_fleet();
    let copy = sim.tasks.keys().find(|copy| copy.1.as_str() == "rally").cloned();
    let copy = copy.expect("a copy runs");
    for p in 0..2 {
        sim.sync(p);
    }
    sim.proxies[0].send_to(&copy);
    sim.apply_config(&fleet_without_rally());
    let settle = |sim: &mut Simulation| {
        sim.now += 500;
        for p in 0..2 {
            sim.sync(p);
            sim.gossip(p, 0);
        }
        sim.read(0);
        sim.decide(0);
        sim.carry_out(0);
    };
    for _ in 0..10 {
        settle(&mut sim);
    }
    let listed = |sim: &Simulation| {
        sim.store.vm(copy.0.as_str()).runners.iter().any(|r| r.service == copy.1)
    };
    assert!(
        !listed(&sim) && sim.tasks.contains_key(&copy),
        "the copy is still in the record, or was stopped"
    );
    sim.proxies[0].in_flight.clear();
    for _ in 0..3 {
        settle(&mut sim);
    }
    assert!(!sim.tasks.contains_key(&copy));
}

// Guards against overloading the platform's store when one decision changes
// every VM of a large fleet: its writes must not all be made at once.
#[test]
fn decide_bounds_writes_and_calls() {
    let mut limits = Limits::new(&settings());
    (limits.writes, limits.calls) = (2, 2);
    let mut sim = Simulation::with(1, 1, &limits);
    let mut writes = 0;
    for round in 0..40 {
        sim.now += 50;
        sim.read(0);
        sim.settle_proxies();
        let decision = sim.decide(0).expect("there is a configuration");
        writes += decision.actions.iter().filter(|action| action.is_write()).count();
        sim.carry_out(0);
        let limit = 1 + 2 * (round + 1) * 50 / 1_000 + 1;
        assert!(writes <= limit, "{writes} writes after {round} rounds");
    }
    assert!(writes >= 3, "writes stopped");
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Wait(u16),
    Read(usize),
    Gossip(usize, usize),
    Decide(usize),
    CarryOut(usize),
    AcquireLease(usize),
    Sync(usize),
    Send(usize, usize),
    Finish(usize),
    CompleteReboots,
    Drain(u8),
    Undrain(u8),
    V3AtHome(bool),
    RemoveRally,
    Wave(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (10u16..400).prop_map(Op::Wait),
        6 => (0..2usize).prop_map(Op::Read),
        6 => (0..2usize, 0..2usize).prop_map(|(p, c)| Op::Gossip(p, c)),
        6 => (0..2usize).prop_map(Op::Decide),
        6 => (0..2usize).prop_map(Op::CarryOut),
        1 => (0..2usize).prop_map(Op::AcquireLease),
        5 => (0..2usize).prop_map(Op::Sync),
        5 => (0..2usize, 0..8usize).prop_map(|(p, index)| Op::Send(p, index)),
        5 => (0..2usize).prop_map(Op::Finish),
        1 => Just(Op::CompleteReboots),
        1 => (1..6u8).prop_map(Op::Drain),
        1 => (1..6u8).prop_map(Op::Undrain),
        1 => any::<bool>().prop_map(Op::V3AtHome),
        1 => Just(Op::RemoveRally),
        1 => (1..6u8).prop_map(Op::Wave),
    ]
}

fn apply_op(sim: &mut Simulation, op: Op) {
    match op {
        Op::Wait(millis) => sim.now += u64::from(millis),
        Op::Read(c) => sim.read(c),
        Op::Gossip(p, c) => sim.gossip(p, c),
        Op::Decide(c) => drop(sim.decide(c)),
        Op::CarryOut(c) => sim.carry_out(c),
        Op::AcquireLease(c) => {
            sim.holder = c;
            sim.controllers[c].facts.clear();
            sim.controllers[c].planner.reset();
            sim.read(c);
        }
        Op::Sync(p) => sim.sync(p),
        Op::Send(p, index) => sim.proxies[p].send(index),
        Op::Finish(p) => sim.proxies[p].in_flight.clear(),
        Op::CompleteReboots => sim.complete_reboots(),
        Op::Drain(vm) => sim.drain(&format!("v{vm}")),
        Op::Undrain(vm) => sim.undrain(&format!("v{vm}")),
        Op::V3AtHome(true) => sim.apply_config(FLEET),
        Op::V3AtHome(false) => sim.apply_config(&fleet_with_v3_moved()),
        Op::RemoveRally => sim.apply_config(&fleet_without_rally()),
        Op::Wave(vm) => sim.order_wave(&[&format!("v{vm}")], 1),
    }
}

// Guards against requests of one pool that run on a VM of another pool, or that
// a stop or reboot cuts off. Two controllers and two proxies act in any order
// on any state they have seen, while operators drain, move VMs and order waves.
// A VM must not be released based on a view older than that of a proxy that
// sends work there, or by a decision on an older record.
#[test]
fn interleavings_keep_one_pool_per_vm_and_cut_off_no_request() {
    let config = Config { cases: 250, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 50..300);
    let run = |ops: Vec<Op>| {
        let mut sim = default_fleet();
        for op in ops {
            apply_op(&mut sim, op);
            sim.assert_pools();
        }
        Ok(())
    };
    runner.run(&ops, run).expect("every interleaving holds the invariants");
}
