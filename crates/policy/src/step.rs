//! The steps a decision asks the controller to take.

use std::fmt;

use corianderfork_model::Fleet;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::ServiceId;

use crate::state::Purpose;

/// One thing to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Start a copy of `service` on `vm`. If one is assigned to it already,
    /// as after a reboot, that one is started again.
    Start {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceId,
    },
    /// Stop the copy of `service` on `vm` once nothing is in flight there, and
    /// take it off the VM's record. Of a lost or rebooting VM only the record
    /// changes.
    Stop {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceId,
    },
    /// Take `vm` out of service once nothing is in flight there.
    Drain {
        /// The VM.
        vm: VmId,
        /// What for; kept in the VM's record.
        purpose: Purpose,
    },
    /// Reboot `vm`, which is drained.
    Reboot {
        /// The VM.
        vm: VmId,
    },
    /// Write `to` as the pool of `vm`, which is drained and carries nothing.
    SwitchPool {
        /// The VM.
        vm: VmId,
        /// Its new pool.
        to: PoolId,
    },
    /// Let `vm` serve in the pool that its record names.
    Admit {
        /// The VM.
        vm: VmId,
    },
    /// Leave `vm` out until an operator looks at it.
    SetOut {
        /// The VM.
        vm: VmId,
    },
}

impl Operation {
    /// The VM that it is done to.
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

/// Why a step is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// Too few copies for the load.
    Load,
    /// Too few copies to outlast the failure that the budget names.
    Redundancy,
    /// Fewer copies than the budget's least.
    Budget,
    /// A copy takes the place of one that is lost or failing.
    Replace,
    /// A copy goes ahead of the VM whose maintenance comes next.
    Surge,
    /// A copy makes room on a VM that carries more than it has.
    Overcommitted,
    /// More copies than load and budget call for.
    Surplus,
    /// The copy fails what it is given, or never answered.
    Failing,
    /// The copy gives way to one of this more urgent service.
    Displaced(ServiceId),
    /// The VM is part of the wave under way.
    Wave,
    /// The VM is due by its pool's days of maintenance.
    Due,
    /// An operator or a rule asked for it.
    Requested,
    /// The VM fails everything that is started on it.
    Unfit,
    /// The pool has no room for copies it needs.
    NoRoom,
    /// The VM goes back to its home pool.
    ReturnHome,
    /// The copy stands on a VM that is leaving its pool.
    LeavingPool,
    /// The step before this one is done.
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

/// One thing to do, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// What to do.
    pub operation: Operation,
    /// Why.
    pub reason: Reason,
}

impl Step {
    /// A step.
    pub fn new(operation: Operation, reason: Reason) -> Self {
        Self { operation, reason }
    }

    /// A line for the audit trail.
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
