//! Histories of callers' results and of backend servers' runs, and the check
//! that compares them.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

/// One run at a backend server, recorded before its work began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The VM that ran it.
    pub vm: String,
    /// The service.
    pub service: String,
    /// When it began, in Unix milliseconds.
    pub at_ms: u64,
    /// The number of this run among those of the key, or of the id without a key,
    /// counted from 1.
    pub count: u32,
}

impl Run {
    /// Creates the record of a run.
    pub fn new(
        id: &str,
        key: Option<&str>,
        vm: &str,
        service: &str,
        at_ms: u64,
        count: u32,
    ) -> Self {
        let (id, key) = (id.to_owned(), key.map(str::to_owned));
        Self { id, key, vm: vm.to_owned(), service: service.to_owned(), at_ms, count }
    }
}

/// Counts, by kind, the refusals that promise that the request was not run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Refusals {
    pub busy: u64,
    pub cold: u64,
    pub leaving: u64,
    pub not_here: u64,
}

/// The backend servers' history, as `GET /_runs` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Runs {
    /// Each run, in order.
    pub runs: Vec<Run>,
    /// Requests that were in flight when their runner was cut off.
    pub cut: u64,
    /// The largest number of requests in flight at one runner.
    pub max_in_flight: u64,
    /// Refusals by kind.
    pub refused: Refusals,
}

/// The outcome that a caller saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and got a response.
    Answered,
    /// The request is promised not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection was refused, so nothing was sent.
    Unreachable,
}

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It belongs to another request.
    Crossed,
    /// Part of it is missing.
    Truncated,
}

/// One attempt of a call at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The request id. Each attempt has its own, so that the backend servers'
    /// history shows which attempts ran.
    pub id: String,
    /// Where it was sent.
    pub target: String,
    /// When it was sent, in Unix milliseconds.
    pub at_ms: u64,
    /// How long it took, in microseconds.
    pub took_us: u64,
    /// Its outcome.
    pub outcome: Outcome,
    /// The response's status, 0 without a response.
    pub status: u16,
    /// What is wrong with the response.
    pub fault: Option<Fault>,
}

/// One call with all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The id of its first attempt.
    pub id: String,
    /// Its idempotency key, the same at each attempt.
    pub key: Option<String>,
    /// The service.
    pub service: String,
    /// When it began, in Unix milliseconds.
    pub at_ms: u64,
    /// The outcome over all attempts.
    pub outcome: Outcome,
    /// The last attempt's status.
    pub status: u16,
    /// The attempts in order.
    pub attempts: Vec<Attempt>,
}

/// The result of [`check`], as idempotency keys, or ids of calls without a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Keys that ran more than once.
    pub doubled: Vec<String>,
    /// Calls that got a response but never ran.
    pub lost: Vec<String>,
    /// Calls that got another request's response.
    pub crossed: Vec<String>,
    /// Calls that got a truncated response.
    pub truncated: Vec<String>,
    /// Ids of attempts that ran although the outcome that the caller saw rules
    /// that out.
    pub ran_though_not_run: Vec<String>,
    /// Requests cut off while in flight at a backend server.
    pub cut: u64,
}

impl Findings {
    /// Whether every promise to callers was kept. Ignores requests cut off, since
    /// an unplanned failure may cut off some.
    pub fn is_clean(&self) -> bool {
        let lists = [&self.doubled, &self.lost, &self.crossed, &self.truncated];
        lists.iter().all(|list| list.is_empty()) && self.ran_though_not_run.is_empty()
    }
}

/// Compares the backend servers' history with the callers' calls.
pub fn check(runs: &Runs, calls: &[Call]) -> Findings {
    let mut findings = Findings { cut: runs.cut, ..Findings::default() };
    let mut runs_by_key: HashMap<&str, u32> = HashMap::new();
    for key in runs.runs.iter().filter_map(|run| run.key.as_deref()) {
        let count = runs_by_key.entry(key).or_default();
        *count += 1;
        if *count == 2 {
            findings.doubled.push(key.to_owned());
        }
    }
    let ids: HashSet<&str> = runs.runs.iter().map(|run| run.id.as_str()).collect();
    for call in calls {
        let ran = match &call.key {
            Some(key) => runs_by_key.contains_key(key.as_str()),
            None => call.attempts.iter().any(|attempt| ids.contains(attempt.id.as_str())),
        };
        findings.add_call(call, ran, &ids);
    }
    findings
}

impl Findings {
    fn add_call(&mut self, call: &Call, ran: bool, ids: &HashSet<&str>) {
        let name = || call.key.as_ref().unwrap_or(&call.id).clone();
        let told_not_run =
            |a: &Attempt| matches!(a.outcome, Outcome::NotRun | Outcome::Unreachable);
        let answered = call.attempts.iter().any(|a| a.outcome == Outcome::Answered);
        if answered && !ran {
            self.lost.push(name());
        }
        let not_run = call.attempts.iter().filter(|attempt| told_not_run(attempt));
        let broken = not_run.filter(|attempt| ids.contains(attempt.id.as_str()));
        self.ran_though_not_run.extend(broken.map(|attempt| attempt.id.clone()));
        for fault in call.attempts.iter().filter_map(|a| a.fault) {
            match fault {
                Fault::Crossed => self.crossed.push(name()),
                Fault::Truncated => self.truncated.push(name()),
            }
        }
    }
}
