//! Recently ordered VMs of this and the previous holder, and the rate limit of orders.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_adapter::store::{Outcome, Txn};
use corianderfork_model::Time;

use super::{ORDERS_KEY, Planner};
use crate::away::IN_FLIGHT;
use crate::clock;
use crate::duty::{self, FLEET};

/// The share of the service's rate limit that is used: the previous holder may have used
/// some of this second's.
const RATE_SHARE: f64 = 0.8;

impl Planner {
    /// Whether this holder may order a VM.
    pub(super) fn may_order_vm(&self, vm: &str) -> bool {
        self.quarantined.get(vm).is_none_or(|until| clock::now() >= *until)
    }

    /// Leaves the VMs that the previous holder ordered alone for a while, given the ages of
    /// its orders when it last wrote them. How long ago that was isn't known.
    ///
    /// These VMs count as away until the lagging list can show them so. Otherwise a wave
    /// that is taken over would have more VMs away at once than allowed: the list still
    /// shows a VM that was just ordered as up.
    pub(super) fn quarantine(&mut self, order_ages: BTreeMap<String, u64>) {
        let now = clock::now();
        self.away.inherit(now, order_ages.keys().cloned());
        let holder_gap = self.holder_gap();
        let until = |age: u64| now + holder_gap.saturating_sub(Duration::from_millis(age));
        self.quarantined = order_ages.into_iter().map(|(vm, age)| (vm, until(age))).collect();
    }

    /// Returns the minimum time between two holders' orders for a VM: the platform's limit
    /// plus the time that an order may be in flight.
    pub(super) fn holder_gap(&self) -> Duration {
        self.node.settings.order_gap + IN_FLIGHT
    }

    /// Returns the ages of recent orders of this holder and of those before it. Orders for
    /// maintenance are among them until lists show their VMs, however short the platform's limit
    /// is: writing them down may have taken longer than that.
    pub(super) fn order_ages(&self) -> BTreeMap<String, u64> {
        let now = clock::now();
        let holder_gap = self.holder_gap();
        let left = |until: Time| crate::owner::ms(holder_gap.saturating_sub(until - now));
        let quarantined = self.quarantined.iter().filter(|(_, until)| now < **until);
        let mut order_ages: BTreeMap<String, u64> =
            quarantined.map(|(vm, until)| (vm.clone(), left(*until))).collect();
        let own = self.recent_orders.iter().filter(|(_, at)| now - **at < holder_gap);
        order_ages.extend(own.map(|(vm, at)| (vm.clone(), crate::owner::ms(now - *at))));
        for (vm, age) in self.away.unlisted(now) {
            order_ages.entry(vm.to_owned()).or_insert_with(|| crate::owner::ms(age));
        }
        order_ages
    }

    /// Records which VMs are about to be ordered, so that a successor leaves them alone for
    /// a while. Nothing may be ordered if this fails.
    pub(super) async fn record_orders(&mut self, vms: &[String]) -> bool {
        let now = clock::now();
        let holder_gap = self.holder_gap();
        self.recent_orders.retain(|_, at| now - *at < holder_gap);
        self.recent_orders.extend(vms.iter().map(|vm| (vm.clone(), now)));
        self.order_budget -= vms.len() as f64;
        self.write_order_ages().await
    }

    pub(super) async fn write_order_ages(&mut self) -> bool {
        let txn = Txn {
            expect: vec![(duty::key(FLEET), self.holder.fence)],
            set: vec![(
                ORDERS_KEY.to_owned(),
                serde_json::to_vec(&self.order_ages()).unwrap_or_default(),
                0,
            )],
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

    /// Returns how many orders a second this holder may send.
    pub(super) fn order_rate(&self) -> f64 {
        self.node.settings.fleet_orders * RATE_SHARE
    }

    /// Returns how many orders for moves may be sent now: those that urgent waves need are kept,
    /// since moves are ordered more often and would use up the rate between two looks at a wave.
    pub(super) fn move_allowance(&mut self) -> usize {
        self.allowance().saturating_sub(self.cheap.reserved_orders())
    }

    /// Returns how many orders may be sent now. The service limits the orders per second of
    /// all clients together and refuses any beyond that.
    pub(super) fn allowance(&mut self) -> usize {
        let now = clock::now();
        let rate = self.order_rate();
        let since = (now - self.order_budget_at).as_secs_f64();
        self.order_budget = (self.order_budget + since * rate).min(rate);
        self.order_budget_at = now;
        self.order_budget as usize
    }
}
