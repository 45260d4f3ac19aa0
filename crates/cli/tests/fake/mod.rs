//! A store in memory that loses answers and races, and runs against it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use corianderfork_cli::context::Clock;
use corianderfork_cli::run::{Setup, run};
use corianderfork_model::Time;
use corianderfork_provider::key::OPERATOR_REVISION;
use corianderfork_provider::store::{
    Change, Changes, Entry, Error, Expect, LeaseId, Lookup, Range, Revision, Store,
};

/// What happens to the next write of a key.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Someone else writes first.
    Race(Option<String>),
    /// It takes effect, the answer is lost, and then others write.
    LoseAnswer(Vec<String>),
    /// It never arrives, no answer comes, and then others write.
    LoseRequest(Vec<String>),
    /// It takes effect, the answer is lost, and the store goes down.
    LoseAnswerAndDown,
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    history: Vec<Change>,
    revision: u64,
    faults: VecDeque<(String, Fault)>,
    down: bool,
    forgetful: bool,
    cut_watch: Option<String>,
    /// Whether no controller hears what is written.
    unheard: bool,
    reads: u64,
}

#[derive(Default)]
pub struct Fake(Mutex<Inner>);

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

    fn up(&self) -> Result<(), Error> {
        if self.down { Err(Error::Unavailable("down".to_owned())) } else { Ok(()) }
    }

    /// What a controller says that has heard all, unless there is none.
    fn heard(&self) -> Option<Entry> {
        let (key, revision) = (OPERATOR_REVISION.to_owned(), Revision(self.revision));
        let value = format!("{{\"revision\":{}}}", self.revision);
        (!self.unheard).then_some(Entry { key, value, revision, lease: None })
    }

    fn swap(&mut self, key: &str, value: Option<&str>, expect: Expect) -> Result<Revision, Error> {
        let current = self.entries.get(key);
        let fits = match expect {
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current.is_some_and(|e| e.revision == revision),
            Expect::Anything => true,
        };
        if !fits {
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
        self.up()?;
        let lost = || Err(Error::Unknown("cut".to_owned()));
        let fault = self.faults.iter().position(|(of, _)| key.starts_with(of.as_str()));
        match fault.and_then(|at| self.faults.remove(at)).map(|(_, fault)| fault) {
            None => self.swap(key, value, expect),
            Some(Fault::Race(theirs)) => {
                self.write(key, theirs.as_deref());
                self.swap(key, value, expect)
            }
            Some(Fault::LoseAnswer(others)) => {
                self.swap(key, value, expect).expect("the test expects this write to fit");
                others.iter().for_each(|other| {
                    self.write(key, Some(other));
                });
                lost()
            }
            Some(Fault::LoseRequest(others)) => {
                others.iter().for_each(|other| {
                    self.write(key, Some(other));
                });
                lost()
            }
            Some(Fault::LoseAnswerAndDown) => {
                self.swap(key, value, expect).expect("the test expects this write to fit");
                self.down = true;
                lost()
            }
        }
    }
}

impl Fake {
    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.0.lock().expect("no test panics while it holds the store"))
    }

    pub fn fault(&self, key: &str, fault: Fault) {
        self.with(|inner| inner.faults.push_back((key.to_owned(), fault)));
    }

    pub fn set(&self, key: &str, value: &str) -> u64 {
        self.with(|inner| inner.write(key, Some(value)).0)
    }

    pub fn down(&self, down: bool) {
        self.with(|inner| inner.down = down);
    }

    /// From now on no history is held.
    pub fn forget(&self) {
        self.with(|inner| inner.forgetful = true);
    }

    /// The next watch ends without an answer, and `key` is deleted meanwhile.
    pub fn cut_watch(&self, key: &str) {
        self.with(|inner| inner.cut_watch = Some(key.to_owned()));
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.with(|inner| inner.entries.get(key).map(|entry| entry.value.clone()))
    }

    pub fn revision_of(&self, key: &str) -> u64 {
        self.with(|inner| inner.entries.get(key).map_or(0, |entry| entry.revision.0))
    }

    /// From now on no controller hears what is written.
    pub fn hear_nothing(&self) {
        self.with(|inner| inner.unheard = true);
    }

    /// How often the key was written.
    pub fn writes(&self, key: &str) -> usize {
        self.with(|inner| inner.history.iter().filter(|change| change.key == key).count())
    }

    pub fn reads(&self) -> u64 {
        self.with(|inner| inner.reads)
    }
}

impl Store for Fake {
    fn get(&self, key: &str) -> Result<Lookup, Error> {
        self.with(|inner| {
            inner.reads += 1;
            inner.up()?;
            let entry = if key == OPERATOR_REVISION {
                inner.heard()
            } else {
                inner.entries.get(key).cloned()
            };
            Ok(Lookup { revision: Revision(inner.revision), entry })
        })
    }

    fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.with(|inner| {
            inner.reads += 1;
            inner.up()?;
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
            inner.up()?;
            if let Some(key) = inner.cut_watch.take() {
                inner.write(&key, None);
                return Err(Error::Unknown("silent".to_owned()));
            }
            if inner.forgetful {
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

/// Time that passes in pauses only.
#[derive(Default)]
pub struct Still(Cell<u64>);

impl Clock for Still {
    fn now(&self) -> Time {
        Time::from_millis(self.0.get())
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.0.get()
    }

    fn pause(&self, time: Duration) {
        self.0.set(self.0.get() + time.as_millis() as u64);
    }
}

/// How a run ended.
pub struct Ran {
    pub code: u8,
    pub out: String,
    pub err: String,
    /// The time that passed, in milliseconds.
    pub took_ms: u64,
}

impl Ran {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).expect("the output is one JSON value")
    }
}

/// Runs a command line with JSON output.
pub fn json(store: &Arc<Fake>, arguments: &[&str]) -> Ran {
    let fixed = ["--platform", "127.0.0.1:1", "--output", "json", "--by", "ann"];
    let all: Vec<&str> = arguments.iter().chain(&fixed).copied().collect();
    plain(store, &all)
}

/// Runs a command line as it is.
pub fn plain(store: &Arc<Fake>, arguments: &[&str]) -> Ran {
    let clock = Still::default();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let connected = store.clone();
    let mut setup = Setup {
        connect: &move |_, _| connected.clone(),
        clock: &clock,
        terminal: false,
        out: &mut out,
        err: &mut err,
    };
    let code = run(["corianderctl"].iter().chain(arguments), &mut setup).number();
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    Ran { code, out: text(out), err: text(err), took_ms: clock.0.get() }
}

/// A file of the test.
pub fn file(content: impl AsRef<[u8]>) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cli-{}-{number}.ini", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the test's folder is writable");
    path.to_str().expect("the path is text").to_owned()
}

/// A valid configuration.
pub fn sample(licences: u32, cores: u32) -> String {
    format!(
        "[fleet]\nversion = 1\nname = clubs\n\n[data_centre.kolkata]\nregion = bengal\n\n\
         [pool.registry]\n\n[rack.k1]\ndata_centre = kolkata\npool = registry\nvms = v[01..04]\n\
         cores = 64\nmemory_gb = 256\n\n[service.transfer]\npool = registry\ncores = {cores}\n\
         memory_gb = 16\nmin_copies = 4\nlicences = {licences}\n\n[rule.otherwise]\n\
         when = always\nthen = headroom transfer 25%\n"
    )
}

/// The record of a configuration that someone else applied.
pub fn theirs(text: &str) -> String {
    let json = serde_json::json!({"text": text, "by": "bob", "note": "", "token": "bobs"});
    json.to_string()
}
