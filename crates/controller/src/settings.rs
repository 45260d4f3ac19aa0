//! The controller's settings. All are validated before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use corianderfork_runtime::settings::{Error, File, Process};

const SECTION: &str = "controller";

/// A comma-separated list of addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parse =
            |part: &str| part.parse().map_err(|_| format!("`{part}` is not an ip:port address"));
        parts.map(parse).collect::<Result<_, _>>().map(Self)
    }
}

/// The settings of a controller.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Settings {
    /// The settings common to all daemons.
    pub process: Process,
    /// The address that serves readiness, liveness and metrics.
    pub admin: SocketAddr,
    /// Peers to contact if the store is down at startup.
    pub seeds: Vec<SocketAddr>,
    /// How often the holder of the lease makes decisions.
    pub decide_interval: Duration,
    /// The time to live of the lease on planning.
    pub lease_ttl: Duration,
    /// The time to live of the member's record.
    pub member_ttl: Duration,
    /// How often the holder reads the tasks.
    pub tasks_interval: Duration,
    /// How often the holder reads the list of VMs and the wave.
    pub list_interval: Duration,
    /// How often the holder reads usage.
    pub usage_interval: Duration,
    /// How often peers are called.
    pub gossip_interval: Duration,
    /// How long one watch of the shared keys waits.
    pub watch_timeout: Duration,
    /// The timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// How long a process acts without being in touch, as set for the proxies.
    pub isolation_limit: Duration,
    /// The longest time a request may take, as set for the proxies.
    pub request_deadline: Duration,
    /// How long proxies must suspect a copy before it counts as failing.
    pub suspect_after: Duration,
    /// How long the copies of a VM that is back from a reboot must go
    /// unsuspected before they count as able. Longer than `suspect_after` by
    /// the time that proxies need to see a few failures.
    pub prove_after: Duration,
    /// How long to wait for the list to show a reboot before it is requested
    /// again.
    pub reboot_retry: Duration,
    /// The maximum number of record writes per second.
    pub writes_per_second: u64,
    /// The maximum number of starts, stops and reboots per second.
    pub calls_per_second: u64,
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with a list of all missing, invalid and unknown settings.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::from_file(File::read(path)?)
    }

    /// Parses and validates settings.
    ///
    /// ```
    /// let text = "[process]\nname = e1\ndata_centre = kolkata\nplatform = 127.0.0.1:7000\n\
    ///             peers = 127.0.0.1:0\n[controller]\nadmin = 127.0.0.1:0\n";
    /// let settings = corianderfork_controller::Settings::parse(text)?;
    /// assert_eq!(settings.decide_interval.as_millis(), 500);
    /// # Ok::<(), corianderfork_runtime::settings::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// See [`Settings::read`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::from_file(File::parse(text)?)
    }

    fn from_file(mut file: File) -> Result<Self, Error> {
        let process = file.process();
        let admin = file.address(SECTION, "admin");
        let seeds = file.get_or(SECTION, "seeds", Addresses::default()).0;
        let mut millis = |key: &str, default: u64, bounds| {
            file.millis(SECTION, key, Duration::from_millis(default), bounds)
        };
        let decide_interval = millis("decide_ms", 500, 10..=60_000);
        let lease_ttl = millis("lease_ttl_ms", 3_000, 300..=60_000);
        let member_ttl = millis("member_ttl_ms", 6_000, 300..=60_000);
        let tasks_interval = millis("tasks_ms", 500, 50..=60_000);
        let list_interval = millis("list_ms", 1_000, 50..=60_000);
        let usage_interval = millis("usage_ms", 5_000, 50..=600_000);
        let gossip_interval = millis("gossip_ms", 250, 20..=10_000);
        let watch_timeout = millis("watch_ms", 1_500, 50..=30_000);
        let platform_timeout = millis("platform_timeout_ms", 2_000, 50..=30_000);
        let isolation_limit = millis("isolation_limit_ms", 10_000, 200..=120_000);
        let request_deadline = millis("request_deadline_ms", 30_000, 100..=600_000);
        let suspect_after = millis("suspect_after_ms", 5_000, 0..=600_000);
        let prove_after = millis("prove_after_ms", 10_000, 0..=600_000);
        let reboot_retry = millis("reboot_retry_ms", 20_000, 100..=3_600_000);
        let writes_per_second = file.number(SECTION, "writes_per_second", 50, 1..=1_000);
        let calls_per_second = file.number(SECTION, "calls_per_second", 50, 1..=1_000);
        file.finish()?;
        Ok(Self {
            process,
            admin,
            seeds,
            decide_interval,
            lease_ttl,
            member_ttl,
            tasks_interval,
            list_interval,
            usage_interval,
            gossip_interval,
            watch_timeout,
            platform_timeout,
            isolation_limit,
            request_deadline,
            suspect_after,
            prove_after,
            reboot_retry,
            writes_per_second,
            calls_per_second,
        })
    }
}
