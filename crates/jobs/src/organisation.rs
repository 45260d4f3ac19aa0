//! Organisations, on whose behalf callers submit jobs.
//!
//! An organisation has API keys, by which its callers are known, a limit on what its tasks may
//! occupy at once over all pools, and a weight. Only digests of keys are held.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest as _, Sha256};

use crate::allowance::WHOLE;
use crate::job::Room;

/// The key of an organisation within one pool's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(pub(crate) usize);

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Organisation {
    /// The name, which is unique and stays while keys change.
    pub name: String,
    /// Its share when all is full, and the number of jobs a second that it is owed.
    pub weight: u32,
    /// What its tasks may occupy at once over all pools; a part that is 0 has no limit.
    pub limit: Room,
}

impl Organisation {
    /// Returns whether the organisation has a limit.
    pub fn is_limited(&self) -> bool {
        self.limit != Room::default()
    }

    /// Returns whether tasks that need `needed` may start beside `used`, within `parts` of the
    /// limit, in units of [`WHOLE`].
    ///
    /// A task that exceeds the whole limit by itself, since the limit was lowered after its job was
    /// accepted, may run while nothing else of its organisation does.
    ///
    /// ```
    /// use corianderfork_jobs::allowance::WHOLE;
    /// use corianderfork_jobs::job::Room;
    /// use corianderfork_jobs::organisation::Organisation;
    ///
    /// let cpu = |cpu| Room { cpu, ..Room::default() };
    /// let organisation = Organisation { limit: cpu(8_000), ..Organisation::default() };
    /// assert!(organisation.allows(WHOLE / 2, &cpu(3_000), &cpu(1_000)));
    /// assert!(!organisation.allows(WHOLE / 2, &cpu(3_000), &cpu(2_000)));
    /// ```
    pub fn allows(&self, parts: u32, used: &Room, needed: &Room) -> bool {
        let fits = |limit: u64, used: u64, needed: u64| {
            limit == 0 || used.saturating_add(needed) <= part_of(limit, parts)
        };
        let is_oversized = self.is_oversized(needed);
        let is_alone = parts == WHOLE && *used == Room::default();
        (is_oversized && is_alone)
            || (fits(self.limit.cpu, used.cpu, needed.cpu)
                && fits(self.limit.memory_mb, used.memory_mb, needed.memory_mb)
                && fits(self.limit.gpu, used.gpu, needed.gpu))
    }

    /// Returns whether `needed` exceeds the whole limit.
    pub fn is_oversized(&self, needed: &Room) -> bool {
        let exceeds = |limit: u64, needed: u64| limit > 0 && needed > limit;
        exceeds(self.limit.cpu, needed.cpu)
            || exceeds(self.limit.memory_mb, needed.memory_mb)
            || exceeds(self.limit.gpu, needed.gpu)
    }

    /// Returns the parts of the limit that `room` takes, by the scarcest resource, rounded up and
    /// at most [`WHOLE`].
    pub fn parts_for(&self, room: &Room) -> u32 {
        let parts = |limit: u64, room: u64| {
            let scaled = u128::from(room) * u128::from(WHOLE);
            scaled.div_ceil(u128::from(limit.max(1))).min(u128::from(WHOLE)) as u32
        };
        let pairs = [
            (self.limit.cpu, room.cpu),
            (self.limit.memory_mb, room.memory_mb),
            (self.limit.gpu, room.gpu),
        ];
        let limited = pairs.into_iter().filter(|(limit, _)| *limit > 0);
        limited.map(|(limit, room)| parts(limit, room)).max().unwrap_or(0)
    }
}

fn part_of(limit: u64, parts: u32) -> u64 {
    u64::try_from(u128::from(limit) * u128::from(parts) / u128::from(WHOLE)).unwrap_or(u64::MAX)
}

/// The digest of an API key. It is shown as a short fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use corianderfork_jobs::organisation::Digest;
    ///
    /// let shown = format!("{:?}", Digest::of("secret"));
    /// assert!(!shown.contains("secret"));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The organisations of a configuration, and their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    organisations: Vec<Organisation>,
    by_key: HashMap<Digest, usize>,
}

/// A fault in a list of organisations.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Fault {
    /// Two organisations have the same name; the first one counts.
    #[error("the organisation {0:?} is listed twice; give each one a name of its own")]
    Name(String),
    /// Two organisations have the same key; the first one holds it.
    #[error("{first:?} and {second:?} share the key {digest}; replace it for one of them")]
    Key {
        /// The organisation that holds it.
        first: String,
        /// The other one.
        second: String,
        /// The key.
        digest: Digest,
    },
}

impl Directory {
    /// Adds an organisation with its keys. Returns the faults; everything else is added.
    ///
    /// ```
    /// use corianderfork_jobs::organisation::{Digest, Directory, Organisation};
    ///
    /// let named = |name: &str| Organisation { name: name.to_owned(), ..Organisation::default() };
    /// let mut directory = Directory::default();
    /// assert!(directory.add(named("a"), [Digest::of("one")]).is_empty());
    /// assert_eq!(directory.add(named("b"), [Digest::of("one"), Digest::of("two")]).len(), 1);
    /// assert_eq!(directory.find(&Digest::of("one")).map(|o| o.name.as_str()), Some("a"));
    /// assert_eq!(directory.find(&Digest::of("two")).map(|o| o.name.as_str()), Some("b"));
    /// ```
    pub fn add(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = Digest>,
    ) -> Vec<Fault> {
        if self.get(&organisation.name).is_some() {
            return vec![Fault::Name(organisation.name)];
        }
        let index = self.organisations.len();
        let mut faults = Vec::new();
        for digest in keys {
            let holder = *self.by_key.entry(digest).or_insert(index);
            if holder != index {
                let first = self.organisations[holder].name.clone();
                faults.push(Fault::Key { first, second: organisation.name.clone(), digest });
            }
        }
        self.organisations.push(organisation);
        faults
    }

    /// Returns the organisation that holds a key.
    pub fn find(&self, digest: &Digest) -> Option<&Organisation> {
        self.by_key.get(digest).and_then(|index| self.organisations.get(*index))
    }

    /// Returns an organisation by name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.name == name)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> &[Organisation] {
        &self.organisations
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}
