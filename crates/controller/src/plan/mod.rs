//! The decision: what is known in, what to do out. Pure.
//!
//! A [`Planner`] lives as long as its process, so that what it learned of load
//! is there when the process becomes the holder of the lease. Everything else
//! it needs is read anew from the records and the platform: a successor goes on
//! from each phase of each VM where its predecessor stopped.
//!
//! One [`Planner::decide`] merges records, lists and reports into the policy's
//! state, lets the rules and the policy decide, and turns their steps into
//! writes and calls, at most one write a VM. Each write carries the revision it
//! was decided on.

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

use corianderfork_config::Parsed;
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
use rate_limit::Pace;
use stops::Stops;
use track::Tracker;

/// What is known when a decision is made.
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
    /// What the platform said.
    pub facts: &'a mut Facts,
}

/// What was decided.
#[derive(Clone, Debug)]
pub struct Round {
    /// What to do, the most urgent first.
    pub actions: Vec<Action>,
    /// Steps left for later rounds by the limits.
    pub deferred: usize,
    /// What was decided and why.
    pub explain: Explain,
    /// Copies by service.
    pub counts: Vec<Count>,
}

/// What one decision gathers.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    /// VMs that the policy takes back into service.
    admitted: BTreeSet<VmId>,
    writes: Vec<Write>,
    written: BTreeSet<Name>,
    calls: Vec<Action>,
    waits: Vec<String>,
}

/// Decides.
#[derive(Debug)]
pub struct Planner {
    settings: Limits,
    config: u64,
    parsed: Option<Rc<Parsed>>,
    state: State,
    sampler: Sampler,
    tracker: Tracker,
    barriers: Barriers,
    stops: Stops,
    busy: BTreeSet<Name>,
    wave_busy: bool,
    pace: Pace,
    usage_seen: BTreeMap<Copy, u64>,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new(settings: Limits) -> Self {
        let barriers = Barriers::new(settings.barrier);
        let pace = Pace::new(settings.writes, settings.calls);
        Self {
            settings,
            config: 0,
            parsed: None,
            state: State::new(&Fleet::default(), Time::ZERO),
            sampler: Sampler::default(),
            tracker: Tracker::default(),
            barriers,
            stops: Stops::default(),
            busy: BTreeSet::new(),
            wave_busy: false,
            pace,
            usage_seen: BTreeMap::new(),
        }
    }

    /// Takes the configuration in force and a sample of load. To be called by
    /// every process, so that a successor knows the load at once.
    pub fn learn(&mut self, now: Time, unix: Time, view: &View, directory: &Directory) {
        self.take_config(unix, view);
        let Some(parsed) = self.parsed.clone() else { return };
        self.sampler.sample(now, unix, &parsed.fleet, directory, &mut self.state.sizer);
    }

    fn take_config(&mut self, unix: Time, view: &View) {
        let Some((revision, active)) = view.config() else { return };
        if revision == self.config {
            return;
        }
        let fleet = &active.parsed.fleet;
        let names = |fleet: &Fleet| -> Vec<Name> {
            fleet.services().map(|(_, service)| service.name.clone()).collect()
        };
        let same = self.parsed.as_ref().is_some_and(|old| names(&old.fleet) == names(fleet));
        let learned = std::mem::replace(&mut self.state, State::new(fleet, unix)).sizer;
        // What was learned is kept by the place of a service in the
        // configuration; with other services it would speak of others.
        if same {
            self.state.sizer = learned;
        } else {
            self.state.sizer = Sizer::new(fleet, unix);
            self.sampler.clear();
        }
        self.config = revision;
        self.parsed = Some(Rc::clone(&active.parsed));
    }

    /// This process has become the holder: nothing of an earlier time as
    /// holder counts any more.
    pub fn begin(&mut self) {
        self.tracker = Tracker::default();
        self.stops = Stops::default();
        self.barriers = Barriers::new(self.settings.barrier);
        self.pace.begin();
    }

    /// Takes in what tasks use.
    pub fn on_usage(&mut self, unix: Time, usage: &[corianderfork_provider::fleet::Usage]) {
        let Some(parsed) = self.parsed.clone() else { return };
        for one in usage {
            let copy = (one.vm.clone(), one.service.clone());
            let Some(service) = parsed.fleet.find_service(one.service.as_str()) else { continue };
            // The list shows the last report again until there is a newer one;
            // counted twice it would speak louder than it may.
            if self.usage_seen.insert(copy, one.at_ms).is_some_and(|seen| seen >= one.at_ms) {
                continue;
            }
            let at = Time::from_millis(one.at_ms);
            let usage = Usage { at, milli_cores: one.milli_cores, memory_mib: one.memory_mib };
            self.state.sizer.record_usage(unix, service, usage);
        }
        let listed: BTreeSet<Copy> =
            usage.iter().map(|one| (one.vm.clone(), one.service.clone())).collect();
        self.usage_seen.retain(|copy, _| listed.contains(copy));
    }

    /// A write of a VM's record has been handed over; nothing more is decided
    /// for the VM until its end is known.
    pub fn on_write(&mut self, vm: &Name) {
        self.busy.insert(vm.clone());
    }

    /// The end of a write is known and in the view.
    pub fn on_written(&mut self, vm: &Name) {
        self.busy.remove(vm);
    }

    /// The wave's record is being written, or no longer.
    pub fn on_wave(&mut self, busy: bool) {
        self.wave_busy = busy;
    }

    fn is_busy(&self, vm: &Name) -> bool {
        self.busy.contains(vm)
    }

    /// Decides, or gives `None` while there is no configuration.
    pub fn decide(&mut self, inputs: &mut Inputs<'_>) -> Option<Round> {
        self.learn(inputs.now, inputs.unix, inputs.view, inputs.directory);
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
        let wave = inputs.facts.wave.as_ref().and_then(|listed| listed.value.clone());
        let before = self.state.clone();
        self.state.wave = None;
        if let Some((_, wave)) = &wave {
            wave::apply(wave, fleet, &mut self.state, &mut directive);
        }
        let config = &self.settings.policy;
        let decision =
            corianderfork_policy::decide(fleet, &self.state, &directive, config, inputs.unix);
        let mut turn = Turn::new(&decision.steps);
        transition::follow(self, fleet, inputs, &mut turn);
        let rule = explanation.decision().name().to_string();
        steps::carry(self, fleet, inputs, &mut turn, &decision.steps, &rule);
        steps::stop_strays(self, fleet, inputs, &mut turn);
        self.tidy(inputs);
        let problems = problems(inputs.view, &turn, fleet);
        let explain = explain::explain(&explain::Source {
            unix: inputs.unix,
            config: self.config,
            fleet,
            explanation: &explanation,
            steps: &decision.steps,
            notes: &decision.notes,
            problems: &problems,
        });
        let counts = count::counts(inputs.now, fleet, &self.state, &self.sampler, &decision.steps);
        let mut actions = Vec::new();
        if let Some((revision, wave)) = wave.filter(|_| !self.wave_busy) {
            let next = wave::advance(&wave, fleet, &before, &decision.notes);
            if next != wave {
                let expect = Expect::Revision(revision);
                actions.push(Action::Wave { expect, from: Box::new(wave), wave: Box::new(next) });
            }
        }
        let deferred = self.pace.limit(inputs.now, turn, &mut actions);
        Some(Round { actions, deferred, explain, counts })
    }

    /// Drops what no longer concerns any VM.
    fn tidy(&mut self, inputs: &mut Inputs<'_>) {
        let in_phase = |phase: Phase| -> BTreeSet<Name> {
            let there = inputs.view.vms().filter(|(_, held)| held.record.phase == phase);
            there.map(|(name, _)| name.clone()).collect()
        };
        let (draining, rebooting) = (in_phase(Phase::Draining), in_phase(Phase::Rebooting));
        let stops = &self.stops;
        self.barriers.retain(&draining, |copy| stops.contains(copy));
        inputs.facts.retain_reboots(|vm| rebooting.contains(vm));
        self.pace.tidy(inputs.now, inputs.facts, &rebooting);
    }

    /// What is known of the fleet, as the last decision saw it.
    pub fn state(&self) -> &State {
        &self.state
    }
}

fn problems(view: &View, turn: &Turn, fleet: &Fleet) -> Vec<String> {
    let unknown = view.vms().filter(|(_, held)| {
        fleet.find_pool(held.record.pool.as_str()).is_none() && held.record.phase != Phase::Out
    });
    let unknown = unknown.map(|(name, held)| {
        format!("{name} is in pool {}, which is in no configuration", held.record.pool)
    });
    view.problems().cloned().chain(turn.waits.iter().cloned()).chain(unknown).collect()
}
