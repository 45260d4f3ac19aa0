//! Failures of claims, one by one.

mod simulation;

use std::time::Duration;

use corianderfork_coord::claim::{
    Action, Answer, Attempt, Config, End, Event, Id, Outcome, Segment, Verdict, segment::HEAD,
};
use simulation::{Fault, START, World};

const A: Attempt = Attempt::new(1, 1);
const B: Attempt = Attempt::new(2, 1);

fn config() -> Config {
    let config = Config::new().retention(Duration::from_secs(10)).margin(Duration::from_secs(1));
    config.segment_bytes(150)
}

/// A world with one owner at rest.
fn owned(config: Config) -> (World, usize) {
    let mut world = World::new(config);
    let owner = world.start(0);
    world.settle_down(owner);
    world.advance(100);
    (world, owner)
}

fn grant(world: &mut World, owner: usize, id: Id, attempt: Attempt) {
    let replies = world.replies.len();
    world.ask(owner, id, attempt);
    for _ in 0..10 {
        world.settle_down(owner);
        if world.replies.len() > replies {
            break;
        }
        world.advance(20); // the gap between two writes
    }
    assert_eq!(world.verdict(), Verdict::Granted);
    world.advance(100);
}

fn id(world: &World, random: u64) -> Id {
    Id::issue(world.now, random)
}

fn is_unavailable(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Unavailable { .. })
}

#[test]
fn ask_of_each_state_gets_its_verdict() {
    let (mut world, owner) = owned(Config::new());
    let one = id(&world, 1);
    grant(&mut world, owner, one, A);
    grant(&mut world, owner, one, A); // the same attempt asks again
    world.ask(owner, one, B);
    let unknown = Verdict::Duplicate { outcome: Outcome::Unknown, holder: A };
    assert_eq!(world.verdict(), unknown);
    world.settle(owner, one, A, End::Done);
    world.ask(owner, one, Attempt::new(3, 1));
    assert_eq!(world.verdict(), Verdict::Duplicate { outcome: Outcome::Done, holder: A });

    let two = id(&world, 2);
    grant(&mut world, owner, two, A);
    world.settle(owner, two, A, End::Abandoned);
    grant(&mut world, owner, two, B);

    let age = Duration::from_secs(14 * 60);
    let issue = |millis: u64| Id::issue(corianderfork_model::Time::from_millis(millis), 3);
    world.ask(owner, issue(world.now.as_millis() - age.as_millis() as u64), A);
    assert_eq!(world.verdict(), Verdict::Expired);
    world.ask(owner, issue(world.now.as_millis() + 60_001), A);
    assert_eq!(world.verdict(), Verdict::Invalid);
}

// Symptom: two attempts run one request.
// Sequence: an owner is paused with a write on its way; another takes over and
// grants the id; the first wakes, and its write arrives.
// Cause: the write would still find the revision it expects.
#[test]
fn owner_paused_and_woken_is_deposed() {
    let (mut world, old) = owned(config());
    let (earlier, id) = (id(&world, 1), id(&world, 2));
    grant(&mut world, old, earlier, A);
    world.ask(old, id, A); // its put waits
    let new = world.start(0);
    world.settle_down(new);
    grant(&mut world, new, id, B);
    world.settle_down(old);
    assert!(world.processes[old].deposed);
    assert!(is_unavailable(world.verdict()));
    world.ask(old, id, Attempt::new(4, 1));
    assert!(is_unavailable(world.verdict()));
}

// Symptom: an old owner goes on in a segment that its successor never read.
// Sequence: the successor lists and seals the last segment; meanwhile the old
// owner has begun the next one and granted claims in it.
// Cause: only the last segment of the list was sealed.
#[test]
fn takeover_old_owner_rolls_meanwhile_seals_that_too() {
    let (mut world, old) = owned(config());
    for random in 0..4 {
        let id = id(&world, random);
        grant(&mut world, old, id, A);
    }
    let next = id(&world, 9);
    world.ask(old, next, A); // begins the next segment
    let new = world.start(0);
    world.tick(new);
    for _ in 0..4 {
        world.serve(new, Fault::None); // list, head, list, seal
    }
    world.store.serve(&world.processes[old].calls[0].clone());
    world.settle_down(new);
    world.ask(new, next, B);
    let unknown = Verdict::Duplicate { outcome: Outcome::Unknown, holder: A };
    assert_eq!(world.verdict(), unknown);
    let sealed = |segment: &Segment| segment.sealed_by == Some(2);
    let open = world.store.segments.values().filter(|(_, segment)| !sealed(segment));
    assert_eq!(open.count(), 1);
}

// Symptom: two journals of one shard, each with an owner that grants.
// Sequence: a process freezes with the create of the next segment on its way;
// another takes over, fills that segment and later ones, and deletes it after
// its retention; the create arrives and succeeds, the number being absent.
// Cause: create-only tells nothing about a number that can be deleted.
fn resurrect(world: &mut World, frozen: usize) {
    let new = world.start(0);
    world.settle_down(new);
    world.advance(100);
    for round in 0..12 {
        let id = id(world, 100 + round);
        grant(world, new, id, B);
    }
    world.advance(20_000);
    let last = id(world, 200);
    for _ in 0..12 {
        world.settle_down(new);
        world.advance(300);
    }
    grant(world, new, last, B);
    let Action::Put { segment, expect: 0, .. } = world.processes[frozen].calls[0] else {
        panic!("the frozen process is about to create a segment")
    };
    assert!(!world.store.segments.contains_key(&segment), "segment {segment} was deleted");
    world.serve(frozen, Fault::None);
    assert!(world.store.segments.contains_key(&segment));
    world.settle_down(frozen);
    world.ask(frozen, last, Attempt::new(7, 7));
    assert!(is_unavailable(world.verdict()));
    assert!(world.processes[frozen].deposed);
}

// As `resurrect` tells; the frozen process is taking over.
#[test]
fn takeover_create_after_delete_is_deposed() {
    let (mut world, _) = owned(config());
    let frozen = world.start(0);
    world.tick(frozen);
    for _ in 0..4 {
        world.serve(frozen, Fault::None);
    }
    resurrect(&mut world, frozen);
}

// As `resurrect` tells; the frozen process is an owner that began a segment.
#[test]
fn owner_create_after_delete_is_deposed() {
    let (mut world, frozen) = owned(config());
    for random in 0..4 {
        let id = id(&world, random);
        grant(&mut world, frozen, id, A);
    }
    let next = id(&world, 9);
    world.ask(frozen, next, A);
    resurrect(&mut world, frozen);
}

// Symptom: a deposed owner grants again.
// Sequence: the create of its first segment times out, and a second try of it
// succeeds; a successor seals the segment and deletes it after its retention;
// then the first try arrives. The old owner finds a segment of its own.
// Cause: what it finds taken for an earlier write that came into effect late.
#[test]
fn owner_own_create_after_delete_is_deposed() {
    let mut world = World::new(config());
    let old = world.start(0);
    world.tick(old);
    for _ in 0..3 {
        world.serve(old, Fault::None); // list, head, list
    }
    world.serve(old, Fault::Late);
    world.settle_down(old);
    let first = id(&world, 1);
    grant(&mut world, old, first, A);
    let new = world.start(0);
    world.settle_down(new);
    world.advance(20_000);
    for _ in 0..3 {
        world.settle_down(new);
        world.advance(300);
    }
    assert!(!world.store.segments.contains_key(&1));
    let late = world.late.remove(0);
    assert!(matches!(world.store.serve(&late), Answer::PutDone { segment: 1, .. }));
    let second = id(&world, 2);
    grant(&mut world, new, second, B);
    world.ask(old, second, A);
    for _ in 0..3 {
        world.settle_down(old);
        world.advance(20);
    }
    assert!(is_unavailable(world.verdict()));
    assert!(world.processes[old].deposed);
}

// Symptom: a claim is refused, or written twice, although it is in the journal.
// Sequence: the write takes effect, its answer is lost.
// Cause: a lost answer taken for a failed write.
#[test]
fn owner_lost_answer_recognises_its_write() {
    let (mut world, owner) = owned(config());
    let id = id(&world, 1);
    let before = world.store.puts;
    world.ask(owner, id, A);
    world.serve(owner, Fault::LostAnswer);
    world.settle_down(owner);
    assert_eq!(world.verdict(), Verdict::Granted);
    assert_eq!(world.store.puts, before + 1);
}

// Symptom: an id stays blocked for its retention though nobody ran it.
// Sequence: a write times out and isn't found; its ask is refused; then it
// arrives after all.
// Cause: a timeout says nothing about what the write will do yet.
#[test]
fn owner_late_write_of_a_refused_ask_frees_the_id() {
    let (mut world, owner) = owned(config());
    let (one, two) = (id(&world, 1), id(&world, 2));
    world.ask(owner, one, A);
    world.serve(owner, Fault::Late);
    world.serve(owner, Fault::Down); // the read back
    assert!(is_unavailable(world.verdict()));
    world.advance(3_000);
    world.settle_down(owner); // not found
    let late = world.late.remove(0);
    assert!(matches!(world.store.serve(&late), Answer::PutDone { .. }));
    grant(&mut world, owner, two, A);
    world.advance(1_000);
    world.settle_down(owner);
    grant(&mut world, owner, one, B);
}

// Symptom: callers wait for their deadline, or requests run unrecorded, while
// the platform's service is down.
// Sequence: the service refuses a write; more is asked.
// Cause: an owner that queues, or goes on alone.
#[test]
fn owner_store_down_refuses_at_once() {
    let (mut world, owner) = owned(config());
    let (one, two) = (id(&world, 1), id(&world, 2));
    world.ask(owner, one, A);
    world.serve(owner, Fault::Down);
    assert!(is_unavailable(world.verdict()));
    world.ask(owner, two, A);
    assert_eq!(world.replies.len(), 2);
    assert!(is_unavailable(world.verdict()));
    assert!(world.processes[owner].calls.is_empty());
    world.advance(3_000);
    grant(&mut world, owner, one, B);
}

// Symptom: asks of a slow service wait without end; the id is then blocked.
// Sequence: a write takes longer than an ask may wait, then takes effect.
// Cause: a claim in the journal whose ask was told that nothing was run.
#[test]
fn owner_slow_store_refuses_then_frees_the_id() {
    let (mut world, owner) = owned(config());
    let id = id(&world, 1);
    world.ask(owner, id, A);
    world.advance(1_001);
    world.tick(owner);
    assert!(is_unavailable(world.verdict()));
    world.ask(owner, id, Attempt::new(5, 5));
    assert!(is_unavailable(world.verdict())); // at once: the write is still out
    world.settle_down(owner);
    world.advance(1_000);
    world.settle_down(owner);
    grant(&mut world, owner, id, B);
}

// Symptom: an id is granted a second time after it was forgotten.
// Sequence: the owner forgets and deletes; its successor's clock is behind by
// more than the margin, so that the id looks young to it.
// Cause: the age taken for the only proof that an id is remembered.
#[test]
fn takeover_clock_behind_keeps_the_floor() {
    let (mut world, owner) = owned(config());
    let old = id(&world, 1);
    for random in 1..5 {
        let id = Id::issue(old.issued(), random);
        grant(&mut world, owner, id, A);
    }
    world.advance(10_000);
    let young = id(&world, 6);
    grant(&mut world, owner, young, A);
    world.advance(1_000);
    world.settle_down(owner);
    let behind = world.start(-9_000);
    world.settle_down(behind);
    assert!(world.owner(behind).len() < 5, "some are forgotten");
    world.ask(behind, old, B);
    assert_eq!(world.verdict(), Verdict::Expired);
}

// Symptom: an id is granted a second time after a takeover.
// Sequence: a segment of the journal is gone, or can't be decoded.
// Cause: missing records taken for ids that were never claimed.
#[test]
fn takeover_gap_in_the_journal_grants_nothing_older() {
    let (mut world, owner) = owned(config());
    for random in 0..12 {
        let id = id(&world, random);
        grant(&mut world, owner, id, A);
    }
    let unseen = id(&world, 50);
    assert!(world.store.segments.len() > 3); // the head and three with records
    world.store.segments.remove(&2);
    let new = world.start(0);
    world.settle_down(new);
    world.advance(100);
    world.ask(new, unseen, B);
    assert_eq!(world.verdict(), Verdict::Expired);
    // What is issued after all that can have been lost is granted again.
    world.advance(60_100);
    let later = id(&world, 51);
    grant(&mut world, new, later, B);
}

// Symptom: an id is blocked by an attempt that was given up.
// Sequence: a proxy gives up on an unanswered ask; the ask arrives after the
// message that says so.
// Cause: the late ask claims the id for a run that will never be.
#[test]
fn settle_before_its_ask_refuses_the_ask() {
    let (mut world, owner) = owned(config());
    let id = id(&world, 1);
    world.event(owner, Event::Settle { id, attempt: A, end: End::Abandoned });
    world.ask(owner, id, A);
    assert!(is_unavailable(world.verdict()));
    grant(&mut world, owner, id, B);
}

// Symptom: memory, or the service's rate of writes, grows with the callers.
// Sequence: many asks at once, a write being out.
// Cause: a queue without a bound, or a write for each ask.
#[test]
fn owner_many_asks_are_batched_and_bounded() {
    let (mut world, owner) = owned(Config::new().queue(100));
    let before = world.store.puts;
    for random in 0..150 {
        let id = id(&world, random);
        world.ask(owner, id, A);
    }
    assert_eq!(world.replies.len(), 50);
    assert!(world.replies.iter().all(|(_, _, verdict)| is_unavailable(*verdict)));
    world.serve(owner, Fault::None);
    assert!(world.processes[owner].calls.is_empty(), "the gap isn't over");
    world.advance(20);
    world.settle_down(owner);
    assert_eq!(world.store.puts, before + 2);
    let granted = world.replies.iter().filter(|(_, _, verdict)| *verdict == Verdict::Granted);
    assert_eq!(granted.count(), 100);
}

// Symptom: all claims are refused, for as long as a clock was set back.
// Sequence: the service fails once; the owner's clock is set back an hour.
// Cause: the end of a wait, noted by the old clock, is an hour away.
#[test]
fn owner_clock_set_back_goes_on() {
    let (mut world, owner) = owned(config());
    let one = id(&world, 1);
    world.ask(owner, one, A);
    world.serve(owner, Fault::Down);
    world.now = corianderfork_model::Time::from_millis(world.now.as_millis() - 3_600_000);
    let two = id(&world, 2);
    grant(&mut world, owner, two, A);
}

// Symptom: a stale process takes the shard from its rightful owner.
// Sequence: a process freezes before its takeover; a later one completes its
// own; the first goes on.
// Cause: tokens not compared.
#[test]
fn takeover_of_a_lower_token_is_deposed() {
    let mut world = World::new(config());
    let stale = world.start(0);
    let owner = world.start(0);
    world.settle_down(owner);
    world.settle_down(stale);
    assert!(world.processes[stale].deposed);
    assert_eq!(world.store.segments[&HEAD].1.epoch, 2);
    world.advance(100);
    let id = Id::issue(START, 1);
    grant(&mut world, owner, id, A);
}

#[test]
fn segment_of_the_default_size_fits_a_value() {
    let (mut world, owner) = owned(Config::new());
    for random in 0..1_000 {
        world.ask(owner, Id::issue(START, random), A);
    }
    world.settle_down(owner);
    world.advance(20);
    world.settle_down(owner);
    let size = |(_, segment): &(u64, Segment)| {
        serde_json::to_string(segment).expect("a segment is plain data").len()
    };
    let largest = world.store.segments.values().map(size).max().expect("some segments");
    assert!(largest > 40_000 && largest < 1_000_000, "{largest}");
}
