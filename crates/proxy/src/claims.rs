//! The actor of one shard of claims: takes over the shard when it is free, owns it and
//! answers claim requests.

mod journal;
mod machine;
mod message;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::claim::{self, Action, Event, Verdict, segment};
use corianderfork_coord::lease::{self, Holder, Token};
use corianderfork_model::Time;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::{Service, Tick};
use corianderfork_wire::peer;
use stakker::{Actor, CX, after, call, fwd_to};

use crate::alarm::Alarm;
use crate::claimant::{Message as ClaimMessage, Request};
use crate::convert;
use crate::hub::Hub;
use crate::lease::{Registration, execute};
use crate::membership::StoreAccess;
use crate::metrics::Gauge;
use crate::takeover;
use machine::Machine;

pub use message::{Inboxes, Message};

/// The interval between checks for a shard without an owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of claim requests that wait for a reply.
const MAX_PENDING: usize = 4096;

/// The actor of one shard.
pub struct Shard {
    hub: Rc<Hub>,
    access: StoreAccess,
    shard: u32,
    registration: Registration,
    inboxes: Inboxes,
    holder: Option<Holder>,
    /// The number of holders created so far, which identifies the current one.
    holder_number: u64,
    machine: Option<(Token, Machine)>,
    pending_replies: HashMap<u64, Box<dyn FnOnce(peer::ClaimReply) + Send>>,
    next_key: u64,
    /// When the shard was first seen without an owner.
    vacant_since: Option<Time>,
    released: bool,
    lease_alarm: Alarm,
    claim_alarm: Alarm,
}

impl Shard {
    /// Starts the actor, connected to `inboxes`.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        access: StoreAccess,
        registration: Registration,
        (shard, inboxes): (u32, Inboxes),
        timer: Actor<Service>,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], on_claim_message() as (ClaimMessage));
        inboxes.claims.connect(Port::open(cx, access.handle.clone(), fwd));
        let fwd = fwd_to!([cx], on_message() as (Message));
        inboxes.own.connect(Port::open(cx, access.handle.clone(), fwd));
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(CHECK_INTERVAL, tick));
        Some(Self {
            hub,
            access,
            shard,
            registration,
            inboxes,
            holder: None,
            holder_number: 0,
            machine: None,
            pending_replies: HashMap::new(),
            next_key: 0,
            vacant_since: None,
            released: false,
            lease_alarm: Alarm::default(),
            claim_alarm: Alarm::default(),
        })
    }

    fn tick(&mut self, cx: CX![], tick: Tick) {
        if self.released {
            return;
        }
        let (owner, delay) = {
            let view = self.hub.view.borrow();
            let me = self.hub.me();
            let owner = view.owner(self.shard).cloned();
            (owner, takeover::delay(self.shard, &me, view.members()))
        };
        if owner.is_some() {
            self.vacant_since = None;
            let is_other = owner.is_some_and(|owner| !self.hub.is_me(&owner));
            if is_other && self.holder.is_some() && self.machine.is_none() {
                // Another process was faster; further attempts would only cost store
                // calls.
                self.feed_lease(cx, lease::Event::Release);
                self.holder = None;
            }
            return;
        }
        let since = *self.vacant_since.get_or_insert(tick.now);
        if self.holder.is_none() && delay.is_some_and(|delay| tick.now - since >= delay) {
            let config = lease::Config::new().ttl(self.registration.ttl);
            self.holder = Some(Holder::new(config, clock::seed()));
            self.holder_number += 1;
            self.feed_lease(cx, lease::Event::Tick);
        }
    }

    fn on_claim_message(&mut self, cx: CX![], message: ClaimMessage) {
        match message {
            ClaimMessage::Claim(request) => self.on_claim_request(cx, request),
            ClaimMessage::Settle { id, attempt, end } => {
                self.feed_claim(cx, Event::Settle { id, attempt, end });
            }
        }
    }

    fn on_claim_request(&mut self, cx: CX![], request: Request) {
        if self.machine.is_none() {
            let verdict = peer::Verdict::NotOwner.into();
            (request.reply)(peer::ClaimReply { verdict, retry_after_ms: 0 });
            return;
        }
        if self.pending_replies.len() >= MAX_PENDING {
            (request.reply)(unavailable());
            return;
        }
        let key = self.next_key;
        self.next_key += 1;
        self.pending_replies.insert(key, request.reply);
        self.feed_claim(
            cx,
            Event::Request(claim::Request { key, id: request.id, attempt: request.attempt }),
        );
    }

    fn on_message(&mut self, cx: CX![], message: Message) {
        match message {
            Message::Lease(holder, answer) => {
                // An answer to an earlier holder would be taken for the answer to the
                // current one's call.
                if holder == self.holder_number {
                    self.feed_lease(cx, lease::Event::Store(answer));
                }
            }
            Message::Journal(token, answer) => {
                // An answer to an earlier machine does not apply to this one.
                if self.machine.as_ref().is_some_and(|(current, _)| *current == token) {
                    self.feed_claim(cx, Event::Store(answer));
                }
            }
            Message::Release => {
                self.released = true;
                self.feed_lease(cx, lease::Event::Release);
                self.drop_machine();
            }
        }
    }

    fn wake_lease(&mut self, cx: CX![], at: Time) {
        self.lease_alarm.fired(at);
        self.feed_lease(cx, lease::Event::Tick);
    }

    fn feed_lease(&mut self, cx: CX![], event: lease::Event) {
        let Some(holder) = &mut self.holder else { return };
        let now = self.hub.shared.clock.now();
        let actions = holder.on_event(now, event);
        let due = self.lease_alarm.set(holder.next_tick());
        if let Some(at) = due {
            after!(at - now, [cx], wake_lease(at));
        }
        for action in actions {
            self.execute_lease_action(cx, action);
        }
    }

    fn execute_lease_action(&mut self, cx: CX![], action: lease::Action) {
        match action {
            lease::Action::Started { token } => return self.start_takeover(cx, token),
            lease::Action::Stopped => return self.drop_machine(),
            _ => {}
        }
        let (inbox, holder) = (self.inboxes.own.clone(), self.holder_number);
        // The answer to a revoke is not needed.
        let awaited = !matches!(action, lease::Action::Revoke { .. });
        let on_answer = move |answer| {
            if awaited {
                let _ = inbox.send_wait(Message::Lease(holder, answer));
            }
        };
        let submitted =
            execute(&self.access.pool, &self.access.store, &self.registration, action, on_answer);
        if submitted.is_err() && awaited {
            call!([cx], on_message(Message::Lease(holder, lease::Answer::Failed)));
        }
    }

    fn start_takeover(&mut self, cx: CX![], token: Token) {
        let me = self.hub.me();
        let writer = segment::Writer::new(me.name, me.incarnation);
        self.machine = Some((token, Machine::new(writer, token)));
        ::log::info!(shard = self.shard, token = token.0; "taking over a claim shard");
        self.hub.shared.metrics.add(Gauge::Shards);
        self.feed_claim(cx, Event::Tick);
    }

    /// Ends ownership and refuses all pending claim requests. A claim that was written
    /// nevertheless stays taken, so it is never run twice.
    fn drop_machine(&mut self) {
        if self.machine.take().is_some() {
            ::log::info!(shard = self.shard; "no longer owner of a claim shard");
            self.hub.shared.metrics.sub(Gauge::Shards);
        }
        for (_, reply) in self.pending_replies.drain() {
            reply(unavailable());
        }
    }

    fn wake_claim(&mut self, cx: CX![], at: Time) {
        self.claim_alarm.fired(at);
        self.feed_claim(cx, Event::Tick);
    }

    fn feed_claim(&mut self, cx: CX![], event: Event) {
        // The state machine uses Unix time, because ids contain it.
        let now = Time::from_millis(clock::unix_millis());
        let Some((token, machine)) = &mut self.machine else { return };
        let token = *token;
        let (actions, remembered_ids) = machine.on_event(now, event);
        if let Some(ids) = remembered_ids {
            ::log::info!(shard = self.shard, ids; "became owner of a claim shard");
        }
        let due = machine.next_tick();
        if let Some(at) = self.claim_alarm.set(due) {
            after!(at - now, [cx], wake_claim(at));
        }
        for action in actions {
            self.execute_claim_action(cx, token, action);
        }
    }

    fn execute_claim_action(&mut self, cx: CX![], token: Token, action: Action) {
        match action {
            Action::Reply { key, verdict } => {
                if let Some(reply) = self.pending_replies.remove(&key) {
                    reply(convert::claim_reply(verdict));
                }
            }
            Action::Deposed => {
                self.drop_machine();
                self.feed_lease(cx, lease::Event::Release);
                self.holder = None;
            }
            action => self.call_store(cx, token, action),
        }
    }

    fn call_store(&self, cx: CX![], token: Token, action: Action) {
        let Some(failure) = journal::failed_answer(&action) else { return };
        let (store, shard) = (Arc::clone(&self.access.store), self.shard);
        let inbox = self.inboxes.own.clone();
        let job = move || {
            if let Some(answer) = journal::execute(&*store, shard, action) {
                let _ = inbox.send_wait(Message::Journal(token, answer));
            }
        };
        if self.access.pool.submit(job).is_err() {
            call!([cx], on_message(Message::Journal(token, failure)));
        }
    }
}

fn unavailable() -> peer::ClaimReply {
    convert::claim_reply(Verdict::Unavailable { retry_after: Duration::from_secs(1) })
}
