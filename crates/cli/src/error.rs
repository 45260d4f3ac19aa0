//! Errors of commands, with their remedies.

use std::fmt;
use std::io;

use corianderfork_config::{Change, Diagnostic, Report, Severity};
use corianderfork_provider::store;
use miette::SourceCode;
use serde::Serialize;

use crate::exit::Code;
use crate::ini::{self, Difference, Mistake};

/// An error of a command.
#[derive(Debug)]
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    kind: Kind,
    mistakes: Vec<Mistake>,
    /// The rendered form of `mistakes`.
    report: Option<Report>,
    /// What others changed since the operator read the configuration.
    changed_by_others: Vec<Change>,
    /// The changes from the configuration in force to the operator's file.
    yours: Vec<Change>,
}

/// The kinds of errors.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The file can't be read.
    #[error("cannot read `{path}`: {cause}")]
    File {
        /// The file.
        path: String,
        /// The cause.
        cause: io::Error,
    },
    /// The file is not UTF-8 text.
    #[error("`{path}` is not UTF-8 text: invalid byte at offset {offset}")]
    NotUtf8 {
        /// The file.
        path: String,
        /// The offset of the first invalid byte.
        offset: usize,
    },
    /// The file is too large for the store.
    #[error("`{path}` is too large: a configuration has to fit into {} bytes", store::MAX_VALUE)]
    TooLarge {
        /// The file.
        path: String,
    },
    /// The configuration in the file has errors.
    #[error("`{path}` has {count} mistake{}", if *count == 1 { "" } else { "s" })]
    Mistakes {
        /// The file.
        path: String,
        /// The number of errors, without warnings.
        count: usize,
    },
    /// The configuration in force is not the expected revision.
    #[error("the configuration is {current}, not {expected}; nothing was changed")]
    Conflict {
        /// The expected revision.
        expected: String,
        /// The revision in force, and who applied it.
        current: String,
    },
    /// The drain was changed after it was read.
    #[error("the drain of `{0}` was changed by someone else meanwhile; nothing was changed")]
    DrainConflict(String),
    /// Another wave is in progress.
    #[error("wave {0} is under way; nothing was changed")]
    WaveInProgress(u64),
    /// There is no wave to resume or halt.
    #[error("there is no wave to resume or halt; nothing was changed")]
    NoWave,
    /// There is no such VM.
    #[error("no VM is called `{name}`")]
    UnknownVm {
        /// The name.
        name: String,
        /// The names that it resembles.
        help: String,
    },
    /// No configuration was applied yet.
    #[error("no configuration is in force")]
    NoConfig,
    /// A record in the store can't be read.
    #[error("the record `{key}` in the platform's store cannot be read: {cause}")]
    Record {
        /// The record's key.
        key: String,
        /// The cause.
        cause: String,
    },
    /// The store failed, and nothing was changed.
    #[error("{0}; nothing was changed")]
    Store(String),
    /// The outcome of a write is unknown.
    #[error("the change may have taken effect: {0}")]
    Unknown(String),
    /// A change was written, but no controller has acknowledged it.
    #[error("written as revision {0}, but not yet in force: no controller has acknowledged it")]
    Pending(u64),
    /// The output can't be written.
    #[error("the output cannot be written: {0}")]
    Output(io::Error),
}

/// The JSON form of an error.
#[derive(Serialize)]
struct Json<'a> {
    outcome: &'static str,
    message: String,
    help: &'a str,
    mistakes: &'a [Mistake],
    changed_by_others: Vec<Difference>,
    yours: Vec<Difference>,
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Self(Box::new(Inner {
            kind,
            mistakes: Vec::new(),
            report: None,
            changed_by_others: Vec::new(),
            yours: Vec::new(),
        }))
    }
}

impl Error {
    /// Creates an error from a call to the store that changed nothing.
    pub fn unchanged(error: &store::Error) -> Self {
        Kind::Store(match error {
            store::Error::Unavailable(cause) => format!("the platform is unavailable ({cause})"),
            store::Error::Unknown(cause) => format!("the platform gave no answer ({cause})"),
            // No command uses a lease, so the error means that the path was not found.
            store::Error::Lapsed => "the server at this address is not the platform".to_owned(),
            other => other.to_string(),
        })
        .into()
    }

    /// Creates an error for a record that can't be read.
    pub fn invalid_record(key: &str, cause: impl fmt::Display) -> Self {
        Kind::Record { key: key.to_owned(), cause: cause.to_string() }.into()
    }

    /// Creates an error for a file with an invalid configuration.
    pub fn mistakes(path: &str, text: &str, diagnostics: Vec<Diagnostic>) -> Self {
        let errors = diagnostics.iter().filter(|one| one.severity == Severity::Error);
        let kind = Kind::Mistakes { path: path.to_owned(), count: errors.count() };
        let mut error = Self::from(kind);
        error.0.mistakes = ini::mistakes(&diagnostics);
        error.0.report = Some(Report::new(path, text, diagnostics));
        error
    }

    /// Adds what others changed, and the changes from the configuration in force
    /// to the operator's file.
    #[must_use]
    pub fn with_changes(mut self, changed_by_others: Vec<Change>, yours: Vec<Change>) -> Self {
        self.0.changed_by_others = changed_by_others;
        self.0.yours = yours;
        self
    }

    /// Whether the reader of the output closed the pipe, as `head` does.
    pub fn is_closed_output(&self) -> bool {
        matches!(&self.0.kind, Kind::Output(cause) if cause.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> &Kind {
        &self.0.kind
    }

    /// Returns the exit code.
    pub const fn code(&self) -> Code {
        match self.0.kind {
            Kind::File { .. }
            | Kind::NotUtf8 { .. }
            | Kind::TooLarge { .. }
            | Kind::Mistakes { .. }
            | Kind::NoConfig
            | Kind::UnknownVm { .. }
            | Kind::NoWave => Code::Rejected,
            Kind::Conflict { .. } | Kind::DrainConflict(_) | Kind::WaveInProgress(_) => {
                Code::Conflict
            }
            Kind::Record { .. } | Kind::Store(_) => Code::Unavailable,
            Kind::Unknown(_) => Code::Unknown,
            Kind::Pending(_) => Code::Pending,
            Kind::Output(_) => Code::Output,
        }
    }

    /// Returns the error as JSON.
    pub fn json(&self) -> serde_json::Value {
        let json = Json {
            outcome: self.code().outcome(),
            message: self.0.kind.to_string(),
            help: self.help_text(),
            mistakes: &self.0.mistakes,
            changed_by_others: ini::differences(&self.0.changed_by_others),
            yours: ini::differences(&self.0.yours),
        };
        serde_json::to_value(json).expect("the fields are strings and numbers")
    }

    fn help_text(&self) -> &str {
        match &self.0.kind {
            Kind::File { .. } => "name a file that exists and that you may read",
            Kind::NotUtf8 { .. } => "save the file as UTF-8",
            Kind::TooLarge { .. } => "shorten it, comments first",
            Kind::Mistakes { .. } => "fix all of them; nothing was changed",
            Kind::Conflict { .. } => {
                "your file is as it was; merge the others' changes into it (`show config` prints \
                 them) and apply it with `--expect` and the revision that you merged"
            }
            Kind::DrainConflict(_) => "check `show vms` and try again",
            Kind::WaveInProgress(_) => {
                "check `show waves`; halt the wave, or wait until it is done"
            }
            Kind::NoWave => "check `show waves`; `wave start` starts one",
            Kind::UnknownVm { help, .. } => help,
            Kind::NoConfig => "apply one with `corianderctl apply FILE`",
            Kind::Record { .. } => "apply the configuration again, or repair the record",
            Kind::Store(_) => "try again later, or check `--platform`",
            Kind::Unknown(_) => "check `show` and `history` before trying again",
            Kind::Pending(_) => {
                "it comes into force once the store answers and a controller runs; repeat the \
                 command to wait for it, and do not rely on it until then"
            }
            Kind::Output(_) => "check where the output goes; what the command did stands",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.kind)?;
        write_changes(f, "changed by others since:", &self.0.changed_by_others)?;
        write_changes(f, "changes of your file to the configuration in force:", &self.0.yours)
    }
}

fn write_changes(f: &mut fmt::Formatter<'_>, title: &str, changes: &[Change]) -> fmt::Result {
    if changes.is_empty() {
        return Ok(());
    }
    write!(f, "\n\n{title}")?;
    changes.iter().try_for_each(|change| write!(f, "\n  {change}"))
}

impl std::error::Error for Error {}

impl miette::Diagnostic for Error {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.help_text()))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.0.report.as_ref()?.source_code()
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn miette::Diagnostic> + 'a>> {
        self.0.report.as_ref()?.related()
    }
}
