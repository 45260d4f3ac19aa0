//! Responses of a daemon while many connections to it are open.
#![allow(clippy::expect_used)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Connections that peers keep: ten from each of forty.
const PEER_CONNECTIONS: usize = 400;
/// How long the daemon may take to start and to respond.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon without a store.
struct Daemon {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
}

impl Daemon {
    fn start(name: &str) -> Self {
        let [callers, readiness, peers, metrics, store] = free_addresses();
        let text = format!(
            "[process]\nname = vm-1\ndata_centre = dc-1\nip = 127.0.0.1\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             peers_port = {}\nmetrics_port = {}\n\
             [store]\naddress = {store}\n[limits]\nmax_fds = 4100\n",
            peers.port(),
            metrics.port(),
        );
        let settings = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        std::fs::write(&settings, text).expect("a temporary file");
        let child = Command::new(env!("CARGO_BIN_EXE_corianderfork-entry"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts");
        let daemon = Self { child, settings, callers, readiness, peers };
        drop(daemon.open_connections(readiness, 1));
        daemon
    }

    /// Opens connections and leaves them unused.
    fn open_connections(&self, address: SocketAddr, count: usize) -> Vec<TcpStream> {
        let deadline = Instant::now() + TIMEOUT;
        let mut connections = Vec::new();
        while connections.len() < count {
            match TcpStream::connect(address) {
                Ok(stream) => connections.push(stream),
                Err(error) => assert!(Instant::now() < deadline, "{address}: {error}"),
            }
        }
        connections
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns addresses whose ports were free just now.
fn free_addresses() -> [SocketAddr; 5] {
    let listeners =
        [(); 5].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

/// Sends a request on a new connection. Returns the response; empty if it was closed.
fn send_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    // A closed connection shows as a missing response.
    let _ = stream.write_all(request.as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn readiness_while_peers_keep_connections() {
    // Failure: the balancer removes an entry VM that works and has the most load. A pool was
    // busy, and the entry VMs that asked its owner about jobs kept their connections. The
    // listeners for the balancer and for peers shared one limit, and further connections
    // were closed.
    let daemon = Daemon::start("ready");
    let _connections = daemon.open_connections(daemon.peers, PEER_CONNECTIONS);
    let response = send_request(
        daemon.readiness,
        "GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
}

#[test]
fn peer_request_while_others_keep_connections() {
    // Failure: a pool's owner responds to no peer while its queue is busy: each request for a job's
    // state costs two reads of the store, and the pool gets no VMs. The connection limit was
    // sufficient for only a few entry VMs; see the test above.
    let daemon = Daemon::start("peer");
    let _connections = daemon.open_connections(daemon.peers, PEER_CONNECTIONS);
    let body = r#"{"ask":"state","pool":"alpha","id":"5c0e7a21d94b36f8"}"#;
    let head = "POST /peer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    let response =
        send_request(daemon.peers, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    assert!(response.contains("not-owner"), "{response:?}");
}

// Guards against heads that take hundreds of kilobytes each, and against a legal one that is
// rejected. The daemon has no configuration and answers requests with 503.
#[test]
fn request_with_heads_around_the_limit() {
    let daemon = Daemon::start("heads");
    for (length, status) in [(200, 503), (15 << 10, 503), (17 << 10, 431)] {
        let start = "GET /one/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nFiller: ";
        let filler = "x".repeat(length - start.len() - 4);
        let response = send_request(daemon.callers, &format!("{start}{filler}\r\n\r\n"));
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{length}: {response:?}");
    }
}
