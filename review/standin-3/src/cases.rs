//! The cases. Each returns whether its rule held, or an error if it couldn't run.

use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::setup::{Setup, job};

type Outcome = Result<bool, String>;

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number * 0x1_0001)
}

/// A scheduled job whose first time lies in the past.
pub fn schedule(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    const INTERVAL_MS: u64 = 600_000;
    const DAYS_AGO: u64 = 340;
    const TIMES: u64 = 52_560;
    let begun = Instant::now();
    let setup = Setup::start(record.clone(), root, 4, &[("lookup-desk", 3)])?;
    let mut accepted = Vec::new();
    let mut submit = |number: u64| {
        if begun.elapsed() > Duration::from_secs(45) {
            return;
        }
        let id = id(number);
        if setup.submit("lookup-desk", &id, number as usize, &job(2, 1_000, 300)) {
            accepted.push(id);
        }
        sleep(Duration::from_millis(500));
    };
    (0..8).for_each(&mut submit);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
    let now = u64::try_from(now.as_millis()).map_err(|e| e.to_string())?;
    let first = if trouble { now - DAYS_AGO * 86_400_000 } else { now + 1_000 };
    let mut scheduled = job(1, 1_000, 100);
    scheduled["initial_delay_ms"] = first.into();
    scheduled["interval_ms"] = INTERVAL_MS.into();
    scheduled["repeat_count"] = TIMES.into();
    record
        .line(&format!("a job every {INTERVAL_MS} ms, {TIMES} times, first at {first}, now {now}"));
    if !setup.submit("lookup-desk", &id(1_000), 0, &scheduled) {
        return Err("the scheduled job isn't accepted".to_owned());
    }
    (100..116).for_each(&mut submit);
    record.line(&format!("end of the traffic, {} jobs accepted", accepted.len()));
    // `finish_s` of the deployment.
    sleep(Duration::from_secs(14));
    let starts = || setup.seen.starts.lock().map(|starts| starts.len()).unwrap_or(0);
    let ticks = || setup.daemons.iter().map(|daemon| daemon.cpu_ticks()).collect::<Vec<_>>();
    let (before, ticks_before) = (starts(), ticks());
    // The rule's three seconds with nothing running.
    sleep(Duration::from_secs(3));
    let is_idle = starts() == before && setup.runners.iter().all(|runner| runner.is_idle());
    record.line(&format!(
        "tasks started so far: {before}, 3 s later: {}; all runners idle: {is_idle}",
        starts()
    ));
    for ((daemon, before), after) in setup.daemons.iter().zip(ticks_before).zip(ticks()) {
        record.line(&format!(
            "{} used {} % of a core in these 3 s, and has {} MB",
            daemon.name,
            (after - before) / 3,
            daemon.memory_mb()
        ));
    }
    let asked = Instant::now();
    let (mut unanswered, mut stuck, mut completed) = (0, 0, 0);
    for id in &accepted {
        if asked.elapsed() > Duration::from_secs(35) {
            break;
        }
        match setup.state("lookup-desk", id).as_deref() {
            Some("completed") => completed += 1,
            Some(state) => {
                record.line(&format!("job {id}: {state}"));
                stuck += 1;
            }
            None => unanswered += 1,
        }
    }
    record.line(&format!(
        "of {} accepted jobs, asked for {finish} s after the traffic: {completed} completed, {stuck} not, {unanswered} without an answer from any machine",
        accepted.len(), finish = 17
    ));
    Ok(unanswered == 0 && (stuck == 0 || !is_idle))
}

/// A service whose name continues that of another one after a slash.
pub fn names(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    let second = if trouble { "transfer-desk/howrah" } else { "transfer-desk-howrah" };
    let setup = Setup::start(record.clone(), root, 3, &[("transfer-desk", 2), (second, 2)])?;
    let mut accepted = 0;
    for number in 0..8 {
        let queue = if number % 2 == 0 { "transfer-desk-howrah" } else { "transfer-desk" };
        let is_accepted = setup.submit(queue, &id(number), number as usize, &job(2, 1_000, 800));
        accepted += u32::from(is_accepted);
        sleep(Duration::from_millis(400));
    }
    sleep(Duration::from_secs(6));
    let done = setup.seen.done.lock().map_err(|e| e.to_string())?.clone();
    let twice: Vec<_> = done.iter().filter(|(_, count)| **count > 1).collect();
    record.line(&format!(
        "{accepted} jobs of 2 tasks accepted; tasks done: {}; done twice: {twice:?}",
        done.len()
    ));
    if accepted < 8 || done.len() < 16 {
        return Err("not all jobs were accepted and done".to_owned());
    }
    Ok(twice.is_empty())
}

/// A service with the name by which the planner's duty is kept.
pub fn fleet(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    let service = if trouble { "fleet" } else { "fleets" };
    let setup = Setup::start(record.clone(), root, 3, &[(service, 2)])?;
    let mut accepted = Vec::new();
    for number in 0..6 {
        if setup.submit(service, &id(number), number as usize, &job(2, 1_000, 300)) {
            accepted.push(id(number));
        }
        sleep(Duration::from_millis(500));
    }
    record.line(&format!("end of the traffic, {} jobs accepted", accepted.len()));
    sleep(Duration::from_secs(14));
    let starts = setup.seen.starts.lock().map(|starts| starts.len()).unwrap_or(0);
    let is_idle = setup.runners.iter().all(|runner| runner.is_idle());
    let mut stuck = 0;
    for id in &accepted {
        let state = setup.state(service, id);
        stuck += usize::from(state.as_deref() != Some("completed"));
    }
    record.line(&format!("{} accepted, {stuck} not completed 14 s after the traffic; tasks started: {starts}; all runners idle: {is_idle}", accepted.len()));
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(stuck == 0 || !is_idle)
}

/// The settings name another address of the store.
pub fn settings(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    let services = [("lookup-desk", 3)];
    let mut setup = Setup::start(record.clone(), root, 5, &services)?;
    for number in 0..4 {
        if !setup.submit("lookup-desk", &id(number), number as usize, &job(2, 1_000, 300)) {
            return Err("no job is accepted".to_owned());
        }
    }
    if trouble {
        let (old, new) = setup.open_new_address()?;
        record.line(&format!("the store is served at {new} too; the settings name it, and three of five machines get SIGHUP"));
        for (number, daemon) in setup.daemons.iter().enumerate() {
            daemon
                .rewrite_settings(&old.to_string(), &new.to_string())
                .map_err(|e| e.to_string())?;
            if number < 3 {
                daemon.signal("HUP");
            }
        }
        sleep(Duration::from_secs(10));
        record.line(&format!("10 s later the store isn't served at {old} any more"));
        setup.close_old_address();
    }
    // `stable_window_ms`, and more.
    sleep(Duration::from_secs(5));
    record.line("the operator adds a route; the store acknowledges");
    crate::setup::configure(&setup.store, 2, &[("lookup-desk", 3), ("rally-desk", 0)]);
    // `config_deadline_ms` and `max_stretch_ms`.
    sleep(Duration::from_secs(8));
    let (mut older, mut handled) = (0, 0);
    for daemon in 0..5 {
        let path = format!("/rally-desk/{}", id(50 + daemon as u64));
        match setup.ask(daemon, "POST", &path, &job(1, 1_000, 300).to_string()) {
            Some((404, _)) => older += 1,
            Some((200, _)) => handled += 1,
            _ => {}
        }
    }
    for number in 0..4 {
        let state = setup.state("lookup-desk", &id(number));
        record.line(&format!("job {} handed in before: {state:?}", id(number)));
    }
    for daemon in 0..5 {
        setup.ask(
            daemon,
            "POST",
            &format!("/lookup-desk/{}", id(80 + daemon as u64)),
            &job(1, 1_000, 300).to_string(),
        );
    }
    record.line(&format!(
        "the new route 8 s after its acknowledgement: 404 at {older} machines, 200 at {handled}"
    ));
    Ok(older == 0)
}

/// A task that takes seven times as long as estimated, on the only runner of its service.
pub fn long(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    const TAKES_MS: u64 = 630_000;
    let setup = Setup::start(record.clone(), root, 3, &[("valuation-desk", 1)])?;
    let id = id(1);
    let mut long = job(1, 2_000, TAKES_MS);
    let estimate = if trouble { TAKES_MS / 7 } else { TAKES_MS };
    long["steps"][0]["estimate_ms"] = estimate.into();
    record.line(&format!("a task of {TAKES_MS} ms, estimated at {estimate} ms"));
    if !setup.submit("valuation-desk", &id, 0, &long) {
        return Err("the job isn't accepted".to_owned());
    }
    // `finish_s` after the end of the traffic.
    sleep(Duration::from_secs(14));
    let (mut longest, mut since) = (Duration::ZERO, None::<Instant>);
    let end = Instant::now() + Duration::from_secs(45);
    while Instant::now() < end {
        let is_idle = setup.runners.iter().all(|runner| runner.is_idle());
        since = if is_idle { since.or_else(|| Some(Instant::now())) } else { None };
        longest = longest.max(since.map_or(Duration::ZERO, |since| since.elapsed()));
        sleep(Duration::from_millis(20));
    }
    let state = setup.state("valuation-desk", &id);
    let starts = setup.seen.starts.lock().map_err(|e| e.to_string())?.values().sum::<u32>();
    record.line(&format!(
        "after 59 s: {state:?}; starts of the task: {starts}; longest time with nothing running on the idle runner: {longest:?}"
    ));
    if starts == 0 {
        return Err("the task never started".to_owned());
    }
    Ok(longest <= Duration::from_secs(3))
}

/// A start that a runner leaves unanswered and carries out late, after it has started again.
pub fn late(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    const DELAY: Duration = Duration::from_secs(6);
    let setup = Setup::start(record.clone(), root, 3, &[("valuation-desk", 2)])?;
    sleep(Duration::from_secs(5));
    if trouble {
        *setup.seen.delay.lock().map_err(|e| e.to_string())? = Some(DELAY);
    }
    let mut accepted = Vec::new();
    for number in 0..6 {
        if setup.submit("valuation-desk", &id(number), number as usize, &job(1, 2_000, 500)) {
            accepted.push(id(number));
        }
        sleep(Duration::from_millis(200));
    }
    let noted = |task: &str| setup.seen.noted.lock().is_ok_and(|noted| noted.contains(task));
    let mut delayed = None;
    if trouble {
        let until = Instant::now() + Duration::from_secs(3);
        delayed = setup.seen.delayed.lock().map_err(|e| e.to_string())?.clone();
        let (runner, task) = delayed.clone().ok_or("no start was delayed")?;
        while !noted(&task) {
            if Instant::now() > until {
                return Err("the delayed task isn't done in time".to_owned());
            }
            sleep(Duration::from_millis(20));
        }
        sleep(Duration::from_millis(300));
        let state = setup.state("valuation-desk", task.split('.').next().unwrap_or(""));
        record.line(&format!("the job of {task} is {state:?}"));
        let life = setup.seen.life(&runner).ok_or("the runner isn't known")?;
        life.crash();
        sleep(Duration::from_millis(600));
        record.line(&format!("runner {runner} starts again under its ID at its address"));
        life.start_again(&runner).ok_or("the runner's address is taken")?;
    }
    sleep(Duration::from_secs(8));
    let again = setup.seen.started_again.lock().map_err(|e| e.to_string())?.clone();
    record.line(&format!(
        "{} jobs accepted; delayed: {delayed:?}; started after their noted end: {again:?}",
        accepted.len()
    ));
    if accepted.is_empty() || !accepted.iter().all(|id| noted(&format!("{id}.0.0.0"))) {
        return Err("not all jobs were accepted and done".to_owned());
    }
    Ok(again.is_empty())
}

/// Jobs of many tasks, which the system accepts until an owner needs more memory than its machine has.
pub fn memory(record: Arc<Record>, root: &Path, trouble: bool) -> Outcome {
    const LIMIT_MB: u64 = 260;
    const JOBS: u64 = 100;
    let tasks = if trouble { 10_000 } else { 10 };
    let mut setup = Setup::start(record.clone(), root, 4, &[("lookup-desk", 3)])?;
    let (mut accepted, mut killed, mut most) = (Vec::new(), 0, 0);
    let mut down = Vec::new();
    let mut watch = |setup: &mut Setup| {
        for (number, daemon) in setup.daemons.iter_mut().enumerate() {
            if down.iter().any(|(other, _)| *other == number) {
                continue;
            }
            let memory = daemon.memory_mb();
            most = most.max(memory);
            if memory > LIMIT_MB {
                record.line(&format!("{} has {memory} MB; the platform kills it", daemon.name));
                daemon.kill();
                killed += 1;
                down.push((number, Instant::now()));
            }
        }
        while let Some((number, _)) = down.pop_if(|(_, at)| at.elapsed() > Duration::from_secs(1)) {
            record.line(&format!("{} is started again", setup.daemons[number].name));
            setup.daemons[number].start();
        }
    };
    for number in 0..JOBS {
        let id = id(number);
        if setup.submit("lookup-desk", &id, number as usize, &job(tasks, 4_000, 500)) {
            accepted.push(id);
        }
        watch(&mut setup);
        sleep(Duration::from_millis(200));
    }
    record.line(&format!("end of the traffic, {} jobs of {tasks} tasks accepted", accepted.len()));
    let begun = Instant::now();
    let starts = |setup: &Setup| setup.seen.starts.lock().map(|starts| starts.len()).unwrap_or(0);
    // `finish_s` of the deployment.
    while begun.elapsed() < Duration::from_secs(14) {
        watch(&mut setup);
        sleep(Duration::from_millis(50));
    }
    // The rule's three seconds with nothing running.
    let (before, mut is_idle) = (starts(&setup), true);
    while begun.elapsed() < Duration::from_secs(17) {
        watch(&mut setup);
        is_idle &= setup.runners.iter().all(|runner| runner.is_idle());
        sleep(Duration::from_millis(50));
    }
    let after = starts(&setup);
    is_idle &= after == before;
    record.line(&format!(
        "tasks started so far: {before}, 3 s later: {after}; all runners idle: {is_idle}"
    ));
    let mut unfinished = 0;
    for id in accepted.iter().step_by(9) {
        watch(&mut setup);
        unfinished += usize::from(setup.state("lookup-desk", id).as_deref() != Some("completed"));
    }
    while begun.elapsed() < Duration::from_secs(45) {
        watch(&mut setup);
        sleep(Duration::from_millis(50));
    }
    record.line(&format!(
        "most memory {most} MB of {LIMIT_MB}; processes killed for it: {killed}; tasks started 45 s after the traffic: {}; of {} accepted jobs asked for, {unfinished} not completed",
        starts(&setup), accepted.len().div_ceil(9)
    ));
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(unfinished == 0 || !is_idle)
}
