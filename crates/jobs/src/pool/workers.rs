//! Workers that join, leave, fall silent or end.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::proof::Proof;
use crate::worker::{self, Location, Registration, Worker};
use crate::{lease, task};

/// The most silent workers that are reported at once.
const MAX_SILENT: usize = 64;
/// The greatest age of what is known by a list of VMs as it reaches an owner: it lags by up to two
/// seconds, and is read, reported and sent within one more.
const MAX_LIST_AGE: Duration = Duration::from_millis(3_000);

impl Pool {
    pub(super) fn add_worker(&mut self, location: Location, inherited_until: Time) -> worker::Key {
        let leases = lease::Bounds::new(self.config.max_lease, inherited_until);
        let mut worker = Worker::new(location, leases, self.usage.clone());
        // It may be a later instance of one that has left.
        worker.former_fence = self.departed.start_fence(&worker.id);
        worker.start_fence = worker.former_fence;
        self.insert_worker(worker)
    }

    /// Adds a worker instance, which is the current one of its ID from now on.
    pub(super) fn insert_worker(&mut self, mut worker: Worker) -> worker::Key {
        worker.fence = self.newest_fence;
        let id = worker.id.clone();
        let key = self.workers.insert(worker);
        self.by_id.insert(id, key);
        self.is_roster_outdated = true;
        self.joined_workers += 1;
        key
    }

    /// Returns the number of workers that have joined so far. It changes whenever
    /// [`Pool::workers`] returns a new one.
    pub fn joined_workers(&self) -> u64 {
        self.joined_workers
    }

    /// Updates the workers from the complete list of the pool's workers.
    pub fn set_workers(&mut self, now: Time, entries: &[Registration]) {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        for entry in entries {
            self.set_worker(now, entry);
        }
        let mut missing = Vec::new();
        for (key, worker) in &mut self.workers {
            let is_current = self.by_id.get(&worker.id) == Some(&key);
            if !is_current || !listed.contains(worker.id.as_str()) {
                worker.missing_since.get_or_insert(now);
                missing.push((key, worker.address, worker.known_at));
            }
        }
        let listed: HashMap<SocketAddr, u64> =
            entries.iter().map(|entry| (entry.address, entry.revision)).collect();
        for (key, address, known_at) in missing {
            // An older entry may be that of an earlier worker at the address.
            let is_reused = listed.get(&address).is_some_and(|revision| *revision > known_at);
            if is_reused && self.may_conclude(now, key, Proof::AddressReused) {
                self.remove_worker(now, key, Proof::AddressReused);
            }
        }
    }

    fn set_worker(&mut self, now: Time, entry: &Registration) {
        let (id, address, born_ms) = (entry.id.clone(), entry.address, entry.born_ms);
        let location = Location { id, address, born_ms };
        let known = self.find_worker(&location);
        if known.is_none() && self.departed.is_ended(now, entry) {
            return;
        }
        let key = known.unwrap_or_else(|| self.add_worker(location.clone(), now));
        self.by_id.insert(entry.id.clone(), key);
        let is_rostered = is_rostered(&self.written_roster, &location);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.rostered = is_rostered;
        worker.missing_since = None;
        worker.known_at = worker.known_at.max(entry.revision);
        // A new instance may be of another kind and size, and no longer drains.
        if !worker::is_same_start(worker.born_ms, entry.born_ms) {
            return;
        }
        worker.registered_born_ms = entry.born_ms;
        worker.labels.clone_from(&entry.labels);
        if worker.rack != entry.rack {
            worker.rack.clone_from(&entry.rack);
            worker.rack_symbol = self.symbols.intern(&entry.rack);
        }
        worker.room = entry.room;
        let is_new_drain = entry.draining && !worker.draining;
        worker.draining = entry.draining;
        if known.is_none() {
            let why = format!("{:?}, born at {:?}", entry.room, entry.born_ms);
            self.note("worker listed", None, Some(key), why);
        }
        if is_new_drain {
            self.note(
                "worker draining",
                None,
                Some(key),
                "its entry says that it is draining".to_owned(),
            );
        }
    }

    /// Returns the worker at a location. A worker that starts again at another address is another
    /// one: runs at the former address count as lost only when their leases have ended.
    fn find_worker(&self, location: &Location) -> Option<worker::Key> {
        let is_there =
            |worker: &Worker| worker.id == location.id && worker.address == location.address;
        let current = self.by_id.get(&location.id).copied();
        let has_former = self.workers.len() > self.by_id.len();
        current.filter(|key| self.workers.get(*key).is_some_and(is_there)).or_else(|| {
            let mut workers = self.workers.iter().filter(|_| has_former);
            workers.find(|(_, worker)| is_there(worker)).map(|(key, _)| key)
        })
    }

    /// Adds the workers of the roster that a predecessor wrote, before any of them is polled.
    /// `revision` is the store's revision at which it was written.
    pub fn set_roster(&mut self, locations: Vec<Location>, revision: u64) {
        for location in &locations {
            if self.find_worker(location).is_none() {
                let until = self.config.inherited_until;
                let key = self.add_worker(location.clone(), until);
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.is_inherited = true;
                    worker.known_at = revision;
                }
            }
        }
        self.written_roster = locations.into_iter().collect();
        self.is_roster_outdated = true;
    }

    /// Limits the leases of a predecessor to the remaining times that it reported, in
    /// milliseconds by worker ID.
    pub fn set_inherited_leases(&mut self, now: Time, grants: &BTreeMap<String, u64>) {
        let until = |(id, left): (&String, &u64)| (id.clone(), now + Duration::from_millis(*left));
        self.limit_inherited_leases(now, &grants.iter().map(until).collect());
    }

    /// Records that the leases of predecessors end by `until`, or by the time in `by_worker` if
    /// that is later. Never extends an earlier limit.
    pub fn limit_inherited_leases(&mut self, until: Time, by_worker: &BTreeMap<String, Time>) {
        for worker in self.workers.values_mut().filter(|worker| !worker.fenced) {
            let reported = by_worker.get(&worker.id).copied().unwrap_or_default();
            worker.leases.limit_inherited(reported.max(until));
        }
    }

    /// Returns the remaining time of the leases that this owner granted, in milliseconds by
    /// worker ID, for a successor.
    ///
    /// Returns `None` before the first plan: the owner doesn't know the workers yet, and an
    /// empty list would tell the successor that all leases of its predecessors have ended.
    /// Tasks on an unreachable worker would then run a second time.
    pub fn granted_leases(&self, now: Time) -> Option<BTreeMap<String, u64>> {
        self.first_planned?;
        let mut left = BTreeMap::new();
        for (key, worker) in &self.workers {
            let has_stray_start = worker.strays.values().any(|stray| stray.is_start_pending);
            let end = if has_stray_start || self.has_open_starts(key, worker) {
                worker.leases.end_with_open_starts(now)
            } else {
                worker.leases.end()
            };
            let longest: &mut u64 = left.entry(worker.id.clone()).or_default();
            *longest = (*longest).max(worker::millis(end - now));
        }
        Some(left)
    }

    /// Returns whether starts are on their way to a worker whose answers may still come.
    fn has_open_starts(&self, key: worker::Key, worker: &Worker) -> bool {
        worker.allocations.iter().any(|(name, allocation)| {
            let placement = self.placement_on(key, *name, allocation.run);
            placement.is_some_and(|placement| placement.copies.are_open())
        })
    }

    /// Removes a worker instance whose VM was moved or maintained.
    ///
    /// A VM is ordered only once its worker is empty. One that has runs and is still listed may have
    /// started again under its ID since, so they count as lost only when it no longer reports them
    /// or its lease ends.
    pub fn remove_gone_worker(&mut self, now: Time, id: &str) {
        let Some(key) = self.by_id.get(id).copied() else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        // An expected end isn't counted as a crash.
        worker.draining = true;
        let has_ended = worker.allocations.is_empty() || worker.missing_since.is_some();
        if has_ended && self.may_conclude(now, key, Proof::Maintained) {
            self.remove_ended_instance(now, key, Proof::Maintained);
        } else {
            let why = "its VM was moved or maintained, and it has runs".to_owned();
            self.note("worker end unconfirmed", None, Some(key), why);
        }
    }

    /// Returns the IDs of workers that don't answer, at most 64.
    pub fn silent_workers(&self) -> impl Iterator<Item = &str> {
        let is_silent = |worker: &&Worker| worker.is_silent() && !worker.has_ended;
        let silent = self.workers.values().filter(is_silent);
        silent.map(|worker| worker.id.as_str()).take(MAX_SILENT)
    }

    /// Removes a silent worker instance that has certainly ended, with its runs: the platform's list
    /// shows that no VM runs it.
    ///
    /// The worker may start again under its ID, and carry out a start that was on its way. Tasks
    /// with such a start wait until the next instance confirms a stop, or the lease ends.
    ///
    /// Silence alone proves nothing: a worker that is cut off runs on, and a former owner on its
    /// side of the cut may go on renewing its lease. Nor does the end of its own entry in the store,
    /// which it may be unable to renew. Tasks started elsewhere on such a sign would run twice.
    ///
    /// ```
    /// use corianderfork_jobs::pool::{Answer, Config, Connection, Pool};
    /// use corianderfork_jobs::worker::Location;
    /// use corianderfork_model::Time;
    ///
    /// let (now, far) = (Time::from_millis(1), Time::from_millis(15_000));
    /// let mut pool = Pool::new(Config::new(7, far));
    /// let address = ([127, 0, 0, 1], 80).into();
    /// pool.set_roster(vec![Location { id: "w".to_owned(), address, born_ms: None }], 1);
    /// let key = pool.workers().next().expect("a worker");
    /// for _ in 0..2 {
    ///     pool.next_poll(now, key, Connection::New);
    ///     pool.handle_poll_answer(now, now, key, &Answer::Lost);
    /// }
    /// assert!(pool.is_recovering(now), "a former owner may have granted a lease on it");
    /// pool.remove_ended_worker(now, "w");
    /// assert!(!pool.is_recovering(now));
    /// ```
    pub fn remove_ended_worker(&mut self, now: Time, id: &str) {
        // An instance that has started or answered since the list was made may not be on it.
        let is_older = |heard: Time| now - heard >= MAX_LIST_AGE;
        let is_ended = |worker: &Worker| {
            worker.id == id
                && worker.is_silent()
                && !worker.has_ended
                && worker.leases.last_heard().is_none_or(is_older)
        };
        let ended: Vec<worker::Key> = self
            .workers
            .iter()
            .filter(|(_, worker)| is_ended(worker))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            if self.may_conclude(now, key, Proof::NoVm) {
                self.remove_ended_instance(now, key, Proof::NoVm);
            }
        }
    }

    /// Removes a worker instance that has ended, as `proof` says. It is kept for starts that may still
    /// reach the next instance under its ID.
    fn remove_ended_instance(&mut self, now: Time, key: worker::Key, proof: Proof) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs = worker.allocations.iter().map(|(name, allocation)| (*name, allocation.run));
        let (pending, settled): (Vec<_>, Vec<_>) =
            runs.partition(|(name, run)| self.may_start_late(key, *name, *run));
        if pending.is_empty() {
            return self.remove_worker(now, key, proof);
        }
        let is_end_expected = worker.is_end_expected(now);
        let why = format!("{proof}; starts that may still arrive: {}", pending.len());
        self.note("worker ended", None, Some(key), why);
        if !is_end_expected {
            self.count_crash(now, key);
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.has_ended = true;
            worker.strays.retain(|_, stray| stray.is_start_pending);
            settled.iter().for_each(|(name, run)| worker.release(*name, *run));
        }
        let settled = settled.into_iter().map(|(name, _)| name).collect();
        self.requeue_tasks(now, key, settled, proof);
    }

    /// Removes a worker that has ended, with all its runs.
    pub(super) fn remove_worker(&mut self, now: Time, key: worker::Key, proof: Proof) {
        let is_unlisted = self.workers.get(key).is_some_and(|w| w.missing_since.is_some());
        let listing = if is_unlisted { "not listed" } else { "listed" };
        self.note("worker gone", None, Some(key), format!("{proof}; {listing}"));
        let Some(worker) = self.workers.get(key) else { return };
        if !worker.is_end_expected(now) {
            self.count_crash(now, key);
        }
        let Some(worker) = self.workers.get(key) else { return };
        let names = worker.allocations.keys().copied().collect();
        // Must precede the removal: the "task lost" events need the worker's ID.
        self.requeue_tasks(now, key, names, proof);
        let Some(mut worker) = self.workers.remove(key) else { return };
        worker.clear_allocations();
        self.departed.add_start_fence(&worker.id, worker.start_fence);
        if worker.is_inherited && !worker.fenced {
            self.lost_inherited_workers.insert(worker.id.clone());
        }
        if self.by_id.get(&worker.id) == Some(&key) {
            self.by_id.remove(&worker.id);
        }
        self.is_roster_outdated = true;
        let born_ms = worker.born_ms.or(worker.registered_born_ms);
        self.departed.add(now, worker.id, born_ms);
    }

    pub(super) fn requeue_tasks(
        &mut self,
        now: Time,
        key: worker::Key,
        names: Vec<task::Name>,
        proof: Proof,
    ) {
        for name in names {
            let Some(entry) = self.entry(name.job) else { continue };
            let Some(placement) = entry.placement(name).filter(|placement| placement.worker == key)
            else {
                continue;
            };
            let elapsed_ms = worker::millis(now - placement.since);
            let why = format!("run {}, placed for {elapsed_ms} ms: {proof}", placement.run);
            self.end_run(now, key, name, proof, now);
            self.note("task lost", Some(name), Some(key), why);
        }
    }

    /// Requeues the tasks of workers that have been silent past their leases.
    pub(super) fn release_lapsed(&mut self, now: Time) {
        let has_lapsed = |(key, worker): &(worker::Key, &Worker)| {
            let is_over = worker.unanswered_polls > 0 && now >= worker.leases.end();
            is_over && !self.has_open_starts(*key, worker)
        };
        let lapsed: Vec<worker::Key> =
            self.workers.iter().filter(has_lapsed).map(|(key, _)| key).collect();
        for key in lapsed {
            if !self.may_conclude(now, key, Proof::LeaseEnded) {
                continue;
            }
            let Some(worker) = self.workers.get_mut(key) else { continue };
            if worker.missing_since.is_some() {
                self.remove_worker(now, key, Proof::LeaseEnded);
                continue;
            }
            let names: Vec<task::Name> = worker.allocations.keys().copied().collect();
            worker.clear_allocations();
            self.requeue_tasks(now, key, names, Proof::LeaseEnded);
        }
    }

    /// Returns the locations of the pool's workers if they differ from the written roster.
    ///
    /// A successor has to poll every worker that may run something before it starts tasks that
    /// its predecessors may have started. It would miss a worker that is partitioned and has
    /// lost its entry, and its tasks would run twice. Therefore a worker gets its first order
    /// only after its location is in the store.
    ///
    /// Locations of ended instances are removed: a successor would poll them without an answer and
    /// wait until their last possible lease has ended.
    pub fn roster_update(&self) -> Option<Vec<Location>> {
        if !self.is_roster_outdated {
            return None;
        }
        let locations: BTreeSet<Location> = self.workers.values().map(Worker::location).collect();
        let is_due = locations != self.written_roster || self.needs_fence();
        is_due.then(|| locations.into_iter().collect())
    }

    /// Returns the locations in the written roster.
    pub fn written_roster(&self) -> Vec<Location> {
        self.written_roster.iter().cloned().collect()
    }

    /// Records that a roster was written.
    pub fn confirm_roster(&mut self, locations: Vec<Location>) {
        self.written_roster = locations.into_iter().collect();
        for worker in self.workers.values_mut() {
            worker.rostered = is_rostered(&self.written_roster, &worker.location());
        }
        let is_written = |worker: &Worker| self.written_roster.contains(&worker.location());
        self.is_roster_outdated = self.written_roster.len() != self.workers.len()
            || !self.workers.values().all(is_written);
    }

    /// Stops placing tasks on a worker for `time`, so that it can be emptied. Returns whether
    /// it is empty, or `None` if it is unknown.
    ///
    /// If a long-running task was just stopped to be moved there, returns `false` and changes
    /// nothing until the task has started; the caller has to ask again.
    pub fn vacate(&mut self, now: Time, id: &str, time: Duration) -> Option<bool> {
        let key = *self.by_id.get(id)?;
        let is_confirmed = self.is_confirmed(now);
        let moving_task = self.task_moving_to(now, key);
        let worker = self.workers.get_mut(key)?;
        let was_vacating = worker.is_vacating(now);
        if let Some(task) = moving_task.filter(|_| !was_vacating) {
            let why = "a task is about to start there and has no other place".to_owned();
            self.note("worker not vacated yet", Some(task), Some(key), why);
            return Some(false);
        }
        if !was_vacating || worker.is_surplus {
            worker.vacating_since = now;
        }
        worker.vacate_until = now + time;
        worker.is_surplus = false;
        let is_known = worker.fenced && worker.rejects_former_starts() && worker.is_responsive();
        let is_empty = is_known && worker.is_empty() && is_confirmed;
        if !was_vacating {
            self.note(
                "worker vacates",
                None,
                Some(key),
                "requested by the fleet's planner".to_owned(),
            );
        }
        Some(is_empty)
    }

    /// Returns a task that has room reserved on a worker, fits there now and has no other
    /// place.
    ///
    /// The task starts as soon as it has stopped elsewhere. If the worker were emptied in that
    /// moment, the task would have been stopped for nothing and would wait for another worker.
    fn task_moving_to(&self, now: Time, key: worker::Key) -> Option<task::Name> {
        let worker = self.workers.get(key)?;
        worker.reserved.iter().find_map(|(name, room)| {
            let step = self.entry(name.job)?.step(*name)?;
            let is_alternative = |(other, worker): (worker::Key, &Worker)| {
                other != key
                    && self.may_host(now, *name, step, (other, worker))
                    && worker.has_room_for(*name, room)
                    && self.is_allowed_by_advice(now, *name, other)
            };
            let has_place = self.workers.iter().any(is_alternative);
            (worker.has_room_for(*name, room) && !has_place).then_some(*name)
        })
    }
}

/// Returns whether a roster names a worker, whichever instance of it: a successor polls the address.
fn is_rostered(roster: &BTreeSet<Location>, location: &Location) -> bool {
    let first = Location { born_ms: None, ..location.clone() };
    roster.range(first..).next().is_some_and(|written| written.is_same_worker(location))
}
