//! The fleet as the store's records show it.

use std::collections::BTreeMap;

use corianderfork_model::service::Service;
use corianderfork_model::{Fleet, Name};
use corianderfork_provider::key;
use corianderfork_provider::record::{Drain, Member, Phase, Runner, Vm, Wave};
use corianderfork_provider::store::{Change, Entry, Range};
use serde::Serialize;

use crate::error::Error;
use crate::record;

/// The records under [`key::SHARED`], kept up to date by a watch.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<String, Entry>,
}

/// A VM for scripts.
#[derive(Clone, Debug, Serialize)]
pub struct VmRow {
    /// Its name.
    pub vm: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// Where it is.
    pub phase: Phase,
    /// Grows at each drain.
    pub epoch: u64,
    /// Why it is there.
    pub reason: String,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When it was last maintained; 0 if that is not known.
    pub maintained_ms: u64,
    /// The pool it is being moved to.
    pub moving_to: Option<Name>,
    /// An operator's drain.
    pub drain: Option<Drain>,
    /// The copies on it that are able to serve.
    pub runners: Vec<Runner>,
}

/// How many VMs of a pool are in each phase.
#[derive(Clone, Debug, Serialize)]
pub struct PoolRow {
    /// The pool.
    pub pool: Name,
    /// All its VMs.
    pub vms: usize,
    /// Those that take work.
    pub serving: usize,
    /// Those with work in flight that take no more.
    pub draining: usize,
    /// Those with no work left.
    pub drained: usize,
    /// Those that are down for a reboot.
    pub rebooting: usize,
    /// Those back but not seen able to serve.
    pub returning: usize,
    /// Those out of service.
    pub out: usize,
    /// The services it carries.
    pub services: Vec<Name>,
}

/// A service's copies against its budget.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceRow {
    /// The service.
    pub service: Name,
    /// The pool that carries it.
    pub pool: Name,
    /// Copies able to serve, on VMs that take work.
    pub able: usize,
    /// Copies that are never gone below.
    pub least: u32,
    /// Copies that are never exceeded.
    pub most: u32,
    /// Copies that are licensed.
    pub licences: u32,
}

/// How far a wave is.
#[derive(Clone, Debug, Serialize)]
pub struct WaveRow {
    /// Its number.
    pub number: u64,
    /// VMs that are still to be maintained.
    pub todo: usize,
    /// VMs under maintenance.
    pub doing: usize,
    /// VMs that came back healthy.
    pub done: usize,
    /// VMs that came back failing.
    pub failed: usize,
    /// Why it has stopped for an operator.
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
    /// The records that a read of [`key::SHARED`] found.
    pub fn new(range: Range) -> Self {
        let entries = range.entries.into_iter().map(|entry| (entry.key.clone(), entry));
        Self { entries: entries.collect() }
    }

    /// Takes over a change that a watch saw.
    pub fn change(&mut self, change: Change) {
        match change.entry {
            Some(entry) => self.entries.insert(change.key, entry),
            None => self.entries.remove(&change.key),
        };
    }

    /// The fleet of the configuration in force; an empty one before the first.
    ///
    /// # Errors
    ///
    /// Fails if the configuration can't be read, or not by this version.
    pub fn fleet(&self) -> Result<Fleet, Error> {
        let Some(entry) = self.entries.get(key::CONFIG) else { return Ok(Fleet::default()) };
        let config: corianderfork_provider::record::Config = record::parse(entry)?;
        let parsed = corianderfork_config::parse(&config.text);
        let first = |mistakes: &[corianderfork_config::Diagnostic]| {
            mistakes.first().map_or_else(String::new, ToString::to_string)
        };
        let fleet = parsed.map_err(|mistakes| Error::record(key::CONFIG, first(&mistakes)))?.fleet;
        Ok(fleet)
    }

    /// All VMs that have a record, by name.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be read.
    pub fn vms(&self) -> Result<Vec<VmRow>, Error> {
        let entries = self.under(key::VMS);
        entries.map(|(name, entry)| self.vm(name, record::parse(entry)?)).collect()
    }

    fn vm(&self, name: &str, vm: Vm) -> Result<VmRow, Error> {
        let name = Name::new(name).map_err(|cause| Error::record(key::VMS, cause))?;
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

    /// The members, by role and name.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be read.
    pub fn members(&self) -> Result<Vec<Member>, Error> {
        self.under(key::MEMBERS).map(|(_, entry)| record::parse(entry)).collect()
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let from = self.entries.range(prefix.to_owned()..);
        from.map_while(move |(key, entry)| Some((key.strip_prefix(prefix)?, entry)))
    }
}

/// The pools of a fleet with the phases of their VMs.
pub fn pools(fleet: &Fleet, vms: &[VmRow]) -> Vec<PoolRow> {
    fleet.pools().map(|(_, pool)| pool_row(fleet, &pool.name, vms)).collect()
}

fn pool_row(fleet: &Fleet, pool: &Name, vms: &[VmRow]) -> PoolRow {
    let of = || vms.iter().filter(|vm| vm.pool == *pool);
    let count = |phase| of().filter(|vm| vm.phase == phase).count();
    let services = fleet.services().filter(|(_, service)| fleet.pool(service.pool).name == *pool);
    PoolRow {
        pool: pool.clone(),
        vms: of().count(),
        serving: count(Phase::Serving),
        draining: count(Phase::Draining),
        drained: count(Phase::Drained),
        rebooting: count(Phase::Rebooting),
        returning: count(Phase::Returning),
        out: count(Phase::Out),
        services: services.map(|(_, service)| service.name.clone()).collect(),
    }
}

/// The services of a fleet with their copies.
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
