//! Why a command failed, with what to do about it.

use std::fmt;
use std::io;

use corianderfork_config::{Change, Diagnostic, Report, Severity};
use corianderfork_provider::store;
use miette::SourceCode;
use serde::Serialize;

use crate::exit::Code;
use crate::ini::{self, Difference, Mistake};

/// A failed command.
#[derive(Debug)]
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    kind: Kind,
    mistakes: Vec<Mistake>,
    marks: Option<Report>,
    theirs: Vec<Change>,
    yours: Vec<Change>,
}

/// What went wrong.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The file can't be read.
    #[error("cannot read `{path}`: {cause}")]
    File {
        /// The file.
        path: String,
        /// Why.
        cause: io::Error,
    },
    /// The file is not text.
    #[error("`{path}` is not UTF-8 text: the byte at offset {offset} is none of it")]
    NotText {
        /// The file.
        path: String,
        /// The first byte at fault.
        offset: usize,
    },
    /// The file does not fit the store.
    #[error("`{path}` is too large: a configuration has to fit into {} bytes", store::MAX_VALUE)]
    TooLarge {
        /// The file.
        path: String,
    },
    /// The file has mistakes.
    #[error("`{path}` has {count} mistake{}", if *count == 1 { "" } else { "s" })]
    Mistakes {
        /// The file.
        path: String,
        /// How many, warnings not counted.
        count: usize,
    },
    /// The configuration is not the one expected.
    #[error("the configuration is {current}, not {expected}; nothing was changed")]
    Conflict {
        /// What it was expected to be.
        expected: String,
        /// What it is.
        current: String,
    },
    /// The drain is not the one that was read.
    #[error("the drain of `{0}` was changed by someone else meanwhile; nothing was changed")]
    DrainConflict(String),
    /// Another wave is under way.
    #[error("wave {0} is under way; nothing was changed")]
    WaveUnderWay(u64),
    /// There is no wave that the order could be for.
    #[error("there is no such wave; nothing was changed")]
    NoWave,
    /// There is no such VM.
    #[error("no VM is called `{name}`")]
    NoVm {
        /// The name.
        name: String,
        /// What was likely meant.
        help: String,
    },
    /// No configuration was applied yet.
    #[error("no configuration is in force")]
    NoConfig,
    /// A record in the store can't be read.
    #[error("the record `{key}` in the platform's store cannot be read: {cause}")]
    Record {
        /// Its key.
        key: String,
        /// Why.
        cause: String,
    },
    /// The store failed before anything was changed.
    #[error("{0}; nothing was changed")]
    Store(String),
    /// A write's end can't be told.
    #[error("the change may have taken effect: {0}")]
    Unknown(String),
    /// A change was written, and no controller is known to have heard of it.
    #[error("written as revision {0}, and not yet in force: no controller has said that it knows")]
    Pending(u64),
    /// The output can't be written.
    #[error("the output cannot be written: {0}")]
    Output(io::Error),
}

/// An error as scripts read it.
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
            marks: None,
            theirs: Vec::new(),
            yours: Vec::new(),
        }))
    }
}

impl Error {
    /// The error of a call that changes nothing.
    pub fn read(error: &store::Error) -> Self {
        Kind::Store(match error {
            store::Error::Unavailable(cause) => format!("the platform is unavailable ({cause})"),
            store::Error::Unknown(cause) => format!("the platform gave no answer ({cause})"),
            // No lease is in play here: the path was not found.
            store::Error::Lapsed => "what answers there is not the platform".to_owned(),
            other => other.to_string(),
        })
        .into()
    }

    /// The error of a record that can't be read.
    pub fn record(key: &str, cause: impl fmt::Display) -> Self {
        Kind::Record { key: key.to_owned(), cause: cause.to_string() }.into()
    }

    /// A file with mistakes.
    pub fn mistakes(path: &str, text: &str, mistakes: Vec<Diagnostic>) -> Self {
        let errors = mistakes.iter().filter(|mistake| mistake.severity == Severity::Error);
        let kind = Kind::Mistakes { path: path.to_owned(), count: errors.count() };
        let mut error = Self::from(kind);
        error.0.mistakes = ini::mistakes(&mistakes);
        error.0.marks = Some(Report::new(path, text, mistakes));
        error
    }

    /// The error with what others changed, and how the operator's file differs
    /// from what is in force.
    #[must_use]
    pub fn differences(mut self, theirs: Vec<Change>, yours: Vec<Change>) -> Self {
        self.0.theirs = theirs;
        self.0.yours = yours;
        self
    }

    /// Whether the reader of the output went away, as `head` does when it has
    /// enough.
    pub fn is_closed_output(&self) -> bool {
        matches!(&self.0.kind, Kind::Output(cause) if cause.kind() == io::ErrorKind::BrokenPipe)
    }

    /// What went wrong.
    pub fn kind(&self) -> &Kind {
        &self.0.kind
    }

    /// The exit code.
    pub const fn code(&self) -> Code {
        match self.0.kind {
            Kind::File { .. }
            | Kind::NotText { .. }
            | Kind::TooLarge { .. }
            | Kind::Mistakes { .. }
            | Kind::NoConfig
            | Kind::NoVm { .. }
            | Kind::NoWave => Code::Rejected,
            Kind::Conflict { .. } | Kind::DrainConflict(_) | Kind::WaveUnderWay(_) => {
                Code::Conflict
            }
            Kind::Record { .. } | Kind::Store(_) => Code::Unavailable,
            Kind::Unknown(_) => Code::Unknown,
            Kind::Pending(_) => Code::Pending,
            Kind::Output(_) => Code::Output,
        }
    }

    /// The error for scripts.
    pub fn json(&self) -> serde_json::Value {
        let json = Json {
            outcome: self.code().outcome(),
            message: self.0.kind.to_string(),
            help: self.remedy(),
            mistakes: &self.0.mistakes,
            changed_by_others: ini::differences(&self.0.theirs),
            yours: ini::differences(&self.0.yours),
        };
        serde_json::to_value(json).expect("the fields are strings and numbers")
    }

    fn remedy(&self) -> &str {
        match &self.0.kind {
            Kind::File { .. } => "name a file that exists and that you may read",
            Kind::NotText { .. } => "save the file as UTF-8",
            Kind::TooLarge { .. } => "shorten it, comments first",
            Kind::Mistakes { .. } => "mend all of them; nothing was changed",
            Kind::Conflict { .. } => {
                "your file is as it was; bring the others' changes into it (`show config` prints \
                 them) and apply it with `--expect` and the revision you have seen"
            }
            Kind::DrainConflict(_) => "look with `show vms` and ask again",
            Kind::WaveUnderWay(_) => "look with `show waves`; halt it, or wait until it is done",
            Kind::NoWave => "look with `show waves`; `wave start` orders one",
            Kind::NoVm { help, .. } => help,
            Kind::NoConfig => "apply one with `corianderctl apply FILE`",
            Kind::Record { .. } => "apply the configuration again, or mend the record",
            Kind::Store(_) => "try again later, or check `--platform`",
            Kind::Unknown(_) => "look with `show` and `history` before asking again",
            Kind::Pending(_) => {
                "it comes into force once the store answers and a controller runs; ask the same \
                 again to wait for it, and rely on nothing until then"
            }
            Kind::Output(_) => "make room; what the command did stands",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.kind)?;
        list(f, "changed by others since:", &self.0.theirs)?;
        list(f, "your file against what is in force:", &self.0.yours)
    }
}

fn list(f: &mut fmt::Formatter<'_>, title: &str, differences: &[Change]) -> fmt::Result {
    if differences.is_empty() {
        return Ok(());
    }
    write!(f, "\n\n{title}")?;
    differences.iter().try_for_each(|difference| write!(f, "\n  {difference}"))
}

impl std::error::Error for Error {}

impl miette::Diagnostic for Error {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.remedy()))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.0.marks.as_ref()?.source_code()
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn miette::Diagnostic> + 'a>> {
        self.0.marks.as_ref()?.related()
    }
}
