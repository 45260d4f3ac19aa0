//! Choice of the peers that deliver an owner's orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_jobs::pool::Order;
use corianderfork_model::Time;

use crate::duty::Table;
use crate::rendezvous;

/// How many peers deliver orders of a pool. Each worker gets its orders through one of them, which
/// keeps connections to it.
const MAX_COURIERS: usize = 6;
/// The most orders in one request to a peer.
pub const MAX_DELIVERED: usize = 64;
/// How long a peer is avoided after a delivery through it failed.
const AVOID_TIME: Duration = Duration::from_millis(2_000);
/// The delay of the event loop from which on an owner is behind, and up to which it has caught up.
const BEHIND: Duration = Duration::from_millis(15);
const CAUGHT_UP: Duration = Duration::from_millis(5);

/// The peers that deliver orders while their owner is behind. It does no I/O.
///
/// A call to a worker costs an owner some 90 us, most of it in transport, and a busy pool starts
/// thousands of tasks a second. The more an owner is behind, the more orders are due in one turn of its
/// event loop; delivered by peers, which are idle mostly, they take a call for dozens of them.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_entry::couriers::Couriers;
///
/// let mut couriers = Couriers::default();
/// assert!(!couriers.is_behind());
/// couriers.note_delay(Duration::from_millis(40));
/// assert!(couriers.is_behind());
/// couriers.note_delay(Duration::from_millis(2));
/// assert!(!couriers.is_behind());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Couriers {
    is_behind: bool,
    /// Until when peers are avoided.
    avoided: BTreeMap<SocketAddr, Time>,
}

impl Couriers {
    /// Records by how much a turn of the event loop was late.
    pub fn note_delay(&mut self, delay: Duration) {
        self.is_behind = delay >= if self.is_behind { CAUGHT_UP } else { BEHIND };
    }

    /// Returns whether the owner is behind.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Records that a delivery through a peer failed.
    pub fn avoid(&mut self, now: Time, peer: SocketAddr) {
        self.avoided.insert(peer, now + AVOID_TIME);
    }

    /// Returns the peers that deliver the orders of a pool whose owner is `me`: members without
    /// duties that didn't fail lately, those of the same data centre first.
    pub fn select(&mut self, now: Time, table: &Table, pool: &str, me: &str) -> Vec<SocketAddr> {
        self.avoided.retain(|_, until| now < *until);
        let data_centre = table.members.get(me).map(|member| &member.data_centre);
        let holds_duty = |name: &str| table.duties.values().any(|duty| duty.holder.name == name);
        let may_deliver = table.members.iter().filter(|(name, member)| {
            *name != me && !self.avoided.contains_key(&member.peers) && !holds_duty(name)
        });
        let mut ranked: Vec<_> = may_deliver
            .map(|(name, member)| {
                let is_remote = Some(&member.data_centre) != data_centre;
                ((is_remote, rendezvous::score(pool, name)), member.peers)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_COURIERS);
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }
}

/// Splits orders into requests to peers, of at most [`MAX_DELIVERED`] orders each. The orders for one
/// worker go through the same peer in their order.
///
/// ```
/// use corianderfork_entry::couriers::split;
///
/// let couriers = [([10, 0, 0, 1], 7000).into(), ([10, 0, 0, 2], 7000).into()];
/// assert!(split(Vec::new(), &couriers).is_empty());
/// ```
pub fn split(orders: Vec<Order>, couriers: &[SocketAddr]) -> Vec<(SocketAddr, Vec<Order>)> {
    let mut loads: BTreeMap<SocketAddr, Vec<Order>> = BTreeMap::new();
    for order in orders {
        let position = rendezvous::score(&order.id, "") % couriers.len().max(1) as u64;
        let courier = usize::try_from(position).ok().and_then(|index| couriers.get(index));
        let Some(courier) = courier else { continue };
        loads.entry(*courier).or_default().push(order);
    }
    let mut requests = Vec::new();
    for (courier, mut load) in loads {
        while !load.is_empty() {
            let rest = load.split_off(load.len().min(MAX_DELIVERED));
            requests.push((courier, std::mem::replace(&mut load, rest)));
        }
    }
    requests
}
