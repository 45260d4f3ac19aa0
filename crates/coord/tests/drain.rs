//! The barrier of a drain over members that gossip, part and rejoin.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_coord::drain::{Barrier, Config, Reason, Status};
use corianderfork_coord::member::{self, Identity, Peer, Table};
use corianderfork_model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};

/// Member 0 is the controller; the last ones join later.
const MEMBERS: usize = 8;
const FIRST: usize = 5;
const LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(4);

fn known(at: usize, incarnation: u64) -> Identity {
    Identity::new(Name::new(&format!("entry-{at}")).expect("a name"), incarnation)
}

struct Proxy {
    table: Table,
    /// Whether it has the views that it routes by, and those of the drain.
    has_views: bool,
    knows_drain: bool,
    /// The service's revision at its last sync.
    read: u64,
    busy_until: Time,
}

struct World {
    now: Time,
    proxies: Vec<Proxy>,
    registered: BTreeSet<usize>,
    revision: u64,
    /// Pairs that can't talk; `MEMBERS` stands for the service.
    cut: BTreeSet<(usize, usize)>,
    barrier: Barrier,
}

#[derive(Clone, Debug)]
enum Step {
    Join(usize),
    Lapse(usize),
    /// Parts the set of members whose bits are set from all else.
    Part(u8, bool),
    Heal,
    Sync(usize),
    Call(usize, usize),
    Work(usize),
    Round(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let member = || 0..MEMBERS;
    prop_oneof![
        1 => (FIRST..MEMBERS).prop_map(Step::Join),
        1 => (1..MEMBERS).prop_map(Step::Lapse),
        2 => any::<(u8, bool)>().prop_map(|(set, store)| Step::Part(set, store)),
        1 => Just(Step::Heal),
        4 => member().prop_map(Step::Sync),
        6 => (member(), member()).prop_map(|(a, b)| Step::Call(a, b)),
        6 => (1..MEMBERS).prop_map(Step::Work),
        6 => any::<u8>().prop_map(Step::Round),
        5 => prop::sample::select(vec![300, 2_000, 5_000, 9_000]).prop_map(Step::Advance),
    ]
}

impl World {
    fn new() -> Self {
        let proxy = |at| {
            let limits = member::Config::new().isolation_limit(LIMIT);
            let table = Table::new(limits, known(at, 1));
            Proxy { table, has_views: false, knows_drain: false, read: 0, busy_until: Time::ZERO }
        };
        let config = Config::new().isolation_limit(LIMIT).request_deadline(DEADLINE);
        let now = Time::from_millis(100_000);
        let mut world = Self {
            now,
            proxies: (0..MEMBERS).map(proxy).collect(),
            registered: (0..FIRST).collect(),
            revision: 1,
            cut: BTreeSet::new(),
            barrier: Barrier::new(config, Name::new("vm-1").expect("a name"), 1, now),
        };
        // All is well before the drain; then the controller writes it.
        for at in 0..FIRST {
            world.sync(at);
        }
        for proxy in &mut world.proxies {
            proxy.knows_drain = false;
        }
        (1..FIRST).for_each(|at| world.call(0, at));
        for proxy in &mut world.proxies[1..] {
            proxy.knows_drain = false;
        }
        world.proxies[0].knows_drain = true;
        world
    }

    fn joined(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from.min(to), from.max(to)))
    }

    fn sync(&mut self, at: usize) {
        if self.joined(at, MEMBERS) {
            let members: Vec<Identity> = self.registered.iter().map(|&at| known(at, 1)).collect();
            let proxy = &mut self.proxies[at];
            proxy.table.on_list(self.now, self.revision, members);
            proxy.read = self.revision;
            proxy.has_views = true;
            proxy.knows_drain = true;
        }
    }

    fn call(&mut self, from: usize, to: usize) {
        if from == to || !self.joined(from, to) {
            return;
        }
        self.tell(from, to);
        self.tell(to, from);
        let read = self.proxies[to].read;
        self.proxies[from].table.on_contact(self.now, &known(to, 1), read);
    }

    /// One message: what `from` has heard, its views, and its ack.
    fn tell(&mut self, from: usize, to: usize) {
        let sender = &self.proxies[from];
        let (heard, views, knows) =
            (sender.table.sightings(self.now), sender.has_views, sender.knows_drain);
        let listed = sender.table.listed();
        let acks = knows && sender.busy_until <= self.now;
        let receiver = &mut self.proxies[to];
        receiver.table.on_sightings(self.now, heard);
        if views && !receiver.has_views {
            receiver.table.on_snapshot(self.now, listed);
            receiver.has_views = true;
        }
        receiver.knows_drain |= knows;
        if to == 0 && acks {
            self.barrier.on_ack(&known(from, 1), 1);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Join(at) => {
                if self.joined(at, MEMBERS) {
                    self.registered.insert(at);
                    self.revision += 1;
                }
            }
            Step::Lapse(at) => {
                self.registered.remove(&at);
                self.revision += 1;
            }
            Step::Part(set, store) => {
                let in_set = |at: usize| if at == MEMBERS { store } else { set >> at & 1 == 1 };
                let pairs = (0..=MEMBERS).flat_map(|a| (a + 1..=MEMBERS).map(move |b| (a, b)));
                self.cut = pairs.filter(|&(a, b)| in_set(a) != in_set(b)).collect();
            }
            Step::Heal => self.cut.clear(),
            Step::Sync(at) => self.sync(at),
            Step::Call(from, to) => self.call(from, to),
            Step::Work(at) => self.work(at),
            Step::Round(set) => {
                let callers = (0..MEMBERS).filter(|at| set >> at & 1 == 1);
                callers.for_each(|from| (0..MEMBERS).for_each(|to| self.call(from, to)));
            }
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    /// The proxy sends the VM a request, if it may by what it knows.
    fn work(&mut self, at: usize) {
        let proxy = &mut self.proxies[at];
        if proxy.has_views && !proxy.knows_drain && proxy.table.in_touch(self.now) {
            proxy.busy_until = self.now + DEADLINE;
        }
    }

    fn is_clear(&mut self) -> bool {
        let peers = self.proxies[0].table.peers(self.now);
        self.barrier.status(self.now, &peers) == Status::Clear
    }
}

// Symptom: a VM reboots under a request that is in flight.
// Sequence: any of proxies parted from the controller, the service or each
// other, joining, lapsing, and sending what their own rules allow.
// Cause: silence taken for an end, while the silent one is in touch with
// others that haven't heard of the drain.
#[test]
fn status_clear_means_nothing_in_flight() {
    let runs = Runs { cases: 1_000, failure_persistence: None, ..Runs::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let cleared = std::cell::Cell::new([0, 0]);
    let outcome =
        TestRunner::new_with_rng(runs, rng).run(&prop::collection::vec(step(), 20..120), |steps| {
            let mut world = World::new();
            for step in &steps {
                world.step(step);
                if world.is_clear() {
                    let busy = world.proxies.iter().position(|p| p.busy_until > world.now);
                    prop_assert_eq!(busy, None, "a proxy has a request in flight");
                    let unaware = world.proxies[1..FIRST].iter().any(|p| !p.knows_drain);
                    let [all, by_silence] = cleared.get();
                    cleared.set([all + 1, by_silence + usize::from(unaware)]);
                }
            }
            Ok(())
        });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    let [all, by_silence] = cleared.get();
    assert!(all > 2_000 && by_silence > 50, "{all} clear, {by_silence} by silence");
}

fn peer(incarnation: u64, last_contact: u64) -> Peer {
    let last_contact = Time::from_millis(last_contact);
    Peer { member: known(1, incarnation), last_contact, cut_off: true }
}

fn reason(barrier: &mut Barrier, now: u64, peer: Peer) -> Option<Reason> {
    match barrier.status(Time::from_millis(now), &[peer]) {
        Status::Clear => None,
        Status::Waiting(waits) => Some(waits[0].reason),
    }
}

// Symptom: a VM is released while a proxy that restarted sends to it.
// Sequence: a proxy acks and dies; its successor starts while the service is
// down and takes its views from a peer that hasn't heard of the drain.
// Cause: the ack of one incarnation taken for that of the next.
#[test]
fn status_new_incarnation_acks_anew() {
    let config = Config::new().isolation_limit(LIMIT).request_deadline(DEADLINE);
    let start = || Barrier::new(config, Name::new("vm-1").expect("a name"), 3, Time::ZERO);
    let mut barrier = start();
    barrier.on_ack(&known(1, 1), 2); // of an earlier drain
    assert_eq!(reason(&mut barrier, 0, peer(1, 0)), Some(Reason::NoAck));
    barrier.on_ack(&known(1, 1), 3);
    assert_eq!(reason(&mut barrier, 10, peer(1, 0)), None);
    assert_eq!(reason(&mut barrier, 20, peer(2, 20)), Some(Reason::NoAck));
    barrier.on_ack(&known(1, 2), 3);
    assert_eq!(reason(&mut barrier, 30, peer(2, 20)), None);

    // What an earlier one sent without an ack has to end first.
    let mut barrier = start();
    assert_eq!(reason(&mut barrier, 10, peer(1, 0)), Some(Reason::NoAck));
    barrier.on_ack(&known(1, 2), 3);
    let until = Time::from_millis(4_020);
    assert_eq!(reason(&mut barrier, 20, peer(2, 20)), Some(Reason::EarlierIncarnation { until }));
    assert_eq!(reason(&mut barrier, 4_020, peer(2, 20)), None);
}

#[test]
fn status_silent_proxy_passes_after_limit_and_deadline() {
    let config = Config::new().isolation_limit(LIMIT).request_deadline(DEADLINE);
    let started = Time::from_millis(1_000);
    let mut barrier = Barrier::new(config, Name::new("vm-1").expect("a name"), 3, started);
    assert_eq!(reason(&mut barrier, 11_000, peer(1, 500)), Some(Reason::NoAck));
    let until = Time::from_millis(15_000);
    assert_eq!(reason(&mut barrier, 15_000, peer(1, 500)), Some(Reason::Silent { until }));
    let in_touch = Peer { cut_off: false, ..peer(1, 500) };
    assert_eq!(reason(&mut barrier, 15_001, in_touch), Some(Reason::MaybeInTouch));
    assert_eq!(reason(&mut barrier, 15_001, peer(1, 500)), None);
}
