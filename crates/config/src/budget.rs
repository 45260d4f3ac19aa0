//! Budgets that cannot be kept, found before they are accepted.

use std::collections::{HashMap, HashSet};

use corianderfork_model::Fleet;
use corianderfork_model::place::{DataCentreId, PoolId, RackId, Size};
use corianderfork_model::service::{Outlasts, Service};

use crate::diagnostic::{Budget, Kind};
use crate::parse::Declared;
use crate::sink::{Sink, Span};
use crate::text::Section;

/// A pool's VMs by size, and how many failure domains they stand in.
#[derive(Default)]
struct Room {
    sizes: HashMap<Size, u64>,
    racks: HashSet<RackId>,
    data_centres: HashSet<DataCentreId>,
}

impl Room {
    fn vms(&self) -> u64 {
        self.sizes.values().sum()
    }

    /// How many copies of `size` the VMs hold, were they empty.
    fn copies(&self, size: &Size) -> u64 {
        self.sizes.iter().fold(0, |copies: u64, (vm, count)| {
            copies.saturating_add(per_vm(vm, size).saturating_mul(*count))
        })
    }

    fn total(&self) -> Total {
        let mut total = Total::default();
        self.sizes.iter().for_each(|(size, count)| total.add(size, *count));
        total
    }
}

fn per_vm(vm: &Size, copy: &Size) -> u64 {
    let times = |has: u64, needs: u64| has.checked_div(needs).unwrap_or(u64::MAX);
    times(vm.milli_cores.into(), copy.milli_cores.into())
        .min(times(vm.memory_mib.into(), copy.memory_mib.into()))
        .min(times(vm.accelerators.into(), copy.accelerators.into()))
}

/// Sizes added up.
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

    /// What `room` is short of for this.
    fn exceeds(&self, room: &Self) -> Option<&'static str> {
        [
            ("cores", self.milli_cores > room.milli_cores),
            ("memory", self.memory_mib > room.memory_mib),
            ("accelerators", self.accelerators > room.accelerators),
        ]
        .into_iter()
        .find_map(|(what, short)| short.then_some(what))
    }
}

/// Checks the budget of every service of `fleet`.
pub(crate) fn check(declared: &Declared, sections: &[Section<'_>], sink: &mut Sink<'_>) {
    let fleet = &declared.fleet;
    let mut titles: HashMap<&str, &Section<'_>> = HashMap::new();
    sections.iter().for_each(|section| {
        titles.insert(section.title.text, section);
    });
    let mut check = Check { fleet, titles, sink, rooms: rooms(fleet) };
    for (_, service) in fleet.services().filter(|(id, _)| declared.sound.contains(id)) {
        check.counts(service);
        if declared.racks_sound {
            check.places(service);
        }
    }
    check.pools(declared.racks_sound);
    check.teams();
}

fn rooms(fleet: &Fleet) -> HashMap<PoolId, Room> {
    let mut rooms: HashMap<PoolId, Room> = HashMap::new();
    for (id, vm) in fleet.vms() {
        let room = rooms.entry(vm.home).or_default();
        *room.sizes.entry(vm.size).or_default() += 1;
        room.racks.insert(vm.rack);
        room.data_centres.insert(fleet.data_centre_of(id));
    }
    rooms
}

struct Check<'c, 'a, 's> {
    fleet: &'c Fleet,
    titles: HashMap<&'c str, &'c Section<'a>>,
    sink: &'c mut Sink<'s>,
    rooms: HashMap<PoolId, Room>,
}

impl Check<'_, '_, '_> {
    fn span(&self, kind: &str, name: &str, key: &str) -> Span {
        let section = self.titles.get(format!("{kind}.{name}").as_str());
        section.map_or(Span { start: 0, len: 0 }, |section| section.span_of(key))
    }

    fn refuse(&mut self, service: &Service, key: &str, budget: Budget, help: String) {
        let at = self.span("service", service.name.as_str(), key);
        self.sink.error(at, budget, help);
    }

    /// The numbers of copies against one another.
    fn counts(&mut self, service: &Service) {
        let (min, max) = (service.budget.min_copies, service.budget.max_copies);
        let name = || service.name.to_string();
        let licences = service.licences;
        if max > licences {
            let kind = Budget::Licences { service: name(), copies: max, licences };
            let help = format!("lower `max_copies` to {licences}, or raise `licences`");
            self.refuse(service, "max_copies", kind, help);
        }
        if min > max {
            let kind = Budget::MinAboveMax { service: name(), min, max };
            let help = format!("lower `min_copies` to {max}, or raise `max_copies`");
            self.refuse(service, "min_copies", kind, help);
        }
        if max == 1 && service.budget.outlasts != Outlasts::Nothing {
            let help = "raise `max_copies`, or write `outlasts = nothing`".to_owned();
            self.refuse(service, "outlasts", Budget::OneCopy { service: name() }, help);
        } else if min == max {
            let at = self.span("service", service.name.as_str(), "min_copies");
            let help = "lower `min_copies`, or raise `max_copies` and `licences`";
            self.sink.warn(at, Budget::Pinned { service: name() }, help);
        }
    }

    /// The copies against the VMs of the pool.
    fn places(&mut self, service: &Service) {
        let pool = self.fleet.pool(service.pool).name.to_string();
        let name = service.name.to_string();
        let Some(room) = self.rooms.get(&service.pool) else {
            let help = format!("add a rack with `pool = {pool}`");
            return self.refuse(service, "pool", Budget::NoVm { service: name, pool }, help);
        };
        let fit = room.copies(&service.size);
        if fit == 0 {
            let help = "lower the copy's size, or name another pool".to_owned();
            let kind = Budget::CopyTooLarge { service: name, pool };
            return self.refuse(service, "cores", kind, help);
        }
        let one_domain = one_domain(room, service.budget.outlasts);
        let copies = service.budget.min_copies;
        if u64::from(copies) > fit {
            let kind =
                Budget::TooFewPlaces { service: name.clone(), pool: pool.clone(), copies, fit };
            let help = format!("lower `min_copies` to {fit}, or add VMs to the pool");
            self.refuse(service, "min_copies", kind, help);
        }
        if let Some(domain) = one_domain {
            let help = format!("add VMs in another {domain}, or outlast a smaller failure");
            let kind = Budget::OneDomain { service: name, pool, domain };
            self.refuse(service, "outlasts", kind, help);
        }
    }

    /// The least copies of all services of a pool, together.
    fn pools(&mut self, racks_sound: bool) {
        let mut needs: HashMap<PoolId, Total> = HashMap::new();
        for (_, service) in self.fleet.services() {
            let copies = u64::from(service.budget.min_copies);
            needs.entry(service.pool).or_default().add(&service.size, copies);
        }
        for (id, pool) in self.fleet.pools() {
            let name = pool.name.as_str();
            let at = self.span("pool", name, "");
            let Some(need) = needs.get(&id) else {
                let kind = Kind::Unused { what: "pool", name: name.to_owned() };
                self.sink.warn(at, kind, "remove it, or let a service name it");
                continue;
            };
            let Some(room) = self.rooms.get(&id).filter(|_| racks_sound) else { continue };
            if let Some(what) = need.exceeds(&room.total()) {
                let kind = Budget::PoolTooSmall { pool: name.to_owned(), what };
                self.sink.error(at, kind, "add VMs to the pool, or lower `min_copies`");
            }
        }
    }

    fn teams(&mut self) {
        let mut needs = HashMap::new();
        for (_, service) in self.fleet.services() {
            let Some(team) = service.team else { continue };
            let copies = u64::from(service.budget.min_copies);
            needs.entry(team).or_insert_with(Total::default).add(&service.size, copies);
        }
        for (id, team) in self.fleet.teams() {
            let name = team.name.as_str();
            let at = self.span("team", name, "");
            let Some(need) = needs.get(&id) else {
                let kind = Kind::Unused { what: "team", name: name.to_owned() };
                self.sink.warn(at, kind, "remove it, or let a service name it");
                continue;
            };
            let mut quota = Total::default();
            quota.add(&team.quota, 1);
            if let Some(what) = need.exceeds(&quota) {
                let kind = Budget::Quota { team: name.to_owned(), what };
                self.sink.error(at, kind, "raise the quota, or lower `min_copies`");
            }
        }
    }
}

/// The kind of domain that `outlasts` names, if the pool stands in one only.
fn one_domain(room: &Room, outlasts: Outlasts) -> Option<&'static str> {
    match outlasts {
        Outlasts::Vm if room.vms() == 1 => Some("VM"),
        Outlasts::Rack if room.racks.len() == 1 => Some("rack"),
        Outlasts::DataCentre if room.data_centres.len() == 1 => Some("data centre"),
        _ => None,
    }
}
