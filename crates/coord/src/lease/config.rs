//! Settings of a lease holder.

use std::time::Duration;

/// The default margin is the TTL divided by this.
const MARGIN_DIVISOR: u32 = 10;

/// Settings of a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    pub(super) ttl: Duration,
    margin: Option<Duration>,
}

impl Default for Config {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(9), margin: None }
    }
}

impl Config {
    /// Returns the defaults: a TTL of 9 s and a margin of a tenth of it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the TTL requested from the service.
    #[must_use]
    pub fn ttl(mut self, ttl: Duration) -> Self {
        self.ttl = ttl;
        self
    }

    /// Sets how long before the end of the TTL the holder stops. The margin
    /// must cover the drift of the local clock against the service's within one
    /// TTL, plus the longest single action.
    #[must_use]
    pub fn margin(mut self, margin: Duration) -> Self {
        self.margin = Some(margin);
        self
    }

    /// Returns how long the holder may act after it sent a confirmed renewal.
    pub(super) fn validity(&self) -> Duration {
        self.ttl.saturating_sub(self.margin.unwrap_or(self.ttl / MARGIN_DIVISOR))
    }
}
