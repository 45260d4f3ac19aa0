//! Contact with the store, as the feed reports it to the view.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use corianderfork_coord::member;
use corianderfork_model::Name;
use corianderfork_provider::record::{Member, Phase, Role, Vm};
use corianderfork_provider::store::{
    Change, Changes, Entry, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};
use corianderfork_proxy::exchange::{Client, Config};
use corianderfork_proxy::feed::Feed;
use corianderfork_proxy::gate::Gate;
use corianderfork_proxy::hub::Hub;
use corianderfork_proxy::inbox::Inbox;
use corianderfork_proxy::members::Members;
use corianderfork_proxy::membership::StoreAccess;
use corianderfork_proxy::metrics::Metrics;
use corianderfork_proxy::shared::Shared;
use corianderfork_proxy::view::SETTLING_PERIOD;
use corianderfork_routing::router;
use corianderfork_runtime::clock::Monotonic;
use corianderfork_runtime::core;
use corianderfork_runtime::timer::Service;
use corianderfork_runtime::worker::Pool;
use stakker::{actor, ret_nop};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The duration of a watch that ends without changes.
const WATCH: Duration = Duration::from_millis(100);

/// A store that answers its first calls as scripted. Later ones aren't answered, except for
/// keys that begin with `answered`, which never change.
#[derive(Default)]
struct ScriptedStore {
    range: Mutex<Option<Range>>,
    watches: Mutex<VecDeque<Result<Changes, Error>>>,
    answered: Mutex<Option<String>>,
}

impl ScriptedStore {
    fn wait_answered(&self, prefix: &str) {
        let is_answered = || {
            let answered = self.answered.lock().unwrap();
            answered.as_ref().is_some_and(|answered| prefix.starts_with(answered))
        };
        thread::sleep(WATCH);
        while !is_answered() {
            thread::sleep(WATCH);
        }
    }
}

/// Returns the result of a call that the feed does not make.
fn unscripted<T>() -> Result<T, Error> {
    Err(Error::Unavailable("not scripted".to_owned()))
}

impl Store for ScriptedStore {
    fn get(&self, _: &str) -> Result<Lookup, Error> {
        unscripted()
    }

    fn range(&self, prefix: &str) -> Result<Range, Error> {
        if let Some(range) = self.range.lock().unwrap().take() {
            return Ok(range);
        }
        self.wait_answered(prefix);
        Ok(Range { revision: Revision(9), entries: Vec::new() })
    }

    fn put(&self, _: &str, _: &str, _: Expect, _: Option<LeaseId>) -> Result<Revision, Error> {
        unscripted()
    }

    fn delete(&self, _: &str, _: Expect) -> Result<Revision, Error> {
        unscripted()
    }

    fn watch(&self, prefix: &str, after: Revision, _: Duration) -> Result<Changes, Error> {
        if let Some(result) = self.watches.lock().unwrap().pop_front() {
            return result;
        }
        self.wait_answered(prefix);
        Ok(Changes { revision: after, changes: Vec::new() })
    }

    fn grant(&self, _: Duration) -> Result<LeaseId, Error> {
        unscripted()
    }

    fn renew(&self, _: LeaseId) -> Result<(), Error> {
        unscripted()
    }

    fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        unscripted()
    }
}

fn entry(key: &str, value: String, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value, revision: Revision(revision), lease: None }
}

fn vm(name: &str, revision: u64) -> Entry {
    let vm = Vm {
        pool: "registry".parse().unwrap(),
        phase: Phase::Serving,
        epoch: 0,
        runners: Vec::new(),
        reason: String::new(),
        since_ms: 0,
        maintained_ms: 0,
        moving_to: None,
    };
    entry(&format!("shared/vm/{name}"), serde_json::to_string(&vm).unwrap(), revision)
}

/// Returns a store with a drain of v01 that is withdrawn when the store has returned after
/// a failure, and not answered after that.
fn store_with_withdrawn_drain() -> ScriptedStore {
    let drain = entry("shared/drain/v01", r#"{"by":"asha","reason":"fan"}"#.to_owned(), 5);
    let entries = vec![drain, vm("v01", 3), vm("v02", 4)];
    let withdrawal =
        Change { key: "shared/drain/v01".to_owned(), revision: Revision(9), entry: None };
    let withdrawal = Changes { revision: Revision(9), changes: vec![withdrawal] };
    ScriptedStore {
        range: Mutex::new(Some(Range { revision: Revision(5), entries })),
        watches: Mutex::new([Err(Error::Unavailable("down".to_owned())), Ok(withdrawal)].into()),
        ..ScriptedStore::default()
    }
}

/// Runs a feed on its own thread. Returns the state that it writes to.
fn start_feed(all: Arc<ScriptedStore>, group: Arc<ScriptedStore>) -> Arc<Shared> {
    let clock = Monotonic::start();
    let name: Name = "e1".parse().unwrap();
    let gate = Gate::new(clock, name.clone(), router::Config::default(), 4);
    let client = Client::new(Config::default());
    let shared = Arc::new(Shared::new(clock, gate, client, Metrics::new()));
    let me = Member {
        name,
        role: Role::Proxy,
        incarnation: 1,
        data_centre: "kolkata".parse().unwrap(),
        peers: "127.0.0.1:9".parse().unwrap(),
        callers: None,
    };
    let started = Arc::clone(&shared);
    thread::spawn(move || {
        core::run(64, |stakker, handle| {
            let members = Members::new(member::Config::new(), me, TEST_TIMEOUT).unwrap();
            let access = StoreAccess {
                store: all.clone(),
                watch_store: all,
                drain_watch_store: Arc::new(ScriptedStore::default()),
                group_watch_store: group,
                pool: Pool::start("store", 1, 1).unwrap(),
                handle,
            };
            let hub: Rc<Hub> = Hub::new(started, members);
            let timer = actor!(stakker, Service::init(clock), ret_nop!());
            let inbox = Inbox::default();
            let feed = actor!(stakker, Feed::init(hub, access, inbox, timer.clone()), ret_nop!());
            std::mem::forget((timer, feed));
        })
    });
    shared
}

fn until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

// Guards against a VM that gets requests for a whole outage: its drain was requested again,
// and what ended the withdrawn one was an answer about other VMs.
#[test]
fn drain_withdrawn_is_not_ended_by_reader_of_other_vms() {
    let all = Arc::new(store_with_withdrawn_drain());
    let answered = Mutex::new(Some("shared/drain/v02".to_owned()));
    let group = Arc::new(ScriptedStore { answered, ..ScriptedStore::default() });
    let shared = start_feed(Arc::clone(&all), group);
    let v01 = Name::new("v01").unwrap();
    let is_withheld = || shared.gate.is_drained(&v01, 0);
    until("the withdrawal to be read", || all.watches.lock().unwrap().is_empty());
    until("the drain to be heeded", is_withheld);
    thread::sleep(SETTLING_PERIOD * 2);
    assert!(is_withheld(), "ended by an answer about v02");
    *all.answered.lock().unwrap() = Some("shared/".to_owned());
    until("an answer about all VMs to end the drain", || !is_withheld());
}
