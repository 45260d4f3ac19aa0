//! Which VMs were ordered of late, by whom, and how many more may be now.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_adapter::store::{Outcome, Txn};
use corianderfork_model::Time;

use super::{ORDERS, Planner};
use crate::clock;
use crate::duty::{DUTIES, FLEET};

/// The share of the service's rate that is used: a holder before may have used
/// some of this second's.
const SHARE: f64 = 0.8;

impl Planner {
    /// Whether a VM may be ordered by this holder.
    pub(super) fn may_order_vm(&self, vm: &str) -> bool {
        self.barred.get(vm).is_none_or(|until| clock::now() >= *until)
    }

    /// Leaves alone for a while what the holder before ordered, by the ages of
    /// its orders when it last wrote. How long ago that was isn't known.
    ///
    /// These VMs count as away until the list, which lags, has had the time to show
    /// them so. Without that a wave that is taken over has more VMs away at once than
    /// it may: the list still shows up what was ordered a moment before.
    pub(super) fn bar(&mut self, ages: BTreeMap<String, u64>) {
        let now = clock::now();
        self.away.extend(ages.keys().map(|vm| (vm.clone(), now)));
        let gap = self.gap();
        let until = |age: u64| now + gap.saturating_sub(Duration::from_millis(age));
        self.barred = ages.into_iter().map(|(vm, age)| (vm, until(age))).collect();
    }

    /// How far two holders' orders for a VM are kept apart: the platform's bound
    /// and the time that an order may be on its way.
    pub(super) fn gap(&self) -> Duration {
        self.node.settings.order_gap + Duration::from_millis(300)
    }

    /// The ages of orders of late, this holder's and those before.
    pub(super) fn ages(&self) -> BTreeMap<String, u64> {
        let now = clock::now();
        let gap = self.gap();
        let left = |until: Time| crate::owner::ms(gap.saturating_sub(until - now));
        let barred = self.barred.iter().filter(|(_, until)| now < **until);
        let mut ages: BTreeMap<String, u64> =
            barred.map(|(vm, until)| (vm.clone(), left(*until))).collect();
        let own = self.ordered.iter().filter(|(_, at)| now - **at < gap);
        ages.extend(own.map(|(vm, at)| (vm.clone(), crate::owner::ms(now - *at))));
        ages
    }

    /// Writes which VMs are about to be ordered, so that a successor leaves them
    /// alone for a while. Nothing may be ordered if this fails.
    pub(super) async fn announce(&mut self, vms: &[String]) -> bool {
        let now = clock::now();
        let gap = self.gap();
        self.ordered.retain(|_, at| now - *at < gap);
        self.ordered.extend(vms.iter().map(|vm| (vm.clone(), now)));
        self.allowed -= vms.len() as f64;
        self.write_ages().await
    }

    pub(super) async fn write_ages(&mut self) -> bool {
        let txn = Txn {
            expect: vec![(format!("{DUTIES}{FLEET}"), self.holder.fence)],
            set: vec![(ORDERS.to_owned(), serde_json::to_vec(&self.ages()).unwrap_or_default(), 0)],
            remove: Vec::new(),
        };
        match self.node.store.txn(&txn).await {
            Ok(Outcome::Written(_)) => self.is_holder() && self.node.may_order(),
            Ok(_) => {
                self.node.planner.set(None);
                false
            }
            Err(_) => false,
        }
    }

    /// How many orders may go out now: the service counts them by the second,
    /// from all together, and turns away what is more.
    pub(super) fn allowance(&mut self) -> usize {
        let now = clock::now();
        let rate = self.node.settings.fleet_orders * SHARE;
        let since = (now - self.allowed_at).as_secs_f64();
        self.allowed = (self.allowed + since * rate).min(rate);
        self.allowed_at = now;
        self.allowed as usize
    }
}
