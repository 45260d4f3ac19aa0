//! Computes how many copies each service needs.
//!
//! Declared sizes and run times are inaccurate. A [`Sizer`] uses the declared
//! value as a prior whose influence shrinks with each report: after n reports
//! the prior's own error counts w / (n + w), where w is [`Config::prior_weight`].
//! At most 1 in 1 + k² of the reported values exceed the estimate, where k is
//! [`Config::deviations`] (by Cantelli's inequality, for any distribution).
//!
//! Copies follow a rising load at once, but a falling load only after keeping
//! the copy has cost as much as stopping it and starting it again. A short wave
//! of cancellations therefore moves no copies.

use std::time::Duration;

use corianderfork_model::arena::Id;
use corianderfork_model::place::Size;
use corianderfork_model::service::{Service, ServiceId, Weights};
use corianderfork_model::{Fleet, Time};

use crate::config::Config;
use crate::estimate::Estimate;
use crate::history::History;

/// Loads are stale if the last report is older than this.
const STALE_AFTER: Duration = Duration::from_secs(5 * 60);
/// Reports further in the future than this come from a wrong clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// The minimum time between the end of a report and the start of a copy that it
/// leads to; the copy's warm-up time comes on top.
const START_LAG: Duration = Duration::from_secs(3 * 60);
/// The bounds of the default hold time.
const MIN_HOLD_TIME: Duration = Duration::from_secs(60 * 60);
const MAX_HOLD_TIME: Duration = Duration::from_secs(26 * 3600);
/// The replacement delay is this fraction of the hold time, up to the maximum,
/// but at least the configured delay.
const REPLACE_DELAY_DIVISOR: u32 = 6;
const MAX_REPLACE_DELAY: Duration = Duration::from_secs(4 * 3600);

/// The load of a service over all proxies in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The end of the interval.
    pub at: Time,
    /// The mean number of requests in flight, in thousandths.
    pub in_flight_milli: u64,
    /// The rate of arriving requests including refused ones, in thousandths per
    /// second.
    pub arrivals_milli: u64,
    /// The rate of requests refused because no slot was free, in thousandths per
    /// second.
    pub refused_milli: u64,
}

/// The resource usage of one copy as reported by the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// When it was measured.
    pub at: Time,
    /// The processor use, in thousandths of a core.
    pub milli_cores: u32,
    /// The memory use, in MiB.
    pub memory_mib: u32,
}

/// The number of copies that the load requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Required now and until a copy started now is warm.
    pub now: u32,
    /// The maximum required within the next half hour, judging by the previous
    /// day.
    pub upcoming: u32,
    /// The number worth keeping: the maximum required within the hold time.
    pub retained: u32,
    /// Whether there is no recent report.
    pub stale: bool,
    /// Whether the sizer has run for the hold time. Before that it can't know
    /// that a copy is not needed.
    pub settled: bool,
}

/// Learns loads, run times and sizes from reports.
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
/// let lookup =
///     fleet.add_service(Service::new(name, pool, Size::default(), Budget::new(1, 10), 10));
///
/// let now = Time::from_millis(600_000);
/// let mut sizer = Sizer::new(&fleet, now);
/// // 20 requests in flight need three copies of eight slots.
/// let load = Load { at: now, in_flight_milli: 20_000, ..Load::default() };
/// sizer.record_load(now, &fleet, lookup, load);
/// assert_eq!(sizer.demand(&fleet, lookup, &Config::default(), now).now, 3);
/// # Ok::<(), corianderfork_model::name::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Sizer {
    since: Time,
    services: Vec<ServiceHistory>,
}

/// The recorded load and the estimates of one service.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServiceHistory {
    load: History,
    run_time: Estimate,
    cores: Estimate,
    memory: Estimate,
}

impl Sizer {
    /// Creates a sizer that knows only the declared values.
    pub fn new(fleet: &Fleet, now: Time) -> Self {
        Self { since: now, services: vec![ServiceHistory::default(); fleet.services().len()] }
    }

    /// Records a load report. Reports from the future are ignored: they come from
    /// a wrong clock and would hide all correct reports.
    pub fn record_load(&mut self, now: Time, fleet: &Fleet, service: ServiceId, load: Load) {
        if load.at > now + MAX_CLOCK_SKEW {
            return;
        }
        let learned = &mut self.services[service.index()];
        let accepted = load.arrivals_milli.saturating_sub(load.refused_milli);
        if accepted > 0 {
            learned.run_time.record(load.in_flight_milli as f64 / accepted as f64);
        }
        // Without refusals, the refused requests would have been in flight too
        // (Little's law).
        let declared = f64::from(fleet.service(service).run_millis) / 1000.0;
        let run_time = learned.run_time.mean(declared, Config::RUN_TIME_PRIOR_WEIGHT);
        let offered = load.in_flight_milli as f64 + load.refused_milli as f64 * run_time;
        learned.load.record(load.at, offered, start_lead_time(fleet.service(service)));
    }

    /// Records a usage report. Reports from the future are ignored.
    pub fn record_usage(&mut self, now: Time, service: ServiceId, usage: Usage) {
        if usage.at > now + MAX_CLOCK_SKEW {
            return;
        }
        let learned = &mut self.services[service.index()];
        learned.cores.record(f64::from(usage.milli_cores));
        learned.memory.record(f64::from(usage.memory_mib));
    }

    /// Returns an upper bound of the size of one copy of `service`.
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

    /// Whether the reports on the size of `service` weigh at least as much as its
    /// declared size.
    pub fn has_learned_size(&self, service: ServiceId, config: &Config) -> bool {
        self.services[service.index()].cores.count() >= config.prior_weight
    }

    /// Returns the demand of `service` at `now`.
    pub fn demand(&self, fleet: &Fleet, service: ServiceId, config: &Config, now: Time) -> Demand {
        let declared = fleet.service(service);
        let history = &self.services[service.index()].load;
        let expected = history.expected(start_lead_time(declared));
        let hold_time = config.hold_time_for(&fleet.weights);
        let peak = history.peak(now, hold_time);
        let previous_day =
            if config.daily_profile { history.day_before(now, config.lookahead) } else { 0.0 };
        let demand = copies_for_load(declared, expected);
        let upcoming = demand.max(copies_for_load(declared, previous_day));
        Demand {
            now: demand,
            upcoming,
            retained: demand.max(copies_for_load(declared, peak)).max(if config.daily_profile {
                upcoming
            } else {
                0
            }),
            stale: history.last_report().is_none_or(|last| now - last > STALE_AFTER),
            settled: now - self.since >= hold_time,
        }
    }
}

impl Config {
    /// The number of reports that weigh as much as a declared run time.
    const RUN_TIME_PRIOR_WEIGHT: f64 = 20.0;

    /// Returns how long an unneeded copy is kept: until this has cost as much as
    /// stopping it and starting it again. Whatever the load does next, the total
    /// cost is at most twice the minimum.
    pub(crate) fn hold_time_for(&self, weights: &Weights) -> Duration {
        if let Some(hold_time) = self.hold_time {
            return hold_time;
        }
        let two_moves = 2.0 * f64::from(weights.moves);
        let hours = two_moves / f64::from(weights.buffer.max(1));
        Duration::from_secs_f64(hours * 3600.0).clamp(MIN_HOLD_TIME, MAX_HOLD_TIME)
    }
}

/// Returns the time from the end of a report until a copy that it leads to is
/// warm.
fn start_lead_time(service: &Service) -> Duration {
    START_LAG + Duration::from_millis(u64::from(service.warm_millis))
}

impl Config {
    /// Returns how long copies on a lost VM go unreplaced: longer if moves cost
    /// more.
    pub(crate) fn replace_delay_for(&self, weights: &Weights) -> Duration {
        let share = self.hold_time_for(weights) / REPLACE_DELAY_DIVISOR;
        self.replace_delay.max(share.min(MAX_REPLACE_DELAY))
    }
}

/// Returns how many copies have enough slots for `load`, which is in thousandths
/// of a request.
fn copies_for_load(service: &Service, load: f64) -> u32 {
    let slots = f64::from(service.slots.max(1)) * 1000.0;
    (load / slots).ceil() as u32
}
