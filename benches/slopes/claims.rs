//! A shard's owner: ids remembered, bytes written, time a claim.

use corianderfork::claim::segment::{Entry, Writer};
use corianderfork::claim::{
    Action, Answer, Attempt, Config, Event, Id, Owner, Request, Segment, Takeover, Verdict,
};
use corianderfork::model::{Name, Time};

use crate::fit::{Series, micros, print_resident, resident_kib};

const CLAIMS: [usize; 4] = [2_000, 8_000, 16_000, 32_000];
/// Claims that meet in one batch.
const BATCH: usize = 8;
/// Between two batches.
const GAP_MS: u64 = 25;
const START: Time = Time::from_millis(1_790_000_000_000);

pub fn series() -> Vec<Series> {
    let time = |claims| micros(|| Shard::start().claim(claims)) / claims as f64;
    let held = |claims| resident_kib("claims", claims);
    let written = |claims| {
        let mut shard = Shard::start();
        shard.claim(claims);
        shard.written as f64 / 1024.0
    };
    vec![
        Series::new("proxy", "claim_of_an_owner", ("remembered id", "us"), &CLAIMS, time),
        Series::new("proxy", "claims_held", ("remembered id", "KiB"), &CLAIMS, held),
        Series::new("store", "journal_written", ("claim", "KiB"), &CLAIMS, written),
    ]
}

pub fn print_held(claims: usize) {
    print_resident(|| {
        let mut shard = Shard::start();
        shard.claim(claims);
        shard
    });
}

/// An owner before a store that takes every write.
struct Shard {
    owner: Owner,
    head: Option<Entry>,
    now: Time,
    revision: u64,
    written: usize,
}

impl Shard {
    fn start() -> Self {
        let writer = Writer::new(Name::new("e1").expect("a name"), 1);
        let mut takeover = Takeover::new(Config::new(), writer, 1);
        let mut actions = takeover.on_event(START, Event::Tick);
        let mut head = None;
        let mut revision = 0;
        while let Some(action) = actions.pop() {
            let answer = match action {
                Action::List => Answer::Listed(head.clone().into_iter().collect()),
                Action::Put { segment, value, .. } => {
                    revision += 1;
                    let segment_now = Some(value);
                    head = head.or(Some(Entry { number: segment, revision, segment: segment_now }));
                    Answer::PutDone { segment, revision }
                }
                Action::Read { segment } => Answer::Read { segment, entry: head.clone() },
                _ => continue,
            };
            actions = takeover.on_event(START, Event::Store(answer));
        }
        let owner = takeover.take_owner().expect("nothing stands in the way");
        Self { owner, head, now: START, revision, written: 0 }
    }

    fn put(&mut self, segment: u64, value: &Segment) -> Answer {
        self.written += serde_json::to_string(value).expect("JSON").len();
        self.revision += 1;
        Answer::PutDone { segment, revision: self.revision }
    }

    fn claim(&mut self, claims: usize) {
        for number in 0..claims {
            let id = Id::issue(self.now, number as u64);
            let ask = Request { key: number as u64, id, attempt: Attempt::new(1, number as u64) };
            let actions = self.owner.on_event(self.now, Event::Request(ask));
            self.answer(actions);
            if number % BATCH == BATCH - 1 {
                self.now = Time::from_millis(self.now.as_millis() + GAP_MS);
                let actions = self.owner.on_event(self.now, Event::Tick);
                self.answer(actions);
            }
        }
    }

    fn answer(&mut self, actions: Vec<Action>) {
        for action in actions {
            let answer = match action {
                Action::Put { segment, value, .. } => self.put(segment, &value),
                Action::Read { segment } => Answer::Read { segment, entry: self.head.clone() },
                Action::Delete { segment } => Answer::Deleted { segment },
                Action::Reply { verdict, .. } => {
                    assert_eq!(verdict, Verdict::Granted);
                    continue;
                }
                _ => continue,
            };
            let more = self.owner.on_event(self.now, Event::Store(answer));
            self.answer(more);
        }
    }
}
