//! What an owner learns of those that owned its pool before.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;

use super::{Owner, ms};
use crate::clock;
use crate::duty::Former;
use crate::node::Node;
use crate::peer::{self, Ask, Reply};

/// How long a former owner may take over its answer.
const ANSWER: Duration = Duration::from_millis(250);
/// The pause until former owners that didn't answer are asked again.
const PAUSE: Duration = Duration::from_millis(500);

impl Owner {
    /// Tells former owners that they are replaced, and hears until when what they granted
    /// holds. Those that don't answer are waited out instead.
    pub(super) async fn ask_predecessors(&self) {
        let formers = self.formers_to_ask();
        let ask = Ask::Retire { duty: self.name.clone(), fence: self.fence() };
        let answers: Vec<_> = formers
            .into_iter()
            .map(|former| spawn_local(ask_former(self.node.clone(), former, ask.clone())))
            .collect();
        for answer in answers {
            if let Ok((former, Some(reply))) = answer.await {
                self.hear_predecessor(&former, reply);
            }
        }
    }

    fn formers_to_ask(&self) -> Vec<Former> {
        let mut predecessors = self.predecessors.borrow_mut();
        predecessors.observe(clock::now(), &self.node.table.borrow());
        predecessors.to_ask()
    }

    fn hear_predecessor(&self, former: &Former, reply: Reply) {
        let Reply::Retired { grants, process } = reply else { return };
        let now = clock::now();
        let mut predecessors = self.predecessors.borrow_mut();
        match process {
            Some(process) if process.boot != former.boot => {
                // At its address another machine may answer.
                if process.name == former.name {
                    predecessors.end(now, former);
                }
            }
            _ => grants.iter().for_each(|grants| predecessors.learn(now, former, grants)),
        }
    }

    /// Waits no longer for former owners than what is known of them asks for. Whether all
    /// of them are accounted for.
    pub(super) fn limit_inherited(&self) -> bool {
        let mut predecessors = self.predecessors.borrow_mut();
        predecessors.observe(clock::now(), &self.node.table.borrow());
        let Some(limit) = predecessors.limit() else { return false };
        self.pool.borrow_mut().limit_inherited_leases(limit.until, &limit.by_worker);
        self.wake.notify_one();
        true
    }

    /// Learns of former owners until all are accounted for, or all waits are over.
    pub(super) async fn follow_predecessors(self: Rc<Self>) {
        let begun = clock::now();
        while !self.retired.get() && !self.limit_inherited() {
            if !self.pool.borrow().is_recovering(clock::now()) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
            self.ask_predecessors().await;
        }
        self.node.trace.line(
            "former owners accounted for",
            json!({ "duty": self.name, "fence": self.fence(), "took_ms": ms(clock::now() - begun) }),
        );
    }
}

async fn ask_former(node: Rc<Node>, former: Former, ask: Ask) -> (Former, Option<Reply>) {
    let Some(address) = former.peers else { return (former, None) };
    let reply = peer::ask(&node.peers, address, &ask, ANSWER).await.ok();
    (former, reply)
}
