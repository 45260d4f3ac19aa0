//! What a daemon answers while many connections to it are open.
#![allow(clippy::expect_used)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Connections that peers keep: ten of each of forty.
const KEPT: usize = 400;
/// How long the daemon may take to start, and to answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// A daemon whose store isn't there.
struct Daemon {
    child: Child,
    settings: PathBuf,
    readiness: SocketAddr,
    peers: SocketAddr,
}

impl Daemon {
    fn start(name: &str) -> Self {
        let [callers, readiness, peers, metrics, store] = free();
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
        let daemon = Self { child, settings, readiness, peers };
        drop(daemon.keep(readiness, 1));
        daemon
    }

    /// Opens connections, and leaves them unused.
    fn keep(&self, address: SocketAddr, count: usize) -> Vec<TcpStream> {
        let until = Instant::now() + PATIENCE;
        let mut kept = Vec::new();
        while kept.len() < count {
            match TcpStream::connect(address) {
                Ok(stream) => kept.push(stream),
                Err(error) => assert!(Instant::now() < until, "{address}: {error}"),
            }
        }
        kept
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Addresses that were free a moment ago.
fn free() -> [SocketAddr; 5] {
    let listeners =
        [(); 5].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

/// The answer to a request on a connection of its own; empty if it was closed.
fn message(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    // One that is closed shows by the answer that is missing.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn ready_is_told_while_peers_keep_connections() {
    // Symptom: the balancer takes an entry VM away that runs and is asked most.
    // Sequence: a pool is busy, and the entry VMs ask its owner about jobs; each
    //   keeps the connections that it used; the balancer opens one more.
    // Cause: what listens for the balancer and what listens for peers shared one
    //   bound, and what came past it was closed.
    let daemon = Daemon::start("ready");
    let _kept = daemon.keep(daemon.peers, KEPT);
    let answer = message(
        daemon.readiness,
        "GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}

#[test]
fn peer_is_answered_while_others_keep_connections() {
    // Symptom: a pool's owner answers nobody for as long as its queue is busy;
    //   each question about a job costs two reads of the store, and no VMs are sent
    //   to the pool.
    // Sequence: as above, and another entry VM asks.
    // Cause: the bound was that of a handful of entry VMs.
    let daemon = Daemon::start("peer");
    let _kept = daemon.keep(daemon.peers, KEPT);
    let body = r#"{"ask":"state","pool":"alpha","id":"5c0e7a21d94b36f8"}"#;
    let head = "POST /peer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    let answer =
        message(daemon.peers, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    assert!(answer.contains("not-owner"), "{answer:?}");
}
