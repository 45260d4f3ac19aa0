//! The state that the platform last reported for VMs, tasks and usage, and the
//! changes that are still pending there. Does no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::fleet::{Task, TaskState, Usage, Vm, VmState};
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::Revision;

/// A copy, identified by its VM and service.
pub type Copy = (Name, Name);

/// A response, with the time at which its request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading<T> {
    /// When the request was sent.
    pub sent: Time,
    /// The content of the response.
    pub value: T,
}

/// A call that changes a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Starts the copy.
    Start,
    /// Stops the copy.
    Stop,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    change: Change,
    finished_at: Option<Time>,
}

/// The progress of a reboot that this process follows.
#[derive(Clone, Copy, Debug)]
struct Reboot {
    epoch: u64,
    requested_at: Option<Time>,
    requests: u32,
    seen_down: bool,
}

/// How many times a reboot is requested if the list never shows the VM down.
const MAX_REBOOT_REQUESTS: u32 = 2;

/// The next step for a VM that is to reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootStep {
    /// Send the reboot call.
    Request,
    /// Wait for the platform.
    Wait,
    /// Nothing: the VM is back.
    Done,
}

/// The state that the platform reported, and the pending changes.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The list of VMs. It lags behind the platform.
    pub vms: Option<Reading<BTreeMap<Name, VmState>>>,
    /// All tasks.
    pub tasks: Option<Reading<BTreeMap<Copy, Task>>>,
    /// The resource usage of the tasks.
    pub usage: Option<Reading<Vec<Usage>>>,
    /// The wave, with the revision of its record.
    pub wave: Option<Reading<Option<(Revision, Wave)>>>,
    pending: BTreeMap<Copy, Pending>,
    reboots: BTreeMap<Name, Reboot>,
}

impl Facts {
    /// Stores a list of VMs that was requested at `sent`.
    pub fn on_vms(&mut self, sent: Time, vms: Vec<Vm>) {
        let value: BTreeMap<Name, VmState> =
            vms.into_iter().map(|vm| (vm.name, vm.state)).collect();
        for (name, reboot) in &mut self.reboots {
            let down = matches!(value.get(name), Some(VmState::Rebooting | VmState::Leaving));
            reboot.seen_down |=
                down && reboot.requested_at.is_none_or(|requested_at| requested_at <= sent);
        }
        self.vms = Some(Reading { sent, value });
    }

    /// Stores a list of tasks that was requested at `sent`.
    pub fn on_tasks(&mut self, sent: Time, tasks: Vec<Task>) {
        let value = tasks.into_iter().map(|t| ((t.vm.clone(), t.service.clone()), t)).collect();
        // A list requested before a change finished does not show the change.
        // Without the pending entry, the change would be made twice.
        self.pending
            .retain(|_, pending| pending.finished_at.is_none_or(|finished_at| finished_at > sent));
        self.tasks = Some(Reading { sent, value });
    }

    /// Records that a change is being requested.
    pub fn on_change_requested(&mut self, copy: Copy, change: Change) {
        self.pending.insert(copy, Pending { change, finished_at: None });
    }

    /// Records that the call for a change has finished, whatever its result:
    /// the next list shows the effect.
    pub fn on_change_finished(&mut self, now: Time, copy: &Copy) {
        if let Some(pending) = self.pending.get_mut(copy) {
            pending.finished_at = Some(now);
        }
    }

    /// Returns the change of a copy that the list does not show yet.
    pub fn pending(&self, copy: &Copy) -> Option<Change> {
        self.pending.get(copy).map(|pending| pending.change)
    }

    /// Returns the copies whose start was requested and that are not in the
    /// list yet.
    pub fn starting(&self) -> impl Iterator<Item = &Copy> {
        let listed = |copy: &Copy| self.task(copy).is_some();
        let starts = self.pending.iter().filter(|(_, p)| p.change == Change::Start);
        starts.map(|(copy, _)| copy).filter(move |copy| !listed(copy))
    }

    /// Returns the task of a copy.
    pub fn task(&self, copy: &Copy) -> Option<&Task> {
        self.tasks.as_ref()?.value.get(copy)
    }

    /// Returns all tasks on a VM.
    pub fn tasks_on<'a>(&'a self, vm: &'a Name) -> impl Iterator<Item = &'a Task> {
        // `-` sorts before every other name, so the VM's part of the list
        // starts here.
        let first = Name::new("-").map(|service| (vm.clone(), service)).ok();
        let tasks = self.tasks.iter().zip(first).flat_map(|(all, first)| all.value.range(first..));
        tasks.map(|(_, task)| task).take_while(move |task| task.vm == *vm)
    }

    /// Returns all tasks.
    pub fn all_tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().flat_map(|reading| reading.value.values())
    }

    /// Whether a task can serve as far as the platform reports.
    pub fn is_running(&self, copy: &Copy) -> bool {
        let running = |task: &Task| task.state == TaskState::Running && task.address.is_some();
        self.task(copy).is_some_and(running) && self.pending(copy) != Some(Change::Stop)
    }

    /// Returns the state of a VM in the list, or `None` if the VM is not
    /// listed.
    pub fn vm_state(&self, vm: &Name) -> Option<VmState> {
        self.vms.as_ref()?.value.get(vm).copied()
    }

    /// Records that the reboot call for a VM was sent.
    pub fn on_reboot_requested(&mut self, now: Time, vm: &Name) {
        if let Some(reboot) = self.reboots.get_mut(vm) {
            reboot.requested_at = Some(now);
            reboot.requests += 1;
        }
    }

    /// Records that the reboot call for a VM failed.
    pub fn on_reboot_failed(&mut self, vm: &Name) {
        if let Some(reboot) = self.reboots.get_mut(vm) {
            reboot.requested_at = None;
            reboot.requests = reboot.requests.saturating_sub(1);
        }
    }

    /// Returns the next step for a VM whose record shows it as rebooting since
    /// the drain `epoch`.
    ///
    /// The list lags and shows a VM as live both before and after its reboot,
    /// so a VM counts as back only if it was seen down and is live again. A
    /// reboot that was not seen within `retry` is requested once more, which is
    /// safe as nothing is in flight on the VM. If it is still not seen, it
    /// counts as done: it was too short for the list, and the VM would
    /// otherwise be rebooted forever.
    pub fn reboot(&mut self, now: Time, vm: &Name, epoch: u64, retry: Duration) -> RebootStep {
        let state = self.vm_state(vm);
        let new = Reboot { epoch, requested_at: None, requests: 0, seen_down: false };
        let reboot = self.reboots.entry(vm.clone()).or_insert(new);
        if reboot.epoch != epoch {
            *reboot = new;
        }
        match state {
            Some(VmState::Rebooting | VmState::Leaving) if reboot.requested_at.is_none() => {
                // A previous holder of the lease has requested the reboot.
                reboot.seen_down = true;
                RebootStep::Wait
            }
            Some(VmState::Live) if reboot.seen_down => RebootStep::Done,
            Some(VmState::Live)
                if reboot.requested_at.is_none_or(|requested_at| now - requested_at > retry) =>
            {
                if reboot.requests < MAX_REBOOT_REQUESTS {
                    RebootStep::Request
                } else {
                    RebootStep::Done
                }
            }
            _ => RebootStep::Wait,
        }
    }

    /// Drops the reboots of VMs that are not in `rebooting`.
    pub fn retain_reboots(&mut self, rebooting: impl Fn(&Name) -> bool) {
        self.reboots.retain(|vm, _| rebooting(vm));
    }

    /// Drops everything. Used when another process may have made decisions
    /// since.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether tasks, VMs and the wave were all requested at or after `since`.
    pub fn is_fresh(&self, since: Time) -> bool {
        let vms = self.vms.as_ref().is_some_and(|reading| reading.sent >= since);
        let tasks = self.tasks.as_ref().is_some_and(|reading| reading.sent >= since);
        let wave = self.wave.as_ref().is_some_and(|reading| reading.sent >= since);
        vms && tasks && wave
    }
}
