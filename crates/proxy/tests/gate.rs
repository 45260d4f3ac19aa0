//! Slots, the queue of waiting requests, and immediate refusals.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_model::service::Class;
use corianderfork_proxy::gate::{Gate, Slot, SlotRequest};
use corianderfork_routing::limits::Fixed;
use corianderfork_routing::outcome::{Attempt, Reason, Refusal, Rejection};
use corianderfork_routing::router::Config;
use corianderfork_routing::view::{Runner, Vm};
use corianderfork_runtime::clock::Monotonic;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A gate with one runner and one slot, ticked as in the process.
fn gate(queue: usize) -> (Arc<Gate>, Monotonic) {
    let clock = Monotonic::start();
    let config = Config::default().policy(Box::new(Fixed));
    let gate = Arc::new(Gate::new(clock, name("e1"), config, queue));
    gate.set_service(&name("transfer"), 1, 8);
    serve(&gate, 1);
    let weak = Arc::downgrade(&gate);
    thread::spawn(move || {
        while let Some(gate) = weak.upgrade() {
            gate.tick();
            drop(gate);
            thread::sleep(Duration::from_millis(5));
        }
    });
    // A new share cannot be used for a while.
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).expect("a slot of the new share");
    gate.release(slot, Attempt::Answered);
    (gate, clock)
}

/// Waits until a request is in the queue.
fn until_waiting(gate: &Gate, clock: &Monotonic) {
    let deadline = clock.now() + LONG_TIMEOUT;
    while gate.waiting() == 0 {
        assert!(clock.now() < deadline, "no request is waiting");
        thread::sleep(Duration::from_millis(1));
    }
}

fn serve(gate: &Gate, revision: u64) {
    let runner = Runner::new(name("transfer"), "127.0.0.1:9".parse().unwrap(), true);
    gate.set_runners(Vm::new(name("v01"), revision).serving(true).runner(runner));
}

fn slot_request<'a>(service: &'a Name, clock: &Monotonic, wait: Duration) -> SlotRequest<'a> {
    SlotRequest { service, class: Class::Normal, exclude: &[], until: clock.now() + wait }
}

fn acquire(gate: &Gate, clock: &Monotonic, wait: Duration) -> Result<Slot, Refusal> {
    gate.acquire(&slot_request(&name("transfer"), clock, wait))
}

#[test]
fn acquire_waits_for_slot() {
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG_TIMEOUT))
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
fn acquire_with_full_queue_is_refused_at_once() {
    // With all slots and the queue full, a request must be refused at once and not at its
    // deadline.
    let (gate, clock) = gate(1);
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG_TIMEOUT))
    };
    until_waiting(&gate, &clock);
    let before = clock.now();
    let refusal = acquire(&gate, &clock, LONG_TIMEOUT).unwrap_err();
    assert!(clock.now() - before < LONG_TIMEOUT / 2);
    assert!(matches!(refusal.reason, Reason::QueueFull | Reason::DeadlineTooSoon), "{refusal}");
    gate.release(slot, Attempt::Answered);
    gate.release(waiting.join().unwrap().unwrap(), Attempt::Answered);
}

#[test]
fn acquire_after_deadline_leaks_no_slot() {
    // A slot granted to a request at the moment its wait ends must not leak.
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).unwrap();
    let refusal = acquire(&gate, &clock, Duration::from_millis(50)).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineTooSoon);
    gate.release(slot, Attempt::Answered);
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).expect("the slot is free again");
    gate.release(slot, Attempt::Answered);
}

#[test]
fn drain_is_confirmed_after_last_slot() {
    let (gate, clock) = gate(4);
    let slot = acquire(&gate, &clock, LONG_TIMEOUT).unwrap();
    let waiting = {
        let gate = Arc::clone(&gate);
        thread::spawn(move || acquire(&gate, &clock, LONG_TIMEOUT))
    };
    until_waiting(&gate, &clock);
    assert!(gate.start_drain(&name("v01"), 1));
    assert!(!gate.is_drained(&name("v01"), 1));
    // Waiting requests are refused as soon as no runner serves them.
    let refusal = waiting.join().unwrap().unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    let refusal = acquire(&gate, &clock, LONG_TIMEOUT).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoneServing);
    gate.release(slot, Attempt::Rejected(Rejection::Leaving));
    assert!(gate.is_drained(&name("v01"), 1) && !gate.is_drained(&name("v01"), 2));
    assert_eq!(gate.loads().leaving, [name("v01")]);
    // A record from before the drain does not start the VM serving again.
    serve(&gate, 2);
    assert!(acquire(&gate, &clock, LONG_TIMEOUT).is_err());
}
