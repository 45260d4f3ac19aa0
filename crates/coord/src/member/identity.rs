//! Identities of members and facts about them.

use std::time::Duration;

use corianderfork_model::{Name, Time};

/// One incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// The member's name.
    pub name: Name,
    /// The incarnation. A later process of the same name has a higher one.
    pub incarnation: u64,
}

impl Identity {
    /// Creates the identity of `name` in `incarnation`.
    pub fn new(name: Name, incarnation: u64) -> Self {
        Self { name, incarnation }
    }
}

/// What one member reports about another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The member that was seen.
    pub member: Identity,
    /// How long ago it was last known to be alive.
    pub age: Duration,
}

/// What a [`crate::drain::Barrier`] needs to know about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member.
    pub member: Identity,
    /// When it was last known to be alive, from direct contact or a report.
    pub last_contact: Time,
    /// Whether it cannot be in touch with a majority (see
    /// [`super::Table::peers`]).
    pub cut_off: bool,
}
