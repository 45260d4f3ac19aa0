//! Tracks the history of each copy since it was first seen, as the list of
//! tasks shows only its current state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::State;
use corianderfork_provider::fleet::TaskState;

use crate::directory::Directory;
use crate::facts::{Change, Copy, Facts};
use crate::plan::load::MAX_REPORT_AGE;

/// The number of proxies that must suspect a copy, if there are that many.
const SUSPECT_QUORUM: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Track {
    since: Time,
    warm: bool,
    failure_reported: bool,
}

/// The history of the copies.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    copies: BTreeMap<Copy, Track>,
    suspected: BTreeMap<Copy, Time>,
    lost: BTreeMap<Name, Time>,
}

impl Tracker {
    /// Applies the list of tasks, and reports successful and failed starts to
    /// `state`. `unix` is the time since the Unix epoch.
    pub fn on_tasks(
        &mut self,
        unix: Time,
        fleet: &Fleet,
        facts: &Facts,
        state: &mut State,
        start_timeout: Duration,
    ) {
        let listed = facts.all_tasks().map(|t| ((t.vm.clone(), t.service.clone()), t.state));
        let starting = facts.starting().map(|copy| (copy.clone(), TaskState::Starting));
        let present: BTreeMap<Copy, TaskState> = listed.chain(starting).collect();
        for (copy, task) in &present {
            self.on_task(unix, fleet, copy, *task, state, start_timeout);
        }
        let gone: Vec<Copy> =
            self.copies.keys().filter(|copy| !present.contains_key(copy)).cloned().collect();
        for copy in gone {
            let track = self.copies.remove(&copy);
            let expected =
                facts.pending(&copy) == Some(Change::Stop) || self.lost.contains_key(&copy.0);
            if track.is_some_and(|track| !track.warm && !track.failure_reported) && !expected {
                record_failed_start(unix, fleet, &copy, state);
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
        start_timeout: Duration,
    ) {
        let new = Track { since: unix, warm: false, failure_reported: false };
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
            TaskState::Starting
                if !track.failure_reported && unix - track.since > start_timeout =>
            {
                track.failure_reported = true;
                record_failed_start(unix, fleet, copy, state);
            }
            _ => {}
        }
    }

    /// Returns when this process first saw a copy.
    pub fn since(&self, copy: &Copy) -> Option<Time> {
        self.copies.get(copy).map(|track| track.since)
    }

    /// Applies the proxies' suspicions.
    ///
    /// Copies that are about to be stopped stay suspected. They have left the
    /// record, so proxies forget them and no longer report them. If that ended
    /// the suspicion, a failing copy would return to the record within a
    /// second, fail again and never be stopped.
    pub fn on_suspects(
        &mut self,
        now: Time,
        directory: &Directory,
        stopping: impl Fn(&Copy) -> bool,
    ) {
        let proxies = directory.reports(now, MAX_REPORT_AGE).count();
        let mut counts: BTreeMap<Copy, usize> = BTreeMap::new();
        for (_, report) in directory.reports(now, MAX_REPORT_AGE) {
            let copies: BTreeSet<Copy> = report.suspects.iter().filter_map(suspect_copy).collect();
            for copy in copies {
                *counts.entry(copy).or_default() += 1;
            }
        }
        // A single proxy may have lost its connection to a healthy copy.
        let quorum = SUSPECT_QUORUM.min(proxies.max(1));
        counts.retain(|_, count| *count >= quorum);
        self.suspected.retain(|copy, _| counts.contains_key(copy) || stopping(copy));
        for copy in counts.into_keys() {
            self.suspected.entry(copy).or_insert(now);
        }
    }

    /// Whether proxies have suspected a copy for at least `after`.
    pub fn is_failing(&self, now: Time, copy: &Copy, after: Duration) -> bool {
        self.suspected.get(copy).is_some_and(|since| now - *since >= after)
    }

    /// Updates whether a VM is lost. Returns since when it has been.
    pub fn lost(&mut self, unix: Time, vm: &Name, lost: bool) -> Option<Time> {
        if !lost {
            self.lost.remove(vm);
            return None;
        }
        Some(*self.lost.entry(vm.clone()).or_insert(unix))
    }
}

fn record_failed_start(unix: Time, fleet: &Fleet, copy: &Copy, state: &mut State) {
    let ids = (fleet.find_vm(copy.0.as_str()), fleet.find_service(copy.1.as_str()));
    if let (Some(vm), Some(service)) = ids {
        state.record_start_failure(vm, service, unix);
    }
}

fn suspect_copy(suspect: &corianderfork_wire::peer::Suspect) -> Option<Copy> {
    Some((Name::new(&suspect.vm).ok()?, Name::new(&suspect.service).ok()?))
}
