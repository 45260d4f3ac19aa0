//! How a pool's need is told from what comes in. The loads are those of queues
//! that take turns: one of small jobs that goes from 3 to 60 jobs a second within
//! two seconds, with 5 core-seconds a job; and one of few large jobs, 5 a second
//! with 64 core-seconds each, some six times as large.

use std::time::Duration;

use corianderfork_jobs::flow::Flow;
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::Load;
use corianderfork_jobs::size::{Request, Sizer, allocate};
use corianderfork_jobs::work::Work;
use corianderfork_model::Time;

const CORE: Room = Room { cpu: 1_000, memory_mb: 0, gpu: 0 };
/// A worker.
const EACH: Room = Room { cpu: 16_000, memory_mb: 32_768, gpu: 0 };
/// What a small job takes, in core-milliseconds.
const SMALL: u64 = 5_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn work(core_ms: u64) -> Work {
    Work::of(&CORE, Duration::from_millis(core_ms))
}

fn cores(work: &Work) -> f64 {
    work.cpu / 1_000.0
}

/// A flow of `every` ms a small job from 0 to `until`.
fn steady(every: u64, until: u64) -> Flow {
    let mut flow = Flow::default();
    for n in 0..until / every {
        flow.record(at(n * every), work(SMALL));
    }
    flow
}

#[test]
fn rate_tells_the_begin_within_half_a_second() {
    // Symptom: half of the jobs of a queue's first two seconds are late.
    // Sequence: its busy time begins; what waits grows as callers wait, and the
    //   pool's size follows it.
    // Cause: a stock was measured, and not the flow into it.
    let mut flow = steady(333, 10_000);
    let before = cores(&flow.rate(at(10_000)));
    assert!(before < 25.0, "{before}");
    for n in 0..30 {
        flow.record(at(10_000 + n * 17), work(SMALL));
    }
    let begun = cores(&flow.rate(at(10_500)));
    assert!((230.0..330.0).contains(&begun), "{begun} of 294 cores");
}

#[test]
fn rate_is_steady_and_ends_with_the_flow() {
    let flow = steady(17, 10_000);
    let busy = cores(&flow.rate(at(10_000)));
    assert!((270.0..310.0).contains(&busy), "{busy}");
    assert_eq!(cores(&flow.rate(at(12_100))), 0.0);
}

#[test]
fn rate_of_one_huge_job_is_no_flow() {
    // Symptom: workers are sent for by the dozen and sent back unused.
    // Sequence: one job of 400 core-seconds comes to an idle queue.
    // Cause: half a second with one job was taken for a rate.
    let mut flow = Flow::default();
    flow.record(at(1_000), work(400_000));
    let one = cores(&flow.rate(at(1_100)));
    assert!(one <= 400.0, "{one}: 800 a second were seen");
}

/// Feeds sizes each tenth of a second: the largest want.
fn largest_want(demand: impl Fn(u64) -> (f64, f64)) -> u32 {
    let mut size = Sizer::default();
    let mut most = 0;
    for tick in 0..40 {
        let (needed, noise) = demand(tick * 100);
        let room = |cores: f64| Room { cpu: (cores * 1_000.0) as u64, memory_mb: 0, gpu: 0 };
        let load = Load { needed: room(needed), noise: room(noise), ..Load::default() };
        most = most.max(size.request(at(tick * 100), &load, &EACH).peak);
    }
    most
}

#[test]
fn want_goes_ahead_of_growth_and_not_of_chance() {
    // Symptom: a pool of few large jobs has its size doubled and halved each
    //   second, at a move a worker each time.
    // Sequence: jobs of 64 core-seconds come by chance, two in one half second and
    //   none in the next.
    // Cause: each difference was carried on as growth.
    let ramp = |ms: u64| (300.0 * (ms.min(2_000) as f64) / 2_000.0, 40.0);
    assert!(largest_want(ramp) > 25, "a ramp to 300 cores is met ahead of it");
    let by_chance = |ms: u64| (if (ms / 500).is_multiple_of(2) { 250.0 } else { 330.0 }, 140.0);
    assert!(largest_want(by_chance) <= 27, "{}", largest_want(by_chance));
}

#[test]
fn recall_of_a_pool_whose_owner_is_silent() {
    // Symptom: a pool in its busy time waits for VMs that it had asked for.
    // Sequence: its owner doesn't answer for a moment; all VMs are shared among the
    //   pools whose owners do; a moment later it asks again, and they have to come back.
    // Cause: a pool that says nothing counted as one that wants nothing.
    let mut busy = Sizer::default();
    let needed = Room { cpu: 400_000, memory_mb: 0, gpu: 0 };
    let load = Load { needed, ..Load::default() };
    let wanted = busy.request(at(1_000), &load, &EACH);
    let other = Request { min: 2, current: 30, peak: 30 };
    let heard = allocate(&[other, wanted], 40);
    let recalled = busy.last_request(at(1_250)).expect("it told a moment before");
    assert_eq!(allocate(&[other, recalled], 40), heard, "as if it had told");
    assert!(allocate(&[other], 40)[0] > heard[0], "left out, the other gets its VMs");
    assert_eq!(busy.last_request(at(10_000)), None, "nobody owns it for long");
}
