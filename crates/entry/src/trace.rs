//! The log: structured lines on standard output, one for each decision.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Map, Value};

use crate::clock;

/// The most lines waiting to be written. If a reader of the output stalls, lines are dropped
/// and counted; callers are never delayed.
const MAX_QUEUED_LINES: usize = 2_048;
/// The sustained rate of lines a second: at about 200 bytes a line, 60 KB a second.
const LINES_PER_SECOND: f64 = 300.0;
/// The most lines in a burst.
const MAX_BURST: f64 = 1_500.0;
/// How long the lines that are left out are counted until one line sums them up.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the log. Clones write to the same log.
#[derive(Clone)]
pub struct Trace {
    sender: SyncSender<String>,
    dropped: Arc<Mutex<Dropped>>,
    budget: Arc<Mutex<(f64, Instant)>>,
    node: Arc<str>,
}

/// The lines that were left out since the last summary.
#[derive(Default)]
struct Dropped {
    /// The number of lines by event.
    events: BTreeMap<&'static str, u64>,
    /// When the first of them was left out.
    since: Option<Instant>,
}

impl Trace {
    /// Starts the writer thread: the output may block, the daemon must not.
    pub fn start(node: &str) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let started =
            std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&receiver));
        if let Err(error) = started {
            eprintln!("cannot start the log thread ({error}); nothing will be logged");
        }
        let budget = Arc::new(Mutex::new((MAX_BURST, Instant::now())));
        Self { sender, dropped: Arc::default(), budget, node: node.into() }
    }

    /// Writes a rare line, bypassing the rate limit: starts, stops, duties, dependencies.
    pub fn unlimited(&self, event: &'static str, fields: Value) {
        self.send(event, &fields);
    }

    /// Writes a line unless the rate limit is exceeded. Then `fields` isn't called: a busy owner
    /// exceeds the limit by several times.
    pub fn line(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        if !self.take_budget() {
            self.count_dropped(event);
            return;
        }
        self.sum_up_dropped();
        self.send(event, &fields());
    }

    fn send(&self, event: &'static str, fields: &Value) {
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), clock::wall_ms().into());
        line.insert("node".to_owned(), (*self.node).into());
        line.insert("event".to_owned(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields.iter().map(|(key, value)| (key.clone(), value.clone())));
        }
        if self.sender.try_send(Value::Object(line).to_string()).is_err() {
            self.count_dropped(event);
        }
    }

    fn count_dropped(&self, event: &'static str) {
        if let Ok(mut dropped) = self.dropped.lock() {
            *dropped.events.entry(event).or_default() += 1;
            dropped.since.get_or_insert_with(Instant::now);
        }
    }

    /// Writes which lines were left out, once the interval of the summary is over.
    fn sum_up_dropped(&self) {
        let Ok(mut dropped) = self.dropped.lock() else { return };
        if dropped.since.is_none_or(|since| since.elapsed() < SUMMARY_INTERVAL) {
            return;
        }
        let Dropped { events, .. } = std::mem::take(&mut *dropped);
        // `send` takes the lock if the line can't be written.
        drop(dropped);
        let lines: u64 = events.values().sum();
        self.send("lines dropped", &serde_json::json!({ "lines": lines, "events": events }));
    }

    fn take_budget(&self) -> bool {
        // Only the daemon's single thread takes this lock.
        let Ok(mut budget) = self.budget.lock() else { return false };
        let (left, at) = *budget;
        let now = Instant::now();
        let left = (left + now.duration_since(at).as_secs_f64() * LINES_PER_SECOND).min(MAX_BURST);
        let is_left = left >= 1.0;
        *budget = (if is_left { left - 1.0 } else { left }, now);
        is_left
    }
}

fn write(receiver: &Receiver<String>) {
    let mut lines = String::new();
    while let Ok(line) = receiver.recv() {
        lines.clear();
        lines.push_str(&line);
        lines.push('\n');
        for line in receiver.try_iter().take(256) {
            lines.push_str(&line);
            lines.push('\n');
        }
        // There is nowhere to report that the output is gone.
        let _ = std::io::stdout().write_all(lines.as_bytes());
    }
}
