//! Avoids redundant timers for a state machine that reports when it is due next.

use corianderfork_model::Time;

/// The earliest timer that is set and has not fired.
#[derive(Clone, Copy, Debug, Default)]
pub struct Alarm {
    armed: Option<Time>,
}

impl Alarm {
    /// Records that the machine is due at `due`. Returns the time for which to set a
    /// timer, or `None` if one that fires early enough is already set; without this check
    /// each event would leave another timer behind.
    ///
    /// ```
    /// use corianderfork_model::Time;
    /// use corianderfork_proxy::alarm::Alarm;
    ///
    /// let at = Time::from_millis;
    /// let mut alarm = Alarm::default();
    /// assert_eq!(alarm.set(Some(at(20))), Some(at(20)));
    /// assert_eq!(alarm.set(Some(at(30))), None);
    /// assert_eq!(alarm.set(Some(at(10))), Some(at(10)));
    /// ```
    pub fn set(&mut self, due: Option<Time>) -> Option<Time> {
        let due = due.filter(|due| self.armed.is_none_or(|armed| *due < armed))?;
        self.armed = Some(due);
        Some(due)
    }

    /// Records that the timer set for `at` fired.
    pub fn fired(&mut self, at: Time) {
        if self.armed == Some(at) {
            self.armed = None;
        }
    }
}
