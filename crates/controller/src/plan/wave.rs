//! The wave that operators ordered, as its record says and as the VMs show.
//!
//! Whoever writes a wave with a new number orders it: the VMs to do, or none
//! for all of the fleet. The holder of the lease keeps the lists true; nothing
//! of a wave is in memory alone.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::directive::{Directive, Pace};
use corianderfork_policy::state::{Phase, Purpose, Vm};
use corianderfork_policy::wave::Order;
use corianderfork_policy::{Note, State};
use corianderfork_provider::record::Wave;

/// How long a wave may take before its deadline presses, if none is named.
const DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// Failed starts in a row that make a VM count as failing.
const UNFIT: u16 = 2;

/// Whether nothing is left to do.
pub fn is_finished(wave: &Wave) -> bool {
    let ran = !wave.done.is_empty() || !wave.failed.is_empty();
    wave.todo.is_empty() && wave.doing.is_empty() && ran
}

/// Tells the policy of `wave`: the order, its pace, and which VMs are none of
/// its business.
pub fn apply(wave: &Wave, fleet: &Fleet, state: &mut State, directive: &mut Directive) {
    if is_finished(wave) {
        state.wave = None;
        return;
    }
    let began = Time::from_millis(wave.began_ms);
    let deadline = match wave.deadline_ms {
        0 => began + DEADLINE,
        millis => Time::from_millis(millis),
    };
    let mut order = Order::new(began, deadline);
    // Failures listed while the wave is not halted are ones that an operator
    // has seen: clearing the halt is how they say to go on.
    order.resumed_at = forgiven(wave, fleet, state);
    state.wave = Some(order);
    spare_others(wave, fleet, state, began);
    if wave.halted.is_some() {
        directive.pace = Pace::Paused;
    } else if wave.step > 0 {
        directive.pace = slower(directive.pace, wave.step);
    }
}

fn forgiven(wave: &Wave, fleet: &Fleet, state: &State) -> Option<Time> {
    if wave.halted.is_some() {
        return None;
    }
    let ids = wave.failed.iter().filter_map(|name| fleet.find_vm(name.as_str()));
    let last = ids.filter_map(|id| state.vm(id).maintained_at).max()?;
    Some(last + Duration::from_millis(1))
}

/// The policy orders waves by pool. VMs that this wave does not name count as
/// maintained, so that it passes them over.
fn spare_others(wave: &Wave, fleet: &Fleet, state: &mut State, began: Time) {
    if wave.todo.is_empty() && wave.doing.is_empty() {
        return;
    }
    let names: BTreeSet<&Name> = wave.todo.iter().chain(&wave.doing).collect();
    for (id, row) in fleet.vms() {
        let named = names.contains(&row.name);
        let vm = state.vm_mut(id);
        if !named && vm.phase == Phase::Serving {
            vm.maintained_at = vm.maintained_at.max(Some(began));
        }
    }
}

fn slower(pace: Pace, step: u32) -> Pace {
    match pace {
        Pace::Measured => Pace::AtMost(step),
        Pace::AtMost(most) => Pace::AtMost(most.min(step)),
        Pace::Paused => Pace::Paused,
    }
}

/// Where a VM of a wave stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Todo,
    Doing,
    Done,
    Failing,
}

fn standing(vm: &Vm, began: Time) -> Standing {
    let back = vm.maintained_at.is_some_and(|then| then >= began);
    let serving = vm.phase == Phase::Serving;
    if !back {
        let out = vm.phase == Phase::Out;
        return if out {
            Standing::Failing
        } else if serving {
            Standing::Todo
        } else {
            Standing::Doing
        };
    }
    let all_fail = !vm.copies.is_empty() && vm.copies.iter().all(|copy| copy.failing);
    let unfit = vm.phase == Phase::Out || vm.purpose == Some(Purpose::Unfit);
    if unfit || all_fail || vm.failed_starts >= UNFIT {
        return Standing::Failing;
    }
    let well = serving && vm.lost_since.is_none() && vm.copies.iter().all(|copy| copy.warm);
    if well { Standing::Done } else { Standing::Doing }
}

/// The record as it should be, `state` being before [`apply`].
pub fn advance(wave: &Wave, fleet: &Fleet, state: &State, notes: &[Note]) -> Wave {
    let mut next = wave.clone();
    if is_finished(wave) {
        return next;
    }
    if next.todo.is_empty() && next.doing.is_empty() {
        next.todo = fleet.vms().map(|(_, vm)| vm.name.clone()).collect();
    }
    let began = Time::from_millis(wave.began_ms);
    let names: Vec<Name> = next.todo.drain(..).chain(next.doing.drain(..)).collect();
    let mut failing = Vec::new();
    for name in names {
        let vm: Option<VmId> = fleet.find_vm(name.as_str());
        match vm.map(|id| standing(state.vm(id), began)) {
            Some(Standing::Todo) => next.todo.push(name),
            Some(Standing::Doing) => next.doing.push(name),
            Some(Standing::Done) => next.done.push(name),
            Some(Standing::Failing) => failing.push(name),
            // It left the configuration: there is nothing to maintain.
            None => next.failed.push(name),
        }
    }
    let halted = notes.iter().find_map(|note| match note {
        Note::Halted { failing, back } => Some(format!(
            "{failing} of {back} VMs came back failing; look at them, then `wave resume`"
        )),
        _ => None,
    });
    if next.halted.is_none() && halted.is_some() {
        // Some show only after they counted as done. Left there, the wave would
        // stand still and its record would not say why.
        failing.extend(take_failing(&mut next.done, fleet, state, began));
    }
    if next.halted.is_none() && halted.is_some() && !failing.is_empty() {
        next.halted = halted;
        next.failed.append(&mut failing);
    } else if next.todo.is_empty() && next.doing.is_empty() {
        next.failed.append(&mut failing);
    } else {
        next.doing.append(&mut failing);
    }
    next
}

/// Takes the VMs that fail out of those that were done.
fn take_failing(done: &mut Vec<Name>, fleet: &Fleet, state: &State, began: Time) -> Vec<Name> {
    let fails = |name: &Name| {
        let vm = fleet.find_vm(name.as_str());
        vm.is_some_and(|id| standing(state.vm(id), began) == Standing::Failing)
    };
    let failing = done.iter().filter(|name| fails(name)).cloned().collect();
    done.retain(|name| !fails(name));
    failing
}
