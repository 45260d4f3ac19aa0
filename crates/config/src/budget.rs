//! Checks that the services' budgets can be met by the fleet.

use std::collections::{HashMap, HashSet};

use corianderfork_model::Fleet;
use corianderfork_model::place::{DataCentreId, PoolId, RackId, Size};
use corianderfork_model::service::{Outlasts, Service};

use crate::diagnostic::{Budget, Kind};
use crate::parse::Declarations;
use crate::sink::{Sink, Span};
use crate::text::Section;

/// VM counts of a pool by size, and the failure domains that the VMs are in.
#[derive(Default)]
struct Capacity {
    vms_by_size: HashMap<Size, u64>,
    racks: HashSet<RackId>,
    data_centres: HashSet<DataCentreId>,
}

impl Capacity {
    fn vms(&self) -> u64 {
        self.vms_by_size.values().sum()
    }

    /// Returns how many copies of `size` the VMs can hold when they are empty.
    fn max_copies(&self, size: &Size) -> u64 {
        self.vms_by_size.iter().fold(0, |copies: u64, (vm, count)| {
            copies.saturating_add(copies_per_vm(vm, size).saturating_mul(*count))
        })
    }

    fn total(&self) -> Total {
        let mut total = Total::default();
        self.vms_by_size.iter().for_each(|(size, count)| total.add(size, *count));
        total
    }
}

/// Returns how many copies of size `copy` one VM of size `vm` can hold.
fn copies_per_vm(vm: &Size, copy: &Size) -> u64 {
    let fits = |available: u64, needed: u64| available.checked_div(needed).unwrap_or(u64::MAX);
    fits(vm.milli_cores.into(), copy.milli_cores.into())
        .min(fits(vm.memory_mib.into(), copy.memory_mib.into()))
        .min(fits(vm.accelerators.into(), copy.accelerators.into()))
}

/// A sum of sizes.
#[derive(Clone, Copy, Default)]
struct Total {
    milli_cores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Total {
    fn add(&mut self, size: &Size, count: u64) {
        self.milli_cores += u64::from(size.milli_cores) * count;
        self.memory_mib += u64::from(size.memory_mib) * count;
        self.accelerators += u64::from(size.accelerators) * count;
    }

    /// Returns the first resource of which `self` needs more than `available` has.
    fn exceeded_resource(&self, available: &Self) -> Option<&'static str> {
        [
            ("cores", self.milli_cores > available.milli_cores),
            ("memory", self.memory_mib > available.memory_mib),
            ("accelerators", self.accelerators > available.accelerators),
        ]
        .into_iter()
        .find_map(|(resource, exceeded)| exceeded.then_some(resource))
    }
}

/// Checks the budgets of all services, pools and teams of the fleet.
pub(crate) fn check(declarations: &Declarations, sections: &[Section<'_>], sink: &mut Sink<'_>) {
    let fleet = &declarations.fleet;
    let mut sections_by_title: HashMap<&str, &Section<'_>> = HashMap::new();
    sections.iter().for_each(|section| {
        sections_by_title.insert(section.title.text, section);
    });
    let mut checker =
        Checker { fleet, sections_by_title, sink, capacities: pool_capacities(fleet) };
    for (_, service) in fleet.services().filter(|(id, _)| declarations.valid_services.contains(id))
    {
        checker.check_copy_counts(service);
        if declarations.racks_valid {
            checker.check_placement(service);
        }
    }
    checker.check_pools(declarations.racks_valid);
    checker.check_teams();
}

fn pool_capacities(fleet: &Fleet) -> HashMap<PoolId, Capacity> {
    let mut capacities: HashMap<PoolId, Capacity> = HashMap::new();
    for (id, vm) in fleet.vms() {
        let capacity = capacities.entry(vm.home).or_default();
        *capacity.vms_by_size.entry(vm.size).or_default() += 1;
        capacity.racks.insert(vm.rack);
        capacity.data_centres.insert(fleet.data_centre_of(id));
    }
    capacities
}

struct Checker<'c, 'a, 's> {
    fleet: &'c Fleet,
    sections_by_title: HashMap<&'c str, &'c Section<'a>>,
    sink: &'c mut Sink<'s>,
    capacities: HashMap<PoolId, Capacity>,
}

impl Checker<'_, '_, '_> {
    fn span(&self, kind: &str, name: &str, key: &str) -> Span {
        let section = self.sections_by_title.get(format!("{kind}.{name}").as_str());
        section.map_or(Span { start: 0, len: 0 }, |section| section.span_of(key))
    }

    fn error(&mut self, service: &Service, key: &str, budget: Budget, help: String) {
        let span = self.span("service", service.name.as_str(), key);
        self.sink.error(span, budget, help);
    }

    /// Checks the numbers of copies and licences against one another.
    fn check_copy_counts(&mut self, service: &Service) {
        let (min, max) = (service.budget.min_copies, service.budget.max_copies);
        let name = || service.name.to_string();
        let licences = service.licences;
        if max > licences {
            let kind = Budget::TooFewLicences { service: name(), copies: max, licences };
            let help = format!("lower `max_copies` to {licences}, or raise `licences`");
            self.error(service, "max_copies", kind, help);
        }
        if min > max {
            let kind = Budget::MinAboveMax { service: name(), min, max };
            let help = format!("lower `min_copies` to {max}, or raise `max_copies`");
            self.error(service, "min_copies", kind, help);
        }
        if max == 1 && service.budget.outlasts != Outlasts::Nothing {
            let help = "raise `max_copies`, or write `outlasts = nothing`".to_owned();
            self.error(service, "outlasts", Budget::SingleCopy { service: name() }, help);
        } else if min == max {
            let span = self.span("service", service.name.as_str(), "min_copies");
            let help = "lower `min_copies`, or raise `max_copies` and `licences`";
            self.sink.warn(span, Budget::FixedCopies { service: name() }, help);
        }
    }

    /// Checks that the service's copies fit on the VMs of its pool.
    fn check_placement(&mut self, service: &Service) {
        let pool = self.fleet.pool(service.pool).name.to_string();
        let name = service.name.to_string();
        let Some(capacity) = self.capacities.get(&service.pool) else {
            let help = format!("add a rack with `pool = {pool}`");
            return self.error(service, "pool", Budget::EmptyPool { service: name, pool }, help);
        };
        let fit = capacity.max_copies(&service.size);
        if fit == 0 {
            let help = "lower the copy's size, or name another pool".to_owned();
            let kind = Budget::CopyTooLarge { service: name, pool };
            return self.error(service, "cores", kind, help);
        }
        let domain = single_domain(capacity, service.budget.outlasts);
        let copies = service.budget.min_copies;
        if u64::from(copies) > fit {
            let kind =
                Budget::CopiesDoNotFit { service: name.clone(), pool: pool.clone(), copies, fit };
            let help = format!("lower `min_copies` to {fit}, or add VMs to the pool");
            self.error(service, "min_copies", kind, help);
        }
        if let Some(domain) = domain {
            let help = format!("add VMs in another {domain}, or outlast a smaller failure");
            let kind = Budget::SingleDomain { service: name, pool, domain };
            self.error(service, "outlasts", kind, help);
        }
    }

    /// Checks that the minimum copies of all services of a pool fit in it together.
    fn check_pools(&mut self, racks_valid: bool) {
        let mut demands: HashMap<PoolId, Total> = HashMap::new();
        for (_, service) in self.fleet.services() {
            let copies = u64::from(service.budget.min_copies);
            demands.entry(service.pool).or_default().add(&service.size, copies);
        }
        for (id, pool) in self.fleet.pools() {
            let name = pool.name.as_str();
            let span = self.span("pool", name, "");
            let Some(demand) = demands.get(&id) else {
                let kind = Kind::Unused { what: "pool", name: name.to_owned() };
                self.sink.warn(span, kind, "remove it, or let a service name it");
                continue;
            };
            let Some(capacity) = self.capacities.get(&id).filter(|_| racks_valid) else { continue };
            if let Some(resource) = demand.exceeded_resource(&capacity.total()) {
                let kind = Budget::PoolTooSmall { pool: name.to_owned(), resource };
                self.sink.error(span, kind, "add VMs to the pool, or lower `min_copies`");
            }
        }
    }

    /// Checks that the minimum copies of all services of a team fit in its quota.
    fn check_teams(&mut self) {
        let mut demands = HashMap::new();
        for (_, service) in self.fleet.services() {
            let Some(team) = service.team else { continue };
            let copies = u64::from(service.budget.min_copies);
            demands.entry(team).or_insert_with(Total::default).add(&service.size, copies);
        }
        for (id, team) in self.fleet.teams() {
            let name = team.name.as_str();
            let span = self.span("team", name, "");
            let Some(demand) = demands.get(&id) else {
                let kind = Kind::Unused { what: "team", name: name.to_owned() };
                self.sink.warn(span, kind, "remove it, or let a service name it");
                continue;
            };
            let mut quota = Total::default();
            quota.add(&team.quota, 1);
            if let Some(resource) = demand.exceeded_resource(&quota) {
                let kind = Budget::QuotaExceeded { team: name.to_owned(), resource };
                self.sink.error(span, kind, "raise the quota, or lower `min_copies`");
            }
        }
    }
}

/// Returns the kind of failure domain that `outlasts` names if all VMs of the
/// pool are in a single one.
fn single_domain(capacity: &Capacity, outlasts: Outlasts) -> Option<&'static str> {
    match outlasts {
        Outlasts::Vm if capacity.vms() == 1 => Some("VM"),
        Outlasts::Rack if capacity.racks.len() == 1 => Some("rack"),
        Outlasts::DataCentre if capacity.data_centres.len() == 1 => Some("data centre"),
        _ => None,
    }
}
