//! Delivery of orders to workers for a peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::worker;
use corianderfork_jobs::pool::{Answer, Order};
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;

use crate::clock;
use crate::http::CallError;
use crate::node::Node;
use crate::peer::Reply;

/// An order as a peer delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivery {
    /// The ID of the worker instance.
    worker: String,
    address: SocketAddr,
    target: String,
    body: String,
}

impl Delivery {
    /// Returns the delivery of an order.
    pub fn new(order: &Order) -> Self {
        let call = worker::order(order);
        Self {
            worker: order.id.clone(),
            address: order.address,
            target: call.target,
            body: String::from_utf8_lossy(&call.body).into_owned(),
        }
    }
}

/// What became of a delivery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The worker answered.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The worker was not reached: nothing was sent to it.
    Unsent,
    /// No answer arrived: the order may have been carried out, or may still be.
    Lost,
}

impl Outcome {
    /// Returns the worker's answer. Like that to an order which its owner sends, one without a
    /// connection is lost: the worker may have got an earlier copy.
    pub fn answer(&self) -> Answer<u64> {
        match self {
            Self::Answered { status, body } => {
                worker::parse_order(*status, body.as_bytes()).unwrap_or(Answer::Lost)
            }
            Self::Unsent | Self::Lost => Answer::Lost,
        }
    }
}

/// Delivers orders for a peer, all at once. A worker may take `within` for its answer.
pub async fn deliver(node: &Rc<Node>, deliveries: Vec<Delivery>, within: Duration) -> Reply {
    if !node.tenure.get().may_deliver(clock::now()) {
        return Reply::Delivered { outcomes: vec![Outcome::Unsent; deliveries.len()] };
    }
    let calls: Vec<_> = deliveries
        .into_iter()
        .map(|delivery| spawn_local(deliver_one(node.clone(), delivery, within)))
        .collect();
    let mut outcomes = Vec::with_capacity(calls.len());
    for call in calls {
        outcomes.push(call.await.unwrap_or(Outcome::Lost));
    }
    Reply::Delivered { outcomes }
}

async fn deliver_one(node: Rc<Node>, delivery: Delivery, within: Duration) -> Outcome {
    let Delivery { worker, address, target, body } = delivery;
    let Some(call) = worker::forwarded_order(&worker, &target, body.into_bytes()) else {
        return Outcome::Unsent;
    };
    match node.client.call("delivery", address, &call, within).await {
        Ok((status, body)) => {
            Outcome::Answered { status, body: String::from_utf8_lossy(&body).into_owned() }
        }
        Err(CallError::Unsent) => Outcome::Unsent,
        Err(CallError::Lost) => Outcome::Lost,
    }
}
