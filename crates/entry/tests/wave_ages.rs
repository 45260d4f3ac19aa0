//! The age of a wave for a holder that has just started.

use std::time::Duration;

use corianderfork_entry::wave_ages::WaveAges;
use corianderfork_model::Time;

#[test]
fn age_for_a_successor() {
    // Failure: a wave ends after its deadline although there was enough time. Its holder
    // restarted while pools wanted more VMs than there are, and VMs with work were postponed
    // as long as there was time. The age was counted from the start of the process.
    let (mut wave_ages, started) = (WaveAges::default(), Time::from_millis(300));
    let now = Time::from_millis(1_000);
    assert_eq!(wave_ages.age(now, 1, started), Duration::from_millis(700), "no age is stored");
    wave_ages.set(Time::from_millis(400), 1, Duration::from_secs(25));
    assert_eq!(wave_ages.age(now, 1, started), Duration::from_millis(25_600));
}

#[test]
fn age_seen_before_it_was_stored() {
    let mut wave_ages = WaveAges::default();
    wave_ages.set(Time::from_millis(40_000), 1, Duration::from_secs(2));
    let since = Time::from_millis(1_000);
    assert_eq!(wave_ages.age(Time::from_millis(41_000), 1, since), Duration::from_secs(40));
}
