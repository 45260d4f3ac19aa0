//! Reads the sections of data centres, pools and racks with their VMs.

use std::collections::HashMap;

use corianderfork_model::place::{
    DataCentre, Kind as VmKind, Pool, PoolId, Rack, RackId, Size, Vm,
};
use corianderfork_model::{Fleet, Name};

use crate::diagnostic::Kind;
use crate::keys::{Keys, SIZE};
use crate::sink::{Sink, Span};
use crate::text::Section;
use crate::vm_list::{self, MAX_VMS};

/// The maximum time between two maintenances, in days.
const MAX_MAINTENANCE_DAYS: u16 = 365;

pub(crate) fn data_centre(fleet: &mut Fleet, mut keys: Keys<'_, '_, '_>) {
    let (name, region) = (keys.section_name(), keys.name("region"));
    let Some(name) = name else { return };
    let region = region.unwrap_or_else(|| name.clone());
    fleet.add_data_centre(DataCentre::new(name, region));
}

pub(crate) fn pool(fleet: &mut Fleet, mut keys: Keys<'_, '_, '_>) {
    let name = keys.section_name();
    let days = keys.number("maintenance_days", 1, MAX_MAINTENANCE_DAYS, Pool::MAINTENANCE_DAYS);
    let lends = keys.choice("lends", &[("yes", Lends(true)), ("no", Lends(false))]);
    let Some(name) = name else { return };
    let mut pool = Pool::new(name);
    pool.maintenance_days = days;
    pool.lends = lends.0;
    fleet.add_pool(pool);
}

/// Whether a pool lends VMs to other pools; defaults to `true`.
#[derive(Clone, Copy)]
struct Lends(bool);

impl Default for Lends {
    fn default() -> Self {
        Self(true)
    }
}

/// Reads racks with their VMs, and detects duplicate VM names.
#[derive(Default)]
pub(crate) struct RackReader {
    /// Where each VM was first declared.
    first_spans: HashMap<Name, Span>,
}

impl RackReader {
    pub(crate) fn read(&mut self, fleet: &mut Fleet, section: &Section<'_>, sink: &mut Sink<'_>) {
        let mut keys = Keys { section, sink };
        let name = keys.section_name();
        let data_centre = keys.reference(
            "data_centre",
            "data centre",
            |name| fleet.find_data_centre(name),
            fleet.data_centres().map(|(_, data_centre)| data_centre.name.as_str()),
        );
        let pool = keys.reference(
            "pool",
            "pool",
            |name| fleet.find_pool(name),
            fleet.pools().map(|(_, pool)| pool.name.as_str()),
        );
        let size = keys.size(&SIZE);
        let kind = keys.choice(
            "kind",
            &[("standard", VmKind::Standard), ("preemptible", VmKind::Preemptible)],
        );
        let names = self.vm_names(&mut keys);
        let (Some(name), Some(data_centre), Some(pool)) = (name, data_centre, pool) else { return };
        let rack = fleet.add_rack(Rack::new(name, data_centre));
        for name in names {
            fleet.add_vm(new_vm(name, rack, size.unwrap_or_default(), pool, kind));
        }
    }

    /// Returns the names of the rack's VMs that are valid and not duplicates.
    fn vm_names(&mut self, keys: &mut Keys<'_, '_, '_>) -> Vec<Name> {
        let Some(list) = keys.required("vms") else { return Vec::new() };
        let names = match vm_list::expand(list, MAX_VMS - self.first_spans.len()) {
            Ok(names) => names,
            Err(error) => {
                keys.sink.error(error.span, error.kind, error.help);
                return Vec::new();
            }
        };
        names.into_iter().filter_map(|name| self.check_name(&name, keys.sink)).collect()
    }

    fn check_name(&mut self, vm: &vm_list::VmName, sink: &mut Sink<'_>) -> Option<Name> {
        let name = match Name::new(&vm.name) {
            Ok(name) => name,
            Err(error) => {
                sink.error(vm.span, error, "write another name");
                return None;
            }
        };
        if let Some(first) = self.first_spans.get(&name) {
            let first_line = sink.line(first.start);
            let kind = Kind::Duplicate { what: "VM", name: name.to_string(), first_line };
            sink.error(vm.span, kind, "a VM is in one rack only; remove it from the other");
            return None;
        }
        self.first_spans.insert(name.clone(), vm.span);
        Some(name)
    }
}

fn new_vm(name: Name, rack: RackId, size: Size, pool: PoolId, kind: VmKind) -> Vm {
    let mut vm = Vm::new(name, rack, size, pool);
    vm.kind = kind;
    vm
}
