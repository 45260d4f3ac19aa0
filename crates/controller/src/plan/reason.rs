//! The reason in a VM's record: the purpose of its drain, and whether the VM is
//! on loan to another pool. A new holder of the lease parses both.

use corianderfork_model::Fleet;
use corianderfork_policy::state::Purpose;
use corianderfork_provider::record::Vm;

/// Marks a VM that is on loan to a pool other than its home. Without it, a lent
/// VM could not be distinguished from one whose home operators changed, and one
/// of the two would never move where it belongs.
const LENT: &str = " (lent)";

/// The platform is about to take the VM away.
pub(crate) const LEAVING: &str = "leaving";
/// The VM was removed from the configuration.
pub(crate) const REMOVED: &str = "removed";
/// An operator requested the drain.
pub(crate) const OPERATOR: &str = "operator";

/// Returns `base`, marked as lent if `record` is.
pub(crate) fn keep(base: &str, record: &Vm) -> String {
    with(base, is_lent(record))
}

/// Returns `base`, marked as lent if `lent`.
pub(crate) fn with(base: &str, lent: bool) -> String {
    if lent { format!("{base}{LENT}") } else { base.to_owned() }
}

/// Whether the record marks its VM as lent.
pub(crate) fn is_lent(record: &Vm) -> bool {
    record.reason.ends_with(LENT)
}

/// Returns the reason without the mark.
pub(crate) fn base(record: &Vm) -> &str {
    record.reason.strip_suffix(LENT).unwrap_or(&record.reason)
}

/// Returns the purpose of the VM's drain.
pub(crate) fn purpose(record: &Vm, fleet: &Fleet) -> Option<Purpose> {
    let text = base(record);
    Purpose::from_text(text, fleet)
}
