//! Rendezvous hashing: selects members for a key so that all members agree without
//! communication.

/// Returns the score of a member for a key; members with the lowest scores are selected.
///
/// FNV-1a over both names: the same in every process and version, unlike the
/// standard library's hasher.
pub(crate) fn score(key: &str, member: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = key.bytes().chain([0]).chain(member.bytes());
    let mixed = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    mixed ^ (mixed >> 29)
}

/// Returns the `count` members selected for a key, or all if there are fewer.
///
/// When a member joins or leaves, only the keys that it is selected for change members.
///
/// ```
/// use corianderfork_entry::rendezvous::select;
///
/// let members = ["e1", "e2", "e3", "e4"];
/// let selected = select(members.into_iter(), "5c0e7a21d94b36f8", 2);
/// assert_eq!(selected.len(), 2);
/// // Without the others, the same two are selected.
/// let others = members.into_iter().filter(|name| selected.contains(name));
/// assert_eq!(select(others, "5c0e7a21d94b36f8", 2), selected);
/// ```
pub fn select<'a>(members: impl Iterator<Item = &'a str>, key: &str, count: usize) -> Vec<&'a str> {
    let mut members: Vec<&str> = members.collect();
    members.sort_by_key(|member| (score(key, member), *member));
    members.truncate(count);
    members
}
