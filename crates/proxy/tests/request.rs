//! Validation of callers' requests.

use corianderfork_proxy::request::{Head, MAX_HEADERS, MAX_PATH};
use corianderfork_proxy::response::{Outcome, Response};

const ID: (&str, &str) = ("Request-Id", "r-1");

fn head(method: &str, url: &str, headers: &[(&str, &str)]) -> Head {
    let header = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    let headers = headers.iter().map(header).collect();
    Head { method: method.to_owned(), url: url.to_owned(), headers }
}

#[test]
fn check_bad_input_is_not_run_and_names_remedy() {
    let long_path = format!("/lookup/{}", "x".repeat(MAX_PATH));
    let long_value = "x".repeat(MAX_HEADERS);
    let long_id = "x".repeat(65);
    let v4 = ("Idempotency-Key", "9f3b3a52-7a5c-4f0a-8b5e-6f1b2a3c4d5e");
    let cases: Vec<(Head, u16, &str)> = vec![
        (head("GET", "/lookup", &[]), 400, "send 1 to 64"),
        (head("GET", "/lookup", &[("Request-Id", "")]), 400, "send another"),
        (head("GET", "/lookup", &[("Request-Id", "a b")]), 400, "send another"),
        (head("GET", "/lookup", &[("Request-Id", &long_id)]), 400, "send another"),
        (head("GET", "/lookup", &[ID, ("request-id", "r-2")]), 400, "send it once"),
        (head("POST", "/lookup", &[ID, ("Idempotency-Key", "x")]), 400, "not a UUID"),
        (head("POST", "/lookup", &[ID, v4]), 400, "version 7"),
        (head("POST", "/lookup", &[ID, v4, v4]), 400, "send it once"),
        (head("GET", "", &[ID]), 404, "/<service>/"),
        (head("GET", "*", &[ID]), 404, "/<service>/"),
        (head("GET", "/", &[ID]), 404, "/<service>/"),
        (head("GET", "/?q", &[ID]), 404, "/<service>/"),
        (head("GET", "http://e1/lookup", &[ID]), 404, "/<service>/"),
        (head("GET", "/two words", &[ID]), 404, "/<service>/"),
        (head("GET", "/lookup#part", &[ID]), 404, "/<service>/"),
        (head("GET", &long_path, &[ID]), 414, "at most 8192"),
        (head("GET", "/lookup", &[ID, ("X", &long_value)]), 431, "at most 32768"),
        (head("GET", "/lookup", &[ID, ("X", "a\u{1}b")]), 400, "send it right"),
        (head("GET", "/lookup", &[ID, ("X Y", "a")]), 400, "send it right"),
        (head("CONNECT", "/lookup", &[ID]), 501, "other than CONNECT"),
        (head("TRACE", "/lookup", &[ID]), 501, "other than CONNECT"),
        (head("G T", "/lookup", &[ID]), 501, "RFC 9110"),
        (head("POST", "/lookup", &[ID, ("Content-Length", "x")]), 400, "one Content-Length"),
        (head("POST", "/lookup", &[ID, ("Content-Length", "-1")]), 400, "one Content-Length"),
        (head("POST", "/lookup", &[ID, ("Transfer-Encoding", "gzip")]), 400, "or chunks"),
        (
            head("POST", "/lookup", &[ID, ("Content-Length", "1"), ("content-length", "1")]),
            400,
            "send it once",
        ),
        (
            head("POST", "/l", &[ID, ("Content-Length", "1"), ("Transfer-Encoding", "chunked")]),
            400,
            "not both",
        ),
        (
            head("POST", "/l", &[ID, ("Content-Length", "1"), ("Connection", "Upgrade")]),
            400,
            "send no Connection: upgrade",
        ),
    ];
    for (head, status, remedy) in cases {
        let error = head.check().expect_err(&format!("{} {}", head.method, head.url));
        assert!(error.to_string().contains(remedy), "`{error}` has no `{remedy}`");
        let response = Response::bad_request(&error);
        assert_eq!((response.status(), response.outcome()), (status, Outcome::NotRun), "{error}");
    }
}

#[test]
fn check_good_input() {
    let key = ("Idempotency-Key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    let headers = [("request-ID", "A.b_c-9"), key, ("Content-Length", "3")];
    let request = head("POST", "/transfer/wb-1?to=%20x", &headers).check().expect("valid request");
    assert_eq!(request.service.as_str(), "transfer");
    assert_eq!(request.path, "/transfer/wb-1?to=%20x");
    assert!(request.claim.is_some());
    let bare = head("GET", "/lookup?x", &[ID]).check().expect("valid request");
    assert_eq!(bare.service.as_str(), "lookup");
    assert!(bare.claim.is_none());
}
