//! Calls and bytes by kind of call.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What was exchanged in calls of one kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls that have begun.
    pub calls: u64,
    /// Calls in progress.
    pub in_flight: u64,
    /// Bytes sent, in bodies and request targets. Headers are not counted.
    pub sent: u64,
    /// Bytes received in bodies.
    pub received: u64,
}

/// The tallies of a daemon. Clones count together.
///
/// ```
/// use corianderfork_entry::traffic::Traffic;
///
/// let traffic = Traffic::default();
/// let call = traffic.begin("order");
/// call.add_sent(120);
/// assert_eq!(traffic.tallies()["order"].in_flight, 1);
/// drop(call);
/// assert_eq!(traffic.tallies()["order"].in_flight, 0);
/// assert_eq!(traffic.tallies()["order"].sent, 120);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    tallies: Rc<RefCell<BTreeMap<&'static str, Tally>>>,
}

impl Traffic {
    /// Counts a call of a kind, which is in flight until the result is dropped.
    pub fn begin(&self, kind: &'static str) -> Call {
        let call = Call { traffic: self.clone(), kind };
        call.update(|tally| {
            tally.calls += 1;
            tally.in_flight += 1;
        });
        call
    }

    /// Returns the tallies by kind.
    pub fn tallies(&self) -> BTreeMap<&'static str, Tally> {
        self.tallies.borrow().clone()
    }
}

/// A counted call.
#[derive(Debug)]
pub struct Call {
    traffic: Traffic,
    kind: &'static str,
}

impl Call {
    /// Counts bytes that were sent.
    pub fn add_sent(&self, bytes: usize) {
        self.update(|tally| tally.sent += bytes as u64);
    }

    /// Counts bytes that were received.
    pub fn add_received(&self, bytes: usize) {
        self.update(|tally| tally.received += bytes as u64);
    }

    fn update(&self, change: impl FnOnce(&mut Tally)) {
        change(self.traffic.tallies.borrow_mut().entry(self.kind).or_default());
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.update(|tally| tally.in_flight -= 1);
    }
}
