//! Fences that tell the instances of a worker apart.
//!
//! An instance keeps the highest fence that it was told and rejects orders with a lower one. The next
//! instance under the same ID was told none: an order for the former one, which may be carried out
//! seconds after it was sent, would begin there, whoever sent it. Its task may be done by then, or run
//! elsewhere.
//!
//! So each instance is ordered under a fence that is higher than those of all starts for earlier ones.
//! Its first answer under that fence lists all that such starts can ever begin there, and it is used
//! only from then on. Nothing has to be remembered of the starts themselves. A poll over a new
//! connection, which may reach a later instance than the known one, carries such a fence already.
//!
//! A fence is a revision of the store, and so is that of a successor. The revision of any write that is
//! conditional on the duty's record lies between the two, whatever version of the daemon the successor
//! runs. An owner uses those of its writes, and asks for a write only if there was none since the last
//! start for the worker. While the store is away, an instance that has no such fence waits.

use super::Pool;
use crate::worker;

impl Pool {
    /// Records that a write was carried out at a revision of the store, on the condition that this owner
    /// still had its duty.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Connection, Pool};
    /// use corianderfork_jobs::worker::Location;
    /// use corianderfork_model::Time;
    ///
    /// let now = Time::from_millis(1);
    /// let mut pool = Pool::new(Config::new(7, now));
    /// pool.raise_fence(9);
    /// let address = ([127, 0, 0, 1], 80).into();
    /// pool.set_roster(vec![Location { id: "w".to_owned(), address, born_ms: None }], 1);
    /// let key = pool.workers().next().expect("a worker");
    /// assert_eq!(pool.next_poll(now, key, Connection::New).expect("a poll").fence, 9);
    /// ```
    pub fn raise_fence(&mut self, revision: u64) {
        self.newest_fence = self.newest_fence.max(revision);
        for worker in self.workers.values_mut().filter(|worker| worker.needs_fence()) {
            worker.fence = self.newest_fence;
        }
    }

    /// Returns whether a worker waits for a fence, so that something has to be written.
    pub(super) fn needs_fence(&self) -> bool {
        self.workers.values().any(worker::Worker::needs_fence)
    }

    /// Returns whether a worker may reject a fence because of a higher one of this owner.
    pub(super) fn is_outdated(&self, key: worker::Key, fence: u64) -> bool {
        self.workers.get(key).is_none_or(|worker| fence < worker.fence)
    }
}
