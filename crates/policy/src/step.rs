//! The steps of a decision, which the controller carries out.

use std::fmt;

use corianderfork_model::Fleet;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::ServiceId;

use crate::state::Purpose;

/// An operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Start a copy of `service` on `vm`. A copy that is already assigned to it,
    /// as after a reboot, is started again.
    Start {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceId,
    },
    /// Stop the copy of `service` on `vm` once no request is in flight there,
    /// and remove it from the VM's record. If the VM is lost or rebooting, only
    /// the record changes.
    Stop {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceId,
    },
    /// Take `vm` out of service once no request is in flight there.
    Drain {
        /// The VM.
        vm: VmId,
        /// The purpose, stored in the VM's record.
        purpose: Purpose,
    },
    /// Reboot `vm`, which must be drained.
    Reboot {
        /// The VM.
        vm: VmId,
    },
    /// Set the pool of `vm` to `to`. The VM must be drained and have no copies.
    SwitchPool {
        /// The VM.
        vm: VmId,
        /// Its new pool.
        to: PoolId,
    },
    /// Admit `vm` to the pool that its record names.
    Admit {
        /// The VM.
        vm: VmId,
    },
    /// Take `vm` out of service until an operator intervenes.
    SetOut {
        /// The VM.
        vm: VmId,
    },
}

impl Operation {
    /// Returns the VM that the operation affects.
    pub fn vm(self) -> VmId {
        match self {
            Self::Start { vm, .. }
            | Self::Stop { vm, .. }
            | Self::Drain { vm, .. }
            | Self::Reboot { vm }
            | Self::SwitchPool { vm, .. }
            | Self::Admit { vm }
            | Self::SetOut { vm } => vm,
        }
    }
}

/// The reason for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// Too few copies for the load.
    Load,
    /// Too few copies would survive the failure that the budget covers.
    Redundancy,
    /// Fewer copies than the budget's minimum.
    Budget,
    /// Replaces a copy that is lost or failing.
    Replace,
    /// Starts a replacement in advance for a copy on a VM that is about to be
    /// drained.
    Surge,
    /// The copy's VM is overcommitted, or being vacated for other reasons.
    Overcommitted,
    /// More copies than load and budget require.
    Surplus,
    /// The copy fails its requests, or never answered.
    Failing,
    /// The copy makes room for one of this more urgent service.
    Displaced(ServiceId),
    /// The VM is part of the current wave.
    Wave,
    /// The VM is due for periodic maintenance.
    Due,
    /// Requested by an operator or a rule.
    Requested,
    /// Every start on the VM fails.
    Unfit,
    /// Another pool has no room for copies it needs.
    NoRoom,
    /// The VM returns to its home pool.
    ReturnHome,
    /// The copy's VM is leaving its pool.
    LeavingPool,
    /// The VM's previous phase is complete.
    NextPhase,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "too few copies for the load",
            Self::Redundancy => "too few copies to outlast the failure the budget names",
            Self::Budget => "fewer copies than the budget's least",
            Self::Replace => "takes the place of a copy that is lost or failing",
            Self::Surge => "goes ahead of the VM whose maintenance comes next",
            Self::Overcommitted => "relieves a VM that carries more than it has",
            Self::Surplus => "more copies than load and budget call for",
            Self::Failing => "fails what it is given",
            Self::Displaced(_) => "gives way to a more urgent service",
            Self::Wave => "part of the wave under way",
            Self::Due => "due for maintenance",
            Self::Requested => "asked for by an operator or a rule",
            Self::Unfit => "fails everything that is started on it",
            Self::NoRoom => "a pool has no room for copies it needs",
            Self::ReturnHome => "the VM goes to its home pool",
            Self::LeavingPool => "the VM is leaving its pool",
            Self::NextPhase => "the step before is done",
        })
    }
}

/// An operation and its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// The operation.
    pub operation: Operation,
    /// The reason.
    pub reason: Reason,
}

impl Step {
    /// Creates a step.
    pub fn new(operation: Operation, reason: Reason) -> Self {
        Self { operation, reason }
    }

    /// Returns a line for the audit trail.
    pub fn to_text(self, fleet: &Fleet) -> String {
        let vm = &fleet.vm(self.operation.vm()).name;
        let operation = match self.operation {
            Operation::Start { service, .. } => {
                format!("start {} on {vm}", fleet.service(service).name)
            }
            Operation::Stop { service, .. } => {
                format!("stop {} on {vm}", fleet.service(service).name)
            }
            Operation::Drain { purpose, .. } => {
                format!("drain {vm} for {}", purpose.to_text(fleet))
            }
            Operation::Reboot { .. } => format!("reboot {vm}"),
            Operation::SwitchPool { to, .. } => format!("switch {vm} to {}", fleet.pool(to).name),
            Operation::Admit { .. } => format!("admit {vm}"),
            Operation::SetOut { .. } => format!("set {vm} out"),
        };
        format!("{operation}: {}", self.reason)
    }
}
