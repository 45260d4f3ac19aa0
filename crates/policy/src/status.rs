//! What can be expected of a VM, and of a copy on it.

use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::state::{Copy, Phase, Purpose, State, Vm};

/// Starts that fail on a VM in a row before it counts as unfit.
pub(crate) const UNFIT: u16 = 2;

/// What can be expected of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Host {
    /// It takes copies.
    Usable,
    /// It serves, but is to be left: it takes no further copies.
    Closing,
    /// It is maintained and comes back with its copies.
    Away,
    /// It is out of service and its copies don't come back.
    Gone,
    /// Nobody sees it.
    Lost,
}

/// What can be expected of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It serves.
    Able,
    /// It was started and hasn't answered yet.
    Warming,
    /// It comes back with its VM.
    Away,
    /// It fails, or is on a VM that is gone.
    Failing,
    /// Nobody sees its VM, but it may still run there.
    Lost,
    /// Nobody sees its VM, and its lease has lapsed.
    Lapsed,
}

/// A copy on a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) vm: VmId,
    pub(crate) standing: Standing,
    /// Whether it is to be left once others serve in its place.
    pub(crate) leaving: bool,
}

impl Place {
    /// Whether it serves or soon will, and stays.
    pub(crate) fn stays(&self) -> bool {
        !self.leaving && matches!(self.standing, Standing::Able | Standing::Warming)
    }

    /// Whether it serves or soon will, and is about to leave.
    pub(crate) fn leaves(&self) -> bool {
        self.leaving && matches!(self.standing, Standing::Able | Standing::Warming)
    }

    /// Whether it stays, or comes back with its VM.
    pub(crate) fn remains(&self) -> bool {
        self.stays() || self.standing == Standing::Away
    }
}

/// What can be expected of `vm`.
pub(crate) fn host(fleet: &Fleet, state: &State, id: VmId, vm: &Vm) -> Host {
    let rack = fleet.vm(id).rack;
    let domain_failed = state.failed_racks.contains(&rack)
        || state.failed_data_centres.contains(&fleet.data_centre_of(id));
    match (vm.phase, vm.purpose) {
        _ if vm.lost_since.is_some() || domain_failed => Host::Lost,
        (Phase::Serving, _) if vm.failed_starts >= UNFIT => Host::Closing,
        (Phase::Serving, _) => Host::Usable,
        (Phase::Out, _) => Host::Gone,
        (_, Some(Purpose::Maintenance)) => Host::Away,
        _ => Host::Gone,
    }
}

impl Standing {
    /// What can be expected of `copy` on `vm`.
    pub(crate) fn new(host: Host, vm: &Vm, copy: &Copy, config: &Config, now: Time) -> Self {
        let lost = vm.lost_since.unwrap_or(now);
        match host {
            Host::Lost if now - lost > config.lease_ttl => Self::Lapsed,
            Host::Lost => Self::Lost,
            Host::Away => Self::Away,
            Host::Gone => Self::Failing,
            _ if copy.failing => Self::Failing,
            _ if copy.warm => Self::Able,
            _ if now - copy.since > config.start_timeout => Self::Failing,
            _ => Self::Warming,
        }
    }
}
