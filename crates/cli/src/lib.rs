//! The operators' command line, `corianderctl`, as a library.
//!
//! Operators check a configuration ([`check`]), put it in force ([`apply`]),
//! drain VMs ([`drain`]), order maintenance ([`wave`]) and inspect the fleet
//! ([`show`], [`watch`]). Every command uses only the platform's store and no
//! daemon, so that it works from any machine that reaches the platform, and after
//! every entry VM has been replaced.
//!
//! A change is one compare-and-swap. If the response is lost, [`cas`] finds out
//! whether the write took effect, and reports an unknown outcome only after the
//! timeout. Each change is recorded in the audit trail.
//!
//! The exit code states what happened to the fleet:
//!
//! | code | outcome | |
//! |---|---|---|
//! | 0 | | done, or nothing to do |
//! | 1 | `rejected` | the input is wrong; nothing was changed |
//! | 2 | `usage` | the command line is wrong; nothing was changed |
//! | 3 | `conflict` | someone else changed it first; nothing was changed |
//! | 4 | `unavailable` | the platform could not be reached; nothing was changed |
//! | 5 | `unknown` | the change may have taken effect |
//! | 6 | `output` | done, but the output could not be written |
//! | 7 | `pending` | the change was written, and is not yet known to be in force |
//!
//! With `--output json`, results and errors are both one line of JSON on the
//! standard output.
//!
//! ```
//! use corianderfork_cli::{command, exit::Code};
//!
//! let arguments = ["corianderctl", "apply", "fleet.ini", "--expect", "7"];
//! let matches = command::command().try_get_matches_from(arguments)?;
//! assert_eq!(matches.subcommand_name(), Some("apply"));
//! assert_eq!(Code::Conflict.number(), 3);
//! # Ok::<(), clap::Error>(())
//! ```

pub mod acknowledge;
pub mod apply;
pub mod cas;
pub mod check;
pub mod command;
pub mod context;
pub mod drain;
pub mod error;
pub mod exit;
pub mod ini;
pub mod record;
pub mod report;
pub mod run;
pub mod show;
pub mod table;
pub mod time;
pub mod view;
pub mod watch;
pub mod wave;
