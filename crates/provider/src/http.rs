//! Client of the platform over HTTP and JSON. No other file of the crate depends
//! on the protocol.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use corianderfork_model::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::fleet::{Control, Task, Usage, Vm};
use crate::store::{
    Changes, Entry, Error, Expect, LeaseId, Lookup, MAX_VALUE, Range, Revision, Store,
};

/// Added to the wait of a watch before the connection counts as silent.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// The maximum size of a response body in bytes. All records of a large fleet
/// fit.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// The address of the platform and the timeout of calls.
#[derive(Clone, Debug)]
pub struct Config {
    address: SocketAddr,
    timeout: Duration,
    caller: String,
}

impl Config {
    /// Creates a configuration for the platform at `address` with a timeout of
    /// 2 s.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: Duration::from_secs(2), caller: "corianderfork".to_owned() }
    }

    /// Sets the timeout of each call except watches.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the name under which the platform counts the calls of this process.
    #[must_use]
    pub fn caller(mut self, caller: &str) -> Self {
        self.caller = caller.to_owned();
        self
    }
}

/// A blocking client of the platform that threads can share.
#[derive(Debug)]
pub struct Client {
    /// Replaced after a call without a response.
    agent: Mutex<ureq::Agent>,
    config: Config,
}

#[derive(Serialize)]
struct PutRequest<'a> {
    key: &'a str,
    value: &'a str,
    expect: Option<u64>,
    lease: Option<LeaseId>,
}

#[derive(Serialize)]
struct DeleteRequest<'a> {
    key: &'a str,
    expect: Option<u64>,
}

#[derive(Deserialize)]
struct WriteResponse {
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictResponse {
    current: Option<Entry>,
}

#[derive(Serialize)]
struct GrantRequest {
    ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct LeaseBody {
    lease: LeaseId,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct TaskList {
    tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct UsageList {
    usage: Vec<Usage>,
}

#[derive(Serialize)]
struct TaskRequest<'a> {
    vm: &'a Name,
    service: &'a Name,
}

#[derive(Serialize)]
struct RebootRequest<'a> {
    vm: &'a Name,
}

/// A response of any status.
struct HttpResponse {
    status: u16,
    body: String,
}

impl Client {
    /// Creates a client. It connects at the first call.
    pub fn new(config: Config) -> Self {
        let agent = Mutex::new(build_agent(&config));
        Self { agent, config }
    }

    fn agent(&self) -> ureq::Agent {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Drops all idle connections after a call without a response.
    ///
    /// Open connections can go silent permanently while new ones work. Each
    /// silent idle connection would cost one call its whole timeout, and the
    /// renewal of a lease has time for only one timeout.
    fn drop_connections_if_lost<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        if matches!(result, Err(Error::Unknown(_))) {
            *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = build_agent(&self.config);
        }
        result
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.config.address)
    }

    fn read(&self, path: &str, timeout: Duration) -> Result<HttpResponse, Error> {
        let request = self.agent().get(self.url(path));
        let http_result = request.config().timeout_global(Some(timeout)).build().call();
        self.drop_connections_if_lost(read_response(http_result))
    }

    fn write(&self, path: &str, body: &impl Serialize) -> Result<HttpResponse, Error> {
        let body = serde_json::to_string(body).map_err(|e| Error::Malformed(e.to_string()))?;
        let request = self.agent().post(self.url(path)).content_type("application/json");
        let http_result =
            request.config().timeout_global(Some(self.config.timeout)).build().send(body);
        self.drop_connections_if_lost(read_response(http_result))
    }

    fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parse_json(&success_body(self.read(path, self.config.timeout)?)?)
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<String, Error> {
        success_body(self.write(path, body)?)
    }
}

fn build_agent(config: &Config) -> ureq::Agent {
    // Disables redirects and proxies from the environment: they could send a
    // write to another server, or twice, without any trace in this process.
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent(&config.caller)
        .build()
        .new_agent()
}

/// Converts a transport error by whether the platform may have processed the
/// call.
fn transport_error(error: ureq::Error) -> Error {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            Error::Unavailable(error.to_string())
        }
        ureq::Error::Io(ref io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Error::Unavailable(error.to_string())
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) => Error::Unavailable(error.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}

fn read_response(
    http_result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<HttpResponse, Error> {
    let mut raw = http_result.map_err(transport_error)?;
    let status = raw.status().as_u16();
    let body = raw.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
    Ok(HttpResponse { status, body: body.map_err(transport_error)? })
}

fn success_body(response: HttpResponse) -> Result<String, Error> {
    match response.status {
        200 => Ok(response.body),
        404 => Err(Error::Lapsed),
        410 => Err(Error::Compacted),
        503 | 429 => Err(Error::Unavailable(format!("status {}", response.status))),
        status => Err(Error::Malformed(format!("status {status}"))),
    }
}

fn parse_json<T: DeserializeOwned>(body: &str) -> Result<T, Error> {
    serde_json::from_str(body).map_err(|e| Error::Malformed(e.to_string()))
}

fn written_revision(key: &str, len: usize, response: HttpResponse) -> Result<Revision, Error> {
    match response.status {
        409 => {
            let conflict: ConflictResponse = parse_json(&response.body)?;
            Err(Error::Conflict { key: key.to_owned(), current: conflict.current })
        }
        413 => Err(Error::TooLarge { key: key.to_owned(), len }),
        _ => Ok(parse_json::<WriteResponse>(&success_body(response)?)?.revision),
    }
}

const fn expected_revision(expect: Expect) -> Option<u64> {
    match expect {
        Expect::Absent => Some(0),
        Expect::Revision(revision) => Some(revision.0),
        Expect::Anything => None,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Store for Client {
    fn get(&self, key: &str) -> Result<Lookup, Error> {
        self.get_json(&format!("/kv?key={key}"))
    }

    fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.get_json(&format!("/kv?prefix={prefix}"))
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error> {
        let len = value.len();
        if len > MAX_VALUE {
            return Err(Error::TooLarge { key: key.to_owned(), len });
        }
        let put = PutRequest { key, value, expect: expected_revision(expect), lease };
        written_revision(key, len, self.write("/kv/put", &put)?)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error> {
        let delete = DeleteRequest { key, expect: expected_revision(expect) };
        written_revision(key, 0, self.write("/kv/delete", &delete)?)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={}", millis(wait));
        parse_json(&success_body(self.read(&path, wait + WATCH_SLACK)?)?)
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = self.post("/lease", &GrantRequest { ttl_ms: millis(ttl) })?;
        Ok(parse_json::<LeaseBody>(&body)?.lease)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), Error> {
        self.post("/lease/renew", &LeaseBody { lease }).map(drop)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.post("/lease/revoke", &LeaseBody { lease }).map(drop)
    }
}

impl Control for Client {
    fn vms(&self) -> Result<Vec<Vm>, Error> {
        Ok(self.get_json::<VmList>("/vms")?.vms)
    }

    fn tasks(&self) -> Result<Vec<Task>, Error> {
        Ok(self.get_json::<TaskList>("/tasks")?.tasks)
    }

    fn usage(&self) -> Result<Vec<Usage>, Error> {
        Ok(self.get_json::<UsageList>("/usage")?.usage)
    }

    fn start(&self, vm: &Name, service: &Name) -> Result<(), Error> {
        self.post("/tasks/start", &TaskRequest { vm, service }).map(drop)
    }

    fn stop(&self, vm: &Name, service: &Name) -> Result<(), Error> {
        self.post("/tasks/stop", &TaskRequest { vm, service }).map(drop)
    }

    fn reboot(&self, vm: &Name) -> Result<(), Error> {
        self.post("/vms/reboot", &RebootRequest { vm }).map(drop)
    }
}
