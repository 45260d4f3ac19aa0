//! Tests of the proof by which a task is started that has run before.

mod common;

use common::{Simulation, at, step};
use corianderfork_jobs::pool::proof::Proof;
use corianderfork_jobs::pool::{Action, Answer, Note};

/// Returns the notes of starts of tasks that have run before.
fn restarts(sim: &mut Simulation) -> Vec<Note> {
    let mut notes = sim.pool.take_notes();
    notes.retain(|note| note.event == "task restarted");
    notes
}

// Guards against a start elsewhere of which the log doesn't say how many orders of the former run
// are without an answer.
#[test]
fn take_notes_after_a_start_was_refused() {
    let mut sim = Simulation::new(2);
    sim.submit(1, vec![step(1, 1_000)]);
    let order = sim.pool.plan(at(sim.now), 0).remove(0);
    assert!(restarts(&mut sim).is_empty(), "it hasn't run before");
    sim.pool.handle_order_answer(at(sim.now), &order, &Answer::Unhealthy);
    let next = sim.pool.plan(at(sim.now), 0);
    assert!(matches!(next[0].action, Action::Start { .. }));
    let [note] = &restarts(&mut sim)[..] else { panic!("not one restart") };
    assert_eq!(note.proof, Some(Proof::NotStarted));
    assert!(note.why.ends_with("1 start orders, 0 on their way"), "{}", note.why);
}

#[test]
fn take_notes_after_a_run_was_stopped() {
    let mut sim = Simulation::new(2);
    sim.task_ms = 5_000;
    sim.submit(1, vec![step(1, 1_000)]);
    sim.run_for(300);
    let worker = sim.workers.values().position(|worker| !worker.running.is_empty());
    let id = sim.workers.keys().nth(worker.expect("a run")).expect("a worker").clone();
    sim.workers.get_mut(&id).expect("a worker").deadline = 0;
    sim.run_for(300);
    let notes = restarts(&mut sim);
    assert!(matches!(notes[0].proof, Some(Proof::Exit(_))), "{notes:?}");
}
