//! A store with compare-and-swap and several owners of one shard, stepped by
//! the test.

#![allow(dead_code)] // each test file uses only a part

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use corianderfork_coord::claim::segment::{Entry, Writer};
use corianderfork_coord::claim::{
    Action, Answer, Attempt, Config, End, Event, Id, Owner, Request, Segment, State, Takeover,
    Verdict,
};
use corianderfork_model::{Name, Time};

/// Far from the epoch, so that clocks may be behind.
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
            _ => unreachable!("the action is not a call to the store"),
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

    /// Whether the journal contains the claim or declares its id forgotten.
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
    /// Its clock offset, in milliseconds.
    pub skew: i64,
}

/// The state of an attempt at its proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Requested,
    Running,
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The call takes effect, but its answer is lost.
    LostAnswer,
    /// The call is refused.
    Refused,
    /// The call takes effect, but is reported as refused.
    FalseRefusal,
    /// The call times out and takes effect later.
    Delayed,
}

pub struct Simulation {
    pub config: Config,
    pub now: Time,
    pub store: Store,
    pub processes: Vec<Process>,
    pub delayed: Vec<Action>,
    pub runs: BTreeMap<(Id, Attempt), Run>,
    pub replies: Vec<(Id, Attempt, Verdict)>,
    requests: BTreeMap<u64, (Id, Attempt)>,
    tokens: u64,
}

impl Simulation {
    pub fn new(config: Config) -> Self {
        let (store, processes, delayed) = (Store::default(), Vec::new(), Vec::new());
        let (runs, replies, requests) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Self { config, now: START, store, processes, delayed, runs, replies, requests, tokens: 0 }
    }

    /// Starts a process that takes over under a higher token.
    pub fn start(&mut self, skew: i64) -> usize {
        self.tokens += 1;
        let writer = Writer::new(Name::new("entry").expect("a name"), self.tokens);
        let machine = Machine::Takeover(Box::new(Takeover::new(self.config, writer, self.tokens)));
        self.processes.push(Process { machine, calls: Vec::new(), deposed: false, skew });
        self.processes.len() - 1
    }

    pub fn event(&mut self, process: usize, event: Event) {
        let target = &mut self.processes[process];
        let now = Time::from_millis(self.now.as_millis().saturating_add_signed(target.skew));
        let actions = match &mut target.machine {
            Machine::Takeover(takeover) => takeover.on_event(now, event),
            Machine::Owner(owner) => owner.on_event(now, event),
        };
        if let Machine::Takeover(takeover) = &mut target.machine
            && let Some(owner) = takeover.take_owner()
        {
            target.machine = Machine::Owner(Box::new(owner));
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

    pub fn request(&mut self, process: usize, id: Id, attempt: Attempt) {
        if self.runs.get(&(id, attempt)) == Some(&Run::Cancelled) {
            return; // a proxy never reuses a cancelled attempt
        }
        self.runs.entry((id, attempt)).or_insert(Run::Requested);
        let key = self.requests.len() as u64;
        self.requests.insert(key, (id, attempt));
        self.event(process, Event::Request(Request { key, id, attempt }));
    }

    pub fn settle(&mut self, process: usize, id: Id, attempt: Attempt, end: End) {
        let run = self.runs.get(&(id, attempt)).copied();
        match (run, end) {
            (Some(Run::Running), End::Done) => {}
            (Some(Run::Requested | Run::Running), End::Abandoned) => {
                self.runs.insert((id, attempt), Run::Cancelled);
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
            Fault::Refused => failed(&call, false),
            Fault::LostAnswer | Fault::FalseRefusal => {
                self.store.serve(&call);
                failed(&call, fault == Fault::LostAnswer)
            }
            Fault::Delayed => {
                let answer = failed(&call, true);
                self.delayed.push(call);
                answer
            }
        };
        self.event(process, Event::Store(answer));
    }

    /// Ticks and serves a process until it has no calls left.
    pub fn run_until_idle(&mut self, process: usize) {
        for _ in 0..100 {
            self.tick(process);
            if self.processes[process].calls.is_empty() {
                return;
            }
            self.serve(process, Fault::None);
        }
        panic!("the process never becomes idle");
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub fn owner(&self, process: usize) -> &Owner {
        match &self.processes[process].machine {
            Machine::Owner(owner) => owner,
            Machine::Takeover(_) => panic!("the takeover is not complete"),
        }
    }

    pub fn verdict(&self) -> Verdict {
        self.replies.last().expect("a reply").2
    }

    /// Checks the history at each reply.
    fn on_reply(&mut self, key: u64, verdict: Verdict) {
        let (id, attempt) = self.requests[&key];
        self.replies.push((id, attempt, verdict));
        let run = self.runs.get_mut(&(id, attempt)).expect("the attempt sent a request");
        match (verdict, *run) {
            (Verdict::Granted, _) => {
                assert!(
                    self.store.remembers(id, attempt),
                    "granted {id}, which is not in the journal"
                );
                if *run == Run::Requested {
                    *run = Run::Running;
                }
            }
            (_, Run::Requested) => *run = Run::Cancelled,
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
