//! Settings of a proxy process.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use corianderfork_runtime::settings::{Error, File, Process};

/// The section of the proxy's own keys.
const PROXY: &str = "proxy";
/// Bounds memory: the highest allowed `max_body_bytes`.
const MAX_BODY: u64 = 16 << 20;
/// Bounds memory: the highest allowed `max_answer_bytes`.
const MAX_RESPONSE: u64 = 64 << 20;

/// The settings of a proxy. `docs/SETTINGS.md` lists the keys with their units.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Settings {
    /// The settings that all daemons have.
    pub process: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// Peers from which to fetch configuration and records while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// The number of worker threads, which handle one request each, including requests
    /// that wait for a slot.
    pub worker_threads: usize,
    /// The maximum number of requests that wait for a slot.
    pub queue: usize,
    /// The maximum time that a request waits for a slot.
    pub queue_wait: Duration,
    /// The maximum time from receiving a request until its response.
    pub request_timeout: Duration,
    /// The timeout of a try after which another one is possible.
    pub try_timeout: Duration,
    /// The timeout for connecting to a backend server.
    pub connect_timeout: Duration,
    /// The maximum size of a request body, in bytes.
    pub max_body: usize,
    /// The maximum size of a backend server's response, in bytes.
    pub max_response: usize,
    /// How long the proxy still serves requests after its readiness check fails on a
    /// stop.
    pub stop_grace: Duration,
    /// The lease TTL of a claim shard owner.
    pub claim_lease: Duration,
    /// The maximum time that a request waits for its claim.
    pub claim_timeout: Duration,
    /// The lease TTL of the member record.
    pub member_lease: Duration,
    /// How long the proxy continues without contact to the store or its peers.
    pub isolation_limit: Duration,
    /// The interval between two gossip rounds.
    pub gossip_interval: Duration,
    /// The number of peers called in each gossip round.
    pub gossip_fan_out: usize,
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; the error lists all problems.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::check(File::read(path)?)
    }

    /// Parses and validates settings from `text`.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; the error lists all problems.
    ///
    /// ```
    /// use corianderfork_proxy::settings::Settings;
    ///
    /// let text = "
    /// [process]
    /// name = e1
    /// data_centre = kolkata
    /// platform = 127.0.0.1:7000
    /// peers = 127.0.0.1:7101
    /// [proxy]
    /// callers = 127.0.0.1:8101
    /// ";
    /// let settings = Settings::parse(text)?;
    /// let error = Settings::parse(&text.replace("callers", "caller")).expect_err("unknown key");
    /// assert!(error.to_string().contains("did you mean `callers`"));
    /// # Ok::<(), corianderfork_runtime::settings::Error>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::check(File::parse(text)?)
    }

    fn check(mut file: File) -> Result<Self, Error> {
        let process = file.process();
        let mut millis = |key: &str, default: u64, min: u64, max: u64| {
            file.millis(PROXY, key, Duration::from_millis(default), min..=max)
        };
        let queue_wait = millis("queue_wait_ms", 2_000, 0, 30_000);
        let request_timeout = millis("request_timeout_ms", 10_000, 100, 30_000);
        let try_timeout = millis("try_timeout_ms", 4_000, 50, 30_000);
        let connect_timeout = millis("connect_timeout_ms", 500, 10, 10_000);
        let stop_grace = millis("stop_grace_ms", 3_000, 0, 60_000);
        let claim_lease = millis("claim_lease_ms", 5_000, 500, 60_000);
        let claim_timeout = millis("claim_timeout_ms", 1_500, 100, 10_000);
        let member_lease = millis("member_lease_ms", 9_000, 500, 60_000);
        let isolation_limit = millis("isolation_limit_ms", 10_000, 2_000, 60_000);
        let gossip_interval = millis("gossip_interval_ms", 250, 20, 2_000);
        let mut number = |key: &str, default: u64, min: u64, max: u64| {
            usize::try_from(file.number(PROXY, key, default, min..=max)).unwrap_or(usize::MAX)
        };
        let worker_threads = number("worker_threads", 256, 2, 4_096);
        let queue = number("queue", 128, 1, 4_095);
        let max_body = number("max_body_bytes", 1 << 20, 0, MAX_BODY);
        let max_response = number("max_answer_bytes", 8 << 20, 1, MAX_RESPONSE);
        let gossip_fan_out = number("gossip_fan_out", 2, 1, 64);
        let callers = file.address(PROXY, "callers");
        let seeds = file.get_or(PROXY, "seeds", Addresses::default()).0;
        file.finish()?;
        if queue >= worker_threads {
            let problem = format!(
                "[{PROXY}] queue = {queue} holds every one of {worker_threads} worker threads; \
                 write a smaller `queue` or more `worker_threads`"
            );
            return Err(Error::Invalid(vec![problem]));
        }
        Ok(Self {
            process,
            callers,
            seeds,
            worker_threads,
            queue,
            queue_wait,
            request_timeout,
            try_timeout,
            connect_timeout,
            max_body,
            max_response,
            stop_grace,
            claim_lease,
            claim_timeout,
            member_lease,
            isolation_limit,
            gossip_interval,
            gossip_fan_out,
        })
    }
}

/// A comma-separated list of addresses.
#[derive(Clone, Debug, Default)]
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
        let address = |word: &str| {
            word.parse().map_err(|_| format!("`{word}` is no address; write ip:port, ip:port"))
        };
        words.map(address).collect::<Result<_, _>>().map(Self)
    }
}
