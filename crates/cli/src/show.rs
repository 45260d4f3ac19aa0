//! `show`, `history` and `explain`: reports on the records in the store.

use corianderfork_provider::key;
use corianderfork_provider::record::{AuditLine, Explain, Holder, Member, Wave};
use corianderfork_provider::store::Range;
use serde::Serialize;

use crate::context::Context;
use crate::error::Error;
use crate::ini;
use crate::record;
use crate::report::Report;
use crate::table::{Table, plain};
use crate::time;
use crate::view::{self, PoolRow, ServiceRow, View, VmRow};
use corianderfork_provider::audit::Trail;

#[derive(Serialize)]
struct ConfigJson<'a> {
    revision: u64,
    by: &'a str,
    note: &'a str,
    text: &'a str,
}

#[derive(Serialize)]
struct MembersJson {
    members: Vec<Member>,
    planner: Option<Holder>,
}

#[derive(Serialize)]
struct RowsJson<T> {
    rows: Vec<T>,
}

#[derive(Serialize)]
struct RecordJson<T> {
    record: Option<T>,
}

fn range(context: &Context<'_>, prefix: &str) -> Result<Range, Error> {
    context.store.range(prefix).map_err(|error| Error::unchanged(&error))
}

fn view(context: &Context<'_>) -> Result<View, Error> {
    Ok(View::new(range(context, key::SHARED)?))
}

/// Shows the configuration in force, as a file that can be edited and applied.
///
/// # Errors
///
/// Fails if there is none or the store can't be read.
pub fn config(context: &Context<'_>) -> Result<Report, Error> {
    let current = record::config(context)?;
    let (revision, config) = (current.revision.0, current.config);
    let json = ConfigJson { revision, by: &config.by, note: &config.note, text: &config.text };
    Ok(Report::new(ini::base_line(revision) + &config.text, &json))
}

/// Shows the pools with the phases of their VMs.
///
/// # Errors
///
/// Fails if the store or a record can't be read.
pub fn pools(context: &Context<'_>) -> Result<Report, Error> {
    let view = view(context)?;
    let rows = view::pools(&view.fleet()?, &view.vms()?);
    Ok(Report::new(pool_table(&rows), &RowsJson { rows }))
}

/// Formats the pools as a table.
pub fn pool_table(rows: &[PoolRow]) -> String {
    let mut table = Table::new([
        "POOL",
        "VMS",
        "SERVING",
        "DRAINING",
        "DRAINED",
        "REBOOTING",
        "RETURNING",
        "OUT",
    ]);
    for row in rows {
        let counts = [
            row.vms,
            row.serving,
            row.draining,
            row.drained,
            row.rebooting,
            row.returning,
            row.out,
        ];
        let [vms, serving, draining, drained, rebooting, returning, out] =
            counts.map(|count| count.to_string());
        let pool = row.pool.to_string();
        table.row([pool, vms, serving, draining, drained, rebooting, returning, out]);
    }
    table.to_string()
}

/// Shows the VMs.
///
/// # Errors
///
/// Fails if the store or a record can't be read.
pub fn vms(context: &Context<'_>) -> Result<Report, Error> {
    let rows = view(context)?.vms()?;
    let mut table = Table::new(["VM", "POOL", "PHASE", "SINCE", "EPOCH", "COPIES", "REASON"]);
    rows.iter().for_each(|row| table.row(vm_cells(row)));
    Ok(Report::new(table.to_string(), &RowsJson { rows }))
}

fn vm_cells(row: &VmRow) -> [String; 7] {
    let services = row.runners.iter().map(|runner| runner.service.as_str());
    let mut reason = row.reason.clone();
    if let Some(pool) = &row.moving_to {
        reason.push_str(&format!("; moving to {pool}"));
    }
    if let Some(drain) = &row.drain {
        reason.push_str(&format!("; drained by {}: {}", drain.by, drain.reason));
    }
    [
        row.vm.to_string(),
        row.pool.to_string(),
        row.phase.to_string(),
        time::utc(row.since_ms),
        row.epoch.to_string(),
        services.collect::<Vec<_>>().join(" "),
        reason,
    ]
}

/// Shows the services with their copies.
///
/// # Errors
///
/// Fails if the store or a record can't be read.
pub fn services(context: &Context<'_>) -> Result<Report, Error> {
    let view = view(context)?;
    let rows = view::services(&view.fleet()?, &view.vms()?);
    Ok(Report::new(service_table(&rows), &RowsJson { rows }))
}

/// Formats the services as a table.
pub fn service_table(rows: &[ServiceRow]) -> String {
    let mut table = Table::new(["SERVICE", "POOL", "ABLE", "LEAST", "MOST", "LICENCES"]);
    for row in rows {
        table.row([
            row.service.to_string(),
            row.pool.to_string(),
            row.able.to_string(),
            row.least.to_string(),
            row.most.to_string(),
            row.licences.to_string(),
        ]);
    }
    table.to_string()
}

/// Shows the maintenance wave.
///
/// # Errors
///
/// Fails if the store or the record can't be read.
pub fn waves(context: &Context<'_>) -> Result<Report, Error> {
    let wave: Option<Wave> = record::get(context, key::WAVE)?;
    let text = wave.as_ref().map_or_else(|| "no wave has run\n".to_owned(), wave_text);
    Ok(Report::new(text, &RecordJson { record: wave }))
}

fn wave_text(wave: &Wave) -> String {
    let mut table = Table::new(["STATE", "COUNT", "VMS"]);
    let states = [
        ("todo", &wave.todo),
        ("doing", &wave.doing),
        ("done", &wave.done),
        ("failed", &wave.failed),
    ];
    for (state, vms) in states {
        let names: Vec<&str> = vms.iter().map(|vm| vm.as_str()).collect();
        table.row([state.to_owned(), vms.len().to_string(), names.join(" ")]);
    }
    let began = time::utc(wave.began_ms);
    let halted = wave.halted.as_ref();
    let halted = halted.map_or_else(String::new, |reason| format!("halted: {}\n", plain(reason)));
    let (number, step, reason) = (wave.number, wave.step, plain(&wave.reason));
    format!("wave {number} since {began}, {step} at once: {reason}\n{halted}{table}")
}

/// Shows the audit trail, oldest line first.
///
/// # Errors
///
/// Fails if the store can't be read.
pub fn audit(context: &Context<'_>) -> Result<Report, Error> {
    let rows: Vec<AuditLine> = Trail::new(&range(context, key::AUDIT)?).lines();
    let mut table = Table::new(["REVISION", "WHEN", "WHO", "WHAT", "FROM", "TO"]);
    for row in &rows {
        let (who, what) = (row.who.clone(), row.what.clone());
        let (from, to) = (row.from.clone(), row.to.clone());
        table.row([row.revision.to_string(), time::utc(row.at_ms), who, what, from, to]);
    }
    Ok(Report::new(table.to_string(), &RowsJson { rows }))
}

/// Shows the members, and which controller decides.
///
/// # Errors
///
/// Fails if the store or a record can't be read.
pub fn members(context: &Context<'_>) -> Result<Report, Error> {
    let members = view(context)?.members()?;
    let planner: Option<Holder> = record::get(context, key::PLANNER)?;
    let mut table = Table::new(["ROLE", "NAME", "DATA CENTRE", "INCARNATION", "PEERS", "CALLERS"]);
    for member in &members {
        table.row([
            member.role.to_string(),
            member.name.to_string(),
            member.data_centre.to_string(),
            member.incarnation.to_string(),
            member.peers.to_string(),
            member.callers.map_or_else(|| "-".to_owned(), |address| address.to_string()),
        ]);
    }
    let leader = planner.as_ref().map_or("none", |holder| holder.name.as_str());
    let text = format!("{table}controller that decides: {leader}\n");
    Ok(Report::new(text, &MembersJson { members, planner }))
}

/// Shows the last decision of the controller and its reasons.
///
/// # Errors
///
/// Fails if the store or the record can't be read.
pub fn explain(context: &Context<'_>) -> Result<Report, Error> {
    let explain: Option<Explain> = record::get(context, key::EXPLAIN)?;
    let text = explain.as_ref().map(explain_text);
    let text = text.unwrap_or_else(|| "no controller has decided yet\n".to_owned());
    Ok(Report::new(text, &RecordJson { record: explain }))
}

fn explain_text(explain: &Explain) -> String {
    let (at, config) = (time::utc(explain.at_ms), explain.config);
    let mut text = format!(
        "rule `{}` decided at {at}, by configuration revision {config}\n",
        plain(&explain.rule)
    );
    let lists = [
        ("because", &explain.seen),
        ("rules before it that did not match", &explain.passed),
        ("decided", &explain.steps),
        ("cannot be done", &explain.problems),
    ];
    for (title, lines) in lists {
        if lines.is_empty() {
            continue;
        }
        text.push_str(&format!("\n{title}:\n"));
        lines.iter().for_each(|line| text.push_str(&format!("  {}\n", plain(line))));
    }
    text
}
