//! How many workers a pool is to have.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::job::Room;
use crate::pool::Load;

/// What is wanted more than is asked for, so that tasks of uneven sizes find a
/// worker that holds them.
const HEADROOM: f64 = 1.15;
/// The share of what comes later that counts now: by the time a worker has come,
/// about half of it has its turn.
const LATER: f64 = 0.5;
/// How long the largest want of late is kept to. A move takes about this long,
/// and one there and back costs more than the time that it saves; so a dip that
/// is shorter is ridden out.
const HOLD: Duration = Duration::from_millis(1_500);
/// Workers that a pool keeps whatever it is asked for: work that comes finds one
/// at once, and the loss of one is not the loss of all.
const LEAST: u32 = 2;

/// Decides the size of one pool from its load over time. Pure.
///
/// ```
/// use corianderfork_jobs::job::Room;
/// use corianderfork_jobs::pool::Load;
/// use corianderfork_jobs::size::Size;
/// use corianderfork_model::Time;
///
/// let each = Room { cpu: 1_000, memory_mb: 1_000, gpu: 0 };
/// let waiting = Room { cpu: 5_000, memory_mb: 0, gpu: 0 };
/// let load = Load { waiting, ..Load::default() };
/// assert_eq!(Size::default().want(Time::ZERO, &load, &each), 6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Size {
    /// Wants of late, falling from the first to the last.
    wants: VecDeque<(Time, u32)>,
}

impl Size {
    /// How many workers of room `each` the pool is to have.
    pub fn want(&mut self, now: Time, load: &Load, each: &Room) -> u32 {
        let want = want_now(load, each).max(load.rooted).max(LEAST);
        while self.wants.back().is_some_and(|(_, known)| *known <= want) {
            self.wants.pop_back();
        }
        self.wants.push_back((now, want));
        while self.wants.front().is_some_and(|(at, _)| now - *at > HOLD) {
            self.wants.pop_front();
        }
        self.wants.front().map_or(want, |(_, want)| *want)
    }
}

fn want_now(load: &Load, each: &Room) -> u32 {
    let now = load.used.in_units_of(each) + load.waiting.in_units_of(each);
    let all = now + load.later.in_units_of(each) * LATER;
    (all * HEADROOM).ceil().clamp(0.0, 1e6) as u32
}
