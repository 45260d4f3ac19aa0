//! The limits that decisions observe.

use std::time::Duration;

use corianderfork_coord::drain;

use crate::settings::Settings;

/// The limits that decisions observe.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of writes per second.
    pub writes: u64,
    /// The maximum number of calls per second.
    pub calls: u64,
    /// How long proxies must suspect a copy before it counts as failing.
    pub suspect_after: Duration,
    /// How long copies must go unsuspected after a reboot before they count as
    /// able.
    pub prove_after: Duration,
    /// How long to wait for the list to show a reboot before it is requested
    /// again.
    pub reboot_retry: Duration,
    /// How long a start may take before it counts as failed.
    pub start_timeout: Duration,
    /// When silent proxies count as having nothing in flight.
    pub barrier: drain::Config,
    /// The parameters of the policy.
    pub policy: corianderfork_policy::Config,
}

impl Limits {
    /// Derives the limits from `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            writes: settings.writes_per_second,
            calls: settings.calls_per_second,
            suspect_after: settings.suspect_after,
            prove_after: settings.prove_after,
            reboot_retry: settings.reboot_retry,
            start_timeout: Duration::from_secs(10 * 60),
            barrier: drain::Config::new()
                .isolation_limit(settings.isolation_limit)
                .request_deadline(settings.request_deadline),
            policy: corianderfork_policy::Config::default(),
        }
    }
}
