//! Load, run times and sizes, learned from reports that are late or wrong.

#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use corianderfork_model::Time;
use corianderfork_model::service::{Budget, Outlasts, Service};
use corianderfork_policy::sizing::{Load, Sizer, Usage};
use corianderfork_policy::{Config, Note};

fn usage(at: Time, milli_cores: u32) -> Usage {
    Usage { at, milli_cores, memory_mib: 1024 }
}

#[test]
fn size_declared_far_off() {
    let (mut fleet, pool) = fleet(1, 1);
    let service = add_service(&mut fleet, pool, "archive", (1, 4), Outlasts::Nothing);
    let now = minute(BEGIN);
    let mut sizer = Sizer::new(&fleet, now);
    let config = Config::default();
    assert_eq!(sizer.size(&fleet, service, &config).milli_cores, 3_000);
    // Values between 900 and 1100: the bound on the error that the docs state.
    let values: Vec<u32> = (0..180).map(|i| 900 + i * 37 % 201).collect();
    for &value in &values {
        sizer.record_usage(now, service, usage(now, value));
    }
    let learned = sizer.size(&fleet, service, &config).milli_cores;
    let above = values.iter().filter(|&&value| value > learned).count();
    assert!(above * 10 <= values.len(), "{above} of 180 values are above {learned}");
    let prior_error = (3_000 - 1_100) * 20 / (180 + 20);
    assert!(learned <= 1_200 + prior_error, "{learned} is further off than the prior explains");
}

#[test]
fn see_report_from_the_future() {
    // Symptom: copies are held for a load that never was.
    // Sequence: a proxy with a wrong clock reports a huge load of next year.
    // Cause: the newest report wins, and nothing newer comes for a year.
    let (mut fleet, pool) = fleet(1, 1);
    let service = add_service(&mut fleet, pool, "lookup", (1, 9), Outlasts::Nothing);
    let now = minute(BEGIN);
    let mut sizer = Sizer::new(&fleet, now);
    let config = Config::default();
    let load = |at, in_flight_milli| Load { at, in_flight_milli, ..Load::default() };
    sizer.record_load(now, &fleet, service, load(minute(BEGIN + 500_000), 900_000_000));
    sizer.record_usage(now, service, usage(minute(BEGIN + 500_000), 900_000_000));
    sizer.record_load(now, &fleet, service, load(now, 4_000));
    assert_eq!(sizer.demand(&fleet, service, &config, now).now, 1);
    assert_eq!(sizer.size(&fleet, service, &config), fleet.service(service).size);
}

#[test]
fn demand_refused_requests() {
    // Symptom: a service that is overloaded looks as large as its copies.
    // Sequence: all slots are taken; what finds none is refused.
    // Cause: requests in hand stop growing where the slots end.
    let (mut fleet, pool) = fleet(1, 1);
    let service = add_service(&mut fleet, pool, "transfer", (1, 9), Outlasts::Nothing);
    let mut sizer = Sizer::new(&fleet, minute(BEGIN));
    for at in BEGIN..BEGIN + 30 {
        // 8 in hand of 80 a second that are answered in 100 ms; 160 refused.
        let load = Load {
            at: minute(at),
            in_flight_milli: 8_000,
            arrivals_milli: 240_000,
            refused_milli: 160_000,
        };
        sizer.record_load(minute(at), &fleet, service, load);
    }
    let demand = sizer.demand(&fleet, service, &Config::default(), minute(BEGIN + 29));
    assert!((3..=4).contains(&demand.now), "{demand:?}");
}

#[test]
fn decide_cancellations_in_waves() {
    // Symptom: copies are stopped and started again, hour after hour.
    // Sequence: most requests are cancelled for half an hour and come back.
    // Cause: sizing follows each dip.
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "rally", (2, 10), Outlasts::DataCentre);
    let mut driver = Driver::new(fleet);
    driver.loads[0] = 40;
    driver.run(120);
    let moves = driver.moves;
    for _ in 0..4 {
        driver.loads[0] = 4;
        driver.run(30);
        driver.loads[0] = 40;
        driver.run(30);
        assert!(driver.able(service).len() >= 5);
    }
    assert_eq!(driver.moves, moves);
}

#[test]
fn decide_lasting_fall_of_load() {
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "rally", (2, 10), Outlasts::Nothing);
    let mut driver = Driver::new(fleet).weights(1, 10, 1);
    driver.loads[0] = 60;
    driver.run(120);
    assert!(driver.held(service) >= 8);
    driver.loads[0] = 4;
    driver.run(26 * 60);
    assert_eq!(driver.held(service), 2, "the budget's least copies are left");
}

#[test]
fn decide_stale_reports() {
    // Symptom: copies are stopped while callers are waiting.
    // Sequence: the platform's reports stop coming; time goes on.
    // Cause: no report is taken as no load.
    let (mut fleet, pool) = fleet(3, 2);
    let service = add_service(&mut fleet, pool, "rally", (1, 10), Outlasts::Nothing);
    let mut driver = Driver::new(fleet).weights(1, 10, 1);
    driver.loads[0] = 60;
    driver.run(120);
    let held = driver.held(service);
    driver.now += 300;
    let decision = driver.decide();
    assert!(decision.steps.is_empty(), "{decision:?}");
    assert!(decision.notes.contains(&Note::StaleLoad { service }));
    assert!(held >= 8);
}

#[test]
fn decide_controller_that_took_over() {
    // Symptom: copies move about whenever the controller changes.
    // Sequence: sizes declared too large were learned to be small, copies were
    // packed by that; the controller dies, and another one takes over.
    // Cause: by the declared sizes the VMs carry more than they have.
    let (mut fleet, pool) = fleet(2, 1);
    for text in ["a", "b", "c"] {
        let mut budget = Budget::new(2, 3);
        budget.outlasts = Outlasts::Nothing;
        fleet.add_service(Service::new(name(text), pool, size(8, 1), budget, 3));
    }
    let mut driver = Driver::new(fleet);
    let now = minute(BEGIN);
    let services: Vec<_> = driver.fleet.service_ids().collect();
    let usage = |driver: &mut Driver, milli_cores: u32| {
        for &service in &services {
            (0..400).for_each(|_| {
                driver.state.sizer.record_usage(now, service, usage(now, milli_cores))
            });
        }
    };
    usage(&mut driver, 1_000);
    driver.run(20);
    assert!(services.iter().all(|&service| driver.held(service) == 2));
    driver.state.sizer = Sizer::new(&driver.fleet, minute(driver.now));
    let moves = driver.moves;
    driver.run(120);
    assert_eq!(driver.moves, moves);
    // What is truly too large is known by its reports, and moved.
    usage(&mut driver, 7_000);
    driver.run(20);
    assert!(driver.moves > moves);
    assert!(driver.state.vms().all(|(_, vm)| vm.copies.len() <= 2));
}
