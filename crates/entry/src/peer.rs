//! Requests between entry daemons.
//!
//! Each request is one JSON message over the same HTTP client as all other calls: a second
//! protocol stack for a few small messages would cost memory that is billed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_jobs::Record;
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::pressure;
use corianderfork_jobs::record::State;
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::access::Identity;
use crate::allowance;
use crate::delivery::{Delivery, Outcome};
use crate::division;
use crate::duty::FormerHolder;
use crate::http::{CallError, Client};

/// How long a peer may take to respond.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout of requests that are repeated often: a response takes a few milliseconds,
/// and the next request follows soon.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the reply to [`Message::State`] may wait for the write of the job's end.
pub const END_WAIT: Duration = Duration::from_millis(400);

/// The kind of calls to peers, in counts.
const KIND: &str = "peer";

/// A request or notification to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Message {
    /// Notifies the owner of a pool of an accepted job.
    Accepted {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
        /// The job.
        record: Box<Record>,
        /// The store's revision of the acceptance.
        revision: u64,
        /// Whether [`Reply::Accepted`] is wanted. Earlier versions don't send it.
        #[serde(default, skip_serializing_if = "is_false")]
        wants_pressure: bool,
        /// The outline of the report that the sender has. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_pressure: Option<u32>,
        /// Whether the sender reads [`Reply::Full`]. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "is_false")]
        reads_full: bool,
    },
    /// Asks the owner of a pool whether it takes further jobs: it replies [`Reply::Done`] or
    /// [`Reply::Full`]. Earlier versions don't know it.
    Room {
        /// The pool.
        pool: String,
    },
    /// Asks the owner of a pool for the state of a job.
    State {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
        /// Who asks. Earlier versions don't send it.
        #[serde(default)]
        identity: Identity,
        /// The queue whose report is wanted in [`Reply::Unknown`], before a job is refused.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wants_pressure: Option<String>,
        /// The job that is to be refused. Earlier versions neither send nor read it: they reply with
        /// a report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        question: Option<pressure::Question>,
        /// Whether the reply may wait for the write of the job's end, up to [`END_WAIT`]. Earlier
        /// versions neither send nor read it.
        #[serde(default, skip_serializing_if = "is_false")]
        awaits_end: bool,
    },
    /// Asks the owner of a pool to cancel a job.
    Cancel {
        /// The pool.
        pool: String,
        /// The job's id.
        id: String,
        /// Who asks. Earlier versions don't send it.
        #[serde(default)]
        identity: Identity,
    },
    /// Asks the owner of a pool for parts of organisations' limits.
    Allowance {
        /// The pool that is asked.
        pool: String,
        /// The pool that gets the parts.
        taker: String,
        /// What it lacks.
        requests: Vec<allowance::Request>,
    },
    /// Asks the owner of a pool how many jobs of a queue have not started.
    Queued {
        /// The pool.
        pool: String,
        /// The queue.
        queue: String,
    },
    /// Asks the owner of a pool to vacate workers and to report which are empty.
    Vacate {
        /// The pool.
        pool: String,
        /// The workers' instance ids.
        workers: Vec<String>,
        /// Instance ids of workers that stay in use, of which only the time until they would be
        /// empty is asked. Earlier versions don't send it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        candidates: Vec<String>,
    },
    /// Notifies the owner of a pool that workers' VMs were moved or maintained.
    Gone {
        /// The pool.
        pool: String,
        /// The workers' instance ids.
        workers: Vec<String>,
    },
    /// Asks the owner of a pool for its load.
    Load {
        /// The pool.
        pool: String,
        /// Instance ids of workers that have recently arrived in the pool.
        arrived: Vec<String>,
        /// Whether VMs are on their way to the pool.
        expects: bool,
        /// How many workers the pool is to have, where the owner needs to know. Earlier versions
        /// don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        target: Option<u32>,
        /// The pool's parts of the rates that organisations are owed, in ten thousandths, of those
        /// of which it reported arrivals; `None` if there is nothing new. Earlier versions neither
        /// send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        meter_parts: Option<BTreeMap<String, u32>>,
        /// The version of `meter_parts`. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        meter_version: Option<division::Version>,
        /// What changed in the parts since the last message, instead of `meter_parts`: only for an
        /// owner that confirmed that message with `holds_parts`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        meter_change: Option<division::Change>,
        /// Instance ids of workers among the `silent` ones of the last reply that no VM runs any
        /// more. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        ended: Vec<String>,
    },
    /// Asks the owner of a pool to keep some workers and to vacate the others.
    Shrink {
        /// The pool.
        pool: String,
        /// How many workers to keep.
        keep: u32,
        /// The pool's share of the VMs that other pools miss and that neither come nor are free.
        /// Earlier versions don't send it.
        #[serde(default, skip_serializing_if = "is_zero")]
        missing: u32,
    },
    /// Notifies a former holder that the duty has a new holder.
    Retire {
        /// The duty.
        duty: String,
        /// The fence of the new holder.
        fence: u64,
    },
    /// Asks a peer to request advice: the advice service handles one request at a time
    /// from each VM.
    Advise {
        /// The job's id.
        job: String,
        /// The occurrence.
        occurrence: u32,
        /// The step.
        step: u32,
        /// The workers' instance ids.
        workers: Vec<String>,
        /// How long it may take, in milliseconds.
        within_ms: u64,
    },
    /// Asks a peer to remember that a job may be stored, since a write of it had no
    /// response.
    Unsure {
        /// The job's id.
        id: String,
    },
    /// Asks whether a job may be stored by an attempt whose outcome is unknown.
    Tried {
        /// The job's id.
        id: String,
    },
    /// Asks a peer to deliver orders to workers. Earlier versions don't know it.
    Deliver {
        /// The orders.
        deliveries: Vec<Delivery>,
        /// How long a worker may take to answer, in milliseconds.
        within_ms: u64,
    },
    /// Asks a peer to call the store, which rejects the sender.
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

impl Message {
    /// Returns the pool whose owner the request is for; empty if it is for no owner.
    pub fn pool(&self) -> &str {
        match self {
            Self::Accepted { pool, .. }
            | Self::Room { pool }
            | Self::State { pool, .. }
            | Self::Cancel { pool, .. }
            | Self::Queued { pool, .. }
            | Self::Vacate { pool, .. }
            | Self::Shrink { pool, .. }
            | Self::Gone { pool, .. }
            | Self::Allowance { pool, .. }
            | Self::Load { pool, .. } => pool,
            Self::Retire { .. }
            | Self::Advise { .. }
            | Self::Unsure { .. }
            | Self::Tried { .. }
            | Self::Deliver { .. }
            | Self::Store { .. } => "",
        }
    }
}

/// A reply of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
pub enum Reply {
    /// The request was carried out.
    Done,
    /// The receiver doesn't own the pool.
    NotOwner,
    /// The job doesn't exist or isn't known here.
    Unknown {
        /// Which jobs of the queue can't be served, if that was asked for, some can't be, and the
        /// pool is certain to be the sender's.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pressure: Option<pressure::Report>,
        /// Whether the next job of the caller's organisation would be beyond what it is owed, if
        /// the report was asked for.
        #[serde(default, skip_serializing_if = "is_false")]
        exceeds_owed: bool,
        /// Why the job of the question would be refused. Earlier versions don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        lack: Option<pressure::Lack>,
        /// Whether some jobs can't be served, and the sender of the question needs no newer report
        /// than it has. A `lack` without a report says that too.
        #[serde(default, skip_serializing_if = "is_false")]
        is_known: bool,
    },
    /// The owner knows the accepted job, and was asked for a report.
    Accepted {
        /// Which jobs of the queue can't be served; `None` if all can be, or if too little is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pressure: Option<pressure::Report>,
        /// Whether the next job of the job's organisation would be beyond what it is owed.
        #[serde(default, skip_serializing_if = "is_false")]
        exceeds_owed: bool,
        /// Whether the report still has the outline that the sender knows, and is left out.
        #[serde(default, skip_serializing_if = "is_false")]
        is_known: bool,
    },
    /// The request was carried out, and the owner holds as many jobs as it can. Only sent to those
    /// that say that they read it.
    Full,
    /// The job belongs to another organisation.
    Foreign,
    /// The divisions of the limits that were asked for, as far as known.
    Allowance {
        /// By organisation.
        records: Vec<allowance::Record>,
    },
    /// The state of a job.
    State {
        /// The state.
        state: State,
    },
    /// The job has ended, and whether that is written isn't known: the state has to be
    /// read from the store.
    Ending,
    /// The job was accepted; another process may know a newer state.
    Known,
    /// The change could not be written in time; retry later.
    Later,
    /// How many jobs have not started.
    Queued {
        /// The number.
        jobs: usize,
    },
    /// Which workers have been vacated.
    Vacated {
        /// The instance ids of the empty workers.
        empty: Vec<String>,
        /// The predicted times until workers are empty, in milliseconds. Earlier versions don't
        /// send them.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        busy_ms: BTreeMap<String, u64>,
    },
    /// The load of the pool.
    Load {
        /// The load.
        load: Box<Load>,
        /// The requested instances that are included in the load.
        counted: Vec<String>,
        /// The jobs a second by organisation, at most 64, the largest first; `None` if the request
        /// had no `meter_parts`. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        arrivals: Option<Vec<(String, f64)>>,
        /// What changed in `arrivals` since the last reply, instead of them: only if the request has
        /// a `meter_change`, which confirms that reply.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        arrival_changes: Option<division::Difference<f64>>,
        /// Whether the sender holds the parts of the version that it was sent, and reads differences
        /// to it. Earlier versions don't send it.
        #[serde(default, skip_serializing_if = "is_false")]
        holds_parts: bool,
        /// Instance ids of workers that don't answer. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        silent: Vec<String>,
    },
    /// Workers that are empty and may leave the pool.
    Spare {
        /// Their instance ids.
        workers: Vec<String>,
    },
    /// How long the grants on workers hold, in milliseconds.
    Retired {
        /// By worker instance; `None` if the duty was not held.
        grants: Option<BTreeMap<String, u64>>,
        /// The process that responds.
        #[serde(default)]
        process: Option<FormerHolder>,
    },
    /// Which workers may run a step.
    Advised {
        /// Their instance ids and tickets; `None` if no advice was received.
        good: Option<Vec<(String, String)>>,
        /// How long the tickets are valid, in milliseconds.
        valid_ms: u64,
    },
    /// Whether a job may be stored although no attempt was confirmed.
    Tried {
        /// Whether it may be.
        is_unsure: bool,
    },
    /// What became of the orders, in their order.
    Delivered {
        /// The outcomes.
        outcomes: Vec<Outcome>,
    },
    /// The store's response.
    Store {
        /// The status; 0 for no response.
        status: u16,
        /// Whether the call was sent.
        sent: bool,
        /// The body.
        body: String,
    },
}

impl Reply {
    /// The job is unknown, and no report was asked for.
    pub(crate) const UNKNOWN: Self =
        Self::Unknown { pressure: None, exceeds_owed: false, lack: None, is_known: false };
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Sends a request to a peer and returns its reply.
///
/// # Errors
///
/// Fails if there is no valid reply.
pub async fn send(
    client: &Rc<Client>,
    peer: SocketAddr,
    message: &Message,
    within: Duration,
) -> Result<Reply, CallError> {
    parse_reply(client.call(KIND, peer, &build_call(message), within).await?)
}

/// Like [`send`], for a reply that may be large: `within` bounds the time until the head of
/// the response arrives; see `Client::call_large`.
///
/// # Errors
///
/// Fails if there is no valid reply.
pub async fn send_large(
    client: &Rc<Client>,
    peer: SocketAddr,
    message: &Message,
    within: Duration,
) -> Result<Reply, CallError> {
    parse_reply(client.call_large(KIND, peer, &build_call(message), within, |_| {}).await?)
}

fn build_call(message: &Message) -> Call {
    let body = serde_json::to_vec(message).unwrap_or_default();
    Call { method: "POST", target: "/peer".to_owned(), headers: Vec::new(), body }
}

fn parse_reply((status, body): (u16, Bytes)) -> Result<Reply, CallError> {
    match status {
        200 => {}
        // A peer of another version, which doesn't know the request.
        400 => return Err(CallError::Unsent),
        _ => return Err(CallError::Lost),
    }
    serde_json::from_slice(&body).map_err(|_| CallError::Lost)
}
