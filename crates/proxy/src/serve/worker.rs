//! Handles requests on the worker threads.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use super::responder::Body;
use super::{Frontend, Job};
use crate::request::{Error, Head, Request};
use crate::response::{Outcome, Response};

/// The service label of requests for unknown services.
const UNKNOWN_SERVICE: &str = "-";

impl Frontend {
    pub(super) fn work(&self, jobs: &Mutex<Receiver<Job>>) {
        loop {
            let job = jobs.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(job) = job else { return };
            // A panic in one request must not end the worker: without workers the proxy
            // would refuse everything while it still looks alive.
            if catch_unwind(AssertUnwindSafe(|| self.serve(job))).is_err() {
                ::log::error!("panic while handling a request; this is a bug, report it");
            }
        }
    }

    fn serve(&self, job: Job) {
        let Job { mut request, head, received, in_flight } = job;
        let checked = head.check().and_then(|checked| self.read_body(&mut request, &head, checked));
        let response = match &checked {
            Ok(checked) => self.forwarder.forward(checked, received).with_request_id(&checked.id),
            Err(error) => reject(&head, error),
        };
        self.record(checked.as_ref().ok(), &response, received);
        let body = if checked.is_ok() { Body::Read } else { Body::Unread };
        self.responder.respond(request, &head, &response, body);
        drop(in_flight);
    }

    fn record(&self, request: Option<&Request>, response: &Response, received: Instant) {
        let seconds = received.elapsed().as_secs_f64();
        // Only configured services become labels, because callers can send any text.
        let is_unknown_service = response.status() == 404 && response.outcome() == Outcome::NotRun;
        let routed = request.filter(|_| !is_unknown_service);
        let service = routed.map_or(UNKNOWN_SERVICE, |request| request.service.as_str());
        let outcome = response.outcome().as_str();
        self.shared.metrics.requests.with_label_values(&[service, outcome]).inc();
        self.shared.metrics.request_seconds.with_label_values(&[service]).observe(seconds);
        let Some(request) = request else { return };
        let (id, status) = (request.id.as_str(), response.status());
        if response.outcome() == Outcome::Unknown {
            ::log::warn!(request_id = id, service, status, outcome, seconds; "outcome unknown");
        } else {
            ::log::debug!(request_id = id, service, status, outcome, seconds; "answered");
        }
    }
}

fn reject(head: &Head, error: &Error) -> Response {
    ::log::debug!(url = head.url.as_str(); "request rejected: {error}");
    Response::bad_request(error)
}
