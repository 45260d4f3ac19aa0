//! Actions of rules.
//!
//! A `then` text holds one or more actions separated by `;`:
//!
//! | Text | Meaning |
//! |---|---|
//! | `copies transfer 10` | run 10 copies |
//! | `copies transfer 20%` | run as many as that share of the licences, rounded up |
//! | `headroom transfer 30%` | run 30% more copies than the load needs |
//! | `hold` | keep the current numbers of copies |
//! | `drain vm v01`, `drain rack r1` | drain these VMs |
//! | `wave pace 2` | at most 2 VMs of a wave out of service at once |
//! | `wave pause` | drain no further VMs for a wave |
//! | `shed later`, `shed normal` | refuse work of this class and below |
//! | `refuse moves` | move no VM between pools and no copy between VMs |
//! | `order transfer, lookup` | serve these services first, in this order |
//! | `normal` | no special action; can't be combined with others |
//!
//! `copies` and `headroom` take a service, `pool NAME` or `all`. The most
//! specific one applies to a service, whatever the order in the text.

use corianderfork_model::Fleet;
use corianderfork_model::place::{RackId, VmId};
use corianderfork_model::service::{Class, ServiceId};

use crate::error::Error;

/// A number of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Amount {
    /// This many.
    Count(u32),
    /// This share of the service's licences in per mille, rounded up.
    PerMille(u16),
}

impl Amount {
    /// Returns the number of copies for a service with `licences`.
    pub fn copies(self, licences: u32) -> u32 {
        match self {
            Self::Count(copies) => copies,
            Self::PerMille(share) => {
                let copies = (u64::from(licences) * u64::from(share)).div_ceil(1000);
                u32::try_from(copies).unwrap_or(u32::MAX)
            }
        }
    }
}

/// The VMs that a rule drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One VM.
    Vm(VmId),
    /// Every VM of a rack.
    Rack(RackId),
}

/// An action of a rule. The policy decides whatever the actions of the deciding
/// rule do not determine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Run this many copies.
    Copies {
        /// The service.
        service: ServiceId,
        /// The number of copies.
        amount: Amount,
    },
    /// Run more copies than the load needs.
    Headroom {
        /// The service.
        service: ServiceId,
        /// The headroom, in per mille of what the load needs; up to 5000.
        per_mille: u16,
    },
    /// Keep the current numbers of copies.
    Hold,
    /// Drain VMs.
    Drain(Target),
    /// At most this many VMs of a wave are out of service at once.
    WavePace(u16),
    /// Drain no further VMs for a wave.
    WavePause,
    /// Refuse work of this class and of the classes below it.
    Shed(Class),
    /// Move no VM between pools and no copy between VMs.
    RefuseMoves,
    /// Serve these services first, in this order.
    Order(Vec<ServiceId>),
}

impl Action {
    /// Returns the action as written in rules, with the names of `fleet`.
    pub fn describe(&self, fleet: &Fleet) -> String {
        let name = |service: &ServiceId| fleet.service(*service).name.to_string();
        let percent = |n: u16| crate::situation::Value::PerMille(n.into());
        match self {
            Self::Copies { service, amount: Amount::Count(n) } => {
                format!("copies {} {n}", name(service))
            }
            Self::Copies { service, amount: Amount::PerMille(n) } => {
                format!("copies {} {}", name(service), percent(*n))
            }
            Self::Headroom { service, per_mille } => {
                format!("headroom {} {}", name(service), percent(*per_mille))
            }
            Self::Hold => "hold".to_owned(),
            Self::Drain(Target::Vm(id)) => format!("drain vm {}", fleet.vm(*id).name),
            Self::Drain(Target::Rack(id)) => format!("drain rack {}", fleet.rack(*id).name),
            Self::WavePace(vms) => format!("wave pace {vms}"),
            Self::WavePause => "wave pause".to_owned(),
            Self::Shed(Class::Later) => "shed later".to_owned(),
            Self::Shed(_) => "shed normal".to_owned(),
            Self::RefuseMoves => "refuse moves".to_owned(),
            Self::Order(services) => {
                let names: Vec<_> = services.iter().map(name).collect();
                format!("order {}", names.join(", "))
            }
        }
    }
}

/// Parses a `then` text that uses names of `fleet`. `normal` results in no action.
///
/// # Errors
///
/// Returns the first mistake, with its position and the remedy.
pub fn parse(text: &str, fleet: &Fleet) -> Result<Vec<Action>, Error> {
    crate::action_parser::parse(text, fleet)
}
