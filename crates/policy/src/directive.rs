//! What the operators' rules ask of the decisions.
//!
//! The first rule that matches decides; the controller turns its actions into
//! a [`Directive`], the only form in which rules reach this crate.

use std::collections::BTreeMap;

use corianderfork_model::Share;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Class, ServiceId};

/// How many copies of a service there should be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Copies {
    /// As many as the measured load and the budget's failure call for.
    #[default]
    Measured,
    /// This many. Budget and licences still hold.
    Count(u32),
    /// This share of the licences.
    Share(Share),
    /// As the load calls for and this share of them on top, but no fewer than
    /// the budget's failure calls for.
    Headroom(Share),
    /// As many as there are.
    Hold,
}

/// How fast maintenance goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// As fast as budgets allow, widening while it goes well.
    #[default]
    Measured,
    /// At most this many VMs under way at once.
    AtMost(u32),
    /// No VM is begun; those under way are finished.
    Paused,
}

/// What the rule that decided asks for.
///
/// ```
/// use corianderfork_policy::directive::{Directive, Pace};
///
/// let calm = Directive { refuse_moves: true, pace: Pace::Paused, ..Directive::default() };
/// assert_ne!(calm, Directive::default());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directive {
    /// What holds for services without an entry in `copies`.
    pub default_copies: Copies,
    /// Copies by service.
    pub copies: BTreeMap<ServiceId, Copies>,
    /// How fast maintenance goes.
    pub pace: Pace,
    /// Whether no copy is stopped and no VM changes its pool, but for what a
    /// drain or a failure forces.
    pub refuse_moves: bool,
    /// The class, and all below it, that gives way: its services are kept at
    /// no more than their budget's least copies.
    pub shed: Option<Class>,
    /// Services to be placed before all others, in this order.
    pub placement_order: Vec<ServiceId>,
    /// VMs to be drained.
    pub drains: Vec<VmId>,
}

impl Directive {
    /// What is asked for `service`.
    pub fn copies_of(&self, service: ServiceId) -> Copies {
        self.copies.get(&service).copied().unwrap_or(self.default_copies)
    }
}
