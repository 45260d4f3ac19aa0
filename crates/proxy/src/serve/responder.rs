//! Sends responses, also to callers whose request body is not read.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use tiny_http::ReadWrite;

use super::OnFailure;
use crate::metrics::Gauge;
use crate::request::Head;
use crate::response::Response;
use crate::shared::Shared;

/// tiny_http reads bodies up to this size, in bytes, before it returns the request.
const READ_AHEAD: usize = 1024;
/// The largest unread body that is read and discarded, as a multiple of the maximum body
/// size; a connection with a longer one is abandoned.
const DRAIN_FACTOR: usize = 4;
/// The number of threads that discard unread bodies, and the capacity of their queue.
const DRAIN_THREADS_AND_QUEUE: (usize, usize) = (2, 16);
/// The number of abandoned connections at which the process ends with a failure.
const MAX_ABANDONED: u64 = 128;

/// Whether the body of a request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Body {
    Read,
    Unread,
}

type Stream = Box<dyn ReadWrite + Send>;

pub(super) struct Responder {
    shared: Arc<Shared>,
    max_drained: usize,
    drain_queue: SyncSender<Stream>,
    on_failure: OnFailure,
}

impl Responder {
    /// Starts the threads that discard unread bodies.
    pub(super) fn start(
        shared: Arc<Shared>,
        max_body: usize,
        on_failure: OnFailure,
    ) -> std::io::Result<Self> {
        let (drain_queue, receiver) = sync_channel(DRAIN_THREADS_AND_QUEUE.1);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..DRAIN_THREADS_AND_QUEUE.0 {
            let receiver = Arc::clone(&receiver);
            std::thread::Builder::new()
                .name("drain".to_owned())
                .spawn(move || drain_bodies(&receiver))?;
        }
        let max_drained = max_body.saturating_mul(DRAIN_FACTOR).max(1 << 20);
        Ok(Self { shared, max_drained, drain_queue, on_failure })
    }

    pub(super) fn respond(
        &self,
        request: tiny_http::Request,
        head: &Head,
        response: &Response,
        body: Body,
    ) {
        let length = request.body_length().unwrap_or(0);
        let is_chunked = request.body_length().is_none() && body == Body::Unread;
        let expects = head.unique_header("Expect").ok().flatten().is_some();
        let has_unread_body = length > READ_AHEAD || (length > 0 && expects);
        if body == Body::Unread && has_unread_body {
            self.respond_early(request, response, length);
            return;
        }
        let is_before_http_1_1 = *request.http_version() < tiny_http::HTTPVersion(1, 1);
        let close =
            head.wants_close() || is_before_http_1_1 || is_chunked || self.shared.is_stopping();
        // A caller that closed the connection retries with the same id.
        let _ = response.write(request.into_writer(), head.method == "HEAD", close);
    }

    /// Responds to a request whose body has not arrived completely.
    ///
    /// When a request is dropped, tiny_http reads the rest of its body before the
    /// response is sent, and allocates memory for all of it at once. A caller that waits
    /// for the response before it continues would wait forever, and a Content-Length of
    /// an exabyte would crash this process. So the response is sent first, and a
    /// connection with a far too long body is never dropped: it is leaked and counted.
    fn respond_early(&self, request: tiny_http::Request, response: &Response, length: usize) {
        // Only an upgrade gives access to both directions of the connection. It sends its
        // head as an interim response, which callers skip.
        let interim = tiny_http::Response::new_empty(tiny_http::StatusCode(100));
        let mut stream = request.upgrade("close", interim);
        let _ = response.write(&mut stream, false, true);
        if length > self.max_drained {
            self.abandon(stream);
        } else if let Err(error) = self.drain_queue.try_send(stream) {
            self.abandon(match error {
                std::sync::mpsc::TrySendError::Full(stream)
                | std::sync::mpsc::TrySendError::Disconnected(stream) => stream,
            });
        }
    }

    fn abandon(&self, stream: Stream) {
        std::mem::forget(stream);
        self.shared.metrics.add(Gauge::Abandoned);
        if self.shared.metrics.get(Gauge::Abandoned) == MAX_ABANDONED {
            (self.on_failure)("too many callers sent bodies that are far too long".to_owned());
        }
    }
}

fn drain_bodies(streams: &Mutex<Receiver<Stream>>) {
    loop {
        let stream = streams.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(stream) = stream else { return };
        drop(stream);
    }
}
