//! Parameters of the decisions.

use std::time::Duration;

/// How the width of a wave grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Width {
    /// Always this many VMs at once.
    Fixed(u32),
    /// Starts with one VM; each VM that comes back healthy allows one more.
    Doubling,
    /// Starts with one VM; each VM that comes back healthy allows one more, or
    /// two more if it has copies and all of them answer.
    Tripling,
}

/// Parameters that the operators' configuration does not set.
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
    /// Returns the defaults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many standard deviations an estimate lies above the mean. By
    /// Cantelli's inequality, at most 1 in 1 + k² values exceeds it, whatever
    /// their distribution: 1 in 10 for the default of 3.
    pub fn deviations(mut self, k: f64) -> Self {
        self.deviations = k;
        self
    }

    /// Sets the number of reports that weigh as much as a declared size.
    pub fn prior_weight(mut self, reports: f64) -> Self {
        self.prior_weight = reports;
        self
    }

    /// Sets how long a copy is kept after the load last required it. The default
    /// follows from the fleet's weights: as long as keeping the copy costs less
    /// than stopping it and starting it again.
    pub fn hold_time(mut self, time: Duration) -> Self {
        self.hold_time = Some(time);
        self
    }

    /// Sets whether sizing uses the previous day's load at the same hour.
    pub fn daily_profile(mut self, enabled: bool) -> Self {
        self.daily_profile = enabled;
        self
    }

    /// Sets how long a lost VM may keep running its copies: the time to live of
    /// the platform's leases. Until then they keep their licences.
    pub fn lease_ttl(mut self, ttl: Duration) -> Self {
        self.lease_ttl = ttl;
        self
    }

    /// Sets how long copies on a lost VM go unreplaced, as long as enough other
    /// copies are left.
    pub fn replace_delay(mut self, delay: Duration) -> Self {
        self.replace_delay = delay;
        self
    }

    /// Sets how long a copy may take to answer for the first time before it
    /// counts as failing.
    pub fn start_timeout(mut self, timeout: Duration) -> Self {
        self.start_timeout = timeout;
        self
    }

    /// Sets how long a reboot may take before the VM counts as failing.
    pub fn reboot_timeout(mut self, timeout: Duration) -> Self {
        self.reboot_timeout = timeout;
        self
    }

    /// Sets the expected time to drain, reboot and warm up one VM. Used by
    /// forecasts and to decide whether moving copies pays off.
    pub fn step_duration(mut self, duration: Duration) -> Self {
        self.step_duration = duration;
        self
    }

    /// Sets how the width of a wave grows.
    pub fn width(mut self, width: Width) -> Self {
        self.width = width;
        self
    }

    /// Sets whether copies may be started elsewhere before a VM's maintenance,
    /// where the weights make that worth the moves.
    pub fn surge(mut self, enabled: bool) -> Self {
        self.surge = enabled;
        self
    }
}
