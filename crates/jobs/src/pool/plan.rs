//! Planning: the orders to send at one moment.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Phase, Placement, StepState, TaskState, name};
use super::order::{Action, Order};
use super::ranking::{Candidate, Position, StepKey};
use super::unmet::{Requirement, Unmet};
use super::{JobKey, Pool};
use crate::job::{Room, Step};
use crate::task;
use crate::worker::{self, Allocation, Worker};

/// Delay until an unanswered start is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_000);
/// Delay until a stray run of an unknown job is stopped, and between repeated stops: the store
/// may be about to report its job.
const STRAY_DELAY: Duration = Duration::from_millis(1_500);

/// Which tasks may be started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Gate {
    /// Whether any task may be started.
    is_open: bool,
    /// Whether tasks may be started that a predecessor may have started.
    is_open_to_all: bool,
}

/// What a plan looked at. It doesn't grow with the backlog: neither with the waiting jobs that
/// didn't change, nor with the steps that fit nowhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// The number of jobs that had changed or for which something was due.
    pub jobs: usize,
    /// The number of ready steps for which a worker was searched.
    pub steps: usize,
}

impl Pool {
    /// Returns what the last plan looked at.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Config, Effort, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// pool.plan(Time::from_millis(1), 0);
    /// assert_eq!(pool.effort(), Effort { jobs: 0, steps: 0 });
    /// ```
    pub fn effort(&self) -> Effort {
        self.effort
    }

    /// Returns the orders to send now. `wall_ms` is the time of day, which determines when
    /// occurrences are due.
    pub fn plan(&mut self, now: Time, wall_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut due = BTreeSet::new();
        self.release_lapsed(now);
        self.take_due(now, &mut due);
        self.begin_due(now, wall_ms, &due);
        self.release_ended(&due);
        self.stop_stalled(now, &due);
        self.review_reservations(now);
        self.review_suspects(now);
        self.evacuate(now);
        self.take_due(now, &mut due);
        self.resend_orders(now, &due, &mut orders);
        self.stop_strays(now, &mut orders);
        self.pace(now, &mut orders);
        self.update_gate(now);
        self.take_due(now, &mut due);
        self.effort = Effort { jobs: due.len(), steps: 0 };
        for key in due {
            self.reschedule(now, key);
            self.mark_waiting(now, key);
        }
        self.place_tasks(now, &mut orders);
        self.reserve_room(now);
        orders
    }

    fn begin_due(&mut self, now: Time, wall_ms: u64, due: &BTreeSet<JobKey>) {
        for key in due {
            let scheduled = self.jobs.get_mut(*key).filter(|entry| entry.schedule.is_some());
            if let Some(entry) = scheduled.filter(|entry| !entry.state.is_final()) {
                entry.begin_due_occurrences(now, wall_ms);
            }
        }
    }

    /// Releases the steps and occurrences of ended jobs once none of their tasks is on a
    /// worker.
    fn release_ended(&mut self, due: &BTreeSet<JobKey>) {
        for key in due {
            let ended = self.jobs.get_mut(*key).filter(|entry| entry.state.is_final());
            let Some(entry) = ended.filter(|entry| !entry.occurrences.is_empty()) else { continue };
            if entry.placed_tasks().is_empty() {
                entry.occurrences.clear();
                entry.spec = "".into();
                entry.steps = [].into();
            }
        }
    }

    /// Looks at all jobs if their tasks may be started now and could not be before.
    fn update_gate(&mut self, now: Time) {
        let gate = Gate {
            is_open: self.is_every_inherited_worker_polled(),
            is_open_to_all: !self.is_recovering(now),
        };
        if gate != self.gate {
            self.gate = gate;
            self.mark_all_changed();
        }
    }

    fn stop_strays(&mut self, now: Time, orders: &mut Vec<Order>) {
        let mut due = Vec::new();
        let known_until = self.jobs_known_until;
        for (key, worker) in &mut self.workers {
            for (name, stray) in &mut worker.strays {
                let is_job_settled = stray.is_room_known || known_until >= stray.since;
                let is_abandoned = is_job_settled && now - stray.since >= STRAY_DELAY;
                let is_stop_due = stray.is_job_over || is_abandoned;
                if is_stop_due && stray.stop_sent.is_none_or(|at| now - at >= STRAY_DELAY) {
                    stray.stop_sent = Some(now);
                    due.push((key, *name, stray.run));
                }
            }
        }
        for (key, name, run) in due {
            orders.extend(self.order(key, name, run, Action::Stop));
            self.note(
                "stray stopped",
                Some(name),
                Some(key),
                format!("run {run} belongs to no current task"),
            );
        }
    }

    fn place_tasks(&mut self, now: Time, orders: &mut Vec<Order>) {
        if !self.is_every_inherited_worker_polled() {
            return;
        }
        let mut room = self.largest_room(now);
        let mut unmet = Unmet::default();
        let mut last = None;
        while let Some((position, candidate)) = self.next_step_that_may_fit(last, &room) {
            last = Some(position);
            self.effort.steps += 1;
            let needed = &candidate.room;
            let is_too_large = room.cpu < needed.cpu || room.memory_mb < needed.memory_mb;
            let step_key = candidate.key;
            let Some(entry) = self.jobs.get(step_key.job).filter(|entry| self.may_start(entry))
            else {
                continue;
            };
            let steps = entry.steps.clone();
            let Some(step) = steps.get(step_key.step) else { continue };
            if is_too_large && !self.may_use_stranded(now, step) && !self.has_reservation(step_key)
            {
                continue;
            }
            let before = orders.len();
            if step.gang {
                self.place_gang(now, step_key, step, orders);
            } else {
                self.place_step(now, step_key, step, &mut unmet, orders);
            }
            if orders.len() > before {
                self.clear_waiting(step_key);
                room = self.largest_room(now);
            }
        }
    }

    /// Returns the most urgent ready step behind `last` that may fit if `room` is the largest that
    /// any worker has left.
    fn next_step_that_may_fit(
        &self,
        last: Option<Position>,
        room: &Room,
    ) -> Option<(Position, Candidate)> {
        let is_selective = self.ranking.features().next().is_some();
        let has_special = is_selective || !self.reservations.is_empty();
        if !has_special && self.ranking.least_cpu().is_none_or(|least| room.cpu < least) {
            return None;
        }
        let mut behind = self.ranking.behind(last);
        let next = behind.find(|(_, candidate)| self.may_fit(room, candidate));
        next.map(|(position, candidate)| (*position, *candidate))
    }

    /// Returns whether a step may fit into a worker if `room` is the largest that any has left. A
    /// step that needs a feature may use other workers, and one with a reservation has room there.
    fn may_fit(&self, room: &Room, candidate: &Candidate) -> bool {
        let needed = &candidate.room;
        let is_too_large = room.cpu < needed.cpu || room.memory_mb < needed.memory_mb;
        !is_too_large || candidate.has_feature || !self.reservations.is_empty()
    }

    /// Returns whether tasks of a job may be started as of the last [`Pool::update_gate`].
    fn may_start(&self, entry: &Entry) -> bool {
        !entry.state.is_final() && self.is_safe_to_start(!self.gate.is_open_to_all, entry)
    }

    /// Records since when the ready steps of a job wait.
    fn mark_waiting(&mut self, now: Time, key: JobKey) {
        let may_start = self.jobs.get(key).is_some_and(|entry| self.may_start(entry));
        let Some(entry) = self.jobs.get_mut(key).filter(|_| may_start && self.gate.is_open) else {
            return;
        };
        for position in 0..entry.positions.len() {
            let (occurrence, step) = entry.positions[position].step();
            let occurrence = entry.occurrences.get_mut(&occurrence);
            if let Some(state) = occurrence.and_then(|occurrence| occurrence.steps.get_mut(step)) {
                state.waiting_since.get_or_insert(now);
            }
        }
    }

    fn clear_waiting(&mut self, step_key: StepKey) {
        if let Some(state) = self.step_state(step_key) {
            state.waiting_since = None;
        }
    }

    fn step_state(&mut self, step_key: StepKey) -> Option<&mut StepState> {
        self.mark_changed(step_key.job);
        let occurrence =
            self.jobs.get_mut(step_key.job)?.occurrences.get_mut(&step_key.occurrence)?;
        occurrence.steps.get_mut(step_key.step)
    }

    /// Returns whether each listed worker that a predecessor used has been polled under this
    /// owner's fence, successfully or not. Until then, a task may have just been started on an
    /// unpolled worker by the previous owner. It started none on workers that its roster doesn't
    /// name, and wrote no roster after this owner took over.
    pub(super) fn is_every_inherited_worker_polled(&self) -> bool {
        let mut inherited = self.workers.values().filter(|worker| worker.is_inherited);
        inherited.all(|worker| worker.is_polled || worker.missing_since.is_some())
    }

    /// Returns the largest free CPU and memory of any worker: a cheap check that skips the
    /// search for tasks that fit nowhere.
    fn largest_room(&self, now: Time) -> Room {
        let mut largest = Room::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            let occupied = worker.occupied(|_| false);
            largest.cpu = largest.cpu.max(worker.room.cpu.saturating_sub(occupied.cpu));
            let memory = worker.room.memory_mb.saturating_sub(occupied.memory_mb);
            largest.memory_mb = largest.memory_mb.max(memory);
        }
        largest
    }

    /// Returns whether room is reserved for a task of a step.
    fn has_reservation(&self, step_key: StepKey) -> bool {
        let Some(entry) = self.jobs.get(step_key.job) else { return false };
        let task = name(entry.id, step_key.occurrence, step_key.step, 0);
        self.reservations.keys().any(|reserved| reserved.is_sibling(&task))
    }

    fn place_step(
        &mut self,
        now: Time,
        step_key: StepKey,
        step: &Step,
        unmet: &mut Unmet,
        orders: &mut Vec<Order>,
    ) {
        let requirement = self.requirement(now, step_key, step);
        let is_unmet = requirement.as_ref().is_some_and(|requirement| unmet.contains(requirement));
        for index in 0..step.count as usize {
            let Some(entry) = self.jobs.get(step_key.job) else { return };
            let name = name(entry.id, step_key.occurrence, step_key.step, index);
            let Some(task) = entry.task(name) else { return };
            if !matches!(task.state, TaskState::Waiting) || now < task.not_before {
                continue;
            }
            if self.fail_at_crash_limit(now, name) {
                return;
            }
            if is_unmet {
                return;
            }
            let Some(key) = self.choose(now, name, step, None) else {
                // A later task of the step may have a reservation.
                if self.has_reservation(step_key) {
                    continue;
                }
                // A worker that still runs this very task may run others.
                let is_on_worker = |worker: &Worker| worker.allocations.contains_key(&name);
                if let Some(requirement) = requirement
                    && !self.workers.values().any(is_on_worker)
                {
                    unmet.insert(requirement);
                }
                return;
            };
            let run = self.next_run();
            self.start(now, key, name, step, run, orders);
        }
    }

    /// Returns what a worker has to meet to run a task of a step, or `None` if it depends on more
    /// than the step.
    fn requirement(&self, now: Time, step_key: StepKey, step: &Step) -> Option<Requirement> {
        let entry = self.jobs.get(step_key.job)?;
        let needs_advice =
            self.queues.get(&entry.queue).is_some_and(|queue| queue.advice.is_some());
        if needs_advice
            || step.max_per_worker > 0
            || !self.reservations.is_empty()
            || !self.suspects.is_empty()
            || self.may_use_stranded(now, step)
        {
            return None;
        }
        let task = name(entry.id, step_key.occurrence, step_key.step, 0);
        let preferred = step.preferred_rack.as_ref();
        let rack = preferred.filter(|rack| self.waits_for_rack(now, task, step, rack));
        Some(Requirement { rack: rack.cloned(), label: step.label.clone(), room: step.room() })
    }

    pub(super) fn start(
        &mut self,
        now: Time,
        key: worker::Key,
        name: task::Name,
        step: &Step,
        run: u64,
        orders: &mut Vec<Order>,
    ) {
        let lease = self.config.lease;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(deadline_ms) = worker.grant(now, lease) else { return };
        worker.allocate(name, Allocation::new(run, step));
        self.consume_reservation(name, key);
        let Some(worker) = self.workers.get(key) else { return };
        let why = format!(
            "run {run}, {} of {} thousandths of a core in use",
            worker.used.cpu, worker.room.cpu
        );
        let Some(entry) = self.entry_mut(name.job) else { return };
        let spec = entry.spec.clone();
        let saved = entry.task(name).map(|task| task.saved.clone()).unwrap_or_default();
        let phase = Phase::Starting { retry_at: now + RESEND_DELAY };
        entry.set_task_state(name, TaskState::Placed(Placement::new(key, run, now, phase)));
        self.track_suspect(now, name, key, run);
        let ticket = self.ticket(name, key);
        let action = Action::Start { spec, deadline_ms, saved, ticket };
        orders.extend(self.order(key, name, run, action));
        self.note("task ordered", Some(name), Some(key), why);
    }
}
