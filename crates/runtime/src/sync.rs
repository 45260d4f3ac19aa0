//! Keeps up with the keys that every process shares: one read of all, then
//! watches, on a thread of its own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderfork_coord::backoff::{self, Backoff};
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Error, Range, Revision, Store};

use crate::core::Full;
use crate::port::Port;

/// What became known.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum News {
    /// All entries, replacing what was known before.
    Whole(Range),
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
    /// What it brought.
    pub news: News,
}

/// How to keep up.
#[derive(Clone, Debug)]
pub struct Config {
    wait: Duration,
    backoff: backoff::Config,
}

impl Default for Config {
    fn default() -> Self {
        let backoff =
            backoff::Config::new().first(Duration::from_millis(100)).max(Duration::from_secs(2));
        Self { wait: Duration::from_millis(1500), backoff }
    }
}

impl Config {
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

/// Starts the thread; it ends with the core.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start(
    store: Arc<dyn Store>,
    config: Config,
    seed: u64,
    port: Port<Update>,
) -> std::io::Result<()> {
    let backoff = Backoff::new(config.backoff, seed);
    let mut reader = Reader { store, wait: config.wait, backoff, port, after: None };
    std::thread::Builder::new()
        .name("sync".to_owned())
        .spawn(move || while reader.turn().is_ok() {})?;
    Ok(())
}

struct Reader {
    store: Arc<dyn Store>,
    wait: Duration,
    backoff: Backoff,
    port: Port<Update>,
    /// Up to where all is known; `None` asks for a read of all.
    after: Option<Revision>,
}

impl Reader {
    fn turn(&mut self) -> Result<(), Full> {
        let sent = Instant::now();
        let news = match self.after {
            None => self.store.range(key::SHARED).map(News::Whole),
            Some(after) => self.store.watch(key::SHARED, after, self.wait).map(News::Changes),
        };
        match news {
            Ok(news) => self.learned(sent, news),
            Err(error) => self.failed(sent, error),
        }
    }

    fn learned(&mut self, sent: Instant, news: News) -> Result<(), Full> {
        self.backoff.reset();
        self.after = match &news {
            News::Whole(range) => Some(range.revision),
            News::Changes(changes) => Some(changes.revision),
            News::Failed(_) => self.after,
        };
        self.port.send_wait(Update { sent, news })
    }

    fn failed(&mut self, sent: Instant, error: Error) -> Result<(), Full> {
        if error == Error::Compacted {
            self.after = None;
        }
        self.port.send_wait(Update { sent, news: News::Failed(error) })?;
        // All processes lose the store at the same moment; without jitter they
        // would all come back at the same moment too, and take it down again.
        std::thread::sleep(self.backoff.next_wait());
        Ok(())
    }
}
