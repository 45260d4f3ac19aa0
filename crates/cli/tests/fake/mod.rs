//! An in-memory store with fault injection, and helpers that run commands on it.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use corianderfork_cli::context::Clock;
use corianderfork_cli::run::{Environment, run};
use corianderfork_model::Time;
use corianderfork_provider::key::OPERATOR_REVISION;
use corianderfork_provider::store::{
    Change, Changes, Entry, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};

/// A fault of the next write of a key.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Someone else writes the key first, or deletes it if `None`.
    Race(Option<String>),
    /// The write takes effect, the response is lost, and then others write.
    LoseResponse(Vec<String>),
    /// The request is lost, and then others write.
    LoseRequest(Vec<String>),
    /// The write takes effect, the response is lost, and the store goes down.
    LoseResponseAndDown,
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    history: Vec<Change>,
    revision: u64,
    faults: VecDeque<(String, Fault)>,
    is_down: bool,
    /// Whether the history is compacted.
    is_compacted: bool,
    /// A key that is deleted while the next watch fails.
    cut_watch: Option<String>,
    /// Whether no controller acknowledges writes.
    is_unacknowledged: bool,
    reads: u64,
}

/// A store in memory.
#[derive(Default)]
pub struct FakeStore(Mutex<Inner>);

impl Inner {
    fn write(&mut self, key: &str, value: Option<&str>) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let entry = |value: &str| Entry {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
            lease: None,
        };
        let entry = value.map(entry);
        match &entry {
            Some(entry) => self.entries.insert(key.to_owned(), entry.clone()),
            None => self.entries.remove(key),
        };
        self.history.push(Change { key: key.to_owned(), entry, revision });
        revision
    }

    fn check_up(&self) -> Result<(), Error> {
        if self.is_down { Err(Error::Unavailable("down".to_owned())) } else { Ok(()) }
    }

    /// Returns the record of a controller that has acknowledged all writes.
    fn acknowledgement(&self) -> Option<Entry> {
        let (key, revision) = (OPERATOR_REVISION.to_owned(), Revision(self.revision));
        let value = format!("{{\"revision\":{}}}", self.revision);
        (!self.is_unacknowledged).then_some(Entry { key, value, revision, lease: None })
    }

    fn swap(&mut self, key: &str, value: Option<&str>, expect: Expect) -> Result<Revision, Error> {
        let current = self.entries.get(key);
        let matches = match expect {
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current.is_some_and(|e| e.revision == revision),
            Expect::Anything => true,
        };
        if !matches {
            return Err(Error::Conflict { key: key.to_owned(), current: current.cloned() });
        }
        Ok(self.write(key, value))
    }

    fn change(
        &mut self,
        key: &str,
        value: Option<&str>,
        expect: Expect,
    ) -> Result<Revision, Error> {
        self.check_up()?;
        let response_lost = || Err(Error::Unknown("cut".to_owned()));
        let fault = self.faults.iter().position(|(prefix, _)| key.starts_with(prefix.as_str()));
        match fault.and_then(|index| self.faults.remove(index)).map(|(_, fault)| fault) {
            None => self.swap(key, value, expect),
            Some(Fault::Race(other)) => {
                self.write(key, other.as_deref());
                self.swap(key, value, expect)
            }
            Some(Fault::LoseResponse(others)) => {
                self.swap(key, value, expect).expect("the test expects this write to fit");
                others.iter().for_each(|other| {
                    self.write(key, Some(other));
                });
                response_lost()
            }
            Some(Fault::LoseRequest(others)) => {
                others.iter().for_each(|other| {
                    self.write(key, Some(other));
                });
                response_lost()
            }
            Some(Fault::LoseResponseAndDown) => {
                self.swap(key, value, expect).expect("the test expects this write to fit");
                self.is_down = true;
                response_lost()
            }
        }
    }
}

impl FakeStore {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().expect("no test panics while it holds the lock"))
    }

    /// Injects a fault into the next write of a key that begins with `key`.
    pub fn inject(&self, key: &str, fault: Fault) {
        self.with(|inner| inner.faults.push_back((key.to_owned(), fault)));
    }

    /// Writes an entry and returns its revision.
    pub fn set(&self, key: &str, value: &str) -> u64 {
        self.with(|inner| inner.write(key, Some(value)).0)
    }

    pub fn set_down(&self, down: bool) {
        self.with(|inner| inner.is_down = down);
    }

    /// Makes each watch fail because the history is compacted.
    pub fn compact(&self) {
        self.with(|inner| inner.is_compacted = true);
    }

    /// Makes the next watch fail without a response, and deletes `key` meanwhile.
    pub fn cut_watch(&self, key: &str) {
        self.with(|inner| inner.cut_watch = Some(key.to_owned()));
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.with(|inner| inner.entries.get(key).map(|entry| entry.value.clone()))
    }

    pub fn revision_of(&self, key: &str) -> u64 {
        self.with(|inner| inner.entries.get(key).map_or(0, |entry| entry.revision.0))
    }

    /// Makes the controller acknowledge no write.
    pub fn stop_acknowledging(&self) {
        self.with(|inner| inner.is_unacknowledged = true);
    }

    /// Returns the number of writes of a key.
    pub fn writes(&self, key: &str) -> usize {
        self.with(|inner| inner.history.iter().filter(|change| change.key == key).count())
    }

    pub fn reads(&self) -> u64 {
        self.with(|inner| inner.reads)
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> Result<Lookup, Error> {
        self.with(|inner| {
            inner.reads += 1;
            inner.check_up()?;
            let entry = if key == OPERATOR_REVISION {
                inner.acknowledgement()
            } else {
                inner.entries.get(key).cloned()
            };
            Ok(Lookup { revision: Revision(inner.revision), entry })
        })
    }

    fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.with(|inner| {
            inner.reads += 1;
            inner.check_up()?;
            let entries = inner.entries.values().filter(|e| e.key.starts_with(prefix));
            Ok(Range { revision: Revision(inner.revision), entries: entries.cloned().collect() })
        })
    }

    fn put(&self, key: &str, v: &str, e: Expect, _: Option<LeaseId>) -> Result<Revision, Error> {
        self.with(|inner| inner.change(key, Some(v), e))
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error> {
        self.with(|inner| inner.change(key, None, expect))
    }

    fn watch(&self, prefix: &str, after: Revision, _: Duration) -> Result<Changes, Error> {
        self.with(|inner| {
            inner.check_up()?;
            if let Some(key) = inner.cut_watch.take() {
                inner.write(&key, None);
                return Err(Error::Unknown("silent".to_owned()));
            }
            if inner.is_compacted {
                return Err(Error::Compacted);
            }
            let later = inner.history.iter().filter(|c| c.revision > after);
            let changes = later.filter(|c| c.key.starts_with(prefix)).cloned().collect();
            Ok(Changes { revision: Revision(inner.revision), changes })
        })
    }

    fn grant(&self, _: Duration) -> Result<LeaseId, Error> {
        unimplemented!("the command line holds no lease")
    }

    fn renew(&self, _: LeaseId) -> Result<(), Error> {
        unimplemented!("the command line holds no lease")
    }

    fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        unimplemented!("the command line holds no lease")
    }
}

/// A clock that advances only in [`Clock::sleep`].
#[derive(Default)]
pub struct FakeClock(Cell<u64>);

impl Clock for FakeClock {
    fn now(&self) -> Time {
        Time::from_millis(self.0.get())
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.0.get()
    }

    fn sleep(&self, duration: Duration) {
        self.0.set(self.0.get() + duration.as_millis() as u64);
    }
}

/// The result of a run.
pub struct RunResult {
    pub code: u8,
    pub out: String,
    pub err: String,
    /// The duration of the run on its clock, in milliseconds.
    pub elapsed_ms: u64,
}

impl RunResult {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).expect("the output is one JSON value")
    }
}

/// Runs a command with JSON output.
pub fn run_json(store: &Arc<FakeStore>, arguments: &[&str]) -> RunResult {
    let fixed = ["--platform", "127.0.0.1:1", "--output", "json", "--by", "ann"];
    let arguments: Vec<&str> = arguments.iter().chain(&fixed).copied().collect();
    run_command(store, &arguments)
}

/// Runs a command with the given arguments only.
pub fn run_command(store: &Arc<FakeStore>, arguments: &[&str]) -> RunResult {
    let clock = FakeClock::default();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let store = store.clone();
    let mut environment = Environment {
        connect: &move |_, _| store.clone(),
        clock: &clock,
        is_terminal: false,
        out: &mut out,
        err: &mut err,
    };
    let code = run(["corianderctl"].iter().chain(arguments), &mut environment).number();
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    RunResult { code, out: text(out), err: text(err), elapsed_ms: clock.0.get() }
}

/// Writes a temporary file and returns its path.
pub fn temp_file(content: impl AsRef<[u8]>) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cli-{}-{number}.ini", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the folder for temporary files is writable");
    path.to_str().expect("the path is text").to_owned()
}

/// Returns a valid configuration.
pub fn config_text(licences: u32, cores: u32) -> String {
    format!(
        "[fleet]\nversion = 1\nname = clubs\n\n[data_centre.kolkata]\nregion = bengal\n\n\
         [pool.registry]\n\n[rack.k1]\ndata_centre = kolkata\npool = registry\nvms = v[01..04]\n\
         cores = 64\nmemory_gb = 256\n\n[service.transfer]\npool = registry\ncores = {cores}\n\
         memory_gb = 16\nmin_copies = 4\nlicences = {licences}\n\n[rule.otherwise]\n\
         when = always\nthen = headroom transfer 25%\n"
    )
}

/// Returns the record of a configuration that another operator, Bob, applied.
pub fn bobs_record(text: &str) -> String {
    let record = serde_json::json!({"text": text, "by": "bob", "note": "", "token": "bobs"});
    record.to_string()
}
