//! Limits of a shard.

use std::time::Duration;

use super::segment::RECORD_BYTES;

/// A value of the platform's service is limited to 1 MB. A segment stays below
/// half of that, so that there is always room for a batch.
const MAX_BYTES: usize = 512 * 1024;

/// Limits of a shard. All owners of a journal should use the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    pub(super) retention: Duration,
    pub(super) margin: Duration,
    pub(super) max_clock_skew: Duration,
    pub(super) segment_bytes: usize,
    pub(super) write_interval: Duration,
    pub(super) settle_delay: Duration,
    pub(super) max_waiting: usize,
    pub(super) max_ids: usize,
    pub(super) request_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15 * 60),
            margin: Duration::from_secs(60),
            max_clock_skew: Duration::from_secs(60),
            segment_bytes: 32 * 1024,
            write_interval: Duration::from_millis(20),
            settle_delay: Duration::from_millis(200),
            max_waiting: 1024,
            max_ids: 200_000,
            request_timeout: Duration::from_secs(1),
        }
    }
}

impl Config {
    /// Returns the defaults: ids are remembered for 15 minutes, segments have
    /// 32 KiB, and there is at most one write per 20 ms.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long after its issue an id is remembered. The default is 15
    /// minutes.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets how long before the end of the retention an id is refused already.
    /// The default is 60 s.
    #[must_use]
    pub fn margin(mut self, margin: Duration) -> Self {
        self.margin = margin;
        self
    }

    /// Sets how far ahead of the owner's clock the issue time of an id may be.
    /// The default is 60 s.
    #[must_use]
    pub fn max_clock_skew(mut self, skew: Duration) -> Self {
        self.max_clock_skew = skew;
        self
    }

    /// Sets the size at which the next segment is started, in bytes of JSON, up
    /// to 512 KiB. The default is 32 KiB.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: usize) -> Self {
        self.segment_bytes = bytes.min(MAX_BYTES);
        self
    }

    /// Sets the minimum time between two writes. The default is 20 ms.
    #[must_use]
    pub fn write_interval(mut self, interval: Duration) -> Self {
        self.write_interval = interval;
        self
    }

    /// Sets how long settlements are delayed so that they are written together
    /// with claims. The default is 200 ms.
    #[must_use]
    pub fn settle_delay(mut self, delay: Duration) -> Self {
        self.settle_delay = delay;
        self
    }

    /// Sets how many requests may wait at once; further ones are refused. The
    /// default is 1024, the maximum is what fits into a value next to a full
    /// segment.
    #[must_use]
    pub fn max_waiting(mut self, requests: usize) -> Self {
        self.max_waiting = requests.min(MAX_BYTES / RECORD_BYTES / 8);
        self
    }

    /// Sets how many ids may be remembered at once; further ones are refused.
    /// The default is 200 000.
    #[must_use]
    pub fn max_ids(mut self, ids: usize) -> Self {
        self.max_ids = ids;
        self
    }

    /// Sets how long a request waits for the platform's service before it is
    /// refused. The default is 1 s.
    #[must_use]
    pub fn request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }
}
