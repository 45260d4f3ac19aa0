//! Validated names of fleet items.

use std::fmt;
use std::sync::Arc;

/// The maximum length of a name in bytes. It leaves room for a prefix in a store
/// key.
pub const MAX_LEN: usize = 64;

/// A name of 1 to 64 ASCII letters, digits, `-` and `_`.
///
/// Needs no escaping in a store key, a URL path or a metric label. Cheap to
/// clone.
///
/// ```
/// use corianderfork_model::Name;
///
/// assert_eq!(Name::new("transfer")?.as_str(), "transfer");
/// assert!(Name::new("two words").is_err());
/// # Ok::<(), corianderfork_model::name::Error>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// The reason why a text is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The text is empty.
    #[error("the name is empty; write 1 to {MAX_LEN} letters, digits, `-` or `_`")]
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    #[error("the name `{0:.20}…` is too long; shorten it to {MAX_LEN} characters or fewer")]
    TooLong(String),
    /// The text contains a character that is not allowed in a name.
    #[error("the name `{text}` contains `{found}`; use only letters, digits, `-` and `_`")]
    Character {
        /// The whole text.
        text: String,
        /// The first invalid character.
        found: char,
    },
}

impl Name {
    /// Validates `text` and converts it to a name.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is empty, longer than [`MAX_LEN`] bytes, or
    /// contains anything but ASCII letters, digits, `-` and `_`.
    pub fn new(text: &str) -> Result<Self, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_LEN {
            return Err(Error::TooLong(text.to_owned()));
        }
        let is_allowed = |c: &char| c.is_ascii_alphanumeric() || *c == '-' || *c == '_';
        if let Some(found) = text.chars().find(|c| !is_allowed(c)) {
            return Err(Error::Character { text: text.to_owned(), found });
        }
        Ok(Self(text.into()))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.as_str().to_owned()
    }
}
