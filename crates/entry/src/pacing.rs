//! How many VMs of a wave may be away at once.

use std::time::Duration;

/// How long one VM takes: it is emptied, which takes as long as its longest task,
/// and maintained for two seconds.
const ROUND: Duration = Duration::from_millis(4_500);
/// What is kept in reserve until a wave's deadline: lasting tasks leave a VM one
/// after the other.
const RESERVE: Duration = Duration::from_millis(6_000);

/// How far a wave of maintenance is. Pure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wave {
    /// VMs that are left.
    pub left: usize,
    /// VMs that may be away at once.
    pub most: usize,
    /// How long ago it was asked for.
    pub age: Duration,
    /// How long it may take.
    pub within: Duration,
}

impl Wave {
    /// How many VMs may be away now.
    ///
    /// Spread evenly over its time a wave takes few VMs at once; as many as may be
    /// at once take a fifth of a fleet just when a queue's busy time begins. While
    /// pools are short of VMs none goes, as long as the rest of the time is enough
    /// for all that are left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderfork_entry::pacing::Wave;
    ///
    /// let age = Duration::ZERO;
    /// let wave = Wave { left: 24, most: 10, age, within: Duration::from_secs(26) };
    /// assert_eq!(wave.at_once(false), 6);
    /// assert_eq!(wave.at_once(true), 0);
    /// let late = Wave { age: Duration::from_secs(18), ..wave };
    /// assert_eq!(late.at_once(true), 10);
    /// ```
    pub fn at_once(&self, is_short: bool) -> usize {
        let time = self.within.saturating_sub(self.age).saturating_sub(RESERVE);
        let work = ROUND.saturating_mul(u32::try_from(self.left).unwrap_or(u32::MAX));
        let rounds = self.left.div_ceil(self.most.max(1));
        let least = ROUND.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX));
        if least >= time {
            return self.most;
        }
        if is_short {
            return 0;
        }
        let paced = (work.as_secs_f64() / time.as_secs_f64()).ceil() as usize;
        paced.clamp(1, self.most)
    }
}
