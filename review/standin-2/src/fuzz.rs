//! Random jobs and faults, to look for broken rules.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::check::check;
use crate::daemon::{SIGCONT, SIGKILL, SIGSTOP, SIGTERM};
use crate::lab::Lab;
use crate::store::Mode;
use crate::world::{Event, unix_ms};

struct Rng(u64);
impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

fn job(rng: &mut Rng, lab: &Lab) -> Value {
    let scheduled = rng.chance(45);
    let count = 1 + rng.below(3);
    let mut steps = Vec::new();
    for index in 0..count {
        let gang = rng.chance(30);
        let mut step = json!({ "count": 1 + rng.below(4), "cpu": 500 + rng.below(3000), "mem_mb": 256, "estimate_ms": 800 });
        if index > 0 && rng.chance(80) {
            step["after"] = json!([index - 1]);
        }
        if gang {
            step["gang"] = json!(true);
            step["count"] = json!(2 + rng.below(3));
        }
        if rng.chance(50) {
            step["checkpoint"] = json!(true);
        }
        if !gang && rng.chance(15) {
            step["anti_affinity"] = json!(1);
        }
        if gang {
            step["cpu"] = json!(500 + rng.below(1000));
        }
        if rng.chance(10) {
            step["required_label"] = json!("a");
        }
        if rng.chance(15) {
            step["affinity"] = json!(format!("r1-{}", rng.below(2)));
        }
        steps.push(step);
    }
    if rng.chance(8) {
        return json!({ "spec": "work=0;lasts=1", "steps": [{ "count": 1 + rng.below(4), "cpu": 1000, "mem_mb": 256, "estimate_ms": 800, "long_running": true, "may_miss": 1, "anti_affinity": rng.below(2) }] });
    }
    let work = 200 + rng.below(2500);
    let fail = if rng.chance(30) { 1 + rng.below(5) } else { 0 };
    let mut job = json!({ "spec": format!("work={work};fail={fail}"), "steps": steps });
    if scheduled {
        let delay = 500 + rng.below(4000);
        job["initial_delay_ms"] = json!(unix_ms() + delay);
        job["due_ms"] = json!(lab.world.now_ms() + delay);
        job["interval_ms"] = json!(300 + rng.below(3000));
        job["repeat_count"] = json!(1 + rng.below(5));
    }
    job
}

/// Plays a seed, with settings, logs and the record in `dir`. `kinds` names the faults; empty for all.
pub fn run(seed: u64, kinds: &str, dir: &str) -> i32 {
    let mut rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    for _ in 0..5 {
        rng.next();
    }
    let attempts = 3;
    let Ok(mut lab) =
        Lab::start_with(Path::new(dir), 3, 6, if seed % 2 == 0 { 5 } else { 0 }, attempts)
    else {
        return 2;
    };
    if lab.await_owner(Duration::from_secs(10)).is_none() {
        println!("seed {seed}: no owner");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(1500));
    if kinds.contains("advice") {
        lab.world.needs_ticket.store(true, std::sync::atomic::Ordering::Relaxed);
        lab.store.put("op/config", &crate::lab::config(attempts, seed % 2 == 0, true));
        std::thread::sleep(Duration::from_millis(500));
    }
    let started = Instant::now();
    let mut ids: Vec<String> = Vec::new();
    let mut pending: Vec<(Instant, usize, &'static str)> = Vec::new();
    let mut store_back: Option<Instant> = None;
    let mut late_until: Option<Instant> = None;
    let mut next_fault = Instant::now() + Duration::from_millis(1500);
    let mut cancelled: Vec<String> = Vec::new();
    let mut acked: Vec<(u64, String)> = Vec::new();
    let mut waves = 0u64;
    while started.elapsed() < Duration::from_secs(24) {
        std::thread::sleep(Duration::from_millis(60 + rng.below(140)));
        if rng.chance(35) {
            let id = format!("{:016x}", rng.next());
            let job = job(&mut rng, &lab);
            let first = rng.below(3) as usize;
            if lab.submit(first, &id, &job) {
                ids.push(id);
            }
        }
        if rng.chance(3) && !ids.is_empty() {
            let id = ids[rng.below(ids.len() as u64) as usize].clone();
            let answers = lab.ask(rng.below(3) as usize, "DELETE", &id, "");
            let is_acked = matches!(answers.last(), Some(Some(200 | 410)));
            lab.world.note(format!("DELETE {id}: {answers:?}"));
            if is_acked {
                acked.push((lab.world.now_ms(), id.clone()));
            }
            cancelled.push(id);
        }
        if rng.chance(1) && waves < 2 {
            waves += 1;
            let names: Vec<String> =
                (0..6).filter(|_| rng.chance(50)).map(|n| format!("m-{n}")).collect();
            lab.store.put(&format!("op/wave/{waves}"), &json!({ "wave": waves, "machines": names, "deadline_s": 25, "max_count": 1 + rng.below(2) }));
            lab.world.note(format!("wave {waves} {names:?}"));
        }
        let now = Instant::now();
        let due: Vec<_> = pending.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        pending.retain(|(at, ..)| *at > now);
        for (_, index, what) in due {
            match what {
                "start" => {
                    if !lab.daemons[index].is_running() {
                        let _ = lab.daemons[index].start();
                    } else {
                        pending.push((now + Duration::from_millis(200), index, "start"));
                    }
                }
                "cont" => lab.daemons[index].signal(SIGCONT),
                "runner" => drop(lab.world.start_runner(index, "r1-1", 16_000)),
                _ => {
                    let mut state = lab.world.lock();
                    if let Some(runner) = state.runners.get_mut(index) {
                        runner.silent = false;
                    }
                }
            }
        }
        if store_back.is_some_and(|at| at <= now) {
            store_back = None;
            lab.store.set_mode(Mode::Up);
            lab.world.note("store back");
        }
        if late_until.is_some_and(|at| at <= now) {
            late_until = None;
            lab.world.late_percent.store(0, std::sync::atomic::Ordering::Relaxed);
        }
        if now >= next_fault && started.elapsed() < Duration::from_secs(20) {
            next_fault = now + Duration::from_millis(1200 + rng.below(3000));
            let owner = lab.await_owner(Duration::from_millis(50)).and_then(|n| lab.index_of(&n));
            let target = if rng.chance(75) { owner } else { Some(rng.below(3) as usize) };
            let Some(target) = target else { continue };
            let all = ["kill", "term", "stop", "crash", "store", "cut", "late", "lose"];
            let allowed: Vec<_> =
                all.iter().filter(|k| kinds.is_empty() || kinds.contains(**k)).collect();
            if allowed.is_empty() {
                continue;
            }
            let what = *allowed[rng.below(allowed.len() as u64) as usize];
            let text = format!("fault {what} daemon {target}");
            match what {
                "kill" if lab.daemons[target].is_running() => {
                    lab.world.note(text);
                    lab.daemons[target].signal(SIGKILL);
                    lab.daemons[target].kill();
                    pending.push((
                        now + Duration::from_millis(300 + rng.below(4000)),
                        target,
                        "start",
                    ));
                }
                "term" if lab.daemons[target].is_running() => {
                    lab.world.note(text);
                    lab.daemons[target].signal(SIGTERM);
                    pending.push((
                        now + Duration::from_millis(3000 + rng.below(2000)),
                        target,
                        "start",
                    ));
                }
                "stop" => {
                    lab.world.note(text);
                    lab.daemons[target].signal(SIGSTOP);
                    pending.push((
                        now + Duration::from_millis(500 + rng.below(3500)),
                        target,
                        "cont",
                    ));
                }
                "crash" => {
                    let machine = rng.below(6) as usize;
                    let runner = lab.world.lock().machines[machine].runner;
                    if let Some(runner) = runner {
                        lab.world.note(format!("fault crash runner {runner}"));
                        lab.world.crash_runner(runner);
                        pending.push((
                            now + Duration::from_millis(2500 + rng.below(3000)),
                            machine,
                            "runner",
                        ));
                    }
                }
                "cut" => {
                    let machine = rng.below(6) as usize;
                    let runner = lab.world.lock().machines[machine].runner;
                    if let Some(runner) = runner {
                        lab.world.note(format!("fault cut runner {runner}"));
                        lab.world.lock().runners[runner].silent = true;
                        pending.push((
                            now + Duration::from_millis(800 + rng.below(6000)),
                            runner,
                            "heal",
                        ));
                    }
                }
                "lose" if store_back.is_none() => {
                    lab.world.note("fault store loses answers");
                    lab.store.set_mode(Mode::Lose);
                    store_back = Some(now + Duration::from_millis(1500 + rng.below(3000)));
                }
                "late" => {
                    lab.world.note("fault late orders");
                    lab.world.late_percent.store(6, std::sync::atomic::Ordering::Relaxed);
                    late_until = Some(now + Duration::from_millis(5_500));
                }
                "store" if store_back.is_none() => {
                    let mode = if rng.chance(50) { Mode::Busy } else { Mode::Silent };
                    lab.world.note(format!("fault store {mode:?}"));
                    lab.store.set_mode(mode);
                    store_back = Some(now + Duration::from_millis(500 + rng.below(4000)));
                }
                _ => {}
            }
        }
    }
    lab.store.set_mode(Mode::Up);
    lab.world.late_percent.store(0, std::sync::atomic::Ordering::Relaxed);
    for (_, index, what) in std::mem::take(&mut pending) {
        match what {
            "cont" => lab.daemons[index].signal(SIGCONT),
            "start" => {
                if !lab.daemons[index].is_running() {
                    let _ = lab.daemons[index].start();
                }
            }
            "heal" => {
                let mut state = lab.world.lock();
                if let Some(runner) = state.runners.get_mut(index) {
                    runner.silent = false;
                }
            }
            _ => drop(lab.world.start_runner(index, "r1-1", 16_000)),
        }
    }
    // Jobs are asked for at the end.
    let until = Instant::now() + Duration::from_secs(32);
    let is_lasting = |id: &String| lab.world.lock().jobs[id]["spec"] == "work=0;lasts=1";
    let lasting: Vec<String> =
        ids.iter().filter(|id| is_lasting(id) && !cancelled.contains(id)).cloned().collect();
    let mut open: Vec<String> =
        ids.iter().filter(|id| !cancelled.contains(id) && !is_lasting(id)).cloned().collect();
    let mut breaks = Vec::new();
    while Instant::now() < until && !open.is_empty() {
        std::thread::sleep(Duration::from_millis(500));
        for daemon in &mut lab.daemons {
            if !daemon.is_running() {
                let _ = daemon.start();
            }
        }
        let mut still = Vec::new();
        for id in open {
            let (answers, body) = lab.ask_for(0, "GET", &id, "");
            let state = body.as_ref().and_then(|b| b["state"].as_str()).unwrap_or("").to_owned();
            match (answers.last().copied().flatten(), state.as_str()) {
                (Some(200), "completed" | "failed" | "cancelled") => {
                    let job = lab.world.lock().jobs[&id].clone();
                    let fails =
                        crate::world::spec_number(job["spec"].as_str().unwrap_or(""), "fail")
                            .unwrap_or(0);
                    if state == "failed" && fails < attempts {
                        breaks.push(("LOST", format!("{id} is failed without cause")));
                    }
                    if state == "cancelled" {
                        breaks.push(("LOST", format!("{id} is cancelled without cause")));
                    }
                }
                (Some(410), _) => breaks.push(("LOST", format!("{id}: 410"))),
                _ => still.push(id),
            }
        }
        open = still;
    }
    for id in open {
        breaks.push(("LOST", format!("{id} hasn't ended, body {}", lab.world.lock().jobs[&id])));
    }
    for id in &lasting {
        let count = lab.world.lock().jobs[id]["steps"][0]["count"].as_u64().unwrap_or(0);
        let there = lab.world.running_of(id).len() as u64;
        if there < count {
            breaks.push(("LOST", format!("lasting {id}: {there} of {count} run at the end")));
        }
    }
    for wave in 1..=waves {
        let status = lab.store.value(&format!("status/wave/{wave}"));
        lab.world.note(format!("status of wave {wave}: {status:?}"));
        if status.is_some_and(|s| s["state"] == "completed") {
            let names = lab.store.value(&format!("op/wave/{wave}")).unwrap_or_default();
            let state = lab.world.lock();
            for name in names["machines"].as_array().into_iter().flatten() {
                let machine = state.machines.iter().find(|m| m.name == name.as_str().unwrap_or(""));
                if machine.is_some_and(|m| !m.kept.contains(&wave)) {
                    breaks.push(("MIXED", format!("wave {wave} completed without {name}")));
                }
            }
        }
    }
    lab.daemons.clear();
    let state = lab.world.lock();
    for (at, id) in &acked {
        for (t, event) in &state.events {
            if let Event::Start { task, .. } = event
                && task.starts_with(id.as_str())
                && *t > at + 3_000
            {
                breaks.push((
                    "UNASKED",
                    format!("{task} at {t} after the cancel acknowledged at {at}"),
                ));
            }
        }
    }
    breaks.extend(check(&state, attempts).into_iter().filter(|(rule, what)| {
        let id = what.split('.').next().unwrap_or("");
        let is_timed = state.jobs.get(id).is_some_and(|job| job["repeat_count"].is_number());
        *rule != "GANG" && !(*rule == "BUDGET" && is_timed)
    }));
    let starts = state.events.iter().filter(|(_, e)| matches!(e, Event::Start { .. })).count();
    println!("seed {seed}: {} jobs, {starts} starts, {} broken", ids.len(), breaks.len());
    for (rule, what) in breaks.iter().take(6) {
        println!("  {rule} {what}");
    }
    let lines: Vec<String> = state.events.iter().map(|(at, e)| format!("{at} {e:?}")).collect();
    let jobs: Vec<String> = state.jobs.iter().map(|(id, j)| format!("{id} {j}")).collect();
    let _ = std::fs::write(
        format!("{dir}/record.txt"),
        format!("{}\n{}\n", jobs.join("\n"), lines.join("\n")),
    );
    i32::from(!breaks.is_empty())
}
