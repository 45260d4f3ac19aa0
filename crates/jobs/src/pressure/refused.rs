//! The memory of refused jobs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use corianderfork_model::Time;

use crate::id::JobId;

/// How long a refused job is remembered: callers come back within the longest `Retry-After`, several times.
const REFUSED_TTL: Duration = Duration::from_secs(20);
/// The most refused jobs remembered. Beyond that, a repeated job is treated as a new one.
const MAX_REFUSED: usize = 8_192;
/// How many refusals are forgotten with each new one: more than one, so that their number falls.
const MAX_FORGOTTEN: u32 = 2;

/// The jobs that were refused in the last [`REFUSED_TTL`], at most [`MAX_REFUSED`].
#[derive(Clone, Debug, Default)]
pub(super) struct Refused {
    /// When each was last refused.
    last: HashMap<JobId, Time>,
    /// The refusals, oldest first.
    order: VecDeque<(Time, JobId)>,
}

impl Refused {
    pub fn contains(&self, id: JobId) -> bool {
        self.last.contains_key(&id)
    }

    pub fn add(&mut self, now: Time, id: JobId) {
        for _ in 0..MAX_FORGOTTEN {
            self.forget_oldest(now);
        }
        if self.order.len() < MAX_REFUSED {
            self.last.insert(id, now);
            self.order.push_back((now, id));
        }
    }

    /// Forgets the oldest refusal if its time is over. The job is kept if it was refused again.
    fn forget_oldest(&mut self, now: Time) {
        let oldest = self.order.front().copied();
        let Some((at, id)) = oldest.filter(|(at, _)| now - *at >= REFUSED_TTL) else { return };
        self.order.pop_front();
        if self.last.get(&id) == Some(&at) {
            self.last.remove(&id);
        }
    }
}
