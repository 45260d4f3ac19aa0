//! A store with compare-and-swap and some owners of one shard, stepped by hand.

#![allow(dead_code)] // each test file uses a part of it

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use corianderfork_coord::claim::segment::{Entry, Writer};
use corianderfork_coord::claim::{
    Action, Answer, Attempt, Config, End, Event, Id, Owner, Request, Segment, State, Takeover,
    Verdict,
};
use corianderfork_model::{Name, Time};

/// Well after the origin, so that clocks may be behind.
pub const START: Time = Time::from_millis(1_700_000_000_000);

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub segments: BTreeMap<u64, (u64, Segment)>,
    pub puts: usize,
    claimed: HashSet<(Id, Attempt)>,
}

impl Store {
    fn entry(&self, number: u64) -> Option<Entry> {
        let (revision, segment) = self.segments.get(&number)?;
        Some(Entry { number, revision: *revision, segment: Some(segment.clone()) })
    }

    pub fn serve(&mut self, action: &Action) -> Answer {
        match *action {
            Action::List => {
                Answer::Listed(self.segments.keys().filter_map(|&n| self.entry(n)).collect())
            }
            Action::Read { segment } => Answer::Read { segment, entry: self.entry(segment) },
            Action::Delete { segment } => {
                self.segments.remove(&segment);
                Answer::Deleted { segment }
            }
            Action::Put { segment, expect, ref value } => self.put(segment, expect, value),
            _ => unreachable!("not a call"),
        }
    }

    fn put(&mut self, segment: u64, expect: u64, value: &Segment) -> Answer {
        let current = self.segments.get(&segment).map_or(0, |(revision, _)| *revision);
        if current != expect {
            return Answer::PutConflict { segment };
        }
        self.puts += 1;
        self.revision += 1;
        for record in &value.records {
            if let State::Claimed(attempt) = record.state {
                self.claimed.insert((record.id, attempt));
            }
        }
        self.segments.insert(segment, (self.revision, value.clone()));
        Answer::PutDone { segment, revision: self.revision }
    }

    /// Whether the journal holds the claim, or holds that its id is forgotten.
    fn remembers(&self, id: Id, attempt: Attempt) -> bool {
        let mut segments = self.segments.values().map(|(_, segment)| segment);
        self.claimed.contains(&(id, attempt))
            && segments.any(|s| s.floor > id.issued() || s.records.iter().any(|r| r.id == id))
    }
}

pub enum Machine {
    Takeover(Box<Takeover>),
    Owner(Box<Owner>),
}

pub struct Process {
    pub machine: Machine,
    pub calls: Vec<Action>,
    pub deposed: bool,
    /// What its clock is ahead or behind, in milliseconds.
    pub skew: i64,
}

/// What a proxy knows of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Asked,
    Running,
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The call takes effect, its answer is lost.
    LostAnswer,
    /// The call is refused.
    Down,
    /// The call is said to be refused, but takes effect.
    Lying,
    /// The call times out and takes effect at some later time.
    Late,
}

pub struct World {
    pub config: Config,
    pub now: Time,
    pub store: Store,
    pub processes: Vec<Process>,
    pub late: Vec<Action>,
    pub runs: BTreeMap<(Id, Attempt), Run>,
    pub replies: Vec<(Id, Attempt, Verdict)>,
    asks: BTreeMap<u64, (Id, Attempt)>,
    tokens: u64,
}

impl World {
    pub fn new(config: Config) -> Self {
        let (store, processes, late) = (Store::default(), Vec::new(), Vec::new());
        let (runs, replies, asks) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Self { config, now: START, store, processes, late, runs, replies, asks, tokens: 0 }
    }

    /// A new process begins a takeover under a higher token.
    pub fn start(&mut self, skew: i64) -> usize {
        self.tokens += 1;
        let writer = Writer::new(Name::new("entry").expect("a name"), self.tokens);
        let machine = Machine::Takeover(Box::new(Takeover::new(self.config, writer, self.tokens)));
        self.processes.push(Process { machine, calls: Vec::new(), deposed: false, skew });
        self.processes.len() - 1
    }

    pub fn event(&mut self, process: usize, event: Event) {
        let it = &mut self.processes[process];
        let now = Time::from_millis(self.now.as_millis().saturating_add_signed(it.skew));
        let actions = match &mut it.machine {
            Machine::Takeover(takeover) => takeover.on_event(now, event),
            Machine::Owner(owner) => owner.on_event(now, event),
        };
        if let Machine::Takeover(takeover) = &mut it.machine
            && let Some(owner) = takeover.take_owner()
        {
            it.machine = Machine::Owner(Box::new(owner));
        }
        for action in actions {
            match action {
                Action::Reply { key, verdict } => self.on_reply(key, verdict),
                Action::Deposed => self.processes[process].deposed = true,
                call => self.processes[process].calls.push(call),
            }
        }
    }

    pub fn tick(&mut self, process: usize) {
        self.event(process, Event::Tick);
    }

    pub fn ask(&mut self, process: usize, id: Id, attempt: Attempt) {
        if self.runs.get(&(id, attempt)) == Some(&Run::GivenUp) {
            return; // a proxy never asks again with it
        }
        self.runs.entry((id, attempt)).or_insert(Run::Asked);
        let key = self.asks.len() as u64;
        self.asks.insert(key, (id, attempt));
        self.event(process, Event::Request(Request { key, id, attempt }));
    }

    pub fn settle(&mut self, process: usize, id: Id, attempt: Attempt, end: End) {
        let run = self.runs.get(&(id, attempt)).copied();
        match (run, end) {
            (Some(Run::Running), End::Done) => {}
            (Some(Run::Asked | Run::Running), End::Abandoned) => {
                self.runs.insert((id, attempt), Run::GivenUp);
            }
            _ => return,
        }
        self.event(process, Event::Settle { id, attempt, end });
    }

    /// Carries out the oldest call of a process.
    pub fn serve(&mut self, process: usize, fault: Fault) {
        if self.processes[process].calls.is_empty() {
            return;
        }
        let call = self.processes[process].calls.remove(0);
        let answer = match fault {
            Fault::None => self.store.serve(&call),
            Fault::Down => failed(&call, false),
            Fault::LostAnswer | Fault::Lying => {
                self.store.serve(&call);
                failed(&call, fault == Fault::LostAnswer)
            }
            Fault::Late => {
                let answer = failed(&call, true);
                self.late.push(call);
                answer
            }
        };
        self.event(process, Event::Store(answer));
    }

    /// Ticks and serves a process until it has nothing to do.
    pub fn settle_down(&mut self, process: usize) {
        for _ in 0..100 {
            self.tick(process);
            if self.processes[process].calls.is_empty() {
                return;
            }
            self.serve(process, Fault::None);
        }
        panic!("the process never comes to rest");
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub fn owner(&self, process: usize) -> &Owner {
        match &self.processes[process].machine {
            Machine::Owner(owner) => owner,
            Machine::Takeover(_) => panic!("the takeover isn't complete"),
        }
    }

    pub fn verdict(&self) -> Verdict {
        self.replies.last().expect("a reply").2
    }

    /// The history's check, at each reply.
    fn on_reply(&mut self, key: u64, verdict: Verdict) {
        let (id, attempt) = self.asks[&key];
        self.replies.push((id, attempt, verdict));
        let run = self.runs.get_mut(&(id, attempt)).expect("it asked");
        match (verdict, *run) {
            (Verdict::Granted, _) => {
                assert!(self.store.remembers(id, attempt), "granted {id}, not in the journal");
                if *run == Run::Asked {
                    *run = Run::Running;
                }
            }
            (_, Run::Asked) => *run = Run::GivenUp,
            _ => {}
        }
        let running = self.runs.iter().filter(|(key, run)| key.0 == id && **run == Run::Running);
        assert!(running.count() <= 1, "{id} is run by two attempts");
    }
}

fn failed(call: &Action, unknown: bool) -> Answer {
    match *call {
        Action::Put { segment, .. } if unknown => Answer::PutUnknown { segment },
        Action::Put { segment, .. } => Answer::PutUnavailable { segment },
        Action::Read { segment } => Answer::ReadFailed { segment },
        Action::Delete { segment } => Answer::DeleteFailed { segment },
        _ => Answer::ListFailed,
    }
}
