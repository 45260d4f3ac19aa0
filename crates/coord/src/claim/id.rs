//! Ids of non-idempotent requests and of the attempts to run them.

use std::fmt;
use std::str::FromStr;

use corianderfork_model::Time;

use super::base64;
use crate::backoff::mix;

/// Position of the timestamp in a UUIDv7: the upper 48 bits.
const TIME_SHIFT: u32 = 80;
const VERSION_SHIFT: u32 = 76;
const VARIANT_SHIFT: u32 = 62;

/// The id of a non-idempotent request: a UUIDv7 (RFC 9562) that the caller
/// generates once and sends again with every retry. Ids are ordered by their
/// issue time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u128);

/// The error for a text or number that is not an [`Id`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The text is not 32 hexadecimal digits, with or without the four hyphens.
    #[error("the id is not a UUID; send 32 hexadecimal digits, such as `018f…-….-7…`")]
    Malformed,
    /// A UUID of a version without an issue time.
    #[error("the id is a UUID of version {0}; send one of version 7, which carries its age")]
    Version(u8),
}

impl Id {
    /// Creates an id from the 128 bits of a UUID.
    ///
    /// # Errors
    ///
    /// Returns an error unless the version and variant are those of a UUIDv7.
    ///
    /// ```
    /// use corianderfork_coord::claim::Id;
    ///
    /// let id: Id = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f".parse()?;
    /// assert_eq!(id.issued().as_millis(), 0x017f_22e2_79b0);
    /// assert_eq!(Id::new(id.as_u128())?, id);
    /// # Ok::<(), corianderfork_coord::claim::id::Error>(())
    /// ```
    pub fn new(uuid: u128) -> Result<Self, Error> {
        let version = (uuid >> VERSION_SHIFT) as u8 & 0xf;
        if version != 7 {
            return Err(Error::Version(version));
        }
        if (uuid >> VARIANT_SHIFT) & 0b11 != 0b10 {
            return Err(Error::Malformed);
        }
        Ok(Self(uuid))
    }

    /// Creates an id with the issue time `issued` (Unix time), made unique by
    /// `random`.
    pub fn issue(issued: Time, random: u64) -> Self {
        let time = u128::from(issued.as_millis()) << TIME_SHIFT;
        let low = u128::from(random) & ((1 << VARIANT_SHIFT) - 1);
        Self(time | 7 << VERSION_SHIFT | 0b10 << VARIANT_SHIFT | low)
    }

    /// Returns the issue time (Unix time) by the caller's clock.
    pub fn issued(self) -> Time {
        Time::from_millis((self.0 >> TIME_SHIFT) as u64)
    }

    /// Returns the bits of the UUID.
    pub fn as_u128(self) -> u128 {
        self.0
    }

    /// Returns a lower bound of all ids issued at `issued` or later, for
    /// splitting an ordered map at a point in time.
    pub(super) fn lower_bound(issued: Time) -> Self {
        Self(u128::from(issued.as_millis()) << TIME_SHIFT)
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let hyphens = s.len() == 36 && [8, 13, 18, 23].iter().all(|&at| s.as_bytes()[at] == b'-');
        let digits = if hyphens { s.replace('-', "") } else { s.to_owned() };
        let hex = digits.len() == 32 && digits.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex {
            return Err(Error::Malformed);
        }
        Self::new(u128::from_str_radix(&digits, 16).map_err(|_| Error::Malformed)?)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hex = format!("{:032x}", self.0);
        let (a, b, c) = (&hex[..8], &hex[8..12], &hex[12..16]);
        write!(f, "{a}-{b}-{c}-{}-{}", &hex[16..20], &hex[20..])
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// One attempt of one process to run a request.
///
/// A process creates a new attempt for each request that it receives, and keeps
/// it when it only repeats a claim that was not answered. An attempt that
/// received [`super::Verdict::Unavailable`] or was settled as
/// [`super::End::Abandoned`] must not be used again: it will not be granted any
/// more.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(u128);

impl Attempt {
    /// Returns the `count`-th attempt of the process with `incarnation`, which
    /// must be unique among all processes (for example a random or time-ordered
    /// number).
    pub const fn new(incarnation: u64, count: u64) -> Self {
        Self((incarnation as u128) << 64 | count as u128)
    }

    /// Returns the attempt as a number, for transmission.
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Converts a transmitted number back to an attempt.
    pub const fn from_u128(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the incarnation of the process that created the attempt.
    pub const fn incarnation(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

impl fmt::Debug for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&base64::encode(self.0))
    }
}

/// Returns the shard that is responsible for `id`, in `0..shards`.
///
/// The number of shards must not change while ids are remembered. Otherwise an
/// id would move to an owner that does not know it, and the request could run a
/// second time.
///
/// # Panics
///
/// Panics if `shards` is 0.
///
/// ```
/// use corianderfork_coord::claim::{shard, Id};
/// use corianderfork_model::Time;
///
/// let id = Id::issue(Time::from_millis(1_700_000_000_000), 99);
/// assert_eq!(shard(id, 4), shard(id, 4));
/// assert!(shard(id, 4) < 4);
/// ```
pub fn shard(id: Id, shards: u32) -> u32 {
    assert!(shards > 0, "at least one shard");
    let hash = mix(mix((id.0 >> 64) as u64) ^ id.0 as u64);
    (hash % u64::from(shards)) as u32
}
