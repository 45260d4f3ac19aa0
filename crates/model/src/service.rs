//! Services, their availability budgets, and the teams that own them.

use crate::place::{PoolId, Size};
use crate::{id, name::Name, share::Share};

id! {
    /// The id of a [`Service`] in a [`crate::Fleet`].
    ServiceId
}
id! {
    /// The id of a [`Team`] in a [`crate::Fleet`].
    TeamId
}

/// The priority of a service's work when capacity is short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Class {
    /// Archive and audit work, shed first.
    Later,
    /// Most services.
    #[default]
    Normal,
    /// Settlement and transfer, served before all others.
    First,
}

/// The largest failure that a service's budget must tolerate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Outlasts {
    /// None: no spare copies are kept for failures.
    Nothing,
    /// The loss of one VM.
    #[default]
    Vm,
    /// The loss of one rack.
    Rack,
    /// The loss of one data centre.
    DataCentre,
}

/// The availability that a service keeps during every maintenance wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Budget {
    /// The minimum number of copies that are able to serve.
    pub min_copies: u32,
    /// The maximum number of copies.
    pub max_copies: u32,
    /// The share of its copies that may be out of service at the same time.
    pub unavailable: Share,
    /// The largest failure after which the remaining copies must still carry the
    /// load.
    pub outlasts: Outlasts,
}

impl Budget {
    /// Creates a budget of `min_copies` to `max_copies` that tolerates the loss
    /// of a VM and allows a tenth of the copies to be out of service.
    pub fn new(min_copies: u32, max_copies: u32) -> Self {
        Self {
            min_copies,
            max_copies,
            unavailable: Share::from_per_mille(100).expect("below 1000"),
            outlasts: Outlasts::Vm,
        }
    }
}

/// A service, which a pool runs as licensed copies (runners).
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Service {
    /// Its name, the first segment of the path in callers' requests.
    pub name: Name,
    /// The pool that runs it.
    pub pool: PoolId,
    /// The team that owns it, if teams are configured.
    pub team: Option<TeamId>,
    /// The priority of its work.
    pub class: Class,
    /// The resources that one copy needs, as configured.
    pub size: Size,
    /// Its availability budget.
    pub budget: Budget,
    /// The number of copies that may run at the same time in the whole fleet.
    pub licences: u32,
    /// The number of requests that one copy handles concurrently.
    pub slots: u16,
    /// The maximum number of connections to one copy.
    pub connections: u16,
    /// The expected duration of one request in milliseconds, as configured.
    pub run_millis: u32,
    /// The expected time from the start of a copy to its first response in
    /// milliseconds, as configured.
    pub warm_millis: u32,
}

impl Service {
    /// The default [`Service::slots`].
    pub const SLOTS: u16 = 8;
    /// The default [`Service::connections`].
    pub const CONNECTIONS: u16 = 64;

    /// Creates a service of normal class with the default slots and connections.
    pub fn new(name: Name, pool: PoolId, size: Size, budget: Budget, licences: u32) -> Self {
        Self {
            name,
            pool,
            team: None,
            class: Class::Normal,
            size,
            budget,
            licences,
            slots: Self::SLOTS,
            connections: Self::CONNECTIONS,
            run_millis: 20,
            warm_millis: 2_000,
        }
    }
}

/// A team with a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// The total resources that its services may use.
    pub quota: Size,
}

impl Team {
    /// Creates a team with `quota`.
    pub fn new(name: Name, quota: Size) -> Self {
        Self { name, quota }
    }
}

/// The costs by which a user's decisions are compared, each for one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// The cost of one move of a VM or a copy.
    pub moves: u32,
    /// The cost of one licensed copy that is idle for an hour.
    pub buffer: u32,
    /// The cost of one hour of a roll-out.
    pub roll_out: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { moves: 1, buffer: 1, roll_out: 1 }
    }
}
