//! Serves HTTP/1.1 on an address.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::trace::Trace;

/// How long a caller may take over the head of a request.
const HEAD: Duration = Duration::from_secs(15);
/// The pause after an accept failed, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request, read whole.
#[derive(Debug)]
pub struct Asked {
    /// The method.
    pub method: String,
    /// The host that it names.
    pub host: String,
    /// The path.
    pub path: String,
    /// How long the caller waits, if it says so, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The body; `None` if it was longer than is taken.
    pub body: Option<Bytes>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Told {
    /// The status.
    pub status: u16,
    /// The body, as JSON or text.
    pub body: Vec<u8>,
    /// When to come back, in seconds.
    pub retry_after: Option<u64>,
}

impl Told {
    /// An answer without a request to come back.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: None }
    }
}

/// Answers requests.
pub type Handler = Rc<dyn Fn(Asked) -> Pin<Box<dyn Future<Output = Told>>>>;

/// What is open on one address, and whether it is to be closed.
#[derive(Clone, Default)]
pub struct Gauge {
    /// What the address is for.
    pub name: &'static str,
    /// Open connections.
    pub connections: Rc<Cell<usize>>,
    /// Requests being answered.
    pub requests: Rc<Cell<usize>>,
    /// Whether each answer is the last on its connection.
    pub closing: Rc<Cell<bool>>,
    /// Most connections at once.
    pub most: Rc<Cell<usize>>,
    /// Connections that were closed unheard since there were so many.
    pub closed: Rc<Cell<usize>>,
    /// The longest body that is taken.
    pub max_body: Rc<Cell<usize>>,
}

impl Gauge {
    /// What is open on the address `name`, `most` connections at once.
    pub fn new(name: &'static str, most: usize) -> Self {
        Self { name, most: Rc::new(Cell::new(most)), ..Self::default() }
    }
}

/// Listens on `address`.
///
/// # Errors
///
/// Fails if the address can't be had.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until the process ends.
pub async fn serve(listener: TcpListener, gauge: Gauge, handler: Handler, trace: Trace) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Past the bound a connection is closed at once: descriptors
                // are needed for the store and the workers.
                if gauge.connections.get() < gauge.most.get() {
                    spawn_local(connection(stream, gauge.clone(), handler.clone()));
                } else {
                    gauge.closed.set(gauge.closed.get() + 1);
                    trace.line(
                        "connection closed unheard",
                        json!({ "address": gauge.name, "open": gauge.connections.get() }),
                    );
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

async fn connection(stream: TcpStream, gauge: Gauge, handler: Handler) {
    let _open = Counted::new(&gauge.connections);
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let (gauge, handler) = (gauge.clone(), handler.clone());
        async move {
            let _busy = Counted::new(&gauge.requests);
            let asked = read(request, gauge.max_body.get()).await;
            let told = handler(asked).await;
            respond(told, gauge.closing.get())
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(stream), service);
    // A caller that breaks off is no fault of ours.
    let _ = served.await;
}

async fn read(request: Request<Incoming>, max_body: usize) -> Asked {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let host = text("host").or_else(|| head.uri.host()).unwrap_or_default().to_owned();
    let deadline_ms = text(caller::DEADLINE).and_then(|text| text.trim().parse().ok());
    let path = head.uri.path().to_owned();
    let body = Limited::new(body, max_body).collect().await;
    let body = body.ok().map(http_body_util::Collected::to_bytes);
    Asked { method: head.method.as_str().to_owned(), host, path, deadline_ms, body }
}

fn respond(told: Told, is_last: bool) -> Result<Response<Full<Bytes>>, hyper::http::Error> {
    let status = StatusCode::from_u16(told.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response =
        Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
    if let Some(seconds) = told.retry_after {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    if is_last {
        response = response.header(header::CONNECTION, "close");
    }
    response.body(Full::new(Bytes::from(told.body)))
}
