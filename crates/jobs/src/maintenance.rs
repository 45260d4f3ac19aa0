//! Which VMs of a maintenance wave are emptied next, and which wait.
//!
//! A VM under maintenance serves nothing for two seconds, and nothing new starts on it while it
//! is emptied. While pools want more VMs than there are, both are lost to callers. VMs that no
//! pool needs are maintained at once, and the others as late as the wave's deadline allows, the
//! ones that are empty soonest first.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long a VM occupies one of the places of a wave until that is measured: it is emptied, which
/// takes as long as its longest task, and maintained for two seconds.
const FIRST_SLOT: Duration = Duration::from_millis(4_500);
/// Shortest time that a VM occupies a place: its maintenance takes this long.
pub const MIN_SLOT: Duration = Duration::from_millis(2_000);
/// How long it takes to empty a VM until that is measured.
const FIRST_EMPTYING: Duration = Duration::from_millis(2_500);
/// The reserve kept before a wave's deadline: long-running tasks leave a VM one after the other.
const RESERVE: Duration = Duration::from_millis(6_000);
/// The reserve for a VM that takes longer than a round to become empty.
const LONG_RESERVE: Duration = Duration::from_millis(2_000);
/// Number of measurements before they replace the initial values.
const MIN_SAMPLES: usize = 4;
/// Number of measurements that are kept.
const MAX_SAMPLES: usize = 64;
/// Number of looks at the VMs whose longest times until empty are kept: a minute of them.
const MAX_LOOKS: usize = 240;
/// The measurements that are exceeded by one in this number are planned with.
const EXCEEDED_BY_ONE_IN: usize = 20;
/// How often waves are looked at: a VM that is empty earlier would wait this long for its order.
const INTERVAL: Duration = Duration::from_millis(250);
/// Additional cost of a VM if all other VMs of its pool are away. Pools with short tasks would
/// otherwise lose many VMs at once, and get others from pools that are as short of them.
const POOL_AWAY_COST: Duration = Duration::from_millis(4_000);

/// The measured durations of the rounds of a wave.
#[derive(Clone, Debug, Default)]
pub struct Rounds {
    slots: VecDeque<Duration>,
    emptying: VecDeque<Duration>,
    /// The longest predicted time until a VM is empty, at each of the last looks.
    longest: VecDeque<Duration>,
    /// VMs whose maintenance was ordered, and whether they were seen under it.
    ordered: BTreeMap<String, bool>,
}

impl Rounds {
    /// Records that the maintenance of a VM is ordered.
    pub fn note_ordered(&mut self, vm: &str) {
        self.ordered.insert(vm.to_owned(), false);
    }

    /// Records that a VM is listed as under maintenance.
    pub fn note_maintained(&mut self, vm: &str) {
        if let Some(is_seen) = self.ordered.get_mut(vm) {
            *is_seen = true;
        }
    }

    /// Records that a VM is no longer away, `away` after its order.
    ///
    /// It counts as a slot only if it was ordered by this planner and seen under maintenance.
    /// Others that count as away for a while, such as all VMs that a predecessor ordered, would
    /// make slots look shorter than they are, and waves would wait too long.
    pub fn record_return(&mut self, vm: &str, away: Duration) {
        if self.ordered.remove(vm) == Some(true) {
            self.record_slot(away);
        }
    }

    /// Records how long a VM was away: from the order of its maintenance until it was up again.
    pub fn record_slot(&mut self, duration: Duration) {
        push(&mut self.slots, duration.max(MIN_SLOT));
    }

    /// Records how long it took until a VM was empty.
    pub fn record_emptying(&mut self, duration: Duration) {
        push(&mut self.emptying, duration);
    }

    /// Records the longest predicted time until one of the VMs is empty, at one look at them.
    ///
    /// VMs are chosen because they are empty soon, so [`Rounds::record_emptying`] doesn't tell how
    /// long one takes on which the longest run has just started.
    pub fn record_longest(&mut self, duration: Duration) {
        if self.longest.len() >= MAX_LOOKS {
            self.longest.pop_front();
        }
        self.longest.push_back(duration);
    }

    /// Returns how long a VM may take to become empty on which a run starts just before it is
    /// chosen.
    pub fn longest(&self) -> Duration {
        self.longest.iter().max().copied().unwrap_or_default()
    }

    /// Returns the time kept for a VM that is chosen last, until its maintenance begins.
    fn tail(&self) -> Duration {
        // The run starts after one look, and its end is seen at another one.
        (self.emptying() + RESERVE).max(self.longest() + 2 * INTERVAL)
    }

    /// Returns how long a VM is expected to be away at most.
    pub fn slot(&self) -> Duration {
        upper(&self.slots, EXCEEDED_BY_ONE_IN).unwrap_or(FIRST_SLOT)
    }

    /// Returns how long a VM is usually away.
    fn usual_slot(&self) -> Duration {
        upper(&self.slots, 2).unwrap_or(MIN_SLOT)
    }

    /// Returns how long it is expected to take until a VM is empty.
    pub fn emptying(&self) -> Duration {
        upper(&self.emptying, EXCEEDED_BY_ONE_IN).unwrap_or(FIRST_EMPTYING)
    }

    /// Returns how long it usually takes until a VM is empty.
    fn usual_emptying(&self) -> Duration {
        upper(&self.emptying, 2).unwrap_or(FIRST_EMPTYING)
    }

    /// Returns the time that the rest of a wave needs, including a reserve.
    pub fn time_needed(&self, wave: &Wave) -> Duration {
        let left = wave.remaining + wave.away.len();
        let rounds = u32::try_from(left.div_ceil(wave.max_concurrent.max(1))).unwrap_or(u32::MAX);
        let ordering = wave.orders as f64 / wave.orders_per_s.max(0.1);
        // An order follows up to an interval after its place became free.
        let maintaining = (self.slot() + INTERVAL).saturating_mul(rounds);
        maintaining.max(Duration::from_secs_f64(ordering)) + self.tail()
    }
}

/// What is left of a wave.
#[derive(Clone, Debug, Default)]
pub struct Wave {
    /// The time until its deadline.
    pub left: Duration,
    /// Number of VMs whose maintenance has not begun.
    pub remaining: usize,
    /// The maximum number of VMs that are away at the same time.
    pub max_concurrent: usize,
    /// For how long each VM that is away has been so.
    pub away: Vec<Duration>,
    /// Number of orders that all waves still need.
    pub orders: usize,
    /// Number of orders that may be sent a second.
    pub orders_per_s: f64,
}

/// A VM whose maintenance may begin.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Its pool.
    pub pool: String,
    /// Whether a worker runs on it.
    pub has_worker: bool,
    /// The predicted time until it is empty; `None` if it isn't known.
    pub empty_in: Option<Duration>,
    /// Whether it was recently moved to its pool.
    pub is_new: bool,
    /// Whether it is being emptied for this wave.
    pub is_vacating: bool,
}

/// The VMs of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stock {
    /// Number of VMs in the pool.
    pub present: usize,
    /// Number of these that neither this pool nor another one needs now.
    pub dispensable: usize,
    /// Number of its VMs that are away or being emptied for waves.
    pub away: usize,
}

/// Which VMs to empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Indices of the VMs to empty, or to maintain if they are empty, in this order.
    pub vacate: Vec<usize>,
    /// Whether VMs that a pool needs may wait.
    pub may_wait: bool,
    /// The time that the rest of the wave needs.
    pub time_needed: Duration,
}

/// Chooses which VMs of a wave to empty now.
///
/// VMs that are already being emptied stay chosen: work was held back from them. The others are
/// chosen for the places that are free by the time they are empty. VMs that a pool needs wait
/// while the deadline allows it.
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
///
/// use corianderfork_jobs::maintenance::{Candidate, Rounds, Stock, Wave, choose};
///
/// let vm = |pool: &str, empty_in| Candidate {
///     pool: pool.to_owned(),
///     has_worker: pool != "spare",
///     empty_in: Some(Duration::from_millis(empty_in)),
///     ..Candidate::default()
/// };
/// let candidates = [vm("busy", 900), vm("busy", 100), vm("spare", 0)];
/// let mut stocks = BTreeMap::new();
/// stocks.insert("busy".to_owned(), Stock { present: 10, dispensable: 0, away: 0 });
/// stocks.insert("spare".to_owned(), Stock { present: 1, dispensable: 1, away: 0 });
/// let left = Duration::from_secs(60);
/// let wave = Wave { left, remaining: 3, max_concurrent: 2, orders: 3, orders_per_s: 8.0, ..Wave::default() };
/// let rounds = Rounds::default();
/// assert_eq!(choose(&wave, &candidates, &stocks, &rounds).vacate, [2]);
/// let urgent = Wave { left: Duration::from_secs(15), ..wave };
/// assert_eq!(choose(&urgent, &candidates, &stocks, &rounds).vacate, [2, 1]);
/// ```
pub fn choose(
    wave: &Wave,
    candidates: &[Candidate],
    stocks: &BTreeMap<String, Stock>,
    rounds: &Rounds,
) -> Choice {
    let time_needed = rounds.time_needed(wave);
    let may_wait = time_needed < wave.left;
    // The time until each place is free.
    let slot = rounds.slot();
    let free = wave.max_concurrent.saturating_sub(wave.away.len());
    let mut places = vec![Duration::ZERO; free];
    places.extend(wave.away.iter().map(|since| rounds.usual_slot().saturating_sub(*since)));
    places.sort_unstable();
    // In the last round a place that is still taken is no reason to empty a VM later.
    let is_last_round = wave.remaining <= wave.max_concurrent && wave.left < slot + rounds.tail();
    let mut places = places.into_iter();
    let mut is_full = false;
    let mut stocks = stocks.clone();
    let mut vacate = Vec::new();
    let empty_in = |index: usize| candidates[index].empty_in.unwrap_or(rounds.usual_emptying());
    // The VMs of each pool in the order in which they are taken, the first one last.
    let mut queues: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        queues.entry(&candidate.pool).or_default().push(index);
    }
    for queue in queues.values_mut() {
        let rank = |index: &usize| {
            let candidate = &candidates[*index];
            let is_other = !candidate.is_vacating;
            (is_other, candidate.is_new, candidate.has_worker, empty_in(*index), *index)
        };
        queue.sort_by_key(|index| std::cmp::Reverse(rank(index)));
    }
    loop {
        let rank = |(pool, queue): (&&str, &Vec<usize>)| {
            let index = *queue.last()?;
            let candidate = &candidates[index];
            let stock = stocks.get(*pool).copied().unwrap_or_default();
            let is_needed = stock.dispensable == 0;
            let share = stock.away as f64 / stock.present.max(1) as f64;
            let cost = empty_in(index) + POOL_AWAY_COST.mul_f64(share);
            let is_new = is_needed && candidate.is_new;
            Some((!candidate.is_vacating, is_needed, is_new, candidate.has_worker, cost, index))
        };
        let Some(next) = queues.iter().filter_map(rank).min() else { break };
        let (is_other, is_needed, .., index) = next;
        if let Some(queue) = queues.get_mut(candidates[index].pool.as_str()) {
            queue.pop();
        }
        let candidate = &candidates[index];
        let takes_long =
            empty_in(index) >= slot && empty_in(index) + slot + LONG_RESERVE >= wave.left;
        if is_other && is_needed && may_wait && !takes_long {
            continue;
        }
        let place = places.clone().next();
        is_full = is_full || place.is_none_or(|place| place > empty_in(index) + INTERVAL);
        // The VMs that follow take longer to empty. They would be empty in time for a place that is
        // free later, but others will be cheaper by then.
        if is_other && is_full && !is_last_round && !takes_long {
            continue;
        }
        // A VM that is empty only after a whole round leaves its place to others meanwhile.
        if empty_in(index) < slot {
            places.next();
        }
        if is_other && let Some(stock) = stocks.get_mut(&candidate.pool) {
            stock.away += 1;
            stock.dispensable = stock.dispensable.saturating_sub(1);
        }
        vacate.push(index);
    }
    Choice { vacate, may_wait, time_needed }
}

fn push(samples: &mut VecDeque<Duration>, sample: Duration) {
    if samples.len() >= MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns the duration that one in `exceeded_by` samples exceeds.
fn upper(samples: &VecDeque<Duration>, exceeded_by: usize) -> Option<Duration> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<Duration> = samples.iter().copied().collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() - 1 - sorted.len() / exceeded_by).copied()
}
