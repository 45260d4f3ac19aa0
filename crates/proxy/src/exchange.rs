//! One try at a backend server: send the request, read the whole answer, check
//! that it is the answer to this request.
//!
//! What a client library does on its own would break promises silently, so all
//! of it is off: following a redirect or a proxy variable sends a body to a
//! place nobody chose, and a resend on a stale pooled connection runs it twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use corianderfork_routing::outcome::{Attempt, Doubt, Refused};
use ureq::http;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, TcpConnector};

use crate::request::{IDEMPOTENCY_KEY, REQUEST_ID, Request, pass_on};
use crate::response::Answer;
use crate::transport::{Probe, Watcher};

/// The header by which a backend server promises that nothing ran.
const NOT_RUN: &str = "not-run";
/// How long a pooled connection may be idle: shorter than a wave of drains, so
/// that none is kept to a VM of which no news came.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Limits of a try.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connect_timeout: Duration,
    max_answer: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_millis(500), max_answer: 8 << 20 }
    }
}

impl Config {
    /// How long a connection may take to open. Default 500 ms.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// The largest answer held, in bytes. Default 8 MiB.
    #[must_use]
    pub fn max_answer(mut self, bytes: usize) -> Self {
        self.max_answer = bytes;
        self
    }
}

/// What a try brought: a result for the router, and an answer if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// How it ended.
    pub attempt: Attempt,
    /// The whole answer, for [`Attempt::Answered`] and [`Attempt::Failed`], or
    /// the text of a doubt that the attempt alone does not tell.
    pub answer: Option<Answer>,
}

impl End {
    fn of(attempt: Attempt) -> Self {
        Self { attempt, answer: None }
    }

    fn doubt(doubt: Doubt) -> Self {
        Self::of(Attempt::Unknown(doubt))
    }
}

/// Sends requests to backend servers and keeps idle connections.
#[derive(Debug)]
pub struct Client {
    config: Config,
    /// One agent an address, so that an address's connections can be closed.
    agents: Mutex<HashMap<SocketAddr, ureq::Agent>>,
}

impl Client {
    /// A client without connections.
    pub fn new(config: Config) -> Self {
        Self { config, agents: Mutex::default() }
    }

    /// Tries `request` at `to` until `deadline`. `idle` bounds the connections
    /// kept open to `to` afterwards.
    ///
    /// A non-idempotent request gets a connection of its own: a pooled one may
    /// have been closed by the other side, and whether the request reached it
    /// before that can no longer be told.
    pub fn exchange(
        &self,
        to: SocketAddr,
        request: &Request,
        deadline: Instant,
        idle: usize,
    ) -> End {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::of(Attempt::NotSent);
        }
        let end = match request.claim {
            Some(_) => self.once(to, request, left),
            None => self.pooled(to, request, left, idle),
        };
        if matches!(end.attempt, Attempt::Unknown(_)) {
            // What is late or crossed on one connection may be so on others,
            // and a connection that went silent often isn't alone.
            self.forget(to);
        }
        end
    }

    /// Closes all idle connections to `to`.
    pub fn forget(&self, to: SocketAddr) {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    /// Closes all idle connections but those to addresses that `keep` wants.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        agents.retain(|address, _| keep(address));
    }

    fn once(&self, to: SocketAddr, request: &Request, left: Duration) -> End {
        let probe = Arc::new(Probe::default());
        let agent = self.agent(0, &probe);
        match self.call(&agent, to, request, left) {
            Ok(end) => end,
            Err(_) if !probe.was_sent() => End::of(Attempt::NotSent),
            Err(error) => End::doubt(doubt(&error)),
        }
    }

    fn pooled(&self, to: SocketAddr, request: &Request, left: Duration, idle: usize) -> End {
        let agent = {
            let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
            let new = || self.agent(idle, &Arc::new(Probe::default()));
            agents.entry(to).or_insert_with(new).clone()
        };
        match self.call(&agent, to, request, left) {
            Ok(end) => end,
            Err(error) if is_connect(&error) => End::of(Attempt::NotSent),
            Err(error) => End::doubt(doubt(&error)),
        }
    }

    fn agent(&self, idle: usize, probe: &Arc<Probe>) -> ureq::Agent {
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
        let connector = TcpConnector::default().chain(Watcher::new(Arc::clone(probe)));
        ureq::Agent::with_parts(config, connector, DefaultResolver::default())
    }

    fn call(
        &self,
        agent: &ureq::Agent,
        to: SocketAddr,
        request: &Request,
        left: Duration,
    ) -> Result<End, ureq::Error> {
        let mut built = http::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{to}{}", request.path));
        for (name, value) in &request.headers {
            built = built.header(name, value);
        }
        let built = built.body(request.body.clone()).map_err(ureq::Error::Http)?;
        let built = agent.configure_request(built).timeout_global(Some(left)).build();
        let response = if request.body.is_empty() {
            agent.run(built.map(|_| ()))?
        } else {
            agent.run(built)?
        };
        self.read(request, response)
    }

    /// Reads the answer and checks it. Dropping a response whose body was not
    /// read closes its connection.
    fn read(
        &self,
        request: &Request,
        mut response: http::Response<ureq::Body>,
    ) -> Result<End, ureq::Error> {
        let status = response.status().as_u16();
        let echoed = once(response.headers(), REQUEST_ID);
        let not_run = once(response.headers(), NOT_RUN);
        let is_own = echoed == Some(request.id.as_str());
        if let (503 | 421, Some(reason)) = (status, not_run)
            && (is_own || echoed.is_none())
        {
            return Ok(End::of(Attempt::Refused(refused(reason))));
        }
        if !is_own {
            return Ok(End::doubt(Doubt::Mismatch));
        }
        let is_head = request.method == http::Method::HEAD;
        let has_no_body = is_head || status == 204 || status == 304;
        let length = once(response.headers(), "content-length").and_then(|v| v.parse().ok());
        let length: usize = match length {
            Some(length) => length,
            None if has_no_body => 0,
            // Without a length nobody can tell a whole answer from a cut one.
            None => return Ok(End::doubt(Doubt::Truncated)),
        };
        if length > self.config.max_answer && !has_no_body {
            let answer = Some(Answer::too_large(self.config.max_answer));
            return Ok(End { attempt: Attempt::Unknown(Doubt::Truncated), answer });
        }
        let mut body = Vec::new();
        if !has_no_body {
            let limit = self.config.max_answer as u64 + 1;
            body = response.body_mut().with_config().limit(limit).read_to_vec()?;
            if body.len() != length {
                return Ok(End::doubt(Doubt::Truncated));
            }
        }
        let text = response.headers().iter();
        let text = text.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
        let text: Vec<(&str, &str)> = text.collect();
        let headers = pass_on(&text).into_iter().filter(is_for_caller).collect();
        let attempt = if status >= 500 { Attempt::Failed } else { Attempt::Answered };
        Ok(End { attempt, answer: Some(Answer::whole(status, headers, body, length)) })
    }
}

/// Headers that only this proxy may write.
fn is_for_caller((name, _): &(String, String)) -> bool {
    let own = ["outcome", "duplicate", REQUEST_ID, IDEMPOTENCY_KEY];
    !own.iter().any(|own| name.eq_ignore_ascii_case(own))
}

/// The value of a header that stands exactly once.
fn once<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?.to_str().ok()?;
    if values.next().is_some() { None } else { Some(first) }
}

fn refused(reason: &str) -> Refused {
    match reason {
        "leaving" => Refused::Leaving,
        "not-here" => Refused::NotHere,
        _ => Refused::Busy,
    }
}

/// Whether the error can only come from opening a connection.
fn is_connect(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn doubt(error: &ureq::Error) -> Doubt {
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
