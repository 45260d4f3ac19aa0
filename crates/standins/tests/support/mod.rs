//! An HTTP client and bounded waits.

#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Longer than an operation takes on a machine under load.
pub const LONG: Duration = Duration::from_secs(20);

pub struct Http(ureq::Agent, SocketAddr);

impl Http {
    pub fn new(to: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
        Self(config.timeout_global(Some(LONG)).build().into(), to)
    }

    /// Returns the status and body, or `None` without a complete response.
    pub fn get(&self, path: &str) -> Option<(u16, Value)> {
        let request = self.0.get(format!("http://{}{path}", self.1)).header("Caller", "test");
        parse(request.call().ok()?)
    }

    pub fn post(&self, path: &str, body: &str) -> Option<(u16, Value)> {
        parse(self.0.post(format!("http://{}{path}", self.1)).send(body).ok()?)
    }

    /// Sends a request to a runner and returns the status, the reason of a refusal,
    /// the response's id and the body.
    pub fn run(&self, path: &str, id: &str) -> Option<(u16, String, String, Vec<u8>)> {
        let request = self.0.get(format!("http://{}{path}", self.1)).header("Request-Id", id);
        let mut response = request.call().ok()?;
        let header =
            |name| response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
        let (reason, id) = (header("not-run").to_owned(), header("request-id").to_owned());
        let body = response.body_mut().read_to_vec().ok()?;
        Some((response.status().as_u16(), reason, id, body))
    }
}

fn parse(mut response: ureq::http::Response<ureq::Body>) -> Option<(u16, Value)> {
    let body = response.body_mut().read_to_vec().ok()?;
    Some((response.status().as_u16(), serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

pub fn local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Polls until there is a value. Panics after [`LONG`].
pub fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + LONG;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
