//! The number of workers that a pool should have.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::job::Room;
use crate::pool::Load;

/// Factor by which a pool requests more than it needs, so that tasks of uneven sizes find a worker
/// with enough room. Compared with 1.15, pools of about 10 and about 80 workers earn 0.007 and
/// 0.009 more of the possible earnings, for 3% more worker-seconds.
const HEADROOM: f64 = 1.3;
/// How long the largest recent request is kept. Moving a worker takes about this long, and a
/// move there and back costs more than it saves, so shorter dips are ignored.
const PEAK_WINDOW: Duration = Duration::from_millis(700);
/// Window over which the growth of the demand is measured.
const GROWTH_WINDOW: Duration = Duration::from_millis(1_000);
/// How far ahead of the demand workers are ordered: as long as a move takes.
const LEAD_TIME: Duration = Duration::from_millis(1_500);
/// How long the last request of a pool stays valid: a few rounds in which its owner is too busy
/// to answer. Loads change within seconds.
const REQUEST_VALIDITY: Duration = Duration::from_millis(2_000);
/// The factor by which the demand of a pool grows within [`GROWTH_WINDOW`] if it counts as rising.
/// Demands that rise in turn grow by several times within a second.
const RISING_FACTOR: f64 = 1.2;
/// Minimum number of workers of a pool: new work finds one at once, and the loss of one is not
/// the loss of all.
const MIN_WORKERS: u32 = 2;

/// Calculates the size of one pool from its load over time. Does no I/O.
///
/// ```
/// use corianderfork_jobs::job::Room;
/// use corianderfork_jobs::pool::Load;
/// use corianderfork_jobs::size::Sizer;
/// use corianderfork_model::Time;
///
/// let each = Room { cpu: 1_000, memory_mb: 1_000, gpu: 0 };
/// let needed = Room { cpu: 5_000, memory_mb: 0, gpu: 0 };
/// let load = Load { needed, ..Load::default() };
/// assert_eq!(Sizer::default().request(Time::ZERO, &load, &each).peak, 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sizer {
    /// Recent requests, with decreasing sizes.
    requests: VecDeque<(Time, u32)>,
    /// Recent demands, in workers.
    demands: VecDeque<(Time, f64)>,
    /// The last request.
    last: Option<(Time, Request)>,
}

/// The numbers of workers that a pool requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The number that it can't do without.
    pub min: u32,
    /// The number that suffices for the work of jobs that can still be in time; at most `current`.
    pub in_time: u32,
    /// The number that suffices for everything known now.
    pub current: u32,
    /// The requested number: the largest recent one.
    pub peak: u32,
}

/// Divides `total` workers among pools.
///
/// If there are enough, each pool gets its whole request. Otherwise each gets its minimum, and
/// the rest is divided by the current needs: a pool whose busy time ends yields at once to one
/// whose busy time begins, instead of keeping its workers.
///
/// ```
/// use corianderfork_jobs::size::{Request, allocate};
///
/// let ending = Request { min: 2, in_time: 10, current: 10, peak: 40 };
/// let beginning = Request { min: 2, in_time: 40, current: 40, peak: 40 };
/// assert_eq!(allocate(&[ending, beginning], 44), [9, 35]);
/// assert_eq!(allocate(&[ending, beginning], 90), [40, 40]);
/// ```
pub fn allocate(requests: &[Request], total: u32) -> Vec<u32> {
    let peak: u32 = requests.iter().map(|request| request.peak).sum();
    if peak <= total {
        return requests.iter().map(|request| request.peak).collect();
    }
    let min: u32 = requests.iter().map(|request| request.min).sum();
    let above_min = |request: &Request| request.current.saturating_sub(request.min);
    let requested: u32 = requests.iter().map(above_min).sum();
    let rest = f64::from(total.saturating_sub(min));
    let allocation = |request: &Request| {
        let share = f64::from(above_min(request)) / f64::from(requested.max(1));
        // Rounded to the nearest; if the sum is one too many, one requested worker isn't available.
        request.min + (share * rest).round().min(f64::from(request.peak)) as u32
    };
    requests.iter().map(allocation).collect()
}

impl Sizer {
    /// Returns the demand at the time when a worker ordered now arrives, if the demand keeps
    /// growing as recently.
    ///
    /// Growth that may be random is not extrapolated: where jobs are few and large, each arrival
    /// would order workers that aren't needed. Not extrapolating it results in 6% to 9% fewer moves
    /// and 4% to 5% fewer worker-seconds, for 0.002 to 0.007 less of the possible earnings, which
    /// [`HEADROOM`] makes up for.
    fn extrapolate(&mut self, now: Time, demand: f64, noise: f64) -> f64 {
        self.demands.push_back((now, demand));
        while self.demands.front().is_some_and(|(at, _)| now - *at > GROWTH_WINDOW) {
            self.demands.pop_front();
        }
        let Some((at, earlier)) = self.demands.front().copied() else { return demand };
        let since = (now - at).as_secs_f64();
        if since < GROWTH_WINDOW.as_secs_f64() / 2.0 {
            return demand;
        }
        let growth = ((demand - earlier - noise) / since).max(0.0);
        demand + growth * LEAD_TIME.as_secs_f64()
    }

    /// Whether the demand has risen beyond its random variation during the last second.
    pub fn is_rising(&self) -> bool {
        let (Some((_, first)), Some((_, last))) = (self.demands.front(), self.demands.back())
        else {
            return false;
        };
        *last > *first * RISING_FACTOR + 1.0
    }

    /// Returns how many workers of room `worker_room` the pool should have.
    pub fn request(&mut self, now: Time, load: &Load, worker_room: &Room) -> Request {
        // One more for each long-running task that fits on no current worker.
        let with_unplaced = if load.unfit > 0 { load.workers + load.unfit } else { 0 };
        let min = load.rooted.max(MIN_WORKERS).max(with_unplaced);
        let demand = load.lasting.in_units_of(worker_room) + load.needed.in_units_of(worker_room);
        let noise = load.noise.in_units_of(worker_room);
        let request = to_workers(self.extrapolate(now, demand, noise) * HEADROOM);
        let request = request.max(min).max(load.at_once);
        while self.requests.back().is_some_and(|(_, known)| *known <= request) {
            self.requests.pop_back();
        }
        self.requests.push_back((now, request));
        while self.requests.front().is_some_and(|(at, _)| now - *at > PEAK_WINDOW) {
            self.requests.pop_front();
        }
        let peak = self.requests.front().map_or(request, |(_, request)| *request);
        let current = to_workers(demand * HEADROOM).max(min).max(load.at_once);
        let in_time = load.lasting.in_units_of(worker_room)
            + load.in_time.unwrap_or(load.needed).in_units_of(worker_room);
        let in_time = to_workers(in_time * HEADROOM).clamp(min, current);
        let request = Request { min, in_time, current, peak };
        self.last = Some((now, request));
        request
    }

    /// Returns the last request of a pool whose owner doesn't report, as long as it is recent.
    ///
    /// An owner that is busy or being replaced is silent for a moment. If its pool were left
    /// out, it would count as requesting nothing: the VMs that it requested would go to other
    /// pools, and it would have to wait until they came back.
    ///
    /// ```
    /// use corianderfork_jobs::job::Room;
    /// use corianderfork_jobs::pool::Load;
    /// use corianderfork_jobs::size::Sizer;
    /// use corianderfork_model::Time;
    ///
    /// let mut sizer = Sizer::default();
    /// let each = Room { cpu: 1_000, memory_mb: 1_000, gpu: 0 };
    /// let request = sizer.request(Time::ZERO, &Load::default(), &each);
    /// assert_eq!(sizer.last_request(Time::from_millis(2_000)), Some(request));
    /// assert_eq!(sizer.last_request(Time::from_millis(60_000)), None);
    /// ```
    pub fn last_request(&self, now: Time) -> Option<Request> {
        self.last.filter(|(at, _)| now - *at <= REQUEST_VALIDITY).map(|(_, request)| request)
    }
}

fn to_workers(number: f64) -> u32 {
    number.ceil().clamp(0.0, 1e6) as u32
}
