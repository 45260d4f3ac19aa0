//! An HTTP/1.1 server.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::{caller, organisation};
use corianderfork_jobs::organisation::Digest;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

use crate::access::Credential;
use crate::receive::{Body, Lease, Receiver};
use crate::trace::Trace;
use crate::traffic::Traffic;
use crate::{clock, connections};

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest head unless the configuration sets another limit, in bytes.
pub const DEFAULT_MAX_HEAD: usize = 16 << 10;
/// The bounds of that limit, in bytes. The lower one is the smallest buffer of the HTTP library.
const MAX_HEAD_RANGE: RangeInclusive<usize> = 8 << 10..=64 << 10;
/// The memory of a connection besides the head that is being received, in bytes: the buffer of the
/// response's head, and the state of its task.
const CONNECTION_BYTES: usize = 16 << 10;
/// The pause after a failed accept, which usually means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The requested host.
    pub host: String,
    /// The path.
    pub path: String,
    /// The caller's deadline in milliseconds, if it has one.
    pub deadline_ms: Option<u64>,
    /// The API key, as a digest.
    pub credential: Credential,
    /// The body.
    pub body: Body,
}

/// A response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The body, as JSON or text.
    pub body: Vec<u8>,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The `WWW-Authenticate` header.
    pub challenge: Option<&'static str>,
}

impl HttpResponse {
    /// Returns a response without a `Retry-After` header.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: None, challenge: None }
    }
}

/// A request handler.
pub type Handler = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// The load and limits of one address.
#[derive(Clone, Default)]
pub struct Gauge {
    /// The purpose of the address.
    pub name: &'static str,
    /// Open connections.
    pub connections: Rc<Cell<usize>>,
    /// Requests in progress.
    pub requests: Rc<Cell<usize>>,
    /// Whether connections are closed after their next response.
    pub closing: Rc<Cell<bool>>,
    /// The most open connections.
    pub max_connections: Rc<Cell<usize>>,
    /// Connections closed at once because of that limit.
    pub rejected: Rc<Cell<usize>>,
    /// Connections closed to make room for others.
    pub replaced: Rc<Cell<usize>>,
    /// The longest accepted body, in bytes.
    pub max_body: Rc<Cell<usize>>,
    /// The size of a connection's buffer for received bytes, which is the longest accepted head.
    pub read_buffer: Rc<Cell<usize>>,
    /// The bodies that are being received and handled.
    pub receiver: Receiver,
    /// The open connections, if one of them is closed to make room for a new one.
    pub replaceable: Option<Rc<Replaceable>>,
}

impl Gauge {
    /// Returns the gauge of the address `name`, which allows `max_connections`.
    pub fn new(name: &'static str, max_connections: usize) -> Self {
        Self {
            name,
            max_connections: Rc::new(Cell::new(max_connections)),
            read_buffer: Rc::new(Cell::new(DEFAULT_MAX_HEAD)),
            ..Self::default()
        }
    }

    /// Whether another connection may be opened. Closes the one that has waited for its client for
    /// the longest if that makes room.
    async fn has_room(&self) -> bool {
        while self.connections.get() >= self.max_connections.get() {
            let Some(task) = self.replaceable.as_ref().and_then(|open| open.take_longest_waiting())
            else {
                return false;
            };
            task.abort();
            let _ = task.await;
            self.replaced.set(self.replaced.get() + 1);
        }
        true
    }

    /// Sets the longest accepted head of new connections, in bytes.
    pub fn limit_heads(&self, bytes: usize) {
        self.read_buffer.set(bytes.clamp(*MAX_HEAD_RANGE.start(), *MAX_HEAD_RANGE.end()));
    }

    /// Limits the connections to `max` and to those that `memory` bytes suffice for.
    pub fn limit_connections(&self, max: usize, memory: usize) {
        let affordable = memory / (self.read_buffer.get() + CONNECTION_BYTES);
        self.max_connections.set(max.min(affordable));
    }
}

/// Listens on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until the process ends.
pub async fn serve(
    listener: TcpListener,
    gauge: Gauge,
    handler: Handler,
    traffic: Traffic,
    trace: Trace,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Beyond the limit a connection is closed at once: descriptors are needed
                // for the store and the workers.
                if gauge.has_room().await {
                    let connection = Connection::new(&gauge);
                    let (id, traffic) = (connection.id, traffic.clone());
                    let task = handle_connection(stream, connection, handler.clone(), traffic);
                    let task = spawn_local(task);
                    if let Some((open, id)) = gauge.replaceable.as_ref().zip(id) {
                        open.tasks.borrow_mut().insert(id, task);
                    }
                } else {
                    gauge.rejected.set(gauge.rejected.get() + 1);
                    trace.line(
                        "connection rejected",
                        || json!({ "address": gauge.name, "open": gauge.connections.get() }),
                    );
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The open connections of an address, and their tasks.
#[derive(Default)]
pub struct Replaceable {
    table: RefCell<connections::Table>,
    tasks: RefCell<BTreeMap<connections::Id, JoinHandle<()>>>,
}

impl Replaceable {
    fn take_longest_waiting(&self) -> Option<JoinHandle<()>> {
        let id = self.table.borrow_mut().take_longest_waiting()?;
        self.tasks.borrow_mut().remove(&id)
    }
}

/// An open connection, until dropped.
struct Connection {
    gauge: Gauge,
    id: Option<connections::Id>,
    _open: CountGuard,
}

impl Connection {
    fn new(gauge: &Gauge) -> Self {
        let open = gauge.replaceable.as_ref();
        let id = open.map(|open| open.table.borrow_mut().open(clock::now()));
        Self { gauge: gauge.clone(), id, _open: CountGuard::new(&gauge.connections) }
    }

    /// Notes that the connection waits for its client.
    fn wait(&self) {
        if let Some((open, id)) = self.gauge.replaceable.as_ref().zip(self.id) {
            open.table.borrow_mut().wait(clock::now(), id);
        }
    }

    /// Notes that a whole request has arrived.
    fn handle(&self) {
        if let Some((open, id)) = self.gauge.replaceable.as_ref().zip(self.id) {
            open.table.borrow_mut().handle(id);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some((open, id)) = self.gauge.replaceable.as_ref().zip(self.id) {
            open.table.borrow_mut().close(id);
            open.tasks.borrow_mut().remove(&id);
        }
    }
}

async fn handle_connection(
    stream: TcpStream,
    connection: Connection,
    handler: Handler,
    traffic: Traffic,
) {
    let _ = stream.set_nodelay(true);
    let (gauge, connection) = (connection.gauge.clone(), Rc::new(connection));
    let service = service_fn(|request| {
        let (gauge, handler, traffic) = (gauge.clone(), handler.clone(), traffic.clone());
        let connection = connection.clone();
        async move {
            let _busy = CountGuard::new(&gauge.requests);
            let counted = traffic.begin(gauge.name);
            connection.wait();
            let (http_request, _lease) = read_request(request, &connection).await;
            connection.handle();
            let received = http_request.body.whole().map(Bytes::len);
            counted.add_received(received.unwrap_or(0));
            let http_response = handler(http_request).await;
            counted.add_sent(http_response.body.len());
            connection.wait();
            // The rest of a body that isn't received can't be told from the next request.
            build_response(http_response, gauge.closing.get() || received.is_none())
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        // Empty lines before a request count too.
        .max_buf_size(gauge.read_buffer.get())
        .serve_connection(TokioIo::new(stream), service);
    // A connection broken by the client is not an error of this process.
    let _ = served.await;
}

async fn read_request(request: Request<Incoming>, connection: &Connection) -> (HttpRequest, Lease) {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let host = text("host").or_else(|| head.uri.host()).unwrap_or_default().to_owned();
    let deadline_ms = text(caller::DEADLINE).and_then(|text| text.trim().parse().ok());
    let credential = credential(&head.headers);
    let path = head.uri.path().to_owned();
    let gauge = &connection.gauge;
    let on_progress = || connection.wait();
    let (body, lease) = gauge.receiver.receive(body, gauge.max_body.get(), on_progress).await;
    let method = head.method.as_str().to_owned();
    (HttpRequest { method, host, path, deadline_ms, credential, body }, lease)
}

/// Returns the API key among the headers, as a digest: nothing else of it is kept.
fn credential(headers: &header::HeaderMap) -> Credential {
    let mut values = headers.get_all(caller::API_KEY).iter();
    let Some(value) = values.next() else { return Credential::Missing };
    let key = value.to_str().ok().filter(|key| organisation::is_valid_key(key));
    match key.filter(|_| values.next().is_none()) {
        Some(key) => Credential::Key(Digest::of(key)),
        None => Credential::Malformed,
    }
}

fn build_response(
    http_response: HttpResponse,
    is_last: bool,
) -> Result<Response<Full<Bytes>>, hyper::http::Error> {
    let status =
        StatusCode::from_u16(http_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response =
        Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
    if let Some(seconds) = http_response.retry_after {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    if let Some(challenge) = http_response.challenge {
        response = response.header(header::WWW_AUTHENTICATE, challenge);
    }
    if is_last {
        response = response.header(header::CONNECTION, "close");
    }
    response.body(Full::new(Bytes::from(http_response.body)))
}
