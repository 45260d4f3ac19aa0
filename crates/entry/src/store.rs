//! The platform's store, as the daemon calls it.

mod routing;

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
use routing::WATCH;

/// How long an answer of the store may take. It answers in milliseconds; when it
/// is slow, in some hundreds.
const ANSWER: Duration = Duration::from_millis(800);
/// How much longer than it was asked to wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(600);
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
