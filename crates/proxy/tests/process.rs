//! The proxy as a process, between a caller and backend servers.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use corianderfork_provider::record::Phase;
use support::fleet::{Fleet, new_key, until};
use support::{GENEROUS, raw};

#[test]
fn serve_lookup_and_transfer_past_the_environments_proxy() {
    // Symptom: a body goes to a machine that nobody configured.
    // Sequence: the process starts with a proxy in its environment; the client
    // library sends every request there.
    // Cause: HTTP clients read proxy variables unless told not to.
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    let url = format!("http://{}", elsewhere.local_addr().unwrap());
    let variables = ["http_proxy", "HTTP_PROXY", "ALL_PROXY"].map(|name| format!("{name}={url}"));
    let fleet = Fleet::start("environment", &["v01", "v02"]);
    fleet.serve();
    let proxy = fleet.proxy_by("e1", "", &variables.each_ref().map(String::as_str));
    until(|| proxy.serves());
    let key = new_key();
    let answer = proxy.transfer_soon("t-1", &key);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(fleet.runs(&key), 1);
    assert!(elsewhere.accept().is_err(), "somebody came to the environment's proxy");
}

#[test]
fn transfer_asked_again_runs_once() {
    // Symptom: a member is billed twice.
    // Sequence: the answer to a transfer is lost; the caller asks again, here
    // and at another entry VM.
    // Cause: duplicates are known in one process's memory only.
    let fleet = Fleet::start("again", &["v01", "v02"]);
    fleet.serve();
    let (e1, e2) = (fleet.proxy("e1", ""), fleet.proxy("e2", ""));
    until(|| e1.serves() && e2.serves());
    for _ in 0..8 {
        let key = new_key();
        let first = e1.transfer_soon("t-1", &key);
        assert!(first.contains("Outcome: answered"), "{first}");
        let here = e1.transfer("t-2", &key);
        assert!(here.contains("Outcome: answered") && here.contains("Request-Id: t-2"), "{here}");
        let elsewhere = e2.transfer("t-3", &key);
        assert!(elsewhere.starts_with("HTTP/1.1 409"), "{elsewhere}");
        assert!(elsewhere.contains("Outcome: unknown"), "{elsewhere}");
        assert_eq!(fleet.runs(&key), 1);
    }
}

#[test]
fn transfer_with_a_lost_answer_stays_unknown() {
    // Symptom: a transfer that ran is told "not run", and runs again.
    // Sequence: the backend server runs it and dies before the answer.
    // Cause: the attempt is given up like one that was never sent.
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
fn bad_input_is_answered_and_nothing_crashes() {
    // Symptom: one caller's nonsense ends the process for all.
    // Sequence: requests that are malformed, endless, or announce a body of an
    // exabyte, for which the HTTP library would make room.
    // Cause: sizes that a caller states are believed.
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
    for (text, status, says) in cases {
        let mut stream = TcpStream::connect(proxy.callers).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut answer = String::new();
        let status = format!("HTTP/1.1 {status}");
        // The caller of a body that nobody reads has to close by itself.
        while !(answer.contains(&status) && answer.contains(says) && answer.contains("\r\n\r\n")) {
            let mut part = [0; 4096];
            let read = stream.read(&mut part).expect(&answer);
            assert!(read > 0, "`{text:.60}` was answered `{answer}`, not {status} and `{says}`");
            answer += &String::from_utf8_lossy(&part[..read]);
        }
    }
    assert!(proxy.serves());
    assert!(fleet.runs("r-1") > 0);
}

#[test]
fn start_without_store_takes_the_configuration_from_a_peer() {
    // Symptom: an entry VM that is replaced during an outage of the store
    // stays useless until the store is back.
    // Sequence: the store is down; a new process starts.
    // Cause: configuration and records are read from the store only.
    let fleet = Fleet::start("from-peer", &["v01"]);
    fleet.serve();
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    fleet.fault("{\"down\":true}");
    let lonely = fleet.proxy("e2", "");
    let fed = fleet.proxy("e3", &format!("seeds = {}", e1.peers));
    until(|| fed.serves());
    assert!(fed.is_ready());
    let answer = lonely.get("/-/ready");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("no configuration"), "{answer}");
    let refused = lonely.get("/transfer/wb-1");
    assert!(refused.contains("Outcome: not-run") && refused.contains("Retry-After: "), "{refused}");
    // Claims need the store: a transfer is refused at once, and not run.
    let key = new_key();
    let transfer = e1.transfer("t-1", &key);
    assert!(transfer.contains("Outcome: not-run"), "{transfer}");
    assert_eq!(fleet.runs(&key), 0);
}

#[test]
fn isolation_ends_service_until_contact_is_back() {
    // Symptom: work reaches a VM that a controller took for released.
    // Sequence: a proxy is cut off from the store and from most members; it
    // goes on with the records it has.
    // Cause: a view of unknown age is acted on for ever.
    let fleet = Fleet::start("isolation", &["v01"]);
    fleet.list_stranger("x1");
    fleet.list_stranger("x2");
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
fn stop_answers_what_is_in_flight() {
    // Symptom: a request is cut off by a planned stop, its outcome unknown.
    // Sequence: SIGTERM, twice, while a request is at a backend server.
    // Cause: the process ends before its answers are out.
    let fleet = Fleet::start("stop", &["v01"]);
    fleet.serve();
    let mut e1 = fleet.proxy("e1", "stop_grace_ms = 500");
    until(|| e1.serves());
    fleet.behave("{\"late_ms\":2000}");
    let to = e1.callers;
    let ask =
        |id: &str| format!("GET /transfer/wb-1 HTTP/1.1\r\nRequest-Id: {id}\r\n\r\n").into_bytes();
    let first = ask("in-flight");
    let caller = thread::spawn(move || raw(to, &first));
    until(|| fleet.runs("in-flight") == 1);
    e1.process.term().unwrap();
    until(|| !e1.is_ready());
    e1.process.term().unwrap();
    // Still answered, and told to open a new connection next time.
    let during = raw(to, &ask("during"));
    assert!(during.contains("Connection: close"), "{during}");
    let answer = caller.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let status = e1.process.wait(GENEROUS).unwrap().expect("it has ended");
    assert!(status.success(), "{status}");
}

#[test]
fn drain_is_confirmed_only_when_nothing_is_in_flight() {
    // Symptom: a request is cut off by the reboot of its VM.
    // Sequence: a VM drains while a request is there; the proxy says that it
    // sends nothing new, and the VM is rebooted.
    // Cause: "sends nothing new" is taken for "has nothing in flight".
    let fleet = Fleet::start("drain", &["v01", "v02"]);
    fleet.configure();
    fleet.vm("v01", Phase::Serving, 0);
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    let acks = support::peer::Asker::start();
    fleet.behave("{\"late_ms\":3000}");
    let to = e1.callers;
    let text = b"GET /transfer/wb-1 HTTP/1.1\r\nRequest-Id: slow\r\nConnection: close\r\n\r\n";
    let caller = thread::spawn(move || raw(to, text));
    until(|| fleet.runs("slow") == 1);
    fleet.vm("v02", Phase::Serving, 0);
    fleet.vm("v01", Phase::Draining, 1);
    until(|| acks.report(e1.peers).leaving.iter().any(|leaving| leaving.vm == "v01"));
    // What is promised is about the backend server, so that is where to look:
    // a caller may read its answer at any time later. Nothing new comes there,
    // so what is in flight after the report was in flight when it was made.
    let mut looks = 0;
    loop {
        let confirmed = acks.has_acked(e1.peers, "v01", 1);
        if fleet.in_flight("v01") == 0 {
            break;
        }
        assert!(!confirmed, "confirmed with a request in flight");
        looks += 1;
    }
    assert!(looks > 0, "nobody looked while the request was in flight");
    let answer = caller.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    until(|| acks.has_acked(e1.peers, "v01", 1));
    assert!(!acks.has_acked(e1.peers, "v01", 2));
    fleet.behave("{\"late_ms\":0}");
    until(|| e1.serves());
}

#[test]
fn refusal_as_leaving_goes_elsewhere_and_peers_hear_of_it() {
    // Symptom: a leaving backend server gets new work from other proxies.
    // Sequence: it refuses one proxy's work as leaving; no record says so yet.
    // Cause: what one proxy learned stays with it.
    let fleet = Fleet::start("leaving", &["v01", "v02"]);
    fleet.serve();
    let e1 = fleet.proxy("e1", "");
    until(|| e1.serves());
    let acks = support::peer::Asker::start();
    raw(
        fleet.admin,
        b"POST /_leave HTTP/1.1\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"vm\":\"v01\"}",
    );
    until(|| {
        let answer = e1.get("/transfer/wb-1");
        assert!(answer.contains("Outcome: answered"), "{answer}");
        let leaving = acks.report(e1.peers).leaving;
        leaving.iter().any(|leaving| leaving.vm == "v01" && leaving.epoch == 0)
    });
}
