//! The platform over HTTP and JSON: the one file that knows its protocol.

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

/// How long the store may go over a watch's own wait before the connection is
/// taken for silent.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// The longest answer read, in bytes: a full range of a large fleet fits.
const MAX_ANSWER: u64 = 64 << 20;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug)]
pub struct Config {
    address: SocketAddr,
    timeout: Duration,
    caller: String,
}

impl Config {
    /// The platform at `address`, waited for 2 s a call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: Duration::from_secs(2), caller: "corianderfork".to_owned() }
    }

    /// How long each call but a watch may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The name by which the platform counts this process's calls.
    #[must_use]
    pub fn caller(mut self, caller: &str) -> Self {
        self.caller = caller.to_owned();
        self
    }
}

/// A client of the platform. Blocks; share it among threads.
#[derive(Debug)]
pub struct Client {
    /// Replaced after a call without an answer.
    agent: Mutex<ureq::Agent>,
    config: Config,
}

#[derive(Serialize)]
struct Put<'a> {
    key: &'a str,
    value: &'a str,
    expect: Option<u64>,
    lease: Option<LeaseId>,
}

#[derive(Serialize)]
struct Delete<'a> {
    key: &'a str,
    expect: Option<u64>,
}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Conflict {
    current: Option<Entry>,
}

#[derive(Serialize)]
struct Grant {
    ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct Lease {
    lease: LeaseId,
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Tasks {
    tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct Usages {
    usage: Vec<Usage>,
}

#[derive(Serialize)]
struct Copy<'a> {
    vm: &'a Name,
    service: &'a Name,
}

#[derive(Serialize)]
struct Reboot<'a> {
    vm: &'a Name,
}

/// An answer of any status.
struct Answer {
    status: u16,
    body: String,
}

impl Client {
    /// A client for the platform of `config`. Connects at the first call.
    pub fn new(config: Config) -> Self {
        let agent = Mutex::new(agent(&config));
        Self { agent, config }
    }

    fn agent(&self) -> ureq::Agent {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Forgets all idle connections after a call that brought no answer.
    ///
    /// Open connections can go silent for good while new ones work. Each idle
    /// one would cost a call its whole timeout before it is found out, one
    /// after the other, and with a lease to renew there is time for one only.
    fn renewed<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        if matches!(result, Err(Error::Unknown(_))) {
            *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent(&self.config);
        }
        result
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.config.address)
    }

    fn read(&self, path: &str, timeout: Duration) -> Result<Answer, Error> {
        let request = self.agent().get(self.url(path));
        let sent = request.config().timeout_global(Some(timeout)).build().call();
        self.renewed(answer(sent))
    }

    fn write(&self, path: &str, body: &impl Serialize) -> Result<Answer, Error> {
        let body = serde_json::to_string(body).map_err(|e| Error::Malformed(e.to_string()))?;
        let request = self.agent().post(self.url(path)).content_type("application/json");
        let sent = request.config().timeout_global(Some(self.config.timeout)).build().send(body);
        self.renewed(answer(sent))
    }

    fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        json(&accepted(self.read(path, self.config.timeout)?)?)
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<String, Error> {
        accepted(self.write(path, body)?)
    }
}

fn agent(config: &Config) -> ureq::Agent {
    // A redirect or a proxy from the environment would carry a write
    // somewhere else, perhaps twice; nothing of ours shows that, so both
    // are off.
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent(&config.caller)
        .build()
        .new_agent()
}

/// Sorts a transport failure by whether the store may have acted on the call.
fn failure(error: ureq::Error) -> Error {
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

fn answer(sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Result<Answer, Error> {
    let mut response = sent.map_err(failure)?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_string();
    Ok(Answer { status, body: body.map_err(failure)? })
}

fn accepted(answer: Answer) -> Result<String, Error> {
    match answer.status {
        200 => Ok(answer.body),
        404 => Err(Error::Lapsed),
        410 => Err(Error::Compacted),
        503 | 429 => Err(Error::Unavailable(format!("status {}", answer.status))),
        status => Err(Error::Malformed(format!("status {status}"))),
    }
}

fn json<T: DeserializeOwned>(body: &str) -> Result<T, Error> {
    serde_json::from_str(body).map_err(|e| Error::Malformed(e.to_string()))
}

fn written(key: &str, len: usize, answer: Answer) -> Result<Revision, Error> {
    match answer.status {
        409 => {
            let conflict: Conflict = json(&answer.body)?;
            Err(Error::Conflict { key: key.to_owned(), current: conflict.current })
        }
        413 => Err(Error::TooLarge { key: key.to_owned(), len }),
        _ => Ok(json::<Written>(&accepted(answer)?)?.revision),
    }
}

const fn expected(expect: Expect) -> Option<u64> {
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
        let put = Put { key, value, expect: expected(expect), lease };
        written(key, len, self.write("/kv/put", &put)?)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<Revision, Error> {
        let delete = Delete { key, expect: expected(expect) };
        written(key, 0, self.write("/kv/delete", &delete)?)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={}", millis(wait));
        json(&accepted(self.read(&path, wait + WATCH_SLACK)?)?)
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = self.post("/lease", &Grant { ttl_ms: millis(ttl) })?;
        Ok(json::<Lease>(&body)?.lease)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), Error> {
        self.post("/lease/renew", &Lease { lease }).map(drop)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.post("/lease/revoke", &Lease { lease }).map(drop)
    }
}

impl Control for Client {
    fn vms(&self) -> Result<Vec<Vm>, Error> {
        Ok(self.get_json::<Vms>("/vms")?.vms)
    }

    fn tasks(&self) -> Result<Vec<Task>, Error> {
        Ok(self.get_json::<Tasks>("/tasks")?.tasks)
    }

    fn usage(&self) -> Result<Vec<Usage>, Error> {
        Ok(self.get_json::<Usages>("/usage")?.usage)
    }

    fn start(&self, vm: &Name, service: &Name) -> Result<(), Error> {
        self.post("/tasks/start", &Copy { vm, service }).map(drop)
    }

    fn stop(&self, vm: &Name, service: &Name) -> Result<(), Error> {
        self.post("/tasks/stop", &Copy { vm, service }).map(drop)
    }

    fn reboot(&self, vm: &Name) -> Result<(), Error> {
        self.post("/vms/reboot", &Reboot { vm }).map(drop)
    }
}
