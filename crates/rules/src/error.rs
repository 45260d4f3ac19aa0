//! Errors in the text of conditions and actions.

use std::ops::Range;

/// A mistake in a text, with its position and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}")]
pub struct Error {
    kind: Kind,
    span: Range<usize>,
    help: String,
}

/// The kind of a mistake.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The text is empty or incomplete.
    #[error("the text ends where {0} is expected")]
    UnexpectedEnd(&'static str),
    /// The text is longer than [`MAX_LEN`].
    #[error("the text has {0} bytes; the maximum is {MAX_LEN}")]
    TooLong(usize),
    /// Parentheses and `not`s are nested more than [`MAX_DEPTH`] deep.
    #[error("parentheses and `not`s are nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// A character that occurs in no condition or action.
    #[error("unexpected character `{0}`")]
    UnexpectedCharacter(char),
    /// Another token is expected here.
    #[error("found `{found}`, expected {expected}")]
    Unexpected {
        /// The token found.
        found: String,
        /// What is expected.
        expected: &'static str,
    },
    /// A word that is not a quantity, flag or action.
    #[error("`{0}` is unknown")]
    UnknownWord(String),
    /// A name that is not in the configuration.
    #[error("there is no {category} called `{name}`")]
    UnknownName {
        /// `service`, `pool`, `data centre`, `rack` or `VM`.
        category: &'static str,
        /// The name.
        name: String,
    },
    /// A pool without services, which has no values.
    #[error("pool `{0}` has no services")]
    EmptyPool(String),
    /// A text that is not a number, or has too many digits.
    #[error("`{0}` is not a valid number")]
    InvalidNumber(String),
    /// A number outside its bounds.
    #[error("`{found}` is out of bounds; expected {min} to {max}")]
    OutOfBounds {
        /// The number as written.
        found: String,
        /// The minimum.
        min: String,
        /// The maximum.
        max: String,
    },
    /// A number with a missing or wrong unit.
    #[error("`{quantity}` is compared with {expected}, not with `{found}`")]
    WrongUnit {
        /// The quantity.
        quantity: String,
        /// The number as written.
        found: String,
        /// What the quantity is compared with.
        expected: &'static str,
    },
    /// Two conflicting actions in the same text.
    #[error("`{0}` conflicts with an earlier action")]
    Conflict(String),
}

/// The maximum length of a text, in bytes.
pub const MAX_LEN: usize = 4_096;
/// The maximum nesting of parentheses and `not`s.
pub const MAX_DEPTH: usize = 32;

impl Error {
    pub(crate) fn new(kind: Kind, span: Range<usize>, help: impl Into<String>) -> Self {
        Self { kind, span, help: help.into() }
    }

    /// Returns the kind of the mistake.
    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    /// Returns the byte offset of the mistake in the text.
    pub fn offset(&self) -> usize {
        self.span.start
    }

    /// Returns the length of the mistake in bytes; zero at the end of the text.
    pub fn len(&self) -> usize {
        self.span.len()
    }

    /// Whether the mistake has no length, as at the end of the text.
    pub fn is_empty(&self) -> bool {
        self.span.is_empty()
    }

    /// Returns the remedy.
    pub fn help(&self) -> &str {
        &self.help
    }
}
