//! The directive that results from the operators' rules.
//!
//! The first rule that matches decides. The controller converts its actions to
//! a [`Directive`]; this crate does not know the rules themselves.

use std::collections::BTreeMap;

use corianderfork_model::Share;
use corianderfork_model::place::VmId;
use corianderfork_model::service::{Class, ServiceId};

/// How many copies of a service to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Copies {
    /// As many as the measured load and the budget's redundancy require.
    #[default]
    Measured,
    /// This many, within budget and licences.
    Count(u32),
    /// This share of the licences.
    Share(Share),
    /// As many as the load requires plus this share of them, but no fewer than
    /// the budget's redundancy requires.
    Headroom(Share),
    /// As many as there are now.
    Hold,
}

/// The pace of maintenance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// As fast as budgets allow; the wave widens while VMs come back healthy.
    #[default]
    Measured,
    /// At most this many VMs in progress at once.
    AtMost(u32),
    /// No new VM is drained; those in progress are finished.
    Paused,
}

/// The effect of the deciding rule.
///
/// ```
/// use corianderfork_policy::directive::{Directive, Pace};
///
/// let calm = Directive { refuse_moves: true, pace: Pace::Paused, ..Directive::default() };
/// assert_ne!(calm, Directive::default());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directive {
    /// The number of copies of services without an entry in `copies`.
    pub default_copies: Copies,
    /// The number of copies by service.
    pub copies: BTreeMap<ServiceId, Copies>,
    /// The pace of maintenance.
    pub pace: Pace,
    /// Whether to stop no copies and move no VMs between pools, except where a
    /// drain or a failure requires it.
    pub refuse_moves: bool,
    /// Services of this class and below run only their budget's minimum number
    /// of copies.
    pub shed: Option<Class>,
    /// Services to place before all others, in this order.
    pub placement_order: Vec<ServiceId>,
    /// VMs to drain.
    pub drains: Vec<VmId>,
}

impl Directive {
    /// Returns the number of copies that applies to `service`.
    pub fn copies_of(&self, service: ServiceId) -> Copies {
        self.copies.get(&service).copied().unwrap_or(self.default_copies)
    }
}
