//! How many workers a pool is to have.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::job::Room;
use crate::pool::Load;

/// What is wanted more than is needed, so that tasks of uneven sizes find a
/// worker that holds them. *Measured* against 1.15, on pools of some 10 and some 80
/// workers: 0.007 and 0.009 more of what is owed is earned, for 3% more
/// worker-seconds.
const HEADROOM: f64 = 1.3;
/// How long the largest want of late is kept to. A move takes about this long,
/// and one there and back costs more than the time that it saves; so a dip that
/// is shorter is ridden out.
const HOLD: Duration = Duration::from_millis(700);
/// Over how long the growth of the demand is measured.
const SLOPE: Duration = Duration::from_millis(1_000);
/// How far ahead of the demand workers are ordered: as long as a move takes.
const LEAD: Duration = Duration::from_millis(1_500);
/// How long a pool is taken to want what it wanted last: a few rounds in which its
/// owner is too busy to answer. Loads change within seconds.
const RECALL: Duration = Duration::from_millis(2_000);
/// Workers that a pool keeps whatever it is asked for: work that comes finds one
/// at once, and the loss of one is not the loss of all.
const LEAST: u32 = 2;

/// Decides the size of one pool from its load over time. Pure.
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
    /// Wants of late, falling from the first to the last.
    wants: VecDeque<(Time, u32)>,
    /// Demands of late, in workers.
    demands: VecDeque<(Time, f64)>,
    /// What was wanted last.
    last: Option<(Time, Request)>,
}

/// What a pool asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// What it can't do without.
    pub min: u32,
    /// What would do for all that is known now.
    pub current: u32,
    /// What it asks for: as much as it asked for at any time of late.
    pub peak: u32,
}

/// Shares `total` workers among pools.
///
/// Where there is enough, each pool gets all that it asks for. Where there is
/// not, each gets the least that it needs, and the rest by what is known now: a
/// pool whose busy time ends gives way at once to the one whose busy time begins,
/// instead of keeping what it had.
///
/// ```
/// use corianderfork_jobs::size::{Request, allocate};
///
/// let ending = Request { min: 2, current: 10, peak: 40 };
/// let beginning = Request { min: 2, current: 40, peak: 40 };
/// assert_eq!(allocate(&[ending, beginning], 44), [9, 35]);
/// assert_eq!(allocate(&[ending, beginning], 90), [40, 40]);
/// ```
pub fn allocate(wants: &[Request], total: u32) -> Vec<u32> {
    let held: u32 = wants.iter().map(|want| want.peak).sum();
    if held <= total {
        return wants.iter().map(|want| want.peak).collect();
    }
    let least: u32 = wants.iter().map(|want| want.min).sum();
    let more = |want: &Request| want.current.saturating_sub(want.min);
    let asked: u32 = wants.iter().map(more).sum();
    let rest = f64::from(total.saturating_sub(least));
    let part = |want: &Request| {
        let share = f64::from(more(want)) / f64::from(asked.max(1));
        // Rounded to the nearest; one too many is one that isn't found.
        want.min + (share * rest).round().min(f64::from(want.peak)) as u32
    };
    wants.iter().map(part).collect()
}

impl Sizer {
    /// The demand that a worker ordered now will meet, if it grows on as it has
    /// of late.
    ///
    /// Growth that may be chance is not carried on: where jobs are few and large
    /// each one that comes would have workers sent for that nobody needs.
    /// *Measured*: 6% to 9% fewer moves and 4% to 5% fewer worker-seconds, for 0.002
    /// to 0.007 less of what is owed, which [`HEADROOM`] brings back.
    fn ahead(&mut self, now: Time, demand: f64, noise: f64) -> f64 {
        self.demands.push_back((now, demand));
        while self.demands.front().is_some_and(|(at, _)| now - *at > SLOPE) {
            self.demands.pop_front();
        }
        let Some((at, before)) = self.demands.front().copied() else { return demand };
        let since = (now - at).as_secs_f64();
        if since < SLOPE.as_secs_f64() / 2.0 {
            return demand;
        }
        let growth = ((demand - before - noise) / since).max(0.0);
        demand + growth * LEAD.as_secs_f64()
    }

    /// How many workers of room `each` the pool is to have.
    pub fn request(&mut self, now: Time, load: &Load, each: &Room) -> Request {
        // One more for each lasting task that fits on none of those there are.
        let fitting = if load.unfit > 0 { load.workers + load.unfit } else { 0 };
        let least = load.rooted.max(LEAST).max(fitting);
        let demand = load.lasting.in_units_of(each) + load.needed.in_units_of(each);
        let noise = load.noise.in_units_of(each);
        let want = whole(self.ahead(now, demand, noise) * HEADROOM).max(least);
        while self.wants.back().is_some_and(|(_, known)| *known <= want) {
            self.wants.pop_back();
        }
        self.wants.push_back((now, want));
        while self.wants.front().is_some_and(|(at, _)| now - *at > HOLD) {
            self.wants.pop_front();
        }
        let held = self.wants.front().map_or(want, |(_, want)| *want);
        let want = Request { min: least, current: whole(demand * HEADROOM).max(least), peak: held };
        self.last = Some((now, want));
        want
    }

    /// What a pool wants whose owner doesn't tell: what it wanted last, for a while.
    ///
    /// An owner that is busy or being replaced is silent for a moment. Left out, its
    /// pool would count as one that wants nothing: the VMs that it asked for went to
    /// the others, and it had to wait until they came back.
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
        self.last.filter(|(at, _)| now - *at <= RECALL).map(|(_, want)| want)
    }
}

fn whole(number: f64) -> u32 {
    number.ceil().clamp(0.0, 1e6) as u32
}
