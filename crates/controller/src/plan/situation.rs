//! Builds the situation that the rules are evaluated on.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_config::Settings;
use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Time};
use corianderfork_policy::State;
use corianderfork_policy::state::Phase;
use corianderfork_rules::Situation;

use crate::facts::Facts;
use crate::plan::load::Sampler;

/// The input for a situation.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The process's monotonic time.
    pub now: Time,
    /// The time since the Unix epoch.
    pub unix: Time,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Settings of the fleet as a whole.
    pub settings: &'a Settings,
    /// The policy's state.
    pub state: &'a State,
    /// The load.
    pub load: &'a Sampler,
    /// The state that the platform reported.
    pub facts: &'a Facts,
    /// Since when the store has been down, if it is.
    pub down_since: Option<Time>,
}

/// Builds the current situation.
pub fn situation(source: &Source<'_>) -> Situation {
    let mut situation = Situation::new();
    situation.set_stale_after(source.settings.stale_after);
    situation.set_clock(source.unix, source.settings.utc_offset_minutes);
    situation.set_store_down(source.down_since.is_some(), Duration::ZERO);
    let copies = count_copies(source.state);
    for service in source.fleet.service_ids() {
        let count = copies.get(&service).copied().unwrap_or_default();
        set_service(&mut situation, source, service, count);
    }
    set_domains(&mut situation, source);
    set_wave(&mut situation, source);
    if let Some(usage) = &source.facts.usage {
        let oldest = usage.value.iter().map(|report| report.at_ms).min();
        let age = oldest.map(|at| source.unix - Time::from_millis(at));
        situation.set_usage_age(age.unwrap_or(source.now - usage.sent));
    }
    situation
}

/// Returns the age of the list of tasks.
fn tasks_age(source: &Source<'_>) -> Duration {
    source.facts.tasks.as_ref().map_or(Duration::MAX, |tasks| source.now - tasks.sent)
}

/// The number of copies of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    /// Copies that are able to serve.
    pub able: u32,
    /// Copies that hold a licence.
    pub licensed: u32,
}

/// Counts the copies of all services in one pass.
pub fn count_copies(state: &State) -> BTreeMap<ServiceId, Copies> {
    let mut copies: BTreeMap<ServiceId, Copies> = BTreeMap::new();
    for (_, vm) in state.vms() {
        let is_up = vm.phase == Phase::Serving && vm.lost_since.is_none();
        for copy in &vm.copies {
            let count = copies.entry(copy.service).or_default();
            count.licensed += 1;
            count.able += u32::from(is_up && copy.warm && !copy.failing);
        }
    }
    copies
}

fn set_service(
    situation: &mut Situation,
    source: &Source<'_>,
    service: ServiceId,
    Copies { able, licensed }: Copies,
) {
    let spec = source.fleet.service(service);
    let age = tasks_age(source);
    situation.set_copies(service, able, age);
    situation.set_licences(service, licensed, age);
    let slots = able.saturating_mul(u32::from(spec.slots));
    let Some((in_flight, load_age)) = source.load.in_flight(source.now, service) else { return };
    let age = age.max(load_age);
    situation.set_load(service, in_flight, slots, age);
    let needed = in_flight.div_ceil(u32::from(spec.slots.max(1))).max(spec.budget.min_copies);
    let spare = i64::from(able) - i64::from(needed);
    situation.set_spare(service, i32::try_from(spare).unwrap_or(i32::MAX), age);
    if let Some(trend) = source.load.trend(service) {
        situation.set_trend(service, trend, load_age);
    }
}

fn set_domains(situation: &mut Situation, source: &Source<'_>) {
    let Some(vms) = &source.facts.vms else { return };
    let age = source.now - vms.sent;
    let fleet = source.fleet;
    // A domain is down if it has VMs and all of them are lost.
    let (mut racks, mut data_centres) = (BTreeMap::new(), BTreeMap::new());
    for (id, vm) in source.state.vms() {
        let lost = vm.lost_since.is_some();
        *racks.entry(fleet.vm(id).rack).or_insert(true) &= lost;
        *data_centres.entry(fleet.data_centre_of(id)).or_insert(true) &= lost;
    }
    for id in fleet.rack_ids() {
        situation.set_rack_down(id, racks.get(&id) == Some(&true), age);
    }
    for id in fleet.data_centre_ids() {
        situation.set_data_centre_down(id, data_centres.get(&id) == Some(&true), age);
    }
}

fn set_wave(situation: &mut Situation, source: &Source<'_>) {
    let Some(listed) = &source.facts.wave else { return };
    let age = source.now - listed.sent;
    let wave = listed.value.as_ref().map(|(_, wave)| wave);
    let under_way = wave.is_some_and(|wave| !super::wave::is_finished(wave));
    let failed = wave.map_or(0, |wave| wave.failed.len());
    situation.set_wave(under_way, u32::try_from(failed).unwrap_or(u32::MAX), age);
}
