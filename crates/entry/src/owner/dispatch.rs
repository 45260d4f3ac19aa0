//! Orders on their way to workers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::worker as wire;
use corianderfork_jobs::contention::Switch;
use corianderfork_jobs::lease::MAX_TRANSIT;
use corianderfork_jobs::pool::{Answer, Order};
use corianderfork_jobs::worker;
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;

use super::{Owner, ms};
use crate::clock;
use crate::couriers::{self, MAX_DELIVERED};
use crate::delivery::{Delivery, Outcome};
use crate::http::CallError;
use crate::peer::{self, Message, Reply};

/// How long a worker may take to answer an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// How much longer a peer may take that delivers orders.
const DELIVERY_SLACK: Duration = Duration::from_millis(300);
// An order that a peer delivers has been given up by then.
const _: () = assert!(
    2 * RESPONSE_TIMEOUT.as_millis() + DELIVERY_SLACK.as_millis() <= MAX_TRANSIT.as_millis()
);
/// The least number of orders that are delivered by peers.
const MIN_DELIVERED: usize = 8;

impl Owner {
    /// Sends orders that may be sent now. While the owner is behind, those of one turn of the event
    /// loop go together, with the next plan at the latest.
    pub(super) fn dispatch(self: &Rc<Self>, orders: Vec<Order>) {
        self.outbox.borrow_mut().extend(orders);
        let is_batched = self.node.settings.delivery_by_peers == Switch::Auto
            && self.couriers.borrow().is_behind();
        if !is_batched || self.outbox.borrow().len() >= MAX_DELIVERED {
            self.empty_outbox();
        }
    }

    /// Sends the orders of [`Owner::dispatch`].
    pub(super) fn empty_outbox(self: &Rc<Self>) {
        let orders = self.outbox.take();
        let couriers = self.couriers_for(orders.len());
        if couriers.is_empty() {
            for order in orders {
                spawn_local(self.clone().send_orders(order));
            }
            return;
        }
        for (courier, orders) in couriers::split(orders, &couriers) {
            spawn_local(self.clone().deliver(courier, orders));
        }
    }

    /// Returns the peers that deliver `count` orders; none if they are sent from here.
    fn couriers_for(&self, count: usize) -> Vec<SocketAddr> {
        let mut couriers = self.couriers.borrow_mut();
        let is_wanted = match self.node.settings.delivery_by_peers {
            Switch::On => true,
            Switch::Off => false,
            Switch::Auto => count >= MIN_DELIVERED && couriers.is_behind(),
        };
        if !is_wanted || count == 0 {
            return Vec::new();
        }
        let me = self.node.settings.name.as_str();
        couriers.select(clock::now(), &self.node.table.borrow(), &self.name, me)
    }

    /// Sends orders through a peer, then those that wait for the same workers.
    async fn deliver(self: Rc<Self>, courier: SocketAddr, orders: Vec<Order>) {
        let (orders, unneeded): (Vec<_>, Vec<_>) =
            orders.into_iter().partition(|order| self.may_send(order));
        let mut next = Vec::new();
        for order in unneeded {
            self.pool.borrow_mut().handle_unsent(&order);
            next.extend(self.lanes.borrow_mut().next(order.worker));
        }
        if !orders.is_empty() {
            let started = clock::now();
            match self.deliver_by(courier, &orders).await {
                Some(outcomes) => {
                    for (order, outcome) in orders.iter().zip(outcomes) {
                        let answer = outcome.answer();
                        self.handle_answer(order, started, &answer);
                        if answer == Answer::Lost {
                            self.return_waiting_starts(order.worker);
                        }
                        next.extend(self.lanes.borrow_mut().next(order.worker));
                    }
                }
                // Nothing was sent.
                None => {
                    for order in orders {
                        spawn_local(self.clone().send_orders(order));
                    }
                }
            }
        }
        self.dispatch(next);
    }

    /// Returns what became of orders that a peer delivers; `None` if it delivers none.
    async fn deliver_by(&self, courier: SocketAddr, orders: &[Order]) -> Option<Vec<Outcome>> {
        let build = || Message::Deliver {
            deliveries: orders.iter().map(Delivery::new).collect(),
            within_ms: ms(RESPONSE_TIMEOUT),
        };
        let message = self.node.effort.measure("orders", build);
        let started = clock::now();
        let within = RESPONSE_TIMEOUT + DELIVERY_SLACK;
        let reply = peer::send(&self.node.peers, courier, &message, within).await;
        let outcomes = match reply {
            Ok(Reply::Delivered { outcomes }) if outcomes.len() == orders.len() => {
                return Some(outcomes);
            }
            Err(CallError::Unsent) => None,
            // The peer may have sent them, or may still.
            _ => Some(vec![Outcome::Lost; orders.len()]),
        };
        self.couriers.borrow_mut().avoid(clock::now(), courier);
        self.node.metrics.event("delivery failed");
        self.node.trace.line("delivery failed", || {
            json!({ "courier": courier, "orders": orders.len(), "was_sent": outcomes.is_some(),
                "took_ms": ms(clock::now() - started) })
        });
        outcomes
    }

    /// Sends an order to a worker, then those that wait for it.
    async fn send_orders(self: Rc<Self>, first: Order) {
        let key = first.worker;
        let mut next = Some(first);
        while let Some(order) = next {
            if !self.may_send(&order) {
                self.pool.borrow_mut().handle_unsent(&order);
            } else if self.send(&order).await == Answer::Lost {
                self.return_waiting_starts(key);
            }
            next = self.lanes.borrow_mut().next(key);
        }
    }

    /// Returns whether an order that may have waited is still to be sent. One that isn't is
    /// repeated by a later plan if it is still needed.
    fn may_send(&self, order: &Order) -> bool {
        let has_ended = self.retired.get() || self.halted.get();
        !has_ended && self.may_order() && self.pool.borrow().is_needed(order)
    }

    /// Returns the starts that wait for a worker that doesn't answer: these copies were not sent.
    fn return_waiting_starts(&self, key: worker::Key) {
        let starts = self.lanes.borrow_mut().take_waiting_starts(key);
        let mut pool = self.pool.borrow_mut();
        for start in starts {
            pool.handle_order_answer(clock::now(), &start, &Answer::Unsent);
        }
    }

    async fn send(&self, order: &Order) -> Answer<u64> {
        let call = self.node.effort.measure("orders", || wire::order(order));
        let started = clock::now();
        let answer = self.node.client.call("order", order.address, &call, RESPONSE_TIMEOUT).await;
        self.count("order", started, answer.is_ok());
        let answer = match answer {
            Ok((status, body)) => wire::parse_order(status, &body).unwrap_or(Answer::Lost),
            Err(CallError::Unsent | CallError::Lost) => Answer::Lost,
        };
        self.handle_answer(order, started, &answer);
        answer
    }

    /// Handles the answer to an order that was sent at `started`.
    fn handle_answer(&self, order: &Order, started: Time, answer: &Answer<u64>) {
        if !matches!(answer, Answer::Done(_)) {
            self.node.trace.line("order not confirmed", || {
                json!({ "task": wire::format_task(order.task), "run": order.run, "worker": order.id,
                    "answer": format!("{answer:?}"), "took_ms": ms(clock::now() - started) })
            });
        }
        self.confirm();
        self.node.effort.measure("orders", || {
            self.pool.borrow_mut().handle_order_answer(clock::now(), order, answer);
        });
        self.wake.notify_one();
    }
}
