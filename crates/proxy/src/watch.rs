//! Selects the drain requests that a proxy watches apart from all others. Pure: no I/O,
//! no clock.
//!
//! A write answers every watch whose prefix its key begins with, in all processes at once.
//! The next write is seen only once one of them is sent again; if the store goes down
//! before, an accepted drain has reached no process, and its VM gets requests for the whole
//! outage. Watches of few VMs each are still waiting then, because the drain of one VM does
//! not answer the watch of another.

use std::collections::BTreeSet;

use corianderfork_coord::{partition, rendezvous};
use corianderfork_provider::key;

/// Watches per proxy, on average.
const WATCHES: usize = 24;
/// The number of proxies that watch each VM. One of them may be down, and the store may
/// refuse the watches of others while it goes down.
const REPLICAS: usize = 3;

/// Returns the key prefixes that the proxy `me` watches.
///
/// All proxies that know the same VMs and proxies divide the VMs among them without
/// communication, so that each VM is watched by three proxies. `proxies` includes `me`.
///
/// ```
/// use corianderfork_proxy::watch::drain_prefixes;
///
/// let (vms, proxies) = (["a1v1", "a1v2", "b1v1"], ["e1", "e2", "e3", "e4"]);
/// let watched = proxies.map(|me| drain_prefixes(vms, proxies, me));
/// for vm in vms {
///     let key = format!("shared/drain/{vm}");
///     assert_eq!(watched.iter().filter(|prefixes| prefixes.contains(&key)).count(), 3);
/// }
/// ```
pub fn drain_prefixes<'a>(
    vms: impl IntoIterator<Item = &'a str>,
    proxies: impl IntoIterator<Item = &'a str>,
    me: &str,
) -> BTreeSet<String> {
    let proxies: BTreeSet<&str> = proxies.into_iter().collect();
    let replicas = REPLICAS.min(proxies.len()).max(1);
    let groups = partition::prefixes(vms, WATCHES * proxies.len() / replicas);
    let is_mine =
        |group: &String| rendezvous::select(proxies.iter().copied(), group, replicas).contains(&me);
    let mine = groups.into_iter().filter(is_mine);
    mine.map(|group| format!("{}{group}", key::DRAINS)).collect()
}
