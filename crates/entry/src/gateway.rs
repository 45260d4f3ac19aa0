//! The callers' API at any entry VM: submission, state and cancellation of jobs.

mod accept;
mod authenticate;
mod full;
mod lookup_log;
mod refuse;
mod state;
mod uncertain;
mod unreceived;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_adapter::config::{Config, Route};
use corianderfork_jobs::organisation::Organisation;
use corianderfork_jobs::{Job, JobId, Record, Step};
use corianderfork_model::Time;
use serde_json::json;
use tokio::sync::{Mutex, Semaphore};
use tokio::task::spawn_local;

use crate::access::Identity;
use crate::admission::Submission;
use crate::clock;
use crate::http::CallError;
use crate::lookup::is_storable;
use crate::node::Node;
use crate::owner::ms;
use crate::peer::{self, Message, Reply};
use crate::placement::{self, QueueRoute};
use crate::receive::Body;
use crate::server::{HttpRequest, HttpResponse};
use accept::{InFlight, PendingJob, StoreResult, store_timeout};

/// The `Retry-After` of refused requests, in seconds.
const RETRY_AFTER: u64 = 1;
/// The error for a job that isn't stored yet but may be in a moment.
const UNANSWERED: &str = "a write of the job has no answer yet; ask again";
/// How long an owner may take to cancel a job.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_600);

/// What owners know of a job.
enum Ownership {
    /// It exists, and the caller may use it.
    Own,
    /// It is another organisation's.
    Foreign,
    /// No owner knows it.
    Unknown,
}

/// Handles callers' requests.
pub struct Gateway {
    node: Rc<Node>,
    pending_jobs: RefCell<VecDeque<PendingJob>>,
    writes_in_flight: Cell<usize>,
    submission_count: Cell<u64>,
    refusals: Rc<refuse::RefusalLog>,
    /// Permits for checks of submissions whose body isn't received.
    checks: Semaphore,
    /// When the store was last asked for a newer configuration; one request asks for all.
    config_asked_at: Mutex<Time>,
}

impl Gateway {
    /// Returns the gateway of a daemon.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            pending_jobs: RefCell::default(),
            writes_in_flight: Cell::new(0),
            submission_count: Cell::new(0),
            refusals: Rc::default(),
            checks: Semaphore::new(unreceived::MAX_CHECKS),
            config_asked_at: Mutex::new(Time::ZERO),
        })
    }

    /// Handles a request.
    pub async fn handle(self: &Rc<Self>, request: HttpRequest) -> HttpResponse {
        let started = clock::now();
        let config = match self.current_config().await {
            Ok(config) => config,
            Err(response) => return self.log(&request, started, response, "no configuration"),
        };
        let Some(route) = config.route(&request.host, &request.path) else {
            let response = HttpResponse::new(404, caller::error("no such queue"));
            return self.log(&request, started, response, "no route");
        };
        let identity = match self.authenticate(&config, route.is_public, &request, started).await {
            Ok(identity) => identity,
            Err((response, why)) => return self.log(&request, started, response, why),
        };
        let id = request.path[route.prefix.len()..].to_owned();
        let (response, why) = match (request.method.as_str(), id.as_str()) {
            ("GET", "") => self.queued(route).await,
            ("POST", id) => self.submit(&config, route, id, identity, &request).await,
            ("GET", id) => self.state(route, id, &identity).await,
            ("DELETE", id) => self.cancel(route, id, &identity).await,
            _ => (HttpResponse::new(405, caller::error("send POST, GET or DELETE")), "method"),
        };
        self.log(&request, started, response, why)
    }

    fn log(
        &self,
        request: &HttpRequest,
        started: Time,
        response: HttpResponse,
        why: &'static str,
    ) -> HttpResponse {
        let took = clock::now() - started;
        self.node.metrics.request(&request.method, response.status, took);
        // Successful reads are frequent and are only counted in the metrics.
        if request.method != "GET" || response.status >= 400 {
            self.node.trace.line(
                "request answered",
                || json!({ "method": request.method, "path": request.path, "status": response.status, "why": why,
                    "took_ms": ms(took), "deadline_ms": request.deadline_ms,
                    "config": self.node.config.borrow().as_ref().map(|config| config.version) }),
            );
        }
        response
    }

    async fn submit(
        self: &Rc<Self>,
        config: &Config,
        route: &Route,
        id: &str,
        identity: Identity,
        request: &HttpRequest,
    ) -> (HttpResponse, &'static str) {
        if let Err(error) = id.parse::<JobId>() {
            return (HttpResponse::new(400, caller::error(&error.to_string())), "bad id");
        }
        let body = match &request.body {
            Body::Whole(body) => body,
            Body::Refused => return self.refuse_unreceived(route, id, &identity).await,
            Body::Invalid => {
                let why = "the body is too long, was cut off or made no progress";
                return (HttpResponse::new(413, caller::error(why)), "body");
            }
        };
        let job = match caller::parse_job(body) {
            Ok(job) => job,
            Err(why) => return (HttpResponse::new(400, caller::error(&why)), "bad job"),
        };
        if !is_storable(&route.name, &route.pool) {
            let why =
                "the queue's or its service's name is too long for a key of the store; shorten it";
            return (HttpResponse::new(503, caller::error(why)), "name too long");
        }
        let organisation = identity.organisation().map(str::to_owned);
        let limited = config.organisations.as_ref().zip(identity.organisation());
        if let Some(organisation) = limited.and_then(|(directory, name)| directory.get(name))
            && let Some(why) = exceeds_limit(organisation, &job)
        {
            return self.submit_beyond_limit(route, id, &identity, &why).await;
        }
        if self.node.store.is_down() {
            return self.submit_while_down(route, id, &identity).await;
        }
        if let Some(answer) = self.refuse_beyond_room(route, id, &identity).await {
            return answer;
        }
        if let Some(answer) = self.refuse_unservable(route, id, &identity, &job).await {
            return answer;
        }
        let record = Record {
            queue: route.name.clone(),
            accepted_ms: clock::wall_ms(),
            job,
            organisation,
            attempts: Some(route.queue.attempts),
        };
        let submission = Submission {
            queue: route.name.clone(),
            queue_route: QueueRoute { version: config.version, pool: route.pool.clone() },
            id: id.to_owned(),
            identity: identity.clone(),
            value: serde_json::to_vec(&record).unwrap_or_default(),
        };
        match self.store(submission, store_timeout(request)).await {
            StoreResult::Stored(pool, revision) => {
                self.notify_owner(&pool, id, record, revision);
                (HttpResponse::new(200, b"{}".to_vec()), "stored")
            }
            StoreResult::Known => (HttpResponse::new(200, b"{}".to_vec()), "known"),
            StoreResult::Foreign => taken(),
            // The store may have accepted the job before it started rejecting calls.
            StoreResult::NotStored => match self.ask_owners(route, id, &identity).await {
                Ownership::Own => (HttpResponse::new(200, b"{}".to_vec()), "known"),
                Ownership::Foreign => taken(),
                Ownership::Unknown if !self.may_be_stored(id).await => {
                    (refuse("the store took no job; come back"), "not stored")
                }
                // Another attempt of the job is uncertain, and it records that itself.
                Ownership::Unknown => unknown(),
            },
            StoreResult::Unknown => {
                self.note_unsure(id).await;
                unknown()
            }
        }
    }

    /// Handles a submission of a job that exceeds the limit. It may have been accepted before the
    /// limit was lowered, and a refusal would say that it never runs.
    async fn submit_beyond_limit(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
        why: &str,
    ) -> (HttpResponse, &'static str) {
        match self.state(route, id, identity).await.0.status {
            200 => (HttpResponse::new(200, b"{}".to_vec()), "known"),
            410 => (HttpResponse::new(422, caller::error(why)), "beyond the limit"),
            _ => unknown(),
        }
    }

    /// Handles a submission while the store is down: the job can't be accepted, but it may
    /// have been before.
    async fn submit_while_down(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
    ) -> (HttpResponse, &'static str) {
        let (ownership, may_be_stored) =
            tokio::join!(self.ask_owners(route, id, identity), self.may_be_stored(id));
        match (ownership, may_be_stored) {
            (Ownership::Own, _) => (HttpResponse::new(200, b"{}".to_vec()), "known"),
            (Ownership::Foreign, _) => taken(),
            (Ownership::Unknown, true) => {
                let (response, why) = unknown();
                (HttpResponse { retry_after: Some(RETRY_AFTER), ..response }, why)
            }
            (Ownership::Unknown, false) => (self.refuse_while_down(id), "store away"),
        }
    }

    /// Asks the owners of the queue's pools for a job.
    async fn ask_owners(&self, route: &Route, id: &str, identity: &Identity) -> Ownership {
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let (id, identity) = (id.to_owned(), identity.clone());
            let message = Message::State {
                pool: pool.clone(),
                id,
                identity,
                wants_pressure: None,
                question: None,
                awaits_end: false,
            };
            match self.node.send_to_owner(&pool, message, peer::SHORT_TIMEOUT).await {
                Ok(Reply::State { .. } | Reply::Ending | Reply::Known) => return Ownership::Own,
                Ok(Reply::Foreign) => return Ownership::Foreign,
                _ => {}
            }
        }
        Ownership::Unknown
    }

    /// Refuses a submission that needs the store while it is down: nothing was written.
    fn refuse_while_down(&self, id: &str) -> HttpResponse {
        let (silent, failures) = self.node.store.evidence();
        self.node.trace.line(
            "submission refused while the store is down",
            || json!({ "job": id, "silent_ms": ms(silent), "failures": failures }),
        );
        refuse("the store is away; nothing was done; come back")
    }

    /// Notifies the owner of an accepted job, sooner than its watch would.
    ///
    /// Until the owner has replied, the job counts as one that may be stored: while the store is
    /// down, a retry is answered by what owners know, and this one would be refused although it runs.
    fn notify_owner(self: &Rc<Self>, pool: &str, id: &str, record: Record, revision: u64) {
        let (node, pool) = (self.node.clone(), pool.to_owned());
        let (asked, queue) = (clock::now(), record.queue.clone());
        let organisation = record.organisation.clone();
        let wants_pressure =
            node.settings.contention.refuse && node.pressure.borrow_mut().should_ask(asked, &queue);
        let known_pressure = wants_pressure
            .then(|| node.pressure.borrow().known_outline(asked, (&queue, &pool)))
            .flatten();
        let message = Message::Accepted {
            pool: pool.clone(),
            id: id.to_owned(),
            record: Box::new(record),
            revision,
            wants_pressure,
            known_pressure,
            reads_full: true,
        };
        let (gateway, id) = (self.clone(), id.to_owned());
        let in_flight = InFlight::new(&node.attempts, &id);
        spawn_local(async move {
            // If this fails, the owner learns of the job from its watch.
            match node.send_to_owner(&pool, message, peer::RESPONSE_TIMEOUT).await {
                Ok(Reply::Accepted { pressure, exceeds_owed, is_known }) => {
                    let mut view = node.pressure.borrow_mut();
                    if is_known {
                        view.confirm(asked, &queue, &pool);
                    } else {
                        view.note(asked, &queue, &pool, pressure);
                    }
                    if let Some(organisation) = organisation {
                        view.note_owed(asked, &pool, &organisation, !exceeds_owed);
                    }
                }
                Ok(Reply::Full) => gateway.note_full(&pool),
                Ok(Reply::Done) => {}
                _ => gateway.note_unsure(&id).await,
            }
            drop(in_flight);
        });
    }

    async fn cancel(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
    ) -> (HttpResponse, &'static str) {
        let mut search = self.node.search(&route.name, &route.pool);
        loop {
            match search.next() {
                placement::Step::Pool(pool) => {
                    let (id, identity) = (id.to_owned(), identity.clone());
                    let message = Message::Cancel { pool: pool.clone(), id, identity };
                    match self.node.send_to_owner(&pool, message, CANCEL_TIMEOUT).await {
                        Ok(Reply::Done) => {
                            return (HttpResponse::new(200, b"{}".to_vec()), "cancelled");
                        }
                        Ok(Reply::Foreign) => return unknown_job(),
                        Ok(Reply::Unknown { .. }) => search.mark_absent(),
                        Ok(_) | Err(CallError::Unsent | CallError::Lost) => search.mark_unclear(),
                    }
                }
                placement::Step::Record => {
                    self.node.read_queue_record(&route.name, &mut search).await
                }
                placement::Step::Unclear => {
                    let why = "the cancellation could not be written; ask again";
                    return (refuse(why), "not written");
                }
                // A pending write of the job may still be carried out, and the cancelled job
                // would run.
                placement::Step::Absent if self.may_be_stored(id).await => {
                    return (refuse(UNANSWERED), "unanswered");
                }
                placement::Step::Absent => return unknown_job(),
            }
        }
    }

    async fn queued(&self, route: &Route) -> (HttpResponse, &'static str) {
        if let Some(jobs) = self.count_queued(route).await {
            self.node.queue_counts.borrow_mut().note(clock::now(), &route.name, jobs);
            return (HttpResponse::new(200, caller::waiting(jobs)), "owner");
        }
        match self.node.queue_counts.borrow().recent(clock::now(), &route.name) {
            Some(jobs) => (HttpResponse::new(200, caller::waiting(jobs)), "last heard"),
            None => (refuse("the queue's owner doesn't answer; come back"), "no answer"),
        }
    }

    /// Counts the queued jobs of a queue in all of its pools; `None` if any owner fails.
    async fn count_queued(&self, route: &Route) -> Option<usize> {
        let mut total = 0;
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let message = Message::Queued { pool: pool.clone(), queue: route.name.clone() };
            match self.node.send_to_owner(&pool, message, peer::RESPONSE_TIMEOUT).await {
                Ok(Reply::Queued { jobs }) => total += jobs,
                _ => return None,
            }
        }
        Some(total)
    }
}

/// The response for a job that was accepted before.
fn known() -> (HttpResponse, &'static str) {
    (HttpResponse::new(200, b"{}".to_vec()), "known")
}

/// The response for a job that may still be stored: 503 would promise that it never runs.
fn unknown() -> (HttpResponse, &'static str) {
    let why = "it is not known whether the job was stored; send it again";
    (HttpResponse::new(504, caller::error(why)), "unknown")
}

/// The response for a job that doesn't exist, or is another organisation's: a caller learns of
/// neither.
fn unknown_job() -> (HttpResponse, &'static str) {
    (HttpResponse::new(410, caller::error("no such job")), "unknown job")
}

/// The response for an ID that another organisation's job has. The submitted job never runs.
fn taken() -> (HttpResponse, &'static str) {
    let why = "another job has this ID; send it with a new one";
    (HttpResponse::new(409, caller::error(why)), "id taken")
}

fn refuse(why: &str) -> HttpResponse {
    let response = HttpResponse::new(503, caller::error(why));
    HttpResponse { retry_after: Some(RETRY_AFTER), ..response }
}

/// Returns why a job can never run within the limit of its organisation.
fn exceeds_limit(organisation: &Organisation, job: &Job) -> Option<String> {
    let needed = |step: &Step| if step.gang { step.needs.times(step.count) } else { step.needs };
    let step = job.steps.iter().position(|step| organisation.is_oversized(&needed(step)))?;
    let limit = &organisation.limit;
    Some(format!(
        "step {step} needs more at once than {:?} may run ({} thousandths of a core, {} MB, {} accelerators; 0 is no limit); ask the operators for more, or send smaller tasks",
        organisation.name, limit.cpu, limit.memory_mb, limit.gpu
    ))
}
