//! The state that the tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::config::{Config, Wave};
use corianderfork_adapter::worker::Listing;
use corianderfork_jobs::organisation::{Directory, Organisation};
use corianderfork_jobs::pressure;
use corianderfork_jobs::queue::Queue;
use corianderfork_model::Time;
use serde_json::json;
use tokio::sync::Notify;

use crate::attempts::Attempts;
use crate::clock;
use crate::duty::{self, FormerHolder, Holder, Table};
use crate::effort::Effort;
use crate::http::{CallError, Client};
use crate::metrics::Metrics;
use crate::owner::{Owner, ms};
use crate::peer::{self, Message, Reply};
use crate::placement::{QueueRecord, Search, queue_key};
use crate::queue_counts::QueueCounts;
use crate::relays::Relays;
use crate::settings::Settings;
use crate::store::Store;
use crate::tenure::Tenure;
use crate::trace::Trace;
use crate::traffic::Traffic;

/// The grants of an owner that has retired.
pub struct RetiredGrants {
    /// The owner's fence.
    pub fence: u64,
    /// When it retired.
    pub at: Time,
    /// How many milliseconds the grants held from then, by worker instance.
    pub remaining_ms: BTreeMap<String, u64>,
}

/// The shared state of one daemon.
pub struct Node {
    /// The settings read at startup.
    pub settings: Settings,
    /// A number that is unique to this start of the process.
    pub boot: u64,
    /// HTTP client for the platform's services and for workers.
    pub client: Rc<Client>,
    /// HTTP client for peers.
    pub peers: Rc<Client>,
    /// The platform's store.
    pub store: Store,
    /// The log.
    pub trace: Trace,
    /// The metrics.
    pub metrics: Metrics,
    /// Counts of calls and bytes.
    pub traffic: Traffic,
    /// The time that activities take.
    pub effort: Effort,
    /// The configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// All configurations that were accepted before this time are known.
    pub config_known_at: Cell<Time>,
    /// The store's revision up to which changes by operators are known.
    pub config_revision: Cell<u64>,
    /// Notified when that time advances.
    pub config_news: Notify,
    /// Waves by number, each with the time at which it was first seen.
    pub waves: RefCell<BTreeMap<u64, (Wave, Time)>>,
    /// Members, duties and queues.
    pub table: RefCell<Table>,
    /// The pools whose work this daemon owns.
    pub owners: RefCell<HashMap<String, Rc<Owner>>>,
    /// Duties that another process reported to have taken, with its fence.
    pub relinquished: RefCell<HashMap<String, u64>>,
    /// The grants of this daemon's last retired owner of each pool.
    pub retired_grants: RefCell<HashMap<String, RetiredGrants>>,
    /// Duties whose takeover is in progress.
    pub taking: RefCell<HashSet<String>>,
    /// The fence of the fleet's planner, while this daemon holds that duty.
    pub planner: Cell<Option<u64>>,
    /// Listed workers by instance id.
    pub listed_workers: RefCell<BTreeMap<String, Listing>>,
    /// Whether the workers have been read once.
    pub workers_loaded: Cell<bool>,
    /// Until when workers are expected to register for a pool that this daemon owns.
    pub workers_expected_until: Cell<Time>,
    /// The revision of the member's record as last known here; 0 if there is none.
    pub member_revision: Cell<u64>,
    /// How certain it is that duties recorded as this daemon's are.
    pub tenure: Cell<Tenure>,
    /// Whether the daemon is shutting down.
    pub stopping: Cell<bool>,
    /// Notified when members, duties or the configuration change.
    pub changed: Notify,
    /// The last known number of queued jobs of each queue.
    pub queue_counts: RefCell<QueueCounts>,
    /// What owners reported of jobs that can't be served.
    pub pressure: RefCell<pressure::View>,
    /// The pools whose owners hold as many jobs as they can, and when they last said so.
    pub full_pools: RefCell<BTreeMap<String, Time>>,
    /// The peers that relay calls to the store.
    pub relays: RefCell<Relays>,
    /// Attempts to store jobs.
    pub attempts: Rc<RefCell<Attempts>>,
}

impl Node {
    /// Changes what is known of the hold on duties.
    pub fn update_tenure<T>(&self, update: impl FnOnce(&mut Tenure) -> T) -> T {
        let mut tenure = self.tenure.get();
        let result = update(&mut tenure);
        self.tenure.set(tenure);
        result
    }

    /// Whether orders may be sent; see [`Tenure::may_order`].
    pub fn may_order(&self) -> bool {
        self.tenure.get().may_order(clock::now(), self.store.last_response())
    }

    /// Returns the time since the last successful renewal of the member's lease was sent, in
    /// milliseconds; `None` if there was none since the start or the last freeze.
    pub fn since_renewal(&self) -> Option<u64> {
        self.tenure.get().renewed_at().map(|at| ms(clock::now() - at))
    }

    /// Whether this daemon's lease in the store certainly holds.
    pub fn has_lease(&self) -> bool {
        self.tenure.get().has_lease(clock::now())
    }

    /// Whether a duty taken with `fence` is still this daemon's as far as it knows, and
    /// nothing has happened since by which it may have lost the duty unnoticed.
    ///
    /// A new lease proves nothing about duties: while the old one was lost another member may have
    /// taken them, and the change of the duty may be reported only after the lease.
    pub fn is_sure_of(&self, duty: &str, fence: u64) -> bool {
        let is_named = self.table.borrow().duties.get(duty).is_some_and(|r| r.revision == fence);
        is_named && self.may_order() && self.tenure.get().is_known()
    }

    /// Whether another process is known to have taken a duty from the one that took it with `fence`.
    pub fn is_superseded(&self, duty: &str, fence: u64) -> bool {
        let table = self.table.borrow();
        table.duties.get(duty).is_some_and(|r| r.revision > fence && !self.is_me(&r.holder))
    }

    /// Returns the record by which this daemon holds duties.
    pub fn holder(&self) -> Holder {
        let name = self.settings.name.as_str().to_owned();
        Holder { name, boot: self.boot, peers: Some(self.settings.peers), before: Vec::new() }
    }

    /// Identifies this process to peers.
    pub fn process(&self) -> FormerHolder {
        let name = self.settings.name.as_str().to_owned();
        FormerHolder { name, boot: self.boot, peers: Some(self.settings.peers) }
    }

    /// Whether a record names this process.
    pub fn is_me(&self, holder: &Holder) -> bool {
        holder.boot == self.boot && holder.name == self.settings.name.as_str()
    }

    /// Gives up a duty to a peer that reports that it has taken it, and returns the grants.
    ///
    /// The new fence is remembered, since the store's record may still name this daemon for
    /// a while: it would resume with its old fence and grant beyond what it returned here.
    pub fn relinquish(&self, duty: &str, fence: u64) -> Option<BTreeMap<String, u64>> {
        let mut relinquished = self.relinquished.borrow_mut();
        let known = relinquished.entry(duty.to_owned()).or_default();
        *known = fence.max(*known);
        drop(relinquished);
        let pool = duty::pool_of(duty)?;
        let owner = self.owners.borrow().get(pool).cloned();
        if owner.is_some_and(|owner| !owner.relinquish(fence)) {
            return None;
        }
        let now = clock::now();
        let all = self.retired_grants.borrow();
        let grants = all.get(pool).filter(|grants| grants.fence < fence)?;
        let passed = ms(now - grants.at);
        let left = |(id, left): (&String, &u64)| (id.clone(), left.saturating_sub(passed));
        Some(grants.remaining_ms.iter().map(left).collect())
    }

    /// Whether a later holder has said that the duty's record of this revision is obsolete.
    pub fn is_relinquished(&self, duty: &str, revision: u64) -> bool {
        self.relinquished.borrow().get(duty).is_some_and(|fence| *fence > revision)
    }

    /// Returns the owner of a pool if it is this daemon and has loaded the pool.
    pub fn local_owner(&self, pool: &str) -> Option<Rc<Owner>> {
        self.owners.borrow().get(pool).filter(|owner| owner.is_loaded()).cloned()
    }

    /// Sends a message to the owner of a pool, in this process or in another.
    ///
    /// # Errors
    ///
    /// Fails if no owner is known or it doesn't respond.
    pub async fn send_to_owner(
        self: &Rc<Self>,
        pool: &str,
        message: Message,
        within: Duration,
    ) -> Result<Reply, CallError> {
        if let Some(owner) = self.local_owner(pool) {
            return Ok(owner.handle(message).await);
        }
        let peers = {
            let table = self.table.borrow();
            let holder = table.duties.get(&duty::of_pool(pool)).map(|record| record.holder.clone());
            holder.filter(|holder| !self.is_me(holder)).and_then(|holder| holder.peers)
        };
        let Some(peers) = peers else { return Err(CallError::Unsent) };
        peer::send(&self.peers, peers, &message, within).await
    }

    /// Applies a configuration unless its version or a newer one is known. `encoded_len`
    /// is its size in bytes as stored, for the log.
    pub fn set_config(&self, config: Config, encoded_len: usize) {
        let known = self.config.borrow().as_ref().map_or(0, |config| config.version);
        if config.version <= known {
            return;
        }
        let directory = config.organisations.as_ref();
        let organisations = directory.map(|directory| directory.organisations().len());
        let keys = directory.map(Directory::key_count);
        self.trace.unlimited(
            "configuration in force",
            json!({ "version": config.version, "before": known, "routes": config.routes.len(),
                "bytes": encoded_len, "organisations": organisations, "keys": keys }),
        );
        for fault in &config.faults {
            self.metrics.event("organisation damaged");
            self.trace.line(
                "organisation damaged",
                || json!({ "version": config.version, "why": fault }),
            );
        }
        let queues = self.queues(&config);
        let organisations = organisations_of(&config).to_vec();
        *self.config.borrow_mut() = Some(Rc::new(config));
        for owner in self.owners.borrow().values() {
            let mut pool = owner.pool.borrow_mut();
            pool.set_queues(queues.clone());
            pool.set_organisations(&organisations);
        }
        self.changed.notify_waiters();
    }

    /// Records that all configurations that were accepted before `at` are known.
    pub fn note_config_known(&self, at: Time) {
        self.config_known_at.set(at.max(self.config_known_at.get()));
        self.config_news.notify_waiters();
    }

    /// Returns the queues' parameters. Without an advice service, no advice is waited for.
    pub fn queues(&self, config: &Config) -> HashMap<String, Queue> {
        let mut queues = config.queues();
        if self.settings.advice.is_none() {
            queues.values_mut().for_each(|queue| queue.advice = None);
        }
        queues
    }

    /// Starts a search for a job of a queue that is now routed to `pool`.
    pub fn search(&self, queue: &str, pool: &str) -> Search {
        let table = self.table.borrow();
        Search::new(table.queues.get(queue).cloned().unwrap_or_default(), pool)
    }

    /// Continues a search with the queue's record as read from the store.
    pub async fn read_queue_record(&self, queue: &str, search: &mut Search) {
        let key = queue_key(queue);
        let read = if self.store.is_down() { None } else { self.store.get(&key).await.ok() };
        let Some(item) = read else { return search.mark_unclear() };
        let record =
            item.map_or(QueueRecord::Missing, |item| QueueRecord::read(&item.value, item.revision));
        if record != QueueRecord::Missing {
            self.table.borrow_mut().update_queue(queue, record.clone());
        }
        search.set_record(record);
    }

    /// Returns the pools that may hold a queue's jobs, as far as known here.
    pub fn pools_of(&self, queue: &str, pool: &str) -> Vec<String> {
        let table = self.table.borrow();
        let mut pools = table.queues.get(queue).map_or_else(Vec::new, |e| e.pools().to_vec());
        if !pools.iter().any(|known| known == pool) {
            pools.push(pool.to_owned());
        }
        pools
    }

    /// Returns the listed workers of a pool.
    pub fn workers_of(&self, pool: &str) -> Vec<corianderfork_jobs::worker::Registration> {
        let listed_workers = self.listed_workers.borrow();
        listed_workers.values().filter(|s| s.pool == pool).map(|s| s.registration.clone()).collect()
    }
}

/// Returns the organisations of a configuration.
pub fn organisations_of(config: &Config) -> &[Organisation] {
    config.organisations.as_ref().map_or(&[], Directory::organisations)
}
