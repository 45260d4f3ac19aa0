//! Outlier detection: ejects runners that fail their requests.
//!
//! A runner that immediately fails every request is never busy, so a balancer
//! that considers only load or latency sends it most of the work. The
//! [`Detector`] considers success: it ejects a runner after several consecutive
//! failures, or when its success rate falls far below the median of its
//! service. Each repeated ejection lasts longer. Only a limited share of a
//! service's runners is ejected at once, because a fault of the service itself
//! makes every runner look bad, and ejecting all of them would turn errors into
//! an outage.
//!
//! After an ejection a runner is on probation: it receives one request at a
//! time until several in a row have succeeded.

use std::collections::HashMap;
use std::time::Duration;

use corianderfork_model::{Name, Share, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::router::{RunnerKey, ServiceKey};

mod config;
mod window;

pub use config::Config;
use window::Window;

/// The number of ejections after which the duration stops doubling, which
/// bounds the shift. Beyond that only the cap matters.
const MAX_DOUBLINGS: u32 = 16;

/// How long after a failure a runner is retested ahead of others, until it
/// succeeds or has failed often enough to be ejected. Five failures take
/// slightly over a second at any load that reaches the runner.
const RETEST_DELAY: Duration = Duration::from_millis(250);

/// Whether a runner may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// As much work as its slots allow.
    Open,
    /// One request at a time, to test whether it works again.
    Probe,
    /// No work before this time.
    Ejected(Time),
}

/// Ejects and readmits runners by the results of tries.
#[derive(Debug)]
pub struct Detector {
    config: Config,
    runners: HashMap<RunnerKey, Runner>,
    rng: SmallRng,
}

#[derive(Debug)]
struct Runner {
    service: ServiceKey,
    window: Window,
    /// When the last result arrived.
    last_try: Time,
    consecutive_failures: u32,
    ejections: u32,
    state: State,
    /// Whether this proxy's own results caused the ejection.
    first_hand: bool,
    hints: HashMap<Name, Hint>,
}

/// A peer's report that it has ejected a runner.
#[derive(Clone, Copy, Debug)]
struct Hint {
    since: Time,
    until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy { since: Time },
    Ejected { until: Time },
    Probation { successes: u32 },
}

impl Detector {
    /// Creates a detector without runners. `seed` is used for jitter.
    pub fn new(config: Config, seed: u64) -> Self {
        Self { config, runners: HashMap::new(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Adds a healthy runner.
    pub fn add(&mut self, now: Time, runner: RunnerKey, service: ServiceKey) {
        let added = Runner {
            service,
            window: Window::default(),
            last_try: now,
            consecutive_failures: 0,
            ejections: 0,
            state: State::Healthy { since: now },
            first_hand: false,
            hints: HashMap::new(),
        };
        self.runners.insert(runner, added);
    }

    /// Removes a runner.
    pub fn remove(&mut self, runner: RunnerKey) {
        self.runners.remove(&runner);
    }

    /// Records the result of a try, and ejects or readmits the runner
    /// accordingly. Unknown runners are ignored, because a result may arrive
    /// after its runner was removed.
    pub fn record(&mut self, now: Time, key: RunnerKey, success: bool) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        runner.window.record(now, success);
        runner.last_try = now;
        runner.consecutive_failures = if success { 0 } else { runner.consecutive_failures + 1 };
        match runner.state {
            State::Healthy { .. } if success => {}
            State::Healthy { .. } => self.eject_if_failing(now, key),
            State::Probation { .. } => self.on_probe_result(now, key, success),
            // A late result of a request sent before the ejection.
            State::Ejected { .. } => {}
        }
    }

    /// Records that `member` ejected the runner on its own results. The hint
    /// expires unless it is repeated, so that a silent peer cannot keep a
    /// runner ejected.
    ///
    /// A hint ejects a runner only if a hint of another peer or a failure seen
    /// by this proxy agrees, because a single peer may be the faulty party.
    /// Hints from before the runner passed its probation here do not count;
    /// otherwise the proxies would keep ejecting a working runner on each
    /// other's hints.
    pub fn hint(&mut self, now: Time, member: &Name, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let until = now + self.config.hint_timeout;
        runner.hints.retain(|_, hint| now < hint.until);
        runner.hints.entry(member.clone()).or_insert(Hint { since: now, until }).until = until;
        let State::Healthy { since } = runner.state else { return };
        let hints = runner.hints.values().filter(|hint| hint.since > since).count();
        if hints > 1 || (hints == 1 && runner.consecutive_failures > 0) {
            self.eject_if_allowed(now, key, false);
        }
    }

    /// Returns whether the runner may be given work. Unknown runners may.
    pub fn admission(&self, now: Time, runner: RunnerKey) -> Admission {
        match self.runners.get(&runner).map(|runner| runner.state) {
            Some(State::Ejected { until }) if now < until => Admission::Ejected(until),
            Some(State::Ejected { .. } | State::Probation { .. }) => Admission::Probe,
            _ => Admission::Open,
        }
    }

    /// Records that the runner was given work. If its ejection has expired, its
    /// probation starts.
    pub fn on_pick(&mut self, now: Time, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        if matches!(runner.state, State::Ejected { until } if until <= now) {
            runner.state = State::Probation { successes: 0 };
        }
    }

    /// Whether the runner is ejected or on probation.
    pub fn is_restricted(&self, runner: RunnerKey) -> bool {
        self.runners.get(&runner).is_some_and(Runner::is_restricted)
    }

    /// Whether the runner fails by this proxy's own results. This is what is
    /// reported to peers. If hints of others were passed on, two proxies could
    /// keep a hint alive between them.
    ///
    /// A runner that fails everything is included even if it still receives
    /// work because the limit of ejected runners is reached. Otherwise a second
    /// bad VM of a small service would stay hidden, and a wave that breaks VM
    /// after VM would continue to its end instead of halting.
    pub fn is_failing_first_hand(&self, runner: RunnerKey) -> bool {
        self.runners.get(&runner).is_some_and(|runner| {
            let is_kept_though_failing =
                runner.consecutive_failures >= self.config.failures_to_eject;
            (runner.is_restricted() && runner.first_hand) || is_kept_though_failing
        })
    }

    /// Returns the share of recent tries that succeeded, from 0 to 1. A runner
    /// without tries counts as good.
    pub fn success_rate(&self, now: Time, runner: RunnerKey) -> f64 {
        self.runners.get(&runner).map_or(1.0, |runner| runner.window.rate(now))
    }

    /// Whether a runner should be tried ahead of others because its last try
    /// failed and it was not tried since.
    ///
    /// A balancer that prefers successful runners skips a runner after one
    /// failure, and hardly tries it again while the failure is remembered. A
    /// runner that fails everything then never accumulates enough consecutive
    /// failures to be ejected, peers receive no report, and a wave that breaks
    /// VM after VM continues to its end. A runner that failed once by chance
    /// stays idle for seconds. A few retests settle either case.
    pub fn needs_retest(&self, now: Time, runner: RunnerKey) -> bool {
        self.runners.get(&runner).is_some_and(|runner| {
            let is_undecided =
                (1..self.config.failures_to_eject).contains(&runner.consecutive_failures);
            !runner.is_restricted() && is_undecided && now - runner.last_try >= RETEST_DELAY
        })
    }

    fn eject_if_failing(&mut self, now: Time, key: RunnerKey) {
        let runner = &self.runners[&key];
        let is_failing = runner.consecutive_failures >= self.config.failures_to_eject;
        if is_failing || self.is_below_peers(now, key) {
            self.eject_if_allowed(now, key, true);
        }
    }

    fn is_below_peers(&self, now: Time, key: RunnerKey) -> bool {
        let runner = &self.runners[&key];
        let has_enough_tries = |r: &&Runner| r.window.tries(now) >= self.config.min_tries;
        if !has_enough_tries(&runner) {
            return false;
        }
        let peers = self.runners.values().filter(|r| r.service == runner.service);
        let mut rates: Vec<f64> =
            peers.filter(has_enough_tries).map(|r| r.window.rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        let margin = f64::from(self.config.margin.per_mille()) / 1000.0;
        runner.window.rate(now) < median - margin
    }

    fn eject_if_allowed(&mut self, now: Time, key: RunnerKey, first_hand: bool) {
        if self.config.enabled && self.may_eject(self.runners[&key].service) {
            self.eject_now(now, key, first_hand);
        }
    }

    /// Ejects a runner, for longer each time. Call this only if the runner is
    /// already restricted or another one may be ejected.
    fn eject_now(&mut self, now: Time, key: RunnerKey, first_hand: bool) {
        let ejections = self.recent_ejections(now, key);
        let doubled = self.config.base.saturating_mul(1 << ejections.min(MAX_DOUBLINGS));
        let time = doubled.min(self.config.cap);
        // Adds up to a quarter. Otherwise the proxies that ejected a runner
        // together would all probe it together.
        let jitter = time.mul_f64(self.rng.random_range(0.0..0.25));
        let Some(runner) = self.runners.get_mut(&key) else { return };
        runner.ejections = ejections + 1;
        runner.consecutive_failures = 0;
        runner.first_hand = first_hand;
        runner.state = State::Ejected { until: now + time + jitter };
    }

    /// Returns how often it was ejected, less one for each period of the cap's
    /// length in which it was healthy since.
    fn recent_ejections(&self, now: Time, key: RunnerKey) -> u32 {
        let runner = &self.runners[&key];
        let State::Healthy { since } = runner.state else { return runner.ejections };
        let forgiven = (now - since).as_millis() / self.config.cap.as_millis().max(1);
        runner.ejections.saturating_sub(forgiven as u32)
    }

    /// Whether another runner of `service` may be ejected.
    fn may_eject(&self, service: ServiceKey) -> bool {
        let peers = self.runners.values().filter(|r| r.service == service);
        let (all, restricted) = peers.fold((0, 0), |(all, restricted), r| {
            (all + 1, restricted + u32::from(r.is_restricted()))
        });
        restricted < max_restricted(all, self.config.max_share)
    }

    fn on_probe_result(&mut self, now: Time, key: RunnerKey, success: bool) {
        if !success {
            return self.eject_now(now, key, true);
        }
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let State::Probation { successes } = &mut runner.state else { return };
        *successes += 1;
        if *successes >= self.config.probes {
            runner.state = State::Healthy { since: now };
            // The failures that led to the ejection would eject it again.
            runner.window = Window::default();
        }
    }
}

impl Runner {
    fn is_restricted(&self) -> bool {
        !matches!(self.state, State::Healthy { .. })
    }
}

/// Returns how many of `runners` may be ejected or on probation at once.
pub fn max_restricted(runners: u32, share: Share) -> u32 {
    let share = runners * u32::from(share.per_mille()) / 1000;
    let minimum = u32::from(runners > 1);
    share.max(minimum)
}
