//! Structured logs on standard error, as JSON or text.

use logforth::filter::RustLogFilter;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// The reason why logging could not be set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The filter is invalid.
    #[error(
        "`{filter}` is not a log filter; write error, warn, info, debug, trace or MODULE=LEVEL"
    )]
    Filter {
        /// The filter text.
        filter: String,
    },
    /// Logging is set up already.
    #[error("logging is set up already ({0}); set it up once, at the start")]
    AlreadySetUp(String),
}

/// Sets up logging for the process. `filter` is a level or a list such as
/// `info,corianderfork_proxy=debug`.
///
/// # Errors
///
/// Returns an error if the filter is invalid or logging is set up already.
pub fn set_up(format: Format, filter: &str) -> Result<(), Error> {
    let filter =
        filter.parse::<RustLogFilter>().map_err(|_| Error::Filter { filter: filter.to_owned() })?;
    let starter = starter_log::stderr().filter(filter);
    let starter = match format {
        Format::Json => starter.layout(JsonLayout::default()),
        Format::Text => starter.layout(TextLayout::default().no_color()),
    };
    starter.try_apply().map_err(|error| Error::AlreadySetUp(error.to_string()))
}
