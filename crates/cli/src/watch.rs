//! `watch`: the fleet converging to what its operators wrote.

use std::time::Duration;

use corianderfork_provider::key;
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::{Error as Failure, Revision};
use serde::Serialize;

use crate::context::Context;
use crate::error::Error;
use crate::record;
use crate::report::Report;
use crate::show;
use crate::table::plain;
use crate::view::{self, PoolRow, ServiceRow, View, WaveRow};

/// How long one watch waits; a quiet fleet is printed anew after it.
const WAIT: Duration = Duration::from_secs(5);
/// The least time between two refreshes, so that a wave over a large fleet
/// doesn't cost a call for each of its writes.
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Json {
    revision: u64,
    pools: Vec<PoolRow>,
    services: Vec<ServiceRow>,
    wave: Option<WaveRow>,
    problem: Option<String>,
}

/// The records and the revision they are complete up to.
struct State {
    view: View,
    revision: Revision,
}

/// Hands a report to `print` at each refresh, `count` times or for ever.
///
/// An outage after the first refresh is a refresh that says so; the records
/// are then read anew.
///
/// # Errors
///
/// Fails if the store can't be read at first, or as `print` does.
pub fn run(
    context: &Context<'_>,
    count: Option<u64>,
    print: &mut dyn FnMut(&Report) -> Result<(), Error>,
) -> Result<(), Error> {
    let mut state = Some(read(context)?);
    let mut printed = 0;
    loop {
        let report = match &state {
            Some(state) => refresh(context, state),
            None => problem(0, "the platform does not answer; trying again".to_owned()),
        };
        print(&report)?;
        printed += 1;
        if count.is_some_and(|count| printed >= count) {
            return Ok(());
        }
        context.clock.pause(PAUSE);
        state = next(context, state).ok();
    }
}

fn read(context: &Context<'_>) -> Result<State, Error> {
    let range = context.store.range(key::SHARED).map_err(|error| Error::read(&error))?;
    let revision = range.revision;
    Ok(State { view: View::new(range), revision })
}

/// The state after the next changes; read whole after an outage, or when the
/// store no longer has all changes since.
fn next(context: &Context<'_>, state: Option<State>) -> Result<State, Error> {
    let Some(mut state) = state else { return read(context) };
    match context.store.watch(key::SHARED, state.revision, WAIT) {
        Ok(changes) => {
            changes.changes.into_iter().for_each(|change| state.view.change(change));
            state.revision = changes.revision;
            Ok(state)
        }
        Err(Failure::Compacted) => read(context),
        Err(error) => Err(Error::read(&error)),
    }
}

fn refresh(context: &Context<'_>, state: &State) -> Report {
    let revision = state.revision.0;
    report(context, state).unwrap_or_else(|error| problem(revision, error.to_string()))
}

fn report(context: &Context<'_>, state: &State) -> Result<Report, Error> {
    let (fleet, vms) = (state.view.fleet()?, state.view.vms()?);
    let wave: Option<Wave> = record::get(context, key::WAVE)?;
    let json = Json {
        revision: state.revision.0,
        pools: view::pools(&fleet, &vms),
        services: view::services(&fleet, &vms),
        wave: wave.as_ref().map(WaveRow::from),
        problem: None,
    };
    Ok(Report::new(text(&json), &json))
}

fn problem(revision: u64, problem: String) -> Report {
    let text = format!("revision {revision}: {}\n", plain(&problem));
    let (pools, services) = (Vec::new(), Vec::new());
    Report::new(text, &Json { revision, pools, services, wave: None, problem: Some(problem) })
}

fn text(json: &Json) -> String {
    let pools = show::pool_table(&json.pools);
    let services = show::service_table(&json.services);
    let wave = json.wave.as_ref().map_or_else(String::new, wave_line);
    format!("revision {}\n\n{pools}\n{services}{wave}", json.revision)
}

fn wave_line(wave: &WaveRow) -> String {
    let WaveRow { number, todo, doing, done, failed, halted } = wave;
    let halted = halted.as_ref();
    let halted = halted.map_or_else(String::new, |why| format!("; halted: {}", plain(why)));
    format!("\nwave {number}: {done} done, {doing} doing, {todo} to do, {failed} failed{halted}\n")
}
