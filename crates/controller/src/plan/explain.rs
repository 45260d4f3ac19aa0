//! What was decided and why, for operators.

use corianderfork_model::{Fleet, Time};
use corianderfork_policy::{Note, Step};
use corianderfork_provider::record::Explain;
use corianderfork_rules::Explanation;
use corianderfork_rules::explain::Observation;

/// How many lines of one kind are kept: a record has to fit the store's value.
const LINES: usize = 200;

/// All that an explanation is made of.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The time since the Unix epoch.
    pub unix: Time,
    /// The revision of the configuration.
    pub config: u64,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// What the rules decided.
    pub explanation: &'a Explanation,
    /// What the policy decided.
    pub steps: &'a [Step],
    /// What the policy says beside it.
    pub notes: &'a [Note],
    /// What the controller itself has to say.
    pub problems: &'a [String],
}

/// The explanation of a decision.
pub fn explain(source: &Source<'_>) -> Explain {
    let (fleet, decision) = (source.fleet, source.explanation.decision());
    let actions = decision.actions().iter().map(|action| action.describe(fleet));
    let steps = source.steps.iter().map(|step| step.to_text(fleet));
    let notes = source.notes.iter().map(|note| note_text(note, fleet));
    let passed = source.explanation.skipped().iter().map(|rule| {
        let seen: Vec<String> = rule.observations.iter().map(Observation::to_string).collect();
        format!("{}: `{}` is {:?}: {}", rule.name, rule.when, rule.truth, seen.join("; "))
    });
    Explain {
        at_ms: source.unix.as_millis(),
        config: source.config,
        rule: decision.name().to_string(),
        seen: bounded(decision.observations().iter().map(Observation::to_string)),
        passed: bounded(passed),
        steps: bounded(actions.map(|text| format!("rule: {text}")).chain(steps)),
        problems: bounded(notes.chain(source.problems.iter().cloned())),
    }
}

fn bounded(lines: impl Iterator<Item = String>) -> Vec<String> {
    let mut lines: Vec<String> = lines.collect();
    lines.dedup();
    let more = lines.len().saturating_sub(LINES);
    lines.truncate(LINES);
    if more > 0 {
        lines.push(format!("and {more} more"));
    }
    lines
}

/// What of an explanation makes it worth writing anew: ages change all the
/// time and say nothing new.
pub fn essence(explain: &Explain) -> impl PartialEq + use<> {
    let without_age =
        |lines: &[String]| -> Vec<String> { lines.iter().map(|line| strip_ages(line)).collect() };
    let (seen, passed) = (without_age(&explain.seen), without_age(&explain.passed));
    let told = (explain.steps.clone(), explain.problems.clone());
    (explain.config, explain.rule.clone(), seen, passed, told)
}

/// Cuts the ages that [`Observation`] prints.
fn strip_ages(line: &str) -> String {
    let parts = line.split("; ").map(|part| match part.rfind(", ") {
        Some(at) if part.ends_with("ms old") => &part[..at],
        _ => part,
    });
    parts.collect::<Vec<_>>().join("; ")
}

/// A note as operators read it.
pub fn note_text(note: &Note, fleet: &Fleet) -> String {
    let service = |id: &_| &fleet.service(*id).name;
    match note {
        Note::Unschedulable { service: id, reason } => {
            format!("{} can never run: {reason}", service(id))
        }
        Note::Backoff { service: id, failed, next } => format!(
            "{}: {failed} starts failed in a row; the next try is at {} ms since the epoch",
            service(id),
            next.as_millis()
        ),
        Note::ConflictingLimits { service: id, min, max } => format!(
            "{}: its budget asks for {min} copies, but at most {max} can be had; \
             raise licences or max_copies",
            service(id)
        ),
        Note::Licences { service: id, missing } => {
            format!("{}: {missing} copies are missing for want of licences", service(id))
        }
        Note::NoRoom { service: id, missing } => {
            format!("{}: {missing} copies are missing for want of room in its pool", service(id))
        }
        Note::Quota { service: id, team } => format!(
            "{}: copies are missing as the quota of team {} ends here",
            service(id),
            fleet.team(*team).name
        ),
        Note::Uncovered { service: id, missing } => format!(
            "{}: {missing} copies would be missing after the failure its budget names",
            service(id)
        ),
        Note::StaleLoad { service: id } => {
            format!("{}: no report of its load is fresh; its copies are held", service(id))
        }
        Note::Unfit { vm } => format!("{} fails what is started on it", fleet.vm(*vm).name),
        Note::Halted { failing, back } => {
            format!("maintenance is halted: {failing} of {back} VMs came back failing")
        }
        Note::WaitsForBudget { service: id } => {
            format!("a drain waits for the budget of {}", service(id))
        }
        Note::Overdue { pool, vms } => format!(
            "{vms} VMs of pool {} are past their day of maintenance",
            fleet.pool(*pool).name
        ),
        _ => format!("{note:?}"),
    }
}
