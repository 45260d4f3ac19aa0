//! The state as one decision works on it, with each choice already taken
//! marked in it.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::{PoolId, Size, VmId};
use corianderfork_model::service::{Outlasts, ServiceId};
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::directive::Directive;
use crate::failure_domain::{domain, lowered, survivors};
use crate::sizing::Demand;
use crate::state::State;
use crate::status::host;
pub(crate) use crate::status::{Host, Place, Standing, UNFIT};

/// A state, seen for one decision.
pub(crate) struct View<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) state: &'a State,
    pub(crate) directive: &'a Directive,
    pub(crate) config: &'a Config,
    pub(crate) now: Time,
    /// How long a lost VM is waited for.
    replace_delay: Duration,
    /// How long a copy is held that the load no longer calls for.
    pub(crate) hold_time: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) used: Vec<Size>,
    pub(crate) sizes: Vec<Size>,
    pub(crate) demands: Vec<Demand>,
    places: Vec<Vec<Place>>,
    pools: Vec<Vec<VmId>>,
    failed: Vec<Vec<Outlasts>>,
    domains: Vec<[u32; 3]>,
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
            hosts: state.vms().map(|(id, vm)| host(fleet, state, id, vm)).collect(),
            used: vec![Size::default(); state.vms().len()],
            sizes: fleet.service_ids().map(size).collect(),
            demands: fleet.service_ids().map(demand).collect(),
            places: vec![Vec::new(); services],
            pools: vec![Vec::new(); fleet.pools().len()],
            failed: Vec::new(),
            domains: Vec::new(),
        };
        view.trust();
        view.fill();
        view.failed = fleet.pool_ids().map(|pool| view.failures(pool)).collect();
        view.domains = fleet.pool_ids().map(|pool| view.count_domains(pool)).collect();
        view
    }

    /// Where most VMs of a pool fail what is started on them, the fault is not
    /// theirs: they stay usable, and the services' own backoff slows the tries.
    fn trust(&mut self) {
        let mut closing = vec![(0, 0); self.pools.len()];
        for (id, vm) in self.state.vms() {
            let (unfit, all) = &mut closing[vm.pool.index()];
            *all += 1;
            *unfit += u32::from(self.hosts[id.index()] == Host::Closing);
        }
        for (id, vm) in self.state.vms() {
            let (unfit, all) = closing[vm.pool.index()];
            let host = &mut self.hosts[id.index()];
            if *host == Host::Closing && unfit * 2 > all && all > 2 {
                *host = Host::Usable;
            }
        }
    }

    fn fill(&mut self) {
        for (id, vm) in self.state.vms() {
            self.pools[vm.pool.index()].push(id);
            for copy in &vm.copies {
                let host = self.hosts[id.index()];
                let standing = Standing::new(host, vm, copy, self.config, self.now);
                self.add(id, copy.service, standing);
            }
        }
    }

    /// The failures that have happened to a pool whole: a level of which one
    /// domain has lost all its VMs.
    fn failures(&self, pool: PoolId) -> Vec<Outlasts> {
        let all = [Outlasts::DataCentre, Outlasts::Rack];
        all.into_iter().filter(|&level| self.has_failed(pool, level)).collect()
    }

    fn has_failed(&self, pool: PoolId, level: Outlasts) -> bool {
        let mut vms: Vec<(usize, bool)> = self.pools[pool.index()]
            .iter()
            .map(|&vm| (domain(self.fleet, level, vm), self.hosts[vm.index()] == Host::Lost))
            .collect();
        vms.sort_unstable();
        vms.chunk_by(|a, b| a.0 == b.0).any(|domain| domain.iter().all(|&(_, lost)| lost))
    }

    fn count_domains(&self, pool: PoolId) -> [u32; 3] {
        [Outlasts::Vm, Outlasts::Rack, Outlasts::DataCentre].map(|level| {
            let here = |&vm: &VmId| !matches!(self.hosts[vm.index()], Host::Lost | Host::Gone);
            let vms = self.pools[pool.index()].iter().copied().filter(here);
            let mut domains: Vec<usize> = vms.map(|vm| domain(self.fleet, level, vm)).collect();
            domains.sort_unstable();
            domains.dedup();
            domains.len() as u32
        })
    }

    /// The domains of `level` over which a service of `pool` can be spread.
    pub(crate) fn domains(&self, pool: PoolId, level: Outlasts) -> u32 {
        let counts = self.domains[pool.index()];
        match level {
            Outlasts::Vm => counts[0],
            Outlasts::Rack => counts[1],
            Outlasts::DataCentre => counts[2],
            _ => 0,
        }
    }

    /// The failure that `service` has to outlast now.
    pub(crate) fn level(&self, service: ServiceId) -> Outlasts {
        let row = self.fleet.service(service);
        let named = row.budget.outlasts;
        let failed = self.failed[row.pool.index()].contains(&named);
        if failed || self.lost_lately(service) { lowered(named) } else { named }
    }

    /// Whether `service` has copies on VMs that were lost so lately that they
    /// are still waited for.
    pub(crate) fn lost_lately(&self, service: ServiceId) -> bool {
        let lately = |vm: VmId| {
            let lost = self.state.vm(vm).lost_since.unwrap_or(self.now);
            self.now - lost < self.replace_delay
        };
        let lost = |place: &Place| matches!(place.standing, Standing::Lost | Standing::Lapsed);
        self.places(service).iter().any(|place| lost(place) && lately(place.vm))
    }

    pub(crate) fn places(&self, service: ServiceId) -> &[Place] {
        &self.places[service.index()]
    }

    pub(crate) fn pool(&self, pool: PoolId) -> &[VmId] {
        &self.pools[pool.index()]
    }

    pub(crate) fn count(&self, service: ServiceId, counts: impl Fn(&Place) -> bool) -> u32 {
        self.places(service).iter().filter(|place| counts(place)).count() as u32
    }

    /// How many of those copies that `counts` are left after the worst
    /// failure of `level`.
    pub(crate) fn left(
        &self,
        service: ServiceId,
        level: Outlasts,
        counts: impl Fn(&Place) -> bool,
    ) -> u32 {
        let vms = self.places(service).iter().filter(|place| counts(place)).map(|place| place.vm);
        survivors(self.fleet, level, vms)
    }

    /// Copies that hold a licence. One on a lost VM holds it until it is given
    /// up, and that only after its lease has lapsed: were it left out of the
    /// count, it would be one too many on the day its VM comes back.
    pub(crate) fn licensed(&self, service: ServiceId) -> u32 {
        self.places(service).len() as u32
    }

    /// Whether `vm` carries a copy of `service` already; the platform knows a
    /// task by its VM and service.
    pub(crate) fn carries(&self, vm: VmId, service: ServiceId) -> bool {
        self.places(service).iter().any(|place| place.vm == vm)
    }

    /// Whether a copy of `service` fits beside what `vm` carries.
    pub(crate) fn fits(&self, vm: VmId, service: ServiceId) -> bool {
        let total = self.used[vm.index()].plus(&self.sizes[service.index()]);
        self.fleet.vm(vm).size.holds(&total)
    }

    pub(crate) fn add(&mut self, vm: VmId, service: ServiceId, standing: Standing) {
        // A service that was given to another pool follows it copy by copy.
        let strange = self.state.vm(vm).pool != self.fleet.service(service).pool;
        let leaving = strange || self.hosts[vm.index()] == Host::Closing;
        self.places[service.index()].push(Place { vm, standing, leaving });
        let used = &mut self.used[vm.index()];
        *used = used.plus(&self.sizes[service.index()]);
    }

    /// Forgets the copy of `service` on `vm`, as a stop was decided. Its room
    /// and licence stay taken until it is gone from the state: were they given
    /// away at once, both copies would run for a while.
    pub(crate) fn stop(&mut self, vm: VmId, service: ServiceId) {
        for place in &mut self.places[service.index()] {
            if place.vm == vm {
                place.standing = Standing::Failing;
                place.leaving = true;
            }
        }
    }

    /// Marks `vm` as one to be left: its copies want others in their place.
    pub(crate) fn close(&mut self, vm: VmId) {
        self.hosts[vm.index()] = Host::Closing;
        self.mark(vm, |place| place.leaving = true);
    }

    /// Marks one copy as one to be left.
    pub(crate) fn leave(&mut self, vm: VmId, service: ServiceId) {
        for place in &mut self.places[service.index()] {
            place.leaving |= place.vm == vm;
        }
    }

    /// Marks the copies of `vm` as started again. It takes others only once it
    /// serves: the steps of one decision may be taken in any order.
    pub(crate) fn admitted(&mut self, vm: VmId) {
        self.mark(vm, |place| place.standing = Standing::Warming);
    }

    /// Marks `vm` as drained from now on.
    pub(crate) fn drained(&mut self, vm: VmId, comes_back: bool) {
        let (host, standing) =
            if comes_back { (Host::Away, Standing::Away) } else { (Host::Gone, Standing::Failing) };
        self.hosts[vm.index()] = host;
        self.mark(vm, |place| {
            place.standing = standing;
            place.leaving = false;
        });
    }

    fn mark(&mut self, vm: VmId, mut change: impl FnMut(&mut Place)) {
        for copy in &self.state.vm(vm).copies {
            for place in &mut self.places[copy.service.index()] {
                if place.vm == vm {
                    change(place);
                }
            }
        }
    }

    /// How long ago `then` was.
    pub(crate) fn age(&self, then: Time) -> Duration {
        self.now - then
    }
}
