//! gRPC between proxies and controllers, with tonic on one separate thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;

use corianderfork_wire::{MAX_MESSAGE, peer};
use peer::peer_client::PeerClient;
use peer::peer_server::{Peer, PeerServer};
use tokio::sync::{Semaphore, oneshot};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

/// The maximum number of concurrent calls to all peers together.
const MAX_CALLS: usize = 256;
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the response to a request, from any thread at any time.
#[derive(Debug)]
pub struct Reply<T>(oneshot::Sender<T>);

impl<T> Reply<T> {
    /// Sends the response. Does nothing if the peer is gone; it repeats the
    /// request.
    pub fn send(self, response: T) {
        let _ = self.0.send(response);
    }
}

/// Handles the requests of peers.
///
/// All methods run on the peer thread and must not block.
pub trait Handler: Send + Sync + 'static {
    /// Handles the report of a peer and replies with a report of this process.
    fn exchange(&self, report: peer::Report, reply: Reply<peer::Report>);
    /// Handles the request of a new process for the configuration and records.
    fn snapshot(&self, request: peer::SnapshotRequest, reply: Reply<peer::SnapshotReply>);
    /// Handles the request of a proxy to claim a request id.
    fn claim(&self, request: peer::ClaimRequest, reply: Reply<peer::ClaimReply>);
    /// Handles the outcome of a claimed attempt.
    fn settle(&self, request: peer::SettleRequest, reply: Reply<peer::SettleReply>);
}

/// The reason why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The peer is unreachable or did not respond in time.
    #[error("no response from the peer at {peer} ({reason}); try another peer, or retry later")]
    NoResponse {
        /// The address of the peer.
        peer: SocketAddr,
        /// The error of the transport.
        reason: String,
    },
    /// Too many calls are in flight.
    #[error("too many calls to peers are in flight; drop this one or retry later")]
    Busy,
}

/// A client for calls to peers. Clones share connections.
#[derive(Clone, Debug)]
pub struct Peers {
    runtime: tokio::runtime::Handle,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
    calls: Arc<Semaphore>,
}

/// Binds `listen` and serves requests with `handler` on a new thread.
///
/// Returns a client for calls to peers and the bound address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be
/// started.
pub fn start(
    listen: SocketAddr,
    handler: Arc<dyn Handler>,
) -> std::io::Result<(Peers, SocketAddr)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(tokio::net::TcpListener::bind(listen))?;
    let bound = listener.local_addr()?;
    let peers = Peers {
        runtime: runtime.handle().clone(),
        channels: Arc::default(),
        calls: Arc::new(Semaphore::new(MAX_CALLS)),
    };
    let service = PeerServer::new(Service { handler })
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(MAX_MESSAGE);
    std::thread::Builder::new().name("peers".to_owned()).spawn(move || {
        let incoming =
            tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tonic::transport::Server::builder().add_service(service);
        let serve_result = runtime.block_on(server.serve_with_incoming(incoming));
        if let Err(error) = serve_result {
            ::log::error!("the server for requests of peers failed: {error}");
        }
    })?;
    Ok((peers, bound))
}

type Client = PeerClient<Channel>;

macro_rules! call {
    ($name:ident, $request:ty, $reply:ty, $doc:literal) => {
        #[doc = $doc]
        ///
        /// Runs `callback` with the result on the peer thread, or on the calling
        /// thread if too many calls are in flight. The callback must not block.
        pub fn $name(
            &self,
            address: SocketAddr,
            request: $request,
            timeout: Duration,
            callback: impl FnOnce(Result<$reply, Error>) + Send + 'static,
        ) {
            let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
                callback(Err(Error::Busy));
                return;
            };
            let peers = self.clone();
            self.runtime.spawn(async move {
                let mut client = peers.client(address);
                let call = client.$name(Request::new(request));
                let result = tokio::time::timeout(timeout, call).await;
                drop(permit);
                callback(match result {
                    Ok(Ok(response)) => Ok(response.into_inner()),
                    Ok(Err(status)) => Err(peers.disconnect(address, status.to_string())),
                    Err(_) => Err(peers.disconnect(address, "timeout".to_owned())),
                });
            });
        }
    };
}

impl Peers {
    call!(
        exchange,
        peer::Report,
        peer::Report,
        "Sends a report to a peer and receives its report."
    );
    call!(
        snapshot,
        peer::SnapshotRequest,
        peer::SnapshotReply,
        "Requests the configuration and records from a peer."
    );
    call!(
        claim,
        peer::ClaimRequest,
        peer::ClaimReply,
        "Requests a claim of an id from the owner of its shard."
    );
    call!(
        settle,
        peer::SettleRequest,
        peer::SettleReply,
        "Reports the outcome of an attempt to the owner of its shard."
    );

    /// Requests a claim of an id and blocks until the response arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer did not respond in time. The claim may have
    /// been granted nevertheless.
    pub fn claim_wait(
        &self,
        address: SocketAddr,
        request: peer::ClaimRequest,
        timeout: Duration,
    ) -> Result<peer::ClaimReply, Error> {
        let (sender, receiver) = mpsc::sync_channel(1);
        self.claim(address, request, timeout, move |result| {
            let _ = sender.try_send(result);
        });
        receiver.recv().unwrap_or(Err(Error::Busy))
    }

    fn client(&self, address: SocketAddr) -> Client {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let channel = channels.entry(address).or_insert_with(|| connect(address)).clone();
        PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE)
    }

    /// Drops the connection to a peer after a failed call and returns the error.
    ///
    /// A connection can go silent permanently while new ones work, if a device on
    /// the path has lost its state. Every call on it would then time out although
    /// the peer is up, so the next call opens a new connection.
    fn disconnect(&self, address: SocketAddr, reason: String) -> Error {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        Error::NoResponse { peer: address, reason }
    }
}

fn connect(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address is a URI");
    endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy()
}

struct Service {
    handler: Arc<dyn Handler>,
}

async fn wait_for_response<T>(receiver: oneshot::Receiver<T>) -> Result<Response<T>, Status> {
    let response = receiver.await;
    response.map(Response::new).map_err(|_| Status::unavailable("stopping; ask another peer"))
}

macro_rules! serve {
    ($($name:ident($request:ty) -> $reply:ty;)*) => {
        #[tonic::async_trait]
        impl Peer for Service {
            $(async fn $name(&self, request: Request<$request>) -> Result<Response<$reply>, Status> {
                let (sender, receiver) = oneshot::channel();
                self.handler.$name(request.into_inner(), Reply(sender));
                wait_for_response(receiver).await
            })*
        }
    };
}

serve! {
    exchange(peer::Report) -> peer::Report;
    snapshot(peer::SnapshotRequest) -> peer::SnapshotReply;
    claim(peer::ClaimRequest) -> peer::ClaimReply;
    settle(peer::SettleRequest) -> peer::SettleReply;
}
