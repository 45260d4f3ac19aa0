//! The wave that operators ordered, according to its record and the state of
//! the VMs.
//!
//! Writing a wave with a new number orders it: it names its VMs, or none for
//! the whole fleet. The holder of the lease updates the lists. Nothing about a
//! wave is kept in memory alone.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::directive::{Directive, Pace};
use corianderfork_policy::state::{Phase, Purpose, Vm};
use corianderfork_policy::wave::Order;
use corianderfork_policy::{Note, State};
use corianderfork_provider::record::Wave;

/// The deadline of a wave that names none, counted from its start.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// The number of consecutive failed starts that make a VM count as failing.
const UNFIT_AFTER: u16 = 2;

/// Whether nothing is left to do.
pub fn is_finished(wave: &Wave) -> bool {
    let has_run = !wave.done.is_empty() || !wave.failed.is_empty();
    wave.todo.is_empty() && wave.doing.is_empty() && has_run
}

/// Passes `wave` to the policy: its order, its pace, and the VMs that it does
/// not include.
pub fn apply(wave: &Wave, fleet: &Fleet, state: &mut State, directive: &mut Directive) {
    if is_finished(wave) {
        state.wave = None;
        return;
    }
    let began = Time::from_millis(wave.began_ms);
    let deadline = match wave.deadline_ms {
        0 => began + DEFAULT_DEADLINE,
        millis => Time::from_millis(millis),
    };
    let mut order = Order::new(began, deadline);
    // Failures listed while the wave is not halted have been seen by an
    // operator, who continues the wave by clearing the halt.
    order.resumed_at = resumed_at(wave, fleet, state);
    state.wave = Some(order);
    exclude_others(wave, fleet, state, began);
    if wave.halted.is_some() {
        directive.pace = Pace::Paused;
    } else if wave.step > 0 {
        directive.pace = limit_pace(directive.pace, wave.step);
    }
}

fn resumed_at(wave: &Wave, fleet: &Fleet, state: &State) -> Option<Time> {
    if wave.halted.is_some() {
        return None;
    }
    let ids = wave.failed.iter().filter_map(|name| fleet.find_vm(name.as_str()));
    let last = ids.filter_map(|id| state.vm(id).maintained_at).max()?;
    Some(last + Duration::from_millis(1))
}

/// The policy orders waves by pool. VMs that this wave does not name count as
/// maintained, so that it skips them.
fn exclude_others(wave: &Wave, fleet: &Fleet, state: &mut State, began: Time) {
    if wave.todo.is_empty() && wave.doing.is_empty() {
        return;
    }
    let names: BTreeSet<&Name> = wave.todo.iter().chain(&wave.doing).collect();
    for (id, spec) in fleet.vms() {
        let is_named = names.contains(&spec.name);
        let vm = state.vm_mut(id);
        if !is_named && vm.phase == Phase::Serving {
            vm.maintained_at = vm.maintained_at.max(Some(began));
        }
    }
}

fn limit_pace(pace: Pace, step: u32) -> Pace {
    match pace {
        Pace::Measured => Pace::AtMost(step),
        Pace::AtMost(most) => Pace::AtMost(most.min(step)),
        Pace::Paused => Pace::Paused,
    }
}

/// The progress of a VM in a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Todo,
    Doing,
    Done,
    Failing,
}

fn progress(vm: &Vm, began: Time) -> Progress {
    let is_back = vm.maintained_at.is_some_and(|then| then >= began);
    let serving = vm.phase == Phase::Serving;
    if !is_back {
        let out = vm.phase == Phase::Out;
        return if out {
            Progress::Failing
        } else if serving {
            Progress::Todo
        } else {
            Progress::Doing
        };
    }
    let all_fail = !vm.copies.is_empty() && vm.copies.iter().all(|copy| copy.failing);
    let is_unfit = vm.phase == Phase::Out || vm.purpose == Some(Purpose::Unfit);
    if is_unfit || all_fail || vm.failed_starts >= UNFIT_AFTER {
        return Progress::Failing;
    }
    let is_healthy = serving && vm.lost_since.is_none() && vm.copies.iter().all(|copy| copy.warm);
    if is_healthy { Progress::Done } else { Progress::Doing }
}

/// Returns the updated record. `state` is the state before [`apply`].
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
        match vm.map(|id| progress(state.vm(id), began)) {
            Some(Progress::Todo) => next.todo.push(name),
            Some(Progress::Doing) => next.doing.push(name),
            Some(Progress::Done) => next.done.push(name),
            Some(Progress::Failing) => failing.push(name),
            // The VM left the configuration, so it can't be maintained.
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
        // Some VMs fail only after they counted as done. If they stayed there,
        // the wave would be halted without its record saying why.
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

/// Removes the failing VMs from `done` and returns them.
fn take_failing(done: &mut Vec<Name>, fleet: &Fleet, state: &State, began: Time) -> Vec<Name> {
    let fails = |name: &Name| {
        let vm = fleet.find_vm(name.as_str());
        vm.is_some_and(|id| progress(state.vm(id), began) == Progress::Failing)
    };
    let failing = done.iter().filter(|name| fails(name)).cloned().collect();
    done.retain(|name| !fails(name));
    failing
}
