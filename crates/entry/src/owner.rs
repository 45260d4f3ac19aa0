//! The owner of one pool's work: brings the pure [`Pool`] and the world together.

mod advise;
mod load;
mod predecessors;
mod workers;
mod write;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Config, Pool};
use corianderfork_jobs::worker;
use corianderfork_model::Time;
use serde_json::json;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::duty::Past;
use crate::lookup::{job_key, run_key};
use crate::node::{Granted, Node};
use crate::peer::{Ask, Reply};
use crate::predecessor::Tracker;

/// The prefix of where a pool's workers are.
const ROSTERS: &str = "roster/";
/// The prefix of the number of an owner's last write.
const WRITES: &str = "write/";

/// How long a lease on a worker is: longer than a takeover takes, so that what
/// runs survives the death of an owner, and no longer, since the tasks of a
/// worker that falls silent wait for it.
const LEASE: Duration = Duration::from_millis(4_500);
/// How long a cancelling caller waits for the write.
const CANCEL: Duration = Duration::from_millis(2_200);
/// How long a worker stays vacated after the planner last asked.
const VACATE: Duration = Duration::from_millis(2_500);

/// How long workers are expected after the planner last said so.
const EXPECTED: Duration = Duration::from_millis(500);

/// Owns the work of a pool.
pub struct Owner {
    node: Rc<Node>,
    name: String,
    /// What is known and decided.
    pub pool: RefCell<Pool>,
    /// Those that owned the pool before.
    predecessors: RefCell<Tracker>,
    /// Told when there is something to plan for.
    pub wake: Notify,
    /// Whether the list of workers changed.
    pub list_changed: Cell<bool>,
    journal: Notify,
    /// Whether nothing is ordered or asked any more, only written.
    halted: Cell<bool>,
    /// Whether all is to be written, however fresh.
    flushing: Cell<bool>,
    loaded: Cell<bool>,
    retired: Cell<bool>,
    looking: RefCell<HashSet<worker::Key>>,
    /// Entry VMs by way of which a question is under way.
    advising: RefCell<HashSet<advise::Adviser>>,
    /// Entry VMs by way of which no answer came, and until when they are left
    /// alone.
    silent: RefCell<HashMap<advise::Adviser, Time>>,
    waiting: RefCell<Vec<(JobId, oneshot::Sender<()>)>>,
    /// The revision of the last write's number.
    write_revision: Cell<u64>,
    writes: Cell<u64>,
    /// Jobs taken in.
    taken: Cell<usize>,
}

impl Owner {
    /// Begins to own the work of the pool `name`, with `fence`.
    pub fn start(node: &Rc<Node>, name: &str, fence: u64, past: Past) -> Rc<Self> {
        let lease = LEASE.min(node.settings.max_lease);
        let remember = node.settings.remember + Duration::from_secs(5);
        let now = clock::now();
        let Past { formers, is_complete, may_grant } = past;
        let mut predecessors = Tracker::new(now, formers, is_complete, lease);
        // This process has no other owner of the pool.
        predecessors.end(now, &node.process());
        node.granted.borrow_mut().remove(name);
        let config = Config::new(fence, now + may_grant + worker::max_lease_duration(lease))
            .lease(lease)
            .remember(remember)
            .remote_factor(node.settings.remote);
        let owner = Rc::new(Self {
            node: node.clone(),
            name: name.to_owned(),
            pool: RefCell::new(Pool::new(config)),
            predecessors: RefCell::new(predecessors),
            wake: Notify::new(),
            list_changed: Cell::new(true),
            journal: Notify::new(),
            halted: Cell::new(false),
            flushing: Cell::new(false),
            loaded: Cell::new(false),
            retired: Cell::new(false),
            looking: RefCell::default(),
            advising: RefCell::default(),
            silent: RefCell::default(),
            waiting: RefCell::default(),
            write_revision: Cell::new(0),
            writes: Cell::new(0),
            taken: Cell::new(0),
        });
        spawn_local(owner.clone().run());
        owner
    }

    /// Whether it has read what was accepted before.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get() && !self.retired.get()
    }

    /// The fence.
    pub fn fence(&self) -> u64 {
        self.pool.borrow().fence()
    }

    /// Whether it gives no more orders.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Gives no more orders.
    pub fn retire(&self, why: &str) {
        if !self.retired.replace(true) {
            self.node
                .trace
                .line("duty left", json!({ "duty": self.name, "fence": self.fence(), "why": why }));
            let at = clock::now();
            if let Some(left_ms) = self.pool.borrow().granted_leases(at) {
                let granted = Granted { fence: self.fence(), at, left_ms };
                self.node.granted.borrow_mut().insert(self.name.clone(), granted);
            }
            self.wake.notify_one();
            self.journal.notify_one();
        }
    }

    async fn run(self: Rc<Self>) {
        let begun = clock::now();
        self.load().await;
        if self.retired.get() {
            return;
        }
        self.loaded.set(true);
        self.node.trace.key(
            "duty begun",
            json!({ "duty": self.name, "fence": self.fence(), "jobs": self.taken.get(),
                "took_ms": ms(clock::now() - begun) }),
        );
        spawn_local(self.clone().follow_predecessors());
        spawn_local(self.clone().write_loop());
        spawn_local(self.clone().follow_jobs());
        self.plan_loop().await;
    }

    /// Answers a peer, or this process itself.
    pub async fn answer(&self, ask: Ask) -> Reply {
        match ask {
            Ask::Accepted { id, record, revision, .. } => {
                if let Ok(id) = id.parse() {
                    self.accept(id, &record, None, revision);
                }
                Reply::Done
            }
            Ask::State { id, .. } => self.state(&id),
            Ask::Cancel { id, .. } => self.cancel(&id).await,
            // An owner that may have been replaced doesn't hear of new jobs: its
            // count would say that none wait while its successor has hundreds. Nor
            // does it hear of tasks that its successor started on workers it names empty.
            Ask::Queued { .. } | Ask::Vacate { .. } | Ask::Shrink { .. } if !self.is_sure() => {
                Reply::NotOwner
            }
            Ask::Queued { queue, .. } => {
                Reply::Queued { jobs: self.pool.borrow().queued_jobs(&queue) }
            }
            Ask::Vacate { workers, .. } => {
                let now = clock::now();
                let mut pool = self.pool.borrow_mut();
                let is_empty = |id: &String| pool.vacate(now, id, VACATE) == Some(true);
                let empty = workers.into_iter().filter(is_empty).collect();
                self.wake.notify_one();
                Reply::Vacated { empty }
            }
            Ask::Load { arrived, expects, .. } => {
                if expects {
                    self.node.expects_until.set(clock::now() + EXPECTED);
                }
                let pool = self.pool.borrow();
                let counted = arrived.into_iter().filter(|id| pool.is_counted(id)).collect();
                Reply::Load { load: pool.load(clock::now()), counted }
            }
            Ask::Shrink { keep, .. } => {
                let workers = self.pool.borrow_mut().shrink(clock::now(), keep, VACATE);
                self.wake.notify_one();
                Reply::Spare { workers }
            }
            Ask::Gone { workers, .. } => {
                for worker in &workers {
                    self.pool.borrow_mut().remove_gone_worker(clock::now(), worker);
                }
                self.wake.notify_one();
                Reply::Done
            }
            Ask::Retire { .. }
            | Ask::Advise { .. }
            | Ask::Unsure { .. }
            | Ask::Tried { .. }
            | Ask::Store { .. } => Reply::NotOwner,
        }
    }

    /// Whether the pool is still this owner's, as far as it can know.
    fn is_sure(&self) -> bool {
        self.node.is_sure_of(&self.name, self.fence())
    }

    /// Where a job stands. One whose end is decided and not known to be written is
    /// told as such: another entry VM may have read that end in the store and told it,
    /// and a caller would see a job that was completed run again.
    fn state(&self, id: &str) -> Reply {
        let Ok(id) = id.parse() else { return Reply::Unknown };
        let pool = self.pool.borrow();
        match pool.state(id) {
            Some(_) if pool.is_ending(id) => Reply::Ending,
            // An end that is written stays; of anything else one that may have been
            // replaced knows only what was. That the job was accepted stays true.
            Some(state) if !state.is_final() && !self.is_sure() => Reply::Known,
            Some(state) => Reply::State { state },
            None => Reply::Unknown,
        }
    }

    async fn cancel(&self, text: &str) -> Reply {
        let Ok(id) = text.parse::<JobId>() else { return Reply::Unknown };
        if self.pool.borrow().state(id).is_none() {
            // It may have been accepted a moment ago.
            match self.node.store.get(&job_key(&self.name, text)).await {
                Ok(Some(item)) => self.accept_item(&item.key, &item.value, None, item.revision),
                Ok(None) => {
                    if let Some(reply) = self.absence(id, text).await {
                        return reply;
                    }
                }
                Err(_) => return Reply::Later,
            }
        }
        self.pool.borrow_mut().cancel(clock::now(), id);
        let (told, written) = oneshot::channel();
        if self.pool.borrow().is_written(id) {
            return Reply::Done;
        }
        self.waiting.borrow_mut().push((id, told));
        self.wake.notify_one();
        self.journal.notify_one();
        // What runs is stopped all the same; the caller comes back for the word.
        if self.node.store.is_away() {
            return Reply::Later;
        }
        match timeout(CANCEL, written).await {
            Ok(Ok(())) => Reply::Done,
            _ => Reply::Later,
        }
    }

    /// What is told of a job that isn't known here and whose acceptance isn't in
    /// the store; nothing if it has become known.
    ///
    /// It may have become known and ended between the two looks, or another owner
    /// took over and ended it: then the store has how far it is.
    async fn absence(&self, id: JobId, text: &str) -> Option<Reply> {
        if self.pool.borrow().state(id).is_some() {
            return None;
        }
        let run = self.node.store.get(&run_key(&self.name, text)).await;
        match (run, self.pool.borrow().state(id)) {
            (_, Some(_)) => None,
            (Ok(None), None) => Some(Reply::Unknown),
            (Ok(Some(_)) | Err(_), None) => Some(Reply::Later),
        }
    }

    /// Ends for another holder with `fence`, unless that is an older one. Whether it has
    /// ended.
    pub fn give_way(&self, fence: u64) -> bool {
        if fence > self.fence() {
            self.retire("another holder says so");
        }
        self.retired.get()
    }
}

/// Milliseconds, for the log.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
