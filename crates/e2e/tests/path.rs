//! The whole path as processes: apply, serve, drain, serve, kill, serve.

use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};
use corianderfork_e2e::wait;
use corianderfork_provider::record::Phase;
use corianderfork_standins::history::{self, Call, Outcome};
use corianderfork_standins::load::{self, Client};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Calls in each step.
const CALLS: usize = 40;

/// Alternates lookups and transfers, repeating each until it is answered. Returns all
/// calls.
fn serve(system: &System, rng: &mut SmallRng) -> Vec<Call> {
    let client = Client::new(load::Config::new(system.targets()));
    let mut calls = Vec::new();
    for number in 0..CALLS {
        wait::until("a call to be answered", || {
            let call = match number % 2 {
                0 => client.lookup("lookup", rng),
                _ => client.transfer("transfer", rng),
            };
            let is_answered = call.outcome == Outcome::Answered;
            calls.push(call);
            is_answered.then_some(())
        });
    }
    calls
}

#[test]
fn path_apply_serve_drain_kill_serve() {
    let mut system = System::converged(Config::new(SMALL));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut calls = serve(&system, &mut rng);

    let (code, out) = system.operator(&["drain", "a1", "--reason", "test"]);
    assert_eq!(code, 0, "{out}");
    system.wait_phase("a1", Phase::Drained);
    let before = system.runs().runs.iter().filter(|run| run.vm == "a1").count();
    calls.extend(serve(&system, &mut rng));
    let after = system.runs().runs.iter().filter(|run| run.vm == "a1").count();
    assert_eq!(before, after, "a drained VM got new requests");

    system.entries[0].proxy = None;
    calls.extend(serve(&system, &mut rng));

    let (code, out) = system.operator(&["undrain", "a1"]);
    assert_eq!(code, 0, "{out}");
    system.wait_phase("a1", Phase::Serving);

    let findings = history::check(&system.runs(), &calls);
    assert!(findings.is_clean(), "{findings:?}");
    assert_eq!(findings.cut, 0);
}

#[test]
fn path_wave_reboots_and_serves_again() {
    let system = System::converged(Config::new(SMALL));
    let (before, _) = system.vm("b1").expect("a record");
    let (code, out) = system.operator(&["wave", "start", "b1"]);
    assert_eq!(code, 0, "{out}");
    wait::until("b1 to be rebooted and serve", || {
        let (vm, _) = system.vm("b1")?;
        let is_maintained = vm.maintained_ms != before.maintained_ms;
        (is_maintained && vm.phase == Phase::Serving).then_some(())
    });
    assert_eq!(system.stats()["boots"]["b1"], 1);
    assert_eq!(system.runs().cut, 0);
}
