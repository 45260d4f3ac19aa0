//! Whose turn it is to take a shard that has no owner. Pure.

use std::time::Duration;

use corianderfork_coord::backoff::spread;
use corianderfork_provider::record::{Member, Role};

/// How long the first in order lets the shard be: at the start of a fleet the
/// others need a moment to be listed, and the first process would take all.
const FIRST: Duration = Duration::from_millis(500);
/// How much longer each further one waits.
const STEP: Duration = Duration::from_millis(750);
/// From which place on all wait alike.
const LAST: u32 = 8;

/// How long after the shard was seen without an owner `me` may try to take it,
/// or `None` while `me` is not listed itself.
///
/// Every proxy orders the listed ones by a hash of shard and name, the same
/// everywhere, so that shards spread without anybody assigning them. It only
/// keeps tries apart: the store's compare-and-swap decides.
///
/// ```
/// use corianderfork_proxy::takeover::turn;
/// # use corianderfork_provider::record::{Member, Role};
/// # use corianderfork_model::Name;
/// # let proxy = |name: &str| Member {
/// #     name: Name::new(name).expect("a name"), role: Role::Proxy, incarnation: 1,
/// #     data_centre: Name::new("kolkata").expect("a name"),
/// #     peers: "127.0.0.1:1".parse().expect("an address"), callers: None,
/// # };
/// let members = [proxy("e1"), proxy("e2"), proxy("e3")];
/// let mut turns: Vec<_> = members.iter().map(|me| turn(0, me, members.iter())).collect();
/// turns.dedup();
/// assert_eq!(turns.len(), 3); // one after the other
/// assert_eq!(turn(0, &proxy("e4"), members.iter()), None);
/// ```
pub fn turn<'a>(
    shard: u32,
    me: &Member,
    listed: impl Iterator<Item = &'a Member>,
) -> Option<Duration> {
    let own = weight(shard, me);
    let mut before = 0;
    let mut is_listed = false;
    for member in listed.filter(|member| member.role == Role::Proxy) {
        if member.name == me.name {
            is_listed = member.incarnation == me.incarnation;
        } else if (weight(shard, member), &member.name) > (own, &me.name) {
            before += 1;
        }
    }
    is_listed.then(|| FIRST + STEP * before.min(LAST))
}

fn weight(shard: u32, member: &Member) -> Duration {
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash =
        member.name.as_str().bytes().fold(u64::from(shard) ^ 0xcbf2_9ce4_8422_2325, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(PRIME)
        });
    spread(hash, Duration::from_secs(1 << 20))
}
