//! What a decision has to say to operators beside its steps.

use corianderfork_model::Time;
use corianderfork_model::place::{PoolId, VmId};
use corianderfork_model::service::{ServiceId, TeamId};

/// Why no copy of a service can ever run as things are configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[non_exhaustive]
pub enum Unschedulable {
    /// Its pool has no VM at all.
    #[error("its pool has no VM; add one to the pool or let another pool lend")]
    EmptyPool,
    /// No VM of its pool has the processor time that a copy needs.
    #[error(
        "no VM of its pool has the cores a copy needs; declare a smaller size or add larger VMs"
    )]
    Cores,
    /// No VM of its pool has the memory that a copy needs.
    #[error(
        "no VM of its pool has the memory a copy needs; declare a smaller size or add larger VMs"
    )]
    Memory,
    /// No VM of its pool has the accelerators that a copy needs.
    #[error("no VM of its pool has the accelerators a copy needs; add VMs that have them")]
    Accelerators,
    /// No VM has all that a copy needs at once.
    #[error("no VM of its pool has cores, memory and accelerators together; add larger VMs")]
    Combined,
    /// There is no licence for one copy.
    #[error("it has no licence; raise `licences` to at least 1")]
    Licences,
    /// Its budget allows no copy.
    #[error("its budget allows no copy; raise `max_copies` to at least 1")]
    Budget,
    /// One copy is larger than its team's quota.
    #[error("one copy is larger than its team's quota; raise the quota")]
    Quota,
    /// A copy takes no request at all.
    #[error("a copy has no slot; raise `slots` to at least 1")]
    Slots,
}

/// Something operators should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Note {
    /// No copy of the service can ever run.
    Unschedulable {
        /// The service.
        service: ServiceId,
        /// Why.
        reason: Unschedulable,
    },
    /// Starts of the service keep failing; the next try is at `next`.
    Backoff {
        /// The service.
        service: ServiceId,
        /// Starts that failed in a row.
        failed: u16,
        /// When a start is tried again.
        next: Time,
    },
    /// The budget's least copies are more than its most or its licences.
    ConflictingLimits {
        /// The service.
        service: ServiceId,
        /// The least copies the budget asks for.
        min: u32,
        /// The copies that can be had.
        max: u32,
    },
    /// Fewer copies than asked for: licences end here.
    Licences {
        /// The service.
        service: ServiceId,
        /// Copies missing.
        missing: u32,
    },
    /// Fewer copies than asked for: there is no room in the pool.
    NoRoom {
        /// The service.
        service: ServiceId,
        /// Copies missing.
        missing: u32,
    },
    /// Fewer copies than asked for: the team's quota ends here.
    Quota {
        /// The service.
        service: ServiceId,
        /// The team.
        team: TeamId,
    },
    /// The failure that the budget names would leave too few copies.
    Uncovered {
        /// The service.
        service: ServiceId,
        /// Copies that would be missing.
        missing: u32,
    },
    /// No report of the service's load is fresh: copies are held.
    StaleLoad {
        /// The service.
        service: ServiceId,
    },
    /// The VM fails everything that is started on it.
    Unfit {
        /// The VM.
        vm: VmId,
    },
    /// Maintenance is halted: what came back fails.
    Halted {
        /// VMs of the wave that came back failing, or not at all.
        failing: u32,
        /// VMs of the wave that are back.
        back: u32,
    },
    /// The VM was told to reboot and isn't back after the longest time that a
    /// reboot may take.
    NotBack {
        /// The VM.
        vm: VmId,
    },
    /// Maintenance waits for this service's budget.
    WaitsForBudget {
        /// The first service whose budget has no room for the next VM.
        service: ServiceId,
    },
    /// VMs of the pool will not be maintained in time.
    Overdue {
        /// The pool.
        pool: PoolId,
        /// VMs past their day.
        vms: u32,
    },
}
