//! What is kept of records, and writes whose end is lost.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use corianderfork_controller::execute::{Written, call, put, read_back};
use corianderfork_controller::outbox::Lines;
use corianderfork_controller::plan::action::Action;
use corianderfork_controller::view::View;
use corianderfork_model::{Name, Time};
use corianderfork_provider::fleet::{Control, Task, Usage, Vm};
use corianderfork_provider::key;
use corianderfork_provider::record::Line;
use corianderfork_provider::store::{
    Changes, Entry, Error, Expect, Found, LeaseId, Range, Revision, Store,
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

/// A store of one key whose answers are lost.
#[derive(Default)]
struct Lossy {
    entry: Mutex<Option<Entry>>,
    /// Writes that take effect before their answer is lost.
    applies: bool,
    puts: AtomicUsize,
}

impl Store for Lossy {
    fn get(&self, _: &str) -> Result<Found, Error> {
        let entry = self.entry.lock().expect("not poisoned").clone();
        Ok(Found { revision: Revision(9), entry })
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

impl Control for Lossy {
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

// Symptom: a controller takes its own write for another's and decides anew.
// Sequence: a write takes effect, its answer is lost.
// Cause: the write was repeated, or given up, without reading back.
#[test]
fn put_answer_lost_is_read_back() {
    let store = Lossy { applies: true, ..Lossy::default() };
    let end = put(&store, || true, "k", "new", Expect::Absent);
    assert_eq!(end, Written::Applied(Revision(9)));
    let store = Lossy::default();
    assert_eq!(put(&store, || true, "k", "new", Expect::Absent), Written::Conflict(None));
    *store.entry.lock().expect("not poisoned") = Some(entry("k", "other", 4));
    let end = read_back(&store, "k", "new", "cut");
    assert_eq!(end, Written::Conflict(Some(entry("k", "other", 4))));
}

// Symptom: a VM that serves under a new holder is rebooted.
// Sequence: a call waits in a queue while its process is paused past its lease.
// Cause: the lease was looked at when the call was decided, not when it is made.
#[test]
fn acts_lapsed_lease_holds_them_back() {
    let platform = Lossy::default();
    let end = put(&platform, || false, "k", "new", Expect::Absent);
    assert!(matches!(end, Written::Refused(_)));
    let reboot = Action::Reboot(name("v1"));
    assert_eq!(call(&platform, || false, &reboot), Err(Error::Lapsed));
    assert_eq!(platform.puts.load(Ordering::SeqCst), 0);
    assert_eq!(call(&platform, || true, &reboot), Ok(()));
    assert_eq!(platform.puts.load(Ordering::SeqCst), 1);
}

// Symptom: a VM falls back to an older record and is decided on twice.
// Sequence: the answer to a write, a late watch and a peer's snapshot bring the
// same record at different revisions, the newest first.
// Cause: the message heard last won.
#[test]
fn view_record_never_goes_back() {
    let mut view = View::default();
    let key = key::vm(&name("v1"));
    let drained = VM.replace("serving", "drained");
    view.on_entry(&key, Revision(8), Some(&entry(&key, &drained, 8)));
    view.on_entry(&key, Revision(5), Some(&entry(&key, VM, 5)));
    view.on_entry(&key, Revision(6), None);
    let held = view.vm(&name("v1")).expect("it is there");
    assert_eq!((held.revision, held.record.phase.takes_work()), (Revision(8), false));
    // A whole read that lacks it is newer, and tells that it was deleted.
    view.on_whole(Time::ZERO, &Range { revision: Revision(9), entries: Vec::new() });
    assert_eq!(view.vm(&name("v1")), None);
}

// Symptom: a VM that an operator took out, or nobody can read, gets work.
// Sequence: a record is not what it should be.
// Cause: what did not parse counted as absent.
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
    assert!(!view.offer_config(4, "[fleet]\nversion = 1\n"), "a configuration with mistakes");
}

// Symptom: changes are missing in the audit trail after an outage.
// Sequence: the trail can't be written for a while.
// Cause: lines were dropped with the write that failed.
#[test]
fn lines_failed_write_keeps_them() {
    let line = |revision| Line {
        at_ms: 0,
        who: String::new(),
        what: String::new(),
        from: String::new(),
        to: String::new(),
        revision,
    };
    let mut lines = Lines::default();
    let at = Time::from_millis;
    lines.push(line(1));
    assert_eq!(lines.take(at(10_000)).map(|taken| taken.len()), Some(1));
    lines.push(line(2));
    assert_eq!(lines.take(at(20_000)), None, "one write at a time");
    lines.on_end(false);
    assert_eq!(lines.take(at(30_000)).map(|taken| taken.len()), Some(2));
    lines.on_end(true);
    assert_eq!(lines.take(at(40_000)), None);
}

const DRAIN: &str = r#"{"by":"asha","reason":"fan"}"#;

fn shown(wishes: &[peer::Record]) -> Vec<(&str, u64)> {
    wishes.iter().map(|wish| (wish.key.as_str(), wish.revision)).collect()
}

#[test]
fn drain_wished_is_in_what_a_controller_sends() {
    // Symptom: a proxy that is cut off from the store sends to a drained VM
    // again.
    // Sequence: it heard of the drain; then it asks a controller for all
    // records.
    // Cause: the controller leaves the wishes out, and what is left out counts
    // as over.
    let mut view = View::default();
    let vm = entry("shared/vm/v01", VM, 4);
    let entries = vec![vm, entry("shared/drain/v01", DRAIN, 7)];
    view.on_whole(Time::ZERO, &Range { revision: Revision(7), entries });
    let sent = view.snapshot(&peer::SnapshotRequest::default());
    let wish = ("shared/drain/v01", 7);
    assert_eq!(shown(&sent.members), [wish]);
    assert_eq!(shown(&view.wishes()), [wish]);
    // Once the VM's record says it, reports tell of it as leaving.
    let draining = entry("shared/vm/v01", &VM.replace("serving", "draining"), 8);
    view.on_entry("shared/vm/v01", Revision(8), Some(&draining));
    assert_eq!(view.wishes(), []);
    assert_eq!(shown(&view.snapshot(&peer::SnapshotRequest::default()).members), [wish]);
}

#[test]
fn drain_wished_is_passed_on_by_a_controller_that_is_cut_off() {
    // Symptom: a drain that one process heard of before the store went down
    // reaches the others late.
    // Sequence: controllers are told of it by a peer, and call others.
    // Cause: they tell only what the store told them.
    let mut view = View::default();
    let entries = vec![entry("shared/vm/v01", VM, 4)];
    view.on_whole(Time::ZERO, &Range { revision: Revision(6), entries });
    let told = |revision| {
        let (key, value) = ("shared/drain/v01".to_owned(), DRAIN.to_owned());
        [peer::Record { key, value, revision }]
    };
    view.on_wishes(&told(5));
    assert!(view.drain(&name("v01")).is_none(), "over before the read");
    view.on_wishes(&told(7));
    assert_eq!(shown(&view.wishes()), [("shared/drain/v01", 7)]);
    let news = view.news();
    view.on_wishes(&told(7));
    assert_eq!(view.news(), news, "told again");
}
