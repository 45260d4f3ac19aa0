//! How the slots of each runner are divided among the proxies.
//!
//! A runner has a few slots and connections, and the proxies in front of it
//! don't see each other's load. A [`Policy`] says which share of them this proxy
//! may use. It is a pure function of a [`Situation`] that every proxy can
//! compute, so no coordinator is needed.
//!
//! * [`Fixed`]: equal shares.
//! * [`LeastOfTwo`]: no division of slots; the less loaded of two runners by own
//!   counts, and the backend server refuses what is too much.
//! * [`Proportional`]: shares in proportion to the demand that proxies report.
//! * [`Borrowing`]: one of these, and slots beyond the share by trying.
//!
//! # Which, and why
//!
//! `Borrowing<Proportional>` is the default. The bench `limits` compares them with eight
//! proxies and ten runners at 60%, 85% and 110% of capacity; of 1000 requests:
//!
//! * Equal shares are a little better while every proxy has as many callers (at
//!   85% they refuse less than 1, `Borrowing<Proportional>` 3), since nothing moves.
//!   With 80% of the callers at one proxy they refuse 610 at 60% of capacity and
//!   668 at 85%, where `Borrowing<Proportional>` refuses none and 16. After
//!   a proxy died, at 85%, they refuse 46 to its 11.
//! * `LeastOfTwo` hardly waits, but at 85% and even load it refuses 56 and uses
//!   up the retry budget (199 retries), to 3 and 18 of `Borrowing<Proportional>`. When a
//!   runner fails and there is no budget, its retries grow to 462.
//! * `Proportional` alone has requests wait in one proxy while slots of another are
//!   idle: at 60% and even load the 99th percentile of waiting is 16 ms, and
//!   less than 1 ms with `Borrowing`. Trying costs 9 retries.
//! * `Borrowing<Fixed>` does without reports. It is as good at even load, but
//!   with 80% of the callers at one proxy it refuses 137 at 85% and 293 at 110%,
//!   to 16 and 193.
//! * Over capacity nothing helps; what differs is how much is tried in vain: 200
//!   retries for `LeastOfTwo` at 110% and even load, 10 for `Borrowing<Proportional>`.
//!
//! What it costs: with 80% of the callers at one proxy and a load of 85%, the few
//! requests of the other proxies wait long (the 99th percentile of all waits is
//! 376 ms, to 23 ms with `LeastOfTwo`, which refuses 72 there).
//!
//! With `Borrowing<Proportional>`, a runner that fails everything at once fails 165 at
//! 85% without [`outlier`](crate::outlier) ejection and less than 1 with it.
//!
//! Two forms of `Proportional` were tried and dropped. With waiting requests counted as
//! demand, a proxy that was short for a moment took its peers' slots, which were
//! then short themselves: even load at 60% had 99 refused. With demands in whole
//! slots and the mean of few requests, shares that were wrong by a slot stood
//! for long: 87 refused at 85%.

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

/// A division of the runners of one service among the proxies.
pub trait Policy: fmt::Debug + Send {
    /// This proxy's share of each seat of `situation`, in the same order.
    fn divide(&self, situation: &Situation<'_>) -> Vec<Share>;

    /// How long a larger share rests before it is used: long enough for the
    /// proxy that had it to hear the same news.
    fn settle(&self) -> Duration;

    /// How many runners are looked at, at random, for the best one.
    fn candidates(&self) -> usize {
        usize::MAX
    }
}

/// What a division is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// This proxy.
    pub me: &'a Name,
    /// Every known proxy with this one, sorted by name.
    pub members: &'a [Member],
    /// The runners of one service that take work, sorted by VM.
    pub seats: &'a [Seat],
}

/// A proxy among which slots are divided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// The slots of the service that it needs, in tenths, as it last reported.
    pub demand: u32,
    /// Whether no report has come from it for a while, though nobody said that
    /// it is gone.
    pub silent: bool,
}

/// A runner whose slots are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// A hash of its VM and its service, the same at every proxy.
    pub hash: u64,
    /// The requests that it works on at once.
    pub slots: u32,
    /// The connections that it holds at once.
    pub connections: u32,
}

/// What one proxy may use of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight at once.
    pub slots: u32,
    /// Connections open at once, idle ones too.
    pub connections: u32,
    /// Requests in flight beyond `slots`, each on a connection that may be open
    /// beyond `connections` until the request has ended.
    pub borrow: u32,
}
