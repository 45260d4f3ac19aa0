//! Worker instances that are considered ended.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::worker::{self, Registration};

const MAX_INSTANCES: usize = 512;
/// How long after the end of an instance its entry may still change, since an earlier heartbeat
/// may be reported late. A worker sends one every 1.5 s, so an instance that is alive is
/// accepted again within about 5 s.
const LATE_UPDATE: Duration = Duration::from_millis(3_000);

/// Worker instances that have ended, oldest first. The list of workers lags and includes an
/// instance for seconds after its end. If it were added again, it would be polled without an answer
/// and written into the roster.
///
/// An instance may be alive although it is recorded here: one that is silent past its lease and not
/// listed may be partitioned, and an answer that confirms an earlier order for a VM may be mistaken
/// for the end of a later instance. If such a worker were excluded permanently, it would idle while
/// jobs wait, until the pool gets a new owner. An instance whose entry changes later than any
/// earlier heartbeat could explain is therefore accepted again. If it has ended after all, the only
/// cost is a failed poll.
#[derive(Debug, Default)]
pub(super) struct EndedInstances {
    instances: VecDeque<EndedInstance>,
    /// The highest fences of starts by worker ID, oldest first. They count also after the worker has
    /// started again.
    start_fences: VecDeque<(String, u64)>,
}

#[derive(Debug)]
struct EndedInstance {
    id: String,
    born_ms: Option<u64>,
    since: Time,
    /// The highest revision of its entry that was seen within [`LATE_UPDATE`] of its end.
    revision: u64,
}

impl EndedInstances {
    /// Records the end of an instance.
    pub fn add(&mut self, now: Time, id: String, born_ms: Option<u64>) {
        self.instances.retain(|instance| instance.id != id);
        self.instances.push_back(EndedInstance { id, born_ms, since: now, revision: 0 });
        if self.instances.len() > MAX_INSTANCES {
            self.instances.pop_front();
        }
    }

    /// Records the highest fence of starts for a worker that has left; 0 if there were none.
    pub fn add_start_fence(&mut self, id: &str, fence: u64) {
        if fence == 0 {
            return;
        }
        self.start_fences.retain(|(known, _)| known != id);
        self.start_fences.push_back((id.to_owned(), fence));
        if self.start_fences.len() > MAX_INSTANCES {
            self.start_fences.pop_front();
        }
    }

    /// Returns the highest fence of starts for earlier instances of a worker; 0 if there were none.
    pub fn start_fence(&self, id: &str) -> u64 {
        let known = self.start_fences.iter().find(|(known, _)| known == id);
        known.map_or(0, |(_, fence)| *fence)
    }

    /// Returns whether an entry belongs to an instance that is considered ended. An instance
    /// whose entry has changed since is forgotten, and so is one whose worker has started again.
    pub fn is_ended(&mut self, now: Time, entry: &Registration) -> bool {
        let Some(at) = self.instances.iter().position(|instance| instance.id == entry.id) else {
            return false;
        };
        let instance = &mut self.instances[at];
        if !worker::is_same_start(instance.born_ms, entry.born_ms) {
            self.instances.remove(at);
            return false;
        }
        if now - instance.since < LATE_UPDATE {
            instance.revision = instance.revision.max(entry.revision);
            return true;
        }
        if entry.revision <= instance.revision {
            return true;
        }
        if instance.revision == 0 {
            // This is the first entry since the end. Earlier revisions are unknown, so only the
            // next change counts.
            instance.revision = entry.revision;
            return true;
        }
        self.instances.remove(at);
        false
    }
}
