//! Advice: which workers may run a step, where another service decides that.
//!
//! The service is slow: it takes a few tenths of a second per query and handles one query at a
//! time from each VM. Therefore queries are spread over all entry VMs, cover as many workers as
//! useful, and are sent in the order in which steps get room. The decision about a step doesn't
//! change, but a ticket is valid for only a few seconds.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::name;
use super::ranking::StepKey;
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Worker};

/// Maximum number of workers in one query. The service takes additional time for each, and a
/// task needs only one allowed worker with room; but another query costs as much as a hundred
/// more workers.
const MAX_WORKERS: usize = 40;
/// How long before its expiry a ticket is no longer used: the order takes a few milliseconds to
/// reach the worker, and is sent again once if it isn't answered.
const TICKET_MARGIN: Duration = Duration::from_millis(500);

/// A query to the service that decides which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// A task of the step.
    pub task: task::Name,
    /// Keys and IDs of the workers to decide about.
    pub workers: Vec<(worker::Key, String)>,
}

/// The response to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Advice {
    /// The service responded.
    Received {
        /// IDs of the worker instances that may run the step, each with its ticket.
        allowed: Vec<(String, String)>,
        /// How long the tickets are valid.
        ttl: Duration,
    },
    /// No response, or the service was overloaded.
    Lost,
}

/// The advice received about one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    tickets: HashMap<worker::Key, Ticket>,
    queried: HashSet<worker::Key>,
    is_query_pending: bool,
    /// Whether a worker is needed for one of its tasks that still runs.
    is_wanted_early: bool,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Rc<str>,
    until: Time,
}

impl StepAdvice {
    fn has_valid_ticket(&self, now: Time, key: worker::Key) -> bool {
        self.tickets.get(&key).is_some_and(|ticket| now + TICKET_MARGIN < ticket.until)
    }

    /// Returns whether a query is in flight.
    pub fn is_query_pending(&self) -> bool {
        self.is_query_pending
    }

    /// Returns whether a query about a worker is useful: nothing is known about it, or it is
    /// allowed and its ticket has expired.
    fn is_worth_querying(&self, now: Time, key: worker::Key) -> bool {
        !self.is_refused(key) && !self.has_valid_ticket(now, key)
    }

    /// Returns whether any response was received.
    pub fn has_response(&self) -> bool {
        !self.queried.is_empty()
    }

    /// Returns whether a worker is known to be allowed to run the step.
    pub fn is_allowed(&self, key: worker::Key) -> bool {
        self.tickets.contains_key(&key)
    }

    /// Returns whether a worker is known not to be allowed to run the step.
    pub fn is_refused(&self, key: worker::Key) -> bool {
        self.queried.contains(&key) && !self.tickets.contains_key(&key)
    }
}

impl Pool {
    /// Returns the queries to send now, at most `max_queries`, most urgent first. The response
    /// to each is passed to [`Pool::handle_advice`].
    pub fn advice_queries(&mut self, now: Time, max_queries: usize) -> Vec<Query> {
        if max_queries == 0 || !self.uses_advice() {
            return Vec::new();
        }
        self.update_changed_ranks(now);
        let mut step_keys = self.ranked_steps(now);
        step_keys.extend(self.steps_to_evacuate());
        step_keys.extend(self.upcoming_steps());
        if self.config.contention.limits {
            // Their tickets may expire before they can start, and others wait for theirs.
            step_keys.sort_by_cached_key(|step_key| self.is_held_by_limit(*step_key));
        }
        let mut queries = Vec::new();
        for step_key in step_keys {
            if queries.len() >= max_queries {
                break;
            }
            queries.extend(self.advice_query(now, step_key));
        }
        queries
    }

    /// Returns whether no task of a step may start within the limit of its organisation.
    fn is_held_by_limit(&self, step_key: StepKey) -> bool {
        let Some(entry) = self.jobs.get(step_key.job) else { return false };
        entry.steps.get(step_key.step).is_some_and(|step| !self.is_within_limit(entry, step))
    }

    /// Returns whether a service decides about the workers of any queue.
    pub fn uses_advice(&self) -> bool {
        self.queues.values().any(|queue| queue.advice.is_some())
    }

    /// Returns the steps with long-running tasks that have to leave their worker.
    fn steps_to_evacuate(&self) -> Vec<StepKey> {
        self.steps_where(|known, _| known.is_wanted_early)
    }

    /// Returns the steps without advice that become ready when the current runs end. Queried
    /// ahead of time, their tasks don't have to wait for the response.
    fn upcoming_steps(&self) -> Vec<StepKey> {
        self.steps_where(|known, is_next| known.queried.is_empty() && is_next)
    }

    fn steps_where(&self, is_selected: impl Fn(&StepAdvice, bool) -> bool) -> Vec<StepKey> {
        let mut step_keys = Vec::new();
        for job in self.active.iter().copied() {
            let Some(entry) = self.jobs.get(job) else { continue };
            for (number, occurrence) in &entry.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let is_next =
                        entry.steps.get(step).is_some_and(|step| occurrence.is_next(step));
                    if is_selected(&state.advice, is_next) {
                        step_keys.push(StepKey { job, occurrence: *number, step });
                    }
                }
            }
        }
        step_keys
    }

    fn advice_query(&mut self, now: Time, step_key: StepKey) -> Option<Query> {
        let workers = self.workers_to_query(now, step_key)?;
        let entry = self.jobs.get_mut(step_key.job)?;
        let task = name(entry.id, step_key.occurrence, step_key.step, 0);
        let known = entry.advice_mut(task)?;
        known.is_query_pending = true;
        known.is_wanted_early = false;
        let why = format!("about {} workers", workers.len());
        self.note("advice asked", Some(task), None, why);
        let id = |key: worker::Key| Some((key, self.workers.get(key)?.id.clone()));
        let workers = workers.into_iter().filter_map(id).collect();
        Some(Query { task, workers })
    }

    /// Returns the workers to query about now, or `None` if no query is useful.
    ///
    /// None is useful while an allowed worker has room: the next plan uses it. A gang needs
    /// several workers, so one is not enough.
    fn workers_to_query(&self, now: Time, step_key: StepKey) -> Option<Vec<worker::Key>> {
        let entry = self.jobs.get(step_key.job)?;
        self.queue(&entry.queue).advice?;
        let step = entry.steps.get(step_key.step)?;
        let known = &entry.occurrences.get(&step_key.occurrence)?.steps.get(step_key.step)?.advice;
        if known.is_query_pending {
            return None;
        }
        let is_first = known.queried.is_empty();
        let room = step.room();
        let task = name(entry.id, step_key.occurrence, step_key.step, 0);
        let has_room = |worker: &Worker| {
            worker.room.fits(&worker.occupied(|reserved| reserved.is_sibling(&task)), &room)
        };
        let suitable = || self.workers.iter().filter(|(_, worker)| is_suitable(worker, now, step));
        let has_allowed_worker =
            suitable().any(|(key, worker)| known.has_valid_ticket(now, key) && has_room(worker));
        if has_allowed_worker && !step.gang {
            return None;
        }
        let is_useful = |key: worker::Key, worker: &Worker| {
            known.is_worth_querying(now, key) && (is_first || has_room(worker))
        };
        let mut keys: Vec<(Reverse<u64>, worker::Key)> = suitable()
            .filter(|(key, worker)| is_useful(*key, worker))
            .map(|(key, worker)| (Reverse(free_cpu(worker)), key))
            .collect();
        keys.sort();
        keys.truncate(MAX_WORKERS);
        (!keys.is_empty()).then(|| keys.into_iter().map(|(_, key)| key).collect())
    }

    /// Handles the response to a query.
    pub fn handle_advice(&mut self, now: Time, query: &Query, advice: &Advice) {
        let Some(known) =
            self.entry_mut(query.task.job).and_then(|entry| entry.advice_mut(query.task))
        else {
            return;
        };
        known.is_query_pending = false;
        let Advice::Received { allowed, ttl } = advice else { return };
        for (key, id) in &query.workers {
            known.queried.insert(*key);
            let ticket = allowed.iter().find(|(allowed, _)| allowed == id);
            if let Some((_, text)) = ticket {
                let ticket = Ticket { text: Rc::from(text.as_str()), until: now + *ttl };
                known.tickets.insert(*key, ticket);
            }
        }
        let why = format!("{} of {} workers are allowed", allowed.len(), query.workers.len());
        self.note("advice told", Some(query.task), None, why);
    }

    /// Returns whether a task may be placed on a worker as far as advice is concerned.
    pub(super) fn is_allowed_by_advice(
        &self,
        now: Time,
        task: task::Name,
        key: worker::Key,
    ) -> bool {
        let Some(entry) = self.entry(task.job) else { return false };
        !self.needs_advice(task)
            || entry.advice(task).is_some_and(|known| known.has_valid_ticket(now, key))
    }

    /// Returns whether a service decides which workers may run a task.
    pub(super) fn needs_advice(&self, task: task::Name) -> bool {
        let queue = self.entry(task.job).and_then(|entry| self.queues.get(&entry.queue));
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Returns the ticket for the start of a task on a worker.
    pub(super) fn ticket(&self, task: task::Name, key: worker::Key) -> Option<Rc<str>> {
        let known = self.entry(task.job)?.advice(task)?;
        known.tickets.get(&key).map(|ticket| ticket.text.clone())
    }

    /// Discards a ticket that a worker refused, so that the service is queried again.
    pub(super) fn discard_ticket(&mut self, task: task::Name, key: worker::Key) {
        if let Some(known) = self.entry_mut(task.job).and_then(|entry| entry.advice_mut(task)) {
            known.tickets.remove(&key);
            known.queried.remove(&key);
        }
    }

    /// Requests advice for a task that still runs elsewhere and has to move.
    pub(super) fn want_advice(&mut self, task: task::Name) {
        if let Some(known) = self.entry_mut(task.job).and_then(|entry| entry.advice_mut(task)) {
            known.is_wanted_early = true;
        }
    }
}

/// Returns whether a worker may run a task of a step once it has room.
pub(super) fn is_suitable(worker: &Worker, now: Time, step: &Step) -> bool {
    worker.is_usable(now) && meets_requirements(worker, step)
}

/// Returns whether a worker has the size and the label that a task of a step needs.
pub(super) fn meets_requirements(worker: &Worker, step: &Step) -> bool {
    let is_large_enough = worker.room.fits(&Room::default(), &step.room());
    is_large_enough && step.label.as_ref().is_none_or(|label| worker.has_label(label))
}

fn free_cpu(worker: &Worker) -> u64 {
    worker.room.cpu.saturating_sub(worker.used.cpu)
}

impl super::entry::Entry {
    pub(super) fn advice(&self, task: task::Name) -> Option<&StepAdvice> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        occurrence.steps.get(task.step as usize).map(|state| &state.advice)
    }

    fn advice_mut(&mut self, task: task::Name) -> Option<&mut StepAdvice> {
        let occurrence = self.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(task.step as usize).map(|state| &mut state.advice)
    }
}
