//! The load of each service as reported by proxies, averaged over intervals.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Time};
use corianderfork_policy::sizing::{Load, Sizer};

use crate::directory::Directory;

/// The maximum age of a report that counts.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// The interval over which load is averaged.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// The time over which the trend is computed.
const TREND_WINDOW: Duration = Duration::from_secs(60);

/// The load of all services.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    interval_start: Option<Time>,
    samples: u64,
    sums: BTreeMap<ServiceId, u64>,
    latest: BTreeMap<ServiceId, u32>,
    sampled_at: Option<Time>,
    history: VecDeque<(Time, BTreeMap<ServiceId, u32>)>,
}

impl Sampler {
    /// Takes a sample at `now`. At the end of an interval the mean goes to
    /// `sizer`. `unix` is the time since the Unix epoch.
    pub fn sample(
        &mut self,
        now: Time,
        unix: Time,
        fleet: &Fleet,
        directory: &Directory,
        sizer: &mut Sizer,
    ) {
        let Some(load) = total_load(now, fleet, directory) else { return };
        for service in fleet.service_ids() {
            let count = load.get(&service).copied().unwrap_or_default();
            *self.sums.entry(service).or_default() += u64::from(count);
        }
        (self.latest, self.sampled_at) = (load, Some(now));
        self.samples += 1;
        let interval_start = *self.interval_start.get_or_insert(now);
        // The first sample counts at once: until the load is known, no VM can
        // be spared.
        if now - interval_start >= SAMPLE_INTERVAL || self.history.is_empty() {
            self.finish_interval(now, unix, fleet, sizer);
        }
    }

    fn finish_interval(&mut self, now: Time, unix: Time, fleet: &Fleet, sizer: &mut Sizer) {
        for (service, sum) in std::mem::take(&mut self.sums) {
            let in_flight_milli = sum * 1000 / self.samples.max(1);
            let load = Load { at: unix, in_flight_milli, ..Load::default() };
            sizer.record_load(unix, fleet, service, load);
        }
        self.history.push_back((now, self.latest.clone()));
        while self.history.front().is_some_and(|(at, _)| now - *at > TREND_WINDOW) {
            self.history.pop_front();
        }
        (self.interval_start, self.samples) = (None, 0);
    }

    /// Returns the requests of a service that are in flight or waiting, and the
    /// age of this number. `None` if nothing was ever reported.
    pub fn in_flight(&self, now: Time, service: ServiceId) -> Option<(u32, Duration)> {
        let age = now - self.sampled_at?;
        Some((self.latest.get(&service).copied().unwrap_or_default(), age))
    }

    /// Returns the relative change of a service's load in per mille per minute,
    /// or `None` if there is nothing to compare with.
    pub fn trend(&self, service: ServiceId) -> Option<i32> {
        let (first, before) = self.history.front()?;
        let (last, after) = self.history.back()?;
        let minutes = (*last - *first).as_secs_f64() / 60.0;
        let count =
            |loads: &BTreeMap<ServiceId, u32>| f64::from(loads.get(&service).copied().unwrap_or(0));
        let (before, after) = (count(before), count(after));
        if minutes <= 0.0 || before <= 0.0 {
            return None;
        }
        Some(((after - before) * 1000.0 / before / minutes) as i32)
    }

    /// Drops everything, as the services have changed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns the requests in flight or waiting, by service. `None` if most
/// proxies have not reported recently, since a part of the load would be taken
/// for all of it.
fn total_load(now: Time, fleet: &Fleet, directory: &Directory) -> Option<BTreeMap<ServiceId, u32>> {
    let proxies = directory.proxies(now).len();
    let mut reporting = 0;
    let mut load: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for (_, report) in directory.reports(now, MAX_REPORT_AGE) {
        reporting += 1;
        for runner in &report.loads {
            let Some(service) = fleet.find_service(&runner.service) else { continue };
            let sum = load.entry(service).or_default();
            *sum = sum.saturating_add(runner.in_flight).saturating_add(runner.waiting);
        }
    }
    (2 * reporting >= proxies).then_some(load)
}
