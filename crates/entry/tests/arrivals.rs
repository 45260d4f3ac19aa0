//! The stock of a pool while workers arrive. The scenario is the start of a queue's busy
//! time: a pool of three workers grows to thirty, and they arrive in batches, one move time
//! after the order.

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
fn count_coming_counts_an_arrival_once() {
    // Failure: VMs leave a pool in the middle of the ramp-up that requested them, and are
    // requested again. 27 VMs were ordered and arrived, and the owner counted them before the
    // list settled. Each counted as present and as coming, which made 57 where 30 were wanted.
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
fn count_coming_omits_failed_moves() {
    let mut arrivals = Arrivals::default();
    arrivals.order(at(0), "vm-0", POOL);
    arrivals.update(at(1_600), &list(1, State::Up));
    assert_eq!(arrivals.count_coming(POOL), 1);
    arrivals.update(at(4_200), &list(1, State::Up));
    assert_eq!(arrivals.count_coming(POOL), 0, "its worker doesn't register");
    arrivals.order(at(5_000), "vm-0", POOL);
    arrivals.update(at(5_200), &list(1, State::Down));
    assert_eq!(arrivals.count_coming(POOL), 0, "the VM has failed");
}

#[test]
fn keep_while_workers_are_vacated() {
    // Failure: a pool that should give up twenty workers gives up none for seconds. Workers being
    // vacated didn't count as present, so at the next decision the pool had no surplus and was
    // asked to keep all, and they took work again each time.
    let stock = Stock::new(&load(8, 20), 0);
    assert_eq!(stock.keep(8), Some(8));
    assert_eq!(stock.missing(20), 0, "vacated workers take work again instead");
    assert_eq!(stock.keep(28), None);
}
