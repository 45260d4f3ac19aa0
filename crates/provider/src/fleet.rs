//! The platform's API for VMs, tasks and usage.

use std::net::SocketAddr;

use corianderfork_model::Name;

use crate::store::Error;

/// The state of a VM in the platform's list, which lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum VmState {
    /// Up.
    Live,
    /// About to be removed.
    Leaving,
    /// Down for a reboot.
    Rebooting,
    /// Removed permanently.
    Gone,
}

/// An entry in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its state, possibly outdated.
    pub state: VmState,
}

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum TaskState {
    /// Requested, but not yet able to serve.
    Starting,
    /// Able to serve.
    Running,
    /// Accepts no new requests and ends when none are in flight.
    Stopping,
}

/// A task: one copy of a service on a VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Task {
    /// The VM.
    pub vm: Name,
    /// The service.
    pub service: Name,
    /// The address at which it accepts requests, once known.
    #[serde(default, with = "address")]
    pub address: Option<SocketAddr>,
    /// Its state.
    pub state: TaskState,
}

/// The resource usage that a task reported.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// The VM.
    pub vm: Name,
    /// The service.
    pub service: Name,
    /// CPU usage, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory usage, in MiB.
    pub memory_mib: u32,
    /// The time of the measurement, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Lists and controls VMs and tasks.
///
/// Calls block for a bounded time. Starting a running task and stopping a
/// stopped one succeed, so a call whose response was lost can be retried.
pub trait Control: Send + Sync {
    /// Returns the list of VMs, which lags behind.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform is unavailable. This holds for all methods
    /// of this trait.
    fn vms(&self) -> Result<Vec<Vm>, Error>;

    /// Returns all tasks.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn tasks(&self) -> Result<Vec<Task>, Error>;

    /// Returns the usage of all tasks, which lags behind.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn usage(&self) -> Result<Vec<Usage>, Error>;

    /// Starts a copy of a service on a VM.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn start(&self, vm: &Name, service: &Name) -> Result<(), Error>;

    /// Stops the copy of a service on a VM.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn stop(&self, vm: &Name, service: &Name) -> Result<(), Error>;

    /// Reboots a VM. Everything that runs on it ends immediately.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn reboot(&self, vm: &Name) -> Result<(), Error>;
}

/// Serializes an optional address as text; empty means `None`.
mod address {
    use std::net::SocketAddr;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        address: &Option<SocketAddr>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match address {
            Some(address) => serializer.collect_str(address),
            None => serializer.serialize_str(""),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<SocketAddr>, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(D::Error::custom)
    }
}
