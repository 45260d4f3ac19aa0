//! Random interleavings of owners, workers and what gets lost between them, held
//! against what must hold always: at most one live run of a task but where a
//! lease has lapsed, no run over a worker's room, steps in order, nothing of a
//! cancelled job left, every other job completed in the end.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use common::{FENCE, Worker, at, entry, owner};
use corianderfork_jobs::pool::{Answer, Order, Pool};
use corianderfork_jobs::record::{Progress, Record, State};
use corianderfork_jobs::task::{Name, Outcome};
use corianderfork_jobs::worker::{Key, Location, Registration};
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;
use proptest::prelude::*;

/// What happens in one step of time.
#[derive(Clone, Debug)]
enum Event {
    /// A job of steps of so many tasks.
    Submit(Vec<u32>),
    Cancel(usize),
    /// The worker's answers get lost, or arrive again.
    Deafen(usize, bool),
    /// Orders to the worker are carried out later than the next ones.
    Delay(usize, bool),
    /// Another life of the worker begins.
    Crash(usize),
    /// A successor takes over; the old owner goes on for a while, unaware.
    Takeover,
    /// Writes reach the store, or don't.
    Store(bool),
    Pass,
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0usize..3;
    prop_oneof![
        6 => prop::collection::vec(1u32..4, 1..4).prop_map(Event::Submit),
        1 => (0usize..8).prop_map(Event::Cancel),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::Deafen(w, on)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, on)| Event::Delay(w, on)),
        1 => worker.prop_map(Event::Crash),
        1 => Just(Event::Takeover),
        2 => any::<bool>().prop_map(Event::Store),
        12 => Just(Event::Pass),
    ]
}

struct Play {
    now: u64,
    owners: Vec<Pool>,
    fence: u64,
    workers: BTreeMap<String, Worker>,
    entries: Vec<Registration>,
    lives: u16,
    deaf: HashSet<String>,
    slow: HashSet<String>,
    /// Orders on their way: when they arrive.
    late: Vec<(u64, Order)>,
    is_store_up: bool,
    roster: Vec<Location>,
    records: BTreeMap<JobId, (Record, u64)>,
    progress: HashMap<JobId, Progress>,
    cancelled: HashSet<JobId>,
    next: u64,
    broken: Vec<String>,
}

fn cpu() -> u64 {
    2_000
}

impl Play {
    fn new() -> Self {
        let entries: Vec<Registration> =
            (0..3).map(|i| entry(&format!("w{i}"), 9_000 + i, "r")).collect();
        let workers = entries.iter().map(|e| (e.id.clone(), Worker::default())).collect();
        Self {
            now: 1_000,
            owners: vec![owner(FENCE, 1_000)],
            fence: FENCE,
            workers,
            entries,
            lives: 3,
            deaf: HashSet::new(),
            slow: HashSet::new(),
            late: Vec::new(),
            is_store_up: true,
            roster: Vec::new(),
            records: BTreeMap::new(),
            progress: HashMap::new(),
            cancelled: HashSet::new(),
            next: 0,
            broken: Vec::new(),
        }
    }

    fn worker_id(&self, number: usize) -> String {
        self.entries[number % self.entries.len()].id.clone()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit(widths) => self.submit(widths),
            Event::Cancel(number) => self.cancel(*number),
            Event::Deafen(number, on) => {
                let id = self.worker_id(*number);
                if *on {
                    self.deaf.insert(id)
                } else {
                    self.deaf.remove(&id)
                };
            }
            Event::Delay(number, on) => {
                let id = self.worker_id(*number);
                if *on {
                    self.slow.insert(id)
                } else {
                    self.slow.remove(&id)
                };
            }
            Event::Crash(number) => self.crash(*number),
            Event::Takeover => self.take_over(),
            Event::Store(up) => self.is_store_up = *up,
            Event::Pass => {}
        }
    }

    fn submit(&mut self, widths: &[u32]) {
        if !self.is_store_up {
            return;
        }
        self.next += 1;
        let steps = widths.iter().enumerate().map(|(index, count)| {
            let step = common::step(*count, cpu());
            if index > 0 { step.after(index as u32 - 1) } else { step }
        });
        let job = Job::new("run".to_owned(), steps.collect()).expect("a job");
        let record = Record { queue: "q".to_owned(), accepted_ms: 0, job };
        self.records.insert(JobId(self.next), (record, self.fence + 1));
    }

    fn cancel(&mut self, number: usize) {
        let Some(id) = self.records.keys().nth(number).copied() else { return };
        let now = at(self.now);
        let Some(pool) = self.owners.last_mut() else { return };
        if pool.state(id).is_some_and(|state| !state.is_final()) && pool.cancel(now, id) {
            self.cancelled.insert(id);
        }
    }

    fn crash(&mut self, number: usize) {
        let old = self.worker_id(number);
        self.workers.remove(&old);
        self.lives += 1;
        let id = format!("w{}", self.lives);
        let seat = self.entries.iter_mut().find(|entry| entry.id == old).expect("listed");
        *seat = entry(&id, 9_000 + self.lives, "r");
        self.workers.insert(id, Worker::default());
    }

    /// The old owner goes on beside the new one until the next takeover.
    fn take_over(&mut self) {
        if !self.is_store_up {
            return;
        }
        self.fence += 100;
        let mut pool = owner(self.fence, self.now);
        pool.set_roster(self.roster.clone());
        for (id, (record, revision)) in &self.records {
            let progress = self.progress.get(id);
            pool.accept(at(self.now), Duration::ZERO, *id, record, progress, *revision);
        }
        pool.set_workers(at(self.now), &self.entries);
        self.owners.push(pool);
        if self.owners.len() > 2 {
            self.owners.remove(0);
        }
    }

    fn step(&mut self) {
        self.now += 100;
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            self.workers.get_mut(&id).expect("a worker").pass(now);
        }
        self.deliver_late();
        for index in 0..self.owners.len() {
            self.own(index);
        }
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, order) in due {
            self.obey(&order);
        }
    }

    fn own(&mut self, index: usize) {
        let is_newest = index + 1 == self.owners.len();
        let now = at(self.now);
        if self.owners[index].is_deposed() {
            return;
        }
        if is_newest {
            let entries = self.entries.clone();
            let pool = &mut self.owners[index];
            pool.set_workers(now, &entries);
            for (id, (record, revision)) in &self.records {
                pool.accept(now, Duration::ZERO, *id, record, self.progress.get(id), *revision);
            }
        }
        let keys: Vec<Key> = self.owners[index].workers().collect();
        for key in keys {
            self.look(index, key, now);
        }
        let orders = self.owners[index].plan(now, 0);
        for order in orders {
            self.order(index, &order);
        }
        if is_newest && self.is_store_up {
            self.write(index);
        }
    }

    fn look(&mut self, index: usize, key: Key, now: Time) {
        let Some(look) = self.owners[index].next_poll(now, key) else { return };
        let answer = match self.workers.get_mut(&look.id) {
            None => Answer::Lost,
            Some(worker) => {
                let answer = worker.report(self.now, look.fence, look.acked, look.deadline_ms);
                if self.deaf.contains(&look.id) { Answer::Lost } else { answer }
            }
        };
        self.owners[index].handle_poll_answer(now, now, key, &answer);
    }

    fn order(&mut self, index: usize, order: &Order) {
        let answer = if self.slow.contains(&order.id) {
            self.late.push((self.now + 1_700, order.clone()));
            Answer::Lost
        } else {
            let answer = self.obey(order);
            if self.deaf.contains(&order.id) { Answer::Lost } else { answer }
        };
        self.owners[index].handle_order_answer(at(self.now), order, &answer);
    }

    fn obey(&mut self, order: &Order) -> Answer<u64> {
        let steps: &[Step] = &self.records[&order.task.job].0.job.steps;
        let step = &steps[order.task.step as usize];
        let (room, after) = (step.room(), step.after.clone());
        let others = self.workers.iter().filter(|(id, _)| **id != order.id);
        let is_elsewhere = others.filter(|(_, w)| w.running.contains_key(&order.task)).count() > 0;
        let Some(worker) = self.workers.get_mut(&order.id) else { return Answer::Lost };
        let before = worker.running.len();
        let answer = worker.obey(self.now, order, room, 700);
        let is_new = worker.running.len() > before;
        let used: u64 = worker.running.values().map(|run| run.room.cpu).sum();
        if is_new && is_elsewhere {
            self.broken.push(format!("{:?} runs twice", order.task));
        }
        if is_new && used > 8_000 {
            self.broken.push(format!("{used} on {}", order.id));
        }
        if is_new {
            self.check_order(order.task, &after, steps_of(&self.records, order.task));
        }
        answer
    }

    fn check_order(&mut self, name: Name, after: &[u32], widths: Vec<u32>) {
        for step in after {
            for index in 0..widths[*step as usize] {
                let before = Name { step: *step, index, ..name };
                let is_done = self.owners.iter().any(|pool| pool.is_done(before));
                if !is_done {
                    self.broken.push(format!("{name:?} before {before:?}"));
                }
            }
        }
    }

    fn write(&mut self, index: usize) {
        let pool = &mut self.owners[index];
        if let Some(seats) = pool.roster_update() {
            self.roster.clone_from(&seats);
            pool.confirm_roster(seats);
        }
        let batch = pool.next_batch(at(self.now), 5_000, 28);
        for row in &batch.updates {
            self.progress.insert(row.id, row.progress.clone());
        }
        pool.confirm_batch(&batch);
    }

    fn end(mut self) -> Vec<String> {
        self.deaf.clear();
        self.slow.clear();
        self.is_store_up = true;
        for _ in 0..600 {
            self.step();
        }
        let pool = self.owners.last().expect("an owner");
        for id in self.records.keys() {
            let state = pool.state(*id);
            let is_fine = match state {
                Some(State::Completed) => true,
                Some(State::Cancelled) => self.cancelled.contains(id),
                _ => false,
            };
            if !is_fine {
                self.broken.push(format!("{id} ends as {state:?}"));
            }
        }
        if self.workers.values().any(|worker| !worker.running.is_empty()) {
            self.broken.push("something runs on".to_owned());
        }
        let lists_failure =
            self.workers.values().flat_map(|w| &w.ended).any(|e| e.outcome == Outcome::Failed);
        assert!(!lists_failure, "these workers fail nothing");
        self.broken
    }
}

fn steps_of(records: &BTreeMap<JobId, (Record, u64)>, name: Name) -> Vec<u32> {
    records[&name.job].0.job.steps.iter().map(|step| step.count).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn play_keeps_every_promise(events in prop::collection::vec(event(), 5..120)) {
        let mut play = Play::new();
        for event in &events {
            play.apply(event);
            play.step();
        }
        let broken = play.end();
        prop_assert!(broken.is_empty(), "{broken:#?}");
    }
}
