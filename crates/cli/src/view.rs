//! The state of the fleet, computed from the store's records.

use std::collections::BTreeMap;

use corianderfork_model::service::Service;
use corianderfork_model::{Fleet, Name};
use corianderfork_provider::key;
use corianderfork_provider::record::{Drain, Member, Phase, Runner, Vm, Wave};
use corianderfork_provider::store::{Change, Entry, Range};
use serde::Serialize;

use crate::error::Error;
use crate::record;

/// The records under [`key::SHARED`]; a watch can keep them up to date.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<String, Entry>,
}

/// The state of a VM.
#[derive(Clone, Debug, Serialize)]
pub struct VmRow {
    /// The VM's name.
    pub vm: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// Its phase.
    pub phase: Phase,
    /// A number that is incremented at each drain.
    pub epoch: u64,
    /// Why it is in this phase.
    pub reason: String,
    /// When the phase began, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When it was last maintained; 0 if unknown.
    pub maintained_ms: u64,
    /// The pool that it is being moved to.
    pub moving_to: Option<Name>,
    /// The operator's drain, if any.
    pub drain: Option<Drain>,
    /// The copies on it that are able to serve.
    pub runners: Vec<Runner>,
}

/// The number of VMs of a pool in each phase.
#[derive(Clone, Debug, Serialize)]
pub struct PoolRow {
    /// The pool.
    pub pool: Name,
    /// All VMs.
    pub vms: usize,
    /// VMs that take work.
    pub serving: usize,
    /// VMs that finish work in flight and take no more.
    pub draining: usize,
    /// VMs without work left.
    pub drained: usize,
    /// VMs that are rebooting.
    pub rebooting: usize,
    /// VMs that are back, but not yet known to be able to serve.
    pub returning: usize,
    /// VMs that are out of service.
    pub out: usize,
    /// The services that run on it.
    pub services: Vec<Name>,
}

/// A service's copies against its budget.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceRow {
    /// The service.
    pub service: Name,
    /// The pool that it runs on.
    pub pool: Name,
    /// The number of copies able to serve on VMs that take work.
    pub able: usize,
    /// The minimum number of copies.
    pub least: u32,
    /// The maximum number of copies.
    pub most: u32,
    /// The number of licensed copies.
    pub licences: u32,
}

/// The progress of a wave.
#[derive(Clone, Debug, Serialize)]
pub struct WaveRow {
    /// The wave's number.
    pub number: u64,
    /// The number of VMs still to be maintained.
    pub todo: usize,
    /// The number of VMs under maintenance.
    pub doing: usize,
    /// The number of VMs that came back healthy.
    pub done: usize,
    /// The number of VMs that came back failing.
    pub failed: usize,
    /// Why the wave is halted until an operator resumes it, if it is.
    pub halted: Option<String>,
}

impl From<&Wave> for WaveRow {
    fn from(wave: &Wave) -> Self {
        Self {
            number: wave.number,
            todo: wave.todo.len(),
            doing: wave.doing.len(),
            done: wave.done.len(),
            failed: wave.failed.len(),
            halted: wave.halted.clone(),
        }
    }
}

impl View {
    /// Creates a view from a read of [`key::SHARED`].
    pub fn new(range: Range) -> Self {
        let entries = range.entries.into_iter().map(|entry| (entry.key.clone(), entry));
        Self { entries: entries.collect() }
    }

    /// Applies a change from a watch.
    pub fn apply(&mut self, change: Change) {
        match change.entry {
            Some(entry) => self.entries.insert(change.key, entry),
            None => self.entries.remove(&change.key),
        };
    }

    /// Returns the fleet of the configuration in force, which is empty if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if this version can't read the configuration.
    pub fn fleet(&self) -> Result<Fleet, Error> {
        let Some(entry) = self.entries.get(key::CONFIG) else { return Ok(Fleet::default()) };
        let config: corianderfork_provider::record::Config = record::parse(entry)?;
        let parsed = corianderfork_config::parse(&config.text);
        let first = |diagnostics: &[corianderfork_config::Diagnostic]| {
            diagnostics.first().map_or_else(String::new, ToString::to_string)
        };
        let fleet = parsed
            .map_err(|diagnostics| Error::invalid_record(key::CONFIG, first(&diagnostics)))?
            .fleet;
        Ok(fleet)
    }

    /// Returns all VMs that have a record, ordered by name.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be read.
    pub fn vms(&self) -> Result<Vec<VmRow>, Error> {
        let entries = self.under(key::VMS);
        entries.map(|(name, entry)| self.vm_row(name, record::parse(entry)?)).collect()
    }

    fn vm_row(&self, name: &str, vm: Vm) -> Result<VmRow, Error> {
        let name = Name::new(name).map_err(|cause| Error::invalid_record(key::VMS, cause))?;
        let drain = self.entries.get(&key::drain(&name)).map(record::parse).transpose()?;
        Ok(VmRow {
            vm: name,
            pool: vm.pool,
            phase: vm.phase,
            epoch: vm.epoch,
            reason: vm.reason,
            since_ms: vm.since_ms,
            maintained_ms: vm.maintained_ms,
            moving_to: vm.moving_to,
            drain,
            runners: vm.runners,
        })
    }

    /// Returns the members, ordered by role and name.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be read.
    pub fn members(&self) -> Result<Vec<Member>, Error> {
        self.under(key::MEMBERS).map(|(_, entry)| record::parse(entry)).collect()
    }

    /// Returns the entries under `prefix`, with the rest of their keys.
    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let entries = self.entries.range(prefix.to_owned()..);
        entries.map_while(move |(key, entry)| Some((key.strip_prefix(prefix)?, entry)))
    }
}

/// Returns the pools of a fleet with the phases of their VMs.
pub fn pools(fleet: &Fleet, vms: &[VmRow]) -> Vec<PoolRow> {
    fleet.pools().map(|(_, pool)| pool_row(fleet, &pool.name, vms)).collect()
}

fn pool_row(fleet: &Fleet, pool: &Name, vms: &[VmRow]) -> PoolRow {
    let pool_vms = || vms.iter().filter(|vm| vm.pool == *pool);
    let count = |phase| pool_vms().filter(|vm| vm.phase == phase).count();
    let services = fleet.services().filter(|(_, service)| fleet.pool(service.pool).name == *pool);
    PoolRow {
        pool: pool.clone(),
        vms: pool_vms().count(),
        serving: count(Phase::Serving),
        draining: count(Phase::Draining),
        drained: count(Phase::Drained),
        rebooting: count(Phase::Rebooting),
        returning: count(Phase::Returning),
        out: count(Phase::Out),
        services: services.map(|(_, service)| service.name.clone()).collect(),
    }
}

/// Returns the services of a fleet with their copies.
pub fn services(fleet: &Fleet, vms: &[VmRow]) -> Vec<ServiceRow> {
    fleet.services().map(|(_, service)| service_row(fleet, service, vms)).collect()
}

fn service_row(fleet: &Fleet, service: &Service, vms: &[VmRow]) -> ServiceRow {
    let serving = vms.iter().filter(|vm| vm.phase.takes_work());
    let runners = serving.flat_map(|vm| &vm.runners);
    ServiceRow {
        service: service.name.clone(),
        pool: fleet.pool(service.pool).name.clone(),
        able: runners.filter(|runner| runner.service == service.name).count(),
        least: service.budget.min_copies,
        most: service.budget.max_copies,
        licences: service.licences,
    }
}
