//! Features that some tasks need and not every worker has.

use crate::job::{Room, Step};

/// A requirement of a task that not every worker meets.
///
/// ```
/// use corianderfork_jobs::Step;
/// use corianderfork_jobs::feature::Feature;
/// use corianderfork_jobs::job::Room;
///
/// let mut step = Step::new(1);
/// assert_eq!(Feature::of(&step), None);
/// step.label = Some("ssd".to_owned());
/// let feature = Feature::of(&step).expect("it needs the label");
/// assert!(feature.is_provided_by(&["ssd".to_owned()], &Room::default()));
/// assert!(!feature.is_provided_by(&[], &Room::default()));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feature {
    /// A label.
    Label(String),
    /// An accelerator.
    Accelerator,
}

impl Feature {
    /// Returns the feature that the tasks of a step need, if any. If they need a label and an
    /// accelerator, the label decides.
    pub fn of(step: &Step) -> Option<Self> {
        let label = step.label.clone().map(Self::Label);
        label.or_else(|| (step.needs.gpu > 0).then_some(Self::Accelerator))
    }

    /// Returns whether a worker with these labels and this room has the feature.
    pub fn is_provided_by(&self, labels: &[String], room: &Room) -> bool {
        match self {
            Self::Label(label) => labels.contains(label),
            Self::Accelerator => room.gpu > 0,
        }
    }
}
