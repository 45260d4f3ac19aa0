//! Choice of the peers that deliver orders.
#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use corianderfork_entry::couriers::{Couriers, MAX_DELIVERED, split};
use corianderfork_entry::duty::{Holder, Member, Record, Table};
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::{Action, Order};
use corianderfork_jobs::task::Name;
use corianderfork_jobs::worker::Key;
use corianderfork_model::Time;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

/// Returns a table of 20 members in two data centres, of which the first ones own pools.
fn table() -> Table {
    let mut table = Table::default();
    for number in 0..20 {
        let member = Member {
            boot: 1,
            peers: address(number),
            data_centre: if number % 2 == 0 { "east" } else { "west" }.to_owned(),
            capacity: 100,
            lease: 0,
            memory_mb: 0,
            revision: 1,
            seen: Time::ZERO,
        };
        table.members.insert(format!("e{number}"), member);
    }
    for number in 0..4 {
        let holder = Holder { name: format!("e{number}"), boot: 1, ..Holder::default() };
        table.put_duty(Time::ZERO, &format!("pool{number}"), Record { holder, revision: 1 });
    }
    table
}

fn orders(count: u32, workers: u32) -> Vec<Order> {
    let order = |index| Order {
        worker: Key::default(),
        id: format!("i-{}", index % workers),
        address: address(99),
        fence: 1,
        task: Name { job: JobId(1), occurrence: 0, step: 0, index },
        run: u64::from(index),
        copy: 1,
        action: Action::Stop,
    };
    (0..count).map(order).collect()
}

#[test]
fn select_members_of_the_data_centre_that_hold_no_duty() {
    let selected = Couriers::default().select(Time::ZERO, &table(), "pool0", "e0");
    assert_eq!(selected.len(), 6);
    for peer in selected {
        let number = peer.port() - 7_000;
        assert!(number >= 4 && number % 2 == 0, "e{number}");
    }
}

// Guards against orders that are lost again and again: their courier is cut off.
#[test]
fn select_no_member_whose_delivery_failed() {
    let (mut couriers, table) = (Couriers::default(), table());
    let failed = couriers.select(Time::ZERO, &table, "pool0", "e0")[0];
    couriers.avoid(Time::ZERO, failed);
    let others = couriers.select(Time::from_millis(100), &table, "pool0", "e0");
    assert!(!others.contains(&failed));
    assert!(couriers.select(Time::from_millis(2_100), &table, "pool0", "e0").contains(&failed));
}

// Guards against an owner whose cost for each start stays the same, however many are due (SHORT): at
// its limit it can't catch up.
#[test]
fn split_takes_fewer_requests_for_each_order_the_more_are_due() {
    let couriers: Vec<SocketAddr> = (0..6).map(address).collect();
    let requests = |count| split(orders(count, 500), &couriers).len();
    assert!(requests(60) <= 6);
    assert!(requests(1_000) <= 6 + 1_000 / MAX_DELIVERED);
    assert!(requests(10_000) <= 6 + 10_000 / MAX_DELIVERED);
}

// Guards against orders for one worker that overtake each other.
#[test]
fn split_keeps_the_order_of_each_worker() {
    let couriers: Vec<SocketAddr> = (0..6).map(address).collect();
    let mut couriers_of: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
    let mut last_runs: BTreeMap<String, u64> = BTreeMap::new();
    let requests = split(orders(2_000, 40), &couriers);
    assert_eq!(requests.iter().map(|(_, orders)| orders.len()).sum::<usize>(), 2_000);
    for (courier, order) in
        requests.iter().flat_map(|(c, orders)| orders.iter().map(move |o| (c, o)))
    {
        couriers_of.entry(order.id.clone()).or_default().insert(*courier);
        let before = last_runs.insert(order.id.clone(), order.run);
        assert!(before.is_none_or(|run| run < order.run), "{order:?}");
    }
    assert!(couriers_of.values().all(|couriers| couriers.len() == 1));
}

// Guards against an owner that sends orders by itself again as soon as its peers relieve it, and falls
// behind at once.
#[test]
fn is_behind_until_the_loop_is_on_time() {
    let mut couriers = Couriers::default();
    for (delay, is_behind) in [(14, false), (15, true), (8, true), (4, false), (8, false)] {
        couriers.note_delay(Duration::from_millis(delay));
        assert_eq!(couriers.is_behind(), is_behind, "{delay} ms");
    }
}
