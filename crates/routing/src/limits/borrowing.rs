//! Slots beyond a proxy's own share.

use std::time::Duration;

use corianderfork_model::Time;

use super::{Backend, Policy, Share, Situation};

/// Lets a proxy exceed the share that another policy assigns, as far as the
/// backend servers accept it.
///
/// A share is sized for the average load, while the actual load fluctuates:
/// requests wait at one proxy while slots of another are idle. A backend server
/// that rejects a request as busy guarantees that it did not run it, so idle
/// slots can be found by trying. Tries beyond the share are limited by an
/// allowance that grows with each accepted try and shrinks with each rejected
/// one.
#[derive(Clone, Copy, Debug)]
pub struct Borrowing<P> {
    division: P,
}

impl<P: Policy> Borrowing<P> {
    /// Creates a policy that borrows beyond the shares of `division`.
    pub fn new(division: P) -> Self {
        Self { division }
    }
}

impl<P: Policy> Policy for Borrowing<P> {
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share> {
        let members = situation.members.len() as u32;
        let shares = self.division.divide(situation).into_iter();
        shares
            .zip(situation.backends)
            .map(|(share, backend)| reserve_for_borrowing(share, backend, members))
            .collect()
    }

    fn settle_time(&self) -> Duration {
        self.division.settle_time()
    }

    fn candidates(&self) -> usize {
        self.division.candidates()
    }
}

/// Reserves about half of a runner's connections for borrowing, equally for all
/// members. A backend server without free connections does not reject another
/// connection with a guarantee: it closes it or leaves it hanging.
fn reserve_for_borrowing(share: Share, backend: &Backend, members: u32) -> Share {
    let per_slot = (backend.connections / 2 / backend.slots.max(1)).max(1);
    let reserved = backend.connections.saturating_sub(backend.slots * per_slot);
    Share {
        connections: share.connections.min(share.slots * per_slot),
        borrow: reserved / members,
        ..share
    }
}

/// The decrease of the allowance after a rejected try.
const LOSS: f64 = 1.0;
/// The increase after an accepted try. In the long run about one borrowed try
/// in nine is rejected.
const GAIN: f64 = LOSS / 8.0;
/// The increase per second of elapsed time. Without it, an allowance below one
/// would never be used again.
const GAIN_PER_SECOND: f64 = 2.0;

/// The number of requests that may be in flight beyond this proxy's share of a
/// service's slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    level: f64,
    updated: Time,
    in_flight: u32,
}

impl Allowance {
    /// Whether another request may be sent beyond the share.
    pub(crate) fn has_room(&self, now: Time) -> bool {
        f64::from(self.in_flight + 1) <= self.level(now)
    }

    pub(crate) fn take(&mut self) {
        self.in_flight += 1;
    }

    /// Releases a borrowed slot. `accepted` is true if the backend server
    /// accepted the request, false if it rejected the request as busy, and
    /// `None` otherwise; `total_slots` limits the allowance.
    pub(crate) fn release(&mut self, now: Time, accepted: Option<bool>, total_slots: u32) {
        self.in_flight -= 1;
        let change = match accepted {
            Some(true) => GAIN,
            Some(false) => -LOSS,
            None => 0.0,
        };
        self.level = (self.level(now) + change).clamp(0.0, f64::from(total_slots));
        self.updated = now;
    }

    fn level(&self, now: Time) -> f64 {
        // Time alone restores at most one request; the rest depends on accepted
        // tries.
        let recovered = (now - self.updated).as_secs_f64() * GAIN_PER_SECOND;
        self.level.max((self.level + recovered).min(1.0))
    }
}
