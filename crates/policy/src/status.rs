//! The status of VMs and of the copies on them.

use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::state::{Copy, Phase, Purpose, State, Vm};

/// The number of consecutive failed starts from which a VM counts as unfit.
pub(crate) const UNFIT_FAILED_STARTS: u16 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VmStatus {
    /// Serves and takes new copies.
    Usable,
    /// Serves, but takes no new copies; its copies are to be replaced.
    Cordoned,
    /// In maintenance; comes back with its copies.
    Maintenance,
    /// Out of service; its copies don't come back.
    OutOfService,
    /// Not visible to the platform, or in a failed rack or data centre.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyStatus {
    /// Serves.
    Ready,
    /// Started, but has not answered yet.
    Warming,
    /// On a VM in maintenance; comes back with it.
    Maintenance,
    /// Failing, or on a VM that is out of service.
    Failing,
    /// On a lost VM, where it may still run.
    Lost,
    /// On a lost VM, and its lease has expired.
    LeaseExpired,
}

/// A copy on a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) vm: VmId,
    pub(crate) status: CopyStatus,
    /// Whether it is to be stopped once other copies replace it.
    pub(crate) leaving: bool,
}

impl Placement {
    /// Whether the copy serves or is warming, and is not leaving.
    pub(crate) fn is_staying(&self) -> bool {
        !self.leaving && matches!(self.status, CopyStatus::Ready | CopyStatus::Warming)
    }

    /// Whether the copy serves or is warming, and is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving && matches!(self.status, CopyStatus::Ready | CopyStatus::Warming)
    }

    /// Whether the copy stays, or comes back with its VM.
    pub(crate) fn will_remain(&self) -> bool {
        self.is_staying() || self.status == CopyStatus::Maintenance
    }
}

pub(crate) fn vm_status(fleet: &Fleet, state: &State, id: VmId, vm: &Vm) -> VmStatus {
    let rack = fleet.vm(id).rack;
    let domain_failed = state.failed_racks.contains(&rack)
        || state.failed_data_centres.contains(&fleet.data_centre_of(id));
    match (vm.phase, vm.purpose) {
        _ if vm.lost_since.is_some() || domain_failed => VmStatus::Lost,
        (Phase::Serving, _) if vm.failed_starts >= UNFIT_FAILED_STARTS => VmStatus::Cordoned,
        (Phase::Serving, _) => VmStatus::Usable,
        (Phase::Out, _) => VmStatus::OutOfService,
        (_, Some(Purpose::Maintenance)) => VmStatus::Maintenance,
        _ => VmStatus::OutOfService,
    }
}

impl CopyStatus {
    /// Returns the status of `copy` on `vm`.
    pub(crate) fn new(
        vm_status: VmStatus,
        vm: &Vm,
        copy: &Copy,
        config: &Config,
        now: Time,
    ) -> Self {
        let lost_since = vm.lost_since.unwrap_or(now);
        match vm_status {
            VmStatus::Lost if now - lost_since > config.lease_ttl => Self::LeaseExpired,
            VmStatus::Lost => Self::Lost,
            VmStatus::Maintenance => Self::Maintenance,
            VmStatus::OutOfService => Self::Failing,
            _ if copy.failing => Self::Failing,
            _ if copy.warm => Self::Ready,
            _ if now - copy.since > config.start_timeout => Self::Failing,
            _ => Self::Warming,
        }
    }
}
