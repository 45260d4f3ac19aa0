//! Random interleavings of owners, workers and lost messages, checked against the invariants.

mod common;

use common::faults::{Event, FaultSimulation, Invariant, Violation};
use proptest::prelude::*;

fn event() -> impl Strategy<Value = Event> {
    let worker = 0usize..3;
    prop_oneof![
        6 => prop::collection::vec(1u32..4, 1..4).prop_map(Event::Submit),
        1 => (0usize..8).prop_map(Event::Cancel),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::LoseAnswers(w, on)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::Delay(w, on)),
        1 => worker.prop_map(Event::Crash),
        1 => Just(Event::Takeover),
        2 => any::<bool>().prop_map(Event::Store),
        12 => Just(Event::Pass),
    ]
}

/// Plays the events and asserts that an invariant holds.
fn check(events: &[Event], invariant: Invariant) -> Result<(), TestCaseError> {
    let mut simulation = FaultSimulation::new();
    for event in events {
        simulation.apply(event);
        simulation.step();
    }
    let violations: Vec<Violation> =
        simulation.finish().into_iter().filter(|v| v.invariant == invariant).collect();
    prop_assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

/// Events among which workers start again under their IDs.
fn event_with_restarts() -> impl Strategy<Value = Event> {
    prop_oneof![8 => event(), 1 => (0usize..3).prop_map(Event::Restart)]
}

fn events_with_restarts() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event_with_restarts(), 5..120)
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 5..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn plan_keeps_single_runs_under_random_faults(events in events()) {
        check(&events, Invariant::SingleRun)?;
    }

    #[test]
    fn plan_repeats_no_done_task_under_random_faults(events in events()) {
        check(&events, Invariant::NoRepeat)?;
    }

    #[test]
    fn plan_keeps_within_the_room_under_random_faults(events in events()) {
        check(&events, Invariant::Room)?;
    }

    #[test]
    fn plan_keeps_the_order_of_steps_under_random_faults(events in events()) {
        check(&events, Invariant::Order)?;
    }

    #[test]
    fn plan_completes_jobs_under_random_faults(events in events()) {
        check(&events, Invariant::Completion)?;
    }

    #[test]
    fn plan_leaves_no_run_of_an_ended_job_under_random_faults(events in events()) {
        check(&events, Invariant::NothingLeft)?;
    }

    #[test]
    fn plan_keeps_single_runs_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::SingleRun)?;
    }

    #[test]
    fn plan_repeats_no_done_task_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::NoRepeat)?;
    }

    #[test]
    fn plan_keeps_within_the_room_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::Room)?;
    }

    #[test]
    fn plan_keeps_the_order_of_steps_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::Order)?;
    }

    #[test]
    fn plan_completes_jobs_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::Completion)?;
    }

    #[test]
    fn plan_leaves_no_run_of_an_ended_job_while_workers_restart(events in events_with_restarts()) {
        check(&events, Invariant::NothingLeft)?;
    }
}
