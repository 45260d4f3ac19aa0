//! Whether a service outlasts the failure that its budget names.

use corianderfork_model::Fleet;
use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::Outlasts;

/// The index of the failure domain of `level` in which `vm` stands.
pub(crate) fn domain(fleet: &Fleet, level: Outlasts, vm: VmId) -> usize {
    match level {
        Outlasts::DataCentre => fleet.data_centre_of(vm).index(),
        Outlasts::Rack => fleet.vm(vm).rack.index(),
        _ => vm.index(),
    }
}

/// The next smaller failure. While one of the size that a budget names is
/// there, the headroom for it is in use; what is held beside it covers the
/// next smaller one.
pub(crate) fn lowered(level: Outlasts) -> Outlasts {
    match level {
        Outlasts::DataCentre => Outlasts::Rack,
        Outlasts::Rack => Outlasts::Vm,
        _ => Outlasts::Nothing,
    }
}

/// How many of the copies on `vms` are left after the worst failure of
/// `level`.
pub(crate) fn survivors(fleet: &Fleet, level: Outlasts, vms: impl Iterator<Item = VmId>) -> u32 {
    let mut domains: Vec<usize> = vms.map(|vm| domain(fleet, level, vm)).collect();
    if level == Outlasts::Nothing {
        return domains.len() as u32;
    }
    domains.sort_unstable();
    let worst = domains.chunk_by(|a, b| a == b).map(<[usize]>::len).max().unwrap_or(0);
    (domains.len() - worst) as u32
}

/// The fewest copies of which `need` are left when the largest of `domains`
/// equal shares is lost. With a single domain nothing helps.
pub(crate) fn spread(need: u32, level: Outlasts, domains: u32) -> u32 {
    if level == Outlasts::Nothing || domains < 2 || need == 0 {
        return need;
    }
    need.saturating_add(need.div_ceil(domains - 1))
}
