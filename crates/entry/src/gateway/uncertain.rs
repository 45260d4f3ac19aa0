//! Jobs that may or may not be stored, as entry VMs report them to each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};

use super::Gateway;
use crate::clock;
use crate::http::CallError;
use crate::peer::{self, Message, Reply};
use crate::rendezvous::select;

/// How many entry VMs remember such a job for all: one of them may be down.
const KEEPERS: usize = 2;
/// How long they may take to reply: it takes milliseconds, and a caller waits.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// The entry VMs that remember a job, seen from one of all entry VMs.
struct Keepers {
    /// Whether this VM is among them.
    includes_self: bool,
    /// The addresses of the others.
    others: Vec<SocketAddr>,
}

impl Gateway {
    /// Records that a write of a job had no response, here and at the entry VMs that
    /// remember it for all.
    ///
    /// The caller retries at any entry VM. One that considers the store down would respond
    /// with 503, which promises that the job never runs, while the write may still be
    /// carried out: the caller would give up on a job that runs.
    pub(super) async fn note_unsure(&self, id: &str) {
        self.node.attempts.borrow_mut().note_unsure(clock::now(), id);
        let replies =
            self.send_to_peers(&self.keepers(id).others, &Message::Unsure { id: id.to_owned() });
        let mut missed = 0;
        for reply in replies {
            missed += usize::from(!matches!(reply.await, Ok(Ok(Reply::Done))));
        }
        if missed > 0 {
            self.node
                .trace
                .line("uncertain write not reported", || json!({ "job": id, "missed": missed }));
        }
    }

    /// Whether a job that is refused or not found here may be stored by another attempt, in
    /// progress here or without a response anywhere.
    ///
    /// If none of the entry VMs that would know replies, it may be.
    pub(super) async fn may_be_stored(&self, id: &str) -> bool {
        if self.node.attempts.borrow().may_be_stored(clock::now(), id) {
            return true;
        }
        let keepers = self.keepers(id);
        let replies = self.send_to_peers(&keepers.others, &Message::Tried { id: id.to_owned() });
        // Without other keepers, the local record is all there is.
        let mut answers = usize::from(keepers.includes_self || replies.is_empty());
        let mut is_unsure = false;
        for reply in replies {
            if let Ok(Ok(Reply::Tried { is_unsure: theirs })) = reply.await {
                answers += 1;
                is_unsure |= theirs;
            }
        }
        let may_be = is_unsure || answers == 0;
        if may_be {
            self.node.trace.line(
                "job may be stored, write unanswered",
                || json!({ "job": id, "a_peer_says_so": is_unsure, "answers": answers }),
            );
        }
        may_be
    }

    fn keepers(&self, id: &str) -> Keepers {
        let table = self.node.table.borrow();
        let me = self.node.settings.name.as_str();
        let selected = select(table.members.keys().map(String::as_str), id, KEEPERS);
        let others = selected.iter().filter(|name| **name != me);
        Keepers {
            includes_self: selected.contains(&me),
            others: others.map(|name| table.members[*name].peers).collect(),
        }
    }

    /// Sends a request to peers concurrently.
    fn send_to_peers(
        &self,
        peers: &[SocketAddr],
        message: &Message,
    ) -> Vec<JoinHandle<Result<Reply, CallError>>> {
        let send_one = |peer: &SocketAddr| {
            let (client, peer, message) = (self.node.peers.clone(), *peer, message.clone());
            spawn_local(async move { peer::send(&client, peer, &message, SHORT_TIMEOUT).await })
        };
        peers.iter().map(send_one).collect()
    }
}
