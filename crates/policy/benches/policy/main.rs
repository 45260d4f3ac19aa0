//! Compares the decisions with two baselines and a lower bound.
//!
//! `cargo bench --bench policy` prints one CSV block. Each figure is the mean
//! over the seeds, except for violations, which are summed up:
//!
//! - `buffer_cost`: copy-hours of licences held beyond what the load of each
//!   minute needs, over three days after one day of learning (at the target
//!   size: two days from the first minute);
//! - `roll_out_time`: hours from the order of the wave until its last VM serves
//!   again;
//! - `moves`: copies started on another VM, ready copies stopped, and VMs moved
//!   to another pool;
//! - `violations`: service-minutes in which a service had fewer ready copies than
//!   its budget's minimum, fewer slots than its load, or more copies than
//!   licences; during a failure larger than the budget covers, the first 15
//!   minutes are excused;
//! - `decision_ms`: mean time of one decision, in milliseconds.
//!
//! `POLICY_DETAIL=1` prints each step and violation to standard error,
//! `POLICY_ONLY=name` runs one policy, and `POLICY_USER=name` one user's fleet.

mod baseline;
mod initial_placement;
mod scenario;
mod simulator;

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_policy::config::Width;
use corianderfork_policy::{Config, Directive, State, Step, decide};

use scenario::Scenario;
use simulator::{Measures, Policy};

const SEEDS: [u64; 5] = [11, 23, 42, 57, 68];

/// Milliseconds per hour.
const HOUR: u64 = 3_600_000;

/// The decisions of this crate.
struct DecidePolicy {
    config: Config,
}

impl Policy for DecidePolicy {
    fn decide(&mut self, scenario: &Scenario, state: &State, _: &[f64], now: Time) -> Vec<Step> {
        let decision = decide(&scenario.fleet, state, &Directive::default(), &self.config, now);
        if now.as_millis().is_multiple_of(HOUR) && std::env::var_os("POLICY_DETAIL").is_some() {
            eprintln!("hour {}: {:?}", now.as_millis() / HOUR, decision.notes);
        }
        decision.steps
    }
}

/// The parameters of the first version: one VM per pool at a time, a hold time
/// of ten minutes, and no profile of the previous day.
fn first_version() -> Config {
    Config::new()
        .hold_time(Duration::from_secs(600))
        .daily_profile(false)
        .surge(false)
        .width(Width::Fixed(1))
}

type MakePolicy = fn() -> Box<dyn Policy>;

/// A policy, and whether it also runs at the target size.
struct Entry {
    name: &'static str,
    make: MakePolicy,
    at_target_size: bool,
}

fn policies() -> Vec<Entry> {
    let entry = |name, make, at_target_size| Entry { name, make, at_target_size };
    vec![
        entry("fixed_one_at_a_time", || Box::new(baseline::Fixed), true),
        entry("even_reshuffled", || Box::new(baseline::Reshuffle::default()), true),
        entry("corianderfork_first", || decide_policy(first_version()), false),
        entry(
            "corianderfork_no_profile",
            || decide_policy(Config::new().daily_profile(false)),
            false,
        ),
        entry("corianderfork_no_surge", || decide_policy(Config::new().surge(false)), false),
        entry(
            "corianderfork_doubling",
            || decide_policy(Config::new().width(Width::Doubling)),
            false,
        ),
        entry("corianderfork", || decide_policy(Config::new()), true),
    ]
}

fn decide_policy(config: Config) -> Box<dyn Policy> {
    Box::new(DecidePolicy { config })
}

fn mean(all: &[Measures]) -> Measures {
    let count = all.len() as f64;
    let of = |measure: fn(&Measures) -> f64| all.iter().map(measure).sum::<f64>() / count;
    Measures {
        buffer_cost: of(|m| m.buffer_cost),
        roll_out_time: of(|m| m.roll_out_time),
        moves: of(|m| m.moves as f64).round() as u64,
        violations: all.iter().map(|m| m.violations).sum(),
        decision_ms: of(|m| m.decision_ms),
    }
}

fn print(user: &str, policy: &str, m: Measures) {
    let Measures { buffer_cost, roll_out_time, moves, violations, decision_ms } = m;
    println!(
        "{user},{policy},{buffer_cost:.0},{roll_out_time:.2},{moves},{violations},{decision_ms:.3}"
    );
}

/// A user's name, the scenario for a seed, and the seeds.
type User = (&'static str, fn(u64) -> Scenario, &'static [u64]);

fn main() {
    let only_policy = std::env::var("POLICY_ONLY").ok();
    let only_user = std::env::var("POLICY_USER").ok();
    let users: [User; 3] = [
        ("Gourmoti", Scenario::gourmoti, &SEEDS),
        ("Indus", Scenario::indus, &SEEDS),
        ("target", Scenario::target, &SEEDS[..1]),
    ];
    println!("user,policy,buffer_cost,roll_out_time,moves,violations,decision_ms");
    for (name, scenario, seeds) in users {
        if only_user.as_deref().is_some_and(|user| user != name) {
            continue;
        }
        let scenarios: Vec<Scenario> = seeds.iter().map(|seed| scenario(*seed)).collect();
        for entry in policies() {
            let skip = only_policy.as_deref().is_some_and(|only| only != entry.name);
            if skip || (name == "target" && !entry.at_target_size) {
                continue;
            }
            let all: Vec<Measures> = scenarios
                .iter()
                .map(|scenario| simulator::run(scenario, &mut *(entry.make)()))
                .collect();
            print(name, entry.name, mean(&all));
        }
        let bounds: Vec<Measures> = scenarios.iter().map(baseline::lower_bound).collect();
        print(name, "lower_bound", mean(&bounds));
    }
}
