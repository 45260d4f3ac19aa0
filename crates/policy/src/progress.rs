//! How the VMs of a wave have come back.

use corianderfork_model::Time;
use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, VmId};

use crate::periodic;
use crate::state::{Phase, Purpose, Vm};
use crate::view::{Host, View};
use crate::wave::under_way;

/// VMs that come back failing before a wave halts, if they are also at least
/// one in `HALT_SHARE` of those that came back.
const HALT: u32 = 2;
const HALT_SHARE: u32 = 10;
/// How the VMs of a wave have come back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) under_way: u32,
    /// Those that went out of sight while they were maintained, and may be back yet.
    pub(crate) lost: u32,
    pub(crate) well: u32,
    /// Those of the well ones on which copies answer.
    pub(crate) proven: u32,
    pub(crate) failing: u32,
}

impl Tally {
    /// How the VMs of `pool` have come back from the wave under way, or from
    /// what was due in the last day.
    pub(crate) fn new(view: &View<'_>, pool: PoolId) -> Self {
        let order = view.state.wave.as_ref().filter(|order| order.covers(pool));
        let day_ago = Time::from_millis(
            view.now.as_millis().saturating_sub(periodic::DAY.as_millis() as u64),
        );
        let since = order.map_or(day_ago, |order| order.started_at);
        let resumed_at = order.and_then(|order| order.resumed_at).unwrap_or(Time::ZERO);
        let mut tally = Self::default();
        for &vm in view.pool(pool) {
            // An outage that hits VMs while they reboot says nothing of the
            // wave; without this it would take up its width, and halt it.
            if view.hosts[vm.index()] != Host::Lost {
                tally.see(view, since, resumed_at, vm);
            } else {
                tally.lost += u32::from(may_be_back(view, vm));
            }
        }
        tally
    }

    fn see(&mut self, view: &View<'_>, since: Time, resumed_at: Time, id: VmId) {
        let late = is_late(view, id);
        let vm = view.state.vm(id);
        self.under_way += u32::from(under_way(vm) && !late);
        let back = vm.maintained_at.is_some_and(|then| then >= since);
        let forgiven = vm.maintained_at.is_some_and(|then| then < resumed_at);
        if late && under_way(vm) && vm.since >= since.max(resumed_at) {
            self.failing += 1;
        } else if back && fails(vm) {
            // One that failed before the wave says nothing about it.
            let news = vm.failing_since.is_none_or(|then| then >= since);
            self.failing += u32::from(news && !forgiven);
        } else if back && vm.phase == Phase::Serving && vm.copies.iter().all(|copy| copy.warm) {
            self.well += 1;
            self.proven += u32::from(!vm.copies.is_empty());
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            under_way: self.under_way + other.under_way,
            lost: self.lost + other.lost,
            well: self.well + other.well,
            proven: self.proven + other.proven,
            failing: self.failing + other.failing,
        }
    }

    pub(crate) fn halts(&self) -> bool {
        self.failing >= HALT && self.failing * HALT_SHARE >= self.well + self.failing
    }
}

/// Whether a lost VM that is being maintained may still be back from that.
fn may_be_back(view: &View<'_>, id: VmId) -> bool {
    let vm = view.state.vm(id);
    under_way(vm) && view.age(vm.since) <= view.config.reboot_timeout
}

/// Whether `vm` isn't back from its reboot although it should be.
pub(crate) fn is_late(view: &View<'_>, id: VmId) -> bool {
    let vm = view.state.vm(id);
    vm.phase == Phase::Rebooting
        && view.hosts[id.index()] != Host::Lost
        && view.age(vm.since) > view.config.reboot_timeout
        && vm.maintained_at.is_none_or(|then| then < vm.since)
}

pub(crate) fn fails(vm: &Vm) -> bool {
    let tried = !vm.copies.is_empty();
    vm.phase == Phase::Out
        || vm.failed_starts > 0
        || vm.purpose == Some(Purpose::Unfit)
        || (tried && vm.copies.iter().all(|copy| copy.failing))
}
