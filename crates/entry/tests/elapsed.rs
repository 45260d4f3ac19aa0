//! How long a wave has gone on, by a holder that has just started.

use std::time::Duration;

use corianderfork_entry::elapsed::Elapsed;
use corianderfork_model::Time;

#[test]
fn of_a_wave_that_a_successor_goes_on_with() {
    // Symptom: a wave ends after its deadline, though there was time enough.
    // Sequence: its holder restarts; pools ask for more VMs than there are, and VMs
    //   that carry work are left for a calmer moment while there is time.
    // Cause: the time was counted from the start of the process.
    let (mut elapsed, started) = (Elapsed::default(), Time::from_millis(300));
    let now = Time::from_millis(1_000);
    assert_eq!(elapsed.age(now, 1, started), Duration::from_millis(700), "nothing is written");
    elapsed.learn(Time::from_millis(400), 1, Duration::from_secs(25));
    assert_eq!(elapsed.age(now, 1, started), Duration::from_millis(25_600));
}

#[test]
fn of_a_wave_that_was_seen_before_it_was_written() {
    let mut elapsed = Elapsed::default();
    elapsed.learn(Time::from_millis(40_000), 1, Duration::from_secs(2));
    let since = Time::from_millis(1_000);
    assert_eq!(elapsed.age(Time::from_millis(41_000), 1, since), Duration::from_secs(40));
}
