//! Reported counts of queued jobs.

use corianderfork_entry::queue_counts::QueueCounts;
use corianderfork_model::Time;

#[test]
fn recent_omits_old_counts() {
    // Failure: an entry VM reports that no job is queued while six have waited for 5 s. It
    // asked the owner while the queue was empty; jobs arrived, the owner was replaced and
    // didn't respond, and the last count was reported regardless of its age.
    let mut counts = QueueCounts::default();
    counts.note(Time::from_millis(1_000), "q", 0);
    assert_eq!(counts.recent(Time::from_millis(2_000), "q"), Some(0));
    assert_eq!(counts.recent(Time::from_millis(6_000), "q"), None);
    assert_eq!(counts.recent(Time::from_millis(2_000), "other"), None);
}
