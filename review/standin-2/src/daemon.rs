//! Entry daemons as processes, started with the command of the deploy file.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        // SAFETY: `kill` reads two numbers; each process is a child that wasn't waited for.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The addresses of the platform's services.
#[derive(Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub fleet: SocketAddr,
    pub advice: SocketAddr,
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    starts: usize,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon, as `deploy/entry.ini` renders them on a small deployment.
    pub fn prepare(dir: &Path, number: usize, platform: &Platform) -> io::Result<Self> {
        let ip = IpAddr::from(Ipv4Addr::new(127, 0, 0, 11 + number as u8));
        let held: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
        let port = |index: usize| held[index].local_addr().map_or(0, |address| address.port());
        let name = format!("front-zone-{number}");
        let text = format!(
            "[process]\nname = {name}\ndata_centre = zone-a\nip = {ip}\n\n\
             [listen]\ncallers = {ip}:{}\nreadiness = {ip}:{}\npeers_port = {}\nmetrics_port = {}\n\n\
             [store]\naddress = {}\n\n[fleet]\naddress = {}\norders_per_s = 64.0\n\n\
             [advice]\naddress = {}\n\n\
             [limits]\ncpu_share = 0.25\nmax_fds = 4100\nnetwork_mbps = 1000.0\n\n\
             [bounds]\ngrace_s = 6\nmax_lease_ms = 10000\nremote_factor = 1.5\nremember_s = 120\n\
             order_gap_ms = 3000\nresume_ms = 600\nstop_ms = 900\n\n\
             [contention]\nplatform_rules = base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n",
            port(0),
            port(1),
            port(2),
            port(3),
            platform.store,
            platform.fleet,
            platform.advice,
        );
        let settings = dir.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let callers = SocketAddr::new(ip, port(0));
        let log = dir.join(&name);
        Ok(Self { name, callers, settings, log, starts: 0, child: None })
    }

    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.log.with_extension(format!("{}.log", self.starts)))?;
        let child = Command::new("target/release/corianderfork-entry")
            .env("CORIANDERFORK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` reads two numbers; the process is this one's child and not yet waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
            started.retain(|pid| *pid != child.id());
        }
    }

    pub fn is_running(&mut self) -> bool {
        let is_running = self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)));
        if !is_running {
            self.kill();
        }
        is_running
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
