//! Which callers may use a job: those of the organisation that submitted it.

use serde::{Deserialize, Serialize};

/// On whose behalf a request is made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Identity {
    /// Nobody's in particular: the route is public, or the configuration has no organisations.
    #[default]
    Anonymous,
    /// An organisation's, by name.
    Organisation(String),
}

impl Identity {
    /// Returns the name of the organisation.
    pub fn organisation(&self) -> Option<&str> {
        match self {
            Self::Anonymous => None,
            Self::Organisation(name) => Some(name),
        }
    }

    /// Returns whether the caller may use a job of `organisation`. A job that belongs to none, since
    /// it was submitted without a key, may be used by all.
    ///
    /// ```
    /// use corianderfork_entry::access::Identity;
    ///
    /// let caller = Identity::Organisation("a".to_owned());
    /// assert!(caller.may_use(Some("a")) && caller.may_use(None));
    /// assert!(!caller.may_use(Some("b")));
    /// assert!(Identity::Anonymous.may_use(Some("b")));
    /// ```
    pub fn may_use(&self, organisation: Option<&str>) -> bool {
        match (self, organisation) {
            (Self::Organisation(own), Some(other)) => own == other,
            _ => true,
        }
    }
}

/// The API key of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// There is none.
    #[default]
    Missing,
    /// It can't be a key: there are several, or it is empty, too long or not visible ASCII.
    Malformed,
    /// The digest of the key.
    Key(corianderfork_jobs::organisation::Digest),
}
