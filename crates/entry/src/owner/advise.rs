//! Questions about which workers may run a step.
//!
//! The service that answers them takes one question at a time from each VM, so
//! an owner asks by way of all entry VMs. *Measured:* a question takes 0.3 s and
//! more; one VM alone asks three a second, seven ask twenty.

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
use crate::peer::{self, Ask, Reply};

/// How long an entry VM is not asked through that brought no answer.
const AVOID: Duration = Duration::from_millis(1_000);
/// What a question may take beside the time that the service takes for it, on
/// the way there and behind questions of other owners from the same VM.
const SLACK: Duration = Duration::from_millis(500);
/// Questions of other owners that may be before one's own at an entry VM.
const BEFORE: u32 = 3;

/// The entry VM by way of which a question goes; `None` for this one.
pub(super) type Adviser = Option<SocketAddr>;

impl Owner {
    /// Sends as many questions as there are entry VMs without one of this
    /// owner's.
    pub(super) fn ask_advice(self: &Rc<Self>) {
        if self.node.settings.advice.is_none() {
            return;
        }
        let free = self.free_advisers();
        let questions = self.pool.borrow_mut().advice_queries(clock::now(), free.len());
        for (question, adviser) in questions.into_iter().zip(free) {
            self.advising.borrow_mut().insert(adviser);
            spawn_local(self.clone().advise(question, adviser));
        }
    }

    fn free_advisers(&self) -> Vec<Adviser> {
        let now = clock::now();
        let me = self.node.settings.name.as_str();
        let table = self.node.table.borrow();
        let others = table.members.iter().filter(|(name, _)| *name != me);
        let all = std::iter::once(None).chain(others.map(|(_, member)| Some(member.peers)));
        let (busy, mut silent) = (self.advising.borrow(), self.silent.borrow_mut());
        silent.retain(|_, until| now < *until);
        all.filter(|adviser| !busy.contains(adviser) && !silent.contains_key(adviser)).collect()
    }

    async fn advise(self: Rc<Self>, question: Query, adviser: Adviser) {
        let begun = clock::now();
        let workers: Vec<String> = question.workers.iter().map(|(_, id)| id.clone()).collect();
        let within = self.within(workers.len());
        let advice = match adviser {
            None => self.node.advise(question.task, &workers, within).await,
            Some(peer) => self.advise_through(peer, question.task, workers, within).await,
        };
        self.count("advice", begun, advice != Advice::Lost);
        self.advising.borrow_mut().remove(&adviser);
        if advice == Advice::Lost {
            self.silent.borrow_mut().insert(adviser, clock::now() + AVOID);
            self.node.trace.line(
                "advice not told",
                json!({ "job": question.task.job.to_string(), "step": question.task.step,
                    "through": adviser, "took_ms": ms(clock::now() - begun) }),
            );
        }
        self.pool.borrow_mut().handle_advice(clock::now(), &question, &advice);
        self.wake.notify_one();
    }

    fn within(&self, workers: usize) -> Duration {
        let terms = self.node.config.borrow().as_ref().and_then(|config| config.advised());
        let terms = terms.unwrap_or_default();
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let each = terms.per_query + terms.per_worker.saturating_mul(workers);
        each.saturating_mul(1 + BEFORE) + SLACK
    }

    async fn advise_through(
        &self,
        peer: SocketAddr,
        task: Name,
        workers: Vec<String>,
        within: Duration,
    ) -> Advice {
        let ask = Ask::Advise {
            job: task.job.to_string(),
            occurrence: task.occurrence,
            step: task.step,
            workers,
            within_ms: ms(within),
        };
        match peer::ask(&self.node.peers, peer, &ask, within + SLACK).await {
            Ok(Reply::Advised { good: Some(good), valid_ms }) => {
                Advice::Received { allowed: good, ttl: Duration::from_millis(valid_ms) }
            }
            _ => Advice::Lost,
        }
    }
}

impl Node {
    /// Asks which workers may run the step of `task`.
    pub async fn advise(&self, task: Name, workers: &[String], within: Duration) -> Advice {
        let Some(address) = self.settings.advice else { return Advice::Lost };
        let call = wire::ask(task, workers);
        match self.client.call(address, &call, within).await {
            Ok((status, body)) => wire::told(status, &body).unwrap_or(Advice::Lost),
            Err(_) => Advice::Lost,
        }
    }

    /// Asks for a peer.
    pub async fn advise_peer(
        &self,
        (job, occurrence, step): (&str, u32, u32),
        workers: &[String],
        within: Duration,
    ) -> Reply {
        let Ok(job) = job.parse() else { return Reply::Unknown };
        let task = Name { job, occurrence, step, index: 0 };
        match self.advise(task, workers, within).await {
            Advice::Received { allowed: good, ttl: valid } => {
                Reply::Advised { good: Some(good), valid_ms: ms(valid) }
            }
            Advice::Lost => Reply::Advised { good: None, valid_ms: 0 },
        }
    }
}
