//! Drain barriers: decide when no proxy has a request in flight on a draining
//! VM.
//!
//! A VM is released for its reboot only when every live proxy has acknowledged
//! this drain: it sends no new work to the VM and has none in flight there. A
//! proxy that is frozen or gone never acknowledges. For such a proxy the
//! barrier relies on time: a proxy that is out of touch for the isolation limit
//! stops sending, and its last requests end within the request deadline.
//!
//! The wait counts from the later of the last contact and the start of the
//! drain. Until then the proxy may have read the platform's service before the
//! drain was written, and may have sent work on that basis. The wait is also
//! only sufficient if the proxy cannot be in touch with a majority of the
//! members that it knows ([`Peer::cut_off`]); otherwise a partition between
//! only the controller and that proxy would release a VM to which the proxy
//! still sends.
//!
//! A new incarnation of a proxy has to acknowledge again. While the service is
//! down, it may have its view from a peer that had not heard of the drain, so
//! the acknowledgement of the previous incarnation does not bind it. Requests
//! that a previous incarnation sent without an acknowledgement can still be
//! running after its death, so the request deadline has to pass first.
//!
//! This process may not have seen the previous incarnation: a controller that
//! takes over a drain may know only the current one. The acknowledgement of the
//! current incarnation says nothing about requests of the previous one, and a
//! VM released on it alone would be rebooted while they run. Therefore every
//! incarnation except the first of its name is assumed to have had a
//! predecessor until it has been known ([`Barrier::set_known_since`]) for the
//! request deadline.
//!
//! ```
//! use corianderfork_coord::drain::{Barrier, Config, Status};
//! use corianderfork_coord::member::{Identity, Peer};
//! use corianderfork_model::{Name, Time};
//!
//! let proxy = Identity::new(Name::new("entry-1")?, 1);
//! let peer = Peer { member: proxy.clone(), last_contact: Time::ZERO, cut_off: false };
//! let mut barrier = Barrier::new(Config::new(), Name::new("vm-7")?, 3, Time::ZERO);
//! assert!(matches!(barrier.status(Time::ZERO, &[peer.clone()]), Status::Waiting(_)));
//! barrier.on_ack(&proxy, 3);
//! assert_eq!(barrier.status(Time::ZERO, &[peer]), Status::Clear);
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::{Name, Time};

use crate::member::{Identity, Peer};

/// The incarnation that has no predecessor. If incarnations are start times, no
/// process has this one.
const FIRST_INCARNATION: u64 = 1;

/// How long a barrier waits for a silent proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    isolation_limit: Duration,
    request_deadline: Duration,
}

impl Default for Config {
    fn default() -> Self {
        let limit = Duration::from_secs(10);
        Self { isolation_limit: limit, request_deadline: Duration::from_secs(30) }
    }
}

impl Config {
    /// Returns the defaults: an isolation limit of 10 s and a request deadline
    /// of 30 s.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a proxy acts without being in touch. It must equal the
    /// limit that the members use.
    #[must_use]
    pub fn isolation_limit(mut self, limit: Duration) -> Self {
        self.isolation_limit = limit;
        self
    }

    /// Sets the longest time from the first byte of a request to its end.
    #[must_use]
    pub fn request_deadline(mut self, deadline: Duration) -> Self {
        self.request_deadline = deadline;
        self
    }
}

/// Why a VM cannot be released yet because of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// The proxy is in contact but has not acknowledged the drain.
    NoAck,
    /// The proxy is silent, and the time after which its requests have ended is
    /// not over.
    Silent {
        /// When that time is over.
        until: Time,
    },
    /// The proxy has been silent for long enough, but may be in touch with
    /// other members.
    MaybeInTouch,
    /// The previous incarnation of the proxy may have ended without an
    /// acknowledgement.
    EarlierIncarnation {
        /// When the last request of the previous incarnation has ended.
        until: Time,
    },
}

/// A proxy that blocks the release, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The proxy.
    pub proxy: Identity,
    /// The reason.
    pub reason: Reason,
}

/// Whether a VM may be released.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Status {
    /// Nothing is in flight on the VM.
    Clear,
    /// Something may be in flight.
    Waiting(Vec<Wait>),
}

#[derive(Clone, Copy, Debug)]
struct ProxyState {
    incarnation: u64,
    acked: bool,
    /// When the last request that a previous incarnation sent without an
    /// acknowledgement has ended.
    predecessor_until: Option<Time>,
}

/// The barrier of one drain of one VM.
#[derive(Clone, Debug)]
pub struct Barrier {
    config: Config,
    vm: Name,
    epoch: u64,
    started: Time,
    proxies: BTreeMap<Name, ProxyState>,
    /// The latest incarnation of each proxy that acknowledged the drain, which
    /// may not be listed yet.
    acks: BTreeMap<Name, u64>,
    /// When each incarnation was first known.
    known_since: BTreeMap<Identity, Time>,
}

impl Barrier {
    /// Creates the barrier for the drain `epoch` of `vm`. `started` is when
    /// this process learned that the drain was written. A controller that takes
    /// over the drain starts the wait again, which only makes it longer.
    pub fn new(config: Config, vm: Name, epoch: u64, started: Time) -> Self {
        let (proxies, acks, known_since) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { config, vm, epoch, started, proxies, acks, known_since }
    }

    /// Returns the VM.
    pub fn vm(&self) -> &Name {
        &self.vm
    }

    /// Returns the epoch of the drain.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records that `proxy` sends no new work to the VM and has none in flight
    /// there, as of the drain `epoch`. Acknowledgements of other drains are
    /// ignored, because the VM served requests between two drains.
    pub fn on_ack(&mut self, proxy: &Identity, epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        let latest = self.acks.entry(proxy.name.clone()).or_default();
        *latest = proxy.incarnation.max(*latest);
    }

    /// Records that this process has known `proxy` since `since`, which means
    /// that its previous incarnation had ended by then. The first call for an
    /// incarnation wins. Call this before the first [`Barrier::status`] that
    /// includes the proxy; otherwise the proxy counts as known since that call.
    ///
    /// ```
    /// use corianderfork_coord::drain::{Barrier, Config, Status};
    /// use corianderfork_coord::member::{Identity, Peer};
    /// use corianderfork_model::{Name, Time};
    ///
    /// // The incarnation is a start time, in milliseconds since the Unix epoch.
    /// let proxy = Identity::new(Name::new("entry-1")?, 1_760_000_000_000);
    /// let now = Time::from_millis(31_000);
    /// let peer = Peer { member: proxy.clone(), last_contact: now, cut_off: false };
    /// let mut barrier = Barrier::new(Config::new(), Name::new("vm-7")?, 3, now);
    /// barrier.on_ack(&proxy, 3);
    /// let mut informed = barrier.clone();
    /// informed.set_known_since(&proxy, Time::from_millis(1_000));
    /// assert!(matches!(barrier.status(now, &[peer.clone()]), Status::Waiting(_)));
    /// assert_eq!(informed.status(now, &[peer]), Status::Clear);
    /// # Ok::<(), corianderfork_model::name::Error>(())
    /// ```
    pub fn set_known_since(&mut self, proxy: &Identity, since: Time) {
        self.known_since.entry(proxy.clone()).or_insert(since);
    }

    /// Returns whether the VM may be released, where `proxies` are the live
    /// proxies, without those that have ended.
    pub fn status(&mut self, now: Time, proxies: &[Peer]) -> Status {
        let waits: Vec<Wait> = proxies.iter().filter_map(|peer| self.wait_for(now, peer)).collect();
        if waits.is_empty() { Status::Clear } else { Status::Waiting(waits) }
    }

    fn wait_for(&mut self, now: Time, peer: &Peer) -> Option<Wait> {
        let state = self.update_proxy(now, &peer.member);
        let reason = self.reason(now, peer, state)?;
        Some(Wait { proxy: peer.member.clone(), reason })
    }

    fn update_proxy(&mut self, now: Time, member: &Identity) -> ProxyState {
        let incarnation = member.incarnation;
        let acked = self.acks.get(&member.name) == Some(&incarnation);
        let new = ProxyState { incarnation, acked, predecessor_until: None };
        let since = self.known_since.get(member).copied().unwrap_or(now);
        let predecessor_until =
            (incarnation > FIRST_INCARNATION).then(|| since + self.config.request_deadline);
        let initial = ProxyState { predecessor_until, ..new };
        let state = self.proxies.entry(member.name.clone()).or_insert(initial);
        if incarnation > state.incarnation {
            let ended = now + self.config.request_deadline;
            let predecessor_until = if state.acked { state.predecessor_until } else { Some(ended) };
            *state = ProxyState { predecessor_until, ..new };
        }
        state.acked |= acked && state.incarnation == incarnation;
        *state
    }

    fn reason(&self, now: Time, peer: &Peer, state: ProxyState) -> Option<Reason> {
        if let Some(until) = state.predecessor_until.filter(|&until| now < until) {
            return Some(Reason::EarlierIncarnation { until });
        }
        if state.acked {
            return None;
        }
        let silent_since = peer.last_contact.max(self.started);
        if now - silent_since <= self.config.isolation_limit {
            return Some(Reason::NoAck);
        }
        let until = silent_since + self.config.isolation_limit + self.config.request_deadline;
        if now <= until {
            return Some(Reason::Silent { until });
        }
        (!peer.cut_off).then_some(Reason::MaybeInTouch)
    }
}
