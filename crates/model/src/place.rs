//! Data centres, racks, VMs and pools.

use crate::{id, name::Name};

id! {
    /// The id of a [`DataCentre`] in a [`crate::Fleet`].
    DataCentreId
}
id! {
    /// The id of a [`Rack`] in a [`crate::Fleet`].
    RackId
}
id! {
    /// The id of a [`Vm`] in a [`crate::Fleet`].
    VmId
}
id! {
    /// The id of a [`Pool`] in a [`crate::Fleet`].
    PoolId
}

/// A data centre, the largest failure domain within a region.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct DataCentre {
    /// Its name.
    pub name: Name,
    /// The region that contains it.
    pub region: Name,
}

impl DataCentre {
    /// Creates a data centre in `region`.
    pub fn new(name: Name, region: Name) -> Self {
        Self { name, region }
    }
}

/// A rack, a failure domain of a few VMs behind one switch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Rack {
    /// Its name.
    pub name: Name,
    /// The data centre that contains it.
    pub data_centre: DataCentreId,
}

impl Rack {
    /// Creates a rack in `data_centre`.
    pub fn new(name: Name, data_centre: DataCentreId) -> Self {
        Self { name, data_centre }
    }
}

/// The capacity of a VM, or the resources that a copy of a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Size {
    /// CPU, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// The number of accelerators.
    pub accelerators: u16,
}

impl Size {
    /// Whether `other` fits into this size in every dimension.
    pub const fn holds(&self, other: &Self) -> bool {
        self.milli_cores >= other.milli_cores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Subtracts `other`, or returns `None` if it does not fit.
    pub fn minus(&self, other: &Self) -> Option<Self> {
        Some(Self {
            milli_cores: self.milli_cores.checked_sub(other.milli_cores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Adds `other`, saturating at the numeric bounds.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// The provider's guarantee for a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Kind {
    /// Runs until the operators release it.
    #[default]
    Standard,
    /// May be reclaimed by the provider at any time.
    Preemptible,
}

/// A VM (worker) that runs copies of services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Vm {
    /// Its name, as in the platform's list of VMs.
    pub name: Name,
    /// The rack that contains it.
    pub rack: RackId,
    /// Its capacity.
    pub size: Size,
    /// The provider's guarantee.
    pub kind: Kind,
    /// The pool that the configuration assigns it to. While a VM is lent, its
    /// record in the platform's store names another pool.
    pub home: PoolId,
}

impl Vm {
    /// Creates a standard VM in `rack` whose home pool is `home`.
    pub fn new(name: Name, rack: RackId, size: Size, home: PoolId) -> Self {
        Self { name, rack, size, kind: Kind::Standard, home }
    }
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// The maximum number of days between two maintenances of one VM.
    pub maintenance_days: u16,
    /// Whether its VMs may be lent to other pools.
    pub lends: bool,
}

impl Pool {
    /// The default [`Pool::maintenance_days`]: six weeks.
    pub const MAINTENANCE_DAYS: u16 = 42;

    /// Creates a pool that lends its VMs and is maintained every six weeks.
    pub fn new(name: Name) -> Self {
        Self { name, maintenance_days: Self::MAINTENANCE_DAYS, lends: true }
    }
}
