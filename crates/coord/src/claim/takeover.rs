//! How a process becomes the owner of a shard.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::config::Config;
use super::index::Index;
use super::journal::Journal;
use super::message::{Action, Answer, Event, Verdict};
use super::owner::Owner;
use super::segment::{Entry, HEAD, Segment, Writer};
use crate::backoff::{self, Backoff};

/// The first wait after the platform's service failed.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The longest wait while the service is unavailable.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A state machine that makes a process the owner of a shard. One is created
/// for each fencing token.
///
/// 1. Write the token to [`HEAD`], unless a higher one is there.
/// 2. List the journal and seal its last segment by compare-and-swap. From then
///    on the old owner cannot add to the journal.
/// 3. Create the next segment. If it exists already, the old owner has started
///    it in the meantime: go back to step 2, which seals that one too.
/// 4. Read the head again. If it still contains this token, no other takeover
///    has started since, and the journal is complete as listed.
///
/// Conflicts and lost answers are resolved by listing again, because the effect
/// of each step is visible in the journal. Requests are refused until the
/// takeover is complete.
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
    /// List at the first tick from this time on.
    Waiting(Time),
    Listing,
    WritingHead,
    Sealing(Vec<Entry>),
    /// The seal conflicted: only the last segment can have changed.
    Rereading(Vec<Entry>),
    Creating(Box<InitialState>),
    Checking(Box<InitialState>, u64),
    Ready(Box<Owner>),
    /// The owner was taken, or another process is the owner.
    Finished,
}

/// The state with which the new owner starts.
#[derive(Debug)]
struct InitialState {
    number: u64,
    segment: Segment,
    index: Index,
    deletable: BTreeSet<u64>,
}

impl Takeover {
    /// Creates a takeover by `writer` under the fencing token `epoch` of its
    /// lease.
    pub fn new(config: Config, writer: Writer, epoch: u64) -> Self {
        let waits = backoff::Config::new().first(FIRST_WAIT).max(MAX_WAIT);
        let backoff = Backoff::new(waits, writer.incarnation ^ epoch);
        Self { config, writer, epoch, backoff, step: Step::Waiting(Time::ZERO) }
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Time> {
        match self.step {
            Step::Waiting(at) => Some(at),
            _ => None,
        }
    }

    /// Returns the owner once the takeover is complete. Only the first call
    /// returns it.
    pub fn take_owner(&mut self) -> Option<Owner> {
        match std::mem::replace(&mut self.step, Step::Finished) {
            Step::Ready(owner) => Some(*owner),
            step => {
                self.step = step;
                None
            }
        }
    }

    /// Handles an event at `now` (Unix time) and returns the actions to carry
    /// out. The first [`Event::Tick`] starts the takeover.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Request(request) => {
                let verdict = Verdict::Unavailable { retry_after: self.config.request_timeout };
                vec![Action::Reply { key: request.key, verdict }]
            }
            // The settlement is lost with the old owner. The id stays claimed,
            // which is safe.
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
        match (std::mem::replace(&mut self.step, Step::Finished), answer) {
            (step @ (Step::Finished | Step::Ready(_) | Step::Waiting(_)), _) => {
                self.step = step;
                None
            }
            (Step::Listing, Answer::Listed(entries)) => self.on_listed(now, entries),
            (Step::Sealing(entries), Answer::PutDone { .. }) => Some(self.create(now, entries)),
            // Read only the last segment. A full list takes longer than the old
            // owner's next write, so that the seal would conflict again and
            // again.
            (Step::Sealing(entries), Answer::PutConflict { segment }) => {
                self.step = Step::Rereading(entries);
                Some(Action::Read { segment })
            }
            (Step::Rereading(entries), Answer::Read { entry: Some(last), .. }) => {
                self.on_reread(now, entries, last)
            }
            (Step::Creating(state), Answer::PutDone { revision, .. }) => {
                self.step = Step::Checking(state, revision);
                Some(Action::Read { segment: HEAD })
            }
            (Step::Checking(state, revision), Answer::Read { entry, .. }) => {
                let head = entry.and_then(|entry| entry.segment);
                if !head.is_some_and(|head| head.is_written_by(&self.writer, self.epoch)) {
                    return Some(Action::Deposed);
                }
                self.finish(*state, revision);
                None
            }
            (Step::WritingHead, Answer::PutDone { .. })
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
        if entries.iter().any(|entry| self.is_from_later_owner(entry)) {
            return Some(Action::Deposed);
        }
        let head = entries.first().filter(|entry| entry.number == HEAD);
        let is_mine = |s: &Segment| s.is_written_by(&self.writer, self.epoch);
        if !head.and_then(|entry| entry.segment.as_ref()).is_some_and(is_mine) {
            let expect = head.map_or(0, |entry| entry.revision);
            return Some(self.write_head(expect));
        }
        let Some(last) = entries.last().filter(|entry| entry.number != HEAD) else {
            return Some(self.create(now, entries));
        };
        match &last.segment {
            // The segment that this takeover created; the answer was lost.
            Some(segment) if is_mine(segment) && segment.sealed_by.is_none() => {
                let revision = last.revision;
                let state = self.initial_state(now, &entries, last.number, segment.clone());
                self.finish(state, revision);
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

    /// Whether an owner with a later token has written the entry.
    fn is_from_later_owner(&self, entry: &Entry) -> bool {
        let Some(segment) = &entry.segment else { return false };
        let other = segment.epoch == self.epoch && segment.owner != self.writer;
        segment.epoch.max(segment.sealed_by.unwrap_or(0)) > self.epoch || other
    }

    fn write_head(&mut self, expect: u64) -> Action {
        self.step = Step::WritingHead;
        let mut value = Segment::new(self.writer.clone(), self.epoch);
        value.sealed_by = Some(self.epoch);
        Action::Put { segment: HEAD, expect, value }
    }

    fn seal(&mut self, now: Time, mut entries: Vec<Entry>) -> Option<Action> {
        let last = entries.last_mut()?;
        let (number, expect) = (last.number, last.revision);
        let segment = last.segment.get_or_insert_with(|| {
            // The segment cannot be decoded, so its records are unknown.
            let mut lost = Segment::new(self.writer.clone(), self.epoch);
            lost.first = number;
            lost.floor = floor_after_loss(&self.config, now);
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
        let mut state = self.initial_state(now, &entries, last + 1, segment);
        state.segment.first = state.index.first;
        state.segment.floor = state.index.floor;
        let put = Action::Put { segment: state.number, expect: 0, value: state.segment.clone() };
        self.step = Step::Creating(Box::new(state));
        put
    }

    /// Builds the state of an owner that writes to segment `number` from the
    /// journal.
    fn initial_state(
        &self,
        now: Time,
        entries: &[Entry],
        number: u64,
        segment: Segment,
    ) -> InitialState {
        let mut index = Index::default();
        let last = entries.last().and_then(|entry| entry.segment.as_ref());
        let first = last.map_or(number, |last| last.first.min(number));
        let mut expected = first;
        for entry in entries.iter().filter(|entry| entry.number >= first) {
            if entry.number != expected || entry.segment.is_none() {
                index.floor = floor_after_loss(&self.config, now);
            }
            expected = entry.number + 1;
            if let Some(segment) = &entry.segment {
                index.apply(entry.number, segment);
            }
        }
        index.first = first;
        let old = |entry: &&Entry| entry.number != HEAD && entry.number < first;
        let deletable = entries.iter().filter(old).map(|entry| entry.number).collect();
        InitialState { number, segment, index, deletable }
    }

    fn finish(&mut self, state: InitialState, revision: u64) {
        let InitialState { number, segment, index, deletable } = state;
        let journal = Journal::new(number, revision, segment);
        self.step = Step::Ready(Box::new(Owner::new(self.config, journal, index, deletable)));
    }
}

/// Returns the floor if a part of the journal is missing: any id issued so far
/// may have been claimed there, so none of them is granted.
fn floor_after_loss(config: &Config, now: Time) -> Time {
    now + config.max_clock_skew + Duration::from_millis(1)
}
