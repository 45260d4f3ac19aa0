//! The controller that holds the lease: one decision over the whole fleet.

use corianderfork::model::{Fleet, Time};
use corianderfork::policy::state::Copy;
use corianderfork::policy::{Config, Directive, Operation, State, decide};

use crate::fit::{Series, memory_kib, micros, print_retained};
use crate::fleet;

const SIZES: [usize; 5] = [50, 340, 850, 1700, 2900];
/// Rounds of decisions after which the fleet no longer changes.
const ROUNDS: u64 = 40;
/// The time between two decisions.
const PERIOD_MS: u64 = 60_000;

pub fn series() -> Vec<Series> {
    let decide = |vms| {
        let fleet = fleet::parsed(vms).fleet;
        let (state, now) = settled_state(&fleet);
        let (directive, config) = (Directive::default(), Config::default());
        micros(|| decide(&fleet, &state, &directive, &config, now)) / 1e3
    };
    let memory = |vms| memory_kib("controller", vms);
    vec![
        Series::new("controller", "decision", ("vm", "ms"), &SIZES, decide),
        Series::new("controller", "state_held", ("vm", "KiB"), &SIZES, memory),
    ]
}

pub fn print_memory(vms: usize) {
    let fleet = fleet::parsed(vms).fleet;
    print_retained(|| settled_state(&fleet));
}

/// Returns the state of a fleet whose copies all run and whose VMs were maintained
/// recently.
fn settled_state(fleet: &Fleet) -> (State, Time) {
    let mut now = Time::from_millis(1_000_000_000_000);
    let mut state = State::new(fleet, now);
    for vm in fleet.vm_ids() {
        state.vm_mut(vm).maintained_at = Some(now);
    }
    let (directive, config) = (Directive::default(), Config::default());
    for _ in 0..ROUNDS {
        for step in decide(fleet, &state, &directive, &config, now).steps {
            carry_out(&mut state, step.operation, now);
        }
        now = Time::from_millis(now.as_millis() + PERIOD_MS);
    }
    let copies: usize = state.vms().map(|(_, vm)| vm.copies.len()).sum();
    assert!(copies >= 8 * fleet.services().len(), "the fleet has not settled: {copies} copies");
    (state, now)
}

fn carry_out(state: &mut State, operation: Operation, now: Time) {
    match operation {
        Operation::Start { vm, service } => {
            let mut copy = Copy::new(service, now);
            copy.warm = true;
            let copies = &mut state.vm_mut(vm).copies;
            copies.retain(|copy| copy.service != service);
            copies.push(copy);
        }
        Operation::Stop { vm, service } => {
            state.vm_mut(vm).copies.retain(|copy| copy.service != service);
        }
        // No maintenance is due and nothing fails, so no VM is drained or moved.
        _ => {}
    }
}
