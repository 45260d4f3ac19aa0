//! The actor that transfers the shared records from the store to the hub.

use std::rc::Rc;
use std::time::{Duration, Instant};

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, Outcome, Update};
use stakker::{CX, fwd_to};

use crate::gossip;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::membership::StoreAccess;

/// How long after the store is reachable again peers are notified of newer revisions at
/// once: longer than the longest backoff of a reader.
const RECOVERY_PERIOD: Duration = Duration::from_secs(1);

/// Returns the store revision up to which `outcome` is complete; 0 if the read failed.
fn revision(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Snapshot(range) => range.revision.0,
        Outcome::Changes(changes) => changes.revision.0,
        _ => 0,
    }
}

/// Applies the updates of the threads that watch the store.
///
/// One thread watches all shared records, another one only the drain requests. One write
/// answers all waiting watches, and a later write is seen only once they are sent again.
/// If the store goes down in between, an accepted drain has reached no process, and its
/// VM gets requests for the whole outage. With two readers, whose calls take different
/// times, a watch is rarely missing on all entry VMs at once.
///
/// After an outage, the first process that reaches the store notifies all others with its
/// first update. With only one process watching, a write between two of its watches would
/// be seen by none.
pub struct Feed {
    hub: Rc<Hub>,
    gossip: Inbox<gossip::Message>,
    is_failing: bool,
    /// Whether the reader of drain requests fails.
    drains_failing: bool,
    /// When a reader last reached the store again after a failure.
    recovered_at: Option<Instant>,
}

impl Feed {
    /// Starts the reader threads.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        access: StoreAccess,
        gossip: Inbox<gossip::Message>,
    ) -> Option<Self> {
        let all = fwd_to!([cx], on_update() as (Update));
        let drains = fwd_to!([cx], on_drain_update() as (Update));
        let config = sync::Config::default;
        let readers = [
            (access.watch_store, config(), all),
            (access.drain_watch_store, config().prefix(key::DRAINS), drains),
        ];
        for (store, config, fwd) in readers {
            let port = Port::open(cx, access.handle.clone(), fwd);
            let waker = hub.waker.clone();
            if let Err(error) = sync::start(store, config, clock::seed(), waker, port) {
                cx.fail(error);
                return None;
            }
        }
        let (is_failing, drains_failing, recovered_at) = (false, false, None);
        Some(Self { hub, gossip, is_failing, drains_failing, recovered_at })
    }

    fn on_update(&mut self, _: CX![], update: Update) {
        let sent = self.to_time(update.sent);
        self.observe_gap("all", update.gap);
        let revision = revision(&update.outcome);
        match update.outcome {
            Outcome::Snapshot(range) => self.hub.on_range(sent, &range),
            Outcome::Changes(changes) => self.hub.on_changes(sent, &changes),
            Outcome::Failed(error) => {
                if !self.is_failing {
                    ::log::warn!("the platform's store does not answer: {error}");
                }
                self.is_failing = true;
                return;
            }
            _ => return,
        }
        if std::mem::take(&mut self.is_failing) {
            ::log::info!("the platform's store answers again");
            self.recovered_at = Some(Instant::now());
        }
        self.notify_readers(revision);
    }

    fn on_drain_update(&mut self, _: CX![], update: Update) {
        self.observe_gap("drains", update.gap);
        let revision = revision(&update.outcome);
        match update.outcome {
            Outcome::Snapshot(range) => self.hub.on_drains(&range.entries),
            Outcome::Changes(changes) => self.hub.on_drain_changes(&changes),
            // The reader of all records logs the error.
            _ => {
                self.drains_failing = true;
                return;
            }
        }
        if std::mem::take(&mut self.drains_failing) {
            self.recovered_at = Some(Instant::now());
        }
        self.notify_readers(revision);
    }

    /// Wakes the other reader, and after an outage notifies the peers of each newer
    /// revision.
    fn notify_readers(&self, revision: u64) {
        let is_newer = self.hub.waker.wake(revision);
        if is_newer && self.recovered_at.is_some_and(|at| at.elapsed() < RECOVERY_PERIOD) {
            // If gossip is restarting, its next round informs them.
            let _ = self.gossip.send(gossip::Message::StoreReturned);
        }
    }

    fn observe_gap(&self, keys: &str, gap: Option<Duration>) {
        if let Some(gap) = gap {
            let metrics = &self.hub.shared.metrics;
            metrics.watch_gap.with_label_values(&[keys]).observe(gap.as_secs_f64());
        }
    }

    fn to_time(&self, sent: Instant) -> Time {
        let now = self.hub.shared.clock.now();
        let ago = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(now.as_millis().saturating_sub(ago))
    }
}
