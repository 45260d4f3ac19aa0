//! Shares in proportion to reported demand.

use std::time::Duration;

use super::{Backend, Fixed, Member, Policy, Share, Situation};

/// The slots of a service that every proxy keeps, whatever it reports, so that
/// its first request need not wait for a round of reports.
const MIN_SLOTS: u32 = 2;

/// Demands are measured in tenths of a slot.
const TENTHS: u32 = 10;

/// The default settle time.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Divides a service's slots by the demands that all proxies reported, with the
/// same result at every proxy. Each proxy receives the minimum, then its
/// demand, or a proportional part if there are not enough slots. The remaining
/// slots are divided by the square root of the demands, because a demand
/// fluctuates by about its square root.
///
/// A silent proxy keeps the minimum, because it may be alive behind a network
/// fault and still use its share. If most peers are silent, this proxy is the
/// one that is cut off. It falls back to equal shares, since it would otherwise
/// take every slot.
#[derive(Clone, Copy, Debug)]
pub struct Proportional {
    settle_time: Duration,
}

impl Default for Proportional {
    fn default() -> Self {
        Self { settle_time: SETTLE_TIME }
    }
}

impl Proportional {
    /// Sets how long to wait before a larger share is used. This must exceed
    /// the report interval plus the time for a report to reach the slowest
    /// peer.
    pub fn settle_after(mut self, time: Duration) -> Self {
        self.settle_time = time;
        self
    }
}

impl Policy for Proportional {
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share> {
        if is_cut_off(situation.members) {
            return Fixed.divide(situation);
        }
        let total = situation.backends.iter().map(|backend| backend.slots).sum();
        let parts = allocate(total, situation.members);
        let me = situation.members.iter().position(|m| m.name == *situation.me);
        let Some(me) = me else { return vec![Share::default(); situation.backends.len()] };
        let start = parts[..me].iter().sum::<u32>() as usize;
        let range = start..start + parts[me] as usize;
        place(situation.backends, range)
    }

    fn settle_time(&self) -> Duration {
        self.settle_time
    }
}

fn is_cut_off(members: &[Member]) -> bool {
    let silent = members.iter().filter(|m| m.silent).count();
    let peers = members.len().saturating_sub(1);
    silent * 2 > peers
}

/// Returns how many of `total` slots each member receives. The parts add up to
/// `total`.
fn allocate(total: u32, members: &[Member]) -> Vec<u32> {
    let member_count = members.len() as u32;
    let floor = MIN_SLOTS.min(total / member_count);
    let remaining = total - floor * member_count;
    let demands = members.iter().map(|m| if m.silent { None } else { Some(m.demand) });
    let above_floor =
        |demand: Option<u32>| u64::from(demand.unwrap_or(0).saturating_sub(floor * TENTHS));
    let needs: Vec<u64> = demands.clone().map(above_floor).collect();
    let needed: u64 = needs.iter().sum();
    let spare = u64::from(remaining * TENTHS).saturating_sub(needed);
    let fluctuations: Vec<u64> = demands.map(|demand| demand.map_or(0, fluctuation)).collect();
    let total_fluctuation: u64 = fluctuations.iter().sum();
    let weight = |(need, fluctuation): (&u64, &u64)| need * total_fluctuation + spare * fluctuation;
    let weights: Vec<u64> = needs.iter().zip(&fluctuations).map(weight).collect();
    proportional(remaining, &weights).into_iter().map(|part| part + floor).collect()
}

/// Returns the expected fluctuation of a demand, its square root, in arbitrary
/// units because only the proportions matter. A demand of zero counts as one
/// slot.
fn fluctuation(demand: u32) -> u64 {
    const SCALE: u64 = 256;
    (u64::from(demand + TENTHS) * SCALE).isqrt()
}

/// Divides `total` into whole numbers in proportion to `weights` by the largest
/// remainder method. It uses integers because rounding differences between two
/// machines would assign a slot twice.
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

/// Places the slots `range` of the sequence of all slots on their backends. The
/// sequence goes round the backends, one slot of each at a time. So each
/// member's slots are spread over as many backends as possible, and when a part
/// grows by one, only one slot of each later member moves.
fn place(backends: &[Backend], range: std::ops::Range<usize>) -> Vec<Share> {
    let rounds = backends.iter().map(|backend| backend.slots).max().unwrap_or(0);
    let slot_order = (0..rounds).flat_map(|round| {
        backends
            .iter()
            .enumerate()
            .filter(move |(_, backend)| round < backend.slots)
            .map(|(i, _)| i)
    });
    let mut shares = vec![Share::default(); backends.len()];
    for backend in slot_order.skip(range.start).take(range.len()) {
        shares[backend].slots += 1;
    }
    for (share, backend) in shares.iter_mut().zip(backends) {
        share.connections = share.slots * (backend.connections / backend.slots.max(1));
    }
    shares
}
