//! Differences between two configuration texts.

use std::collections::HashMap;
use std::fmt;

use crate::sink::Sink;
use crate::text::{self, Section};

/// One change between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// A section was added.
    Added {
        /// The section's title, such as `rack.k1`.
        section: String,
    },
    /// A section was removed.
    Removed {
        /// The section's title.
        section: String,
    },
    /// The value of a key was set, changed or removed.
    Set {
        /// The section's title.
        section: String,
        /// The key.
        key: String,
        /// The old value, if any.
        from: Option<String>,
        /// The new value, if any.
        to: Option<String>,
    },
    /// The order of the rules changed.
    Order {
        /// The rules that both texts have, in the old order.
        from: Vec<String>,
        /// The same rules in the new order.
        to: Vec<String>,
    },
}

impl Change {
    /// Returns the title of the changed section, or `rule` for a changed order.
    pub fn section(&self) -> &str {
        match self {
            Self::Added { section } | Self::Removed { section } | Self::Set { section, .. } => {
                section
            }
            Self::Order { .. } => "rule",
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { section } => write!(f, "[{section}] added"),
            Self::Removed { section } => write!(f, "[{section}] removed"),
            Self::Set { section, key, from, to } => {
                let display = |value: &Option<String>| match value {
                    Some(value) => format!("`{value}`"),
                    None => "unset".to_owned(),
                };
                write!(f, "[{section}] {key}: {} -> {}", display(from), display(to))
            }
            Self::Order { from, to } => {
                write!(f, "order of rules: {} -> {}", from.join(", "), to.join(", "))
            }
        }
    }
}

/// Returns the changes from `old` to `new` in the order of `new`, with removed
/// sections last.
///
/// Any two texts can be compared: invalid lines, comments and white space are
/// ignored.
///
/// ```
/// use corianderfork_config::diff;
///
/// let old = "[service.transfer]\nlicences = 12\n";
/// let new = "[service.transfer]\nlicences = 14 \n# more\n[pool.spare]\n";
/// let changes: Vec<_> = diff(old, new).iter().map(ToString::to_string).collect();
/// assert_eq!(changes, ["[service.transfer] licences: `12` -> `14`", "[pool.spare] added"]);
/// ```
pub fn diff(old: &str, new: &str) -> Vec<Change> {
    let (old, new) = (merged_sections(old), merged_sections(new));
    let mut changes = Vec::new();
    for section in &new {
        let title = section.title.text;
        match find(&old, title) {
            Some(old_section) => diff_keys(old_section, section, &mut changes),
            None => changes.push(Change::Added { section: title.to_owned() }),
        }
    }
    changes.extend(diff_order(&old, &new));
    let removed = old.iter().filter(|section| find(&new, section.title.text).is_none());
    changes
        .extend(removed.map(|section| Change::Removed { section: section.title.text.to_owned() }));
    changes
}

/// Returns the sections of `text`, with sections of the same title merged.
fn merged_sections(text: &str) -> Vec<Section<'_>> {
    let mut merged: Vec<Section<'_>> = Vec::new();
    let mut indices = HashMap::new();
    for section in text::read(text, &mut Sink::new(text)) {
        let index = *indices.entry(section.title.text).or_insert(merged.len());
        match merged.get_mut(index) {
            Some(first) => first.entries.extend(section.entries),
            None => merged.push(section),
        }
    }
    merged
}

fn find<'k, 'a>(sections: &'k [Section<'a>], title: &str) -> Option<&'k Section<'a>> {
    sections.iter().find(|section| section.title.text == title)
}

fn diff_keys(old: &Section<'_>, new: &Section<'_>, changes: &mut Vec<Change>) {
    let value = |section: &Section<'_>, key: &str| {
        section.get(key).map(|entry| entry.value.text.to_owned())
    };
    let mut diff_key = |key: &str| {
        let (from, to) = (value(old, key), value(new, key));
        if from != to {
            let section = new.title.text.to_owned();
            changes.push(Change::Set { section, key: key.to_owned(), from, to });
        }
    };
    new.entries.iter().for_each(|entry| diff_key(entry.key.text));
    let removed = old.entries.iter().filter(|entry| new.get(entry.key.text).is_none());
    removed.for_each(|entry| diff_key(entry.key.text));
}

/// Returns the change of order, if any, among the rules that both texts have.
fn diff_order(old: &[Section<'_>], new: &[Section<'_>]) -> Option<Change> {
    let common_rules = |sections: &[Section<'_>], other: &[Section<'_>]| -> Vec<String> {
        sections
            .iter()
            .filter(|section| section.kind() == "rule")
            .filter(|section| find(other, section.title.text).is_some())
            .filter_map(|section| section.name().map(|name| name.text.to_owned()))
            .collect()
    };
    let (from, to) = (common_rules(old, new), common_rules(new, old));
    (from != to).then_some(Change::Order { from, to })
}
