//! Polls the platform for tasks, VMs, usage and the wave.

use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::backoff::Backoff;
use corianderfork_model::Time;
use corianderfork_provider::fleet::{Task, Usage, Vm};
use corianderfork_provider::key;
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::{Error, Revision, Store};
use corianderfork_runtime::clock::unix_millis;
use corianderfork_runtime::timer::Tick;
use stakker::CX;

use super::{ACTIVE_PERIOD, Message, Planner};
use crate::facts::Reading;

/// What is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Poll {
    /// The tasks.
    Tasks,
    /// The list of VMs.
    Vms,
    /// The wave.
    Wave,
    /// The usage of tasks.
    Usage,
}

/// How often tasks are polled while nothing changes. A copy that ended by
/// itself goes unnoticed for up to this long; until then, proxies keep callers
/// away from it as connections to it are refused.
const IDLE_TASK_INTERVAL: Duration = Duration::from_secs(5);

/// The result of a poll.
pub(super) enum PollResult {
    Tasks(Result<Vec<Task>, Error>),
    Vms(Result<Vec<Vm>, Error>),
    Wave(Result<Option<(Revision, Wave)>, Error>),
    Usage(Result<Vec<Usage>, Error>),
}

/// The state of one poll.
pub(super) struct PollState {
    pub(super) backoff: Backoff,
    pub(super) retry_at: Time,
    pub(super) in_flight: bool,
    /// When the last request was sent.
    pub(super) last_sent: Time,
}

impl Planner {
    /// Polls the platform if this process holds the lease and no backoff is
    /// pending.
    pub fn on_poll(&mut self, _: CX![], poll: Poll, tick: Tick) {
        if self.lease.token(tick.now).is_some() && !self.can_skip(tick.now, poll) {
            self.poll(tick.now, poll);
        }
    }

    /// Whether this poll of the tasks can be skipped. The list contains every
    /// copy of the fleet: with thousands of copies, reading it twice a second
    /// is most of a controller's work, and while nothing changes it stays the
    /// same.
    fn can_skip(&self, now: Time, poll: Poll) -> bool {
        let last_sent = self.polls.get(&poll).map_or(Time::ZERO, |poll_state| poll_state.last_sent);
        poll == Poll::Tasks && now >= self.active_until && now - last_sent < IDLE_TASK_INTERVAL
    }

    pub(super) fn poll(&mut self, now: Time, poll: Poll) {
        let Some(poll_state) = self.polls.get_mut(&poll) else { return };
        if poll_state.in_flight || now < poll_state.retry_at {
            return;
        }
        let (store, control) =
            (Arc::clone(&self.resources.store), Arc::clone(&self.resources.control));
        let port = self.port.clone();
        let job = move || {
            let result = match poll {
                Poll::Tasks => PollResult::Tasks(control.tasks()),
                Poll::Vms => PollResult::Vms(control.vms()),
                Poll::Usage => PollResult::Usage(control.usage()),
                Poll::Wave => PollResult::Wave(read_wave(&*store)),
            };
            let _ = port.send_wait(Message::Polled(now, result));
        };
        poll_state.in_flight = self.resources.reads.submit(job).is_ok();
        poll_state.last_sent = now;
    }

    pub(super) fn on_poll_result(&mut self, now: Time, sent: Time, result: PollResult) {
        // A poll sent in an earlier tenure may show the state before another
        // process made decisions.
        let is_current = self.held_since.is_some_and(|held_since| sent >= held_since);
        let unix = Time::from_millis(unix_millis());
        let (poll, error) = match result {
            PollResult::Tasks(Ok(tasks)) if is_current => {
                self.facts.on_tasks(sent, tasks);
                (Poll::Tasks, None)
            }
            PollResult::Vms(Ok(vms)) if is_current => {
                self.facts.on_vms(sent, vms);
                (Poll::Vms, None)
            }
            PollResult::Wave(Ok(value)) if is_current => {
                if let Some((_, wave)) = &value {
                    self.gauges.on_wave(wave);
                }
                // A wave that was ordered, halted or resumed is acted on at
                // once.
                let previous = self.facts.wave.as_ref().and_then(|reading| reading.value.as_ref());
                if previous.map(|(revision, _)| *revision) != value.as_ref().map(|(now, _)| *now) {
                    self.active_until = now + ACTIVE_PERIOD;
                }
                self.facts.wave = Some(Reading { sent, value });
                (Poll::Wave, None)
            }
            PollResult::Usage(Ok(value)) if is_current => {
                self.plan.on_usage(unix, &value);
                self.facts.usage = Some(Reading { sent, value });
                (Poll::Usage, None)
            }
            PollResult::Tasks(result) => (Poll::Tasks, result.err()),
            PollResult::Vms(result) => (Poll::Vms, result.err()),
            PollResult::Wave(result) => (Poll::Wave, result.err()),
            PollResult::Usage(result) => (Poll::Usage, result.err()),
        };
        let Some(poll_state) = self.polls.get_mut(&poll) else { return };
        poll_state.in_flight = false;
        match error {
            None => poll_state.backoff.reset(),
            Some(error) => {
                poll_state.retry_at = now + poll_state.backoff.next_wait();
                log::warn!(poll:? = poll, error:% = error; "polling the platform failed");
            }
        }
    }
}

fn read_wave(store: &dyn Store) -> Result<Option<(Revision, Wave)>, Error> {
    let Some(entry) = store.get(key::WAVE)?.entry else { return Ok(None) };
    match serde_json::from_str(&entry.value) {
        Ok(wave) => Ok(Some((entry.revision, wave))),
        Err(error) => {
            log::warn!(error:% = error; "the wave's record can't be parsed; no wave runs");
            Ok(None)
        }
    }
}
