//! The work that a pool's workers can start until a given time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::Room;
use crate::work::Work;

/// Runs that end within this time of each other are taken together.
const RESOLUTION_MS: u128 = 10;

/// A run on a worker that takes tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// The room that it occupies, as [`charge`] returns it.
    pub room: Work,
    /// The predicted remaining time; `None` if it doesn't end by itself.
    pub left: Option<Duration>,
}

/// Runs that end up to some time, all together.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    at: f64,
    room: Work,
    /// Their remaining work.
    work: Work,
}

/// The room of the usable workers over time, less what current runs occupy.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    room: Work,
    /// The room of all runs.
    used: Work,
    /// By time.
    ended: Vec<Ended>,
}

impl Capacity {
    /// Returns the capacity of workers with a total of `room`, on which `runs` are.
    pub fn new(room: &Room, runs: Vec<Run>) -> Self {
        let mut used = Work::default();
        runs.iter().for_each(|run| used.add(&run.room));
        let mut ends: BTreeMap<u128, Work> = BTreeMap::new();
        for run in runs {
            if let Some(left) = run.left {
                let end = left.as_millis().div_ceil(RESOLUTION_MS);
                ends.entry(end).or_default().add(&run.room);
            }
        }
        let mut sum = Ended::default();
        let mut add = |(end, room): (u128, Work)| {
            sum.at = (end * RESOLUTION_MS) as f64 / 1e3;
            sum.room.add(&room);
            sum.work.add(&room.times(sum.at));
            sum
        };
        let ended = ends.into_iter().map(&mut add).collect();
        Self { room: Work::of(room, Duration::from_secs(1)), used, ended }
    }

    /// The room of the workers.
    pub fn room(&self) -> &Work {
        &self.room
    }

    /// Returns the work that can be started within `time`, if it consists of tasks or chains of
    /// tasks that each take `chain`.
    pub fn startable(&self, time: Duration, chain: Duration) -> Work {
        self.window(time).startable(chain.as_secs_f64())
    }

    /// Returns the capacity within `time`.
    pub(super) fn window(&self, time: Duration) -> Window {
        let time = time.as_secs_f64();
        let count = self.ended.partition_point(|ended| ended.at <= time);
        let ended = if count == 0 { Ended::default() } else { self.ended[count - 1] };
        let used = self.used.saturating_sub(&ended.room);
        let mut taken = used.times(time);
        taken.add(&ended.work);
        Window {
            free: self.room.saturating_sub(&used),
            work: self.room.times(time).saturating_sub(&taken),
        }
    }
}

/// The capacity from now to some time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window {
    /// The room that no current run uses at the end.
    free: Work,
    /// The work that fits beside the current runs.
    work: Work,
}

impl Window {
    /// Returns the work that can be started in the window, for chains of `chain` seconds.
    ///
    /// Room that becomes free in it starts at least one task. In a longer window it does as much
    /// work as fits, and the last tasks are half done at the end on average.
    pub fn startable(&self, chain: f64) -> Work {
        let mut work = self.work;
        work.add(&self.free.times(chain / 2.0));
        work.max(&self.free.times(chain))
    }
}

/// Returns the room that a task really takes on workers of room `worker`: their room divided by the
/// number of such tasks that fit. A worker of 32 cores runs four tasks of 6.7, so each takes 8.
pub fn charge(worker: &Room, task: &Room) -> Work {
    let part = |worker: u64, task: u64| match worker.checked_div(task) {
        None | Some(0) => task as f64,
        Some(count) => worker as f64 / count as f64,
    };
    Work {
        cpu: part(worker.cpu, task.cpu),
        memory_mb: part(worker.memory_mb, task.memory_mb),
        gpu: part(worker.gpu, task.gpu),
    }
}
