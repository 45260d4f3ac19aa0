//! A versioned value that never goes back to an older version.
//!
//! A configuration reaches a process by a watch, by a read and from several
//! peers, in any order. If the last message to arrive won, a delayed one would
//! bring back an older configuration: an accepted change would be undone
//! although no operator undid it. [`Register`] accepts only revisions newer
//! than its own, whatever their source.
//!
//! ```
//! use corianderfork_coord::register::{Offer, Register};
//!
//! let mut register = Register::default();
//! assert_eq!(register.offer(3, "b"), Offer::Applied);
//! assert_eq!(register.offer(3, "b"), Offer::Same);
//! assert_eq!(register.offer(2, "a"), Offer::Stale);
//! assert_eq!(register.revision(), 3);
//! ```

/// The result of [`Register::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Offer {
    /// The value was newer and is now in force.
    Applied,
    /// The value has the revision that is already in force.
    Same,
    /// The value is older than the one in force. Its sender should be sent the
    /// newer one.
    Stale,
}

/// A value and the revision at which the platform's service accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register<T> {
    revision: u64,
    value: Option<T>,
}

impl<T> Default for Register<T> {
    fn default() -> Self {
        Self { revision: 0, value: None }
    }
}

impl<T> Register<T> {
    /// Replaces the value if `revision` is newer than the one in force.
    /// Revision 0 means "absent" in the platform's service and is always stale.
    pub fn offer(&mut self, revision: u64, value: T) -> Offer {
        if revision == 0 || revision < self.revision {
            return Offer::Stale;
        }
        if revision == self.revision {
            return Offer::Same;
        }
        self.revision = revision;
        self.value = Some(value);
        Offer::Applied
    }

    /// Returns the value in force, or `None` before the first one.
    pub fn get(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Returns the revision in force, 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
