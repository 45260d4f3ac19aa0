//! The rules, checked on what runners saw.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde_json::Value;

use crate::world::{Event, State, split};

/// A broken rule: its name and what was seen.
pub type Break = (&'static str, String);

struct Span<'a> {
    runner: usize,
    task: &'a str,
    run: u64,
    from: u64,
    until: u64,
    how: &'static str,
    number: u64,
    /// When the end was taken note of, unless the lease passed before.
    noted: Option<u64>,
}

/// Checks the rules on starts. `attempts` are those of the queue.
pub fn check(state: &State, attempts: u64) -> Vec<Break> {
    let mut breaks = Vec::new();
    let spans = spans(state);
    let mut by_task: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    spans.iter().for_each(|span| by_task.entry(span.task).or_default().push(span));
    for (task, runs) in &by_task {
        let Some((id, _, step, _)) = split(task) else { continue };
        let Some(job) = state.jobs.get(id) else {
            breaks.push(("UNASKED", format!("{task} started, no client sent it")));
            continue;
        };
        let step = &job["steps"][step];
        let lasts = step["long_running"] == true;
        for (index, later) in runs.iter().enumerate() {
            for earlier in runs.iter().take(index) {
                let names = format!(
                    "{task}: run {} on runner {} from {} to {} ms ({}), run {} on runner {} from {} ms",
                    earlier.run,
                    earlier.runner,
                    earlier.from,
                    earlier.until,
                    earlier.how,
                    later.run,
                    later.runner,
                    later.from
                );
                if earlier.until > later.from {
                    breaks.push(("TWICE", format!("two at a time; {names}")));
                } else if earlier.how == "done" && earlier.noted.is_some() && !lasts {
                    breaks.push((
                        "TWICE",
                        format!(
                            "after its end at {} ms was noted; {names}",
                            earlier.noted.unwrap_or(0)
                        ),
                    ));
                }
            }
            // A run of a gang counts once for all members.
            let failed: HashSet<u64> = runs
                .iter()
                .take(index)
                .filter(|r| r.how == "failed" && r.noted.is_some() && r.until <= later.from)
                .map(|r| r.run)
                .collect();
            if !lasts && failed.len() as u64 >= attempts {
                breaks.push((
                    "BUDGET",
                    format!(
                        "{task}: run {} started at {} ms after {} runs had ended failed and were noted; attempts {attempts}",
                        later.run, later.from, failed.len()
                    ),
                ));
            }
        }
        order(job, task, runs, &by_task, &mut breaks);
    }
    for (at, event) in &state.events {
        let Event::Start { runner, task, spec, saved, .. } = event else { continue };
        let Some((id, ..)) = split(task) else { continue };
        let Some(job) = state.jobs.get(id) else { continue };
        if job["spec"].as_str() != Some(spec) {
            breaks.push(("UNASKED", format!("{task} at {at} ms: another spec")));
        }
        if !saved.is_empty() && !was_saved(state, *at, task, saved, job) {
            breaks.push((
                "UNASKED",
                format!("{task} at {at} ms on {runner}: saved {saved} isn't its"),
            ));
        }
    }
    limits(state, &spans, &mut breaks);
    for span in spans.iter().filter(|span| span.how == "alone") {
        breaks.push((
            "GANG",
            format!("{} run {} ended alone at {} ms", span.task, span.run, span.until),
        ));
    }
    breaks
}

fn was_saved(state: &State, at: u64, task: &str, saved: &str, job: &Value) -> bool {
    let is_gang = split(task).is_some_and(|(_, _, step, _)| job["steps"][step]["gang"] == true);
    let stem = |task: &str| task.rsplit_once('.').map(|(stem, _)| stem.to_owned());
    // Values in lists of runs aren't recorded; they are whole multiples.
    let is_periodic = saved.parse::<u64>().is_ok_and(|value| value % 500 == 0);
    is_periodic
        || state.events.iter().take_while(|(t, _)| *t <= at).any(|(_, event)| match event {
            Event::End { task: other, saved: value, .. } => {
                value == saved && (other == task || is_gang && stem(other) == stem(task))
            }
            _ => false,
        })
}

fn spans(state: &State) -> Vec<Span<'_>> {
    let mut spans: Vec<Span> = Vec::new();
    let mut open: HashMap<(usize, &str, u64), usize> = HashMap::new();
    let last = state.events.last().map_or(0, |(at, _)| *at);
    for (at, event) in &state.events {
        match event {
            Event::Start { runner, task, run, .. } => {
                open.insert((*runner, task, *run), spans.len());
                spans.push(Span {
                    runner: *runner,
                    task,
                    run: *run,
                    from: *at,
                    until: last,
                    how: "running",
                    number: 0,
                    noted: None,
                });
            }
            Event::End { runner, number, task, run, how, .. } => {
                if let Some(index) = open.remove(&(*runner, task.as_str(), *run)) {
                    (spans[index].until, spans[index].how) = (*at, how);
                    spans[index].number = *number;
                }
            }
            Event::Down { runner } => {
                open.retain(|(on, ..), index| {
                    if on == runner {
                        (spans[*index].until, spans[*index].how) = (*at, "gone");
                    }
                    on != runner
                });
            }
            _ => {}
        }
    }
    // An end is taken note of when it is acknowledged, unless the lease passed between.
    for (at, event) in &state.events {
        let Event::Noted { runner, upto } = event else { continue };
        for span in spans.iter_mut().filter(|span| span.runner == *runner) {
            let is_its = span.number > 0 && span.number <= *upto && span.noted.is_none();
            let has_lapsed = |(t, event): &(u64, Event)| {
                matches!(event, Event::Lapse { runner: on } if on == runner)
                    && *t >= span.until
                    && *t <= *at
            };
            if is_its && span.until <= *at && !state.events.iter().any(has_lapsed) {
                span.noted = Some(*at);
            }
        }
    }
    spans
}

fn order(
    job: &Value,
    task: &str,
    runs: &[&Span],
    by_task: &BTreeMap<&str, Vec<&Span>>,
    breaks: &mut Vec<Break>,
) {
    let Some((id, occurrence, step, _)) = split(task) else { return };
    let first = runs.iter().map(|run| run.from).min().unwrap_or(0);
    let steps = &job["steps"];
    for after in steps[step]["after"].as_array().into_iter().flatten() {
        let after = after.as_u64().unwrap_or(0) as usize;
        let is_gang = steps[after]["gang"] == true;
        let count = steps[after]["count"].as_u64().unwrap_or(0);
        let ended = |index: u64| {
            let name = format!("{id}.{occurrence}.{after}.{index}");
            let runs = by_task.get(name.as_str());
            runs.is_some_and(|runs| runs.iter().any(|r| r.how == "done" && r.until <= first))
        };
        let is_done = if is_gang { (0..count).any(ended) } else { (0..count).all(ended) };
        if !is_done {
            breaks.push((
                "ORDER",
                format!("{task} started at {first} ms before step {after} was done"),
            ));
        }
    }
    let due = job["due_ms"]
        .as_u64()
        .map(|due| due + occurrence * job["interval_ms"].as_u64().unwrap_or(0));
    if due.is_some_and(|due| first + 250 < due) {
        breaks.push(("ORDER", format!("{task} started at {first} ms, due at {due:?} ms")));
    }
}

fn limits(state: &State, spans: &[Span], breaks: &mut Vec<Break>) {
    for span in spans {
        let room = |span: &Span| {
            let step = split(span.task)
                .and_then(|(id, _, step, _)| Some(state.jobs.get(id)?["steps"][step].clone()));
            step.map_or(0, |step| {
                if step["fills"] == true { 0 } else { step["cpu"].as_u64().unwrap_or(0) }
            })
        };
        let beside = spans.iter().filter(|other| {
            other.runner == span.runner && other.from <= span.from && other.until > span.from
        });
        let used: u64 = beside.map(room).sum();
        if used > state.runners[span.runner].cpu {
            breaks.push((
                "LIMIT",
                format!("{} at {} ms: {used} on runner {}", span.task, span.from, span.runner),
            ));
        }
    }
}
