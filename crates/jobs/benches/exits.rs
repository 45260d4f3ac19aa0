//! The cost of a poll of a worker with ends that nobody has acknowledged, as while the store is down.
//!
//! ```sh
//! cargo bench -p corianderfork-jobs --bench exits
//! ```
//!
//! Prints one line of CSV for each number of ends: the ends listed, the median time to handle a
//! report in microseconds, and the bytes of the report. A worker that lists known ends is polled
//! every 0.4 s at most.

use std::time::{Duration, Instant};

use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::{Action, Answer, Config, Connection, Pool, Report};
use corianderfork_jobs::record::Record;
use corianderfork_jobs::task::{Exit, Outcome, Run};
use corianderfork_jobs::worker::{self, Registration};
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;

const ENDS: [u32; 3] = [500, 5_000, 50_000];
/// The most ends that a worker lists at a time.
const MAX_LISTED: usize = 500;
const TASKS_PER_JOB: u32 = 500;
const ROUNDS: usize = 200;
const LEASE: Duration = Duration::from_secs(3_600);

fn registration() -> Registration {
    Registration {
        id: "w".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        born_ms: None,
        labels: Vec::new(),
        rack: String::new(),
        room: Room { cpu: 1_000_000, memory_mb: 1_000_000, gpu: 0 },
        draining: false,
        revision: 1,
    }
}

fn poll(pool: &mut Pool, now: Time, key: worker::Key, report: Report) {
    pool.next_poll(now, key, Connection::Kept);
    pool.handle_poll_answer(now, now, key, &Answer::Done(report));
}

/// Returns a pool whose `ends` runs on one worker have ended, with the first report of that.
fn ended(ends: u32) -> (Pool, worker::Key, Report, Time) {
    let now = Time::from_millis(1_000);
    let mut pool = Pool::new(Config::new(7, Time::ZERO).lease(LEASE).max_lease(LEASE));
    pool.set_workers(now, &[registration()]);
    let roster = pool.roster_update().expect("a new worker");
    pool.confirm_roster(roster);
    let key = pool.workers().next().expect("a worker");
    poll(&mut pool, now, key, Report { clock_ms: 1_000, ..Report::default() });
    let needs = Room { cpu: 1, memory_mb: 1, gpu: 0 };
    for job in 0..ends / TASKS_PER_JOB {
        let step = Step { count: TASKS_PER_JOB, needs, estimate_ms: 100, ..Step::default() };
        let job_of_one = Job::new("run".to_owned(), vec![step]).expect("a job");
        let (queue, organisation) = ("q".to_owned(), None);
        let record =
            Record { queue, accepted_ms: 0, attempts: None, job: job_of_one, organisation };
        pool.accept(now, Duration::ZERO, JobId(u64::from(job) + 1), &record, None, 8);
    }
    let orders = pool.plan(now, 0);
    let starts = orders.iter().filter(|order| matches!(order.action, Action::Start { .. }));
    let runs: Vec<Run> = starts
        .map(|order| {
            pool.handle_order_answer(now, order, &Answer::Done(1_000));
            Run { task: order.task, run: order.run, saved: String::new(), percent: 0, gauge: 0 }
        })
        .collect();
    assert_eq!(runs.len(), ends as usize);
    let exit = |(index, run): (usize, &Run)| Exit {
        number: index as u64 + 1,
        task: run.task,
        run: run.run,
        outcome: Outcome::Done,
        saved: String::new(),
    };
    let exits = runs.iter().enumerate().take(MAX_LISTED).map(exit).collect();
    let is_cut_short = ends as usize >= MAX_LISTED;
    let report = Report { clock_ms: 1_100, exits, is_cut_short, ..Report::default() };
    (pool, key, report, Time::from_millis(1_100))
}

fn main() {
    println!("ends,listed,us,bytes");
    for ends in ENDS {
        let (mut pool, key, report, now) = ended(ends);
        let mut times: Vec<Duration> = (0..ROUNDS)
            .map(|_| {
                let started = Instant::now();
                poll(&mut pool, now, key, report.clone());
                started.elapsed()
            })
            .collect();
        times.sort();
        // As the protocol lists an end: [N, task, run, how, saved].
        let bytes: usize = report
            .exits
            .iter()
            .map(|exit| {
                format!(
                    "[{},\"{:016x}.0.0.499\",{},\"done\",\"\"],",
                    exit.number, exit.task.job.0, exit.run
                )
                .len()
            })
            .sum();
        println!("{ends},{},{},{bytes}", report.exits.len(), times[ROUNDS / 2].as_micros());
    }
}
