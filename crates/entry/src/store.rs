//! Client of the platform's store.

mod routing;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{self, Item, Outcome, Page, Reading, Txn, Update};
use corianderfork_adapter::{Call, Fault};
use corianderfork_model::Time;
use hyper::body::Bytes;

use crate::clock;
use crate::http::{CallError, Client};
use crate::metrics::Metrics;
use crate::outage::Outage;
use crate::trace::Trace;
use routing::{PROBE_KEY, WATCH};

/// How long the store may take to respond. It takes milliseconds, or some hundreds of them
/// when it is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// How much longer a watch may take than the wait that it asks for.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// The most pages of one read, so that it always ends.
const MAX_PAGES: usize = 2_000;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call had no effect.
    #[error("{0}; nothing was done")]
    NotDone(String),
    /// The call may have been carried out, or may still be.
    #[error("no response from the store; the call may have been carried out")]
    Unknown,
}

/// Makes a call through peers while the store rejects this VM.
pub type Relay = Rc<dyn Fn(Call, Duration) -> RelayFuture>;
/// The future response to a relayed call.
pub type RelayFuture =
    std::pin::Pin<Box<dyn std::future::Future<Output = Result<(u16, Bytes), CallError>>>>;

/// Client of the store.
pub struct Store {
    address: SocketAddr,
    client: Rc<Client>,
    trace: Trace,
    metrics: Metrics,
    relay: RefCell<Option<Relay>>,
    /// When the store last responded, to this VM or through a peer.
    last_response: Cell<Time>,
    /// Whether the last direct call got a response.
    is_direct: Cell<bool>,
    /// When the next direct call may be tried.
    retry_direct: Cell<Time>,
    outage: RefCell<Outage>,
}

impl Store {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr, client: Rc<Client>, trace: Trace, metrics: Metrics) -> Self {
        Self {
            address,
            client,
            trace,
            metrics,
            relay: RefCell::new(None),
            last_response: Cell::new(Time::ZERO),
            is_direct: Cell::new(true),
            retry_direct: Cell::new(Time::ZERO),
            outage: RefCell::default(),
        }
    }

    /// Sets the function that makes calls through peers.
    pub fn set_relay(&self, relay: Relay) {
        *self.relay.borrow_mut() = Some(relay);
    }

    /// Returns when the store last responded.
    pub fn last_response(&self) -> Time {
        self.last_response.get()
    }

    /// Whether the store is considered down, for this VM and its peers.
    pub fn is_down(&self) -> bool {
        self.outage.borrow().is_down(clock::now())
    }

    /// Returns whether the store answers, which is only asked if something failed since its last
    /// response.
    pub async fn is_answering(&self) -> bool {
        let is_suspected = self.outage.borrow().is_suspected();
        !is_suspected || self.get(PROBE_KEY).await.is_ok()
    }

    /// Returns the evidence for [`Store::is_down`], for the log: the time since the last
    /// response and the number of calls that have failed since.
    pub fn evidence(&self) -> (Duration, u32) {
        self.outage.borrow().evidence(clock::now())
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Ok(self.read(key).await?.item)
    }

    /// Reads a key together with the store's revision.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn read(&self, key: &str) -> Result<Reading, Error> {
        let (status, body) =
            self.call(&store::get(key), "get", RESPONSE_TIMEOUT).await.map_err(from_call_error)?;
        store::parse_get(status, &body).map_err(from_fault)
    }

    /// Reads all keys with a prefix, page by page. Returns the revision of the first page:
    /// a watch from there sees all changes made while reading.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), Error> {
        self.range_after(prefix, None).await
    }

    async fn range_after(
        &self,
        prefix: &str,
        start: Option<&str>,
    ) -> Result<(Vec<Item>, u64), Error> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        for _ in 0..MAX_PAGES {
            let last = items.last().map(|item| item.key.clone());
            let page = self.page(prefix, last.as_deref().or(start)).await?;
            revision.get_or_insert(page.revision);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                break;
            }
        }
        Ok((items, revision.unwrap_or(0)))
    }

    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, Error> {
        let call = store::range(prefix, after, false);
        let (status, body) =
            self.call(&call, "range", RESPONSE_TIMEOUT).await.map_err(from_call_error)?;
        store::parse_range(status, &body).map_err(from_fault)
    }

    /// Like [`Store::range`], for keys that consist of the prefix and a hexadecimal number. If they
    /// don't fit into one page, the others are read in parallel by their first digit: a connection
    /// carries far less than the link when the store is some milliseconds away.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn range_numbers(&self, prefix: &str) -> Result<(Vec<Item>, u64), Error> {
        let first = self.page(prefix, None).await?;
        let mut items = first.items;
        let last = items.last().filter(|_| first.more).map(|item| item.key.clone());
        let Some(last) = last else { return Ok((items, first.revision)) };
        let last_digit = last.as_bytes().get(prefix.len()).copied().unwrap_or(b'0');
        let read = |digit: char| {
            let (last, prefix) = (last.as_str(), format!("{prefix}{digit}"));
            async move {
                if !digit.is_ascii() || (digit as u8) < last_digit {
                    return Ok((Vec::new(), 0));
                }
                let start = (digit as u8 == last_digit).then_some(last);
                self.range_after(&prefix, start).await
            }
        };
        let (a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p) = tokio::join!(
            read('0'),
            read('1'),
            read('2'),
            read('3'),
            read('4'),
            read('5'),
            read('6'),
            read('7'),
            read('8'),
            read('9'),
            read('a'),
            read('b'),
            read('c'),
            read('d'),
            read('e'),
            read('f'),
        );
        for part in [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p] {
            items.extend(part?.0);
        }
        Ok((items, first.revision))
    }

    /// Waits for changes, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Update, Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(1_000);
        let call = store::watch(prefix, after, wait_ms);
        let (status, body) =
            self.call(&call, WATCH, wait + WATCH_SLACK).await.map_err(from_call_error)?;
        store::parse_watch(status, &body).map_err(from_fault)
    }

    /// Applies a transaction: changes keys if its conditions hold.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn txn(&self, txn: &Txn) -> Result<Outcome, Error> {
        let (status, body) =
            self.call(&store::txn(txn), "txn", RESPONSE_TIMEOUT).await.map_err(from_call_error)?;
        store::parse_txn(status, &body).map_err(from_fault)
    }

    /// Creates a lease. Returns its number and its time to live.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn lease(&self, ttl: Duration) -> Result<(u64, Duration), Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(1_000);
        let (status, body) = self
            .call(&store::grant_lease(ttl_ms), "lease", RESPONSE_TIMEOUT)
            .await
            .map_err(from_call_error)?;
        let (lease, ttl_ms) = store::parse_lease(status, &body).map_err(from_fault)?;
        Ok((lease, Duration::from_millis(ttl_ms)))
    }

    /// Renews a lease. Returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond.
    pub async fn keep(&self, lease: u64) -> Result<bool, Error> {
        let (status, _) = self
            .call(&store::renew_lease(lease), "keep", RESPONSE_TIMEOUT)
            .await
            .map_err(from_call_error)?;
        store::parse_renewal(status).map_err(from_fault)
    }

    /// Revokes a lease; if this fails, it expires.
    pub async fn end(&self, lease: u64) {
        let _ = self.call(&store::revoke_lease(lease), "end", RESPONSE_TIMEOUT).await;
    }
}

fn from_call_error(from_call_error: CallError) -> Error {
    match from_call_error {
        CallError::Unsent => Error::NotDone("the store can't be reached".to_owned()),
        CallError::Lost => Error::Unknown,
    }
}

fn from_fault(from_fault: Fault) -> Error {
    match from_fault {
        Fault::Refused(_) => Error::NotDone(from_fault.to_string()),
        // Any other failure leaves open whether the call was carried out.
        _ => Error::Unknown,
    }
}
