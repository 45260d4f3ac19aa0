//! What each organisation may use in a pool, and what it uses.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::Time;
use serde::Serialize;

use super::Pool;
use super::entry::Entry;
use super::ranking::{Candidate, StepKey};
use crate::allowance::Demand;
use crate::id::JobId;
use crate::job::{Room, Step};
use crate::organisation::{Key, Organisation};

/// How long no task of an organisation starts until the pool asks for what the next one needs
/// whatever others want: several rounds of requests, and well below the time that a job may wait
/// while there is room for it.
pub(super) const STARVED_AFTER: Duration = Duration::from_millis(800);
/// How long parts are held back after a request: three rounds of requests, some of which may get
/// lost.
const HELD_FOR: Duration = Duration::from_millis(500);
/// How long a sum of what urgent runs use is relied on: it looks at all jobs.
const URGENT_RUNS_VALIDITY: Duration = Duration::from_millis(200);

/// An organisation, as the owner of one pool sees it.
#[derive(Debug, Default)]
struct Account {
    name: String,
    /// Its settings; `None` if the configuration doesn't contain it, so that it has no limit.
    organisation: Option<Organisation>,
    /// The part of the limit that this pool may use.
    part: u32,
    /// Whether a task waits since the last plan because the part is used up.
    is_blocked: bool,
    /// Since when no task could start for that reason, and the room that the next one needs.
    starved: Option<(Time, Room)>,
    /// Parts that new runs leave free for another pool, and until when.
    held: Option<(u32, Time)>,
}

/// The organisations that are known to a pool. None is removed.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    accounts: Vec<Account>,
    by_name: HashMap<String, Key>,
    blocked: Vec<Key>,
    /// What runs of predecessors may use unseen, as of this plan.
    unseen: HashMap<Key, Room>,
    /// What runs of jobs that can still be in time use, and when that was summed up.
    urgent_runs: RefCell<Option<(Time, HashMap<Key, Room>)>>,
}

impl Accounts {
    /// Returns the key of an organisation, and adds one if it has none.
    pub fn key(&mut self, name: &str) -> Key {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = Key(self.accounts.len());
        self.accounts.push(Account { name: name.to_owned(), ..Account::default() });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of an organisation that has one.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Returns the keys of all organisations.
    pub fn keys(&self) -> impl Iterator<Item = Key> + use<> {
        (0..self.accounts.len()).map(Key)
    }

    pub fn is_blocked(&self, key: Key) -> bool {
        self.accounts.get(key.0).is_some_and(|account| account.is_blocked)
    }

    fn block(&mut self, now: Time, key: Key, needed: Room) {
        if let Some(account) = self.accounts.get_mut(key.0)
            && !account.is_blocked
        {
            account.is_blocked = true;
            let since = account.starved.map_or(now, |(since, _)| since);
            account.starved = Some((since, needed));
            self.blocked.push(key);
        }
    }

    /// Begins a plan: tasks of all organisations are tried again.
    pub fn begin_plan(&mut self) {
        self.unseen.clear();
        for key in std::mem::take(&mut self.blocked) {
            if let Some(account) = self.accounts.get_mut(key.0) {
                account.is_blocked = false;
            }
        }
    }

    fn set(&mut self, organisations: &[Organisation]) {
        self.accounts.iter_mut().for_each(|account| account.organisation = None);
        for organisation in organisations {
            let key = self.key(&organisation.name);
            self.accounts[key.0].organisation = Some(organisation.clone());
        }
    }

    /// Returns the weight of an organisation, at least 1: jobs of one that the configuration
    /// doesn't contain any more still have to end.
    pub fn weight(&self, key: Key) -> u64 {
        let organisation = self.accounts.get(key.0).and_then(|a| a.organisation.as_ref());
        organisation.map_or(1, |organisation| u64::from(organisation.weight.max(1)))
    }

    /// Returns the jobs a second that an organisation is owed; `None` if the known configuration
    /// doesn't contain it.
    pub fn owed_per_second(&self, key: Key) -> Option<u32> {
        let account = self.accounts.get(key.0)?;
        account.organisation.as_ref().map(|organisation| organisation.weight)
    }

    pub fn name(&self, key: Key) -> &str {
        self.accounts.get(key.0).map_or("", |account| &account.name)
    }

    /// Returns the parts of a limit that new runs leave free for another pool.
    fn held(&self, now: Time, key: Key) -> u32 {
        let held = self.accounts.get(key.0).and_then(|account| account.held);
        held.filter(|(_, until)| now < *until).map_or(0, |(parts, _)| parts)
    }

    /// Returns the settings of an organisation that has a limit, and the part of this pool.
    pub fn limited(&self, key: Key) -> Option<(&Organisation, u32)> {
        let account = self.accounts.get(key.0)?;
        let organisation = account.organisation.as_ref().filter(|o| o.is_limited())?;
        Some((organisation, account.part))
    }
}

/// An organisation whose tasks wait because the pool's part of its limit is used up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The name of the organisation.
    pub organisation: String,
    /// What the pool uses and wants.
    pub demand: Demand,
}

/// What an organisation uses in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Use {
    /// The name of the organisation.
    pub organisation: String,
    /// The weight; `None` if the configuration doesn't contain it.
    pub weight: Option<u32>,
    /// The limit over all pools; a part that is 0 has no limit.
    pub limit: Room,
    /// The pool's part of the limit, in ten thousandths.
    pub part: u32,
    /// The room that its runs here count.
    pub used: Room,
    /// Whether tasks wait because the part is used up.
    pub is_blocked: bool,
}

impl Pool {
    /// Sets the organisations of the configuration in force. Limits apply to the next starts; runs
    /// beyond a lowered limit go on.
    pub fn set_organisations(&mut self, organisations: &[Organisation]) {
        self.accounts.set(organisations);
    }

    /// Sets the part of an organisation's limit that this pool may use. Before the first call it is
    /// none, and no task of an organisation with a limit starts.
    ///
    /// ```
    /// use corianderfork_jobs::allowance::WHOLE;
    /// use corianderfork_jobs::job::Room;
    /// use corianderfork_jobs::organisation::Organisation;
    /// use corianderfork_jobs::pool::{Config, Pool};
    /// use corianderfork_model::Time;
    ///
    /// let mut pool = Pool::new(Config::new(7, Time::ZERO));
    /// let limit = Room { cpu: 8_000, ..Room::default() };
    /// pool.set_organisations(&[Organisation { name: "a".to_owned(), limit, weight: 1 }]);
    /// pool.set_part("a", WHOLE / 2);
    /// assert_eq!(pool.uses()[0].part, WHOLE / 2);
    /// ```
    pub fn set_part(&mut self, organisation: &str, part: u32) {
        let key = self.accounts.key(organisation);
        self.accounts.accounts[key.0].part = part;
    }

    /// Returns the name of the organisation that submitted a job; the outer `None` stands for an
    /// unknown job.
    pub fn organisation_of(&self, id: JobId) -> Option<Option<&str>> {
        Some(self.entry(id)?.organisation_name.as_deref())
    }

    /// Returns what each organisation uses in this pool.
    pub fn uses(&self) -> Vec<Use> {
        let of = |(index, account): (usize, &Account)| Use {
            organisation: account.name.clone(),
            weight: account.organisation.as_ref().map(|organisation| organisation.weight),
            limit: account.organisation.as_ref().map(|o| o.limit).unwrap_or_default(),
            part: account.part,
            used: self.usage.get(Key(index)),
            is_blocked: account.is_blocked,
        };
        self.accounts.accounts.iter().enumerate().map(of).collect()
    }

    /// Returns the organisations whose tasks the last plan didn't start because this pool's part of
    /// their limit is used up.
    pub fn shortages(&self, now: Time) -> Vec<Shortage> {
        let shortage = |key: &Key| Shortage {
            organisation: self.accounts.accounts[key.0].name.clone(),
            demand: self.demand_of(now, *key),
        };
        let mut keys = self.accounts.blocked.clone();
        if self.config.contention.limits {
            // Tasks of a full pool are not tried, and what waits for a limit asks for no workers.
            let held = self.held_tasks();
            keys.extend(held.organisations().filter(|key| !self.accounts.is_blocked(*key)));
        }
        keys.iter().map(shortage).collect()
    }

    /// Returns whether the last plan left tasks waiting because of a limit.
    pub fn has_shortage(&self) -> bool {
        !self.accounts.blocked.is_empty()
    }

    /// Returns what this pool uses and wants of an organisation's limit.
    pub fn demand(&self, now: Time, organisation: &str) -> Demand {
        let key = self.accounts.by_name.get(organisation);
        key.map_or_else(Demand::default, |key| self.demand_of(now, *key))
    }

    fn demand_of(&self, now: Time, key: Key) -> Demand {
        let Some((organisation, _)) = self.accounts.limited(key) else { return Demand::default() };
        let mut room = self.usage.get(key);
        if self.is_recovering(now) {
            room.add(&self.unseen_room(key));
        }
        let used = organisation.parts_for(&room);
        let starved = self.accounts.accounts[key.0].starved;
        let needed = starved.filter(|(since, _)| now - *since >= STARVED_AFTER).map(|(_, next)| {
            let mut room = room;
            room.add(&next);
            organisation.parts_for(&room)
        });
        let own = self.ranking.steps_of(key);
        let (expired, own): (Vec<&Candidate>, Vec<&Candidate>) =
            own.partition(|step| step.is_expired);
        // Jobs that earn nothing any more don't take parts from pools whose jobs do.
        for step in if own.is_empty() { expired } else { own } {
            room.add(&self.waiting_room(step.key));
        }
        let needed = needed.unwrap_or(0);
        let wanted = organisation.parts_for(&room).max(used).max(needed);
        let urgent = self.config.contention.limits.then(|| {
            let mut room = self.urgent_runs(now, key);
            let urgent = self.ranking.steps_of(key).filter(|step| step.is_urgent);
            urgent.for_each(|step| room.add(&self.waiting_room(step.key)));
            organisation.parts_for(&room).min(wanted)
        });
        let is_delayed = self.config.contention.limits && self.is_delayed(now, key);
        Demand { used, wanted, needed, urgent, is_delayed }
    }

    /// Returns whether a step of a job that can still be in time has waited for the limit for a
    /// while without one of its tasks being started.
    fn is_delayed(&self, now: Time, key: Key) -> bool {
        let Some((organisation, part)) = self.accounts.limited(key) else { return false };
        let used = self.usage.get(key);
        self.ranking.steps_of(key).filter(|candidate| candidate.is_urgent).any(|candidate| {
            let StepKey { job, occurrence, step } = candidate.key;
            let Some(entry) = self.jobs.get(job) else { return false };
            let Some(step_settings) = entry.steps.get(step) else { return false };
            let state = entry.occurrences.get(&occurrence).and_then(|o| o.steps.get(step));
            let since = state.and_then(|state| state.waiting_since);
            let count = if step_settings.gang { step_settings.count } else { 1 };
            since.is_some_and(|since| now - since >= STARVED_AFTER)
                && !organisation.allows(part, &used, &step_settings.needs.times(count))
        })
    }

    /// Returns the room that the waiting tasks of a ready step count.
    fn waiting_room(&self, key: StepKey) -> Room {
        let waiting = self.jobs.get(key.job).and_then(|entry| {
            let state = entry.occurrences.get(&key.occurrence)?.steps.get(key.step)?;
            Some(entry.steps.get(key.step)?.needs.times(state.waiting))
        });
        waiting.unwrap_or_default()
    }

    /// Returns whether `count` tasks of a step may start within the limit of their organisation,
    /// and within its share while steps of laggards are placed.
    ///
    /// If the limit is the reason, no other task of the organisation is started in this plan: a
    /// smaller task behind one that waits would use up what becomes free.
    pub(super) fn may_charge(
        &mut self,
        now: Time,
        step_key: StepKey,
        step: &Step,
        count: u32,
    ) -> bool {
        let Some(entry) = self.jobs.get(step_key.job) else { return true };
        let Some(key) = entry.organisation else { return true };
        if self.has_caught_up(key) {
            return false;
        }
        let mut used = self.usage.get(key);
        if !self.gate_is_open_to_all() {
            used.add(&self.unseen_room_in_plan(key));
        }
        let Some((organisation, part)) = self.accounts.limited(key) else { return true };
        let needed = step.needs.times(count);
        let held = self.accounts.held(now, key);
        if organisation.allows(part.saturating_sub(held), &used, &needed) {
            self.accounts.accounts[key.0].starved = None;
            return true;
        }
        let is_held_back = held > 0 && organisation.allows(part, &used, &needed);
        self.accounts.block(now, key, needed);
        if is_held_back {
            // The part would suffice, so the pool needs nothing of others.
            self.accounts.accounts[key.0].starved = None;
        }
        false
    }

    /// Leaves parts of an organisation's limit free for another pool for a short time: new runs
    /// don't use them. Returns whether none were left free before.
    pub fn hold_back(&mut self, now: Time, organisation: &str, parts: u32) -> bool {
        let key = self.accounts.key(organisation);
        let is_new = self.accounts.held(now, key) == 0;
        self.accounts.accounts[key.0].held = Some((parts, now + HELD_FOR));
        is_new
    }

    /// Returns what runs of an organisation's jobs that can still be in time use.
    fn urgent_runs(&self, now: Time, key: Key) -> Room {
        let mut known = self.accounts.urgent_runs.borrow_mut();
        if known.as_ref().is_none_or(|(at, _)| now - *at >= URGENT_RUNS_VALIDITY) {
            let mut rooms: HashMap<Key, Room> = HashMap::new();
            for entry in self.active_jobs() {
                let Some(key) = entry.organisation else { continue };
                for occurrence in entry.occurrences.values() {
                    let steps = || entry.steps.iter().zip(&occurrence.steps);
                    let has_runs = steps().any(|(_, state)| state.unfinished > state.waiting);
                    if has_runs && self.can_be_in_time(now, entry, occurrence) {
                        let room = rooms.entry(key).or_default();
                        steps().for_each(|(step, state)| {
                            room.add(&step.needs.times(state.unfinished - state.waiting));
                        });
                    }
                }
            }
            *known = Some((now, rooms));
        }
        known.as_ref().and_then(|(_, rooms)| rooms.get(&key)).copied().unwrap_or_default()
    }

    /// Returns whether a task of a step may start within the limit of its organisation.
    pub(super) fn is_within_limit(&self, entry: &Entry, step: &Step) -> bool {
        let limited = entry.organisation.and_then(|key| Some((key, self.accounts.limited(key)?)));
        limited.is_none_or(|(key, (organisation, part))| {
            organisation.allows(part, &self.usage.get(key), &step.needs)
        })
    }

    /// Returns [`Pool::unseen_room`], which is computed once a plan: it looks at all workers and
    /// jobs.
    fn unseen_room_in_plan(&mut self, key: Key) -> Room {
        if let Some(room) = self.accounts.unseen.get(&key) {
            return *room;
        }
        let room = self.unseen_room(key);
        self.accounts.unseen.insert(key, room);
        room
    }

    /// Returns the room that runs of a predecessor may use on workers that haven't answered: at
    /// most what these workers have, and what the waiting tasks of the organisation need.
    fn unseen_room(&self, key: Key) -> Room {
        // The size of a worker that isn't listed is unknown.
        let mut largest = Room::default();
        for worker in self.workers.values() {
            largest.cpu = largest.cpu.max(worker.room.cpu);
            largest.memory_mb = largest.memory_mb.max(worker.room.memory_mb);
            largest.gpu = largest.gpu.max(worker.room.gpu);
        }
        let mut hidden = Room::default();
        for worker in self.workers.values().filter(|worker| worker.is_inherited && !worker.fenced) {
            let is_known = worker.room != Room::default();
            hidden.add(if is_known { &worker.room } else { &largest });
        }
        let mut waiting = Room::default();
        for entry in self.active_jobs().filter(|entry| entry.organisation == Some(key)) {
            for occurrence in entry.occurrences.values() {
                for (step, state) in entry.steps.iter().zip(&occurrence.steps) {
                    waiting.add(&step.needs.times(state.waiting));
                }
            }
        }
        Room {
            cpu: hidden.cpu.min(waiting.cpu),
            memory_mb: hidden.memory_mb.min(waiting.memory_mb),
            gpu: hidden.gpu.min(waiting.gpu),
        }
    }

    /// Returns whether a job waits because the pool's part of its organisation's limit is used up.
    pub(super) fn is_blocked_by_limit(&self, id: JobId) -> bool {
        let organisation = self.entry(id).and_then(|entry| entry.organisation);
        organisation.is_some_and(|key| self.accounts.is_blocked(key))
    }

    /// Describes the limit that a job waits for.
    pub(super) fn describe_limit(&self, now: Time, entry: &Entry) -> Option<String> {
        let key = entry.organisation.filter(|key| self.accounts.is_blocked(*key))?;
        let (organisation, part) = self.accounts.limited(key)?;
        let used = self.usage.get(key);
        let held = match self.accounts.held(now, key) {
            0 => String::new(),
            parts => format!(", of which {parts} are held back for another pool"),
        };
        Some(format!(
            "the organisation {:?} uses {} thousandths of a core and {} MB here; this pool has {part} ten thousandths of its limit of {} and {} MB{held}",
            organisation.name,
            used.cpu,
            used.memory_mb,
            organisation.limit.cpu,
            organisation.limit.memory_mb
        ))
    }
}
