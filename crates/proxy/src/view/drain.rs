//! Operators' drain requests.

use std::time::Duration;

use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::store::{Changes, Entry};
use corianderfork_wire::peer;

use super::{Effect, View, router_vm};

/// How long the store has to be in contact before withdrawals take effect.
pub const SETTLING_PERIOD: Duration = Duration::from_secs(1);

/// The newest known drain request of an operator for a VM.
///
/// Without it, a drain accepted just before the store went down (or the controller died)
/// would reach no proxy: the record of the VM still says that it serves, and the VM gets
/// requests for the whole outage. Proxies act on the request itself, so that only one
/// process needs to have seen it.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRequest {
    /// The revision at which the request was made or withdrawn.
    pub(super) revision: u64,
    pub(super) state: State,
}

/// The contact of this process with the store, by the calls for the drain requests of all
/// VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum Contact {
    /// No call has failed for [`SETTLING_PERIOD`].
    #[default]
    Settled,
    /// A call failed, and none has succeeded since.
    Lost,
    /// All calls since this time have succeeded.
    Since(Time),
}

impl Contact {
    fn is_settled(self) -> bool {
        matches!(self, Self::Settled)
    }
}

/// The state of a drain request.
#[derive(Clone, Debug, Default)]
pub(super) enum State {
    /// The request is in force, with the value of its record.
    Active(String),
    /// The request was withdrawn and still holds, because contact with the store has not
    /// settled.
    ///
    /// If the drain is requested again and the store goes down at once, no process may
    /// know of the new request, and the VM would get requests for the whole outage.
    Settling,
    /// There is no request.
    #[default]
    Withdrawn,
}

impl DrainRequest {
    /// Returns whether the VM must not get requests.
    pub(super) fn holds(&self) -> bool {
        !matches!(self.state, State::Withdrawn)
    }

    pub(super) fn is_settling(&self) -> bool {
        matches!(self.state, State::Settling)
    }
}

impl View {
    /// Returns the active drain requests that no VM record reflects yet, for peers. The
    /// others are reported as leaving VMs, with the epoch of their drain.
    pub fn pending_drains(&self) -> Vec<peer::Record> {
        let pending = self.active_drains().filter(|(vm, ..)| self.takes_work(vm));
        pending.map(record).collect()
    }

    /// Applies drain requests reported by a peer.
    ///
    /// For a process that is cut off from the store, this is the only quick way to learn
    /// of a drain: it requests a snapshot only after the store has been silent for some
    /// seconds, and requests would reach the VM until then.
    ///
    /// A request that is not newer than the last read of this process has been withdrawn:
    /// that read would have included it, and the peer lags behind.
    pub fn on_peer_drains(&mut self, drains: &[peer::Record]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced_revision;
        for request in drains.iter().filter(|request| request.revision > synced) {
            let vm = request.key.strip_prefix(key::DRAINS).and_then(|vm| Name::new(vm).ok());
            let Some(vm) = vm else { continue };
            self.offer_drain(vm, Some(request.value.clone()), request.revision, &mut effects);
        }
        effects
    }

    /// Applies a read of drain requests or of the configuration. An entry that is not newer
    /// than the last read of all records is deleted or already known; deleted ones are left
    /// to such a read.
    pub fn on_partial_range(&mut self, entries: &[Entry]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let synced = self.synced_revision;
        for entry in entries.iter().filter(|entry| entry.revision.0 > synced) {
            self.apply_entry(entry, &mut effects);
        }
        effects
    }

    /// Applies changes of drain requests or of the configuration. Those that are not newer
    /// than the last read of all records are known or undone. The synced revision does not
    /// change, because other records may have changed as well.
    pub fn on_partial_changes(&mut self, changes: &Changes) -> Vec<Effect> {
        let synced = self.synced_revision;
        self.apply_changes(changes.changes.iter().filter(|change| change.revision.0 > synced))
    }

    pub(super) fn remove_missing_drains(
        &mut self,
        revision: u64,
        is_present: impl Fn(&str) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        let withdrawn = self.active_drains().filter(|(vm, ..)| !is_present(&key::drain(vm)));
        let withdrawn: Vec<Name> = withdrawn.map(|(vm, ..)| vm.clone()).collect();
        for vm in withdrawn {
            self.offer_drain(vm, None, revision, effects);
        }
    }

    pub(super) fn offer_drain(
        &mut self,
        vm: Name,
        value: Option<String>,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = self.drain_requests.entry(vm.clone()).or_default();
        if revision <= request.revision {
            return;
        }
        let held = request.holds();
        request.revision = revision;
        request.state = match value {
            Some(value) => State::Active(value),
            None if held && !self.contact.is_settled() => State::Settling,
            None => State::Withdrawn,
        };
        if request.is_settling() {
            return;
        }
        let active = request.holds();
        if active || held {
            effects.push(Effect::DrainRequest { vm: vm.clone(), revision, active });
        }
        effects.extend(self.vm_effect(&vm));
    }

    /// Records that the store responded at `now` to a call sent at `sent` for the drain
    /// requests of all VMs. Ends the withdrawn drains if the store had been in contact for
    /// [`SETTLING_PERIOD`] when the call was sent. The response has to be applied before.
    pub fn on_contact(&mut self, sent: Time, now: Time) -> Vec<Effect> {
        match self.contact {
            Contact::Settled => return Vec::new(),
            Contact::Lost => self.contact = Contact::Since(now),
            Contact::Since(since) if sent >= since + SETTLING_PERIOD => {
                self.contact = Contact::Settled;
                return self.end_settling();
            }
            Contact::Since(_) => {}
        }
        Vec::new()
    }

    /// Records that a call to the store failed.
    pub fn on_contact_lost(&mut self) {
        self.contact = Contact::Lost;
    }

    fn end_settling(&mut self) -> Vec<Effect> {
        let settling = self.drain_requests.iter_mut().filter(|(_, request)| request.is_settling());
        let settled: Vec<(Name, u64)> = settling
            .map(|(vm, request)| {
                request.state = State::Withdrawn;
                (vm.clone(), request.revision)
            })
            .collect();
        let mut effects = Vec::new();
        for (vm, revision) in settled {
            effects.extend(self.vm_effect(&vm));
            effects.push(Effect::DrainRequest { vm, revision, active: false });
        }
        effects
    }

    fn vm_effect(&self, vm: &Name) -> Option<Effect> {
        let register = self.vms.get(vm)?;
        let stored = register.get()?.as_ref()?;
        let request = self.drain_requests.get(vm);
        Some(Effect::Vm(router_vm(vm, &stored.vm, register.revision(), request)))
    }

    /// Returns the active drain requests in their wire form.
    pub(super) fn drain_records(&self) -> impl Iterator<Item = peer::Record> {
        self.active_drains().map(record)
    }

    fn active_drains(&self) -> impl Iterator<Item = (&Name, u64, &String)> {
        self.drain_requests.iter().filter_map(|(vm, request)| match &request.state {
            State::Active(value) => Some((vm, request.revision, value)),
            _ => None,
        })
    }

    fn takes_work(&self, vm: &Name) -> bool {
        let Some(Some(stored)) = self.vms.get(vm).and_then(|stored| stored.get()) else {
            return false;
        };
        stored.vm.phase.takes_work()
    }
}

fn record((vm, revision, value): (&Name, u64, &String)) -> peer::Record {
    peer::Record { key: key::drain(vm), value: value.clone(), revision }
}
