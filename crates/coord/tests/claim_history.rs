//! A small model checker: interleavings of owners, faults and retries chosen
//! by proptest from a fixed seed, with the history checked at each reply.

mod simulation;

use std::time::Duration;

use corianderfork_coord::claim::{Attempt, Config, End, Id, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};
use simulation::{Fault, Run, World};

/// Attempts there are of each id.
const ATTEMPTS: u8 = 3;
/// What clocks are ahead or behind, in milliseconds: more than the margin.
const SKEWS: [i64; 4] = [0, 3_000, -2_500, 400];
/// What was waited for in one go, in milliseconds.
const WAITS: [u64; 5] = [5, 30, 300, 4_000, 12_000];

#[derive(Clone, Debug)]
enum Step {
    Start(u8),
    Issue,
    Ask(u8, u8, u8),
    Settle(u8, u8, u8, bool),
    Serve(u8, u8),
    Land(u8),
    Advance(u8),
    Tick(u8),
    Calm(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<u8>().prop_map(Step::Start),
        3 => Just(Step::Issue),
        16 => any::<(u8, u8, u8)>().prop_map(|(p, i, a)| Step::Ask(p, i, a)),
        6 => any::<(u8, u8, u8, bool)>().prop_map(|(p, i, a, d)| Step::Settle(p, i, a, d)),
        30 => any::<(u8, u8)>().prop_map(|(p, fault)| Step::Serve(p, fault)),
        3 => any::<u8>().prop_map(Step::Land),
        6 => any::<u8>().prop_map(Step::Advance),
        8 => any::<u8>().prop_map(Step::Tick),
        4 => any::<u8>().prop_map(Step::Calm),
    ]
}

fn config() -> Config {
    let config = Config::new().retention(Duration::from_secs(10)).margin(Duration::from_secs(1));
    config.future(Duration::from_secs(4)).segment_bytes(150)
}

struct Trial {
    world: World,
    ids: Vec<Id>,
}

impl Trial {
    fn issue(&mut self) {
        let count = self.ids.len() as u64;
        self.ids.push(Id::issue(self.world.now, count));
    }

    /// One of the last processes: earlier ones are frozen for good.
    fn process(&self, pick: u8) -> usize {
        let count = self.world.processes.len();
        count - 1 - usize::from(pick) % count.min(3)
    }

    fn id(&self, pick: u8) -> Id {
        let count = self.ids.len();
        self.ids[count - 1 - usize::from(pick) % count.min(4)]
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start(skew) => {
                let process = self.world.start(SKEWS[usize::from(skew) % SKEWS.len()]);
                self.world.tick(process);
            }
            Step::Issue => self.issue(),
            Step::Ask(process, id, attempt) => {
                let (process, id) = (self.process(process), self.id(id));
                self.world.ask(process, id, attempt_of(attempt));
            }
            Step::Settle(process, id, attempt, done) => {
                let end = if done { End::Done } else { End::Abandoned };
                let (process, id) = (self.process(process), self.id(id));
                self.world.settle(process, id, attempt_of(attempt), end);
            }
            Step::Serve(process, fault) => self.world.serve(self.process(process), fault_of(fault)),
            Step::Land(pick) => {
                if !self.world.late.is_empty() {
                    let at = usize::from(pick) % self.world.late.len();
                    let call = self.world.late.remove(at);
                    self.world.store.serve(&call);
                }
            }
            Step::Advance(wait) => self.world.advance(WAITS[usize::from(wait) % WAITS.len()]),
            Step::Tick(process) => self.world.tick(self.process(process)),
            Step::Calm(process) => self.calm(self.process(process)),
        }
    }

    /// A while without faults for one process.
    fn calm(&mut self, process: usize) {
        for _ in 0..6 {
            self.world.tick(process);
            self.world.serve(process, Fault::None);
            self.world.advance(30);
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
        220..230 => Fault::Down,
        230..240 => Fault::Lying,
        _ => Fault::Late,
    }
}

fn check(steps: &[Step]) -> Result<usize, TestCaseError> {
    let mut run = Trial { world: World::new(config()), ids: Vec::new() };
    run.issue();
    let first = run.world.start(0);
    run.world.tick(first);
    for step in steps {
        run.step(step);
    }
    // After all faults a new owner comes to rest, grants a new id, and grants
    // none that may have been run.
    let last = run.world.start(0);
    run.world.settle_down(last);
    run.world.advance(30);
    run.issue();
    let fresh = run.id(0);
    run.world.ask(last, fresh, attempt_of(0));
    run.world.settle_down(last);
    prop_assert_eq!(run.world.verdict(), Verdict::Granted);
    let running: Vec<Id> = run
        .world
        .runs
        .iter()
        .filter(|(_, run)| **run == Run::Running)
        .map(|((id, _), _)| *id)
        .collect();
    for id in &running {
        run.world.ask(last, *id, Attempt::new(10, 0));
        run.world.settle_down(last);
        prop_assert_ne!(run.world.verdict(), Verdict::Granted);
    }
    Ok(running.len())
}

// Symptom: two attempts run one request, or an attempt runs one whose claim
// would be forgotten with its owner.
// Sequence: any of lost answers, outages, writes that land late, owners frozen
// and woken, takeovers that race, skewed clocks, ids growing old.
// Cause: a claim granted on anything but a confirmed write to a journal that
// nobody else can have continued.
#[test]
fn owner_any_interleaving_grants_at_most_once() {
    let runs = Runs { cases: 3_000, failure_persistence: None, ..Runs::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(runs, rng);
    let granted = std::cell::Cell::new(0);
    let steps = prop::collection::vec(step(), 40..160);
    let outcome = runner.run(&steps, |steps| {
        granted.set(granted.get() + check(&steps)?);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    // Else the histories were too poor to tell anything.
    assert!(granted.get() > 6_000, "only {} runs", granted.get());
}
