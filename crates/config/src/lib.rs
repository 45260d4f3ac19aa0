//! Parses the operators' configuration, an INI text, into a checked fleet and
//! its rules.
//!
//! [`parse`] returns either a consistent [`Configuration`], which needs no further
//! checks, or all errors of the text at once, each with its position and a
//! remedy. `docs/CONFIGURATION.md` describes the format and every key with its
//! unit, default and bounds. [`diff()`] lists the changes between two texts, and
//! [`Report`] prints diagnostics for people.
//!
//! ```
//! let text = "\
//! [fleet]
//! version = 1
//! name = clubs
//!
//! [data_centre.kolkata]
//! region = bengal
//!
//! [pool.registry]
//!
//! [rack.k1]
//! data_centre = kolkata
//! pool = registry
//! vms = v[01..04]
//! cores = 64
//! memory_gb = 256
//!
//! [service.transfer]
//! pool = registry
//! cores = 8
//! memory_gb = 16
//! min_copies = 4
//! licences = 12
//!
//! [rule.otherwise]
//! when = always
//! then = headroom transfer 25%
//! ";
//! let parsed = corianderfork_config::parse(text).expect("a valid configuration");
//! assert_eq!(parsed.fleet.vms().len(), 4);
//! assert_eq!(parsed.rules.rules().len(), 1);
//!
//! let misspelt = text.replace("licences = 12", "licenses = 12");
//! let errors = corianderfork_config::parse(&misspelt).expect_err("an unknown key");
//! assert_eq!((errors[0].line, errors[0].column), (22, 1));
//! assert_eq!(errors[0].help, "did you mean `licences`?");
//! ```

mod budget;
pub mod diagnostic;
pub mod diff;
mod keys;
mod parse;
pub mod report;
mod rules;
mod schema;
mod services;
mod sink;
mod text;
mod topology;
mod vm_list;

use std::time::Duration;

use corianderfork_model::{Fleet, Name};
use corianderfork_rules::List;

pub use diagnostic::{Diagnostic, Severity};
pub use diff::{Change, diff};
pub use report::Report;

/// The supported format version, the value of `version` in `[fleet]`.
pub const VERSION: u32 = 1;

/// The maximum length of a text in bytes, counted as it is stored: as a JSON
/// string, where line breaks, quotes and backslashes take two bytes each. The
/// platform's service stores values of up to a megabyte, and the record around
/// the text takes some of it. Checking the length here ensures that the store
/// does not refuse a file that passed the check.
pub const MAX_BYTES: usize = 1_000_000 - 8_192;

/// A checked, consistent configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Configuration {
    /// Data centres, racks, VMs, pools, services, teams and weights.
    pub fleet: Fleet,
    /// The rules, in the order of the file.
    pub rules: List,
    /// Settings of the fleet as a whole.
    pub settings: Settings,
    /// Warnings and advice; the configuration is valid all the same.
    pub warnings: Vec<Diagnostic>,
}

/// Settings of the fleet as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Settings {
    /// The fleet's name.
    pub name: Name,
    /// The offset of the operators' time zone from UTC, in minutes; `hour` and
    /// `weekday` in rules are in this time zone.
    pub utc_offset_minutes: i16,
    /// The age above which rules treat a value as unknown.
    pub stale_after: Duration,
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// Returns all errors and warnings in the order of the text. Beyond
/// [`diagnostic::MAX_LISTED`] they are only counted.
pub fn parse(text: &str) -> Result<Configuration, Vec<Diagnostic>> {
    parse::parse(text)
}
