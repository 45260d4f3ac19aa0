//! Random acts of a former owner and of its successor on the same workers during a partition, checked
//! against the invariants.

mod common;

use common::partition::{End, Event, Link, Partition, Side, WORKERS};
use proptest::prelude::*;

fn side() -> impl Strategy<Value = Side> {
    prop_oneof![Just(Side::Former), Just(Side::Newest)]
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        4 => Just(Link::Up),
        3 => Just(Link::Down),
        1 => Just(Link::OneWay),
        1 => Just(Link::Slow),
    ]
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![Just(End::Replaced), Just(End::AddressReused), Just(End::Restarted)]
}

fn duration() -> impl Strategy<Value = u64> {
    prop_oneof![3 => Just(700u64), 1 => Just(3_000), 1 => Just(15_000)]
}

fn event() -> impl Strategy<Value = Event> {
    let place = 0..WORKERS;
    prop_oneof![
        6 => prop::collection::vec((1u32..4, duration()), 1..4).prop_map(Event::Submit),
        1 => (2u32..4).prop_map(Event::SubmitLasting),
        2 => (side(), 0usize..8).prop_map(|(side, job)| Event::Cancel(side, job)),
        8 => (side(), place.clone(), link()).prop_map(|(side, w, link)| Event::Link(side, w, link)),
        2 => (place.clone(), end()).prop_map(|(w, end)| Event::End(w, end)),
        2 => place.clone().prop_map(Event::FailRun),
        4 => side().prop_map(Event::ListVms),
        2 => (side(), place).prop_map(|(side, w)| Event::Vacate(side, w)),
        4 => Just(Event::ListWorkers),
        34 => Just(Event::Pass),
    ]
}

fn events(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), count)
}

/// Events until an owner is cut off, until another one takes over, and until both sides meet.
fn partition() -> impl Strategy<Value = Vec<Event>> {
    let reached = any::<[bool; WORKERS]>();
    let parts = (events(10..60), reached, events(26..50), reached, events(10..110), any::<bool>());
    parts.prop_map(|(before, left, doubt, reached, during, heals)| {
        let mut events = before;
        events.push(Event::CutOff(left));
        events.extend(doubt);
        events.push(Event::TakeOver(reached));
        events.extend(during);
        events.push(if heals { Event::Heal } else { Event::Pass });
        events
    })
}

fn partitions() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(partition(), 1..3).prop_map(|parts| parts.concat())
}

/// Plays the events and asserts that the invariants hold.
fn check(events: &[Event]) -> Result<(), TestCaseError> {
    let mut simulation = Partition::new();
    for event in events {
        simulation.apply(event);
        simulation.step();
    }
    simulation.finish();
    let violations = simulation.violations();
    prop_assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn plan_beside_a_former_owner(events in partitions()) {
        check(&events)?;
    }
}
