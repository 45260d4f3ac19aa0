//! Orders to workers, and what their answers mean.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Phase, TaskState};
use super::exits::AVOID_TIME;
use crate::job::Room;
use crate::task;
use crate::worker::{self, Worker};

/// When an order without an answer is sent again: an answer takes a few
/// milliseconds, and a repeated order is harmless.
const RESEND_DELAY: Duration = Duration::from_millis(400);
/// The pause after a worker said that it has no room.
const NO_ROOM_DELAY: Duration = Duration::from_millis(200);

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The worker.
    pub worker: worker::Key,
    /// One life of it.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// The owner's fence.
    pub fence: u64,
    /// The task.
    pub task: task::Name,
    /// The number of the start.
    pub run: u64,
    /// What to do with it.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the task, under a lease until `deadline_ms` on the worker's clock.
    Start {
        /// What to run.
        spec: Rc<str>,
        /// The end of the lease.
        deadline_ms: u64,
        /// Progress to go on from; empty to begin anew.
        saved: Rc<str>,
        /// What says that the worker may run it, where that is asked for.
        ticket: Option<Rc<str>>,
    },
    /// Stop it.
    Stop,
    /// Let it work at this share of its speed, in percent.
    Pace(u32),
}

/// A worker's answer to an order or a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// It is done, or was before.
    Done(T),
    /// Another owner has a higher fence; nothing was done.
    Fenced,
    /// The run is not newer than one that ended or was stopped there.
    Old,
    /// The lease had ended when the order came; nothing was done.
    Late,
    /// There is no room; nothing was done.
    Full,
    /// The ticket is missing, over, or for another life; nothing was done.
    Ticket,
    /// It is refused as malformed.
    Refused,
    /// The worker is unhealthy; nothing was done.
    Unhealthy,
    /// Another life of the worker answers; this one has ended.
    Gone,
    /// No answer: it may have been done, or may still be.
    Lost,
}

impl Pool {
    /// Takes in the answer to an order.
    pub fn handle_order_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        match answer {
            Answer::Fenced => return self.set_deposed(order.worker),
            Answer::Gone => {
                return self.remove_worker(now, order.worker, "another life of the worker answers");
            }
            Answer::Done(clock) => {
                if let Some(worker) = self.workers.get_mut(order.worker) {
                    worker.update_clock(now, *clock);
                }
            }
            _ => {}
        }
        match order.action {
            Action::Start { .. } => self.handle_start_answer(now, order, answer),
            Action::Stop => self.handle_stop_answer(now, order, answer),
            Action::Pace(percent) => self.handle_pace_answer(order, percent, answer),
        }
    }

    fn handle_start_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        let Some(place) = self.current_placement(order) else { return };
        if !matches!(place.phase, Phase::Starting { .. }) {
            return;
        }
        match answer {
            Answer::Done(_) => {
                place.phase = Phase::Running { confirmed: now };
                place.progressed = now;
                let Some(entry) = self.entry_mut(order.task.job) else { return };
                if entry.state == crate::record::State::Queued {
                    entry.state = crate::record::State::Running;
                }
            }
            // Whether it runs is not known: the same order is sent again, to the
            // same worker, until an answer or a look tells, or its lease ends.
            Answer::Lost | Answer::Late => {
                place.phase = Phase::Starting { retry_at: now + RESEND_DELAY };
                place.is_start_unconfirmed = true;
            }
            // The run was there and has ended: the next look lists how. Taken
            // for a start that never ran, a task that is done would run again.
            Answer::Old => place.phase = Phase::Running { confirmed: now },
            // An earlier copy of this start may be carried out yet. The stop of
            // the run bars it; only then may the task go elsewhere.
            Answer::Full | Answer::Ticket | Answer::Refused | Answer::Unhealthy
                if place.is_start_unconfirmed =>
            {
                place.phase = Phase::Stopping { retry_at: now, confirmed: None };
            }
            Answer::Full | Answer::Refused => self.undo_start(now, order, NO_ROOM_DELAY),
            Answer::Ticket => {
                self.discard_ticket(order.task, order.worker);
                self.undo_start(now, order, Duration::ZERO);
            }
            _ => {
                if let Some(worker) = self.workers.get_mut(order.worker) {
                    worker.avoid_until = now + AVOID_TIME / 5;
                }
                self.undo_start(now, order, Duration::ZERO);
            }
        }
    }

    /// Takes back a start that was certainly not carried out.
    fn undo_start(&mut self, now: Time, order: &Order, pause: Duration) {
        if let Some(worker) = self.workers.get_mut(order.worker) {
            worker.release(order.task, order.run);
        }
        self.requeue(order.task, now + pause);
        let why = format!("run {} was refused", order.run);
        self.note("start refused", Some(order.task), Some(order.worker), why);
    }

    fn handle_stop_answer(&mut self, now: Time, order: &Order, answer: &Answer<u64>) {
        if let Some(place) = self.current_placement(order)
            && let Phase::Stopping { retry_at, confirmed } = &mut place.phase
        {
            *retry_at = now + RESEND_DELAY;
            if matches!(answer, Answer::Done(_)) {
                confirmed.get_or_insert(now);
            }
        }
    }

    fn handle_pace_answer(&mut self, order: &Order, percent: u32, answer: &Answer<u64>) {
        if let Some(place) = self.current_placement(order)
            && matches!(answer, Answer::Done(_))
        {
            place.pace = percent;
        }
    }

    fn current_placement(&mut self, order: &Order) -> Option<&mut super::entry::Placement> {
        let place = self.entry_mut(order.task.job)?.placement_mut(order.task)?;
        (place.run == order.run && place.worker == order.worker).then_some(place)
    }

    pub(super) fn order(
        &self,
        key: worker::Key,
        task: task::Name,
        run: u64,
        action: Action,
    ) -> Option<Order> {
        let worker = self.workers.get(key)?;
        let fence = self.config.fence;
        Some(Order {
            worker: key,
            id: worker.id.clone(),
            address: worker.address,
            fence,
            task,
            run,
            action,
        })
    }

    /// Orders that have to be sent again, and stops that were asked for.
    pub(super) fn resend_orders(&mut self, now: Time, orders: &mut Vec<Order>) {
        let placed: Vec<task::Name> =
            self.jobs.values().flat_map(super::entry::Entry::placed_tasks).collect();
        for name in placed {
            let Some(place) = self.entry(name.job).and_then(|entry| entry.placement(name)) else {
                continue;
            };
            let (key, run) = (place.worker, place.run);
            match place.phase {
                // The room may have shrunk since the start was first sent, and the
                // worker may not check it.
                Phase::Starting { retry_at } if now >= retry_at && self.is_overcommitted(key) => {
                    self.request_stop(now, name);
                }
                Phase::Starting { retry_at } if now >= retry_at => {
                    self.resend_start(now, name, orders)
                }
                Phase::Stopping { retry_at, .. } if now >= retry_at => {
                    if let Some(entry) = self.entry_mut(name.job)
                        && let Some(place) = entry.placement_mut(name)
                        && let Phase::Stopping { retry_at, .. } = &mut place.phase
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
        let TaskState::Placed(place) = &mut task.state else { return };
        place.phase = Phase::Starting { retry_at: now + RESEND_DELAY };
        let (key, run) = (place.worker, place.run);
        let lease = self.config.lease;
        let Some(worker) = self.workers.get_mut(key) else { return };
        // A worker that doesn't answer gets nothing more; see `next_poll`.
        if worker.unanswered_polls >= 2 {
            return;
        }
        let Some(deadline_ms) = worker.grant(now, lease) else { return };
        let ticket = self.ticket(name, key);
        let action = Action::Start { spec, deadline_ms, saved, ticket };
        orders.extend(self.order(key, name, run, action));
    }
}
