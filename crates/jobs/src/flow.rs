//! The rate at which work arrives.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::work::Work;

/// Windows over which the rate is measured. The short ones detect the start of a queue's busy
/// time within half a second; the long one is steady afterwards.
const WINDOWS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_000), Duration::from_millis(2_000)];
/// Window over which [`Flow::noise`] is measured.
const NOISE_WINDOW: Duration = Duration::from_secs(1);
/// Number of standard errors by which the rate is assumed to be lower than measured.
const ERROR_MARGIN: f64 = 0.5;
/// Maximum number of remembered arrivals: a bound on memory, above what arrives in the longest
/// window.
const MAX_ARRIVALS: usize = 16_384;

/// Measures the rate at which work is submitted. Does no I/O.
///
/// A pool size that follows the backlog grows too late: the backlog grows only while callers
/// already wait. The rate shows the lasting need from the first half second on.
///
/// For each window, the rate is taken to be half a standard error below the measurement, and
/// the largest of these is used: one huge job doesn't count as a rate, thirty small ones in
/// half a second do.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_jobs::flow::Flow;
/// use corianderfork_jobs::job::Room;
/// use corianderfork_jobs::work::Work;
/// use corianderfork_model::Time;
///
/// let core = Room { cpu: 1_000, memory_mb: 0, gpu: 0 };
/// let mut flow = Flow::default();
/// for n in 0..100 {
///     flow.record(Time::from_millis(n * 20), Work::of(&core, Duration::from_millis(200)));
/// }
/// let cores = flow.rate(Time::from_millis(2_000)).cpu / 1_000.0;
/// assert!((8.0..=10.0).contains(&cores), "{cores}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Flow {
    arrivals: VecDeque<(Time, Work)>,
}

impl Flow {
    /// Records that `work` was submitted at `at`.
    pub fn record(&mut self, at: Time, work: Work) {
        self.arrivals.push_back((at, work));
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.arrivals.len() > MAX_ARRIVALS
            || self.arrivals.front().is_some_and(|(first, _)| at - *first > longest)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the room that the arriving work keeps busy.
    pub fn rate(&self, now: Time) -> Work {
        self.rate_without(now, &[])
    }

    /// Returns the room that the arriving work keeps busy, except some work and when it arrived.
    pub fn rate_without(&self, now: Time, excluded: &[(Time, Work)]) -> Work {
        let mut largest = Work::default();
        for window in WINDOWS {
            let mut without = Work::default();
            let recent = excluded.iter().filter(|(at, _)| now - *at < window);
            recent.for_each(|(_, work)| without.add(work));
            let rate = self.rate_over(now, window);
            largest = largest.max(&rate.saturating_sub(&without.per(window)));
        }
        largest
    }

    /// Returns the room that the arriving work keeps busy by the window with the least: a rate that
    /// has held for all of them.
    pub fn steady(&self, now: Time) -> Work {
        let rates = WINDOWS.map(|window| self.rate_over(now, window));
        rates.iter().skip(1).fold(rates[0], |least, rate| least.min(rate))
    }

    /// Returns the room that work keeps busy which arrives at the rate of the last half second.
    ///
    /// Unlike [`Flow::rate`] it falls within half a second when the busy time of a queue ends: the
    /// VMs that work on it are needed elsewhere.
    pub fn recent_rate(&self, now: Time) -> Work {
        self.rate_over(now, WINDOWS[0])
    }

    /// Returns the random variation of the rate between seconds: one standard error.
    pub fn noise(&self, now: Time) -> Work {
        let mut squares = Work::default();
        for (_, work) in self.arrivals.iter().filter(|(at, _)| now - *at < NOISE_WINDOW) {
            squares.add(&work.squared());
        }
        squares.sqrt().per(NOISE_WINDOW)
    }

    fn rate_over(&self, now: Time, window: Duration) -> Work {
        let (mut sum, mut squares) = (Work::default(), Work::default());
        for (_, work) in self.arrivals.iter().filter(|(at, _)| now - *at < window) {
            sum.add(work);
            squares.add(&work.squared());
        }
        sum.saturating_sub(&squares.sqrt().times(ERROR_MARGIN)).per(window)
    }
}
