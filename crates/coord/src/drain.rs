//! When nothing of any proxy is in flight on a draining VM.
//!
//! A VM is released for its reboot only when every live proxy has said, for
//! this drain, that it sends it no new work and has none in flight there. A
//! proxy that is frozen or gone never says so; what stands in for its word is
//! time: one that is out of touch for the isolation limit stops sending, and
//! what it sent ends within the request deadline.
//!
//! The wait counts from the last contact or from the start of the drain,
//! whichever is later: until then the proxy may have read the platform's
//! service without knowing of the drain, and sent work on the strength of it.
//! It also takes that the proxy can't be in touch with a majority of its own
//! ([`Peer::cut_off`]); else a partition that parts only the controller from
//! it would free a VM that it still sends to.
//!
//! A new incarnation of a proxy acks anew. It may have its views from a peer
//! that had not heard of the drain while the service was down, so the word of
//! the earlier one doesn't bind it. What an earlier incarnation sent without
//! an ack can still be running after its death: the request deadline passes
//! first.
//!
//! That there was an earlier one need not have been seen here: a process that
//! takes a drain over may know the present incarnation alone. Its word says
//! nothing of what the earlier one sent, and a VM freed on it would be rebooted
//! under that work. So each incarnation but the first of its name counts as one
//! that had another before it, until it has been known ([`Barrier::set_known_since`])
//! for the request deadline.
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

/// The incarnation that none was before. Where incarnations are times, none has
/// it.
const FIRST: u64 = 1;

/// What stands in for the word of a silent proxy.
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
    /// An isolation limit of 10 s and a request deadline of 30 s.
    pub fn new() -> Self {
        Self::default()
    }

    /// How long a proxy acts without being in touch; the same as the
    /// members' own.
    #[must_use]
    pub fn isolation_limit(mut self, limit: Duration) -> Self {
        self.isolation_limit = limit;
        self
    }

    /// The longest time from the first byte of a request to its end.
    #[must_use]
    pub fn request_deadline(mut self, deadline: Duration) -> Self {
        self.request_deadline = deadline;
        self
    }
}

/// Why a VM isn't clear of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// It is heard of but has not acked.
    NoAck,
    /// It is silent, and the time that stands in for its word isn't over.
    Silent {
        /// When it will be.
        until: Time,
    },
    /// It is silent for long enough, but may be in touch with others.
    MaybeInTouch,
    /// Its earlier incarnation did not ack before it ended, as far as is known.
    EarlierIncarnation {
        /// When what that one sent has ended.
        until: Time,
    },
}

/// A proxy that is waited for, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The proxy.
    pub proxy: Identity,
    /// Why.
    pub reason: Reason,
}

/// Whether a VM may be released.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Status {
    /// Nothing is in flight there.
    Clear,
    /// Something may be.
    Waiting(Vec<Wait>),
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    acked: bool,
    /// When what an earlier incarnation sent without an ack has ended.
    earlier_until: Option<Time>,
}

/// The barrier of one drain of one VM.
#[derive(Clone, Debug)]
pub struct Barrier {
    config: Config,
    vm: Name,
    epoch: u64,
    started: Time,
    proxies: BTreeMap<Name, Seen>,
    /// Acks of incarnations not yet listed.
    early: BTreeMap<Name, u64>,
    /// Since when incarnations have been known.
    known: BTreeMap<Identity, Time>,
}

impl Barrier {
    /// The barrier of the drain `epoch` of `vm`. `started` is when this
    /// process knew that the drain was written; a successor that takes the
    /// drain over starts anew, which only waits longer.
    pub fn new(config: Config, vm: Name, epoch: u64, started: Time) -> Self {
        let (proxies, early, known) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { config, vm, epoch, started, proxies, early, known }
    }

    /// The VM.
    pub fn vm(&self) -> &Name {
        &self.vm
    }

    /// The drain.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// `proxy` said that it sends nothing new to the VM and has nothing in
    /// flight there, as of the drain `epoch`. An ack of another drain says
    /// nothing: between two drains the VM has served.
    pub fn on_ack(&mut self, proxy: &Identity, epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        let early = self.early.entry(proxy.name.clone()).or_default();
        *early = proxy.incarnation.max(*early);
    }

    /// This process has known `proxy` since `since`: one before it had ended by
    /// then. To be told before the first [`Barrier::status`] with that proxy; without
    /// it, the proxy counts as known since then.
    ///
    /// ```
    /// use corianderfork_coord::drain::{Barrier, Config, Status};
    /// use corianderfork_coord::member::{Identity, Peer};
    /// use corianderfork_model::{Name, Time};
    ///
    /// // Started at this time, in milliseconds since the Unix epoch.
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
        self.known.entry(proxy.clone()).or_insert(since);
    }

    /// Whether the VM may be released, the live proxies being `proxies`. Those
    /// that went for good are no longer among them.
    pub fn status(&mut self, now: Time, proxies: &[Peer]) -> Status {
        let waits: Vec<Wait> = proxies.iter().filter_map(|peer| self.wait(now, peer)).collect();
        if waits.is_empty() { Status::Clear } else { Status::Waiting(waits) }
    }

    fn wait(&mut self, now: Time, peer: &Peer) -> Option<Wait> {
        let seen = self.see(now, &peer.member);
        let reason = self.reason(now, peer, seen)?;
        Some(Wait { proxy: peer.member.clone(), reason })
    }

    fn see(&mut self, now: Time, member: &Identity) -> Seen {
        let incarnation = member.incarnation;
        let acked = self.early.get(&member.name) == Some(&incarnation);
        let new = Seen { incarnation, acked, earlier_until: None };
        let since = self.known.get(member).copied().unwrap_or(now);
        let earlier_until = (incarnation > FIRST).then(|| since + self.config.request_deadline);
        let unseen = Seen { earlier_until, ..new };
        let seen = self.proxies.entry(member.name.clone()).or_insert(unseen);
        if incarnation > seen.incarnation {
            let ended = now + self.config.request_deadline;
            let earlier_until = if seen.acked { seen.earlier_until } else { Some(ended) };
            *seen = Seen { earlier_until, ..new };
        }
        seen.acked |= acked && seen.incarnation == incarnation;
        *seen
    }

    fn reason(&self, now: Time, peer: &Peer, seen: Seen) -> Option<Reason> {
        if let Some(until) = seen.earlier_until.filter(|&until| now < until) {
            return Some(Reason::EarlierIncarnation { until });
        }
        if seen.acked {
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
