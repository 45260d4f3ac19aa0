//! The callers' side: receives and answers requests on a fixed number of threads.
//!
//! tiny_http reads the requests of each connection on a separate thread and puts them
//! into one queue. The dispatcher thread takes them out immediately: it answers the
//! balancer's paths itself, so that readiness is reported even while all workers are
//! busy, and passes the rest to the bounded queue of the workers. A request that does not
//! fit there is refused at once.

mod body;
mod responder;
mod worker;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use corianderfork_runtime::admin::{self, Ready};
use tiny_http::Server;

use crate::forward::Forwarder;
use crate::metrics::Gauge;
use crate::request::Head;
use crate::response::Response;
use crate::shared::{InFlight, Shared};
use responder::{Body, Responder};

/// Capacity of the queue between the dispatcher and the workers.
const WORKER_QUEUE: usize = 64;
/// `Retry-After` while all workers are busy.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The timeout of a write to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of the callers' side.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The number of worker threads.
    pub worker_threads: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body: usize,
}

/// Called with the cause when callers can no longer be served.
pub type OnFailure = Arc<dyn Fn(String) + Send + Sync>;

struct Job {
    request: tiny_http::Request,
    head: Head,
    received: Instant,
    in_flight: InFlight,
}

struct Frontend {
    config: Config,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    ready: Ready,
    /// The number of workers that are reading a request body.
    body_readers: AtomicUsize,
    responder: Responder,
    on_failure: OnFailure,
}

/// Binds `listen`, starts the threads and returns the bound address.
///
/// # Errors
///
/// Fails if the address cannot be bound or a thread cannot be started.
pub fn start(
    listen: SocketAddr,
    config: Config,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    on_failure: OnFailure,
) -> std::io::Result<SocketAddr> {
    let listener = configure_listener(TcpListener::bind(listen)?)?;
    let bound = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    let shared_for_ready = Arc::clone(&shared);
    let ready: Ready = Arc::new(move || shared_for_ready.unready_reason());
    let responder =
        Responder::start(Arc::clone(&shared), config.max_body, Arc::clone(&on_failure))?;
    let body_readers = AtomicUsize::new(0);
    let frontend = Arc::new(Frontend {
        config,
        shared,
        forwarder,
        ready,
        body_readers,
        responder,
        on_failure,
    });
    let (sender, receiver) = sync_channel(WORKER_QUEUE);
    let receiver = Arc::new(Mutex::new(receiver));
    for index in 0..config.worker_threads {
        let (frontend, receiver) = (Arc::clone(&frontend), Arc::clone(&receiver));
        let name = format!("worker-{index}");
        std::thread::Builder::new().name(name).spawn(move || frontend.work(&receiver))?;
    }
    std::thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || frontend.dispatch(&server, &sender))?;
    Ok(bound)
}

/// Sets options that accepted sockets inherit from the listener, because tiny_http sets
/// neither. Without a write timeout, a caller that stops reading blocks a worker forever;
/// without `nodelay`, the end of a response waits for the delayed acknowledgement of the
/// caller.
fn configure_listener(listener: TcpListener) -> std::io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

impl Frontend {
    fn dispatch(&self, server: &Server, queue: &SyncSender<Job>) {
        loop {
            match server.recv() {
                Ok(request) => self.accept(request, queue),
                Err(error) => {
                    // tiny_http accepts no more connections after an error.
                    (self.on_failure)(format!("callers can no longer connect: {error}"));
                    return;
                }
            }
        }
    }

    fn accept(&self, request: tiny_http::Request, queue: &SyncSender<Job>) {
        let received = Instant::now();
        let head = read_head(&request);
        if let Some(page) = self.page(&head) {
            self.responder.respond(request, &head, &page, Body::Unread);
            return;
        }
        if self.shared.is_refusing_new() {
            let response = Response::not_run("this proxy is stopping; ask another", RETRY_AFTER);
            self.responder.respond(request, &head, &response, Body::Unread);
            return;
        }
        let in_flight = self.shared.track_in_flight();
        match queue.try_send(Job { request, head, received, in_flight }) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                self.shared.metrics.refusals.with_label_values(&["workers"]).inc();
                let response =
                    Response::not_run("every worker is busy; wait, or use another", RETRY_AFTER);
                self.responder.respond(job.request, &job.head, &response, Body::Unread);
            }
        }
    }

    /// Returns a page for the balancer or an operator, if the path names one.
    fn page(&self, head: &Head) -> Option<Response> {
        let path = head.url.split('?').next().unwrap_or_default();
        if path == admin::METRICS {
            self.update_gauges();
        }
        let (status, text) = admin::answer(path, &self.shared.metrics.registry, &self.ready)?;
        Some(Response::page(status, text))
    }

    fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        metrics.set(Gauge::InFlight, self.shared.in_flight() as u64);
        metrics.set(Gauge::Waiting, self.shared.gate.waiting() as u64);
        metrics.set(Gauge::InTouch, self.shared.in_touch().into());
    }
}

fn read_head(request: &tiny_http::Request) -> Head {
    let header =
        |h: &tiny_http::Header| (h.field.as_str().as_str().to_owned(), h.value.as_str().to_owned());
    Head {
        method: request.method().as_str().to_owned(),
        url: request.url().to_owned(),
        headers: request.headers().iter().map(header).collect(),
    }
}
