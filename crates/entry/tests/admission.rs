//! Acceptance over all pools of a queue, while configurations change and writes
//! are carried out late.

use std::collections::BTreeMap;

use corianderfork_adapter::store::{Item, MAX_ROWS, Txn};
use corianderfork_entry::admission::{Admission, Offer};
use corianderfork_entry::duty::Table;
use corianderfork_entry::placement::{Entry, Places, Way, queue_key};

const ID: &str = "5c0e7a21d94b36f8";

fn offer(queue: &str, version: u64, pool: &str, id: &str) -> Offer {
    let way = Way { version, pool: pool.to_owned() };
    Offer { queue: queue.to_owned(), way, id: id.to_owned(), value: b"{}".to_vec() }
}

fn many(queue: &str, version: u64, pool: &str, count: usize) -> Vec<Offer> {
    (0..count).map(|n| offer(queue, version, pool, &format!("{n:016x}"))).collect()
}

fn table(queues: BTreeMap<String, Entry>) -> Table {
    let mut table = Table::default();
    table.queues = queues;
    table
}

fn rows(txn: &Txn) -> usize {
    txn.expect.len() + txn.set.len() + txn.remove.len()
}

/// The store: keys, values, revisions.
#[derive(Clone, Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Store {
    /// Carries a write out: its revision, or what is there instead.
    fn carry(&mut self, txn: &Txn) -> Result<u64, Vec<Item>> {
        let revision = |key: &String| self.items.get(key).map_or(0, |(_, revision)| *revision);
        if txn.expect.iter().any(|(key, expected)| revision(key) != *expected) {
            let there = txn.expect.iter().filter_map(|(key, _)| {
                let (value, revision) = self.items.get(key)?.clone();
                Some(Item { key: key.clone(), value, revision })
            });
            return Err(there.collect());
        }
        self.revision += 1;
        for (key, value, _) in &txn.set {
            self.items.insert(key.clone(), (value.clone(), self.revision));
        }
        Ok(self.revision)
    }

    /// The pools in which the job was accepted.
    fn accepted(&self) -> Vec<&str> {
        self.items.keys().filter(|key| key.ends_with(ID)).map(String::as_str).collect()
    }
}

/// An entry VM: its configuration, what it knows, and writes that are on their way.
#[derive(Clone)]
struct Gateway {
    offer: Offer,
    entries: BTreeMap<String, Entry>,
    sent: Vec<(Admission, Txn)>,
    is_told: bool,
}

impl Gateway {
    fn new(version: u64, pool: &str) -> Self {
        let offer = offer("one", version, pool, ID);
        Self { offer, entries: BTreeMap::new(), sent: Vec::new(), is_told: false }
    }

    fn send(&mut self) {
        let admission = Admission::new([&self.offer], &table(self.entries.clone()));
        let txn = admission.txn([&self.offer]);
        self.sent.push((admission, txn));
    }

    /// The oldest write that is on its way is carried out.
    fn arrive(&mut self, store: &mut Store) {
        let (admission, txn) = self.sent.remove(0);
        match store.carry(&txn) {
            Ok(revision) => {
                self.entries.extend(admission.written(revision));
                self.is_told = true;
            }
            Err(items) => {
                self.entries.extend(admission.seen(&items));
                self.is_told |= admission.is_stored(&self.offer, &items);
            }
        }
    }
}

/// All orders of `left` steps of two entry VMs: one sends the job, or a write of
/// it is carried out.
fn go_on(store: &Store, gateways: &[Gateway; 2], left: usize, done: &mut usize) {
    assert!(store.accepted().len() <= 1, "accepted in {:?}", store.accepted());
    if left == 0 {
        *done += 1;
        for gateway in gateways.iter().filter(|gateway| gateway.is_told) {
            assert_eq!(store.accepted().len(), 1, "told stored: {:?}", gateway.offer);
        }
        return;
    }
    for at in 0..2 {
        let (mut store, mut gateways) = (store.clone(), gateways.clone());
        if !gateways[at].sent.is_empty() {
            gateways[at].arrive(&mut store);
            go_on(&store, &gateways, left - 1, done);
        }
    }
    for at in 0..2 {
        let mut gateways = gateways.clone();
        if gateways[at].sent.len() < 2 {
            gateways[at].send();
            go_on(store, &gateways, left - 1, done);
        }
    }
}

#[test]
fn admission_while_the_queue_is_moved() {
    // Symptom: a job is accepted in two pools and runs twice.
    // Sequence: the queue is moved; an entry VM that knows it looks whether the job
    //   is in the pool before, finds nothing and accepts it in the new one; one that
    //   doesn't know it yet, or a write that was on its way, accepts it in the pool
    //   before.
    // Cause: a look at some keys and then a write of others.
    let gateways = [Gateway::new(1, "alpha"), Gateway::new(2, "beta")];
    let mut done = 0;
    go_on(&Store::default(), &gateways, 11, &mut done);
    assert!(done > 10_000, "{done} orders only");
}

#[test]
fn admission_comes_to_an_end_behind_a_move() {
    // Of a store whose record has changed each try tells what it says now, so that
    // the next one is accepted.
    let mut store = Store::default();
    let (mut old, mut new) = (Gateway::new(1, "alpha"), Gateway::new(2, "beta"));
    new.send();
    new.arrive(&mut store);
    store.items.retain(|key, _| !key.ends_with(ID));
    old.send();
    old.arrive(&mut store);
    assert!(!old.is_told);
    old.send();
    old.arrive(&mut store);
    assert!(old.is_told);
    assert_eq!(store.accepted(), [format!("job/beta/{ID}")]);
}

#[test]
fn admission_of_many_jobs_on_a_normal_day() {
    // As many jobs go together as did before there was a record: ten.
    let places = Places { version: 1, pools: vec!["alpha".to_owned()] };
    let entries = BTreeMap::from([("one".to_owned(), Entry::Whole { revision: 9, places })]);
    let offers = many("one", 1, "alpha", 25);
    let admission = Admission::new(&offers, &table(entries));
    assert_eq!(admission.count(), 10);
    let txn = admission.txn(&offers[..10]);
    assert_eq!((rows(&txn), txn.set.len()), (31, 10));
    assert!(txn.expect.contains(&(queue_key("one"), 9)));
}

#[test]
fn admission_never_over_the_rows_of_a_write() {
    for earlier in 0..40 {
        let pools: Vec<String> = (0..=earlier).map(|n| format!("p{n}")).collect();
        let places = Places { version: 1, pools };
        let entries = BTreeMap::from([("one".to_owned(), Entry::Whole { revision: 9, places })]);
        for pool in ["p0", "new"] {
            let mut offers = many("one", 2, pool, 12);
            offers.extend(many("two", 2, pool, 12));
            let admission = Admission::new(&offers, &table(entries.clone()));
            assert!(admission.count() > 0, "{earlier} pools before");
            let taken = &offers[..admission.count()];
            let txn = admission.txn(taken);
            assert!(rows(&txn) <= MAX_ROWS, "{earlier} pools before: {} rows", rows(&txn));
            // Each pool is expected to be without the job, or named to be read.
            let moved = usize::from(pool == "new");
            let expected = txn.expect.iter().filter(|(key, _)| key.ends_with(&offers[0].id));
            let checked = expected.count() / 2 + admission.unchecked(&offers[0]).len();
            assert_eq!(checked, 1 + earlier + moved);
        }
    }
}

#[test]
fn admission_of_jobs_by_two_configurations() {
    let offers = [offer("one", 1, "alpha", ID), offer("one", 2, "beta", "00000000000000ff")];
    assert_eq!(Admission::new(&offers, &Table::default()).count(), 1);
}

#[test]
fn admission_sees_that_a_record_was_removed() {
    let places = Places { version: 1, pools: vec!["alpha".to_owned()] };
    let entries = BTreeMap::from([("one".to_owned(), Entry::Whole { revision: 9, places })]);
    let offers = many("one", 1, "alpha", 1);
    let admission = Admission::new(&offers, &table(entries));
    assert_eq!(admission.seen(&[]), [("one".to_owned(), Entry::Damaged { revision: 0 })]);
}
