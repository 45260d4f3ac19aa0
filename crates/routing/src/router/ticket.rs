//! The ticket for a slot in use.

use std::net::SocketAddr;

use corianderfork_model::{Name, Time};

use super::RunnerKey;

/// Permission to send one request to one runner.
/// [`Router::done`](super::Router::done) releases it; a ticket that is dropped
/// keeps its slot in use forever.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket holds a slot until it is given to `Router::done`"]
pub struct Ticket {
    pub(super) runner: RunnerKey,
    pub(super) address: SocketAddr,
    pub(super) vm: Name,
    pub(super) started: Time,
    /// Whether the slot is beyond this proxy's share.
    pub(super) borrowed: bool,
}

impl Ticket {
    /// Returns the runner, to exclude it from the next pick for the same
    /// request.
    pub fn runner(&self) -> RunnerKey {
        self.runner
    }

    /// Returns the address at which the runner listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the VM of the runner.
    pub fn vm(&self) -> &Name {
        &self.vm
    }
}
