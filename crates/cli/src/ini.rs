//! The operator's file: read, checked, and compared with what is in force.

use std::fs::File;
use std::io::Read;

use corianderfork_config::{Change, Configuration, Diagnostic, diff};
use corianderfork_provider::store::MAX_VALUE;
use serde::Serialize;

use crate::error::{Error, Kind};

/// How the first line of a printed configuration begins; the revision follows.
const BASE: &str = "; corianderctl: revision ";

/// A mistake or a warning as scripts read it.
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

/// A difference between two configurations as scripts read it.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Difference {
    /// A section is new.
    Added {
        /// Its title.
        section: String,
    },
    /// A section is gone.
    Removed {
        /// Its title.
        section: String,
    },
    /// A key has another value.
    Set {
        /// The title of its section.
        section: String,
        /// The key.
        key: String,
        /// Its value before.
        from: Option<String>,
        /// Its value now.
        to: Option<String>,
    },
    /// The rules stand in another order.
    Order {
        /// The order before.
        from: Vec<String>,
        /// The order now.
        to: Vec<String>,
    },
    /// Something else about a section.
    Other {
        /// Its title.
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

/// Diagnostics as scripts read them.
pub fn mistakes(diagnostics: &[Diagnostic]) -> Vec<Mistake> {
    diagnostics.iter().map(Mistake::from).collect()
}

/// Changes as scripts read them.
pub fn differences(changes: &[Change]) -> Vec<Difference> {
    changes.iter().map(Difference::from).collect()
}

/// What `new` changes in `old`. Changed comments only are no change.
pub fn changes(old: &str, new: &str) -> Vec<Change> {
    diff(old, new)
}

/// Reads a file of at most the store's largest value; a larger one, or a
/// device without an end, is not taken into memory.
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
        Kind::NotText { path: path.to_owned(), offset }.into()
    })
}

/// Checks a whole configuration.
///
/// # Errors
///
/// Gives all mistakes at once.
pub fn check(path: &str, text: &str) -> Result<Configuration, Error> {
    corianderfork_config::parse(text).map_err(|mistakes| Error::mistakes(path, text, mistakes))
}

/// The line that says which revision a printed configuration is, so that an
/// edited copy of it can't undo what others applied after it was printed.
pub fn base_line(revision: u64) -> String {
    format!("{BASE}{revision}\n")
}

/// The revision that the text's first line says it is an edit of.
///
/// ```
/// use corianderfork_cli::ini;
///
/// let text = ini::base_line(7) + "[fleet]\n";
/// assert_eq!(ini::base(&text), Some(7));
/// assert_eq!(ini::base("[fleet]\n"), None);
/// ```
pub fn base(text: &str) -> Option<u64> {
    // Some editors put a byte order mark first; it must not hide the line.
    let first = text.lines().next()?.trim_start_matches('\u{feff}');
    first.strip_prefix(BASE)?.trim().parse().ok()
}

/// The text without the line of [`base_line`].
pub fn without_base(text: &str) -> &str {
    match base(text) {
        Some(_) => text.split_once('\n').map_or("", |(_, rest)| rest),
        None => text,
    }
}
