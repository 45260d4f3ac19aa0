//! How many jobs an owner holds at most.

use super::Owner;
use crate::listen::Share;

/// The share of the memory that jobs may take which have not ended. Connections and bodies have their
/// own.
const JOB_MEMORY: Share = Share { parts: 3, of: 16 };

impl Owner {
    /// Returns whether the pool holds as many jobs as an owner can. Those that were accepted are
    /// carried all the same.
    ///
    /// Any member may be its next owner, and that of all other pools.
    pub(super) fn is_full(&self) -> bool {
        let table = self.node.table.borrow();
        let known = table.members.values().map(|member| member.memory_mb << 20);
        let memories = known.filter(|memory| *memory > 0).chain([self.node.settings.memory]);
        let memory = memories.min().unwrap_or(0);
        let pools = table.owned_pools().count().max(1);
        self.pool.borrow().active_bytes() >= JOB_MEMORY.part(memory) / pools
    }
}
