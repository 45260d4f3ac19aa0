//! Asks the owner of an id's shard for the claim, before anything is sent.

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

/// The least time for an ask to be worth it.
const LEAST: Duration = Duration::from_millis(20);
/// The part of the time that the first ask may take.
const FIRST_ASK: f32 = 0.6;
/// How long a settlement may take; nobody waits for it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// When to come back if the owner did not say.
const RETRY: Duration = Duration::from_secs(1);

/// A question to a shard, from this process or a peer.
pub struct Question {
    /// The request.
    pub id: Id,
    /// Who wants to run it.
    pub attempt: Attempt,
    /// Takes the answer, from any thread; must not block.
    pub reply: Box<dyn FnOnce(peer::ClaimReply) + Send>,
}

/// What is sent to the actor of a shard.
pub enum Message {
    /// A claim is asked for.
    Ask(Question),
    /// An attempt has ended.
    Settle {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: End,
    },
}

/// A claim that was granted, and until when it may be used.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// The attempt it was granted to.
    pub attempt: Attempt,
}

/// What became of asking for a claim.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub enum Claimed {
    /// This attempt may send the request.
    Granted(Grant),
    /// It may not; it was not run by this attempt.
    Refused(Verdict, Duration),
}

/// Asks for claims, for threads that may block.
pub struct Claimant {
    me: Member,
    wire_me: peer::Member,
    peers: Peers,
    shared: Arc<Shared>,
    shards: Vec<Inbox<Message>>,
    timeout: Duration,
    count: AtomicU64,
}

impl Claimant {
    /// Asks as `me`; `shards` are this process's own actors.
    pub fn new(
        me: Member,
        peers: Peers,
        shared: Arc<Shared>,
        shards: Vec<Inbox<Message>>,
        timeout: Duration,
    ) -> Self {
        let wire_me = crate::convert::member(&me);
        Self { me, wire_me, peers, shared, shards, timeout, count: AtomicU64::new(0) }
    }

    fn shard(&self, id: Id) -> u32 {
        shard(id, u32::try_from(self.shards.len()).unwrap_or(u32::MAX))
    }

    /// Claims `id` for a fresh attempt, until `deadline` at most.
    pub fn claim(&self, id: Id, deadline: Instant) -> Claimed {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let attempt = Attempt::new(self.me.incarnation, count);
        let until = deadline.min(Instant::now() + self.timeout);
        let mut last = peer::ClaimReply::default();
        let mut asked: Option<Holder> = None;
        let mut unanswered = false;
        // An attempt may repeat a question that got no answer: the connection
        // may have gone silent, or the owner is gone and there is another.
        for _ in 0..2 {
            let left = until.saturating_duration_since(Instant::now());
            let Some(owner) = self.shared.directory().owners.get(&self.shard(id)).cloned() else {
                break;
            };
            let denied = last.verdict() == Verdict::NotOwner && asked.as_ref() == Some(&owner);
            if left < LEAST || denied {
                break;
            }
            let wait = if asked.is_none() { left.mul_f32(FIRST_ASK) } else { left };
            last = self.ask(&owner, id, attempt, wait);
            asked = Some(owner);
            match last.verdict() {
                Verdict::Granted => return Claimed::Granted(Grant { attempt }),
                Verdict::Unspecified => unanswered = true,
                Verdict::NotOwner => {}
                _ => break,
            }
        }
        let verdict = last.verdict();
        if unanswered {
            // The claim may have been made all the same: give it up, lest a
            // repetition find the id taken by an attempt that never runs it.
            self.settle(id, attempt, End::Abandoned);
        }
        let millis = Duration::from_millis(last.retry_after_ms);
        Claimed::Refused(verdict, if millis.is_zero() { RETRY } else { millis })
    }

    fn ask(&self, owner: &Holder, id: Id, attempt: Attempt, wait: Duration) -> peer::ClaimReply {
        if self.is_me(owner) {
            return self.ask_here(id, attempt, wait);
        }
        let request = peer::ClaimRequest {
            shard: self.shard(id),
            id: id.to_string(),
            attempt: crate::convert::attempt_text(attempt),
            from: Some(self.wire_me.clone()),
        };
        let reply = self.peers.claim_wait(owner.peers, request, wait);
        let result = if reply.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.peer_calls.with_label_values(&["claim", result]).inc();
        reply.unwrap_or_default()
    }

    fn ask_here(&self, id: Id, attempt: Attempt, wait: Duration) -> peer::ClaimReply {
        let (sender, receiver) = sync_channel(1);
        let reply = Box::new(move |reply| {
            let _ = sender.try_send(reply);
        });
        let message = Message::Ask(Question { id, attempt, reply });
        if self.send_here(id, message).is_none() {
            return peer::ClaimReply::default();
        }
        receiver.recv_timeout(wait).unwrap_or_default()
    }

    fn send_here(&self, id: Id, message: Message) -> Option<()> {
        let index = usize::try_from(self.shard(id)).ok()?;
        self.shards.get(index)?.send(message).ok()
    }

    /// Tells how an attempt ended. Best effort: a settlement that is lost
    /// leaves the id taken, its outcome unknown, which never runs it twice.
    pub fn settle(&self, id: Id, attempt: Attempt, end: End) {
        let directory = self.shared.directory();
        let Some(owner) = directory.owners.get(&self.shard(id)) else { return };
        if self.is_me(owner) {
            let _ = self.send_here(id, Message::Settle { id, attempt, end });
            return;
        }
        let request = peer::SettleRequest {
            shard: self.shard(id),
            id: id.to_string(),
            attempt: crate::convert::attempt_text(attempt),
            done: end == End::Done,
        };
        self.peers.settle(owner.peers, request, SETTLE_TIMEOUT, |_| {});
    }

    fn is_me(&self, owner: &Holder) -> bool {
        owner.name == self.me.name && owner.incarnation == self.me.incarnation
    }
}
