//! The progress of a wave: how many VMs have come back, and in which state.

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::periodic;
use crate::state::{Phase, Purpose, Vm};
use crate::view::{View, VmStatus};
use crate::wave::in_progress;

/// A wave halts after this many VMs came back failing, if these are also at
/// least one in `HALT_DIVISOR` of the VMs that came back.
const HALT_FAILURES: u32 = 2;
const HALT_DIVISOR: u32 = 10;

/// Counts of the VMs of a wave by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) in_progress: u32,
    /// VMs lost during maintenance that may still come back.
    pub(crate) lost: u32,
    pub(crate) healthy: u32,
    /// Healthy VMs that have copies, all of which answer.
    pub(crate) proven: u32,
    pub(crate) failing: u32,
}

impl Progress {
    /// Counts the VMs of `pool` that came back in the current wave or, without a
    /// wave, from periodic maintenance in the last day.
    pub(crate) fn new(view: &View<'_>, pool: PoolId) -> Self {
        let order = view.state.wave.as_ref().filter(|order| order.covers(pool));
        let day_ago = Time::from_millis(
            view.now.as_millis().saturating_sub(periodic::DAY.as_millis() as u64),
        );
        let since = order.map_or(day_ago, |order| order.started_at);
        let resumed_at = order.and_then(|order| order.resumed_at).unwrap_or(Time::ZERO);
        let mut progress = Self::default();
        for &vm in view.pool_vms(pool) {
            // An outage that hits VMs during their reboot is no failure of the
            // wave. Counted in, it would use up the wave's width and halt it.
            if view.vm_statuses[vm.index()] != VmStatus::Lost {
                progress.record(view, since, resumed_at, vm);
            } else {
                progress.lost += u32::from(may_return(view, vm));
            }
        }
        progress
    }

    fn record(&mut self, view: &View<'_>, since: Time, resumed_at: Time, id: VmId) {
        let overdue = is_reboot_overdue(view, id);
        let vm = view.state.vm(id);
        self.in_progress += u32::from(in_progress(vm) && !overdue);
        let returned = vm.maintained_at.is_some_and(|then| then >= since);
        let forgiven = vm.maintained_at.is_some_and(|then| then < resumed_at);
        if overdue && in_progress(vm) && vm.since >= since.max(resumed_at) {
            self.failing += 1;
        } else if returned && is_failing(vm) {
            // A VM that was failing before the wave is no failure of the wave.
            let is_new = vm.failing_since.is_none_or(|then| then >= since);
            self.failing += u32::from(is_new && !forgiven);
        } else if returned && vm.phase == Phase::Serving && vm.copies.iter().all(|copy| copy.warm) {
            self.healthy += 1;
            self.proven += u32::from(!vm.copies.is_empty());
        }
    }

    pub(crate) fn add(self, other: Self) -> Self {
        Self {
            in_progress: self.in_progress + other.in_progress,
            lost: self.lost + other.lost,
            healthy: self.healthy + other.healthy,
            proven: self.proven + other.proven,
            failing: self.failing + other.failing,
        }
    }

    /// Whether so many VMs came back failing that the wave has to halt.
    pub(crate) fn should_halt(&self) -> bool {
        self.failing >= HALT_FAILURES && self.failing * HALT_DIVISOR >= self.healthy + self.failing
    }
}

/// Whether a VM was lost during maintenance and may still come back in time.
fn may_return(view: &View<'_>, id: VmId) -> bool {
    let vm = view.state.vm(id);
    in_progress(vm) && view.age(vm.since) <= view.config.reboot_timeout
}

/// Whether `vm` has not come back from its reboot within the timeout.
pub(crate) fn is_reboot_overdue(view: &View<'_>, id: VmId) -> bool {
    let vm = view.state.vm(id);
    vm.phase == Phase::Rebooting
        && view.vm_statuses[id.index()] != VmStatus::Lost
        && view.age(vm.since) > view.config.reboot_timeout
        && vm.maintained_at.is_none_or(|then| then < vm.since)
}

/// Whether starts fail on `vm`, all of its copies fail, or it was taken out.
pub(crate) fn is_failing(vm: &Vm) -> bool {
    let has_copies = !vm.copies.is_empty();
    vm.phase == Phase::Out
        || vm.failed_starts > 0
        || vm.purpose == Some(Purpose::Unfit)
        || (has_copies && vm.copies.iter().all(|copy| copy.failing))
}
