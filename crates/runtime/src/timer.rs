//! The timer service: an actor that sends periodic ticks to its subscribers.

use std::time::{Duration, Instant};

use corianderfork_model::Time;
use stakker::{CX, Fwd, after, fwd};

use crate::clock::Monotonic;

/// A tick of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// The monotonic time of the process.
    pub now: Time,
}

struct Subscription {
    period: Duration,
    fwd: Fwd<Tick>,
}

/// The timer service actor.
pub struct Service {
    clock: Monotonic,
    subscriptions: Vec<Subscription>,
}

impl Service {
    /// Creates the service with `clock`.
    pub fn init(_: CX![], clock: Monotonic) -> Option<Self> {
        Some(Self { clock, subscriptions: Vec::new() })
    }

    /// Sends a tick to `fwd` immediately and then one `period` after each tick.
    ///
    /// The subscription of an actor that has ended is never removed but has no
    /// effect. A restarted actor subscribes again, which happens only a few times
    /// in the life of a process.
    pub fn subscribe(&mut self, cx: CX![], period: Duration, fwd: Fwd<Tick>) {
        self.subscriptions.push(Subscription { period, fwd });
        self.fire(cx, self.subscriptions.len() - 1);
    }

    fn fire(&mut self, cx: CX![], index: usize) {
        let Some(subscription) = self.subscriptions.get(index) else { return };
        fwd!([subscription.fwd], Tick { now: self.clock.now() });
        // The next tick is relative to now, not to the due time: after a freeze
        // of the process, a fixed schedule would fire all missed ticks at once
        // and flood the platform.
        let next = Instant::now() + subscription.period;
        let delay = next.saturating_duration_since(cx.now());
        after!(delay, [cx], fire(index));
    }
}
