//! Measures the policies of `limits` with pure routers in front of small fakes.
//!
//! Eight proxies and ten runners of one service, driven by one event queue from
//! fixed seeds. A runner has 8 slots and no queue; it refuses what is too much
//! as busy, with the promise that it was not run. Requests take 20 ms on
//! average (exponential) and 1 ms each way; half of them are idempotent. A load
//! is a percentage of the slots of the runners that stay. Each line is of several
//! runs that differ by their seed.
//!
//! `refused` and `failed` are requests that ended so, `retried` the retries,
//! all per 1000 requests; the waits are of requests that got a slot; `fairness`
//! is Jain's index over the proxies' shares of requests answered well.

use corianderfork_routing::limits::{Borrowing, Fixed, LeastOfTwo, Policy, Proportional};

mod proxy;
mod scenario;
mod simulation;
mod totals;

use scenario::Case;
use simulation::World;
use totals::Totals;

const SEEDS: [u64; 3] = [7, 8, 9];

fn main() {
    type Make = fn() -> Box<dyn Policy>;
    let policies: [(&str, Make); 5] = [
        ("fixed", || Box::new(Fixed)),
        ("least-of-two", || Box::new(LeastOfTwo)),
        ("lent", || Box::new(Proportional::default())),
        ("fixed+borrowing", || Box::new(Borrowing::new(Fixed))),
        ("lent+borrowing", || Box::new(Borrowing::new(Proportional::default()))),
    ];
    let fails = |detector, budget| Case::RunnerFails { detector, budget };
    let whole = [Case::Even, Case::Skewed, Case::ProxyDies, Case::HalfDrains];
    let failing = [(true, true), (true, false), (false, true), (false, false)];
    let cases = whole.into_iter().chain(failing.map(|(d, b)| fails(d, b)));
    println!(
        "case,policy,refused_per_mille,retried_per_mille,queued_p50_ms,queued_p99_ms,\
         fairness,tries_per_request,failed_per_mille"
    );
    for case in cases {
        for load in [60, 85, 110] {
            for (policy, make) in policies {
                let mut totals = Totals::default();
                for seed in SEEDS {
                    World::new(case, load, make, seed).run(&mut totals);
                }
                totals.print(case, load, policy);
            }
        }
    }
}
