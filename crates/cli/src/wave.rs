//! `wave start`, `wave resume` and `wave halt`: maintenance on order.
//!
//! The order is the wave's record itself, with a number of its own. The
//! controller that decides keeps its lists from then on.

use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_provider::key;
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::Lookup;
use serde::Serialize;

use crate::context::Context;
use crate::drain;
use crate::error::{Error, Kind};
use crate::record::{self, Done};
use crate::report::Report;
use crate::settle::{self, End, Failure, Write};

/// What is ordered.
#[derive(Clone, Debug)]
pub enum Order<'a> {
    /// A new wave.
    Start {
        /// The VMs to maintain; none for all of the fleet.
        vms: Vec<Name>,
        /// The most VMs out of service at once; 0 for the controller's choice.
        step: u32,
        /// How long it may take, if not a day.
        within: Option<Duration>,
        /// Why.
        reason: &'a str,
    },
    /// Lets a halted wave go on.
    Resume,
    /// Begins no further drain.
    Halt {
        /// Why.
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

/// Carries out an order.
///
/// # Errors
///
/// Rejected if a VM is unknown, or there is no wave to resume or halt; in
/// conflict if another wave is under way; else as the store fails.
pub fn run(context: &Context<'_>, order: &Order<'_>) -> Result<Report, Error> {
    if let Order::Start { vms, .. } = order {
        vms.iter().try_for_each(|vm| drain::known(context, vm))?;
    }
    let found = context.store.get(key::WAVE).map_err(|error| Error::read(&error))?;
    let before: Option<Wave> = found.entry.as_ref().map(record::parse).transpose()?;
    let wave = ordered(context, order, before.as_ref())?;
    write(context, &found, before.as_ref(), wave)
}

fn ordered(context: &Context<'_>, order: &Order<'_>, before: Option<&Wave>) -> Result<Wave, Error> {
    match order {
        Order::Start { vms, step, within, reason } => {
            if let Some(wave) = before.filter(|wave| is_under_way(wave)) {
                return Err(Kind::WaveUnderWay(wave.number).into());
            }
            let began_ms = context.clock.unix_ms();
            Ok(Wave {
                number: before.map_or(1, |wave| wave.number + 1),
                reason: format!("{}: {reason}", context.by),
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
            let wave = before.filter(|wave| is_under_way(wave)).ok_or(Kind::NoWave)?;
            let halted = Some(format!("halted by {}: {reason}", context.by));
            Ok(Wave { halted, ..wave.clone() })
        }
    }
}

/// Whether VMs are still to be maintained, or none was looked at yet.
fn is_under_way(wave: &Wave) -> bool {
    let ended = wave.todo.is_empty() && wave.doing.is_empty();
    !ended || (wave.done.is_empty() && wave.failed.is_empty())
}

fn write(
    context: &Context<'_>,
    found: &Lookup,
    before: Option<&Wave>,
    wave: Wave,
) -> Result<Report, Error> {
    let value = serde_json::to_string(&wave).expect("strings and numbers are always JSON");
    let write = Write { key: key::WAVE, value: Some(&value), base: found };
    let revision = match settle::write(context, &write) {
        Ok(End::Applied { revision, .. }) => revision,
        Ok(End::Conflict(_)) => return Err(Kind::WaveUnderWay(wave.number).into()),
        Err(Failure::Refused(error)) => return Err(Error::read(&error)),
        Err(Failure::Unknown(error)) => return Err(Kind::Unknown(error.to_string()).into()),
    };
    let what = format!("wave {}", wave.number);
    let (from, to) = (before.map_or("none", state), state(&wave));
    let missing = record::audit(context, &Done { what: &what, from, to, revision });
    let said = format!("accepted: {what} is {to}\n");
    let audited = missing.is_none();
    let json = Json { outcome: "accepted", revision: revision.0, record: wave, audited };
    Ok(Report::new(said, &json).note(missing))
}

fn state(wave: &Wave) -> &'static str {
    if wave.halted.is_some() {
        "halted"
    } else if is_under_way(wave) {
        "under way"
    } else {
        "done"
    }
}
