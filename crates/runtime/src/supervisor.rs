//! Supervisors: actors that start child actors and restart them after failures.

use std::collections::VecDeque;
use std::time::Duration;

use stakker::{ActorOwnAnon, CX, Cx, Ret, StopCause, after, ret_some_to};

use corianderfork_model::Time;

use crate::clock::Monotonic;

/// Starts a child, given the supervisor's context and a callback for the child's
/// end.
pub type Start = Box<dyn Fn(&mut Cx<'_, Supervisor>, Ret<StopCause>) -> ActorOwnAnon>;

/// The restart limit and backoff of a supervisor.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    restarts: usize,
    within: Duration,
    delay: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { restarts: 5, within: Duration::from_secs(60), delay: Duration::from_millis(100) }
    }
}

impl Config {
    /// Sets the maximum number of restarts within [`Config::within`].
    #[must_use]
    pub fn restarts(mut self, restarts: usize) -> Self {
        self.restarts = restarts;
        self
    }

    /// Sets the time window in which restarts are counted.
    #[must_use]
    pub fn within(mut self, within: Duration) -> Self {
        self.within = within;
        self
    }

    /// Sets the delay before the first restart. It doubles with each restart in the
    /// window.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }
}

/// The restart history of one child. Does no I/O.
#[derive(Clone, Debug)]
pub struct Restarts {
    config: Config,
    recent: VecDeque<Time>,
}

impl Restarts {
    /// Creates an empty history.
    pub fn new(config: Config) -> Self {
        Self { config, recent: VecDeque::new() }
    }

    /// Records a failure and returns the delay before the restart, or `None` if
    /// the limit is reached.
    ///
    /// Without a limit, a child that fails at each start would restart forever
    /// and hide the fault. With it, the process exits with a failure that the
    /// platform notices, and the entry VM is replaced.
    pub fn on_failure(&mut self, now: Time) -> Option<Duration> {
        while self.recent.front().is_some_and(|at| now - *at > self.config.within) {
            self.recent.pop_front();
        }
        if self.recent.len() >= self.config.restarts {
            return None;
        }
        let doublings = u32::try_from(self.recent.len()).unwrap_or(u32::MAX).min(16);
        self.recent.push_back(now);
        Some(self.config.delay * (1 << doublings))
    }
}

struct Child {
    name: &'static str,
    start: Start,
    restarts: Restarts,
    actor: Option<ActorOwnAnon>,
}

/// An actor that starts children and restarts them when they fail.
pub struct Supervisor {
    name: &'static str,
    clock: Monotonic,
    config: Config,
    children: Vec<Child>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    pub fn init(_: CX![], name: &'static str, clock: Monotonic, config: Config) -> Option<Self> {
        Some(Self { name, clock, config, children: Vec::new() })
    }

    /// Adds a child and starts it.
    pub fn add(&mut self, cx: CX![], name: &'static str, start: Start) {
        let restarts = Restarts::new(self.config);
        self.children.push(Child { name, start, restarts, actor: None });
        self.start(cx, self.children.len() - 1);
    }

    fn start(&mut self, cx: CX![], index: usize) {
        let on_end = ret_some_to!([cx], on_child_end(index) as (StopCause));
        let Some(child) = self.children.get_mut(index) else { return };
        ::log::debug!("{}: starting {}", self.name, child.name);
        child.actor = Some((child.start)(cx, on_end));
    }

    fn on_child_end(&mut self, cx: CX![], index: usize, cause: StopCause) {
        let Some(child) = self.children.get_mut(index) else { return };
        child.actor = None;
        if !cause.has_error() {
            ::log::info!("{}: {} ended", self.name, child.name);
            return;
        }
        ::log::error!("{}: {} failed: {cause}", self.name, child.name);
        match child.restarts.on_failure(self.clock.now()) {
            Some(delay) => {
                after!(delay, [cx], start(index));
            }
            None => {
                let message = format!("{} failed too often under {}", child.name, self.name);
                cx.fail_string(message);
            }
        }
    }
}

/// Shuts the event loop down if `cause` is a failure, such as that of the root
/// supervisor after too many restarts.
pub fn escalate(stakker: &mut stakker::Core, cause: Option<StopCause>) {
    if let Some(cause) = cause
        && cause.has_error()
    {
        stakker.shutdown(cause);
    }
}
