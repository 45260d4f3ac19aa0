//! Divides names into groups that share a prefix.
//!
//! The platform's store selects keys by prefix alone, so keys can be watched in
//! groups only if each group has a prefix of its own.
//!
//! ```
//! use corianderfork_coord::partition::prefixes;
//!
//! let names = ["a1v1", "a1v2", "b1v1", "b1v2", "b1v3"];
//! assert_eq!(prefixes(names, 2), ["a1v", "b1v"]);
//! assert_eq!(prefixes(names, 4), ["a1v", "b1v1", "b1v2", "b1v3"]);
//! assert_eq!(prefixes(names, 5), names);
//! ```

use std::collections::BTreeSet;

/// A group of sorted names, by their indexes, and the length of its prefix.
#[derive(Clone, Copy, Debug)]
struct Group {
    start: usize,
    end: usize,
    prefix_len: usize,
}

impl Group {
    fn new(names: &[&str], start: usize, end: usize) -> Self {
        let (first, last) = (names[start], names[end - 1]);
        let shared = first.chars().zip(last.chars()).take_while(|(a, b)| a == b);
        Self { start, end, prefix_len: shared.map(|(char, _)| char.len_utf8()).sum() }
    }

    fn len(&self) -> usize {
        self.end - self.start
    }

    /// Divides the group by the character that follows its prefix. A name that is
    /// itself the prefix becomes a group of its own.
    fn split(&self, names: &[&str]) -> Vec<Self> {
        let next_char = |index: usize| names[index][self.prefix_len..].chars().next();
        let mut groups = Vec::new();
        let mut start = self.start;
        for index in self.start + 1..=self.end {
            if index == self.end || next_char(index) != next_char(start) {
                groups.push(Self::new(names, start, index));
                start = index;
            }
        }
        groups
    }
}

/// Returns at most `limit` prefixes, ordered, so that each of `names` begins with one
/// of them. Returns none for a limit of 0.
///
/// The largest group is divided first. With a limit of at least the number of names,
/// each name is a prefix of its own. A name that begins with another name also begins
/// with that name's prefix.
pub fn prefixes<'a>(names: impl IntoIterator<Item = &'a str>, limit: usize) -> Vec<String> {
    let names: Vec<&str> = names.into_iter().collect::<BTreeSet<_>>().into_iter().collect();
    if names.is_empty() || limit == 0 {
        return Vec::new();
    }
    let mut groups = vec![Group::new(&names, 0, names.len())];
    loop {
        let mut by_size: Vec<usize> =
            (0..groups.len()).filter(|at| groups[*at].len() > 1).collect();
        by_size.sort_by_key(|at| std::cmp::Reverse(groups[*at].len()));
        let split = by_size.into_iter().find_map(|at| {
            let parts = groups[at].split(&names);
            (groups.len() - 1 + parts.len() <= limit).then_some((at, parts))
        });
        let Some((at, parts)) = split else { break };
        groups.splice(at..=at, parts);
    }
    groups.iter().map(|group| names[group.start][..group.prefix_len].to_owned()).collect()
}
