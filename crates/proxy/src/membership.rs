//! The actor that keeps the member record of this process in the store.

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
use crate::lease::{Registration, execute};

/// Access to the store off the core thread.
#[derive(Clone)]
pub struct StoreAccess {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The store on separate connections, for the watch of all records.
    ///
    /// After connections went silent, each pooled one costs a timeout before a new one is
    /// opened. The watch must not wait for the connections of other calls, because it
    /// would miss drains and configurations meanwhile.
    pub watch_store: Arc<dyn Store>,
    /// The store on separate connections, for the watch of drain requests.
    pub drain_watch_store: Arc<dyn Store>,
    /// The store on separate connections, for the watches of few VMs' drain requests and
    /// of the configuration.
    pub group_watch_store: Arc<dyn Store>,
    /// Threads for blocking calls.
    pub pool: Pool,
    /// The handle of the core.
    pub handle: Handle,
}

/// A message from another thread.
pub enum Message {
    /// The answer to a store call.
    Store(Answer),
    /// The process is stopping: release the record.
    Release,
}

/// Keeps the member record under a lease.
pub struct Membership {
    hub: Rc<Hub>,
    access: StoreAccess,
    registration: Registration,
    inbox: Inbox<Message>,
    holder: Holder,
    alarm: Alarm,
}

impl Membership {
    /// Starts the actor, connected to `inbox`, and registers this process.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        access: StoreAccess,
        registration: Registration,
        inbox: Inbox<Message>,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], on_message() as (Message));
        inbox.connect(Port::open(cx, access.handle.clone(), fwd));
        let holder = Holder::new(lease::Config::new().ttl(registration.ttl), clock::seed());
        let mut this = Self { hub, access, registration, inbox, holder, alarm: Alarm::default() };
        this.on_event(cx, Event::Tick);
        Some(this)
    }

    fn on_message(&mut self, cx: CX![], message: Message) {
        match message {
            Message::Store(answer) => self.on_event(cx, Event::Store(answer)),
            Message::Release => self.on_event(cx, Event::Release),
        }
    }

    fn wake(&mut self, cx: CX![], at: Time) {
        self.alarm.fired(at);
        self.on_event(cx, Event::Tick);
    }

    fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.hub.shared.clock.now();
        for action in self.holder.on_event(now, event) {
            self.execute(cx, action);
        }
        if let Some(at) = self.alarm.set(self.holder.next_tick()) {
            let delay: Duration = at - now;
            after!(delay, [cx], wake(at));
        }
    }

    fn execute(&self, cx: CX![], action: Action) {
        match action {
            Action::Started { .. } => {
                ::log::info!(key = self.registration.key.as_str(); "registered")
            }
            Action::Stopped => {
                ::log::warn!(key = self.registration.key.as_str(); "no longer registered")
            }
            _ => {}
        }
        let inbox = self.inbox.clone();
        // The answer to a revoke is not needed.
        let awaited = !matches!(action, Action::Revoke { .. });
        let on_answer = move |answer| {
            if awaited {
                let _ = inbox.send_wait(Message::Store(answer));
            }
        };
        let submitted =
            execute(&self.access.pool, &self.access.store, &self.registration, action, on_answer);
        if submitted.is_err() && awaited {
            call!([cx], on_message(Message::Store(Answer::Failed)));
        }
    }
}
