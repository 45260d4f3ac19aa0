//! IDs of jobs.

use std::fmt;
use std::str::FromStr;

/// Number of hexadecimal digits of an ID.
const DIGITS: usize = 16;

/// The ID of a job: 16 hexadecimal digits, chosen by the caller and repeated with each retry.
///
/// ```
/// use corianderfork_jobs::JobId;
///
/// let id: JobId = "5c0e7a21d94b36f8".parse()?;
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5C0E".parse::<JobId>().is_err());
/// # Ok::<(), corianderfork_jobs::id::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The text is not a job ID.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a job id is {DIGITS} hexadecimal digits in lower case; send one")]
pub struct Error;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(Error);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error)
    }
}
