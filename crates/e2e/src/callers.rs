//! Callers that write raw HTTP requests, and groups of concurrent callers.
//!
//! An HTTP client library follows redirects, resends requests, pools connections
//! and drops headers, which hides what the tests check. [`send_raw`] writes one
//! request on a new connection and keeps the whole response.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use corianderfork_standins::history::{Attempt, Call, Outcome};
use corianderfork_standins::load::{self, Client};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

/// Longer than any request's deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a concurrent caller pauses after a call without an answer.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(20);

/// The result of a call, with the full text of the response.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The request id.
    pub id: String,
    /// The idempotency key.
    pub key: Option<Uuid>,
    /// The service.
    pub service: String,
    /// The outcome.
    pub outcome: Outcome,
    /// The status, 0 without a response.
    pub status: u16,
    /// The value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The whole response, without interim responses.
    pub text: String,
    /// The time from connecting to the end of the response.
    pub took: Duration,
}

impl CallResult {
    /// Converts it to a call of one attempt, for the check of histories.
    pub fn to_call(&self) -> Call {
        let attempt = Attempt {
            id: self.id.clone(),
            target: String::new(),
            at_ms: 0,
            took_us: self.took.as_micros() as u64,
            outcome: self.outcome,
            status: self.status,
            fault: None,
        };
        Call {
            id: self.id.clone(),
            key: self.key.map(|key| key.to_string()),
            service: self.service.clone(),
            at_ms: 0,
            outcome: self.outcome,
            status: self.status,
            attempts: vec![attempt],
        }
    }
}

/// Returns a key issued `age` ago, which is the same for the same time and
/// `number`.
///
/// # Panics
///
/// Panics if that was before the Unix epoch.
pub fn key(number: u64, age: Duration) -> Uuid {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
    let issued_at = now.checked_sub(age).expect("after the epoch");
    key_at(number, issued_at)
}

/// Returns a key issued at `since_epoch`, the time since the Unix epoch.
pub fn key_at(number: u64, since_epoch: Duration) -> Uuid {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    uuid::Builder::from_unix_timestamp_millis(since_epoch.as_millis() as u64, &random).into_uuid()
}

/// Makes a lookup, which is idempotent.
pub fn lookup(target: SocketAddr, service: &str, id: &str) -> CallResult {
    let head = format!("GET /{service}/run HTTP/1.1\r\nRequest-Id: {id}\r\n");
    send_raw(target, service, id, None, &format!("{head}Connection: close\r\n\r\n"))
}

/// Makes a transfer under `key`, which is not idempotent.
pub fn transfer(target: SocketAddr, service: &str, id: &str, key: Uuid) -> CallResult {
    let head = format!("POST /{service}/run HTTP/1.1\r\nRequest-Id: {id}\r\n");
    let head = format!("{head}Idempotency-Key: {key}\r\nContent-Length: 4\r\n");
    send_raw(target, service, id, Some(key), &format!("{head}Connection: close\r\n\r\nmove"))
}

/// Sends `request` unchanged and reads until the proxy closes the connection.
pub fn send_raw(
    target: SocketAddr,
    service: &str,
    id: &str,
    key: Option<Uuid>,
    request: &str,
) -> CallResult {
    let start = Instant::now();
    let (unreachable, text) = match TcpStream::connect(target) {
        Ok(stream) => (false, final_response(&exchange(stream, request)).to_owned()),
        Err(_) => (true, String::new()),
    };
    let outcome = match header(&text, "Outcome").as_deref() {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        _ if unreachable => Outcome::Unreachable,
        _ => Outcome::Unknown,
    };
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let retry_after = header(&text, "Retry-After").and_then(|value| value.parse().ok());
    let (id, service) = (id.to_owned(), service.to_owned());
    CallResult { id, key, service, outcome, status, retry_after, text, took: start.elapsed() }
}

fn exchange(mut stream: TcpStream, request: &str) -> String {
    let mut received = Vec::new();
    let configured = stream.set_read_timeout(Some(READ_TIMEOUT));
    // The proxy may respond before it has read the request, so reads even if the
    // write fails.
    let _ = configured.and_then(|()| stream.write_all(request.as_bytes()));
    let _ = stream.read_to_end(&mut received);
    let _ = stream.shutdown(Shutdown::Both);
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns the response after the interim responses.
fn final_response(text: &str) -> &str {
    let mut rest = text;
    while let Some(("HTTP/1.1 1", after)) = rest.split_at_checked(10) {
        rest = after.split_once("\r\n\r\n").map_or("", |(_, response)| response);
    }
    rest
}

/// Returns the value of a header of a response.
pub fn header(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next()?;
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}

/// Lets `workers` concurrent callers alternate lookups and transfers while `during`
/// runs, which can inspect the calls so far. Returns all calls.
///
/// # Panics
///
/// Panics if `during` does, after stopping the callers.
pub fn call_while(
    config: &load::Config,
    workers: u64,
    seed: u64,
    during: impl FnOnce(&Mutex<Vec<Call>>),
) -> Vec<Call> {
    let calls: Mutex<Vec<Call>> = Mutex::default();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _guard = StopOnDrop(&stop);
        for worker in 0..workers {
            let (calls, stop) = (&calls, &stop);
            scope.spawn(move || {
                let client = Client::new(config.clone());
                let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9) ^ worker);
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let call = match number % 2 {
                        0 => client.lookup("lookup", &mut rng),
                        _ => client.transfer("transfer", &mut rng),
                    };
                    let answered = call.outcome == Outcome::Answered;
                    calls.lock().expect("no panic").push(call);
                    if !answered {
                        std::thread::park_timeout(PAUSE_AFTER_FAILURE);
                    }
                }
            });
        }
        during(&calls);
    });
    calls.into_inner().expect("no panic")
}

/// Stops the callers, also on a panic.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
