//! Requests for advice: which workers may run a step.
//!
//! The advice service handles one request at a time from each VM, so an owner sends its requests
//! through all entry VMs. A request takes 0.3 s and more; one VM alone gets three answers a second,
//! seven get twenty.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::advice as wire;
use corianderfork_jobs::pool::{Advice, Query};
use corianderfork_jobs::task::Name;
use serde_json::json;
use tokio::task::spawn_local;

use super::{Owner, ms};
use crate::clock;
use crate::node::Node;
use crate::peer::{self, Message, Reply};

/// How long an entry VM is avoided after a request through it failed.
const AVOID_TIME: Duration = Duration::from_millis(1_000);
/// The time allowed for a request beyond the service's own: transfer, and waiting behind
/// other owners' requests from the same VM.
const SLACK: Duration = Duration::from_millis(500);
/// How many requests of other owners may be queued before this one at an entry VM.
const MAX_QUEUED_BEFORE: u32 = 3;

/// The entry VM through which a request is sent; `None` for this one.
pub(super) type Adviser = Option<SocketAddr>;

impl Owner {
    /// Sends a request through each entry VM that has none of this owner's in flight.
    pub(super) fn ask_advice(self: &Rc<Self>) {
        if self.node.settings.advice.is_none() || !self.pool.borrow().uses_advice() {
            return;
        }
        let free = self.free_advisers();
        let queries = self.pool.borrow_mut().advice_queries(clock::now(), free.len());
        for (query, adviser) in queries.into_iter().zip(free) {
            self.busy_advisers.borrow_mut().insert(adviser);
            spawn_local(self.clone().advise(query, adviser));
        }
    }

    fn free_advisers(&self) -> Vec<Adviser> {
        let now = clock::now();
        let me = self.node.settings.name.as_str();
        let table = self.node.table.borrow();
        let others = table.members.iter().filter(|(name, _)| *name != me);
        let all = std::iter::once(None).chain(others.map(|(_, member)| Some(member.peers)));
        let (busy, mut failed_advisers) =
            (self.busy_advisers.borrow(), self.failed_advisers.borrow_mut());
        failed_advisers.retain(|_, until| now < *until);
        all.filter(|adviser| !busy.contains(adviser) && !failed_advisers.contains_key(adviser))
            .collect()
    }

    async fn advise(self: Rc<Self>, query: Query, adviser: Adviser) {
        let started = clock::now();
        let workers: Vec<String> = query.workers.iter().map(|(_, id)| id.clone()).collect();
        let within = self.advice_timeout(workers.len());
        let advice = match adviser {
            None => self.node.advise(query.task, &workers, within).await,
            Some(peer) => self.advise_through(peer, query.task, workers, within).await,
        };
        self.count("advice", started, advice != Advice::Lost);
        self.busy_advisers.borrow_mut().remove(&adviser);
        if advice == Advice::Lost {
            self.failed_advisers.borrow_mut().insert(adviser, clock::now() + AVOID_TIME);
            self.node.trace.line("advice request failed", || {
                json!({ "job": query.task.job.to_string(), "step": query.task.step,
                    "through": adviser, "took_ms": ms(clock::now() - started) })
            });
        }
        self.pool.borrow_mut().handle_advice(clock::now(), &query, &advice);
        self.wake.notify_one();
    }

    fn advice_timeout(&self, workers: usize) -> Duration {
        let terms = self.node.config.borrow().as_ref().and_then(|config| config.max_advice_cost());
        let terms = terms.unwrap_or_default();
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let each = terms.per_query + terms.per_worker.saturating_mul(workers);
        each.saturating_mul(1 + MAX_QUEUED_BEFORE) + SLACK
    }

    async fn advise_through(
        &self,
        peer: SocketAddr,
        task: Name,
        workers: Vec<String>,
        within: Duration,
    ) -> Advice {
        let message = Message::Advise {
            job: task.job.to_string(),
            occurrence: task.occurrence,
            step: task.step,
            workers,
            within_ms: ms(within),
        };
        match peer::send(&self.node.peers, peer, &message, within + SLACK).await {
            Ok(Reply::Advised { good: Some(good), valid_ms }) => {
                Advice::Received { allowed: good, ttl: Duration::from_millis(valid_ms) }
            }
            _ => Advice::Lost,
        }
    }
}

impl Node {
    /// Asks the advice service which workers may run the step of `task`.
    pub async fn advise(&self, task: Name, workers: &[String], within: Duration) -> Advice {
        let Some(address) = self.settings.advice else { return Advice::Lost };
        let call = wire::query(task, workers);
        match self.client.call("advice", address, &call, within).await {
            Ok((status, body)) => wire::parse(status, &body).unwrap_or(Advice::Lost),
            Err(_) => Advice::Lost,
        }
    }

    /// Asks the advice service on behalf of a peer.
    pub async fn advise_peer(
        &self,
        (job, occurrence, step): (&str, u32, u32),
        workers: &[String],
        within: Duration,
    ) -> Reply {
        let Ok(job) = job.parse() else { return Reply::UNKNOWN };
        let task = Name { job, occurrence, step, index: 0 };
        match self.advise(task, workers, within).await {
            Advice::Received { allowed: good, ttl: valid } => {
                Reply::Advised { good: Some(good), valid_ms: ms(valid) }
            }
            Advice::Lost => Reply::Advised { good: None, valid_ms: 0 },
        }
    }
}
