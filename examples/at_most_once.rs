//! A balance transfer that runs once, though its caller retries and the process that ran
//! it is paused.
//!
//! Ids are claimed in a journal, which is kept in memory here in place of a key-value
//! store with compare-and-swap. An owner grants a claim only after the write that contains
//! it is confirmed. Then the owner is paused and a successor seals the journal. When the
//! paused owner resumes, its write is refused and it grants nothing.
//!
//! Run it with `cargo run --example at_most_once`.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork::claim::segment::{Entry, Writer};
use corianderfork::claim::{
    Action, Answer, Attempt, Config, End, Event, Id, Outcome, Owner, Request, Segment, Takeover,
    Verdict,
};
use corianderfork::model::{Name, Time, name};

/// The segments of one shard's journal, each with its revision.
#[derive(Default)]
struct Journal {
    revision: u64,
    segments: BTreeMap<u64, (u64, Segment)>,
}

impl Journal {
    fn entry(&self, number: u64) -> Option<Entry> {
        let (revision, segment) = self.segments.get(&number)?;
        Some(Entry { number, revision: *revision, segment: Some(segment.clone()) })
    }

    /// Executes an action of an owner or a takeover and returns the store's answer.
    fn answer(&mut self, action: &Action) -> Option<Answer> {
        match action {
            Action::List => {
                let entries = self.segments.keys().filter_map(|&number| self.entry(number));
                Some(Answer::Listed(entries.collect()))
            }
            Action::Read { segment } => {
                Some(Answer::Read { segment: *segment, entry: self.entry(*segment) })
            }
            Action::Put { segment, expect, value } => Some(self.put(*segment, *expect, value)),
            Action::Delete { segment } => {
                self.segments.remove(segment);
                Some(Answer::Deleted { segment: *segment })
            }
            Action::Reply { .. } | Action::Deposed => None,
        }
    }

    fn put(&mut self, segment: u64, expect: u64, value: &Segment) -> Answer {
        let current = self.segments.get(&segment).map_or(0, |(revision, _)| *revision);
        if current != expect {
            return Answer::PutConflict { segment };
        }
        self.revision += 1;
        self.segments.insert(segment, (self.revision, value.clone()));
        Answer::PutDone { segment, revision: self.revision }
    }
}

/// Drives a takeover of the shard until it has become an owner.
fn take_over(journal: &mut Journal, writer: Writer, token: u64, now: Time) -> Owner {
    let mut takeover = Takeover::new(Config::new(), writer, token);
    let mut actions = takeover.on_event(now, Event::Tick);
    while let Some(answer) = actions.pop().and_then(|action| journal.answer(&action)) {
        actions.extend(takeover.on_event(now, Event::Store(answer)));
    }
    takeover.take_owner().expect("no writer has a later token")
}

/// Executes `actions` and all actions that follow from them. Returns the replies to
/// requests, or `None` once the owner is deposed.
fn execute(
    owner: &mut Owner,
    journal: &mut Journal,
    now: Time,
    mut actions: Vec<Action>,
) -> Option<Vec<Verdict>> {
    let mut verdicts = Vec::new();
    while let Some(action) = actions.pop() {
        match &action {
            Action::Reply { verdict, .. } => verdicts.push(*verdict),
            Action::Deposed => return None,
            _ => {}
        }
        if let Some(answer) = journal.answer(&action) {
            actions.extend(owner.on_event(now, Event::Store(answer)));
        }
    }
    Some(verdicts)
}

fn main() -> Result<(), name::Error> {
    let start = Time::from_millis(1_700_000_000_000);
    let mut journal = Journal::default();
    let entry_1 = Writer::new(Name::new("entry-1")?, 41);
    let entry_2 = Writer::new(Name::new("entry-2")?, 42);
    let mut first = take_over(&mut journal, entry_1, 1, start);

    // A caller transfers a balance, and the response is lost.
    let transfer = Id::issue(start, 7);
    let attempt = Attempt::new(41, 1);
    let actions = first.on_event(start, Event::Request(Request { key: 1, id: transfer, attempt }));
    assert!(matches!(actions[..], [Action::Put { .. }]), "granted before it was written");
    let verdicts = execute(&mut first, &mut journal, start, actions);
    assert_eq!(verdicts, Some(vec![Verdict::Granted]));
    println!("entry-1 runs {transfer}");

    // entry-1 is paused, and entry-2 takes over the shard.
    let later = start + Duration::from_secs(10);
    let mut second = take_over(&mut journal, entry_2, 2, later);

    // The caller retries there. Whether the first attempt ran is unknown, so the second
    // one does not run.
    let retry = Request { key: 2, id: transfer, attempt: Attempt::new(42, 1) };
    let actions = second.on_event(later, Event::Request(retry));
    let verdicts = execute(&mut second, &mut journal, later, actions);
    let outcome = Outcome::Unknown;
    assert_eq!(verdicts, Some(vec![Verdict::Duplicate { outcome, holder: attempt }]));
    println!("entry-2 does not run it again: {verdicts:?}");

    // entry-1 resumes and receives another transfer. Its write fails at the sealed journal.
    let other = Id::issue(later, 8);
    let stale = Request { key: 3, id: other, attempt: Attempt::new(41, 2) };
    let actions = first.on_event(later, Event::Request(stale));
    let verdicts = execute(&mut first, &mut journal, later, actions);
    assert!(verdicts.is_none_or(|verdicts| !verdicts.contains(&Verdict::Granted)));
    println!("entry-1 woke, and grants nothing");

    // That transfer was never run, so entry-2 may run it.
    let request = Request { key: 4, id: other, attempt: Attempt::new(42, 2) };
    let actions = second.on_event(later, Event::Request(request));
    let verdicts = execute(&mut second, &mut journal, later, actions);
    assert_eq!(verdicts, Some(vec![Verdict::Granted]));
    let done = Event::Settle { id: other, attempt: request.attempt, end: End::Done };
    let actions = second.on_event(later, done);
    execute(&mut second, &mut journal, later, actions);
    println!("entry-2 runs {other}");
    Ok(())
}
