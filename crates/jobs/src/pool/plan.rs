//! Planning: the orders to send at one moment.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::{Entry, Phase, Placement, StepState, TaskState};
use super::order::{Action, Order};
use super::ranking::StepKey;
use super::wait::Reason;
use super::{JobKey, Pool};
use crate::job::Step;
use crate::task;
use crate::worker::{self, Allocation};

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
        self.review_inherited_starts(now);
        self.evacuate(now);
        self.take_due(now, &mut due);
        self.resend_orders(now, &due, &mut orders);
        self.stop_strays(now, &mut orders);
        self.pace(now, &mut orders);
        self.update_gate(now);
        self.review_meter(now, wall_ms);
        self.renew_choice(now);
        self.take_due(now, &mut due);
        self.effort = Effort { jobs: due.len(), steps: 0 };
        for key in due {
            self.reschedule(now, key);
            self.mark_waiting(now, key);
        }
        self.review_tickets(now);
        self.place_tasks(now, &mut orders);
        self.relocate(now, &mut orders);
        self.preempt(now, &mut orders);
        self.reserve_room(now);
        self.update_pressure(now);
        self.review_waits(now);
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
            self.note_gate(now, gate);
            self.gate = gate;
            self.mark_all_changed();
        }
    }

    fn note_gate(&mut self, now: Time, gate: Gate) {
        if gate.is_open_to_all && self.gate.is_open && !self.gate.is_open_to_all {
            self.note(
                "starts released",
                None,
                None,
                "no run of a former owner is unseen".to_owned(),
            );
        } else if gate.is_open && !gate.is_open_to_all {
            let (workers, until) = self.awaited_workers(now, Reason::FormerOwners);
            let left_ms = until.map_or(0, |until| worker::millis(until - now));
            let why = format!(
                "former owners may have granted leases on {workers:?}, which have not answered, for {left_ms} ms more"
            );
            self.note("starts held", None, None, why);
        }
    }

    /// Returns whether each worker of a predecessor has answered, as of the last
    /// [`Pool::update_gate`].
    pub(super) fn knows_capacity(&self) -> bool {
        self.gate.is_open
    }

    /// Returns whether no run of a predecessor may be alive unseen, as of the last
    /// [`Pool::update_gate`].
    pub(super) fn gate_is_open_to_all(&self) -> bool {
        self.gate.is_open_to_all
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

    /// Returns whether tasks of a job may be started as of the last [`Pool::update_gate`].
    pub(super) fn may_start(&self, entry: &Entry) -> bool {
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

    pub(super) fn clear_waiting(&mut self, step_key: StepKey) {
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
        let organisation = self.entry(name.job).and_then(|entry| entry.organisation);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(deadline_ms) = worker.leases.grant(now, lease) else { return };
        worker.allocate(name, Allocation::new(run, step, organisation));
        self.consume_reservation(name, key);
        self.give_up_room(name);
        let Some(worker) = self.workers.get(key) else { return };
        let why = format!(
            "run {run}, {} of {} thousandths of a core in use",
            worker.used.cpu, worker.room.cpu
        );
        let Some(entry) = self.entry_mut(name.job) else { return };
        let spec = entry.spec.clone();
        let saved = entry.task(name).map(|task| task.saved.clone()).unwrap_or_default();
        if let Some(task) = entry.task_mut(name) {
            task.has_resumed |= !saved.is_empty();
        }
        let phase = Phase::Starting { retry_at: now + RESEND_DELAY };
        entry.set_task_state(name, TaskState::Placed(Placement::new(key, run, now, phase)));
        self.track_suspect(now, name, key, run);
        let ticket = self.ticket(name, key);
        let action = Action::Start { spec, deadline_ms, saved, ticket };
        orders.extend(self.start_order(key, name, run, action));
        self.note("task ordered", Some(name), Some(key), why);
        self.note_proof(now, key, name, run);
    }
}
