//! Tests of the client over real connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Barrier;
use std::time::Duration;

use corianderfork_provider::http::{Client, Config};
use corianderfork_provider::store::{Error, Expect, Store};
use corianderfork_standins::platform;

/// The number of idle connections that go silent.
const SILENT_CONNECTIONS: usize = 4;

fn start_platform() -> (SocketAddr, impl Sized) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = platform::start(listener, platform::Config::default()).expect("starts");
    (server.address(), server)
}

fn set_fault(address: SocketAddr, body: &str) {
    let response = ureq::post(format!("http://{address}/_fault")).send(body);
    assert!(response.expect("accepted").status().is_success());
}

#[test]
fn client_drops_all_silent_connections_at_once() {
    // Guards against a controller that loses its lease although the store is
    // up: several idle connections go silent, and if only the connection of a
    // failed call is dropped, each of the others costs one more timeout.
    let (address, _server) = start_platform();
    let client = Client::new(Config::new(address).timeout(Duration::from_secs(1)));
    set_fault(address, r#"{"slow_ms":100}"#);
    let start = Barrier::new(SILENT_CONNECTIONS);
    std::thread::scope(|scope| {
        for _ in 0..SILENT_CONNECTIONS {
            scope.spawn(|| {
                start.wait();
                client.get("k").expect("slow but up");
            });
        }
    });
    set_fault(address, r#"{"slow_ms":0,"silent":true}"#);
    assert!(matches!(client.get("k"), Err(Error::Unknown(_))));
    client.get("k").expect("a new connection");
}

#[test]
fn client_lost_response_is_unknown_and_can_be_read_back() {
    // Guards against repeating or giving up a write that was applied: its
    // response is lost, and a missing response counts as not written.
    let (address, _server) = start_platform();
    let client = Client::new(Config::new(address).timeout(Duration::from_secs(1)));
    set_fault(address, r#"{"lose_answers":1}"#);
    let lost = client.put("k", "v", Expect::Absent, None).expect_err("the response is lost");
    assert!(lost.may_have_applied(), "{lost}");
    let found = client.get("k").expect("up").entry.expect("written");
    assert_eq!(found.value, "v");
}

#[test]
fn client_store_down_is_unavailable() {
    let (address, _server) = start_platform();
    let client = Client::new(Config::new(address));
    set_fault(address, r#"{"down":true}"#);
    let error = client.put("k", "v", Expect::Absent, None).expect_err("down");
    assert!(matches!(error, Error::Unavailable(_)), "{error}");
    assert!(!error.may_have_applied());
}

#[test]
fn client_too_large_value_is_rejected_before_sending() {
    let (address, _server) = start_platform();
    let client = Client::new(Config::new(address));
    let value = "x".repeat((1 << 20) + 1);
    let error = client.put("k", &value, Expect::Absent, None).expect_err("too large");
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
}

#[test]
fn client_invalid_response_is_malformed() {
    // Guards against a controller that acts on an empty fleet: the platform's
    // address belongs to another service, which responds with status 200 and a
    // text, and a body that does not parse counts as an empty result.
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
    let error = client.put("k", "v", Expect::Absent, None).expect_err("invalid response");
    assert!(error.may_have_applied(), "{error}");
}
