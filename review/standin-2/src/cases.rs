//! The scenarios of the cases. Each returns 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::check::{Break, check};
use crate::daemon::SIGKILL;
use crate::lab::Lab;
use crate::world::{Event, unix_ms};

const ATTEMPTS: u64 = 3;
const FINISH: Duration = Duration::from_secs(14);

fn sleep(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Ends a scenario: writes the record, and returns the exit code.
fn finish(mut lab: Lab, record: &Path, rule: &str, mut breaks: Vec<Break>) -> i32 {
    lab.daemons.clear();
    let state = lab.world.lock();
    breaks.extend(check(&state, ATTEMPTS));
    let mut lines: Vec<String> = Vec::new();
    lines.push("jobs sent (id, body):".to_owned());
    lines.extend(state.jobs.iter().map(|(id, job)| format!("{id} {job}")));
    lines.push("what clients, runners and the platform saw (ms, event):".to_owned());
    lines.extend(state.events.iter().map(|(at, event)| format!("{at} {event:?}")));
    lines.push("broken rules:".to_owned());
    lines.extend(breaks.iter().map(|(rule, what)| format!("{rule}: {what}")));
    let is_broken = breaks.iter().any(|(broken, _)| *broken == rule);
    lines.push(format!("{rule}: {}", if is_broken { "broken" } else { "held" }));
    if std::fs::write(record, lines.join("\n") + "\n").is_err() {
        return 2;
    }
    println!("{rule}: {}", if is_broken { "broken" } else { "held" });
    for (rule, what) in breaks.iter().take(5) {
        println!("  {rule}: {what}");
    }
    i32::from(is_broken)
}

fn noted_failures(lab: &Lab, task: &str) -> usize {
    let state = lab.world.lock();
    let mut failed: Vec<(usize, u64)> = Vec::new();
    let mut noted = 0;
    for (_, event) in &state.events {
        match event {
            Event::End { runner, number, task: of, how: "failed", .. } if of == task => {
                failed.push((*runner, *number));
            }
            Event::Noted { runner, upto } => {
                let before = failed.len();
                failed.retain(|(on, number)| on != runner || number > upto);
                noted += before - failed.len();
            }
            _ => {}
        }
    }
    noted
}

fn state_of(lab: &Lab, first: usize, id: &str) -> Option<String> {
    let (_, body) = lab.ask_for(first, "GET", id, "");
    body.and_then(|body| body["state"].as_str().map(str::to_owned))
}

/// A scheduled job whose task fails each time; its pool's owner is killed after two failures.
pub fn budget(dir: &Path, record: &Path, has_trouble: bool) -> i32 {
    let Ok(mut lab) = Lab::start(dir, 3, 6, ATTEMPTS) else { return 2 };
    let Some(owner) = lab.await_owner(Duration::from_secs(10)) else { return 2 };
    let Some(owner) = lab.index_of(&owner) else { return 2 };
    sleep(1_500);
    let id = "5c0e7a21d94b36f8";
    let delay = 1_500;
    let job = json!({ "spec": "work=1500;fail=99",
        "steps": [{ "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500 }],
        "initial_delay_ms": unix_ms() + delay, "due_ms": lab.world.now_ms() + delay,
        "interval_ms": 4500, "repeat_count": 4 });
    if !lab.submit((owner + 1) % 3, id, &job) {
        return 2;
    }
    let task = format!("{id}.0.0.0");
    let until = Instant::now() + Duration::from_secs(15);
    while noted_failures(&lab, &task) < 2 {
        if Instant::now() >= until {
            return 2;
        }
        sleep(5);
    }
    if has_trouble {
        sleep(300);
        lab.world.note(format!("SIGKILL {}", lab.daemons[owner].name));
        lab.daemons[owner].signal(SIGKILL);
        lab.daemons[owner].kill();
        sleep(1_000);
        if lab.daemons[owner].start().is_err() {
            return 2;
        }
        lab.world.note("started again");
    }
    let until = Instant::now() + Duration::from_secs(40);
    loop {
        let state = state_of(&lab, owner + 1, id);
        lab.world.note(format!("GET {id}: {state:?}"));
        if state.as_deref() == Some("failed") || Instant::now() >= until {
            break;
        }
        sleep(1_000);
    }
    sleep(1_500);
    finish(lab, record, "BUDGET", Vec::new())
}

fn background(count: u64) -> Value {
    json!({ "spec": "work=1500", "steps": [{ "count": count, "cpu": 4000, "mem_mb": 512, "estimate_ms": 1500 }] })
}

/// A gang that needs more runners than its pool keeps when little else waits.
pub fn gang(dir: &Path, record: &Path, has_trouble: bool) -> i32 {
    let Ok(lab) = Lab::start(dir, 3, 9, ATTEMPTS) else { return 2 };
    if lab.await_owner(Duration::from_secs(10)).is_none() {
        return 2;
    }
    sleep(1_500);
    let mut sent = 0u64;
    let traffic = |lab: &Lab, count: u64, sent: &mut u64| {
        *sent += 1;
        lab.submit(*sent as usize, &format!("{:016x}", 0xb000_0000 + *sent), &background(count))
    };
    // The busy turn: 24 tasks of 4 cores and 1.5 s each 1.5 s.
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        if !traffic(&lab, 12, &mut sent) {
            return 2;
        }
        sleep(750);
    }
    // The quiet turn: a twentieth of it.
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        let count = if has_trouble { 1 } else { 12 };
        if !traffic(&lab, count, &mut sent) {
            return 2;
        }
        sleep(if has_trouble { 1_500 } else { 750 });
    }
    let id = "5c0e7a21d94b36f8";
    let job = json!({ "spec": "work=800", "steps": [{ "count": 4, "cpu": 2000, "mem_mb": 512,
        "estimate_ms": 800, "gang": true, "anti_affinity": 1 }] });
    if !lab.submit(0, id, &job) {
        return 2;
    }
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        let count = if has_trouble { 1 } else { 12 };
        if !traffic(&lab, count, &mut sent) {
            return 2;
        }
        sleep(if has_trouble { 1_500 } else { 750 });
    }
    lab.world.note("end of the traffic");
    std::thread::sleep(FINISH);
    let mut breaks = Vec::new();
    let state = state_of(&lab, 1, id);
    lab.world.note(format!("finish_s after the end of the traffic, GET {id}: {state:?}"));
    if matches!(state.as_deref(), Some("queued" | "running")) {
        // For 3 s: nothing of it runs, and there is room for it twice over.
        let until = Instant::now() + Duration::from_secs(3);
        let mut is_idle = true;
        let mut least = (usize::MAX, u64::MAX);
        while Instant::now() < until {
            let (runners, free, used, all) = lab.world.room_for(2_000);
            is_idle &= lab.world.running_of(id).is_empty() && runners >= 8 && used * 2 < all;
            least = (least.0.min(runners), least.1.min(free));
            sleep(20);
        }
        lab.world.note(format!(
            "for 3 s nothing of {id} ran: {is_idle}; at least {} runners had room for one of its tasks",
            least.0
        ));
        if is_idle {
            breaks.push((
                "LOST",
                format!("{id} waits beside {} runners with room, none lost or draining", least.0),
            ));
        }
    } else if state.as_deref() != Some("completed") {
        breaks.push(("LOST", format!("{id}: {state:?}")));
    }
    finish(lab, record, "LOST", breaks)
}

/// A task under which a runner crashes three times, each time another machine.
pub fn crashes(dir: &Path, record: &Path, has_trouble: bool) -> i32 {
    let Ok(lab) = Lab::start(dir, 3, 9, ATTEMPTS) else { return 2 };
    if lab.await_owner(Duration::from_secs(10)).is_none() {
        return 2;
    }
    sleep(1_500);
    let id = "5c0e7a21d94b36f8";
    let job = json!({ "spec": "work=4000", "steps": [{ "count": 1, "cpu": 2500, "mem_mb": 512,
        "estimate_ms": 4000, "checkpoint": true }] });
    if !lab.submit(0, id, &job) {
        return 2;
    }
    let mut crashes = 0;
    let mut back: Vec<(Instant, usize)> = Vec::new();
    let mut seen: Option<(usize, Instant)> = None;
    let until = Instant::now() + Duration::from_secs(70);
    let mut asked = Instant::now();
    let mut state = None;
    while Instant::now() < until {
        sleep(20);
        let now = Instant::now();
        for (_, machine) in back.iter().filter(|(at, _)| *at <= now) {
            lab.world.start_runner(*machine, "r1-1", 16_000);
        }
        back.retain(|(at, _)| *at > now);
        let on = lab.world.running_of(id).into_iter().next().map(|(runner, _)| runner);
        seen = match (on, seen) {
            (Some(on), Some((before, since))) if on == before => Some((before, since)),
            (Some(on), _) => Some((on, now)),
            (None, _) => None,
        };
        // One of nine runners is lost at a time, 1.5 s after the task began there.
        if let Some((runner, since)) = seen
            && has_trouble
            && crashes < 3
            && back.is_empty()
            && since.elapsed() >= Duration::from_millis(1_500)
        {
            let machine = lab.world.machine_of(runner);
            lab.world.note(format!("runner {runner} crashes"));
            lab.world.crash_runner(runner);
            back.extend(machine.map(|machine| (now + Duration::from_millis(3_500), machine)));
            crashes += 1;
            seen = None;
        }
        if asked.elapsed() >= Duration::from_secs(1) {
            asked = now;
            state = state_of(&lab, 1, id);
            lab.world.note(format!("GET {id}: {state:?}"));
            if matches!(state.as_deref(), Some("completed" | "failed")) {
                break;
            }
        }
    }
    let mut breaks = Vec::new();
    if state.as_deref() == Some("failed") {
        let failed = lab
            .world
            .lock()
            .events
            .iter()
            .any(|(_, event)| matches!(event, Event::End { how: "failed", .. }));
        if !failed {
            breaks.push((
                "LOST",
                format!("{id} is shown as failed, and none of its runs ended failed"),
            ));
        }
    } else if state.as_deref() != Some("completed") {
        breaks.push(("LOST", format!("{id}: {state:?}")));
    }
    finish(lab, record, "LOST", breaks)
}
