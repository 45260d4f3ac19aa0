//! The pools that may hold a queue's jobs, and what a search of them concludes.

use corianderfork_entry::placement::{Placement, PoolList, QueueRecord, QueueRoute, Search, Step};

fn record(version: u64, pools: &[&str]) -> QueueRecord {
    let pools = pools.iter().map(|pool| (*pool).to_owned()).collect();
    QueueRecord::Valid { revision: 10 + version, pool_list: PoolList { version, pools } }
}

fn queue_route(version: u64, pool: &str) -> QueueRoute {
    QueueRoute { version, pool: pool.to_owned() }
}

/// Returns the pools that a search names until its next other step; none has the job.
fn pools(search: &mut Search) -> Vec<String> {
    let mut pools = Vec::new();
    while let Step::Pool(pool) = search.next() {
        pools.push(pool);
        search.mark_absent();
    }
    pools
}

#[test]
fn placement_unmoved_queue() {
    let placement = Placement::new(&record(1, &["alpha"]), &queue_route(5, "alpha"), []);
    assert_eq!((placement.revision, placement.pool.as_str()), (11, "alpha"));
    assert_eq!((placement.earlier.len(), placement.change), (0, None));
}

#[test]
fn placement_keeps_earlier_pools() {
    let placement = Placement::new(&record(1, &["beta", "alpha"]), &queue_route(2, "gamma"), []);
    assert_eq!(
        (placement.pool.as_str(), placement.earlier),
        ("gamma", vec!["beta".to_owned(), "alpha".to_owned()])
    );
    assert_eq!(
        placement.change.map(|pool_list| pool_list.pools.join(" ")),
        Some("gamma beta alpha".to_owned())
    );
}

#[test]
fn placement_returning_queue() {
    let placement = Placement::new(&record(2, &["beta", "alpha"]), &queue_route(3, "alpha"), []);
    assert_eq!(
        placement.change.map(|pool_list| pool_list.pools.join(" ")),
        Some("alpha beta".to_owned())
    );
    assert_eq!(placement.earlier, ["beta"]);
}

#[test]
fn placement_older_configuration() {
    // Failure: a job is accepted in the pool that its queue has left, seconds after others
    // were accepted in the new one. An entry VM that hadn't received the new configuration
    // took the job: each gateway followed only its own configuration.
    let placement = Placement::new(&record(2, &["beta", "alpha"]), &queue_route(1, "alpha"), []);
    assert_eq!((placement.pool.as_str(), placement.change), ("beta", None));
}

#[test]
fn placement_damaged_record() {
    // Failure: a job that is submitted again runs in a second pool. Another writer overwrote
    // the queue's record, and a record that can't be decoded was taken for that of a queue
    // that was never moved.
    let all = ["alpha", "beta", "gamma"];
    let damaged = QueueRecord::read(b"[1]", 30);
    let placement = Placement::new(&damaged, &queue_route(2, "beta"), all);
    assert_eq!(
        (placement.revision, placement.earlier),
        (30, vec!["alpha".to_owned(), "gamma".to_owned()])
    );
    assert_eq!(
        placement.change.map(|pool_list| pool_list.pools.join(" ")),
        Some("beta alpha gamma".to_owned())
    );
}

#[test]
fn read_record_without_pools() {
    assert_eq!(
        QueueRecord::read(br#"{"version":1,"pools":[]}"#, 4),
        QueueRecord::Damaged { revision: 4 }
    );
}

#[test]
fn search_record_and_route() {
    let mut search = Search::new(record(2, &["beta", "alpha"]), "gamma");
    assert_eq!(pools(&mut search), ["beta", "alpha", "gamma"]);
    search.set_record(record(2, &["beta", "alpha"]));
    assert_eq!(search.next(), Step::Absent);
}

#[test]
fn search_unknown_record() {
    // Failure: a caller gets the response that an accepted job doesn't exist. An entry VM started
    // after the queue was moved and was asked before it had read the records: a pool that it didn't
    // know was taken for one that doesn't exist.
    let mut search = Search::new(QueueRecord::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    assert_eq!(search.next(), Step::Record);
    search.set_record(record(2, &["beta", "alpha"]));
    assert_eq!(pools(&mut search), ["alpha"]);
    assert_eq!(search.next(), Step::Absent);
}

#[test]
fn search_pool_not_responding() {
    let mut search = Search::new(record(2, &["beta", "alpha"]), "beta");
    search.mark_unclear();
    assert_eq!(pools(&mut search), ["alpha"]);
    search.set_record(record(2, &["beta", "alpha"]));
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_store_not_responding() {
    let mut search = Search::new(QueueRecord::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    search.mark_unclear();
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_damaged_or_removed_record() {
    // Failure: a caller gets the response that an accepted job doesn't exist. Another writer
    // overwrote or removed the queue's record, and a record that names no pool was taken for a
    // queue without jobs.
    for read in [QueueRecord::read(b"\xff{", 40), QueueRecord::Missing] {
        let mut search = Search::new(record(1, &["alpha"]), "alpha");
        assert_eq!(pools(&mut search), ["alpha"]);
        search.set_record(read);
        assert_eq!(search.next(), Step::Unclear);
    }
}
