//! One try at a backend server: sends the request, reads the complete response and checks
//! that it belongs to this request.
//!
//! Everything that the HTTP library does by itself is disabled, because it would silently
//! break guarantees: following a redirect or a proxy variable sends the body to an
//! unintended server, and a resend after a stale pooled connection runs the request
//! twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use corianderfork_routing::outcome::{Attempt, Doubt, Rejection};
use ureq::http;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, TcpConnector};

use crate::request::{IDEMPOTENCY_KEY, REQUEST_ID, Request, end_to_end_headers};
use crate::response::Response;
use crate::transport::{Recorder, WriteProbe};

/// The header by which a backend server guarantees that nothing ran.
const NOT_RUN: &str = "not-run";
/// The maximum idle time of a pooled connection: shorter than a wave of drains, so that a
/// proxy that has not learned of a drain keeps no connection to the VM.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Limits of a try.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connect_timeout: Duration,
    max_response: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_millis(500), max_response: 8 << 20 }
    }
}

impl Config {
    /// Sets the connect timeout. Default 500 ms.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum size of a response, in bytes. Default 8 MiB.
    #[must_use]
    pub fn max_response(mut self, bytes: usize) -> Self {
        self.max_response = bytes;
        self
    }
}

/// The outcome of a try: a result for the router, and a response if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How the try ended.
    pub attempt: Attempt,
    /// The complete response for [`Attempt::Answered`] and [`Attempt::Failed`], or the
    /// text of a doubt that `attempt` does not describe fully.
    pub response: Option<Response>,
}

impl Outcome {
    fn without_response(attempt: Attempt) -> Self {
        Self { attempt, response: None }
    }

    fn unknown(doubt: Doubt) -> Self {
        Self::without_response(Attempt::Unknown(doubt))
    }
}

/// Sends requests to backend servers and pools connections.
#[derive(Debug)]
pub struct Client {
    config: Config,
    /// One agent per address, so that the connections to one address can be closed.
    agents: Mutex<HashMap<SocketAddr, ureq::Agent>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(config: Config) -> Self {
        Self { config, agents: Mutex::default() }
    }

    /// Tries `request` at `to` until `deadline`. At most `idle` idle connections to `to`
    /// are kept afterwards.
    ///
    /// A non-idempotent request uses a new connection: the backend server may have closed
    /// a pooled one, and then it is unknown whether the request reached it before.
    pub fn exchange(
        &self,
        to: SocketAddr,
        request: &Request,
        deadline: Instant,
        idle: usize,
    ) -> Outcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Outcome::without_response(Attempt::NotSent);
        }
        let outcome = match request.claim {
            Some(_) => self.send_unpooled(to, request, remaining),
            None => self.send_pooled(to, request, remaining, idle),
        };
        if matches!(outcome.attempt, Attempt::Unknown(_)) {
            // Other connections to the address may also carry late or mismatched
            // responses, and a connection that went silent is often not the only one.
            self.close_idle(to);
        }
        outcome
    }

    /// Closes all idle connections to `to`.
    pub fn close_idle(&self, to: SocketAddr) {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    /// Closes all idle connections except those to addresses for which `keep` returns
    /// true.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        agents.retain(|address, _| keep(address));
    }

    fn send_unpooled(&self, to: SocketAddr, request: &Request, remaining: Duration) -> Outcome {
        let probe = Arc::new(WriteProbe::default());
        let agent = self.agent(0, &probe);
        match self.send(&agent, to, request, remaining) {
            Ok(outcome) => outcome,
            Err(_) if !probe.was_sent() => Outcome::without_response(Attempt::NotSent),
            Err(error) => Outcome::unknown(classify_doubt(&error)),
        }
    }

    fn send_pooled(
        &self,
        to: SocketAddr,
        request: &Request,
        remaining: Duration,
        idle: usize,
    ) -> Outcome {
        let agent = {
            let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
            let new_agent = || self.agent(idle, &Arc::new(WriteProbe::default()));
            agents.entry(to).or_insert_with(new_agent).clone()
        };
        match self.send(&agent, to, request, remaining) {
            Ok(outcome) => outcome,
            Err(error) if is_connect_error(&error) => Outcome::without_response(Attempt::NotSent),
            Err(error) => Outcome::unknown(classify_doubt(&error)),
        }
    }

    fn agent(&self, idle: usize, probe: &Arc<WriteProbe>) -> ureq::Agent {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .user_agent("")
            .accept("")
            .accept_encoding("")
            .allow_non_standard_methods(true)
            .timeout_connect(Some(self.config.connect_timeout))
            .max_idle_connections(idle)
            .max_idle_connections_per_host(idle)
            .max_idle_age(MAX_IDLE_AGE)
            .build();
        let connector = TcpConnector::default().chain(Recorder::new(Arc::clone(probe)));
        ureq::Agent::with_parts(config, connector, DefaultResolver::default())
    }

    fn send(
        &self,
        agent: &ureq::Agent,
        to: SocketAddr,
        request: &Request,
        remaining: Duration,
    ) -> Result<Outcome, ureq::Error> {
        let mut message = http::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{to}{}", request.path));
        for (name, value) in &request.headers {
            message = message.header(name, value);
        }
        let message = message.body(request.body.clone()).map_err(ureq::Error::Http)?;
        let message = agent.configure_request(message).timeout_global(Some(remaining)).build();
        let response = if request.body.is_empty() {
            agent.run(message.map(|_| ()))?
        } else {
            agent.run(message)?
        };
        self.read(request, response)
    }

    /// Reads and checks the response. Dropping a response with an unread body closes its
    /// connection.
    fn read(
        &self,
        request: &Request,
        mut response: http::Response<ureq::Body>,
    ) -> Result<Outcome, ureq::Error> {
        let status = response.status().as_u16();
        let echoed = unique_header(response.headers(), REQUEST_ID);
        let not_run = unique_header(response.headers(), NOT_RUN);
        let is_own = echoed == Some(request.id.as_str());
        if let (503 | 421, Some(reason)) = (status, not_run)
            && (is_own || echoed.is_none())
        {
            return Ok(Outcome::without_response(Attempt::Rejected(parse_refusal(reason))));
        }
        if !is_own {
            return Ok(Outcome::unknown(Doubt::Mismatch));
        }
        let is_head = request.method == http::Method::HEAD;
        let has_no_body = is_head || status == 204 || status == 304;
        let length =
            unique_header(response.headers(), "content-length").and_then(|v| v.parse().ok());
        let length: usize = match length {
            Some(length) => length,
            None if has_no_body => 0,
            // Without a length, a truncated response looks like a complete one.
            None => return Ok(Outcome::unknown(Doubt::Truncated)),
        };
        if length > self.config.max_response && !has_no_body {
            let response = Some(Response::too_large(self.config.max_response));
            return Ok(Outcome { attempt: Attempt::Unknown(Doubt::Truncated), response });
        }
        let mut body = Vec::new();
        if !has_no_body {
            let limit = self.config.max_response as u64 + 1;
            body = response.body_mut().with_config().limit(limit).read_to_vec()?;
            if body.len() != length {
                return Ok(Outcome::unknown(Doubt::Truncated));
            }
        }
        let all = response.headers().iter();
        let all = all.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
        let all: Vec<(&str, &str)> = all.collect();
        let headers = end_to_end_headers(&all).into_iter().filter(is_for_caller).collect();
        let attempt = if status >= 500 { Attempt::Failed } else { Attempt::Answered };
        Ok(Outcome {
            attempt,
            response: Some(Response::from_backend(status, headers, body, length)),
        })
    }
}

/// Whether a header of the backend server may go to the caller; some are written only by
/// this proxy.
fn is_for_caller((name, _): &(String, String)) -> bool {
    let reserved = ["outcome", "duplicate", REQUEST_ID, IDEMPOTENCY_KEY];
    !reserved.iter().any(|header| name.eq_ignore_ascii_case(header))
}

/// Returns the value of a header that occurs exactly once.
fn unique_header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?.to_str().ok()?;
    if values.next().is_some() { None } else { Some(first) }
}

fn parse_refusal(reason: &str) -> Rejection {
    match reason {
        "leaving" => Rejection::Leaving,
        "not-here" => Rejection::NotHere,
        _ => Rejection::Busy,
    }
}

/// Whether the error can only come from opening a connection.
fn is_connect_error(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn classify_doubt(error: &ureq::Error) -> Doubt {
    use std::io::ErrorKind::{ConnectionReset, TimedOut, UnexpectedEof};
    match error {
        ureq::Error::Timeout(_) => Doubt::Timeout,
        ureq::Error::Io(error) if error.kind() == TimedOut => Doubt::Timeout,
        ureq::Error::Io(error) if error.kind() == ConnectionReset => Doubt::Reset,
        ureq::Error::Io(error) if error.kind() == UnexpectedEof => Doubt::Truncated,
        ureq::Error::Io(_) => Doubt::Reset,
        _ => Doubt::Truncated,
    }
}
