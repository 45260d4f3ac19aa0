//! The working state of one decision, updated with each step taken so far.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, Size, VmId};
use corianderfork_model::service::{Outlasts, ServiceId};
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::directive::Directive;
use crate::failure_domain::{domain, next_smaller, survivors};
use crate::sizing::Demand;
use crate::state::State;
use crate::status::vm_status;
pub(crate) use crate::status::{CopyStatus, Placement, UNFIT_FAILED_STARTS, VmStatus};

/// The state and values derived from it for one decision.
pub(crate) struct View<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) state: &'a State,
    pub(crate) directive: &'a Directive,
    pub(crate) config: &'a Config,
    pub(crate) now: Time,
    /// How long copies on a lost VM go unreplaced.
    replace_delay: Duration,
    /// How long a copy is kept after the load last required it.
    pub(crate) hold_time: Duration,
    pub(crate) vm_statuses: Vec<VmStatus>,
    /// The resources of each VM in use by copies.
    pub(crate) used: Vec<Size>,
    /// The estimated size of a copy of each service.
    pub(crate) sizes: Vec<Size>,
    pub(crate) demands: Vec<Demand>,
    /// The copies of each service.
    placements: Vec<Vec<Placement>>,
    /// The VMs of each pool.
    pool_vms: Vec<Vec<VmId>>,
    /// For each pool, the levels at which a whole failure domain is lost.
    failed_levels: Vec<Vec<Outlasts>>,
    /// For each pool, its failure domains at the levels VM, rack and data centre.
    domain_counts: Vec<[u32; 3]>,
}

impl<'a> View<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        state: &'a State,
        directive: &'a Directive,
        config: &'a Config,
        now: Time,
    ) -> Self {
        let services = fleet.services().len();
        let size = |service| state.sizer.size(fleet, service, config);
        let demand = |service| state.sizer.demand(fleet, service, config, now);
        let mut view = Self {
            fleet,
            state,
            directive,
            config,
            now,
            replace_delay: config.replace_delay_for(&fleet.weights),
            hold_time: config.hold_time_for(&fleet.weights),
            vm_statuses: state.vms().map(|(id, vm)| vm_status(fleet, state, id, vm)).collect(),
            used: vec![Size::default(); state.vms().len()],
            sizes: fleet.service_ids().map(size).collect(),
            demands: fleet.service_ids().map(demand).collect(),
            placements: vec![Vec::new(); services],
            pool_vms: vec![Vec::new(); fleet.pools().len()],
            failed_levels: Vec::new(),
            domain_counts: Vec::new(),
        };
        view.ignore_pool_wide_failures();
        view.index_vms_and_copies();
        view.failed_levels = fleet.pool_ids().map(|pool| view.failed_levels(pool)).collect();
        view.domain_counts = fleet.pool_ids().map(|pool| view.count_domains(pool)).collect();
        view
    }

    /// Keeps unfit VMs usable if most VMs of their pool are unfit: the cause is
    /// then not the VMs, and the services' own backoff slows down the retries.
    fn ignore_pool_wide_failures(&mut self) {
        let mut counts = vec![(0, 0); self.pool_vms.len()];
        for (id, vm) in self.state.vms() {
            let (unfit, all) = &mut counts[vm.pool.index()];
            *all += 1;
            *unfit += u32::from(self.vm_statuses[id.index()] == VmStatus::Cordoned);
        }
        for (id, vm) in self.state.vms() {
            let (unfit, all) = counts[vm.pool.index()];
            let status = &mut self.vm_statuses[id.index()];
            if *status == VmStatus::Cordoned && unfit * 2 > all && all > 2 {
                *status = VmStatus::Usable;
            }
        }
    }

    fn index_vms_and_copies(&mut self) {
        for (id, vm) in self.state.vms() {
            self.pool_vms[vm.pool.index()].push(id);
            for copy in &vm.copies {
                let vm_status = self.vm_statuses[id.index()];
                let status = CopyStatus::new(vm_status, vm, copy, self.config, self.now);
                self.add_copy(id, copy.service, status);
            }
        }
    }

    /// Returns the levels at which a failure domain of the pool has lost all its
    /// VMs.
    fn failed_levels(&self, pool: PoolId) -> Vec<Outlasts> {
        let levels = [Outlasts::DataCentre, Outlasts::Rack];
        levels.into_iter().filter(|&level| self.has_failed_domain(pool, level)).collect()
    }

    fn has_failed_domain(&self, pool: PoolId, level: Outlasts) -> bool {
        let mut vms: Vec<(usize, bool)> = self.pool_vms[pool.index()]
            .iter()
            .map(|&vm| {
                (domain(self.fleet, level, vm), self.vm_statuses[vm.index()] == VmStatus::Lost)
            })
            .collect();
        vms.sort_unstable();
        vms.chunk_by(|a, b| a.0 == b.0).any(|domain| domain.iter().all(|&(_, lost)| lost))
    }

    fn count_domains(&self, pool: PoolId) -> [u32; 3] {
        [Outlasts::Vm, Outlasts::Rack, Outlasts::DataCentre].map(|level| {
            let is_present = |&vm: &VmId| {
                !matches!(self.vm_statuses[vm.index()], VmStatus::Lost | VmStatus::OutOfService)
            };
            let vms = self.pool_vms[pool.index()].iter().copied().filter(is_present);
            let mut domains: Vec<usize> = vms.map(|vm| domain(self.fleet, level, vm)).collect();
            domains.sort_unstable();
            domains.dedup();
            domains.len() as u32
        })
    }

    /// Returns the number of failure domains of `level` over which a service of
    /// `pool` can be spread.
    pub(crate) fn domains(&self, pool: PoolId, level: Outlasts) -> u32 {
        let counts = self.domain_counts[pool.index()];
        match level {
            Outlasts::Vm => counts[0],
            Outlasts::Rack => counts[1],
            Outlasts::DataCentre => counts[2],
            _ => 0,
        }
    }

    /// Returns the failure that `service` has to survive now: the one that its
    /// budget names or, while such a failure lasts, the next smaller one.
    pub(crate) fn failure_level(&self, service: ServiceId) -> Outlasts {
        let spec = self.fleet.service(service);
        let covered = spec.budget.outlasts;
        let has_failed = self.failed_levels[spec.pool.index()].contains(&covered);
        if has_failed || self.has_recent_losses(service) { next_smaller(covered) } else { covered }
    }

    /// Whether `service` has copies on lost VMs that are not replaced yet,
    /// because the replacement delay has not passed.
    pub(crate) fn has_recent_losses(&self, service: ServiceId) -> bool {
        let is_recent = |vm: VmId| {
            let lost_since = self.state.vm(vm).lost_since.unwrap_or(self.now);
            self.now - lost_since < self.replace_delay
        };
        let is_lost = |placement: &Placement| {
            matches!(placement.status, CopyStatus::Lost | CopyStatus::LeaseExpired)
        };
        self.placements(service)
            .iter()
            .any(|placement| is_lost(placement) && is_recent(placement.vm))
    }

    pub(crate) fn placements(&self, service: ServiceId) -> &[Placement] {
        &self.placements[service.index()]
    }

    pub(crate) fn pool_vms(&self, pool: PoolId) -> &[VmId] {
        &self.pool_vms[pool.index()]
    }

    pub(crate) fn count_copies(
        &self,
        service: ServiceId,
        matches: impl Fn(&Placement) -> bool,
    ) -> u32 {
        self.placements(service).iter().filter(|placement| matches(placement)).count() as u32
    }

    /// Returns how many of the copies selected by `matches` survive the worst
    /// failure of `level`.
    pub(crate) fn surviving(
        &self,
        service: ServiceId,
        level: Outlasts,
        matches: impl Fn(&Placement) -> bool,
    ) -> u32 {
        let vms = self
            .placements(service)
            .iter()
            .filter(|placement| matches(placement))
            .map(|placement| placement.vm);
        survivors(self.fleet, level, vms)
    }

    /// Returns the number of copies that hold a licence. A copy on a lost VM
    /// holds its licence until it is given up, which happens only after its lease
    /// has expired. Otherwise there would be too many copies once the VM is back.
    pub(crate) fn licensed(&self, service: ServiceId) -> u32 {
        self.placements(service).len() as u32
    }

    /// Whether `vm` has a copy of `service`. There can be only one, as the
    /// platform identifies a task by its VM and service.
    pub(crate) fn has_copy(&self, vm: VmId, service: ServiceId) -> bool {
        self.placements(service).iter().any(|placement| placement.vm == vm)
    }

    /// Whether another copy of `service` fits on `vm`.
    pub(crate) fn fits(&self, vm: VmId, service: ServiceId) -> bool {
        let total = self.used[vm.index()].plus(&self.sizes[service.index()]);
        self.fleet.vm(vm).size.holds(&total)
    }

    /// Adds a copy of `service` on `vm`.
    pub(crate) fn add_copy(&mut self, vm: VmId, service: ServiceId, status: CopyStatus) {
        // The copies of a service that was moved to another pool are replaced
        // one by one.
        let is_foreign = self.state.vm(vm).pool != self.fleet.service(service).pool;
        let leaving = is_foreign || self.vm_statuses[vm.index()] == VmStatus::Cordoned;
        self.placements[service.index()].push(Placement { vm, status, leaving });
        let used = &mut self.used[vm.index()];
        *used = used.plus(&self.sizes[service.index()]);
    }

    /// Marks the copy of `service` on `vm` as stopped. Its room and licence stay
    /// in use until the state no longer contains it: otherwise it could run at
    /// the same time as the copy that takes its place.
    pub(crate) fn mark_stopped(&mut self, vm: VmId, service: ServiceId) {
        for placement in &mut self.placements[service.index()] {
            if placement.vm == vm {
                placement.status = CopyStatus::Failing;
                placement.leaving = true;
            }
        }
    }

    /// Cordons `vm`: it gets no new copies, and its copies need replacements.
    pub(crate) fn cordon(&mut self, vm: VmId) {
        self.vm_statuses[vm.index()] = VmStatus::Cordoned;
        self.update_copies(vm, |placement| placement.leaving = true);
    }

    /// Marks the copy of `service` on `vm` as leaving.
    pub(crate) fn mark_leaving(&mut self, vm: VmId, service: ServiceId) {
        for placement in &mut self.placements[service.index()] {
            placement.leaving |= placement.vm == vm;
        }
    }

    /// Marks the copies of `vm` as warming. The VM gets new copies only once it
    /// serves, as the steps of one decision may be taken in any order.
    pub(crate) fn mark_admitted(&mut self, vm: VmId) {
        self.update_copies(vm, |placement| placement.status = CopyStatus::Warming);
    }

    /// Marks `vm` as drained. With `comes_back`, it returns with its copies.
    pub(crate) fn mark_drained(&mut self, vm: VmId, comes_back: bool) {
        let (vm_status, copy_status) = if comes_back {
            (VmStatus::Maintenance, CopyStatus::Maintenance)
        } else {
            (VmStatus::OutOfService, CopyStatus::Failing)
        };
        self.vm_statuses[vm.index()] = vm_status;
        self.update_copies(vm, |placement| {
            placement.status = copy_status;
            placement.leaving = false;
        });
    }

    fn update_copies(&mut self, vm: VmId, mut change: impl FnMut(&mut Placement)) {
        for copy in &self.state.vm(vm).copies {
            for placement in &mut self.placements[copy.service.index()] {
                if placement.vm == vm {
                    change(placement);
                }
            }
        }
    }

    /// Returns how long ago `then` was.
    pub(crate) fn age(&self, then: Time) -> Duration {
        self.now - then
    }
}
