//! The actor that shuts the process down gracefully.

use std::rc::Rc;
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::{Service, Tick};
use stakker::{Actor, CX, StopCause, call, fwd_to};

use crate::claims;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::membership;

/// The interval between checks whether the next step is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long to wait for the store to release the leases of this process. A lease that is
/// not released expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the process ends.
#[derive(Clone, Debug)]
pub enum Reason {
    /// A signal requested it.
    Asked,
    /// It can no longer serve requests and ends with a failure.
    Failed(String),
}

/// Timing of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long requests are still served after the readiness check fails.
    pub grace: Duration,
    /// How long to wait for requests in flight after that. No request is in flight for
    /// longer than its timeout, so none is cut off.
    pub limit: Duration,
}

/// The actors that release leases on a stop.
#[derive(Clone, Default)]
pub struct Targets {
    /// The actor of the member record.
    pub membership: Inbox<membership::Message>,
    /// The actors of the claim shards.
    pub shards: Vec<claims::Inboxes>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Running,
    /// The readiness check fails; requests are still served.
    Grace(Time),
    /// New requests are refused; requests in flight are awaited.
    Draining(Time),
    /// Leases are being released.
    Releasing(Time),
}

/// Shuts the process down step by step.
pub struct Stop {
    hub: Rc<Hub>,
    config: Config,
    targets: Targets,
    step: Step,
    reason: Reason,
}

impl Stop {
    /// Starts the actor, connected to `inbox`.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        config: Config,
        targets: Targets,
        inbox: Inbox<Reason>,
        (handle, timer): (Handle, Actor<Service>),
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], begin() as (Reason));
        inbox.connect(Port::open(cx, handle, fwd));
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(CHECK_INTERVAL, tick));
        Some(Self { hub, config, targets, step: Step::Running, reason: Reason::Asked })
    }

    /// Begins the shutdown. A second signal is ignored, so that it cuts nothing off.
    fn begin(&mut self, _: CX![], reason: Reason) {
        if self.step != Step::Running {
            return;
        }
        ::log::info!(in_flight = self.hub.shared.in_flight(); "stopping: {reason:?}");
        self.reason = reason;
        self.hub.shared.begin_stop();
        self.step = Step::Grace(self.hub.shared.clock.now() + self.config.grace);
    }

    fn tick(&mut self, cx: CX![], tick: Tick) {
        let shared = &self.hub.shared;
        match self.step {
            Step::Grace(until) if tick.now >= until => {
                shared.refuse_new();
                self.step = Step::Draining(tick.now + self.config.limit);
            }
            Step::Draining(until) if shared.in_flight() == 0 || tick.now >= until => {
                ::log::info!(in_flight = shared.in_flight(); "stopping: releasing leases");
                self.release();
                self.step = Step::Releasing(tick.now + RELEASE_TIMEOUT);
            }
            Step::Releasing(until) if self.is_released() || tick.now >= until => self.shut_down(cx),
            _ => {}
        }
    }

    fn release(&self) {
        let _ = self.targets.membership.send(membership::Message::Release);
        for shard in &self.targets.shards {
            let _ = shard.own.send(claims::Message::Release);
        }
    }

    /// Whether the store no longer lists this process as a member or owner, as seen by
    /// the watch.
    fn is_released(&self) -> bool {
        let view = self.hub.view.borrow();
        let me = self.hub.me();
        let is_listed = view.members().any(|m| m.name == me.name && m.role == me.role);
        let is_owner = (0..self.targets.shards.len()).any(|shard| {
            let owner = u32::try_from(shard).ok().and_then(|shard| view.owner(shard));
            owner.is_some_and(|owner| owner.name == me.name)
        });
        !is_listed && !is_owner
    }

    fn shut_down(&self, cx: CX![]) {
        let cause = match &self.reason {
            Reason::Asked => StopCause::Stopped,
            Reason::Failed(why) => StopCause::Failed(why.clone().into()),
        };
        cx.shutdown(cause);
    }
}
