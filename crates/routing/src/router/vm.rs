//! The known state of a VM.

use super::RunnerKey;

/// The newest record and the newest drain of a VM. Both only increase, so the
/// order in which messages arrive does not matter.
#[derive(Debug, Default)]
pub(super) struct Vm {
    revision: Option<u64>,
    epoch: u64,
    serving: bool,
    /// The highest epoch of a known drain.
    drain_epoch: u64,
    /// The runners that the newest record lists.
    pub(super) runners: Vec<RunnerKey>,
    /// This proxy's requests in flight there, including those at runners that
    /// are no longer listed.
    pub(super) in_flight: u32,
}

impl Vm {
    /// Applies a record and returns whether it was newer, or of the same revision and stops
    /// the VM: an operator's drain can become known after a record that was written after it.
    pub(super) fn apply(&mut self, revision: u64, epoch: u64, serving: bool) -> bool {
        let is_newer = self.revision.is_none_or(|newest| revision > newest);
        let stops = self.revision == Some(revision) && self.serving && !serving;
        if !is_newer && !stops {
            return false;
        }
        self.revision = Some(revision);
        self.epoch = epoch;
        self.serving = serving;
        true
    }

    /// Applies a drain's epoch and returns whether it was newer than all known
    /// ones.
    pub(super) fn drain(&mut self, epoch: u64) -> bool {
        let is_new = epoch > self.newest_epoch();
        self.drain_epoch = self.drain_epoch.max(epoch);
        is_new
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn admits(&self) -> bool {
        self.serving && self.epoch >= self.drain_epoch
    }

    /// Whether the drain `epoch` or a later one is in force.
    pub(super) fn is_drained(&self, epoch: u64) -> bool {
        !self.admits() && self.newest_epoch() >= epoch
    }

    /// Returns the epoch of the drain in force, to be reported to peers.
    pub(super) fn active_drain(&self) -> Option<u64> {
        (!self.admits() && self.newest_epoch() > 0).then_some(self.newest_epoch())
    }

    fn newest_epoch(&self) -> u64 {
        self.epoch.max(self.drain_epoch)
    }
}
