//! Tests of the proxy as a process, between a caller and backend servers.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use corianderfork_provider::record::Phase;
use support::fleet::{Fleet, new_key, until};
use support::{LONG_TIMEOUT, send_raw};

#[test]
fn serve_ignores_proxy_variables() {
    // Proxy variables in the environment must be ignored. HTTP clients read them by
    // default and would send every request to another server.
    let env_proxy = TcpListener::bind("127.0.0.1:0").unwrap();
    env_proxy.set_nonblocking(true).unwrap();
    let url = format!("http://{}", env_proxy.local_addr().unwrap());
    let variables = ["http_proxy", "HTTP_PROXY", "ALL_PROXY"].map(|name| format!("{name}={url}"));
    let fleet = Fleet::start("environment", &["v01", "v02"]);
    fleet.serve();
    let proxy = fleet.proxy_with_env("e1", "", &variables.each_ref().map(String::as_str));
    until(|| proxy.serves());
    let key = new_key();
    let response = proxy.transfer_soon("t-1", &key);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(fleet.runs(&key), 1);
    assert!(env_proxy.accept().is_err(), "a request went to the proxy of the environment");
}

#[test]
fn transfer_retried_runs_once() {
    // A transfer must run only once even if its response is lost and the caller retries
    // at the same and at another entry VM; otherwise a member is billed twice. Duplicates
    // known in the memory of one process do not suffice.
    let fleet = Fleet::start("again", &["v01", "v02"]);
    fleet.serve();
    let (e1, e2) = (fleet.proxy("e1", ""), fleet.proxy("e2", ""));
    until(|| e1.serves() && e2.serves());
    for _ in 0..8 {
        let key = new_key();
        let first = e1.transfer_soon("t-1", &key);
        assert!(first.contains("Outcome: answered"), "{first}");
        let retry = e1.transfer("t-2", &key);
        assert!(
            retry.contains("Outcome: answered") && retry.contains("Request-Id: t-2"),
            "{retry}"
        );
        let other = e2.transfer("t-3", &key);
        assert!(other.starts_with("HTTP/1.1 409"), "{other}");
        assert!(other.contains("Outcome: unknown"), "{other}");
        assert_eq!(fleet.runs(&key), 1);
    }
}

#[test]
fn transfer_with_lost_response_stays_unknown() {
    // A backend server that dies after it ran a transfer leaves the outcome unknown. The
    // attempt must not be abandoned like one that was never sent, or the transfer would
    // run again.
    let fleet = Fleet::start("lost", &["v01"]);
    fleet.serve();
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    assert!(e1.transfer_soon("t-0", &new_key()).contains("Outcome: answered"));
    fleet.behave("{\"die_after_run\":1}");
    let key = new_key();
    let first = e1.transfer("t-1", &key);
    assert!(first.starts_with("HTTP/1.1 502") && first.contains("Outcome: unknown"), "{first}");
    let again = e1.transfer("t-2", &key);
    assert!(again.starts_with("HTTP/1.1 409") && again.contains("Duplicate: taken"), "{again}");
    assert_eq!(fleet.runs(&key), 1);
}

#[test]
fn bad_input_is_answered_without_crash() {
    // Malformed or endless requests must not end the process, in particular a
    // Content-Length of an exabyte, for which the HTTP library would allocate memory.
    let fleet = Fleet::start("bad-input", &["v01"]);
    fleet.serve();
    let proxy = fleet.proxy("e1", "max_body_bytes = 2000");
    until(|| proxy.serves());
    let id = "Request-Id: r-1\r\n";
    let long = "x".repeat(9000);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), "400", ""),
        ("GET /transfer HTTP/1.1\r\nbroken\r\n\r\n".to_owned(), "400", ""),
        ("GET /transfer HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(), "400", "Request-Id"),
        (format!("GET /nothing HTTP/1.1\r\n{id}Connection: close\r\n\r\n"), "404", "`nothing`"),
        (
            format!("POST /transfer HTTP/1.1\r\n{id}Content-Length: 9000\r\n\r\n{long}"),
            "413",
            "more than 2000",
        ),
        (
            format!(
                "POST /transfer HTTP/1.1\r\n{id}Content-Length: 9000\r\nExpect: 100-continue\r\n\r\n"
            ),
            "413",
            "more than 2000",
        ),
        (
            format!("POST /transfer HTTP/1.1\r\n{id}Content-Length: 999999999999999999\r\n\r\n"),
            "413",
            "more than 2000",
        ),
        (
            "POST /transfer HTTP/1.1\r\nContent-Length: 999999999999999999\r\n\r\n".to_owned(),
            "400",
            "Request-Id",
        ),
        (
            "POST /-/live HTTP/1.1\r\nContent-Length: 999999999999999999\r\n\r\n".to_owned(),
            "200",
            "live",
        ),
        (
            format!(
                "POST /transfer HTTP/1.1\r\n{id}Transfer-Encoding: chunked\r\n\r\n\
                 2328\r\n{long}\r\n0\r\n\r\n"
            ),
            "413",
            "more than 2000",
        ),
    ];
    for (text, status, expected) in cases {
        let mut stream = TcpStream::connect(proxy.callers).unwrap();
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut response = String::new();
        let status = format!("HTTP/1.1 {status}");
        // If the body is not read, only the caller closes the connection.
        while !(response.contains(&status)
            && response.contains(expected)
            && response.contains("\r\n\r\n"))
        {
            let mut part = [0; 4096];
            let read = stream.read(&mut part).expect(&response);
            assert!(
                read > 0,
                "`{text:.60}` was answered `{response}`, not {status} and `{expected}`"
            );
            response += &String::from_utf8_lossy(&part[..read]);
        }
    }
    assert!(proxy.serves());
    assert!(fleet.runs("r-1") > 0);
}

#[test]
fn start_without_store_loads_config_from_peer() {
    // A process that starts during an outage of the store must get configuration and
    // records from a peer; otherwise a replaced entry VM is unusable until the store is
    // back.
    let fleet = Fleet::start("from-peer", &["v01"]);
    fleet.serve();
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    fleet.fault("{\"down\":true}");
    let without_seed = fleet.proxy("e2", "");
    let with_seed = fleet.proxy("e3", &format!("seeds = {}", e1.peers));
    until(|| with_seed.serves());
    assert!(with_seed.is_ready());
    let response = without_seed.get("/-/ready");
    assert!(
        response.starts_with("HTTP/1.1 503") && response.contains("no configuration"),
        "{response}"
    );
    let refused = without_seed.get("/transfer/wb-1");
    assert!(refused.contains("Outcome: not-run") && refused.contains("Retry-After: "), "{refused}");
    // Claims require the store: a transfer is refused at once and not run.
    let key = new_key();
    let transfer = e1.transfer("t-1", &key);
    assert!(transfer.contains("Outcome: not-run"), "{transfer}");
    assert_eq!(fleet.runs(&key), 0);
}

#[test]
fn isolation_stops_service_until_contact() {
    // A proxy that is cut off from the store and from most members must stop serving: its
    // records may be outdated, and work could reach a VM that a controller considers
    // released.
    let fleet = Fleet::start("isolation", &["v01"]);
    fleet.add_unreachable_proxy("x1");
    fleet.add_unreachable_proxy("x2");
    fleet.serve();
    let e1 = fleet.proxy("e1", "isolation_limit_ms = 2500");
    until(|| e1.serves());
    fleet.fault("{\"down\":true}");
    until(|| !e1.is_ready());
    let refused = e1.get("/transfer/wb-1");
    assert!(refused.contains("Outcome: not-run") && refused.contains("cut off"), "{refused}");
    fleet.fault("{\"down\":false}");
    until(|| e1.is_ready() && e1.serves());
}

#[test]
fn stop_answers_requests_in_flight() {
    // A planned stop must not cut off requests in flight, even if SIGTERM arrives twice.
    let fleet = Fleet::start("stop", &["v01"]);
    fleet.serve();
    let mut e1 = fleet.proxy("e1", "stop_grace_ms = 500");
    until(|| e1.serves());
    fleet.behave("{\"late_ms\":2000}");
    let to = e1.callers;
    let ask =
        |id: &str| format!("GET /transfer/wb-1 HTTP/1.1\r\nRequest-Id: {id}\r\n\r\n").into_bytes();
    let first = ask("in-flight");
    let caller = thread::spawn(move || send_raw(to, &first));
    until(|| fleet.runs("in-flight") == 1);
    e1.process.term().unwrap();
    until(|| !e1.is_ready());
    e1.process.term().unwrap();
    // Still answered, and the caller is asked to open a new connection next time.
    let during = send_raw(to, &ask("during"));
    assert!(during.contains("Connection: close"), "{during}");
    let response = caller.join().unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let status = e1.process.wait(LONG_TIMEOUT).unwrap().expect("the process has ended");
    assert!(status.success(), "{status}");
}

#[test]
fn drain_is_confirmed_only_with_nothing_in_flight() {
    // A drain must not be confirmed while a request is in flight: that no new requests
    // are sent is not enough, since the VM would be rebooted and the request cut off.
    let fleet = Fleet::start("drain", &["v01", "v02"]);
    fleet.configure();
    fleet.vm("v01", Phase::Serving, 0);
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    let peer = support::peer::Peer::start();
    fleet.behave("{\"late_ms\":3000}");
    let to = e1.callers;
    let text = b"GET /transfer/wb-1 HTTP/1.1\r\nRequest-Id: slow\r\nConnection: close\r\n\r\n";
    let caller = thread::spawn(move || send_raw(to, text));
    until(|| fleet.runs("slow") == 1);
    fleet.vm("v02", Phase::Serving, 0);
    fleet.vm("v01", Phase::Draining, 1);
    until(|| peer.report(e1.peers).leaving.iter().any(|leaving| leaving.vm == "v01"));
    // The confirmation is about the backend server, so check there; the caller may read
    // its response later. No new request arrives, so a request in flight after the report
    // was also in flight when the report was made.
    let mut checks = 0;
    loop {
        let confirmed = peer.has_acked(e1.peers, "v01", 1);
        if fleet.in_flight("v01") == 0 {
            break;
        }
        assert!(!confirmed, "confirmed with a request in flight");
        checks += 1;
    }
    assert!(checks > 0, "no check was made while the request was in flight");
    let response = caller.join().unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    until(|| peer.has_acked(e1.peers, "v01", 1));
    assert!(!peer.has_acked(e1.peers, "v01", 2));
    fleet.behave("{\"late_ms\":0}");
    until(|| e1.serves());
}

#[test]
fn refusal_as_leaving_is_retried_and_reported() {
    // A refusal as leaving must be reported to peers. Otherwise the leaving backend
    // server gets new work from other proxies until its record says so.
    let fleet = Fleet::start("leaving", &["v01", "v02"]);
    fleet.serve();
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    let peer = support::peer::Peer::start();
    send_raw(
        fleet.admin,
        b"POST /_leave HTTP/1.1\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"vm\":\"v01\"}",
    );
    until(|| {
        let response = e1.get("/transfer/wb-1");
        assert!(response.contains("Outcome: answered"), "{response}");
        let leaving = peer.report(e1.peers).leaving;
        leaving.iter().any(|leaving| leaving.vm == "v01" && leaving.epoch == 0)
    });
}
