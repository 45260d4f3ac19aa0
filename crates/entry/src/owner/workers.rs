//! Looks at workers and orders to them.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::worker as wire;
use corianderfork_jobs::pool::{Answer, Order, Poll};
use corianderfork_jobs::worker;
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Owner, ms};
use crate::clock;
use crate::http::Failed;

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

impl Owner {
    pub(super) async fn plan_loop(self: Rc<Self>) {
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
        self.ask_advice();
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
        let notes = self.pool.borrow_mut().take_notes();
        for note in notes {
            self.node.metrics.event(note.event);
            let task = note.task.map(wire::task);
            self.node.trace.line(
                note.event,
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
            let Some(look) = self.pool.borrow_mut().next_poll(sent, key) else { break };
            let answer = self.look(&look).await;
            if self.retired.get() || self.halted.get() {
                break;
            }
            self.pool.borrow_mut().handle_poll_answer(clock::now(), sent, key, &answer);
            self.wake.notify_one();
            match &answer {
                Answer::Done(report) if report.exits.is_empty() => {
                    // A worker that answers at once though asked to wait must
                    // not be asked without a pause.
                    if clock::now() - sent < AFTER_ENDS {
                        tokio::time::sleep(AFTER_ENDS).await;
                    }
                }
                Answer::Done(report) => {
                    let last = report.exits.iter().map(|ended| ended.number).max();
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

    async fn look(&self, look: &Poll) -> Answer<corianderfork_jobs::pool::Report> {
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
        self.pool.borrow_mut().handle_order_answer(clock::now(), &order, &answer);
        self.wake.notify_one();
    }

    pub(super) fn count(&self, kind: &str, begun: Time, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.node.metrics.worker(kind, outcome, clock::now() - begun);
    }
}
