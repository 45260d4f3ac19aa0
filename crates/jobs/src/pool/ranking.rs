//! The order in which ready steps get room.
//!
//! The order is kept between plans: a job is ranked anew when it changes or its urgency does.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Occurrence};
use super::symbol::Symbol;
use super::{JobKey, Pool};
use crate::contention::Order;
use crate::feature::Feature;
use crate::id::JobId;
use crate::job::{Room, Step, chain_ms};
use crate::organisation;
use crate::tally::Outcome;

/// How long before its expiry a late job is ranked before the others. A longer time serves more of
/// the late jobs and fewer in time; between 0.5 s and 1.2 s the gain and the loss are equal in what
/// users pay.
const CRITICAL_MARGIN: Duration = Duration::from_millis(500);
/// The resolution of [`Time`]: the delay from the last moment before a change to the change.
const TICK: Duration = Duration::from_millis(1);

/// The urgency of a job, most urgent first.
///
/// A job that can no longer be in time yields to those that can, until it is about to expire: a
/// job that is served late earns little, but one that is not served at all counts fully as
/// failed. Under contention ([`Order`]) it yields to them in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It is long-running, or has to start now to be served at all and yields to no others.
    Critical,
    /// It can finish in time.
    InTime,
    /// It can finish in time, but there isn't enough room for all of those that can.
    PassedOver,
    /// It will finish late, and has to start now to be served at all.
    Expiring,
    /// It will finish late.
    Late,
    /// It earns nothing any more.
    Expired,
}

/// The position of a ready step, by the operators' priority, then by [`Urgency`], then owed
/// ones first, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    priority: u32,
    urgency: Urgency,
    /// Whether its job is beyond what its organisation is owed.
    is_beyond_owed: bool,
    /// The deadline, or a value that decreases with the age of the job.
    deadline: Time,
    job: JobId,
    occurrence: u32,
    step: usize,
}

impl Position {
    /// Returns the operators' priority.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// Returns the occurrence and the index of the step.
    pub fn step(&self) -> (u32, usize) {
        (self.occurrence, self.step)
    }
}

/// Identifies a step of an occurrence.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepKey {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: usize,
}

/// A ready step with waiting tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub key: StepKey,
    /// The room that each of its tasks needs.
    pub room: Room,
    /// The organisation, if it may have a limit.
    pub organisation: Option<organisation::Key>,
    /// Whether its job earns nothing any more.
    pub is_expired: bool,
    /// Whether its job can still be in time, or is long-running.
    pub is_urgent: bool,
    /// Whether only some workers may run it.
    pub has_feature: bool,
    /// The label that a worker must have.
    pub label: Option<Symbol>,
    /// The rack of its data.
    pub rack: Option<Symbol>,
    /// How long it waits for a worker there.
    pub rack_wait: Duration,
    /// Whether nothing but a worker's label, rack and room decides where its tasks run.
    pub is_plain: bool,
}

/// The ready steps with waiting tasks, in the order in which they get room.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    candidates: BTreeMap<Position, Candidate>,
    /// The number of candidates that need each feature.
    features: BTreeMap<Feature, usize>,
    /// The number of candidates that need each amount of CPU.
    cpu: BTreeMap<u64, usize>,
    /// The positions of each organisation's candidates.
    organisations: Vec<BTreeSet<Position>>,
}

impl Ranking {
    /// Adds a ready step, or updates it if its position is known.
    fn insert(&mut self, position: Position, candidate: Candidate, step: &Step) {
        if self.candidates.insert(position, candidate).is_some() {
            return;
        }
        *self.cpu.entry(candidate.room.cpu).or_default() += 1;
        if let Some(key) = candidate.organisation {
            if self.organisations.len() <= key.0 {
                self.organisations.resize_with(key.0 + 1, BTreeSet::new);
            }
            self.organisations[key.0].insert(position);
        }
        if let Some(feature) = Feature::of(step) {
            *self.features.entry(feature).or_default() += 1;
        }
    }

    fn remove(&mut self, position: &Position, step: Option<&Step>) {
        let Some(candidate) = self.candidates.remove(position) else { return };
        decrement(&mut self.cpu, &candidate.room.cpu);
        if let Some(key) = candidate.organisation
            && let Some(positions) = self.organisations.get_mut(key.0)
        {
            positions.remove(position);
        }
        if let Some(feature) = step.and_then(Feature::of) {
            decrement(&mut self.features, &feature);
        }
    }

    /// Moves a step to another position.
    fn move_to(&mut self, from: &Position, to: Position) {
        let Some(candidate) = self.candidates.remove(from) else { return };
        if let Some(key) = candidate.organisation
            && let Some(positions) = self.organisations.get_mut(key.0)
        {
            positions.remove(from);
            positions.insert(to);
        }
        self.candidates.insert(to, candidate);
    }

    /// Returns whether no step is ready.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns the least CPU that a ready step needs, or `None` if no step is ready.
    pub fn least_cpu(&self) -> Option<u64> {
        self.cpu.first_key_value().map(|(cpu, _)| *cpu)
    }

    /// Returns the ready steps, most urgent first.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Returns the ready steps behind a position, most urgent first.
    pub fn behind(
        &self,
        position: Option<Position>,
    ) -> impl Iterator<Item = (&Position, &Candidate)> {
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        self.candidates.range((start, Bound::Unbounded))
    }

    /// Returns the step at a position.
    pub fn get(&self, position: &Position) -> Option<&Candidate> {
        self.candidates.get(position)
    }

    fn positions_of(&self, key: organisation::Key) -> Option<&BTreeSet<Position>> {
        self.organisations.get(key.0).filter(|positions| !positions.is_empty())
    }

    /// Returns whether an organisation has ready steps.
    pub fn has_organisation(&self, key: organisation::Key) -> bool {
        self.positions_of(key).is_some()
    }

    /// Returns the ready steps of an organisation, most urgent first.
    pub fn steps_of(&self, key: organisation::Key) -> impl Iterator<Item = &Candidate> {
        let positions = self.positions_of(key).into_iter().flatten();
        positions.filter_map(|position| self.candidates.get(position))
    }

    /// Returns the most urgent ready step of an organisation behind a position.
    pub fn next_of(&self, key: organisation::Key, position: Option<Position>) -> Option<Position> {
        let positions = self.positions_of(key)?;
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        positions.range((start, Bound::Unbounded)).next().copied()
    }

    /// Returns the features that ready steps need.
    pub fn features(&self) -> impl Iterator<Item = &Feature> {
        self.features.keys()
    }
}

impl Pool {
    /// Returns the ready steps with waiting tasks that may be started, most urgent first.
    pub(super) fn ranked_steps(&self, now: Time) -> Vec<StepKey> {
        let is_recovering = self.is_recovering(now);
        let is_safe = |candidate: &&Candidate| {
            let entry = self.jobs.get(candidate.key.job);
            entry.is_some_and(|entry| self.is_safe_to_start(is_recovering, entry))
        };
        self.ranking.candidates().filter(is_safe).map(|candidate| candidate.key).collect()
    }

    /// Returns whether tasks of a job may be started: a run that a predecessor may have started
    /// may still be alive where this owner can't see it.
    pub(super) fn is_safe_to_start(&self, is_recovering: bool, entry: &Entry) -> bool {
        entry.hold.is_none() && (!is_recovering || entry.revision > self.config.fence)
    }

    /// Updates the positions of a job's steps. Returns when they change by themselves.
    pub(super) fn update_rank(&mut self, now: Time, key: JobKey) -> Option<Time> {
        let entry = self.jobs.get(key)?;
        let (ranked, changes) =
            if entry.state.is_final() { (Vec::new(), None) } else { self.rank(now, key, entry) };
        let positions: Vec<Position> = ranked.iter().map(|(position, _)| *position).collect();
        self.update_remainder(key);
        let entry = self.jobs.get_mut(key)?;
        let steps = entry.steps.clone();
        let before = std::mem::replace(&mut entry.positions, positions);
        for position in before.iter().filter(|position| !entry.positions.contains(position)) {
            self.ranking.remove(position, steps.get(position.step));
        }
        for (position, candidate) in ranked {
            self.ranking.insert(position, candidate, &steps[position.step]);
        }
        changes
    }

    /// Sets whether other jobs go before an occurrence, and moves its steps accordingly. Returns
    /// whether that is a change.
    pub(super) fn set_passed_over(
        &mut self,
        key: JobKey,
        number: u32,
        is_passed_over: bool,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(key) else { return false };
        let Some(occurrence) = entry.occurrences.get_mut(&number) else { return false };
        if occurrence.is_passed_over == is_passed_over {
            return false;
        }
        occurrence.is_passed_over = is_passed_over;
        let (from, to) = if is_passed_over {
            (Urgency::InTime, Urgency::PassedOver)
        } else {
            (Urgency::PassedOver, Urgency::InTime)
        };
        for position in &mut entry.positions {
            if position.occurrence == number && position.urgency == from {
                let moved = Position { urgency: to, ..*position };
                self.ranking.move_to(position, moved);
                *position = moved;
            }
        }
        if is_passed_over {
            let organisation = entry.organisation_name.as_deref();
            self.tally.add(&entry.queue, organisation, Outcome::PassedOver);
        }
        true
    }

    /// Removes the positions of a job's steps.
    pub(super) fn remove_rank(&mut self, key: JobKey) {
        self.backlog.remove(key);
        let Some(entry) = self.jobs.get_mut(key) else { return };
        let steps = entry.steps.clone();
        for position in std::mem::take(&mut entry.positions) {
            self.ranking.remove(&position, steps.get(position.step));
        }
    }

    /// Returns the positions of a job's ready steps, and when its urgency changes.
    fn rank(
        &self,
        now: Time,
        key: JobKey,
        entry: &Entry,
    ) -> (Vec<(Position, Candidate)>, Option<Time>) {
        let priority = self.queues.get(&entry.queue).map_or(u32::MAX, |queue| queue.priority);
        let mut ranked = Vec::new();
        let mut changes: Option<Time> = None;
        for (number, occurrence) in &entry.occurrences {
            let mut ready = ready_steps(entry, occurrence).peekable();
            if ready.peek().is_none() {
                continue;
            }
            let (urgency, change) = self.urgency(now, entry, occurrence);
            changes = changes.into_iter().chain(change).min();
            let deadline = if urgency == Urgency::InTime && self.backlog.is_newest_first() {
                newest_first(entry, occurrence)
            } else {
                entry.deadline(occurrence)
            };
            for (index, step) in ready {
                let position = Position {
                    priority,
                    urgency,
                    is_beyond_owed: !entry.is_owed,
                    deadline,
                    job: entry.id,
                    occurrence: *number,
                    step: index,
                };
                let key = StepKey { job: key, occurrence: *number, step: index };
                let candidate = self.candidate(key, entry, occurrence, step);
                let is_expired = urgency == Urgency::Expired;
                let is_urgent = urgency == Urgency::InTime || entry.long_running;
                ranked.push((position, Candidate { is_expired, is_urgent, ..candidate }));
            }
        }
        (ranked, changes)
    }

    fn candidate(
        &self,
        key: StepKey,
        entry: &Entry,
        occurrence: &Occurrence,
        step: &Step,
    ) -> Candidate {
        let symbol = |text: &Option<String>| text.as_ref().and_then(|text| self.symbols.get(text));
        let has_crashes = occurrence
            .steps
            .get(key.step)
            .is_some_and(|state| state.tasks.known().any(|(_, task)| !task.crashed.is_empty()));
        let needs_advice =
            self.queues.get(&entry.queue).is_some_and(|queue| queue.advice.is_some());
        Candidate {
            key,
            room: step.room(),
            organisation: entry.organisation,
            is_expired: false,
            is_urgent: false,
            has_feature: Feature::of(step).is_some(),
            label: symbol(&step.label),
            rack: symbol(&step.preferred_rack),
            rack_wait: self.rack_wait(entry, step),
            is_plain: step.max_per_worker == 0 && !needs_advice && !has_crashes,
        }
    }

    /// Returns whether an occurrence can still be in time if its next tasks start now.
    pub(super) fn can_be_in_time(&self, now: Time, entry: &Entry, occurrence: &Occurrence) -> bool {
        let left = self.chain_left(entry, occurrence);
        entry.long_running || now + left <= entry.deadline(occurrence)
    }

    /// Returns the predicted duration of the longest chain of unfinished steps.
    pub(super) fn chain_left(&self, entry: &Entry, occurrence: &Occurrence) -> Duration {
        Duration::from_millis(chain_ms(&entry.steps, |index, step| {
            let is_unfinished =
                occurrence.steps.get(index).is_some_and(|state| state.unfinished > 0);
            if is_unfinished { self.predict(&entry.queue, step) } else { 0 }
        }))
    }

    /// Returns the urgency of an occurrence, and when it changes.
    fn urgency(
        &self,
        now: Time,
        entry: &Entry,
        occurrence: &Occurrence,
    ) -> (Urgency, Option<Time>) {
        if entry.long_running {
            return (Urgency::Critical, None);
        }
        let is_contended = self.config.contention.order != Order::Deadline;
        let finish = now + self.chain_left(entry, occurrence);
        let (deadline, expiry) = (entry.deadline(occurrence), entry.expiry(occurrence));
        // Returns the first moment at which the job would finish after `at`.
        let start_limit = |at: Time| {
            let start = at.as_millis().saturating_sub(finish.as_millis());
            Some(now + Duration::from_millis(start) + TICK)
        };
        if finish <= deadline {
            let is_passed_over = is_contended && occurrence.is_passed_over;
            let urgency = if is_passed_over { Urgency::PassedOver } else { Urgency::InTime };
            (urgency, start_limit(deadline))
        } else if finish > expiry {
            (Urgency::Expired, None)
        } else if finish + CRITICAL_MARGIN > expiry {
            let urgency = if is_contended { Urgency::Expiring } else { Urgency::Critical };
            (urgency, start_limit(expiry))
        } else {
            let margin = u64::try_from(CRITICAL_MARGIN.as_millis()).unwrap_or(0);
            let critical = Time::from_millis(expiry.as_millis().saturating_sub(margin));
            (Urgency::Late, start_limit(critical))
        }
    }
}

/// Returns a value that sorts jobs that have begun first, by deadline, and then the newest first.
fn newest_first(entry: &Entry, occurrence: &Occurrence) -> Time {
    /// Above the deadline of any job.
    const LAST: u64 = 1 << 62;
    if occurrence.has_begun(&entry.steps) {
        entry.deadline(occurrence)
    } else {
        Time::from_millis(LAST.saturating_sub(occurrence.begun.as_millis()))
    }
}

/// Decrements the count of a key, and removes the key at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

fn ready_steps<'a>(
    entry: &'a Entry,
    occurrence: &'a Occurrence,
) -> impl Iterator<Item = (usize, &'a Step)> {
    let steps = entry.steps.iter().zip(&occurrence.steps).enumerate();
    let ready = steps.filter(|(_, (step, state))| state.waiting > 0 && occurrence.is_ready(step));
    ready.map(|(index, (step, _))| (index, step))
}
