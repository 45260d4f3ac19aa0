//! What the holder asks the platform for, again and again.

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

use super::{ACTIVE, Incoming, Planner};
use crate::facts::Listed;

/// What the platform is asked for again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Poll {
    /// The tasks.
    Tasks,
    /// The list of VMs.
    Vms,
    /// The wave.
    Wave,
    /// What tasks use.
    Usage,
}

/// How often tasks are looked at while nothing changes. A copy that ended by
/// itself is found by then; until then the proxies' own refusals keep callers
/// away from it.
const TASKS_AT_REST: Duration = Duration::from_secs(5);

/// What a poll brought.
pub(super) enum Polled {
    Tasks(Result<Vec<Task>, Error>),
    Vms(Result<Vec<Vm>, Error>),
    Wave(Result<Option<(Revision, Wave)>, Error>),
    Usage(Result<Vec<Usage>, Error>),
}

/// Something that is polled, and how that has gone.
pub(super) struct Source {
    pub(super) backoff: Backoff,
    pub(super) resume: Time,
    pub(super) out: bool,
    /// When it was last asked for.
    pub(super) last: Time,
}

impl Planner {
    /// Asks the platform for something, if this process decides and the
    /// platform has not just failed.
    pub fn on_poll(&mut self, _: CX![], poll: Poll, tick: Tick) {
        if self.tenure.token(tick.now).is_some() && !self.can_wait(tick.now, poll) {
            self.poll(tick.now, poll);
        }
    }

    /// Whether a look at all tasks can wait. The list names every copy of the
    /// fleet: at thousands of copies, reading it twice a second is most of what
    /// a controller does, and while nothing changes it says the same.
    fn can_wait(&self, now: Time, poll: Poll) -> bool {
        let last = self.sources.get(&poll).map_or(Time::ZERO, |source| source.last);
        poll == Poll::Tasks && now >= self.active_until && now - last < TASKS_AT_REST
    }

    pub(super) fn poll(&mut self, now: Time, poll: Poll) {
        let Some(source) = self.sources.get_mut(&poll) else { return };
        if source.out || now < source.resume {
            return;
        }
        let (store, control) = (Arc::clone(&self.outside.store), Arc::clone(&self.outside.control));
        let port = self.port.clone();
        let job = move || {
            let polled = match poll {
                Poll::Tasks => Polled::Tasks(control.tasks()),
                Poll::Vms => Polled::Vms(control.vms()),
                Poll::Usage => Polled::Usage(control.usage()),
                Poll::Wave => Polled::Wave(read_wave(&*store)),
            };
            let _ = port.send_wait(Incoming::Polled(now, polled));
        };
        source.out = self.outside.reads.submit(job).is_ok();
        source.last = now;
    }

    pub(super) fn on_polled(&mut self, now: Time, sent: Time, polled: Polled) {
        // Sent under an earlier holding, it may show what was before another
        // process decided.
        let current = self.since.is_some_and(|since| sent >= since);
        let unix = Time::from_millis(unix_millis());
        let (poll, error) = match polled {
            Polled::Tasks(Ok(tasks)) if current => {
                self.facts.on_tasks(sent, tasks);
                (Poll::Tasks, None)
            }
            Polled::Vms(Ok(vms)) if current => {
                self.facts.on_vms(sent, vms);
                (Poll::Vms, None)
            }
            Polled::Wave(Ok(value)) if current => {
                if let Some((_, wave)) = &value {
                    self.gauges.on_wave(wave);
                }
                // A wave that was ordered, halted or resumed is not kept waiting.
                let before = self.facts.wave.as_ref().and_then(|listed| listed.value.as_ref());
                if before.map(|(revision, _)| *revision) != value.as_ref().map(|(now, _)| *now) {
                    self.active_until = now + ACTIVE;
                }
                self.facts.wave = Some(Listed { sent, value });
                (Poll::Wave, None)
            }
            Polled::Usage(Ok(value)) if current => {
                self.plan.on_usage(unix, &value);
                self.facts.usage = Some(Listed { sent, value });
                (Poll::Usage, None)
            }
            Polled::Tasks(result) => (Poll::Tasks, result.err()),
            Polled::Vms(result) => (Poll::Vms, result.err()),
            Polled::Wave(result) => (Poll::Wave, result.err()),
            Polled::Usage(result) => (Poll::Usage, result.err()),
        };
        let Some(source) = self.sources.get_mut(&poll) else { return };
        source.out = false;
        match error {
            None => source.backoff.reset(),
            Some(error) => {
                source.resume = now + source.backoff.next_wait();
                log::warn!(poll:? = poll, error:% = error; "the platform did not answer");
            }
        }
    }
}

fn read_wave(store: &dyn Store) -> Result<Option<(Revision, Wave)>, Error> {
    let Some(entry) = store.get(key::WAVE)?.entry else { return Ok(None) };
    match serde_json::from_str(&entry.value) {
        Ok(wave) => Ok(Some((entry.revision, wave))),
        Err(error) => {
            log::warn!(error:% = error; "the wave's record is unreadable; no wave runs");
            Ok(None)
        }
    }
}
