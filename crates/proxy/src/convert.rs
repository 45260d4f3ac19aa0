//! Conversions between store records, wire messages and decision types.

use std::collections::BTreeMap;

use corianderfork_coord::claim::{Attempt, Outcome, Verdict};
use corianderfork_model::Name;
use corianderfork_provider::record::{Member, Role};
use corianderfork_routing::report::{Demand, Drain, Report, Runner};
use corianderfork_wire::peer;

use crate::gate::{Key, Loads};

/// Converts a member to its wire form.
pub fn member(member: &Member) -> peer::Member {
    let role = match member.role {
        Role::Proxy => peer::Role::Proxy,
        Role::Controller => peer::Role::Controller,
    };
    peer::Member {
        name: member.name.to_string(),
        role: role.into(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.to_string(),
        peers: member.peers.to_string(),
    }
}

/// Parses a member from its wire form; `None` if it is invalid.
pub fn parse_member(member: &peer::Member) -> Option<Member> {
    let role = match member.role() {
        peer::Role::Proxy => Role::Proxy,
        peer::Role::Controller => Role::Controller,
        peer::Role::Unspecified => return None,
    };
    Some(Member {
        name: Name::new(&member.name).ok()?,
        role,
        incarnation: member.incarnation,
        data_centre: Name::new(&member.data_centre).ok()?,
        peers: member.peers.parse().ok()?,
        callers: None,
    })
}

/// Formats an attempt as text.
pub fn format_attempt(attempt: Attempt) -> String {
    format!("{:032x}", attempt.as_u128())
}

/// Parses an attempt from text.
pub fn parse_attempt(text: &str) -> Option<Attempt> {
    u128::from_str_radix(text, 16).ok().map(Attempt::from_u128)
}

/// Converts a verdict to a claim reply.
pub fn claim_reply(verdict: Verdict) -> peer::ClaimReply {
    let (verdict, retry_after) = match verdict {
        Verdict::Granted => (peer::Verdict::Granted, None),
        Verdict::Duplicate { outcome: Outcome::Done, .. } => (peer::Verdict::Done, None),
        Verdict::Duplicate { .. } => (peer::Verdict::Taken, None),
        Verdict::Expired => (peer::Verdict::Expired, None),
        Verdict::Invalid => (peer::Verdict::Invalid, None),
        Verdict::Unavailable { retry_after } => (peer::Verdict::Unavailable, Some(retry_after)),
        _ => (peer::Verdict::Unavailable, None),
    };
    let millis = retry_after.unwrap_or_default().as_millis();
    let retry_after_ms = u64::try_from(millis).unwrap_or(u64::MAX);
    peer::ClaimReply { verdict: verdict.into(), retry_after_ms }
}

/// Converts loads to their wire form: one entry for each runner that no serving VM lists,
/// since a controller waits until these are idle, and one entry per service for all
/// others. Entries for all runners would grow with the fleet, and reports are sent a few
/// times a second.
pub fn loads(loads: &Loads, is_listed: impl Fn(&Key) -> bool) -> Vec<peer::Load> {
    let mut entries = Vec::new();
    let mut services: BTreeMap<&Name, peer::Load> = BTreeMap::new();
    for (key, count) in &loads.in_flight {
        if is_listed(key) {
            service_load(&mut services, &key.service).in_flight += count;
        } else {
            entries.push(runner_load(key, *count));
        }
    }
    for (service, waiting) in &loads.waiting {
        service_load(&mut services, service).waiting += waiting;
    }
    entries.extend(services.into_values());
    entries
}

fn service_load<'a, 'b>(
    entries: &'a mut BTreeMap<&'b Name, peer::Load>,
    service: &'b Name,
) -> &'a mut peer::Load {
    entries
        .entry(service)
        .or_insert_with(|| peer::Load { service: service.to_string(), ..peer::Load::default() })
}

/// Converts demands to their wire form.
pub fn demands(loads: &Loads) -> Vec<peer::Demand> {
    let demand = |demand: &Demand| peer::Demand {
        service: demand.service.to_string(),
        tenths: demand.tenths,
    };
    loads.report.demands.iter().map(demand).collect()
}

fn runner_load(key: &Key, in_flight: u32) -> peer::Load {
    let (vm, service) = (key.vm.to_string(), key.service.to_string());
    peer::Load { vm, service, in_flight, waiting: 0 }
}

/// Converts leaving VMs to their wire form.
pub fn leaving(loads: &Loads, revision: impl Fn(&Name) -> u64) -> Vec<peer::Leaving> {
    let drains = loads.report.drains.iter().map(|drain| peer::Leaving {
        vm: drain.vm.to_string(),
        epoch: drain.epoch,
        revision: revision(&drain.vm),
    });
    let self_reported =
        loads.leaving.iter().map(|vm| peer::Leaving { vm: vm.to_string(), epoch: 0, revision: 0 });
    drains.chain(self_reported).collect()
}

/// Converts failing runners to their wire form.
pub fn suspects(loads: &Loads) -> Vec<peer::Suspect> {
    let ejected = loads.report.runners.iter().filter(|runner| runner.ejected);
    let suspect =
        |r: &Runner| peer::Suspect { vm: r.vm.to_string(), service: r.service.to_string() };
    ejected.map(suspect).collect()
}

/// Converts the report of a proxy for the router. If a VM reported itself as leaving, its
/// copies of all `services` count as leaving.
pub fn report(report: &peer::Report, services: &[Name]) -> Report {
    let mut converted = Report::default();
    for demand in &report.demands {
        let Ok(service) = Name::new(&demand.service) else { continue };
        converted.demands.push(Demand { service, tenths: demand.tenths });
    }
    for leaving in &report.leaving {
        let Ok(vm) = Name::new(&leaving.vm) else { continue };
        if leaving.epoch > 0 {
            converted.drains.push(Drain { vm, epoch: leaving.epoch });
            continue;
        }
        let runner = |service: &Name| runner_hint(&vm, service, true);
        converted.runners.extend(services.iter().map(runner));
    }
    for suspect in &report.suspects {
        let (Ok(vm), Ok(service)) = (Name::new(&suspect.vm), Name::new(&suspect.service)) else {
            continue;
        };
        converted.runners.push(runner_hint(&vm, &service, false));
    }
    converted
}

fn runner_hint(vm: &Name, service: &Name, leaving: bool) -> Runner {
    Runner { vm: vm.clone(), service: service.clone(), leaving, ejected: !leaving }
}
