//! Why a text is not a condition or an action.

use std::ops::Range;

/// What is wrong with a text, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}")]
pub struct Error {
    kind: Kind,
    at: Range<usize>,
    help: String,
}

/// The kinds of mistakes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The text is empty, or ends before it is complete.
    #[error("the text ends where {0} is due")]
    UnexpectedEnd(&'static str),
    /// The text is longer than [`MAX_LEN`].
    #[error("the text has {0} bytes; {MAX_LEN} is the most")]
    TooLong(usize),
    /// More parentheses and `not`s inside one another than [`MAX_DEPTH`].
    #[error("more than {MAX_DEPTH} parentheses and `not`s inside one another")]
    TooDeep,
    /// A character that no condition and no action has.
    #[error("`{0}` has no meaning here")]
    UnexpectedCharacter(char),
    /// Something else is due here.
    #[error("`{found}` stands where {expected} is due")]
    Unexpected {
        /// What stands there.
        found: String,
        /// What is due.
        expected: &'static str,
    },
    /// A word that is no quantity, flag or action.
    #[error("`{0}` is unknown")]
    UnknownWord(String),
    /// A name that the configuration does not have.
    #[error("there is no {category} called `{name}`")]
    UnknownName {
        /// `service`, `pool`, `data centre`, `rack` or `VM`.
        category: &'static str,
        /// The name.
        name: String,
    },
    /// A pool that carries no service, so that it has no value.
    #[error("pool `{0}` carries no service")]
    EmptyPool(String),
    /// A number that is no number, or has more digits than count.
    #[error("`{0}` is no number that fits here")]
    InvalidNumber(String),
    /// A number outside its bounds.
    #[error("`{found}` is out of bounds, which are {min} to {max}")]
    OutOfBounds {
        /// The number as written.
        found: String,
        /// The least.
        min: String,
        /// The most.
        max: String,
    },
    /// A number without its unit, or with another's.
    #[error("`{quantity}` is compared with {expected}, not with `{found}`")]
    WrongUnit {
        /// The quantity.
        quantity: String,
        /// The number as written.
        found: String,
        /// What it is compared with.
        expected: &'static str,
    },
    /// Two actions of one text that contradict each other.
    #[error("`{0}` contradicts an action before it")]
    Conflict(String),
}

/// The longest text, in bytes.
pub const MAX_LEN: usize = 4_096;
/// The deepest nesting of parentheses and `not`s.
pub const MAX_DEPTH: usize = 32;

impl Error {
    pub(crate) fn new(kind: Kind, at: Range<usize>, help: impl Into<String>) -> Self {
        Self { kind, at, help: help.into() }
    }

    /// What is wrong.
    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    /// The byte offset of the mistake in the text.
    pub fn offset(&self) -> usize {
        self.at.start
    }

    /// The length of the mistake in bytes; may be zero at the end of the text.
    pub fn len(&self) -> usize {
        self.at.len()
    }

    /// Whether the mistake is a place between two bytes, as at the text's end.
    pub fn is_empty(&self) -> bool {
        self.at.is_empty()
    }

    /// What to do about it.
    pub fn help(&self) -> &str {
        &self.help
    }
}
