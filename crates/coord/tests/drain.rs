//! Drain barriers over members that gossip while links fail and recover.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderfork_coord::drain::{Barrier, Config, Reason, Status};
use corianderfork_coord::member::{self, Identity, Peer, Table};
use corianderfork_model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config as TestConfig, RngAlgorithm, TestRng, TestRunner};

/// Member 0 is the controller; those from `INITIAL_MEMBERS` on join later.
const MEMBERS: usize = 8;
const INITIAL_MEMBERS: usize = 5;
const ISOLATION_LIMIT: Duration = Duration::from_secs(10);
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);

fn identity(at: usize, incarnation: u64) -> Identity {
    Identity::new(Name::new(&format!("entry-{at}")).expect("a name"), incarnation)
}

struct Proxy {
    table: Table,
    /// Whether it has the view by which it routes.
    has_view: bool,
    /// Whether that view includes the drain.
    knows_drain: bool,
    /// The service's revision at its last sync.
    list_revision: u64,
    busy_until: Time,
}

struct Simulation {
    now: Time,
    proxies: Vec<Proxy>,
    registered: BTreeSet<usize>,
    revision: u64,
    /// Pairs that cannot communicate; `MEMBERS` stands for the service.
    broken_links: BTreeSet<(usize, usize)>,
    barrier: Barrier,
}

#[derive(Clone, Debug)]
enum Step {
    Join(usize),
    Expire(usize),
    /// Separates the members whose bits are set from all others; the flag puts
    /// the service on their side.
    Partition(u8, bool),
    Heal,
    Sync(usize),
    Call(usize, usize),
    Request(usize),
    Round(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let member = || 0..MEMBERS;
    prop_oneof![
        1 => (INITIAL_MEMBERS..MEMBERS).prop_map(Step::Join),
        1 => (1..MEMBERS).prop_map(Step::Expire),
        2 => any::<(u8, bool)>().prop_map(|(set, store)| Step::Partition(set, store)),
        1 => Just(Step::Heal),
        4 => member().prop_map(Step::Sync),
        6 => (member(), member()).prop_map(|(a, b)| Step::Call(a, b)),
        6 => (1..MEMBERS).prop_map(Step::Request),
        6 => any::<u8>().prop_map(Step::Round),
        5 => prop::sample::select(vec![300, 2_000, 5_000, 9_000]).prop_map(Step::Advance),
    ]
}

impl Simulation {
    fn new() -> Self {
        let proxy = |at| {
            let limits = member::Config::new().isolation_limit(ISOLATION_LIMIT);
            let table = Table::new(limits, identity(at, 1));
            Proxy {
                table,
                has_view: false,
                knows_drain: false,
                list_revision: 0,
                busy_until: Time::ZERO,
            }
        };
        let config =
            Config::new().isolation_limit(ISOLATION_LIMIT).request_deadline(REQUEST_DEADLINE);
        let now = Time::from_millis(100_000);
        let mut simulation = Self {
            now,
            proxies: (0..MEMBERS).map(proxy).collect(),
            registered: (0..INITIAL_MEMBERS).collect(),
            revision: 1,
            broken_links: BTreeSet::new(),
            barrier: Barrier::new(config, Name::new("vm-1").expect("a name"), 1, now),
        };
        // Everything is in contact before the drain, which the controller then
        // writes.
        for at in 0..INITIAL_MEMBERS {
            simulation.sync(at);
        }
        for proxy in &mut simulation.proxies {
            proxy.knows_drain = false;
        }
        (1..INITIAL_MEMBERS).for_each(|at| simulation.call(0, at));
        for proxy in &mut simulation.proxies[1..] {
            proxy.knows_drain = false;
        }
        simulation.proxies[0].knows_drain = true;
        simulation
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.broken_links.contains(&(from.min(to), from.max(to)))
    }

    fn sync(&mut self, at: usize) {
        if self.is_connected(at, MEMBERS) {
            let members: Vec<Identity> =
                self.registered.iter().map(|&at| identity(at, 1)).collect();
            let proxy = &mut self.proxies[at];
            proxy.table.on_list(self.now, self.revision, members);
            proxy.list_revision = self.revision;
            proxy.has_view = true;
            proxy.knows_drain = true;
        }
    }

    fn call(&mut self, from: usize, to: usize) {
        if from == to || !self.is_connected(from, to) {
            return;
        }
        self.send(from, to);
        self.send(to, from);
        let list_revision = self.proxies[to].list_revision;
        self.proxies[from].table.on_contact(self.now, &identity(to, 1), list_revision);
    }

    /// Delivers one message with the sightings, the view and the
    /// acknowledgement of `from`.
    fn send(&mut self, from: usize, to: usize) {
        let sender = &self.proxies[from];
        let (sightings, sends_view, sends_drain) =
            (sender.table.sightings(self.now), sender.has_view, sender.knows_drain);
        let listed = sender.table.listed();
        let acks = sends_drain && sender.busy_until <= self.now;
        let receiver = &mut self.proxies[to];
        receiver.table.on_sightings(self.now, sightings);
        if sends_view && !receiver.has_view {
            receiver.table.on_snapshot(self.now, listed);
            receiver.has_view = true;
        }
        receiver.knows_drain |= sends_drain;
        if to == 0 && acks {
            self.barrier.on_ack(&identity(from, 1), 1);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Join(at) => {
                if self.is_connected(at, MEMBERS) {
                    self.registered.insert(at);
                    self.revision += 1;
                }
            }
            Step::Expire(at) => {
                self.registered.remove(&at);
                self.revision += 1;
            }
            Step::Partition(set, store) => {
                let in_set = |at: usize| if at == MEMBERS { store } else { set >> at & 1 == 1 };
                let pairs = (0..=MEMBERS).flat_map(|a| (a + 1..=MEMBERS).map(move |b| (a, b)));
                self.broken_links = pairs.filter(|&(a, b)| in_set(a) != in_set(b)).collect();
            }
            Step::Heal => self.broken_links.clear(),
            Step::Sync(at) => self.sync(at),
            Step::Call(from, to) => self.call(from, to),
            Step::Request(at) => self.send_request(at),
            Step::Round(set) => {
                let callers = (0..MEMBERS).filter(|at| set >> at & 1 == 1);
                callers.for_each(|from| (0..MEMBERS).for_each(|to| self.call(from, to)));
            }
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    /// Sends a request to the VM if the proxy may, according to its view.
    fn send_request(&mut self, at: usize) {
        let proxy = &mut self.proxies[at];
        if proxy.has_view && !proxy.knows_drain && proxy.table.in_touch(self.now) {
            proxy.busy_until = self.now + REQUEST_DEADLINE;
        }
    }

    fn is_clear(&mut self) -> bool {
        let peers = self.proxies[0].table.peers(self.now);
        self.barrier.status(self.now, &peers) == Status::Clear
    }
}

// A VM must not be released while a request is in flight there, whatever the
// order in which proxies lose contact with the controller, the service or each
// other, join, expire, and send what their own rules allow. A barrier that
// takes silence for the end of all requests fails this: the silent proxy may be
// in touch with others that have not heard of the drain.
#[test]
fn status_clear_means_nothing_in_flight() {
    let test_config =
        TestConfig { cases: 1_000, failure_persistence: None, ..TestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let cleared = std::cell::Cell::new([0, 0]);
    let outcome = TestRunner::new_with_rng(test_config, rng).run(
        &prop::collection::vec(step(), 20..120),
        |steps| {
            let mut simulation = Simulation::new();
            for step in &steps {
                simulation.step(step);
                if simulation.is_clear() {
                    let busy =
                        simulation.proxies.iter().position(|p| p.busy_until > simulation.now);
                    prop_assert_eq!(busy, None, "a proxy has a request in flight");
                    let unaware =
                        simulation.proxies[1..INITIAL_MEMBERS].iter().any(|p| !p.knows_drain);
                    let [all, by_silence] = cleared.get();
                    cleared.set([all + 1, by_silence + usize::from(unaware)]);
                }
            }
            Ok(())
        },
    );
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    let [all, by_silence] = cleared.get();
    assert!(all > 2_000 && by_silence > 50, "{all} clear, {by_silence} by silence");
}

fn peer(incarnation: u64, last_contact: u64) -> Peer {
    let last_contact = Time::from_millis(last_contact);
    Peer { member: identity(1, incarnation), last_contact, cut_off: true }
}

fn reason(barrier: &mut Barrier, now: u64, peer: Peer) -> Option<Reason> {
    match barrier.status(Time::from_millis(now), &[peer]) {
        Status::Clear => None,
        Status::Waiting(waits) => Some(waits[0].reason),
    }
}

// A proxy acknowledges a drain and dies, and its successor starts while the
// service is down, with a view from a peer that has not heard of the drain. If
// the acknowledgement of one incarnation counted for the next, the VM would be
// released while the successor sends to it.
#[test]
fn status_new_incarnation_has_to_ack_again() {
    let config = Config::new().isolation_limit(ISOLATION_LIMIT).request_deadline(REQUEST_DEADLINE);
    let start = || Barrier::new(config, Name::new("vm-1").expect("a name"), 3, Time::ZERO);
    let mut barrier = start();
    barrier.on_ack(&identity(1, 1), 2); // acknowledges an earlier drain
    assert_eq!(reason(&mut barrier, 0, peer(1, 0)), Some(Reason::NoAck));
    barrier.on_ack(&identity(1, 1), 3);
    assert_eq!(reason(&mut barrier, 10, peer(1, 0)), None);
    assert_eq!(reason(&mut barrier, 20, peer(2, 20)), Some(Reason::NoAck));
    barrier.on_ack(&identity(1, 2), 3);
    assert_eq!(reason(&mut barrier, 30, peer(2, 20)), None);

    // Requests that an earlier incarnation sent without an acknowledgement have
    // to end first.
    let mut barrier = start();
    assert_eq!(reason(&mut barrier, 10, peer(1, 0)), Some(Reason::NoAck));
    barrier.on_ack(&identity(1, 2), 3);
    let until = Time::from_millis(4_020);
    assert_eq!(reason(&mut barrier, 20, peer(2, 20)), Some(Reason::EarlierIncarnation { until }));
    assert_eq!(reason(&mut barrier, 4_020, peer(2, 20)), None);
}

#[test]
fn status_silent_proxy_passes_after_limit_and_deadline() {
    let config = Config::new().isolation_limit(ISOLATION_LIMIT).request_deadline(REQUEST_DEADLINE);
    let started = Time::from_millis(1_000);
    let mut barrier = Barrier::new(config, Name::new("vm-1").expect("a name"), 3, started);
    assert_eq!(reason(&mut barrier, 11_000, peer(1, 500)), Some(Reason::NoAck));
    let until = Time::from_millis(15_000);
    assert_eq!(reason(&mut barrier, 15_000, peer(1, 500)), Some(Reason::Silent { until }));
    let in_touch = Peer { cut_off: false, ..peer(1, 500) };
    assert_eq!(reason(&mut barrier, 15_001, in_touch), Some(Reason::MaybeInTouch));
    assert_eq!(reason(&mut barrier, 15_001, peer(1, 500)), None);
}
