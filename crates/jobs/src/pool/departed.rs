//! Lives of workers that are taken to be over.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

use crate::worker::Registration;

/// Lives that are remembered.
const MAX_INSTANCES: usize = 512;
/// How long after its end a life's entry may still change: a heartbeat of before
/// may be told late. A worker writes one each second and a half, so that one that
/// lives is believed again within some five seconds.
const LATE_UPDATE: Duration = Duration::from_millis(3_000);

/// Lives that are over, oldest first.
///
/// The list of workers lags and names a life for seconds after its end. Taken
/// for a worker, it would be asked in vain and written into the roster.
///
/// That a life is over is not certain: one that is silent past its lease and not
/// listed may be cut off, and the answer to an order for a VM that was carried out
/// before may be taken for the end of the life that came after. Kept for good, such
/// a worker would stand idle, beside jobs that wait, for as long as its pool's owner
/// lives. One whose entry changes later than any heartbeat of before is believed
/// again: if it is over all the same, a look in vain is all that this costs.
#[derive(Debug, Default)]
pub(super) struct EndedInstances {
    instances: VecDeque<EndedInstance>,
}

#[derive(Debug)]
struct EndedInstance {
    id: String,
    since: Time,
    /// The newest entry of it that was told within [`LATE`].
    revision: u64,
}

impl EndedInstances {
    /// Takes a life to be over.
    pub fn add(&mut self, now: Time, id: String) {
        self.instances.push_back(EndedInstance { id, since: now, revision: 0 });
        if self.instances.len() > MAX_INSTANCES {
            self.instances.pop_front();
        }
    }

    /// Whether an entry is of a life that is over, as far as that is known.
    pub fn is_ended(&mut self, now: Time, entry: &Registration) -> bool {
        let Some(at) = self.instances.iter().position(|instance| instance.id == entry.id) else {
            return false;
        };
        let instance = &mut self.instances[at];
        if now - instance.since < LATE_UPDATE {
            instance.revision = instance.revision.max(entry.revision);
            return true;
        }
        if entry.revision <= instance.revision {
            return true;
        }
        if instance.revision == 0 {
            // The first that is told of it since: what it may have been before
            // isn't known, so the next change counts.
            instance.revision = entry.revision;
            return true;
        }
        self.instances.remove(at);
        false
    }
}
