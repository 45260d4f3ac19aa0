//! Entry daemons as separate processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The program of `deploy/system.toml`.
pub const PROGRAM: &str = "target/release/corianderfork-entry";

/// The addresses of the platform's services; an empty text for one that isn't there.
pub struct Platform {
    pub store: SocketAddr,
    pub fleet: String,
    pub orders_per_s: u32,
}

/// A daemon, killed on drop.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
    starts: usize,
}

/// Returns a port that is free now, below those that the system gives to outgoing connections: one of
/// these could be taken again before the daemon binds it.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    for _ in 0..20_000 {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let port = u16::try_from(11_000 + number).unwrap_or(11_000);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    0
}

impl Daemon {
    /// Writes the settings of a daemon: `deploy/entry.ini` with the values of a small deployment.
    pub fn new(root: &Path, work: &Path, name: &str, platform: &Platform) -> Self {
        let (callers, readiness) = (free_port(), free_port());
        let template =
            std::fs::read_to_string(root.join("deploy/entry.ini")).expect("the template");
        let values = [
            ("node_name", name.to_owned()),
            ("zone", "kolkata-hall".to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", format!("127.0.0.1:{callers}")),
            ("listen.ready", format!("127.0.0.1:{readiness}")),
            ("port_range.0", free_port().to_string()),
            ("platform.address", platform.store.to_string()),
            ("cloud_api.address", platform.fleet.clone()),
            ("cloud_api.duty_per_s", platform.orders_per_s.to_string()),
            ("advice", String::new()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.bandwidth_mbps", "1000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.hold_max_ms", "10000".to_owned()),
            ("bounds.remote_factor", "3".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.restore_ms", "100".to_owned()),
            ("bounds.stop_ms", "400".to_owned()),
            (
                "policies",
                "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing".to_owned(),
            ),
        ];
        let mut text =
            template.replace("metrics_port = 9464", &format!("metrics_port = {}", free_port()));
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template isn't known:\n{text}");
        let settings = work.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            callers: address(callers),
            readiness: address(readiness),
            settings,
            log: work.join(name),
            root: root.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        self.starts += 1;
        let log =
            File::create(self.log.with_extension(format!("{}.log", self.starts))).expect("a log");
        let child = Command::new(self.root.join(PROGRAM))
            .current_dir(&self.root)
            .env("CORIANDERFORK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file; build it first"));
    }

    /// Replaces a text in the settings file of the running process.
    pub fn rewrite_settings(&self, from: &str, to: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(from, to))
    }

    /// Returns the process's id.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
        }
    }

    /// Returns the resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Returns the processor time that the process has used, in hundredths of a second.
    pub fn cpu_ticks(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field =
            |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        field(11) + field(12)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
