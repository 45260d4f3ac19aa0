//! Routing of calls to the store: directly, or through peers while it rejects this VM.

use std::time::Duration;

use corianderfork_adapter::{Call, store};
use hyper::body::Bytes;

use super::{RESPONSE_TIMEOUT, Store};
use crate::clock;
use crate::http::CallError;

/// The kind of watch calls.
pub(super) const WATCH: &str = "watch";
/// The pause between two probes while the store is down.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
/// A key that is read to see whether the store responds; it need not exist.
pub(super) const PROBE_KEY: &str = "entry/probe";
/// How long a rejected VM uses its peers before it tries directly again.
const DIRECT_RETRY_PAUSE: Duration = Duration::from_millis(700);
/// How often it is noted that this process runs.
const RUNNING_INTERVAL: Duration = Duration::from_millis(100);

impl Store {
    /// Probes the store while it is down or rejects this VM, so that its return is noticed by one
    /// small call rather than by callers' requests: such a request would take the whole timeout,
    /// and its caller would learn only that the outcome is unknown.
    pub async fn probe(&self) {
        loop {
            tokio::time::sleep(PROBE_PAUSE).await;
            let is_due = !self.is_direct.get() && clock::now() >= self.retry_direct.get();
            if self.is_down() || is_due {
                let answer =
                    self.call_directly(&store::get(PROBE_KEY), "probe", RESPONSE_TIMEOUT).await;
                if is_response(&answer) {
                    self.outage.borrow_mut().note_contact(clock::now());
                }
            }
        }
    }

    /// Notes continually that this process runs, so that its freezes don't count as outages.
    pub async fn note_running(&self) {
        loop {
            self.outage.borrow_mut().note_running(clock::now());
            tokio::time::sleep(RUNNING_INTERVAL).await;
        }
    }

    /// Makes a call for a peer: once, and only directly.
    pub async fn relayed(&self, call: &Call, within: Duration) -> Result<(u16, Bytes), CallError> {
        self.call_once(call, "relayed", within).await
    }

    /// Makes a call, through a peer if the store rejects this VM.
    ///
    /// The peer may repeat a call that was already carried out: all calls here are reads or
    /// are conditional on revisions, so the second one has no effect.
    pub(super) async fn call(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        // A watch may stay open until something changes, so its delay shows no outage.
        if kind == WATCH {
            let started = clock::now();
            let answer = self.call_routed(call, kind, within).await;
            if is_response(&answer) {
                self.outage.borrow_mut().note_contact(clock::now());
            } else if clock::now() - started < within {
                self.outage.borrow_mut().note_cut();
            }
            return answer;
        }
        let call_id = self.outage.borrow_mut().note_sent(clock::now());
        let answer = self.call_routed(call, kind, within).await;
        if is_response(&answer) {
            self.outage.borrow_mut().note_response(clock::now(), call_id);
        } else {
            self.outage.borrow_mut().note_failure(call_id);
        }
        answer
    }

    async fn call_once(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let started = clock::now();
        let on_head = |status: u16| {
            if !is_refusal(status) {
                // The head shows that the store is up: a slow body must not count as an outage.
                self.last_response.set(clock::now());
                self.outage.borrow_mut().note_contact(clock::now());
            }
        };
        let answer = self.client.call_large(kind, self.address, call, within, on_head).await;
        let outcome = match &answer {
            Ok((status, _)) if is_refusal(*status) => "refused",
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        self.metrics.store(kind, outcome, clock::now() - started);
        let is_answered = outcome == "answered";
        if is_answered {
            self.last_response.set(clock::now());
        }
        if self.is_direct.replace(is_answered) != is_answered {
            let event = if is_answered { "store reachable" } else { "store unreachable" };
            self.trace.unlimited(event, serde_json::json!({ "call": kind, "outcome": outcome }));
        }
        answer
    }

    async fn call_routed(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        if self.is_direct.get() {
            let started = clock::now();
            let first = self.call_directly(call, kind, within).await;
            // A watch that timed out has used the time in which a change is to be known. The
            // caller decides whether it repeats the watch.
            let is_timed_out = kind == WATCH && clock::now() - started >= within;
            return if is_response(&first) || is_timed_out {
                first
            } else {
                let is_lost = first == Err(CallError::Lost);
                self.call_by_peers(call, within, is_lost).await
            };
        }
        // While rejected, only the probe and calls that find no peer go directly.
        let answer = self.call_by_peers(call, within, false).await;
        if answer == Err(CallError::Unsent) && clock::now() >= self.retry_direct.get() {
            return self.call_directly(call, kind, within).await;
        }
        answer
    }

    async fn call_directly(
        &self,
        call: &Call,
        kind: &'static str,
        within: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let answer = self.call_once(call, kind, within).await;
        let pause = if is_response(&answer) { Duration::ZERO } else { DIRECT_RETRY_PAUSE };
        self.retry_direct.set(clock::now() + pause);
        answer
    }

    /// Makes a call through peers. `is_lost`: whether it may have been carried out already.
    async fn call_by_peers(
        &self,
        call: &Call,
        within: Duration,
        is_lost: bool,
    ) -> Result<(u16, Bytes), CallError> {
        let relay = self.relay.borrow().clone();
        let answer = match relay {
            Some(relay) => relay(call.clone(), within).await,
            None => Err(CallError::Unsent),
        };
        match answer {
            Ok((status, body)) if !is_refusal(status) => {
                self.last_response.set(clock::now());
                Ok((status, body))
            }
            Ok(answer) if !is_lost => Ok(answer),
            Err(CallError::Unsent) if !is_lost => Err(CallError::Unsent),
            _ => Err(CallError::Lost),
        }
    }
}

/// Whether the store itself responded rather than rejecting the call.
fn is_response(answer: &Result<(u16, Bytes), CallError>) -> bool {
    matches!(answer, Ok((status, _)) if !is_refusal(*status))
}

fn is_refusal(status: u16) -> bool {
    matches!(status, 429 | 503)
}
