//! Divisions of slots, and that picks keep to them.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{at, name, router, vm, with_policy};

use corianderfork_routing::limits::{
    Borrowing, Fixed, LeastOfTwo, Member, Policy, Proportional, Seat, Share, Situation,
};
use corianderfork_routing::outcome::{Attempt, Reason, Rejection};
use corianderfork_routing::report::{Demand, Report};
use corianderfork_routing::router::{Router, Ticket};
use proptest::prelude::*;

fn members(demands: &[(u32, bool)]) -> Vec<Member> {
    let member = |(i, (demand, silent)): (usize, &(u32, bool))| Member {
        name: name(&format!("proxy-{i:02}")),
        demand: *demand,
        silent: *silent,
    };
    demands.iter().enumerate().map(member).collect()
}

fn seats(n: u64, slots: u32) -> Vec<Seat> {
    (0..n).map(|i| Seat { hash: i * 7919 + 1, slots, connections: slots * 8 }).collect()
}

/// The shares of every member, in the order of members.
fn divide(policy: &dyn Policy, members: &[Member], seats: &[Seat]) -> Vec<Vec<Share>> {
    let of = |me: &Member| policy.divide(&Situation { me: &me.name, members, seats });
    members.iter().map(of).collect()
}

fn demand(tenths: u32) -> Report {
    let demands = vec![Demand { service: name("transfer"), tenths }];
    Report { demands, ..Report::default() }
}

proptest! {
    #[test]
    fn divide_every_slot_once(
        demands in prop::collection::vec((0u32..2000, prop::bool::weighted(0.1)), 1..14),
        n in 0u64..14,
        slots in 0u32..12,
    ) {
        let (members, seats) = (members(&demands), seats(n, slots));
        for policy in [&Fixed as &dyn Policy, &Proportional::default(), &Borrowing::new(Proportional::default())] {
            let shares = divide(policy, &members, &seats);
            for (i, seat) in seats.iter().enumerate() {
                let slots: u32 = shares.iter().map(|s| s[i].slots).sum();
                let connections: u32 = shares.iter().map(|s| s[i].connections).sum();
                prop_assert_eq!(slots, seat.slots);
                let borrowed: u32 = shares.iter().map(|s| s[i].borrow).sum();
                prop_assert!(connections + borrowed <= seat.connections);
            }
        }
    }

    #[test]
    fn divide_lent_follows_demand(
        demands in prop::collection::vec((0u32..300, Just(false)), 2..9),
    ) {
        let (members, seats) = (members(&demands), seats(10, 8));
        let shares = divide(&Proportional::default(), &members, &seats);
        let slots: Vec<u32> = shares.iter().map(|s| s.iter().map(|s| s.slots).sum()).collect();
        let needed: u32 = demands.iter().map(|d| d.0).sum();
        for (i, (demand, _)) in demands.iter().enumerate() {
            prop_assert!(slots[i] >= 2, "the floor");
            let part = demand * 80 / needed.max(800);
            prop_assert!(slots[i] + 3 >= part / 10 * 8 / 10, "{} for {demand}", slots[i]);
            // Spread: no two seats of one member differ by more than one slot.
            let most = shares[i].iter().map(|s| s.slots).max();
            let least = shares[i].iter().map(|s| s.slots).min();
            prop_assert!(most <= least.map(|l| l + 1));
        }
        for (a, b) in (0..demands.len()).flat_map(|a| (0..demands.len()).map(move |b| (a, b))) {
            prop_assert!(demands[a].0 < demands[b].0 || slots[a] + 1 >= slots[b], "monotone");
        }
    }

    #[test]
    fn pick_never_above_share(
        steps in prop::collection::vec((0u64..60, 0u8..10, 0u32..900), 1..300),
        borrows in any::<bool>(),
    ) {
        let config = if borrows {
            with_policy(Borrowing::new(Proportional::default()))
        } else {
            with_policy(Proportional::default())
        };
        let mut router = router(config, 4);
        let (mut now, mut tickets) = (1000, Vec::<Ticket>::new());
        for (gap, step, tenths) in steps {
            now += gap;
            match step {
                0 => router.apply_report(at(now), &name("proxy-1"), &demand(tenths)),
                1 => router.apply_report(at(now), &name("proxy-2"), &demand(tenths)),
                2 => _ = router.report(at(now)),
                3..=4 if !tickets.is_empty() => {
                    let ticket = tickets.swap_remove(tenths as usize % tickets.len());
                    let busy = borrows && tenths % 3 == 0;
                    let refused = Attempt::Rejected(Rejection::Busy);
                    let result = if busy { refused } else { Attempt::Answered };
                    router.done(at(now), ticket, result);
                }
                _ => {
                    let Ok(ticket) = router.pick(at(now), &name("transfer"), &[]) else { continue };
                    let share = router.share(at(now), ticket.runner());
                    let in_flight = router.in_flight(ticket.vm());
                    let most = 8.min(share.slots + share.borrow);
                    prop_assert!(in_flight <= most, "{in_flight} of {most}");
                    tickets.push(ticket);
                }
            }
        }
    }
}

fn usable(router: &mut Router, now: u64) -> u32 {
    let runners = router.runners(&name("transfer"));
    runners.into_iter().map(|r| router.share(at(now), r).slots).sum()
}

#[test]
fn share_more_after_settling_less_at_once() {
    // Symptom: runners refuse requests as busy whenever shares change.
    // Sequence: a proxy hears that it is lent more before the lender hears it.
    // Cause: both use the slots for a moment.
    let mut router = router(with_policy(Proportional::default()), 10);
    assert_eq!(usable(&mut router, 499), 0, "no one may use slots that others may still use");
    assert_eq!(usable(&mut router, 1000), 80);
    router.apply_report(at(1000), &name("proxy-1"), &demand(600));
    let lent = usable(&mut router, 1000);
    assert!(lent < 30, "{lent}");
    router.remove_member(&name("proxy-1"));
    assert_eq!(usable(&mut router, 1200), lent);
    assert_eq!(usable(&mut router, 1701), 80);
}

#[test]
fn divide_silent_member_keeps_the_floor() {
    let members = members(&[(250, false), (250, true), (250, false), (250, false)]);
    let shares = divide(&Proportional::default(), &members, &seats(10, 8));
    let slots: Vec<u32> = shares.iter().map(|s| s.iter().map(|s| s.slots).sum()).collect();
    assert_eq!(slots, [26, 2, 26, 26]);
}

#[test]
fn peer_load_silent_peer_lends_its_share() {
    let mut router = router(with_policy(Proportional::default()), 10);
    router.apply_report(at(0), &name("proxy-3"), &demand(600));
    let report = |router: &mut Router, now| {
        router.report(at(now));
        router.apply_report(at(now), &name("proxy-1"), &demand(100));
        router.apply_report(at(now), &name("proxy-2"), &demand(100));
    };
    (0..2000).step_by(250).for_each(|now| report(&mut router, now));
    let before = usable(&mut router, 1999);
    (2000..4000).step_by(250).for_each(|now| report(&mut router, now));
    let silent = usable(&mut router, 4000);
    assert_eq!((before, silent), (2, 9));
}

#[test]
fn divide_cut_off_takes_equal_shares() {
    // Symptom: a proxy that the network cut off from its peers, but not from the
    // runners, fills every slot.
    // Sequence: no report comes any more; all peers seem to need nothing.
    // Cause: silence of all was taken for the absence of all.
    let members = members(&[(100, false), (100, true), (100, true), (100, false)]);
    let shares = divide(&Proportional::default(), &members, &seats(10, 8));
    let mine: u32 = shares[0].iter().map(|s| s.slots).sum();
    assert_eq!(mine, 20);
}

#[test]
fn divide_fixed_moves_little() {
    let nine = members(&[(0, false); 9]);
    let seats = seats(100, 8);
    let before = divide(&Fixed, &nine, &seats);
    let after = divide(&Fixed, &nine[..8], &seats);
    let taken: u32 = (0..8)
        .flat_map(|m| before[m].iter().zip(&after[m]))
        .map(|(b, a)| b.slots.saturating_sub(a.slots))
        .sum();
    assert_eq!(taken, 0, "a proxy that goes takes no slot from those that stay");
}

#[test]
fn divide_least_of_two_keeps_connections() {
    let shares = divide(&LeastOfTwo, &members(&[(0, false); 9]), &seats(10, 8));
    for seat in 0..10 {
        assert_eq!(shares.iter().map(|s| s[seat].connections).sum::<u32>(), 64);
        assert!(shares.iter().all(|s| s[seat].slots == 7 || s[seat].slots == 8));
    }
}

/// A router that is lent few slots, since a peer needs many.
fn crowded() -> Router {
    let mut router = router(with_policy(Borrowing::new(Proportional::default())), 10);
    router.apply_report(at(1000), &name("proxy-1"), &demand(2000));
    router
}

fn pick_all(router: &mut Router, now: u64) -> Vec<Ticket> {
    let pick = || router.pick(at(now), &name("transfer"), &[]).ok();
    std::iter::from_fn(pick).collect()
}

#[test]
fn pick_borrows_while_slots_are_idle() {
    let mut router = crowded();
    let mut now = 2000;
    let share = usable(&mut router, now) as usize;
    let first = pick_all(&mut router, now);
    assert_eq!(first.len(), share + 1, "one is tried");
    first.into_iter().for_each(|t| router.done(at(now), t, Attempt::Answered));
    for _ in 0..200 {
        now += 1;
        for ticket in pick_all(&mut router, now) {
            router.done(at(now), ticket, Attempt::Answered);
        }
    }
    let borrowed = pick_all(&mut router, now).len() - share;
    assert!(borrowed > 10, "{borrowed}");
}

#[test]
fn pick_borrows_little_while_refused() {
    // Symptom: runners are flooded with tries that they refuse.
    // Sequence: every slot is in use; the proxy has more work than its share.
    // Cause: borrowing goes on however often it is refused.
    let mut router = crowded();
    let share = usable(&mut router, 2000) as usize;
    let mut kept = pick_all(&mut router, 2000);
    let beyond = kept.split_off(share);
    let refused = Attempt::Rejected(Rejection::Busy);
    beyond.into_iter().for_each(|ticket| router.done(at(2000), ticket, refused));
    let mut tries = 0;
    for now in 2001..12_001 {
        router.apply_report(at(now), &name("proxy-1"), &demand(2000));
        for ticket in pick_all(&mut router, now) {
            tries += 1;
            router.done(at(now), ticket, refused);
        }
    }
    assert!((5..=25).contains(&tries), "{tries} in ten seconds");
    assert_eq!(router.pick(at(12_000), &name("transfer"), &[]).unwrap_err().reason, Reason::Busy);
}

#[test]
fn load_demand_by_littles_law() {
    let mut router = router(with_policy(Proportional::default()), 10);
    for now in (1000..6000).step_by(10) {
        router.count_request(at(now), &name("transfer"));
        if let Ok(ticket) = router.pick(at(now), &name("transfer"), &[]) {
            router.done(at(now + 50), ticket, Attempt::Answered);
        }
    }
    let tenths = router.report(at(6000)).demands[0].tenths;
    assert!((45..=55).contains(&tenths), "100 a second for 50 ms each, not {tenths}");
    assert!(router.report(at(60_000)).demands.is_empty(), "nobody asks any more");
}

#[test]
fn set_runners_new_member_of_the_row() {
    let mut router = router(with_policy(Fixed), 1);
    router.add_member(at(0), &name("proxy-1"));
    assert_eq!(usable(&mut router, 1000), 4);
    router.apply_record(at(1000), vm(1, 1, 1, true));
    assert_eq!(usable(&mut router, 1001), 4, "the new runner's slots rest first");
    assert_eq!(usable(&mut router, 1000 + Fixed.settle().as_millis() as u64), 8);
    assert!(Fixed.settle() < Duration::from_secs(2));
}
