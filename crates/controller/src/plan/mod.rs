//! The decision: computes actions from the known state, without I/O.
//!
//! A [`Planner`] lives as long as its process, so that what it has learned
//! about load is available when the process acquires the lease. Everything else
//! is read from the records and the platform: a new holder continues each VM
//! from the phase where the previous one stopped.
//!
//! [`Planner::decide`] merges records, lists and reports into the policy's
//! state, runs the rules and the policy, and turns their steps into writes and
//! calls, with at most one write per VM. Each write carries the revision that
//! it is based on.

pub mod action;
pub mod barriers;
mod bucket;
pub mod change;
pub mod count;
pub mod directive;
pub mod explain;
pub mod limits;
pub mod load;
mod observe;
mod rate_limit;
mod reason;
pub mod situation;
mod steps;
mod stops;
mod track;
mod transition;
pub mod wave;

pub use limits::Limits;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use corianderfork_config::Configuration;
use corianderfork_model::place::VmId;
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::State;
use corianderfork_policy::sizing::{Sizer, Usage};
use corianderfork_provider::record::{Explain, Phase};
use corianderfork_provider::store::Expect;

use crate::directory::Directory;
use crate::facts::{Copy, Facts};
use crate::view::View;
use action::{Action, Write};
use barriers::Barriers;
use count::Count;
use load::Sampler;
use rate_limit::Limiter;
use stops::Stops;
use track::Tracker;

/// The input for a decision.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// The process's monotonic time.
    pub now: Time,
    /// The time since the Unix epoch.
    pub unix: Time,
    /// The shared records.
    pub view: &'a View,
    /// The other processes.
    pub directory: &'a Directory,
    /// The state that the platform reported.
    pub facts: &'a mut Facts,
}

/// The output of a decision.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The actions to carry out, the most urgent first.
    pub actions: Vec<Action>,
    /// The number of steps that the rate limits left for later decisions.
    pub deferred: usize,
    /// The explanation of the decision.
    pub explain: Explain,
    /// The copies of each service.
    pub counts: Vec<Count>,
}

/// The parts of a decision while it is being made.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    /// VMs that the policy returns to service.
    admitted: BTreeSet<VmId>,
    writes: Vec<Write>,
    written: BTreeSet<Name>,
    calls: Vec<Action>,
    waits: Vec<String>,
}

/// Makes decisions.
#[derive(Debug)]
pub struct Planner {
    limits: Limits,
    config_revision: u64,
    parsed: Option<Rc<Configuration>>,
    state: State,
    sampler: Sampler,
    tracker: Tracker,
    barriers: Barriers,
    stops: Stops,
    writing: BTreeSet<Name>,
    wave_writing: bool,
    limiter: Limiter,
    usage_seen: BTreeMap<Copy, u64>,
}

impl Planner {
    /// Creates a planner with no state.
    pub fn new(limits: Limits) -> Self {
        let barriers = Barriers::new(limits.barrier);
        let limiter = Limiter::new(limits.writes, limits.calls);
        Self {
            limits,
            config_revision: 0,
            parsed: None,
            state: State::new(&Fleet::default(), Time::ZERO),
            sampler: Sampler::default(),
            tracker: Tracker::default(),
            barriers,
            stops: Stops::default(),
            writing: BTreeSet::new(),
            wave_writing: false,
            limiter,
            usage_seen: BTreeMap::new(),
        }
    }

    /// Loads the configuration in force and samples the load. Called in every
    /// process, so that a new holder knows the load at once.
    pub fn update(&mut self, now: Time, unix: Time, view: &View, directory: &Directory) {
        self.load_config(unix, view);
        let Some(parsed) = self.parsed.clone() else { return };
        self.sampler.sample(now, unix, &parsed.fleet, directory, &mut self.state.sizer);
    }

    fn load_config(&mut self, unix: Time, view: &View) {
        let Some((revision, active)) = view.config() else { return };
        if revision == self.config_revision {
            return;
        }
        let fleet = &active.parsed.fleet;
        let names = |fleet: &Fleet| -> Vec<Name> {
            fleet.services().map(|(_, service)| service.name.clone()).collect()
        };
        let same_services =
            self.parsed.as_ref().is_some_and(|old| names(&old.fleet) == names(fleet));
        let sizer = std::mem::replace(&mut self.state, State::new(fleet, unix)).sizer;
        // Learned sizes are stored by a service's position in the
        // configuration, so they are only valid while the services stay the
        // same.
        if same_services {
            self.state.sizer = sizer;
        } else {
            self.state.sizer = Sizer::new(fleet, unix);
            self.sampler.clear();
        }
        self.config_revision = revision;
        self.parsed = Some(Rc::clone(&active.parsed));
    }

    /// Drops the state of an earlier tenure, as this process has just acquired
    /// the lease.
    pub fn reset(&mut self) {
        self.tracker = Tracker::default();
        self.stops = Stops::default();
        self.barriers = Barriers::new(self.limits.barrier);
        self.limiter.reset();
    }

    /// Applies a report of the usage of tasks.
    pub fn on_usage(&mut self, unix: Time, usage: &[corianderfork_provider::fleet::Usage]) {
        let Some(parsed) = self.parsed.clone() else { return };
        for report in usage {
            let copy = (report.vm.clone(), report.service.clone());
            let Some(service) = parsed.fleet.find_service(report.service.as_str()) else {
                continue;
            };
            // The list repeats the last report until there is a newer one.
            // Counting it twice would give it too much weight.
            if self.usage_seen.insert(copy, report.at_ms).is_some_and(|seen| seen >= report.at_ms) {
                continue;
            }
            let at = Time::from_millis(report.at_ms);
            let usage =
                Usage { at, milli_cores: report.milli_cores, memory_mib: report.memory_mib };
            self.state.sizer.record_usage(unix, service, usage);
        }
        let listed: BTreeSet<Copy> =
            usage.iter().map(|report| (report.vm.clone(), report.service.clone())).collect();
        self.usage_seen.retain(|copy, _| listed.contains(copy));
    }

    /// Records that a write of a VM's record was submitted. Nothing more is
    /// decided for the VM until the outcome is known.
    pub fn on_write(&mut self, vm: &Name) {
        self.writing.insert(vm.clone());
    }

    /// Records that the outcome of a write is known and in the view.
    pub fn on_written(&mut self, vm: &Name) {
        self.writing.remove(vm);
    }

    /// Sets whether a write of the wave's record is in flight.
    pub fn set_wave_writing(&mut self, writing: bool) {
        self.wave_writing = writing;
    }

    fn is_writing(&self, vm: &Name) -> bool {
        self.writing.contains(vm)
    }

    /// Makes a decision. Returns `None` if there is no configuration.
    pub fn decide(&mut self, inputs: &mut Inputs<'_>) -> Option<Decision> {
        self.update(inputs.now, inputs.unix, inputs.view, inputs.directory);
        let parsed = self.parsed.clone()?;
        let fleet = &parsed.fleet;
        observe::observe(self, fleet, inputs);
        let situation = situation::situation(&situation::Source {
            now: inputs.now,
            unix: inputs.unix,
            fleet,
            settings: &parsed.settings,
            state: &self.state,
            load: &self.sampler,
            facts: inputs.facts,
            down_since: inputs.view.failing_since(),
        });
        let explanation = parsed.rules.explain(&situation);
        let mut directive = directive::from_actions(explanation.decision().actions(), fleet);
        let wave = inputs.facts.wave.as_ref().and_then(|reading| reading.value.clone());
        let state_before_wave = self.state.clone();
        self.state.wave = None;
        if let Some((_, wave)) = &wave {
            wave::apply(wave, fleet, &mut self.state, &mut directive);
        }
        let config = &self.limits.policy;
        let policy =
            corianderfork_policy::decide(fleet, &self.state, &directive, config, inputs.unix);
        let mut draft = Draft::new(&policy.steps);
        transition::advance(self, fleet, inputs, &mut draft);
        let rule = explanation.decision().name().to_string();
        steps::apply(self, fleet, inputs, &mut draft, &policy.steps, &rule);
        steps::stop_strays(self, fleet, inputs, &mut draft);
        self.prune(inputs);
        let problems = problems(inputs.view, &draft, fleet);
        let explain = explain::explain(&explain::Source {
            unix: inputs.unix,
            config_revision: self.config_revision,
            fleet,
            explanation: &explanation,
            steps: &policy.steps,
            notes: &policy.notes,
            problems: &problems,
        });
        let counts = count::counts(inputs.now, fleet, &self.state, &self.sampler, &policy.steps);
        let mut actions = Vec::new();
        if let Some((revision, wave)) = wave.filter(|_| !self.wave_writing) {
            let next = wave::advance(&wave, fleet, &state_before_wave, &policy.notes);
            if next != wave {
                let expect = Expect::Revision(revision);
                actions.push(Action::Wave { expect, from: Box::new(wave), wave: Box::new(next) });
            }
        }
        let deferred = self.limiter.apply(inputs.now, draft, &mut actions);
        Some(Decision { actions, deferred, explain, counts })
    }

    /// Drops state that no longer concerns any VM.
    fn prune(&mut self, inputs: &mut Inputs<'_>) {
        let in_phase = |phase: Phase| -> BTreeSet<Name> {
            let vms = inputs.view.vms().filter(|(_, entry)| entry.record.phase == phase);
            vms.map(|(name, _)| name.clone()).collect()
        };
        let (draining, rebooting) = (in_phase(Phase::Draining), in_phase(Phase::Rebooting));
        let stops = &self.stops;
        self.barriers.retain(&draining, |copy| stops.contains(copy));
        inputs.facts.retain_reboots(|vm| rebooting.contains(vm));
        self.limiter.prune(inputs.now, inputs.facts, &rebooting);
    }

    /// Returns the state of the fleet at the last decision.
    pub fn state(&self) -> &State {
        &self.state
    }
}

fn problems(view: &View, draft: &Draft, fleet: &Fleet) -> Vec<String> {
    let orphans = view.vms().filter(|(_, entry)| {
        fleet.find_pool(entry.record.pool.as_str()).is_none() && entry.record.phase != Phase::Out
    });
    let orphans = orphans.map(|(name, entry)| {
        format!("{name} is in pool {}, which is in no configuration", entry.record.pool)
    });
    view.problems().cloned().chain(draft.waits.iter().cloned()).chain(orphans).collect()
}
