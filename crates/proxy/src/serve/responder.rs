//! Sends answers, also to callers whose body nobody will read.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use tiny_http::ReadWrite;

use super::Fail;
use crate::metrics::Gauge;
use crate::request::Head;
use crate::response::Answer;
use crate::shared::Shared;

/// Bodies up to this size, in bytes, tiny_http reads before it hands a request
/// out.
const READ_AHEAD: usize = 1024;
/// How much of an unwanted body is read to keep the connection in step, as a
/// multiple of what is allowed.
const DRAINED: usize = 4;
/// Threads that read unwanted bodies, and connections that wait for one.
const DRAINS: (usize, usize) = (2, 16);
/// Connections given up on that this process lives with.
const MAX_ABANDONED: u64 = 128;

/// Whether a request's body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Body {
    Read,
    Unread,
}

type Stream = Box<dyn ReadWrite + Send>;

/// Sends answers.
pub(super) struct Replier {
    shared: Arc<Shared>,
    most: usize,
    drains: SyncSender<Stream>,
    fail: Fail,
}

impl Replier {
    /// Starts the threads that read unwanted bodies.
    pub(super) fn start(shared: Arc<Shared>, max_body: usize, fail: Fail) -> std::io::Result<Self> {
        let (drains, receiver) = sync_channel(DRAINS.1);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..DRAINS.0 {
            let receiver = Arc::clone(&receiver);
            std::thread::Builder::new().name("drain".to_owned()).spawn(move || drain(&receiver))?;
        }
        let most = max_body.saturating_mul(DRAINED).max(1 << 20);
        Ok(Self { shared, most, drains, fail })
    }

    /// Sends `answer`.
    pub(super) fn reply(
        &self,
        request: tiny_http::Request,
        head: &Head,
        answer: &Answer,
        body: Body,
    ) {
        let length = request.body_length().unwrap_or(0);
        let is_chunked = request.body_length().is_none() && body == Body::Unread;
        let expects = head.once("Expect").ok().flatten().is_some();
        let is_open = length > READ_AHEAD || (length > 0 && expects);
        if body == Body::Unread && is_open {
            self.reply_early(request, answer, length);
            return;
        }
        let is_old = *request.http_version() < tiny_http::HTTPVersion(1, 1);
        let close = head.closes() || is_old || is_chunked || self.shared.is_stopping();
        // A caller that has gone away asks again with the same id.
        let _ = answer.write(request.into_writer(), head.method == "HEAD", close);
    }

    /// Answers a request whose body is still on its way.
    ///
    /// When a request is dropped, tiny_http reads the rest of its body, before
    /// an answer by the plain writer could go out, and makes room for all of
    /// it at once. A caller that waits for the answer before it sends on would
    /// wait for ever, and a Content-Length of an exabyte would end this
    /// process. So the answer goes first, and a body that is far too long is
    /// never dropped: its connection stays behind, counted.
    fn reply_early(&self, request: tiny_http::Request, answer: &Answer, length: usize) {
        // The only way to get hold of both ends is an upgrade, whose head is
        // sent as an interim answer, which callers skip.
        let interim = tiny_http::Response::new_empty(tiny_http::StatusCode(100));
        let mut stream = request.upgrade("close", interim);
        let _ = answer.write(&mut stream, false, true);
        if length > self.most {
            self.abandon(stream);
        } else if let Err(error) = self.drains.try_send(stream) {
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
            (self.fail)("too many callers sent bodies that are far too long".to_owned());
        }
    }
}

fn drain(streams: &Mutex<Receiver<Stream>>) {
    loop {
        let stream = streams.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(stream) = stream else { return };
        drop(stream);
    }
}
