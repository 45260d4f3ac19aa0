//! A platform and backend servers in this process, and proxies as child processes.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderfork_provider::record::{self, Member, Phase, Role, Vm};
use corianderfork_provider::store::{Expect, Store};
use corianderfork_provider::{http, key};
use corianderfork_standins::backend::Host;
use corianderfork_standins::http::Server;
use corianderfork_standins::spawn::Process;
use corianderfork_standins::{platform, runner};

use super::{LONG_TIMEOUT, send_raw};

/// The interval between polls, which bounds their load.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub const CONFIG: &str = "\
[fleet]
version = 1
name = trial
[data_centre.kolkata]
region = bengal
[pool.registry]
[rack.k1]
data_centre = kolkata
pool = registry
vms = v[01..02]
cores = 64
memory_gb = 256
[service.transfer]
pool = registry
cores = 8
memory_gb = 16
min_copies = 1
licences = 2
[rule.otherwise]
when = always
then = headroom transfer 25%
";

pub struct Fleet {
    pub store: http::Client,
    pub platform: SocketAddr,
    pub admin: SocketAddr,
    runners: Vec<(String, SocketAddr)>,
    folder: PathBuf,
    _host: Arc<Host>,
    _servers: Vec<Server>,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

impl Fleet {
    /// Starts a platform with an empty store, and runners of `transfer` on `vms`.
    pub fn start(test: &str, vms: &[&str]) -> Self {
        let platform = platform::start(listener(), platform::Config::default()).unwrap();
        let host = Host::new(runner::Config { warm_ms: 0, ..runner::Config::default() });
        let runners: Vec<_> =
            vms.iter().map(|vm| ((*vm).to_owned(), host.open(vm, "transfer").unwrap())).collect();
        let admin = host.serve_admin(listener()).unwrap();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            store: http::Client::new(http::Config::new(platform.address()).caller("test")),
            platform: platform.address(),
            admin: admin.address(),
            runners,
            folder,
            _host: host,
            _servers: vec![platform, admin],
        }
    }

    pub fn put(&self, key: &str, value: &impl serde::Serialize) -> u64 {
        let value = serde_json::to_string(value).unwrap();
        self.store.put(key, &value, Expect::Anything, None).unwrap().0
    }

    pub fn configure(&self) -> u64 {
        let (by, note, token) = ("test".to_owned(), String::new(), "1".to_owned());
        self.put(key::CONFIG, &record::Config { text: CONFIG.to_owned(), by, note, token })
    }

    pub fn vm(&self, vm: &str, phase: Phase, epoch: u64) {
        let runner = |(_, address): &(String, SocketAddr)| record::Runner {
            service: "transfer".parse().unwrap(),
            address: *address,
        };
        let runners = self.runners.iter().filter(|(name, _)| name == vm).map(runner).collect();
        let record = Vm {
            pool: "registry".parse().unwrap(),
            phase,
            epoch,
            runners,
            reason: "test".to_owned(),
            since_ms: 0,
            maintained_ms: 0,
            moving_to: None,
        };
        self.put(&key::vm(&vm.parse().unwrap()), &record);
    }

    /// Stores a configuration and marks all VMs as serving.
    pub fn serve(&self) {
        self.configure();
        self.runners.iter().for_each(|(vm, _)| self.vm(vm, Phase::Serving, 0));
    }

    /// Stores the record of a proxy that is unreachable.
    pub fn add_unreachable_proxy(&self, name: &str) {
        let name: corianderfork_model::Name = name.parse().unwrap();
        let peers = listener().local_addr().unwrap();
        let (role, data_centre) = (Role::Proxy, "kolkata".parse().unwrap());
        let key = key::member(role, &name);
        let member = Member { name, role, incarnation: 1, data_centre, peers, callers: None };
        self.put(&key, &member);
    }

    pub fn proxy(&self, name: &str, extra_settings: &str) -> Proxy {
        self.proxy_with_env(name, extra_settings, &[])
    }

    /// Starts a proxy with additional settings and environment variables.
    pub fn proxy_with_env(&self, name: &str, extra_settings: &str, variables: &[&str]) -> Proxy {
        let settings = self.folder.join(format!("{name}.ini"));
        let text = format!(
            "[process]\nname = {name}\ndata_centre = kolkata\nplatform = {}\n\
             peers = 127.0.0.1:0\n[proxy]\ncallers = 127.0.0.1:0\nworker_threads = 8\nqueue = 4\n\
             {extra_settings}\n",
            self.platform
        );
        std::fs::write(&settings, text).unwrap();
        let mut args: Vec<String> = variables.iter().map(|v| (*v).to_owned()).collect();
        args.push(env!("CARGO_BIN_EXE_corianderfork-proxy").to_owned());
        args.extend(["--settings".to_owned(), settings.display().to_string()]);
        let stderr = self.folder.join(format!("{name}.log"));
        let process = Process::spawn(Path::new("/usr/bin/env"), &args, &stderr).unwrap();
        Proxy { callers: process.address(0), peers: process.address(1), process }
    }

    /// Sets how all runners misbehave.
    pub fn behave(&self, json: &str) {
        post(self.admin, "/_behave", json);
    }

    pub fn fault(&self, json: &str) {
        post(self.platform, "/_fault", json);
    }

    /// Returns the number of requests that the backend server on `vm` has accepted and
    /// not completed.
    pub fn in_flight(&self, vm: &str) -> u64 {
        let text = send_raw(self.admin, b"GET /_runners HTTP/1.1\r\nConnection: close\r\n\r\n");
        let (_, body) = text.split_once("\r\n\r\n").unwrap();
        let body_json: serde_json::Value = serde_json::from_str(body).unwrap();
        let runners = body_json["runners"].as_array().unwrap().iter();
        let on_vm = runners.filter(|runner| runner["vm"] == vm);
        on_vm.map(|runner| runner["in_flight"].as_u64().unwrap()).sum()
    }

    /// Returns how often the key was run.
    pub fn runs(&self, id: &str) -> usize {
        let text = send_raw(self.admin, b"GET /_runs HTTP/1.1\r\nConnection: close\r\n\r\n");
        text.matches(&format!("\"{id}\"")).count()
    }
}

fn post(to: SocketAddr, path: &str, json: &str) {
    let length = json.len();
    let head = format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n");
    let response = send_raw(to, format!("{head}\r\n{json}").as_bytes());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

pub struct Proxy {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub process: Process,
}

impl Proxy {
    pub fn get(&self, path: &str) -> String {
        let text = format!("GET {path} HTTP/1.1\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n");
        send_raw(self.callers, text.as_bytes())
    }

    pub fn transfer(&self, id: &str, key: &str) -> String {
        let text = format!(
            "POST /transfer/wb-1 HTTP/1.1\r\nRequest-Id: {id}\r\nIdempotency-Key: {key}\r\n\
             Connection: close\r\nContent-Length: 4\r\n\r\nmove"
        );
        send_raw(self.callers, text.as_bytes())
    }

    /// Retries the transfer until it gets a claim.
    pub fn transfer_soon(&self, id: &str, key: &str) -> String {
        let mut response = String::new();
        until(|| {
            response = self.transfer(id, key);
            !response.contains("Outcome: not-run")
        });
        response
    }

    pub fn is_ready(&self) -> bool {
        self.get("/-/ready").starts_with("HTTP/1.1 200")
    }

    pub fn serves(&self) -> bool {
        self.get("/transfer/wb-1").contains("Outcome: answered")
    }
}

/// Polls until `done` returns true.
pub fn until(mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting for a condition");
        std::thread::sleep(POLL_INTERVAL);
    }
}

pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
