//! The owner of one pool's work: connects the pure [`Pool`] with the network and the store.

mod advise;
mod allowance;
mod contention;
mod dispatch;
mod load;
mod predecessors;
mod room;
mod workers;
mod write;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Config, Order, Pool};
use corianderfork_jobs::{lease, pressure, worker};
use corianderfork_model::Time;
use serde::Serialize;
use serde_json::json;
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::access::Identity;
use crate::allowance::Book;
use crate::clock;
use crate::couriers::Couriers;
use crate::division::{self, Arrivals};
use crate::duty::{self, HolderHistory};
use crate::follow::Start;
use crate::lanes::Lanes;
use crate::lookup::{job_key, run_key};
use crate::node::{Node, RetiredGrants};
use crate::peer::{self, Message, Reply};
use crate::predecessor::Tracker;
use crate::write_slots::Slots;
use crate::write_waiters::WriteWaiters;

/// The key prefix of the roster of a pool's workers.
const ROSTER_PREFIX: &str = "roster/";

/// The length of a lease on a worker: longer than a takeover, so that running tasks
/// survive the death of an owner, and no longer, since the tasks of a worker that stops
/// responding are only replaced when its lease has expired.
const WORKER_LEASE: Duration = Duration::from_millis(4_500);
/// How long a cancellation waits for its write.
const CANCEL_WRITE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long a worker stays vacated after the planner's last request.
const VACATE_TTL: Duration = Duration::from_millis(2_500);

/// How long workers are expected after the planner last announced them.
const WORKERS_EXPECTED_TTL: Duration = Duration::from_millis(500);

/// The decisions of an owner during some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Decisions {
    /// The number of decisions.
    pub count: u32,
    /// The processor time that they took, in microseconds.
    pub total_us: u64,
    /// The longest one, in microseconds.
    pub longest_us: u64,
    /// The number of jobs that they looked at.
    pub jobs: usize,
    /// The number of steps for which they searched a worker.
    pub steps: usize,
    /// The number of orders that they led to.
    pub orders: usize,
    /// The number of jobs that haven't ended, at the end.
    pub active_jobs: usize,
    /// The number of known workers, at the end.
    pub workers: usize,
}

/// What an owner was told or asked although it knew it or had decided it already, during some time.
/// It grows while ends wait for their write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Repeats {
    /// The number of ends that polls listed.
    pub ends_listed: usize,
    /// Those of them that an earlier poll had listed.
    pub ends_known: usize,
    /// The number of requests for the state of a job.
    pub states_asked: usize,
    /// Those of them about a job whose end wasn't written yet.
    pub states_ending: usize,
    /// The number of requests that waited for the write of an end.
    pub states_waited: usize,
}

/// Owns the work of a pool.
pub struct Owner {
    node: Rc<Node>,
    name: String,
    /// The duty of owning the pool.
    duty: String,
    /// The state of the pool and its decisions.
    pub pool: RefCell<Pool>,
    /// The former owners of the pool.
    predecessors: RefCell<Tracker>,
    /// Notified when there is something to plan for.
    pub wake: Notify,
    /// Whether the list of workers has changed.
    pub list_changed: Cell<bool>,
    write_wake: Notify,
    /// Whether orders and polls have stopped and only writes continue.
    halted: Cell<bool>,
    /// Whether everything is written at once, without waiting for more.
    flushing: Cell<bool>,
    loaded: Cell<bool>,
    retired: Cell<bool>,
    /// Whether ownership was certain at the last plan.
    was_certain: Cell<bool>,
    polled_workers: RefCell<HashSet<worker::Key>>,
    /// [`Pool::joined_workers`] when polls were last started.
    joined_workers: Cell<u64>,
    lanes: RefCell<Lanes>,
    /// Orders that are sent with the next plan.
    outbox: RefCell<Vec<Order>>,
    /// The peers that deliver orders.
    couriers: RefCell<Couriers>,
    /// Advisers with a request in flight.
    busy_advisers: RefCell<HashSet<advise::Adviser>>,
    /// Advisers whose last request failed, and until when they are avoided.
    failed_advisers: RefCell<HashMap<advise::Adviser, Time>>,
    write_waiters: RefCell<WriteWaiters>,
    /// The divisions of organisations' limits.
    book: RefCell<Book>,
    /// Held while parts of limits are given away.
    giving: Mutex<()>,
    /// Notified when tasks wait for a part of a limit.
    shortage: Notify,
    /// The parts of the rates that organisations are owed.
    division: RefCell<division::Held>,
    /// The writes under way.
    write_slots: RefCell<Slots>,
    /// Whether a write of the roster is under way.
    is_roster_being_written: Cell<bool>,
    last_write_number: Cell<u64>,
    accepted_count: Cell<usize>,
    /// The read of the accepted jobs from which they are followed.
    jobs_read: Cell<Option<Start>>,
    /// The decisions since the last report.
    decisions: Cell<Decisions>,
    /// What was repeated since the last report.
    repeats: Cell<Repeats>,
    /// The events of the pool since the last report, by name.
    events: RefCell<BTreeMap<&'static str, u32>>,
}

impl Owner {
    /// Starts to own the work of the pool `name`, with `fence`.
    pub fn start(node: &Rc<Node>, name: &str, fence: u64, history: HolderHistory) -> Rc<Self> {
        let retention = node.settings.job_retention + Duration::from_secs(5);
        let now = clock::now();
        let HolderHistory { former_holders, is_complete, may_grant } = history;
        let max_lease = node.settings.max_lease;
        let mut predecessors =
            Tracker::new(now, former_holders, is_complete, max_lease + lease::MAX_TRANSIT);
        // No other owner of the pool is left in this process.
        predecessors.mark_ended(now, &node.process());
        node.retired_grants.borrow_mut().remove(name);
        let config = Config::new(fence, now + may_grant + lease::longest(max_lease))
            .lease(WORKER_LEASE.min(max_lease))
            .max_lease(max_lease)
            .remember(retention)
            .remote_factor(node.settings.remote_factor)
            .resume_time(node.settings.resume_time)
            .stop_time(node.settings.stop_time)
            .contention(node.settings.contention);
        let mut pool = Pool::new(config);
        pool.confirm_until(now);
        let owner = Rc::new(Self {
            node: node.clone(),
            name: name.to_owned(),
            duty: duty::of_pool(name),
            pool: RefCell::new(pool),
            predecessors: RefCell::new(predecessors),
            wake: Notify::new(),
            list_changed: Cell::new(true),
            write_wake: Notify::new(),
            halted: Cell::new(false),
            flushing: Cell::new(false),
            loaded: Cell::new(false),
            retired: Cell::new(false),
            was_certain: Cell::new(true),
            polled_workers: RefCell::default(),
            joined_workers: Cell::new(0),
            lanes: RefCell::default(),
            outbox: RefCell::default(),
            couriers: RefCell::default(),
            busy_advisers: RefCell::default(),
            failed_advisers: RefCell::default(),
            write_waiters: RefCell::default(),
            book: RefCell::new(Book::new(name).asks_largest(node.settings.contention.limits)),
            giving: Mutex::default(),
            shortage: Notify::new(),
            division: RefCell::default(),
            write_slots: RefCell::new(Slots::new(name)),
            is_roster_being_written: Cell::new(false),
            last_write_number: Cell::new(0),
            accepted_count: Cell::new(0),
            jobs_read: Cell::new(None),
            decisions: Cell::default(),
            repeats: Cell::default(),
            events: RefCell::default(),
        });
        spawn_local(owner.clone().run());
        owner
    }

    /// Whether it has loaded the jobs accepted before it and isn't retired.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get() && !self.retired.get()
    }

    /// Returns the name of the pool.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&self) -> Decisions {
        let pool = self.pool.borrow();
        let decisions = self.decisions.take();
        Decisions { active_jobs: pool.active_count(), workers: pool.workers().count(), ..decisions }
    }

    /// Returns what was repeated since the last call.
    pub fn take_repeats(&self) -> Repeats {
        self.repeats.take()
    }

    fn count_repeats(&self, count: impl FnOnce(&mut Repeats)) {
        let mut repeats = self.repeats.get();
        count(&mut repeats);
        self.repeats.set(repeats);
    }

    /// Returns how often each event of the pool occurred since the last call. They are counted also
    /// where the log leaves out their lines.
    pub fn take_events(&self) -> BTreeMap<&'static str, u32> {
        self.events.take()
    }

    /// Adds what became of jobs since the last call to the metrics.
    pub fn collect_tally(&self) {
        self.node.metrics.jobs.collect(&self.name, self.pool.borrow_mut().tally());
    }

    /// Returns the fence.
    pub fn fence(&self) -> u64 {
        self.pool.borrow().fence()
    }

    /// Whether it has stopped giving orders.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Stops giving orders, and keeps the granted leases to report them to a successor.
    pub fn retire(&self, why: &str) {
        if !self.retired.replace(true) {
            self.collect_tally();
            self.node.trace.line(
                "duty left",
                || json!({ "duty": self.name, "fence": self.fence(), "why": why }),
            );
            let at = clock::now();
            if let Some(remaining_ms) = self.pool.borrow().granted_leases(at) {
                let retired_grants = RetiredGrants { fence: self.fence(), at, remaining_ms };
                self.node.retired_grants.borrow_mut().insert(self.name.clone(), retired_grants);
            }
            self.wake.notify_one();
            self.write_wake.notify_one();
        }
    }

    async fn run(self: Rc<Self>) {
        let started = clock::now();
        let times = self.load().await;
        if self.retired.get() {
            return;
        }
        self.loaded.set(true);
        self.node.trace.unlimited(
            "duty begun",
            json!({ "duty": self.name, "fence": self.fence(), "jobs": self.accepted_count.get(),
                "took_ms": ms(clock::now() - started), "parts": times }),
        );
        spawn_local(self.clone().follow_predecessors());
        spawn_local(self.clone().write_loop());
        spawn_local(self.clone().follow_jobs());
        spawn_local(self.clone().allowance_loop());
        self.plan_loop().await;
    }

    /// Handles a request of a peer or of this process itself.
    pub async fn handle(self: &Rc<Self>, message: Message) -> Reply {
        match message {
            Message::Room { .. } => {
                if self.is_full() {
                    Reply::Full
                } else {
                    Reply::Done
                }
            }
            Message::Accepted {
                id,
                record,
                revision,
                wants_pressure,
                known_pressure,
                reads_full,
                ..
            } => {
                if let Ok(id) = id.parse() {
                    self.node.effort.measure("accepted jobs", || {
                        self.accept(id, &record, None, revision);
                    });
                }
                if reads_full && self.is_full() {
                    return Reply::Full;
                }
                if wants_pressure {
                    let report = self.pressure(&record.queue);
                    let is_known = report.is_some_and(|r| pressure::is_known(known_pressure, &r));
                    return Reply::Accepted {
                        pressure: report.filter(|_| !is_known),
                        exceeds_owed: self.exceeds_owed(record.organisation.as_deref()),
                        is_known,
                    };
                }
                Reply::Done
            }
            Message::State { id, identity, wants_pressure, question, awaits_end, .. } => {
                if awaits_end {
                    self.await_end(&id).await;
                }
                let reply =
                    self.node.effort.measure("state requests", || self.state(&id, &identity));
                self.count_repeats(|repeats| {
                    repeats.states_asked += 1;
                    repeats.states_ending += usize::from(matches!(reply, Reply::Ending));
                });
                match (reply, wants_pressure) {
                    (Reply::Unknown { .. }, Some(queue)) => {
                        self.answer_refusal(&queue, &identity, question.as_ref())
                    }
                    (reply, _) => reply,
                }
            }
            Message::Cancel { id, identity, .. } => self.cancel(&id, &identity).await,
            Message::Allowance { taker, requests, .. } => self.give(taker, requests).await,
            // An owner that may have been replaced isn't notified of new jobs: it would count none
            // as queued while its successor has hundreds. Nor does it know the tasks that its
            // successor started: it would report their workers as empty.
            Message::Queued { .. } | Message::Vacate { .. } | Message::Shrink { .. }
                if !self.is_sure() =>
            {
                Reply::NotOwner
            }
            Message::Queued { queue, .. } => {
                Reply::Queued { jobs: self.pool.borrow().queued_jobs(&queue) }
            }
            Message::Vacate { workers, candidates, .. } => self.vacate(workers, candidates),
            Message::Load {
                arrived,
                expects,
                target,
                meter_parts,
                meter_version,
                meter_change,
                ended,
                ..
            } => {
                self.remove_ended_workers(&ended);
                if let Some(target) = target {
                    self.pool.borrow_mut().set_target_size(clock::now(), target);
                }
                if expects {
                    self.node.workers_expected_until.set(clock::now() + WORKERS_EXPECTED_TTL);
                }
                if self.node.settings.contention.limits {
                    // Tasks of a full pool are not tried, so no plan notices that they lack parts.
                    self.shortage.notify_one();
                }
                let update = meter_parts
                    .map(|parts| division::Received::Whole(meter_version, parts))
                    .or(meter_change.map(division::Received::Change));
                let update = update.filter(|_| self.node.settings.contention.meter);
                let report = update.map(|update| self.set_meter_parts(update));
                let holds_parts = report.is_some() && self.division.borrow().is_confirmed();
                let (arrivals, arrival_changes) = match report {
                    Some(Arrivals::Whole(all)) => (Some(all.into_iter().collect()), None),
                    Some(Arrivals::Change(change)) => (None, Some(change)),
                    None => (None, None),
                };
                let pool = self.pool.borrow();
                let counted = arrived.into_iter().filter(|id| pool.is_counted(id)).collect();
                let load = Box::new(pool.load(clock::now()).compact());
                let silent = pool.silent_workers().map(str::to_owned).collect();
                Reply::Load { load, counted, arrivals, arrival_changes, holds_parts, silent }
            }
            Message::Shrink { keep, missing, .. } => {
                self.confirm();
                let now = clock::now();
                let mut pool = self.pool.borrow_mut();
                let workers = pool.shrink_for_others(now, keep, missing, VACATE_TTL);
                self.wake.notify_one();
                Reply::Spare { workers }
            }
            Message::Gone { workers, .. } => {
                self.confirm();
                for worker in &workers {
                    self.pool.borrow_mut().remove_gone_worker(clock::now(), worker);
                }
                self.wake.notify_one();
                Reply::Done
            }
            Message::Retire { .. }
            | Message::Advise { .. }
            | Message::Unsure { .. }
            | Message::Tried { .. }
            | Message::Deliver { .. }
            | Message::Store { .. } => Reply::NotOwner,
        }
    }

    /// Vacates `workers`, and reports when they and `candidates` are expected to be empty.
    fn vacate(&self, workers: Vec<String>, candidates: Vec<String>) -> Reply {
        self.confirm();
        let now = clock::now();
        let mut pool = self.pool.borrow_mut();
        let mut busy_ms = BTreeMap::new();
        if self.node.settings.contention.maintenance {
            let busy = |id: &String| pool.empty_in(now, id).map(|busy| (id.clone(), ms(busy)));
            busy_ms.extend(workers.iter().chain(&candidates).filter_map(busy));
        }
        let is_empty = |id: &String| pool.vacate(now, id, VACATE_TTL) == Some(true);
        let empty = workers.into_iter().filter(is_empty).collect();
        self.wake.notify_one();
        Reply::Vacated { empty, busy_ms }
    }

    /// Removes workers that no VM runs any more.
    fn remove_ended_workers(&self, ended: &[String]) {
        self.confirm();
        let mut pool = self.pool.borrow_mut();
        for id in ended {
            pool.remove_ended_worker(clock::now(), id);
        }
        if !ended.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Whether orders may be sent: no other holder is known, and see [`Node::may_order`].
    fn may_order(&self) -> bool {
        self.node.may_order() && !self.node.is_superseded(&self.duty, self.fence())
    }

    /// Whether the pool is certain to be still this owner's, as far as it can know.
    fn is_sure(&self) -> bool {
        self.node.is_sure_of(&self.duty, self.fence())
    }

    /// Tells the pool until when no other process can have taken it over.
    fn confirm(&self) {
        let is_certain = self.is_certain();
        let mut pool = self.pool.borrow_mut();
        if is_certain {
            pool.confirm_until(self.node.tenure.get().confirmed_until());
        } else {
            pool.doubt(clock::now());
        }
    }

    /// Whether no other process can have taken the pool over by now, so that a successor finds what
    /// this owner knows among the jobs that were accepted before it. An owner goes on without the
    /// store for a while, and isn't certain then.
    fn is_certain(&self) -> bool {
        self.node.has_lease() && self.is_sure()
    }

    /// Returns the state of a job. A job whose end is decided but not known to be written
    /// is reported as ending: another entry VM may have read that end in the store and
    /// reported it, and the caller would see a completed job run again.
    fn state(&self, id: &str, identity: &Identity) -> Reply {
        let Ok(id) = id.parse() else { return Reply::UNKNOWN };
        self.confirm();
        let pool = self.pool.borrow();
        if pool.organisation_of(id).is_some_and(|owner| !identity.may_use(owner)) {
            return Reply::Foreign;
        }
        match pool.state(id) {
            Some(_) if pool.is_ending(id) => Reply::Ending,
            // A written end is final. Any other state may be out of date if this owner
            // has been replaced; only that the job was accepted stays true.
            Some(state) if !pool.may_tell(clock::now(), state) => Reply::Known,
            Some(state) => Reply::State { state },
            None => Reply::UNKNOWN,
        }
    }

    /// Waits a little for the write of a job that has ended. The caller would ask again until it is
    /// written, and an owner at its limit would answer more requests the later its writes are.
    async fn await_end(&self, id: &str) {
        let Ok(id) = id.parse() else { return };
        let may_wait = self.write_waiters.borrow().has_room() && !self.node.store.is_down();
        if !may_wait || !self.pool.borrow().is_ending(id) {
            return;
        }
        self.count_repeats(|repeats| repeats.states_waited += 1);
        let written = self.write_waiters.borrow_mut().wait(id);
        // The state is told as it is then.
        let _ = timeout(peer::END_WAIT, written).await;
    }

    async fn cancel(&self, text: &str, identity: &Identity) -> Reply {
        let Ok(id) = text.parse::<JobId>() else { return Reply::UNKNOWN };
        if self.pool.borrow().state(id).is_none() {
            // It may have just been accepted.
            match self.node.store.get(&job_key(&self.name, text)).await {
                Ok(Some(item)) => self.accept_item(&item.key, &item.value, None, item.revision),
                Ok(None) => {
                    if let Some(reply) = self.absence_reply(id, text).await {
                        return reply;
                    }
                }
                Err(_) => return Reply::Later,
            }
        }
        let is_foreign =
            self.pool.borrow().organisation_of(id).is_some_and(|owner| !identity.may_use(owner));
        if is_foreign {
            return Reply::Foreign;
        }
        self.pool.borrow_mut().cancel(clock::now(), id);
        if self.pool.borrow().is_written(id) {
            return Reply::Done;
        }
        let written = self.write_waiters.borrow_mut().wait(id);
        self.wake.notify_one();
        self.write_wake.notify_one();
        // Running tasks are stopped anyway; the caller retries for the confirmation.
        if self.node.store.is_down() {
            return Reply::Later;
        }
        match timeout(CANCEL_WRITE_TIMEOUT, written).await {
            Ok(Ok(())) => Reply::Done,
            _ => Reply::Later,
        }
    }

    /// Returns the reply for a job that is unknown here and has no acceptance record in
    /// the store; `None` if it has become known meanwhile.
    ///
    /// It may have become known and ended between the two lookups, or ended under another
    /// owner: then the store has a record of its progress.
    async fn absence_reply(&self, id: JobId, text: &str) -> Option<Reply> {
        if self.pool.borrow().state(id).is_some() {
            return None;
        }
        let run = self.node.store.get(&run_key(&self.name, text)).await;
        match (run, self.pool.borrow().state(id)) {
            (_, Some(_)) => None,
            (Ok(None), None) => Some(Reply::UNKNOWN),
            (Ok(Some(_)) | Err(_), None) => Some(Reply::Later),
        }
    }

    /// Retires in favour of another holder with `fence`, unless that fence is older.
    /// Returns whether this owner has retired.
    pub fn relinquish(&self, fence: u64) -> bool {
        if fence > self.fence() {
            self.retire("another holder says so");
        }
        self.retired.get()
    }
}

/// Converts to milliseconds, for the log.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
