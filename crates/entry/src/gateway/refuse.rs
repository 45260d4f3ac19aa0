//! Refusal of jobs that can't be served.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_adapter::config::Route;
use corianderfork_jobs::pressure::{Candidate, Lack, Question, Refusal, Report};
use corianderfork_jobs::{Job, JobId};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Gateway, RETRY_AFTER, taken, unknown};
use crate::access::Identity;
use crate::clock;
use crate::lookup::{job_key, organisation};
use crate::node::Node;
use crate::owner::ms;
use crate::peer::{Message, Reply};
use crate::server::HttpResponse;

/// How long the checks before a refusal may take. A refusal is answered within 50 ms; where that
/// isn't certain, the job is accepted.
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);
/// How many refusals of a queue are logged one by one in a second. The rest is summed up.
const MAX_LINES: u32 = 3;
/// The time over which refusals are summed up.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

/// Whether an earlier attempt of a job may exist.
enum Earlier {
    /// None does, by the answer of the queue's owner.
    None(Answer),
    /// The job exists, and the caller may use it.
    Own,
    /// Another organisation's job has its ID.
    Foreign,
    /// One may be stored.
    Possible,
    /// It isn't known, or the owner doesn't report a lack of room.
    Unclear,
}

/// What the owner of a queue's pool answers before a refusal.
#[derive(Default)]
struct Answer {
    /// The report of the queue, unless the one that is known here will do.
    report: Option<Report>,
    /// Whether the job would be owed.
    is_owed: bool,
    /// Why the job would be refused. Owners of earlier versions leave it to the report.
    lack: Option<Lack>,
}

/// The refusals of a queue in the current second.
#[derive(Default)]
struct Sum {
    count: u32,
    longest_wait: Duration,
    oldest_report: Duration,
    retry_after: BTreeMap<u64, u32>,
}

/// The refusals that are summed up, by queue.
#[derive(Default)]
pub(super) struct RefusalLog {
    sums: RefCell<BTreeMap<String, Sum>>,
}

impl Gateway {
    /// Returns the answer to a job that is refused because it can't be served; `None` if it is to
    /// be stored.
    ///
    /// A refusal says that the job isn't stored and has not run. So before one, the pools' owners,
    /// the store and the entry VMs that remember uncertain writes are asked for an earlier attempt.
    pub(super) async fn refuse_unservable(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
        job: &Job,
    ) -> Option<(HttpResponse, &'static str)> {
        if !self.node.settings.contention.refuse {
            return None;
        }
        let candidate = Candidate::new(id.parse::<JobId>().ok()?, job)?;
        let asked = clock::now();
        let organisation = identity.organisation();
        let seems_owed = organisation
            .is_none_or(|name| self.node.pressure.borrow().seems_owed(asked, &route.pool, name));
        self.decide(route, &candidate, seems_owed)?;
        let names = (route.name.as_str(), route.pool.as_str());
        let question = self.node.pressure.borrow_mut().question(asked, names, &candidate);
        let check = timeout(CHECK_TIMEOUT, self.find_earlier(route, id, identity, question)).await;
        let answer = match check.unwrap_or(Earlier::Unclear) {
            Earlier::None(answer) => answer,
            Earlier::Own => return Some((HttpResponse::new(200, b"{}".to_vec()), "known")),
            Earlier::Foreign => return Some(taken()),
            Earlier::Possible => {
                let (response, why) = unknown();
                return Some((HttpResponse { retry_after: Some(RETRY_AFTER), ..response }, why));
            }
            Earlier::Unclear => {
                self.node.metrics.event("refusal not confirmed");
                self.node.pressure.borrow_mut().note(asked, &route.name, &route.pool, None);
                return None;
            }
        };
        {
            let mut view = self.node.pressure.borrow_mut();
            match answer.report {
                Some(report) => view.note(asked, &route.name, &route.pool, Some(report)),
                None => view.confirm(asked, &route.name, &route.pool),
            }
            if let Some(name) = organisation {
                view.note_owed(asked, &route.pool, name, answer.is_owed);
            }
        }
        let refusal = match (answer.lack, answer.report) {
            (Some(lack), _) => {
                let view = self.node.pressure.borrow();
                view.refuse(&route.name, &candidate, answer.is_owed, &lack)
            }
            // An owner of an earlier version doesn't decide itself.
            (None, Some(_)) => self.decide(route, &candidate, answer.is_owed)?,
            (None, None) => return None,
        };
        // Another attempt of the job may have begun here meanwhile.
        if self.node.attempts.borrow().may_be_stored(clock::now(), id) {
            return Some(unknown());
        }
        self.node.pressure.borrow_mut().note_refused(clock::now(), &candidate);
        self.refusals.note(&self.node, route, id, &refusal);
        self.node.metrics.jobs.count_refused(&route.name, organisation);
        let why = if refusal.is_owed {
            "the queue has no room for the job before it expires; nothing was done; come back"
        } else {
            "the queue has no room for jobs beyond the organisation's weight; nothing was done; come back"
        };
        let response = HttpResponse::new(503, caller::error(why));
        Some((HttpResponse { retry_after: Some(refusal.retry_after), ..response }, "no room"))
    }

    fn decide(&self, route: &Route, candidate: &Candidate, is_owed: bool) -> Option<Refusal> {
        let view = self.node.pressure.borrow();
        let names = (route.name.as_str(), route.pool.as_str());
        view.decide(clock::now(), names, &route.queue, candidate, is_owed)
    }

    async fn find_earlier(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
        question: Question,
    ) -> Earlier {
        let (owners, store, may_be_stored) = tokio::join!(
            self.ask_owners_surely(route, id, identity, question),
            self.read_acceptance(route, id, identity),
            self.may_be_stored(id),
        );
        match (owners, store, may_be_stored) {
            (known @ (Earlier::Own | Earlier::Foreign), _, _)
            | (_, known @ (Earlier::Own | Earlier::Foreign), _) => known,
            (_, _, true) => Earlier::Possible,
            (Earlier::Unclear, _, _) | (_, Earlier::Unclear, _) => Earlier::Unclear,
            (owners, _, false) => owners,
        }
    }

    /// Asks the owners of the queue's pools for a job. Each has to answer that it is unknown, and
    /// the owner of its present pool also with a report or a confirmation of the last one, which
    /// only an owner that is certain to own the pool sends.
    async fn ask_owners_surely(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
        question: Question,
    ) -> Earlier {
        let mut answer = Answer { is_owed: true, ..Answer::default() };
        let mut is_sure = false;
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let message = Message::State {
                pool: pool.clone(),
                id: id.to_owned(),
                identity: identity.clone(),
                wants_pressure: (pool == route.pool).then(|| route.name.clone()),
                question: (pool == route.pool).then(|| question.clone()),
                awaits_end: false,
            };
            match self.node.send_to_owner(&pool, message, CHECK_TIMEOUT).await {
                Ok(Reply::State { .. } | Reply::Ending | Reply::Known) => return Earlier::Own,
                Ok(Reply::Foreign) => return Earlier::Foreign,
                Ok(Reply::Unknown { pressure, exceeds_owed, lack, is_known }) => {
                    is_sure |= pressure.is_some() || lack.is_some() || is_known;
                    answer.report = answer.report.or(pressure);
                    answer.lack = answer.lack.or(lack);
                    answer.is_owed &= !exceeds_owed;
                }
                _ => return Earlier::Unclear,
            }
        }
        if is_sure { Earlier::None(answer) } else { Earlier::Unclear }
    }

    /// Reads a job's acceptance record: its owner may not have heard yet of a job that was just
    /// stored, if the entry VM that stored it has died. A job that has ended is known to its owner.
    async fn read_acceptance(&self, route: &Route, id: &str, identity: &Identity) -> Earlier {
        for pool in self.node.pools_of(&route.name, &route.pool) {
            match self.node.store.get(&job_key(&pool, id)).await {
                Ok(None) => {}
                Ok(Some(item)) if identity.may_use(organisation(&item.value).as_deref()) => {
                    return Earlier::Own;
                }
                Ok(Some(_)) => return Earlier::Foreign,
                Err(_) => return Earlier::Unclear,
            }
        }
        Earlier::None(Answer::default())
    }
}

impl RefusalLog {
    /// Counts a refusal, and logs it or adds it to the line of this second.
    fn note(self: &Rc<Self>, node: &Rc<Node>, route: &Route, id: &str, refusal: &Refusal) {
        node.metrics.event("job refused for lack of room");
        let mut sums = self.sums.borrow_mut();
        let sum = sums.entry(route.name.clone()).or_default();
        sum.count += 1;
        if sum.count <= MAX_LINES {
            node.trace.line("job refused for lack of room", || {
                json!({ "job": id, "queue": route.name, "pool": route.pool,
                    "size": format!("{:?}", refusal.size), "is_owed": refusal.is_owed,
                    "wait_ms": ms(refusal.wait), "bearable_ms": ms(refusal.bearable),
                    "report_age_ms": ms(refusal.age), "retry_after_s": refusal.retry_after })
            });
        }
        sum.longest_wait = sum.longest_wait.max(refusal.wait);
        sum.oldest_report = sum.oldest_report.max(refusal.age);
        *sum.retry_after.entry(refusal.retry_after).or_default() += 1;
        if sum.count == 1 {
            let (log, node, queue) = (self.clone(), node.clone(), route.name.clone());
            spawn_local(async move { log.sum_up(&node, &queue).await });
        }
    }

    /// Logs the refusals of a queue after a second, if not all were logged.
    async fn sum_up(&self, node: &Node, queue: &str) {
        let since: Time = clock::now();
        tokio::time::sleep(SUM_INTERVAL).await;
        let Some(sum) = self.sums.borrow_mut().remove(queue) else { return };
        if sum.count > MAX_LINES {
            node.trace.line("jobs refused for lack of room", || {
                json!({ "queue": queue, "jobs": sum.count, "within_ms": ms(clock::now() - since),
                    "longest_wait_ms": ms(sum.longest_wait),
                    "oldest_report_ms": ms(sum.oldest_report), "retry_after_s": sum.retry_after })
            });
        }
    }
}
