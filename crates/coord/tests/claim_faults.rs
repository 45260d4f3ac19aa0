//! Single failures of owners and takeovers.

mod simulation;

use std::time::Duration;

use corianderfork_coord::claim::{
    Action, Answer, Attempt, Config, End, Event, Id, Outcome, Segment, Verdict, segment::HEAD,
};
use simulation::{Fault, START, Simulation};

const A: Attempt = Attempt::new(1, 1);
const B: Attempt = Attempt::new(2, 1);

fn config() -> Config {
    let config = Config::new().retention(Duration::from_secs(10)).margin(Duration::from_secs(1));
    config.segment_bytes(150)
}

/// Returns a simulation with one idle owner.
fn simulation_with_owner(config: Config) -> (Simulation, usize) {
    let mut sim = Simulation::new(config);
    let owner = sim.start(0);
    sim.run_until_idle(owner);
    sim.advance(100);
    (sim, owner)
}

fn grant(sim: &mut Simulation, owner: usize, id: Id, attempt: Attempt) {
    let replies = sim.replies.len();
    sim.request(owner, id, attempt);
    for _ in 0..10 {
        sim.run_until_idle(owner);
        if sim.replies.len() > replies {
            break;
        }
        sim.advance(20); // the write interval
    }
    assert_eq!(sim.verdict(), Verdict::Granted);
    sim.advance(100);
}

fn id(sim: &Simulation, random: u64) -> Id {
    Id::issue(sim.now, random)
}

fn is_unavailable(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Unavailable { .. })
}

#[test]
fn request_in_each_state_gets_its_verdict() {
    let (mut sim, owner) = simulation_with_owner(Config::new());
    let one = id(&sim, 1);
    grant(&mut sim, owner, one, A);
    grant(&mut sim, owner, one, A); // the same attempt repeats its request
    sim.request(owner, one, B);
    let unknown = Verdict::Duplicate { outcome: Outcome::Unknown, holder: A };
    assert_eq!(sim.verdict(), unknown);
    sim.settle(owner, one, A, End::Done);
    sim.request(owner, one, Attempt::new(3, 1));
    assert_eq!(sim.verdict(), Verdict::Duplicate { outcome: Outcome::Done, holder: A });

    let two = id(&sim, 2);
    grant(&mut sim, owner, two, A);
    sim.settle(owner, two, A, End::Abandoned);
    grant(&mut sim, owner, two, B);

    let age = Duration::from_secs(14 * 60);
    let issue = |millis: u64| Id::issue(corianderfork_model::Time::from_millis(millis), 3);
    sim.request(owner, issue(sim.now.as_millis() - age.as_millis() as u64), A);
    assert_eq!(sim.verdict(), Verdict::Expired);
    sim.request(owner, issue(sim.now.as_millis() + 60_001), A);
    assert_eq!(sim.verdict(), Verdict::Invalid);
}

// An owner is paused with a write in flight. Another process takes over and
// grants the id; then the first one resumes and its write arrives. The write
// must not find the revision that it expects, or two attempts would run the
// request.
#[test]
fn owner_resumed_after_takeover_is_deposed() {
    let (mut sim, old) = simulation_with_owner(config());
    let (earlier, id) = (id(&sim, 1), id(&sim, 2));
    grant(&mut sim, old, earlier, A);
    sim.request(old, id, A); // its write stays in flight
    let new = sim.start(0);
    sim.run_until_idle(new);
    grant(&mut sim, new, id, B);
    sim.run_until_idle(old);
    assert!(sim.processes[old].deposed);
    assert!(is_unavailable(sim.verdict()));
    sim.request(old, id, Attempt::new(4, 1));
    assert!(is_unavailable(sim.verdict()));
}

// A successor lists and seals the last segment while the old owner starts the
// next one and grants claims in it. If only the listed last segment were
// sealed, the old owner would continue in a segment that its successor never
// read.
#[test]
fn takeover_new_segment_of_old_owner_is_sealed_too() {
    let (mut sim, old) = simulation_with_owner(config());
    for random in 0..4 {
        let id = id(&sim, random);
        grant(&mut sim, old, id, A);
    }
    let next = id(&sim, 9);
    sim.request(old, next, A); // starts the next segment
    let new = sim.start(0);
    sim.tick(new);
    for _ in 0..4 {
        sim.serve(new, Fault::None); // list, head, list, seal
    }
    sim.store.serve(&sim.processes[old].calls[0].clone());
    sim.run_until_idle(new);
    sim.request(new, next, B);
    let unknown = Verdict::Duplicate { outcome: Outcome::Unknown, holder: A };
    assert_eq!(sim.verdict(), unknown);
    let sealed = |segment: &Segment| segment.sealed_by == Some(2);
    let open = sim.store.segments.values().filter(|(_, segment)| !sealed(segment));
    assert_eq!(open.count(), 1);
}

// A process freezes while its write that creates the next segment is in flight.
// Another process takes over, fills that segment and later ones, and deletes it
// after the retention time. The delayed create then succeeds because the
// segment is absent. Without the check of the head there would be two journals
// of one shard, each with an owner that grants.
fn check_create_after_delete(sim: &mut Simulation, frozen: usize) {
    let new = sim.start(0);
    sim.run_until_idle(new);
    sim.advance(100);
    for round in 0..12 {
        let id = id(sim, 100 + round);
        grant(sim, new, id, B);
    }
    sim.advance(20_000);
    let last = id(sim, 200);
    for _ in 0..12 {
        sim.run_until_idle(new);
        sim.advance(300);
    }
    grant(sim, new, last, B);
    let Action::Put { segment, expect: 0, .. } = sim.processes[frozen].calls[0] else {
        panic!("the frozen process has a pending create")
    };
    assert!(!sim.store.segments.contains_key(&segment), "segment {segment} was deleted");
    sim.serve(frozen, Fault::None);
    assert!(sim.store.segments.contains_key(&segment));
    sim.run_until_idle(frozen);
    sim.request(frozen, last, Attempt::new(7, 7));
    assert!(is_unavailable(sim.verdict()));
    assert!(sim.processes[frozen].deposed);
}

// See `check_create_after_delete`: the frozen process is taking over.
#[test]
fn takeover_create_after_delete_is_deposed() {
    let (mut sim, _) = simulation_with_owner(config());
    let frozen = sim.start(0);
    sim.tick(frozen);
    for _ in 0..4 {
        sim.serve(frozen, Fault::None);
    }
    check_create_after_delete(&mut sim, frozen);
}

// See `check_create_after_delete`: the frozen process is an owner that has
// started a segment.
#[test]
fn owner_create_after_delete_is_deposed() {
    let (mut sim, frozen) = simulation_with_owner(config());
    for random in 0..4 {
        let id = id(&sim, random);
        grant(&mut sim, frozen, id, A);
    }
    let next = id(&sim, 9);
    sim.request(frozen, next, A);
    check_create_after_delete(&mut sim, frozen);
}

// The create of an owner's first segment times out and its second try succeeds.
// A successor seals the segment and deletes it after the retention time; then
// the first try arrives, and the old owner finds a segment that it wrote
// itself. If it took that for an earlier write that took effect late, a deposed
// owner would grant again.
#[test]
fn owner_delayed_create_after_delete_is_deposed() {
    let mut sim = Simulation::new(config());
    let old = sim.start(0);
    sim.tick(old);
    for _ in 0..3 {
        sim.serve(old, Fault::None); // list, head, list
    }
    sim.serve(old, Fault::Delayed);
    sim.run_until_idle(old);
    let first = id(&sim, 1);
    grant(&mut sim, old, first, A);
    let new = sim.start(0);
    sim.run_until_idle(new);
    sim.advance(20_000);
    for _ in 0..3 {
        sim.run_until_idle(new);
        sim.advance(300);
    }
    assert!(!sim.store.segments.contains_key(&1));
    let late = sim.delayed.remove(0);
    assert!(matches!(sim.store.serve(&late), Answer::PutDone { segment: 1, .. }));
    let second = id(&sim, 2);
    grant(&mut sim, new, second, B);
    sim.request(old, second, A);
    for _ in 0..3 {
        sim.run_until_idle(old);
        sim.advance(20);
    }
    assert!(is_unavailable(sim.verdict()));
    assert!(sim.processes[old].deposed);
}

// A write takes effect but its answer is lost. If that counted as a failed
// write, the claim would be refused or written twice although it is in the
// journal.
#[test]
fn owner_lost_answer_is_found_by_read() {
    let (mut sim, owner) = simulation_with_owner(config());
    let id = id(&sim, 1);
    let before = sim.store.puts;
    sim.request(owner, id, A);
    sim.serve(owner, Fault::LostAnswer);
    sim.run_until_idle(owner);
    assert_eq!(sim.verdict(), Verdict::Granted);
    assert_eq!(sim.store.puts, before + 1);
}

// A write times out and is not found, and its request is refused; then the
// write takes effect after all. The id must not stay blocked for the retention
// time although no attempt ran the request.
#[test]
fn owner_late_write_of_refused_request_frees_the_id() {
    let (mut sim, owner) = simulation_with_owner(config());
    let (one, two) = (id(&sim, 1), id(&sim, 2));
    sim.request(owner, one, A);
    sim.serve(owner, Fault::Delayed);
    sim.serve(owner, Fault::Refused); // the read of the segment
    assert!(is_unavailable(sim.verdict()));
    sim.advance(3_000);
    sim.run_until_idle(owner); // the write is not found
    let late = sim.delayed.remove(0);
    assert!(matches!(sim.store.serve(&late), Answer::PutDone { .. }));
    grant(&mut sim, owner, two, A);
    sim.advance(1_000);
    sim.run_until_idle(owner);
    grant(&mut sim, owner, one, B);
}

// While the platform's service is down, requests must be refused at once. An
// owner that queued them would make callers wait for their deadline, and one
// that continued alone would run requests without a record.
#[test]
fn owner_store_down_refuses_at_once() {
    let (mut sim, owner) = simulation_with_owner(config());
    let (one, two) = (id(&sim, 1), id(&sim, 2));
    sim.request(owner, one, A);
    sim.serve(owner, Fault::Refused);
    assert!(is_unavailable(sim.verdict()));
    sim.request(owner, two, A);
    assert_eq!(sim.replies.len(), 2);
    assert!(is_unavailable(sim.verdict()));
    assert!(sim.processes[owner].calls.is_empty());
    sim.advance(3_000);
    grant(&mut sim, owner, one, B);
}

// A write takes longer than a request may wait, then takes effect. The request
// must be refused in time, and its claim in the journal must not block the id.
#[test]
fn owner_slow_store_refuses_then_frees_the_id() {
    let (mut sim, owner) = simulation_with_owner(config());
    let id = id(&sim, 1);
    sim.request(owner, id, A);
    sim.advance(1_001);
    sim.tick(owner);
    assert!(is_unavailable(sim.verdict()));
    sim.request(owner, id, Attempt::new(5, 5));
    assert!(is_unavailable(sim.verdict())); // at once: the write is still in flight
    sim.run_until_idle(owner);
    sim.advance(1_000);
    sim.run_until_idle(owner);
    grant(&mut sim, owner, id, B);
}

// An owner forgets an id and deletes its segment. Its successor's clock is
// behind by more than the margin, so the id looks young. Without the floor in
// the journal the id would be granted a second time.
#[test]
fn takeover_clock_behind_keeps_the_floor() {
    let (mut sim, owner) = simulation_with_owner(config());
    let old = id(&sim, 1);
    for random in 1..5 {
        let id = Id::issue(old.issued(), random);
        grant(&mut sim, owner, id, A);
    }
    sim.advance(10_000);
    let young = id(&sim, 6);
    grant(&mut sim, owner, young, A);
    sim.advance(1_000);
    sim.run_until_idle(owner);
    let behind = sim.start(-9_000);
    sim.run_until_idle(behind);
    assert!(sim.owner(behind).len() < 5, "some ids are forgotten");
    sim.request(behind, old, B);
    assert_eq!(sim.verdict(), Verdict::Expired);
}

// A segment of the journal is missing or cannot be decoded. Its ids must not be
// taken for ids that were never claimed and be granted a second time.
#[test]
fn takeover_gap_in_journal_grants_no_older_id() {
    let (mut sim, owner) = simulation_with_owner(config());
    for random in 0..12 {
        let id = id(&sim, random);
        grant(&mut sim, owner, id, A);
    }
    let unseen = id(&sim, 50);
    assert!(sim.store.segments.len() > 3); // the head and three with records
    sim.store.segments.remove(&2);
    let new = sim.start(0);
    sim.run_until_idle(new);
    sim.advance(100);
    sim.request(new, unseen, B);
    assert_eq!(sim.verdict(), Verdict::Expired);
    // An id issued after everything that can have been lost is granted again.
    sim.advance(60_100);
    let later = id(&sim, 51);
    grant(&mut sim, new, later, B);
}

// A proxy abandons an unanswered request, and the request arrives after the
// settlement. It must not claim the id for a run that never happens.
#[test]
fn settle_before_request_refuses_the_request() {
    let (mut sim, owner) = simulation_with_owner(config());
    let id = id(&sim, 1);
    sim.event(owner, Event::Settle { id, attempt: A, end: End::Abandoned });
    sim.request(owner, id, A);
    assert!(is_unavailable(sim.verdict()));
    grant(&mut sim, owner, id, B);
}

// Many requests arrive while a write is in flight. An unbounded queue would use
// unbounded memory, and one write per request would exceed the service's write
// rate.
#[test]
fn owner_many_requests_are_batched_and_bounded() {
    let (mut sim, owner) = simulation_with_owner(Config::new().max_waiting(100));
    let before = sim.store.puts;
    for random in 0..150 {
        let id = id(&sim, random);
        sim.request(owner, id, A);
    }
    assert_eq!(sim.replies.len(), 50);
    assert!(sim.replies.iter().all(|(_, _, verdict)| is_unavailable(*verdict)));
    sim.serve(owner, Fault::None);
    assert!(sim.processes[owner].calls.is_empty(), "the write interval is not over");
    sim.advance(20);
    sim.run_until_idle(owner);
    assert_eq!(sim.store.puts, before + 2);
    let granted = sim.replies.iter().filter(|(_, _, verdict)| *verdict == Verdict::Granted);
    assert_eq!(granted.count(), 100);
}

// The service fails once, and the owner's clock is then set back by an hour.
// The end of the wait, recorded by the old clock, must not make the owner
// refuse claims for that hour.
#[test]
fn owner_clock_set_back_keeps_granting() {
    let (mut sim, owner) = simulation_with_owner(config());
    let one = id(&sim, 1);
    sim.request(owner, one, A);
    sim.serve(owner, Fault::Refused);
    sim.now = corianderfork_model::Time::from_millis(sim.now.as_millis() - 3_600_000);
    let two = id(&sim, 2);
    grant(&mut sim, owner, two, A);
}

// A process freezes before its takeover, and a later one completes its own.
// When the first one resumes, its lower token must not take the shard from the
// rightful owner.
#[test]
fn takeover_lower_token_is_deposed() {
    let mut sim = Simulation::new(config());
    let stale = sim.start(0);
    let owner = sim.start(0);
    sim.run_until_idle(owner);
    sim.run_until_idle(stale);
    assert!(sim.processes[stale].deposed);
    assert_eq!(sim.store.segments[&HEAD].1.epoch, 2);
    sim.advance(100);
    let id = Id::issue(START, 1);
    grant(&mut sim, owner, id, A);
}

#[test]
fn segment_default_size_fits_a_value() {
    let (mut sim, owner) = simulation_with_owner(Config::new());
    for random in 0..1_000 {
        sim.request(owner, Id::issue(START, random), A);
    }
    sim.run_until_idle(owner);
    sim.advance(20);
    sim.run_until_idle(owner);
    let size = |(_, segment): &(u64, Segment)| {
        serde_json::to_string(segment).expect("a segment serializes").len()
    };
    let largest = sim.store.segments.values().map(size).max().expect("some segments");
    assert!(largest > 40_000 && largest < 1_000_000, "{largest}");
}
