//! VMs that count as away for maintenance.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_adapter::config::Wave;
use corianderfork_adapter::fleet::{Answer, State, Vm};
use corianderfork_model::Time;

use crate::absence::Absence;

/// How long the fleet service may take to answer a call.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an order may still be carried out after its sender has given up waiting or has ended.
pub const IN_FLIGHT: Duration = Duration::from_millis(300);
/// How long after its order was carried out a VM counts as away although the lagging list shows it
/// as up.
pub const LIST_LAG: Duration = Duration::from_millis(1_200);

/// A VM that counts as away.
#[derive(Clone, Copy, Debug)]
struct Absent {
    since: Time,
    /// When its order is carried out, if it is at all.
    carried_out_by: Time,
    /// Whether it was ordered, by this or an earlier planner, and not only listed.
    is_ordered: bool,
}

/// Tracks which VMs count as away for maintenance, from orders, their answers and lists of the
/// fleet. It does no I/O.
///
/// A VM counts as away from the moment at which its order is sent. An answer that isn't known, or a
/// list that may be older than the order, doesn't show that it is up. While it counts as away it
/// isn't ordered again: the answer `Busy` to a second order would not tell whether the first one
/// was carried out.
///
/// ```
/// use corianderfork_adapter::fleet::Answer;
/// use corianderfork_entry::away::Tracker;
/// use corianderfork_model::Time;
///
/// let mut tracker = Tracker::default();
/// tracker.order(Time::from_millis(0), "vm-1");
/// tracker.answer(Time::from_millis(1_000), "vm-1", None);
/// assert!(tracker.is_away("vm-1"), "the order may have been carried out");
/// tracker.order(Time::from_millis(0), "vm-2");
/// tracker.answer(Time::from_millis(10), "vm-2", Some(Answer::Busy));
/// assert!(!tracker.is_away("vm-2"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    vms: BTreeMap<String, Absent>,
    absence: Absence,
}

impl Tracker {
    /// Records VMs that an earlier planner ordered recently. Its orders may still be carried out.
    pub fn inherit(&mut self, now: Time, vms: impl IntoIterator<Item = String>) {
        let carried_out_by = now + IN_FLIGHT;
        let absent = Absent { since: now, carried_out_by, is_ordered: true };
        self.vms.extend(vms.into_iter().map(|vm| (vm, absent)));
    }

    /// Records that the maintenance of a VM is about to be ordered.
    pub fn order(&mut self, now: Time, vm: &str) {
        let carried_out_by = now + RESPONSE_TIMEOUT + IN_FLIGHT;
        self.vms.insert(vm.to_owned(), Absent { since: now, carried_out_by, is_ordered: true });
    }

    /// Records the answer to an order; `None` if there was none.
    pub fn answer(&mut self, now: Time, vm: &str, answer: Option<Answer>) {
        let carried_out_by = match answer {
            Some(Answer::Done) => now,
            Some(Answer::Busy | Answer::Unavailable | Answer::Refused) => {
                self.vms.remove(vm);
                return;
            }
            Some(Answer::Fenced | Answer::Unknown) | None => now + IN_FLIGHT,
        };
        if let Some(absent) = self.vms.get_mut(vm) {
            absent.carried_out_by = carried_out_by;
        }
    }

    /// Updates the VMs by a list of the fleet that was requested at `listed`. Returns those that
    /// are no longer away, and for how long they were.
    ///
    /// A VM that is missing counts as away until it is known to be removed: the list changes while
    /// its pages are read.
    pub fn update(&mut self, listed: Time, vms: &BTreeMap<String, Vm>) -> Vec<(String, Duration)> {
        for vm in vms.values().filter(|vm| vm.state == State::Maintained) {
            let seen = Absent { since: listed, carried_out_by: listed, is_ordered: false };
            self.vms.entry(vm.name.clone()).or_insert(seen);
        }
        let names = self.vms.keys().map(String::as_str);
        self.absence.note(listed, names, |vm| vms.contains_key(vm));
        let mut returned = Vec::new();
        self.vms.retain(|name, absent| {
            let is_over = match vms.get(name).map(|vm| vm.state) {
                Some(State::Up) => true,
                Some(State::Maintained) => false,
                Some(State::Moving | State::Down) => !absent.is_ordered,
                None => self.absence.is_gone(listed, name),
            };
            let is_away = !is_over || listed < absent.carried_out_by + LIST_LAG;
            if !is_away {
                returned.push((name.clone(), listed - absent.since));
            }
            is_away
        });
        returned
    }

    /// Whether a VM counts as away.
    pub fn is_away(&self, vm: &str) -> bool {
        self.vms.contains_key(vm)
    }

    /// Returns the VMs of a wave that count as away, and for how long they have been so.
    pub fn away(&self, now: Time, wave: &Wave) -> Vec<Duration> {
        let since = |vm: &String| self.vms.get(vm).map(|absent| now - absent.since);
        wave.vms.iter().filter_map(since).collect()
    }

    /// Returns how many more VMs of a wave may be away.
    pub fn capacity(&self, wave: &Wave) -> usize {
        let away = wave.vms.iter().filter(|vm| self.is_away(vm)).count();
        wave.max_concurrent.saturating_sub(away)
    }

    /// Whether the maintenance of a VM may be ordered.
    pub fn may_order(&self, vm: &Vm) -> bool {
        vm.state == State::Up && !self.is_away(&vm.name)
    }

    /// Returns the VMs that a list may wrongly show as up, and the ages of their orders. A successor
    /// has to know them.
    pub fn unlisted(&self, now: Time) -> impl Iterator<Item = (&str, Duration)> {
        let is_unlisted =
            move |absent: &Absent| absent.is_ordered && now < absent.carried_out_by + LIST_LAG;
        let orders = self.vms.iter().filter(move |(_, absent)| is_unlisted(absent));
        orders.map(move |(name, absent)| (name.as_str(), now - absent.since))
    }
}
