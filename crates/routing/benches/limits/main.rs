//! Compares the policies of `limits`, with routers in front of simulated
//! backend servers.
//!
//! Eight proxies and ten runners of one service are driven by one event queue
//! from fixed seeds. A runner has 8 slots and no queue, and rejects excess
//! requests as busy, with the guarantee that they were not run. Requests take
//! 20 ms on average (exponential) plus 1 ms per direction; half of them are
//! idempotent. The load is a percentage of the slots of the runners that
//! remain. Each line combines several runs with different seeds.
//!
//! `refused`, `failed` and `retried` count requests that were refused, requests
//! that failed, and retries, per 1000 requests. The waiting times are those of
//! requests that got a slot. `fairness` is Jain's index over the proxies'
//! shares of successful requests.

use corianderfork_routing::limits::{Borrowing, Fixed, LeastOfTwo, Policy, Proportional};

mod proxy;
mod scenario;
mod simulation;
mod totals;

use scenario::Scenario;
use simulation::Simulation;
use totals::Totals;

const SEEDS: [u64; 3] = [7, 8, 9];

fn main() {
    type PolicyFactory = fn() -> Box<dyn Policy>;
    let policies: [(&str, PolicyFactory); 5] = [
        ("fixed", || Box::new(Fixed)),
        ("least-of-two", || Box::new(LeastOfTwo)),
        ("lent", || Box::new(Proportional::default())),
        ("fixed+borrowing", || Box::new(Borrowing::new(Fixed))),
        ("lent+borrowing", || Box::new(Borrowing::new(Proportional::default()))),
    ];
    let fails = |detector, budget| Scenario::RunnerFails { detector, budget };
    let common = [Scenario::Even, Scenario::Skewed, Scenario::ProxyDies, Scenario::HalfDrains];
    let failing = [(true, true), (true, false), (false, true), (false, false)];
    let scenarios = common.into_iter().chain(failing.map(|(d, b)| fails(d, b)));
    println!(
        "case,policy,refused_per_mille,retried_per_mille,queued_p50_ms,queued_p99_ms,\
         fairness,tries_per_request,failed_per_mille"
    );
    for scenario in scenarios {
        for load in [60, 85, 110] {
            for (policy, factory) in policies {
                let mut totals = Totals::default();
                for seed in SEEDS {
                    Simulation::new(scenario, load, factory, seed).run(&mut totals);
                }
                totals.print(scenario, load, policy);
            }
        }
    }
}
