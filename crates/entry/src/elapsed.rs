//! How long ago waves began.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::Time;

/// How long ago each wave began, over several holders of the duty. Pure.
///
/// A holder sees a wave begin when it first reads of it. One that has just started
/// would take it that the wave has all of its time left, put work off that has to be
/// done now, and end it late. So how long it has gone on is written with how far it
/// is, and the next one counts on from there. Clocks of VMs differ; what is written is
/// a time span.
///
/// ```
/// use std::time::Duration;
///
/// use corianderfork_entry::elapsed::Elapsed;
/// use corianderfork_model::Time;
///
/// let mut elapsed = Elapsed::default();
/// elapsed.learn(Time::from_millis(500), 7, Duration::from_secs(20));
/// let now = Time::from_millis(1_500);
/// assert_eq!(elapsed.of(now, 7, Time::from_millis(100)), Duration::from_secs(21));
/// // Of another wave nothing was written.
/// assert_eq!(elapsed.of(now, 8, Time::from_millis(100)), Duration::from_millis(1_400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Elapsed {
    /// When it was read, and how long the wave had gone on by what was written.
    read: BTreeMap<u64, (Time, Duration)>,
}

impl Elapsed {
    /// Takes in how long a wave had gone on when that was last written.
    pub fn learn(&mut self, now: Time, wave: u64, written: Duration) {
        self.read.insert(wave, (now, written));
    }

    /// How long a wave has gone on at least. `since` is when this process first saw it.
    pub fn of(&self, now: Time, wave: u64, since: Time) -> Duration {
        let written = self.read.get(&wave).map(|(at, written)| *written + (now - *at));
        written.unwrap_or_default().max(now - since)
    }
}
