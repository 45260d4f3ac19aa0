//! A small model checker: proptest chooses interleavings of owners, faults and
//! retries from a fixed seed, and the history is checked at each reply.

mod simulation;

use std::time::Duration;

use corianderfork_coord::claim::{Attempt, Config, End, Id, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config as TestConfig, RngAlgorithm, TestRng, TestRunner};
use simulation::{Fault, Run, Simulation};

/// The number of attempts for each id.
const ATTEMPTS: u8 = 3;
/// Clock offsets in milliseconds, some greater than the margin.
const SKEWS: [i64; 4] = [0, 3_000, -2_500, 400];
/// Waiting times in milliseconds.
const WAITS: [u64; 5] = [5, 30, 300, 4_000, 12_000];

#[derive(Clone, Debug)]
enum Step {
    Start(u8),
    Issue,
    Request(u8, u8, u8),
    Settle(u8, u8, u8, bool),
    Serve(u8, u8),
    DeliverDelayed(u8),
    Advance(u8),
    Tick(u8),
    RunWithoutFaults(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<u8>().prop_map(Step::Start),
        3 => Just(Step::Issue),
        16 => any::<(u8, u8, u8)>().prop_map(|(p, i, a)| Step::Request(p, i, a)),
        6 => any::<(u8, u8, u8, bool)>().prop_map(|(p, i, a, d)| Step::Settle(p, i, a, d)),
        30 => any::<(u8, u8)>().prop_map(|(p, fault)| Step::Serve(p, fault)),
        3 => any::<u8>().prop_map(Step::DeliverDelayed),
        6 => any::<u8>().prop_map(Step::Advance),
        8 => any::<u8>().prop_map(Step::Tick),
        4 => any::<u8>().prop_map(Step::RunWithoutFaults),
    ]
}

fn config() -> Config {
    let config = Config::new().retention(Duration::from_secs(10)).margin(Duration::from_secs(1));
    config.max_clock_skew(Duration::from_secs(4)).segment_bytes(150)
}

struct History {
    sim: Simulation,
    ids: Vec<Id>,
}

impl History {
    fn issue(&mut self) {
        let count = self.ids.len() as u64;
        self.ids.push(Id::issue(self.sim.now, count));
    }

    /// Picks one of the last three processes; earlier ones stay frozen.
    fn process(&self, pick: u8) -> usize {
        let count = self.sim.processes.len();
        count - 1 - usize::from(pick) % count.min(3)
    }

    fn id(&self, pick: u8) -> Id {
        let count = self.ids.len();
        self.ids[count - 1 - usize::from(pick) % count.min(4)]
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start(skew) => {
                let process = self.sim.start(SKEWS[usize::from(skew) % SKEWS.len()]);
                self.sim.tick(process);
            }
            Step::Issue => self.issue(),
            Step::Request(process, id, attempt) => {
                let (process, id) = (self.process(process), self.id(id));
                self.sim.request(process, id, attempt_of(attempt));
            }
            Step::Settle(process, id, attempt, done) => {
                let end = if done { End::Done } else { End::Abandoned };
                let (process, id) = (self.process(process), self.id(id));
                self.sim.settle(process, id, attempt_of(attempt), end);
            }
            Step::Serve(process, fault) => self.sim.serve(self.process(process), fault_of(fault)),
            Step::DeliverDelayed(pick) => {
                if !self.sim.delayed.is_empty() {
                    let at = usize::from(pick) % self.sim.delayed.len();
                    let call = self.sim.delayed.remove(at);
                    self.sim.store.serve(&call);
                }
            }
            Step::Advance(wait) => self.sim.advance(WAITS[usize::from(wait) % WAITS.len()]),
            Step::Tick(process) => self.sim.tick(self.process(process)),
            Step::RunWithoutFaults(process) => self.run_without_faults(self.process(process)),
        }
    }

    /// Runs one process for a while without faults.
    fn run_without_faults(&mut self, process: usize) {
        for _ in 0..6 {
            self.sim.tick(process);
            self.sim.serve(process, Fault::None);
            self.sim.advance(30);
        }
    }
}

fn attempt_of(pick: u8) -> Attempt {
    Attempt::new(9, u64::from(pick % ATTEMPTS))
}

fn fault_of(pick: u8) -> Fault {
    match pick {
        0..200 => Fault::None,
        200..220 => Fault::LostAnswer,
        220..230 => Fault::Refused,
        230..240 => Fault::FalseRefusal,
        _ => Fault::Delayed,
    }
}

fn check(steps: &[Step]) -> Result<usize, TestCaseError> {
    let mut history = History { sim: Simulation::new(config()), ids: Vec::new() };
    history.issue();
    let first = history.sim.start(0);
    history.sim.tick(first);
    for step in steps {
        history.step(step);
    }
    // After all faults, a new owner becomes idle, grants a new id, and grants
    // none whose request may have been run.
    let last = history.sim.start(0);
    history.sim.run_until_idle(last);
    history.sim.advance(30);
    history.issue();
    let fresh = history.id(0);
    history.sim.request(last, fresh, attempt_of(0));
    history.sim.run_until_idle(last);
    prop_assert_eq!(history.sim.verdict(), Verdict::Granted);
    let running: Vec<Id> = history
        .sim
        .runs
        .iter()
        .filter(|(_, run)| **run == Run::Running)
        .map(|((id, _), _)| *id)
        .collect();
    for id in &running {
        history.sim.request(last, *id, Attempt::new(10, 0));
        history.sim.run_until_idle(last);
        prop_assert_ne!(history.sim.verdict(), Verdict::Granted);
    }
    Ok(running.len())
}

// At most one attempt may run a request, and a granted claim must outlive its
// owner, whatever the order of lost answers, outages, delayed writes, frozen
// and resumed owners, competing takeovers, skewed clocks and expiring ids.
// Granting a claim on anything but a confirmed write to a journal that no other
// process can have continued would break this.
#[test]
fn owner_any_interleaving_grants_at_most_once() {
    let test_config =
        TestConfig { cases: 3_000, failure_persistence: None, ..TestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(test_config, rng);
    let granted = std::cell::Cell::new(0);
    let steps = prop::collection::vec(step(), 40..160);
    let outcome = runner.run(&steps, |steps| {
        granted.set(granted.get() + check(&steps)?);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    // With fewer runs the histories would cover too few cases.
    assert!(granted.get() > 6_000, "only {} runs", granted.get());
}
