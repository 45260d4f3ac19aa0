//! The actor of one shard of claims: takes the shard over when it is this
//! process's turn, owns it, and answers questions.

mod journal;
mod machine;
mod message;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_coord::claim::{Action, Ask, Event, Verdict, segment};
use corianderfork_coord::lease::{self, Holder, Token};
use corianderfork_model::Time;
use corianderfork_runtime::clock;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::{Service, Tick};
use corianderfork_wire::peer;
use stakker::{Actor, CX, after, call, fwd_to};

use crate::alarm::Alarm;
use crate::claimant::{Message as FromOthers, Question};
use crate::convert;
use crate::hub::Hub;
use crate::lease::{Kept, carry_out};
use crate::membership::Means;
use crate::metrics::Gauge;
use crate::takeover;
use machine::Machine;

pub use message::{Inboxes, Message};

/// How often a shard without an owner is looked at.
const PERIOD: Duration = Duration::from_millis(250);
/// Questions that wait for an answer at once.
const MAX_WAITING: usize = 4096;

/// One shard.
pub struct Shard {
    hub: Rc<Hub>,
    means: Means,
    shard: u32,
    kept: Kept,
    inboxes: Inboxes,
    holder: Option<Holder>,
    /// How many holders there were.
    holders: u64,
    machine: Option<(Token, Machine)>,
    replies: HashMap<u64, Box<dyn FnOnce(peer::ClaimReply) + Send>>,
    next: u64,
    /// Since when the shard is seen without an owner.
    vacant: Option<Time>,
    released: bool,
    lease_alarm: Alarm,
    claim_alarm: Alarm,
}

impl Shard {
    /// Listens at `inboxes`.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        means: Means,
        kept: Kept,
        (shard, inboxes): (u32, Inboxes),
        timer: Actor<Service>,
    ) -> Option<Self> {
        let fwd = fwd_to!([cx], asked() as (FromOthers));
        inboxes.claims.connect(Port::open(cx, means.handle.clone(), fwd));
        let fwd = fwd_to!([cx], heard() as (Message));
        inboxes.own.connect(Port::open(cx, means.handle.clone(), fwd));
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(PERIOD, tick));
        Some(Self {
            hub,
            means,
            shard,
            kept,
            inboxes,
            holder: None,
            holders: 0,
            machine: None,
            replies: HashMap::new(),
            next: 0,
            vacant: None,
            released: false,
            lease_alarm: Alarm::default(),
            claim_alarm: Alarm::default(),
        })
    }

    fn tick(&mut self, cx: CX![], tick: Tick) {
        if self.released {
            return;
        }
        let (owner, turn) = {
            let view = self.hub.view.borrow();
            let me = self.hub.me();
            let owner = view.owner(self.shard).cloned();
            (owner, takeover::turn(self.shard, &me, view.members()))
        };
        if owner.is_some() {
            self.vacant = None;
            let is_other = owner.is_some_and(|owner| !self.hub.is_me(&owner));
            if is_other && self.holder.is_some() && self.machine.is_none() {
                // Another was faster; trying on would cost a call now and then.
                self.feed_lease(cx, lease::Event::Release);
                self.holder = None;
            }
            return;
        }
        let since = *self.vacant.get_or_insert(tick.now);
        if self.holder.is_none() && turn.is_some_and(|turn| tick.now - since >= turn) {
            let config = lease::Config::new().ttl(self.kept.ttl);
            self.holder = Some(Holder::new(config, clock::seed()));
            self.holders += 1;
            self.feed_lease(cx, lease::Event::Tick);
        }
    }

    fn asked(&mut self, cx: CX![], message: FromOthers) {
        match message {
            FromOthers::Ask(question) => self.ask(cx, question),
            FromOthers::Settle { id, attempt, end } => {
                self.feed_claim(cx, Event::Settle { id, attempt, end });
            }
        }
    }

    fn ask(&mut self, cx: CX![], question: Question) {
        if self.machine.is_none() {
            let verdict = peer::Verdict::NotOwner.into();
            (question.reply)(peer::ClaimReply { verdict, retry_after_ms: 0 });
            return;
        }
        if self.replies.len() >= MAX_WAITING {
            (question.reply)(unavailable());
            return;
        }
        let key = self.next;
        self.next += 1;
        self.replies.insert(key, question.reply);
        self.feed_claim(cx, Event::Ask(Ask { key, id: question.id, attempt: question.attempt }));
    }

    fn heard(&mut self, cx: CX![], message: Message) {
        match message {
            Message::Lease(holder, answer) => {
                // One of an earlier holder would be taken for the answer to
                // whatever this one asked.
                if holder == self.holders {
                    self.feed_lease(cx, lease::Event::Store(answer));
                }
            }
            Message::Journal(token, answer) => {
                // The answer to a machine that is gone says nothing to this one.
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
        let due = self.lease_alarm.set(holder.wake());
        if let Some(at) = due {
            after!(at - now, [cx], wake_lease(at));
        }
        for action in actions {
            self.on_lease(cx, action);
        }
    }

    fn on_lease(&mut self, cx: CX![], action: lease::Action) {
        match action {
            lease::Action::Started { token } => return self.start(cx, token),
            lease::Action::Stopped => return self.drop_machine(),
            _ => {}
        }
        let (inbox, holder) = (self.inboxes.own.clone(), self.holders);
        // Nobody waits for the answer to a revoke.
        let awaited = !matches!(action, lease::Action::Revoke { .. });
        let then = move |answer| {
            if awaited {
                let _ = inbox.send_wait(Message::Lease(holder, answer));
            }
        };
        let sent = carry_out(&self.means.pool, &self.means.store, &self.kept, action, then);
        if sent.is_err() && awaited {
            call!([cx], heard(Message::Lease(holder, lease::Answer::Failed)));
        }
    }

    fn start(&mut self, cx: CX![], token: Token) {
        let me = self.hub.me();
        let writer = segment::Writer::new(me.name, me.incarnation);
        self.machine = Some((token, Machine::new(writer, token)));
        ::log::info!(shard = self.shard, token = token.0; "taking over a shard of claims");
        self.hub.shared.metrics.add(Gauge::Shards);
        self.feed_claim(cx, Event::Tick);
    }

    /// Questions that wait are answered: no claim is granted any more. One
    /// that was written all the same stays taken, which runs nothing twice.
    fn drop_machine(&mut self) {
        if self.machine.take().is_some() {
            ::log::info!(shard = self.shard; "no longer the owner of a shard of claims");
            self.hub.shared.metrics.sub(Gauge::Shards);
        }
        for (_, reply) in self.replies.drain() {
            reply(unavailable());
        }
    }

    fn wake_claim(&mut self, cx: CX![], at: Time) {
        self.claim_alarm.fired(at);
        self.feed_claim(cx, Event::Tick);
    }

    fn feed_claim(&mut self, cx: CX![], event: Event) {
        // Ids carry Unix time, so that is what this machine counts in.
        let now = Time::from_millis(clock::unix_millis());
        let Some((token, machine)) = &mut self.machine else { return };
        let token = *token;
        let (actions, became) = machine.on_event(now, event);
        if let Some(ids) = became {
            ::log::info!(shard = self.shard, ids; "owner of a shard of claims");
        }
        let due = machine.wake();
        if let Some(at) = self.claim_alarm.set(due) {
            after!(at - now, [cx], wake_claim(at));
        }
        for action in actions {
            self.on_claim(cx, token, action);
        }
    }

    fn on_claim(&mut self, cx: CX![], token: Token, action: Action) {
        match action {
            Action::Reply { key, verdict } => {
                if let Some(reply) = self.replies.remove(&key) {
                    reply(convert::verdict(verdict));
                }
            }
            Action::Deposed => {
                self.drop_machine();
                self.feed_lease(cx, lease::Event::Release);
                self.holder = None;
            }
            action => self.call(cx, token, action),
        }
    }

    fn call(&self, cx: CX![], token: Token, action: Action) {
        let Some(failed) = journal::failure(&action) else { return };
        let (store, shard) = (Arc::clone(&self.means.store), self.shard);
        let inbox = self.inboxes.own.clone();
        let job = move || {
            if let Some(answer) = journal::carry_out(&*store, shard, action) {
                let _ = inbox.send_wait(Message::Journal(token, answer));
            }
        };
        if self.means.pool.submit(job).is_err() {
            call!([cx], heard(Message::Journal(token, failed)));
        }
    }
}

fn unavailable() -> peer::ClaimReply {
    convert::verdict(Verdict::Unavailable { retry_after: Duration::from_secs(1) })
}
