//! The daemon's settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use corianderfork_adapter::policy;
use corianderfork_jobs::contention::{self, OrderSwitch, Switch};
use corianderfork_model::Name;
use corianderfork_runtime::settings::{Error, File};

/// The share of a core that corresponds to one Mbit/s of network. An owner's calls to workers
/// cost about 46 us of a core and 1.2 kB of network each, so that 0.25 of a core corresponds
/// to about 50 Mbit/s.
const CORES_PER_MBPS: f64 = 0.005;
/// The memory of a VM that nothing is said of, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// How much memory a VM may have, in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 16..=1 << 20;

/// The settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The entry VM's name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness checks of the balancer.
    pub readiness: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The address for metrics.
    pub metrics: SocketAddr,
    /// The address from which connections are opened; unspecified if the system chooses one.
    pub connect_from: IpAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the service that moves and maintains VMs, if any.
    pub fleet: Option<SocketAddr>,
    /// The address of the advice service, which says which workers may run a step, if any.
    pub advice: Option<SocketAddr>,
    /// How many orders a second the fleet service accepts from all clients together.
    pub fleet_orders: f64,
    /// This VM's capacity, in thousandths of a core.
    pub capacity: u64,
    /// The share of a core that this process may use, in percent.
    pub cpu_percent: u64,
    /// The bandwidth of this VM's link, in Mbit/s.
    pub network_mbps: f64,
    /// The limit of open descriptors.
    pub max_fds: usize,
    /// The memory of this VM, in bytes.
    pub memory: usize,
    /// Whether the file says how much memory the VM has.
    has_memory: bool,
    /// The time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// The longest lease that a worker accepts.
    pub max_lease: Duration,
    /// How long a task takes to resume from its saved progress.
    pub resume_time: Duration,
    /// The longest time that a worker takes to stop a task.
    pub stop_time: Duration,
    /// The factor by which a task takes longer away from the rack of its data.
    pub remote_factor: f64,
    /// How long the state of a finished job is kept.
    pub job_retention: Duration,
    /// The minimum time between two holders' orders for a VM.
    pub order_gap: Duration,
    /// Whether peers deliver an owner's orders; `auto` is while it is behind.
    pub delivery_by_peers: Switch,
    /// The decisions that are made while more work waits than fits.
    pub contention: contention::Settings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails with everything that is missing, wrong or unknown.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::take(File::read(path)?)
    }

    /// Sets the memory of the VM, in megabytes, unless the file says it or it is out of bounds.
    #[must_use]
    pub fn or_memory(mut self, megabytes: u64) -> Self {
        if !self.has_memory && MEMORY_MB.contains(&megabytes) {
            self.memory = bytes(megabytes);
        }
        self
    }

    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// As [`Settings::read`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::take(File::parse(text)?)
    }

    fn take(mut file: File) -> Result<Self, Error> {
        let ip = file.required("process", "ip", IpAddr::V4(Ipv4Addr::LOCALHOST));
        let port = |port: u64| SocketAddr::new(ip, u16::try_from(port).unwrap_or(0));
        let share: f64 = file.get_or("limits", "cpu_share", 1.0);
        let network: f64 = file.get_or("limits", "network_mbps", 1_000.0);
        let fleet: String = file.get_or("fleet", "address", String::new());
        let advice: String = file.get_or("advice", "address", String::new());
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0));
        let has_memory = file.has("limits", "memory_mb");
        let settings = Self {
            name: file.name("process", "name"),
            data_centre: file.name("process", "data_centre"),
            callers: file.address("listen", "callers"),
            readiness: file.address("listen", "readiness"),
            peers: port(file.number("listen", "peers_port", 0, 0..=65_535)),
            metrics: port(file.number("listen", "metrics_port", 9_464, 0..=65_535)),
            connect_from: file.get_or("process", "connect_from", IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
            store: file.address("store", "address"),
            fleet: fleet.parse().ok(),
            advice: advice.parse().ok(),
            fleet_orders: file.get_or("fleet", "orders_per_s", 10.0_f64).clamp(0.1, 1e6),
            capacity: (share.min(network * CORES_PER_MBPS).clamp(0.001, 64.0) * 1_000.0) as u64,
            cpu_percent: (share.clamp(0.0, 64.0) * 100.0) as u64,
            network_mbps: network,
            max_fds: usize::try_from(file.number("limits", "max_fds", 1_024, 64..=1_000_000))
                .unwrap_or(1_024),
            memory: bytes(file.number("limits", "memory_mb", DEFAULT_MEMORY_MB, MEMORY_MB)),
            has_memory,
            grace: seconds(file.get_or("bounds", "grace_s", 6.0)),
            max_lease: file.millis(
                "bounds",
                "max_lease_ms",
                Duration::from_secs(10),
                500..=600_000,
            ),
            resume_time: file.millis(
                "bounds",
                "resume_ms",
                Duration::from_millis(250),
                0..=600_000,
            ),
            stop_time: file.millis("bounds", "stop_ms", Duration::from_millis(900), 0..=600_000),
            remote_factor: file.get_or("bounds", "remote_factor", 1.0_f64),
            job_retention: seconds(file.get_or("bounds", "remember_s", 120.0)),
            order_gap: file.millis("bounds", "order_gap_ms", Duration::from_secs(3), 0..=600_000),
            delivery_by_peers: file.get_or("delivery", "by_peers", Switch::Auto),
            contention: contention_settings(&mut file),
        };
        file.finish()?;
        Ok(settings)
    }
}

fn bytes(megabytes: u64) -> usize {
    usize::try_from(megabytes << 20).unwrap_or(usize::MAX)
}

/// Reads which decisions under contention are made: those that the file switches on, and by
/// default all but two where the platform announces contention.
///
/// Preemption is only switched on by name: most measured days with contention were served worse
/// with it (`docs/DECISIONS.md`). So are limits by urgency: with them a pool with late work stayed
/// small beside spare VMs in the soak.
fn contention_settings(file: &mut File) -> contention::Settings {
    const SECTION: &str = "contention";
    let parts: String = file.get_or(SECTION, "platform_rules", String::new());
    let is_announced = policy::announces_contention(&parts);
    let order = file.get_or(SECTION, "in_time_first", OrderSwitch::default());
    let mut is_on_by_name = |key| file.get_or(SECTION, key, Switch::Auto).is_on(false);
    let (preempt, limits) = (is_on_by_name("preempt"), is_on_by_name("limits_by_urgency"));
    let mut is_on = |key| file.get_or(SECTION, key, Switch::Auto).is_on(is_announced);
    contention::Settings {
        relocate: is_on("relocate"),
        preempt,
        order: order.order(is_announced),
        meter: is_on("meter"),
        refuse: is_on("refuse"),
        limits,
        allocate: is_on("vms_by_worth"),
        maintenance: is_on("cheap_maintenance"),
    }
}
