//! Requests that wait until a job's changes are written.

use std::collections::HashMap;

use corianderfork_jobs::JobId;
use tokio::sync::oneshot::{Receiver, Sender, channel};

/// The most requests that may wait for ends. Each holds a connection of the peer that sent it.
const MAX_WAITING: usize = 256;

/// Requests that wait for writes, by job.
///
/// ```
/// use corianderfork_entry::write_waiters::WriteWaiters;
/// use corianderfork_jobs::JobId;
///
/// let mut waiters = WriteWaiters::default();
/// let mut written = waiters.wait(JobId(1));
/// waiters.wake(JobId(2));
/// assert!(written.try_recv().is_err());
/// waiters.wake(JobId(1));
/// assert!(written.try_recv().is_ok());
/// ```
#[derive(Debug, Default)]
pub struct WriteWaiters {
    by_job: HashMap<JobId, Vec<Sender<()>>>,
}

impl WriteWaiters {
    /// Adds a request. The result is ready once the job is written, and fails if the owner retires.
    pub fn wait(&mut self, id: JobId) -> Receiver<()> {
        let (sender, receiver) = channel();
        let waiting = self.by_job.entry(id).or_default();
        // Requests that timed out.
        waiting.retain(|sender| !sender.is_closed());
        waiting.push(sender);
        receiver
    }

    /// Returns whether another request may wait for an end.
    pub fn has_room(&self) -> bool {
        let waiting = self.by_job.values().flatten().filter(|sender| !sender.is_closed());
        waiting.take(MAX_WAITING).count() < MAX_WAITING
    }

    /// Wakes the requests that wait for a job.
    pub fn wake(&mut self, id: JobId) {
        for sender in self.by_job.remove(&id).into_iter().flatten() {
            // The receiver may have timed out.
            let _ = sender.send(());
        }
    }
}
