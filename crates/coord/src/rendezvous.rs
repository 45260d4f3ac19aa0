//! Rendezvous hashing: selects members for a key so that all members agree without
//! communication.
//!
//! ```
//! use corianderfork_coord::rendezvous::select;
//!
//! let members = ["e1", "e2", "e3", "e4"];
//! let selected = select(members, "a1v1", 2);
//! assert_eq!(selected.len(), 2);
//! // Without the others, the same two are selected.
//! let others = members.into_iter().filter(|name| selected.contains(name));
//! assert_eq!(select(others, "a1v1", 2), selected);
//! ```

use crate::backoff::mix;

/// Returns the `count` members selected for `key`, or all if there are fewer.
///
/// When a member joins or leaves, only the keys that it is selected for change members.
pub fn select<'a>(
    members: impl IntoIterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> Vec<&'a str> {
    let seed = hash(0, key);
    let mut members: Vec<&str> = members.into_iter().collect();
    members.sort_by_cached_key(|member| (hash(seed, member), *member));
    members.truncate(count);
    members
}

/// Returns the same value in every process and version, unlike the standard library's
/// hasher.
fn hash(seed: u64, text: &str) -> u64 {
    text.bytes().fold(mix(seed), |hash, byte| mix(hash ^ u64::from(byte)))
}
