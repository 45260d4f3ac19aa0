//! VMs on their way to a pool, and the pool's stock including them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_adapter::fleet::{State, Vm};
use corianderfork_jobs::pool::Load;
use corianderfork_model::Time;

/// How long a VM counts as coming after the list shows it in its new pool, unless the
/// pool's owner counts its worker earlier: registering, storing and polling the worker
/// takes some hundreds of milliseconds.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an ordered move counts as in progress although the lagging list still shows
/// the VM in its old pool.
const LIST_LAG: Duration = Duration::from_millis(1_500);

struct Arrival {
    pool: String,
    ordered: Time,
    arrived: Option<Time>,
    /// The instance id of its worker, once it has arrived.
    worker: String,
}

/// VMs that were ordered to a pool and that its owner doesn't count yet. It does no I/O.
///
/// A VM is either among these or among the workers that the owner counts, never both. When
/// arrived VMs counted twice for half a second, their pool gave up as many workers as had
/// just arrived: VMs were sent back in the middle of the ramp-up that had requested them.
#[derive(Default)]
pub struct Arrivals {
    coming: HashMap<String, Arrival>,
}

impl Arrivals {
    /// Records that a VM was ordered to a pool.
    pub fn order(&mut self, now: Time, vm: &str, pool: &str) {
        let (pool, worker) = (pool.to_owned(), String::new());
        self.coming.insert(vm.to_owned(), Arrival { pool, ordered: now, arrived: None, worker });
    }

    /// Records that the order was not carried out.
    pub fn cancel(&mut self, vm: &str) {
        self.coming.remove(vm);
    }

    /// Updates the VMs by a list of the fleet that was requested at `listed`.
    pub fn update(&mut self, listed: Time, vms: &BTreeMap<String, Vm>) {
        self.coming.retain(|name, coming| {
            let Some(vm) = vms.get(name) else { return false };
            let has_arrived =
                vm.pool == coming.pool && vm.state == State::Up && !vm.worker.is_empty();
            if has_arrived {
                let arrived = *coming.arrived.get_or_insert(listed);
                coming.worker.clone_from(&vm.worker);
                return listed - arrived < ARRIVAL_TIMEOUT;
            }
            let is_in_progress = vm.state == State::Moving || listed - coming.ordered < LIST_LAG;
            is_in_progress && vm.state != State::Down
        });
    }

    /// Returns the instance ids of workers that have arrived in a pool and that its owner
    /// isn't known to count.
    pub fn uncounted(&self, pool: &str) -> Vec<String> {
        let has_arrived = |coming: &&Arrival| coming.pool == pool && !coming.worker.is_empty();
        self.coming.values().filter(has_arrived).map(|coming| coming.worker.clone()).collect()
    }

    /// Records that the owner of a pool counts these worker instances.
    pub fn mark_counted(&mut self, pool: &str, instance_ids: &[String]) {
        self.coming
            .retain(|_, coming| coming.pool != pool || !instance_ids.contains(&coming.worker));
    }

    /// Returns how many VMs are on their way to a pool.
    pub fn count_coming(&self, pool: &str) -> usize {
        self.coming.values().filter(|coming| coming.pool == pool).count()
    }

    /// Whether a VM is on its way.
    pub fn contains(&self, vm: &str) -> bool {
        self.coming.contains_key(vm)
    }

    /// Returns the pool that a VM is on its way to.
    pub fn pool_of(&self, vm: &str) -> Option<&str> {
        self.coming.get(vm).map(|coming| coming.pool.as_str())
    }
}

/// Divides the VMs that pools miss among pools that release `released` workers each, in proportion
/// to that. The sum is at most `missing`, and no pool gets more than it releases.
///
/// ```
/// use corianderfork_entry::arrivals::divide_missing;
///
/// assert_eq!(divide_missing(10, &[30, 10, 0]), [7, 3, 0]);
/// assert_eq!(divide_missing(100, &[30, 10, 0]), [30, 10, 0]);
/// ```
pub fn divide_missing(missing: usize, released: &[usize]) -> Vec<usize> {
    let total: usize = released.iter().sum();
    let up_to = |count: usize| missing.min(total) * count / total.max(1);
    let mut before = 0;
    let share = |count: &usize| {
        let until = before + count;
        let share = up_to(until) - up_to(before);
        before = until;
        share
    };
    released.iter().map(share).collect()
}

/// The workers of a pool, present and coming.
///
/// ```
/// use corianderfork_entry::arrivals::Stock;
///
/// let stock = Stock { present: 12, coming: 8 };
/// assert_eq!(stock.missing(25), 5);
/// assert_eq!(stock.keep(15), Some(7));
/// assert_eq!(stock.keep(20), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stock {
    /// Workers present, including those being vacated: they take work again as soon as the
    /// pool should keep more.
    pub present: usize,
    /// VMs on their way.
    pub coming: usize,
}

impl Stock {
    /// Returns the stock of a pool with this load and `coming` VMs on their way.
    pub fn new(load: &Load, coming: usize) -> Self {
        Self { present: (load.workers + load.surplus) as usize, coming }
    }

    /// Returns how many more VMs have to be ordered for the pool to have `target`.
    pub fn missing(&self, target: usize) -> usize {
        target.saturating_sub(self.present + self.coming)
    }

    /// Returns how many of its workers the pool should keep; `None` for all.
    pub fn keep(&self, target: usize) -> Option<usize> {
        let keep = target.saturating_sub(self.coming);
        (keep < self.present).then_some(keep)
    }
}
