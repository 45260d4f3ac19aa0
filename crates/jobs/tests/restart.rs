//! Tests of workers that start again under their IDs.

mod common;

use std::collections::BTreeSet;

use common::{Simulation, step};
use corianderfork_jobs::pool::Action;
use corianderfork_jobs::record::State;

/// Returns the number of runs that were started of all tasks of the jobs so far.
fn started_runs(sim: &Simulation) -> usize {
    let starts = sim.orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    starts.map(|order| order.run).collect::<BTreeSet<u64>>().len()
}

// Guards against a done task that runs again: the exits of a worker that started again under its
// ID were taken for those of its former instance, and acknowledged unread.
#[test]
fn handle_poll_answer_after_a_restart_with_fewer_exits() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(1, vec![step(4, 1_000)]);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(first), Some(State::Completed));
    let now = sim.now;
    sim.workers.get_mut("w0").expect("a worker").restart(now);
    sim.list_and_poll();
    let second = sim.submit(2, vec![step(2, 1_000)]);
    sim.run_for(2_000);
    assert_eq!(sim.pool.state(second), Some(State::Completed));
    assert_eq!(started_runs(&sim), 6, "a task ran again");
}
