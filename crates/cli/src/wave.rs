//! `wave start`, `wave resume` and `wave halt`: control maintenance waves.
//!
//! The command writes the record of the wave, with a new number for a new wave. The
//! controller that decides then updates the lists in the record.

use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::Lookup;
use serde::Serialize;

use crate::cas::{self, Failure, Outcome, Write};
use crate::context::Context;
use crate::drain;
use crate::error::{Error, Kind};
use crate::record::{self, Update};
use crate::report::Report;

/// An order for a wave.
#[derive(Clone, Debug)]
pub enum Order<'a> {
    /// Starts a new wave.
    Start {
        /// The VMs to maintain; empty for all of the fleet.
        vms: Vec<Name>,
        /// The maximum number of VMs out of service at once; 0 for the controller's
        /// choice.
        step: u32,
        /// How long the wave may take; a day by default.
        within: Option<Duration>,
        /// The reason.
        reason: &'a str,
    },
    /// Resumes a halted wave.
    Resume,
    /// Halts the wave: no further VM is drained.
    Halt {
        /// The reason.
        reason: &'a str,
    },
}

#[derive(Serialize)]
struct Json {
    outcome: &'static str,
    revision: u64,
    record: Wave,
    audited: bool,
}

/// Executes an order.
///
/// # Errors
///
/// Fails if a VM is unknown, if there is no wave to resume or halt, if another wave
/// is in progress, or if the store fails.
pub fn run(context: &Context<'_>, order: &Order<'_>) -> Result<Report, Error> {
    if let Order::Start { vms, .. } = order {
        vms.iter().try_for_each(|vm| drain::check_vm_exists(context, vm))?;
    }
    let found = context.store.get(key::WAVE).map_err(|error| Error::unchanged(&error))?;
    let before: Option<Wave> = found.entry.as_ref().map(record::parse).transpose()?;
    let wave = next_wave(context, order, before.as_ref())?;
    write(context, &found, before.as_ref(), wave)
}

/// Returns the record of the wave after `order`, given the record `before`.
fn next_wave(
    context: &Context<'_>,
    order: &Order<'_>,
    before: Option<&Wave>,
) -> Result<Wave, Error> {
    match order {
        Order::Start { vms, step, within, reason } => {
            if let Some(wave) = before.filter(|wave| is_in_progress(wave)) {
                return Err(Kind::WaveInProgress(wave.number).into());
            }
            let began_ms = context.clock.unix_ms();
            Ok(Wave {
                number: before.map_or(1, |wave| wave.number + 1),
                reason: format!("{}: {reason}", context.operator),
                began_ms,
                deadline_ms: within.map_or(0, |within| began_ms + within.as_millis() as u64),
                todo: vms.clone(),
                doing: Vec::new(),
                done: Vec::new(),
                failed: Vec::new(),
                step: *step,
                halted: None,
            })
        }
        Order::Resume => {
            let wave = before.filter(|wave| wave.halted.is_some()).ok_or(Kind::NoWave)?;
            Ok(Wave { halted: None, ..wave.clone() })
        }
        Order::Halt { reason } => {
            let wave = before.filter(|wave| is_in_progress(wave)).ok_or(Kind::NoWave)?;
            let halted = Some(format!("halted by {}: {reason}", context.operator));
            Ok(Wave { halted, ..wave.clone() })
        }
    }
}

/// Whether VMs are still to be maintained. A wave over the whole fleet begins with
/// empty lists, and is in progress as well.
fn is_in_progress(wave: &Wave) -> bool {
    let is_done = wave.todo.is_empty() && wave.doing.is_empty();
    !is_done || (wave.done.is_empty() && wave.failed.is_empty())
}

fn write(
    context: &Context<'_>,
    found: &Lookup,
    before: Option<&Wave>,
    wave: Wave,
) -> Result<Report, Error> {
    let value = serde_json::to_string(&wave).expect("strings and numbers are always JSON");
    let write = Write { key: key::WAVE, value: Some(&value), base: found };
    let revision = match cas::write(context, &write) {
        Ok(Outcome::Applied { revision, .. }) => revision,
        Ok(Outcome::Conflict(_)) => return Err(Kind::WaveInProgress(wave.number).into()),
        Err(Failure::NotApplied(error)) => return Err(Error::unchanged(&error)),
        Err(Failure::Unknown(error)) => return Err(Kind::Unknown(error.to_string()).into()),
    };
    let subject = format!("wave {}", wave.number);
    let (from, to) = (before.map_or("none", state), state(&wave));
    let audit_failure = record::audit(context, &Update { subject: &subject, from, to, revision });
    let summary = format!("accepted: {subject} is {to}\n");
    let audited = audit_failure.is_none();
    let json = Json { outcome: "accepted", revision: revision.0, record: wave, audited };
    Ok(Report::new(summary, &json).note(audit_failure))
}

fn state(wave: &Wave) -> &'static str {
    if wave.halted.is_some() {
        "halted"
    } else if is_in_progress(wave) {
        "under way"
    } else {
        "done"
    }
}
