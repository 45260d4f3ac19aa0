//! Callers: a bounded load, and a history of what they were told.

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

const MAX_ANSWER: u64 = 16 << 20;
const IDLE: usize = 64;

/// How a caller goes about it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to send, each `ip:port`: proxies, or backend servers directly.
    pub targets: Vec<String>,
    /// How long one attempt may take.
    pub timeout: Duration,
    /// Attempts in all, each at another target.
    pub attempts: usize,
    /// The bytes of a transfer's body.
    pub body: usize,
}

impl Config {
    /// Three attempts of at most 5 s, with 128 bytes of body.
    pub fn new(targets: Vec<String>) -> Self {
        Self { targets, timeout: Duration::from_secs(5), attempts: 3, body: 128 }
    }
}

/// A caller. It asks again, with the same id and key, after an attempt whose
/// outcome is unknown: what an at-most-once promise has to stand.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    config: Config,
}

impl Client {
    /// A caller with connections of its own.
    pub fn new(config: Config) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_global(Some(config.timeout))
            .user_agent("standin-load")
            .max_idle_connections(IDLE)
            .max_idle_connections_per_host(IDLE)
            .build();
        Self { agent: agent.into(), config }
    }

    /// Looks something up: idempotent.
    pub fn lookup(&self, service: &str, rng: &mut SmallRng) -> Call {
        // The time keeps a second run with the same seed from using an id again.
        let id = format!("l-{:x}-{:016x}", unix_ms(), rng.random::<u64>());
        self.call(id, None, service, rng)
    }

    /// Transfers something: non-idempotent, under a key of its own.
    pub fn transfer(&self, service: &str, rng: &mut SmallRng) -> Call {
        let at_ms = unix_ms();
        let key = uuid::Builder::from_unix_timestamp_millis(at_ms, &rng.random()).into_uuid();
        self.transfer_again(key, service, rng)
    }

    /// Transfers under a key that may have been used before.
    pub fn transfer_again(&self, key: Uuid, service: &str, rng: &mut SmallRng) -> Call {
        let key = key.to_string();
        let id = format!("{}-{:08x}", transfer_id(&key), rng.random::<u32>());
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
            // An id of its own for each attempt tells which of them ran.
            let id = if n == 0 { call.id.clone() } else { format!("{}.{n}", call.id) };
            let attempt = self.attempt(&call, id, &targets[(first + n) % targets.len()]);
            call.status = attempt.status;
            let again = matches!(attempt.outcome, Outcome::Unknown | Outcome::Unreachable);
            call.attempts.push(attempt);
            if !again {
                break;
            }
        }
        call.outcome = total(&call.attempts);
        call
    }

    fn attempt(&self, call: &Call, id: String, target: &str) -> Attempt {
        let (at_ms, start) = (unix_ms(), Instant::now());
        let sent = call.key.as_ref().map_or(Vec::new(), |key| self.body(key));
        let result = self.exchange(call, &id, target, &sent);
        let (outcome, status, fault) = match result {
            Ok(answer) => answer.judge(&id, call, &sent),
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
    ) -> Result<Answer, ureq::Error> {
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
        let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec()?;
        Ok(Answer { status, outcome, not_run, id, body })
    }

    fn body(&self, key: &str) -> Vec<u8> {
        key.bytes().cycle().take(self.config.body).collect()
    }
}

struct Answer {
    status: u16,
    outcome: Option<String>,
    not_run: Option<String>,
    id: Option<String>,
    body: Vec<u8>,
}

impl Answer {
    fn judge(&self, id: &str, call: &Call, sent: &[u8]) -> (Outcome, u16, Option<Fault>) {
        let outcome = match self.outcome.as_deref() {
            Some("answered") => Outcome::Answered,
            Some("not-run") => Outcome::NotRun,
            Some(_) => Outcome::Unknown,
            // Straight from a backend server.
            None if self.not_run.is_some() => Outcome::NotRun,
            None => Outcome::Answered,
        };
        if outcome != Outcome::Answered {
            return (outcome, self.status, None);
        }
        let other = self.id.as_ref().is_some_and(|echoed| echoed != id);
        let fault = match other {
            true => Some(Fault::Crossed),
            false => self.check(id, call, sent),
        };
        (outcome, self.status, fault)
    }
}

impl Answer {
    /// Whether the body belongs to this attempt or, for a repeat that was given
    /// the first answer, to an earlier one under the same key.
    fn check(&self, id: &str, call: &Call, sent: &[u8]) -> Option<Fault> {
        let own = answer::check(id, &call.service, sent, &self.body);
        let Some(key) = call.key.as_deref().filter(|_| own.is_some()) else { return own };
        let other = answer::id(&self.body).filter(|other| other.starts_with(&transfer_id(key)));
        other.map_or(own, |other| answer::check(other, &call.service, sent, &self.body))
    }
}

/// What the ids of all attempts under `key` begin with.
fn transfer_id(key: &str) -> String {
    format!("t-{}", key.replace('-', ""))
}

/// What a call's attempts come to in all.
fn total(attempts: &[Attempt]) -> Outcome {
    let order = [Outcome::Answered, Outcome::Unknown, Outcome::NotRun];
    let seen = |outcome: &Outcome| attempts.iter().any(|a| a.outcome == *outcome);
    order.into_iter().find(seen).unwrap_or(Outcome::Unreachable)
}

/// A bounded load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Services to call, each as often.
    pub services: Vec<String>,
    /// Transfers among the calls, in per mille.
    pub transfers: u32,
    /// Calls begun a second.
    pub rate: f64,
    /// How long it goes on.
    pub length: Duration,
    /// Callers at work at once.
    pub workers: u64,
    /// Seeds what is called when, and where.
    pub seed: u64,
}

/// A load's results.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Summary {
    pub calls: u64,
    pub answered: u64,
    /// Answered with a status of 400 or more; counted under `answered` too.
    pub failed: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub unreachable: u64,
    pub crossed: u64,
    pub truncated: u64,
    /// Answered lookups, first attempt to answer.
    pub lookup: Latency,
    /// Answered transfers, likewise.
    pub transfer: Latency,
}

impl Load {
    /// Runs the load; each call goes to `sink` when it is over. Calls begin on
    /// a fixed schedule, unless all workers are busy.
    pub fn run(&self, config: &Config, sink: &(dyn Fn(&Call) + Sync)) -> Summary {
        let client = Client::new(config.clone());
        let total = Mutex::new((Summary::default(), Recorder::default(), Recorder::default()));
        let (next, start) = (AtomicU64::new(0), Instant::now());
        let count = (self.rate * self.length.as_secs_f64()) as u64;
        thread::scope(|scope| {
            for _ in 0..self.workers {
                scope.spawn(|| {
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let due = Duration::from_secs_f64(n as f64 / self.rate);
                        // Late workers skip what is past the end: it is bounded.
                        if n >= count || start.elapsed() > self.length {
                            return;
                        }
                        thread::sleep(due.saturating_sub(start.elapsed()));
                        let call = self.one(&client, n);
                        sink(&call);
                        let (summary, lookups, transfers) = &mut *lock(&total);
                        summary.add(&call, if call.key.is_some() { transfers } else { lookups });
                    }
                });
            }
        });
        let (mut summary, lookups, transfers) = total.into_inner().unwrap_or_default();
        summary.lookup = lookups.latency();
        summary.transfer = transfers.latency();
        summary
    }

    fn one(&self, client: &Client, n: u64) -> Call {
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

/// Writes calls as JSON lines.
pub fn write(out: &Mutex<Box<dyn Write + Send>>, call: &Call) {
    let mut line = serde_json::to_vec(call).unwrap_or_default();
    line.push(b'\n');
    let written = lock(out).write_all(&line);
    written.unwrap_or_else(|e| eprintln!("the history can't be written: {e}"));
}
