//! Workers that have ended, by the platform's list of VMs.
//!
//! An owner can't tell a worker that has ended from one that is cut off, whose tasks run on. The
//! platform can: it lists each VM with the worker instance that runs on it, and an instance that has
//! ended never runs again. Owners report the workers that don't answer with their load, and learn in
//! the next request which of them no VM runs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use corianderfork_adapter::fleet::{State, Vm};
use corianderfork_model::Time;

use crate::absence::Absence;

/// How long consecutive lists have to lack a worker: twice the second by which the list lags.
const END_DELAY: Duration = Duration::from_millis(2_000);
/// The fewest consecutive lists that have to lack a worker. The pages of a list are read one after
/// the other, so that a single one may lack a VM that exists.
const MIN_LISTS: u32 = 3;
/// How long a worker that is no longer listed is remembered without a report of its owner: longer
/// than the takeover of a pool whose owner was lost with it.
const RETENTION: Duration = Duration::from_secs(30);

/// The workers that no VM runs any more. It does no I/O.
///
/// ```
/// use std::collections::BTreeMap;
/// use corianderfork_adapter::fleet::{State, Vm};
/// use corianderfork_entry::ended::Workers;
/// use corianderfork_model::Time;
///
/// let vm = Vm {
///     name: "m-1".to_owned(),
///     pool: "p".to_owned(),
///     state: State::Up,
///     worker: "i-1".to_owned(),
///     room: Default::default(),
/// };
/// let mut vms = BTreeMap::from([("m-1".to_owned(), vm)]);
/// let mut workers = Workers::default();
/// workers.note_list(Time::from_millis(0), &vms);
/// vms.insert("m-1".to_owned(), Vm { state: State::Down, worker: String::new(), ..vms["m-1"].clone() });
/// for at in [1_000, 2_000, 3_000] {
///     workers.note_list(Time::from_millis(at), &vms);
/// }
/// assert!(workers.ended("p").is_empty(), "nobody misses it");
/// workers.set_silent("p", vec!["i-1".to_owned()]);
/// assert_eq!(workers.ended("p"), ["i-1"]);
/// ```
#[derive(Debug)]
pub struct Workers {
    /// Silent workers by pool, as the owners last reported them.
    silent: BTreeMap<String, Vec<String>>,
    /// When each worker was last listed.
    listed: HashMap<String, Time>,
    absence: Absence,
    /// When the last whole list was requested.
    read_at: Time,
}

impl Default for Workers {
    fn default() -> Self {
        Self {
            silent: BTreeMap::new(),
            listed: HashMap::new(),
            absence: Absence::default().delay(END_DELAY).min_lists(MIN_LISTS),
            read_at: Time::ZERO,
        }
    }
}

impl Workers {
    /// Sets which workers of a pool don't answer. What was set holds while the pool has no owner.
    pub fn set_silent(&mut self, pool: &str, workers: Vec<String>) {
        self.silent.insert(pool.to_owned(), workers);
    }

    /// Records a list that was requested at `at`. It has to be whole: a worker whose row can't be
    /// read may run.
    pub fn note_list(&mut self, at: Time, vms: &BTreeMap<String, Vm>) {
        if vms.is_empty() {
            return;
        }
        let has_worker = |vm: &&Vm| vm.state != State::Down && !vm.worker.is_empty();
        let running: HashSet<&str> =
            vms.values().filter(has_worker).map(|vm| vm.worker.as_str()).collect();
        for worker in &running {
            match self.listed.get_mut(*worker) {
                Some(listed_at) => *listed_at = at,
                None => drop(self.listed.insert((*worker).to_owned(), at)),
            }
        }
        self.listed.retain(|_, listed_at| at - *listed_at < RETENTION);
        let silent = self.silent.values().flatten();
        let wanted = silent.chain(self.listed.keys()).map(String::as_str);
        self.absence.note(at, wanted, |worker| running.contains(worker));
        self.read_at = at;
    }

    /// Returns the silent workers of a pool that have certainly ended.
    pub fn ended(&self, pool: &str) -> Vec<String> {
        let silent = self.silent.get(pool).into_iter().flatten();
        silent.filter(|worker| self.absence.is_gone(self.read_at, worker)).cloned().collect()
    }
}
