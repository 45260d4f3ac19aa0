//! Calls over HTTP/1.1, on connections that are kept.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_adapter::Call;
use corianderfork_model::Time;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;

/// The largest answer that is read: a page of the store is about 1 MB, written
/// as text.
const MAX_ANSWER: usize = 8 << 20;
/// How long a connection is kept unused. Less than the usual time-outs of the
/// far sides, so that a call seldom meets a connection that was just closed.
const IDLE: Duration = Duration::from_secs(20);
/// Unused connections kept for one address: as many as are used at once where
/// most are, at the fleet's service.
const KEPT: usize = 24;
/// How long opening a connection may take.
const CONNECT: Duration = Duration::from_millis(500);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failed {
    /// Nothing of it was sent.
    #[error("no connection; nothing was sent")]
    Unsent,
    /// It may have been carried out, or may still be.
    #[error("no answer; it may have been done")]
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;

/// Makes calls.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<(Sender, Time)>>>,
    /// Unused connections kept for one address.
    kept: usize,
    /// Answers that timed out after part of their body had arrived.
    answers_cut_off: Cell<usize>,
}

impl Default for Client {
    fn default() -> Self {
        Self::keeping(KEPT)
    }
}

impl Client {
    /// A client that keeps `kept` unused connections for each address.
    pub fn keeping(kept: usize) -> Self {
        Self { idle: RefCell::default(), kept, answers_cut_off: Cell::new(0) }
    }

    /// The number of answers that timed out after part of their body had arrived.
    pub fn answers_cut_off(&self) -> usize {
        self.answers_cut_off.get()
    }

    /// Sends `call` to `address` and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if there is none within `within`. A connection on which an answer
    /// is missing is closed: what comes later on it would be taken for the
    /// answer to the next call.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        within: Duration,
    ) -> Result<(u16, Bytes), Failed> {
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address, within.min(CONNECT)).await?,
        };
        let request = request(address, call).ok_or(Failed::Unsent)?;
        let received = Cell::new(0);
        match timeout(within, exchange(&mut sender, request, &received)).await {
            Ok(Ok(answer)) => {
                self.put_idle(address, sender);
                Ok(answer)
            }
            Ok(Err(failed)) => Err(failed),
            Err(_) => {
                if received.get() > 0 {
                    self.answers_cut_off.set(self.answers_cut_off.get() + 1);
                }
                // Connections to the same place that were idle may have gone
                // silent together with this one.
                self.forget(address);
                Err(Failed::Lost)
            }
        }
    }

    /// Closes the unused connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|(sender, since)| !sender.is_closed() && now - *since < IDLE);
        let at = kept.iter().rposition(|(sender, _)| sender.is_ready())?;
        Some(kept.swap_remove(at).0)
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < self.kept {
            kept.push((sender, clock::now()));
        }
    }
}

async fn connect(address: SocketAddr, within: Duration) -> Result<Sender, Failed> {
    let stream = timeout(within, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Failed::Unsent)?.map_err(|_| Failed::Unsent)?;
    // Small requests must not wait for the answer to the one before.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Failed::Unsent)?;
    spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(address: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
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

/// Sends a request and reads the answer. `received` holds the number of body bytes
/// read so far, so that the caller can tell a partial answer from none on a timeout.
async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    received: &Cell<usize>,
) -> Result<(u16, Bytes), Failed> {
    sender.ready().await.map_err(|_| Failed::Unsent)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| if error.is_canceled() { Failed::Unsent } else { Failed::Lost })?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Failed::Lost)?.into_data() else { continue };
        if content.len() + data.len() > MAX_ANSWER {
            return Err(Failed::Lost);
        }
        content.extend_from_slice(&data);
        received.set(content.len());
    }
    Ok((status, Bytes::from(content)))
}
