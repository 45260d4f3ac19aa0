//! The operators' configuration: INI text to a checked fleet and its rules.
//!
//! [`parse`] reads one configuration whole. It gives either a [`Configuration`] whose
//! parts fit one another, so that nothing downstream has to check them again,
//! or every mistake of the text at once, each with its place and the remedy.
//! The grammar, every key with its unit, default and bounds, is written down in
//! `docs/CONFIGURATION.md`. [`diff()`] lists what one text changes in another, and
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
//! let parsed = corianderfork_config::parse(text).expect("no mistakes");
//! assert_eq!(parsed.fleet.vms().len(), 4);
//! assert_eq!(parsed.rules.rules().len(), 1);
//!
//! let wrong = text.replace("licences = 12", "licenses = 12");
//! let mistakes = corianderfork_config::parse(&wrong).expect_err("a key that is unknown");
//! assert_eq!((mistakes[0].line, mistakes[0].column), (22, 1));
//! assert_eq!(mistakes[0].help, "did you mean `licences`?");
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

/// The grammar that this crate reads, the value of `version` in `[fleet]`.
pub const VERSION: u32 = 1;

/// The longest text, in bytes, counted as it is stored: within JSON, where line
/// breaks, quotes and backslashes take two bytes each. The platform's service
/// holds values up to a megabyte, and the record around the text needs some of
/// it. A text that passed here and was then refused by the store would leave an
/// operator with a checked file that cannot be applied.
pub const MAX_BYTES: usize = 1_000_000 - 8_192;

/// A configuration whose parts fit one another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Configuration {
    /// Data centres, racks, VMs, pools, services, teams and weights.
    pub fleet: Fleet,
    /// The rules in the order of the file.
    pub rules: List,
    /// What concerns the fleet as a whole.
    pub settings: Settings,
    /// What the operator surely did not mean, but may.
    pub warnings: Vec<Diagnostic>,
}

/// What concerns the fleet as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Settings {
    /// The fleet's name.
    pub name: Name,
    /// How far the operators' clocks are ahead of UTC, in minutes: what `hour`
    /// and `weekday` of rules go by.
    pub utc_offset_minutes: i16,
    /// The age above which a value counts as unknown in rules.
    pub stale_after: Duration,
}

/// Reads a configuration.
///
/// # Errors
///
/// Gives every mistake of the text, in the order of the text. Past
/// [`diagnostic::MAX`] the rest is counted only.
pub fn parse(text: &str) -> Result<Configuration, Vec<Diagnostic>> {
    parse::parse(text)
}
