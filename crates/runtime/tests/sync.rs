//! The reader of the shared keys.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use corianderfork_coord::backoff;
use corianderfork_provider::store::{
    Changes, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};
use corianderfork_runtime::core;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, Update, Waker};
use stakker::fwd_do;

/// Far longer than any wait of a test.
const LONG: Duration = Duration::from_secs(600);
const PATIENCE: Duration = Duration::from_secs(20);
const MOMENT: Duration = Duration::from_millis(300);

/// A store that refuses each call, and tells of it.
struct Down(Sender<()>);

impl Down {
    fn refuse<T>(&self) -> Result<T, Error> {
        let _ = self.0.send(());
        Err(Error::Unavailable("down".to_owned()))
    }
}

impl Store for Down {
    fn get(&self, _: &str) -> Result<Lookup, Error> {
        self.refuse()
    }

    fn range(&self, _: &str) -> Result<Range, Error> {
        self.refuse()
    }

    fn put(&self, _: &str, _: &str, _: Expect, _: Option<LeaseId>) -> Result<Revision, Error> {
        self.refuse()
    }

    fn delete(&self, _: &str, _: Expect) -> Result<Revision, Error> {
        self.refuse()
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Changes, Error> {
        self.refuse()
    }

    fn grant(&self, _: Duration) -> Result<LeaseId, Error> {
        self.refuse()
    }

    fn renew(&self, _: LeaseId) -> Result<(), Error> {
        self.refuse()
    }

    fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        self.refuse()
    }
}

/// A reader of a store that is down, which waits long between its calls.
fn start() -> (Waker, Receiver<()>) {
    let (called, calls) = channel();
    let waker = Waker::default();
    let woken = waker.clone();
    std::thread::spawn(move || {
        core::run(16, |stakker, handle| {
            let port = Port::open(stakker, handle, fwd_do!(|_: Update| {}));
            let backoff = backoff::Config::new().first(LONG).max(LONG);
            let config = sync::Config::default().backoff(backoff);
            sync::start(Arc::new(Down(called)), config, 1, woken, port).unwrap();
        })
    });
    calls.recv_timeout(PATIENCE).unwrap();
    (waker, calls)
}

// Guards against processes that return to the store one by one, long after it is back, and
// against one cut off alone that calls the store with each report of a peer.
#[test]
fn wake_once_for_each_newer_revision() {
    let (waker, calls) = start();
    assert!(calls.recv_timeout(MOMENT).is_err(), "it waits");
    waker.wake(7);
    calls.recv_timeout(PATIENCE).unwrap();
    for revision in [7, 6, 7] {
        waker.wake(revision);
    }
    assert!(calls.recv_timeout(MOMENT).is_err(), "no peer showed anything new");
    waker.wake(8);
    calls.recv_timeout(PATIENCE).unwrap();
}
