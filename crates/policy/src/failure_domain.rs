//! Failure domains, and how many copies survive the loss of one.

use corianderfork_model::Fleet;
use corianderfork_model::arena::Id;
use corianderfork_model::place::VmId;
use corianderfork_model::service::Outlasts;

/// Returns the index of the failure domain of `level` that contains `vm`.
pub(crate) fn domain(fleet: &Fleet, level: Outlasts, vm: VmId) -> usize {
    match level {
        Outlasts::DataCentre => fleet.data_centre_of(vm).index(),
        Outlasts::Rack => fleet.vm(vm).rack.index(),
        _ => vm.index(),
    }
}

/// Returns the next smaller failure. During a failure of the size that a budget
/// covers, its redundancy is in use, and only the next smaller failure can be
/// covered as well.
pub(crate) fn next_smaller(level: Outlasts) -> Outlasts {
    match level {
        Outlasts::DataCentre => Outlasts::Rack,
        Outlasts::Rack => Outlasts::Vm,
        _ => Outlasts::Nothing,
    }
}

/// Returns how many of the copies on `vms` survive the worst failure of `level`.
pub(crate) fn survivors(fleet: &Fleet, level: Outlasts, vms: impl Iterator<Item = VmId>) -> u32 {
    let mut domains: Vec<usize> = vms.map(|vm| domain(fleet, level, vm)).collect();
    if level == Outlasts::Nothing {
        return domains.len() as u32;
    }
    domains.sort_unstable();
    let largest = domains.chunk_by(|a, b| a == b).map(<[usize]>::len).max().unwrap_or(0);
    (domains.len() - largest) as u32
}

/// Returns the smallest number of copies, spread evenly over `domains`, of which
/// `required` survive the loss of one domain. With a single domain no number
/// would do, so this returns `required`.
pub(crate) fn copies_to_survive(required: u32, level: Outlasts, domains: u32) -> u32 {
    if level == Outlasts::Nothing || domains < 2 || required == 0 {
        return required;
    }
    required.saturating_add(required.div_ceil(domains - 1))
}
