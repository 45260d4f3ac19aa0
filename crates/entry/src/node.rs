//! The state that the tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::config::{Config, Wave};
use corianderfork_adapter::worker::Listed;
use corianderfork_jobs::queue::Queue;
use corianderfork_model::Time;
use serde_json::json;
use tokio::sync::Notify;

use crate::attempts::Tries;
use crate::clock;
use crate::duty::{Former, Holder, Table};
use crate::http::{Client, Failed};
use crate::metrics::Metrics;
use crate::owner::{Owner, ms};
use crate::peer::{self, Ask, Reply};
use crate::placement::{Entry, Search, queue_key};
use crate::queue_counts::Heard;
use crate::settings::Settings;
use crate::store::Store;
use crate::trace::Trace;

/// The length of a member's lease. A holder that died is replaced when it expires;
/// several renewals with their round trips must fit into it.
pub const TTL: Duration = Duration::from_millis(2_500);
/// How long a holder continues without a renewal while the store responds to nobody: during
/// such an outage nobody else can take over either.
pub const HOLD_ON: Duration = Duration::from_millis(8_000);

/// A pause between two duty checks that only a freeze of the process explains.
pub const FROZEN: Duration = Duration::from_millis(900);

/// The grants of an owner that has retired.
pub struct Granted {
    /// The owner's fence.
    pub fence: u64,
    /// When it retired.
    pub at: Time,
    /// How many milliseconds the grants held from then, by worker instance.
    pub left_ms: BTreeMap<String, u64>,
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
    /// Counters.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Waves by number, each with the time at which it was first seen.
    pub waves: RefCell<BTreeMap<u64, (Wave, Time)>>,
    /// Members, duties and queues.
    pub table: RefCell<Table>,
    /// The pools whose work this daemon owns.
    pub owners: RefCell<HashMap<String, Rc<Owner>>>,
    /// Duties that another process reported to have taken, with its fence.
    pub given_up: RefCell<HashMap<String, u64>>,
    /// The grants of this daemon's last retired owner of each pool.
    pub granted: RefCell<HashMap<String, Granted>>,
    /// Duties whose takeover is in progress.
    pub taking: RefCell<HashSet<String>>,
    /// The fence of the fleet's planner, while this daemon holds that duty.
    pub planner: Cell<Option<u64>>,
    /// Listed workers by instance id.
    pub servers: RefCell<BTreeMap<String, Listed>>,
    /// Whether the workers have been read once.
    pub servers_known: Cell<bool>,
    /// Until when workers are expected to register for a pool that this daemon owns.
    pub expects_until: Cell<Time>,
    /// When the last successful renewal of the member's lease was sent.
    pub renewed: Cell<Time>,
    /// When duties were last checked. This happens continually unless the process is
    /// frozen.
    pub attended: Cell<Time>,
    /// When something last happened that may have cost this daemon its duties: a freeze or
    /// the loss of its lease.
    pub doubted: Cell<Time>,
    /// All changes of duties before this time are known.
    pub duties_known: Cell<Time>,
    /// Whether the daemon is shutting down.
    pub stopping: Cell<bool>,
    /// Notified when members, duties or the configuration change.
    pub changed: Notify,
    /// The last known number of queued jobs of each queue.
    pub heard: RefCell<Heard>,
    /// Attempts to store jobs.
    pub tries: Rc<RefCell<Tries>>,
}

impl Node {
    /// Whether orders may be sent: this daemon's lease is valid, or the store responds to
    /// nobody and this process wasn't frozen.
    ///
    /// Right after a freeze, the silence of the store looks like an outage. Orders sent then
    /// would contradict what another holder did meanwhile: a job that it completed would be
    /// reported as queued.
    pub fn may_order(&self) -> bool {
        let now = clock::now();
        if self.is_frozen_since(now) {
            return false;
        }
        let since = now - self.renewed.get();
        if since < TTL {
            return true;
        }
        let is_store_silent = self.store.answered() <= self.renewed.get() + TTL;
        is_store_silent && since < HOLD_ON
    }

    /// Whether so much time has passed since the last duty check that the process must have
    /// been frozen.
    pub fn is_frozen_since(&self, now: Time) -> bool {
        now - self.attended.get() > FROZEN
    }

    /// Whether a duty taken with `fence` is still this daemon's as far as it knows, and
    /// nothing has happened since by which it may have lost the duty unnoticed.
    ///
    /// A new lease proves nothing about duties: while the old one was lost another member
    /// may have taken them, and the news of that may arrive after the lease.
    pub fn is_sure_of(&self, duty: &str, fence: u64) -> bool {
        let is_named = self.table.borrow().duties.get(duty).is_some_and(|r| r.revision == fence);
        is_named && self.may_order() && self.duties_known.get() >= self.doubted.get()
    }

    /// Returns the record by which this daemon holds duties.
    pub fn holder(&self) -> Holder {
        let name = self.settings.name.as_str().to_owned();
        Holder { name, boot: self.boot, peers: Some(self.settings.peers), before: Vec::new() }
    }

    /// Identifies this process to peers.
    pub fn process(&self) -> Former {
        let name = self.settings.name.as_str().to_owned();
        Former { name, boot: self.boot, peers: Some(self.settings.peers) }
    }

    /// Whether a record names this process.
    pub fn is_me(&self, holder: &Holder) -> bool {
        holder.boot == self.boot && holder.name == self.settings.name.as_str()
    }

    /// Gives a duty up to a peer that says it has taken it, and returns the grants.
    ///
    /// The new fence is remembered, since the store's record may still name this daemon for
    /// a while: it would resume with its old fence and grant beyond what it returned here.
    pub fn give_way(&self, duty: &str, fence: u64) -> Option<BTreeMap<String, u64>> {
        let mut given_up = self.given_up.borrow_mut();
        let known = given_up.entry(duty.to_owned()).or_default();
        *known = fence.max(*known);
        drop(given_up);
        let owner = self.owners.borrow().get(duty).cloned();
        if owner.is_some_and(|owner| !owner.give_way(fence)) {
            return None;
        }
        let now = clock::now();
        let granted = self.granted.borrow();
        let granted = granted.get(duty).filter(|granted| granted.fence < fence)?;
        let passed = ms(now - granted.at);
        let left = |(id, left): (&String, &u64)| (id.clone(), left.saturating_sub(passed));
        Some(granted.left_ms.iter().map(left).collect())
    }

    /// Whether a later holder has said that the duty's record of this revision is obsolete.
    pub fn has_given_up(&self, duty: &str, revision: u64) -> bool {
        self.given_up.borrow().get(duty).is_some_and(|fence| *fence > revision)
    }

    /// Returns the owner of a pool if it is this daemon and has loaded the pool.
    pub fn own(&self, pool: &str) -> Option<Rc<Owner>> {
        self.owners.borrow().get(pool).filter(|owner| owner.is_loaded()).cloned()
    }

    /// Sends a request to the owner of a pool, in this process or in another.
    ///
    /// # Errors
    ///
    /// Fails if no owner is known or it doesn't respond.
    pub async fn ask_owner(
        self: &Rc<Self>,
        pool: &str,
        ask: Ask,
        within: Duration,
    ) -> Result<Reply, Failed> {
        if let Some(owner) = self.own(pool) {
            return Ok(owner.answer(ask).await);
        }
        let peers = {
            let table = self.table.borrow();
            let holder = table.duties.get(pool).map(|record| record.holder.clone());
            holder.filter(|holder| !self.is_me(holder)).and_then(|holder| holder.peers)
        };
        let Some(peers) = peers else { return Err(Failed::Unsent) };
        peer::ask(&self.peers, peers, &ask, within).await
    }

    /// Applies a configuration unless its version or a newer one is known. `encoded_len`
    /// is its size in bytes as stored, for the log.
    pub fn set_config(&self, config: Config, encoded_len: usize) {
        let known = self.config.borrow().as_ref().map_or(0, |config| config.version);
        if config.version <= known {
            return;
        }
        self.trace.key(
            "configuration in force",
            json!({ "version": config.version, "before": known, "routes": config.routes.len(),
                "bytes": encoded_len }),
        );
        let queues = self.queues(&config);
        *self.config.borrow_mut() = Some(Rc::new(config));
        for owner in self.owners.borrow().values() {
            owner.pool.borrow_mut().set_queues(queues.clone());
        }
        self.changed.notify_waiters();
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
    pub async fn read_record(&self, queue: &str, search: &mut Search) {
        let key = queue_key(queue);
        let read = if self.store.is_away() { None } else { self.store.get(&key).await.ok() };
        let Some(item) = read else { return search.unclear() };
        let entry = item.map_or(Entry::Missing, |item| Entry::read(&item.value, item.revision));
        if entry != Entry::Missing {
            self.table.borrow_mut().learn(queue, entry.clone());
        }
        search.learn(entry);
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
        let servers = self.servers.borrow();
        servers.values().filter(|s| s.pool == pool).map(|s| s.entry.clone()).collect()
    }
}
