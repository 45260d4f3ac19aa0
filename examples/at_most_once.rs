//! A balance move that runs once, though its caller asks twice and the process
//! that ran it is gone.
//!
//! Ids are claimed in a journal, kept here in memory in place of a key-value
//! service with compare-and-swap. An owner grants a claim only after the write
//! that holds it is confirmed. Then the owner is paused; a successor seals the
//! journal, and the paused owner, awake again, finds its write refused and
//! grants nothing.
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

/// The segments of one shard, each with its revision.
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

    /// Carries out a call of an owner or a takeover.
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

/// Feeds `event` to a takeover until it has become an owner.
fn take_over(journal: &mut Journal, writer: Writer, token: u64, now: Time) -> Owner {
    let mut takeover = Takeover::new(Config::new(), writer, token);
    let mut actions = takeover.on_event(now, Event::Tick);
    while let Some(answer) = actions.pop().and_then(|action| journal.answer(&action)) {
        actions.extend(takeover.on_event(now, Event::Store(answer)));
    }
    takeover.take_owner().expect("nobody with a later token is there")
}

/// Carries out `actions` and all that follows from them; gives the replies to
/// asks, and `None` in their place once the owner is deposed.
fn carry_out(
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

    // A caller moves a balance. Its answer is lost on the way back.
    let moved = Id::issue(start, 7);
    let attempt = Attempt::new(41, 1);
    let asked = first.on_event(start, Event::Request(Request { key: 1, id: moved, attempt }));
    assert!(matches!(asked[..], [Action::Put { .. }]), "not granted before it is written");
    let verdicts = carry_out(&mut first, &mut journal, start, asked);
    assert_eq!(verdicts, Some(vec![Verdict::Granted]));
    println!("entry-1 runs {moved}");

    // entry-1 is paused, and entry-2 takes the shard over.
    let later = start + Duration::from_secs(10);
    let mut second = take_over(&mut journal, entry_2, 2, later);

    // The caller asks again there. Whether the first try ran is not known, so
    // the second one does not run.
    let again = Request { key: 2, id: moved, attempt: Attempt::new(42, 1) };
    let asked = second.on_event(later, Event::Request(again));
    let verdicts = carry_out(&mut second, &mut journal, later, asked);
    let outcome = Outcome::Unknown;
    assert_eq!(verdicts, Some(vec![Verdict::Duplicate { outcome, holder: attempt }]));
    println!("entry-2 does not run it again: {verdicts:?}");

    // entry-1 wakes and is asked for another move. Its write meets the seal.
    let other = Id::issue(later, 8);
    let stale = Request { key: 3, id: other, attempt: Attempt::new(41, 2) };
    let asked = first.on_event(later, Event::Request(stale));
    let verdicts = carry_out(&mut first, &mut journal, later, asked);
    assert!(verdicts.is_none_or(|verdicts| !verdicts.contains(&Verdict::Granted)));
    println!("entry-1 woke, and grants nothing");

    // Nobody ran that one: entry-2 may.
    let ask = Request { key: 4, id: other, attempt: Attempt::new(42, 2) };
    let asked = second.on_event(later, Event::Request(ask));
    let verdicts = carry_out(&mut second, &mut journal, later, asked);
    assert_eq!(verdicts, Some(vec![Verdict::Granted]));
    let done = Event::Settle { id: other, attempt: ask.attempt, end: End::Done };
    let actions = second.on_event(later, done);
    carry_out(&mut second, &mut journal, later, actions);
    println!("entry-2 runs {other}");
    Ok(())
}
