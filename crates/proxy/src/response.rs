//! What a caller gets: the backend server's whole answer, or a clear text.

use std::io::Write;
use std::time::Duration;

use corianderfork_routing::outcome::{Doubt, Refusal};

use crate::request::{self, Header};

/// The header that says how the request ended.
pub const OUTCOME: &str = "Outcome";
/// The header that says when to come back, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";

/// How a request ended, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller has the whole answer.
    Answered,
    /// The request was not run and won't be.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The value of [`OUTCOME`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    outcome: Outcome,
    headers: Vec<Header>,
    body: Vec<u8>,
    /// The length to state; differs from that of `body` for HEAD.
    length: usize,
}

impl Answer {
    /// A backend server's whole answer.
    pub fn whole(status: u16, headers: Vec<Header>, body: Vec<u8>, length: usize) -> Self {
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

    /// A plain page, such as metrics.
    pub fn page(status: u16, text: String) -> Self {
        let mut answer = Self::text(status, Outcome::Answered, "");
        answer.length = text.len();
        answer.body = text.into_bytes();
        answer
    }

    /// Not run, since the request itself cannot be taken.
    pub fn bad(error: &request::Error) -> Self {
        let answer = Self::text(error.status(), Outcome::NotRun, &error.to_string());
        if *error == request::Error::Busy { answer.header(RETRY_AFTER, "1") } else { answer }
    }

    /// Not run, since no such service is configured.
    pub fn no_service(service: &str) -> Self {
        let text =
            format!("no service is called `{service}`; look at `corianderctl show services`");
        Self::text(404, Outcome::NotRun, &text)
    }

    /// Not run; to come back after a time.
    pub fn not_run(why: &str, retry_after: Duration) -> Self {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        Self::text(503, Outcome::NotRun, why).header(RETRY_AFTER, seconds.to_string())
    }

    /// Not run: refused by a decision of the router.
    pub fn refused(refusal: &Refusal) -> Self {
        Self::not_run(&refusal.why.to_string(), refusal.retry_after)
    }

    /// Not run, since the id is of a time to come.
    pub fn invalid_key() -> Self {
        let text = "the Idempotency-Key was issued in the future; set the caller's clock";
        Self::text(400, Outcome::NotRun, text)
    }

    /// May have run: nobody can tell.
    pub fn unknown(doubt: Doubt) -> Self {
        let status = if doubt == Doubt::Timeout { 504 } else { 502 };
        Self::text(status, Outcome::Unknown, &doubt.to_string())
    }

    /// May have run: the answer is larger than this proxy holds.
    pub fn too_large(limit: usize) -> Self {
        let text = format!(
            "the backend server's answer has more than {limit} bytes; ask for less, \
             or raise max_answer_bytes"
        );
        Self::text(502, Outcome::Unknown, &text)
    }

    /// Not run now, since the id was taken by another attempt. `done` says that
    /// it ran to its end; else its outcome is not known.
    pub fn duplicate(done: bool) -> Self {
        let (state, text) = if done {
            ("done", "the id was run and answered before; look for its effect, do not send it anew")
        } else {
            ("taken", "another attempt has the id and may have run it; look for its effect")
        };
        Self::text(409, Outcome::Unknown, text).header("Duplicate", state)
    }

    /// May have run: the id is older than ids are remembered.
    pub fn expired() -> Self {
        let text = "the id is too old to tell whether it was run; look for its effect";
        Self::text(410, Outcome::Unknown, text)
    }

    /// How the request ended.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Bytes held in memory, roughly.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// Sets the id that is told to the caller.
    #[must_use]
    pub fn of_request(mut self, id: &str) -> Self {
        self.headers.retain(|(name, _)| !name.eq_ignore_ascii_case(request::REQUEST_ID));
        self.header(request::REQUEST_ID, id)
    }

    /// Writes the answer in one piece. With `close`, it tells the caller to
    /// open a new connection for its next request; tiny_http's own responses
    /// cannot say so, and a stopping proxy that never says it leaves callers
    /// with a reset on a request that they cannot tell from a run one.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn write(&self, mut to: impl Write, is_head: bool, close: bool) -> std::io::Result<()> {
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
        to.write_all(&out)?;
        to.flush()
    }
}
