//! The actor that keeps this process's member record in the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::lease::{self, Action, Answer, Event, Holder};
use corianderfork_model::Time;
use corianderfork_provider::store::Store;
use corianderfork_runtime::clock;
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::worker::Pool;
use stakker::{CX, after, call, fwd_to};

use crate::alarm::Alarm;
use crate::hub::Hub;
use crate::inbox::Inbox;
use crate::lease::{Kept, carry_out};

/// The means to call the store off the core's thread.
#[derive(Clone)]
pub struct Means {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The store by connections of its own, for the watch.
    ///
    /// After connections went silent, each that is pooled costs one timeout
    /// before a new one is opened. The watch must not wait for those of other
    /// calls: what it would miss meanwhile is drains and configurations.
    pub watched: Arc<dyn Store>,
    /// The store by connections of its own, for the watch of drains.
    pub watched_drains: Arc<dyn Store>,
    /// Threads for calls that block.
    pub pool: Pool,
    /// The core.
    pub handle: Handle,
}

/// What reaches the actor from other threads.
pub enum Message {
    /// The store answered.
    Store(Answer),
    /// The process is stopping: give the record up.
    Release,
}

/// Keeps the member record under a lease.
pub struct Membership {
    hub: Rc<Hub>,
    means: Means,
    kept: Kept,
    inbox: Inbox<Message>,
    holder: Holder,
    alarm: Alarm,
}

impl Membership {
    /// Listens at `inbox` and registers.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        means: Means,
        kept: Kept,
        inbox: Inbox<Message>,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], heard() as (Message));
        inbox.connect(Port::open(cx, means.handle.clone(), fwd));
        let holder = Holder::new(lease::Config::new().ttl(kept.ttl), clock::seed());
        let mut this = Self { hub, means, kept, inbox, holder, alarm: Alarm::default() };
        this.feed(cx, Event::Tick);
        Some(this)
    }

    fn heard(&mut self, cx: CX![], message: Message) {
        match message {
            Message::Store(answer) => self.feed(cx, Event::Store(answer)),
            Message::Release => self.feed(cx, Event::Release),
        }
    }

    fn wake(&mut self, cx: CX![], at: Time) {
        self.alarm.fired(at);
        self.feed(cx, Event::Tick);
    }

    fn feed(&mut self, cx: CX![], event: Event) {
        let now = self.hub.shared.clock.now();
        for action in self.holder.on_event(now, event) {
            self.carry_out(cx, action);
        }
        if let Some(at) = self.alarm.set(self.holder.next_tick()) {
            let delay: Duration = at - now;
            after!(delay, [cx], wake(at));
        }
    }

    fn carry_out(&self, cx: CX![], action: Action) {
        match action {
            Action::Started { .. } => ::log::info!(key = self.kept.key.as_str(); "registered"),
            Action::Stopped => ::log::warn!(key = self.kept.key.as_str(); "no longer registered"),
            _ => {}
        }
        let inbox = self.inbox.clone();
        // Nobody waits for the answer to a revoke.
        let awaited = !matches!(action, Action::Revoke { .. });
        let then = move |answer| {
            if awaited {
                let _ = inbox.send_wait(Message::Store(answer));
            }
        };
        let sent = carry_out(&self.means.pool, &self.means.store, &self.kept, action, then);
        if sent.is_err() && awaited {
            call!([cx], heard(Message::Store(Answer::Failed)));
        }
    }
}
