//! What a daemon uses of its VM, next to the limits.
//!
//! An owner that is at a limit answers late, whatever the limit is. The report tells them apart:
//! the processor (`cpu_percent`), the event loop (`loop_busy_percent`, `loop_late_ms`, and `effort_us` by
//! activity), the link (`out_kb` and `in_kb` by kind of call), and descriptors (`connections`).

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_jobs::pool::{Load, Unwritten};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use serde_json::json;
use tokio::runtime::Handle;

use crate::clock;
use crate::listen::Gauges;
use crate::node::Node;
use crate::owner::{Decisions, Owner, Repeats, ms};
use crate::traffic::Tally;

/// How often usage is reported.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// How often the delay of the event loop is sampled.
const LOOP_SAMPLE: Duration = Duration::from_millis(50);
/// The delay of the event loop from which on a daemon without duties reports its usage.
const LATE: Duration = Duration::from_millis(100);
/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

/// The traffic of one kind of call during one interval.
#[derive(Debug, PartialEq, Eq, Serialize)]
struct Share {
    calls: u64,
    in_flight: u64,
    out_kb: u64,
    in_kb: u64,
}

/// What happened in a pool during one interval, and its load at the end. It explains the seconds in
/// which the lines of single decisions are left out.
#[derive(Debug, Serialize)]
struct Activity {
    events: BTreeMap<&'static str, u32>,
    load: Load,
    /// What waits for the owner's writes, at the end.
    unwritten: Unwritten,
    /// What was reported or asked again because it wasn't written yet.
    repeats: Repeats,
}

impl Activity {
    fn take(owner: &Owner) -> Self {
        let (now, pool) = (clock::now(), owner.pool.borrow());
        Self {
            events: owner.take_events(),
            load: pool.load(now),
            unwritten: pool.unwritten(now),
            repeats: owner.take_repeats(),
        }
    }
}

/// Logs the usage of a daemon that holds duties or whose event loop is late, once per
/// [`INTERVAL`], and exports it as metrics.
pub async fn report(node: Rc<Node>, gauges: Gauges) {
    let mut cpu = processor_time();
    let mut tallies = node.traffic.tallies();
    let (mut busy, mut efforts) = (busy_time(), node.effort.totals());
    loop {
        let late = measure_delay().await;
        let (cpu_before, tallies_before) = (cpu, tallies);
        cpu = processor_time();
        tallies = node.traffic.tallies();
        node.metrics.set_traffic(&tallies);
        let busy_before = std::mem::replace(&mut busy, busy_time());
        let efforts_before = std::mem::replace(&mut efforts, node.effort.totals());
        let busy_percent = percent(busy.saturating_sub(busy_before), INTERVAL + late);
        node.metrics.set("loop busy percent", usize::try_from(busy_percent).unwrap_or(usize::MAX));
        node.metrics.set_effort(&efforts);
        node.metrics.set("loop late ms", usize::try_from(ms(late)).unwrap_or(usize::MAX));
        let owners: Vec<_> = node.owners.borrow().values().cloned().collect();
        owners.iter().for_each(|owner| owner.collect_tally());
        let decisions: BTreeMap<String, Decisions> =
            owners.iter().map(|owner| (owner.name().to_owned(), owner.take_decisions())).collect();
        let pools: BTreeMap<String, Activity> =
            owners.iter().map(|owner| (owner.name().to_owned(), Activity::take(owner))).collect();
        let is_planner = node.planner.get().is_some();
        if decisions.is_empty() && !is_planner && late < LATE {
            continue;
        }
        let shares = shares(&tallies_before, &tallies);
        let cpu_used = cpu.saturating_sub(cpu_before);
        node.trace.unlimited(
            "usage",
            json!({
                "cpu_percent": percent(cpu_used, INTERVAL + late),
                "cpu_limit_percent": node.settings.cpu_percent,
                "loop_busy_percent": busy_percent,
                "loop_late_ms": ms(late),
                "effort_us": efforts_between(&efforts_before, &efforts),
                "link_mbps": node.settings.network_mbps,
                "memory_mb": resident_bytes() >> 20,
                "connections": { "workers and store": node.client.open_connections(),
                    "peers": node.peers.open_connections(), "accepted": gauges.connections() },
                "planner": is_planner,
                "decisions": decisions,
                "pools": pools,
                "traffic": shares,
            }),
        );
    }
}

/// Returns the longest delay of a timer during one interval.
async fn measure_delay() -> Duration {
    let end = clock::now() + INTERVAL;
    let mut longest = Duration::ZERO;
    while clock::now() < end {
        let due = clock::now() + LOOP_SAMPLE;
        tokio::time::sleep(LOOP_SAMPLE).await;
        longest = longest.max(clock::now() - due);
    }
    longest
}

/// Returns the traffic between two tallies, without kinds that were not used.
fn shares(
    before: &BTreeMap<&'static str, Tally>,
    after: &BTreeMap<&'static str, Tally>,
) -> BTreeMap<&'static str, Share> {
    let share = |(kind, tally): (&&'static str, &Tally)| {
        let before = before.get(kind).copied().unwrap_or_default();
        let share = Share {
            calls: tally.calls - before.calls,
            in_flight: tally.in_flight,
            out_kb: (tally.sent - before.sent) >> 10,
            in_kb: (tally.received - before.received) >> 10,
        };
        (share.calls > 0 || share.in_flight > 0).then_some((*kind, share))
    };
    after.iter().filter_map(share).collect()
}

/// Returns the microseconds of each activity between two totals.
fn efforts_between(
    before: &BTreeMap<&'static str, Duration>,
    after: &BTreeMap<&'static str, Duration>,
) -> BTreeMap<&'static str, u64> {
    let spent = |(activity, total): (&&'static str, &Duration)| {
        let spent = total.saturating_sub(before.get(activity).copied().unwrap_or_default());
        (*activity, u64::try_from(spent.as_micros()).unwrap_or(u64::MAX))
    };
    after.iter().map(spent).filter(|(_, micros)| *micros > 0).collect()
}

/// Returns how long the event loop has been busy since the start.
///
/// The process's processor time doesn't tell a loop at its limit from an idle one where it is charged
/// differently from what the loop waits for.
fn busy_time() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}

fn percent(part: Duration, whole: Duration) -> u64 {
    u64::try_from(part.as_millis() * 100 / whole.as_millis().max(1)).unwrap_or(u64::MAX)
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the resident memory of this process; 0 if the system doesn't report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
