//! A small fleet, and random conditions and situations for it.
#![allow(dead_code)] // no test file uses all helpers

use std::time::Duration;

use corianderfork_model::place::{DataCentre, Pool, Rack, Size, Vm};
use corianderfork_model::service::{Budget, Service, ServiceId};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_rules::{List, Rule, Situation, action, condition};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a fleet with services `transfer` and `lookup` in pool `registry`, VM `v01`
/// in rack `r1` of data centre `kolkata`, and pool `idle` without services.
pub fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let size = Size { milli_cores: 1_000, memory_mib: 1_024, accelerators: 0 };
    let data_centre = fleet.add_data_centre(DataCentre::new(name("kolkata"), name("bengal")));
    let rack = fleet.add_rack(Rack::new(name("r1"), data_centre));
    let pool = fleet.add_pool(Pool::new(name("registry")));
    fleet.add_pool(Pool::new(name("idle")));
    fleet.add_vm(Vm::new(name("v01"), rack, size, pool));
    for service in ["transfer", "lookup"] {
        fleet.add_service(Service::new(name(service), pool, size, Budget::new(2, 10), 10));
    }
    fleet
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub fn service(name: &str) -> ServiceId {
    fleet().find_service(name).expect("a service")
}

/// Returns a list of rules called `r0`, `r1` and so on.
pub fn list(rules: &[(&str, &str)]) -> List {
    let fleet = fleet();
    let rule = |(i, (when, then)): (usize, &(&str, &str))| {
        let when = condition::parse(when, &fleet).expect(when);
        Rule::new(name(&format!("r{i}")), when, action::parse(then, &fleet).expect(then))
    };
    List::new(rules.iter().enumerate().map(rule).collect()).expect("a list")
}

/// Generates conditions with few subjects and thresholds, so that they often
/// overlap.
pub fn condition_text() -> impl Strategy<Value = String> {
    let operator = prop::sample::select(vec!["<", "<=", ">", ">=", "==", "!="]);
    let compared = (prop::sample::select(vec!["hour", "spare(lookup)"]), operator, 0..4u8);
    let flag = vec!["store_down", "wave", "down(rack r1)", "always", "weekday in sat..mon"];
    let load = vec!["load(transfer) > 50%", "load(pool registry) <= 50%", "known(spare(lookup))"];
    let term = prop_oneof![
        4 => compared.prop_map(|(what, operator, n)| format!("{what} {operator} {n}")),
        1 => prop::sample::select(flag).prop_map(str::to_owned),
        1 => prop::sample::select(load).prop_map(str::to_owned),
    ];
    term.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            inner.clone().prop_map(|one| format!("not ({one})")),
            prop::collection::vec(inner.clone(), 2..4)
                .prop_map(|all| format!("({})", all.join(" and "))),
            prop::collection::vec(inner, 2..4).prop_map(|any| format!("({})", any.join(" or "))),
        ]
    })
}

/// Generates situations in which values may be missing or stale.
pub fn situation() -> impl Strategy<Value = Situation> {
    let age = || prop::option::weighted(0.8, prop::sample::select(vec![0u64, 5, 500]));
    let values = (0..5u64, -1..5i32, any::<bool>(), any::<bool>(), 0..4u32, 0..3u32);
    (values, age(), age(), age(), age(), 0..7u64).prop_map(
        |((hour, spare, store, wave, in_flight, slots), a, b, c, d, day)| {
            let mut situation = Situation::new();
            situation.set_clock(Time::from_millis((day * 24 + hour) * 3_600_000), 0);
            let age = Duration::from_secs;
            a.map(|a| situation.set_spare(service("lookup"), spare, age(a)).clone());
            b.map(|b| situation.set_store_down(store, age(b)).clone());
            c.map(|c| situation.set_wave(wave, 0, age(c)).clone());
            d.map(|d| {
                situation.set_load(service("transfer"), in_flight, slots, age(d));
                situation.set_load(service("lookup"), in_flight, 1, age(d)).clone()
            });
            situation
        },
    )
}

/// Generates lists that end in `always`.
pub fn any_list() -> impl Strategy<Value = List> {
    prop::collection::vec(condition_text(), 0..5).prop_map(|texts| {
        let whens = texts.iter().map(String::as_str).chain(["always"]);
        list(&whens.map(|when| (when, "normal")).collect::<Vec<_>>())
    })
}

/// Returns a configuration with a fixed seed, so that failures are reproducible.
pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x00c0_71a4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
