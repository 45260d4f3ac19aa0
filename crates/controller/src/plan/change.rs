//! The record of a VM after each step. Each function gives the whole new
//! record; the caller writes it by compare-and-swap against the one it was
//! made from.

use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::record::{Phase, Runner, Vm};

use crate::plan::reason;

/// How long before its first record a VM counts as maintained.
///
/// When a VM was last maintained is not known then. Taken for long ago, the
/// first configuration would be answered by reboots on a fleet that has no
/// copies yet; taken for now, all VMs would count as back from a reboot today,
/// and those that fail at the start would halt maintenance.
const SINCE_MAINTAINED: Duration = Duration::from_secs(25 * 3600);

/// The first record of a VM, which serves in `home`.
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

/// Takes a VM out for `why`, to go to the pool `to` if it is being moved.
///
/// Its runners stay in the record until it is drained: proxies have work in
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

/// Nothing is in flight on a VM any more.
pub fn drained(vm: &Vm, unix: Time) -> Vm {
    Vm { phase: Phase::Drained, runners: Vec::new(), since_ms: unix.as_millis(), ..vm.clone() }
}

/// The VM is about to be told to reboot. Written before the call, so that a
/// successor makes it if this process ends in between.
pub fn rebooting(vm: &Vm, unix: Time) -> Vm {
    Vm { phase: Phase::Rebooting, runners: Vec::new(), since_ms: unix.as_millis(), ..vm.clone() }
}

/// The VM is back from a reboot.
pub fn rebooted(vm: &Vm, unix: Time) -> Vm {
    let now = unix.as_millis();
    Vm { phase: Phase::Returning, since_ms: now, maintained_ms: now, ..vm.clone() }
}

/// The VM belongs to the pool `to` from this write on.
pub fn switched(vm: &Vm, to: &Name, lent: bool, unix: Time) -> Vm {
    Vm {
        pool: to.clone(),
        phase: Phase::Returning,
        runners: Vec::new(),
        reason: reason::with("switched", lent),
        // Later than any reboot, which tells this apart from a return from one.
        since_ms: unix.as_millis().max(vm.maintained_ms + 1),
        moving_to: None,
        ..vm.clone()
    }
}

/// The VM takes work of its pool, on `runners`.
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

/// The VM stays out for `why` until an operator looks at it.
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

/// The VM that was out comes back.
pub fn returning(vm: &Vm, unix: Time) -> Vm {
    Vm {
        phase: Phase::Returning,
        reason: reason::keep("", vm),
        since_ms: unix.as_millis().max(vm.maintained_ms + 1),
        moving_to: None,
        ..vm.clone()
    }
}

/// The VM's copies that are able to serve have changed.
pub fn runners(vm: &Vm, runners: Vec<Runner>) -> Vm {
    Vm { runners, ..vm.clone() }
}
