//! Policies that divide the slots of each runner among the proxies.
//!
//! A runner has few slots and connections, and the proxies in front of it do
//! not see each other's load. A [`Policy`] determines which share this proxy
//! may use. It is a pure function of a [`Situation`] that every proxy can
//! compute, so no coordinator is needed.
//!
//! * [`Fixed`]: equal shares.
//! * [`LeastOfTwo`]: slots are not divided. The proxy picks the less loaded of
//!   two runners by its own counts, and the backend server rejects excess
//!   requests.
//! * [`Proportional`]: shares in proportion to the reported demand of the
//!   proxies.
//! * [`Borrowing`]: one of the above, plus slots beyond the share, which are
//!   found by trying.
//!
//! # Comparison
//!
//! `Borrowing<Proportional>` is the default. The bench `limits` compares the
//! policies with eight proxies and ten runners at 60%, 85% and 110% of
//! capacity. The figures are per 1000 requests:
//!
//! * Equal shares are slightly better while all proxies have equally many
//!   callers (at 85% they refuse less than 1, `Borrowing<Proportional>` 3),
//!   because no slots move. With 80% of the callers at one proxy they refuse
//!   610 at 60% of capacity and 668 at 85%, where `Borrowing<Proportional>`
//!   refuses none and 16. After the death of a proxy, at 85%, they refuse 46
//!   and it refuses 11.
//! * `LeastOfTwo` has almost no waiting, but at 85% and even load it refuses 56
//!   and exhausts the retry budget (199 retries), compared with 3 and 18 for
//!   `Borrowing<Proportional>`. When a runner fails and there is no budget, its
//!   retries grow to 462.
//! * `Proportional` alone makes requests wait in one proxy while slots of
//!   another are idle: at 60% and even load the 99th percentile of the waiting
//!   time is 16 ms, compared with less than 1 ms with `Borrowing`. The extra
//!   tries cost 9 retries.
//! * `Borrowing<Fixed>` needs no reports. It is as good at even load, but with
//!   80% of the callers at one proxy it refuses 137 at 85% and 293 at 110%,
//!   compared with 16 and 193.
//! * Above capacity no policy helps; they differ in the number of futile tries:
//!   200 retries for `LeastOfTwo` at 110% and even load, 10 for
//!   `Borrowing<Proportional>`.
//!
//! The cost of the default: with 80% of the callers at one proxy and a load of
//! 85%, the few requests of the other proxies wait long. The 99th percentile of
//! all waiting times is 376 ms, compared with 23 ms for `LeastOfTwo`, which
//! refuses 72 there.
//!
//! With `Borrowing<Proportional>`, a runner that immediately fails all requests
//! fails 165 at 85% without [`outlier`](crate::outlier) ejection and less than
//! 1 with it.
//!
//! Two other ways to compute the demands for `Proportional` refuse more. If
//! waiting requests count as demand, a proxy that is briefly short of slots
//! takes those of its peers, which then run short themselves: 99 are refused at
//! 60% and even load. If demands are in whole slots and averaged over few
//! requests, shares that are wrong by one slot persist: 87 are refused at 85%.

use std::fmt;
use std::time::Duration;

use corianderfork_model::Name;

mod borrowing;
mod fixed;
mod grant;
mod least_of_two;
mod proportional;

pub(crate) use borrowing::Allowance;
pub use borrowing::Borrowing;
pub use fixed::Fixed;
pub(crate) use grant::Grant;
pub use least_of_two::LeastOfTwo;
pub use proportional::Proportional;

/// Divides the runners of one service among the proxies.
pub trait Policy: fmt::Debug + Send {
    /// Returns this proxy's share of each backend of `situation`, in the same
    /// order.
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share>;

    /// Returns how long to wait before a larger share is used. The proxy that
    /// gives slots up must have received the same reports by then.
    fn settle_time(&self) -> Duration;

    /// Returns how many runners are sampled at random to pick the best one
    /// from.
    fn candidates(&self) -> usize {
        usize::MAX
    }
}

/// The input of a division.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// This proxy.
    pub me: &'a Name,
    /// All known proxies including this one, sorted by name.
    pub members: &'a [Member],
    /// The available runners of one service, sorted by VM.
    pub backends: &'a [Backend],
}

/// A proxy that shares the slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The proxy's name.
    pub name: Name,
    /// The slots of the service that it needs according to its last report, in
    /// tenths.
    pub demand: u32,
    /// Whether it has stopped reporting although the membership still lists it.
    pub silent: bool,
}

/// A runner whose slots are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backend {
    /// A hash of its VM and service, identical at every proxy.
    pub hash: u64,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts at once.
    pub connections: u32,
}

/// The part of one runner that one proxy may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The maximum number of requests in flight.
    pub slots: u32,
    /// The maximum number of open connections, including idle ones.
    pub connections: u32,
    /// The maximum number of requests in flight beyond `slots`. Each of them
    /// may use a connection beyond `connections` until it ends.
    pub borrow: u32,
}
