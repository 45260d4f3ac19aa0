//! How a process becomes the owner of a shard.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::config::Config;
use super::index::Book;
use super::journal::Journal;
use super::message::{Action, Answer, Event, Verdict};
use super::owner::Owner;
use super::segment::{Entry, HEAD, Segment, Writer};
use crate::backoff::{self, Backoff};

/// The first wait after the platform's service failed.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The longest wait while it is down.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Becomes the owner of a shard. One for each fencing token.
///
/// 1. Writes the token to [`HEAD`], unless a higher one is there.
/// 2. Lists the journal and seals its last segment by compare-and-swap; from
///    then on the old owner can't add to it.
/// 3. Creates the next segment. If that exists already, the old owner began it
///    meanwhile: back to step 2, which seals that one too.
/// 4. Reads the head again; if its token is still there, nobody else began
///    since, and the journal as listed is all there is.
///
/// Whatever isn't clear (a conflict, a lost answer) is settled by listing
/// again, since each step shows in the journal. Refuses asks until it is done.
#[derive(Debug)]
pub struct Takeover {
    config: Config,
    writer: Writer,
    epoch: u64,
    backoff: Backoff,
    step: Step,
}

#[derive(Debug)]
enum Step {
    /// To list at the next tick from then on.
    Waiting(Time),
    Listing,
    TakingHead,
    Sealing(Vec<Entry>),
    /// The seal met a conflict: only the last segment can have changed.
    Rereading(Vec<Entry>),
    Creating(Box<Next>),
    Checking(Box<Next>, u64),
    Ready(Box<Owner>),
    /// The owner was handed over, or another process is the owner.
    Over,
}

/// The segment that the new owner begins with, and what it knows by then.
#[derive(Debug)]
struct Next {
    number: u64,
    segment: Segment,
    book: Book,
    doomed: BTreeSet<u64>,
}

impl Takeover {
    /// A takeover by `writer` under the fencing token `epoch` of its lease.
    pub fn new(config: Config, writer: Writer, epoch: u64) -> Self {
        let waits = backoff::Config::new().first(FIRST_WAIT).max(MAX_WAIT);
        let backoff = Backoff::new(waits, writer.incarnation ^ epoch);
        Self { config, writer, epoch, backoff, step: Step::Waiting(Time::ZERO) }
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        match self.step {
            Step::Waiting(at) => Some(at),
            _ => None,
        }
    }

    /// The owner, once the takeover is complete; only the first call gives it.
    pub fn take_owner(&mut self) -> Option<Owner> {
        match std::mem::replace(&mut self.step, Step::Over) {
            Step::Ready(owner) => Some(*owner),
            step => {
                self.step = step;
                None
            }
        }
    }

    /// Takes in what happened at `now` (Unix time) and gives what to do; the
    /// first [`Event::Tick`] starts it.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Request(ask) => {
                let verdict = Verdict::Unavailable { retry_after: self.config.ask_wait };
                vec![Action::Reply { key: ask.key, verdict }]
            }
            // Lost with the old owner: the id stays claimed, which is safe.
            Event::Settle { .. } => Vec::new(),
            Event::Store(answer) => self.on_answer(now, answer).into_iter().collect(),
            Event::Tick => self.on_tick(now).into_iter().collect(),
        }
    }

    fn on_tick(&mut self, now: Time) -> Option<Action> {
        match self.step {
            Step::Waiting(at) if now >= at => Some(self.list()),
            _ => None,
        }
    }

    fn on_answer(&mut self, now: Time, answer: Answer) -> Option<Action> {
        match (std::mem::replace(&mut self.step, Step::Over), answer) {
            (step @ (Step::Over | Step::Ready(_) | Step::Waiting(_)), _) => {
                self.step = step;
                None
            }
            (Step::Listing, Answer::Listed(entries)) => self.on_listed(now, entries),
            (Step::Sealing(entries), Answer::PutDone { .. }) => Some(self.create(now, entries)),
            // A full list takes longer than the old owner's next write, which
            // would make the seal miss again and again.
            (Step::Sealing(entries), Answer::PutConflict { segment }) => {
                self.step = Step::Rereading(entries);
                Some(Action::Read { segment })
            }
            (Step::Rereading(entries), Answer::Read { entry: Some(last), .. }) => {
                self.on_reread(now, entries, last)
            }
            (Step::Creating(next), Answer::PutDone { revision, .. }) => {
                self.step = Step::Checking(next, revision);
                Some(Action::Read { segment: HEAD })
            }
            (Step::Checking(next, revision), Answer::Read { entry, .. }) => {
                let head = entry.and_then(|entry| entry.segment);
                if !head.is_some_and(|head| head.is_of(&self.writer, self.epoch)) {
                    return Some(Action::Deposed);
                }
                self.finish(*next, revision);
                None
            }
            (Step::TakingHead, Answer::PutDone { .. })
            | (_, Answer::PutConflict { .. } | Answer::PutUnknown { .. }) => Some(self.list()),
            _ => {
                self.step = Step::Waiting(now + self.backoff.next_wait());
                None
            }
        }
    }

    fn list(&mut self) -> Action {
        self.step = Step::Listing;
        Action::List
    }

    fn on_listed(&mut self, now: Time, mut entries: Vec<Entry>) -> Option<Action> {
        entries.sort_by_key(|entry| entry.number);
        if entries.iter().any(|entry| self.is_later(entry)) {
            return Some(Action::Deposed);
        }
        let head = entries.first().filter(|entry| entry.number == HEAD);
        let is_mine = |s: &Segment| s.is_of(&self.writer, self.epoch);
        if !head.and_then(|entry| entry.segment.as_ref()).is_some_and(is_mine) {
            let expect = head.map_or(0, |entry| entry.revision);
            return Some(self.take_head(expect));
        }
        let Some(last) = entries.last().filter(|entry| entry.number != HEAD) else {
            return Some(self.create(now, entries));
        };
        match &last.segment {
            // The create of this takeover, whose answer was lost.
            Some(segment) if is_mine(segment) && segment.sealed_by.is_none() => {
                let revision = last.revision;
                let next = self.next(now, &entries, last.number, segment.clone());
                self.finish(next, revision);
                None
            }
            Some(segment) if segment.sealed_by == Some(self.epoch) => {
                Some(self.create(now, entries))
            }
            _ => self.seal(now, entries),
        }
    }

    fn on_reread(&mut self, now: Time, mut entries: Vec<Entry>, last: Entry) -> Option<Action> {
        entries.pop();
        entries.push(last);
        self.on_listed(now, entries)
    }

    /// Whether a process with a later token was at work.
    fn is_later(&self, entry: &Entry) -> bool {
        let Some(segment) = &entry.segment else { return false };
        let other = segment.epoch == self.epoch && segment.owner != self.writer;
        segment.epoch.max(segment.sealed_by.unwrap_or(0)) > self.epoch || other
    }

    fn take_head(&mut self, expect: u64) -> Action {
        self.step = Step::TakingHead;
        let mut value = Segment::new(self.writer.clone(), self.epoch);
        value.sealed_by = Some(self.epoch);
        Action::Put { segment: HEAD, expect, value }
    }

    fn seal(&mut self, now: Time, mut entries: Vec<Entry>) -> Option<Action> {
        let last = entries.last_mut()?;
        let (number, expect) = (last.number, last.revision);
        let segment = last.segment.get_or_insert_with(|| {
            // Unreadable: what it held can't be known.
            let mut lost = Segment::new(self.writer.clone(), self.epoch);
            lost.first = number;
            lost.floor = unknowable(&self.config, now);
            lost
        });
        segment.sealed_by = Some(self.epoch);
        let value = segment.clone();
        self.step = Step::Sealing(entries);
        Some(Action::Put { segment: number, expect, value })
    }

    fn create(&mut self, now: Time, entries: Vec<Entry>) -> Action {
        let last = entries.last().map_or(HEAD, |entry| entry.number);
        let mut segment = Segment::new(self.writer.clone(), self.epoch);
        segment.seq = 1;
        let mut next = self.next(now, &entries, last + 1, segment);
        next.segment.first = next.book.first;
        next.segment.floor = next.book.floor;
        let put = Action::Put { segment: next.number, expect: 0, value: next.segment.clone() };
        self.step = Step::Creating(Box::new(next));
        put
    }

    /// What the journal tells an owner that writes to `number`.
    fn next(&self, now: Time, entries: &[Entry], number: u64, segment: Segment) -> Next {
        let mut book = Book::default();
        let last = entries.last().and_then(|entry| entry.segment.as_ref());
        let first = last.map_or(number, |last| last.first.min(number));
        let mut expected = first;
        for entry in entries.iter().filter(|entry| entry.number >= first) {
            if entry.number != expected || entry.segment.is_none() {
                book.floor = unknowable(&self.config, now);
            }
            expected = entry.number + 1;
            if let Some(segment) = &entry.segment {
                book.take(entry.number, segment);
            }
        }
        book.first = first;
        let old = |entry: &&Entry| entry.number != HEAD && entry.number < first;
        let doomed = entries.iter().filter(old).map(|entry| entry.number).collect();
        Next { number, segment, book, doomed }
    }

    fn finish(&mut self, next: Next, revision: u64) {
        let Next { number, segment, book, doomed } = next;
        let journal = Journal::new(number, revision, segment);
        self.step = Step::Ready(Box::new(Owner::new(self.config, journal, book, doomed)));
    }
}

/// The floor where a part of the journal is missing: whatever a caller may
/// have issued so far could have been claimed there, so none of it is granted.
fn unknowable(config: &Config, now: Time) -> Time {
    now + config.future + Duration::from_millis(1)
}
