//! The bytes of the messages about contention, for 34 pools and 570 organisations.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use corianderfork_entry::division::{Arrivals, Held, Received, Update};
use corianderfork_entry::meter::Meter;
use corianderfork_entry::peer::{Message, Reply};
use corianderfork_jobs::meter;
use corianderfork_jobs::pressure::{Candidate, Report, View, is_known};
use corianderfork_jobs::queue::Queue;
use corianderfork_jobs::{Job, JobId, Step};
use corianderfork_model::Time;

const POOLS: usize = 34;
const ORGANISATIONS: u64 = 570;
/// Each organisation submits to this many pools.
const POOLS_EACH: u64 = 4;
const SECONDS: u64 = 8;
const REFUSAL_SECONDS: u64 = 20;

fn bytes(message: &impl serde::Serialize) -> usize {
    serde_json::to_string(message).unwrap().len()
}

fn load(update: Option<Update>) -> Message {
    let (meter_parts, meter_version, meter_change) = match update {
        Some(Update::Whole(version, parts)) => (Some(parts), Some(version), None),
        Some(Update::Change(change)) => (None, None, Some(change)),
        None => (None, None, None),
    };
    let (pool, arrived, expects, target) = ("p".to_owned(), Vec::new(), false, None);
    let ended = Vec::new();
    Message::Load {
        pool,
        arrived,
        expects,
        target,
        meter_parts,
        meter_version,
        meter_change,
        ended,
    }
}

fn reply(report: Option<Arrivals>, holds_parts: bool) -> Reply {
    let (arrivals, arrival_changes) = match report {
        Some(Arrivals::Whole(all)) => (Some(all.into_iter().collect()), None),
        Some(Arrivals::Change(change)) => (None, Some(change)),
        None => (None, None),
    };
    let (load, counted) = (Default::default(), Vec::new());
    let silent = Vec::new();
    Reply::Load { load, counted, arrivals, arrival_changes, holds_parts, silent }
}

fn hash(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the bytes a second of the parts and of the arrivals in all messages of the planner while
/// 570 organisations submit `per_second` jobs in all at random times.
fn meter_bytes(per_second: u64, reads_differences: bool) -> (usize, usize) {
    let mut planner = Meter::new(48_213);
    let mut held = vec![Held::default(); POOLS];
    let mut counts: Vec<BTreeMap<u64, meter::Arrivals>> = vec![BTreeMap::new(); POOLS];
    let (mut parts, mut arrivals, mut next_job) = (0, 0, 0);
    for tick in 0..(SECONDS + 4) * 10 {
        let now = Time::from_millis(1_000 + tick * 100);
        for _ in 0..per_second / 10 {
            next_job += 1;
            let organisation = hash(next_job) % ORGANISATIONS;
            let pool = hash(organisation * 7 + hash(next_job + 9_999) % POOLS_EACH);
            let count = counts[pool as usize % POOLS].entry(organisation).or_default();
            count.record(now);
        }
        for pool in 0..POOLS {
            let name = format!("pool-{pool:02}");
            let Some(update) = planner.next_update(now, &name) else { continue };
            let sent = bytes(&load(Some(update.clone()))) - bytes(&load(None));
            let (is_difference, received) = match update {
                Update::Whole(version, parts) => (false, Received::Whole(Some(version), parts)),
                Update::Change(change) => (true, Received::Change(change)),
            };
            assert!(held[pool].receive(received).is_some(), "no message is lost");
            let mut rates: Vec<(String, f64)> = counts[pool]
                .iter()
                .map(|(number, count)| (format!("organisation-{number:07}"), count.rate(now)))
                .filter(|(_, rate)| *rate > 0.0)
                .collect();
            rates.sort_by(|a, b| b.1.total_cmp(&a.1));
            rates.truncate(meter::MAX_REPORTED);
            let report = held[pool].report(rates.into_iter().collect(), is_difference, POOLS);
            let replied = bytes(&reply(Some(report.clone()), reads_differences));
            planner.note(now, &name, report, reads_differences);
            if tick >= 40 {
                parts += sent;
                arrivals += replied - bytes(&reply(None, false));
            }
        }
    }
    (parts / SECONDS as usize, arrivals / SECONDS as usize)
}

// Guards against a planner that fills the link of a small entry VM: whole maps in each message took
// up to 435 kB a second.
#[test]
fn bytes_of_meter_parts() {
    for per_second in [400, 3_600] {
        let (parts, arrivals) = meter_bytes(per_second, true);
        println!("{per_second} jobs/s: parts {parts} B/s, arrivals {arrivals} B/s");
        assert!(parts < 14_000 && arrivals < 14_000, "{parts} and {arrivals} bytes a second");
    }
    let (parts, arrivals) = meter_bytes(400, false);
    println!("earlier version: parts {parts} B/s, arrivals {arrivals} B/s");
    assert!(parts > 200_000, "{parts} bytes a second to owners that take only whole maps");
}

/// Returns the bytes a second of reports, and of the questions and the rest of the answers, while
/// a job that is to be refused comes to each of 34 queues 3 times a second.
fn refusal_bytes(wait_at: impl Fn(u64) -> u32) -> (usize, usize, usize) {
    let mut view = View::default();
    let mut step = Step::new(1);
    (step.needs.cpu, step.estimate_ms) = (1_000, 500);
    let job = Job::new(String::new(), vec![step]).unwrap();
    let (mut reports, mut rest, mut refusals) = (0, 0, 0);
    let state = |question| Message::State {
        pool: "p".to_owned(),
        id: "5c".to_owned(),
        identity: Default::default(),
        wants_pressure: Some("q".to_owned()),
        question,
        awaits_end: false,
    };
    let unknown =
        |pressure, lack, is_known| Reply::Unknown { pressure, exceeds_owed: false, lack, is_known };
    for tick in 0..REFUSAL_SECONDS * 3 {
        let now = Time::from_millis(1_000 + tick * 333);
        let candidate = Candidate::new(JobId(tick), &job).unwrap();
        for queue in 0..POOLS {
            let name = format!("queue-{queue}");
            let route = (name.as_str(), "p");
            let report = Report {
                mean: 24_000,
                expiring: [wait_at(tick); 3],
                late: [wait_at(tick); 3],
                age_ms: 60,
                ..Report::default()
            };
            let question = view.question(now, route, &candidate);
            let lack = report.answer(&Queue::default(), &question, true);
            let is_known = is_known(question.known, &report);
            let sent = Some(report).filter(|_| !is_known);
            match sent {
                Some(report) => view.note(now, &name, "p", Some(report)),
                None => view.confirm(now, &name, "p"),
            }
            refusals += usize::from(lack.is_some());
            rest += bytes(&state(Some(question))) - bytes(&state(None));
            rest += bytes(&unknown(None, lack, is_known && lack.is_none()))
                - bytes(&unknown(None, None, false));
            reports += bytes(&unknown(sent, None, false)) - bytes(&unknown(None, None, false));
        }
    }
    let seconds = REFUSAL_SECONDS as usize;
    (reports / seconds, rest / seconds, refusals)
}

// Guards against reports that take as much as all other messages while all queues refuse: one with
// each refusal took 11 kB a second.
#[test]
fn bytes_of_refusal_reports() {
    let (steady, rest, refusals) = refusal_bytes(|_| 40_000);
    println!("steady: reports {steady} B/s, questions and answers {rest} B/s");
    assert_eq!(refusals, POOLS * REFUSAL_SECONDS as usize * 3);
    let (varying, _, _) = refusal_bytes(|tick| 30_000 + (hash(tick) % 30_000) as u32);
    println!("varying: reports {varying} B/s");
    assert!(steady < 1_000 && varying < 3_000, "{steady} and {varying} bytes a second");
}

// Guards against fields of contention in the messages of a deployment without it.
#[test]
fn bytes_of_defaults() {
    let shrink = |missing| Message::Shrink { pool: "p".to_owned(), keep: 4, missing };
    assert_eq!(bytes(&shrink(0)), r#"{"ask":"shrink","pool":"p","keep":4}"#.len());
    assert_eq!(
        bytes(&load(None)),
        r#"{"ask":"load","pool":"p","arrived":[],"expects":false}"#.len()
    );
    let sent = serde_json::to_string(&reply(None, false)).unwrap();
    assert!(!sent.contains("arrival") && !sent.contains("holds"), "{sent}");
    let accepted = Reply::Accepted { pressure: None, exceeds_owed: false, is_known: false };
    assert_eq!(bytes(&accepted), r#"{"reply":"accepted"}"#.len());
}
