//! What may be retried, and what the caller is told.

use std::time::Duration;

use corianderfork_routing::outcome::{Attempt, Doubt, Outcome, Rejection};

const DOUBTS: [Doubt; 4] = [Doubt::Timeout, Doubt::Reset, Doubt::Truncated, Doubt::Mismatch];
const REFUSALS: [Rejection; 3] = [Rejection::Busy, Rejection::Leaving, Rejection::NotHere];

#[test]
fn may_retry_non_idempotent() {
    // Symptom: a balance is moved twice.
    // Sequence: the request is sent, the connection is reset, it is sent again.
    // Cause: a try that may have run was retried although it is not idempotent.
    for doubt in DOUBTS {
        assert!(!Attempt::Unknown(doubt).may_retry(false));
    }
    assert!(!Attempt::Failed.may_retry(false));
    assert!(!Attempt::Answered.may_retry(false));
    assert!(Attempt::NotSent.may_retry(false));
    assert!(REFUSALS.iter().all(|r| Attempt::Rejected(*r).may_retry(false)));
}

#[test]
fn may_retry_idempotent() {
    assert!(DOUBTS.iter().all(|doubt| Attempt::Unknown(*doubt).may_retry(true)));
    assert!(Attempt::Failed.may_retry(true));
    assert!(!Attempt::Answered.may_retry(true));
}

#[test]
fn outcome_not_run_only_with_proof() {
    let after = Duration::from_secs(3);
    let proofs = REFUSALS.map(Attempt::Rejected).into_iter().chain([Attempt::NotSent]);
    for proof in proofs {
        let Outcome::NotRun(refusal) = proof.outcome(after) else { panic!("{proof:?}") };
        assert_eq!(refusal.retry_after, after);
        assert!(proof.is_not_run());
    }
    for doubt in DOUBTS {
        assert_eq!(Attempt::Unknown(doubt).outcome(after), Outcome::Unknown(doubt));
        assert!(!Attempt::Unknown(doubt).is_not_run());
    }
    assert_eq!(Attempt::Answered.outcome(after), Outcome::Answered);
    assert_eq!(Attempt::Failed.outcome(after), Outcome::Answered);
}
