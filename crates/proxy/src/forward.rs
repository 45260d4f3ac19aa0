//! Forwards validated requests to runners and produces their responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderfork_coord::claim::{self, End};
use corianderfork_model::service::Class;
use corianderfork_routing::outcome::{self, Attempt, Doubt, Reason, Refusal};
use corianderfork_routing::router::RunnerKey;
use corianderfork_wire::peer::Verdict;

use crate::cache::Cache;
use crate::claimant::{Claimant, Decision};
use crate::exchange;
use crate::gate::SlotRequest;
use crate::request::Request;
use crate::response::{Outcome, Response};
use crate::shared::Shared;

/// `Retry-After` of a proxy that is cut off.
const RETRY_AFTER_CUT_OFF: Duration = Duration::from_secs(2);
/// `Retry-After` once every runner tried has refused.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The maximum age of a granted claim at the first try.
///
/// A thread can be paused between the grant and the first byte, and the runner is then
/// chosen by an outdated view. An attempt past this age is abandoned, which costs one
/// write and breaks no guarantee.
const MAX_GRANT_AGE: Duration = Duration::from_secs(3);
/// The maximum number of tries of one request.
const MAX_TRIES: usize = 3;

/// Limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The maximum time from receiving a request until its response.
    pub request_timeout: Duration,
    /// The timeout of a try after which another one is possible.
    pub try_timeout: Duration,
    /// The maximum time that a request waits for a slot.
    pub queue_wait: Duration,
}

/// Forwards requests. Shared by all worker threads.
pub struct Forwarder {
    config: Config,
    shared: Arc<Shared>,
    claimant: Claimant,
    cache: Cache,
}

/// The progress of one request.
struct Progress<'a> {
    request: &'a Request,
    class: Class,
    deadline: Instant,
    exclude: Vec<RunnerKey>,
    tries: usize,
    /// The response if no further try is possible: set as soon as the request may have
    /// run or a complete response arrived.
    fallback: Option<Response>,
}

impl Forwarder {
    /// Creates a forwarder that uses the state in `shared`.
    pub fn new(config: Config, shared: Arc<Shared>, claimant: Claimant, cache: Cache) -> Self {
        Self { config, shared, claimant, cache }
    }

    /// Returns the response to `request`, which was received at `received`.
    pub fn forward(&self, request: &Request, received: Instant) -> Response {
        let directory = self.shared.directory();
        if directory.config_revision == 0 {
            return Response::not_run(
                "this proxy has no configuration yet; ask another",
                RETRY_AFTER_CUT_OFF,
            );
        }
        let Some(&class) = directory.services.get(&request.service) else {
            return Response::unknown_service(request.service.as_str());
        };
        if !self.shared.in_touch() {
            let why = "this proxy is cut off and may act on old views; ask another";
            return Response::not_run(why, RETRY_AFTER_CUT_OFF);
        }
        self.shared.gate.record_request(&request.service);
        let deadline = received + self.config.request_timeout;
        let exclude = Vec::new();
        let progress = Progress { request, class, deadline, exclude, tries: 0, fallback: None };
        match request.claim {
            None => self.try_runners(progress),
            Some(id) => self.run_at_most_once(progress, id),
        }
    }

    /// Runs a non-idempotent request at most once.
    fn run_at_most_once(&self, progress: Progress<'_>, id: claim::Id) -> Response {
        let path = progress.request.path.clone();
        if let Some(response) = self.cache.get(id, &path) {
            return response;
        }
        // Checked before the claim, because an abandoned attempt costs two writes.
        if let Err(refusal) = self.shared.gate.check_admission(&progress.request.service) {
            return self.refused_response(&refusal);
        }
        let claim_started = Instant::now();
        let decision = self.claimant.claim(id, progress.deadline);
        let grant = match decision {
            Decision::Granted(grant) => grant,
            Decision::Refused(verdict, retry_after) => {
                return self.not_granted_response(verdict, retry_after);
            }
        };
        self.shared.metrics.claims.with_label_values(&["granted"]).inc();
        // The owner forgets ids a fixed time after their issue, with a margin that is
        // longer than the maximum age of a grant.
        if claim_started.elapsed() > MAX_GRANT_AGE || !self.shared.in_touch() {
            self.claimant.settle(id, grant.attempt, End::Abandoned);
            return Response::not_run("the claim came too late; ask again", RETRY_AFTER);
        }
        let response = self.try_runners(progress);
        match response.outcome() {
            Outcome::Answered => {
                self.cache.put(id, &path, &response);
                self.claimant.settle(id, grant.attempt, End::Done);
            }
            Outcome::NotRun => {
                self.claimant.settle(id, grant.attempt, End::Abandoned);
            }
            // The id stays claimed, so that no other attempt runs it.
            Outcome::Unknown => {}
        }
        response
    }

    fn not_granted_response(&self, verdict: Verdict, retry_after: Duration) -> Response {
        let name = verdict.as_str_name().trim_start_matches("VERDICT_").to_ascii_lowercase();
        self.shared.metrics.claims.with_label_values(&[&name]).inc();
        match verdict {
            Verdict::Done => Response::duplicate(true),
            Verdict::Taken => Response::duplicate(false),
            Verdict::Expired => Response::expired(),
            Verdict::Invalid => Response::invalid_key(),
            _ => {
                self.shared.metrics.refusals.with_label_values(&["claim"]).inc();
                let why = "no claim could be made on the id now; ask again";
                Response::not_run(why, retry_after)
            }
        }
    }

    /// Tries runners until one answers or no further try is allowed.
    fn try_runners(&self, mut progress: Progress<'_>) -> Response {
        loop {
            let last = match self.try_runner(&mut progress) {
                Ok(last) => last,
                Err(response) => return response,
            };
            if !self.may_retry(&progress, last) {
                return match progress.fallback {
                    Some(response) => response,
                    None => self.final_response(last),
                };
            }
            self.shared
                .metrics
                .retries
                .with_label_values(&[progress.request.service.as_str()])
                .inc();
        }
    }

    /// Makes one try. Returns the final response as an error, or the result after which
    /// another try may follow.
    fn try_runner(&self, progress: &mut Progress<'_>) -> Result<Attempt, Response> {
        let wait =
            self.config.queue_wait.min(progress.deadline.saturating_duration_since(Instant::now()));
        let until = self.shared.clock.now() + wait;
        let service = &progress.request.service;
        let slot_request =
            SlotRequest { service, class: progress.class, exclude: &progress.exclude, until };
        let slot = match self.shared.gate.acquire(&slot_request) {
            Ok(slot) => slot,
            Err(refusal) => return Err(self.no_slot_response(progress, &refusal)),
        };
        progress.tries += 1;
        progress.exclude.push(slot.ticket().runner());
        let deadline = self.try_deadline(progress);
        let address = slot.ticket().address();
        let outcome = self.shared.client.exchange(address, progress.request, deadline, slot.idle);
        let result = result_name(outcome.attempt);
        self.shared.metrics.tries.with_label_values(&[service.as_str(), result]).inc();
        ::log::debug!(
            request_id = progress.request.id.as_str(), vm = slot.ticket().vm().as_str(), result;
            "tried"
        );
        self.shared.gate.release(slot, outcome.attempt);
        self.handle_outcome(progress, outcome)
    }

    fn handle_outcome(
        &self,
        progress: &mut Progress<'_>,
        outcome: exchange::Outcome,
    ) -> Result<Attempt, Response> {
        match outcome.attempt {
            Attempt::Answered => {
                Err(outcome.response.unwrap_or_else(|| self.final_response(outcome.attempt)))
            }
            Attempt::Failed => {
                // The response is complete and belongs to this request, so the caller may
                // get it if no later try returns a better one.
                progress.fallback = outcome.response;
                Ok(outcome.attempt)
            }
            Attempt::Unknown(doubt) => {
                let response = outcome.response.unwrap_or_else(|| Response::unknown(doubt));
                progress.fallback.get_or_insert(response);
                Ok(outcome.attempt)
            }
            Attempt::Rejected(_) | Attempt::NotSent => Ok(outcome.attempt),
        }
    }

    fn may_retry(&self, progress: &Progress<'_>, last: Attempt) -> bool {
        let remaining = progress.deadline.saturating_duration_since(Instant::now());
        let idempotent = progress.request.claim.is_none();
        progress.tries < MAX_TRIES
            && !remaining.is_zero()
            && last.may_retry(idempotent)
            && self.shared.in_touch()
            && self.shared.gate.take_retry(&progress.request.service)
    }

    /// A try that another may follow uses only a part of the time: its connection may
    /// have gone silent while a new one would work.
    fn try_deadline(&self, progress: &Progress<'_>) -> Instant {
        let may_try_again = progress.request.claim.is_none() && progress.tries < MAX_TRIES;
        let try_deadline = Instant::now() + self.config.try_timeout;
        if may_try_again { try_deadline.min(progress.deadline) } else { progress.deadline }
    }

    fn no_slot_response(&self, progress: &mut Progress<'_>, refusal: &Refusal) -> Response {
        // An earlier try may have run, so "not run" would be wrong.
        progress.fallback.take().unwrap_or_else(|| self.refused_response(refusal))
    }

    fn refused_response(&self, refusal: &Refusal) -> Response {
        self.shared.metrics.refusals.with_label_values(&[refusal_reason(refusal.reason)]).inc();
        Response::refused(refusal)
    }

    /// Returns the response after a last try that is known not to have run.
    fn final_response(&self, last: Attempt) -> Response {
        match last.outcome(RETRY_AFTER) {
            outcome::Outcome::NotRun(refusal) => self.refused_response(&refusal),
            outcome::Outcome::Unknown(doubt) => Response::unknown(doubt),
            outcome::Outcome::Answered => Response::unknown(Doubt::Truncated),
        }
    }
}

const fn result_name(attempt: Attempt) -> &'static str {
    match attempt {
        Attempt::Answered => "answered",
        Attempt::Failed => "failed",
        Attempt::Rejected(_) => "refused",
        Attempt::NotSent => "not-sent",
        Attempt::Unknown(_) => "unknown",
    }
}

const fn refusal_reason(why: Reason) -> &'static str {
    match why {
        Reason::NoRunner => "no-runner",
        Reason::NoneServing => "none-serving",
        Reason::NoneHealthy => "none-healthy",
        Reason::Busy => "busy",
        Reason::QueueFull => "queue-full",
        Reason::DeadlineTooSoon => "hopeless",
        Reason::Displaced => "displaced",
        Reason::RetryBudget => "retry-budget",
        _ => "other",
    }
}
