//! Tries at a backend server that misbehaves.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use corianderfork_proxy::exchange::{Client, Config, Outcome};
use corianderfork_proxy::request::{Head, Request};
use corianderfork_routing::outcome::{Attempt, Doubt, Rejection};
use support::{Action, Event, LONG_TIMEOUT, response, server};

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

fn send(client: &Client, to: SocketAddr, request: &Request) -> Outcome {
    client.exchange(to, request, Instant::now() + LONG_TIMEOUT, 4)
}

fn client() -> Client {
    Client::new(Config::default().max_response(1000))
}

fn requests(events: &[Event]) -> usize {
    events.iter().filter(|event| matches!(event, Event::Request { .. })).count()
}

#[test]
fn exchange_redirect_not_followed() {
    // A redirect must not be followed. The backend server answers a POST with 307 and a
    // Location; HTTP clients follow redirects by default and would send the body to
    // another server, or run the transfer twice.
    let redirect_target = TcpListener::bind("127.0.0.1:0").unwrap();
    redirect_target.set_nonblocking(true).unwrap();
    let location = format!("http://{}/transfer", redirect_target.local_addr().unwrap());
    let text = response("307 Temporary Redirect", &[OWN, ("Location", &location)], "");
    let (to, events) = server(vec![Action::Reply(text.clone()), Action::Reply(text)]);
    for request in [transfer(), lookup()] {
        let outcome = send(&client(), to, &request);
        assert_eq!(outcome.attempt, Attempt::Answered);
        assert_eq!(outcome.response.unwrap().status(), 307);
    }
    assert!(redirect_target.accept().is_err(), "the redirect was followed");
    drop(events);
}

#[test]
fn exchange_transfer_uses_new_connection() {
    // A transfer must not use a pooled connection. The server may have closed it, and
    // after a reset it is unknown whether the transfer ran; the library may even send it
    // twice.
    let ok = response("200 OK", &[OWN], "done");
    let (to, events) = server(vec![Action::Reply(ok.clone()), Action::Reply(ok)]);
    let client = client();
    assert_eq!(send(&client, to, &lookup()).attempt, Attempt::Answered);
    assert_eq!(send(&client, to, &transfer()).attempt, Attempt::Answered);
    let events: Vec<Event> = events.try_iter().collect();
    assert_eq!(events.iter().filter(|event| **event == Event::Connection).count(), 2, "{events:?}");
    assert_eq!(requests(&events), 2);
}

#[test]
fn exchange_closed_without_response_sends_once() {
    // A request must not be sent again after a byte of it was sent. The server reads the
    // request and closes without a response; the library takes the connection for stale
    // and resends, so the transfer runs twice.
    for request in [transfer(), lookup()] {
        let ok = response("200 OK", &[OWN], "first");
        let actions = vec![
            Action::Reply(ok.clone()),
            Action::ReplyAndClose(String::new()),
            Action::Reply(ok),
        ];
        let (to, events) = server(actions);
        let client = client();
        // Leaves a connection in the pool.
        assert_eq!(send(&client, to, &lookup()).attempt, Attempt::Answered);
        let outcome = send(&client, to, &request);
        assert!(matches!(outcome.attempt, Attempt::Unknown(_)), "{outcome:?}");
        assert_eq!(requests(&events.try_iter().collect::<Vec<_>>()), 2);
    }
}

#[test]
fn exchange_wrong_response_is_unknown_and_closes_connection() {
    // A response with another id, without an id, truncated, without a length, too long or
    // too late must not reach the caller, and its connection must not be reused: the next
    // request would get the rest of it.
    let other = response("200 OK", &[("Request-Id", "r-2")], "other's");
    let empty = response("200 OK", &[("Request-Id", "r-2")], "");
    let none = response("200 OK", &[], "whose?");
    let twice = response("200 OK", &[OWN, ("Request-Id", "r-2")], "both's");
    let cut = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 9\r\n\r\nhal".to_owned();
    let endless = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nuntil it closes".to_owned();
    let long = response("200 OK", &[OWN], &"x".repeat(1001));
    let cases = [
        (Action::Reply(other), Doubt::Mismatch),
        (Action::Reply(empty), Doubt::Mismatch),
        (Action::Reply(none), Doubt::Mismatch),
        (Action::Reply(twice), Doubt::Mismatch),
        (Action::ReplyAndClose(cut.clone()), Doubt::Truncated),
        (Action::ReplyAndClose(endless), Doubt::Truncated),
        (Action::Reply(long), Doubt::Truncated),
        (Action::Hang(cut), Doubt::Timeout),
        (Action::Hang(String::new()), Doubt::Timeout),
    ];
    for (action, doubt) in cases {
        for request in [lookup(), transfer()] {
            let copy = match &action {
                Action::Reply(text) => Action::Reply(text.clone()),
                Action::ReplyAndClose(text) => Action::ReplyAndClose(text.clone()),
                Action::Hang(text) => Action::Hang(text.clone()),
            };
            let (to, events) = server(vec![copy]);
            let client = client();
            let timeout =
                if doubt == Doubt::Timeout { Duration::from_millis(300) } else { LONG_TIMEOUT };
            let outcome = client.exchange(to, &request, Instant::now() + timeout, 4);
            assert_eq!(outcome.attempt, Attempt::Unknown(doubt));
            let mut event = events.recv_timeout(LONG_TIMEOUT).unwrap();
            while event != Event::Closed {
                event = events.recv_timeout(LONG_TIMEOUT).expect("the connection is closed");
            }
        }
    }
}

#[test]
fn exchange_not_sent_requires_that_no_byte_left() {
    // A closed port and a server that accepts and closes at once both look like a failed
    // connection. Only the first may be reported as "not run": otherwise the caller
    // retries and the transfer runs twice.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (to, _events) = server(vec![]);
    for request in [lookup(), transfer()] {
        assert_eq!(send(&client(), closed, &request).attempt, Attempt::NotSent);
        let outcome = send(&client(), to, &request);
        assert!(matches!(outcome.attempt, Attempt::Unknown(_)), "{outcome:?}");
        let expired = client().exchange(to, &request, Instant::now(), 4);
        assert_eq!(expired.attempt, Attempt::NotSent);
    }
}

#[test]
fn exchange_refusal_requires_not_run_header() {
    // A status of 503 is no proof that nothing ran, because a backend server can fail
    // after it ran the request. Only the header `Not-Run` guarantees it.
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
        let (to, _events) = server(vec![Action::Reply(response(status, &headers, "text"))]);
        assert_eq!(send(&client(), to, &transfer()).attempt, attempt, "{status} {headers:?}");
    }
}

#[test]
fn exchange_forwards_end_to_end_headers() {
    let own = [OWN, ("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "2"), ("Outcome", "lie")];
    let (to, events) = server(vec![Action::Reply(response("200 OK", &own, "all"))]);
    let headers =
        [KEY, ("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "2"), ("Host", "h"), ("TE", "x")];
    let outcome = send(&client(), to, &request("POST", &headers, "body"));
    let mut out = Vec::new();
    outcome.response.unwrap().write(&mut out, false, false).unwrap();
    let out = String::from_utf8(out).unwrap().to_ascii_lowercase();
    assert!(out.contains("x-end: 2") && out.ends_with("\r\n\r\nall"), "{out}");
    assert!(!out.contains("x-hop") && !out.contains("lie"), "{out}");
    let Some(Event::Request { head, body }) = events.iter().nth(1) else { panic!("no request") };
    let head = head.to_ascii_lowercase();
    assert!(head.starts_with("post /transfer/wb-1?x=1 http/1.1\r\n"), "{head}");
    assert!(head.contains("x-end: 2") && head.contains("request-id: r-1"), "{head}");
    assert!(head.contains("idempotency-key: 017f22e2"), "{head}");
    assert!(!head.contains("x-hop") && !head.contains("\nte:") && !head.contains("host: h\r"));
    assert_eq!(body, "body");
}

#[test]
fn exchange_sends_body_with_any_method() {
    for method in ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"] {
        for body in ["", "some"] {
            let text = if method == "HEAD" { "" } else { "all" };
            let (to, events) = server(vec![Action::Reply(response("200 OK", &[OWN], text))]);
            let outcome = send(&client(), to, &request(method, &[], body));
            assert_eq!(outcome.attempt, Attempt::Answered, "{method} with `{body}`");
            let Some(Event::Request { body: got, .. }) = events.iter().nth(1) else { panic!() };
            assert_eq!(got, body, "{method}");
        }
    }
}
