//! The fleets of the two users and of the target size, with their loads and
//! failures.

use corianderfork_model::place::{DataCentre, Pool, Rack, Size, Vm};
use corianderfork_model::service::{Budget, Class, Outlasts, Service, Team, Weights};
use corianderfork_model::{Fleet, Name};

pub const HOUR: u64 = 60;
pub const DAY: u64 = 24 * HOUR;

/// A part of the fleet, by index.
#[derive(Clone, Copy)]
pub enum Part {
    Vm(usize),
    Rack(usize),
    DataCentre(usize),
}

/// An outage of a part of the fleet.
pub struct Outage {
    pub part: Part,
    pub at: u64,
    pub minutes: u64,
}

impl Outage {
    /// Whether this outage is active at `minute` and at least as large as
    /// `level`, so that the redundancy for such a failure is in use.
    pub fn uses_redundancy(&self, level: Outlasts, minute: u64) -> bool {
        let level_of_outage = match self.part {
            Part::Vm(_) => Outlasts::Vm,
            Part::Rack(_) => Outlasts::Rack,
            Part::DataCentre(_) => Outlasts::DataCentre,
        };
        level_of_outage >= level && (self.at..self.at + self.minutes).contains(&minute)
    }
}

/// A VM on which every start fails for some minutes.
pub struct FailingVm {
    pub vm: usize,
    pub at: u64,
    pub minutes: u64,
    /// Whether starts fail only after a reboot later than `at`.
    pub after_reboot: bool,
}

/// A fleet, its load and its failures.
pub struct Scenario {
    pub fleet: Fleet,
    pub seed: u64,
    /// The first minute since the Unix epoch; a midnight.
    pub start: u64,
    pub end: u64,
    /// When the wave is ordered, and its deadline.
    pub wave: (u64, u64),
    pub outages: Vec<Outage>,
    pub failing_vms: Vec<FailingVm>,
    /// The hour of the daily peak.
    pub peak_hour: f64,
    /// Whether there is load only while branches are open, from nine to five.
    pub office_hours: bool,
    /// The first minute that is measured. The time before is for learning.
    pub measure_from: u64,
}

struct Sizes {
    data_centres: usize,
    racks: usize,
    pools: usize,
    services: usize,
    vm: Size,
    copy: Size,
}

fn parse_name(text: &str) -> Name {
    Name::new(text).expect("the names here are well formed")
}

fn indexed_name(what: &str, index: usize) -> Name {
    parse_name(&format!("{what}-{index}"))
}

fn fleet(sizes: &Sizes, weights: Weights) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.weights = weights;
    let pools: Vec<_> =
        (0..sizes.pools).map(|i| fleet.add_pool(Pool::new(indexed_name("pool", i)))).collect();
    for dc in 0..sizes.data_centres {
        let region = parse_name("region");
        let id = fleet.add_data_centre(DataCentre::new(indexed_name("dc", dc), region));
        for rack in 0..sizes.racks {
            let number = dc * sizes.racks + rack;
            let rack = fleet.add_rack(Rack::new(indexed_name("rack", number), id));
            for vm in 0..4 {
                // Two pools share each rack.
                let pool = pools[(2 * number + vm / 2) % sizes.pools];
                fleet.add_vm(Vm::new(indexed_name("vm", 4 * number + vm), rack, sizes.vm, pool));
            }
        }
    }
    for index in 0..sizes.services {
        let (class, outlasts, min_copies) = match index % 5 {
            0 | 1 => (Class::First, Outlasts::DataCentre, 3),
            2 | 3 => (Class::Normal, Outlasts::Rack, 2),
            _ => (Class::Later, Outlasts::Vm, 1),
        };
        let mut budget = Budget::new(min_copies, 10);
        budget.outlasts = outlasts;
        let pool = pools[index % sizes.pools];
        let mut service =
            Service::new(indexed_name("service", index), pool, sizes.copy, budget, 10);
        service.class = class;
        let quota = Size { milli_cores: 1_000_000, memory_mib: 4_000_000, accelerators: 0 };
        service.team = Some(fleet.add_team(Team::new(indexed_name("team", index), quota)));
        fleet.add_service(service);
    }
    // Two services that can never run: one is larger than any VM, and every start
    // of the other fails.
    for (what, factor) in [("huge", 100), ("broken", 1)] {
        let size = Size { milli_cores: sizes.copy.milli_cores * factor, ..sizes.copy };
        let job = Service::new(parse_name(what), pools[0], size, Budget::new(1, 2), 2);
        fleet.add_service(job);
    }
    fleet
}

impl Scenario {
    pub fn gourmoti(seed: u64) -> Self {
        let sizes = Sizes {
            data_centres: 3,
            racks: 2,
            pools: 2,
            services: 5,
            vm: Size { milli_cores: 64_000, memory_mib: 256 << 10, accelerators: 0 },
            copy: Size { milli_cores: 12_000, memory_mib: 48 << 10, accelerators: 0 },
        };
        let weights = Weights { moves: 20, buffer: 1, roll_out: 2 };
        Self::small(fleet(&sizes, weights), seed, 18.0)
    }

    pub fn indus(seed: u64) -> Self {
        let sizes = Sizes {
            data_centres: 3,
            racks: 2,
            pools: 2,
            services: 5,
            vm: Size { milli_cores: 16_000, memory_mib: 32 << 10, accelerators: 0 },
            copy: Size { milli_cores: 3_000, memory_mib: 6 << 10, accelerators: 0 },
        };
        let weights = Weights { moves: 1, buffer: 10, roll_out: 40 };
        Self { office_hours: true, ..Self::small(fleet(&sizes, weights), seed, 13.0) }
    }

    fn small(fleet: Fleet, seed: u64, peak_hour: f64) -> Self {
        let wave = DAY + 21 * HOUR;
        let of = |count: u64| (seed % count) as usize;
        Self {
            fleet,
            seed,
            start: 0,
            end: 4 * DAY,
            wave: (wave, wave + 9 * HOUR),
            outages: vec![
                Outage { part: Part::Vm(20), at: 16 * HOUR, minutes: 45 },
                Outage { part: Part::Rack(1), at: DAY + 14 * HOUR, minutes: 120 },
                Outage { part: Part::Rack(of(6)), at: wave + 10 + seed % 40, minutes: 40 },
                Outage { part: Part::DataCentre(of(3)), at: 2 * DAY + 11 * HOUR, minutes: 180 },
                Outage { part: Part::Vm(2), at: 3 * DAY + 9 * HOUR, minutes: 30 },
                Outage { part: Part::Vm(9), at: 3 * DAY + 9 * HOUR + 5, minutes: 30 },
            ],
            failing_vms: vec![
                FailingVm { vm: 6, at: DAY + 10 * HOUR, minutes: 30 * DAY, after_reboot: false },
                FailingVm { vm: 1, at: wave, minutes: 60, after_reboot: true },
                FailingVm { vm: 12, at: wave, minutes: 60, after_reboot: true },
            ],
            peak_hour,
            office_hours: false,
            measure_from: DAY,
        }
    }

    pub fn target(seed: u64) -> Self {
        let sizes = Sizes {
            data_centres: 5,
            racks: 145,
            pools: 34,
            services: 570,
            vm: Size { milli_cores: 64_000, memory_mib: 256 << 10, accelerators: 0 },
            copy: Size { milli_cores: 12_000, memory_mib: 48 << 10, accelerators: 0 },
        };
        let weights = Weights { moves: 5, buffer: 5, roll_out: 20 };
        let fleet = fleet(&sizes, weights);
        let wave = DAY + 21 * HOUR;
        let failing_vm = |n: u64| FailingVm {
            vm: (n * 97) as usize,
            at: DAY + n * 10,
            minutes: 30 * DAY,
            after_reboot: false,
        };
        Self {
            fleet,
            seed,
            start: DAY,
            end: 3 * DAY,
            wave: (wave, wave + 11 * HOUR),
            outages: vec![
                Outage { part: Part::Rack(1), at: DAY + 14 * HOUR, minutes: 120 },
                Outage { part: Part::Rack(400), at: wave + 30, minutes: 40 },
                Outage { part: Part::DataCentre(2), at: 2 * DAY + 11 * HOUR, minutes: 180 },
            ],
            failing_vms: (1..=20).map(failing_vm).collect(),
            peak_hour: 14.0,
            office_hours: false,
            measure_from: DAY,
        }
    }

    /// Returns the requests in flight of a service at `minute`, assuming that
    /// each finds a free slot.
    pub fn load(&self, service: usize, minute: u64) -> f64 {
        let hour = (minute % DAY) as f64 / 60.0 - (service % 5) as f64 * 0.5;
        let offset = (hour - self.peak_hour + 36.0) % 24.0 - 12.0;
        let swing = (-(offset / 4.0) * (offset / 4.0)).exp();
        let is_open = (9 * HOUR..17 * HOUR).contains(&(minute % DAY));
        let profile = match (self.office_hours, is_open) {
            (false, _) => swing,
            (true, true) => 0.6 + 0.4 * swing,
            (true, false) => 0.0,
        };
        let peak = 30.0 + (self.seed + service as u64 * 7) as f64 % 13.0;
        let noise = 0.94 + 0.06 * pseudo_random(self.seed ^ (service as u64) << 32 ^ minute);
        peak * (0.15 + 0.85 * profile) * noise * self.cancellation_factor(minute)
    }

    /// Returns the share of the load that is not cancelled. Cancellations come in
    /// waves, at different hours each day: most of the load disappears for half
    /// an hour, and comes back.
    fn cancellation_factor(&self, minute: u64) -> f64 {
        let shift = minute / DAY * 40;
        let starts = [10 * HOUR, 13 * HOUR + 30, 17 * HOUR].map(|start| start + shift);
        let is_active = |&start: &u64| (start..start + 30).contains(&(minute % DAY));
        if starts.iter().any(is_active) { 0.25 } else { 1.0 }
    }

    /// Returns the ratio of a copy's actual size to its declared size.
    pub fn actual_size_factor(&self, service: usize) -> f64 {
        [0.5, 1.5, 0.8, 1.2, 0.3][(service + self.seed as usize) % 5]
    }
}

/// Returns a number between 0 and 1 that depends only on `seed` (splitmix64).
fn pseudo_random(seed: u64) -> f64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
