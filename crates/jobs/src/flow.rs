//! How much work comes in.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::work::Work;

/// Over how long the flow is measured. The short ones tell within half a second
/// that a queue's busy time has begun, the long one is steady once it has.
const WINDOWS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_000), Duration::from_millis(2_000)];
/// Over how long [`Flow::noise`] is measured.
const SECOND: Duration = Duration::from_secs(1);
/// How many standard errors below what was seen the flow is taken to be.
const CAUTION: f64 = 0.5;
/// Arrivals kept: a bound on memory, above what comes in the longest window.
const MOST: usize = 16_384;

/// The rate at which work is handed in. Pure.
///
/// What waits and runs is a stock: it grows as the harm does, and a size that
/// follows it comes when callers have waited already. The flow tells the steady
/// need from the first half second on.
///
/// Of each window the rate is taken that is likely there, half a standard error
/// below what was seen, and then the largest: one huge job is no flow, thirty
/// small ones in half a second are.
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
///     flow.note(Time::from_millis(n * 20), Work::of(&core, Duration::from_millis(200)));
/// }
/// let cores = flow.rate(Time::from_millis(2_000)).cpu / 1_000.0;
/// assert!((8.0..=10.0).contains(&cores), "{cores}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Flow {
    arrivals: VecDeque<(Time, Work)>,
}

impl Flow {
    /// Takes in that `work` was handed in at `at`.
    pub fn note(&mut self, at: Time, work: Work) {
        self.arrivals.push_back((at, work));
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.arrivals.len() > MOST
            || self.arrivals.front().is_some_and(|(first, _)| at - *first > longest)
        {
            self.arrivals.pop_front();
        }
    }

    /// The room that the flow keeps busy.
    pub fn rate(&self, now: Time) -> Work {
        let mut most = Work::default();
        for window in WINDOWS {
            most = most.max(&self.rate_over(now, window));
        }
        most
    }

    /// By how much the flow of a second differs from the next one's by chance: one
    /// standard error.
    pub fn noise(&self, now: Time) -> Work {
        let mut squares = Work::default();
        for (_, work) in self.arrivals.iter().filter(|(at, _)| now - *at < SECOND) {
            squares.add(&work.squared());
        }
        squares.root().per(SECOND)
    }

    fn rate_over(&self, now: Time, window: Duration) -> Work {
        let (mut sum, mut squares) = (Work::default(), Work::default());
        for (_, work) in self.arrivals.iter().filter(|(at, _)| now - *at < window) {
            sum.add(work);
            squares.add(&work.squared());
        }
        sum.less(&squares.root().times(CAUTION)).per(window)
    }
}
