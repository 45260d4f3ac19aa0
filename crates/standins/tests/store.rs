//! Tests of the key-value store, with a simulated clock.

#![allow(clippy::unwrap_used)]

use corianderfork_standins::store::{Error, MAX_VALUE, Store};

#[test]
fn put_expected_revision_only() {
    let mut store = Store::new(10);
    assert_eq!(store.put("a", "1", Some(0), None), Ok(1));
    let current = store.get("a").cloned();
    assert_eq!(store.put("a", "2", Some(0), None), Err(Error::Conflict(current)));
    assert_eq!(store.put("b", "2", Some(1), None), Err(Error::Conflict(None)));
    assert_eq!(store.put("a", "2", Some(1), None), Ok(2));
    assert_eq!(store.get("a").map(|e| (e.value.as_str(), e.revision)), Some(("2", 2)));
    assert_eq!(store.put("a", &"x".repeat(MAX_VALUE + 1), None, None), Err(Error::TooLarge));
    assert_eq!(store.revision(), 2);
}

#[test]
fn delete_expected_revision_only() {
    let mut store = Store::new(10);
    store.put("a", "1", None, None).unwrap();
    assert!(matches!(store.delete("a", Some(7)), Err(Error::Conflict(Some(_)))));
    assert_eq!(store.delete("a", Some(1)), Ok(2));
    assert_eq!(store.delete("a", None), Ok(2), "deleting an absent entry is not a write");
    assert!(store.get("a").is_none());
}

#[test]
fn range_prefix_only() {
    let mut store = Store::new(10);
    for key in ["vm/a", "vm/b", "vn/c", "v"] {
        store.put(key, "", None, None).unwrap();
    }
    let keys: Vec<_> = store.range("vm/").iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["vm/a", "vm/b"]);
}

#[test]
fn lease_expiry_deletes_its_keys() {
    // A lease is renewed once and its holder dies. Only the expiry can delete its key
    // and let a successor take over.
    let mut store = Store::new(10);
    let lease = store.grant(0, 100);
    store.put("mine", "1", None, Some(lease)).unwrap();
    store.put("other", "1", None, None).unwrap();
    store.renew(90, lease).unwrap();
    store.expire_leases(189);
    assert!(store.get("mine").is_some());
    store.expire_leases(190);
    assert!(store.get("mine").is_none() && store.get("other").is_some());
    let deleted = store.changes("mine", 2).unwrap();
    assert!(deleted.len() == 1 && deleted[0].entry.is_none());
    assert_eq!(store.renew(191, lease), Err(Error::LeaseExpired));
    assert_eq!(store.put("mine", "2", None, Some(lease)), Err(Error::LeaseExpired));
}

#[test]
fn changes_compacted() {
    // After more writes than the bounded history holds, a watch from an earlier
    // revision has to fail, or it would miss changes silently.
    let mut store = Store::new(3);
    for n in 0..5 {
        store.put("a", &n.to_string(), None, None).unwrap();
    }
    assert_eq!(store.changes("a", 1), Err(Error::Compacted));
    let seen: Vec<_> = store.changes("a", 2).unwrap().iter().map(|c| c.revision).collect();
    assert_eq!(seen, [3, 4, 5]);
    assert_eq!(store.changes("a", 5), Ok(Vec::new()));
    assert_eq!(store.changes("a", 6), Err(Error::Compacted), "a revision ahead of the store");
}
