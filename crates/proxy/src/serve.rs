//! Callers' side: takes requests in, answers them, on a fixed number of threads.
//!
//! tiny_http reads the requests of each connection on a thread of that
//! connection and puts them into one queue. One thread takes them out at once:
//! it answers the paths of the balancer itself, so that readiness is told also
//! while every worker is busy, and hands the rest to the workers' bounded
//! queue. What does not fit there is refused in the same moment.

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
use crate::response::Answer;
use crate::shared::{InFlight, Shared};
use responder::{Body, Replier};

/// Requests handed to the workers and not begun yet, in all.
const BACKLOG: usize = 64;
/// When to come back to a proxy whose workers are all busy.
const RETRY: Duration = Duration::from_secs(1);
/// How long a caller may take to read a part of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of the callers' side.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests worked on at once.
    pub worker_threads: usize,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
}

/// What is done once callers can no longer be served.
pub type Fail = Arc<dyn Fn(String) + Send + Sync>;

struct Job {
    request: tiny_http::Request,
    head: Head,
    began: Instant,
    in_flight: InFlight,
}

struct Front {
    config: Config,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    ready: Ready,
    /// Workers that read a body of a caller that may be slow.
    readers: AtomicUsize,
    replier: Replier,
    fail: Fail,
}

/// Binds `listen`, starts the threads and gives the address.
///
/// # Errors
///
/// Fails if the address cannot be bound or the system gives no thread.
pub fn start(
    listen: SocketAddr,
    config: Config,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    fail: Fail,
) -> std::io::Result<SocketAddr> {
    let listener = tuned(TcpListener::bind(listen)?)?;
    let bound = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    let for_ready = Arc::clone(&shared);
    let ready: Ready = Arc::new(move || for_ready.not_ready());
    let replier = Replier::start(Arc::clone(&shared), config.max_body, Arc::clone(&fail))?;
    let readers = AtomicUsize::new(0);
    let front = Arc::new(Front { config, shared, forwarder, ready, readers, replier, fail });
    let (sender, receiver) = sync_channel(BACKLOG);
    let receiver = Arc::new(Mutex::new(receiver));
    for index in 0..config.worker_threads {
        let (front, receiver) = (Arc::clone(&front), Arc::clone(&receiver));
        let name = format!("worker-{index}");
        std::thread::Builder::new().name(name).spawn(move || front.work(&receiver))?;
    }
    std::thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || front.dispatch(&server, &sender))?;
    Ok(bound)
}

/// Sets what accepted sockets inherit from the listener: tiny_http sets
/// neither. Without a write timeout a caller that stops reading holds a worker
/// for good; without `nodelay` the end of an answer waits for the caller's
/// delayed acknowledgement.
fn tuned(listener: TcpListener) -> std::io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

impl Front {
    fn dispatch(&self, server: &Server, workers: &SyncSender<Job>) {
        loop {
            match server.recv() {
                Ok(request) => self.take_in(request, workers),
                Err(error) => {
                    // tiny_http accepts nothing more after one error.
                    (self.fail)(format!("callers can no longer connect: {error}"));
                    return;
                }
            }
        }
    }

    fn take_in(&self, request: tiny_http::Request, workers: &SyncSender<Job>) {
        let began = Instant::now();
        let head = head(&request);
        if let Some(page) = self.page(&head) {
            self.replier.reply(request, &head, &page, Body::Unread);
            return;
        }
        if self.shared.is_closed() {
            let answer = Answer::not_run("this proxy is stopping; ask another", RETRY);
            self.replier.reply(request, &head, &answer, Body::Unread);
            return;
        }
        let in_flight = self.shared.enter();
        match workers.try_send(Job { request, head, began, in_flight }) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                self.shared.metrics.refusals.with_label_values(&["workers"]).inc();
                let answer = Answer::not_run("every worker is busy; wait, or use another", RETRY);
                self.replier.reply(job.request, &job.head, &answer, Body::Unread);
            }
        }
    }

    /// A page for the balancer or an operator.
    fn page(&self, head: &Head) -> Option<Answer> {
        let path = head.url.split('?').next().unwrap_or_default();
        if path == admin::METRICS {
            self.gauges();
        }
        let (status, text) = admin::answer(path, &self.shared.metrics.registry, &self.ready)?;
        Some(Answer::page(status, text))
    }

    fn gauges(&self) {
        let metrics = &self.shared.metrics;
        metrics.set(Gauge::InFlight, self.shared.in_flight() as u64);
        metrics.set(Gauge::Waiting, self.shared.gate.waiting() as u64);
        metrics.set(Gauge::InTouch, self.shared.in_touch().into());
    }
}

fn head(request: &tiny_http::Request) -> Head {
    let header =
        |h: &tiny_http::Header| (h.field.as_str().as_str().to_owned(), h.value.as_str().to_owned());
    Head {
        method: request.method().as_str().to_owned(),
        url: request.url().to_owned(),
        headers: request.headers().iter().map(header).collect(),
    }
}
