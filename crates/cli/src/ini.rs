//! Reads, checks and compares the operator's configuration file.

use std::fs::File;
use std::io::Read;

use corianderfork_config::{Change, Configuration, Diagnostic, diff};
use corianderfork_provider::store::MAX_VALUE;
use serde::Serialize;

use crate::error::{Error, Kind};

/// The beginning of the first line of a printed configuration; the revision
/// follows.
const BASE_PREFIX: &str = "; corianderctl: revision ";

/// The JSON form of a diagnostic of a configuration.
#[derive(Clone, Debug, Serialize)]
pub struct Mistake {
    severity: String,
    line: usize,
    column: usize,
    length: usize,
    message: String,
    help: String,
}

impl From<&Diagnostic> for Mistake {
    fn from(diagnostic: &Diagnostic) -> Self {
        Self {
            severity: diagnostic.severity.to_string(),
            line: diagnostic.line,
            column: diagnostic.column,
            length: diagnostic.len,
            message: diagnostic.message.clone(),
            help: diagnostic.help.clone(),
        }
    }
}

/// The JSON form of a change between two configurations.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Difference {
    /// A section was added.
    Added {
        /// The section's title.
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
        /// The old order.
        from: Vec<String>,
        /// The new order.
        to: Vec<String>,
    },
    /// Another change of a section.
    Other {
        /// The section's title.
        section: String,
    },
}

impl From<&Change> for Difference {
    fn from(change: &Change) -> Self {
        match change.clone() {
            Change::Added { section } => Self::Added { section },
            Change::Removed { section } => Self::Removed { section },
            Change::Set { section, key, from, to, .. } => Self::Set { section, key, from, to },
            Change::Order { from, to, .. } => Self::Order { from, to },
            other => Self::Other { section: other.section().to_owned() },
        }
    }
}

/// Converts diagnostics to their JSON form.
pub fn mistakes(diagnostics: &[Diagnostic]) -> Vec<Mistake> {
    diagnostics.iter().map(Mistake::from).collect()
}

/// Converts changes to their JSON form.
pub fn differences(changes: &[Change]) -> Vec<Difference> {
    changes.iter().map(Difference::from).collect()
}

/// Returns the changes from `old` to `new`, without those of comments.
pub fn changes(old: &str, new: &str) -> Vec<Change> {
    diff(old, new)
}

/// Reads a file of at most the size of the store's largest value. A larger file, or
/// an endless device, is not read into memory.
///
/// # Errors
///
/// Fails if the file can't be read, is too large, or is not text.
pub fn read(path: &str) -> Result<String, Error> {
    let failed = |cause| Kind::File { path: path.to_owned(), cause };
    let file = File::open(path).map_err(failed)?;
    let mut bytes = Vec::new();
    file.take(MAX_VALUE as u64 + 1).read_to_end(&mut bytes).map_err(failed)?;
    if bytes.len() > MAX_VALUE {
        return Err(Kind::TooLarge { path: path.to_owned() }.into());
    }
    String::from_utf8(bytes).map_err(|error| {
        let offset = error.utf8_error().valid_up_to();
        Kind::NotUtf8 { path: path.to_owned(), offset }.into()
    })
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// Fails with all errors of the configuration.
pub fn check(path: &str, text: &str) -> Result<Configuration, Error> {
    corianderfork_config::parse(text)
        .map_err(|diagnostics| Error::mistakes(path, text, diagnostics))
}

/// Returns the first line of a printed configuration, which names its revision, so
/// that an edited copy can't undo what others applied after it was printed.
pub fn base_line(revision: u64) -> String {
    format!("{BASE_PREFIX}{revision}\n")
}

/// Returns the revision named by the first line of the text, if any.
///
/// ```
/// use corianderfork_cli::ini;
///
/// let text = ini::base_line(7) + "[fleet]\n";
/// assert_eq!(ini::base(&text), Some(7));
/// assert_eq!(ini::base("[fleet]\n"), None);
/// ```
pub fn base(text: &str) -> Option<u64> {
    // Some editors put a byte order mark before the first line.
    let first_line = text.lines().next()?.trim_start_matches('\u{feff}');
    first_line.strip_prefix(BASE_PREFIX)?.trim().parse().ok()
}

/// Returns the text without the line of [`base_line`].
pub fn without_base(text: &str) -> &str {
    match base(text) {
        Some(_) => text.split_once('\n').map_or("", |(_, rest)| rest),
        None => text,
    }
}
