//! Leases with pauses, lost answers and an outage.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_coord::lease::{Action, Answer, Config, Event, Holder, Key, Token};
use corianderfork_model::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config as TestConfig, RngAlgorithm, TestRng, TestRunner};

const TTL: Duration = Duration::from_secs(9);

/// The platform's service: leases with their expiry times, and one key.
#[derive(Default)]
struct Store {
    leases: BTreeMap<u64, Time>,
    key: Option<(u64, u64)>,
    revision: u64,
}

impl Store {
    fn serve(&mut self, now: Time, action: Action) -> Answer {
        self.leases.retain(|_, end| now < *end);
        self.key = self.key.filter(|(lease, _)| self.leases.contains_key(lease));
        match action {
            Action::Grant => {
                self.revision += 1;
                self.leases.insert(self.revision, now + TTL);
                Answer::Granted { lease: self.revision }
            }
            Action::Put { .. } if self.key.is_some() => Answer::PutConflict,
            Action::Put { lease } if self.leases.contains_key(&lease) => {
                self.revision += 1;
                self.key = Some((lease, self.revision));
                Answer::PutDone { revision: self.revision }
            }
            Action::Read => {
                let key = |(lease, revision)| Key { lease: Some(lease), revision };
                Answer::Read(self.key.map(key))
            }
            Action::Renew { lease } if self.leases.contains_key(&lease) => {
                self.leases.insert(lease, now + TTL);
                Answer::Renewed
            }
            Action::Revoke { lease } => {
                self.leases.remove(&lease);
                Answer::Failed
            }
            _ => Answer::Lapsed,
        }
    }
}

struct Process {
    holder: Holder,
    calls: Vec<Action>,
    answers: Vec<Answer>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize),
    /// The service handles the oldest call; the flag loses the answer.
    Serve(usize, bool),
    Answer(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let process = || 0..3usize;
    prop_oneof![
        3 => process().prop_map(Step::Tick),
        4 => (process(), prop::bool::weighted(0.1)).prop_map(|(p, lost)| Step::Serve(p, lost)),
        4 => process().prop_map(Step::Answer),
        3 => prop::sample::select(vec![10, 500, 3_000, 8_500]).prop_map(Step::Advance),
    ]
}

fn on_event(process: &mut Process, now: Time, event: Event) {
    let calls = process.holder.on_event(now, event);
    let is_call = |action: &Action| !matches!(action, Action::Started { .. } | Action::Stopped);
    process.calls.extend(calls.into_iter().filter(is_call));
}

/// Runs the steps and returns in how many states a process could act.
fn check(steps: &[Step]) -> Result<usize, TestCaseError> {
    let (mut now, mut store, mut acting) = (Time::from_millis(1), Store::default(), 0);
    let process = |seed| Process {
        holder: Holder::new(Config::new().ttl(TTL), seed),
        calls: Vec::new(),
        answers: Vec::new(),
    };
    let mut processes: Vec<Process> = (0..3).map(process).collect();
    let mut newest = Token(0);
    for step in steps {
        match *step {
            Step::Tick(at) => on_event(&mut processes[at], now, Event::Tick),
            Step::Serve(at, lost) if !processes[at].calls.is_empty() => {
                let call = processes[at].calls.remove(0);
                let answer = store.serve(now, call);
                if !matches!(call, Action::Revoke { .. }) {
                    processes[at].answers.push(if lost { Answer::Failed } else { answer });
                }
            }
            Step::Answer(at) if !processes[at].answers.is_empty() => {
                let answer = processes[at].answers.remove(0);
                on_event(&mut processes[at], now, Event::Store(answer));
            }
            Step::Serve(..) | Step::Answer(_) => {}
            Step::Advance(millis) => now = now + Duration::from_millis(millis),
        }
        // A paused process counts too, as if it resumed and acted now.
        let tokens: Vec<Token> = processes.iter().filter_map(|p| p.holder.token(now)).collect();
        prop_assert!(tokens.len() <= 1, "{tokens:?} act at once");
        if let Some(&token) = tokens.first() {
            prop_assert!(token >= newest, "{token:?} acts after {newest:?}");
            newest = token;
            acting += 1;
        }
    }
    Ok(acting)
}

// Two processes must never act as the holder at once, whatever pauses occur
// between sending, answer and action, whichever answers are lost, and however
// late renewals reach the service. A holder that trusts an answer more than its
// clock fails this.
#[test]
fn token_any_interleaving_has_one_holder() {
    let test_config =
        TestConfig { cases: 2_000, failure_persistence: None, ..TestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let acting = std::cell::Cell::new(0);
    let outcome = TestRunner::new_with_rng(test_config, rng).run(
        &prop::collection::vec(step(), 30..150),
        |steps| {
            acting.set(acting.get() + check(&steps)?);
            Ok(())
        },
    );
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(acting.get() > 5_000, "only {} states with a holder", acting.get());
}

// A renewal is sent, and the process is paused beyond the TTL; when it resumes,
// it first sees the successful answer. A holder that measured its lease from
// that answer would act although another process has the lease.
#[test]
fn on_event_answer_after_pause_stops_holder() {
    let mut holder = Holder::new(Config::new().ttl(TTL), 1);
    let at = Time::from_millis;
    holder.on_event(at(0), Event::Tick);
    holder.on_event(at(1), Event::Store(Answer::Granted { lease: 1 }));
    holder.on_event(at(2), Event::Store(Answer::PutDone { revision: 2 }));
    assert_eq!(holder.on_event(at(3_000), Event::Tick), [Action::Renew { lease: 1 }]);
    let resumed = holder.on_event(at(20_000), Event::Store(Answer::Renewed));
    assert_eq!(resumed, [Action::Stopped, Action::Revoke { lease: 1 }, Action::Grant]);
    assert_eq!(holder.token(at(20_000)), None);
}

// A renewal reaches the service at once, but the answer takes seconds. A lease
// measured from the answer would outlast the service's, which is measured from
// the call, and two processes would act.
#[test]
fn token_slow_answer_is_measured_from_the_call() {
    let mut holder = Holder::new(Config::new().ttl(TTL), 1);
    let at = Time::from_millis;
    holder.on_event(at(0), Event::Tick);
    holder.on_event(at(1), Event::Store(Answer::Granted { lease: 1 }));
    holder.on_event(at(2), Event::Store(Answer::PutDone { revision: 2 }));
    holder.on_event(at(3_000), Event::Tick);
    holder.on_event(at(8_000), Event::Store(Answer::Renewed));
    assert_eq!(holder.token(at(11_099)), Some(Token(2)));
    assert_eq!(holder.token(at(11_100)), None); // 3 s plus 9 s less a tenth
}
