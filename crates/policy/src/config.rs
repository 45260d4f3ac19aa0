//! The constants of the decisions, with the values the measurements chose.

use std::time::Duration;

/// How the width of a wave grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Width {
    /// This many VMs at once, always.
    Fixed(u32),
    /// One at first; each VM that comes back well makes room for two.
    Doubling,
    /// One at first; each VM that comes back well makes room for two, and for
    /// three once copies answer on it.
    Tripling,
}

/// How decisions are made where the operators' configuration leaves it open.
///
/// ```
/// use corianderfork_policy::Config;
/// use std::time::Duration;
///
/// let config = Config::new().replace_delay(Duration::from_secs(300)).surge(false);
/// assert_ne!(config, Config::default());
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub(crate) deviations: f64,
    pub(crate) prior_weight: f64,
    pub(crate) hold_time: Option<Duration>,
    pub(crate) daily_profile: bool,
    pub(crate) lookahead: Duration,
    pub(crate) lease_ttl: Duration,
    pub(crate) replace_delay: Duration,
    pub(crate) start_timeout: Duration,
    pub(crate) reboot_timeout: Duration,
    pub(crate) step_duration: Duration,
    pub(crate) width: Width,
    pub(crate) surge: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deviations: 3.0,
            prior_weight: 20.0,
            hold_time: None,
            daily_profile: true,
            lookahead: Duration::from_secs(30 * 60),
            lease_ttl: Duration::from_secs(60),
            replace_delay: Duration::from_secs(15 * 60),
            start_timeout: Duration::from_secs(10 * 60),
            reboot_timeout: Duration::from_secs(30 * 60),
            step_duration: Duration::from_secs(12 * 60),
            width: Width::Tripling,
            surge: true,
        }
    }
}

impl Config {
    /// The defaults.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many standard deviations above the mean an estimate is taken. By
    /// Cantelli's inequality, at most 1 in 1 + k² values lies above it,
    /// whatever their distribution: 1 in 10 for the default of 3.
    pub fn deviations(mut self, k: f64) -> Self {
        self.deviations = k;
        self
    }

    /// How many reports weigh as much as a declared size or run time.
    pub fn prior_weight(mut self, reports: f64) -> Self {
        self.prior_weight = reports;
        self
    }

    /// How long a copy is kept after the load last called for it. By default
    /// it follows from the fleet's weights: as long as keeping it costs less
    /// than stopping it and starting it again.
    pub fn hold_time(mut self, hold_time: Duration) -> Self {
        self.hold_time = Some(hold_time);
        self
    }

    /// Whether the load at the same hour of the days before counts.
    pub fn daily_profile(mut self, on: bool) -> Self {
        self.daily_profile = on;
        self
    }

    /// How long a lost VM may go on running its copies: the time to live of
    /// the platform's leases. Until then they count against licences.
    pub fn lease_ttl(mut self, limit: Duration) -> Self {
        self.lease_ttl = limit;
        self
    }

    /// How long a lost VM is waited for before its copies are replaced, as
    /// long as enough others are left.
    pub fn replace_delay(mut self, replace_delay: Duration) -> Self {
        self.replace_delay = replace_delay;
        self
    }

    /// How long a copy may take to its first answer before it counts as
    /// failing.
    pub fn start_timeout(mut self, limit: Duration) -> Self {
        self.start_timeout = limit;
        self
    }

    /// How long a reboot may take before the VM counts as failing.
    pub fn reboot_timeout(mut self, limit: Duration) -> Self {
        self.reboot_timeout = limit;
        self
    }

    /// How long draining, rebooting and warming one VM is taken to last, for
    /// forecasts.
    pub fn step_duration(mut self, step_duration: Duration) -> Self {
        self.step_duration = step_duration;
        self
    }

    /// How the width of a wave grows.
    pub fn width(mut self, width: Width) -> Self {
        self.width = width;
        self
    }

    /// Whether copies may be started ahead of a VM's maintenance, where the
    /// weights make it worth its moves.
    pub fn surge(mut self, on: bool) -> Self {
        self.surge = on;
        self
    }
}
