//! The size that the planner last decided for a pool.

/// The decided size of a pool, in VMs.
///
/// A planner that takes over has decided none, and tells the owner none: as a size of zero, it would
/// say that no worker is on its way, and jobs would be refused that these workers can serve.
///
/// ```
/// use corianderfork_entry::target::Target;
///
/// let mut target = Target::default();
/// assert_eq!(target.told(), None);
/// assert!(target.set(18) && !target.set(18));
/// assert_eq!(target.told(), Some(18));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    decided: Option<usize>,
}

impl Target {
    /// Records a decision. Returns whether it differs from the last one.
    pub fn set(&mut self, target: usize) -> bool {
        self.decided.replace(target) != Some(target)
    }

    /// Returns the size to tell the owner; `None` before the first decision.
    pub fn told(&self) -> Option<u32> {
        self.decided.map(|target| u32::try_from(target).unwrap_or(u32::MAX))
    }
}
