//! The reason in a VM's record: what it was drained for, and whether its pool
//! has it on loan. A successor reads both back.

use corianderfork_model::Fleet;
use corianderfork_policy::state::Purpose;
use corianderfork_provider::record::Vm;

/// Marks a VM that another pool than its home has on loan. Without it, a VM
/// whose home operators changed could not be told from one that was lent, and
/// one of the two would never go where it belongs.
const LENT: &str = " (lent)";

/// The VM is about to go, says the platform.
pub(crate) const LEAVING: &str = "leaving";
/// The VM is in no configuration any more.
pub(crate) const REMOVED: &str = "removed";
/// An operator wants it out.
pub(crate) const OPERATOR: &str = "operator";

/// `base`, with the mark of `record` if it is lent.
pub(crate) fn keep(base: &str, record: &Vm) -> String {
    with(base, is_lent(record))
}

/// `base`, with the mark if `lent`.
pub(crate) fn with(base: &str, lent: bool) -> String {
    if lent { format!("{base}{LENT}") } else { base.to_owned() }
}

/// Whether the record says that its VM is lent.
pub(crate) fn is_lent(record: &Vm) -> bool {
    record.reason.ends_with(LENT)
}

/// The reason without the mark.
pub(crate) fn base(record: &Vm) -> &str {
    record.reason.strip_suffix(LENT).unwrap_or(&record.reason)
}

/// What the VM was drained for.
pub(crate) fn purpose(record: &Vm, fleet: &Fleet) -> Option<Purpose> {
    let text = base(record);
    Purpose::from_text(text, fleet)
}
