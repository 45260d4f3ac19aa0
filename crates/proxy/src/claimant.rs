//! Claims ids of non-idempotent requests from the owner of their shard before anything is
//! sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use corianderfork_coord::claim::{Attempt, End, Id, shard};
use corianderfork_provider::record::{Holder, Member};
use corianderfork_runtime::peers::Peers;
use corianderfork_wire::peer;
use peer::Verdict;

use crate::inbox::Inbox;
use crate::shared::Shared;

/// The minimum remaining time for a claim request to be worthwhile.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The share of the remaining time that the first claim request may take.
const FIRST_WAIT_SHARE: f32 = 0.6;
/// The timeout of a settlement; no thread waits for it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a retry if the owner gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim request to a shard, from this process or a peer.
pub struct Request {
    /// The id to claim.
    pub id: Id,
    /// The attempt that wants to run the request.
    pub attempt: Attempt,
    /// Receives the reply on any thread; must not block.
    pub reply: Box<dyn FnOnce(peer::ClaimReply) + Send>,
}

/// A message to the actor of a shard.
pub enum Message {
    /// Requests a claim.
    Claim(Request),
    /// Reports the end of an attempt.
    Settle {
        /// The claimed id.
        id: Id,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: End,
    },
}

/// A granted claim.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// The attempt that holds the claim.
    pub attempt: Attempt,
}

/// The result of a claim request.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub enum Decision {
    /// The attempt may send the request.
    Granted(Grant),
    /// The attempt must not send the request, and has not run it. Holds the verdict and
    /// the delay before a retry.
    Refused(Verdict, Duration),
}

/// Requests claims on behalf of threads that may block.
pub struct Claimant {
    me: Member,
    wire_member: peer::Member,
    peers: Peers,
    shared: Arc<Shared>,
    shards: Vec<Inbox<Message>>,
    timeout: Duration,
    next_attempt: AtomicU64,
}

impl Claimant {
    /// Creates a claimant of the process `me`; `shards` are its own shard actors.
    pub fn new(
        me: Member,
        peers: Peers,
        shared: Arc<Shared>,
        shards: Vec<Inbox<Message>>,
        timeout: Duration,
    ) -> Self {
        let wire_member = crate::convert::member(&me);
        Self { me, wire_member, peers, shared, shards, timeout, next_attempt: AtomicU64::new(0) }
    }

    fn shard(&self, id: Id) -> u32 {
        shard(id, u32::try_from(self.shards.len()).unwrap_or(u32::MAX))
    }

    /// Claims `id` for a new attempt, by `deadline` at the latest.
    pub fn claim(&self, id: Id, deadline: Instant) -> Decision {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let attempt = Attempt::new(self.me.incarnation, number);
        let claim_deadline = deadline.min(Instant::now() + self.timeout);
        let mut last_reply = peer::ClaimReply::default();
        let mut last_owner: Option<Holder> = None;
        let mut unanswered = false;
        // A claim request without a reply may be repeated for the same attempt: the
        // connection may have gone silent, or the shard has a new owner.
        for _ in 0..2 {
            let remaining = claim_deadline.saturating_duration_since(Instant::now());
            let Some(owner) = self.shared.directory().owners.get(&self.shard(id)).cloned() else {
                break;
            };
            let denied =
                last_reply.verdict() == Verdict::NotOwner && last_owner.as_ref() == Some(&owner);
            if remaining < MIN_WAIT || denied {
                break;
            }
            let wait =
                if last_owner.is_none() { remaining.mul_f32(FIRST_WAIT_SHARE) } else { remaining };
            last_reply = self.request_claim(&owner, id, attempt, wait);
            last_owner = Some(owner);
            match last_reply.verdict() {
                Verdict::Granted => return Decision::Granted(Grant { attempt }),
                Verdict::Unspecified => unanswered = true,
                Verdict::NotOwner => {}
                _ => break,
            }
        }
        let verdict = last_reply.verdict();
        if unanswered {
            // The claim may have been granted nevertheless. Abandon it, or a retry would
            // find the id taken by an attempt that never runs it.
            self.settle(id, attempt, End::Abandoned);
        }
        let retry_after = Duration::from_millis(last_reply.retry_after_ms);
        Decision::Refused(
            verdict,
            if retry_after.is_zero() { DEFAULT_RETRY_AFTER } else { retry_after },
        )
    }

    fn request_claim(
        &self,
        owner: &Holder,
        id: Id,
        attempt: Attempt,
        wait: Duration,
    ) -> peer::ClaimReply {
        if self.is_me(owner) {
            return self.request_local_claim(id, attempt, wait);
        }
        let request = peer::ClaimRequest {
            shard: self.shard(id),
            id: id.to_string(),
            attempt: crate::convert::format_attempt(attempt),
            from: Some(self.wire_member.clone()),
        };
        let reply = self.peers.claim_wait(owner.peers, request, wait);
        let result = if reply.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.peer_calls.with_label_values(&["claim", result]).inc();
        reply.unwrap_or_default()
    }

    fn request_local_claim(&self, id: Id, attempt: Attempt, wait: Duration) -> peer::ClaimReply {
        let (sender, receiver) = sync_channel(1);
        let reply = Box::new(move |reply| {
            let _ = sender.try_send(reply);
        });
        let message = Message::Claim(Request { id, attempt, reply });
        if self.send_local(id, message).is_none() {
            return peer::ClaimReply::default();
        }
        receiver.recv_timeout(wait).unwrap_or_default()
    }

    fn send_local(&self, id: Id, message: Message) -> Option<()> {
        let index = usize::try_from(self.shard(id)).ok()?;
        self.shards.get(index)?.send(message).ok()
    }

    /// Reports the end of an attempt, best effort. If the settlement is lost, the id
    /// stays taken with an unknown outcome, which never runs it twice.
    pub fn settle(&self, id: Id, attempt: Attempt, end: End) {
        let directory = self.shared.directory();
        let Some(owner) = directory.owners.get(&self.shard(id)) else { return };
        if self.is_me(owner) {
            let _ = self.send_local(id, Message::Settle { id, attempt, end });
            return;
        }
        let request = peer::SettleRequest {
            shard: self.shard(id),
            id: id.to_string(),
            attempt: crate::convert::format_attempt(attempt),
            done: end == End::Done,
        };
        self.peers.settle(owner.peers, request, SETTLE_TIMEOUT, |_| {});
    }

    fn is_me(&self, owner: &Holder) -> bool {
        owner.name == self.me.name && owner.incarnation == self.me.incarnation
    }
}
