//! Messages to the actor of a shard and their inboxes.

use corianderfork_coord::claim::Answer;
use corianderfork_coord::lease::{self, Token};

use crate::claimant::Message as ClaimMessage;
use crate::inbox::Inbox;

/// A message from the store threads or the stopping process.
pub enum Message {
    /// The answer to a lease call, with the number of the holder that made it.
    Lease(u64, lease::Answer),
    /// The answer to a journal call, with the fencing token of the machine that made it.
    Journal(Token, Answer),
    /// The process is stopping: release the shard.
    Release,
}

/// The inboxes of a shard.
#[derive(Clone, Default)]
pub struct Inboxes {
    /// Claim requests and settlements, of this process and of peers.
    pub claims: Inbox<ClaimMessage>,
    /// All other messages.
    pub own: Inbox<Message>,
}
