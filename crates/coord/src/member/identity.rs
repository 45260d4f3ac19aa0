//! What one process knows of another.

use std::time::Duration;

use corianderfork_model::{Name, Time};

/// One incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// Its incarnation; a later process of the same name has a higher one.
    pub incarnation: u64,
}

impl Identity {
    /// The member `name` in `incarnation`.
    pub fn new(name: Name, incarnation: u64) -> Self {
        Self { name, incarnation }
    }
}

/// What one member passes on about another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The member it is about.
    pub member: Identity,
    /// How long ago it was last known alive.
    pub age: Duration,
}

/// A member as a [`crate::drain::Barrier`] needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member.
    pub member: Identity,
    /// When it was last known alive, directly or by hearsay.
    pub last_contact: Time,
    /// Whether it can't be in touch with a majority (see [`super::Table::peers`]).
    pub cut_off: bool,
}
