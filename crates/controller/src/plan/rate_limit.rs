//! Limits how fast decisions are carried out: one rate for writes, one for
//! calls, and a backoff for calls that have no effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::record::Phase;

use crate::facts::{Copy, Facts};
use crate::plan::Draft;
use crate::plan::action::{Action, Write};
use crate::plan::bucket::Bucket;

/// The wait after the first attempt of a call. Doubles with each attempt.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// The maximum wait between attempts.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Attempt {
    next: Time,
    wait: Duration,
}

/// Identifies a call, so that its attempts can be counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallKey {
    Start(Copy),
    Stop(Copy),
    Reboot(Name),
}

/// The rate limits and the attempts of each call.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    writes: Bucket,
    calls: Bucket,
    attempts: BTreeMap<CallKey, Attempt>,
}

impl Limiter {
    /// Creates limits of `writes` and `calls` per second.
    pub(crate) fn new(writes: u64, calls: u64) -> Self {
        let (writes, calls) = (Bucket::new(writes), Bucket::new(calls));
        Self { writes, calls, attempts: BTreeMap::new() }
    }

    /// Drops the attempts of an earlier tenure.
    pub(crate) fn reset(&mut self) {
        self.attempts.clear();
    }

    /// Drops attempts of calls that had their effect or that expired.
    pub(crate) fn prune(&mut self, now: Time, facts: &Facts, rebooting: &BTreeSet<Name>) {
        let had_effect = |call: &CallKey| match call {
            CallKey::Start(copy) => facts.task(copy).is_some(),
            CallKey::Stop(copy) => facts.task(copy).is_none(),
            CallKey::Reboot(vm) => !rebooting.contains(vm),
        };
        let is_expired = |attempt: &Attempt| now > attempt.next + MAX_WAIT;
        self.attempts.retain(|call, attempt| !had_effect(call) && !is_expired(attempt));
    }

    /// Moves what the limits allow from `draft` to `actions`. Returns the
    /// number of steps left over.
    pub(crate) fn apply(&mut self, now: Time, draft: Draft, actions: &mut Vec<Action>) -> usize {
        let mut deferred = 0;
        let mut writes = draft.writes;
        writes.sort_by_key(priority);
        for write in writes {
            if self.writes.take(now) {
                actions.push(Action::Write(Box::new(write)));
            } else {
                deferred += 1;
            }
        }
        for call in draft.calls {
            if !self.is_due(now, &call) {
                continue;
            }
            if !self.calls.take(now) {
                deferred += 1;
                continue;
            }
            self.record_attempt(now, &call);
            actions.push(call);
        }
        deferred
    }

    fn is_due(&self, now: Time, call: &Action) -> bool {
        let attempt = call_key(call).and_then(|key| self.attempts.get(&key));
        attempt.is_none_or(|attempt| now >= attempt.next)
    }

    /// Records an attempt. Each one doubles the wait for the next.
    fn record_attempt(&mut self, now: Time, call: &Action) {
        let Some(key) = call_key(call) else { return };
        let previous = self.attempts.get(&key).map(|attempt| attempt.wait);
        let wait = previous.map_or(FIRST_WAIT, |wait| (wait * 2).min(MAX_WAIT));
        self.attempts.insert(key, Attempt { next: now + wait, wait });
    }
}

fn call_key(call: &Action) -> Option<CallKey> {
    match call {
        Action::Start(copy) => Some(CallKey::Start(copy.clone())),
        Action::Stop(copy) => Some(CallKey::Stop(copy.clone())),
        Action::Reboot(vm) => Some(CallKey::Reboot(vm.clone())),
        _ => None,
    }
}

/// Writes that take work off a VM go first, those that only create a record
/// last.
fn priority(write: &Write) -> u8 {
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
