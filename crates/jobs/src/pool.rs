//! The state and the decisions of the owner of one pool of workers.

mod account;
mod advice;
mod agenda;
mod attempts;
mod backlog;
mod batch;
mod choose;
mod copies;
mod crash;
mod departed;
mod destination;
mod emptying;
mod entry;
mod evacuate;
mod exits;
mod explain;
mod fence;
mod footprint;
mod gang;
mod gang_size;
mod held;
mod hold;
mod incoming;
mod jobs;
mod load;
mod order;
pub mod overload;
mod owed;
mod pace;
mod place;
mod plan;
mod poll;
mod preempt;
mod pressure;
mod progress;
pub mod proof;
mod ranking;
mod relocate;
mod reserve;
mod restart;
mod runs;
mod share;
mod shrink;
mod space;
pub(crate) mod symbol;
mod tally;
mod tasks;
mod tenure;
mod turn;
mod unmet;
mod unrunnable;
pub(crate) mod usage;
mod victim;
pub mod wait;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use slotmap::SlotMap;

pub use account::{Shortage, Use};
pub use advice::{Advice, Query};
pub use batch::{Batch, Unwritten, Update};
pub use explain::{Explanation, StepExplanation};
pub use hold::Hold;
pub use load::Load;
pub use order::{Action, Answer, Order};
pub use plan::Effort;
pub use poll::{Connection, Poll, Report};

use crate::contention;
use crate::estimate::Estimator;
use crate::flow::Flow;
use crate::id::JobId;
use crate::queue::Queue;
use crate::record::State;
use crate::tally::Tally;
use crate::task;
use crate::worker::{self, Worker};
use account::Accounts;
use agenda::Agenda;
use backlog::Backlog;
use departed::EndedInstances;
use entry::Entry;
use owed::Meter;
use plan::Gate;
use proof::Proof;
use ranking::Ranking;
use share::Shares;
use symbol::Symbols;
use usage::Usage;
use wait::Waits;

slotmap::new_key_type! {
    /// A job of a pool.
    pub struct JobKey;
}

/// Number of low bits of a run number that count starts. The owner's fence is stored above
/// them, so the run numbers of a successor are higher and starts need no write to the store.
const RUN_BITS: u32 = 20;

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// The owner's fence: the revision at which it became the owner.
    pub(crate) fence: u64,
    /// Length of a lease on a worker.
    pub(crate) lease: Duration,
    /// The longest lease that workers grant.
    pub(crate) max_lease: Duration,
    /// How long the state of a finished job is kept.
    pub(crate) remember: Duration,
    /// The latest end of leases whose granting predecessors can't be queried.
    pub(crate) inherited_until: Time,
    /// Factor by which a task takes longer away from the rack of its data.
    pub(crate) remote_factor: f64,
    /// The decisions under contention that are made.
    pub(crate) contention: contention::Settings,
    /// How long a task takes to resume from its saved progress.
    pub(crate) resume_time: Duration,
    /// The longest time that stopping a task takes.
    pub(crate) stop_time: Duration,
}

impl Config {
    /// Returns the settings of an owner with `fence`, whose predecessors' leases all end by
    /// `inherited_until`.
    pub fn new(fence: u64, inherited_until: Time) -> Self {
        Self {
            fence,
            lease: Duration::from_secs(4),
            max_lease: Duration::from_secs(10),
            remember: Duration::from_secs(125),
            inherited_until,
            remote_factor: 1.0,
            contention: contention::Settings::default(),
            resume_time: Duration::from_millis(250),
            stop_time: Duration::from_millis(900),
        }
    }

    /// Sets how long a task takes to resume from its saved progress.
    #[must_use]
    pub fn resume_time(mut self, time: Duration) -> Self {
        self.resume_time = time;
        self
    }

    /// Sets the longest time that stopping a task takes.
    #[must_use]
    pub fn stop_time(mut self, time: Duration) -> Self {
        self.stop_time = time;
        self
    }

    /// Sets which decisions under contention are made.
    #[must_use]
    pub fn contention(mut self, settings: contention::Settings) -> Self {
        self.contention = settings;
        self
    }

    /// Sets the factor by which a task takes longer away from the rack of its data. The larger it
    /// is, the longer a task waits for a worker there.
    #[must_use]
    pub fn remote_factor(mut self, times: f64) -> Self {
        self.remote_factor = times.clamp(1.0, 100.0);
        self
    }

    /// Sets the length of a lease on a worker. Longer leases survive longer interruptions of
    /// the owner; shorter ones free the tasks of a lost worker sooner.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the longest lease that workers grant: they shorten longer ones.
    #[must_use]
    pub fn max_lease(mut self, max_lease: Duration) -> Self {
        self.max_lease = max_lease;
        self
    }

    /// Sets how long the state of a finished job is kept.
    #[must_use]
    pub fn remember(mut self, remember: Duration) -> Self {
        self.remember = remember;
        self
    }
}

/// The state of a pool, as its owner knows it, and the decisions based on it.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    queues: HashMap<String, Queue>,
    /// Estimates of task durations, by queue.
    estimates: HashMap<String, Estimator>,
    /// The rate at which work arrives.
    flow: Flow,
    /// Which jobs can't be served.
    pressure: pressure::Monitor,
    workers: SlotMap<worker::Key, Worker>,
    by_id: HashMap<String, worker::Key>,
    jobs: SlotMap<JobKey, Entry>,
    by_job: HashMap<JobId, JobKey>,
    /// Jobs that have not ended.
    active: BTreeSet<JobKey>,
    /// The memory that they may take, in bytes.
    active_bytes: usize,
    /// Long-running jobs with a task that has no worker, as of the last plan.
    unplaced: BTreeSet<JobKey>,
    /// Ended jobs, by when they ended.
    ended: BTreeSet<(Time, JobId)>,
    accounts: Accounts,
    usage: Rc<Usage>,
    /// Which jobs are owed.
    meter: Meter,
    agenda: Agenda,
    ranking: Ranking,
    /// The choice among waiting jobs.
    backlog: Backlog,
    /// What organisations are owed, while steps of laggards are placed.
    shares: Option<Shares>,
    symbols: Symbols,
    /// Whether tasks could be started at the last plan, and whether only new ones.
    gate: Gate,
    /// What the last plan looked at.
    effort: Effort,
    /// Every job that was accepted before this time is known.
    jobs_known_until: Time,
    /// Jobs with unwritten changes that no write under way includes, by the time at which the
    /// write is due.
    dirty: BTreeSet<(Time, JobId)>,
    /// Jobs whose write is under way.
    being_written: BTreeSet<JobId>,
    /// Whether a deletion of old jobs is under way.
    is_deleting: bool,
    start_count: u64,
    /// The highest revision of this owner's duty and of its writes.
    newest_fence: u64,
    deposed: bool,
    /// Until when no other owner can have taken the pool over; `None` if none is expected.
    confirmed_until: Option<Time>,
    /// The workers whose runs were not given up since another owner may have the pool.
    withheld: HashSet<worker::Key>,
    /// The jobs that were held since ownership was last confirmed.
    held_jobs: BTreeSet<JobId>,
    /// Until when workers that no roster names may run tasks of former owners.
    unnamed_until: Time,
    /// When this owner first planned evacuations.
    first_planned: Option<Time>,
    written_roster: BTreeSet<worker::Location>,
    /// Whether the written roster may differ from the workers.
    is_roster_outdated: bool,
    /// Number of workers that have joined so far.
    joined_workers: u64,
    notes: Vec<Note>,
    waits: Waits,
    /// What became of jobs since that was last collected.
    tally: Tally,
    departed: EndedInstances,
    /// The worker on which room is reserved for a long-running task.
    reservations: BTreeMap<task::Name, worker::Key>,
    /// Tasks that were stopped because their worker is to leave and have not started again, with
    /// the worker that keeps room for them.
    relocations: BTreeMap<task::Name, Option<worker::Key>>,
    /// Waiting tasks for which other runs are stopped, with their worker, which keeps room for them.
    preemptors: BTreeMap<task::Name, worker::Key>,
    /// The earliest time of the next decision on preemption.
    next_preemption: Time,
    /// The worker whose runs the next preemption considers first.
    next_preempted_worker: Option<worker::Key>,
    /// When runs were stopped lately so that others got their room.
    recent_preemptions: VecDeque<Time>,
    /// The earliest time of the next decision on relocations.
    next_relocation: Time,
    /// The worker that is to leave and that the next relocation considers first.
    next_leaving: Option<worker::Key>,
    /// The worker that the next relocation considers first as a destination.
    next_host: Option<worker::Key>,
    /// The VMs that other pools miss.
    missing: relocate::Missing,
    /// Tracked runs of tasks that are suspected of a crash.
    suspects: BTreeMap<task::Name, crash::Suspect>,
    /// Tasks with starts of a predecessor that may have crashed a worker.
    inherited_starts: Vec<task::Name>,
    /// The IDs of the workers that may have ended since a predecessor ordered the last start there.
    lost_inherited_workers: BTreeSet<String>,
    /// When recent crashes of workers were noticed.
    recent_crashes: VecDeque<Time>,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The name of the event.
    pub event: &'static str,
    /// The task concerned, if any. A job is named by its first task.
    pub task: Option<task::Name>,
    /// The ID of the worker concerned, if any.
    pub worker: Option<String>,
    /// The reason or details.
    pub why: String,
    /// The wait that it is about, if any.
    pub wait: Option<wait::Wait>,
    /// What proves that the former run of a task that is started again is over.
    pub proof: Option<Proof>,
}

impl Pool {
    /// Returns a pool without workers and jobs.
    pub fn new(config: Config) -> Self {
        Self {
            newest_fence: config.fence,
            config,
            queues: HashMap::new(),
            estimates: HashMap::new(),
            flow: Flow::default(),
            pressure: pressure::Monitor::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            active: BTreeSet::new(),
            active_bytes: 0,
            unplaced: BTreeSet::new(),
            ended: BTreeSet::new(),
            accounts: Accounts::default(),
            usage: Rc::default(),
            meter: Meter::default(),
            agenda: Agenda::default(),
            ranking: Ranking::default(),
            backlog: Backlog::default(),
            shares: None,
            symbols: Symbols::default(),
            gate: Gate::default(),
            effort: Effort::default(),
            jobs_known_until: Time::ZERO,
            dirty: BTreeSet::new(),
            being_written: BTreeSet::new(),
            is_deleting: false,
            start_count: 0,
            deposed: false,
            confirmed_until: None,
            withheld: HashSet::new(),
            held_jobs: BTreeSet::new(),
            unnamed_until: Time::ZERO,
            first_planned: None,
            written_roster: BTreeSet::new(),
            is_roster_outdated: false,
            joined_workers: 0,
            notes: Vec::new(),
            waits: Waits::default(),
            tally: Tally::default(),
            departed: EndedInstances::default(),
            reservations: BTreeMap::new(),
            relocations: BTreeMap::new(),
            preemptors: BTreeMap::new(),
            next_preemption: Time::ZERO,
            next_preempted_worker: None,
            recent_preemptions: VecDeque::new(),
            next_relocation: Time::ZERO,
            next_leaving: None,
            next_host: None,
            missing: relocate::Missing::default(),
            suspects: BTreeMap::new(),
            inherited_starts: Vec::new(),
            lost_inherited_workers: BTreeSet::new(),
            recent_crashes: VecDeque::new(),
        }
    }

    /// Sets the configuration of the queues.
    pub fn set_queues(&mut self, queues: HashMap<String, Queue>) {
        self.queues = queues;
        self.mark_all_changed();
    }

    /// The owner's fence.
    pub fn fence(&self) -> u64 {
        self.config.fence
    }

    /// Returns whether a worker has reported an owner with a higher fence.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the state of a job. A job that has ended is reported as running until its end is
    /// written.
    pub fn state(&self, id: JobId) -> Option<State> {
        let state = self.entry(id)?.state;
        Some(if self.is_ending(id) { State::Running } else { state })
    }

    /// Returns whether a job has ended and its end is not known to be written. It may be
    /// written already, if the answer of the store was lost or is late.
    pub fn is_ending(&self, id: JobId) -> bool {
        self.entry(id)
            .is_some_and(|entry| entry.state.is_final() && entry.written_version < entry.version)
    }

    /// Returns whether a task is known to be done.
    pub fn is_done(&self, name: task::Name) -> bool {
        let Some(entry) = self.entry(name.job) else { return false };
        let task = entry.task(name);
        task.map_or(entry.state == State::Completed, |task| {
            matches!(task.state, entry::TaskState::Done)
        })
    }

    /// Returns the number of jobs of `queue` without a started task.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_queued = |entry: &&Entry| entry.queue == queue && entry.state == State::Queued;
        self.active_jobs().filter(is_queued).count()
    }

    /// Returns the number of jobs that haven't ended.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns and clears the events since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    fn note(
        &mut self,
        event: &'static str,
        task: Option<task::Name>,
        worker: Option<worker::Key>,
        why: String,
    ) {
        let worker = worker.and_then(|key| self.workers.get(key)).map(|worker| worker.id.clone());
        self.notes.push(Note { event, task, worker, why, wait: None, proof: None });
    }

    fn entry(&self, id: JobId) -> Option<&Entry> {
        self.by_job.get(&id).and_then(|key| self.jobs.get(*key))
    }

    /// Returns a job in order to change it; the next plan looks at it.
    fn entry_mut(&mut self, id: JobId) -> Option<&mut Entry> {
        let key = *self.by_job.get(&id)?;
        let entry = self.jobs.get_mut(key)?;
        self.agenda.add_changed(key, entry);
        Some(entry)
    }

    /// Like [`Pool::entry_mut`], for a change that no plan depends on.
    fn entry_mut_unmarked(&mut self, id: JobId) -> Option<&mut Entry> {
        let key = *self.by_job.get(&id)?;
        self.jobs.get_mut(key)
    }

    /// Returns the jobs that have not ended.
    fn active_jobs(&self) -> impl Iterator<Item = &Entry> {
        self.active.iter().filter_map(|key| self.jobs.get(*key))
    }

    fn queue(&self, name: &str) -> Queue {
        self.queues.get(name).cloned().unwrap_or_default()
    }

    /// Returns the predicted duration of a task of a step, in milliseconds.
    fn predict(&self, queue: &str, step: &crate::job::Step) -> u64 {
        let estimate = self.estimates.get(queue);
        estimate.map_or(step.estimate_ms, |estimate| estimate.predict(step.estimate_ms))
    }

    fn next_run(&mut self) -> u64 {
        self.start_count += 1;
        (self.config.fence << RUN_BITS) + self.start_count
    }

    /// Returns whether a run that a predecessor started may still be alive on a worker that
    /// this owner can't reach, or have ended on one that has more exits than it lists. Until then, tasks that a predecessor may have started are not
    /// started.
    ///
    /// Leases of former owners pass only while no other owner can have renewed them.
    pub fn is_recovering(&self, now: Time) -> bool {
        let now = self.last_confirmed(now);
        let is_hiding = |worker: &Worker| worker.hides_runs(now);
        self.has_unnamed_workers(now) || self.workers.values().any(is_hiding)
    }
}
