//! The actor that brings the shared records from the store into the hub.

use std::rc::Rc;
use std::time::{Duration, Instant};

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, News, Update};
use stakker::{CX, fwd_to};

use crate::hub::Hub;
use crate::membership::Means;

/// Applies what the threads that watch the store learned.
///
/// One watches all shared records, another one the drains alone. All watches that wait are
/// answered by the same write, and whatever is written until they are asked again is heard
/// of later. If the store goes down within that time, an accepted drain has reached no
/// process and the VM gets requests for the whole outage. With two readers, whose calls take
/// different times, a watch is seldom missing on all entry VMs at once.
pub struct Feed {
    hub: Rc<Hub>,
    failing: bool,
}

impl Feed {
    /// Starts the threads that watch.
    pub fn init(cx: CX![], hub: Rc<Hub>, means: Means) -> Option<Self> {
        let all = fwd_to!([cx], learned() as (Update));
        let drains = fwd_to!([cx], learned_drains() as (Update));
        let config = sync::Config::default;
        let readers = [
            (means.watched, config(), all),
            (means.watched_drains, config().prefix(key::DRAINS), drains),
        ];
        for (store, config, fwd) in readers {
            let port = Port::open(cx, means.handle.clone(), fwd);
            let waker = hub.waker.clone();
            if let Err(error) = sync::start(store, config, clock::seed(), waker, port) {
                cx.fail(error);
                return None;
            }
        }
        Some(Self { hub, failing: false })
    }

    fn learned(&mut self, _: CX![], update: Update) {
        let sent = self.time_of(update.sent);
        self.observe_gap("all", update.gap);
        match update.news {
            News::Whole(range) => self.hub.on_range(sent, &range),
            News::Changes(changes) => self.hub.on_changes(sent, &changes),
            News::Failed(error) => {
                if !self.failing {
                    ::log::warn!("the platform's store does not answer: {error}");
                }
                self.failing = true;
                return;
            }
            _ => return,
        }
        if std::mem::take(&mut self.failing) {
            ::log::info!("the platform's store answers again");
        }
    }

    fn learned_drains(&mut self, _: CX![], update: Update) {
        self.observe_gap("drains", update.gap);
        match update.news {
            News::Whole(range) => self.hub.on_drains(&range.entries),
            News::Changes(changes) => self.hub.on_drain_changes(&changes),
            // The reader of all records tells of it.
            _ => {}
        }
    }

    fn observe_gap(&self, keys: &str, gap: Option<Duration>) {
        if let Some(gap) = gap {
            let metrics = &self.hub.shared.metrics;
            metrics.watch_gap.with_label_values(&[keys]).observe(gap.as_secs_f64());
        }
    }

    fn time_of(&self, sent: Instant) -> Time {
        let now = self.hub.shared.clock.now();
        let ago = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(now.as_millis().saturating_sub(ago))
    }
}
