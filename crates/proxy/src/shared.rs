//! State shared by the core and the threads of the data path.

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

/// How long a report of the core that this process is in touch stays valid. A paused
/// process resumes with all its threads at once, and a report from before the pause must
/// not count until the core has checked again.
pub const IN_TOUCH_TTL: Duration = Duration::from_secs(1);

/// The part of the configuration and the records that the data path needs.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// The class of each service.
    pub services: HashMap<Name, Class>,
    /// The owners of claim shards; shards without an owner are missing.
    pub owners: HashMap<u32, Holder>,
    /// The revision of the configuration; 0 before the first.
    pub config_revision: u64,
}

/// State shared by the core, the data path and the handler of peers' requests.
#[derive(Debug)]
pub struct Shared {
    /// The clock used for all decisions.
    pub clock: Monotonic,
    /// The gate, which grants slots of runners.
    pub gate: Gate,
    /// The client for backend servers.
    pub client: Client,
    /// The metrics.
    pub metrics: Metrics,
    directory: RwLock<Arc<Directory>>,
    in_touch_until: AtomicU64,
    stopping: AtomicBool,
    refusing_new: AtomicBool,
    in_flight: AtomicUsize,
}

impl Shared {
    /// Creates the state with an empty directory.
    pub fn new(clock: Monotonic, gate: Gate, client: Client, metrics: Metrics) -> Self {
        Self {
            clock,
            gate,
            client,
            metrics,
            directory: RwLock::default(),
            in_touch_until: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            refusing_new: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Returns the current directory.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the directory.
    pub fn publish(&self, directory: Directory) {
        let mut current = self.directory.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(directory);
    }

    /// Records that this process is in touch for [`IN_TOUCH_TTL`] from `now` on.
    pub fn set_in_touch(&self, now: Time) {
        self.in_touch_until.store((now + IN_TOUCH_TTL).as_millis(), Ordering::SeqCst);
    }

    /// Returns whether this process is in touch with the store or a majority of the
    /// members, so that it may act on its views.
    pub fn in_touch(&self) -> bool {
        self.clock.now().as_millis() < self.in_touch_until.load(Ordering::SeqCst)
    }

    /// Marks the process as stopping: its readiness check fails, but it still serves
    /// requests.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub fn refuse_new(&self) {
        self.refusing_new.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing_new(&self) -> bool {
        self.refusing_new.load(Ordering::SeqCst)
    }

    /// Returns the number of requests received and not yet answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    /// Returns why the process is not ready, or `None` if it is.
    pub fn unready_reason(&self) -> Option<String> {
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

/// Guard that counts a request as in flight.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
