//! Runs one scenario of the review: `review-standin SCENARIO RECORD`, in the repository's root.
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the scenario couldn't run.

mod daemons;
mod http;
mod ledger;
mod platform;
mod runner;
mod scenarios;
mod store;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use daemons::{Daemon, GOURMOTI, ISFO, Site};
use ledger::Ledger;
use platform::{Platform, SPARE};
use store::Store;

pub const POOL: &str = "desk";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";

/// A small deployment.
pub struct World {
    pub ledger: Arc<Ledger>,
    pub store: Arc<Store>,
    pub platform: Arc<Platform>,
    pub daemons: Vec<Daemon>,
    /// How many of them are started at first.
    started: usize,
    version: u64,
    folder: PathBuf,
    began: Instant,
}

impl World {
    fn new(record: &Path, site: &Site, machines: usize, daemons: u8) -> Self {
        let ledger = Arc::new(Ledger::new(record).expect("the record"));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let octet = daemons::free_octet(daemons);
        let ip = IpAddr::V4(Ipv4Addr::new(127, 77, octet, 250));
        let store = Arc::new(Store::default());
        let store_address = listen(ip, {
            let store = store.clone();
            Arc::new(move |request| store.handle(request))
        });
        let platform = Platform::start(store.clone(), ledger.clone(), ip, *site, POOL, machines);
        let cloud = listen(ip, {
            let platform = platform.clone();
            Arc::new(move |request| platform.handle(request))
        });
        let daemons = daemons::prepare(&folder, octet, daemons, site, store_address, cloud);
        let started = daemons.len() - 1;
        Self {
            ledger,
            store,
            platform,
            daemons,
            started,
            version: 3,
            folder,
            began: Instant::now(),
        }
    }

    /// Writes a configuration with or without the queue.
    pub fn configure(&mut self, has_queue: bool) {
        self.version += 4;
        let route = |name: &str, prefix: &str| {
            json!({ "name": name, "host": HOST, "prefix": prefix, "service": POOL, "priority": 0,
                "attempts": 3, "stretch": 2.0, "target_duration_ms": 2000 })
        };
        let mut routes = vec![route("other", "/other/")];
        if has_queue {
            routes.push(route("jobs", PREFIX));
        }
        let config = json!({ "version": self.version, "routes": routes,
            "services": [{ "name": POOL, "enforces_capacity": false }, { "name": SPARE, "spare": true }],
            "limits": { "max_body_bytes": 262_144 } });
        self.store.write("op/config", &config);
        self.ledger.say(&format!(
            "the operator writes version {} {} the route {PREFIX}",
            self.version,
            if has_queue { "with" } else { "without" }
        ));
    }

    /// Starts the daemons and waits until they are ready and have settled.
    pub fn start(&mut self) {
        self.configure(true);
        let count = self.started;
        self.daemons.iter_mut().take(count).for_each(Daemon::start);
        let ready = self.wait(20, |world| world.daemons.iter().take(count).all(Daemon::is_ready));
        if !ready {
            self.fail("the daemons don't become ready");
        }
        std::thread::sleep(Duration::from_secs(5));
        self.ledger.say("traffic begins");
    }

    pub fn wait(&self, seconds: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !condition(self) {
            if Instant::now() >= until || self.began.elapsed() > Duration::from_secs(110) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a client's request to the daemons in turn, from `first` on, until one answers other
    /// than 502, 503 or 504.
    pub fn request(&self, method: &str, id: &str, body: &Value, first: usize) -> (u16, Value) {
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let mut last = (0, Value::Null);
        for attempt in 0..5 {
            let daemon = &self.daemons[(first + attempt) % self.started];
            let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
            let target = format!("{PREFIX}{id}");
            let within = Duration::from_millis(3_000);
            let answer =
                http::call(daemon.front, method, &target, &headers, text.as_bytes(), within);
            let what = format!("client: {method} {target} to {}", daemon.name);
            match answer {
                Ok((status, body)) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    self.ledger.say(&format!("{what} -> {status} {body}"));
                    last = (status, serde_json::from_str(&body).unwrap_or_default());
                    if !matches!(status, 502..=504) {
                        return last;
                    }
                }
                Err(error) => self.ledger.say(&format!("{what} -> no answer ({error})")),
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Hands a job in; the scenario can't run without it.
    pub fn submit(&self, id: &str, job: &Value) {
        let (status, _) = self.request("POST", id, job, 0);
        if !(200..300).contains(&status) {
            self.fail("the job isn't accepted");
        }
    }

    /// Returns the state of a job, if it is shown.
    pub fn state(&self, id: &str, first: usize) -> Option<String> {
        let (status, body) = self.request("GET", id, &Value::Null, first);
        (status == 200).then(|| body["state"].as_str().unwrap_or_default().to_owned())
    }

    /// Ends the scenario because it couldn't run.
    pub fn fail(&self, why: &str) -> ! {
        panic!("{why}");
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

fn listen(ip: IpAddr, handler: http::Handler) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    http::serve(listener, handler);
    address
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (run, site, machines): (scenarios::Scenario, Site, usize) = match scenario.as_str() {
        "ends" => (scenarios::ends, GOURMOTI, 4),
        "route" => (scenarios::route, GOURMOTI, 4),
        "crash" => (scenarios::crash, ISFO, 9),
        "mixed" => (scenarios::mixed, ISFO, 9),
        "standstill" => (scenarios::standstill, ISFO, 9),
        _ => {
            eprintln!("no such scenario");
            return ExitCode::from(2);
        }
    };
    let (record, name) = (PathBuf::from(record), scenario.clone());
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        eprintln!("the scenario takes too long");
        daemons::end_all();
        std::process::exit(2);
    });
    // A panic ends the daemons, and the scenario couldn't run.
    let outcome = std::panic::catch_unwind(move || {
        let mut world = World::new(&record, &site, machines, 5);
        world.ledger.say(&format!("scenario {name}, disruption: {has_trouble}"));
        world.start();
        let broken = run(&mut world, has_trouble);
        for line in broken.iter().take(20) {
            world.ledger.say(&format!("BROKEN {line}"));
        }
        world.ledger.say(&format!("{} breaks", broken.len()));
        println!(
            "{} breaks{}",
            broken.len(),
            broken.first().map_or(String::new(), |b| format!("; the first: {b}"))
        );
        !broken.is_empty()
    });
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
