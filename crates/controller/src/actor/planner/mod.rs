//! Decides for the fleet while this process holds the lease.

mod outcome;
mod poll;
mod submit;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use corianderfork_coord::backoff::{self, Backoff};
use corianderfork_coord::lease::{Answer, Event};
use corianderfork_model::Time;
use corianderfork_provider::audit::Writer;
use corianderfork_provider::fleet::Control;
use corianderfork_provider::record::{Explain, Phase, Wave};
use corianderfork_provider::store::{Error, Store};
use corianderfork_runtime::clock::unix_millis;
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::Tick;
use corianderfork_runtime::worker::Pool;
use stakker::{CX, Share, after, fwd_to};

use crate::execute::Written;
use crate::facts::Facts;
use crate::gauges::Gauges;
use crate::lease::{Tenure, Turn};
use crate::outbox::{Heard, Lines, Told};
use crate::plan::action::{Action, Write};
use crate::plan::{Inputs, Planner as Plan};
use crate::state::World;
use poll::{Polled, Source};

pub use poll::Poll;

/// What reaches the actor from other threads.
enum Incoming {
    Lease(Answer),
    Polled(Time, Polled),
    Written(Box<Write>, String, Written),
    WaveWritten(Box<Wave>, Box<Wave>, Written),
    Called(Action, Result<(), Error>),
    Audited(Result<(), Error>),
    Explained(Box<Explain>, Written),
    Heard(u64, Written),
}

/// The threads and the platform behind them.
#[derive(Clone)]
pub struct Outside {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The platform's control.
    pub control: Arc<dyn Control>,
    /// Threads for writes.
    pub writes: Pool,
    /// Threads for starts, stops and reboots.
    pub calls: Pool,
    /// Threads for reads.
    pub reads: Pool,
    /// The metrics.
    pub gauges: Gauges,
}

/// The actor.
pub struct Planner {
    world: Share<World>,
    plan: Plan,
    facts: Facts,
    tenure: Tenure,
    since: Option<Time>,
    outside: Outside,
    sources: BTreeMap<Poll, Source>,
    /// Writes whose end is unknown, to be read back.
    unknown: Vec<(Box<Write>, String)>,
    lines: Lines,
    told: Told,
    /// What operators were told to have been heard.
    heard: Heard,
    writer: Arc<Mutex<Writer>>,
    gauges: Gauges,
    port: Port<Incoming>,
    /// A decision is due soon, as something has become known.
    soon: bool,
    /// No decision is made before.
    rest_until: Time,
    /// Until then copies or VMs may be between two states.
    active_until: Time,
    /// When the last decision was made, and on which news.
    decided: (Time, u64),
}

/// After each decision this process rests for so many times as long as it took.
/// With a large fleet, decisions would otherwise follow one another and leave
/// the core no time for its peers; one part in 24 is what a core has for them.
const REST: u32 = 24;
/// How long after something became known it is decided on: what arrives
/// together is decided on together.
const SOON: Duration = Duration::from_millis(50);
/// How long after a change tasks are still looked at often: longer than a copy
/// takes to start.
const ACTIVE: Duration = Duration::from_secs(30);
/// How often is decided while no shared record changes and nothing is under
/// way: a decision looks at the whole fleet, and at rest it comes to nothing.
/// What only the platform's lists or the proxies tell waits that long at most.
const DECIDE_AT_REST: Duration = Duration::from_secs(2);

impl Planner {
    /// How often the lease is looked after.
    pub const PERIOD: Duration = Duration::from_millis(100);

    /// Starts without the lease.
    pub fn init(
        cx: CX![],
        world: Share<World>,
        plan: Plan,
        tenure: Tenure,
        outside: Outside,
        handle: Handle,
        seed: u64,
    ) -> Option<Self> {
        let gauges = outside.gauges.clone();
        let fwd = fwd_to!([cx], on_incoming() as (Incoming));
        let port = Port::open(cx, handle, fwd);
        let waits = backoff::Config::new().first(Duration::from_millis(200));
        let waits = waits.max(Duration::from_secs(10));
        let polls = [Poll::Tasks, Poll::Vms, Poll::Wave, Poll::Usage];
        let source = |(i, poll)| {
            let backoff = Backoff::new(waits, seed.wrapping_add(i));
            (poll, Source { backoff, resume: Time::ZERO, out: false, last: Time::ZERO })
        };
        Some(Self {
            world,
            plan,
            facts: Facts::default(),
            tenure,
            since: None,
            outside,
            sources: (0..).zip(polls).map(source).collect(),
            unknown: Vec::new(),
            lines: Lines::default(),
            told: Told::default(),
            heard: Heard::default(),
            writer: Arc::default(),
            gauges,
            port,
            soon: false,
            rest_until: Time::ZERO,
            active_until: Time::ZERO,
            decided: (Time::ZERO, 0),
        })
    }

    /// Looks after the lease.
    pub fn on_lease_tick(&mut self, cx: CX![], tick: Tick) {
        self.event(cx, Event::Tick);
        let held = self.tenure.token(tick.now).is_some();
        self.gauges.on_tick(held);
        if held {
            self.tell_heard(cx);
        }
        // With or without the lease: the last changes made under it are in
        // here, and no other process knows them.
        self.audit(tick.now);
    }

    /// Gives the lease up: the process is stopping.
    pub fn stop(&mut self, cx: CX![]) {
        self.event(cx, Event::Release);
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let port = self.port.clone();
        let then = move |answer| {
            // Fails only once the core has ended.
            let _ = port.send_wait(Incoming::Lease(answer));
        };
        for turn in self.tenure.on_event(event, then) {
            let now = self.world.ro(cx).clock.now();
            match turn {
                Turn::Started => self.begin(now),
                Turn::Stopped => {
                    self.since = None;
                    log::warn!("this process no longer decides for the fleet");
                }
            }
        }
    }

    fn begin(&mut self, now: Time) {
        log::info!("this process decides for the fleet from now on");
        self.since = Some(now);
        // What was known from an earlier time as holder is old: another one
        // has started and stopped copies since.
        self.facts.clear();
        self.plan.begin();
        for source in self.sources.values_mut() {
            source.resume = Time::ZERO;
        }
        for poll in [Poll::Tasks, Poll::Vms, Poll::Wave, Poll::Usage] {
            self.poll(now, poll);
        }
    }

    /// Decides, if this process may.
    pub fn on_decide(&mut self, cx: CX![], tick: Tick) {
        self.decide(cx, tick.now);
    }

    fn decide_soon(&mut self, cx: CX![]) {
        self.soon = false;
        let now = self.world.ro(cx).clock.now();
        self.decide(cx, now);
    }

    fn decide(&mut self, cx: CX![], now: Time) {
        let unix = Time::from_millis(unix_millis());
        let world = self.world.ro(cx);
        self.plan.learn(now, unix, &world.view, &world.directory);
        let Some(fence) = self.tenure.fence() else { return };
        if now < self.rest_until {
            return;
        }
        let fresh = self.since.is_some_and(|since| self.facts.is_fresh(since));
        if !fresh || world.view.synced().is_none() || world.view.failing_since().is_some() {
            return;
        }
        let (last, news) = self.decided;
        let same = news == world.view.news() && now >= self.active_until;
        if same && now - last < DECIDE_AT_REST {
            return;
        }
        self.decided = (now, world.view.news());
        let began = Instant::now();
        let round = self.plan.decide(&mut Inputs {
            now,
            unix,
            view: &world.view,
            directory: &world.directory,
            facts: &mut self.facts,
        });
        self.rest_until = now + began.elapsed() * REST;
        let Some(round) = round else { return };
        self.gauges.on_decision(began.elapsed(), round.deferred, &round.counts);
        let between =
            |phase| matches!(phase, Phase::Draining | Phase::Rebooting | Phase::Returning);
        let moving = world.view.vms().any(|(_, held)| between(held.record.phase));
        if moving || !round.actions.is_empty() {
            self.active_until = now + ACTIVE;
        }
        self.carry_out(now, &fence, &round);
        self.explain(now, &fence, round.explain);
        self.read_unknown();
    }

    fn on_incoming(&mut self, cx: CX![], incoming: Incoming) {
        let now = self.world.ro(cx).clock.now();
        let news = matches!(incoming, Incoming::Polled(..) | Incoming::Written(..));
        if news && !self.soon && self.since.is_some() {
            self.soon = true;
            after!(SOON, [cx], decide_soon());
        }
        match incoming {
            Incoming::Lease(answer) => self.event(cx, Event::Store(answer)),
            Incoming::Polled(sent, polled) => self.on_polled(now, sent, polled),
            Incoming::Written(write, value, end) => self.on_written(cx, write, value, end),
            Incoming::WaveWritten(from, wave, end) => self.on_wave_written(now, &from, *wave, end),
            Incoming::Called(action, end) => self.on_called(now, &action, &end),
            Incoming::Audited(end) => {
                if let Err(error) = &end {
                    log::warn!(error:% = error; "the audit trail was not written");
                }
                self.lines.on_end(end.is_ok());
            }
            Incoming::Heard(revision, end) => {
                self.heard.on_end(matches!(end, Written::Applied(_)).then_some(revision));
            }
            Incoming::Explained(explain, end) => match end {
                Written::Applied(revision) => self.told.on_end(Some(*explain), Some(revision)),
                Written::Conflict(entry) => {
                    self.told.on_end(None, entry.map(|entry| entry.revision));
                }
                // Whatever is there by now, the next write finds out.
                _ => self.told.on_end(None, None),
            },
        }
    }
}
