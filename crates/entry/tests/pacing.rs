//! Waves beside the work. The load is that of queues that take turns: every few
//! seconds one begins to ask for half of the fleet, while a wave that takes half
//! of all VMs out for two seconds each has some twenty-five seconds.

use std::time::Duration;

use corianderfork_entry::pacing::Wave;

const WITHIN: Duration = Duration::from_secs(26);

fn wave(left: usize, age_s: u64) -> Wave {
    Wave { left, most: 10, age: Duration::from_secs(age_s), within: WITHIN }
}

/// Plays a wave in which one VM takes `takes` seconds, while pools are short in
/// the first `short` seconds of each nine: when it ends, and the most VMs away.
fn play(takes: u64, short: u64) -> (u64, usize) {
    let (mut left, mut away, mut most) = (24_usize, Vec::new(), 0);
    for second in 0..60 {
        away.retain(|until| *until > second);
        let is_short = second % 9 < short;
        let may = wave(left + away.len(), second).at_once(is_short);
        while away.len() < may && left > 0 {
            left -= 1;
            away.push(second + takes);
        }
        most = most.max(away.len());
        if left == 0 && away.is_empty() {
            return (second, most);
        }
    }
    (60, most)
}

#[test]
fn at_once_spreads_a_wave() {
    // Symptom: a queue's busy time begins and ten VMs of 48 are in maintenance.
    // Sequence: a wave is asked for; all VMs that stand idle go at once.
    // Cause: a wave took as many at once as it might, however long it had.
    let (end, most) = play(2, 0);
    assert!(end < 26, "{end}");
    assert!(most <= 6, "{most}");
}

#[test]
fn at_once_waits_while_pools_are_short_and_is_in_time() {
    for takes in [2, 4] {
        let (end, _) = play(takes, 4);
        assert!(end < 26, "{takes}: {end}");
    }
    assert_eq!(wave(24, 0).at_once(true), 0);
}

#[test]
fn at_once_takes_all_that_may_go_near_the_end() {
    assert_eq!(wave(24, 20).at_once(true), 10);
    assert_eq!(wave(1, 25).at_once(true), 10);
}
