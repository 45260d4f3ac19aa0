//! The choice of the connection that is closed to make room.

use corianderfork_entry::connections::Table;
use corianderfork_model::Time;

// Guards against an active client that is cut off while another one does nothing.
#[test]
fn take_longest_waiting_after_progress() {
    let mut table = Table::default();
    let ids = [0, 1, 2].map(|millis| table.open(Time::from_millis(millis)));
    table.wait(Time::from_millis(3), ids[0]);
    assert_eq!(table.take_longest_waiting(), Some(ids[1]));
    assert_eq!(table.take_longest_waiting(), Some(ids[2]));
    assert_eq!(table.take_longest_waiting(), Some(ids[0]));
    assert_eq!(table.take_longest_waiting(), None);
}

// Guards against a connection that is closed while its request is handled, and the job is stored.
#[test]
fn take_longest_waiting_while_requests_are_handled() {
    let mut table = Table::default();
    let id = table.open(Time::ZERO);
    table.handle(id);
    assert_eq!(table.take_longest_waiting(), None);
    table.wait(Time::ZERO, id);
    table.close(id);
    assert_eq!(table.take_longest_waiting(), None, "it is closed");
}
