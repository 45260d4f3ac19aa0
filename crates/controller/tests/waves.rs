//! Waves that go wrong, and what operators are told.

mod support;

use corianderfork_controller::Settings;
use corianderfork_controller::message::message;
use corianderfork_controller::plan::wave;
use corianderfork_model::Time;
use corianderfork_policy::directive::{Directive, Pace};
use corianderfork_policy::{Note, State, state};
use corianderfork_provider::record::{Phase, Role, Wave};
use corianderfork_wire::peer;
use support::{FLEET, World, name};

fn serving() -> World {
    let mut world = World::new(1, 2);
    world.until(0, "serving", |w| {
        ["transfer", "rally", "dossier"].iter().all(|service| w.running(service) > 0)
            && (1..=5).any(|i| !w.store.vm(&format!("v{i}")).runners.is_empty())
    });
    world
}

/// Every proxy suspects all copies of `vm`.
fn suspect(world: &mut World, vm: &str) {
    for proxy in &world.proxies {
        let services = ["transfer", "rally", "dossier"];
        let suspect =
            |service: &&str| peer::Suspect { vm: vm.to_owned(), service: (*service).to_owned() };
        let report = peer::Report {
            from: Some(message(&proxy.me)),
            store_revision: u64::MAX,
            suspects: services.iter().map(suspect).collect(),
            ..peer::Report::default()
        };
        let now = Time::from_millis(world.now);
        world.controllers[0].directory.on_report(now, Some(now), &report);
    }
}

// Symptom: callers get nothing but failures from a copy that runs.
// Sequence: a copy fails all that it is given; the platform shows it running.
// Cause: only the platform's word counted for whether a copy is able to serve.
#[test]
fn suspected_copy_is_replaced() {
    let mut world = serving();
    let copy = world.tasks.keys().find(|copy| copy.1.as_str() == "dossier").cloned();
    let copy = copy.expect("a copy runs");
    for _ in 0..12 {
        world.now += 2_000;
        world.read(0);
        for p in 0..2 {
            world.sync(p);
            world.gossip(p, 0);
        }
        suspect(&mut world, copy.0.as_str());
        world.decide(0);
        world.carry_out(0);
    }
    let others = world.tasks.keys().filter(|other| other.1 == copy.1 && other.0 != copy.0).count();
    assert!(others > 0, "another copy runs elsewhere: {:?}", world.tasks.keys());
}

#[test]
fn explain_tells_the_rule_and_those_passed() {
    let mut world = serving();
    world.apply(&FLEET.replace(
        "[rule.otherwise]",
        "[rule.never]\nwhen = store_down\nthen = hold\n\n[rule.otherwise]",
    ));
    world.now += 500;
    world.read(0);
    let explain = world.decide(0).expect("there is a configuration").explain;
    assert_eq!(explain.rule, "otherwise");
    assert!(explain.passed[0].starts_with("never"), "{:?}", explain.passed);
}

// Symptom: a VM in a pool that nobody knows is left without a word.
// Sequence: operators take a pool out of the configuration, in two steps, while
// a VM's record still names it.
// Cause: the VM was taken for one at home, silently.
#[test]
fn explain_names_vms_in_unknown_pools() {
    let mut world = serving();
    let mut vm = world.store.vm("v1");
    vm.pool = name("gone");
    let value = serde_json::to_string(&vm).expect("a record is JSON");
    let key = corianderfork_provider::key::vm(&name("v1"));
    let _ = world.store.put(&key, value, corianderfork_provider::store::Expect::Anything);
    world.now += 500;
    world.read(0);
    let explain = world.decide(0).expect("there is a configuration").explain;
    assert!(explain.problems.iter().any(|line| line.contains("pool gone")), "{explain:?}");
}

// Symptom: a wave takes down VM after VM with a kernel that does not work.
// Sequence: two VMs come back failing; the controller dies; an operator looks at
// them and says to go on.
// Cause: that the wave had halted, and that it may go on, was in memory alone.
#[test]
fn wave_halts_on_failing_vms_until_an_operator_clears_it() {
    let fleet = corianderfork_config::parse(FLEET).expect("no mistakes").fleet;
    let mut world = World::new(0, 0);
    world.order_wave(&["v1", "v2", "v3"], 2);
    let (began, back) = (Time::from_millis(world.now), Time::from_millis(world.now + 5));
    let mut state = State::new(&fleet, began);
    for vm in ["v1", "v2"] {
        let row = state.vm_mut(fleet.find_vm(vm).expect("it is there"));
        (row.phase, row.maintained_at) = (state::Phase::Out, Some(back));
    }
    let notes = [Note::Halted { failing: 2, back: 2 }];
    let halted = wave::advance(&world.store.wave(), &fleet, &state, &notes);
    assert_eq!((&halted.failed, &halted.todo), (&vec![name("v1"), name("v2")], &vec![name("v3")]));
    assert!(halted.halted.as_ref().is_some_and(|why| why.contains("2 of 2")));
    let mut directive = Directive::default();
    wave::apply(&halted, &fleet, &mut state, &mut directive);
    assert_eq!(directive.pace, Pace::Paused);
    let cleared = Wave { halted: None, ..halted };
    let mut directive = Directive::default();
    wave::apply(&cleared, &fleet, &mut state, &mut directive);
    assert_eq!(directive.pace, Pace::AtMost(2));
    let resumed = state.wave.as_ref().and_then(|order| order.resumed_at);
    assert!(resumed > Some(back), "those failures no longer halt it");
}

#[test]
fn wave_of_unknown_vm_ends_as_failed() {
    let mut world = serving();
    world.order_wave(&["nowhere"], 1);
    world.until(0, "ended", |w| w.store.wave().failed == [name("nowhere")]);
    assert!(world.reboots.is_empty());
    assert_eq!(world.store.vm("v1").phase, Phase::Serving);
}

#[test]
fn settings_unknown_key_names_the_nearest() {
    let text = "[process]\nname = e1\ndata_centre = kolkata\nplatform = 127.0.0.1:1\n\
                peers = 127.0.0.1:0\n[controller]\nadmin = 127.0.0.1:0\ndecide_m = 5\n";
    let error = Settings::parse(text).expect_err("an unknown key").to_string();
    assert!(error.contains("decide_m") && error.contains("decide_ms"), "{error}");
    let text = text.replace("decide_m =", "decide_ms =");
    let error = Settings::parse(&text).expect_err("out of bounds").to_string();
    assert!(error.contains("write 10 to"), "{error}");
    assert_eq!(Role::Controller.to_string(), "controller");
}
