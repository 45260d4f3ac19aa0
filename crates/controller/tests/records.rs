//! The view of the records, and writes whose outcome is unknown.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use corianderfork_controller::execute::{Outcome, call, put, read_back};
use corianderfork_controller::outbox::Audit;
use corianderfork_controller::plan::action::Action;
use corianderfork_controller::view::View;
use corianderfork_model::{Name, Time};
use corianderfork_provider::fleet::{Control, Task, Usage, Vm};
use corianderfork_provider::key;
use corianderfork_provider::record::AuditLine;
use corianderfork_provider::store::{
    Changes, Entry, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};
use corianderfork_wire::peer;

const VM: &str =
    r#"{"pool":"a","phase":"serving","epoch":1,"runners":[],"reason":"","since_ms":1}"#;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    let (key, value) = (key.to_owned(), value.to_owned());
    Entry { key, value, revision: Revision(revision), lease: None }
}

/// A store with one key that loses its responses.
#[derive(Default)]
struct LossyStore {
    entry: Mutex<Option<Entry>>,
    /// Whether a write takes effect before its response is lost.
    applies: bool,
    puts: AtomicUsize,
}

impl Store for LossyStore {
    fn get(&self, _: &str) -> Result<Lookup, Error> {
        let entry = self.entry.lock().expect("not poisoned").clone();
        Ok(Lookup { revision: Revision(9), entry })
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        _: Expect,
        _: Option<LeaseId>,
    ) -> Result<Revision, Error> {
        self.puts.fetch_add(1, Ordering::SeqCst);
        if self.applies {
            *self.entry.lock().expect("not poisoned") = Some(entry(key, value, 9));
        }
        Err(Error::Unknown("cut".to_owned()))
    }

    fn range(&self, _: &str) -> Result<Range, Error> {
        Err(Error::Unavailable("not here".to_owned()))
    }

    fn delete(&self, _: &str, _: Expect) -> Result<Revision, Error> {
        Err(Error::Unavailable("not here".to_owned()))
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Changes, Error> {
        Err(Error::Unavailable("not here".to_owned()))
    }

    fn grant(&self, _: Duration) -> Result<LeaseId, Error> {
        Err(Error::Unavailable("not here".to_owned()))
    }

    fn renew(&self, _: LeaseId) -> Result<(), Error> {
        Err(Error::Lapsed)
    }

    fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        Ok(())
    }
}

impl Control for LossyStore {
    fn vms(&self) -> Result<Vec<Vm>, Error> {
        Ok(Vec::new())
    }

    fn tasks(&self) -> Result<Vec<Task>, Error> {
        Ok(Vec::new())
    }

    fn usage(&self) -> Result<Vec<Usage>, Error> {
        Ok(Vec::new())
    }

    fn start(&self, _: &Name, _: &Name) -> Result<(), Error> {
        Ok(())
    }

    fn stop(&self, _: &Name, _: &Name) -> Result<(), Error> {
        Ok(())
    }

    fn reboot(&self, _: &Name) -> Result<(), Error> {
        self.puts.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

// Guards against a controller that takes its own write for another process's
// and decides again. A write takes effect but its response is lost; the write
// must be read back, not repeated or dropped.
#[test]
fn put_lost_response_is_read_back() {
    let store = LossyStore { applies: true, ..LossyStore::default() };
    let outcome = put(&store, || true, "k", "new", Expect::Absent);
    assert_eq!(outcome, Outcome::Applied(Revision(9)));
    let store = LossyStore::default();
    assert_eq!(put(&store, || true, "k", "new", Expect::Absent), Outcome::Conflict(None));
    *store.entry.lock().expect("not poisoned") = Some(entry("k", "other", 4));
    let outcome = read_back(&store, "k", "new", "cut");
    assert_eq!(outcome, Outcome::Conflict(Some(entry("k", "other", 4))));
}

// Guards against the reboot of a VM that serves under a new holder. A call
// waits in a queue while its process is paused past its lease; the lease has to
// be checked when the call is made, not only when it is decided.
#[test]
fn execute_expired_lease_blocks_writes_and_calls() {
    let platform = LossyStore::default();
    let outcome = put(&platform, || false, "k", "new", Expect::Absent);
    assert!(matches!(outcome, Outcome::Refused(_)));
    let reboot = Action::Reboot(name("v1"));
    assert_eq!(call(&platform, || false, &reboot), Err(Error::Lapsed));
    assert_eq!(platform.puts.load(Ordering::SeqCst), 0);
    assert_eq!(call(&platform, || true, &reboot), Ok(()));
    assert_eq!(platform.puts.load(Ordering::SeqCst), 1);
}

// Guards against a VM that falls back to an older record and is decided on
// twice. The response to a write, a late watch and a peer's snapshot bring the
// same record at different revisions, the newest first; the last message must
// not win.
#[test]
fn view_keeps_newest_revision() {
    let mut view = View::default();
    let key = key::vm(&name("v1"));
    let drained = VM.replace("serving", "drained");
    view.on_entry(&key, Revision(8), Some(&entry(&key, &drained, 8)));
    view.on_entry(&key, Revision(5), Some(&entry(&key, VM, 5)));
    view.on_entry(&key, Revision(6), None);
    let stored = view.vm(&name("v1")).expect("the VM has a record");
    assert_eq!((stored.revision, stored.record.phase.takes_work()), (Revision(8), false));
    // A complete read without the record is newer and means that it was
    // deleted.
    view.on_range(Time::ZERO, &Range { revision: Revision(9), entries: Vec::new() });
    assert_eq!(view.vm(&name("v1")), None);
}

// Guards against work on a VM that an operator took out or whose record can't
// be read. A record that doesn't parse must not count as absent.
#[test]
fn view_unreadable_records_are_not_absent() {
    let mut view = View::default();
    let (vm, drain) = (key::vm(&name("v1")), key::drain(&name("v1")));
    view.on_entry(&vm, Revision(1), Some(&entry(&vm, "{", 1)));
    view.on_entry(&drain, Revision(2), Some(&entry(&drain, "{", 2)));
    view.on_entry(key::CONFIG, Revision(3), Some(&entry(key::CONFIG, "[]", 3)));
    assert!(view.is_unreadable(&name("v1")));
    assert!(view.drain(&name("v1")).is_some());
    assert_eq!((view.config_revision(), view.problems().count()), (0, 3));
    assert!(!view.offer_config(4, "[fleet]\nversion = 1\n"), "accepted an invalid configuration");
}

// Guards against gaps in the audit trail after an outage. While the trail can't
// be written, a failed write must not drop its lines.
#[test]
fn audit_failed_write_keeps_lines() {
    let line = |revision| AuditLine {
        at_ms: 0,
        who: String::new(),
        what: String::new(),
        from: String::new(),
        to: String::new(),
        revision,
    };
    let mut audit = Audit::default();
    let at = Time::from_millis;
    audit.push(line(1));
    assert_eq!(audit.take(at(10_000)).map(|taken| taken.len()), Some(1));
    audit.push(line(2));
    assert_eq!(audit.take(at(20_000)), None, "two writes at the same time");
    audit.on_end(false);
    assert_eq!(audit.take(at(30_000)).map(|taken| taken.len()), Some(2));
    audit.on_end(true);
    assert_eq!(audit.take(at(40_000)), None);
}

const DRAIN: &str = r#"{"by":"asha","reason":"fan"}"#;

fn summarize(records: &[peer::Record]) -> Vec<(&str, u64)> {
    records.iter().map(|record| (record.key.as_str(), record.revision)).collect()
}

#[test]
fn snapshot_includes_drain_requests() {
    // Guards against a proxy that sends work to a drained VM again. A proxy
    // that is cut off from the store has learned of the drain from a peer and
    // then requests all records from a controller. It takes a drain request
    // that is missing there as removed.
    let mut view = View::default();
    let vm = entry("shared/vm/v01", VM, 4);
    let entries = vec![vm, entry("shared/drain/v01", DRAIN, 7)];
    view.on_range(Time::ZERO, &Range { revision: Revision(7), entries });
    let sent = view.snapshot(&peer::SnapshotRequest::default());
    let drain = ("shared/drain/v01", 7);
    assert_eq!(summarize(&sent.members), [drain]);
    assert_eq!(summarize(&view.pending_drains()), [drain]);
    // Once the VM's record shows the drain, reports list the VM as leaving.
    let draining = entry("shared/vm/v01", &VM.replace("serving", "draining"), 8);
    view.on_entry("shared/vm/v01", Revision(8), Some(&draining));
    assert_eq!(view.pending_drains(), []);
    assert_eq!(summarize(&view.snapshot(&peer::SnapshotRequest::default()).members), [drain]);
}

#[test]
fn on_peer_drains_newer_request_is_passed_on() {
    // Guards against a drain that reaches other processes late. A controller
    // that learned of a drain from a peer, not from the store, has to pass it
    // on.
    let mut view = View::default();
    let entries = vec![entry("shared/vm/v01", VM, 4)];
    view.on_range(Time::ZERO, &Range { revision: Revision(6), entries });
    let drains = |revision| {
        let (key, value) = ("shared/drain/v01".to_owned(), DRAIN.to_owned());
        [peer::Record { key, value, revision }]
    };
    view.on_peer_drains(&drains(5));
    assert!(view.drain(&name("v01")).is_none(), "was removed before the read");
    view.on_peer_drains(&drains(7));
    assert_eq!(summarize(&view.pending_drains()), [("shared/drain/v01", 7)]);
    let generation = view.generation();
    view.on_peer_drains(&drains(7));
    assert_eq!(view.generation(), generation, "the same request again changes nothing");
}
