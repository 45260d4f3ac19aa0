//! Calls to the store through peers, for a VM that the store rejects.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use hyper::body::Bytes;

use crate::clock;
use crate::http::CallError;
use crate::node::Node;
use crate::peer::{self, Message, Reply};
use crate::store::Relay;

/// How many peers are tried for a call, one after the other.
const MAX_RELAYS: usize = 3;

/// Makes a call to the store for a peer.
pub async fn relayed(
    node: &Rc<Node>,
    method: &str,
    target: String,
    body: String,
    within_ms: u64,
) -> Reply {
    let method = match method {
        "GET" => "GET",
        "DELETE" => "DELETE",
        _ => "POST",
    };
    let call = Call { method, target, headers: Vec::new(), body: body.into_bytes() };
    match node.store.relayed(&call, Duration::from_millis(within_ms)).await {
        Ok((status, body)) => {
            Reply::Store { status, sent: true, body: String::from_utf8_lossy(&body).into_owned() }
        }
        Err(failed) => {
            Reply::Store { status: 0, sent: failed == CallError::Lost, body: String::new() }
        }
    }
}

/// Returns a function that calls the store through peers.
pub fn relay(node: &Rc<Node>) -> Relay {
    let node = node.clone();
    Rc::new(move |call: Call, within: Duration| {
        let node = node.clone();
        Box::pin(async move { relay_call(&node, &call, within).await })
    })
}

async fn relay_call(
    node: &Rc<Node>,
    call: &Call,
    within: Duration,
) -> Result<(u16, Bytes), CallError> {
    let me = node.settings.name.as_str();
    let peers: Vec<SocketAddr> = {
        let table = node.table.borrow();
        table.members.iter().filter(|(name, _)| *name != me).map(|(_, m)| m.peers).collect()
    };
    let mut is_lost = false;
    let mut tried = Vec::new();
    let started = clock::now();
    while tried.len() < MAX_RELAYS && (tried.is_empty() || clock::now() - started < within) {
        let random = corianderfork_runtime::clock::seed();
        let chosen = node.relays.borrow_mut().choose(clock::now(), &peers, &tried, random);
        let Some(peer) = chosen else { break };
        tried.push(peer);
        let message = Message::Store {
            method: call.method.to_owned(),
            target: call.target.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            within_ms: crate::owner::ms(within),
        };
        let slack = Duration::from_millis(100);
        let reply = peer::send_large(&node.peers, peer, &message, within + slack).await;
        let is_answer = |status: u16| status != 0 && status != 429 && status != 503;
        let has_reached = matches!(&reply, Ok(Reply::Store { status, .. }) if is_answer(*status));
        node.relays.borrow_mut().note(clock::now(), peer, has_reached);
        match reply {
            Ok(Reply::Store { status, body, .. }) if is_answer(status) => {
                return Ok((status, Bytes::from(body)));
            }
            Ok(Reply::Store { sent, status, .. }) => is_lost |= sent && status == 0,
            Err(CallError::Unsent) => {}
            _ => is_lost = true,
        }
    }
    Err(if is_lost { CallError::Lost } else { CallError::Unsent })
}
