//! The drain rate of a backlog.

use std::time::Duration;

use corianderfork_model::Time;

/// The time constant of the average.
const WINDOW: Duration = Duration::from_secs(2);
/// The minimum age of a backlog for an estimate.
const MIN_AGE: Duration = Duration::from_millis(200);

/// The exponentially weighted rate at which requests of one service got a slot
/// since its backlog began. Earlier starts are ignored: without a backlog the
/// rate is the arrival rate, and after a quiet minute a burst would be refused
/// because hardly any request was started recently.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    started: Time,
    last_start: Time,
    weight: f64,
}

impl Rate {
    pub(super) fn new(now: Time) -> Self {
        Self { started: now, last_start: now, weight: 0.0 }
    }

    pub(super) fn count(&mut self, now: Time) {
        self.weight = self.decayed_weight(now) + 1.0;
        self.last_start = now;
    }

    /// Estimates how long a request waits behind `ahead` others, if the backlog
    /// is old enough. One more start than observed is assumed, because it may
    /// happen at any moment; for a stalled backlog the estimate grows with its
    /// age.
    pub(super) fn estimate_wait(&self, now: Time, ahead: usize) -> Option<Duration> {
        let age = now - self.started;
        if age < MIN_AGE {
            return None;
        }
        let window = WINDOW.as_secs_f64();
        let effective_window = window * (1.0 - (-age.as_secs_f64() / window).exp());
        let per_second = (self.decayed_weight(now) + 1.0) / effective_window;
        Some(Duration::from_secs_f64((ahead + 1) as f64 / per_second))
    }

    fn decayed_weight(&self, now: Time) -> f64 {
        self.weight * (-(now - self.last_start).as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
