//! Waves that go wrong, and the explanations for operators.

mod support;

use corianderfork_controller::Settings;
use corianderfork_controller::message::encode_member;
use corianderfork_controller::plan::wave;
use corianderfork_model::Time;
use corianderfork_policy::directive::{Directive, Pace};
use corianderfork_policy::{Note, State, state};
use corianderfork_provider::record::{Phase, Role, Wave};
use corianderfork_wire::peer;
use support::{FLEET, Simulation, name};

fn running_fleet() -> Simulation {
    let mut sim = Simulation::new(1, 2);
    sim.run_until(0, "serving", |sim| {
        ["transfer", "rally", "dossier"].iter().all(|service| sim.running(service) > 0)
            && (1..=5).any(|i| !sim.store.vm(&format!("v{i}")).runners.is_empty())
    });
    sim
}

/// Reports from every proxy that it suspects all copies of `vm`.
fn suspect(sim: &mut Simulation, vm: &str) {
    for proxy in &sim.proxies {
        let services = ["transfer", "rally", "dossier"];
        let suspect =
            |service: &&str| peer::Suspect { vm: vm.to_owned(), service: (*service).to_owned() };
        let report = peer::Report {
            from: Some(encode_member(&proxy.member)),
            store_revision: u64::MAX,
            suspects: services.iter().map(suspect).collect(),
            ..peer::Report::default()
        };
        let now = Time::from_millis(sim.now);
        sim.controllers[0].directory.on_report(now, Some(now), &report);
    }
}

// Guards against callers that get only errors from a running copy. A copy fails
// every request while the platform shows it running; the platform's state alone
// must not decide whether it can serve.
#[test]
fn suspected_copy_is_replaced() {
    let mut sim = running_fleet();
    let copy = sim.tasks.keys().find(|copy| copy.1.as_str() == "dossier").cloned();
    let copy = copy.expect("a copy runs");
    for _ in 0..12 {
        sim.now += 2_000;
        sim.read(0);
        for p in 0..2 {
            sim.sync(p);
            sim.gossip(p, 0);
        }
        suspect(&mut sim, copy.0.as_str());
        sim.decide(0);
        sim.carry_out(0);
    }
    let others = sim.tasks.keys().filter(|other| other.1 == copy.1 && other.0 != copy.0).count();
    assert!(others > 0, "no other copy runs: {:?}", sim.tasks.keys());
}

#[test]
fn explain_names_deciding_and_passed_rules() {
    let mut sim = running_fleet();
    sim.apply_config(&FLEET.replace(
        "[rule.otherwise]",
        "[rule.never]\nwhen = store_down\nthen = hold\n\n[rule.otherwise]",
    ));
    sim.now += 500;
    sim.read(0);
    let explain = sim.decide(0).expect("there is a configuration").explain;
    assert_eq!(explain.rule, "otherwise");
    assert!(explain.passed[0].starts_with("never"), "{:?}", explain.passed);
}

// Guards against a VM in an unknown pool that is ignored silently. Operators
// remove a pool from the configuration while a VM's record still names it; the
// VM must not be treated as if it were at home.
#[test]
fn explain_names_vms_in_unknown_pools() {
    let mut sim = running_fleet();
    let mut vm = sim.store.vm("v1");
    vm.pool = name("gone");
    let value = serde_json::to_string(&vm).expect("a record is JSON");
    let key = corianderfork_provider::key::vm(&name("v1"));
    let _ = sim.store.put(&key, value, corianderfork_provider::store::Expect::Anything);
    sim.now += 500;
    sim.read(0);
    let explain = sim.decide(0).expect("there is a configuration").explain;
    assert!(explain.problems.iter().any(|line| line.contains("pool gone")), "{explain:?}");
}

// Guards against a wave that continues over VMs with a faulty update. Two VMs
// come back failing, the controller dies, and an operator inspects them and
// resumes the wave. The halt and the resumption must not be kept in memory
// alone.
#[test]
fn wave_halts_on_failing_vms_until_resumed() {
    let fleet = corianderfork_config::parse(FLEET).expect("a valid configuration").fleet;
    let mut sim = Simulation::new(0, 0);
    sim.order_wave(&["v1", "v2", "v3"], 2);
    let (began, back) = (Time::from_millis(sim.now), Time::from_millis(sim.now + 5));
    let mut state = State::new(&fleet, began);
    for vm in ["v1", "v2"] {
        let vm = state.vm_mut(fleet.find_vm(vm).expect("a VM of the fleet"));
        (vm.phase, vm.maintained_at) = (state::Phase::Out, Some(back));
    }
    let notes = [Note::Halted { failing: 2, back: 2 }];
    let halted = wave::advance(&sim.store.wave(), &fleet, &state, &notes);
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
    assert!(resumed > Some(back), "failures seen by an operator still halt the wave");
}

#[test]
fn wave_of_unknown_vm_ends_as_failed() {
    let mut sim = running_fleet();
    sim.order_wave(&["nowhere"], 1);
    sim.run_until(0, "ended", |sim| sim.store.wave().failed == [name("nowhere")]);
    assert!(sim.reboots.is_empty());
    assert_eq!(sim.store.vm("v1").phase, Phase::Serving);
}

#[test]
fn settings_unknown_key_suggests_nearest() {
    let text = "[process]\nname = e1\ndata_centre = kolkata\nplatform = 127.0.0.1:1\n\
                peers = 127.0.0.1:0\n[controller]\nadmin = 127.0.0.1:0\ndecide_m = 5\n";
    let error = Settings::parse(text).expect_err("an unknown key").to_string();
    assert!(error.contains("decide_m") && error.contains("decide_ms"), "{error}");
    let text = text.replace("decide_m =", "decide_ms =");
    let error = Settings::parse(&text).expect_err("out of bounds").to_string();
    assert!(error.contains("write 10 to"), "{error}");
    assert_eq!(Role::Controller.to_string(), "controller");
}
