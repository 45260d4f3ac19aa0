//! The owner of one pool's work: brings the pure [`Pool`] and the world together.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::{Item, MAX_ROWS, Outcome, Txn};
use corianderfork_adapter::worker as wire;
use corianderfork_jobs::pool::{Answer, Config, Look, Order, Pool};
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::worker::{self, Seat};
use corianderfork_jobs::{Batch, JobId};
use corianderfork_model::Time;
use serde_json::json;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::duty::{DUTIES, Holder};
use crate::follow::{News, follow};
use crate::http::Failed;
use crate::node::{HOLD_ON, Node, TTL};
use crate::peer::{self, Ask, Reply};
use crate::store::Error;

/// The prefix of accepted jobs; pool and id follow.
pub const JOBS: &str = "job/";
/// The prefix of how far jobs are; pool and id follow.
pub const RUNS: &str = "run/";
/// The prefix of where a pool's workers are.
const ROSTERS: &str = "roster/";
/// The prefix of the number of an owner's last write.
const WRITES: &str = "write/";

/// How long a lease on a worker is: longer than a takeover takes, so that what
/// runs survives the death of an owner, and no longer, since the tasks of a
/// worker that falls silent wait for it.
const LEASE: Duration = Duration::from_millis(4_500);
/// How long a worker may take over an answer, beside what it was asked to wait.
const ANSWER: Duration = Duration::from_millis(700);
/// How long a worker may take over an answer that is not known to answer: a
/// takeover waits for the first look at each.
const FIRST_ANSWER: Duration = Duration::from_millis(300);
/// How often the pool is planned though nothing happened.
const TICK: Duration = Duration::from_millis(60);
/// The least time between two plannings: what happens together is planned for
/// together.
const TOGETHER: Duration = Duration::from_millis(3);
/// The pause after a look that brought ends: the next ends come together. For
/// each worker of the pool it grows by [`AFTER_ENDS_EACH`], so that the looks of
/// an owner are bounded as its pool grows: 250 workers that end 11 tasks a second
/// each would be looked at 2,750 times a second, which is 0.13 of a core at the
/// 46 us that a call is charged.
const AFTER_ENDS: Duration = Duration::from_millis(10);
/// See [`AFTER_ENDS`].
const AFTER_ENDS_EACH: Duration = Duration::from_micros(250);
/// The pause after a look that brought only ends that are being written.
const NOTHING_NEW: Duration = Duration::from_millis(40);
/// The pause after a look without an answer.
const AFTER_SILENCE: Duration = Duration::from_millis(200);
/// How long changes of accepted jobs are gathered: the entry VM that took a job
/// tells the owner itself, and the watch is there for what got lost.
const JOBS_TOGETHER: Duration = Duration::from_millis(250);
/// How long the holder before may take over its farewell.
const FAREWELL: Duration = Duration::from_millis(250);
/// How long a cancelling caller waits for the write.
const CANCEL: Duration = Duration::from_millis(2_200);
/// Rows of a write besides those of the batch: the duty, the number of the
/// write twice, the roster.
const FIXED_ROWS: usize = 4;
/// How far ahead of its time all is written at a planned stop.
const FLUSH_AHEAD: Duration = Duration::from_secs(2);
/// How often, and how many times, a planned stop looks whether all is written.
const FLUSH_LOOK: Duration = Duration::from_millis(15);
const FLUSH_LOOKS: u32 = 40;
/// How long a worker stays vacated after the planner last asked.
const VACATE: Duration = Duration::from_millis(2_500);

/// Owns the work of a pool.
pub struct Owner {
    node: Rc<Node>,
    name: String,
    /// What is known and decided.
    pub pool: RefCell<Pool>,
    /// Told when there is something to plan for.
    pub wake: Notify,
    /// Whether the list of workers changed.
    pub list_changed: Cell<bool>,
    journal: Notify,
    /// Whether nothing is ordered or asked any more, only written.
    halted: Cell<bool>,
    /// Whether all is to be written, however fresh.
    flushing: Cell<bool>,
    loaded: Cell<bool>,
    retired: Cell<bool>,
    looking: RefCell<HashSet<worker::Key>>,
    waiting: RefCell<Vec<(JobId, oneshot::Sender<()>)>>,
    /// The revision of the last write's number.
    write_revision: Cell<u64>,
    writes: Cell<u64>,
    /// Jobs taken in.
    taken: Cell<usize>,
}

/// The key of an accepted job.
pub fn job_key(pool: &str, id: &str) -> String {
    format!("{JOBS}{pool}/{id}")
}

/// The key of how far a job is.
pub fn run_key(pool: &str, id: &str) -> String {
    format!("{RUNS}{pool}/{id}")
}

impl Owner {
    /// Begins to own the work of `pool`, with `fence`.
    pub fn start(node: &Rc<Node>, name: &str, fence: u64, before: Holder) -> Rc<Self> {
        let lease = LEASE.min(node.settings.max_lease);
        let remember = node.settings.remember + Duration::from_secs(5);
        // A holder that has started anew grants nothing more; one that is only
        // silent may go on for as long as it may hold on.
        let is_dead = node.has_restarted(&before);
        let may_grant = if is_dead { Duration::ZERO } else { HOLD_ON + TTL };
        let bound = may_grant + lease.mul_f64(1.03);
        let config = Config::new(fence, clock::now() + bound).lease(lease).remember(remember);
        let owner = Rc::new(Self {
            node: node.clone(),
            name: name.to_owned(),
            pool: RefCell::new(Pool::new(config)),
            wake: Notify::new(),
            list_changed: Cell::new(true),
            journal: Notify::new(),
            halted: Cell::new(false),
            flushing: Cell::new(false),
            loaded: Cell::new(false),
            retired: Cell::new(false),
            looking: RefCell::default(),
            waiting: RefCell::default(),
            write_revision: Cell::new(0),
            writes: Cell::new(0),
            taken: Cell::new(0),
        });
        spawn_local(owner.clone().run(before));
        owner
    }

    /// Whether it has read what was accepted before.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get() && !self.retired.get()
    }

    /// The fence.
    pub fn fence(&self) -> u64 {
        self.pool.borrow().fence()
    }

    /// Whether it gives no more orders.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Gives no more orders.
    pub fn retire(&self, why: &str) {
        if !self.retired.replace(true) {
            self.node
                .trace
                .line("duty left", json!({ "duty": self.name, "fence": self.fence(), "why": why }));
            self.wake.notify_one();
            self.journal.notify_one();
        }
    }

    async fn run(self: Rc<Self>, before: Holder) {
        let begun = clock::now();
        self.load(before).await;
        if self.retired.get() {
            return;
        }
        self.loaded.set(true);
        self.node.trace.key(
            "duty begun",
            json!({ "duty": self.name, "fence": self.fence(), "jobs": self.taken.get(),
                "took_ms": ms(clock::now() - begun) }),
        );
        spawn_local(self.clone().write_loop());
        spawn_local(self.clone().follow_jobs());
        self.plan_loop().await;
    }

    async fn load(self: &Rc<Self>, before: Holder) {
        let grants = self.say_farewell(before).await;
        loop {
            if self.retired.get() {
                return;
            }
            match self.read().await {
                Ok((roster, jobs, runs)) => {
                    self.take_in(roster, &jobs, &runs, grants.as_ref());
                    break;
                }
                Err(error) => {
                    self.node.trace.line(
                        "load failed",
                        json!({ "duty": self.name, "why": error.to_string() }),
                    );
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
        while !self.node.servers_known.get() && !self.retired.get() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Tells the holder before that it is replaced, and hears until when what
    /// it granted holds. One that doesn't answer is waited out instead.
    async fn say_farewell(&self, before: Holder) -> Option<BTreeMap<String, u64>> {
        let peers = before.peers.filter(|_| !self.node.is_me(&before))?;
        let ask = Ask::Retire { duty: self.name.clone(), fence: self.fence() };
        match peer::ask(&self.node.client, peers, &ask, FAREWELL).await {
            Ok(Reply::Retired { grants }) => grants,
            _ => None,
        }
    }

    async fn read(&self) -> Result<(Vec<Seat>, Vec<Item>, Vec<Item>), Error> {
        let store = &self.node.store;
        let roster = store.get(&format!("{ROSTERS}{}", self.name)).await?;
        let seats = roster.and_then(|item| serde_json::from_slice(&item.value).ok());
        let write = store.get(&format!("{WRITES}{}", self.name)).await?;
        self.write_revision.set(write.map_or(0, |item| item.revision));
        // Jobs first: one that ends is moved from the one to the other, and by
        // this owner alone.
        let (jobs, _) = store.range(&format!("{JOBS}{}/", self.name)).await?;
        let (runs, _) = store.range(&format!("{RUNS}{}/", self.name)).await?;
        Ok((seats.unwrap_or_default(), jobs, runs))
    }

    fn take_in(
        &self,
        roster: Vec<Seat>,
        jobs: &[Item],
        runs: &[Item],
        grants: Option<&BTreeMap<String, u64>>,
    ) {
        let now = clock::now();
        let mut progress: BTreeMap<String, Progress> = BTreeMap::new();
        for item in runs {
            match serde_json::from_slice(&item.value) {
                Ok(row) => drop(progress.insert(id_of(&item.key).to_owned(), row)),
                Err(error) => self.unreadable(&item.key, &error.to_string()),
            }
        }
        let mut pool = self.pool.borrow_mut();
        pool.set_roster(roster);
        if let Some(config) = self.node.config.borrow().as_ref() {
            pool.set_queues(config.queues());
        }
        if let Some(grants) = grants {
            pool.set_inherited(now, grants);
        }
        drop(pool);
        for item in jobs {
            let known = progress.remove(id_of(&item.key));
            self.accept_item(&item.key, &item.value, known.as_ref(), item.revision);
        }
        for (id, row) in progress {
            if let Ok(id) = id.parse() {
                self.pool.borrow_mut().accept_ended(now, id, &row);
            }
        }
    }

    fn unreadable(&self, key: &str, why: &str) {
        self.node.trace.line("record unreadable", json!({ "key": key, "why": why }));
    }

    fn accept_item(&self, key: &str, value: &[u8], progress: Option<&Progress>, revision: u64) {
        let Ok(id) = id_of(key).parse() else { return };
        match serde_json::from_slice::<Record>(value) {
            Ok(record) => self.accept(id, &record, progress, revision),
            Err(error) => self.unreadable(key, &error.to_string()),
        }
    }

    /// Takes in an accepted job.
    pub fn accept(&self, id: JobId, record: &Record, progress: Option<&Progress>, revision: u64) {
        let age = Duration::from_millis(clock::wall_ms().saturating_sub(record.accepted_ms));
        // The time of day may have jumped since; a job is no older than this.
        let age = age.min(Duration::from_secs(30));
        let now = clock::now();
        let mut pool = self.pool.borrow_mut();
        if pool.state(id).is_none() {
            pool.accept(now, age, id, record, progress, revision);
            drop(pool);
            self.taken.set(self.taken.get() + 1);
            // What a takeover reads is told as one line.
            if self.loaded.get() {
                self.node.trace.line(
                    "job taken in",
                    json!({ "job": id.to_string(), "queue": record.queue, "revision": revision,
                        "age_ms": ms(age), "fence": self.fence() }),
                );
            }
            self.wake.notify_one();
        }
    }

    async fn follow_jobs(self: Rc<Self>) {
        let (learner, wanted) = (self.clone(), self.clone());
        let learn = move |news: News| match news {
            News::All(items) => {
                for item in items {
                    learner.accept_item(&item.key, &item.value, None, item.revision);
                }
            }
            News::Change(event) => {
                if let Some(value) = event.value {
                    learner.accept_item(&event.key, &value, None, event.revision);
                }
            }
        };
        let prefix = format!("{JOBS}{}/", self.name);
        follow(self.node.clone(), prefix, JOBS_TOGETHER, move || !wanted.retired.get(), learn)
            .await;
    }

    async fn plan_loop(self: Rc<Self>) {
        while !self.retired.get() && !self.halted.get() {
            self.plan();
            tokio::time::sleep(TOGETHER).await;
            // A tick without news is as good as news.
            let _ = timeout(TICK, self.wake.notified()).await;
        }
    }

    fn plan(self: &Rc<Self>) {
        let now = clock::now();
        if self.list_changed.replace(false) {
            let entries = self.node.workers_of(&self.name);
            self.pool.borrow_mut().set_workers(now, &entries);
        }
        self.start_looks();
        if self.node.may_order() {
            let orders = self.pool.borrow_mut().plan(now, clock::wall_ms());
            for order in orders {
                spawn_local(self.clone().send(order));
            }
        }
        self.log_notes();
        let is_deposed = self.pool.borrow().is_deposed();
        if is_deposed {
            self.retire("a worker saw a higher fence");
        }
        self.journal.notify_one();
    }

    fn log_notes(&self) {
        let notes = self.pool.borrow_mut().notes();
        for note in notes {
            self.node.metrics.event(note.what);
            let task = note.task.map(wire::task);
            self.node.trace.line(
                note.what,
                json!({ "task": task, "worker": note.worker, "why": note.why, "fence": self.fence() }),
            );
        }
    }

    fn start_looks(self: &Rc<Self>) {
        let keys: Vec<worker::Key> = self.pool.borrow().workers().collect();
        for key in keys {
            if self.looking.borrow_mut().insert(key) {
                spawn_local(self.clone().look_loop(key));
            }
        }
    }

    async fn look_loop(self: Rc<Self>, key: worker::Key) {
        let mut newest = None;
        while !self.retired.get() && !self.halted.get() {
            if !self.node.may_order() {
                tokio::time::sleep(AFTER_SILENCE).await;
                continue;
            }
            let sent = clock::now();
            let Some(look) = self.pool.borrow_mut().next_look(sent, key) else { break };
            let answer = self.look(&look).await;
            if self.retired.get() || self.halted.get() {
                break;
            }
            self.pool.borrow_mut().looked(clock::now(), sent, key, &answer);
            self.wake.notify_one();
            match &answer {
                Answer::Done(report) if report.ended.is_empty() => {
                    // A worker that answers at once though asked to wait must
                    // not be asked without a pause.
                    if clock::now() - sent < AFTER_ENDS {
                        tokio::time::sleep(AFTER_ENDS).await;
                    }
                }
                Answer::Done(report) => {
                    let last = report.ended.iter().map(|ended| ended.number).max();
                    let is_new = last > newest;
                    newest = newest.max(last);
                    let all = u32::try_from(self.looking.borrow().len()).unwrap_or(u32::MAX);
                    let after = AFTER_ENDS + AFTER_ENDS_EACH.saturating_mul(all);
                    tokio::time::sleep(if is_new { after } else { after.max(NOTHING_NEW) }).await;
                }
                _ => tokio::time::sleep(AFTER_SILENCE).await,
            }
        }
        self.looking.borrow_mut().remove(&key);
    }

    async fn look(&self, look: &Look) -> Answer<corianderfork_jobs::pool::Report> {
        let call = wire::look(look);
        let begun = clock::now();
        let within = if look.deadline_ms.is_some() { ANSWER } else { FIRST_ANSWER };
        let answer = self.node.client.call(look.address, &call, look.wait + within).await;
        self.count("look", begun, answer.is_ok());
        match answer {
            Ok((status, body)) => wire::looked(status, &body).unwrap_or(Answer::Lost),
            Err(_) => Answer::Lost,
        }
    }

    async fn send(self: Rc<Self>, order: Order) {
        let call = wire::order(&order);
        let begun = clock::now();
        let answer = self.node.client.call(order.address, &call, ANSWER).await;
        self.count("order", begun, answer.is_ok());
        let answer = match answer {
            Ok((status, body)) => wire::ordered(status, &body).unwrap_or(Answer::Lost),
            Err(Failed::Unsent | Failed::Lost) => Answer::Lost,
        };
        if !matches!(answer, Answer::Done(_)) {
            self.node.trace.line(
                "order not confirmed",
                json!({ "task": wire::task(order.task), "run": order.run, "worker": order.id,
                    "answer": format!("{answer:?}"), "took_ms": ms(clock::now() - begun) }),
            );
        }
        self.pool.borrow_mut().ordered(clock::now(), &order, &answer);
        self.wake.notify_one();
    }

    fn count(&self, kind: &str, begun: Time, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.node.metrics.worker(kind, outcome, clock::now() - begun);
    }

    async fn write_loop(self: Rc<Self>) {
        while !self.retired.get() {
            if !self.write_once().await {
                let _ = timeout(Duration::from_millis(200), self.journal.notified()).await;
            }
        }
    }

    /// Writes what is due. Whether there may be more.
    async fn write_once(&self) -> bool {
        let ahead = if self.flushing.get() { FLUSH_AHEAD } else { Duration::ZERO };
        let now = clock::now() + ahead;
        let most = MAX_ROWS - FIXED_ROWS;
        let batch = self.pool.borrow_mut().batch(now, clock::wall_ms(), most);
        let roster = self.pool.borrow().roster();
        if batch.is_empty() && roster.is_none() {
            return false;
        }
        let number = self.writes.get() + 1;
        self.writes.set(number);
        let token = format!("{}.{}.{number}", self.node.settings.name, self.node.boot);
        let txn = self.txn(&batch, roster.as_ref(), &token);
        let is_written = self.commit(&txn, &token).await;
        if is_written {
            self.pool.borrow_mut().written(&batch);
            if let Some(seats) = roster {
                self.pool.borrow_mut().roster_written(seats);
            }
            self.tell_waiting();
            self.wake.notify_one();
        }
        is_written
    }

    fn txn(&self, batch: &Batch, roster: Option<&Vec<Seat>>, token: &str) -> Txn {
        let write_key = format!("{WRITES}{}", self.name);
        let mut txn = Txn::default();
        txn.expect.push((format!("{DUTIES}{}", self.name), self.fence()));
        // A write whose answer was lost may be carried out seconds later. Each
        // one is bound to the number of the one before, so that it can't undo
        // a newer one.
        txn.expect.push((write_key.clone(), self.write_revision.get()));
        txn.set.push((write_key, token.as_bytes().to_vec(), 0));
        if let Some(seats) = roster {
            let value = serde_json::to_vec(seats).unwrap_or_default();
            txn.set.push((format!("{ROSTERS}{}", self.name), value, 0));
        }
        for row in &batch.rows {
            let id = row.id.to_string();
            let value = serde_json::to_vec(&row.progress).unwrap_or_default();
            txn.set.push((run_key(&self.name, &id), value, 0));
            if row.progress.state.is_final() {
                txn.remove.push(job_key(&self.name, &id));
            }
        }
        txn.remove.extend(batch.forget.iter().map(|id| run_key(&self.name, &id.to_string())));
        txn
    }

    /// Writes until it is known to be written, or another holds the duty.
    async fn commit(&self, txn: &Txn, token: &str) -> bool {
        let mut failures = 0;
        while !self.retired.get() {
            match self.node.store.txn(txn).await {
                Ok(Outcome::Written(revision)) => {
                    self.write_revision.set(revision);
                    return true;
                }
                Ok(Outcome::Conflict(items)) => return self.resolve(&items, token),
                Ok(Outcome::NoLease) | Err(_) => {
                    failures += 1;
                    if failures == 1 {
                        self.node.trace.line(
                            "write not confirmed",
                            json!({ "duty": self.name, "write": token }),
                        );
                    }
                    tokio::time::sleep(Duration::from_millis(80)).await;
                }
            }
        }
        false
    }

    /// A condition didn't hold: because this very write was done before, or
    /// because the duty is another's.
    fn resolve(&self, items: &[Item], token: &str) -> bool {
        let key = format!("{WRITES}{}", self.name);
        let duty = format!("{DUTIES}{}", self.name);
        let is_mine = |item: &&Item| item.key == key && item.value == token.as_bytes();
        if let Some(item) = items.iter().find(is_mine) {
            self.write_revision.set(item.revision);
            return true;
        }
        if items.iter().any(|item| item.key == duty && item.revision != self.fence()) {
            self.retire("the store names another holder");
        } else if let Some(item) = items.iter().find(|item| item.key == key) {
            // A late write of the holder before: go on behind it.
            self.write_revision.set(item.revision);
        }
        false
    }

    fn tell_waiting(&self) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let pool = self.pool.borrow();
        for (id, told) in waiting {
            if pool.is_written(id) {
                // One that no longer waits doesn't matter.
                let _ = told.send(());
            } else {
                self.waiting.borrow_mut().push((id, told));
            }
        }
    }

    /// Writes what is left, for a planned stop.
    pub async fn flush(&self) {
        self.halted.set(true);
        self.flushing.set(true);
        for _ in 0..FLUSH_LOOKS {
            if self.pool.borrow().is_all_written() || self.retired.get() {
                return;
            }
            self.journal.notify_one();
            tokio::time::sleep(FLUSH_LOOK).await;
        }
    }

    /// Answers a peer, or this process itself.
    pub async fn answer(&self, ask: Ask) -> Reply {
        match ask {
            Ask::Accepted { id, record, revision, .. } => {
                if let Ok(id) = id.parse() {
                    self.accept(id, &record, None, revision);
                }
                Reply::Done
            }
            Ask::State { id, .. } => {
                let state = id.parse().ok().and_then(|id| self.pool.borrow().state(id));
                state.map_or(Reply::Unknown, |state| Reply::State { state })
            }
            Ask::Cancel { id, .. } => self.cancel(&id).await,
            Ask::Queued { queue, .. } => Reply::Queued { jobs: self.pool.borrow().queued(&queue) },
            Ask::Vacate { worker, .. } => {
                let empty = self.pool.borrow_mut().vacate(clock::now(), &worker, VACATE);
                self.wake.notify_one();
                Reply::Vacated { empty }
            }
            Ask::Load { .. } => Reply::Load { load: self.pool.borrow().load(clock::now()) },
            Ask::Shrink { keep, .. } => {
                let workers = self.pool.borrow_mut().shrink(clock::now(), keep, VACATE);
                self.wake.notify_one();
                Reply::Spare { workers }
            }
            Ask::Gone { workers, .. } => {
                for worker in &workers {
                    self.pool.borrow_mut().gone(clock::now(), worker);
                }
                self.wake.notify_one();
                Reply::Done
            }
            Ask::Retire { .. } | Ask::Store { .. } => Reply::NotOwner,
        }
    }

    async fn cancel(&self, text: &str) -> Reply {
        let Ok(id) = text.parse::<JobId>() else { return Reply::Unknown };
        if self.pool.borrow().state(id).is_none() {
            // It may have been accepted a moment ago.
            match self.node.store.get(&job_key(&self.name, text)).await {
                Ok(Some(item)) => self.accept_item(&item.key, &item.value, None, item.revision),
                Ok(None) => return Reply::Unknown,
                Err(_) => return Reply::Later,
            }
        }
        self.pool.borrow_mut().cancel(clock::now(), id);
        let (told, written) = oneshot::channel();
        if self.pool.borrow().is_written(id) {
            return Reply::Done;
        }
        self.waiting.borrow_mut().push((id, told));
        self.wake.notify_one();
        self.journal.notify_one();
        match timeout(CANCEL, written).await {
            Ok(Ok(())) => Reply::Done,
            _ => Reply::Later,
        }
    }

    /// Ends for another holder, and tells what was granted.
    pub fn give_way(&self, fence: u64) -> Option<BTreeMap<String, u64>> {
        if fence <= self.fence() {
            return None;
        }
        self.retire("another holder says so");
        Some(self.pool.borrow().grants(clock::now()))
    }
}

fn id_of(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}

/// Milliseconds, for the log.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
