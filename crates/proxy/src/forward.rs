//! From a checked request to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderfork_coord::claim::{self, End};
use corianderfork_model::service::Class;
use corianderfork_routing::outcome::{self, Attempt, Doubt, Refusal, Why};
use corianderfork_routing::router::RunnerKey;
use corianderfork_wire::peer::Verdict;

use crate::cache::Cache;
use crate::claimant::{Claimant, Claimed};
use crate::exchange;
use crate::gate::Want;
use crate::request::Request;
use crate::response::{Answer, Outcome};
use crate::shared::Shared;

/// When to come back to a proxy that is cut off.
const RETRY_CUT_OFF: Duration = Duration::from_secs(2);
/// When to come back after every runner tried refused.
const RETRY: Duration = Duration::from_secs(1);
/// How long a grant may be used for the first try.
///
/// A thread can be paused between the grant and the first byte. The longer it
/// is, the older the view on which the runner is chosen; past this the attempt
/// is given up, which costs one write and no promise.
const GRANT_TERM: Duration = Duration::from_secs(3);
/// Tries of one request in all.
const MAX_TRIES: usize = 3;

/// Limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// From taking the request in until its answer, at most.
    pub request_timeout: Duration,
    /// How long a try may take while another is possible after it.
    pub try_timeout: Duration,
    /// How long a request may wait for a slot.
    pub queue_wait: Duration,
}

/// Forwards requests. Shared by all worker threads.
pub struct Forwarder {
    config: Config,
    shared: Arc<Shared>,
    claimant: Claimant,
    cache: Cache,
}

/// One request on its way.
struct Run<'a> {
    request: &'a Request,
    class: Class,
    deadline: Instant,
    exclude: Vec<RunnerKey>,
    tries: usize,
    /// What the caller gets if no further try can be made: set as soon as the
    /// request may have run or a whole answer came.
    fallback: Option<Answer>,
}

impl Forwarder {
    /// Forwards by what `shared` knows.
    pub fn new(config: Config, shared: Arc<Shared>, claimant: Claimant, cache: Cache) -> Self {
        Self { config, shared, claimant, cache }
    }

    /// Answers `request`, which was taken in at `began`.
    pub fn answer(&self, request: &Request, began: Instant) -> Answer {
        let directory = self.shared.directory();
        if directory.config_revision == 0 {
            return Answer::not_run(
                "this proxy has no configuration yet; ask another",
                RETRY_CUT_OFF,
            );
        }
        let Some(&class) = directory.services.get(&request.service) else {
            return Answer::no_service(request.service.as_str());
        };
        if !self.shared.in_touch() {
            let why = "this proxy is cut off and may act on old views; ask another";
            return Answer::not_run(why, RETRY_CUT_OFF);
        }
        self.shared.gate.offered(&request.service);
        let deadline = began + self.config.request_timeout;
        let exclude = Vec::new();
        let run = Run { request, class, deadline, exclude, tries: 0, fallback: None };
        match request.claim {
            None => self.run(run),
            Some(id) => self.once(run, id),
        }
    }

    /// Runs a non-idempotent request at most once.
    fn once(&self, run: Run<'_>, id: claim::Id) -> Answer {
        let path = run.request.path.clone();
        if let Some(answer) = self.cache.get(id, &path) {
            return answer;
        }
        // Before the claim: an attempt that is given up costs two writes.
        if let Err(refusal) = self.shared.gate.admits(&run.request.service) {
            return self.refused(&refusal);
        }
        let asked = Instant::now();
        let claimed = self.claimant.claim(id, run.deadline);
        let grant = match claimed {
            Claimed::Granted(grant) => grant,
            Claimed::Refused(verdict, retry_after) => {
                return self.not_granted(verdict, retry_after);
            }
        };
        self.shared.metrics.claims.with_label_values(&["granted"]).inc();
        // The owner forgets ids after a time, counted from their issue, and
        // keeps a margin that is longer than any grant is used.
        if asked.elapsed() > GRANT_TERM || !self.shared.in_touch() {
            self.claimant.settle(id, grant.attempt, End::Abandoned);
            return Answer::not_run("the claim came too late; ask again", RETRY);
        }
        let answer = self.run(run);
        match answer.outcome() {
            Outcome::Answered => {
                self.cache.put(id, &path, &answer);
                self.claimant.settle(id, grant.attempt, End::Done);
            }
            Outcome::NotRun => {
                self.claimant.settle(id, grant.attempt, End::Abandoned);
            }
            // The id stays taken: nobody may run it again.
            Outcome::Unknown => {}
        }
        answer
    }

    fn not_granted(&self, verdict: Verdict, retry_after: Duration) -> Answer {
        let name = verdict.as_str_name().trim_start_matches("VERDICT_").to_ascii_lowercase();
        self.shared.metrics.claims.with_label_values(&[&name]).inc();
        match verdict {
            Verdict::Done => Answer::duplicate(true),
            Verdict::Taken => Answer::duplicate(false),
            Verdict::Expired => Answer::expired(),
            Verdict::Invalid => Answer::invalid_key(),
            _ => {
                self.shared.metrics.refusals.with_label_values(&["claim"]).inc();
                let why = "no claim could be made on the id now; ask again";
                Answer::not_run(why, retry_after)
            }
        }
    }

    /// Tries runners until one answers or no further try is allowed.
    fn run(&self, mut run: Run<'_>) -> Answer {
        loop {
            let last = match self.attempt(&mut run) {
                Ok(last) => last,
                Err(answer) => return answer,
            };
            if !self.may_retry(&run, last) {
                return match run.fallback {
                    Some(answer) => answer,
                    None => self.give_up(last),
                };
            }
            self.shared.metrics.retries.with_label_values(&[run.request.service.as_str()]).inc();
        }
    }

    /// One try; gives the final answer, or the result that leaves it open.
    fn attempt(&self, run: &mut Run<'_>) -> Result<Attempt, Answer> {
        let wait =
            self.config.queue_wait.min(run.deadline.saturating_duration_since(Instant::now()));
        let until = self.shared.clock.now() + wait;
        let service = &run.request.service;
        let want = Want { service, class: run.class, exclude: &run.exclude, until };
        let slot = match self.shared.gate.acquire(&want) {
            Ok(slot) => slot,
            Err(refusal) => return Err(self.no_slot(run, &refusal)),
        };
        run.tries += 1;
        run.exclude.push(slot.ticket().runner());
        let deadline = self.try_deadline(run);
        let address = slot.ticket().address();
        let end = self.shared.client.exchange(address, run.request, deadline, slot.idle);
        let result = result_name(end.attempt);
        self.shared.metrics.tries.with_label_values(&[service.as_str(), result]).inc();
        ::log::debug!(
            request_id = run.request.id.as_str(), vm = slot.ticket().vm().as_str(), result;
            "tried"
        );
        self.shared.gate.release(slot, end.attempt);
        self.judge(run, end)
    }

    fn judge(&self, run: &mut Run<'_>, end: exchange::End) -> Result<Attempt, Answer> {
        match end.attempt {
            Attempt::Answered => Err(end.answer.unwrap_or_else(|| self.give_up(end.attempt))),
            Attempt::Failed => {
                // Whole and its own, so the caller may have it; a better one
                // may come of another try.
                run.fallback = end.answer;
                Ok(end.attempt)
            }
            Attempt::Unknown(doubt) => {
                let answer = end.answer.unwrap_or_else(|| Answer::unknown(doubt));
                run.fallback.get_or_insert(answer);
                Ok(end.attempt)
            }
            Attempt::Refused(_) | Attempt::NotSent => Ok(end.attempt),
        }
    }

    fn may_retry(&self, run: &Run<'_>, last: Attempt) -> bool {
        let left = run.deadline.saturating_duration_since(Instant::now());
        let idempotent = run.request.claim.is_none();
        run.tries < MAX_TRIES
            && !left.is_zero()
            && last.may_retry(idempotent)
            && self.shared.in_touch()
            && self.shared.gate.retry(&run.request.service)
    }

    /// A try that another may follow leaves time for it: the connection may
    /// have gone silent while a new one would work.
    fn try_deadline(&self, run: &Run<'_>) -> Instant {
        let another = run.request.claim.is_none() && run.tries < MAX_TRIES;
        let try_deadline = Instant::now() + self.config.try_timeout;
        if another { try_deadline.min(run.deadline) } else { run.deadline }
    }

    fn no_slot(&self, run: &mut Run<'_>, refusal: &Refusal) -> Answer {
        // An earlier try may have run: "not run" would be a lie now.
        run.fallback.take().unwrap_or_else(|| self.refused(refusal))
    }

    fn refused(&self, refusal: &Refusal) -> Answer {
        self.shared.metrics.refusals.with_label_values(&[why_name(refusal.why)]).inc();
        Answer::refused(refusal)
    }

    /// The answer after a last try that is known not to have run.
    fn give_up(&self, last: Attempt) -> Answer {
        match last.outcome(RETRY) {
            outcome::Outcome::NotRun(refusal) => self.refused(&refusal),
            outcome::Outcome::Unknown(doubt) => Answer::unknown(doubt),
            outcome::Outcome::Answered => Answer::unknown(Doubt::Truncated),
        }
    }
}

const fn result_name(attempt: Attempt) -> &'static str {
    match attempt {
        Attempt::Answered => "answered",
        Attempt::Failed => "failed",
        Attempt::Refused(_) => "refused",
        Attempt::NotSent => "not-sent",
        Attempt::Unknown(_) => "unknown",
    }
}

const fn why_name(why: Why) -> &'static str {
    match why {
        Why::NoRunner => "no-runner",
        Why::NoneServing => "none-serving",
        Why::NoneHealthy => "none-healthy",
        Why::Busy => "busy",
        Why::QueueFull => "queue-full",
        Why::Hopeless => "hopeless",
        Why::Displaced => "displaced",
        Why::RetryBudget => "retry-budget",
        _ => "other",
    }
}
