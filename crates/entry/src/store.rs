//! The platform's store, as the daemon calls it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{self, Item, Outcome, Page, Reading, Txn, Watched};
use corianderfork_adapter::{Call, Fault};
use corianderfork_model::Time;
use hyper::body::Bytes;

use crate::clock;
use crate::http::{Client, Failed};
use crate::metrics::Metrics;
use crate::outage::Outage;
use crate::trace::Trace;

/// How long an answer of the store may take. It answers in milliseconds; when it
/// is slow, in some hundreds.
const ANSWER: Duration = Duration::from_millis(800);
/// How much longer than it was asked to wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// The kind of calls that wait for changes.
const WATCH: &str = "watch";
/// The pause between two probes while the store is away.
const PROBE: Duration = Duration::from_millis(200);
/// A key that is read to see whether the store answers; it need not be there.
const PROBE_KEY: &str = "entry/probe";
/// Pages of one read: a bound on a read that never ends.
const MAX_PAGES: usize = 2_000;

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was done.
    #[error("{0}; nothing was done")]
    NotDone(String),
    /// It may have been done, or may still be.
    #[error("no answer from the store; it may have been done")]
    Unknown,
}

/// What else reaches the store when this VM is turned away: calls through peers.
pub type Relay = Rc<dyn Fn(Call, Duration) -> RelayFuture>;
/// The answer to a relayed call.
pub type RelayFuture =
    std::pin::Pin<Box<dyn std::future::Future<Output = Result<(u16, Bytes), Failed>>>>;

/// Calls the store.
pub struct Store {
    address: SocketAddr,
    client: Rc<Client>,
    trace: Trace,
    metrics: Metrics,
    relay: RefCell<Option<Relay>>,
    /// When it last answered, to this VM or through a peer.
    answered: Cell<Time>,
    /// Whether the last direct call was answered.
    is_direct: Cell<bool>,
    /// When a direct call is tried again.
    retry_direct: Cell<Time>,
    outage: RefCell<Outage>,
}

/// How long a VM that was turned away uses its peers before it tries again.
const DETOUR: Duration = Duration::from_millis(700);

impl Store {
    /// The store at `address`.
    pub fn new(address: SocketAddr, client: Rc<Client>, trace: Trace, metrics: Metrics) -> Self {
        Self {
            address,
            client,
            trace,
            metrics,
            relay: RefCell::new(None),
            answered: Cell::new(Time::ZERO),
            is_direct: Cell::new(true),
            retry_direct: Cell::new(Time::ZERO),
            outage: RefCell::default(),
        }
    }

    /// Sets how peers are asked to make a call.
    pub fn set_relay(&self, relay: Relay) {
        *self.relay.borrow_mut() = Some(relay);
    }

    /// When the store last answered.
    pub fn answered(&self) -> Time {
        self.answered.get()
    }

    /// Whether the store is taken to be away, for this VM and its peers.
    pub fn is_away(&self) -> bool {
        self.outage.borrow().is_away(clock::now())
    }

    /// What [`Store::is_away`] rests on, for the log: how long ago it last
    /// answered, and how many calls have failed since.
    pub fn evidence(&self) -> (Duration, u32) {
        self.outage.borrow().evidence(clock::now())
    }

    /// Asks the store now and then while it is away, so that its return is noticed
    /// by one small call and not by those of callers.
    pub async fn probe(&self) {
        loop {
            tokio::time::sleep(PROBE).await;
            if self.is_away() {
                let answer = self.direct(&store::get(PROBE_KEY), "probe", ANSWER).await;
                if matches!(&answer, Ok((status, _)) if *status != 429 && *status != 503) {
                    self.outage.borrow_mut().heard(clock::now());
                    // Connections of the time before may be silent for good.
                    self.retry_direct.set(Time::ZERO);
                }
            }
        }
    }

    /// Makes a call for a peer: once, and without a detour.
    pub async fn relayed(&self, call: &Call, within: Duration) -> Result<(u16, Bytes), Failed> {
        self.direct(call, "relayed", within).await
    }

    async fn direct(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        let begun = clock::now();
        let answer = self.client.call(self.address, call, within).await;
        let outcome = match &answer {
            Ok((429 | 503, _)) => "refused",
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        self.metrics.store(kind, outcome, clock::now() - begun);
        let is_answered = outcome == "answered";
        if is_answered {
            self.answered.set(clock::now());
        }
        if self.is_direct.replace(is_answered) != is_answered {
            let event = if is_answered { "store regained" } else { "store lost" };
            self.trace.key(event, serde_json::json!({ "call": kind, "outcome": outcome }));
        }
        answer
    }

    /// Makes a call, by way of a peer if this VM is turned away.
    ///
    /// A call that may have been done is made again by the peer: all calls here
    /// are reads or are bound to revisions, so that a second one does nothing.
    async fn call(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        // A watch is answered when something changes, and tells nothing by waiting.
        if kind == WATCH {
            let answer = self.call_any_way(call, kind, within).await;
            if is_answer(&answer) {
                self.outage.borrow_mut().heard(clock::now());
            }
            return answer;
        }
        let sent = self.outage.borrow_mut().sent(clock::now());
        let answer = self.call_any_way(call, kind, within).await;
        if is_answer(&answer) {
            self.outage.borrow_mut().answered(clock::now(), sent);
        } else {
            self.outage.borrow_mut().failed(sent);
        }
        answer
    }

    async fn call_any_way(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        let mut is_lost = false;
        let now = clock::now();
        if now >= self.retry_direct.get() {
            if !self.is_direct.get() {
                // One call tries; the others go on by way of peers, rather than
                // wait for a store that still doesn't answer this VM.
                self.retry_direct.set(now + ANSWER + DETOUR);
            }
            match self.direct(call, kind, within).await {
                Ok((status, body)) if status != 429 && status != 503 => {
                    self.retry_direct.set(Time::ZERO);
                    return Ok((status, body));
                }
                Ok(_) => {}
                Err(failed) => is_lost = failed == Failed::Lost,
            }
            self.retry_direct.set(clock::now() + DETOUR);
        }
        let relay = self.relay.borrow().clone();
        let answer = match relay {
            Some(relay) => relay(call.clone(), within).await,
            None => Err(Failed::Unsent),
        };
        match answer {
            Ok((status, body)) if status != 429 && status != 503 => {
                self.answered.set(clock::now());
                Ok((status, body))
            }
            Ok(answer) if !is_lost => Ok(answer),
            Err(Failed::Unsent) if !is_lost => Err(Failed::Unsent),
            _ => Err(Failed::Lost),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Ok(self.read(key).await?.item)
    }

    /// Reads a key, and tells at which revision of the store.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn read(&self, key: &str) -> Result<Reading, Error> {
        let (status, body) = self.call(&store::get(key), "get", ANSWER).await.map_err(failed)?;
        store::got(status, &body).map_err(fault)
    }

    /// Reads all keys with a prefix, page by page. The revision is that of the
    /// first page: what changed while reading is seen by a watch from there.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), Error> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        for _ in 0..MAX_PAGES {
            let after = items.last().map(|item| item.key.clone());
            let call = store::range(prefix, after.as_deref(), false);
            let (status, body) = self.call(&call, "range", ANSWER).await.map_err(failed)?;
            let page: Page = store::ranged(status, &body).map_err(fault)?;
            revision.get_or_insert(page.revision);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                break;
            }
        }
        Ok((items, revision.unwrap_or(0)))
    }

    /// Waits for changes, `wait` at most.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched, Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(1_000);
        let call = store::watch(prefix, after, wait_ms);
        let (status, body) = self.call(&call, WATCH, wait + WATCH_SLACK).await.map_err(failed)?;
        store::watched(status, &body).map_err(fault)
    }

    /// Changes keys under conditions.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn txn(&self, txn: &Txn) -> Result<Outcome, Error> {
        let (status, body) = self.call(&store::txn(txn), "txn", ANSWER).await.map_err(failed)?;
        store::txn_done(status, &body).map_err(fault)
    }

    /// Takes out a lease: its number and its time.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn lease(&self, ttl: Duration) -> Result<(u64, Duration), Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(1_000);
        let (status, body) =
            self.call(&store::lease(ttl_ms), "lease", ANSWER).await.map_err(failed)?;
        let (lease, ttl_ms) = store::leased(status, &body).map_err(fault)?;
        Ok((lease, Duration::from_millis(ttl_ms)))
    }

    /// Renews a lease. Whether it still is.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub async fn keep(&self, lease: u64) -> Result<bool, Error> {
        let (status, _) = self.call(&store::keep(lease), "keep", ANSWER).await.map_err(failed)?;
        store::kept(status).map_err(fault)
    }

    /// Ends a lease; it ends by itself if this fails.
    pub async fn end(&self, lease: u64) {
        let _ = self.call(&store::end(lease), "end", ANSWER).await;
    }
}

/// Whether the store itself answered, rather than turned the call away.
fn is_answer(answer: &Result<(u16, Bytes), Failed>) -> bool {
    matches!(answer, Ok((status, _)) if *status != 429 && *status != 503)
}

fn failed(failed: Failed) -> Error {
    match failed {
        Failed::Unsent => Error::NotDone("the store can't be reached".to_owned()),
        Failed::Lost => Error::Unknown,
    }
}

fn fault(fault: Fault) -> Error {
    match fault {
        Fault::Refused(_) => Error::NotDone(fault.to_string()),
        // Whatever it was, it isn't known that nothing was done.
        _ => Error::Unknown,
    }
}
