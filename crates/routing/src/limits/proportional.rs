//! Shares lent on peers' reports.

use std::time::Duration;

use super::{Fixed, Member, Policy, Seat, Share, Situation};

/// Slots of a service that every proxy keeps, whatever it reports, so that its
/// first request does not wait for a round of reports.
const FLOOR: u32 = 2;

/// Demands are in tenths of a slot.
const TENTHS: u32 = 10;

/// How long a larger share rests before it is used.
const SETTLE: Duration = Duration::from_millis(500);

/// Every proxy computes the same division of a service's slots from the demands
/// that all of them reported. Each gets a floor; then what it needs, or its part
/// of it if there is not enough; what is then left is divided by the square root
/// of the demands, since the demand of a proxy swings by about its square root.
///
/// A proxy that went silent keeps the floor: it may be alive on the far side of
/// a fault and still use its share. If most peers are silent, this proxy is the
/// one that is cut off, and it falls back to equal shares: it would otherwise
/// take every slot.
#[derive(Clone, Copy, Debug)]
pub struct Proportional {
    settle: Duration,
}

impl Default for Proportional {
    fn default() -> Self {
        Self { settle: SETTLE }
    }
}

impl Proportional {
    /// Sets how long a larger share rests before it is used: longer than the
    /// interval of reports and their way to the slowest peer.
    pub fn settle_after(mut self, time: Duration) -> Self {
        self.settle = time;
        self
    }
}

impl Policy for Proportional {
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share> {
        if is_cut_off(situation.members) {
            return Fixed.divide(situation);
        }
        let total = situation.seats.iter().map(|seat| seat.slots).sum();
        let parts = allot(total, situation.members);
        let me = situation.members.iter().position(|m| m.name == *situation.me);
        let Some(me) = me else { return vec![Share::default(); situation.seats.len()] };
        let start = parts[..me].iter().sum::<u32>() as usize;
        let mine = start..start + parts[me] as usize;
        share_out(situation.seats, mine)
    }

    fn settle(&self) -> Duration {
        self.settle
    }
}

fn is_cut_off(members: &[Member]) -> bool {
    let silent = members.iter().filter(|m| m.silent).count();
    let peers = members.len().saturating_sub(1);
    silent * 2 > peers
}

/// How many of `total` slots each member gets. They add up to `total`.
fn allot(total: u32, members: &[Member]) -> Vec<u32> {
    let n = members.len() as u32;
    let floor = FLOOR.min(total / n);
    let rest = total - floor * n;
    let demands = members.iter().map(|m| if m.silent { None } else { Some(m.demand) });
    let above_floor =
        |demand: Option<u32>| u64::from(demand.unwrap_or(0).saturating_sub(floor * TENTHS));
    let needs: Vec<u64> = demands.clone().map(above_floor).collect();
    let needed: u64 = needs.iter().sum();
    let spare = u64::from(rest * TENTHS).saturating_sub(needed);
    let swings: Vec<u64> = demands.map(|demand| demand.map_or(0, swing)).collect();
    let all_swings: u64 = swings.iter().sum();
    let weight = |(need, swing): (&u64, &u64)| need * all_swings + spare * swing;
    let weights: Vec<u64> = needs.iter().zip(&swings).map(weight).collect();
    proportional(rest, &weights).into_iter().map(|part| part + floor).collect()
}

/// By how much a demand swings: its square root, of no unit, since only the
/// proportions matter. A proxy without demand counts as one that needs a slot.
fn swing(demand: u32) -> u64 {
    const SCALE: u64 = 256;
    (u64::from(demand + TENTHS) * SCALE).isqrt()
}

/// Divides `total` in whole numbers in proportion to `weights`, by the largest
/// remainder. In integers: a rounding that differed between two machines would
/// hand a slot out twice.
fn proportional(total: u32, weights: &[u64]) -> Vec<u32> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum::<u128>().max(1);
    let scaled = |weight: &u64| u128::from(total) * u128::from(*weight);
    let mut parts: Vec<u32> = weights.iter().map(|w| (scaled(w) / sum) as u32).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|&i| (std::cmp::Reverse(scaled(&weights[i]) % sum), i));
    let given: u32 = parts.iter().sum();
    for i in order.into_iter().cycle().take((total - given) as usize) {
        parts[i] += 1;
    }
    parts
}

/// Places slots `mine` of the row of all slots on their seats. The row goes
/// round the seats, one slot of each at a time, so that every member's slots are
/// spread over as many runners as there can be; and a part that grows by one
/// moves one slot of each later member, not all of them.
fn share_out(seats: &[Seat], mine: std::ops::Range<usize>) -> Vec<Share> {
    let rounds = seats.iter().map(|seat| seat.slots).max().unwrap_or(0);
    let row = (0..rounds).flat_map(|round| {
        seats.iter().enumerate().filter(move |(_, seat)| round < seat.slots).map(|(i, _)| i)
    });
    let mut shares = vec![Share::default(); seats.len()];
    for seat in row.skip(mine.start).take(mine.len()) {
        shares[seat].slots += 1;
    }
    for (share, seat) in shares.iter_mut().zip(seats) {
        share.connections = share.slots * (seat.connections / seat.slots.max(1));
    }
    shares
}
