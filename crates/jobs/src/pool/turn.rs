//! Workers in turns: a decision of a large pool looks at some of them, and the next one at others.

use crate::worker;

/// Returns the next workers with at most `at_most` runs together, but at least one, beginning at
/// `next`, and sets `next` to the first one that is left out. The workers are in order of their
/// keys, each with its number of runs.
pub(super) fn take_turn(
    workers: impl Iterator<Item = (worker::Key, usize)>,
    next: &mut Option<worker::Key>,
    at_most: usize,
) -> Vec<worker::Key> {
    let workers: Vec<(worker::Key, usize)> = workers.collect();
    let first = workers.partition_point(|(key, _)| Some(*key) < *next);
    let (before, behind) = workers.split_at(first);
    let mut runs = 0;
    let mut in_turn = Vec::new();
    for (key, count) in behind.iter().chain(before) {
        runs += count;
        if runs > at_most && !in_turn.is_empty() {
            *next = Some(*key);
            break;
        }
        in_turn.push(*key);
    }
    in_turn
}
