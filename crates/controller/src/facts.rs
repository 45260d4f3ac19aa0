//! What the platform said of VMs, tasks and usage, and what was asked of it
//! since. Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::fleet::{Task, TaskState, Usage, Vm, VmState};
use corianderfork_provider::record::Wave;
use corianderfork_provider::store::Revision;

/// A copy: a VM and a service.
pub type Copy = (Name, Name);

/// An answer with the time at which its call was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed<T> {
    /// When the call was sent.
    pub sent: Time,
    /// What it brought.
    pub value: T,
}

/// A call that changes a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Start it.
    Start,
    /// Stop it.
    Stop,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    change: Change,
    done: Option<Time>,
}

/// Where a reboot that this process follows has come to.
#[derive(Clone, Copy, Debug)]
struct Reboot {
    epoch: u64,
    asked: Option<Time>,
    asks: u32,
    seen_down: bool,
}

/// How often a reboot that nobody saw is asked for.
const ASKS: u32 = 2;

/// What a VM that is to reboot needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The call.
    Ask,
    /// Patience.
    Wait,
    /// Nothing: it is back.
    Back,
}

/// What the platform said.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The list of VMs; it lags.
    pub vms: Option<Listed<BTreeMap<Name, VmState>>>,
    /// All tasks.
    pub tasks: Option<Listed<BTreeMap<Copy, Task>>>,
    /// What tasks use.
    pub usage: Option<Listed<Vec<Usage>>>,
    /// The wave, with the revision of its write.
    pub wave: Option<Listed<Option<(Revision, Wave)>>>,
    pending: BTreeMap<Copy, Pending>,
    reboots: BTreeMap<Name, Reboot>,
}

impl Facts {
    /// The list of VMs came in.
    pub fn on_vms(&mut self, sent: Time, vms: Vec<Vm>) {
        let value: BTreeMap<Name, VmState> =
            vms.into_iter().map(|vm| (vm.name, vm.state)).collect();
        for (name, reboot) in &mut self.reboots {
            let down = matches!(value.get(name), Some(VmState::Rebooting | VmState::Leaving));
            reboot.seen_down |= down && reboot.asked.is_none_or(|asked| asked <= sent);
        }
        self.vms = Some(Listed { sent, value });
    }

    /// The tasks came in.
    pub fn on_tasks(&mut self, sent: Time, tasks: Vec<Task>) {
        let value = tasks.into_iter().map(|t| ((t.vm.clone(), t.service.clone()), t)).collect();
        // A list that was asked for before a change was made does not show it;
        // acting on it alone would make the change twice.
        self.pending.retain(|_, pending| pending.done.is_none_or(|done| done > sent));
        self.tasks = Some(Listed { sent, value });
    }

    /// A change was asked for.
    pub fn on_asked(&mut self, copy: Copy, change: Change) {
        self.pending.insert(copy, Pending { change, done: None });
    }

    /// The call for a change has ended, however it did: the next list tells.
    pub fn on_ended(&mut self, now: Time, copy: &Copy) {
        if let Some(pending) = self.pending.get_mut(copy) {
            pending.done = Some(now);
        }
    }

    /// The change that is not yet to be seen in the list.
    pub fn pending(&self, copy: &Copy) -> Option<Change> {
        self.pending.get(copy).map(|pending| pending.change)
    }

    /// Copies that were asked for and are not in the list yet.
    pub fn starting(&self) -> impl Iterator<Item = &Copy> {
        let listed = |copy: &Copy| self.task(copy).is_some();
        let starts = self.pending.iter().filter(|(_, p)| p.change == Change::Start);
        starts.map(|(copy, _)| copy).filter(move |copy| !listed(copy))
    }

    /// The task of a copy.
    pub fn task(&self, copy: &Copy) -> Option<&Task> {
        self.tasks.as_ref()?.value.get(copy)
    }

    /// All tasks on a VM.
    pub fn tasks_on<'a>(&'a self, vm: &'a Name) -> impl Iterator<Item = &'a Task> {
        // `-` comes before every other name, so that this is where the VM's
        // part of the list begins.
        let first = Name::new("-").map(|service| (vm.clone(), service)).ok();
        let tasks = self.tasks.iter().zip(first).flat_map(|(all, first)| all.value.range(first..));
        tasks.map(|(_, task)| task).take_while(move |task| task.vm == *vm)
    }

    /// All tasks.
    pub fn all_tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().flat_map(|listed| listed.value.values())
    }

    /// Whether a task is able to serve as far as the platform says.
    pub fn is_running(&self, copy: &Copy) -> bool {
        let running = |task: &Task| task.state == TaskState::Running && task.address.is_some();
        self.task(copy).is_some_and(running) && self.pending(copy) != Some(Change::Stop)
    }

    /// The state of a VM by the list; `None` if it isn't there.
    pub fn state(&self, vm: &Name) -> Option<VmState> {
        self.vms.as_ref()?.value.get(vm).copied()
    }

    /// The reboot call for a VM has been sent.
    pub fn on_reboot_asked(&mut self, now: Time, vm: &Name) {
        if let Some(reboot) = self.reboots.get_mut(vm) {
            reboot.asked = Some(now);
            reboot.asks += 1;
        }
    }

    /// The reboot call for a VM has failed.
    pub fn on_reboot_failed(&mut self, vm: &Name) {
        if let Some(reboot) = self.reboots.get_mut(vm) {
            reboot.asked = None;
            reboot.asks = reboot.asks.saturating_sub(1);
        }
    }

    /// What the VM, whose record says that it reboots since the drain `epoch`,
    /// needs next.
    ///
    /// The list lags and shows a VM as live both before and after: only one
    /// that was seen down since and is live again is back. A reboot that was
    /// not seen within `retry` is asked for once more, as nothing is in flight
    /// there. Still not seen, it counts as made: it was too short for the list,
    /// which would otherwise have the VM rebooted for ever.
    pub fn reboot(&mut self, now: Time, vm: &Name, epoch: u64, retry: Duration) -> Next {
        let state = self.state(vm);
        let new = Reboot { epoch, asked: None, asks: 0, seen_down: false };
        let reboot = self.reboots.entry(vm.clone()).or_insert(new);
        if reboot.epoch != epoch {
            *reboot = new;
        }
        match state {
            Some(VmState::Rebooting | VmState::Leaving) if reboot.asked.is_none() => {
                // A predecessor asked already.
                reboot.seen_down = true;
                Next::Wait
            }
            Some(VmState::Live) if reboot.seen_down => Next::Back,
            Some(VmState::Live) if reboot.asked.is_none_or(|asked| now - asked > retry) => {
                if reboot.asks < ASKS { Next::Ask } else { Next::Back }
            }
            _ => Next::Wait,
        }
    }

    /// Forgets the reboots of VMs that are not in `rebooting`.
    pub fn retain_reboots(&mut self, rebooting: impl Fn(&Name) -> bool) {
        self.reboots.retain(|vm, _| rebooting(vm));
    }

    /// Forgets all: another process has decided meanwhile.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether tasks, VMs and the wave were asked for after `since`.
    pub fn is_fresh(&self, since: Time) -> bool {
        let vms = self.vms.as_ref().is_some_and(|listed| listed.sent >= since);
        let tasks = self.tasks.as_ref().is_some_and(|listed| listed.sent >= since);
        let wave = self.wave.as_ref().is_some_and(|listed| listed.sent >= since);
        vms && tasks && wave
    }
}
