//! Communication with the former owners of a pool.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;

use super::{Owner, ms};
use crate::clock;
use crate::duty::FormerHolder;
use crate::node::Node;
use crate::peer::{self, Message, Reply};

/// How long a former owner may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause before former owners that didn't respond are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

impl Owner {
    /// Notifies former owners that they are replaced, and asks until when their grants hold. For
    /// those that don't respond, the longest possible lease is waited out.
    pub(super) async fn query_predecessors(&self) {
        let former_holders = self.holders_to_query();
        let message = Message::Retire { duty: self.duty.clone(), fence: self.fence() };
        let answers: Vec<_> = former_holders
            .into_iter()
            .map(|former| {
                spawn_local(notify_former_holder(self.node.clone(), former, message.clone()))
            })
            .collect();
        for answer in answers {
            if let Ok((former, Some(reply))) = answer.await {
                self.handle_reply(&former, reply);
            }
        }
    }

    fn holders_to_query(&self) -> Vec<FormerHolder> {
        let mut predecessors = self.predecessors.borrow_mut();
        predecessors.observe(clock::now(), &self.node.table.borrow());
        predecessors.to_query()
    }

    fn handle_reply(&self, former: &FormerHolder, reply: Reply) {
        let Reply::Retired { grants, process } = reply else { return };
        let now = clock::now();
        let mut predecessors = self.predecessors.borrow_mut();
        match process {
            Some(process) if process.boot != former.boot => {
                // Another machine may respond at its address.
                if process.name == former.name {
                    predecessors.mark_ended(now, former);
                }
            }
            _ => grants.iter().for_each(|grants| predecessors.record_report(now, former, grants)),
        }
    }

    /// Shortens the wait for former owners to what is known of their grants. Returns
    /// whether all of them are accounted for.
    pub(super) fn limit_inherited(&self) -> bool {
        let mut predecessors = self.predecessors.borrow_mut();
        predecessors.observe(clock::now(), &self.node.table.borrow());
        let Some(limit) = predecessors.limit() else { return false };
        self.pool.borrow_mut().limit_inherited_leases(limit.until, &limit.by_worker);
        self.wake.notify_one();
        true
    }

    /// Queries former owners until all are accounted for or the wait is over.
    pub(super) async fn follow_predecessors(self: Rc<Self>) {
        let started = clock::now();
        let pending = self.predecessors.borrow().pending();
        if !self.limit_inherited() && !pending.is_empty() {
            self.node.trace.unlimited(
                "grants of former owners unknown",
                json!({ "duty": self.name, "fence": self.fence(), "holders": pending }),
            );
        }
        while !self.retired.get() && !self.limit_inherited() {
            if !self.pool.borrow().is_recovering(clock::now()) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            self.query_predecessors().await;
        }
        self.node.trace.line(
            "grants of former owners known",
            || json!({ "duty": self.name, "fence": self.fence(), "took_ms": ms(clock::now() - started) }),
        );
    }
}

async fn notify_former_holder(
    node: Rc<Node>,
    former: FormerHolder,
    message: Message,
) -> (FormerHolder, Option<Reply>) {
    let Some(address) = former.peers else { return (former, None) };
    let reply = peer::send(&node.peers, address, &message, RESPONSE_TIMEOUT).await.ok();
    (former, reply)
}
