//! The actor that brings the shared records from the store into the hub.

use std::rc::Rc;
use std::time::{Duration, Instant};

use corianderfork_model::Time;
use corianderfork_provider::key;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, News, Update};
use stakker::{CX, fwd_to};

use crate::gossip;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::membership::Means;

/// How long after its return peers are told at once that the store is back: longer than the
/// longest wait of a reader.
const RETURNING: Duration = Duration::from_secs(1);

/// The revision of the store up to which news is complete.
fn revision(news: &News) -> u64 {
    match news {
        News::Whole(range) => range.revision.0,
        News::Changes(changes) => changes.revision.0,
        _ => 0,
    }
}

/// Applies what the threads that watch the store learned.
///
/// One watches all shared records, another one the drains alone. All watches that wait are
/// answered by the same write, and whatever is written until they are asked again is heard
/// of later. If the store goes down within that time, an accepted drain has reached no
/// process and the VM gets requests for the whole outage. With two readers, whose calls take
/// different times, a watch is seldom missing on all entry VMs at once.
///
/// After an outage the first process that reaches the store tells all others at once with
/// the first news: were it alone, what is written between two of its watches would be heard
/// by nobody.
pub struct Feed {
    hub: Rc<Hub>,
    gossip: Inbox<gossip::Message>,
    failing: bool,
    /// Whether the reader of drains fails.
    failing_drains: bool,
    /// When a reader last reached the store after a failure.
    returned: Option<Instant>,
}

impl Feed {
    /// Starts the threads that watch.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        means: Means,
        gossip: Inbox<gossip::Message>,
    ) -> Option<Self> {
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
        let (failing, failing_drains, returned) = (false, false, None);
        Some(Self { hub, gossip, failing, failing_drains, returned })
    }

    fn learned(&mut self, _: CX![], update: Update) {
        let sent = self.time_of(update.sent);
        self.observe_gap("all", update.gap);
        let revision = revision(&update.news);
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
            self.returned = Some(Instant::now());
        }
        self.pass_on(revision);
    }

    fn learned_drains(&mut self, _: CX![], update: Update) {
        self.observe_gap("drains", update.gap);
        let revision = revision(&update.news);
        match update.news {
            News::Whole(range) => self.hub.on_drains(&range.entries),
            News::Changes(changes) => self.hub.on_drain_changes(&changes),
            // The reader of all records logs it.
            _ => {
                self.failing_drains = true;
                return;
            }
        }
        if std::mem::take(&mut self.failing_drains) {
            self.returned = Some(Instant::now());
        }
        self.pass_on(revision);
    }

    /// Wakes the other reader, and after an outage the peers' with each newer revision.
    fn pass_on(&self, revision: u64) {
        let is_news = self.hub.waker.wake(revision);
        if is_news && self.returned.is_some_and(|at| at.elapsed() < RETURNING) {
            // Gossip that is being started anew tells them a moment later.
            let _ = self.gossip.send(gossip::Message::Returned);
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
