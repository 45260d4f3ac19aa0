//! What the parts of one daemon share.

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

/// How long a member's lease is. After it a holder that died is replaced;
/// renewals and their answers must fit into it several times.
pub const TTL: Duration = Duration::from_millis(2_500);
/// How long a holder goes on that was not renewed because the store answers
/// nobody: while it is away, nobody else can take over either.
pub const HOLD_ON: Duration = Duration::from_millis(8_000);

/// A pause between two looks after duties that only a freeze of the process explains.
pub const FROZEN: Duration = Duration::from_millis(900);

/// Grants of an owner that gives no more orders.
pub struct Granted {
    /// The owner's fence.
    pub fence: u64,
    /// When it ceased.
    pub at: Time,
    /// How many milliseconds they held from then, by worker's life.
    pub left_ms: BTreeMap<String, u64>,
}

/// The state of one daemon.
pub struct Node {
    /// What it was told at its start.
    pub settings: Settings,
    /// A number of this one start.
    pub boot: u64,
    /// Calls over HTTP to the platform's services and to workers.
    pub client: Rc<Client>,
    /// Calls over HTTP to peers.
    pub peers: Rc<Client>,
    /// The platform's store.
    pub store: Store,
    /// The log.
    pub trace: Trace,
    /// Counters.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Waves, with the time at which they were first seen.
    pub waves: RefCell<BTreeMap<u64, (Wave, Time)>>,
    /// Members and duties.
    pub table: RefCell<Table>,
    /// The pools whose work this daemon owns.
    pub owners: RefCell<HashMap<String, Rc<Owner>>>,
    /// Duties that another one said it has taken, with its fence.
    pub given_up: RefCell<HashMap<String, u64>>,
    /// What this daemon's last owner of a pool had granted when it gave no more orders.
    pub granted: RefCell<HashMap<String, Granted>>,
    /// Duties that are being taken.
    pub taking: RefCell<HashSet<String>>,
    /// The fence of the fleet's planner, while this daemon is it.
    pub planner: Cell<Option<u64>>,
    /// Workers by the id of their life.
    pub servers: RefCell<BTreeMap<String, Listed>>,
    /// Whether the workers have been read once.
    pub servers_known: Cell<bool>,
    /// Until when workers are expected to register for a pool of this daemon's.
    pub expects_until: Cell<Time>,
    /// When the last renewal of the member's lease that succeeded was sent.
    pub renewed: Cell<Time>,
    /// When this process last looked after its duties: it does so all the time,
    /// unless it is frozen.
    pub attended: Cell<Time>,
    /// When something last happened after which another may hold this daemon's
    /// duties: it was frozen, or its lease was lost.
    pub doubted: Cell<Time>,
    /// All that was written of duties before this is known.
    pub duties_known: Cell<Time>,
    /// Whether the daemon is to end.
    pub stopping: Cell<bool>,
    /// Told when members, duties or the configuration change.
    pub changed: Notify,
    /// Jobs that have not begun, as last heard.
    pub heard: RefCell<Heard>,
    /// Tries to have jobs stored.
    pub tries: Rc<RefCell<Tries>>,
}

impl Node {
    /// Whether orders may go out: this daemon's lease holds, or the store
    /// answers nobody and it has not been away itself.
    ///
    /// Asked right after a freeze, the silence of the store looks like that of an
    /// outage. What another holder did meanwhile would be contradicted: a job that it
    /// completed is told as waiting.
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

    /// Whether more time has passed since this process last looked after its duties
    /// than only a freeze explains.
    pub fn is_frozen_since(&self, now: Time) -> bool {
        now - self.attended.get() > FROZEN
    }

    /// Whether a duty taken with `fence` is still this daemon's, as far as it knows,
    /// and nothing has happened since by which it may have lost it unheard.
    ///
    /// A lease that is taken anew says nothing of duties: while it was lost another
    /// may have taken them, and the news of that may come behind it.
    pub fn is_sure_of(&self, duty: &str, fence: u64) -> bool {
        let is_named = self.table.borrow().duties.get(duty).is_some_and(|r| r.revision == fence);
        is_named && self.may_order() && self.duties_known.get() >= self.doubted.get()
    }

    /// The name under which this daemon holds duties.
    pub fn holder(&self) -> Holder {
        let name = self.settings.name.as_str().to_owned();
        Holder { name, boot: self.boot, peers: Some(self.settings.peers), before: Vec::new() }
    }

    /// This start of this daemon, for peers.
    pub fn process(&self) -> Former {
        let name = self.settings.name.as_str().to_owned();
        Former { name, boot: self.boot, peers: Some(self.settings.peers) }
    }

    /// Whether a record names this start of this daemon.
    pub fn is_me(&self, holder: &Holder) -> bool {
        holder.boot == self.boot && holder.name == self.settings.name.as_str()
    }

    /// Gives a duty up to one that says it has taken it, and tells what was granted.
    ///
    /// It is remembered, since the store's record may name this daemon a while yet: it
    /// would begin anew with the fence of before, and grant beyond what it told here.
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

    /// Whether a duty's record of this revision is over: a later holder said so.
    pub fn has_given_up(&self, duty: &str, revision: u64) -> bool {
        self.given_up.borrow().get(duty).is_some_and(|fence| *fence > revision)
    }

    /// The owner of a pool, if it is this daemon.
    pub fn own(&self, pool: &str) -> Option<Rc<Owner>> {
        self.owners.borrow().get(pool).filter(|owner| owner.is_loaded()).cloned()
    }

    /// Asks the owner of a pool, in this process or in another.
    ///
    /// # Errors
    ///
    /// Fails if there is none that answers.
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

    /// How queues are treated. Where no service gives advice, none is waited for.
    pub fn queues(&self, config: &Config) -> HashMap<String, Queue> {
        let mut queues = config.queues();
        if self.settings.advice.is_none() {
            queues.values_mut().for_each(|queue| queue.advice = None);
        }
        queues
    }

    /// Begins to look for a job of a queue, which is sent to `pool` now.
    pub fn search(&self, queue: &str, pool: &str) -> Search {
        let table = self.table.borrow();
        Search::new(table.queues.get(queue).cloned().unwrap_or_default(), pool)
    }

    /// Goes on with a search by the queue's record as the store has it.
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

    /// Where a queue's jobs may be, as far as is known here.
    pub fn pools_of(&self, queue: &str, pool: &str) -> Vec<String> {
        let table = self.table.borrow();
        let mut pools = table.queues.get(queue).map_or_else(Vec::new, |e| e.pools().to_vec());
        if !pools.iter().any(|known| known == pool) {
            pools.push(pool.to_owned());
        }
        pools
    }

    /// The workers of a pool.
    pub fn workers_of(&self, pool: &str) -> Vec<corianderfork_jobs::worker::Registration> {
        let servers = self.servers.borrow();
        servers.values().filter(|s| s.pool == pool).map(|s| s.entry.clone()).collect()
    }
}
