//! Replicates a prefix of the store on a separate thread: one full read, then a
//! series of watches.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
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
    prefix: String,
    wait: Duration,
    backoff: backoff::Config,
    wakes_on_revisions: bool,
}

impl Default for Config {
    fn default() -> Self {
        let backoff = backoff::Config::new()
            .first(Duration::from_millis(100))
            .max(Duration::from_millis(500));
        Self {
            prefix: key::SHARED.to_owned(),
            wait: Duration::from_millis(1500),
            backoff,
            wakes_on_revisions: true,
        }
    }
}

impl Config {
    /// Sets the prefix of the keys to replicate. The default is [`key::SHARED`].
    #[must_use]
    pub fn prefix(mut self, prefix: impl Into<String>) -> Self {
        self.prefix = prefix.into();
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

    /// Limits what ends the backoff to [`Waker::wake_recovered`].
    ///
    /// A store that serves some calls and refuses others shows newer revisions all the
    /// time, and many readers that call it again after each of them would overload it.
    #[must_use]
    pub fn wake_on_recovery_only(mut self) -> Self {
        self.wakes_on_revisions = false;
        self
    }
}

/// What proves that the store is reachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Signals {
    /// The newest revision at which this process or a peer has read the store.
    pub revision: u64,
    /// How often a reader of this process has reached the store again.
    pub recoveries: u64,
}

/// Ends the backoff of readers that failed to reach the store as soon as a peer or
/// another reader proves that the store is reachable.
///
/// ```
/// use corianderfork_runtime::sync::Waker;
/// use std::time::{Duration, Instant};
///
/// let waker = Waker::default();
/// let known = waker.signals();
/// let woken = waker.clone();
/// let peer = std::thread::spawn(move || woken.wake(7));
/// let begun = Instant::now();
/// assert_eq!(waker.wait(known, Duration::from_secs(60)).revision, 7);
/// assert!(begun.elapsed() < Duration::from_secs(60));
/// # peer.join().unwrap();
/// ```
#[derive(Clone, Debug, Default)]
pub struct Waker(Arc<(Mutex<Signals>, Condvar)>);

impl Waker {
    /// Returns the signals recorded so far.
    pub fn signals(&self) -> Signals {
        *self.lock()
    }

    /// Records that a peer or another reader of this process has read the store at
    /// `revision`. Returns whether that is newer than all revisions recorded before.
    pub fn wake(&self, revision: u64) -> bool {
        let mut signals = self.lock();
        let is_newer = revision > signals.revision;
        if is_newer {
            signals.revision = revision;
            self.0.1.notify_all();
        }
        is_newer
    }

    /// Records that a reader of this process has reached the store again after a
    /// failure.
    pub fn wake_recovered(&self) {
        self.lock().recoveries += 1;
        self.0.1.notify_all();
    }

    /// Waits until a signal newer than `known` is recorded, at most for `timeout`.
    ///
    /// Returns the recorded signals. A caller that passes them as `known` to the
    /// next wait is woken once per change, not by every report of a peer.
    pub fn wait(&self, known: Signals, timeout: Duration) -> Signals {
        let is_known = |signals: &mut Signals| {
            signals.revision <= known.revision && signals.recoveries <= known.recoveries
        };
        let waited = self.0.1.wait_timeout_while(self.lock(), timeout, is_known);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn lock(&self) -> MutexGuard<'_, Signals> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stops a reader.
#[derive(Clone, Debug, Default)]
pub struct Handle(Arc<AtomicBool>);

impl Handle {
    /// Ends the reader after its current call, whose update is still sent.
    pub fn stop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts a reader thread that sends an [`Update`] to `port` after each call and
/// ends with the event loop or when it is stopped. `waker` can end its wait after a
/// failure.
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
) -> std::io::Result<Handle> {
    let mut reader = Reader {
        store,
        prefix: config.prefix,
        wait: config.wait,
        backoff: Backoff::new(config.backoff, seed),
        waker,
        wakes_on_revisions: config.wakes_on_revisions,
        port,
        after: None,
        known: Signals::default(),
        last_response: None,
    };
    let handle = Handle::default();
    let stopped = handle.clone();
    std::thread::Builder::new()
        .name("sync".to_owned())
        .spawn(move || while !stopped.is_stopped() && reader.run_once().is_ok() {})?;
    Ok(handle)
}

struct Reader {
    store: Arc<dyn Store>,
    prefix: String,
    wait: Duration,
    backoff: Backoff,
    waker: Waker,
    wakes_on_revisions: bool,
    port: Port<Update>,
    /// The revision to watch from; `None` requests a full read.
    after: Option<Revision>,
    /// The signals that this reader has acted on.
    known: Signals,
    /// When the last response arrived; `None` after a failed call.
    last_response: Option<Instant>,
}

impl Reader {
    fn run_once(&mut self) -> Result<(), Full> {
        let sent = Instant::now();
        let gap = self.last_response.take().map(|last_response| sent - last_response);
        let result = match self.after {
            None => self.store.range(&self.prefix).map(Outcome::Snapshot),
            Some(after) => self.store.watch(&self.prefix, after, self.wait).map(Outcome::Changes),
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
        let revision = self.after.map_or(0, |revision| revision.0);
        self.known.revision = self.known.revision.max(revision);
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
        let mut known = self.known;
        if !self.wakes_on_revisions {
            known.revision = u64::MAX;
        }
        let signals = self.waker.wait(known, timeout);
        self.known.revision = self.known.revision.max(signals.revision);
        self.known.recoveries = signals.recoveries;
        Ok(())
    }
}
