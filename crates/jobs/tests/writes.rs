//! Writes whose answers take several turns of the owner's event loop.
#![allow(clippy::expect_used)]

mod common;

use std::collections::VecDeque;

use common::{Simulation, at, step};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::Batch;

/// The keys of a write.
const KEYS: usize = 28;
/// The writes that are under way at once.
const WRITES: usize = 8;
/// How many turns the answer to a write takes.
const ANSWER_TURNS: usize = 3;

/// Accepts jobs and ends them at once.
fn end_jobs(simulation: &mut Simulation, ids: std::ops::Range<u64>) {
    for id in ids {
        let job = simulation.submit(id, vec![step(1, 1_000)]);
        assert!(simulation.pool.cancel(at(simulation.now), job));
    }
}

fn next_batch(simulation: &mut Simulation) -> Batch {
    simulation.pool.next_batch(at(simulation.now), 5_000, KEYS)
}

fn ids(batch: &Batch) -> Vec<JobId> {
    batch.updates.iter().map(|update| update.id).collect()
}

// Guards against ends that wait for the answer to a write of other jobs.
#[test]
fn next_batch_while_a_write_is_unanswered() {
    let mut simulation = Simulation::new(0);
    end_jobs(&mut simulation, 1..61);
    let first = ids(&next_batch(&mut simulation));
    let second = ids(&next_batch(&mut simulation));
    assert_eq!((first.len(), second.len()), (KEYS / 2, KEYS / 2));
    assert!(!first.iter().any(|id| second.contains(id)), "{first:?} and {second:?}");
}

// Guards against an owner that tells ends the later the more jobs end (SHORT): one write is under
// way at a time, so what is written in a turn doesn't grow with what ends, and the rest is listed
// by workers and asked for by callers again and again.
#[test]
fn next_batch_keeps_up_with_ends_while_answers_are_late() {
    for ends_per_turn in [5, 15, 30] {
        let mut simulation = Simulation::new(0);
        let mut under_way: VecDeque<(usize, Batch)> = VecDeque::new();
        let mut last = 1;
        for turn in 0..60 {
            end_jobs(&mut simulation, last..last + ends_per_turn);
            last += ends_per_turn;
            while let Some((_, batch)) = under_way.pop_front_if(|(answered, _)| *answered <= turn) {
                simulation.pool.confirm_batch(&batch);
            }
            while under_way.len() < WRITES {
                let batch = next_batch(&mut simulation);
                if batch.is_empty() {
                    break;
                }
                under_way.push_back((turn + ANSWER_TURNS, batch));
            }
            simulation.now += 100;
        }
        let unwritten = (1..last).filter(|id| !simulation.pool.is_written(JobId(*id))).count();
        let allowed = ends_per_turn * (ANSWER_TURNS as u64 + 1) + KEYS as u64;
        assert!(unwritten as u64 <= allowed, "{unwritten} of {ends_per_turn} a turn wait");
    }
}

// Guards against an older state that replaces a newer one: a job is written twice at once, and the
// writes are carried out in the other order.
#[test]
fn next_batch_leaves_out_a_job_whose_write_is_unanswered() {
    let mut simulation = Simulation::new(0);
    end_jobs(&mut simulation, 1..3);
    let batch = next_batch(&mut simulation);
    assert_eq!(ids(&batch), [JobId(1), JobId(2)]);
    assert!(next_batch(&mut simulation).is_empty());
    assert!(!simulation.pool.is_all_written());
    simulation.pool.confirm_batch(&batch);
    assert!(simulation.pool.is_all_written());
}
