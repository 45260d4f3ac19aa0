//! Measures the decisions against two baselines and a lower bound.
//!
//! `cargo bench --bench policy` prints one CSV block. Each figure is the mean
//! over the seeds, violations are their sum:
//!
//! - `buffer_cost`: copy-hours that licences were held beyond what the load of
//!   the minute needs, over three days after one to learn from (the target
//!   size: two days from the first minute);
//! - `roll_out_time`: hours from the order of the wave until its last VM serves
//!   again;
//! - `moves`: copies started on another VM, able copies stopped, and VMs that
//!   changed their pool;
//! - `violations`: service-minutes in which a service had fewer able copies than
//!   its budget's least, or fewer slots than its load, or more copies than
//!   licences; a failure larger than the budget names is excused for its first
//!   quarter of an hour;
//! - `decision_ms`: mean time of one decision, in milliseconds.
//!
//! `POLICY_DETAIL=1` prints each step and violation to standard error;
//! `POLICY_ONLY=name` runs one policy, `POLICY_USER=name` one user.

mod baseline;
mod initial_placement;
mod scenario;
mod simulator;

use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_policy::config::Width;
use corianderfork_policy::{Config, Directive, State, Step, decide};

use scenario::Shape;
use simulator::{Measures, Policy};

const SEEDS: [u64; 5] = [11, 23, 42, 57, 68];

/// Milliseconds.
const HOUR: u64 = 3_600_000;

struct Own {
    config: Config,
}

impl Policy for Own {
    fn decide(&mut self, shape: &Shape, state: &State, _: &[f64], now: Time) -> Vec<Step> {
        let decision = decide(&shape.fleet, state, &Directive::default(), &self.config, now);
        if now.as_millis().is_multiple_of(HOUR) && std::env::var_os("POLICY_DETAIL").is_some() {
            eprintln!("hour {}: {:?}", now.as_millis() / HOUR, decision.notes);
        }
        decision.steps
    }
}

/// The policy as it was before its rounds: one VM of a pool at a time, copies
/// given up after ten minutes, nothing learned from the day before.
fn first_version() -> Config {
    Config::new()
        .hold_time(Duration::from_secs(600))
        .daily_profile(false)
        .surge(false)
        .width(Width::Fixed(1))
}

type Maker = fn() -> Box<dyn Policy>;

/// A policy, and whether it is run at the target size too.
struct Row {
    name: &'static str,
    make: Maker,
    everywhere: bool,
}

fn policies() -> Vec<Row> {
    let row = |name, make, everywhere| Row { name, make, everywhere };
    vec![
        row("fixed_one_at_a_time", || Box::new(baseline::Fixed), true),
        row("even_reshuffled", || Box::new(baseline::Reshuffle::default()), true),
        row("corianderfork_first", || own(first_version()), false),
        row("corianderfork_no_profile", || own(Config::new().daily_profile(false)), false),
        row("corianderfork_no_surge", || own(Config::new().surge(false)), false),
        row("corianderfork_doubling", || own(Config::new().width(Width::Doubling)), false),
        row("corianderfork", || own(Config::new()), true),
    ]
}

fn own(config: Config) -> Box<dyn Policy> {
    Box::new(Own { config })
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

/// A name, its shape by seed, and the seeds.
type User = (&'static str, fn(u64) -> Shape, &'static [u64]);

fn main() {
    let only = std::env::var("POLICY_ONLY").ok();
    let user = std::env::var("POLICY_USER").ok();
    let users: [User; 3] = [
        ("Gourmoti", Shape::gourmoti, &SEEDS),
        ("Indus", Shape::indus, &SEEDS),
        ("target", Shape::target, &SEEDS[..1]),
    ];
    println!("user,policy,buffer_cost,roll_out_time,moves,violations,decision_ms");
    for (name, shape, seeds) in users {
        if user.as_deref().is_some_and(|user| user != name) {
            continue;
        }
        let shapes: Vec<Shape> = seeds.iter().map(|seed| shape(*seed)).collect();
        for row in policies() {
            let other = only.as_deref().is_some_and(|only| only != row.name);
            if other || (name == "target" && !row.everywhere) {
                continue;
            }
            let all: Vec<Measures> =
                shapes.iter().map(|shape| simulator::run(shape, &mut *(row.make)())).collect();
            print(name, row.name, mean(&all));
        }
        let bounds: Vec<Measures> = shapes.iter().map(baseline::lower_bound).collect();
        print(name, "lower_bound", mean(&bounds));
    }
}
