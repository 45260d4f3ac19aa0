//! Orders to workers, and the handling of their answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Phase, TaskState};
use super::exits::AVOID_TIME;
use super::proof::Proof;
use super::{JobKey, Pool};
use crate::job::Room;
use crate::task;
use crate::worker::{self, Worker};

/// Delay until an unanswered order is sent again. An answer takes a few milliseconds, and
/// orders are idempotent.
pub(super) const RESEND_DELAY: Duration = Duration::from_millis(400);
/// Delay until a task is started again after a worker refused it for lack of room.
const NO_ROOM_DELAY: Duration = Duration::from_millis(200);

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The worker.
    pub worker: worker::Key,
    /// The ID of the worker instance.
    pub id: String,
    /// The address of the worker.
    pub address: SocketAddr,
    /// The owner's fence.
    pub fence: u64,
    /// The task.
    pub task: task::Name,
    /// The number of the run.
    pub run: u64,
    /// The number of this copy of a start, from 1; 0 for other actions.
    pub copy: u32,
    /// The requested action.
    pub action: Action,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the task under a lease.
    Start {
        /// The job's spec.
        spec: Rc<str>,
        /// The end of the lease, in milliseconds on the worker's clock.
        deadline_ms: u64,
        /// Saved progress to resume from; empty to start from the beginning.
        saved: Rc<str>,
        /// The ticket that permits the worker to run the task, if the queue requires one.
        ticket: Option<Rc<str>>,
    },
    /// Stop the task.
    Stop,
    /// Set the speed of a backfill task, in percent of full speed.
    Pace(u32),
}

/// A worker's answer to an order or a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// The request was carried out, now or earlier.
    Done(T),
    /// Another owner has a higher fence; nothing was done.
    Fenced,
    /// The run is not newer than one that ended or was stopped on this worker.
    Old,
    /// The lease had already expired; nothing was done.
    Late,
    /// The worker lacks room; nothing was done.
    Full,
    /// The ticket is missing, expired, or for another worker instance; nothing was done.
    Ticket,
    /// The request was rejected as malformed.
    Refused,
    /// The worker is unhealthy; nothing was done.
    Unhealthy,
    /// The request was not sent: the worker left earlier ones unanswered.
    Unsent,
    /// The address belongs to another worker instance now; this one has ended.
    Gone,
    /// The answer is none that the protocol names: the request may have been carried out, and will
    /// not be any more.
    Unclear,
    /// No answer arrived: the request may have been carried out, or may still be.
    Lost,
}

impl Pool {
    /// Records that a copy of a start was not sent. A later plan sends another one if the start is
    /// still needed.
    ///
    /// Each start that [`Pool::plan`] returns has to be reported here or to
    /// [`Pool::handle_order_answer`]. One that isn't counts as on its way, so that its task waits
    /// longer than it has to, and never starts elsewhere too soon.
    pub fn handle_unsent(&mut self, order: &Order) {
        if let Some(placement) = self.current_placement(order) {
            placement.copies.settle(order.copy);
        }
    }

    /// Handles the answer to an order.
    pub fn handle_order_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        if *answer == Answer::Gone && !self.may_conclude(now, order.worker, Proof::Replaced) {
            return self.handle_order_answer(now, order, &Answer::Lost);
        }
        if *answer == Answer::Fenced && self.is_outdated(order.worker, order.fence) {
            // Nothing was done, and it may be sent again.
            return self.handle_order_answer(now, order, &Answer::Late);
        }
        match answer {
            Answer::Fenced => return self.set_deposed(order.worker),
            Answer::Gone => {
                return self.remove_worker(now, order.worker, Proof::Replaced);
            }
            _ => self.note_lease(now, order, answer),
        }
        match order.action {
            Action::Start { .. } => self.handle_start_answer(now, order, answer),
            Action::Stop => self.handle_stop_answer(now, order, answer),
            Action::Pace(percent) => self.handle_pace_answer(order, percent, answer),
        }
    }

    /// Records the clock in an answer, and the lease that a start may have given.
    fn note_lease(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        let Some(worker) = self.workers.get_mut(order.worker) else { return };
        if let Answer::Done(clock) = answer {
            worker.leases.update_clock(now, *clock);
        }
        let Action::Start { deadline_ms, .. } = order.action else { return };
        match answer {
            Answer::Done(clock) => {
                let length = worker.leases.confirm(now, *clock, deadline_ms);
                if length > self.config.lease {
                    let (length, lease) = (length.as_millis(), self.config.lease.as_millis());
                    let why = format!(
                        "{length} ms instead of {lease} ms: deadline {deadline_ms} ms, clock {clock} ms"
                    );
                    self.note(
                        "lease longer than granted",
                        Some(order.task),
                        Some(order.worker),
                        why,
                    );
                }
            }
            // A worker takes the deadline of a start that it refuses for these reasons.
            Answer::Old | Answer::Full | Answer::Unclear | Answer::Lost => {
                worker.leases.leave_unsettled(now);
            }
            _ => {}
        }
    }

    fn handle_start_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        let Some(placement) = self.current_placement(order) else { return };
        match answer {
            Answer::Lost => placement.copies.lose(order.copy),
            _ => placement.copies.settle(order.copy),
        }
        if !matches!(placement.phase, Phase::Starting { .. }) {
            return;
        }
        match answer {
            Answer::Done(_) => {
                placement.phase = Phase::Running { confirmed: now };
                placement.progressed = now;
                let Some(entry) = self.entry_mut(order.task.job) else { return };
                if entry.state == crate::record::State::Queued {
                    entry.state = crate::record::State::Running;
                }
            }
            // It is not known whether the run started. The same order is sent to the same
            // worker again until an answer or a poll settles it, or the lease ends.
            Answer::Lost | Answer::Late => {
                placement.phase = Phase::Starting { retry_at: now + RESEND_DELAY };
            }
            // The run has started and ended; the next poll lists its outcome. If it counted as
            // never started, a task that is done would run again.
            Answer::Old => placement.phase = Phase::Running { confirmed: now },
            // The next poll tells whether the run has begun.
            Answer::Unclear if !placement.copies.may_arrive() => {
                placement.phase = Phase::Running { confirmed: now };
                self.avoid_worker(order.worker, now + AVOID_TIME / 5);
            }
            Answer::Unclear => {
                placement.phase = Phase::Stopping { retry_at: now, confirmed: None };
            }
            _ => match placement.copies.not_started() {
                Some(proof) => self.undo_start(now, order, answer, proof),
                // The copy on its way may start the run, and this one changes nothing about it.
                None if *answer == Answer::Unsent => {
                    placement.phase = Phase::Starting { retry_at: now + RESEND_DELAY };
                }
                // A worker that refuses one copy may have started the run on another. Stopping it
                // settles that; only then may the task start elsewhere.
                None => placement.phase = Phase::Stopping { retry_at: now, confirmed: None },
            },
        }
    }

    /// Returns whether an order that was not sent yet is still needed: the start of a run that is
    /// to be stopped meanwhile isn't.
    pub fn is_needed(&self, order: &Order) -> bool {
        let is_start = matches!(order.action, Action::Start { .. });
        let placement = self.entry(order.task.job).and_then(|entry| entry.placement(order.task));
        let is_starting = placement.is_some_and(|placement| {
            let is_same = placement.run == order.run && placement.worker == order.worker;
            is_same && matches!(placement.phase, Phase::Starting { .. })
        });
        !is_start || is_starting
    }

    /// Undoes a start that was certainly not carried out, as `proof` says.
    fn undo_start(&mut self, now: Time, order: &Order, answer: &Answer<u64>, proof: Proof) {
        let Some(placement) = self.current_placement(order) else { return };
        let why = format!("run {}: {answer:?}; {}", order.run, placement.copies);
        let mut pause = Duration::ZERO;
        match answer {
            Answer::Full | Answer::Refused => pause = NO_ROOM_DELAY,
            Answer::Ticket => self.discard_ticket(order.task, order.worker),
            _ => self.avoid_worker(order.worker, now + AVOID_TIME / 5),
        }
        if let Some(worker) = self.workers.get_mut(order.worker) {
            worker.release(order.task, order.run);
        }
        self.end_run(now, order.worker, order.task, proof, now + pause);
        self.note("start refused", Some(order.task), Some(order.worker), why);
    }

    fn avoid_worker(&mut self, key: worker::Key, until: Time) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.avoid_until = until;
        }
    }

    fn handle_stop_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        if let Some(placement) = self.current_placement(order)
            && let Phase::Stopping { retry_at, confirmed } = &mut placement.phase
        {
            *retry_at = now + RESEND_DELAY;
            if matches!(answer, Answer::Done(_)) {
                confirmed.get_or_insert(now);
            }
        }
        let worker = self.workers.get_mut(order.worker);
        let stray = worker.and_then(|worker| worker.strays.get_mut(&order.task));
        if let Some(stray) = stray.filter(|stray| stray.run == order.run)
            && matches!(answer, Answer::Done(_))
        {
            stray.stop_confirmed.get_or_insert(now);
        }
    }

    fn handle_pace_answer(&mut self, order: &Order, percent: u32, answer: &Answer<u64>) {
        if let Some(placement) = self.current_placement(order)
            && matches!(answer, Answer::Done(_))
        {
            placement.pace = percent;
        }
    }

    fn current_placement(&mut self, order: &Order) -> Option<&mut super::entry::Placement> {
        let placement = self.entry_mut(order.task.job)?.placement_mut(order.task)?;
        (placement.run == order.run && placement.worker == order.worker).then_some(placement)
    }

    pub(super) fn order(
        &self,
        key: worker::Key,
        task: task::Name,
        run: u64,
        action: Action,
    ) -> Option<Order> {
        let worker = self.workers.get(key)?;
        Some(Order {
            worker: key,
            id: worker.id.clone(),
            address: worker.address,
            fence: worker.fence,
            task,
            run,
            copy: 0,
            action,
        })
    }

    /// Issues a copy of the start order of a placed run.
    pub(super) fn start_order(
        &mut self,
        key: worker::Key,
        task: task::Name,
        run: u64,
        action: Action,
    ) -> Option<Order> {
        let order = self.order(key, task, run, action)?;
        let worker = self.workers.get_mut(key)?;
        worker.start_fence = worker.start_fence.max(order.fence);
        let copy = self.entry_mut(task.job)?.placement_mut(task)?.copies.issue();
        Some(Order { copy, ..order })
    }

    /// Sends unanswered starts and outstanding stops.
    pub(super) fn resend_orders(
        &mut self,
        now: Time,
        due: &BTreeSet<JobKey>,
        orders: &mut Vec<Order>,
    ) {
        let due = due.iter().filter_map(|key| self.jobs.get(*key));
        let placed: Vec<task::Name> = due.flat_map(super::entry::Entry::placed_tasks).collect();
        for name in placed {
            let Some(placement) = self.entry(name.job).and_then(|entry| entry.placement(name))
            else {
                continue;
            };
            let (key, run) = (placement.worker, placement.run);
            match placement.phase {
                // The worker's room may have shrunk since the start was first sent, and the
                // worker may not check it.
                Phase::Starting { retry_at } if now >= retry_at && self.is_overcommitted(key) => {
                    self.request_stop(now, name);
                }
                Phase::Starting { retry_at } if now >= retry_at => {
                    self.resend_start(now, name, orders)
                }
                Phase::Stopping { retry_at, .. } if now >= retry_at => {
                    if let Some(entry) = self.entry_mut(name.job)
                        && let Some(placement) = entry.placement_mut(name)
                        && let Phase::Stopping { retry_at, .. } = &mut placement.phase
                    {
                        *retry_at = now + RESEND_DELAY;
                    }
                    orders.extend(self.order(key, name, run, Action::Stop));
                }
                _ => {}
            }
        }
    }

    fn is_overcommitted(&self, key: worker::Key) -> bool {
        let is_over = |worker: &Worker| !worker.room.fits(&worker.used, &Room::default());
        self.workers.get(key).is_some_and(is_over)
    }

    fn resend_start(&mut self, now: Time, name: task::Name, orders: &mut Vec<Order>) {
        let Some(entry) = self.entry_mut(name.job) else { return };
        let spec = entry.spec.clone();
        let Some(task) = entry.task_mut(name) else { return };
        let saved = task.saved.clone();
        let TaskState::Placed(placement) = &mut task.state else { return };
        placement.phase = Phase::Starting { retry_at: now + RESEND_DELAY };
        let (key, run) = (placement.worker, placement.run);
        let lease = self.config.lease;
        let Some(worker) = self.workers.get_mut(key) else { return };
        // An unresponsive worker is granted no more leases; see `next_poll`. Its next answer may come
        // from another instance.
        if !worker.is_responsive() {
            return;
        }
        let Some(deadline_ms) = worker.leases.grant(now, lease) else { return };
        let ticket = self.ticket(name, key);
        let action = Action::Start { spec, deadline_ms, saved, ticket };
        orders.extend(self.start_order(key, name, run, action));
    }
}
