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
    /// Proportional shares with borrowing; a runner that rejected work as
    /// leaving gets no work for a minute; a peer is silent after two seconds
    /// without a report.
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
    /// Sets the policy that divides slots among the proxies.
    pub fn policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Sets when runners are ejected.
    pub fn outlier(mut self, config: outlier::Config) -> Self {
        self.outlier = config;
        self
    }

    /// Sets for how long a backend server that rejected work as leaving
    /// receives no work, unless a record says otherwise. Then it is tried
    /// again. Without this limit, an erroneous rejection would lose the copy
    /// forever, whereas a copy that is still leaving only rejects another
    /// request without running it.
    pub fn leaving_hold(mut self, time: Duration) -> Self {
        self.leaving_hold = time;
        self
    }

    /// Sets how long after its last report a peer counts as silent and its
    /// hints expire.
    pub fn peer_timeout(mut self, time: Duration) -> Self {
        self.peer_timeout = time;
        self
    }

    /// Sets the seed of random choices and jitter. Give each proxy its own
    /// seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
