//! Choice of the peers through which the store is called while it rejects this VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_model::Time;

/// How many peers are used while they succeed, so that no single link carries all calls.
const MAX_WORKING: usize = 3;
/// How long a peer is avoided after a call through it failed: it may be rejected or cut off too.
const AVOID_TIME: Duration = Duration::from_millis(2_000);

/// Which peers relay calls to the store. It does no I/O.
///
/// The store may reject a third of the entry VMs at once. If each call went through a random peer,
/// many would be made through one that is rejected or unreachable too, and wait for its timeout. An
/// owner writes one batch after the other, so it would be late with the ends of its jobs; the log
/// shows `job ends written` with `took_ms` of hundreds.
///
/// ```
/// use corianderfork_entry::relays::Relays;
/// use corianderfork_model::Time;
///
/// let peers = ["10.0.0.1:7000".parse()?, "10.0.0.2:7000".parse()?];
/// let mut relays = Relays::default();
/// let first = relays.choose(Time::ZERO, &peers, &[], 0).expect("there are peers");
/// relays.note(Time::ZERO, first, false);
/// let second = relays.choose(Time::ZERO, &peers, &[], 0).expect("another peer is left");
/// assert_ne!(first, second);
/// relays.note(Time::ZERO, second, true);
/// assert_eq!(relays.choose(Time::ZERO, &peers, &[], 1), Some(second));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// Peers through which the last call succeeded.
    working: Vec<SocketAddr>,
    /// Until when peers are avoided.
    avoided: BTreeMap<SocketAddr, Time>,
}

impl Relays {
    /// Returns the peer for a call, without those that were `tried` for it: one through which
    /// calls succeed if there is any, else one that has not failed recently, else any. `random`
    /// selects one of several.
    pub fn choose(
        &mut self,
        now: Time,
        peers: &[SocketAddr],
        tried: &[SocketAddr],
        random: u64,
    ) -> Option<SocketAddr> {
        self.working.retain(|peer| peers.contains(peer));
        self.avoided.retain(|_, until| now < *until);
        let untried = |peer: &&SocketAddr| !tried.contains(peer);
        let working: Vec<&SocketAddr> = self.working.iter().filter(untried).collect();
        let others = || peers.iter().filter(untried);
        let rested: Vec<&SocketAddr> =
            others().filter(|peer| !self.avoided.contains_key(*peer)).collect();
        let candidates = [working, rested, others().collect()];
        let candidates = candidates.into_iter().find(|candidates| !candidates.is_empty())?;
        let index = usize::try_from(random % candidates.len() as u64).unwrap_or(0);
        candidates.get(index).map(|peer| **peer)
    }

    /// Records whether a call through a peer reached the store.
    pub fn note(&mut self, now: Time, peer: SocketAddr, has_reached: bool) {
        if has_reached {
            self.avoided.remove(&peer);
            if self.working.len() < MAX_WORKING && !self.working.contains(&peer) {
                self.working.push(peer);
            }
        } else {
            self.working.retain(|working| *working != peer);
            self.avoided.insert(peer, now + AVOID_TIME);
        }
    }
}
