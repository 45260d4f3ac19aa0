//! Messages of a decision for operators.

use corianderfork_model::Time;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::{ServiceId, TeamId};

/// Why no copy of a service can ever run with the current configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Unschedulable {
    /// Its pool has no VM.
    #[error("its pool has no VM; add one to the pool or let another pool lend")]
    EmptyPool,
    /// No VM of its pool has enough cores for a copy.
    #[error(
        "no VM of its pool has the cores a copy needs; declare a smaller size or add larger VMs"
    )]
    Cores,
    /// No VM of its pool has enough memory for a copy.
    #[error(
        "no VM of its pool has the memory a copy needs; declare a smaller size or add larger VMs"
    )]
    Memory,
    /// No VM of its pool has enough accelerators for a copy.
    #[error("no VM of its pool has the accelerators a copy needs; add VMs that have them")]
    Accelerators,
    /// No single VM has enough of all three resources for a copy.
    #[error("no VM of its pool has cores, memory and accelerators together; add larger VMs")]
    Combined,
    /// It has no licence.
    #[error("it has no licence; raise `licences` to at least 1")]
    Licences,
    /// Its budget allows no copies.
    #[error("its budget allows no copy; raise `max_copies` to at least 1")]
    Budget,
    /// One copy exceeds its team's quota.
    #[error("one copy is larger than its team's quota; raise the quota")]
    Quota,
    /// A copy has no request slot.
    #[error("a copy has no slot; raise `slots` to at least 1")]
    Slots,
}

/// A message for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Note {
    /// No copy of the service can ever run.
    Unschedulable {
        /// The service.
        service: ServiceId,
        /// The reason.
        reason: Unschedulable,
    },
    /// Starts of the service keep failing and back off.
    Backoff {
        /// The service.
        service: ServiceId,
        /// The number of consecutive failed starts.
        failed: u16,
        /// When the next start may be attempted.
        next: Time,
    },
    /// The budget's minimum exceeds its maximum or the licences.
    ConflictingLimits {
        /// The service.
        service: ServiceId,
        /// The budget's minimum number of copies.
        min: u32,
        /// The maximum number of copies that budget and licences allow.
        max: u32,
    },
    /// Fewer copies run than the target, as all licences are in use.
    Licences {
        /// The service.
        service: ServiceId,
        /// The number of missing copies.
        missing: u32,
    },
    /// Fewer copies run than the target, as the pool has no room.
    NoRoom {
        /// The service.
        service: ServiceId,
        /// The number of missing copies.
        missing: u32,
    },
    /// Fewer copies run than the target, as the team's quota is used up.
    Quota {
        /// The service.
        service: ServiceId,
        /// The team.
        team: TeamId,
    },
    /// Too few copies would survive the failure that the budget covers.
    Uncovered {
        /// The service.
        service: ServiceId,
        /// The number of copies that would be missing.
        missing: u32,
    },
    /// There is no recent report of the service's load, so no copies are stopped.
    StaleLoad {
        /// The service.
        service: ServiceId,
    },
    /// Every start on the VM fails.
    Unfit {
        /// The VM.
        vm: VmId,
    },
    /// Maintenance is halted, as VMs came back failing.
    Halted {
        /// The number of VMs that came back failing, or not at all.
        failing: u32,
        /// The number of VMs that came back healthy, plus `failing`.
        back: u32,
    },
    /// The VM has not come back from its reboot within the timeout.
    NotBack {
        /// The VM.
        vm: VmId,
    },
    /// A drain is blocked by a service's budget.
    WaitsForBudget {
        /// The first service whose budget does not allow the drain.
        service: ServiceId,
    },
    /// VMs of the pool are overdue for periodic maintenance.
    Overdue {
        /// The pool.
        pool: PoolId,
        /// The number of overdue VMs.
        vms: u32,
    },
}
