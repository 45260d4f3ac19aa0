//! What proxies report of each service's load, averaged over intervals.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Time};
use corianderfork_policy::sizing::{Load, Sizer};

use crate::directory::Directory;

/// A report older than this no longer counts.
pub const FRESH: Duration = Duration::from_secs(10);
/// The interval over which load is averaged.
const INTERVAL: Duration = Duration::from_secs(5);
/// The time over which the trend is taken.
const TREND: Duration = Duration::from_secs(60);

/// Load of all services.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    began: Option<Time>,
    samples: u64,
    sums: BTreeMap<ServiceId, u64>,
    now: BTreeMap<ServiceId, u32>,
    at: Option<Time>,
    history: VecDeque<(Time, BTreeMap<ServiceId, u32>)>,
}

impl Sampler {
    /// Takes a sample at `now`; at the end of an interval, `sizer` learns the
    /// mean. `unix` is the time since the Unix epoch.
    pub fn sample(
        &mut self,
        now: Time,
        unix: Time,
        fleet: &Fleet,
        directory: &Directory,
        sizer: &mut Sizer,
    ) {
        let Some(load) = current(now, fleet, directory) else { return };
        for service in fleet.service_ids() {
            let count = load.get(&service).copied().unwrap_or_default();
            *self.sums.entry(service).or_default() += u64::from(count);
        }
        (self.now, self.at) = (load, Some(now));
        self.samples += 1;
        let began = *self.began.get_or_insert(now);
        // The first sample counts at once: until then nobody knows the load,
        // and no VM can be spared.
        if now - began >= INTERVAL || self.history.is_empty() {
            self.end(now, unix, fleet, sizer);
        }
    }

    fn end(&mut self, now: Time, unix: Time, fleet: &Fleet, sizer: &mut Sizer) {
        for (service, sum) in std::mem::take(&mut self.sums) {
            let in_flight_milli = sum * 1000 / self.samples.max(1);
            let load = Load { at: unix, in_flight_milli, ..Load::default() };
            sizer.record_load(unix, fleet, service, load);
        }
        self.history.push_back((now, self.now.clone()));
        while self.history.front().is_some_and(|(at, _)| now - *at > TREND) {
            self.history.pop_front();
        }
        (self.began, self.samples) = (None, 0);
    }

    /// Requests in hand of a service, and how old that is; `None` if nothing
    /// was ever reported.
    pub fn in_hand(&self, now: Time, service: ServiceId) -> Option<(u32, Duration)> {
        let age = now - self.at?;
        Some((self.now.get(&service).copied().unwrap_or_default(), age))
    }

    /// How a service's load changes, in per mille a minute; `None` if there is
    /// nothing to compare with.
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

    /// Forgets all, as services have changed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Requests in hand by service; `None` if most proxies did not tell lately, as
/// a part of the load would be taken for all of it.
fn current(now: Time, fleet: &Fleet, directory: &Directory) -> Option<BTreeMap<ServiceId, u32>> {
    let known = directory.proxies(now).len();
    let mut told = 0;
    let mut load: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for (_, report) in directory.told(now, FRESH) {
        told += 1;
        for one in &report.loads {
            let Some(service) = fleet.find_service(&one.service) else { continue };
            let sum = load.entry(service).or_default();
            *sum = sum.saturating_add(one.in_flight).saturating_add(one.waiting);
        }
    }
    (2 * told >= known).then_some(load)
}
