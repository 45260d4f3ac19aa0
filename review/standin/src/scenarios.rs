//! The scenarios. Each returns the breaks of the rule that it checks.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::World;
use crate::store::Mode;

pub type Scenario = fn(&mut World, bool) -> Vec<String>;

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn job(spec: &str, step: Value) -> Value {
    json!({ "spec": spec, "steps": [step] })
}

/// The store is down for a while, as runners end many small tasks.
pub fn ends(world: &mut World, has_trouble: bool) -> Vec<String> {
    let ids: Vec<String> = (1..=10u64).map(|n| format!("{:016x}", n * 0x1111_0000_1111)).collect();
    for id in &ids {
        let step = json!({ "count": 500, "cpu": 500, "mem_mb": 200, "estimate_ms": 800 });
        world.submit(id, &job("runs 800", step));
    }
    if !world.wait(20, |world| world.ledger.counts("done").2 >= 300) {
        world.fail("the tasks don't run");
    }
    if has_trouble {
        world.ledger.say("FAULT the platform's store is down (reset) for 4.5 s");
        world.store.set_mode(Mode::Reset);
        sleep_ms(4_500);
        world.store.set_mode(Mode::Up);
        world.ledger.say("the platform's store is up again");
    }
    let is_completed =
        |world: &World, id: &String| world.state(id, 1).as_deref() == Some("completed");
    let until = Instant::now() + Duration::from_secs(45);
    let mut open = ids;
    while !open.is_empty() && Instant::now() < until {
        sleep_ms(1_000);
        open.retain(|id| !is_completed(world, id));
    }
    sleep_ms(2_000);
    let (tasks, runs, done) = world.ledger.counts("done");
    let most = world.ledger.most_ended();
    world.ledger.say(&format!(
        "{} jobs not shown as completed; {tasks} tasks, {runs} runs, {done} ended done; at most {most} ends at once on a runner",
        open.len()
    ));
    world.ledger.twice()
}

/// A route is taken out of the configuration and put back while one of its jobs runs, and a run
/// fails meanwhile.
pub fn route(world: &mut World, has_trouble: bool) -> Vec<String> {
    let id = "5c0e7a21d94b36f8";
    let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 4000 });
    world.submit(id, &job("fails once 4000", step));
    if !world.wait(10, |world| world.ledger.counts("done").1 >= 1) {
        world.fail("the task doesn't start");
    }
    sleep_ms(500);
    if has_trouble {
        world.configure(false);
    }
    if !world.wait(20, |world| world.ledger.counts("failed").2 >= 1) {
        world.fail("the run doesn't fail");
    }
    sleep_ms(2_500);
    if has_trouble {
        world.configure(true);
        // In force within `config_deadline_ms`.
        sleep_ms(2_500);
    }
    let mut broken = Vec::new();
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let state = world.state(id, broken.len());
        if state.as_deref() == Some("completed") || Instant::now() >= until {
            break;
        }
        if state.as_deref() == Some("failed") {
            let (_, runs, failed) = world.ledger.counts("failed");
            broken.push(format!(
                "LOST {id} is shown as failed after {runs} runs, {failed} of which ended failed; its queue has 3 attempts"
            ));
            if broken.len() >= 4 {
                break;
            }
        }
        sleep_ms(500);
    }
    broken
}

/// One of nine machines crashes three times, as a job that lasts has a task on each.
pub fn crash(world: &mut World, has_trouble: bool) -> Vec<String> {
    let id = "5c0e7a21d94b36f8";
    let step = json!({ "count": 9, "cpu": 1500, "mem_mb": 3000, "estimate_ms": 700,
        "long_running": true, "anti_affinity": 1, "may_miss": 1 });
    world.submit(id, &job("lasts", step));
    let first = format!("{id}.0.0.0");
    // Nine runs of 1 s and more: all tasks are at work.
    let is_at_work = |world: &World| world.ledger.running_for(1_000) == 9;
    if !world.wait(20, is_at_work) {
        world.fail("the tasks don't start");
    }
    sleep_ms(1_000);
    let machine = world.platform.machine_of(&first).unwrap_or_else(|| world.fail("no runner"));
    for _ in 0..3 {
        if !has_trouble {
            sleep_ms(8_000);
            continue;
        }
        world.platform.crash(&machine, Some(Duration::from_secs(3)));
        // Its task is at work there again, unless the job is given up.
        if !world.wait(8, |world| world.ledger.running_for(1_000) == 8)
            || !world.wait(12, is_at_work)
        {
            break;
        }
        sleep_ms(1_000);
    }
    let mut broken = world.ledger.stopped_at_work(1);
    for ask in 0..4 {
        sleep_ms(1_000);
        if world.state(id, ask).as_deref() == Some("failed") {
            let (_, runs, failed) = world.ledger.counts("failed");
            broken.push(format!(
                "LOST {id}, a job that lasts and that nobody has cancelled, is shown as failed after {runs} runs, {failed} of which ended failed"
            ));
        }
    }
    broken.reverse();
    broken
}

/// A machine of the system is lost for good, and so is a runner at that moment. An empty machine of
/// the system comes at another address a second later.
pub fn standstill(world: &mut World, has_trouble: bool) -> Vec<String> {
    let id = "5c0e7a21d94b36f8";
    let step = json!({ "count": 5, "cpu": 1500, "mem_mb": 3000, "estimate_ms": 700,
        "long_running": true, "may_miss": 1 });
    world.submit(id, &job("lasts", step));
    if !world.wait(20, |world| world.ledger.running_for(5_000) == 5) {
        world.fail("the tasks don't start");
    }
    let record = world.store.text(&format!("entry/duty/{}", crate::POOL)).unwrap_or_default();
    let name = serde_json::from_str::<Value>(&record).unwrap_or_default()["name"].clone();
    let owner = world.daemons.iter().position(|daemon| Some(daemon.name.as_str()) == name.as_str());
    let Some(owner) = owner else { world.fail("no daemon orders the tasks") };
    // The last daemon is the one that comes.
    let machine = world.platform.machine_of(&format!("{id}.0.0.0"));
    let machine = machine.unwrap_or_else(|| world.fail("no runner"));
    if has_trouble {
        let name = world.daemons[owner].name.clone();
        world.ledger.say(&format!("FAULT the machine {name} of the system is lost for good"));
        world.daemons[owner].kill();
        world.platform.crash(&machine, None);
        sleep_ms(1_000);
        if let Some(last) = world.daemons.last_mut() {
            world.ledger.say(&format!("the machine {} of the system comes", last.name));
            last.start();
        }
    }
    let calm_from = world.ledger.now_ms();
    sleep_ms(22_000);
    // From 6 s after a task's last run and 4 s of calm on, 3 s are too many.
    let mut broken = Vec::new();
    for (task, ended, next) in world.ledger.gaps(id) {
        let from = (ended + 6_000).max(calm_from + 4_000);
        world.ledger.say(&format!("{task} doesn't run from {ended} ms to {next} ms"));
        if next >= from + 3_000 {
            broken.push(format!(
                "LOST {task} is to last and doesn't run from {ended} ms to {next} ms, with room for it; it has to by {} ms",
                from + 3_000
            ));
        }
    }
    broken
}

/// A job with a step that ends and, after it, a step that lasts; without the trouble, the second step
/// ends too.
pub fn mixed(world: &mut World, has_trouble: bool) -> Vec<String> {
    let id = "5c0e7a21d94b36f8";
    let first = json!({ "count": 2, "cpu": 1500, "mem_mb": 3000, "estimate_ms": 1000 });
    let second = json!({ "count": 2, "cpu": 1500, "mem_mb": 3000, "estimate_ms": 1000, "after": [0],
        "long_running": has_trouble });
    world.submit(id, &json!({ "spec": "runs 1000", "steps": [first, second] }));
    sleep_ms(15_000);
    let mut broken = world.ledger.twice();
    let (tasks, runs, done) = world.ledger.counts("done");
    world.ledger.say(&format!("{tasks} tasks, {runs} runs, {done} ended done"));
    broken.truncate(20);
    broken
}
