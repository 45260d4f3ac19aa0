//! Explains decisions to operators.

use corianderfork_model::{Fleet, Time};
use corianderfork_policy::{Note, Step};
use corianderfork_provider::record::Explain;
use corianderfork_rules::Explanation;
use corianderfork_rules::explain::Observation;

/// The maximum number of lines of each kind, so that the record fits the
/// store's value.
const MAX_LINES: usize = 200;

/// The input for an explanation.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The time since the Unix epoch.
    pub unix: Time,
    /// The revision of the configuration.
    pub config_revision: u64,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// The outcome of the rules.
    pub explanation: &'a Explanation,
    /// The steps of the policy.
    pub steps: &'a [Step],
    /// The policy's remarks on its decision.
    pub notes: &'a [Note],
    /// Problems that the controller itself found.
    pub problems: &'a [String],
}

/// Returns the explanation of a decision.
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
        config: source.config_revision,
        rule: decision.name().to_string(),
        seen: truncated(decision.observations().iter().map(Observation::to_string)),
        passed: truncated(passed),
        steps: truncated(actions.map(|text| format!("rule: {text}")).chain(steps)),
        problems: truncated(notes.chain(source.problems.iter().cloned())),
    }
}

fn truncated(lines: impl Iterator<Item = String>) -> Vec<String> {
    let mut lines: Vec<String> = lines.collect();
    lines.dedup();
    let more = lines.len().saturating_sub(MAX_LINES);
    lines.truncate(MAX_LINES);
    if more > 0 {
        lines.push(format!("and {more} more"));
    }
    lines
}

/// Returns the parts of an explanation that make it worth writing again when
/// they change. Ages are left out, as they always change.
pub fn comparable(explain: &Explain) -> impl PartialEq + use<> {
    let without_age =
        |lines: &[String]| -> Vec<String> { lines.iter().map(|line| strip_ages(line)).collect() };
    let (seen, passed) = (without_age(&explain.seen), without_age(&explain.passed));
    let rest = (explain.steps.clone(), explain.problems.clone());
    (explain.config, explain.rule.clone(), seen, passed, rest)
}

/// Removes the ages that [`Observation`] prints.
fn strip_ages(line: &str) -> String {
    let parts = line.split("; ").map(|part| match part.rfind(", ") {
        Some(at) if part.ends_with("ms old") => &part[..at],
        _ => part,
    });
    parts.collect::<Vec<_>>().join("; ")
}

/// Formats a note for operators.
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
