//! An HTTP/1.1 client with persistent connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_model::Time;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::traffic::Traffic;

/// The largest response body: a page of the store is about 1 MB, encoded as text.
const MAX_RESPONSE: usize = 8 << 20;
/// How long a connection is kept unused. This is less than the usual timeouts of servers, so that a
/// call rarely uses a connection that was just closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Unused connections kept for one address: as many as the busiest one, the fleet service,
/// has in use at once.
const DEFAULT_MAX_IDLE: usize = 24;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest gap between two chunks of a body that may be large.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest transfer of a body that may be large: [`MAX_RESPONSE`] takes 7 s over a
/// link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing of the call was sent.
    #[error("no connection; nothing was sent")]
    Unsent,
    /// The call may have been carried out, or may still be.
    #[error("no response; the call may have been carried out")]
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;

/// Timeouts of one request and its response.
#[derive(Clone, Copy)]
struct Timeouts {
    /// From sending the request to receiving the head of the response.
    head: Duration,
    /// Between two chunks of the body.
    stall: Duration,
    /// From sending the request to the end of the body.
    total: Duration,
}

/// Why an exchange has no response.
enum ExchangeError {
    /// The connection failed, or the response is larger than [`MAX_RESPONSE`].
    Call(CallError),
    /// One of the [`Timeouts`] expired.
    TimedOut,
}

impl From<CallError> for ExchangeError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

/// A connection that is kept for the calls of one user.
pub struct Connection {
    sender: Sender,
    address: SocketAddr,
}

impl Connection {
    /// Returns whether it is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// An HTTP client.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<(Sender, Time)>>>,
    /// Unused connections kept for one address.
    max_idle: usize,
    /// Responses that timed out after part of their body had arrived.
    truncated_responses: Cell<usize>,
    traffic: Traffic,
    open: Rc<Cell<usize>>,
    /// The address from which connections are opened; the system chooses one if it is unspecified.
    source: IpAddr,
}

impl Client {
    /// Returns a client that counts its calls in `traffic`.
    pub fn new(traffic: Traffic) -> Self {
        Self {
            idle: RefCell::default(),
            max_idle: DEFAULT_MAX_IDLE,
            truncated_responses: Cell::new(0),
            traffic,
            open: Rc::default(),
            source: IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        }
    }

    /// Sets the address from which connections are opened, on a host that has several.
    #[must_use]
    pub fn with_source(mut self, source: IpAddr) -> Self {
        self.source = source;
        self
    }

    /// Sets the number of unused connections that are kept for each address.
    #[must_use]
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of responses that timed out after part of their body had arrived.
    pub fn truncated_responses(&self) -> usize {
        self.truncated_responses.get()
    }

    /// Sends `call` to `address` and waits for the whole response. It is counted as a call of
    /// `kind`.
    ///
    /// # Errors
    ///
    /// Fails if there is none within `within`. The connection of a missing response is
    /// closed: a late one would be taken for the response to the next call.
    pub async fn call(
        &self,
        kind: &'static str,
        address: SocketAddr,
        call: &Call,
        within: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let timeouts = Timeouts { head: within, stall: within, total: within };
        self.call_with_timeouts(kind, address, call, timeouts, |_| {}).await
    }

    /// Opens a connection to `address` for [`Client::call_over`].
    ///
    /// # Errors
    ///
    /// Fails if the connection isn't open within `within`.
    pub async fn open(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> Result<Connection, CallError> {
        let sender = self.connect(address, within.min(CONNECT_TIMEOUT)).await?;
        Ok(Connection { sender, address })
    }

    /// Like [`Client::call`], over a connection that was opened before and over no other. Returns
    /// the connection with the response.
    ///
    /// # Errors
    ///
    /// As [`Client::call`]. The connection is closed.
    pub async fn call_over(
        &self,
        kind: &'static str,
        mut connection: Connection,
        call: &Call,
        within: Duration,
    ) -> Result<(u16, Bytes, Connection), CallError> {
        let timeouts = Timeouts { head: within, stall: within, total: within };
        let Connection { sender, address } = &mut connection;
        let (status, body) =
            self.exchange_over(kind, sender, *address, call, timeouts, |_| {}).await?;
        Ok((status, body, connection))
    }

    /// Like [`Client::call`], for a response that may be large: `within` bounds the time
    /// until its head arrives; the body is then read while it makes progress. The whole
    /// exchange may take `within` and `BODY_TIMEOUT`. `on_head` is called with the status
    /// when the head arrives.
    ///
    /// With a single timeout, a response that takes longer to transfer would never be
    /// received: each retry starts from its first byte.
    ///
    /// # Errors
    ///
    /// As [`Client::call`]; also if the body stalls or takes too long.
    pub async fn call_large(
        &self,
        kind: &'static str,
        address: SocketAddr,
        call: &Call,
        within: Duration,
        on_head: impl FnOnce(u16),
    ) -> Result<(u16, Bytes), CallError> {
        let timeouts =
            Timeouts { head: within, stall: STALL_TIMEOUT, total: within + BODY_TIMEOUT };
        self.call_with_timeouts(kind, address, call, timeouts, on_head).await
    }

    async fn call_with_timeouts(
        &self,
        kind: &'static str,
        address: SocketAddr,
        call: &Call,
        timeouts: Timeouts,
        on_head: impl FnOnce(u16),
    ) -> Result<(u16, Bytes), CallError> {
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => self.connect(address, timeouts.head.min(CONNECT_TIMEOUT)).await?,
        };
        let response =
            self.exchange_over(kind, &mut sender, address, call, timeouts, on_head).await?;
        self.put_idle(address, sender);
        Ok(response)
    }

    async fn exchange_over(
        &self,
        kind: &'static str,
        sender: &mut Sender,
        address: SocketAddr,
        call: &Call,
        timeouts: Timeouts,
        on_head: impl FnOnce(u16),
    ) -> Result<(u16, Bytes), CallError> {
        let counted = self.traffic.begin(kind);
        counted.add_sent(call.target.len() + call.body.len());
        let request = build_request(address, call).ok_or(CallError::Unsent)?;
        let received = Cell::new(0);
        let response = exchange(sender, request, timeouts, on_head, &received);
        let response = timeout(timeouts.total, response).await;
        counted.add_received(received.get());
        match response.unwrap_or(Err(ExchangeError::TimedOut)) {
            Ok(response) => Ok(response),
            Err(ExchangeError::Call(error)) => Err(error),
            Err(ExchangeError::TimedOut) => {
                if received.get() > 0 {
                    self.truncated_responses.set(self.truncated_responses.get() + 1);
                }
                // Idle connections to the same address may be dead too.
                self.close_idle(address);
                Err(CallError::Lost)
            }
        }
    }

    /// Closes the unused connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    async fn connect(&self, address: SocketAddr, within: Duration) -> Result<Sender, CallError> {
        let stream = timeout(within, self.open_stream(address)).await;
        let stream = stream.map_err(|_| CallError::Unsent)?.map_err(|_| CallError::Unsent)?;
        // Small requests must not wait for the response to the previous one.
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|_| CallError::Unsent)?;
        let open = self.open.clone();
        open.set(open.get() + 1);
        spawn_local(async move {
            // The sender notices when the connection ends.
            let _ = connection.await;
            open.set(open.get() - 1);
        });
        Ok(sender)
    }

    async fn open_stream(&self, address: SocketAddr) -> io::Result<TcpStream> {
        if self.source.is_unspecified() {
            return TcpStream::connect(address).await;
        }
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(self.source, 0))?;
        socket.connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|(sender, since)| !sender.is_closed() && now - *since < IDLE_TIMEOUT);
        let position = connections.iter().rposition(|(sender, _)| sender.is_ready())?;
        Some(connections.swap_remove(position).0)
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.max_idle {
            connections.push((sender, clock::now()));
        }
    }
}

fn build_request(address: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(&call.target)
        .header(header::HOST, address.to_string());
    if !call.body.is_empty() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    request.body(Full::new(Bytes::from(call.body.clone()))).ok()
}

/// Sends a request and reads the response. `received` holds the number of body bytes
/// read so far, so that the caller can tell a partial response from none on a timeout.
async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    timeouts: Timeouts,
    on_head: impl FnOnce(u16),
    received: &Cell<usize>,
) -> Result<(u16, Bytes), ExchangeError> {
    let head = async {
        sender.ready().await.map_err(|_| CallError::Unsent)?;
        let response = sender.send_request(request).await;
        response
            .map_err(|error| if error.is_canceled() { CallError::Unsent } else { CallError::Lost })
    };
    let response = timeout(timeouts.head, head).await.map_err(|_| ExchangeError::TimedOut)??;
    let status = response.status().as_u16();
    on_head(status);
    let mut body = response.into_body();
    let mut content = Vec::new();
    while let Some(frame) =
        timeout(timeouts.stall, body.frame()).await.map_err(|_| ExchangeError::TimedOut)?
    {
        let Ok(data) = frame.map_err(|_| CallError::Lost)?.into_data() else { continue };
        if content.len() + data.len() > MAX_RESPONSE {
            return Err(ExchangeError::Call(CallError::Lost));
        }
        content.extend_from_slice(&data);
        received.set(content.len());
    }
    Ok((status, Bytes::from(content)))
}
