//! VMs, tasks and usage, as the platform lists and controls them.

use std::net::SocketAddr;

use corianderfork_model::Name;

use crate::store::Error;

/// What the platform says of a VM. The list lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum VmState {
    /// Up.
    Live,
    /// About to go.
    Leaving,
    /// Down for a reboot.
    Rebooting,
    /// Gone for good.
    Gone,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its state, as of some time ago.
    pub state: VmState,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum TaskState {
    /// Asked for, not yet able to serve.
    Starting,
    /// Able to serve.
    Running,
    /// Takes nothing new and ends when it has nothing in flight.
    Stopping,
}

/// A copy of a service that runs on a VM as a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Task {
    /// The VM.
    pub vm: Name,
    /// The service.
    pub service: Name,
    /// Where it answers, once it is known.
    #[serde(default, with = "address")]
    pub address: Option<SocketAddr>,
    /// How far it has come.
    pub state: TaskState,
}

/// The usage that a task reported.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// The VM.
    pub vm: Name,
    /// The service.
    pub service: Name,
    /// Processor time in use, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u32,
    /// When it was taken, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The platform's side that runs VMs and tasks. Calls block for a bounded
/// time. Starting what runs and stopping what doesn't are no errors, so a call
/// whose answer was lost is made again.
pub trait Control: Send + Sync {
    /// The list of VMs; it lags.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unavailable, as do all calls here.
    fn vms(&self) -> Result<Vec<Vm>, Error>;

    /// All tasks.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn tasks(&self) -> Result<Vec<Task>, Error>;

    /// What tasks use; it lags.
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

    /// Reboots a VM. All that runs on it ends at once.
    ///
    /// # Errors
    ///
    /// As for [`Control::vms`].
    fn reboot(&self, vm: &Name) -> Result<(), Error>;
}

/// An address as text, with the empty text for none.
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
