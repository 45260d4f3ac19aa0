//! What a decision asks the shell to do.

use corianderfork_model::Name;
use corianderfork_provider::record::{Vm, Wave};
use corianderfork_provider::store::Expect;

use crate::facts::Copy;

/// A write of a VM's record, fenced by the revision it was decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The VM.
    pub vm: Name,
    /// What has to be there still.
    pub expect: Expect,
    /// The record it was decided on.
    pub from: Option<Vm>,
    /// The new record.
    pub record: Vm,
    /// Who or what rule.
    pub who: String,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Write a VM's record.
    Write(Box<Write>),
    /// Write the wave's record.
    Wave {
        /// What has to be there still.
        expect: Expect,
        /// The record it was decided on.
        from: Box<Wave>,
        /// The new record.
        wave: Box<Wave>,
    },
    /// Start a copy.
    Start(Copy),
    /// Stop a copy.
    Stop(Copy),
    /// Reboot a VM, whose record says so already.
    Reboot(Name),
}

impl Action {
    /// The kind as a metric's label.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Write(_) => "write",
            Self::Wave { .. } => "wave",
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
            Self::Reboot(_) => "reboot",
        }
    }

    /// Whether it is a write to the store.
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Write(_) | Self::Wave { .. })
    }
}

/// A short text of what a record says, for the audit trail.
pub fn summary(record: Option<&Vm>) -> String {
    let Some(vm) = record else { return "none".to_owned() };
    let runners: Vec<&str> = vm.runners.iter().map(|runner| runner.service.as_str()).collect();
    let reason = if vm.reason.is_empty() { String::new() } else { format!(", {}", vm.reason) };
    let (pool, phase, epoch) = (&vm.pool, vm.phase, vm.epoch);
    format!("{phase} in {pool}, epoch {epoch}{reason}, copies [{}]", runners.join(" "))
}
