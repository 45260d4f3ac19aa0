//! `apply FILE`: puts a configuration in force.
//!
//! The checked configuration is written by one compare-and-swap. It replaces the
//! revision that the operator has seen, given by `--expect` or by the first line
//! that `show config` printed; a file without either is accepted only while there
//! is no configuration yet.

use corianderfork_config::Change;
use corianderfork_provider::key;
use corianderfork_provider::record::Config;
use corianderfork_provider::store::{self, Entry, Lookup, MAX_VALUE};
use serde::Serialize;

use crate::acknowledge;
use crate::cas::{self, Failure, Outcome, Write};
use crate::check;
use crate::context::Context;
use crate::error::{Error, Kind};
use crate::ini::{self, Difference, Mistake};
use crate::record::{self, Update};
use crate::report::Report;

/// A configuration to apply.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The path of the file.
    pub path: &'a str,
    /// The operator's note on the change.
    pub note: &'a str,
    /// The expected revision in force; 0 if none is.
    pub expected_revision: Option<u64>,
    /// A unique value by which the command recognises its own write.
    pub token: String,
}

#[derive(Serialize)]
struct Json {
    outcome: &'static str,
    revision: u64,
    previous: u64,
    replaced: bool,
    audited: bool,
    changes: Vec<Difference>,
    warnings: Vec<Mistake>,
}

/// A write that took effect.
struct WriteResult {
    revision: store::Revision,
    replaced: bool,
}

/// The configuration in force when the command began.
struct Base {
    found: Lookup,
    revision: u64,
    text: String,
}

/// Applies a configuration.
///
/// # Errors
///
/// Fails if the file is invalid, if another revision is in force, if the store is
/// unavailable, or if the write is pending or its outcome unknown; [`Error::code`]
/// distinguishes these.
pub fn run(context: &Context<'_>, request: &Request<'_>) -> Result<Report, Error> {
    let file = ini::read(request.path)?;
    let warnings = ini::check(request.path, &file)?.warnings;
    let text = ini::without_base(&file);
    let base = base(context)?;
    match request.expected_revision {
        Some(expected) => check_revision(expected, &base, text)?,
        // A file that names no revision is accepted only if no configuration is in
        // force: an old copy would silently undo what others changed since.
        None if base.text != text => check_revision(ini::base(&file).unwrap_or(0), &base, text)?,
        None => {}
    }
    let changes = ini::changes(&base.text, text);
    let mut json = Json {
        outcome: "unchanged",
        revision: base.revision,
        previous: base.revision,
        replaced: false,
        audited: true,
        changes: ini::differences(&changes),
        warnings: ini::mistakes(&warnings),
    };
    let rendered_warnings = check::render_warnings(request.path, &file, warnings);
    if base.text == text {
        acknowledge::wait(context, store::Revision(base.revision))?;
        let summary = format!("unchanged: revision {} is the same already\n", json.revision);
        return Ok(Report::new(summary, &json).note(rendered_warnings));
    }
    let WriteResult { revision, replaced } = write(context, request, &base, text)?;
    let acknowledged = acknowledge::wait(context, revision);
    let audit_failure = audit(context, request, &base, revision, &changes);
    acknowledged?;
    json.outcome = "accepted";
    json.revision = revision.0;
    json.replaced = replaced;
    json.audited = audit_failure.is_none();
    Ok(Report::new(summary(&json, &changes), &json).note(rendered_warnings).note(audit_failure))
}

fn base(context: &Context<'_>) -> Result<Base, Error> {
    let found = context.store.get(key::CONFIG).map_err(|error| Error::unchanged(&error))?;
    let revision = found.entry.as_ref().map_or(0, |entry| entry.revision.0);
    // An unreadable record counts as empty, as applying a valid configuration
    // repairs it.
    let text = found.entry.as_ref().map(config_text).unwrap_or_default();
    Ok(Base { found, revision, text })
}

fn config_text(entry: &Entry) -> String {
    record::parse::<Config>(entry).map(|config| config.text).unwrap_or_default()
}

/// Fails with a conflict unless `expected` is the revision in force.
fn check_revision(expected: u64, base: &Base, text: &str) -> Result<(), Error> {
    if expected == base.revision {
        return Ok(());
    }
    let error = conflict(expected, base.found.entry.as_ref());
    Err(error.with_changes(Vec::new(), ini::changes(&base.text, text)))
}

fn conflict(expected: u64, current: Option<&Entry>) -> Error {
    let describe = |revision: u64| match revision {
        0 => "none".to_owned(),
        revision => format!("revision {revision}"),
    };
    let by = current.and_then(|entry| record::parse::<Config>(entry).ok());
    let by = by.map_or_else(String::new, |config| format!(" by {}", config.by));
    let current = current.map_or(0, |entry| entry.revision.0);
    let current = format!("{}{by}", describe(current));
    Kind::Conflict { expected: describe(expected), current }.into()
}

fn write(
    context: &Context<'_>,
    request: &Request<'_>,
    base: &Base,
    text: &str,
) -> Result<WriteResult, Error> {
    let config = Config {
        text: text.to_owned(),
        by: context.operator.to_owned(),
        note: request.note.to_owned(),
        token: request.token.clone(),
    };
    let value = serde_json::to_string(&config).expect("strings are always JSON");
    let too_large = || Error::from(Kind::TooLarge { path: request.path.to_owned() });
    if value.len() > MAX_VALUE {
        return Err(too_large());
    }
    let write = Write { key: key::CONFIG, value: Some(&value), base: &base.found };
    match cas::write(context, &write) {
        Ok(Outcome::Applied { revision, replaced }) => Ok(WriteResult { revision, replaced }),
        Ok(Outcome::Conflict(current)) => {
            let current_text = current.as_ref().map(config_text).unwrap_or_default();
            let changed_by_others = ini::changes(&base.text, &current_text);
            let error = conflict(base.revision, current.as_ref());
            Err(error.with_changes(changed_by_others, ini::changes(&current_text, text)))
        }
        Err(Failure::NotApplied(store::Error::TooLarge { .. })) => Err(too_large()),
        Err(Failure::NotApplied(error)) => Err(Error::unchanged(&error)),
        Err(Failure::Unknown(error)) => Err(Kind::Unknown(error.to_string()).into()),
    }
}

fn audit(
    context: &Context<'_>,
    request: &Request<'_>,
    base: &Base,
    revision: store::Revision,
    changes: &[Change],
) -> Option<String> {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let from = format!("revision {}", base.revision);
    let to = format!("revision {revision}: {}", lines.join("; "));
    let subject = match request.note {
        "" => "configuration".to_owned(),
        note => format!("configuration ({note})"),
    };
    record::audit(context, &Update { subject: &subject, from: &from, to: &to, revision })
}

fn summary(json: &Json, changes: &[Change]) -> String {
    let Json { revision, previous, .. } = json;
    let mut text = format!("accepted: revision {revision} replaces {previous}\n");
    if json.replaced {
        text.push_str("someone else has replaced it since\n");
    }
    changes.iter().for_each(|change| text.push_str(&format!("  {change}\n")));
    text
}
