//! Fractions in thousandths.

use std::fmt;

/// A fraction of a whole in thousandths, 0 to 1000.
///
/// An integer, so that processes that compute a share from the same numbers get
/// the same result.
///
/// ```
/// use corianderfork_model::Share;
///
/// let share = Share::from_per_mille(250).expect("within 1000");
/// assert_eq!(share.of(10), 3); // rounded up
/// assert_eq!(share.to_string(), "25%");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u16);

impl Share {
    /// The whole: 1000 thousandths.
    pub const WHOLE: Self = Self(1000);

    /// Creates a share of `thousandths`, or returns `None` above 1000.
    pub const fn from_per_mille(thousandths: u16) -> Option<Self> {
        if thousandths <= 1000 { Some(Self(thousandths)) } else { None }
    }

    /// Returns the share in thousandths.
    pub const fn per_mille(self) -> u16 {
        self.0
    }

    /// Returns this share of `count`, rounded up.
    pub const fn of(self, count: u32) -> u32 {
        (count as u64 * self.0 as u64).div_ceil(1000) as u32
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 10 {
            0 => write!(f, "{}%", self.0 / 10),
            tenth => write!(f, "{}.{tenth}%", self.0 / 10),
        }
    }
}
