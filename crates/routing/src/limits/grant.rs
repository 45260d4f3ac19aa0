//! The share that is in force.

use corianderfork_model::Time;
use std::time::Duration;

use super::Share;

/// A share that decreases immediately and increases after the settle time.
///
/// Proxies receive reports at different times. If a larger share were used at
/// once, it would overlap with that of a proxy that does not know yet that it
/// has to give slots up, and the runner would reject requests of both as busy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Grant {
    target: Share,
    slots: Level,
    connections: Level,
    borrow: Level,
}

impl Grant {
    /// Sets the share that the policy assigns now.
    pub(crate) fn set(&mut self, now: Time, target: Share, settle_time: Duration) {
        self.target = target;
        self.slots.set(now, target.slots, settle_time);
        self.connections.set(now, target.connections, settle_time);
        self.borrow.set(now, target.borrow, settle_time);
    }

    /// Returns the share that may be used.
    pub(crate) fn get(&mut self, now: Time, settle_time: Duration) -> Share {
        self.set(now, self.target, settle_time);
        Share {
            slots: self.slots.usable,
            connections: self.connections.usable,
            borrow: self.borrow.usable,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    usable: u32,
    pending: Option<Increase>,
}

/// The lowest target since `since`, during which the target has stayed above
/// the usable level.
#[derive(Clone, Copy, Debug)]
struct Increase {
    since: Time,
    to: u32,
}

impl Level {
    fn set(&mut self, now: Time, target: u32, settle_time: Duration) {
        if target <= self.usable {
            *self = Self { usable: target, pending: None };
            return;
        }
        let increase = self.pending.get_or_insert(Increase { since: now, to: target });
        increase.to = increase.to.min(target);
        if now - increase.since < settle_time {
            return;
        }
        self.usable = increase.to;
        self.pending = (target > self.usable).then_some(Increase { since: now, to: target });
    }
}
