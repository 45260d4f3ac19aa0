//! A small HTTP/1.1 server that can misbehave.
//!
//! `tiny_http` always sends complete responses, so it cannot stand in for a server
//! that truncates a response, closes the connection after the work was done or
//! stops responding. This server uses a thread per connection, and its [`Service`]
//! chooses the [`Reply`].

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use crate::connections::Connections;

const MAX_HEAD_BYTES: u64 = 32 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const STACK_BYTES: usize = 256 * 1024;

/// Locks `mutex` even if it is poisoned.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a thread with a small stack, since the stand-ins have hundreds of
/// threads. Returns whether it started.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> bool {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).is_ok()
}

/// A complete request.
#[derive(Debug, Default)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    query: String,
    headers: Vec<(String, String)>,
}

impl Request {
    /// Returns the value of the header `name`, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the decoded query parameter `name`.
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| decode(v))
    }

    /// Returns the query parameter `name` as a number, or 0 if it is absent or not a
    /// number.
    pub fn number(&self, name: &str) -> u64 {
        self.param(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    fn wants_close(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers besides `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let headers = vec![("Content-Type", "application/json".to_owned())];
        Self { status, headers, body: serde_json::to_vec(body).unwrap_or_default() }
    }
}

/// How a service replies to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the complete response.
    Whole(Response),
    /// Announces the full length, sends half of the body and closes the
    /// connection.
    Truncated(Response),
    /// Closes the connection without a response.
    Cut,
    /// Keeps the connection open and never responds.
    Silent,
}

/// Handles the requests of a [`Server`].
pub trait Service: Send + Sync + 'static {
    /// Handles one request. May block.
    fn call(&self, request: &Request) -> Reply;

    /// Runs after the reply to each request was written or dropped.
    fn finished(&self) {}
}

/// A listener and its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Arc<Connections>,
    closed: Arc<AtomicBool>,
}

impl Server {
    /// Serves `listener` with at most `limit` connections. Further connections are
    /// closed on accept.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn start(
        listener: TcpListener,
        limit: usize,
        connections: Arc<Connections>,
        service: Arc<dyn Service>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let server = Self { address, connections, closed };
        let (connections, closed) = (server.connections.clone(), server.closed.clone());
        spawn(move || accept(&listener, limit, &connections, &closed, &service));
        Ok(server)
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its open connections.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Stops listening and closes each connection at once.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // A connection wakes the thread that is blocked in accept.
        let _ = TcpStream::connect(self.address);
        self.connections.close_all();
    }
}

fn accept(
    listener: &TcpListener,
    limit: usize,
    connections: &Arc<Connections>,
    closed: &AtomicBool,
    service: &Arc<dyn Service>,
) {
    for stream in listener.incoming() {
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let Some(id) = connections.admit(&stream, limit) else { continue };
        let (connections, service) = (connections.clone(), service.clone());
        spawn(move || {
            let _ = serve_connection(stream, id, &connections, service.as_ref());
            connections.remove(id);
        });
    }
}

fn serve_connection(
    stream: TcpStream,
    id: u64,
    connections: &Connections,
    service: &dyn Service,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader)? {
        // Faults don't apply to the stand-in's own paths, which switch them.
        let is_affected = !request.path.starts_with("/_");
        if is_affected && connections.is_silent(id) {
            return discard(reader);
        }
        let mut reply = service.call(&request);
        if is_affected && connections.is_silent(id) {
            reply = Reply::Silent;
        }
        let result = match &reply {
            Reply::Whole(response) => write(&mut writer, response, response.body.len()),
            Reply::Truncated(response) => {
                let _ = write(&mut writer, response, response.body.len() / 2);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Reply::Cut => Err(io::ErrorKind::ConnectionAborted.into()),
            Reply::Silent => Ok(()),
        };
        service.finished();
        if matches!(reply, Reply::Silent) {
            return discard(reader);
        }
        if result.is_err() || request.wants_close() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
    Ok(())
}

/// Discards input until the peer closes the connection.
fn discard(mut reader: impl Read) -> io::Result<()> {
    io::copy(&mut reader, &mut io::sink()).map(drop)
}

/// Reads one request. Returns `None` at the end of the connection.
fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut head = reader.take(MAX_HEAD_BYTES);
    let mut line = String::new();
    if head.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut words = line.split_whitespace();
    let method = words.next().ok_or_else(invalid)?.to_owned();
    let target = words.next().ok_or_else(invalid)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut headers = Vec::new();
    loop {
        line.clear();
        if head.read_line(&mut line)? == 0 {
            return Err(invalid());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut request = Request { method, path, query, headers, body: Vec::new() };
    if request.header("transfer-encoding").is_some() {
        return Err(invalid());
    }
    let len = request.header("content-length").map_or(Ok(0), str::parse).map_err(|_| invalid())?;
    if len > MAX_BODY_BYTES {
        return Err(invalid());
    }
    request.body.resize(len, 0);
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn write(writer: &mut TcpStream, response: &Response, body_len: usize) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {} -\r\n", response.status).into_bytes();
    for (name, value) in &response.headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", response.body.len()).as_bytes());
    out.extend_from_slice(&response.body[..body_len]);
    writer.write_all(&out)
}

fn decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        match (first, hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                out.push(b' ');
                rest = tail;
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
