//! Keeps up with the keys that every process shares: one read of all, then
//! watches, on a thread of its own.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use corianderfork_coord::backoff::{self, Backoff};
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Error, Range, Revision, Store};

use crate::core::Full;
use crate::port::Port;

/// The least wait after a failure, whatever peers show.
const LEAST_WAIT: Duration = Duration::from_millis(10);

/// What became known.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Outcome {
    /// All entries, replacing what was known before.
    Snapshot(Range),
    /// Changes since.
    Changes(Changes),
    /// The store did not answer, or not in time.
    Failed(Error),
}

/// News with the time at which the call behind it was sent: what it shows was
/// true no earlier than then.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Update {
    /// When the call was sent.
    pub sent: Instant,
    /// How long before that the answer to the watch before came. What was written meanwhile
    /// is known to nobody if the store goes down within this time.
    pub gap: Option<Duration>,
    /// What it brought.
    pub outcome: Outcome,
}

/// How to keep up.
#[derive(Clone, Debug)]
pub struct Config {
    prefix: &'static str,
    wait: Duration,
    backoff: backoff::Config,
}

impl Default for Config {
    fn default() -> Self {
        let backoff = backoff::Config::new()
            .first(Duration::from_millis(100))
            .max(Duration::from_millis(500));
        Self { prefix: key::SHARED, wait: Duration::from_millis(1500), backoff }
    }
}

impl Config {
    /// Keeps up with the keys that begin with `prefix`, in place of all shared ones.
    #[must_use]
    pub fn prefix(mut self, prefix: &'static str) -> Self {
        self.prefix = prefix;
        self
    }

    /// How long one watch waits.
    ///
    /// A watch's connection can go silent for good while it looks open; the
    /// process would then miss every change and never notice. Ending each
    /// watch after this time, and its connection with it when the answer stays
    /// out, bounds what can be missed. A shorter wait costs calls: one watch a
    /// process each `wait`.
    #[must_use]
    pub fn wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// How long to wait after failures.
    #[must_use]
    pub fn backoff(mut self, backoff: backoff::Config) -> Self {
        self.backoff = backoff;
        self
    }
}

/// Ends the waits of readers that could not reach the store, once a peer shows that it
/// reaches it.
///
/// ```
/// use corianderfork_runtime::sync::Waker;
/// use std::time::{Duration, Instant};
///
/// let waker = Waker::default();
/// let woken = waker.clone();
/// let peer = std::thread::spawn(move || woken.wake(7));
/// let begun = Instant::now();
/// assert_eq!(waker.wait(6, Duration::from_secs(60)), 7);
/// assert!(begun.elapsed() < Duration::from_secs(60));
/// # peer.join().unwrap();
/// ```
#[derive(Clone, Debug, Default)]
pub struct Waker(Arc<(Mutex<u64>, Condvar)>);

impl Waker {
    /// A peer, or another reader of this process, has read the store at `revision`. Whether
    /// none had at so new a one.
    pub fn wake(&self, revision: u64) -> bool {
        let (newest, changed) = &*self.0;
        let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
        let is_news = revision > *newest;
        if is_news {
            *newest = revision;
            changed.notify_all();
        }
        is_news
    }

    /// Waits for `longest`, or until a peer has read the store at a revision after `known`.
    /// Gives the newest one that a peer has read it at: who passes that on as known is woken
    /// once a change, and not by each report of its peers.
    pub fn wait(&self, known: u64, longest: Duration) -> u64 {
        let (newest, changed) = &*self.0;
        let newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(newest, longest, |newest| *newest <= known);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Starts the thread; it ends with the core. After a failure `waker` ends its wait.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start(
    store: Arc<dyn Store>,
    config: Config,
    seed: u64,
    waker: Waker,
    port: Port<Update>,
) -> std::io::Result<()> {
    let mut reader = Reader {
        store,
        prefix: config.prefix,
        wait: config.wait,
        backoff: Backoff::new(config.backoff, seed),
        waker,
        port,
        after: None,
        shown: 0,
        answered: None,
    };
    std::thread::Builder::new()
        .name("sync".to_owned())
        .spawn(move || while reader.turn().is_ok() {})?;
    Ok(())
}

struct Reader {
    store: Arc<dyn Store>,
    prefix: &'static str,
    wait: Duration,
    backoff: Backoff,
    waker: Waker,
    port: Port<Update>,
    /// Up to where all is known; `None` asks for a read of all.
    after: Option<Revision>,
    /// The newest revision at which this process or a peer has read the store.
    shown: u64,
    /// When the last call brought an answer; `None` after one that failed.
    answered: Option<Instant>,
}

impl Reader {
    fn turn(&mut self) -> Result<(), Full> {
        let sent = Instant::now();
        let gap = self.answered.take().map(|answered| sent - answered);
        let outcome = match self.after {
            None => self.store.range(self.prefix).map(Outcome::Snapshot),
            Some(after) => self.store.watch(self.prefix, after, self.wait).map(Outcome::Changes),
        };
        match outcome {
            Ok(outcome) => self.learned(sent, gap, outcome),
            Err(error) => self.failed(sent, gap, error),
        }
    }

    fn learned(
        &mut self,
        sent: Instant,
        gap: Option<Duration>,
        outcome: Outcome,
    ) -> Result<(), Full> {
        self.answered = Some(Instant::now());
        self.backoff.reset();
        self.after = match &outcome {
            Outcome::Snapshot(range) => Some(range.revision),
            Outcome::Changes(changes) => Some(changes.revision),
            Outcome::Failed(_) => self.after,
        };
        self.shown = self.shown.max(self.after.map_or(0, |revision| revision.0));
        self.port.send_wait(Update { sent, gap, outcome })
    }

    fn failed(&mut self, sent: Instant, gap: Option<Duration>, error: Error) -> Result<(), Full> {
        if error == Error::Compacted {
            self.after = None;
        }
        self.port.send_wait(Update { sent, gap, outcome: Outcome::Failed(error) })?;
        // All processes lose the store at the same moment; without jitter they
        // would all come back at the same moment too, and take it down again.
        std::thread::sleep(LEAST_WAIT);
        let longest = self.backoff.next_wait().saturating_sub(LEAST_WAIT);
        self.shown = self.shown.max(self.waker.wait(self.shown, longest));
        Ok(())
    }
}
