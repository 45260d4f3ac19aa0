//! Passes requests of peers to the actors.

use corianderfork_coord::claim::End;
use corianderfork_runtime::peers::{self, Reply};
use corianderfork_wire::peer;

use crate::claimant::{Message, Request};
use crate::claims::Inboxes;
use crate::convert;
use crate::gossip;
use crate::inbox::Inbox;

/// Passes requests of peers to the actors. If the queue of an actor is full, the reply is
/// dropped, so that the peer sees the failure at once and can retry.
pub struct Handler {
    gossip: Inbox<gossip::Message>,
    shards: Vec<Inboxes>,
}

impl Handler {
    /// Creates a handler that sends to these inboxes.
    pub fn new(gossip: Inbox<gossip::Message>, shards: Vec<Inboxes>) -> Self {
        Self { gossip, shards }
    }

    fn shard(&self, shard: u32) -> Option<&Inboxes> {
        self.shards.get(usize::try_from(shard).ok()?)
    }

    fn send_claim(
        &self,
        request: &peer::ClaimRequest,
        reply: Reply<peer::ClaimReply>,
    ) -> Option<()> {
        let (id, attempt) = (request.id.parse().ok()?, convert::parse_attempt(&request.attempt)?);
        let reply = Box::new(move |answer| reply.send(answer));
        let message = Message::Claim(Request { id, attempt, reply });
        self.shard(request.shard)?.claims.send(message).ok()
    }

    fn send_settlement(&self, request: &peer::SettleRequest) -> Option<()> {
        let (id, attempt) = (request.id.parse().ok()?, convert::parse_attempt(&request.attempt)?);
        let end = if request.done { End::Done } else { End::Abandoned };
        self.shard(request.shard)?.claims.send(Message::Settle { id, attempt, end }).ok()
    }
}

impl peers::Handler for Handler {
    fn exchange(&self, report: peer::Report, reply: Reply<peer::Report>) {
        let _ = self.gossip.send(gossip::Message::Report(report, reply));
    }

    fn snapshot(&self, request: peer::SnapshotRequest, reply: Reply<peer::SnapshotReply>) {
        let _ = self.gossip.send(gossip::Message::SnapshotRequest(request, reply));
    }

    fn claim(&self, request: peer::ClaimRequest, reply: Reply<peer::ClaimReply>) {
        self.send_claim(&request, reply);
    }

    fn settle(&self, request: peer::SettleRequest, reply: Reply<peer::SettleReply>) {
        self.send_settlement(&request);
        reply.send(peer::SettleReply::default());
    }
}
