//! Decides when this process may try to take over a shard without an owner. Pure.

use std::time::Duration;

use corianderfork_coord::backoff::spread;
use corianderfork_provider::record::{Member, Role};

/// The delay of the first process. When a fleet starts, the others need a moment to be
/// listed; otherwise the first process would take all shards.
const MIN_DELAY: Duration = Duration::from_millis(500);
/// The additional delay of each further process.
const DELAY_STEP: Duration = Duration::from_millis(750);
/// The rank from which on all delays are the same.
const MAX_RANK: u32 = 8;

/// Returns how long after a shard was first seen without an owner `me` may try to take
/// it, or `None` while `me` itself is not listed.
///
/// All proxies compute the same order of the listed proxies, by a hash of shard and name,
/// so the shards spread without a coordinator. The delay only keeps attempts apart; the
/// compare-and-swap of the store decides.
///
/// ```
/// use corianderfork_proxy::takeover::delay;
/// # use corianderfork_provider::record::{Member, Role};
/// # use corianderfork_model::Name;
/// # let proxy = |name: &str| Member {
/// #     name: Name::new(name).expect("a name"), role: Role::Proxy, incarnation: 1,
/// #     data_centre: Name::new("kolkata").expect("a name"),
/// #     peers: "127.0.0.1:1".parse().expect("an address"), callers: None,
/// # };
/// let members = [proxy("e1"), proxy("e2"), proxy("e3")];
/// let mut delays: Vec<_> = members.iter().map(|me| delay(0, me, members.iter())).collect();
/// delays.dedup();
/// assert_eq!(delays.len(), 3); // one after another
/// assert_eq!(delay(0, &proxy("e4"), members.iter()), None);
/// ```
pub fn delay<'a>(
    shard: u32,
    me: &Member,
    listed: impl Iterator<Item = &'a Member>,
) -> Option<Duration> {
    let own_hash = rank_hash(shard, me);
    let mut rank = 0;
    let mut is_listed = false;
    for member in listed.filter(|member| member.role == Role::Proxy) {
        if member.name == me.name {
            is_listed = member.incarnation == me.incarnation;
        } else if (rank_hash(shard, member), &member.name) > (own_hash, &me.name) {
            rank += 1;
        }
    }
    is_listed.then(|| MIN_DELAY + DELAY_STEP * rank.min(MAX_RANK))
}

fn rank_hash(shard: u32, member: &Member) -> Duration {
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash =
        member.name.as_str().bytes().fold(u64::from(shard) ^ 0xcbf2_9ce4_8422_2325, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(PRIME)
        });
    spread(hash, Duration::from_secs(1 << 20))
}
