//! Workers that come, leave, fall silent and are gone.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use crate::task;
use crate::worker::{self, Location, Registration, Worker};

impl Pool {
    pub(super) fn add_worker(&mut self, seat: Location, inherited_until: Time) -> worker::Key {
        let id = seat.id.clone();
        let key = self.workers.insert(Worker::new(seat, inherited_until));
        self.by_id.insert(id, key);
        key
    }

    /// Takes in the list of the pool's workers, whole.
    pub fn set_workers(&mut self, now: Time, entries: &[Registration]) {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        for entry in entries {
            self.set_worker(now, entry);
        }
        let mut missing = Vec::new();
        for (key, worker) in &mut self.workers {
            if !listed.contains(worker.id.as_str()) {
                worker.missing_since.get_or_insert(now);
                missing.push((key, worker.id.clone(), worker.address));
            }
        }
        for (key, _, address) in missing {
            if entries.iter().any(|entry| entry.address == address) {
                self.remove_worker(now, key, "another life has its address");
            }
        }
    }

    fn set_worker(&mut self, now: Time, entry: &Registration) {
        let seat = Location { id: entry.id.clone(), address: entry.address };
        let known = self.by_id.get(&entry.id).copied();
        if known.is_none() && self.departed.is_ended(now, entry) {
            return;
        }
        let key = known.unwrap_or_else(|| self.add_worker(seat.clone(), now));
        let is_rostered = self.written_roster.contains(&seat);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.rostered = is_rostered;
        worker.labels.clone_from(&entry.labels);
        worker.rack.clone_from(&entry.rack);
        worker.room = entry.room;
        worker.missing_since = None;
        let is_new_drain = entry.draining && !worker.draining;
        worker.draining = entry.draining;
        if known.is_none() {
            let why = format!("{:?}", entry.room);
            self.note("worker listed", None, Some(key), why);
        }
        if is_new_drain {
            self.note("worker draining", None, Some(key), "its own entry says so".to_owned());
        }
    }

    /// Takes in where workers of a predecessor may be, before any of them is
    /// asked.
    pub fn set_roster(&mut self, seats: Vec<Location>) {
        for seat in &seats {
            if !self.by_id.contains_key(&seat.id) {
                let until = self.config.inherited_until;
                self.add_worker(seat.clone(), until);
            }
        }
        self.written_roster = seats.into_iter().collect();
    }

    /// Hears from a predecessor until when its grants on a worker hold at most.
    pub fn set_inherited_leases(&mut self, now: Time, grants: &BTreeMap<String, u64>) {
        let until = |(id, left): (&String, &u64)| (id.clone(), now + Duration::from_millis(*left));
        self.limit_inherited_leases(now, &grants.iter().map(until).collect());
    }

    /// Learns that predecessors' grants end by `until`, or by the time in `by_worker` if
    /// that is later. A wait that is shorter already stays.
    pub fn limit_inherited_leases(&mut self, until: Time, by_worker: &BTreeMap<String, Time>) {
        for worker in self.workers.values_mut().filter(|worker| !worker.fenced) {
            let own = by_worker.get(&worker.id).copied().unwrap_or_default();
            worker.inherited_until = worker.inherited_until.min(own.max(until));
        }
    }

    /// How long what this owner granted holds at most, by worker, for a successor.
    ///
    /// None before it has planned for the first time: it knows of no workers yet, and
    /// to name none would be taken for the word that what its predecessor granted is
    /// over. Tasks of a worker that can't be reached would run a second time.
    pub fn granted_leases(&self, now: Time) -> Option<BTreeMap<String, u64>> {
        self.first_planned?;
        let left = |worker: &Worker| worker::millis(worker.leases_end() - now);
        Some(self.workers.values().map(|worker| (worker.id.clone(), left(worker))).collect())
    }

    /// Hears that a worker's life is over: its VM was moved or maintained.
    pub fn remove_gone_worker(&mut self, now: Time, id: &str) {
        if let Some(key) = self.by_id.get(id).copied() {
            // An expected end isn't counted as a crash.
            if let Some(worker) = self.workers.get_mut(key) {
                worker.draining = true;
            }
            self.remove_worker(now, key, "its VM was moved or maintained");
        }
    }

    /// A worker's life is over: nothing of it runs any more.
    pub(super) fn remove_worker(&mut self, now: Time, key: worker::Key, why: &str) {
        self.note("worker gone", None, Some(key), why.to_owned());
        let Some(worker) = self.workers.get(key) else { return };
        if !worker.draining && !worker.is_vacating(now) {
            self.count_crash(now, key);
        }
        let Some(worker) = self.workers.get(key) else { return };
        let names = worker.allocations.keys().copied().collect();
        // Must precede the removal, or the "task lost" notes lack the worker's ID.
        self.requeue_tasks(now, key, names, why);
        let Some(worker) = self.workers.remove(key) else { return };
        self.by_id.remove(&worker.id);
        self.departed.add(now, worker.id);
    }

    fn requeue_tasks(&mut self, now: Time, key: worker::Key, names: Vec<task::Name>, why: &str) {
        for name in names {
            let Some(entry) = self.entry(name.job) else { continue };
            let Some(place) = entry.placement(name).filter(|place| place.worker == key) else {
                continue;
            };
            let elapsed_ms = worker::millis(now - place.since);
            let why = format!("run {}, on its worker for {elapsed_ms} ms: {why}", place.run);
            self.requeue(name, now);
            self.note("task lost", Some(name), Some(key), why);
        }
    }

    /// Frees what ran on workers that were silent for longer than any lease.
    pub(super) fn release_lapsed(&mut self, now: Time) {
        let is_over = |worker: &Worker| worker.unanswered_polls > 0 && now >= worker.leases_end();
        let over: Vec<worker::Key> =
            self.workers.iter().filter(|(_, w)| is_over(w)).map(|(key, _)| key).collect();
        for key in over {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            if worker.missing_since.is_some() {
                self.remove_worker(now, key, "silent past its lease and not listed");
                continue;
            }
            let names: Vec<task::Name> = worker.allocations.keys().copied().collect();
            worker.allocations.clear();
            worker.strays.clear();
            worker.used = crate::job::Room::default();
            self.requeue_tasks(now, key, names, "silent past its lease");
        }
    }

    /// Where workers of the pool are, if the store doesn't know that yet.
    ///
    /// A successor has to ask every worker that may run something before it
    /// starts a task of before. One that is cut off and has lost its entry would
    /// be missed, and its tasks would run twice; so a worker gets its first
    /// order only after its seat is in the store.
    ///
    /// Seats whose lives are over are taken out too: a successor would ask them,
    /// hear nothing, and wait for as long as they could have been granted.
    pub fn roster_update(&self) -> Option<Vec<Location>> {
        let seats: BTreeSet<Location> = self.workers.values().map(Worker::location).collect();
        (seats != self.written_roster).then(|| seats.into_iter().collect())
    }

    /// The seats that the store knows of.
    pub fn written_roster(&self) -> Vec<Location> {
        self.written_roster.iter().cloned().collect()
    }

    /// Takes in that a roster was written.
    pub fn confirm_roster(&mut self, seats: Vec<Location>) {
        self.written_roster = seats.into_iter().collect();
        for worker in self.workers.values_mut() {
            worker.rostered = self.written_roster.contains(&worker.location());
        }
    }

    /// Asks that a worker take nothing new and be emptied, for `time`. Whether
    /// it is empty; `None` if there is no such worker.
    ///
    /// One that a lasting task was just stopped for goes on until the task has
    /// started there, and is to be asked for again.
    pub fn vacate(&mut self, now: Time, id: &str, time: Duration) -> Option<bool> {
        let key = *self.by_id.get(id)?;
        let task_moving_to = self.task_moving_to(now, key);
        let worker = self.workers.get_mut(key)?;
        let was_vacating = worker.is_vacating(now);
        if let Some(task) = task_moving_to.filter(|_| !was_vacating) {
            let why = "a task is about to start there and finds no other place".to_owned();
            self.note("worker not vacated yet", Some(task), Some(key), why);
            return Some(false);
        }
        if !was_vacating || worker.is_surplus {
            worker.vacating_since = now;
        }
        worker.vacate_until = now + time;
        worker.is_surplus = false;
        let is_empty = worker.fenced && worker.is_responsive() && worker.allocations.is_empty();
        if !was_vacating {
            self.note("worker vacates", None, Some(key), "the fleet's planner asked".to_owned());
        }
        Some(is_empty)
    }

    /// A task whose room is there on a worker, and that has no other place.
    ///
    /// It starts as soon as its stop elsewhere has ended. Were the worker emptied
    /// within that moment, the task would have been stopped for nothing, and wait
    /// until another worker comes.
    fn task_moving_to(&self, now: Time, key: worker::Key) -> Option<task::Name> {
        let worker = self.workers.get(key)?;
        worker.reserved.iter().find_map(|(name, room)| {
            let step = self.entry(name.job)?.step(*name)?;
            let is_elsewhere = |(other, worker): (worker::Key, &Worker)| {
                other != key
                    && self.may_host(now, *name, step, (other, worker))
                    && worker.has_room_for(*name, room)
                    && self.is_allowed_by_advice(now, *name, other)
            };
            let has_place = self.workers.iter().any(is_elsewhere);
            (worker.has_room_for(*name, room) && !has_place).then_some(*name)
        })
    }
}
