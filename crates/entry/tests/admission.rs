//! Acceptance across all pools of a queue, with changing configurations and late writes.

use std::collections::BTreeMap;

use corianderfork_adapter::store::{Item, MAX_ROWS, Txn};
use corianderfork_entry::access::Identity;
use corianderfork_entry::admission::{Admission, Submission};
use corianderfork_entry::duty::Table;
use corianderfork_entry::placement::{PoolList, QueueRecord, QueueRoute, queue_key};

const ID: &str = "5c0e7a21d94b36f8";

fn submission(queue: &str, version: u64, pool: &str, id: &str) -> Submission {
    let queue_route = QueueRoute { version, pool: pool.to_owned() };
    let identity = Identity::Anonymous;
    let (queue, id, value) = (queue.to_owned(), id.to_owned(), b"{}".to_vec());
    Submission { queue, queue_route, id, identity, value }
}

fn submissions_of(queue: &str, version: u64, pool: &str, count: usize) -> Vec<Submission> {
    (0..count).map(|n| submission(queue, version, pool, &format!("{n:016x}"))).collect()
}

fn table(queues: BTreeMap<String, QueueRecord>) -> Table {
    let mut table = Table::default();
    table.queues = queues;
    table
}

fn rows(txn: &Txn) -> usize {
    txn.expect.len() + txn.set.len() + txn.remove.len()
}

/// A store of keys with values and revisions.
#[derive(Clone, Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Store {
    /// Applies a write. Returns its revision, or the conflicting items.
    fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<Item>> {
        let revision = |key: &String| self.items.get(key).map_or(0, |(_, revision)| *revision);
        if txn.expect.iter().any(|(key, expected)| revision(key) != *expected) {
            let conflicts = txn.expect.iter().filter_map(|(key, _)| {
                let (value, revision) = self.items.get(key)?.clone();
                Some(Item { key: key.clone(), value, revision })
            });
            return Err(conflicts.collect());
        }
        self.revision += 1;
        for (key, value, _) in &txn.set {
            self.items.insert(key.clone(), (value.clone(), self.revision));
        }
        Ok(self.revision)
    }

    /// Returns the keys of the job in all pools that accepted it.
    fn accepted(&self) -> Vec<&str> {
        self.items.keys().filter(|key| key.ends_with(ID)).map(String::as_str).collect()
    }
}

/// An entry VM: its configuration, its known records, and its writes in flight.
#[derive(Clone)]
struct Gateway {
    submission: Submission,
    records: BTreeMap<String, QueueRecord>,
    sent: Vec<(Admission, Txn)>,
    is_confirmed: bool,
}

impl Gateway {
    fn new(version: u64, pool: &str) -> Self {
        let submission = submission("one", version, pool, ID);
        Self { submission, records: BTreeMap::new(), sent: Vec::new(), is_confirmed: false }
    }

    fn send(&mut self) {
        let admission = Admission::new([&self.submission], &table(self.records.clone()));
        let txn = admission.txn([&self.submission]);
        self.sent.push((admission, txn));
    }

    /// Applies the oldest write in flight.
    fn apply_oldest(&mut self, store: &mut Store) {
        let (admission, txn) = self.sent.remove(0);
        match store.apply(&txn) {
            Ok(revision) => {
                self.records.extend(admission.written_records(revision));
                self.is_confirmed = true;
            }
            Err(items) => {
                self.records.extend(admission.conflicting_records(&items));
                self.is_confirmed |= admission.is_stored(&self.submission, &items);
            }
        }
    }
}

/// Explores all sequences of `remaining_steps` steps of two entry VMs. In each step one VM sends a
/// write of the job, or its oldest write is applied.
fn explore(store: &Store, gateways: &[Gateway; 2], remaining_steps: usize, sequences: &mut usize) {
    assert!(store.accepted().len() <= 1, "accepted in {:?}", store.accepted());
    if remaining_steps == 0 {
        *sequences += 1;
        for gateway in gateways.iter().filter(|gateway| gateway.is_confirmed) {
            assert_eq!(
                store.accepted().len(),
                1,
                "confirmed but not stored: {:?}",
                gateway.submission
            );
        }
        return;
    }
    for at in 0..2 {
        let (mut store, mut gateways) = (store.clone(), gateways.clone());
        if !gateways[at].sent.is_empty() {
            gateways[at].apply_oldest(&mut store);
            explore(&store, &gateways, remaining_steps - 1, sequences);
        }
    }
    for at in 0..2 {
        let mut gateways = gateways.clone();
        if gateways[at].sent.len() < 2 {
            gateways[at].send();
            explore(store, &gateways, remaining_steps - 1, sequences);
        }
    }
}

#[test]
fn admission_while_a_queue_is_moved() {
    // Failure: a job is accepted in two pools and runs twice. The queue is moved. One entry
    // VM knows this, finds the job missing in the old pool, and accepts it in the new one;
    // another VM that doesn't know it, or a late write, accepts it in the old pool. The cause
    // was a read of some keys followed by a separate write of others.
    let gateways = [Gateway::new(1, "alpha"), Gateway::new(2, "beta")];
    let mut sequences = 0;
    explore(&Store::default(), &gateways, 11, &mut sequences);
    assert!(sequences > 10_000, "only {sequences} sequences");
}

#[test]
fn admission_succeeds_after_a_move() {
    // Each conflict reports the store's current records, so that the next attempt succeeds.
    let mut store = Store::default();
    let (mut old, mut new) = (Gateway::new(1, "alpha"), Gateway::new(2, "beta"));
    new.send();
    new.apply_oldest(&mut store);
    store.items.retain(|key, _| !key.ends_with(ID));
    old.send();
    old.apply_oldest(&mut store);
    assert!(!old.is_confirmed);
    old.send();
    old.apply_oldest(&mut store);
    assert!(old.is_confirmed);
    assert_eq!(store.accepted(), [format!("job/beta/{ID}")]);
}

#[test]
fn admission_many_jobs() {
    // Ten jobs fit into one write, as many as before queues had records.
    let pool_list = PoolList { version: 1, pools: vec!["alpha".to_owned()] };
    let records =
        BTreeMap::from([("one".to_owned(), QueueRecord::Valid { revision: 9, pool_list })]);
    let submissions = submissions_of("one", 1, "alpha", 25);
    let admission = Admission::new(&submissions, &table(records));
    assert_eq!(admission.count(), 10);
    let txn = admission.txn(&submissions[..10]);
    assert_eq!((rows(&txn), txn.set.len()), (31, 10));
    assert!(txn.expect.contains(&(queue_key("one"), 9)));
}

#[test]
fn admission_within_the_row_limit() {
    for earlier in 0..40 {
        let pools: Vec<String> = (0..=earlier).map(|n| format!("p{n}")).collect();
        let pool_list = PoolList { version: 1, pools };
        let records =
            BTreeMap::from([("one".to_owned(), QueueRecord::Valid { revision: 9, pool_list })]);
        for pool in ["p0", "new"] {
            let mut submissions = submissions_of("one", 2, pool, 12);
            submissions.extend(submissions_of("two", 2, pool, 12));
            let admission = Admission::new(&submissions, &table(records.clone()));
            assert!(admission.count() > 0, "{earlier} earlier pools");
            let taken = &submissions[..admission.count()];
            let txn = admission.txn(taken);
            assert!(rows(&txn) <= MAX_ROWS, "{earlier} earlier pools: {} rows", rows(&txn));
            // Each earlier pool is either checked by the write or named to be read.
            let moved = usize::from(pool == "new");
            let expected = txn.expect.iter().filter(|(key, _)| key.ends_with(&submissions[0].id));
            let checked = expected.count() / 2 + admission.unchecked_pools(&submissions[0]).len();
            assert_eq!(checked, 1 + earlier + moved);
        }
    }
}

#[test]
fn admission_two_configurations() {
    let submissions =
        [submission("one", 1, "alpha", ID), submission("one", 2, "beta", "00000000000000ff")];
    assert_eq!(Admission::new(&submissions, &Table::default()).count(), 1);
}

#[test]
fn conflicting_records_removed_record() {
    let pool_list = PoolList { version: 1, pools: vec!["alpha".to_owned()] };
    let records =
        BTreeMap::from([("one".to_owned(), QueueRecord::Valid { revision: 9, pool_list })]);
    let submissions = submissions_of("one", 1, "alpha", 1);
    let admission = Admission::new(&submissions, &table(records));
    assert_eq!(
        admission.conflicting_records(&[]),
        [("one".to_owned(), QueueRecord::Damaged { revision: 0 })]
    );
}
