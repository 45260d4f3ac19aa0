//! The ages of waves.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long ago each wave began, across holders of the planner's duty. It does no I/O.
///
/// A holder sees a wave begin when it first reads it. A new holder would assume that the
/// wave has all of its time left, postpone urgent work, and finish late. So the age is
/// stored with the wave's progress, and the next holder counts on from there. The stored
/// value is a duration, since the clocks of VMs differ.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_entry::wave_ages::WaveAges;
/// use corianderfork_model::Time;
///
/// let mut wave_ages = WaveAges::default();
/// wave_ages.set(Time::from_millis(500), 7, Duration::from_secs(20));
/// let now = Time::from_millis(1_500);
/// assert_eq!(wave_ages.age(now, 7, Time::from_millis(100)), Duration::from_secs(21));
/// // Nothing was stored for the other wave.
/// assert_eq!(wave_ages.age(now, 8, Time::from_millis(100)), Duration::from_millis(1_400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaveAges {
    /// When each wave's age was read, and the stored age.
    read: BTreeMap<u64, (Time, Duration)>,
}

impl WaveAges {
    /// Records the age of a wave as it was last stored.
    pub fn set(&mut self, now: Time, wave: u64, written: Duration) {
        self.read.insert(wave, (now, written));
    }

    /// Returns the least age of a wave. `since` is when this process first saw it.
    pub fn age(&self, now: Time, wave: u64, since: Time) -> Duration {
        let written = self.read.get(&wave).map(|(at, written)| *written + (now - *at));
        written.unwrap_or_default().max(now - since)
    }
}
