//! The actor that transfers the shared records from the store to the hub.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderfork_coord::backoff;
use corianderfork_model::{Name, Time};
use corianderfork_provider::key;
use corianderfork_provider::record::Role;
use corianderfork_provider::store::Store;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::sync::{self, Outcome, Update};
use corianderfork_runtime::timer::{Service, Tick};
use stakker::{Actor, CX, call, fwd_to};

use crate::gossip;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::membership::StoreAccess;
use crate::watch;

/// How long after the store is reachable again peers are notified of newer revisions at
/// once: longer than the longest backoff of a reader.
const RECOVERY_PERIOD: Duration = Duration::from_secs(1);
/// The interval between two comparisons of the watched groups with the known VMs.
const GROUP_INTERVAL: Duration = Duration::from_secs(1);
/// The longest duration of a watch of one group; each reader draws its own, at least half of
/// this. All watches are sent at once after an outage, and would end at once as well. Silent
/// connections are noticed by the shorter watches of the other readers.
const GROUP_WAIT: Duration = Duration::from_secs(10);
/// The waits of the readers of groups after failures. They are woken when another reader
/// of this process reaches the store again.
const GROUP_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));

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
/// One thread watches all shared records, another one only the drain requests. Because a
/// write answers all watches that wait for its key, others watch only the drain requests of
/// a few VMs each, and one only the configuration: see [`watch`].
///
/// After an outage, the first process that reaches the store notifies all others with its
/// first update. With only one process watching, a write between two of its watches would
/// be seen by none.
pub struct Feed {
    hub: Rc<Hub>,
    gossip: Inbox<gossip::Message>,
    group_store: Arc<dyn Store>,
    group_port: Port<Update>,
    /// The readers of all records and of all drain requests.
    readers: Vec<sync::Handle>,
    /// The VMs and proxies for which the groups were selected.
    known: (Vec<Name>, Vec<Name>),
    /// The readers of groups, by their prefixes.
    groups: BTreeMap<String, sync::Handle>,
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
        timer: Actor<Service>,
    ) -> Option<Self> {
        let all = fwd_to!([cx], on_update() as (Update));
        let drains = fwd_to!([cx], on_drain_update() as (Update));
        let config = sync::Config::default;
        let readers = [
            (access.watch_store, config(), all),
            (access.drain_watch_store, config().prefix(key::DRAINS), drains),
        ];
        let mut handles = Vec::new();
        for (store, config, fwd) in readers {
            let port = Port::open(cx, access.handle.clone(), fwd);
            let waker = hub.waker.clone();
            match sync::start(store, config, clock::seed(), waker, port) {
                Ok(handle) => handles.push(handle),
                Err(error) => {
                    handles.iter().for_each(sync::Handle::stop);
                    cx.fail(error);
                    return None;
                }
            }
        }
        let group_updates = fwd_to!([cx], on_group_update() as (Update));
        let group_port = Port::open(cx, access.handle, group_updates);
        let tick = fwd_to!([cx], on_tick() as (Tick));
        call!([timer], subscribe(GROUP_INTERVAL, tick));
        Some(Self {
            hub,
            gossip,
            group_store: access.group_watch_store,
            group_port,
            readers: handles,
            known: (Vec::new(), Vec::new()),
            groups: BTreeMap::new(),
            is_failing: false,
            drains_failing: false,
            recovered_at: None,
        })
    }

    /// Starts and stops readers of groups after VMs or proxies have changed.
    fn on_tick(&mut self, _: CX![], _: Tick) {
        let known = self.known();
        if known == self.known {
            return;
        }
        let (vms, proxies) = &known;
        let me = self.hub.me().name;
        let mut prefixes = watch::drain_prefixes(
            vms.iter().map(Name::as_str),
            proxies.iter().map(Name::as_str),
            me.as_str(),
        );
        prefixes.insert(key::CONFIG.to_owned());
        self.groups.retain(|prefix, reader| {
            let is_kept = prefixes.contains(prefix);
            if !is_kept {
                reader.stop();
            }
            is_kept
        });
        for prefix in prefixes {
            if !self.groups.contains_key(&prefix) {
                self.start_group(prefix);
            }
        }
        self.known = known;
    }

    /// Returns the known VMs, and the proxies including this one.
    ///
    /// Proxies whose records expired in an outage still count, or all groups would move when
    /// the store returns.
    fn known(&self) -> (Vec<Name>, Vec<Name>) {
        let vms = self.hub.view.borrow().vms().cloned().collect();
        let members = self.hub.members.borrow();
        let proxies = members.listed().filter(|member| member.role == Role::Proxy);
        let me = members.me().name.clone();
        let proxies: BTreeSet<Name> =
            proxies.map(|member| member.name.clone()).chain([me]).collect();
        (vms, proxies.into_iter().collect())
    }

    fn start_group(&mut self, prefix: String) {
        let (first, max) = GROUP_BACKOFF;
        let backoff = backoff::Config::new().first(first).max(max);
        let seed = clock::seed();
        let wait = GROUP_WAIT / 2 + backoff::spread(seed, GROUP_WAIT / 2);
        let config = sync::Config::default().prefix(&prefix).wait(wait).backoff(backoff);
        let config = config.wake_on_recovery_only();
        let (store, waker) = (self.group_store.clone(), self.hub.waker.clone());
        match sync::start(store, config, seed, waker, self.group_port.clone()) {
            Ok(reader) => drop(self.groups.insert(prefix, reader)),
            Err(error) => ::log::error!("failed to watch {prefix} apart: {error}"),
        }
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
                self.hub.on_store_failure();
                return;
            }
            _ => return,
        }
        self.hub.on_store_response(sent);
        if std::mem::take(&mut self.is_failing) {
            ::log::info!("the platform's store answers again");
            self.on_recovery();
        }
        self.notify_readers(revision);
    }

    fn on_drain_update(&mut self, _: CX![], update: Update) {
        let sent = self.to_time(update.sent);
        self.observe_gap("drains", update.gap);
        let revision = revision(&update.outcome);
        match update.outcome {
            Outcome::Snapshot(range) => self.hub.on_partial_range(&range.entries),
            Outcome::Changes(changes) => self.hub.on_partial_changes(&changes),
            // The reader of all records logs the error.
            _ => {
                self.drains_failing = true;
                self.hub.on_store_failure();
                return;
            }
        }
        self.hub.on_store_response(sent);
        if std::mem::take(&mut self.drains_failing) {
            self.on_recovery();
        }
        self.notify_readers(revision);
    }

    /// Applies an update of the drain requests of few VMs, or of the configuration. It proves
    /// nothing about the drains of other VMs, so it doesn't count as contact, which ends the
    /// withdrawn drains of all.
    fn on_group_update(&mut self, _: CX![], update: Update) {
        self.observe_gap("group", update.gap);
        let revision = revision(&update.outcome);
        match update.outcome {
            Outcome::Snapshot(range) => self.hub.on_partial_range(&range.entries),
            Outcome::Changes(changes) => self.hub.on_partial_changes(&changes),
            // The reader of all records logs the error.
            _ => return,
        }
        self.notify_readers(revision);
    }

    fn on_recovery(&mut self) {
        self.recovered_at = Some(Instant::now());
        self.hub.waker.wake_recovered();
    }

    /// Wakes the other readers, and after an outage notifies the peers of each newer
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

impl Drop for Feed {
    fn drop(&mut self) {
        // A restarted feed starts its own readers.
        self.readers.iter().chain(self.groups.values()).for_each(sync::Handle::stop);
    }
}
