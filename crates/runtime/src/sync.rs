//! Replicates a prefix of the store on a separate thread: one full read, then a
//! series of watches.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use corianderfork_coord::backoff::{self, Backoff};
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Error, Range, Revision, Store};

use crate::core::Full;
use crate::port::Port;

/// The minimum wait after a failure, regardless of wake-ups.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// The result of one read or watch.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Outcome {
    /// All entries. Replaces everything received before.
    Snapshot(Range),
    /// The changes since the previous outcome.
    Changes(Changes),
    /// The call failed or timed out.
    Failed(Error),
}

/// The outcome of a call and the time when the call was sent. The outcome shows
/// the state of the store at that time or later.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Update {
    /// When the call was sent.
    pub sent: Instant,
    /// The time between the previous response and this call; `None` if there was no
    /// such response. If the store fails in this interval, no process knows of
    /// the writes made in it.
    pub gap: Option<Duration>,
    /// The result of the call.
    pub outcome: Outcome,
}

/// The prefix, watch duration and backoff of a reader.
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
    /// Sets the prefix of the keys to replicate. The default is [`key::SHARED`].
    #[must_use]
    pub fn prefix(mut self, prefix: &'static str) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the duration of one watch.
    ///
    /// The connection of a watch can go silent permanently while it looks open,
    /// and the process would miss all changes unnoticed. Ending each watch after
    /// this time, and closing its connection if there is no response, limits
    /// that to one watch. A shorter duration costs more calls: each process
    /// sends one watch per `wait`.
    #[must_use]
    pub fn wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the backoff after failures.
    #[must_use]
    pub fn backoff(mut self, backoff: backoff::Config) -> Self {
        self.backoff = backoff;
        self
    }
}

/// Ends the backoff of readers that failed to reach the store as soon as a peer
/// proves that the store is reachable.
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
    /// Records that a peer or another reader of this process has read the store at
    /// `revision`. Returns whether that is newer than all revisions recorded before.
    pub fn wake(&self, revision: u64) -> bool {
        let (newest, changed) = &*self.0;
        let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = revision > *newest;
        if is_newer {
            *newest = revision;
            changed.notify_all();
        }
        is_newer
    }

    /// Waits until a revision newer than `known` is recorded, at most for `timeout`.
    ///
    /// Returns the newest recorded revision. A caller that passes it as `known` to
    /// the next wait is woken once per change, not by every report of a peer.
    pub fn wait(&self, known: u64, timeout: Duration) -> u64 {
        let (newest, changed) = &*self.0;
        let newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(newest, timeout, |newest| *newest <= known);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Starts a reader thread that sends an [`Update`] to `port` after each call and
/// ends with the event loop. `waker` can end its wait after a failure.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
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
        known_revision: 0,
        last_response: None,
    };
    std::thread::Builder::new()
        .name("sync".to_owned())
        .spawn(move || while reader.run_once().is_ok() {})?;
    Ok(())
}

struct Reader {
    store: Arc<dyn Store>,
    prefix: &'static str,
    wait: Duration,
    backoff: Backoff,
    waker: Waker,
    port: Port<Update>,
    /// The revision to watch from; `None` requests a full read.
    after: Option<Revision>,
    /// The newest revision at which this process or a peer has read the store.
    known_revision: u64,
    /// When the last response arrived; `None` after a failed call.
    last_response: Option<Instant>,
}

impl Reader {
    fn run_once(&mut self) -> Result<(), Full> {
        let sent = Instant::now();
        let gap = self.last_response.take().map(|last_response| sent - last_response);
        let result = match self.after {
            None => self.store.range(self.prefix).map(Outcome::Snapshot),
            Some(after) => self.store.watch(self.prefix, after, self.wait).map(Outcome::Changes),
        };
        match result {
            Ok(outcome) => self.on_success(sent, gap, outcome),
            Err(error) => self.on_failure(sent, gap, error),
        }
    }

    fn on_success(
        &mut self,
        sent: Instant,
        gap: Option<Duration>,
        outcome: Outcome,
    ) -> Result<(), Full> {
        self.last_response = Some(Instant::now());
        self.backoff.reset();
        self.after = match &outcome {
            Outcome::Snapshot(range) => Some(range.revision),
            Outcome::Changes(changes) => Some(changes.revision),
            Outcome::Failed(_) => self.after,
        };
        self.known_revision = self.known_revision.max(self.after.map_or(0, |revision| revision.0));
        self.port.send_wait(Update { sent, gap, outcome })
    }

    fn on_failure(
        &mut self,
        sent: Instant,
        gap: Option<Duration>,
        error: Error,
    ) -> Result<(), Full> {
        if error == Error::Compacted {
            self.after = None;
        }
        self.port.send_wait(Update { sent, gap, outcome: Outcome::Failed(error) })?;
        // All processes lose the store at the same time. Without jitter they
        // would all return at the same time and overload it again.
        std::thread::sleep(MIN_WAIT);
        let timeout = self.backoff.next_wait().saturating_sub(MIN_WAIT);
        self.known_revision =
            self.known_revision.max(self.waker.wait(self.known_revision, timeout));
        Ok(())
    }
}
