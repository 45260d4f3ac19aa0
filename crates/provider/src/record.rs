//! The records kept in the platform's service, as JSON.

use std::fmt;
use std::net::SocketAddr;

use corianderfork_model::Name;
use serde::{Deserialize, Serialize};

/// The operators' configuration, accepted whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The INI text.
    pub text: String,
    /// Who applied it.
    pub by: String,
    /// What they said of it.
    #[serde(default)]
    pub note: String,
    /// A number of the one apply, by which its writer recognises its own
    /// write when the answer was lost.
    pub token: String,
}

/// Where a VM is between two pools, or around a reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Phase {
    /// Takes work of its pool.
    Serving,
    /// Takes no new work; some may be in flight.
    Draining,
    /// Nothing of any proxy is in flight there.
    Drained,
    /// Down for a reboot.
    Rebooting,
    /// Back, but not yet seen able to serve.
    Returning,
    /// Out of service: failed, gone, or held by an operator.
    Out,
}

impl Phase {
    /// Whether proxies may send new work.
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

/// A copy of a service on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// The service.
    pub service: Name,
    /// Where it answers.
    pub address: SocketAddr,
}

/// The one record that says which pool a VM belongs to and what it may do.
///
/// It is only ever written by compare-and-swap against the revision it was
/// decided on, so that a controller that was paused past its lease cannot
/// undo what came after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The pool it belongs to.
    pub pool: Name,
    /// Where it is.
    pub phase: Phase,
    /// Grows by one at each drain; proxies confirm a drain by this number.
    pub epoch: u64,
    /// The copies it carries that are able to serve.
    pub runners: Vec<Runner>,
    /// Why it is where it is: a rule, a wave, an operator.
    pub reason: String,
    /// When it came there, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When it was last maintained, in milliseconds since the Unix epoch; 0 if
    /// that is not known.
    #[serde(default)]
    pub maintained_ms: u64,
    /// The pool it goes to once it is drained, if it is being moved.
    #[serde(default)]
    pub moving_to: Option<Name>,
}

/// An operator's wish that a VM be drained and stay so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Who asked.
    pub by: String,
    /// Why.
    pub reason: String,
}

/// What a controller has heard of what operators wrote.
///
/// A write that is answered is known to the store alone until a watch has shown it. If
/// the store goes down first nobody acts on it, for the whole outage; what a
/// controller has heard it passes on to all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRevision {
    /// The revision of the newest drain or configuration that it has heard of.
    pub revision: u64,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Stands between callers and backend servers.
    Proxy,
    /// Decides for the fleet while it holds the lease.
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

/// A process of ours that runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its entry VM.
    pub name: Name,
    /// What it does.
    pub role: Role,
    /// Grows with each start of the process of this name.
    pub incarnation: u64,
    /// Where its entry VM stands.
    pub data_centre: Name,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where callers reach it; none for a controller.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
}

/// Who holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where peers reach it.
    pub peers: SocketAddr,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number; grows by one a wave.
    pub number: u64,
    /// Why it runs.
    pub reason: String,
    /// When it began, in milliseconds since the Unix epoch.
    pub began_ms: u64,
    /// By when it is to end, in milliseconds since the Unix epoch; 0 for a day
    /// after it began. Until then copies are moved out of its way only where
    /// the user's weights say that it is worth it.
    #[serde(default)]
    pub deadline_ms: u64,
    /// The VMs still to be maintained, in order.
    pub todo: Vec<Name>,
    /// The VMs under maintenance.
    pub doing: Vec<Name>,
    /// The VMs that came back healthy.
    pub done: Vec<Name>,
    /// The VMs that came back failing.
    pub failed: Vec<Name>,
    /// How many VMs go at once.
    pub step: u32,
    /// Why it has stopped for an operator, if it has.
    #[serde(default)]
    pub halted: Option<String>,
}

/// What the controller decided last, for `corianderctl explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explain {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The revision of the configuration.
    pub config: u64,
    /// The rule that decided.
    pub rule: String,
    /// Why: the values seen and their age, a line each.
    pub seen: Vec<String>,
    /// Why the rules before it did not match, a line each.
    pub passed: Vec<String>,
    /// What was decided, a line each.
    pub steps: Vec<String>,
    /// What cannot be done and why, a line each.
    pub problems: Vec<String>,
}

/// A change in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLine {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who or what rule.
    pub who: String,
    /// What was changed.
    pub what: String,
    /// What it was before.
    pub from: String,
    /// What it is now.
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
