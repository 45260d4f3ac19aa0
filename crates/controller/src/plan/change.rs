//! The record of a VM after each transition. Each function returns the complete
//! new record, which the caller writes by compare-and-swap against the one it
//! is based on.

use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Phase, Runner, Vm};

use crate::plan::reason;

/// The age of the last maintenance that a VM's first record claims.
///
/// The real time is unknown. If a time long ago were assumed, the first
/// configuration would reboot VMs in a fleet that has no copies yet. If the
/// current time were assumed, all VMs would count as returned from a reboot
/// today, and those that fail at startup would halt maintenance.
const SINCE_MAINTAINED: Duration = Duration::from_secs(25 * 3600);

/// Returns the first record of a VM, which serves its pool `home`.
pub fn created(home: &Name, unix: Time) -> Vm {
    let maintained = (unix - Time::ZERO).saturating_sub(SINCE_MAINTAINED);
    Vm {
        pool: home.clone(),
        phase: Phase::Serving,
        epoch: 0,
        runners: Vec::new(),
        reason: String::new(),
        since_ms: unix.as_millis(),
        maintained_ms: u64::try_from(maintained.as_millis()).unwrap_or_default(),
        moving_to: None,
    }
}

/// Takes a VM out for `why`. `to` is the pool that it moves to, if any.
///
/// Its runners stay in the record until it is drained, as proxies have work in
/// flight there.
pub fn draining(vm: &Vm, why: &str, to: Option<Name>, unix: Time) -> Vm {
    Vm {
        phase: Phase::Draining,
        epoch: vm.epoch + 1,
        reason: reason::keep(why, vm),
        since_ms: unix.as_millis(),
        moving_to: to,
        ..vm.clone()
    }
}

/// Marks a VM as drained: nothing is in flight there.
pub fn drained(vm: &Vm, unix: Time) -> Vm {
    Vm { phase: Phase::Drained, runners: Vec::new(), since_ms: unix.as_millis(), ..vm.clone() }
}

/// Marks a VM as rebooting. Written before the reboot call, so that the next
/// holder of the lease makes the call if this process ends in between.
pub fn rebooting(vm: &Vm, unix: Time) -> Vm {
    Vm { phase: Phase::Rebooting, runners: Vec::new(), since_ms: unix.as_millis(), ..vm.clone() }
}

/// Marks a VM as back from a reboot.
pub fn rebooted(vm: &Vm, unix: Time) -> Vm {
    let now = unix.as_millis();
    Vm { phase: Phase::Returning, since_ms: now, maintained_ms: now, ..vm.clone() }
}

/// Moves a VM to the pool `to`.
pub fn switched(vm: &Vm, to: &Name, lent: bool, unix: Time) -> Vm {
    Vm {
        pool: to.clone(),
        phase: Phase::Returning,
        runners: Vec::new(),
        reason: reason::with("switched", lent),
        // Later than any reboot, to distinguish this from a return from one.
        since_ms: unix.as_millis().max(vm.maintained_ms + 1),
        moving_to: None,
        ..vm.clone()
    }
}

/// Returns a VM to service in its pool, with the copies `runners`.
pub fn serving(vm: &Vm, runners: Vec<Runner>, unix: Time) -> Vm {
    Vm {
        phase: Phase::Serving,
        runners,
        reason: reason::keep("", vm),
        since_ms: unix.as_millis(),
        moving_to: None,
        ..vm.clone()
    }
}

/// Takes a VM out for `why` until an operator intervenes.
pub fn out(vm: &Vm, why: &str, unix: Time) -> Vm {
    Vm {
        phase: Phase::Out,
        runners: Vec::new(),
        reason: reason::keep(why, vm),
        since_ms: unix.as_millis(),
        moving_to: None,
        ..vm.clone()
    }
}

/// Brings back a VM that was out.
pub fn returning(vm: &Vm, unix: Time) -> Vm {
    Vm {
        phase: Phase::Returning,
        reason: reason::keep("", vm),
        since_ms: unix.as_millis().max(vm.maintained_ms + 1),
        moving_to: None,
        ..vm.clone()
    }
}

/// Updates the copies of a VM that are able to serve.
pub fn runners(vm: &Vm, runners: Vec<Runner>) -> Vm {
    Vm { runners, ..vm.clone() }
}
