//! Polls of workers, and orders to them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use corianderfork_adapter::worker as wire;
use corianderfork_jobs::pool::wait::{self, Wait};
use corianderfork_jobs::pool::{self, Answer, Poll};
use corianderfork_jobs::worker;
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Owner, ms};
use crate::clock;
use crate::http::Connection;
use crate::lanes::Turn;

/// How long a worker may take to respond, beyond the time that it is asked to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same for a worker that hasn't responded before: a takeover waits for the first
/// poll of each worker.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the pool is planned without any event.
const PLAN_INTERVAL: Duration = Duration::from_millis(60);
/// The shortest time between two plans, so that simultaneous events are planned together.
const MIN_PLAN_GAP: Duration = Duration::from_millis(3);
/// The pause after a poll that returned ended tasks, so that the next ones come together.
/// It grows by [`POLL_PAUSE_PER_WORKER`] for each worker of the pool, which bounds the
/// polls of an owner: 250 workers that each end 11 tasks a second would be polled 2,750
/// times a second, which is 0.13 of a core at the 46 us that a call is charged.
const POLL_PAUSE_AFTER_ENDS: Duration = Duration::from_millis(10);
/// See [`POLL_PAUSE_AFTER_ENDS`].
const POLL_PAUSE_PER_WORKER: Duration = Duration::from_micros(250);
/// The pause after a poll that returned only ends that are already being written.
const POLL_PAUSE_NOTHING_NEW: Duration = Duration::from_millis(40);
/// How much longer the pause is for each listed end that is already being written: while the store
/// is away the lists grow, and reading them again and again would take the processor from orders.
const POLL_PAUSE_PER_KNOWN_END: Duration = Duration::from_millis(2);
/// The longest pause for known ends.
const MAX_POLL_PAUSE_KNOWN_ENDS: Duration = Duration::from_millis(400);
const POLL_PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(200);

impl Owner {
    pub(super) async fn plan_loop(self: Rc<Self>) {
        while !self.retired.get() && !self.halted.get() {
            self.plan();
            let due = Instant::now() + MIN_PLAN_GAP;
            tokio::time::sleep(MIN_PLAN_GAP).await;
            self.couriers.borrow_mut().note_delay(due.elapsed());
            // Without an event, the pool is planned after PLAN_INTERVAL.
            let _ = timeout(PLAN_INTERVAL, self.wake.notified()).await;
        }
    }

    fn plan(self: &Rc<Self>) {
        let now = clock::now();
        self.confirm();
        if self.list_changed.replace(false) {
            let entries = self.node.workers_of(&self.name);
            self.pool.borrow_mut().set_workers(now, &entries);
        }
        // No planner sends VMs where there is no fleet service.
        if self.node.settings.contention.refuse && self.node.settings.fleet.is_none() {
            self.pool.borrow_mut().set_target_size(now, 0);
        }
        self.start_polls();
        self.ask_advice();
        let is_certain = self.is_certain();
        self.note_certainty(is_certain);
        if is_certain {
            self.pool.borrow_mut().confirm_ownership();
        }
        if self.may_order() {
            let started = Instant::now();
            let orders = self.pool.borrow_mut().plan(now, clock::wall_ms());
            self.note_decision(started.elapsed(), orders.len());
            if self.pool.borrow().has_shortage() {
                self.shortage.notify_one();
            }
            let mut due = Vec::new();
            for order in orders {
                let turn = self.lanes.borrow_mut().push(order);
                match turn {
                    Turn::Now(order) => due.push(order),
                    Turn::Replaces(former) => self.pool.borrow_mut().handle_unsent(&former),
                    Turn::Waits => {}
                }
            }
            self.dispatch(due);
        }
        self.empty_outbox();
        self.log_notes();
        let is_deposed = self.pool.borrow().is_deposed();
        if is_deposed {
            self.retire("a worker saw a higher fence");
            // The record that still names this process is out of date.
            self.node.relinquish(&self.duty, self.fence() + 1);
        }
        self.write_wake.notify_one();
    }

    /// Logs when this owner begins or ceases to be certain that no other one has taken the pool over.
    fn note_certainty(&self, is_certain: bool) {
        if self.was_certain.replace(is_certain) == is_certain {
            return;
        }
        // What the list told meanwhile counts now.
        self.list_changed.set(true);
        let event = if is_certain { "ownership certain" } else { "ownership uncertain" };
        self.node.metrics.event(event);
        self.node.trace.unlimited(
            event,
            json!({ "duty": self.name, "fence": self.fence(),
                "renewed_ms_ago": self.node.since_renewal(), "may_order": self.node.may_order() }),
        );
    }

    fn note_decision(&self, took: Duration, orders: usize) {
        self.node.metrics.plan(&self.name, took);
        self.node.effort.add("plans", took);
        let effort = self.pool.borrow().effort();
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let mut decisions = self.decisions.get();
        decisions.count += 1;
        decisions.total_us += took_us;
        decisions.longest_us = decisions.longest_us.max(took_us);
        decisions.jobs += effort.jobs;
        decisions.steps += effort.steps;
        decisions.orders += orders;
        self.decisions.set(decisions);
    }

    fn log_notes(&self) {
        let notes = self.pool.borrow_mut().take_notes();
        for note in notes {
            self.node.metrics.event(note.event);
            if let Some(proof) = note.proof {
                self.node.metrics.event(proof.event());
            }
            *self.events.borrow_mut().entry(note.event).or_default() += 1;
            let task = note.task.map(wire::format_task);
            if let Some(wait) = &note.wait {
                self.log_wait(note.event, task, wait);
                continue;
            }
            let (is_certain, renewed_ms) = (self.is_certain(), self.node.since_renewal());
            let ownership = note
                .proof
                .map(|proof| json!({ "proof": proof.event(), "certain": is_certain, "renewed_ms_ago": renewed_ms }));
            self.node.trace.line(note.event, || {
                json!({ "task": task, "worker": note.worker, "why": note.why, "fence": self.fence(),
                    "ownership": ownership })
            });
        }
    }

    /// Logs a wait with its times on the wall clock, as all lines have theirs.
    fn log_wait(&self, event: &'static str, task: Option<String>, wait: &Wait) {
        if event == wait::BEGUN {
            self.node.metrics.event(wait.reason.event());
        }
        let (now, wall_ms) = (clock::now(), clock::wall_ms());
        self.node.trace.line(event, || {
            json!({ "task": task, "reason": wait.reason, "workers": wait.workers,
                "since_ms": wall_ms.saturating_sub(ms(now - wait.since)),
                "until_ms": wait.until.map(|until| wall_ms + ms(until - now)),
                "waited_ms": ms(now - wait.since), "fence": self.fence() })
        });
    }

    fn start_polls(self: &Rc<Self>) {
        let joined = self.pool.borrow().joined_workers();
        if self.joined_workers.replace(joined) == joined {
            return;
        }
        let keys: Vec<worker::Key> = self.pool.borrow().workers().collect();
        for key in keys {
            if self.polled_workers.borrow_mut().insert(key) {
                spawn_local(self.clone().poll_loop(key));
            }
        }
    }

    async fn poll_loop(self: Rc<Self>, key: worker::Key) {
        let (mut newest, mut address) = (None, None);
        // A worker may start again under its ID. What is meant for one instance goes over a
        // connection that ends with it.
        let mut connection = None;
        while !self.retired.get() && !self.halted.get() {
            if !self.may_order() {
                tokio::time::sleep(POLL_PAUSE_AFTER_FAILURE).await;
                continue;
            }
            let sent = clock::now();
            let kept = connection.take().filter(|kept: &Connection| !kept.is_closed());
            let kind = if kept.is_some() { pool::Connection::Kept } else { pool::Connection::New };
            let Some(poll) = self.pool.borrow_mut().next_poll(sent, key, kind) else { break };
            address = Some(poll.address);
            let (answer, answered_over) = self.poll(&poll, kept).await;
            connection = answered_over;
            if self.retired.get() || self.halted.get() {
                break;
            }
            self.confirm();
            self.node.effort.measure("poll answers", || {
                self.pool.borrow_mut().handle_poll_answer(clock::now(), sent, key, &answer);
            });
            self.wake.notify_one();
            match &answer {
                Answer::Done(report) if report.exits.is_empty() => {
                    // Pauses even if a worker responds at once although it was asked to wait.
                    if clock::now() - sent < POLL_PAUSE_AFTER_ENDS {
                        tokio::time::sleep(POLL_PAUSE_AFTER_ENDS).await;
                    }
                }
                Answer::Done(report) => {
                    let known = report.exits.iter().filter(|e| Some(e.number) <= newest).count();
                    let is_new = known < report.exits.len();
                    self.count_repeats(|repeats| {
                        repeats.ends_listed += report.exits.len();
                        repeats.ends_known += known;
                    });
                    newest = newest.max(report.exits.iter().map(|ended| ended.number).max());
                    let worker_count =
                        u32::try_from(self.polled_workers.borrow().len()).unwrap_or(u32::MAX);
                    let for_known = POLL_PAUSE_PER_KNOWN_END
                        .saturating_mul(u32::try_from(known).unwrap_or(u32::MAX))
                        .min(MAX_POLL_PAUSE_KNOWN_ENDS);
                    let pause = POLL_PAUSE_AFTER_ENDS
                        + POLL_PAUSE_PER_WORKER.saturating_mul(worker_count)
                        + for_known;
                    tokio::time::sleep(if is_new {
                        pause
                    } else {
                        pause.max(POLL_PAUSE_NOTHING_NEW)
                    })
                    .await;
                }
                _ => tokio::time::sleep(POLL_PAUSE_AFTER_FAILURE).await,
            }
        }
        self.polled_workers.borrow_mut().remove(&key);
        // Connections to a worker that has left would take descriptors until they time out.
        if let Some(address) = address
            && !self.retired.get()
        {
            self.node.client.close_idle(address);
        }
    }

    /// Polls a worker over `kept`, or over a new connection if there is none. Returns its answer
    /// and the connection, if it can be kept.
    async fn poll(
        &self,
        poll: &Poll,
        kept: Option<Connection>,
    ) -> (Answer<pool::Report>, Option<Connection>) {
        let call = wire::poll(poll);
        let started = clock::now();
        let within =
            if poll.deadline_ms.is_some() { RESPONSE_TIMEOUT } else { FIRST_RESPONSE_TIMEOUT };
        let client = &self.node.client;
        let connection = match kept {
            Some(kept) => Ok(kept),
            None => client.open(poll.address, within).await,
        };
        let answer = match connection {
            Ok(connection) => client.call_over("poll", connection, &call, poll.wait + within).await,
            Err(error) => Err(error),
        };
        self.count("look", started, answer.is_ok());
        match answer {
            Ok((status, body, connection)) => {
                let parse = || wire::parse_poll(status, &body).unwrap_or(Answer::Lost);
                let answer = self.node.effort.measure("poll answers", parse);
                let is_report = matches!(answer, Answer::Done(_));
                (answer, is_report.then_some(connection))
            }
            Err(_) => (Answer::Lost, None),
        }
    }

    pub(super) fn count(&self, kind: &str, started: Time, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.node.metrics.worker(kind, outcome, clock::now() - started);
    }
}
