//! Makes decisions for the fleet while this process holds the lease.

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

use crate::execute::Outcome;
use crate::facts::Facts;
use crate::gauges::Gauges;
use crate::lease::{Lease, Transition};
use crate::outbox::{Acknowledgement, Audit, Explanation};
use crate::plan::action::{Action, Write};
use crate::plan::{Inputs, Planner as Plan};
use crate::state::State;
use poll::{PollResult, PollState};

pub use poll::Poll;

/// A message from another thread.
enum Message {
    LeaseAnswer(Answer),
    Polled(Time, PollResult),
    VmWritten(Box<Write>, String, Outcome),
    WaveWritten(Box<Wave>, Box<Wave>, Outcome),
    Called(Action, Result<(), Error>),
    AuditWritten(Result<(), Error>),
    ExplanationWritten(Box<Explain>, Outcome),
    AcknowledgementWritten(u64, Outcome),
}

/// The platform's interfaces and the thread pools that call them.
#[derive(Clone)]
pub struct Resources {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The platform's control interface.
    pub control: Arc<dyn Control>,
    /// The pool for writes.
    pub writes: Pool,
    /// The pool for starts, stops and reboots.
    pub calls: Pool,
    /// The pool for reads.
    pub reads: Pool,
    /// The metrics.
    pub gauges: Gauges,
}

/// The actor that makes decisions.
pub struct Planner {
    state: Share<State>,
    plan: Plan,
    facts: Facts,
    lease: Lease,
    held_since: Option<Time>,
    resources: Resources,
    polls: BTreeMap<Poll, PollState>,
    /// Writes whose outcome is unknown, to be read back.
    unconfirmed: Vec<(Box<Write>, String)>,
    audit: Audit,
    explanation: Explanation,
    /// The operators' writes acknowledged so far.
    acknowledgement: Acknowledgement,
    writer: Arc<Mutex<Writer>>,
    gauges: Gauges,
    port: Port<Message>,
    /// Whether a decision is scheduled after [`DECISION_DELAY`].
    decision_scheduled: bool,
    /// No decision is made before this time.
    paused_until: Time,
    /// Until this time, copies or VMs may be between two states.
    active_until: Time,
    /// The time of the last decision, and the view's generation at that time.
    last_decision: (Time, u64),
}

/// After a decision this process pauses for this many times its duration.
/// Otherwise, in a large fleet, decisions would follow one another without a
/// pause and leave the core no time for its peers. Decisions use at most about
/// one part in 24 of the core's time.
const PAUSE_FACTOR: u32 = 24;
/// The delay between new information and the decision on it, so that
/// information arriving together leads to a single decision.
const DECISION_DELAY: Duration = Duration::from_millis(50);
/// How long after a change the tasks are polled at the full rate. Longer than a
/// copy takes to start.
const ACTIVE_PERIOD: Duration = Duration::from_secs(30);
/// The time between decisions while no shared record changes and nothing is in
/// progress: each decision goes over the whole fleet and, at rest, changes
/// nothing. Information that comes only from the platform's lists or the
/// proxies waits this long at most.
const IDLE_DECISION_INTERVAL: Duration = Duration::from_secs(2);

impl Planner {
    /// The period of [`Planner::on_lease_tick`].
    pub const PERIOD: Duration = Duration::from_millis(100);

    /// Starts the actor without the lease.
    pub fn init(
        cx: CX![],
        state: Share<State>,
        plan: Plan,
        lease: Lease,
        resources: Resources,
        handle: Handle,
        seed: u64,
    ) -> Option<Self> {
        let gauges = resources.gauges.clone();
        let fwd = fwd_to!([cx], on_message() as (Message));
        let port = Port::open(cx, handle, fwd);
        let waits = backoff::Config::new().first(Duration::from_millis(200));
        let waits = waits.max(Duration::from_secs(10));
        let kinds = [Poll::Tasks, Poll::Vms, Poll::Wave, Poll::Usage];
        let poll_state = |(i, poll)| {
            let backoff = Backoff::new(waits, seed.wrapping_add(i));
            (
                poll,
                PollState {
                    backoff,
                    retry_at: Time::ZERO,
                    in_flight: false,
                    last_sent: Time::ZERO,
                },
            )
        };
        Some(Self {
            state,
            plan,
            facts: Facts::default(),
            lease,
            held_since: None,
            resources,
            polls: (0..).zip(kinds).map(poll_state).collect(),
            unconfirmed: Vec::new(),
            audit: Audit::default(),
            explanation: Explanation::default(),
            acknowledgement: Acknowledgement::default(),
            writer: Arc::default(),
            gauges,
            port,
            decision_scheduled: false,
            paused_until: Time::ZERO,
            active_until: Time::ZERO,
            last_decision: (Time::ZERO, 0),
        })
    }

    /// Renews or requests the lease if that is due, and writes the pending
    /// records for operators.
    pub fn on_lease_tick(&mut self, cx: CX![], tick: Tick) {
        self.on_lease_event(cx, Event::Tick);
        let held = self.lease.token(tick.now).is_some();
        self.gauges.on_tick(held);
        if held {
            self.write_acknowledgement(cx);
        }
        // Done with or without the lease: the queue holds the last changes made
        // under it, and no other process knows them.
        self.write_audit(tick.now);
    }

    /// Releases the lease, as the process is stopping.
    pub fn stop(&mut self, cx: CX![]) {
        self.on_lease_event(cx, Event::Release);
    }

    fn on_lease_event(&mut self, cx: CX![], event: Event) {
        let port = self.port.clone();
        let on_answer = move |answer| {
            // Fails only if the core has ended.
            let _ = port.send_wait(Message::LeaseAnswer(answer));
        };
        for transition in self.lease.on_event(event, on_answer) {
            let now = self.state.ro(cx).clock.now();
            match transition {
                Transition::Acquired => self.on_lease_acquired(now),
                Transition::Lost => {
                    self.held_since = None;
                    log::warn!("no longer holds the planner lease");
                }
            }
        }
    }

    fn on_lease_acquired(&mut self, now: Time) {
        log::info!("acquired the planner lease");
        self.held_since = Some(now);
        // Facts from an earlier tenure are outdated: another holder has started
        // and stopped copies since.
        self.facts.clear();
        self.plan.reset();
        for poll_state in self.polls.values_mut() {
            poll_state.retry_at = Time::ZERO;
        }
        for poll in [Poll::Tasks, Poll::Vms, Poll::Wave, Poll::Usage] {
            self.poll(now, poll);
        }
    }

    /// Makes a decision if this process holds the lease and one is due.
    pub fn on_decide(&mut self, cx: CX![], tick: Tick) {
        self.decide(cx, tick.now);
    }

    fn scheduled_decide(&mut self, cx: CX![]) {
        self.decision_scheduled = false;
        let now = self.state.ro(cx).clock.now();
        self.decide(cx, now);
    }

    fn decide(&mut self, cx: CX![], now: Time) {
        let unix = Time::from_millis(unix_millis());
        let state = self.state.ro(cx);
        self.plan.update(now, unix, &state.view, &state.directory);
        let Some(fence) = self.lease.fence() else { return };
        if now < self.paused_until {
            return;
        }
        let is_fresh = self.held_since.is_some_and(|held_since| self.facts.is_fresh(held_since));
        if !is_fresh || state.view.last_sync().is_none() || state.view.failing_since().is_some() {
            return;
        }
        let (last, generation) = self.last_decision;
        let unchanged = generation == state.view.generation() && now >= self.active_until;
        if unchanged && now - last < IDLE_DECISION_INTERVAL {
            return;
        }
        self.last_decision = (now, state.view.generation());
        let began = Instant::now();
        let decision = self.plan.decide(&mut Inputs {
            now,
            unix,
            view: &state.view,
            directory: &state.directory,
            facts: &mut self.facts,
        });
        self.paused_until = now + began.elapsed() * PAUSE_FACTOR;
        let Some(decision) = decision else { return };
        self.gauges.on_decision(began.elapsed(), decision.deferred, &decision.counts);
        let is_transient =
            |phase| matches!(phase, Phase::Draining | Phase::Rebooting | Phase::Returning);
        let any_transient = state.view.vms().any(|(_, vm)| is_transient(vm.record.phase));
        if any_transient || !decision.actions.is_empty() {
            self.active_until = now + ACTIVE_PERIOD;
        }
        self.submit_actions(now, &fence, &decision);
        self.write_explanation(now, &fence, decision.explain);
        self.read_back_unconfirmed();
    }

    fn on_message(&mut self, cx: CX![], message: Message) {
        let now = self.state.ro(cx).clock.now();
        let triggers_decision = matches!(message, Message::Polled(..) | Message::VmWritten(..));
        if triggers_decision && !self.decision_scheduled && self.held_since.is_some() {
            self.decision_scheduled = true;
            after!(DECISION_DELAY, [cx], scheduled_decide());
        }
        match message {
            Message::LeaseAnswer(answer) => self.on_lease_event(cx, Event::Store(answer)),
            Message::Polled(sent, result) => self.on_poll_result(now, sent, result),
            Message::VmWritten(write, value, outcome) => {
                self.on_vm_written(cx, write, value, outcome)
            }
            Message::WaveWritten(from, wave, outcome) => {
                self.on_wave_written(now, &from, *wave, outcome)
            }
            Message::Called(action, outcome) => self.on_called(now, &action, &outcome),
            Message::AuditWritten(outcome) => {
                if let Err(error) = &outcome {
                    log::warn!(error:% = error; "failed to write the audit trail");
                }
                self.audit.on_end(outcome.is_ok());
            }
            Message::AcknowledgementWritten(revision, outcome) => {
                self.acknowledgement
                    .on_end(matches!(outcome, Outcome::Applied(_)).then_some(revision));
            }
            Message::ExplanationWritten(explain, outcome) => match outcome {
                Outcome::Applied(revision) => {
                    self.explanation.on_end(Some(*explain), Some(revision))
                }
                Outcome::Conflict(entry) => {
                    self.explanation.on_end(None, entry.map(|entry| entry.revision));
                }
                // The current revision is unknown; the next write finds it out.
                _ => self.explanation.on_end(None, None),
            },
        }
    }
}
