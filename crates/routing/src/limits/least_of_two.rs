//! The less loaded of two runners, by this proxy's own counts.

use std::time::Duration;

use super::{Fixed, Policy, Share, Situation};

/// Picks the less loaded of two random runners by this proxy's own counts, and
/// leaves it to the backend server to reject excess requests. Slots are not
/// divided. Connections are divided equally, because a backend server does not
/// reject excess connections with a guarantee but closes them or leaves them
/// hanging.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOfTwo;

impl Policy for LeastOfTwo {
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share> {
        let equal = Fixed.divide(situation);
        let share = |(backend, equal): (&super::Backend, Share)| Share {
            slots: backend.slots.min(equal.connections),
            connections: equal.connections,
            borrow: 0,
        };
        situation.backends.iter().zip(equal).map(share).collect()
    }

    fn settle_time(&self) -> Duration {
        Fixed.settle_time()
    }

    fn candidates(&self) -> usize {
        2
    }
}
