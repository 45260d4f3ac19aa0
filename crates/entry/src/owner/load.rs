//! Loading of the jobs that an owner starts with, and of those accepted later.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::Item;
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::Hold;
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::worker::Location;
use serde::Serialize;
use serde_json::json;

use super::{Owner, ROSTER_PREFIX, ms};
use crate::clock;
use crate::follow::{Recovery, Start, Update, follow};
use crate::lookup::{id_of, job_prefix, run_prefix};
use crate::node::organisations_of;
use crate::store::Error;
use crate::write_slots::Slots;

/// How long changes of accepted jobs are batched. The entry VM that accepted a job notifies
/// the owner itself; the watch only covers lost notifications.
const JOBS_BATCH_PAUSE: Duration = Duration::from_millis(250);

/// How long the parts of a takeover took, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadTimes {
    /// Queries of former owners.
    predecessors_ms: u64,
    /// Reading the pool's jobs.
    jobs_ms: u64,
    /// Reading the workers' entries, after the jobs.
    workers_ms: u64,
}

/// The workers of the pool, as a former owner wrote them.
struct Roster {
    /// `None` if the record can't be read.
    locations: Option<Vec<Location>>,
    /// The store's revision at which they were written.
    revision: u64,
}

impl Owner {
    /// Reads the jobs and the workers of the pool. Returns how long each part took.
    pub(super) async fn load(self: &Rc<Self>) -> LoadTimes {
        let started = clock::now();
        self.query_predecessors().await;
        let queried = clock::now();
        loop {
            if self.retired.get() {
                return LoadTimes::default();
            }
            match self.read().await {
                Ok((roster, jobs, runs)) => {
                    self.apply_snapshot(roster, &jobs, &runs);
                    break;
                }
                Err(error) => {
                    self.node.trace.line(
                        "load failed",
                        || json!({ "duty": self.name, "why": error.to_string() }),
                    );
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
        let read = clock::now();
        while !self.node.workers_loaded.get() && !self.retired.get() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        LoadTimes {
            predecessors_ms: ms(queried - started),
            jobs_ms: ms(read - queried),
            workers_ms: ms(clock::now() - read),
        }
    }

    /// Reads what is stored of the pool.
    async fn read(&self) -> Result<(Roster, Vec<Item>, Vec<Item>), Error> {
        let store = &self.node.store;
        let at = clock::now();
        let first_slot = Slots::first();
        let roster_key = format!("{ROSTER_PREFIX}{}", self.name);
        let write_key = self.write_slots.borrow().key(first_slot);
        let (job_prefix, run_prefix) = (job_prefix(&self.name), run_prefix(&self.name));
        let (roster, write, jobs, divisions) = tokio::join!(
            store.get(&roster_key),
            store.get(&write_key),
            store.range_numbers(&job_prefix),
            self.load_divisions(),
        );
        divisions?;
        let roster = roster?.map_or(Roster { locations: Some(Vec::new()), revision: 0 }, |item| {
            Roster { locations: serde_json::from_slice(&item.value).ok(), revision: item.revision }
        });
        // The other slots learn theirs from their first write.
        let write_revision = write?.map_or(0, |item| item.revision);
        self.write_slots.borrow_mut().set_revision(first_slot, write_revision);
        let (jobs, revision) = jobs?;
        self.jobs_read.set(Some(Start { revision, at }));
        // Runs last: when a job ends, only its owner moves it from one to the other.
        let (runs, _) = store.range_numbers(&run_prefix).await?;
        Ok((roster, jobs, runs))
    }

    fn apply_snapshot(&self, roster: Roster, jobs: &[Item], runs: &[Item]) {
        let now = clock::now();
        let mut progress: BTreeMap<String, Progress> = BTreeMap::new();
        let mut unreadable: BTreeSet<&str> = BTreeSet::new();
        let prefix = run_prefix(&self.name);
        for item in runs {
            let Some(id) = id_of(&prefix, &item.key) else { continue };
            match serde_json::from_slice(&item.value) {
                Ok(job_progress) => drop(progress.insert(id.to_owned(), job_progress)),
                Err(error) => {
                    unreadable.insert(id);
                    self.log_unreadable(&item.key, &error.to_string());
                }
            }
        }
        let mut pool = self.pool.borrow_mut();
        if roster.locations.is_none() {
            self.log_unreadable(ROSTER_PREFIX, "its workers are unknown");
            pool.set_unreadable_roster();
        }
        pool.set_roster(roster.locations.unwrap_or_default(), roster.revision);
        if let Some(config) = self.node.config.borrow().as_ref() {
            pool.set_queues(self.node.queues(config));
            pool.set_organisations(organisations_of(config));
        }
        drop(pool);
        self.limit_inherited();
        let prefix = job_prefix(&self.name);
        for item in jobs {
            let Some(id) = id_of(&prefix, &item.key) else { continue };
            let known = progress.remove(id);
            self.accept_item(&item.key, &item.value, known.as_ref(), item.revision);
            if let Some(id) = unreadable.get(id).and_then(|id| id.parse().ok()) {
                self.pool.borrow_mut().hold(id, Hold::Progress);
            }
        }
        for (id, job_progress) in progress {
            if let Ok(id) = id.parse() {
                self.pool.borrow_mut().accept_ended(now, id, &job_progress);
            }
        }
    }

    fn log_unreadable(&self, key: &str, why: &str) {
        self.node.trace.line("record unreadable", || json!({ "key": key, "why": why }));
    }

    pub(super) fn accept_item(
        &self,
        key: &str,
        value: &[u8],
        progress: Option<&Progress>,
        revision: u64,
    ) {
        let id = id_of(&job_prefix(&self.name), key).and_then(|id| id.parse().ok());
        let Some(id) = id else { return };
        match serde_json::from_slice::<Record>(value) {
            Ok(record) => self.accept(id, &record, progress, revision),
            Err(error) => self.log_unreadable(key, &error.to_string()),
        }
    }

    /// Adds an accepted job.
    pub fn accept(&self, id: JobId, record: &Record, progress: Option<&Progress>, revision: u64) {
        let age = Duration::from_millis(clock::wall_ms().saturating_sub(record.accepted_ms));
        // The wall clock may have jumped since; a job's age is capped at 30 s.
        let age = age.min(Duration::from_secs(30));
        let now = clock::now();
        let is_certain = self.is_certain();
        let mut pool = self.pool.borrow_mut();
        if pool.state(id).is_none() {
            pool.accept(now, age, id, record, progress, revision);
            if !is_certain {
                pool.hold(id, Hold::Ownership);
            }
            if self.loaded.get() {
                pool.count_accepted(id);
            }
            drop(pool);
            self.accepted_count.set(self.accepted_count.get() + 1);
            // The jobs read by a takeover are logged in a single line.
            if self.loaded.get() {
                self.node.trace.line("accepted job added", || {
                    json!({ "job": id.to_string(), "queue": record.queue, "revision": revision,
                        "age_ms": ms(age), "fence": self.fence() })
                });
            }
            self.wake.notify_one();
        }
    }

    pub(super) async fn follow_jobs(self: Rc<Self>) {
        let (owner, watched) = (self.clone(), self.clone());
        let apply = move |update: Update| match update {
            Update::All(items) => {
                for item in items {
                    owner.accept_item(&item.key, &item.value, None, item.revision);
                }
            }
            Update::Change(event) => {
                if let Some(value) = event.value {
                    owner.accept_item(&event.key, &value, None, event.revision);
                }
            }
            Update::KnownUntil(at, _) => owner.pool.borrow_mut().set_jobs_known_until(at),
        };
        let prefix = job_prefix(&self.name);
        follow(
            self.node.clone(),
            prefix,
            Recovery::Watch,
            self.jobs_read.take(),
            || JOBS_BATCH_PAUSE,
            move || !watched.retired.get(),
            apply,
        )
        .await;
    }
}
