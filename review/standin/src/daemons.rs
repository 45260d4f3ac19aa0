//! The project's entry daemons as processes, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::call;

const FRONT: u16 = 8624;
const READY: u16 = 8622;
const PEERS: u16 = 7060;

/// All processes that were started.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

fn end(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap();
    let _ = child.kill();
    let _ = child.wait();
}

/// Ends all processes that were started.
pub fn end_all() {
    CHILDREN.lock().unwrap().drain(..).for_each(|child| end(&child));
}

/// The figures of a deployment that daemons' settings and machines have.
#[derive(Clone, Copy)]
pub struct Site {
    pub cpu: u64,
    pub mem_mb: u64,
    pub remote_factor: &'static str,
    pub restore_ms: &'static str,
    pub stop_ms: &'static str,
}

/// As `gourmoti-reg` has them.
pub const GOURMOTI: Site =
    Site { cpu: 64_000, mem_mb: 262_144, remote_factor: "3", restore_ms: "100", stop_ms: "400" };
/// As `isfo-lhr` has them.
pub const ISFO: Site =
    Site { cpu: 16_000, mem_mb: 32_768, remote_factor: "1.5", restore_ms: "600", stop_ms: "900" };

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Arc<Mutex<Child>>>,
    settings: std::path::PathBuf,
    folder: std::path::PathBuf,
    starts: usize,
}

impl Daemon {
    pub fn start(&mut self) {
        self.starts += 1;
        let log = self.folder.join(format!("{}.{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log");
        let child = Command::new("target/release/corianderfork-entry")
            .env("CORIANDERFORK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts; build it with the command of the deploy file");
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(child.clone());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(&child);
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/api/ready",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an octet of 127.0.0.0/8 below which the daemons' addresses are free.
pub fn free_octet(count: u8) -> u8 {
    let first = (std::process::id() % 200) as u8 + 20;
    let is_free = |octet: &u8| {
        (1..=count).all(|n| {
            [FRONT, READY, PEERS, 9464]
                .iter()
                .all(|port| TcpListener::bind((Ipv4Addr::new(127, 77, *octet, n), *port)).is_ok())
        })
    };
    (0..200).map(|n| (first + n - 20) % 200 + 20).find(is_free).expect("free addresses")
}

/// Prepares daemons with settings made from the template of the deploy file, as a small deployment
/// has them.
pub fn prepare(
    folder: &Path,
    octet: u8,
    count: u8,
    site: &Site,
    store: SocketAddr,
    cloud: SocketAddr,
) -> Vec<Daemon> {
    let template =
        std::fs::read_to_string("deploy/entry.ini").expect("the template of the settings");
    (1..=count)
        .map(|number| {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 77, octet, number));
            let (name, zone) =
                (format!("front-z{}-{number}", (number - 1) % 3 + 1), (number - 1) % 3 + 1);
            let (front, ready) = (SocketAddr::new(ip, FRONT), SocketAddr::new(ip, READY));
            let fields = [
                ("node_name", name.clone()),
                ("zone", format!("z{zone}")),
                ("ip", ip.to_string()),
                ("listen.front", front.to_string()),
                ("listen.ready", ready.to_string()),
                ("port_range.0", PEERS.to_string()),
                ("platform.address", store.to_string()),
                ("cloud_api.address", cloud.to_string()),
                ("cloud_api.duty_per_s", "64.0".to_owned()),
                ("advice", cloud.to_string()),
                ("limits.cpu_share", "0.25".to_owned()),
                ("limits.max_fds", "4100".to_owned()),
                ("limits.bandwidth_mbps", "1000.0".to_owned()),
                ("bounds.grace_s", "6".to_owned()),
                ("bounds.hold_max_ms", "10000".to_owned()),
                ("bounds.remote_factor", site.remote_factor.to_owned()),
                ("bounds.status_s", "120".to_owned()),
                ("bounds.lease_ms", "3000".to_owned()),
                ("bounds.restore_ms", site.restore_ms.to_owned()),
                ("bounds.stop_ms", site.stop_ms.to_owned()),
                (
                    "policies",
                    "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"
                        .to_owned(),
                ),
            ];
            let mut text = template.clone();
            for (field, value) in &fields {
                text = text.replace(&format!("{{{{{field}}}}}"), value);
            }
            assert!(!text.contains("{{"), "the template has an unknown field");
            let settings = folder.join(format!("{name}.ini"));
            std::fs::write(&settings, text).expect("the settings");
            Daemon {
                name,
                front,
                ready,
                child: None,
                settings,
                folder: folder.to_owned(),
                starts: 0,
            }
        })
        .collect()
}
