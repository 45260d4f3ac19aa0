//! How fast what was decided is carried out: a rate for writes, one for calls,
//! and a falling rate for calls that have no effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::record::Phase;

use crate::facts::{Copy, Facts};
use crate::plan::Turn;
use crate::plan::action::{Action, Write};
use crate::plan::bucket::Bucket;

/// The first wait between two same calls for one copy, doubled by each call.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// The longest such wait.
const LONGEST_CALL_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Attempt {
    next: Time,
    wait: Duration,
}

/// A call by what it is for, so that its tries can be counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    Start(Copy),
    Stop(Copy),
    Reboot(Name),
}

/// What may be carried out now.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    writes: Bucket,
    calls: Bucket,
    attempts: BTreeMap<Call, Attempt>,
}

impl Pace {
    /// So many writes and calls a second, at most.
    pub(crate) fn new(writes: u64, calls: u64) -> Self {
        let (writes, calls) = (Bucket::new(writes), Bucket::new(calls));
        Self { writes, calls, attempts: BTreeMap::new() }
    }

    /// Forgets the calls of an earlier time as holder.
    pub(crate) fn begin(&mut self) {
        self.attempts.clear();
    }

    /// Forgets calls that had their effect, or are long past.
    pub(crate) fn tidy(&mut self, now: Time, facts: &Facts, rebooting: &BTreeSet<Name>) {
        let done = |call: &Call| match call {
            Call::Start(copy) => facts.task(copy).is_some(),
            Call::Stop(copy) => facts.task(copy).is_none(),
            Call::Reboot(vm) => !rebooting.contains(vm),
        };
        let old = |attempt: &Attempt| now > attempt.next + LONGEST_CALL_WAIT;
        self.attempts.retain(|call, attempt| !done(call) && !old(attempt));
    }

    /// Takes as much of `turn` as the limits allow, and gives what is left.
    pub(crate) fn limit(&mut self, now: Time, turn: Turn, actions: &mut Vec<Action>) -> usize {
        let mut deferred = 0;
        let mut writes = turn.writes;
        writes.sort_by_key(urgency);
        for write in writes {
            if self.writes.take(now) {
                actions.push(Action::Write(Box::new(write)));
            } else {
                deferred += 1;
            }
        }
        for call in turn.calls {
            if !self.is_due(now, &call) {
                continue;
            }
            if !self.calls.take(now) {
                deferred += 1;
                continue;
            }
            self.tried(now, &call);
            actions.push(call);
        }
        deferred
    }

    fn is_due(&self, now: Time, call: &Action) -> bool {
        let attempt = key(call).and_then(|key| self.attempts.get(&key));
        attempt.is_none_or(|attempt| now >= attempt.next)
    }

    /// A call that has no effect is made again at a falling rate.
    fn tried(&mut self, now: Time, call: &Action) {
        let Some(key) = key(call) else { return };
        let before = self.attempts.get(&key).map(|attempt| attempt.wait);
        let wait = before.map_or(CALL_WAIT, |wait| (wait * 2).min(LONGEST_CALL_WAIT));
        self.attempts.insert(key, Attempt { next: now + wait, wait });
    }
}

fn key(call: &Action) -> Option<Call> {
    match call {
        Action::Start(copy) => Some(Call::Start(copy.clone())),
        Action::Stop(copy) => Some(Call::Stop(copy.clone())),
        Action::Reboot(vm) => Some(Call::Reboot(vm.clone())),
        _ => None,
    }
}

/// What takes work off a VM goes first, what only makes a record last.
fn urgency(write: &Write) -> u8 {
    let fewer =
        |from: &corianderfork_provider::record::Vm| from.runners.len() > write.record.runners.len();
    match (&write.from, write.record.phase) {
        (None, _) => 4,
        (_, Phase::Draining) => 0,
        (Some(from), Phase::Serving) if from.phase == Phase::Serving && fewer(from) => 0,
        (_, Phase::Serving) => 1,
        (_, Phase::Returning) => 2,
        _ => 3,
    }
}
