//! `watch`: shows the state of the fleet as it changes.

use std::time::Duration;

use corianderfork_provider::key;
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::{Error as StoreError, Revision};
use serde::Serialize;

use crate::context::Context;
use crate::error::Error;
use crate::record;
use crate::report::Report;
use crate::show;
use crate::table::plain;
use crate::view::{self, PoolRow, ServiceRow, View, WaveRow};

/// The maximum time that one call waits for changes, and so between two reports.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// The minimum time between two refreshes, so that a wave over a large fleet does
/// not cause a call for each of its writes.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Json {
    revision: u64,
    pools: Vec<PoolRow>,
    services: Vec<ServiceRow>,
    wave: Option<WaveRow>,
    problem: Option<String>,
}

/// The records, and the revision up to which they are complete.
struct State {
    view: View,
    revision: Revision,
}

/// Passes a report to `print` at each refresh, `count` times or without end.
///
/// During an outage after the first refresh, the report says so and the records
/// are read again in full.
///
/// # Errors
///
/// Fails if the first read of the store or `print` fails.
pub fn run(
    context: &Context<'_>,
    count: Option<u64>,
    print: &mut dyn FnMut(&Report) -> Result<(), Error>,
) -> Result<(), Error> {
    let mut state = Some(read(context)?);
    let mut printed = 0;
    loop {
        let report = match &state {
            Some(state) => state_or_problem_report(context, state),
            None => problem_report(0, "the platform does not answer; trying again".to_owned()),
        };
        print(&report)?;
        printed += 1;
        if count.is_some_and(|count| printed >= count) {
            return Ok(());
        }
        context.clock.sleep(MIN_REFRESH_INTERVAL);
        state = advance(context, state).ok();
    }
}

fn read(context: &Context<'_>) -> Result<State, Error> {
    let range = context.store.range(key::SHARED).map_err(|error| Error::unchanged(&error))?;
    let revision = range.revision;
    Ok(State { view: View::new(range), revision })
}

/// Waits for changes and returns the state after them. Reads all records after an
/// outage, or if the store has compacted the changes.
fn advance(context: &Context<'_>, state: Option<State>) -> Result<State, Error> {
    let Some(mut state) = state else { return read(context) };
    match context.store.watch(key::SHARED, state.revision, WATCH_TIMEOUT) {
        Ok(changes) => {
            changes.changes.into_iter().for_each(|change| state.view.apply(change));
            state.revision = changes.revision;
            Ok(state)
        }
        Err(StoreError::Compacted) => read(context),
        Err(error) => Err(Error::unchanged(&error)),
    }
}

fn state_or_problem_report(context: &Context<'_>, state: &State) -> Report {
    let revision = state.revision.0;
    state_report(context, state).unwrap_or_else(|error| problem_report(revision, error.to_string()))
}

fn state_report(context: &Context<'_>, state: &State) -> Result<Report, Error> {
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

fn problem_report(revision: u64, problem: String) -> Report {
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
    let halted = halted.map_or_else(String::new, |reason| format!("; halted: {}", plain(reason)));
    format!("\nwave {number}: {done} done, {doing} doing, {todo} to do, {failed} failed{halted}\n")
}
