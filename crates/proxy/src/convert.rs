//! Between the types of the store's records, of messages and of decisions.

use std::collections::BTreeMap;

use corianderfork_coord::claim::{Attempt, Outcome, Verdict};
use corianderfork_model::Name;
use corianderfork_provider::record::{Member, Role};
use corianderfork_routing::report::{Demand, Drain, Report, Runner};
use corianderfork_wire::peer;

use crate::gate::{Key, Loads};

/// A member as it is sent.
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

/// A member as it was received; `None` if it makes no sense.
pub fn member_of(member: &peer::Member) -> Option<Member> {
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

/// An attempt as text.
pub fn attempt_text(attempt: Attempt) -> String {
    format!("{:032x}", attempt.as_u128())
}

/// An attempt of a text.
pub fn attempt_of(text: &str) -> Option<Attempt> {
    u128::from_str_radix(text, 16).ok().map(Attempt::from_u128)
}

/// A verdict as it is sent.
pub fn verdict(verdict: Verdict) -> peer::ClaimReply {
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

/// The loads as they are sent: one row a copy that no VM in service
/// lists, whose end a controller waits for, and one row a service for all the
/// others. A row for each would grow with the fleet, a few times a second.
pub fn loads(loads: &Loads, is_listed: impl Fn(&Key) -> bool) -> Vec<peer::Load> {
    let mut rows = Vec::new();
    let mut services: BTreeMap<&Name, peer::Load> = BTreeMap::new();
    for (key, count) in &loads.in_flight {
        if is_listed(key) {
            service_row(&mut services, &key.service).in_flight += count;
        } else {
            rows.push(row(key, *count));
        }
    }
    for (service, waiting) in &loads.waiting {
        service_row(&mut services, service).waiting += waiting;
    }
    rows.extend(services.into_values());
    rows
}

fn service_row<'a, 'b>(
    rows: &'a mut BTreeMap<&'b Name, peer::Load>,
    service: &'b Name,
) -> &'a mut peer::Load {
    rows.entry(service)
        .or_insert_with(|| peer::Load { service: service.to_string(), ..peer::Load::default() })
}

/// The demands as they are sent.
pub fn demands(loads: &Loads) -> Vec<peer::Demand> {
    let demand = |demand: &Demand| peer::Demand {
        service: demand.service.to_string(),
        tenths: demand.tenths,
    };
    loads.report.demands.iter().map(demand).collect()
}

fn row(key: &Key, in_flight: u32) -> peer::Load {
    let (vm, service) = (key.vm.to_string(), key.service.to_string());
    peer::Load { vm, service, in_flight, waiting: 0 }
}

/// VMs that leave, as they are sent.
pub fn leaving(loads: &Loads, revision: impl Fn(&Name) -> u64) -> Vec<peer::Leaving> {
    let drains = loads.report.drains.iter().map(|drain| peer::Leaving {
        vm: drain.vm.to_string(),
        epoch: drain.epoch,
        revision: revision(&drain.vm),
    });
    let own =
        loads.leaving.iter().map(|vm| peer::Leaving { vm: vm.to_string(), epoch: 0, revision: 0 });
    drains.chain(own).collect()
}

/// Runners that fail, as they are sent.
pub fn suspects(loads: &Loads) -> Vec<peer::Suspect> {
    let ejected = loads.report.runners.iter().filter(|runner| runner.ejected);
    let suspect =
        |r: &Runner| peer::Suspect { vm: r.vm.to_string(), service: r.service.to_string() };
    ejected.map(suspect).collect()
}

/// A proxy's report for the router. A VM that said itself that it leaves does
/// so with all its `services`.
pub fn report(report: &peer::Report, services: &[Name]) -> Report {
    let mut out = Report::default();
    for demand in &report.demands {
        let Ok(service) = Name::new(&demand.service) else { continue };
        out.demands.push(Demand { service, tenths: demand.tenths });
    }
    for leaving in &report.leaving {
        let Ok(vm) = Name::new(&leaving.vm) else { continue };
        if leaving.epoch > 0 {
            out.drains.push(Drain { vm, epoch: leaving.epoch });
            continue;
        }
        let runner = |service: &Name| hint(&vm, service, true);
        out.runners.extend(services.iter().map(runner));
    }
    for suspect in &report.suspects {
        let (Ok(vm), Ok(service)) = (Name::new(&suspect.vm), Name::new(&suspect.service)) else {
            continue;
        };
        out.runners.push(hint(&vm, &service, false));
    }
    out
}

fn hint(vm: &Name, service: &Name, leaving: bool) -> Runner {
    Runner { vm: vm.clone(), service: service.clone(), leaving, ejected: !leaving }
}
