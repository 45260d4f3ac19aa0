//! What entry daemons ask of each other.
//!
//! One JSON message a request, over the same HTTP as everything else here: a
//! second stack for a handful of small messages would cost memory that is billed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_jobs::Record;
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::record::State;
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::duty::Former;
use crate::http::{Client, Failed};

/// How long a peer may take over an answer.
pub const ANSWER: Duration = Duration::from_millis(700);
/// How long a peer may take over what is asked again and again: an answer takes
/// a few milliseconds, and the next question comes a moment later.
pub const PROMPT: Duration = Duration::from_millis(250);

/// A question.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Ask {
    /// A job was accepted; to the owner of its pool.
    Accepted {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
        /// The job.
        record: Box<Record>,
        /// The store's revision.
        revision: u64,
    },
    /// Where does a job stand? To the owner of its pool.
    State {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
    },
    /// Take a job back; to the owner of its pool.
    Cancel {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
    },
    /// How many jobs have not begun? To the owner of the pool.
    Queued {
        /// The pool.
        pool: String,
        /// The queue.
        queue: String,
    },
    /// Empty workers and tell how far you are; to the owner of their pool.
    Vacate {
        /// The pool.
        pool: String,
        /// The workers' lives.
        workers: Vec<String>,
    },
    /// Workers' VMs were moved or maintained; to the owner of their pool.
    Gone {
        /// The pool.
        pool: String,
        /// The workers' lives.
        workers: Vec<String>,
    },
    /// How busy is the pool? To its owner.
    Load {
        /// The pool.
        pool: String,
        /// Lives that have come to the pool of late.
        arrived: Vec<String>,
        /// Whether VMs are on their way to the pool.
        expects: bool,
    },
    /// Keep so many workers and empty the others; to the owner of the pool.
    Shrink {
        /// The pool.
        pool: String,
        /// How many.
        keep: u32,
    },
    /// Somebody else holds the duty now; to the one that held it before.
    Retire {
        /// The duty.
        duty: String,
        /// The fence of the new holder.
        fence: u64,
    },
    /// Ask for me which workers may run a step: the service that tells takes one
    /// question at a time from each VM.
    Advise {
        /// The job's id.
        job: String,
        /// The occurrence.
        occurrence: u32,
        /// The step.
        step: u32,
        /// The workers' lives.
        workers: Vec<String>,
        /// How long it may take, in milliseconds.
        within_ms: u64,
    },
    /// A write of a job has no answer: remember that it may be stored.
    Unsure {
        /// The job's id.
        id: String,
    },
    /// May a job be stored by a try of it that nobody knows the end of?
    Tried {
        /// The job's id.
        id: String,
    },
    /// Call the store for me, which turns me away.
    Store {
        /// The method.
        method: String,
        /// Path and query.
        target: String,
        /// The body.
        body: String,
        /// How long it may take, in milliseconds.
        within_ms: u64,
    },
}

impl Ask {
    /// The pool whose owner is asked; empty for what others are asked.
    pub fn pool(&self) -> &str {
        match self {
            Self::Accepted { pool, .. }
            | Self::State { pool, .. }
            | Self::Cancel { pool, .. }
            | Self::Queued { pool, .. }
            | Self::Vacate { pool, .. }
            | Self::Shrink { pool, .. }
            | Self::Gone { pool, .. }
            | Self::Load { pool, .. } => pool,
            Self::Retire { .. }
            | Self::Advise { .. }
            | Self::Unsure { .. }
            | Self::Tried { .. }
            | Self::Store { .. } => "",
        }
    }
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
pub enum Reply {
    /// It is done.
    Done,
    /// The one asked doesn't own the pool.
    NotOwner,
    /// There is no such job, or none that is known here.
    Unknown,
    /// Where a job stands.
    State {
        /// The state.
        state: State,
    },
    /// The job is over, and whether that is written isn't known: the store says
    /// where it stands.
    Ending,
    /// The job was accepted; where it stands another one may know better.
    Known,
    /// It could not be written in time; ask again.
    Later,
    /// How many jobs have not begun.
    Queued {
        /// The number.
        jobs: usize,
    },
    /// How far workers are emptied.
    Vacated {
        /// The lives of those that are empty.
        empty: Vec<String>,
    },
    /// How busy the pool is.
    Load {
        /// The load.
        load: Load,
        /// Those of the lives asked for that are counted in it.
        counted: Vec<String>,
    },
    /// Workers that are empty and may leave the pool.
    Spare {
        /// Their lives.
        workers: Vec<String>,
    },
    /// How long what was granted to workers holds, in milliseconds.
    Retired {
        /// By worker's life; `None` if the duty was not held.
        grants: Option<BTreeMap<String, u64>>,
        /// The process that answers.
        #[serde(default)]
        process: Option<Former>,
    },
    /// Which workers may run a step.
    Advised {
        /// Their lives and tickets; `None` if nothing was told.
        good: Option<Vec<(String, String)>>,
        /// How long the tickets hold, in milliseconds.
        valid_ms: u64,
    },
    /// Whether a job may be stored though nobody was told so.
    Tried {
        /// Whether it may.
        is_unsure: bool,
    },
    /// What the store said.
    Store {
        /// The status; 0 for no answer.
        status: u16,
        /// Whether anything was sent.
        sent: bool,
        /// The body.
        body: String,
    },
}

/// Asks a peer.
///
/// # Errors
///
/// Fails if there is no answer that can be read.
pub async fn ask(
    client: &Rc<Client>,
    peer: SocketAddr,
    ask: &Ask,
    within: Duration,
) -> Result<Reply, Failed> {
    parse_reply(client.call(peer, &build_call(ask), within).await?)
}

/// Asks a peer for something whose reply may be large: `within` bounds the time until
/// the head of the answer arrives; see [`Client::call_large`].
///
/// # Errors
///
/// Fails if there is no answer that can be read.
pub async fn ask_large(
    client: &Rc<Client>,
    peer: SocketAddr,
    ask: &Ask,
    within: Duration,
) -> Result<Reply, Failed> {
    parse_reply(client.call_large(peer, &build_call(ask), within, |_| {}).await?)
}

fn build_call(ask: &Ask) -> Call {
    let body = serde_json::to_vec(ask).unwrap_or_default();
    Call { method: "POST", target: "/peer".to_owned(), headers: Vec::new(), body }
}

fn parse_reply((status, body): (u16, Bytes)) -> Result<Reply, Failed> {
    if status != 200 {
        return Err(Failed::Lost);
    }
    serde_json::from_slice(&body).map_err(|_| Failed::Lost)
}
