//! Counts that are passed on.

use corianderfork_entry::queue_counts::Heard;
use corianderfork_model::Time;

#[test]
fn recent_leaves_out_what_is_old() {
    // Symptom: an entry VM says that no job waits while six have for 5 s.
    // Sequence: it asks the owner while the queue is empty; jobs come, the owner
    //   is replaced and doesn't answer; it is asked for the count again.
    // Cause: what was heard last is passed on however old it is.
    let mut heard = Heard::default();
    heard.note(Time::from_millis(1_000), "q", 0);
    assert_eq!(heard.recent(Time::from_millis(2_000), "q"), Some(0));
    assert_eq!(heard.recent(Time::from_millis(6_000), "q"), None);
    assert_eq!(heard.recent(Time::from_millis(2_000), "other"), None);
}
