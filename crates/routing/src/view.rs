//! VMs and runners as the records state them.

use std::net::SocketAddr;

use corianderfork_model::Name;

/// A VM as stated by its record in the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    pub(crate) name: Name,
    pub(crate) revision: u64,
    pub(crate) epoch: u64,
    pub(crate) serving: bool,
    pub(crate) runners: Vec<Runner>,
}

impl Vm {
    /// Creates the VM `name` as of a record's `revision`: not serving, in epoch
    /// 0, without runners.
    pub fn new(name: Name, revision: u64) -> Self {
        Self { name, revision, epoch: 0, serving: false, runners: Vec::new() }
    }

    /// Sets the drain epoch, which increases with each drain.
    pub fn epoch(mut self, epoch: u64) -> Self {
        self.epoch = epoch;
        self
    }

    /// Sets whether the VM takes new work.
    pub fn serving(mut self, yes: bool) -> Self {
        self.serving = yes;
        self
    }

    /// Adds a runner.
    pub fn runner(mut self, runner: Runner) -> Self {
        self.runners.push(runner);
        self
    }
}

/// A licensed copy of a service on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    pub(crate) service: Name,
    pub(crate) address: SocketAddr,
    pub(crate) warm: bool,
}

impl Runner {
    /// Creates a copy of `service` that listens at `address`. It receives work
    /// once it is `warm`.
    pub fn new(service: Name, address: SocketAddr, warm: bool) -> Self {
        Self { service, address, warm }
    }
}
