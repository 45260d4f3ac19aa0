//! VMs that lists leave out.

use corianderfork_entry::absence::Absence;
use corianderfork_model::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn is_gone_only_after_several_lists() {
    // Symptom: a wave is told to be completed, and a VM of it was never
    //   maintained.
    // Sequence: the list is read page by page; the last VM of the wave goes from
    //   the second page to the first in between, and no page names it.
    // Cause: a VM that one list leaves out counted as taken away.
    let mut absence = Absence::default();
    absence.note(at(0), ["vm-1", "vm-2"], |vm| vm == "vm-1");
    assert!(!absence.is_gone(at(0), "vm-2"));
    absence.note(at(250), ["vm-1", "vm-2"], |_| true);
    absence.note(at(4_000), ["vm-1", "vm-2"], |vm| vm == "vm-1");
    assert!(!absence.is_gone(at(4_000), "vm-2"));
    absence.note(at(7_000), ["vm-1", "vm-2"], |vm| vm == "vm-1");
    assert!(absence.is_gone(at(7_000), "vm-2"));
    assert!(!absence.is_gone(at(7_000), "vm-1"));
}
