//! The actions that a decision requests.

use corianderfork_model::Name;
use corianderfork_provider::record::{Vm, Wave};
use corianderfork_provider::store::Expect;

use crate::facts::Copy;

/// A write of a VM's record, fenced by the revision that it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The VM.
    pub vm: Name,
    /// The expected state of the record in the store.
    pub expect: Expect,
    /// The record that the decision is based on.
    pub from: Option<Vm>,
    /// The new record.
    pub record: Vm,
    /// The author of the change: a person, a component or a rule.
    pub who: String,
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Writes a VM's record.
    Write(Box<Write>),
    /// Writes the wave's record.
    Wave {
        /// The expected state of the record in the store.
        expect: Expect,
        /// The record that the decision is based on.
        from: Box<Wave>,
        /// The new record.
        wave: Box<Wave>,
    },
    /// Starts a copy.
    Start(Copy),
    /// Stops a copy.
    Stop(Copy),
    /// Reboots a VM whose record is already in the rebooting phase.
    Reboot(Name),
}

impl Action {
    /// Returns the kind of the action as a metric label.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Write(_) => "write",
            Self::Wave { .. } => "wave",
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
            Self::Reboot(_) => "reboot",
        }
    }

    /// Whether the action writes to the store.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Write(_) | Self::Wave { .. })
    }
}

/// Returns a short summary of a record for the audit trail.
pub fn summary(record: Option<&Vm>) -> String {
    let Some(vm) = record else { return "none".to_owned() };
    let runners: Vec<&str> = vm.runners.iter().map(|runner| runner.service.as_str()).collect();
    let reason = if vm.reason.is_empty() { String::new() } else { format!(", {}", vm.reason) };
    let (pool, phase, epoch) = (&vm.pool, vm.phase, vm.epoch);
    format!("{phase} in {pool}, epoch {epoch}{reason}, copies [{}]", runners.join(" "))
}
