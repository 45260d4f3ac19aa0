//! Which workers may run a step, where another service decides that.
//!
//! The service is slow: it takes a few tenths of a second a question, one at a
//! time from each VM that asks. So questions are spread over all entry VMs,
//! name as many workers as are of use, and go out in the order in which steps
//! get room. What the service says of a step doesn't change, but a ticket holds
//! for some seconds only.

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

/// Workers named in one question. The service takes a time for each, and one
/// good worker with room is all that a task needs; but one question more costs
/// as much as a hundred workers more.
const MAX_WORKERS: usize = 40;
/// How long before its end a ticket is no longer used: the order is on its way
/// to the worker for a few milliseconds, and is sent again once without an
/// answer.
const TICKET_MARGIN: Duration = Duration::from_millis(500);

/// A question to the service that decides which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// A task of the step.
    pub task: task::Name,
    /// The workers that it asks about.
    pub workers: Vec<(worker::Key, String)>,
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Advice {
    /// The lives of the workers that may run the step, each with its ticket.
    Received {
        /// Ids and tickets.
        allowed: Vec<(String, String)>,
        /// How long the tickets hold.
        ttl: Duration,
    },
    /// No answer, or too many ask.
    Lost,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    tickets: HashMap<worker::Key, Ticket>,
    queried: HashSet<worker::Key>,
    is_query_pending: bool,
    /// Whether a worker is sought for one of its tasks that still runs.
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

    /// Whether a question is under way.
    pub fn is_query_pending(&self) -> bool {
        self.is_query_pending
    }

    /// Whether it is of use to ask about a worker: nothing is known of it, or
    /// it is good and its ticket is over.
    fn is_worth_querying(&self, now: Time, key: worker::Key) -> bool {
        !self.is_refused(key) && !self.has_valid_ticket(now, key)
    }

    /// Whether anything was told of it.
    pub fn has_response(&self) -> bool {
        !self.queried.is_empty()
    }

    /// Whether a worker is known to be among those that may run the step.
    pub fn is_allowed(&self, key: worker::Key) -> bool {
        self.tickets.contains_key(&key)
    }

    /// Whether a worker is known not to be among those that may run the step.
    pub fn is_refused(&self, key: worker::Key) -> bool {
        self.queried.contains(&key) && !self.tickets.contains_key(&key)
    }
}

impl Pool {
    /// Questions that are to be asked now, at most `most`, first things first.
    /// Each is answered by [`Pool::advised`].
    pub fn advice_queries(&mut self, now: Time, most: usize) -> Vec<Query> {
        if most == 0 || !self.queues.values().any(|queue| queue.advice.is_some()) {
            return Vec::new();
        }
        let mut step_keys = self.ranked_steps(now);
        step_keys.extend(self.steps_to_evacuate());
        step_keys.extend(self.upcoming_steps());
        let mut questions = Vec::new();
        for step_key in step_keys {
            if questions.len() >= most {
                break;
            }
            questions.extend(self.advice_query(now, step_key));
        }
        questions
    }

    /// Steps whose lasting tasks are to leave their worker.
    fn steps_to_evacuate(&self) -> Vec<StepKey> {
        self.steps_where(|known, _| known.is_wanted_early)
    }

    /// Steps whose turn comes once what runs has ended: asked ahead, their tasks
    /// don't wait for the answer.
    fn upcoming_steps(&self) -> Vec<StepKey> {
        self.steps_where(|known, is_next| known.queried.is_empty() && is_next)
    }

    fn steps_where(&self, is_meant: impl Fn(&StepAdvice, bool) -> bool) -> Vec<StepKey> {
        let mut step_keys = Vec::new();
        for (job, entry) in self.jobs.iter().filter(|(_, entry)| !entry.state.is_final()) {
            for (number, occurrence) in &entry.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let is_next =
                        entry.steps.get(step).is_some_and(|step| occurrence.is_next(step));
                    if is_meant(&state.advice, is_next) {
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

    /// The workers about which a question is of use now.
    ///
    /// Nothing is asked while a worker that may run the step has room: the next
    /// plan uses it. A gang needs several, so that one is not enough.
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
            worker.room.fits(&worker.occupied(|kept| kept.is_sibling(&task)), &room)
        };
        let fit = || self.workers.iter().filter(|(_, worker)| is_suitable(worker, now, step));
        let is_served =
            fit().any(|(key, worker)| known.has_valid_ticket(now, key) && has_room(worker));
        if is_served && !step.gang {
            return None;
        }
        let is_of_use = |key: worker::Key, worker: &Worker| {
            known.is_worth_querying(now, key) && (is_first || has_room(worker))
        };
        let mut keys: Vec<(Reverse<u64>, worker::Key)> = fit()
            .filter(|(key, worker)| is_of_use(*key, worker))
            .map(|(key, worker)| (Reverse(free_cpu(worker)), key))
            .collect();
        keys.sort();
        keys.truncate(MAX_WORKERS);
        (!keys.is_empty()).then(|| keys.into_iter().map(|(_, key)| key).collect())
    }

    /// Takes in the answer to a question.
    pub fn handle_advice(&mut self, now: Time, question: &Query, advice: &Advice) {
        let Some(known) =
            self.entry_mut(question.task.job).and_then(|entry| entry.advice_mut(question.task))
        else {
            return;
        };
        known.is_query_pending = false;
        let Advice::Received { allowed, ttl } = advice else { return };
        for (key, id) in &question.workers {
            known.queried.insert(*key);
            let ticket = allowed.iter().find(|(allowed, _)| allowed == id);
            if let Some((_, text)) = ticket {
                let ticket = Ticket { text: Rc::from(text.as_str()), until: now + *ttl };
                known.tickets.insert(*key, ticket);
            }
        }
        let why = format!("{} of {} workers may", allowed.len(), question.workers.len());
        self.note("advice told", Some(question.task), None, why);
    }

    /// Whether a worker may be given a task, as far as advice goes.
    pub(super) fn is_allowed_by_advice(
        &self,
        now: Time,
        task: task::Name,
        key: worker::Key,
    ) -> bool {
        let Some(entry) = self.entry(task.job) else { return false };
        let is_free = self.queues.get(&entry.queue).is_none_or(|queue| queue.advice.is_none());
        is_free || entry.advice(task).is_some_and(|known| known.has_valid_ticket(now, key))
    }

    /// The ticket that a start there carries.
    pub(super) fn ticket(&self, task: task::Name, key: worker::Key) -> Option<Rc<str>> {
        let known = self.entry(task.job)?.advice(task)?;
        known.tickets.get(&key).map(|ticket| ticket.text.clone())
    }

    /// A worker refused a ticket: it is asked for anew.
    pub(super) fn discard_ticket(&mut self, task: task::Name, key: worker::Key) {
        if let Some(known) = self.entry_mut(task.job).and_then(|entry| entry.advice_mut(task)) {
            known.tickets.remove(&key);
            known.queried.remove(&key);
        }
    }

    /// Notes that a worker is sought for a task that still runs elsewhere.
    pub(super) fn want_advice(&mut self, task: task::Name) {
        if let Some(known) = self.entry_mut(task.job).and_then(|entry| entry.advice_mut(task)) {
            known.is_wanted_early = true;
        }
    }
}

/// Whether a worker may carry a task of a step once it has room.
pub(super) fn is_suitable(worker: &Worker, now: Time, step: &Step) -> bool {
    worker.is_usable(now) && meets_requirements(worker, step)
}

/// Whether a worker has the size and the label that a task of a step needs.
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
