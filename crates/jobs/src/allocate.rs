//! Allocation of VMs to pools that want more than there are.
//!
//! A VM counts for what it can still do in time. A move costs it the time to become empty and the
//! time to move, in which it serves no pool, so it moves only if it brings more elsewhere even
//! after that loss.

use std::time::Duration;

use crate::size::Request;

/// How long a VM is assumed to be needed in a pool. Demands that rise and fall in turn are high for
/// some seconds; a shorter stay isn't worth the move.
const STAY: Duration = Duration::from_millis(4_000);
/// How long a move takes once the VM is empty.
const MOVE: Duration = Duration::from_millis(1_500);
/// How long it takes until a VM that takes tasks is empty.
const EMPTYING: Duration = Duration::from_millis(1_000);
/// What a VM brings that a pool needs for jobs in time, for the first and for the last VM. The
/// slope makes free VMs go to the pools that have the least of their needs. It is smaller than the
/// loss by a move, so that VMs don't move for it.
const NEEDED: (f64, f64) = (1.0, 0.7);
/// The part of a request that work in time occupies; the rest is for tasks of uneven sizes.
const OCCUPIED: f64 = 1.0 / 1.3;
/// What a VM brings that works on late jobs only, whose results are of little use.
const LATE: f64 = 0.1;
/// What a VM brings for a recent demand that may return.
const RECENT: f64 = 0.02;

/// A pool that VMs are allocated to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The VMs that it wants.
    pub request: Request,
    /// The VMs that it has, including those on their way and those that are being emptied.
    pub stock: u32,
    /// The VMs of these that are being emptied because it had too many.
    pub leaving: u32,
}

impl Pool {
    /// Returns what the VM adds that is next after `count` others: 1 if all that it does is needed.
    ///
    /// ```
    /// use corianderfork_jobs::allocate::Pool;
    /// use corianderfork_jobs::size::Request;
    ///
    /// let request = Request { min: 2, in_time: 50, current: 60, peak: 70 };
    /// let pool = Pool { request, stock: 0, leaving: 0 };
    /// assert!(pool.worth(10) > pool.worth(45) && pool.worth(45) > pool.worth(55));
    /// assert_eq!(pool.worth(70), 0.0);
    /// ```
    pub fn worth(&self, count: u32) -> f64 {
        let request = &self.request;
        if count < request.min {
            return 2.0;
        }
        let share = f64::from(count) / f64::from(request.in_time.max(1));
        let (first, last) = NEEDED;
        if share < OCCUPIED {
            first - (first - last) * share / OCCUPIED
        } else if share < 1.0 {
            last - (last - LATE) * (share - OCCUPIED) / (1.0 - OCCUPIED)
        } else if count < request.current {
            LATE
        } else if count < request.peak {
            RECENT
        } else {
            0.0
        }
    }

    /// Returns the part of its stay that a VM loses if it moves from here, when `count` are left
    /// including it. One that is being emptied is soon empty.
    fn loss(&self, count: u32) -> f64 {
        let is_leaving = self.stock.saturating_sub(count) < self.leaving;
        let time = if is_leaving { MOVE } else { MOVE + EMPTYING };
        time.as_secs_f64() / STAY.as_secs_f64()
    }
}

/// Divides `total` VMs among pools by what they bring.
///
/// If there are enough, each pool gets its whole request. Otherwise each gets its minimum. VMs that
/// no pool has go where they bring most. A VM that a pool has goes to another one only if it
/// brings more there during the rest of its stay.
///
/// ```
/// use corianderfork_jobs::allocate::{Pool, allocate};
/// use corianderfork_jobs::size::Request;
///
/// let pool = |in_time, stock| Pool {
///     request: Request { min: 2, in_time, current: 60, peak: 60 },
///     stock,
///     leaving: 0,
/// };
/// // Both need more than they have: a move would lose more than it brings.
/// assert_eq!(allocate(&[pool(50, 35), pool(60, 30)], 65), [35, 30]);
/// // Most of the first pool's work is late. The last VMs that the second one wants are only for tasks
/// // of uneven sizes, and bring less than a move loses.
/// assert_eq!(allocate(&[pool(5, 50), pool(60, 15)], 65), [8, 57]);
/// ```
pub fn allocate(pools: &[Pool], total: u32) -> Vec<u32> {
    let peak: u32 = pools.iter().map(|pool| pool.request.peak).sum();
    if peak <= total {
        return pools.iter().map(|pool| pool.request.peak).collect();
    }
    let mut counts: Vec<u32> = pools.iter().map(|pool| pool.stock).collect();
    let mut sum: u32 = counts.iter().sum();
    while sum < total {
        let Some((to, _)) = best(pools, &counts) else { break };
        counts[to] += 1;
        sum += 1;
    }
    while sum > total {
        let Some((from, _)) = least(pools, &counts) else { break };
        counts[from] -= 1;
        sum -= 1;
    }
    // Each move raises the sum of what VMs bring, so this ends; the bound only limits the time.
    for _ in 0..total {
        let (Some((to, gain)), Some((from, worth))) = (best(pools, &counts), least(pools, &counts))
        else {
            break;
        };
        let kept = 1.0 - pools[from].loss(counts[from]);
        if from == to || gain * kept <= worth {
            break;
        }
        counts[from] -= 1;
        counts[to] += 1;
    }
    counts
}

/// Divides `free` VMs among pools that miss some, given what each has and misses: always to the one
/// with the least part of what it should have.
///
/// ```
/// use corianderfork_jobs::allocate::divide_free;
///
/// assert_eq!(divide_free(&[(90, 20), (2, 18)], 10), [0, 10]);
/// assert_eq!(divide_free(&[(10, 10), (10, 10)], 4), [2, 2]);
/// ```
pub fn divide_free(pools: &[(usize, usize)], free: usize) -> Vec<usize> {
    let mut given = vec![0; pools.len()];
    for _ in 0..free {
        let share = |index: &usize| {
            let (stock, missing) = pools[*index];
            (stock + given[*index]) as f64 / (stock + missing).max(1) as f64
        };
        let open = (0..pools.len()).filter(|index| given[*index] < pools[*index].1);
        let Some(next) = open.min_by(|a, b| share(a).total_cmp(&share(b))) else { break };
        given[next] += 1;
    }
    given
}

/// Returns the pool in which another VM brings most, and what it brings.
fn best(pools: &[Pool], counts: &[u32]) -> Option<(usize, f64)> {
    let worths = pools.iter().zip(counts).map(|(pool, count)| pool.worth(*count)).enumerate();
    worths.filter(|(_, worth)| *worth > 0.0).max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the pool whose last VM brings least for the rest of its stay, and what it brings.
fn least(pools: &[Pool], counts: &[u32]) -> Option<(usize, f64)> {
    let worths = pools.iter().zip(counts).enumerate().filter(|(_, (_, count))| **count > 0);
    let worths = worths.map(|(index, (pool, count))| (index, pool.worth(*count - 1)));
    worths.min_by(|a, b| a.1.total_cmp(&b.1))
}
