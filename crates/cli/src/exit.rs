//! Exit codes.

/// The outcome of a command. Scripts branch on the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done, or there was nothing to do.
    Done,
    /// The input is wrong; nothing was changed.
    Rejected,
    /// The command line is wrong; nothing was changed.
    Usage,
    /// Someone else changed it first; nothing was changed.
    Conflict,
    /// The platform could not be reached; nothing was changed.
    Unavailable,
    /// The change may have taken effect.
    Unknown,
    /// The command is done, but its output could not be written.
    Output,
    /// The change was written, but no controller has acknowledged it yet.
    Pending,
}

/// The description of the exit codes in `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done, or nothing to do
  1  rejected: the input is wrong, nothing was changed
  2  usage: the command line is wrong, nothing was changed
  3  conflict: someone else changed it first, nothing was changed
  4  unavailable: the platform could not be reached, nothing was changed
  5  unknown: the change may have taken effect; look with `show` and `history`
  6  done, but the output could not be written
  7  pending: the change was written, and is not yet known to be in force";

impl Code {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// use corianderfork_cli::exit::Code;
    ///
    /// assert_eq!(Code::Done.number(), 0);
    /// assert_eq!(Code::Unknown.number(), 5);
    /// ```
    pub const fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Rejected => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Unknown => 5,
            Self::Output => 6,
            Self::Pending => 7,
        }
    }

    /// Returns the value of `outcome` in JSON.
    pub const fn outcome(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Rejected => "rejected",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
            Self::Output => "output",
            Self::Pending => "pending",
        }
    }
}
