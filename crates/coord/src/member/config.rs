//! Settings of a membership table.

use std::time::Duration;

/// Settings of a [`super::Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    pub(super) isolation_limit: Duration,
    pub(super) fan_out: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { isolation_limit: Duration::from_secs(10), fan_out: 3 }
    }
}

impl Config {
    /// Returns the defaults: an isolation limit of 10 s and a fan-out of three.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a process may act without being in touch.
    #[must_use]
    pub fn isolation_limit(mut self, limit: Duration) -> Self {
        self.isolation_limit = limit;
        self
    }

    /// Sets how many members are called per round. To stay in touch while the
    /// service is down, a process has to reach a majority within the isolation
    /// limit, which takes members / 2 / fan-out rounds.
    #[must_use]
    pub fn fan_out(mut self, members: usize) -> Self {
        self.fan_out = members;
        self
    }
}
