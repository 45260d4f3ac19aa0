//! A runner as this proxy sees it.

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::{Name, Time};

use super::ServiceKey;
use crate::limits::Grant;

/// How long a runner gets no work after it rejected a request as busy. The
/// pause doubles with each consecutive rejection. Without it, a full runner
/// would look free by this proxy's own counts and be tried again and again.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// The number of doublings of the longest pause.
const BUSY_DOUBLINGS: u32 = 4;

/// A runner that is listed or has requests in flight.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) vm: Name,
    pub(super) service: ServiceKey,
    pub(super) address: SocketAddr,
    /// Whether the newest record of its VM lists it.
    pub(super) listed: bool,
    pub(super) warm: bool,
    pub(super) in_flight: u32,
    pub(super) grant: Grant,
    /// When its own rejection as leaving expires.
    pub(super) leaving_until: Time,
    /// When a peer's report that it is leaving expires.
    pub(super) leaving_hint_until: Time,
    pub(super) busy_until: Time,
    consecutive_busy: u32,
}

impl Runner {
    pub(super) fn new(vm: Name, service: ServiceKey, address: SocketAddr) -> Self {
        Self {
            vm,
            service,
            address,
            listed: true,
            warm: false,
            in_flight: 0,
            grant: Grant::default(),
            leaving_until: Time::ZERO,
            leaving_hint_until: Time::ZERO,
            busy_until: Time::ZERO,
            consecutive_busy: 0,
        }
    }

    pub(super) fn is_at(&self, service: ServiceKey, address: SocketAddr) -> bool {
        self.service == service && self.address == address
    }

    /// Returns until when it counts as leaving; a past time means that it does
    /// not.
    pub(super) fn leaves_until(&self) -> Time {
        self.leaving_until.max(self.leaving_hint_until)
    }

    pub(super) fn clear_leaving(&mut self) {
        self.leaving_until = Time::ZERO;
        self.leaving_hint_until = Time::ZERO;
    }

    /// Records a rejection as busy. `jitter` is the fraction of the pause to
    /// apply.
    pub(super) fn rejected_busy(&mut self, now: Time, jitter: f64) {
        let pause = BUSY_PAUSE * (1 << self.consecutive_busy.min(BUSY_DOUBLINGS));
        self.busy_until = now + pause.mul_f64(jitter);
        self.consecutive_busy += 1;
    }

    /// Records that it accepted a request.
    pub(super) fn accepted(&mut self) {
        self.consecutive_busy = 0;
    }
}
