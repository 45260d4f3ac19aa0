//! Callers that generate a bounded load and record a history of its outcomes.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::answer;
use crate::clock::unix_ms;
use crate::history::{Attempt, Call, Fault, Outcome};
use crate::http::lock;
use crate::latency::{Latency, Recorder};

const MAX_RESPONSE_BYTES: u64 = 16 << 20;
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The `ip:port` of each proxy or backend server to call.
    pub targets: Vec<String>,
    /// The timeout of one attempt.
    pub timeout: Duration,
    /// The most attempts of one call, each at the next target.
    pub attempts: usize,
    /// The length of a transfer's body in bytes.
    pub body: usize,
}

impl Config {
    /// Returns settings for three attempts of at most 5 s each and bodies of 128
    /// bytes.
    pub fn new(targets: Vec<String>) -> Self {
        Self { targets, timeout: Duration::from_secs(5), attempts: 3, body: 128 }
    }
}

/// A caller that retries with the same key after an attempt whose outcome is
/// unknown or whose target refused the connection. An at-most-once promise must
/// withstand such retries.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    config: Config,
}

impl Client {
    /// Creates a caller with its own connection pool.
    pub fn new(config: Config) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_global(Some(config.timeout))
            .user_agent("standin-load")
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        Self { agent: agent.into(), config }
    }

    /// Makes a lookup, which is idempotent.
    pub fn lookup(&self, service: &str, rng: &mut SmallRng) -> Call {
        // The time keeps a second run with the same seed from reusing an id.
        let id = format!("l-{:x}-{:016x}", unix_ms(), rng.random::<u64>());
        self.call(id, None, service, rng)
    }

    /// Makes a transfer, which is not idempotent, under a new key.
    pub fn transfer(&self, service: &str, rng: &mut SmallRng) -> Call {
        let at_ms = unix_ms();
        let key = uuid::Builder::from_unix_timestamp_millis(at_ms, &rng.random()).into_uuid();
        self.transfer_with_key(key, service, rng)
    }

    /// Makes a transfer under `key`, which may have been used before.
    pub fn transfer_with_key(&self, key: Uuid, service: &str, rng: &mut SmallRng) -> Call {
        let key = key.to_string();
        let id = format!("{}-{:08x}", transfer_id_prefix(&key), rng.random::<u32>());
        self.call(id, Some(key), service, rng)
    }

    fn call(&self, id: String, key: Option<String>, service: &str, rng: &mut SmallRng) -> Call {
        let mut call = Call {
            id,
            key,
            service: service.to_owned(),
            at_ms: unix_ms(),
            outcome: Outcome::Unreachable,
            status: 0,
            attempts: Vec::new(),
        };
        let targets = &self.config.targets;
        let first = rng.random_range(0..targets.len());
        for n in 0..self.config.attempts {
            // Separate ids show which of the attempts ran.
            let id = if n == 0 { call.id.clone() } else { format!("{}.{n}", call.id) };
            let attempt = self.attempt(&call, id, &targets[(first + n) % targets.len()]);
            call.status = attempt.status;
            let is_retried = matches!(attempt.outcome, Outcome::Unknown | Outcome::Unreachable);
            call.attempts.push(attempt);
            if !is_retried {
                break;
            }
        }
        call.outcome = combined_outcome(&call.attempts);
        call
    }

    fn attempt(&self, call: &Call, id: String, target: &str) -> Attempt {
        let (at_ms, start) = (unix_ms(), Instant::now());
        let sent = call.key.as_ref().map_or(Vec::new(), |key| self.body(key));
        let result = self.exchange(call, &id, target, &sent);
        let (outcome, status, fault) = match result {
            Ok(response) => response.evaluate(&id, call, &sent),
            Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                (Outcome::Unreachable, 0, None)
            }
            Err(_) => (Outcome::Unknown, 0, None),
        };
        let took_us = start.elapsed().as_micros() as u64;
        Attempt { id, target: target.to_owned(), at_ms, took_us, outcome, status, fault }
    }

    fn exchange(
        &self,
        call: &Call,
        id: &str,
        target: &str,
        sent: &[u8],
    ) -> Result<Response, ureq::Error> {
        let url = format!("http://{target}/{}/run", call.service);
        let mut response = match &call.key {
            None => self.agent.get(url).header("Request-Id", id).call()?,
            Some(key) => {
                let request = self.agent.post(url).header("Request-Id", id);
                request.header("Idempotency-Key", key).send(sent)?
            }
        };
        let header = |name| {
            let value = response.headers().get(name).and_then(|v| v.to_str().ok());
            value.map(str::to_owned)
        };
        let (outcome, not_run, id) = (header("outcome"), header("not-run"), header("request-id"));
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()?;
        Ok(Response { status, outcome, not_run, id, body })
    }

    fn body(&self, key: &str) -> Vec<u8> {
        key.bytes().cycle().take(self.config.body).collect()
    }
}

struct Response {
    status: u16,
    outcome: Option<String>,
    not_run: Option<String>,
    id: Option<String>,
    body: Vec<u8>,
}

impl Response {
    fn evaluate(&self, id: &str, call: &Call, sent: &[u8]) -> (Outcome, u16, Option<Fault>) {
        let outcome = match self.outcome.as_deref() {
            Some("answered") => Outcome::Answered,
            Some("not-run") => Outcome::NotRun,
            Some(_) => Outcome::Unknown,
            // A backend server's own response has no `outcome` header.
            None if self.not_run.is_some() => Outcome::NotRun,
            None => Outcome::Answered,
        };
        if outcome != Outcome::Answered {
            return (outcome, self.status, None);
        }
        let is_crossed = self.id.as_ref().is_some_and(|echoed| echoed != id);
        let fault = match is_crossed {
            true => Some(Fault::Crossed),
            false => self.check(id, call, sent),
        };
        (outcome, self.status, fault)
    }
}

impl Response {
    /// Checks that the body belongs to this attempt, or to an earlier one under the
    /// same key whose response a retry may get.
    fn check(&self, id: &str, call: &Call, sent: &[u8]) -> Option<Fault> {
        let fault = answer::check(id, &call.service, sent, &self.body);
        let Some(key) = call.key.as_deref().filter(|_| fault.is_some()) else { return fault };
        let earlier = answer::id(&self.body).filter(|id| id.starts_with(&transfer_id_prefix(key)));
        earlier.map_or(fault, |earlier| answer::check(earlier, &call.service, sent, &self.body))
    }
}

/// Returns the common prefix of the ids of all attempts under `key`.
fn transfer_id_prefix(key: &str) -> String {
    format!("t-{}", key.replace('-', ""))
}

/// Returns the most definite outcome among a call's attempts.
fn combined_outcome(attempts: &[Attempt]) -> Outcome {
    let by_precedence = [Outcome::Answered, Outcome::Unknown, Outcome::NotRun];
    let seen = |outcome: &Outcome| attempts.iter().any(|a| a.outcome == *outcome);
    by_precedence.into_iter().find(seen).unwrap_or(Outcome::Unreachable)
}

/// A load that is bounded in rate, time and concurrency.
#[derive(Clone, Debug)]
pub struct Load {
    /// Services to call, all equally often.
    pub services: Vec<String>,
    /// The share of transfers among the calls, in per mille.
    pub transfers: u32,
    /// Calls begun per second.
    pub rate: f64,
    /// The duration of the load.
    pub length: Duration,
    /// The number of concurrent callers.
    pub workers: u64,
    /// The seed for the choice of services, kinds of call and targets.
    pub seed: u64,
}

/// The results of a load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Summary {
    pub calls: u64,
    pub answered: u64,
    /// Answered with a status of 400 or more. These also count as `answered`.
    pub failed: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub unreachable: u64,
    pub crossed: u64,
    pub truncated: u64,
    /// Latency of answered lookups, summed over their attempts.
    pub lookup: Latency,
    /// Latency of answered transfers, summed over their attempts.
    pub transfer: Latency,
}

impl Load {
    /// Runs the load and passes each completed call to `sink`. Calls begin on a
    /// fixed schedule, unless all workers are busy.
    pub fn run(&self, config: &Config, sink: &(dyn Fn(&Call) + Sync)) -> Summary {
        let client = Client::new(config.clone());
        let results = Mutex::new((Summary::default(), Recorder::default(), Recorder::default()));
        let (next, start) = (AtomicU64::new(0), Instant::now());
        let count = (self.rate * self.length.as_secs_f64()) as u64;
        thread::scope(|scope| {
            for _ in 0..self.workers {
                scope.spawn(|| {
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let due = Duration::from_secs_f64(n as f64 / self.rate);
                        // Skips the calls that are left when the time is over.
                        if n >= count || start.elapsed() > self.length {
                            return;
                        }
                        thread::sleep(due.saturating_sub(start.elapsed()));
                        let call = self.call(&client, n);
                        sink(&call);
                        let (summary, lookups, transfers) = &mut *lock(&results);
                        summary.add(&call, if call.key.is_some() { transfers } else { lookups });
                    }
                });
            }
        });
        let (mut summary, lookups, transfers) = results.into_inner().unwrap_or_default();
        summary.lookup = lookups.latency();
        summary.transfer = transfers.latency();
        summary
    }

    fn call(&self, client: &Client, n: u64) -> Call {
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9) ^ n);
        let service = self.services.choose(&mut rng).map_or("none", String::as_str);
        if rng.random_range(0..1000) < self.transfers {
            client.transfer(service, &mut rng)
        } else {
            client.lookup(service, &mut rng)
        }
    }
}

impl Summary {
    fn add(&mut self, call: &Call, recorder: &mut Recorder) {
        self.calls += 1;
        match call.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.failed += u64::from(call.status >= 400);
                recorder.record_us(call.attempts.iter().map(|a| a.took_us).sum());
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Unreachable => self.unreachable += 1,
        }
        for fault in call.attempts.iter().filter_map(|a| a.fault) {
            match fault {
                Fault::Crossed => self.crossed += 1,
                Fault::Truncated => self.truncated += 1,
            }
        }
    }
}

/// Writes a call as a JSON line.
pub fn write(out: &Mutex<Box<dyn Write + Send>>, call: &Call) {
    let mut line = serde_json::to_vec(call).unwrap_or_default();
    line.push(b'\n');
    let result = lock(out).write_all(&line);
    result.unwrap_or_else(|e| eprintln!("failed to write the history: {e}"));
}
