//! Equal shares.

use std::time::Duration;

use super::{Policy, Share, Situation};
use crate::hash;

/// How long to wait before a larger share is used: the time until the proxies
/// have learned that one of them is gone.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Every proxy has the same share of each runner, in whole slots. The remaining
/// slots are assigned by rendezvous hashing, so that adding or removing a proxy
/// moves few of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fixed;

impl Policy for Fixed {
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share> {
        let member_count = situation.members.len() as u32;
        let divide =
            |total: u32, rank: u32| total / member_count + u32::from(rank < total % member_count);
        let share = |backend: &super::Backend| {
            let rank = rank(situation, backend.hash);
            let slots = divide(backend.slots, rank);
            let connections = divide(backend.connections, rank);
            Share { slots, connections, borrow: 0 }
        };
        situation.backends.iter().map(share).collect()
    }

    fn settle_time(&self) -> Duration {
        SETTLE_TIME
    }
}

/// Returns this proxy's rank among the members at one backend.
fn rank(situation: &Situation<'_>, backend: u64) -> u32 {
    let backend = backend.to_string();
    let key = |name| (hash::of(&[&backend, name]), name);
    let own = key(situation.me.as_str());
    situation.members.iter().filter(|m| key(m.name.as_str()) < own).count() as u32
}
