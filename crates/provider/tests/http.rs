//! The client over real connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Barrier;
use std::time::Duration;

use corianderfork_provider::http::{Client, Config};
use corianderfork_provider::store::{Error, Expect, Store};
use corianderfork_standins::platform;

/// Idle connections that have gone silent.
const SILENT: usize = 4;

fn platform() -> (SocketAddr, impl Sized) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = platform::start(listener, platform::Config::default()).expect("starts");
    (server.address(), server)
}

fn fault(address: SocketAddr, body: &str) {
    let sent = ureq::post(format!("http://{address}/_fault")).send(body);
    assert!(sent.expect("accepted").status().is_success());
}

#[test]
fn client_forgets_all_silent_connections_at_once() {
    // Symptom: a controller loses its lease though the store is well.
    // Sequence: idle connections go silent; the next call times out, and so
    // does each one after it until the last of them is found out.
    // Cause: only the connection of the call that failed is given up.
    let (address, _server) = platform();
    let client = Client::new(Config::new(address).timeout(Duration::from_secs(1)));
    fault(address, r#"{"slow_ms":100}"#);
    let start = Barrier::new(SILENT);
    std::thread::scope(|scope| {
        for _ in 0..SILENT {
            scope.spawn(|| {
                start.wait();
                client.get("k").expect("slow but up");
            });
        }
    });
    fault(address, r#"{"slow_ms":0,"silent":true}"#);
    assert!(matches!(client.get("k"), Err(Error::Unknown(_))));
    client.get("k").expect("a new connection");
}

#[test]
fn client_lost_answer_is_unknown_and_can_be_read_back() {
    // Symptom: a write is made twice, or given up though it took effect.
    // Sequence: the write takes effect and its answer is lost.
    // Cause: no answer is taken for not written.
    let (address, _server) = platform();
    let client = Client::new(Config::new(address).timeout(Duration::from_secs(1)));
    fault(address, r#"{"lose_answers":1}"#);
    let lost = client.put("k", "v", Expect::Absent, None).expect_err("the answer is lost");
    assert!(lost.may_have_applied(), "{lost}");
    let found = client.get("k").expect("up").entry.expect("written");
    assert_eq!(found.value, "v");
}

#[test]
fn client_store_down_is_unavailable() {
    let (address, _server) = platform();
    let client = Client::new(Config::new(address));
    fault(address, r#"{"down":true}"#);
    let error = client.put("k", "v", Expect::Absent, None).expect_err("down");
    assert!(matches!(error, Error::Unavailable(_)), "{error}");
    assert!(!error.may_have_applied());
}

#[test]
fn client_too_large_value_is_refused_before_it_is_sent() {
    let (address, _server) = platform();
    let client = Client::new(Config::new(address));
    let value = "x".repeat((1 << 20) + 1);
    let error = client.put("k", &value, Expect::Absent, None).expect_err("too large");
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
}

#[test]
fn client_answer_that_is_no_protocol_is_malformed() {
    // Symptom: a controller takes an empty fleet for the truth and acts on it.
    // Sequence: the platform's address is that of another service, which
    // answers 200 with a text of its own.
    // Cause: what does not parse is taken for nothing there.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        }
    });
    let client = Client::new(Config::new(address));
    assert!(matches!(client.range("shared/"), Err(Error::Malformed(_))));
    let error = client.put("k", "v", Expect::Absent, None).expect_err("no protocol");
    assert!(error.may_have_applied(), "{error}");
}
