//! Errors and warnings, each with its position in the text and a remedy.

use std::fmt;

use corianderfork_model::name;
use corianderfork_rules::{error, lint};

/// The maximum number of errors, and of warnings, that are listed; further ones
/// are only counted.
pub const MAX_LISTED: usize = 200;

/// One error or warning.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Diagnostic {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// The byte offset in the text.
    pub offset: usize,
    /// The length of the marked text in bytes.
    pub len: usize,
    /// Whether the configuration is rejected because of it.
    pub severity: Severity,
    /// The kind of error or warning.
    pub kind: Kind,
    /// The kind in words.
    pub message: String,
    /// How to fix it.
    pub help: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, column, severity, message, help, .. } = self;
        write!(f, "{line}:{column}: {severity}: {message}; {help}")
    }
}

/// Whether a diagnostic rejects the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// Accepted, and possibly intended, such as rules that overlap on purpose.
    Advice,
    /// Accepted, but likely a mistake.
    Warning,
    /// Rejected.
    Error,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Advice => "advice",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// The kinds of errors and warnings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The text is longer than [`crate::MAX_BYTES`].
    #[error("the configuration takes {0} bytes in the store; {max} is the most", max = crate::MAX_BYTES)]
    TooLarge(usize),
    /// The text has no section header, so it is not INI.
    #[error("this is not an INI file: it has no section")]
    NotIni,
    /// A line is neither a section header, a key nor a comment.
    #[error("this line is neither a section nor a key: {0}")]
    Syntax(String),
    /// A key precedes the first section header.
    #[error("the key `{0}` is above the first section")]
    KeyOutsideSection(String),
    /// The number of diagnostics beyond [`MAX_LISTED`].
    #[error("{0} more are not listed")]
    NotListed(usize),
    /// A section of an unknown kind.
    #[error("unknown section `[{0}]`")]
    UnknownSection(String),
    /// A section without its required name.
    #[error("`[{0}]` needs a name")]
    MissingSectionName(String),
    /// A section with a name where none is allowed.
    #[error("`[{0}]` takes no name")]
    UnexpectedSectionName(String),
    /// A required section is missing.
    #[error("the section `[{0}]` is missing")]
    MissingSection(&'static str),
    /// A key that is unknown in its section.
    #[error("`[{section}]` has no key `{key}`")]
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A required key is missing.
    #[error("`[{section}]` needs the key `{key}`")]
    MissingKey {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
    },
    /// A section, key or VM that is declared twice.
    #[error("{what} `{name}` is declared twice; the first is in line {first_line}")]
    Duplicate {
        /// `section`, `key` or `VM`.
        what: &'static str,
        /// Its name.
        name: String,
        /// The line of the first declaration.
        first_line: usize,
    },
    /// A name with an invalid character or length.
    #[error(transparent)]
    InvalidName(#[from] name::Error),
    /// A value that is not a number of the expected form.
    #[error("`{key}` is {found:?}, which is not a {expected}")]
    InvalidNumber {
        /// The key.
        key: &'static str,
        /// The value.
        found: String,
        /// The expected form of number.
        expected: &'static str,
    },
    /// A number outside its bounds.
    #[error("`{key}` is {found}, out of its bounds {min} to {max}")]
    OutOfBounds {
        /// The key.
        key: &'static str,
        /// The value.
        found: String,
        /// The minimum.
        min: String,
        /// The maximum.
        max: String,
    },
    /// A value that is none of the allowed words.
    #[error("`{key}` cannot be {found:?}")]
    InvalidChoice {
        /// The key.
        key: &'static str,
        /// The value.
        found: String,
    },
    /// An invalid part of a list of VMs.
    #[error("`{0}` is neither a VM name nor a range of VMs")]
    InvalidVmRange(String),
    /// More VMs than a fleet may have.
    #[error("the fleet has more than {0} VMs")]
    TooManyVms(usize),
    /// A reference to something that no section declares.
    #[error("there is no {what} called `{name}`")]
    UnknownReference {
        /// `data centre`, `pool` or `team`.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A format version that this program does not support.
    #[error("the format version is {0}; this program reads {version}", version = crate::VERSION)]
    UnsupportedVersion(u32),
    /// A budget that cannot be met.
    #[error(transparent)]
    Budget(#[from] Budget),
    /// An invalid condition or action of a rule.
    #[error(transparent)]
    Rule(#[from] error::Kind),
    /// The configuration has no rule.
    #[error("there is no rule, so no action is ever chosen")]
    NoRule,
    /// More rules than a configuration may have.
    #[error("there are {0} rules; {max} is the most", max = corianderfork_rules::list::MAX_RULES)]
    TooManyRules(usize),
    /// The last rule does not always match.
    #[error("the last rule, `{0}`, does not always match, so in some situations no rule would")]
    NoFallback(String),
    /// A rule that never matches or overlaps another.
    #[error("rule `{name}` {kind}")]
    Lint {
        /// The rule.
        name: String,
        /// The finding.
        kind: lint::Kind,
    },
    /// A pool or a team without a service.
    #[error("{what} `{name}` has no service")]
    Unused {
        /// `pool` or `team`.
        what: &'static str,
        /// Its name.
        name: String,
    },
}

/// Budgets that cannot be met.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Budget {
    /// The minimum number of copies is above the maximum.
    #[error("`{service}` keeps at least {min} copies and at most {max}")]
    MinAboveMax {
        /// The service.
        service: String,
        /// The minimum.
        min: u32,
        /// The maximum.
        max: u32,
    },
    /// More copies than licences.
    #[error("`{service}` may run {copies} copies on {licences} licences")]
    TooFewLicences {
        /// The service.
        service: String,
        /// The maximum number of copies.
        copies: u32,
        /// The number of licences.
        licences: u32,
    },
    /// A pool without VMs.
    #[error("`{service}` runs on pool `{pool}`, which has no VM")]
    EmptyPool {
        /// The service.
        service: String,
        /// The pool.
        pool: String,
    },
    /// One copy is too large for any VM of the pool.
    #[error("one copy of `{service}` is larger than every VM of pool `{pool}`")]
    CopyTooLarge {
        /// The service.
        service: String,
        /// The pool.
        pool: String,
    },
    /// The minimum number of copies does not fit on the pool's VMs.
    #[error("`{service}` needs {copies} copies, but only {fit} fit on the VMs of pool `{pool}`")]
    CopiesDoNotFit {
        /// The service.
        service: String,
        /// The pool.
        pool: String,
        /// The minimum number of copies.
        copies: u32,
        /// The number of copies that fit on the empty pool.
        fit: u64,
    },
    /// The minimum copies of a pool's services together do not fit on its VMs.
    #[error(
        "the minimum copies of all services of pool `{pool}` need more {resource} than its VMs have"
    )]
    PoolTooSmall {
        /// The pool.
        pool: String,
        /// `cores`, `memory` or `accelerators`.
        resource: &'static str,
    },
    /// The minimum copies of a team's services need more than its quota.
    #[error(
        "the minimum copies of all services of team `{team}` need more {resource} than its quota"
    )]
    QuotaExceeded {
        /// The team.
        team: String,
        /// `cores`, `memory` or `accelerators`.
        resource: &'static str,
    },
    /// One failure of the kind that the budget has to outlast takes down all VMs
    /// of the pool.
    #[error(
        "`{service}` has to outlast the loss of one {domain}, but all of pool `{pool}` is in one"
    )]
    SingleDomain {
        /// The service.
        service: String,
        /// The pool.
        pool: String,
        /// `VM`, `rack` or `data centre`.
        domain: &'static str,
    },
    /// A budget that has to outlast a failure allows one copy only.
    #[error("`{service}` has to outlast a failure, but may run only one copy")]
    SingleCopy {
        /// The service.
        service: String,
    },
    /// The minimum and maximum number of copies are equal, so that no VM that
    /// runs a copy can be drained.
    #[error("`{service}` can neither lose nor add a copy, so no wave can drain its VMs")]
    FixedCopies {
        /// The service.
        service: String,
    },
}
