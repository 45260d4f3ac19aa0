//! How many copies each service needs.
//!
//! Sizes and run times are declared, but far off. A [`Sizer`] takes the
//! declared value as a prior and shrinks it away as reports come in: after n
//! reports the prior's own error counts w / (n + w), with w of
//! [`Config::prior_weight`], and at most 1 in 1 + k² of the reported values lie
//! above the estimate, with k of [`Config::deviations`] (Cantelli's inequality,
//! which asks nothing of the distribution).
//!
//! Copies follow a rising load at once, but a falling one only when keeping
//! the copy has cost as much as stopping it and starting it again would. So a
//! wave of cancellations causes no moves: the load has come back, or the
//! dip has lasted long enough to be worth them.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::Size;
use corianderfork_model::service::{Service, ServiceId, Weights};
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::estimate::Estimate;
use crate::history::History;

/// Reports older than this no longer speak of the present.
const STALE: Duration = Duration::from_secs(5 * 60);
/// Reports further in the future than this come from a clock that is wrong.
const FUTURE: Duration = Duration::from_secs(60);
/// The least time between a report's end and the copy it leads to, beside the
/// time a copy takes to warm.
const LAG: Duration = Duration::from_secs(3 * 60);
/// The least and the longest time that a copy is held.
const HOLD_LEAST: Duration = Duration::from_secs(60 * 60);
const HOLD_LONGEST: Duration = Duration::from_secs(26 * 3600);
/// A lost VM is waited for this part of the holding time, and no longer than
/// this, beside what the configuration says.
const PATIENCE_SHARE: u32 = 6;
const PATIENCE_LONGEST: Duration = Duration::from_secs(4 * 3600);

/// What the proxies together saw of a service in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The end of the interval.
    pub at: Time,
    /// Requests being worked on, in thousandths, on average.
    pub in_flight_milli: u64,
    /// Requests that came in, in thousandths a second, refused ones included.
    pub arrivals_milli: u64,
    /// Requests refused for want of a free slot, in thousandths a second.
    pub refused_milli: u64,
}

/// What the platform reports of one copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// When it was measured.
    pub at: Time,
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

/// What the load calls for, in copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Needed now and until a copy started now is warm.
    pub now: u32,
    /// Needed at most within the next half hour, as the day before tells.
    pub upcoming: u32,
    /// Worth keeping: the most needed within the holding time.
    pub retained: u32,
    /// Whether no report is fresh.
    pub stale: bool,
    /// Whether the holding time has passed since the sizer began: before that
    /// it can't know that a copy isn't needed.
    pub settled: bool,
}

/// Learns load, run times and sizes from reports.
///
/// ```
/// use corianderfork_model::{Fleet, Name, Time};
/// use corianderfork_model::place::{Pool, Size};
/// use corianderfork_model::service::{Budget, Service};
/// use corianderfork_policy::Config;
/// use corianderfork_policy::sizing::{Load, Sizer};
///
/// let mut fleet = Fleet::default();
/// let pool = fleet.add_pool(Pool::new(Name::new("registry")?));
/// let name = Name::new("lookup")?;
/// let transfer =
///     fleet.add_service(Service::new(name, pool, Size::default(), Budget::new(1, 10), 10));
///
/// let now = Time::from_millis(600_000);
/// let mut sizer = Sizer::new(&fleet, now);
/// // 20 requests in hand need three copies of eight slots.
/// sizer.record_load(now, &fleet, transfer, Load { at: now, in_flight_milli: 20_000, ..Load::default() });
/// assert_eq!(sizer.demand(&fleet, transfer, &Config::default(), now).now, 3);
/// # Ok::<(), corianderfork_model::name::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Sizer {
    since: Time,
    services: Vec<Learned>,
}

/// What was learned of one service.
#[derive(Clone, Debug, Default, PartialEq)]
struct Learned {
    load: History,
    run: Estimate,
    cores: Estimate,
    memory: Estimate,
}

impl Sizer {
    /// A sizer that knows only what was declared.
    pub fn new(fleet: &Fleet, now: Time) -> Self {
        Self { since: now, services: vec![Learned::default(); fleet.services().len()] }
    }

    /// Takes in a report of load. One from the future is left out: a clock is
    /// wrong, and its value would outlive all true ones.
    pub fn record_load(&mut self, now: Time, fleet: &Fleet, service: ServiceId, load: Load) {
        if load.at > now + FUTURE {
            return;
        }
        let learned = &mut self.services[service.index()];
        let answered = load.arrivals_milli.saturating_sub(load.refused_milli);
        if answered > 0 {
            learned.run.see(load.in_flight_milli as f64 / answered as f64);
        }
        // Refused requests would have been in hand too (Little's law).
        let declared = f64::from(fleet.service(service).run_millis) / 1000.0;
        let run = learned.run.mean(declared, Config::PRIOR_WEIGHT);
        let wanted = load.in_flight_milli as f64 + load.refused_milli as f64 * run;
        learned.load.see(load.at, wanted, ahead(fleet.service(service)));
    }

    /// Takes in a report of usage. One from the future is left out.
    pub fn record_usage(&mut self, now: Time, service: ServiceId, usage: Usage) {
        if usage.at > now + FUTURE {
            return;
        }
        let learned = &mut self.services[service.index()];
        learned.cores.see(f64::from(usage.milli_cores));
        learned.memory.see(f64::from(usage.memory_mib));
    }

    /// What one copy of `service` needs, at most.
    pub fn size(&self, fleet: &Fleet, service: ServiceId, config: &Config) -> Size {
        let declared = fleet.service(service).size;
        let learned = &self.services[service.index()];
        let upper = |estimate: &Estimate, prior: u32| {
            let upper = estimate.upper(f64::from(prior), config.prior_weight, config.deviations);
            upper.ceil() as u32
        };
        Size {
            milli_cores: upper(&learned.cores, declared.milli_cores),
            memory_mib: upper(&learned.memory, declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// Whether as much was reported of the size of `service` as its declared
    /// size weighs.
    pub fn has_learned_size(&self, service: ServiceId, config: &Config) -> bool {
        self.services[service.index()].cores.count() >= config.prior_weight
    }

    /// What the load of `service` calls for.
    pub fn demand(&self, fleet: &Fleet, service: ServiceId, config: &Config, now: Time) -> Demand {
        let declared = fleet.service(service);
        let history = &self.services[service.index()].load;
        let upper = history.upper(ahead(declared));
        let hold_time = config.hold_time_for(&fleet.weights);
        let peak = history.peak(now, hold_time);
        let before =
            if config.daily_profile { history.day_before(now, config.lookahead) } else { 0.0 };
        let demand = copies(declared, upper);
        let upcoming = demand.max(copies(declared, before));
        Demand {
            now: demand,
            upcoming,
            retained: demand.max(copies(declared, peak)).max(if config.daily_profile {
                upcoming
            } else {
                0
            }),
            stale: history.last().is_none_or(|last| now - last > STALE),
            settled: now - self.since >= hold_time,
        }
    }
}

impl Config {
    /// Reports that weigh as much as a declared run time.
    const PRIOR_WEIGHT: f64 = 20.0;

    /// How long a copy is held: until that has cost as much as stopping it
    /// and starting it again. At most twice the least cost possible is paid
    /// that way, whatever the load does next.
    pub(crate) fn hold_time_for(&self, weights: &Weights) -> Duration {
        if let Some(hold_time) = self.hold_time {
            return hold_time;
        }
        let two_moves = 2.0 * f64::from(weights.moves);
        let hours = two_moves / f64::from(weights.buffer.max(1));
        Duration::from_secs_f64(hours * 3600.0).clamp(HOLD_LEAST, HOLD_LONGEST)
    }
}

/// How long after the end of a report a copy that it calls for is warm.
fn ahead(service: &Service) -> Duration {
    LAG + Duration::from_millis(u64::from(service.warm_millis))
}

impl Config {
    /// How long a lost VM is waited for: longer where moves cost more.
    pub(crate) fn replace_delay_for(&self, weights: &Weights) -> Duration {
        let hold_time = self.hold_time_for(weights) / PATIENCE_SHARE;
        self.replace_delay.max(hold_time.min(PATIENCE_LONGEST))
    }
}

/// Copies whose slots hold `load`, in thousandths of a request.
fn copies(service: &Service, load: f64) -> u32 {
    let slots = f64::from(service.slots.max(1)) * 1000.0;
    (load / slots).ceil() as u32
}
