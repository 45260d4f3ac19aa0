//! The ways by which calls reach the store: directly, or by way of peers while it
//! turns this VM away.

use std::time::Duration;

use corianderfork_adapter::{Call, store};
use hyper::body::Bytes;

use super::{ANSWER, Store};
use crate::clock;
use crate::http::Failed;

/// The kind of calls that wait for changes.
pub(super) const WATCH: &str = "watch";
/// The pause between two probes while the store is away.
const PROBE: Duration = Duration::from_millis(200);
/// A key that is read to see whether the store answers; it need not be there.
const PROBE_KEY: &str = "entry/probe";
/// How long a VM that was turned away uses its peers before it tries again.
const DETOUR: Duration = Duration::from_millis(700);

impl Store {
    /// Asks the store now and then while it is away, or turns this VM away, so that
    /// its return is noticed by one small call and not by those of callers: such a call
    /// takes as long as an answer may take, and its caller was told that nobody knows.
    pub async fn probe(&self) {
        loop {
            tokio::time::sleep(PROBE).await;
            let is_due = !self.is_direct.get() && clock::now() >= self.retry_direct.get();
            if self.is_away() || is_due {
                let answer = self.call_directly(&store::get(PROBE_KEY), "probe", ANSWER).await;
                if is_answer(&answer) {
                    self.outage.borrow_mut().heard(clock::now());
                }
            }
        }
    }

    /// Makes a call for a peer: once, and without a detour.
    pub async fn relayed(&self, call: &Call, within: Duration) -> Result<(u16, Bytes), Failed> {
        self.direct(call, "relayed", within).await
    }

    /// Makes a call, by way of a peer if this VM is turned away.
    ///
    /// A call that may have been done is made again by the peer: all calls here
    /// are reads or are bound to revisions, so that a second one does nothing.
    pub(super) async fn call(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        // A watch is answered when something changes, and tells nothing by waiting.
        if kind == WATCH {
            let answer = self.call_any_way(call, kind, within).await;
            if is_answer(&answer) {
                self.outage.borrow_mut().heard(clock::now());
            }
            return answer;
        }
        let sent = self.outage.borrow_mut().sent(clock::now());
        let answer = self.call_any_way(call, kind, within).await;
        if is_answer(&answer) {
            self.outage.borrow_mut().answered(clock::now(), sent);
        } else {
            self.outage.borrow_mut().failed(sent);
        }
        answer
    }

    async fn direct(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        let begun = clock::now();
        let on_head = |status: u16| {
            if !is_refusal(status) {
                // The head shows that the store is up: a slow body must not count as an outage.
                self.answered.set(clock::now());
                self.outage.borrow_mut().heard(clock::now());
            }
        };
        let answer = self.client.call_large(self.address, call, within, on_head).await;
        let outcome = match &answer {
            Ok((status, _)) if is_refusal(*status) => "refused",
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        self.metrics.store(kind, outcome, clock::now() - begun);
        let is_answered = outcome == "answered";
        if is_answered {
            self.answered.set(clock::now());
        }
        if self.is_direct.replace(is_answered) != is_answered {
            let event = if is_answered { "store regained" } else { "store lost" };
            self.trace.key(event, serde_json::json!({ "call": kind, "outcome": outcome }));
        }
        answer
    }

    async fn call_any_way(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        if self.is_direct.get() {
            let first = self.call_directly(call, kind, within).await;
            return if is_answer(&first) {
                first
            } else {
                let is_lost = first == Err(Failed::Lost);
                self.call_by_peers(call, within, is_lost).await
            };
        }
        // Turned away, the probe alone tries the direct way, and calls that find no peer.
        let answer = self.call_by_peers(call, within, false).await;
        if answer == Err(Failed::Unsent) && clock::now() >= self.retry_direct.get() {
            return self.call_directly(call, kind, within).await;
        }
        answer
    }

    async fn call_directly(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        let answer = self.direct(call, kind, within).await;
        let pause = if is_answer(&answer) { Duration::ZERO } else { DETOUR };
        self.retry_direct.set(clock::now() + pause);
        answer
    }

    /// Makes a call by way of peers. `is_lost`: whether it may have been done already.
    async fn call_by_peers(
        &self,
        call: &Call,
        within: Duration,
        is_lost: bool,
    ) -> Result<(u16, Bytes), Failed> {
        let relay = self.relay.borrow().clone();
        let answer = match relay {
            Some(relay) => relay(call.clone(), within).await,
            None => Err(Failed::Unsent),
        };
        match answer {
            Ok((status, body)) if !is_refusal(status) => {
                self.answered.set(clock::now());
                Ok((status, body))
            }
            Ok(answer) if !is_lost => Ok(answer),
            Err(Failed::Unsent) if !is_lost => Err(Failed::Unsent),
            _ => Err(Failed::Lost),
        }
    }
}

/// Whether the store itself answered, rather than turned the call away.
fn is_answer(answer: &Result<(u16, Bytes), Failed>) -> bool {
    matches!(answer, Ok((status, _)) if !is_refusal(*status))
}

fn is_refusal(status: u16) -> bool {
    matches!(status, 429 | 503)
}
