//! `drain VM` and `undrain VM`: an operator's wish, kept in the store.
//!
//! Both are idempotent: what is drained already stays so, with the reason of
//! the one who asked first.

use corianderfork_model::Name;
use corianderfork_provider::record::Drain;
use corianderfork_provider::store::{Lookup, Revision};
use corianderfork_provider::{key, record as records};
use corianderfork_rules::nearest;
use serde::Serialize;

use crate::context::Context;
use crate::error::{Error, Kind};
use crate::heard;
use crate::record::{self, Done};
use crate::report::Report;
use crate::settle::{self, End, Failure, Write};

const DRAINED: &str = "drained by an operator";
const FREE: &str = "not drained by an operator";

#[derive(Serialize)]
struct Json<'a> {
    outcome: &'static str,
    vm: &'a Name,
    revision: Option<u64>,
    drain: Option<Drain>,
    audited: bool,
}

/// Asks that a VM be drained and stay so.
///
/// # Errors
///
/// Rejected if there is no such VM; pending if no controller is known to have
/// heard of it in time; else as the store fails.
pub fn drain(context: &Context<'_>, vm: &Name, reason: &str) -> Result<Report, Error> {
    known(context, vm)?;
    let key = key::drain(vm);
    let base = read(context, &key)?;
    if base.entry.is_some() {
        return already_drained(context, vm, &base);
    }
    let wish = Drain { by: context.by.to_owned(), reason: reason.to_owned() };
    let value = serde_json::to_string(&wish).expect("strings are always JSON");
    match settle::write(context, &Write { key: &key, value: Some(&value), base: &base }) {
        Ok(End::Applied { revision, .. }) => {
            let to = format!("{DRAINED}: {reason}");
            let heard = heard::wait(context, revision);
            let report = changed(context, vm, FREE, &to, revision, Some(wish));
            heard.map(|()| report)
        }
        // Another operator was first, with the same wish.
        Ok(End::Conflict(entry)) if entry.is_some() => {
            already_drained(context, vm, &Lookup { revision: base.revision, entry })
        }
        end => Err(failed(vm, end)),
    }
}

/// Takes an operator's drain back.
///
/// # Errors
///
/// In conflict if the drain is not the one that was read; else as the store
/// fails.
pub fn undrain(context: &Context<'_>, vm: &Name) -> Result<Report, Error> {
    let key = key::drain(vm);
    let base = read(context, &key)?;
    let Some(entry) = &base.entry else { return Ok(already_free(vm)) };
    let from = match record::parse::<Drain>(entry) {
        Ok(drain) => format!("{DRAINED} ({}): {}", drain.by, drain.reason),
        Err(_) => DRAINED.to_owned(),
    };
    match settle::write(context, &Write { key: &key, value: None, base: &base }) {
        Ok(End::Applied { revision, .. }) => Ok(changed(context, vm, &from, FREE, revision, None)),
        Ok(End::Conflict(None)) => Ok(already_free(vm)),
        end => Err(failed(vm, end)),
    }
}

fn read(context: &Context<'_>, key: &str) -> Result<Lookup, Error> {
    context.store.get(key).map_err(|error| Error::read(&error))
}

/// Refuses a name that no VM has: a drain under a misspelt name would wait for
/// ever while the VM that was meant keeps taking work.
pub(crate) fn known(context: &Context<'_>, vm: &Name) -> Result<(), Error> {
    if record::get::<records::Vm>(context, &key::vm(vm))?.is_some() {
        return Ok(());
    }
    let text = record::config(context)?.config.text;
    let fleet = corianderfork_config::parse(&text).map(|parsed| parsed.fleet).unwrap_or_default();
    if fleet.find_vm(vm.as_str()).is_some() {
        return Ok(());
    }
    let help = nearest::help(vm.as_str(), fleet.vms().map(|(_, vm)| vm.name.as_str()));
    Err(Kind::NoVm { name: vm.to_string(), help }.into())
}

fn changed(
    context: &Context<'_>,
    vm: &Name,
    from: &str,
    to: &str,
    revision: Revision,
    drain: Option<Drain>,
) -> Report {
    let what = format!("vm {vm}");
    let missing = record::audit(context, &Done { what: &what, from, to, revision });
    let (audited, revision) = (missing.is_none(), Some(revision.0));
    let json = Json { outcome: "accepted", vm, revision, drain, audited };
    Report::new(format!("accepted: {vm} is {to}\n"), &json).note(missing)
}

fn already_drained(context: &Context<'_>, vm: &Name, found: &Lookup) -> Result<Report, Error> {
    if let Some(entry) = &found.entry {
        heard::wait(context, entry.revision)?;
    }
    let drain: Option<Drain> = found.entry.as_ref().map(record::parse).transpose()?;
    let by = drain.as_ref().map_or_else(String::new, |d| format!(" by {}: {}", d.by, d.reason));
    let revision = found.entry.as_ref().map(|entry| entry.revision.0);
    let json = Json { outcome: "unchanged", vm, revision, drain, audited: true };
    Ok(Report::new(format!("unchanged: {vm} is drained already{by}\n"), &json))
}

fn already_free(vm: &Name) -> Report {
    let json = Json { outcome: "unchanged", vm, revision: None, drain: None, audited: true };
    Report::new(format!("unchanged: {vm} is {FREE}\n"), &json)
}

fn failed(vm: &Name, end: Result<End, Failure>) -> Error {
    match end {
        Ok(_) => Kind::DrainConflict(vm.to_string()).into(),
        Err(Failure::Refused(error)) => Error::read(&error),
        Err(Failure::Unknown(error)) => Kind::Unknown(error.to_string()).into(),
    }
}
