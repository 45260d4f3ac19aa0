//! Planning: the orders to send at one moment.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::{Phase, Placement, StepState, TaskState, name};
use super::order::{Action, Order};
use super::ranking::StepKey;
use crate::feature::Feature;
use crate::job::{Room, Step};
use crate::task;
use crate::worker;

/// Delay until an unanswered start is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_000);
/// Delay until a stray run of an unknown job is stopped, and between repeated stops: the store
/// may be about to report its job.
const STRAY_DELAY: Duration = Duration::from_millis(1_500);

impl Pool {
    /// Returns the orders to send now. `wall_ms` is the time of day, which determines when
    /// occurrences are due.
    pub fn plan(&mut self, now: Time, wall_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        self.release_lapsed(now);
        self.begin_due(now, wall_ms);
        self.release_ended();
        self.stop_stalled(now);
        self.review_reservations(now);
        self.review_suspects(now);
        self.evacuate(now);
        self.resend_orders(now, &mut orders);
        self.stop_strays(now, &mut orders);
        self.pace(now, &mut orders);
        self.place_tasks(now, &mut orders);
        self.reserve_room(now);
        orders
    }

    fn begin_due(&mut self, now: Time, wall_ms: u64) {
        let scheduled = self.jobs.values_mut().filter(|entry| entry.schedule.is_some());
        for entry in scheduled.filter(|entry| !entry.state.is_final()) {
            entry.begin_due_occurrences(now, wall_ms);
        }
    }

    /// Releases the steps and occurrences of ended jobs once none of their tasks is on a
    /// worker.
    fn release_ended(&mut self) {
        let ended = self.jobs.values_mut().filter(|entry| entry.state.is_final());
        for entry in ended.filter(|entry| !entry.occurrences.is_empty()) {
            if entry.placed_tasks().is_empty() {
                entry.occurrences.clear();
                entry.spec = "".into();
                entry.steps = [].into();
            }
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
        if !self.is_every_worker_polled() {
            return;
        }
        let mut room = self.largest_room(now);
        let step_keys = self.ranked_steps(now);
        self.requested_features = self.features_of(&step_keys);
        for step_key in step_keys {
            let Some(step) = self.jobs.get(step_key.job).and_then(|e| e.steps.get(step_key.step))
            else {
                continue;
            };
            let is_too_large = room.cpu < step.room().cpu || room.memory_mb < step.room().memory_mb;
            let step = step.clone();
            self.mark_waiting(now, step_key);
            if is_too_large && !self.may_use_stranded(now, &step) && !self.has_reservation(step_key)
            {
                continue;
            }
            let before = orders.len();
            if step.gang {
                self.place_gang(now, step_key, &step, orders);
            } else {
                self.place_step(now, step_key, &step, orders);
            }
            if orders.len() > before {
                self.clear_waiting(step_key);
                room = self.largest_room(now);
            }
        }
    }

    fn mark_waiting(&mut self, now: Time, step_key: StepKey) {
        if let Some(state) = self.step_state(step_key) {
            state.waiting_since.get_or_insert(now);
        }
    }

    fn clear_waiting(&mut self, step_key: StepKey) {
        if let Some(state) = self.step_state(step_key) {
            state.waiting_since = None;
        }
    }

    fn step_state(&mut self, step_key: StepKey) -> Option<&mut StepState> {
        let occurrence =
            self.jobs.get_mut(step_key.job)?.occurrences.get_mut(&step_key.occurrence)?;
        occurrence.steps.get_mut(step_key.step)
    }

    fn features_of(&self, step_keys: &[StepKey]) -> BTreeSet<Feature> {
        let step = |step_key: &StepKey| {
            self.jobs.get(step_key.job).and_then(|e| e.steps.get(step_key.step))
        };
        step_keys.iter().filter_map(step).filter_map(Feature::of).collect()
    }

    /// Returns whether each listed worker has been polled under this owner's fence,
    /// successfully or not. Until then, a task may have just been started on an unpolled worker
    /// by the previous owner.
    pub(super) fn is_every_worker_polled(&self) -> bool {
        self.workers.values().all(|worker| worker.is_polled || worker.missing_since.is_some())
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

    fn place_step(&mut self, now: Time, step_key: StepKey, step: &Step, orders: &mut Vec<Order>) {
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
            let Some(key) = self.choose(now, name, step, None) else {
                // A later task of the step may have a reservation.
                if self.has_reservation(step_key) {
                    continue;
                }
                return;
            };
            let run = self.next_run();
            self.start(now, key, name, step, run, orders);
        }
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
        worker.allocate(name, run, step.room());
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
