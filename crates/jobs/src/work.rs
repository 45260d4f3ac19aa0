//! Amounts of work: room, occupied for a time.

use std::time::Duration;

use crate::job::Room;

/// Room multiplied by seconds; as work per second, also room.
///
/// The parts are independent, as in [`Room`]: thousandths of a core, megabytes, accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// CPU.
    pub cpu: f64,
    /// Memory.
    pub memory_mb: f64,
    /// Accelerators.
    pub gpu: f64,
}

impl Work {
    /// Returns the work of occupying `room` for `time`.
    pub fn of(room: &Room, time: Duration) -> Self {
        let part = |part: u64| part as f64 * time.as_secs_f64();
        Self { cpu: part(room.cpu), memory_mb: part(room.memory_mb), gpu: part(room.gpu) }
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        *self = self.zip(other, |a, b| a + b);
    }

    /// Returns the larger value of each part.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, f64::max)
    }

    /// Returns the smaller value of each part.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, f64::min)
    }

    /// Returns this work multiplied by `factor`.
    #[must_use]
    pub fn times(&self, factor: f64) -> Self {
        self.zip(self, |a, _| a * factor)
    }

    /// Subtracts `other` from each part, down to zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.zip(other, |a, b| (a - b).max(0.0))
    }

    /// Returns the square of each part.
    #[must_use]
    pub fn squared(&self) -> Self {
        self.zip(self, |a, b| a * b)
    }

    /// Returns the square root of each part.
    #[must_use]
    pub fn sqrt(&self) -> Self {
        self.zip(self, |a, _| a.sqrt())
    }

    /// Returns this work divided by `time` in seconds: the room that does it within `time`.
    #[must_use]
    pub fn per(&self, time: Duration) -> Self {
        let seconds = time.as_secs_f64().max(1e-3);
        self.zip(self, |a, _| a / seconds)
    }

    /// Converts each part to room, rounded up.
    pub fn to_room(self) -> Room {
        let whole = |part: f64| part.ceil().clamp(0.0, 1e15) as u64;
        Room { cpu: whole(self.cpu), memory_mb: whole(self.memory_mb), gpu: whole(self.gpu) }
    }

    fn zip(&self, other: &Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            cpu: f(self.cpu, other.cpu),
            memory_mb: f(self.memory_mb, other.memory_mb),
            gpu: f(self.gpu, other.gpu),
        }
    }
}
