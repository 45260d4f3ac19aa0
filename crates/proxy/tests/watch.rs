//! The drain requests that each proxy watches apart.

use std::collections::BTreeSet;

use corianderfork_proxy::watch::drain_prefixes;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (1..=count).map(|number| format!("{prefix}{number}")).collect()
}

/// Returns the prefixes that each proxy watches.
fn watched(vms: &[String], proxies: &[String]) -> Vec<BTreeSet<String>> {
    let prefixes = |me: &String| {
        let vms = vms.iter().map(String::as_str);
        drain_prefixes(vms, proxies.iter().map(String::as_str), me)
    };
    proxies.iter().map(prefixes).collect()
}

fn watchers(watched: &[BTreeSet<String>], vm: &str) -> usize {
    let key = format!("shared/drain/{vm}");
    let watches =
        |prefixes: &&BTreeSet<String>| prefixes.iter().any(|prefix| key.starts_with(prefix));
    watched.iter().filter(watches).count()
}

#[test]
fn drain_prefixes_of_few_vms_are_of_one_vm_each() {
    // Guards against a drain that answers the watch for the next one.
    let (vms, proxies) = (names("a1v", 24), names("e", 3));
    for prefixes in watched(&vms, &proxies) {
        assert!(prefixes.iter().all(|prefix| vms.contains(&prefix.replace("shared/drain/", ""))));
    }
}

#[test]
fn drain_prefixes_cover_each_vm_three_times() {
    // Guards against a VM whose only watcher is down when it is drained.
    for (vm_count, proxy_count) in [(1, 3), (24, 3), (60, 8), (2_900, 24)] {
        let (vms, proxies) = (names("a1v", vm_count), names("e", proxy_count));
        let watched = watched(&vms, &proxies);
        let fewest = vms.iter().map(|vm| watchers(&watched, vm)).min();
        assert!(fewest >= Some(3), "{vm_count} VMs, {proxy_count} proxies: {fewest:?}");
    }
}

#[test]
fn drain_prefixes_per_proxy_do_not_grow_with_the_fleet() {
    let proxies = names("e", 24);
    for vm_count in [100, 1_000, 2_900] {
        let watched = watched(&names("a1v", vm_count), &proxies);
        let most = watched.iter().map(BTreeSet::len).max();
        assert!(most <= Some(48), "{vm_count} VMs: {most:?} watches");
    }
}

#[test]
fn drain_prefixes_of_a_single_proxy() {
    let vms = names("a1v", 4);
    assert_eq!(watched(&vms, &names("e", 1))[0].len(), 4);
    assert!(watched(&[], &names("e", 1))[0].is_empty());
}

#[test]
fn drain_prefixes_after_a_proxy_left() {
    // Guards against all groups moving at once, which would leave no watch waiting.
    let (vms, proxies) = (names("a1v", 24), names("e", 8));
    let before = watched(&vms, &proxies);
    let after = watched(&vms, &proxies[..7]);
    for (before, after) in before.iter().zip(&after) {
        assert!(before.is_subset(after));
    }
}
