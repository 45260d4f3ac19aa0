//! Controllers that race, and proxies that lag.

mod support;

use corianderfork_controller::plan::Limits;
use corianderfork_controller::plan::action::Action;
use corianderfork_provider::fleet::VmState;
use corianderfork_provider::record::Phase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{FLEET, World, moved, settings, without_rally};

fn serving(limits: &Limits) -> World {
    let mut world = World::with(2, 2, limits);
    world.until(0, "serving", |w| {
        w.store.entries.contains_key("shared/vm/v5")
            && (1..=5).all(|i| {
                let vm = w.store.vm(&format!("v{i}"));
                let here = w.tasks.keys().filter(|copy| copy.0.as_str() == format!("v{i}"));
                vm.runners.len() == here.count()
            })
            && ["transfer", "rally", "dossier"].iter().all(|service| w.running(service) > 0)
    });
    world
}

fn plain() -> World {
    serving(&Limits::new(&settings()))
}

// Symptom: a VM that serves is put back to an old state, or rebooted under load.
// Sequence: a holder decides, is paused past its lease, another one drains and
// brings back the same VM, the first wakes and writes what it had decided.
// Cause: the write was not tied to the record it was decided on.
#[test]
fn decide_stale_is_refused_by_revision() {
    let mut world = plain();
    let idle = (1..=5).map(|i| format!("v{i}")).find(|vm| world.store.vm(vm).runners.is_empty());
    let vm = idle.expect("some VM carries nothing");
    world.drain(&vm);
    world.now += 2_000;
    world.read(0);
    world.settle_proxies();
    world.decide(0);
    let stale = world.controllers[0].queue.clone();
    assert!(stale.iter().any(Action::is_write), "there is something to refuse: {stale:?}");
    world.holder = 1;
    world.until(1, "drained", |w| w.store.vm(&vm).phase == Phase::Drained);
    world.undrain(&vm);
    world.until(1, "serving", |w| w.store.vm(&vm).phase == Phase::Serving);
    let before = world.store.vm(&vm);
    world.carry_out(0);
    assert_eq!(world.store.vm(&vm), before);
    assert!(world.controllers[0].conflicts > 0);
}

// Symptom: a request is cut off by the reboot of its VM.
// Sequence: a drain is written; one proxy has not confirmed it, as it still has
// work there or has not heard of it.
// Cause: the VM was released on the word of the others, or on time alone.
#[test]
fn drain_waits_for_the_proxy_that_has_not_confirmed() {
    let mut world = plain();
    world.drain("v1");
    world.until(0, "draining", |w| w.store.vm("v1").phase == Phase::Draining);
    for _ in 0..20 {
        world.now += 400;
        world.read(0);
        world.proxies[0].sync(&world.store);
        world.gossip(0, 0);
        // The other one is heard of, but knows of no drain.
        world.gossip(1, 0);
        world.decide(0);
        world.carry_out(0);
        assert_eq!(world.store.vm("v1").phase, Phase::Draining);
    }
    world.proxies[1].sync(&world.store);
    world.gossip(1, 0);
    world.decide(0);
    world.carry_out(0);
    assert_eq!(world.store.vm("v1").phase, Phase::Drained);
}

// Symptom: a request is cut off by the reboot of its VM.
// Sequence: a proxy registers and sends work after the controller last read the
// members and before it writes the drain; all that it knows of confirm.
// Cause: the barrier asked only the proxies known before the drain.
#[test]
fn drain_waits_for_a_proxy_not_yet_heard_of() {
    let mut world = plain();
    let copy = world.tasks.keys().next().cloned().expect("a copy runs");
    world.vms.insert(copy.0.clone(), VmState::Leaving);
    world.read(0);
    let late = world.join();
    world.proxies[late].send_to(&copy);
    assert_eq!(world.proxies[late].in_flight.len(), 1);
    world.now += 500;
    world.decide(0);
    world.carry_out(0);
    assert_eq!(world.store.vm(copy.0.as_str()).phase, Phase::Draining);
    for _ in 0..3 {
        world.now += 500;
        for p in 0..late {
            world.sync(p);
            world.gossip(p, 0);
        }
        world.decide(0);
        world.carry_out(0);
    }
    assert_eq!(world.store.vm(copy.0.as_str()).phase, Phase::Draining);
}

// Symptom: a request is cut off as its copy is stopped on a VM that serves on.
// Sequence: a copy is no longer wanted while one proxy has work there.
// Cause: the copy was stopped as soon as it had left the record.
#[test]
fn stop_waits_until_no_proxy_has_work_there() {
    let mut world = plain();
    let copy = world.tasks.keys().find(|copy| copy.1.as_str() == "rally").cloned();
    let copy = copy.expect("a copy runs");
    for p in 0..2 {
        world.sync(p);
    }
    world.proxies[0].send_to(&copy);
    world.apply(&without_rally());
    let settle = |world: &mut World| {
        world.now += 500;
        for p in 0..2 {
            world.sync(p);
            world.gossip(p, 0);
        }
        world.read(0);
        world.decide(0);
        world.carry_out(0);
    };
    for _ in 0..10 {
        settle(&mut world);
    }
    let listed =
        |w: &World| w.store.vm(copy.0.as_str()).runners.iter().any(|r| r.service == copy.1);
    assert!(!listed(&world) && world.tasks.contains_key(&copy), "left the record, runs on");
    world.proxies[0].in_flight.clear();
    for _ in 0..3 {
        settle(&mut world);
    }
    assert!(!world.tasks.contains_key(&copy));
}

// Symptom: the platform's store is overrun when a large fleet converges.
// Sequence: one decision changes every VM.
// Cause: all writes of a decision were made at once.
#[test]
fn decide_bounds_writes_and_calls() {
    let mut limits = Limits::new(&settings());
    (limits.writes, limits.calls) = (2, 2);
    let mut world = World::with(1, 1, &limits);
    let mut writes = 0;
    for turn in 0..40 {
        world.now += 50;
        world.read(0);
        world.settle_proxies();
        let round = world.decide(0).expect("there is a configuration");
        writes += round.actions.iter().filter(|action| action.is_write()).count();
        world.carry_out(0);
        let most = 1 + 2 * (turn + 1) * 50 / 1_000 + 1;
        assert!(writes <= most, "{writes} writes after {turn} turns");
    }
    assert!(writes >= 3, "it goes on at its rate");
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Wait(u16),
    Read(usize),
    Gossip(usize, usize),
    Decide(usize),
    CarryOut(usize),
    Lease(usize),
    Sync(usize),
    Send(usize, usize),
    Finish(usize),
    Boot,
    Drain(u8),
    Undrain(u8),
    Home(bool),
    NoRally,
    Wave(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (10u16..400).prop_map(Op::Wait),
        6 => (0..2usize).prop_map(Op::Read),
        6 => (0..2usize, 0..2usize).prop_map(|(p, c)| Op::Gossip(p, c)),
        6 => (0..2usize).prop_map(Op::Decide),
        6 => (0..2usize).prop_map(Op::CarryOut),
        1 => (0..2usize).prop_map(Op::Lease),
        5 => (0..2usize).prop_map(Op::Sync),
        5 => (0..2usize, 0..8usize).prop_map(|(p, pick)| Op::Send(p, pick)),
        5 => (0..2usize).prop_map(Op::Finish),
        1 => Just(Op::Boot),
        1 => (1..6u8).prop_map(Op::Drain),
        1 => (1..6u8).prop_map(Op::Undrain),
        1 => any::<bool>().prop_map(Op::Home),
        1 => Just(Op::NoRally),
        1 => (1..6u8).prop_map(Op::Wave),
    ]
}

fn step(world: &mut World, op: Op) {
    match op {
        Op::Wait(millis) => world.now += u64::from(millis),
        Op::Read(c) => world.read(c),
        Op::Gossip(p, c) => world.gossip(p, c),
        Op::Decide(c) => drop(world.decide(c)),
        Op::CarryOut(c) => world.carry_out(c),
        Op::Lease(c) => {
            world.holder = c;
            world.controllers[c].facts.clear();
            world.controllers[c].planner.begin();
            world.read(c);
        }
        Op::Sync(p) => world.sync(p),
        Op::Send(p, pick) => world.proxies[p].send(pick),
        Op::Finish(p) => world.proxies[p].in_flight.clear(),
        Op::Boot => world.boot(),
        Op::Drain(vm) => world.drain(&format!("v{vm}")),
        Op::Undrain(vm) => world.undrain(&format!("v{vm}")),
        Op::Home(true) => world.apply(FLEET),
        Op::Home(false) => world.apply(&moved()),
        Op::NoRally => world.apply(&without_rally()),
        Op::Wave(vm) => world.order_wave(&[&format!("v{vm}")], 1),
    }
}

// Symptom: a request of one pool runs on a VM that is another pool's by now, or
// is cut off by a stop or a reboot.
// Sequence: two controllers and two proxies act in any order on what they knew
// at any time, while operators drain, move and order waves.
// Cause: a VM was released on a view older than the last one that sent work
// there, or by a decision on an older record.
#[test]
fn interleavings_keep_one_pool_a_vm_and_cut_nothing_off() {
    let config = Config { cases: 250, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 50..300);
    let run = |ops: Vec<Op>| {
        let mut world = plain();
        for op in ops {
            step(&mut world, op);
            world.assert_pools();
        }
        Ok(())
    };
    runner.run(&ops, run).expect("each interleaving keeps the promises");
}
