//! Jobs of which nobody knows whether they are stored, as entry VMs tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};

use super::Gateway;
use crate::clock;
use crate::http::Failed;
use crate::peer::{self, Ask, Reply};
use crate::rendezvous::draw;

/// Entry VMs that remember such a job for all: one of them may be away.
const KEEPERS: usize = 2;
/// How long they may take: an answer takes some milliseconds, and a caller waits.
const PROMPT: Duration = Duration::from_millis(100);

/// The entry VMs that remember a job, seen from one of all.
struct Keepers {
    /// Whether this one is among them.
    is_one: bool,
    /// Where the others are.
    others: Vec<SocketAddr>,
}

impl Gateway {
    /// Notes that a write of a job has no answer, here and at the entry VMs that
    /// remember it for all.
    ///
    /// Its caller asks again at any entry VM. One that takes the store to be away would
    /// tell it 503, which promises that the job never runs, while the write may be
    /// carried out: the caller gives up a job that runs.
    pub(super) async fn note_unsure(&self, id: &str) {
        self.node.tries.borrow_mut().note_unsure(clock::now(), id);
        let told = self.ask_all(&self.keepers(id).others, &Ask::Unsure { id: id.to_owned() });
        let mut missed = 0;
        for told in told {
            missed += usize::from(!matches!(told.await, Ok(Ok(Reply::Done))));
        }
        if missed > 0 {
            self.node.trace.line("doubt not passed on", json!({ "job": id, "missed": missed }));
        }
    }

    /// Whether a job that is refused here, or isn't found, may be stored by another try
    /// of it, under way here or without an answer anywhere.
    ///
    /// Where none of the entry VMs that would know answers, it may.
    pub(super) async fn may_be_stored(&self, id: &str) -> bool {
        if self.node.tries.borrow().may_be_stored(clock::now(), id) {
            return true;
        }
        let keepers = self.keepers(id);
        let asked = self.ask_all(&keepers.others, &Ask::Tried { id: id.to_owned() });
        // Nobody else is known: what is known here is all that there is.
        let mut answers = usize::from(keepers.is_one || asked.is_empty());
        let mut is_unsure = false;
        for answer in asked {
            if let Ok(Ok(Reply::Tried { is_unsure: theirs })) = answer.await {
                answers += 1;
                is_unsure |= theirs;
            }
        }
        let may_be = is_unsure || answers == 0;
        if may_be {
            self.node.trace.line(
                "may be stored, unanswered",
                json!({ "job": id, "a_peer_says_so": is_unsure, "answers": answers }),
            );
        }
        may_be
    }

    fn keepers(&self, id: &str) -> Keepers {
        let table = self.node.table.borrow();
        let me = self.node.settings.name.as_str();
        let drawn = draw(table.members.keys().map(String::as_str), id, KEEPERS);
        let others = drawn.iter().filter(|name| **name != me);
        Keepers {
            is_one: drawn.contains(&me),
            others: others.map(|name| table.members[*name].peers).collect(),
        }
    }

    /// Asks peers, all at once.
    fn ask_all(&self, peers: &[SocketAddr], ask: &Ask) -> Vec<JoinHandle<Result<Reply, Failed>>> {
        let ask_one = |peer: &SocketAddr| {
            let (client, peer, ask) = (self.node.peers.clone(), *peer, ask.clone());
            spawn_local(async move { peer::ask(&client, peer, &ask, PROMPT).await })
        };
        peers.iter().map(ask_one).collect()
    }
}
