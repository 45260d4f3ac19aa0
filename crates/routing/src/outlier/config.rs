//! Settings of a detector.

use std::time::Duration;

use corianderfork_model::Share;

/// Settings of a [`Detector`](super::Detector).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) enabled: bool,
    pub(super) failures_to_eject: u32,
    pub(super) min_tries: u32,
    pub(super) margin: Share,
    pub(super) base: Duration,
    pub(super) cap: Duration,
    pub(super) max_share: Share,
    pub(super) probes: u32,
    pub(super) hint_timeout: Duration,
}

impl Default for Config {
    /// Five consecutive failures, or a success rate 30% below the median over
    /// at least ten tries; 5 s doubling up to 2 min; at most 30% of the runners
    /// ejected; three successful probes for readmission.
    fn default() -> Self {
        let share = Share::from_per_mille(300).expect("below 1000");
        Self {
            enabled: true,
            failures_to_eject: 5,
            min_tries: 10,
            margin: share,
            base: Duration::from_secs(5),
            cap: Duration::from_secs(120),
            max_share: share,
            probes: 3,
            hint_timeout: Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Sets whether runners are ejected at all.
    pub fn enabled(mut self, yes: bool) -> Self {
        self.enabled = yes;
        self
    }

    /// Sets how many consecutive failures eject a runner.
    pub fn failures_to_eject(mut self, failures: u32) -> Self {
        self.failures_to_eject = failures;
        self
    }

    /// Sets the duration of the first ejection and the maximum to which
    /// repeated ones grow.
    pub fn ejection(mut self, base: Duration, cap: Duration) -> Self {
        self.base = base;
        self.cap = cap;
        self
    }

    /// Sets the share of a service's runners that may be ejected at once,
    /// rounded down. One of two or more runners may always be ejected.
    pub fn max_share(mut self, share: Share) -> Self {
        self.max_share = share;
        self
    }
}
