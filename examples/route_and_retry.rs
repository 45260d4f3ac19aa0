//! Lookups over three copies, one of which fails all that it is given.
//!
//! A copy that fails at once is never busy, so a balancer that looks at load
//! alone sends it the most work. The router looks at success as well: it passes
//! over a copy that fails while others are free, and ejects one that goes on
//! failing. A retry budget bounds the second tries meanwhile: failures of one
//! copy must not double the load of the others.
//!
//! Run it with `cargo run --example route_and_retry`.

use std::net::SocketAddr;
use std::time::Duration;

use corianderfork::model::{Name, Share, Time};
use corianderfork::outcome::{Attempt, Doubt, Outcome};
use corianderfork::retry::{self, Budget};
use corianderfork::router::{Config, Router};
use corianderfork::view::{Runner, Vm};

/// Requests, and the time between two of them.
const REQUESTS: u64 = 300;
const GAP: Duration = Duration::from_millis(20);
/// Tries of one request, the first included.
const MAX_TRIES: u32 = 2;

/// What the callers saw, and what the failing copy was given.
#[derive(Debug, Default)]
struct Tally {
    answered: u64,
    unknown: u64,
    not_run: u64,
    retries: u64,
    given_to_failing: u64,
}

/// What a copy does with a lookup: the one on `vm-2` cuts every connection.
fn try_at(vm: &Name) -> Attempt {
    if vm.as_str() == "vm-2" { Attempt::Unknown(Doubt::Reset) } else { Attempt::Answered }
}

/// Runs one lookup, which is idempotent, to its end.
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
    // A share of a copy's slots is used after it has settled.
    let mut now = Time::from_millis(2_000);
    for _ in 0..REQUESTS {
        router.count_request(now, &service);
        match lookup(&mut router, &mut budget, now, &service, &mut tally) {
            Outcome::Answered => tally.answered += 1,
            Outcome::Unknown(_) => tally.unknown += 1,
            Outcome::NotRun(_) => tally.not_run += 1,
        }
        now = now + GAP;
    }
    println!("{tally:?}");

    assert_eq!(tally.answered + tally.unknown + tally.not_run, REQUESTS);
    // By load alone it would get a third of the tries or more.
    assert!(tally.given_to_failing < REQUESTS / 10, "it is left alone");
    assert!(tally.retries <= REQUESTS / 10, "retries stay within their budget");
    assert!(tally.answered > REQUESTS * 9 / 10, "the other two copies carry the load");

    // A transfer is another matter: after a cut connection it may have run.
    assert!(!try_at(&Name::new("vm-2")?).may_retry(false));
    Ok(())
}
