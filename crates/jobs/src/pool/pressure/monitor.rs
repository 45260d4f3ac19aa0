//! The memory of the estimates which jobs can't be served.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use corianderfork_model::Time;

use crate::job::Room;
use crate::pressure::Size;
use crate::worker;

/// How long jobs must be served too late until that is reported.
const SUSTAINED: Duration = Duration::from_millis(500);
/// How long after a change of the pool nothing is reported: the first tasks on new workers, and
/// the first jobs that a new owner gets, change the estimate most.
pub const SETTLING: Duration = Duration::from_secs(1);
/// The growth within [`SETTLING`], in percent, by which the pool counts as growing: single workers
/// that are replaced are no growth.
const GROWTH_PERCENT: u32 = 105;
/// The most jobs by which the mean of a queue's jobs is weighted.
const MAX_SAMPLES: f64 = 50.0;
/// The longest wait that is reported, in milliseconds.
const MAX_WAIT_MS: u32 = 60_000;

/// The estimates of a pool.
#[derive(Debug, Default)]
pub struct Monitor {
    pub queues: HashMap<String, Profile>,
    /// When the last estimate was made.
    pub updated: Option<Time>,
    /// Since when this owner may start every task.
    pub open_since: Option<Time>,
    /// The number of workers at the estimates of the last [`SETTLING`].
    counts: VecDeque<(Time, u32)>,
    /// The number of workers that the planner means the pool to have, and when it told that.
    pub target: Option<(Time, u32)>,
    /// The most of each resource that any worker has left.
    pub free: Room,
}

/// The jobs of a queue.
#[derive(Debug, Default)]
pub struct Profile {
    pub samples: f64,
    pub mean_work: f64,
    pub sizes: [SizeProfile; 3],
}

/// The jobs of one size of a queue.
#[derive(Debug, Default)]
pub struct SizeProfile {
    pub samples: f64,
    /// The mean of the predicted durations of the longest chains, in seconds.
    pub chain: f64,
    pub expiring: Wait,
    pub late: Wait,
}

/// How long a job waits, while that is too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wait {
    since: Option<Time>,
    millis: u32,
}

impl Wait {
    pub fn set(&mut self, now: Time, wait: Option<Duration>) {
        self.since = wait.map(|_| self.since.unwrap_or(now));
        let millis = wait.map_or(0, worker::millis);
        self.millis = u32::try_from(millis).unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS);
    }

    /// Returns the wait in milliseconds if it has been too long for [`SUSTAINED`], else 0.
    pub fn sustained(&self, now: Time) -> u32 {
        let is_sustained = self.since.is_some_and(|since| now - since >= SUSTAINED);
        if is_sustained { self.millis.max(1) } else { 0 }
    }
}

impl Monitor {
    /// Records a submitted job: its declared work in milliseconds of a core, and the predicted
    /// duration of its longest chain of steps.
    pub fn note_job(&mut self, queue: &str, work: u64, chain: Duration) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), Profile::default());
        }
        let Some(profile) = self.queues.get_mut(queue) else { return };
        learn(&mut profile.mean_work, &mut profile.samples, work as f64);
        let size = &mut profile.sizes[Size::of(work, profile.mean_work as u64) as usize];
        learn(&mut size.chain, &mut size.samples, chain.as_secs_f64());
    }

    pub fn clear(&mut self) {
        for size in self.queues.values_mut().flat_map(|profile| &mut profile.sizes) {
            (size.expiring, size.late) = (Wait::default(), Wait::default());
        }
    }

    /// Records the number of workers. Returns whether it has grown in the last [`SETTLING`].
    pub fn is_growing(&mut self, now: Time, count: u32) -> bool {
        while self.counts.front().is_some_and(|(at, _)| now - *at > SETTLING) {
            self.counts.pop_front();
        }
        self.counts.push_back((now, count));
        let least = self.counts.iter().map(|(_, count)| *count).min().unwrap_or(count);
        count * 100 > least * GROWTH_PERCENT
    }
}

/// Adds a sample to a mean that follows the last [`MAX_SAMPLES`].
fn learn(mean: &mut f64, samples: &mut f64, value: f64) {
    *samples = (*samples + 1.0).min(MAX_SAMPLES);
    *mean += (value - *mean) / *samples;
}
