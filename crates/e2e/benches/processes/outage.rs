//! The rates of calls to the platform at rest, under load, during a wave, during an
//! outage of the store and after it.

use std::thread;
use std::time::{Duration, Instant};

use corianderfork_e2e::config::User;
use corianderfork_e2e::system::{Config, System};
use corianderfork_standins::load::{self, Load};

const ENTRIES: usize = 8;
const PART_DURATION: Duration = Duration::from_secs(10);
const OUTAGE_DURATION: Duration = Duration::from_secs(15);
/// The seconds measured after the outage.
const SECONDS_AFTER: u32 = 30;

pub fn print() {
    println!("part,reads_per_s,writes_per_s,watches_per_s,most_calls_in_a_second");
    let system = System::converged(Config::new(&User::Gourmoti.full()).entries(ENTRIES));
    thread::sleep(PART_DURATION);
    print_row("at rest", &measure(&system, PART_DURATION));
    let under_load = thread::scope(|scope| {
        let loading = scope.spawn(|| run_load(&system));
        let counts = measure(&system, PART_DURATION);
        loading.join().expect("the load ends");
        counts
    });
    print_row("under load: 250 calls a second with 20% transfers", &under_load);
    let (code, out) = system.operator(&["wave", "start", "--within", "60"]);
    assert_eq!(code, 0, "{out}");
    print_row("during a wave", &measure(&system, PART_DURATION));
    system.store_down(true);
    print_row("while the store is down", &measure(&system, OUTAGE_DURATION));
    system.store_down(false);
    print_row("after the outage", &measure(&system, Duration::from_secs(SECONDS_AFTER.into())));
}

fn run_load(system: &System) {
    let parsed = corianderfork_config::parse(system.text()).expect("checked");
    let services = parsed.fleet.services().map(|(_, service)| service.name.to_string());
    let load = Load {
        services: services.collect(),
        transfers: 200,
        rate: 250.0,
        length: PART_DURATION,
        workers: 64,
        seed: 2,
    };
    load.run(&load::Config::new(system.targets()), &|_| {});
}

/// Returns the platform's counts of reads, writes and watches.
fn counts(system: &System) -> [f64; 3] {
    let stats = system.stats();
    let count = |name: &str| stats[name].as_f64().unwrap_or_default();
    [count("reads"), count("writes") + count("renewals"), count("watches")]
}

/// Calls per second.
struct Rates {
    /// The mean rates of reads, writes and watches.
    mean: [f64; 3],
    /// The largest rate of all calls within a second.
    max: f64,
}

fn measure(system: &System, length: Duration) -> Rates {
    const SECOND: Duration = Duration::from_secs(1);
    let start = (Instant::now(), counts(system));
    let mut last = start;
    let mut max: f64 = 0.0;
    while start.0.elapsed() < length {
        thread::sleep(SECOND);
        let now = (Instant::now(), counts(system));
        let calls: f64 = now.1.iter().zip(last.1).map(|(now, last)| now - last).sum();
        max = max.max(calls / (now.0 - last.0).as_secs_f64());
        last = now;
    }
    let seconds = (last.0 - start.0).as_secs_f64();
    let rate = |index: usize| (last.1[index] - start.1[index]) / seconds;
    Rates { mean: [rate(0), rate(1), rate(2)], max }
}

fn print_row(part: &str, rates: &Rates) {
    let [reads, writes, watches] = rates.mean;
    println!("{part},{reads:.1},{writes:.1},{watches:.1},{:.0}", rates.max);
}
