//! What a worker does with one request.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use super::responder::Body;
use super::{Front, Job};
use crate::request::{Error, Head, Request};
use crate::response::{Answer, Outcome};

/// The service's name in metrics for what is none.
const NO_SERVICE: &str = "-";

impl Front {
    pub(super) fn work(&self, jobs: &Mutex<Receiver<Job>>) {
        loop {
            let job = jobs.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(job) = job else { return };
            // A fault in one request must not cost a worker: when the last one
            // is gone the proxy refuses everything and still looks alive.
            if catch_unwind(AssertUnwindSafe(|| self.serve(job))).is_err() {
                ::log::error!("a request was given up for a fault of this program; report it");
            }
        }
    }

    fn serve(&self, job: Job) {
        let Job { mut request, head, began, in_flight } = job;
        let checked = head.check().and_then(|checked| self.read_body(&mut request, &head, checked));
        let answer = match &checked {
            Ok(checked) => self.forwarder.answer(checked, began).of_request(&checked.id),
            Err(error) => refuse(&head, error),
        };
        self.count(checked.as_ref().ok(), &answer, began);
        let body = if checked.is_ok() { Body::Read } else { Body::Unread };
        self.replier.reply(request, &head, &answer, body);
        drop(in_flight);
    }

    fn count(&self, request: Option<&Request>, answer: &Answer, began: Instant) {
        let seconds = began.elapsed().as_secs_f64();
        // Only configured services become labels: any text may be asked for.
        let is_none = answer.status() == 404 && answer.outcome() == Outcome::NotRun;
        let known = request.filter(|_| !is_none);
        let service = known.map_or(NO_SERVICE, |request| request.service.as_str());
        let outcome = answer.outcome().as_str();
        self.shared.metrics.requests.with_label_values(&[service, outcome]).inc();
        self.shared.metrics.seconds.with_label_values(&[service]).observe(seconds);
        let Some(request) = request else { return };
        let (id, status) = (request.id.as_str(), answer.status());
        if answer.outcome() == Outcome::Unknown {
            ::log::warn!(request_id = id, service, status, outcome, seconds; "outcome unknown");
        } else {
            ::log::debug!(request_id = id, service, status, outcome, seconds; "answered");
        }
    }
}

fn refuse(head: &Head, error: &Error) -> Answer {
    ::log::debug!(url = head.url.as_str(); "not taken: {error}");
    Answer::bad(error)
}
