//! Which pools a queue's jobs may lie in, and what a search of them concludes.

use corianderfork_entry::placement::{Placement, PoolList, QueueRecord, QueueRoute, Search, Step};

fn entry(version: u64, pools: &[&str]) -> QueueRecord {
    let pools = pools.iter().map(|pool| (*pool).to_owned()).collect();
    QueueRecord::Valid { revision: 10 + version, pool_list: PoolList { version, pools } }
}

fn queue_route(version: u64, pool: &str) -> QueueRoute {
    QueueRoute { version, pool: pool.to_owned() }
}

/// The pools that a search asks for until it has to read the record or concludes,
/// none of which has the job.
fn pools(search: &mut Search) -> Vec<String> {
    let mut pools = Vec::new();
    while let Step::Pool(pool) = search.next() {
        pools.push(pool);
        search.mark_absent();
    }
    pools
}

#[test]
fn placement_of_a_queue_that_is_not_moved() {
    let placement = Placement::new(&entry(1, &["alpha"]), &queue_route(5, "alpha"), []);
    assert_eq!((placement.revision, placement.pool.as_str()), (11, "alpha"));
    assert_eq!((placement.earlier.len(), placement.change), (0, None));
}

#[test]
fn placement_keeps_the_pools_before() {
    let placement = Placement::new(&entry(1, &["beta", "alpha"]), &queue_route(2, "gamma"), []);
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
fn placement_of_a_queue_that_comes_back() {
    let placement = Placement::new(&entry(2, &["beta", "alpha"]), &queue_route(3, "alpha"), []);
    assert_eq!(
        placement.change.map(|pool_list| pool_list.pools.join(" ")),
        Some("alpha beta".to_owned())
    );
    assert_eq!(placement.earlier, ["beta"]);
}

#[test]
fn placement_by_an_older_configuration() {
    // Symptom: a job is accepted in the pool that its queue has left, seconds after
    //   others were accepted in the new one.
    // Sequence: a configuration moves the queue; an entry VM that hasn't heard of
    //   it takes a job.
    // Cause: each gateway goes by its own configuration.
    let placement = Placement::new(&entry(2, &["beta", "alpha"]), &queue_route(1, "alpha"), []);
    assert_eq!((placement.pool.as_str(), placement.change), ("beta", None));
}

#[test]
fn placement_by_a_damaged_record() {
    // Symptom: a job that is handed in again runs in a second pool.
    // Sequence: another writer lays bytes over the queue's record; the queue goes on.
    // Cause: what can't be read is taken for a queue that was never moved.
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
fn read_of_a_record_that_names_no_pool() {
    assert_eq!(
        QueueRecord::read(br#"{"version":1,"pools":[]}"#, 4),
        QueueRecord::Damaged { revision: 4 }
    );
}

#[test]
fn search_goes_through_the_record_and_the_route() {
    let mut search = Search::new(entry(2, &["beta", "alpha"]), "gamma");
    assert_eq!(pools(&mut search), ["beta", "alpha", "gamma"]);
    search.learn(entry(2, &["beta", "alpha"]));
    assert_eq!(search.next(), Step::Absent);
}

#[test]
fn search_by_a_record_that_is_not_known_yet() {
    // Symptom: a caller is told that there is no job which was accepted before.
    // Sequence: an entry VM starts after the queue was moved; a caller asks before
    //   it has read the records.
    // Cause: that a pool isn't known here is taken for that there is none.
    let mut search = Search::new(QueueRecord::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    assert_eq!(search.next(), Step::Record);
    search.learn(entry(2, &["beta", "alpha"]));
    assert_eq!(pools(&mut search), ["alpha"]);
    assert_eq!(search.next(), Step::Absent);
}

#[test]
fn search_without_an_answer_of_a_pool() {
    let mut search = Search::new(entry(2, &["beta", "alpha"]), "beta");
    search.mark_unclear();
    assert_eq!(pools(&mut search), ["alpha"]);
    search.learn(entry(2, &["beta", "alpha"]));
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_without_an_answer_of_the_store() {
    let mut search = Search::new(QueueRecord::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    search.mark_unclear();
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_by_a_record_that_is_damaged_or_removed() {
    // Symptom: a caller is told that there is no job which was accepted before.
    // Sequence: another writer lays bytes over the queue's record, or removes it.
    // Cause: a record that names no pool is taken for that there is none.
    for read in [QueueRecord::read(b"\xff{", 40), QueueRecord::Missing] {
        let mut search = Search::new(entry(1, &["alpha"]), "alpha");
        assert_eq!(pools(&mut search), ["alpha"]);
        search.learn(read);
        assert_eq!(search.next(), Step::Unclear);
    }
}
