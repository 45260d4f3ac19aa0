//! Slots, the waiting queue, and who is refused at once.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_model::service::Class;
use corianderfork_proxy::gate::{Gate, Slot, Want};
use corianderfork_routing::limits::Fixed;
use corianderfork_routing::outcome::{Attempt, Reason, Refusal, Rejection};
use corianderfork_routing::router::Config;
use corianderfork_routing::view::{Runner, Vm};
use corianderfork_runtime::clock::Monotonic;

const LONG: Duration = Duration::from_secs(20);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// One runner with one slot, ticked as in the process.
fn gate(queue: usize) -> (Arc<Gate>, Monotonic) {
    let clock = Monotonic::start();
    let config = Config::default().policy(Box::new(Fixed));
    let gate = Arc::new(Gate::new(clock, name("e1"), config, queue));
    gate.set_service(&name("transfer"), 1, 8);
    serve(&gate, 1);
    let ticked = Arc::downgrade(&gate);
    thread::spawn(move || {
        while let Some(gate) = ticked.upgrade() {
            gate.tick();
            drop(gate);
            thread::sleep(Duration::from_millis(5));
        }
    });
    // A new share rests for a while.
    let slot = acquire(&gate, &clock, LONG).expect("the share is used in the end");
    gate.release(slot, Attempt::Answered);
    (gate, clock)
}

/// Waits until a request waits.
fn until_waiting(gate: &Gate, clock: &Monotonic) {
    let deadline = clock.now() + LONG;
    while gate.waiting() == 0 {
        assert!(clock.now() < deadline, "nothing waits");
        thread::sleep(Duration::from_millis(1));
    }
}

fn serve(gate: &Gate, revision: u64) {
    let runner = Runner::new(name("transfer"), "127.0.0.1:9".parse().unwrap(), true);
    gate.set_runners(Vm::new(name("v01"), revision).serving(true).runner(runner));
}

fn want<'a>(service: &'a Name, clock: &Monotonic, wait: Duration) -> Want<'a> {
    Want { service, class: Class::Normal, exclude: &[], until: clock.now() + wait }
}

fn acquire(gate: &Gate, clock: &Monotonic, wait: Duration) -> Result<Slot, Refusal> {
    gate.acquire(&want(&name("transfer"), clock, wait))
}

#[test]
fn acquire_waits_for_a_slot() {
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG))
    };
    until_waiting(&gate, &clock);
    assert_eq!(gate.loads().waiting.get("transfer"), Some(&1));
    gate.release(slot, Attempt::Answered);
    let slot = waiting.join().unwrap().unwrap();
    assert_eq!(gate.loads().in_flight.values().sum::<u32>(), 1);
    gate.release(slot, Attempt::Answered);
    assert!(gate.loads().in_flight.is_empty());
}

#[test]
fn acquire_full_queue_is_refused_at_once() {
    // Symptom: a caller learns only at its deadline that nothing was done.
    // Sequence: all slots and the queue are full.
    // Cause: refusals are held until the deadline.
    let (gate, clock) = gate(1);
    let slot = acquire(&gate, &clock, LONG).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG))
    };
    until_waiting(&gate, &clock);
    let before = clock.now();
    let refusal = acquire(&gate, &clock, LONG).unwrap_err();
    assert!(clock.now() - before < LONG / 2);
    assert!(matches!(refusal.reason, Reason::QueueFull | Reason::DeadlineTooSoon), "{refusal}");
    gate.release(slot, Attempt::Answered);
    gate.release(waiting.join().unwrap().unwrap(), Attempt::Answered);
}

#[test]
fn acquire_gives_up_when_its_time_is_over() {
    // Symptom: a slot is in use for good, though nothing runs.
    // Sequence: a request gives up waiting in the moment a slot is given to it.
    // Cause: the slot goes to a thread that is no longer there.
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG).unwrap();
    let refusal = acquire(&gate, &clock, Duration::from_millis(50)).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineTooSoon);
    gate.release(slot, Attempt::Answered);
    let slot = acquire(&gate, &clock, LONG).expect("the slot is free again");
    gate.release(slot, Attempt::Answered);
}

#[test]
fn drain_is_confirmed_after_the_last_slot() {
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG))
    };
    until_waiting(&gate, &clock);
    assert!(gate.drain(&name("v01"), 1));
    assert!(!gate.is_drained(&name("v01"), 1));
    // What waits is refused in the moment it waits in vain.
    let refusal = waiting.join().unwrap().unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    let refusal = acquire(&gate, &clock, LONG).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    gate.release(slot, Attempt::Rejected(Rejection::Leaving));
    assert!(gate.is_drained(&name("v01"), 1) && !gate.is_drained(&name("v01"), 2));
    assert_eq!(gate.loads().leaving, [name("v01")]);
    // A record of before the drain admits nothing.
    serve(&gate, 2);
    assert!(acquire(&gate, &clock, LONG).is_err());
}
