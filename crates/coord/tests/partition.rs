//! Groups of names that share a prefix.

use corianderfork_coord::partition::prefixes;
use proptest::prelude::*;

#[test]
fn prefixes_of_a_name_that_begins_another() {
    let names = ["v1", "v10", "v11"];
    assert_eq!(prefixes(names, 1), ["v1"]);
    assert_eq!(prefixes(names, 2), ["v1"]);
    assert_eq!(prefixes(names, 3), names);
}

#[test]
fn prefixes_of_nothing() {
    assert!(prefixes([], 4).is_empty());
    assert!(prefixes(["a"], 0).is_empty());
}

#[test]
fn prefixes_at_the_target_size() {
    // Groups must stay small at the target size: a drain answers the watches of its whole
    // group.
    let names: Vec<String> = (0..2_900).map(|vm| format!("dc{}-vm{vm:04}", vm % 5)).collect();
    let found = prefixes(names.iter().map(String::as_str), 192);
    let size = |prefix: &String| names.iter().filter(|name| name.starts_with(prefix)).count();
    let largest = found.iter().map(size).max();
    assert!(found.len() > 96, "{} groups", found.len());
    assert!(largest <= Some(100), "{largest:?} names in a group");
}

proptest! {
    #[test]
    fn prefixes_cover_all_names(
        names in proptest::collection::btree_set("[a-c1äé]{1,5}", 0..40),
        limit in 1usize..50,
    ) {
        let found = prefixes(names.iter().map(String::as_str), limit);
        prop_assert!(found.len() <= limit);
        for name in &names {
            prop_assert!(found.iter().any(|prefix| name.starts_with(prefix)), "{name}: {found:?}");
        }
        if limit >= names.len() {
            prop_assert_eq!(found, names.into_iter().collect::<Vec<_>>());
        }
    }
}
