//! What an owner begins with, and the jobs that it hears of.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::store::Item;
use corianderfork_jobs::JobId;
use corianderfork_jobs::record::{Progress, Record};
use corianderfork_jobs::worker::Location;
use serde_json::json;

use super::{Owner, ROSTERS, WRITES, ms};
use crate::clock;
use crate::follow::{News, follow};
use crate::lookup::{JOBS, RUNS};
use crate::store::Error;

/// How long changes of accepted jobs are gathered: the entry VM that took a job
/// tells the owner itself, and the watch is there for what got lost.
const JOBS_TOGETHER: Duration = Duration::from_millis(250);

impl Owner {
    pub(super) async fn load(self: &Rc<Self>) {
        self.ask_predecessors().await;
        loop {
            if self.retired.get() {
                return;
            }
            match self.read().await {
                Ok((roster, jobs, runs)) => {
                    self.take_in(roster, &jobs, &runs);
                    break;
                }
                Err(error) => {
                    self.node.trace.line(
                        "load failed",
                        json!({ "duty": self.name, "why": error.to_string() }),
                    );
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
        while !self.node.servers_known.get() && !self.retired.get() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn read(&self) -> Result<(Vec<Location>, Vec<Item>, Vec<Item>), Error> {
        let store = &self.node.store;
        let roster = store.get(&format!("{ROSTERS}{}", self.name)).await?;
        let seats = roster.and_then(|item| serde_json::from_slice(&item.value).ok());
        let write = store.get(&format!("{WRITES}{}", self.name)).await?;
        self.write_revision.set(write.map_or(0, |item| item.revision));
        // Jobs first: one that ends is moved from the one to the other, and by
        // this owner alone.
        let (jobs, _) = store.range(&format!("{JOBS}{}/", self.name)).await?;
        let (runs, _) = store.range(&format!("{RUNS}{}/", self.name)).await?;
        Ok((seats.unwrap_or_default(), jobs, runs))
    }

    fn take_in(&self, roster: Vec<Location>, jobs: &[Item], runs: &[Item]) {
        let now = clock::now();
        let mut progress: BTreeMap<String, Progress> = BTreeMap::new();
        for item in runs {
            match serde_json::from_slice(&item.value) {
                Ok(row) => drop(progress.insert(id_of(&item.key).to_owned(), row)),
                Err(error) => self.unreadable(&item.key, &error.to_string()),
            }
        }
        let mut pool = self.pool.borrow_mut();
        pool.set_roster(roster);
        if let Some(config) = self.node.config.borrow().as_ref() {
            pool.set_queues(self.node.queues(config));
        }
        drop(pool);
        self.limit_inherited();
        for item in jobs {
            let known = progress.remove(id_of(&item.key));
            self.accept_item(&item.key, &item.value, known.as_ref(), item.revision);
        }
        for (id, row) in progress {
            if let Ok(id) = id.parse() {
                self.pool.borrow_mut().accept_ended(now, id, &row);
            }
        }
    }

    fn unreadable(&self, key: &str, why: &str) {
        self.node.trace.line("record unreadable", json!({ "key": key, "why": why }));
    }

    pub(super) fn accept_item(
        &self,
        key: &str,
        value: &[u8],
        progress: Option<&Progress>,
        revision: u64,
    ) {
        let Ok(id) = id_of(key).parse() else { return };
        match serde_json::from_slice::<Record>(value) {
            Ok(record) => self.accept(id, &record, progress, revision),
            Err(error) => self.unreadable(key, &error.to_string()),
        }
    }

    /// Takes in an accepted job.
    pub fn accept(&self, id: JobId, record: &Record, progress: Option<&Progress>, revision: u64) {
        let age = Duration::from_millis(clock::wall_ms().saturating_sub(record.accepted_ms));
        // The time of day may have jumped since; a job is no older than this.
        let age = age.min(Duration::from_secs(30));
        let now = clock::now();
        let mut pool = self.pool.borrow_mut();
        if pool.state(id).is_none() {
            pool.accept(now, age, id, record, progress, revision);
            drop(pool);
            self.taken.set(self.taken.get() + 1);
            // What a takeover reads is told as one line.
            if self.loaded.get() {
                self.node.trace.line(
                    "job taken in",
                    json!({ "job": id.to_string(), "queue": record.queue, "revision": revision,
                        "age_ms": ms(age), "fence": self.fence() }),
                );
            }
            self.wake.notify_one();
        }
    }

    pub(super) async fn follow_jobs(self: Rc<Self>) {
        let (learner, wanted) = (self.clone(), self.clone());
        let learn = move |news: News| match news {
            News::All(items) => {
                for item in items {
                    learner.accept_item(&item.key, &item.value, None, item.revision);
                }
            }
            News::Change(event) => {
                if let Some(value) = event.value {
                    learner.accept_item(&event.key, &value, None, event.revision);
                }
            }
            News::Upto(at) => learner.pool.borrow_mut().set_jobs_known_until(at),
        };
        let prefix = format!("{JOBS}{}/", self.name);
        follow(self.node.clone(), prefix, || JOBS_TOGETHER, move || !wanted.retired.get(), learn)
            .await;
    }
}

fn id_of(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}
