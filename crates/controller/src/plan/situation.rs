//! The situation that the rules look at.

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

/// All that a situation is made of.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The process's monotonic time.
    pub now: Time,
    /// The time since the Unix epoch.
    pub unix: Time,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// What concerns the fleet as a whole.
    pub settings: &'a Settings,
    /// What the decision is made from.
    pub state: &'a State,
    /// The load.
    pub load: &'a Sampler,
    /// What the platform said.
    pub facts: &'a Facts,
    /// Since when the store has been down, if it is.
    pub down_since: Option<Time>,
}

/// The situation now.
pub fn situation(source: &Source<'_>) -> Situation {
    let mut now = Situation::new();
    now.set_stale_after(source.settings.stale_after);
    now.set_clock(source.unix, source.settings.utc_offset_minutes);
    now.set_store_down(source.down_since.is_some(), Duration::ZERO);
    let copies = copies(source.state);
    for service in source.fleet.service_ids() {
        let count = copies.get(&service).copied().unwrap_or_default();
        set_service(&mut now, source, service, count);
    }
    set_domains(&mut now, source);
    set_wave(&mut now, source);
    if let Some(usage) = &source.facts.usage {
        let oldest = usage.value.iter().map(|one| one.at_ms).min();
        let age = oldest.map(|at| source.unix - Time::from_millis(at));
        now.set_usage_age(age.unwrap_or(source.now - usage.sent));
    }
    now
}

/// How old what the platform says of tasks is.
fn tasks_age(source: &Source<'_>) -> Duration {
    source.facts.tasks.as_ref().map_or(Duration::MAX, |tasks| source.now - tasks.sent)
}

/// Copies of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    /// Those able to serve.
    pub able: u32,
    /// Those that hold a licence.
    pub licensed: u32,
}

/// The copies of all services, counted in one pass.
pub fn copies(state: &State) -> BTreeMap<ServiceId, Copies> {
    let mut copies: BTreeMap<ServiceId, Copies> = BTreeMap::new();
    for (_, vm) in state.vms() {
        let up = vm.phase == Phase::Serving && vm.lost_since.is_none();
        for copy in &vm.copies {
            let row = copies.entry(copy.service).or_default();
            row.licensed += 1;
            row.able += u32::from(up && copy.warm && !copy.failing);
        }
    }
    copies
}

fn set_service(
    now: &mut Situation,
    source: &Source<'_>,
    service: ServiceId,
    Copies { able, licensed }: Copies,
) {
    let row = source.fleet.service(service);
    let age = tasks_age(source);
    now.set_copies(service, able, age);
    now.set_licences(service, licensed, age);
    let slots = able.saturating_mul(u32::from(row.slots));
    let Some((in_hand, load_age)) = source.load.in_hand(source.now, service) else { return };
    let age = age.max(load_age);
    now.set_load(service, in_hand, slots, age);
    let needed = in_hand.div_ceil(u32::from(row.slots.max(1))).max(row.budget.min_copies);
    let spare = i64::from(able) - i64::from(needed);
    now.set_spare(service, i32::try_from(spare).unwrap_or(i32::MAX), age);
    if let Some(trend) = source.load.trend(service) {
        now.set_trend(service, trend, load_age);
    }
}

fn set_domains(now: &mut Situation, source: &Source<'_>) {
    let Some(vms) = &source.facts.vms else { return };
    let age = source.now - vms.sent;
    let fleet = source.fleet;
    // A domain is down if it has VMs and all of them are lost.
    let (mut racks, mut centres) = (BTreeMap::new(), BTreeMap::new());
    for (id, vm) in source.state.vms() {
        let lost = vm.lost_since.is_some();
        *racks.entry(fleet.vm(id).rack).or_insert(true) &= lost;
        *centres.entry(fleet.data_centre_of(id)).or_insert(true) &= lost;
    }
    for id in fleet.rack_ids() {
        now.set_rack_down(id, racks.get(&id) == Some(&true), age);
    }
    for id in fleet.data_centre_ids() {
        now.set_data_centre_down(id, centres.get(&id) == Some(&true), age);
    }
}

fn set_wave(now: &mut Situation, source: &Source<'_>) {
    let Some(listed) = &source.facts.wave else { return };
    let age = source.now - listed.sent;
    let wave = listed.value.as_ref().map(|(_, wave)| wave);
    let under_way = wave.is_some_and(|wave| !super::wave::is_finished(wave));
    let failed = wave.map_or(0, |wave| wave.failed.len());
    now.set_wave(under_way, u32::try_from(failed).unwrap_or(u32::MAX), age);
}
