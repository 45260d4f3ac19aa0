//! How each copy has fared since it was first seen, as the list of tasks only
//! shows the present.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::State;
use corianderfork_provider::fleet::TaskState;

use crate::directory::Directory;
use crate::facts::{Change, Copy, Facts};
use crate::plan::load::FRESH;

/// Proxies that have to suspect a copy, if there are so many.
const SUSPICIONS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Track {
    since: Time,
    warm: bool,
    told: bool,
}

/// How the copies have fared.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    copies: BTreeMap<Copy, Track>,
    suspected: BTreeMap<Copy, Time>,
    lost: BTreeMap<Name, Time>,
}

impl Tracker {
    /// Takes in the list of tasks and tells `state` of starts that went well
    /// or failed. `unix` is the time since the Unix epoch.
    pub fn on_tasks(
        &mut self,
        unix: Time,
        fleet: &Fleet,
        facts: &Facts,
        state: &mut State,
        start_limit: Duration,
    ) {
        let listed = facts.all_tasks().map(|t| ((t.vm.clone(), t.service.clone()), t.state));
        let starting = facts.starting().map(|copy| (copy.clone(), TaskState::Starting));
        let present: BTreeMap<Copy, TaskState> = listed.chain(starting).collect();
        for (copy, task) in &present {
            self.on_task(unix, fleet, copy, *task, state, start_limit);
        }
        let gone: Vec<Copy> =
            self.copies.keys().filter(|copy| !present.contains_key(copy)).cloned().collect();
        for copy in gone {
            let track = self.copies.remove(&copy);
            let ours =
                facts.pending(&copy) == Some(Change::Stop) || self.lost.contains_key(&copy.0);
            if track.is_some_and(|track| !track.warm && !track.told) && !ours {
                failed(unix, fleet, &copy, state);
            }
        }
    }

    fn on_task(
        &mut self,
        unix: Time,
        fleet: &Fleet,
        copy: &Copy,
        task: TaskState,
        state: &mut State,
        start_limit: Duration,
    ) {
        let new = Track { since: unix, warm: false, told: false };
        let track = self.copies.entry(copy.clone()).or_insert(new);
        match task {
            TaskState::Running if !track.warm => {
                track.warm = true;
                let ids = (fleet.find_vm(copy.0.as_str()), fleet.find_service(copy.1.as_str()));
                if let (Some(vm), Some(service)) = ids {
                    state.record_start_success(vm, service);
                }
            }
            TaskState::Starting if track.warm => *track = new,
            TaskState::Starting if !track.told && unix - track.since > start_limit => {
                track.told = true;
                failed(unix, fleet, copy, state);
            }
            _ => {}
        }
    }

    /// When a copy was started, as far as this process saw it.
    pub fn since(&self, copy: &Copy) -> Option<Time> {
        self.copies.get(copy).map(|track| track.since)
    }

    /// Takes in which copies proxies suspect.
    ///
    /// Those that are about to be stopped stay suspected: they have left the
    /// record, so that proxies forget them and suspect them no more. Taken back
    /// for that, a copy that fails would return to the record within a second,
    /// fail again, and never be stopped.
    pub fn on_suspects(
        &mut self,
        now: Time,
        directory: &Directory,
        stopping: impl Fn(&Copy) -> bool,
    ) {
        let proxies = directory.told(now, FRESH).count();
        let mut counts: BTreeMap<Copy, usize> = BTreeMap::new();
        for (_, told) in directory.told(now, FRESH) {
            let copies: BTreeSet<Copy> = told.suspects.iter().filter_map(copy).collect();
            for copy in copies {
                *counts.entry(copy).or_default() += 1;
            }
        }
        // One proxy alone may have lost the way to a copy that is well.
        let enough = SUSPICIONS.min(proxies.max(1));
        counts.retain(|_, count| *count >= enough);
        self.suspected.retain(|copy, _| counts.contains_key(copy) || stopping(copy));
        for copy in counts.into_keys() {
            self.suspected.entry(copy).or_insert(now);
        }
    }

    /// Whether proxies have suspected a copy for as long as `after`.
    pub fn is_failing(&self, now: Time, copy: &Copy, after: Duration) -> bool {
        self.suspected.get(copy).is_some_and(|since| now - *since >= after)
    }

    /// Since when a VM is lost, if `lost`.
    pub fn lost(&mut self, unix: Time, vm: &Name, lost: bool) -> Option<Time> {
        if !lost {
            self.lost.remove(vm);
            return None;
        }
        Some(*self.lost.entry(vm.clone()).or_insert(unix))
    }
}

fn failed(unix: Time, fleet: &Fleet, copy: &Copy, state: &mut State) {
    let ids = (fleet.find_vm(copy.0.as_str()), fleet.find_service(copy.1.as_str()));
    if let (Some(vm), Some(service)) = ids {
        state.record_start_failure(vm, service, unix);
    }
}

fn copy(suspect: &corianderfork_wire::peer::Suspect) -> Option<Copy> {
    Some((Name::new(&suspect.vm).ok()?, Name::new(&suspect.service).ok()?))
}
