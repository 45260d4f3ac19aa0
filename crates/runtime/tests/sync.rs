//! Tests of the reader thread.
#![allow(clippy::unwrap_used)]

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use corianderfork_coord::backoff;
use corianderfork_provider::store::{
    Changes, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};
use corianderfork_runtime::core::{self, Handle};
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, Update, Waker};
use stakker::{Stakker, fwd_do};

/// A backoff that never ends within a test.
const LONG_BACKOFF: Duration = Duration::from_secs(600);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// A store that fails each call and signals it on a channel.
struct UnavailableStore(Sender<()>);

impl UnavailableStore {
    fn fail<T>(&self) -> Result<T, Error> {
        let _ = self.0.send(());
        Err(Error::Unavailable("down".to_owned()))
    }
}

impl Store for UnavailableStore {
    fn get(&self, _: &str) -> Result<Lookup, Error> {
        self.fail()
    }

    fn range(&self, _: &str) -> Result<Range, Error> {
        self.fail()
    }

    fn put(&self, _: &str, _: &str, _: Expect, _: Option<LeaseId>) -> Result<Revision, Error> {
        self.fail()
    }

    fn delete(&self, _: &str, _: Expect) -> Result<Revision, Error> {
        self.fail()
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Changes, Error> {
        self.fail()
    }

    fn grant(&self, _: Duration) -> Result<LeaseId, Error> {
        self.fail()
    }

    fn renew(&self, _: LeaseId) -> Result<(), Error> {
        self.fail()
    }

    fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        self.fail()
    }
}

/// Returns the event loop of this process, which can have only one.
fn event_loop() -> Handle {
    static HANDLE: OnceLock<Handle> = OnceLock::new();
    let start = || {
        let (sender, handles) = channel();
        std::thread::spawn(move || core::run(16, |_, handle| sender.send(handle).unwrap()));
        handles.recv_timeout(TEST_TIMEOUT).unwrap()
    };
    HANDLE.get_or_init(start).clone()
}

/// Starts a reader with a long backoff whose store is down.
fn start_reader() -> (Waker, Receiver<()>, sync::Handle) {
    start_reader_with(sync::Config::default())
}

fn start_reader_with(config: sync::Config) -> (Waker, Receiver<()>, sync::Handle) {
    let (called, calls) = channel();
    let (started, readers) = channel();
    let waker = Waker::default();
    let woken = waker.clone();
    let handle = event_loop();
    let start = move |stakker: &mut Stakker| {
        let port = Port::open(stakker, event_loop(), fwd_do!(|_: Update| {}));
        let backoff = backoff::Config::new().first(LONG_BACKOFF).max(LONG_BACKOFF);
        let config = config.backoff(backoff);
        let store = Arc::new(UnavailableStore(called));
        started.send(sync::start(store, config, 1, woken, port).unwrap()).unwrap();
    };
    handle.post_wait(start).unwrap();
    calls.recv_timeout(TEST_TIMEOUT).unwrap();
    (waker, calls, readers.recv_timeout(TEST_TIMEOUT).unwrap())
}

// Guards against processes that return to the store one by one at the end of their backoff, long
// after it has recovered, and against a process that alone cannot reach the store and calls it
// after each report of a peer.
#[test]
fn wake_once_for_each_newer_revision() {
    let (waker, calls, _) = start_reader();
    assert!(calls.recv_timeout(QUIET_PERIOD).is_err(), "the reader backs off");
    waker.wake(7);
    calls.recv_timeout(TEST_TIMEOUT).unwrap();
    for revision in [7, 6, 7] {
        waker.wake(revision);
    }
    assert!(calls.recv_timeout(QUIET_PERIOD).is_err(), "no peer reported a newer revision");
    waker.wake(8);
    calls.recv_timeout(TEST_TIMEOUT).unwrap();
}

// Guards against readers that stay away for their whole backoff after an outage in which nothing
// was written: no peer has a newer revision to report.
#[test]
fn wake_recovered_without_newer_revision() {
    let (waker, calls, _) = start_reader();
    waker.wake_recovered();
    calls.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(calls.recv_timeout(QUIET_PERIOD).is_err(), "one recovery, one call");
}

// Guards against readers of groups that a proxy no longer watches.
#[test]
fn stop_ends_reader() {
    let (waker, calls, handle) = start_reader();
    handle.stop();
    waker.wake(1);
    // The store is dropped with the reader.
    assert_eq!(calls.recv_timeout(TEST_TIMEOUT), Err(RecvTimeoutError::Disconnected));
}

// Guards against many readers that call a store again after each revision that a peer reports,
// while the store refuses their calls.
#[test]
fn wake_on_recovery_only_ignores_revisions() {
    let (waker, calls, _) = start_reader_with(sync::Config::default().wake_on_recovery_only());
    waker.wake(7);
    assert!(calls.recv_timeout(QUIET_PERIOD).is_err(), "the reader backs off");
    waker.wake_recovered();
    calls.recv_timeout(TEST_TIMEOUT).unwrap();
}
