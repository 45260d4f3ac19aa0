//! What the core tells the threads of the data path.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use corianderfork_model::service::Class;
use corianderfork_model::{Name, Time};
use corianderfork_provider::record::Holder;
use corianderfork_runtime::clock::Monotonic;

use crate::exchange::Client;
use crate::gate::Gate;
use crate::metrics::Metrics;

/// How long the core's word that this process is in touch holds. A process
/// that was paused wakes with all its threads at once; the word of the core
/// from before the pause must not count until the core has looked again.
pub const WORD: Duration = Duration::from_secs(1);

/// What the configuration and the records say, for the data path.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// The class of each service.
    pub services: HashMap<Name, Class>,
    /// The owner of each shard of claims that has one.
    pub owners: HashMap<u32, Holder>,
    /// The revision of the configuration; 0 before the first.
    pub config_revision: u64,
}

/// Shared by the core, the data path and the handler of peers' messages.
#[derive(Debug)]
pub struct Shared {
    /// The clock of all decisions.
    pub clock: Monotonic,
    /// Who gets a slot.
    pub gate: Gate,
    /// Calls to backend servers.
    pub client: Client,
    /// Counts of what happened.
    pub metrics: Metrics,
    directory: RwLock<Arc<Directory>>,
    in_touch_until: AtomicU64,
    stopping: AtomicBool,
    closed: AtomicBool,
    in_flight: AtomicUsize,
}

impl Shared {
    /// Nothing is known yet.
    pub fn new(clock: Monotonic, gate: Gate, client: Client, metrics: Metrics) -> Self {
        Self {
            clock,
            gate,
            client,
            metrics,
            directory: RwLock::default(),
            in_touch_until: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// What is known now.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces what is known.
    pub fn publish(&self, directory: Directory) {
        let mut place = self.directory.write().unwrap_or_else(PoisonError::into_inner);
        *place = Arc::new(directory);
    }

    /// The core says that this process is in touch for [`WORD`] from `now` on.
    pub fn set_in_touch(&self, now: Time) {
        self.in_touch_until.store((now + WORD).as_millis(), Ordering::SeqCst);
    }

    /// Whether this process may act on its views.
    pub fn in_touch(&self) -> bool {
        self.clock.now().as_millis() < self.in_touch_until.load(Ordering::SeqCst)
    }

    /// The process is stopping: it fails its readiness and answers on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// No new request is taken any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether no new request is taken any more.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Requests taken in and not answered yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    /// Why the process is not ready, or `None` if it is.
    pub fn not_ready(&self) -> Option<String> {
        if self.is_stopping() {
            return Some("stopping; use another entry VM".to_owned());
        }
        if self.directory().config_revision == 0 {
            let why = "no configuration from the platform's store or a peer yet; check their \
                       addresses, and apply a configuration if there is none";
            return Some(why.to_owned());
        }
        (!self.in_touch()).then(|| {
            "cut off from the platform's store and from most peers; check this VM's network"
                .to_owned()
        })
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
