//! One try at a backend server that behaves in every way it can.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use corianderfork_proxy::exchange::{Client, Config, End};
use corianderfork_proxy::request::{Head, Request};
use corianderfork_routing::outcome::{Attempt, Doubt, Rejection};
use support::{Act, GENEROUS, Saw, answer, server};

const KEY: (&str, &str) = ("Idempotency-Key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
const OWN: (&str, &str) = ("Request-Id", "r-1");

fn request(method: &str, headers: &[(&str, &str)], body: &str) -> Request {
    let header = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    let headers = [&[OWN], headers].concat().iter().map(header).collect();
    let head = Head { method: method.to_owned(), url: "/transfer/wb-1?x=1".to_owned(), headers };
    let mut request = head.check().unwrap();
    request.body = body.as_bytes().to_vec();
    request
}

fn lookup() -> Request {
    request("GET", &[], "")
}

fn transfer() -> Request {
    request("POST", &[KEY], "move")
}

fn send(client: &Client, to: SocketAddr, request: &Request) -> End {
    client.exchange(to, request, Instant::now() + GENEROUS, 4)
}

fn client() -> Client {
    Client::new(Config::default().max_answer(1000))
}

fn requests(seen: &[Saw]) -> usize {
    seen.iter().filter(|saw| matches!(saw, Saw::Request { .. })).count()
}

#[test]
fn exchange_redirect_is_not_followed() {
    // Symptom: a transfer runs at a server that nobody chose, or twice.
    // Sequence: the backend server answers a POST with 307 and a Location;
    // the client library sends the body there.
    // Cause: HTTP clients follow redirects unless told not to.
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    let location = format!("http://{}/transfer", elsewhere.local_addr().unwrap());
    let text = answer("307 Temporary Redirect", &[OWN, ("Location", &location)], "");
    let (to, seen) = server(vec![Act::Say(text.clone()), Act::Say(text)]);
    for request in [transfer(), lookup()] {
        let end = send(&client(), to, &request);
        assert_eq!(end.attempt, Attempt::Answered);
        assert_eq!(end.answer.unwrap().status(), 307);
    }
    assert!(elsewhere.accept().is_err(), "somebody came to the redirect's target");
    drop(seen);
}

#[test]
fn exchange_transfer_gets_a_connection_of_its_own() {
    // Symptom: a transfer is answered "unknown" although the server never saw
    // it, or the library sends it twice.
    // Sequence: a lookup leaves its connection in the pool; the server closes
    // it; the transfer is written to it and gets a reset.
    // Cause: a pooled connection may be dead, and a byte written to it can no
    // longer be accounted for.
    let ok = answer("200 OK", &[OWN], "done");
    let (to, seen) = server(vec![Act::Say(ok.clone()), Act::Say(ok)]);
    let client = client();
    assert_eq!(send(&client, to, &lookup()).attempt, Attempt::Answered);
    assert_eq!(send(&client, to, &transfer()).attempt, Attempt::Answered);
    let seen: Vec<Saw> = seen.try_iter().collect();
    assert_eq!(seen.iter().filter(|saw| **saw == Saw::Connection).count(), 2, "{seen:?}");
    assert_eq!(requests(&seen), 2);
}

#[test]
fn exchange_cut_after_the_request_is_sent_once() {
    // Symptom: one transfer runs twice.
    // Sequence: the server reads the request and closes without an answer; the
    // library takes the connection for stale and sends the request again.
    // Cause: a resend after a byte has left.
    for request in [transfer(), lookup()] {
        let ok = answer("200 OK", &[OWN], "first");
        let acts = vec![Act::Say(ok.clone()), Act::SayAndClose(String::new()), Act::Say(ok)];
        let (to, seen) = server(acts);
        let client = client();
        // Leaves a connection in the pool.
        assert_eq!(send(&client, to, &lookup()).attempt, Attempt::Answered);
        let end = send(&client, to, &request);
        assert!(matches!(end.attempt, Attempt::Unknown(_)), "{end:?}");
        assert_eq!(requests(&seen.try_iter().collect::<Vec<_>>()), 2);
    }
}

#[test]
fn exchange_wrong_answers_are_unknown_and_close_the_connection() {
    // Symptom: a caller gets another's answer, or half of its own.
    // Sequence: the server sends an answer with another id, without one, cut
    // short, without a length, too long, or none in time; the next request on
    // the connection gets what is left of it.
    // Cause: the answer is passed on unchecked, and the connection is pooled.
    let other = answer("200 OK", &[("Request-Id", "r-2")], "other's");
    let empty = answer("200 OK", &[("Request-Id", "r-2")], "");
    let none = answer("200 OK", &[], "whose?");
    let twice = answer("200 OK", &[OWN, ("Request-Id", "r-2")], "both's");
    let cut = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 9\r\n\r\nhal".to_owned();
    let endless = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nuntil it closes".to_owned();
    let long = answer("200 OK", &[OWN], &"x".repeat(1001));
    let cases = [
        (Act::Say(other), Doubt::Mismatch),
        (Act::Say(empty), Doubt::Mismatch),
        (Act::Say(none), Doubt::Mismatch),
        (Act::Say(twice), Doubt::Mismatch),
        (Act::SayAndClose(cut.clone()), Doubt::Truncated),
        (Act::SayAndClose(endless), Doubt::Truncated),
        (Act::Say(long), Doubt::Truncated),
        (Act::Hang(cut), Doubt::Timeout),
        (Act::Hang(String::new()), Doubt::Timeout),
    ];
    for (act, doubt) in cases {
        for request in [lookup(), transfer()] {
            let again = match &act {
                Act::Say(text) => Act::Say(text.clone()),
                Act::SayAndClose(text) => Act::SayAndClose(text.clone()),
                Act::Hang(text) => Act::Hang(text.clone()),
            };
            let (to, seen) = server(vec![again]);
            let client = client();
            let soon = if doubt == Doubt::Timeout { Duration::from_millis(300) } else { GENEROUS };
            let end = client.exchange(to, &request, Instant::now() + soon, 4);
            assert_eq!(end.attempt, Attempt::Unknown(doubt));
            let mut saw = seen.recv_timeout(GENEROUS).unwrap();
            while saw != Saw::Closed {
                saw = seen.recv_timeout(GENEROUS).expect("the connection is closed");
            }
        }
    }
}

#[test]
fn exchange_not_sent_only_if_no_byte_left() {
    // Symptom: a caller is told "not run", sends the transfer again, and it
    // runs twice.
    // Sequence: nobody listens, or somebody accepts and closes at once.
    // Cause: both look like a failed connection to a library's caller.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (to, _seen) = server(vec![]);
    for request in [lookup(), transfer()] {
        assert_eq!(send(&client(), closed, &request).attempt, Attempt::NotSent);
        let end = send(&client(), to, &request);
        assert!(matches!(end.attempt, Attempt::Unknown(_)), "{end:?}");
        let over = client().exchange(to, &request, Instant::now(), 4);
        assert_eq!(over.attempt, Attempt::NotSent);
    }
}

#[test]
fn exchange_refusal_needs_the_promise() {
    // Symptom: a caller is told "not run" of a request that ran.
    // Sequence: the backend server fails with 503 after it ran the request.
    // Cause: a status is taken for the promise that only `Not-Run` makes.
    let cases = [
        ("503 Busy", vec![("Not-Run", "busy")], Attempt::Rejected(Rejection::Busy)),
        ("503 Busy", vec![OWN, ("Not-Run", "leaving")], Attempt::Rejected(Rejection::Leaving)),
        ("421 No", vec![("Not-Run", "not-here")], Attempt::Rejected(Rejection::NotHere)),
        ("503 Busy", vec![OWN], Attempt::Failed),
        ("500 Broken", vec![OWN, ("Not-Run", "busy")], Attempt::Failed),
        ("503 Busy", vec![], Attempt::Unknown(Doubt::Mismatch)),
        (
            "503 Busy",
            vec![("Request-Id", "r-2"), ("Not-Run", "busy")],
            Attempt::Unknown(Doubt::Mismatch),
        ),
        ("404 No", vec![OWN], Attempt::Answered),
    ];
    for (status, headers, attempt) in cases {
        let (to, _seen) = server(vec![Act::Say(answer(status, &headers, "text"))]);
        assert_eq!(send(&client(), to, &transfer()).attempt, attempt, "{status} {headers:?}");
    }
}

#[test]
fn exchange_passes_on_what_is_for_the_other_end() {
    let own = [OWN, ("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "2"), ("Outcome", "lie")];
    let (to, seen) = server(vec![Act::Say(answer("200 OK", &own, "all"))]);
    let headers =
        [KEY, ("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "2"), ("Host", "h"), ("TE", "x")];
    let end = send(&client(), to, &request("POST", &headers, "body"));
    let mut out = Vec::new();
    end.answer.unwrap().write(&mut out, false, false).unwrap();
    let out = String::from_utf8(out).unwrap().to_ascii_lowercase();
    assert!(out.contains("x-end: 2") && out.ends_with("\r\n\r\nall"), "{out}");
    assert!(!out.contains("x-hop") && !out.contains("lie"), "{out}");
    let Some(Saw::Request { head, body }) = seen.iter().nth(1) else { panic!("no request") };
    let head = head.to_ascii_lowercase();
    assert!(head.starts_with("post /transfer/wb-1?x=1 http/1.1\r\n"), "{head}");
    assert!(head.contains("x-end: 2") && head.contains("request-id: r-1"), "{head}");
    assert!(head.contains("idempotency-key: 017f22e2"), "{head}");
    assert!(!head.contains("x-hop") && !head.contains("\nte:") && !head.contains("host: h\r"));
    assert_eq!(body, "body");
}

#[test]
fn exchange_bodies_of_any_method() {
    for method in ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"] {
        for body in ["", "some"] {
            let text = if method == "HEAD" { "" } else { "all" };
            let (to, seen) = server(vec![Act::Say(answer("200 OK", &[OWN], text))]);
            let end = send(&client(), to, &request(method, &[], body));
            assert_eq!(end.attempt, Attempt::Answered, "{method} with `{body}`");
            let Some(Saw::Request { body: got, .. }) = seen.iter().nth(1) else { panic!() };
            assert_eq!(got, body, "{method}");
        }
    }
}
