//! What a pool has while its workers come. The load is the begin of a queue's
//! busy time: a pool of three workers is to have thirty, and they come in batches
//! as long after the order as a move takes.

use std::collections::BTreeMap;

use corianderfork_adapter::fleet::{State, Vm};
use corianderfork_entry::arrivals::{Arrivals, Stock};
use corianderfork_jobs::job::Room;
use corianderfork_jobs::pool::Load;
use corianderfork_model::Time;

const POOL: &str = "alpha";

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn vm(number: usize, state: State, pool: &str) -> (String, Vm) {
    let name = format!("vm-{number}");
    let worker = if state == State::Up { format!("i-{number}") } else { String::new() };
    let vm = Vm { name: name.clone(), pool: pool.to_owned(), state, worker, room: Room::default() };
    (name, vm)
}

fn list(count: usize, state: State) -> BTreeMap<String, Vm> {
    (0..count).map(|number| vm(number, state, POOL)).collect()
}

fn load(workers: u32, surplus: u32) -> Load {
    Load { workers, surplus, ..Load::default() }
}

#[test]
fn count_coming_counts_a_worker_once_as_it_comes() {
    // Symptom: VMs leave a pool in the middle of the ramp that sent for them, and
    //   are sent for again.
    // Sequence: 27 VMs are ordered; they come, and the pool's owner counts them;
    //   the next size is decided before the list has settled.
    // Cause: each of them counted as there and as coming, so 57 were had where 30
    //   were wanted.
    let mut arrivals = Arrivals::default();
    for number in 0..27 {
        arrivals.order(at(0), &format!("vm-{number}"), POOL);
    }
    arrivals.update(at(300), &list(27, State::Moving));
    assert_eq!(Stock::new(&load(3, 0), arrivals.count_coming(POOL)).missing(30), 0);
    arrivals.update(at(1_600), &list(27, State::Up));
    // The owner counts the first ten.
    let counted: Vec<String> = (0..10).map(|number| format!("i-{number}")).collect();
    assert_eq!(arrivals.uncounted(POOL).len(), 27);
    arrivals.mark_counted(POOL, &counted);
    let stock = Stock::new(&load(13, 0), arrivals.count_coming(POOL));
    assert_eq!((stock.present, stock.coming), (13, 17));
    assert_eq!((stock.missing(30), stock.keep(30)), (0, None));
}

#[test]
fn count_coming_leaves_out_what_never_comes() {
    let mut arrivals = Arrivals::default();
    arrivals.order(at(0), "vm-0", POOL);
    arrivals.update(at(1_600), &list(1, State::Up));
    assert_eq!(arrivals.count_coming(POOL), 1);
    arrivals.update(at(4_200), &list(1, State::Up));
    assert_eq!(arrivals.count_coming(POOL), 0, "its worker doesn't register");
    arrivals.order(at(5_000), "vm-0", POOL);
    arrivals.update(at(5_200), &list(1, State::Down));
    assert_eq!(arrivals.count_coming(POOL), 0, "it has failed");
}

#[test]
fn keep_goes_on_while_workers_run_empty() {
    // Symptom: a pool that is to give up twenty workers gives up none for seconds.
    // Sequence: they are told to run empty; at the next decision the others are no
    //   more than it keeps, and it is told to keep all.
    // Cause: those that run empty didn't count, and took work again each time.
    let stock = Stock::new(&load(8, 20), 0);
    assert_eq!(stock.keep(8), Some(8));
    assert_eq!(stock.missing(20), 0, "they take work again instead");
    assert_eq!(stock.keep(28), None);
}
