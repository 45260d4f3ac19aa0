//! Settings of the decisions that matter while more work waits than fits.
//!
//! Each part is off by default, so that a deployment without contention is served as before.

use std::fmt;
use std::str::FromStr;

/// Which decisions under contention are made.
///
/// ```
/// use corianderfork_jobs::contention::{Order, Settings};
///
/// assert_eq!(Settings::default(), Settings::all(false));
/// assert_eq!(Settings::all(true).order, Order::InTime);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Whether tasks that save their progress are stopped on workers that are to leave, and
    /// resumed on others.
    pub relocate: bool,
    /// Whether running tasks yield to more urgent ones.
    pub preempt: bool,
    /// The order in which waiting jobs get room.
    pub order: Order,
    /// Whether jobs beyond what an organisation is owed a second yield to others.
    pub meter: bool,
    /// Whether jobs that can't be served are refused at once.
    pub refuse: bool,
    /// Whether the urgency of waiting work decides which pool gets parts of a limit.
    pub limits: bool,
    /// Whether VMs go to the pools in which they can still serve most work in time.
    pub allocate: bool,
    /// Whether maintenance waits for VMs that are cheap to empty while VMs are short.
    pub maintenance: bool,
}

/// The order in which the waiting jobs of one priority get room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// By deadline; a late job goes before others when it is about to expire.
    #[default]
    Deadline,
    /// Those that can still be in time, the most work in time for the room that there is; late jobs
    /// get what is left.
    InTime,
    /// Those that can still be in time, by deadline or, once the oldest have waited for long, the
    /// newest first; late jobs get what is left.
    Newest,
}

impl Settings {
    /// Returns settings with all parts on or off.
    #[must_use]
    pub fn all(is_on: bool) -> Self {
        Self {
            relocate: is_on,
            preempt: is_on,
            order: if is_on { Order::InTime } else { Order::Deadline },
            meter: is_on,
            refuse: is_on,
            limits: is_on,
            allocate: is_on,
            maintenance: is_on,
        }
    }

    /// Returns whether running tasks may be stopped for the sake of others.
    pub(crate) fn stops_tasks(&self) -> bool {
        self.relocate || self.preempt
    }
}

/// The setting of [`Order`] in a settings file.
///
/// ```
/// use corianderfork_jobs::contention::{Order, OrderSwitch, Switch};
///
/// assert_eq!("newest".parse(), Ok(OrderSwitch::Newest));
/// assert_eq!("auto".parse(), Ok(OrderSwitch::InTime(Switch::Auto)));
/// assert_eq!(OrderSwitch::Newest.order(false), Order::Newest);
/// assert_eq!(OrderSwitch::default().order(true), Order::InTime);
/// assert_eq!(OrderSwitch::default().order(false), Order::Deadline);
/// assert!("oldest".parse::<OrderSwitch>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderSwitch {
    /// [`Order::InTime`] if the switch is on, else [`Order::Deadline`].
    InTime(Switch),
    /// [`Order::Newest`].
    Newest,
}

impl Default for OrderSwitch {
    fn default() -> Self {
        Self::InTime(Switch::Auto)
    }
}

impl OrderSwitch {
    /// Returns the order where the deployment calls for one under contention or not.
    #[must_use]
    pub fn order(self, is_called_for: bool) -> Order {
        match self {
            Self::Newest => Order::Newest,
            Self::InTime(switch) if switch.is_on(is_called_for) => Order::InTime,
            Self::InTime(_) => Order::Deadline,
        }
    }
}

/// An error for a text that names no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownOrder;

impl fmt::Display for UnknownOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("write auto, on, newest or off")
    }
}

impl std::error::Error for UnknownOrder {}

impl FromStr for OrderSwitch {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "newest" => Ok(Self::Newest),
            _ => text.parse().map(Self::InTime).map_err(|_| UnknownOrder),
        }
    }
}

/// A switch in a settings file: on, off, or as the deployment calls for it.
///
/// ```
/// use corianderfork_jobs::contention::Switch;
///
/// assert_eq!("auto".parse(), Ok(Switch::Auto));
/// assert!(Switch::Auto.is_on(true));
/// assert!(!Switch::Off.is_on(true));
/// assert!("yes".parse::<Switch>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Switch {
    /// As the deployment calls for it.
    #[default]
    Auto,
    /// Always on.
    On,
    /// Always off.
    Off,
}

impl Switch {
    /// Returns whether the part is on where the deployment calls for it or not.
    #[must_use]
    pub fn is_on(self, is_called_for: bool) -> bool {
        match self {
            Self::Auto => is_called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// An error for a text that names no switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownSwitch;

impl fmt::Display for UnknownSwitch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("write auto, on or off")
    }
}

impl std::error::Error for UnknownSwitch {}

impl FromStr for Switch {
    type Err = UnknownSwitch;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "auto" => Ok(Self::Auto),
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(UnknownSwitch),
        }
    }
}
