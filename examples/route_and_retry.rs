//! Lookups over three copies, one of which fails every request.
//!
//! A copy that fails at once is never busy, so a balancer that considers only load sends
//! it the most requests. The router also considers success: it skips a copy that fails
//! while others are free, and ejects one that keeps failing. Meanwhile a retry budget
//! limits the retries, so that failures of one copy don't double the load of the others.
//!
//! Run it with `cargo run --example route_and_retry`.

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork::model::{Name, Share, Time};
use corianderfork::outcome::{Attempt, Doubt, Outcome};
use corianderfork::retry::{self, Budget};
use corianderfork::router::{Config, Router};
use corianderfork::view::{Runner, Vm};

const REQUESTS: u64 = 300;
/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// The most tries of one request, including the first.
const MAX_TRIES: u32 = 2;

/// The outcomes at callers, and the tries sent to the failing copy.
#[derive(Debug, Default)]
struct Tally {
    answered: u64,
    unknown: u64,
    not_run: u64,
    retries: u64,
    given_to_failing: u64,
}

/// Simulates a lookup at the copy on `vm`. The one on `vm-2` resets every connection.
fn try_at(vm: &Name) -> Attempt {
    if vm.as_str() == "vm-2" { Attempt::Unknown(Doubt::Reset) } else { Attempt::Answered }
}

/// Makes one lookup, which is idempotent, with retries.
fn lookup(
    router: &mut Router,
    budget: &mut Budget,
    now: Time,
    service: &Name,
    tally: &mut Tally,
) -> Outcome {
    let mut tried = Vec::new();
    budget.first_try(now);
    loop {
        let ticket = match router.pick(now, service, &tried) {
            Ok(ticket) => ticket,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        tried.push(ticket.runner());
        let result = try_at(ticket.vm());
        tally.given_to_failing += u64::from(result != Attempt::Answered);
        router.done(now, ticket, result);
        let is_last = tried.len() as u32 >= MAX_TRIES || !result.may_retry(true);
        if is_last || !budget.retry(now) {
            return result.outcome(Duration::from_secs(1));
        }
        tally.retries += 1;
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = Name::new("lookup")?;
    let mut router = Router::new(Name::new("proxy-1")?, Config::default().seed(3));
    router.set_service(&service, 8, 64);
    for number in 1..=3 {
        let address: SocketAddr = format!("127.0.0.1:900{number}").parse()?;
        let vm = Vm::new(Name::new(&format!("vm-{number}"))?, number)
            .serving(true)
            .runner(Runner::new(service.clone(), address, true));
        router.apply_record(Time::ZERO, vm);
    }
    let tenth = Share::from_per_mille(100).ok_or("at most 1000")?;
    let mut budget = Budget::new(retry::Config::default().share(tenth));

    let mut tally = Tally::default();
    // The router uses its share of a copy's slots only after the share has settled.
    let mut now = Time::from_millis(2_000);
    for _ in 0..REQUESTS {
        router.count_request(now, &service);
        match lookup(&mut router, &mut budget, now, &service, &mut tally) {
            Outcome::Answered => tally.answered += 1,
            Outcome::Unknown(_) => tally.unknown += 1,
            Outcome::NotRun(_) => tally.not_run += 1,
        }
        now = now + INTERVAL;
    }
    println!("{tally:?}");

    assert_eq!(tally.answered + tally.unknown + tally.not_run, REQUESTS);
    // By load alone, the failing copy would get a third of the tries or more.
    assert!(tally.given_to_failing < REQUESTS / 10, "the failing copy is skipped");
    assert!(tally.retries <= REQUESTS / 10, "retries stay within the budget");
    assert!(tally.answered > REQUESTS * 9 / 10, "the other two copies carry the load");

    // A transfer is not retried: after a connection reset it may have run.
    assert!(!try_at(&Name::new("vm-2")?).may_retry(false));
    Ok(())
}
