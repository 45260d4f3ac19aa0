//! Responses to callers: the complete response of a backend server, or a text that says
//! what happened.

use std::io::Write;
use std::time::Duration;

use corianderfork_routing::outcome::{Doubt, Refusal};

use crate::request::{self, Header};

/// The response header with the [`Outcome`].
pub const OUTCOME: &str = "Outcome";
/// The response header with the time until a retry, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";

/// How a request ended, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The response is the complete response of the backend server.
    Answered,
    /// The request was not run and will not be run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header [`OUTCOME`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    status: u16,
    outcome: Outcome,
    headers: Vec<Header>,
    body: Vec<u8>,
    /// The value of `Content-Length`; differs from the length of `body` for HEAD.
    length: usize,
}

impl Response {
    /// Creates a response from the complete response of a backend server.
    pub fn from_backend(status: u16, headers: Vec<Header>, body: Vec<u8>, length: usize) -> Self {
        Self { status, outcome: Outcome::Answered, headers, body, length }
    }

    fn text(status: u16, outcome: Outcome, text: &str) -> Self {
        let body = format!("{}: {text}\n", outcome.as_str()).into_bytes();
        let headers = vec![("Content-Type".to_owned(), "text/plain; charset=utf-8".to_owned())];
        let length = body.len();
        Self { status, outcome, headers, body, length }
    }

    fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Creates a page of plain text, such as metrics.
    pub fn page(status: u16, text: String) -> Self {
        let mut response = Self::text(status, Outcome::Answered, "");
        response.length = text.len();
        response.body = text.into_bytes();
        response
    }

    /// Creates the response to a request that failed its checks; it was not run.
    pub fn bad_request(error: &request::Error) -> Self {
        let response = Self::text(error.status(), Outcome::NotRun, &error.to_string());
        if *error == request::Error::Busy { response.header(RETRY_AFTER, "1") } else { response }
    }

    /// Creates the response to a request for a service that is not configured; it was not
    /// run.
    pub fn unknown_service(service: &str) -> Self {
        let text =
            format!("no service is called `{service}`; look at `corianderctl show services`");
        Self::text(404, Outcome::NotRun, &text)
    }

    /// Creates a response for a request that was not run and may be retried after
    /// `retry_after`.
    pub fn not_run(why: &str, retry_after: Duration) -> Self {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        Self::text(503, Outcome::NotRun, why).header(RETRY_AFTER, seconds.to_string())
    }

    /// Creates a response for a request that the router refused.
    pub fn refused(refusal: &Refusal) -> Self {
        Self::not_run(&refusal.reason.to_string(), refusal.retry_after)
    }

    /// Creates the response to a request whose id has a timestamp in the future; it was
    /// not run.
    pub fn invalid_key() -> Self {
        let text = "the Idempotency-Key was issued in the future; set the caller's clock";
        Self::text(400, Outcome::NotRun, text)
    }

    /// Creates a response for a request that may have run.
    pub fn unknown(doubt: Doubt) -> Self {
        let status = if doubt == Doubt::Timeout { 504 } else { 502 };
        Self::text(status, Outcome::Unknown, &doubt.to_string())
    }

    /// Creates a response for a request that may have run and whose response exceeds
    /// `limit` bytes.
    pub fn too_large(limit: usize) -> Self {
        let text = format!(
            "the backend server's answer has more than {limit} bytes; ask for less, \
             or raise max_answer_bytes"
        );
        Self::text(502, Outcome::Unknown, &text)
    }

    /// Creates the response to a duplicate: another attempt claimed the id before. `done`
    /// says whether that attempt completed; otherwise its outcome is unknown.
    pub fn duplicate(done: bool) -> Self {
        let (state, text) = if done {
            ("done", "the id was run and answered before; look for its effect, do not send it anew")
        } else {
            ("taken", "another attempt has the id and may have run it; look for its effect")
        };
        Self::text(409, Outcome::Unknown, text).header("Duplicate", state)
    }

    /// Creates a response for an id older than the period for which ids are remembered;
    /// it may have run.
    pub fn expired() -> Self {
        let text = "the id is too old to tell whether it was run; look for its effect";
        Self::text(410, Outcome::Unknown, text)
    }

    /// Returns how the request ended.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the approximate size in memory, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// Sets the request id in the headers.
    #[must_use]
    pub fn with_request_id(mut self, id: &str) -> Self {
        self.headers.retain(|(name, _)| !name.eq_ignore_ascii_case(request::REQUEST_ID));
        self.header(request::REQUEST_ID, id)
    }

    /// Writes the response with a single write. `close` adds `Connection: close`, so that
    /// the caller opens a new connection for its next request. The responses of tiny_http
    /// cannot do that; without the header, the callers of a stopping proxy get a
    /// connection reset and cannot tell whether their request ran.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed the connection.
    pub fn write(&self, mut writer: impl Write, is_head: bool, close: bool) -> std::io::Result<()> {
        let status = ureq::http::StatusCode::from_u16(self.status).unwrap_or_default();
        let reason = status.canonical_reason().unwrap_or("Other");
        let mut out = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("{OUTCOME}: {}\r\n", self.outcome.as_str());
        let has_no_length = self.status < 200 || self.status == 204;
        if !has_no_length {
            out += &format!("Content-Length: {}\r\n", self.length);
        }
        if close {
            out += "Connection: close\r\n";
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        if !(is_head || has_no_length || self.status == 304) {
            out.extend_from_slice(&self.body);
        }
        writer.write_all(&out)?;
        writer.flush()
    }
}
