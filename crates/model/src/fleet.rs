//! The fleet described by one configuration.

use std::collections::HashMap;

use crate::arena::{Arena, Id};
use crate::name::Name;
use crate::place::{DataCentre, DataCentreId, Pool, PoolId, Rack, RackId, Vm, VmId};
use crate::service::{Service, ServiceId, Team, TeamId, Weights};

/// Everything that operators configured, except the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    data_centres: Table<DataCentreId, DataCentre>,
    racks: Table<RackId, Rack>,
    vms: Table<VmId, Vm>,
    pools: Table<PoolId, Pool>,
    services: Table<ServiceId, Service>,
    teams: Table<TeamId, Team>,
    /// The costs by which decisions are compared.
    pub weights: Weights,
}

/// Items with an index by name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Table<I, T> {
    items: Arena<I, T>,
    ids_by_name: HashMap<Name, I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Self {
        Self { items: Arena::default(), ids_by_name: HashMap::new() }
    }
}

impl<I: Id, T> Table<I, T> {
    fn add(&mut self, name: Name, item: T) -> I {
        let id = self.items.push(item);
        self.ids_by_name.insert(name, id);
        id
    }
}

/// Defines the accessors of one table of [`Fleet`].
macro_rules! accessors {
    ($table:ident, $id:ty, $item:ty, $by_id:ident, $all:ident, $ids:ident, $find:ident, $add:ident, $noun:literal) => {
        #[doc = concat!("Adds a ", $noun, ". If a name is added twice, lookups return the last one.")]
        pub fn $add(&mut self, item: $item) -> $id {
            self.$table.add(item.name.clone(), item)
        }

        #[doc = concat!("Returns the ", $noun, " with `id`.")]
        ///
        /// # Panics
        ///
        /// Panics if `id` is out of range, which can happen only for the id of another
        /// fleet.
        pub fn $by_id(&self, id: $id) -> &$item {
            &self.$table.items[id]
        }

        #[doc = concat!("Iterates over each ", $noun, " and its id in configuration order.")]
        pub fn $all(&self) -> impl ExactSizeIterator<Item = ($id, &$item)> {
            self.$table.items.iter()
        }

        #[doc = concat!("Iterates over the id of each ", $noun, " in configuration order.")]
        pub fn $ids(&self) -> impl ExactSizeIterator<Item = $id> + use<> {
            self.$table.items.ids()
        }

        #[doc = concat!("Returns the id of the ", $noun, " called `name`.")]
        pub fn $find(&self, name: &str) -> Option<$id> {
            self.$table.ids_by_name.get(name).copied()
        }
    };
}

impl Fleet {
    accessors!(
        data_centres,
        DataCentreId,
        DataCentre,
        data_centre,
        data_centres,
        data_centre_ids,
        find_data_centre,
        add_data_centre,
        "data centre"
    );
    accessors!(racks, RackId, Rack, rack, racks, rack_ids, find_rack, add_rack, "rack");
    accessors!(vms, VmId, Vm, vm, vms, vm_ids, find_vm, add_vm, "VM");
    accessors!(pools, PoolId, Pool, pool, pools, pool_ids, find_pool, add_pool, "pool");
    accessors!(
        services,
        ServiceId,
        Service,
        service,
        services,
        service_ids,
        find_service,
        add_service,
        "service"
    );
    accessors!(teams, TeamId, Team, team, teams, team_ids, find_team, add_team, "team");

    /// Returns the data centre of a VM.
    pub fn data_centre_of(&self, vm: VmId) -> DataCentreId {
        self.rack(self.vm(vm).rack).data_centre
    }
}
