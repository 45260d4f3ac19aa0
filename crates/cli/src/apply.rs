//! `apply FILE`.
//!
//! A configuration is accepted by one compare-and-swap of a checked whole.
//! What it replaces is what the operator has seen: the revision named by
//! `--expect` or by the first line that `show config` printed; a file without
//! either is taken only while there is no configuration yet.

use corianderfork_config::Change;
use corianderfork_provider::key;
use corianderfork_provider::record::Config;
use corianderfork_provider::store::{self, Entry, Lookup, MAX_VALUE};
use serde::Serialize;

use crate::check;
use crate::context::Context;
use crate::error::{Error, Kind};
use crate::heard;
use crate::ini::{self, Difference, Mistake};
use crate::record::{self, Done};
use crate::report::Report;
use crate::settle::{self, End, Failure, Write};

/// What to apply.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The file.
    pub path: &'a str,
    /// What the operator says of it.
    pub note: &'a str,
    /// The revision that it has to replace; 0 for none.
    pub expect: Option<u64>,
    /// A number of this one apply, by which its write is recognised.
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

/// How the write ended.
struct Written {
    revision: store::Revision,
    replaced: bool,
}

/// What was in force when the command began.
struct Base {
    found: Lookup,
    revision: u64,
    text: String,
}

/// Applies a configuration.
///
/// # Errors
///
/// Rejected with all mistakes at once, in conflict with another operator's
/// change, not possible now, pending, or unknown: [`Error::code`] tells them apart.
pub fn run(context: &Context<'_>, request: &Request<'_>) -> Result<Report, Error> {
    let file = ini::read(request.path)?;
    let warnings = ini::check(request.path, &file)?.warnings;
    let text = ini::without_base(&file);
    let base = base(context)?;
    match request.expect {
        Some(expected) => expect(expected, &base, text)?,
        // A file that names no revision is for a fleet without a configuration:
        // an old copy from elsewhere would undo what others changed since, and
        // nobody would notice.
        None if base.text != text => expect(ini::base(&file).unwrap_or(0), &base, text)?,
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
    let warned = check::warnings(request.path, &file, warnings);
    if base.text == text {
        heard::wait(context, store::Revision(base.revision))?;
        let said = format!("unchanged: revision {} is the same already\n", json.revision);
        return Ok(Report::new(said, &json).note(warned));
    }
    let Written { revision, replaced } = write(context, request, &base, text)?;
    let heard = heard::wait(context, revision);
    let missing = audit(context, request, &base, revision, &changes);
    heard?;
    json.outcome = "accepted";
    json.revision = revision.0;
    json.replaced = replaced;
    json.audited = missing.is_none();
    Ok(Report::new(said(&json, &changes), &json).note(warned).note(missing))
}

fn base(context: &Context<'_>) -> Result<Base, Error> {
    let found = context.store.get(key::CONFIG).map_err(|error| Error::read(&error))?;
    let revision = found.entry.as_ref().map_or(0, |entry| entry.revision.0);
    // A record that can't be read is no reason to refuse a good one: applying
    // is the remedy.
    let text = found.entry.as_ref().map(text_of).unwrap_or_default();
    Ok(Base { found, revision, text })
}

fn text_of(entry: &Entry) -> String {
    record::parse::<Config>(entry).map(|config| config.text).unwrap_or_default()
}

fn expect(expected: u64, base: &Base, text: &str) -> Result<(), Error> {
    if expected == base.revision {
        return Ok(());
    }
    let error = conflict(expected, base.found.entry.as_ref());
    Err(error.differences(Vec::new(), ini::changes(&base.text, text)))
}

fn conflict(expected: u64, current: Option<&Entry>) -> Error {
    let named = |revision: u64| match revision {
        0 => "none".to_owned(),
        revision => format!("revision {revision}"),
    };
    let by = current.and_then(|entry| record::parse::<Config>(entry).ok());
    let by = by.map_or_else(String::new, |config| format!(" by {}", config.by));
    let current = current.map_or(0, |entry| entry.revision.0);
    let current = format!("{}{by}", named(current));
    Kind::Conflict { expected: named(expected), current }.into()
}

fn write(
    context: &Context<'_>,
    request: &Request<'_>,
    base: &Base,
    text: &str,
) -> Result<Written, Error> {
    let config = Config {
        text: text.to_owned(),
        by: context.by.to_owned(),
        note: request.note.to_owned(),
        token: request.token.clone(),
    };
    let value = serde_json::to_string(&config).expect("strings are always JSON");
    let too_large = || Error::from(Kind::TooLarge { path: request.path.to_owned() });
    if value.len() > MAX_VALUE {
        return Err(too_large());
    }
    let write = Write { key: key::CONFIG, value: Some(&value), base: &base.found };
    match settle::write(context, &write) {
        Ok(End::Applied { revision, replaced }) => Ok(Written { revision, replaced }),
        Ok(End::Conflict(current)) => {
            let now = current.as_ref().map(text_of).unwrap_or_default();
            let theirs = ini::changes(&base.text, &now);
            let error = conflict(base.revision, current.as_ref());
            Err(error.differences(theirs, ini::changes(&now, text)))
        }
        Err(Failure::Refused(store::Error::TooLarge { .. })) => Err(too_large()),
        Err(Failure::Refused(error)) => Err(Error::read(&error)),
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
    let listed: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let from = format!("revision {}", base.revision);
    let to = format!("revision {revision}: {}", listed.join("; "));
    let what = match request.note {
        "" => "configuration".to_owned(),
        note => format!("configuration ({note})"),
    };
    record::audit(context, &Done { what: &what, from: &from, to: &to, revision })
}

fn said(json: &Json, changes: &[Change]) -> String {
    let Json { revision, previous, .. } = json;
    let mut said = format!("accepted: revision {revision} replaces {previous}\n");
    if json.replaced {
        said.push_str("someone else has replaced it since\n");
    }
    changes.iter().for_each(|change| said.push_str(&format!("  {change}\n")));
    said
}
