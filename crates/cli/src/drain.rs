//! `drain VM` and `undrain VM`: set and remove an operator's drain in the store.
//!
//! Both are idempotent: a VM that is already drained keeps the drain and the reason
//! of the first operator.

use corianderfork_model::Name;
use corianderfork_provider::record::Drain;
use corianderfork_provider::store::{Lookup, Revision};
use corianderfork_provider::{key, record as records};
use corianderfork_rules::nearest;
use serde::Serialize;

use crate::acknowledge;
use crate::cas::{self, Failure, Outcome, Write};
use crate::context::Context;
use crate::error::{Error, Kind};
use crate::record::{self, Update};
use crate::report::Report;

const DRAINED: &str = "drained by an operator";
const NOT_DRAINED: &str = "not drained by an operator";

#[derive(Serialize)]
struct Json<'a> {
    outcome: &'static str,
    vm: &'a Name,
    revision: Option<u64>,
    drain: Option<Drain>,
    audited: bool,
}

/// Drains a VM until [`undrain`].
///
/// # Errors
///
/// Fails if the VM is unknown, if no controller acknowledges the drain by the
/// deadline, or if the store fails.
pub fn drain(context: &Context<'_>, vm: &Name, reason: &str) -> Result<Report, Error> {
    check_vm_exists(context, vm)?;
    let key = key::drain(vm);
    let base = read(context, &key)?;
    if base.entry.is_some() {
        return already_drained_report(context, vm, &base);
    }
    let drain = Drain { by: context.operator.to_owned(), reason: reason.to_owned() };
    let value = serde_json::to_string(&drain).expect("strings are always JSON");
    match cas::write(context, &Write { key: &key, value: Some(&value), base: &base }) {
        Ok(Outcome::Applied { revision, .. }) => {
            let to = format!("{DRAINED}: {reason}");
            let acknowledged = acknowledge::wait(context, revision);
            let report = audited_report(context, vm, NOT_DRAINED, &to, revision, Some(drain));
            acknowledged.map(|()| report)
        }
        // Another operator drained the VM first.
        Ok(Outcome::Conflict(entry)) if entry.is_some() => {
            already_drained_report(context, vm, &Lookup { revision: base.revision, entry })
        }
        result => Err(write_error(vm, result)),
    }
}

/// Removes an operator's drain.
///
/// # Errors
///
/// Fails with [`Kind::DrainConflict`] if the drain was changed since it was read,
/// or if the store fails.
pub fn undrain(context: &Context<'_>, vm: &Name) -> Result<Report, Error> {
    let key = key::drain(vm);
    let base = read(context, &key)?;
    let Some(entry) = &base.entry else { return Ok(not_drained_report(vm)) };
    let from = match record::parse::<Drain>(entry) {
        Ok(drain) => format!("{DRAINED} ({}): {}", drain.by, drain.reason),
        Err(_) => DRAINED.to_owned(),
    };
    match cas::write(context, &Write { key: &key, value: None, base: &base }) {
        Ok(Outcome::Applied { revision, .. }) => {
            Ok(audited_report(context, vm, &from, NOT_DRAINED, revision, None))
        }
        Ok(Outcome::Conflict(None)) => Ok(not_drained_report(vm)),
        result => Err(write_error(vm, result)),
    }
}

fn read(context: &Context<'_>, key: &str) -> Result<Lookup, Error> {
    context.store.get(key).map_err(|error| Error::unchanged(&error))
}

/// Fails if there is no such VM: a drain under a misspelt name would never take
/// effect, while the intended VM keeps taking work.
pub(crate) fn check_vm_exists(context: &Context<'_>, vm: &Name) -> Result<(), Error> {
    if record::get::<records::Vm>(context, &key::vm(vm))?.is_some() {
        return Ok(());
    }
    let text = record::config(context)?.config.text;
    let fleet = corianderfork_config::parse(&text).map(|parsed| parsed.fleet).unwrap_or_default();
    if fleet.find_vm(vm.as_str()).is_some() {
        return Ok(());
    }
    let help = nearest::help(vm.as_str(), fleet.vms().map(|(_, vm)| vm.name.as_str()));
    Err(Kind::UnknownVm { name: vm.to_string(), help }.into())
}

/// Records the change in the audit trail and returns its report.
fn audited_report(
    context: &Context<'_>,
    vm: &Name,
    from: &str,
    to: &str,
    revision: Revision,
    drain: Option<Drain>,
) -> Report {
    let subject = format!("vm {vm}");
    let audit_failure = record::audit(context, &Update { subject: &subject, from, to, revision });
    let (audited, revision) = (audit_failure.is_none(), Some(revision.0));
    let json = Json { outcome: "accepted", vm, revision, drain, audited };
    Report::new(format!("accepted: {vm} is {to}\n"), &json).note(audit_failure)
}

fn already_drained_report(
    context: &Context<'_>,
    vm: &Name,
    found: &Lookup,
) -> Result<Report, Error> {
    if let Some(entry) = &found.entry {
        acknowledge::wait(context, entry.revision)?;
    }
    let drain: Option<Drain> = found.entry.as_ref().map(record::parse).transpose()?;
    let by = drain.as_ref().map_or_else(String::new, |d| format!(" by {}: {}", d.by, d.reason));
    let revision = found.entry.as_ref().map(|entry| entry.revision.0);
    let json = Json { outcome: "unchanged", vm, revision, drain, audited: true };
    Ok(Report::new(format!("unchanged: {vm} is drained already{by}\n"), &json))
}

fn not_drained_report(vm: &Name) -> Report {
    let json = Json { outcome: "unchanged", vm, revision: None, drain: None, audited: true };
    Report::new(format!("unchanged: {vm} is {NOT_DRAINED}\n"), &json)
}

fn write_error(vm: &Name, result: Result<Outcome, Failure>) -> Error {
    match result {
        Ok(_) => Kind::DrainConflict(vm.to_string()).into(),
        Err(Failure::NotApplied(error)) => Error::unchanged(&error),
        Err(Failure::Unknown(error)) => Kind::Unknown(error.to_string()).into(),
    }
}
