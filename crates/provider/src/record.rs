//! The records in the platform's store, encoded as JSON.

use std::fmt;
use std::net::SocketAddr;

use corianderfork_model::Name;
use serde::{Deserialize, Serialize};

/// The operators' configuration, stored as one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The INI text.
    pub text: String,
    /// Who applied it.
    pub by: String,
    /// The comment given with it.
    #[serde(default)]
    pub note: String,
    /// A unique token of this write. Lets the writer recognise its own write if
    /// the response was lost.
    pub token: String,
}

/// The state of a VM during a move between pools or a reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Phase {
    /// Accepts requests of its pool.
    Serving,
    /// Accepts no new requests; some may be in flight.
    Draining,
    /// No proxy has a request in flight there.
    Drained,
    /// Down for a reboot.
    Rebooting,
    /// Up again, but not yet known to be healthy.
    Returning,
    /// Out of service: failed, gone, or held by an operator.
    Out,
}

impl Phase {
    /// Whether proxies may send new requests.
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Serving)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Drained => "drained",
            Self::Rebooting => "rebooting",
            Self::Returning => "returning",
            Self::Out => "out",
        })
    }
}

/// A copy of a service that runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// The service.
    pub service: Name,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
}

/// The authoritative record of a VM's pool and phase.
///
/// Written only by compare-and-swap against the revision that the decision was
/// based on, so that a controller that was paused past its lease cannot
/// overwrite later changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The pool it currently belongs to.
    pub pool: Name,
    /// Its phase.
    pub phase: Phase,
    /// Incremented by each drain. Proxies acknowledge a drain with this number.
    pub epoch: u64,
    /// Its copies that are able to serve.
    pub runners: Vec<Runner>,
    /// The reason for its phase: a rule, a wave or an operator.
    pub reason: String,
    /// When it entered the phase, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When it was last maintained, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    #[serde(default)]
    pub maintained_ms: u64,
    /// The pool that it joins after draining, if it is being moved.
    #[serde(default)]
    pub moving_to: Option<Name>,
}

/// An operator's request to drain a VM and keep it drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Who requested it.
    pub by: String,
    /// Why.
    pub reason: String,
}

/// The newest operator write that the leading controller knows of.
///
/// A successful write is known only to the store until a watch has delivered it.
/// If the store fails before that, no process acts on the write during the
/// outage. A controller passes what it knows on to all other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRevision {
    /// The revision of the newest drain or configuration that it has received.
    pub revision: u64,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards requests of callers to backend servers.
    Proxy,
    /// Plans the fleet while it holds the leader lease.
    Controller,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Proxy => "proxy",
            Self::Controller => "controller",
        })
    }
}

/// A running proxy or controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its entry VM.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// Increases with each start of the process with this name.
    pub incarnation: u64,
    /// The data centre of its entry VM.
    pub data_centre: Name,
    /// The address at which it accepts messages of peers.
    pub peers: SocketAddr,
    /// The address at which it accepts requests of callers; `None` for a
    /// controller.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
}

/// The holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The address at which it accepts messages of peers.
    pub peers: SocketAddr,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number, incremented for each wave.
    pub number: u64,
    /// The reason for it.
    pub reason: String,
    /// When it began, in milliseconds since the Unix epoch.
    pub began_ms: u64,
    /// The deadline, in milliseconds since the Unix epoch; 0 stands for one day
    /// after the start. Before the deadline, copies are moved out of the way of
    /// the wave only if that pays off by the user's weights.
    #[serde(default)]
    pub deadline_ms: u64,
    /// The pending VMs, in order.
    pub todo: Vec<Name>,
    /// The VMs under maintenance.
    pub doing: Vec<Name>,
    /// The VMs that are healthy after maintenance.
    pub done: Vec<Name>,
    /// The VMs that are failing after maintenance.
    pub failed: Vec<Name>,
    /// The number of VMs under maintenance at the same time.
    pub step: u32,
    /// Why it is halted until an operator intervenes, if it is.
    #[serde(default)]
    pub halted: Option<String>,
}

/// The controller's last decision, for `corianderctl explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explain {
    /// The time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The revision of the configuration.
    pub config: u64,
    /// The rule that matched.
    pub rule: String,
    /// The observed values and their ages, one per line.
    pub seen: Vec<String>,
    /// Why the preceding rules did not match, one per line.
    pub passed: Vec<String>,
    /// The planned steps, one per line.
    pub steps: Vec<String>,
    /// What cannot be done and why, one per line.
    pub problems: Vec<String>,
}

/// One change in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLine {
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The person or rule that made the change.
    pub who: String,
    /// The subject of the change.
    pub what: String,
    /// The old value.
    pub from: String,
    /// The new value.
    pub to: String,
    /// The revision of the write.
    pub revision: u64,
}

/// A segment of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditSegment {
    /// The changes, oldest first.
    pub lines: Vec<AuditLine>,
}
