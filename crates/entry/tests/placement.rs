//! Which pools a queue's jobs may lie in, and what a search of them concludes.

use corianderfork_entry::placement::{Entry, Placement, Places, Search, Step, Way};

fn entry(version: u64, pools: &[&str]) -> Entry {
    let pools = pools.iter().map(|pool| (*pool).to_owned()).collect();
    Entry::Whole { revision: 10 + version, places: Places { version, pools } }
}

fn way(version: u64, pool: &str) -> Way {
    Way { version, pool: pool.to_owned() }
}

/// The pools that a search asks for until it has to read the record or concludes,
/// none of which has the job.
fn pools(search: &mut Search) -> Vec<String> {
    let mut pools = Vec::new();
    while let Step::Pool(pool) = search.next() {
        pools.push(pool);
        search.absent();
    }
    pools
}

#[test]
fn placement_of_a_queue_that_is_not_moved() {
    let placed = Placement::new(&entry(1, &["alpha"]), &way(5, "alpha"), []);
    assert_eq!((placed.revision, placed.pool.as_str()), (11, "alpha"));
    assert_eq!((placed.earlier.len(), placed.change), (0, None));
}

#[test]
fn placement_keeps_the_pools_before() {
    let placed = Placement::new(&entry(1, &["beta", "alpha"]), &way(2, "gamma"), []);
    assert_eq!(
        (placed.pool.as_str(), placed.earlier),
        ("gamma", vec!["beta".to_owned(), "alpha".to_owned()])
    );
    assert_eq!(
        placed.change.map(|places| places.pools.join(" ")),
        Some("gamma beta alpha".to_owned())
    );
}

#[test]
fn placement_of_a_queue_that_comes_back() {
    let placed = Placement::new(&entry(2, &["beta", "alpha"]), &way(3, "alpha"), []);
    assert_eq!(placed.change.map(|places| places.pools.join(" ")), Some("alpha beta".to_owned()));
    assert_eq!(placed.earlier, ["beta"]);
}

#[test]
fn placement_by_an_older_configuration() {
    // Symptom: a job is accepted in the pool that its queue has left, seconds after
    //   others were accepted in the new one.
    // Sequence: a configuration moves the queue; an entry VM that hasn't heard of
    //   it takes a job.
    // Cause: each gateway goes by its own configuration.
    let placed = Placement::new(&entry(2, &["beta", "alpha"]), &way(1, "alpha"), []);
    assert_eq!((placed.pool.as_str(), placed.change), ("beta", None));
}

#[test]
fn placement_by_a_damaged_record() {
    // Symptom: a job that is handed in again runs in a second pool.
    // Sequence: another writer lays bytes over the queue's record; the queue goes on.
    // Cause: what can't be read is taken for a queue that was never moved.
    let all = ["alpha", "beta", "gamma"];
    let damaged = Entry::read(b"[1]", 30);
    let placed = Placement::new(&damaged, &way(2, "beta"), all);
    assert_eq!(
        (placed.revision, placed.earlier),
        (30, vec!["alpha".to_owned(), "gamma".to_owned()])
    );
    assert_eq!(
        placed.change.map(|places| places.pools.join(" ")),
        Some("beta alpha gamma".to_owned())
    );
}

#[test]
fn read_of_a_record_that_names_no_pool() {
    assert_eq!(Entry::read(br#"{"version":1,"pools":[]}"#, 4), Entry::Damaged { revision: 4 });
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
    let mut search = Search::new(Entry::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    assert_eq!(search.next(), Step::Record);
    search.learn(entry(2, &["beta", "alpha"]));
    assert_eq!(pools(&mut search), ["alpha"]);
    assert_eq!(search.next(), Step::Absent);
}

#[test]
fn search_without_an_answer_of_a_pool() {
    let mut search = Search::new(entry(2, &["beta", "alpha"]), "beta");
    search.unclear();
    assert_eq!(pools(&mut search), ["alpha"]);
    search.learn(entry(2, &["beta", "alpha"]));
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_without_an_answer_of_the_store() {
    let mut search = Search::new(Entry::Missing, "beta");
    assert_eq!(pools(&mut search), ["beta"]);
    search.unclear();
    assert_eq!(search.next(), Step::Unclear);
}

#[test]
fn search_by_a_record_that_is_damaged_or_removed() {
    // Symptom: a caller is told that there is no job which was accepted before.
    // Sequence: another writer lays bytes over the queue's record, or removes it.
    // Cause: a record that names no pool is taken for that there is none.
    for read in [Entry::read(b"\xff{", 40), Entry::Missing] {
        let mut search = Search::new(entry(1, &["alpha"]), "alpha");
        assert_eq!(pools(&mut search), ["alpha"]);
        search.learn(read);
        assert_eq!(search.next(), Step::Unclear);
    }
}
