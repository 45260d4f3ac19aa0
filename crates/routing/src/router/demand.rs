//! A proxy's demand for slots of a service.

use std::time::Duration;

use corianderfork_model::Time;

/// The time constant of the average request rate.
const WINDOW: Duration = Duration::from_secs(2);
/// The number of requests over which the slot holding time is averaged. Single
/// times vary so much that an average of few would make the demand fluctuate
/// more than the callers do.
const MAX_SAMPLES: u32 = 512;

/// The reported demand is updated when it changes by more than its value
/// divided by this.
const REPORT_STEP: u32 = 12;

/// The average number of slots in use if every request gets one immediately:
/// the request rate times the holding time of a slot (Little's law). Waiting
/// requests are not counted: a backlog is not a rate, and a proxy that was
/// briefly short of slots would demand all slots of its peers, which would then
/// run short themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    started: Option<Time>,
    last_request: Time,
    weight: f64,
    samples: u32,
    mean_hold_millis: f64,
    reported: u32,
}

impl Demand {
    /// Counts a request of a caller.
    pub(super) fn count_request(&mut self, now: Time) {
        self.started.get_or_insert(now);
        self.weight = self.decayed_weight(now) + 1.0;
        self.last_request = now;
    }

    /// Records that a request held a slot for `time`.
    pub(super) fn record_hold(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.mean_hold_millis += (millis - self.mean_hold_millis) / f64::from(self.samples);
    }

    /// Updates and returns the reported demand, in tenths of a slot. It follows
    /// the average in steps of a twelfth, because each change moves slots
    /// between proxies, and moved slots stay unused for the settle time.
    pub(super) fn report(&mut self, now: Time) -> u32 {
        let needed = (self.needed(now) * 10.0).ceil() as u32;
        let step = (self.reported / REPORT_STEP).max(2);
        if needed.abs_diff(self.reported) > step || needed == 0 {
            self.reported = needed;
        }
        self.reported
    }

    /// Returns the last reported demand, in tenths of a slot.
    pub(super) fn reported(&self) -> u32 {
        self.reported
    }

    fn needed(&self, now: Time) -> f64 {
        /// Averages below this count as zero.
        const NEGLIGIBLE: f64 = 0.05;
        let Some(started) = self.started else { return 0.0 };
        let window = WINDOW.as_secs_f64();
        // A young rate is divided by its age; otherwise a proxy that has just
        // started would demand too little.
        let effective_window = window * (1.0 - (-(now - started).as_secs_f64() / window).exp());
        let per_second = self.decayed_weight(now) / effective_window.max(0.1);
        let slots = per_second * self.mean_hold_millis / 1000.0;
        if slots < NEGLIGIBLE { 0.0 } else { slots }
    }

    fn decayed_weight(&self, now: Time) -> f64 {
        self.weight * (-(now - self.last_request).as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
