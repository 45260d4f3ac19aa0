//! Settings of a router.

use std::time::Duration;

use crate::limits::{Borrowing, Policy, Proportional};
use crate::outlier;

/// Settings of a [`Router`](super::Router).
#[derive(Debug)]
pub struct Config {
    pub(super) policy: Box<dyn Policy>,
    pub(super) outlier: outlier::Config,
    pub(super) leaving_hold: Duration,
    pub(super) peer_timeout: Duration,
    pub(super) seed: u64,
}

impl Default for Config {
    /// Shares lent on peers' reports, with borrowing; a runner that said it leaves is left alone
    /// for a minute; a peer is silent after two seconds without a report.
    fn default() -> Self {
        Self {
            policy: Box::new(Borrowing::new(Proportional::default())),
            outlier: outlier::Config::default(),
            leaving_hold: Duration::from_secs(60),
            peer_timeout: Duration::from_secs(2),
            seed: 0,
        }
    }
}

impl Config {
    /// Sets how slots are divided among the proxies.
    pub fn policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Sets when runners are ejected.
    pub fn outlier(mut self, config: outlier::Config) -> Self {
        self.outlier = config;
        self
    }

    /// Sets for how long a backend server that refused as leaving gets no work
    /// if no record says more. After it, it is tried again: were there no end, a
    /// refusal by mistake would cost the copy for good, and a copy that still
    /// leaves refuses once more with nothing run.
    pub fn leaving_hold(mut self, time: Duration) -> Self {
        self.leaving_hold = time;
        self
    }

    /// Sets after how long without a report a peer counts as silent and its
    /// hints lapse.
    pub fn peer_timeout(mut self, time: Duration) -> Self {
        self.peer_timeout = time;
        self
    }

    /// Sets the seed of choices and jitter; give each proxy its own.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
