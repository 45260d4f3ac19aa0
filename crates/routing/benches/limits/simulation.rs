//! Simulated callers and backend servers, and the event queue between them.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_model::service::Class;
use corianderfork_model::{Name, Time};
use corianderfork_routing::limits::Policy;
use corianderfork_routing::outcome::{Attempt, Reason, Rejection};
use corianderfork_routing::router::Ticket;
use corianderfork_routing::{queue, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::proxy::{Proxy, Request, name};
use crate::scenario::{END, FAULT, MEMBER_REMOVAL, RECORD_UPDATE, Scenario};
use crate::totals::Totals;

const PROXIES: usize = 8;
const RUNNERS: usize = 10;
const SLOTS: u32 = 8;
const MEAN_SERVICE_MILLIS: f64 = 20.0;
const HOP_MILLIS: u64 = 1;
const REPORT_MILLIS: u64 = 250;
const SWEEP_MILLIS: u64 = 50;
const DEADLINE: Duration = Duration::from_secs(1);
const MAX_TRIES: u32 = 3;
enum Event {
    Fault,
    RecordUpdate,
    MemberRemoval,
    Report(usize),
    Sweep(usize),
    Arrive,
    Try(usize),
    Deliver(usize, usize),
    Free(usize),
    End(usize, Attempt),
}

pub struct Simulation {
    scenario: Scenario,
    requests_per_milli: f64,
    rng: SmallRng,
    now: u64,
    next_event: u64,
    events: BTreeMap<(u64, u64), Event>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    busy: Vec<u32>,
    leaving: Vec<bool>,
    service: Name,
    totals: Totals,
}

impl Simulation {
    pub fn new(scenario: Scenario, load: u32, policy: fn() -> Box<dyn Policy>, seed: u64) -> Self {
        let remaining = if scenario == Scenario::HalfDrains { RUNNERS / 2 } else { RUNNERS };
        let slots = remaining as f64 * f64::from(SLOTS);
        let mut simulation = Self {
            scenario,
            requests_per_milli: slots / MEAN_SERVICE_MILLIS * f64::from(load) / 100.0,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            next_event: 0,
            events: BTreeMap::new(),
            proxies: (0..PROXIES).map(|i| Proxy::new(scenario, policy(), i)).collect(),
            requests: Vec::new(),
            busy: vec![0; RUNNERS],
            leaving: vec![false; RUNNERS],
            service: name("transfer", 0),
            totals: Totals::default(),
        };
        (0..RUNNERS).for_each(|runner| simulation.publish_record(runner, 1, true));
        for i in 0..PROXIES {
            let at = REPORT_MILLIS * i as u64 / PROXIES as u64;
            simulation.schedule(at, Event::Report(i));
            simulation.schedule(at, Event::Sweep(i));
        }
        let planned = [
            (FAULT, Event::Fault),
            (RECORD_UPDATE, Event::RecordUpdate),
            (MEMBER_REMOVAL, Event::MemberRemoval),
        ];
        planned.into_iter().for_each(|(at, event)| simulation.schedule(at, event));
        simulation.schedule(2_000, Event::Arrive);
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn publish_record(&mut self, runner: usize, epoch: u64, serving: bool) {
        let address = ([127, 0, 0, 1], 9000 + runner as u16).into();
        let copy = view::Runner::new(self.service.clone(), address, true);
        let vm = view::Vm::new(name("vm", runner), epoch).epoch(epoch).serving(serving);
        let (now, vm) = (self.time(), vm.runner(copy));
        self.proxies.iter_mut().for_each(|p| _ = p.router.apply_record(now, vm.clone()));
    }

    /// Runs to the end and adds the counts to `totals`.
    pub fn run(mut self, totals: &mut Totals) {
        std::mem::swap(totals, &mut self.totals);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let shares = self.proxies.iter().filter(|p| p.offered > 0);
        let shares: Vec<f64> = shares.map(|p| p.served as f64 / p.offered as f64).collect();
        self.totals.add_fairness(&shares);
        *totals = self.totals;
    }

    fn is_dead(&self, proxy: usize) -> bool {
        self.scenario == Scenario::ProxyDies && proxy == PROXIES - 1 && self.now >= FAULT
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault if self.scenario == Scenario::HalfDrains => {
                self.leaving[..RUNNERS / 2].fill(true);
            }
            Event::RecordUpdate if self.scenario == Scenario::HalfDrains => {
                (0..RUNNERS / 2).for_each(|runner| self.publish_record(runner, 2, false));
            }
            Event::MemberRemoval if self.scenario == Scenario::ProxyDies => {
                let dead = name("proxy", PROXIES - 1);
                self.proxies.iter_mut().for_each(|p| p.router.remove_member(&dead));
            }
            Event::Fault | Event::RecordUpdate | Event::MemberRemoval => {}
            Event::Report(i) => self.report(i),
            Event::Sweep(i) => self.sweep(i),
            Event::Arrive => self.arrive(),
            Event::Try(request) => self.try_once(request),
            Event::Deliver(request, runner) => self.deliver(request, runner),
            Event::Free(runner) => self.busy[runner] -= 1,
            Event::End(request, result) => self.end(request, result),
        }
    }

    fn report(&mut self, i: usize) {
        self.schedule(self.now + REPORT_MILLIS, Event::Report(i));
        if self.is_dead(i) {
            return;
        }
        let now = self.time();
        let report = self.proxies[i].router.report(now);
        let from = self.proxies[i].name.clone();
        self.proxies.iter_mut().for_each(|p| p.router.apply_report(now, &from, &report));
    }

    fn sweep(&mut self, i: usize) {
        self.schedule(self.now + SWEEP_MILLIS, Event::Sweep(i));
        let now = self.time();
        let refused = self.proxies[i].queue.sweep(now);
        refused.into_iter().for_each(|r| self.refused(r.item));
        self.serve_queue(i);
    }

    /// Generates the arrivals of one millisecond.
    fn arrive(&mut self) {
        self.schedule(self.now + 1, Event::Arrive);
        let mut elapsed = self.exponential(1.0 / self.requests_per_milli);
        while elapsed < 1.0 {
            elapsed += self.exponential(1.0 / self.requests_per_milli);
            self.admit();
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean
    }

    fn admit(&mut self) {
        let mut proxy = self.rng.random_range(0..PROXIES);
        if self.scenario == Scenario::Skewed {
            let first = self.rng.random_bool(0.8);
            proxy = if first { 0 } else { self.rng.random_range(1..PROXIES) };
        }
        if self.is_dead(proxy) {
            proxy = self.rng.random_range(0..PROXIES - 1);
        }
        let now = self.time();
        self.proxies[proxy].budget.first_try(now);
        self.proxies[proxy].router.count_request(now, &self.service);
        self.proxies[proxy].offered += u64::from(self.now >= FAULT);
        let id = self.requests.len();
        let idempotent = self.rng.random_bool(0.5);
        let (arrived, started, tries, tried, ticket) = (self.now, None, 0, Vec::new(), None);
        let request = Request { proxy, arrived, started, tries, idempotent, tried, ticket };
        self.requests.push(request);
        self.try_once(id);
    }

    fn try_once(&mut self, id: usize) {
        let (now, request) = (self.time(), &mut self.requests[id]);
        if self.scenario == Scenario::ProxyDies && request.proxy == PROXIES - 1 && self.now >= FAULT
        {
            return;
        }
        let proxy = &mut self.proxies[request.proxy];
        match proxy.router.pick(now, &self.service, &request.tried) {
            Ok(ticket) => self.send(id, ticket),
            Err(refusal) if refusal.reason == Reason::Busy => {
                let deadline = Time::from_millis(request.arrived) + DEADLINE;
                let queued = queue::Request::new(Class::Normal, self.service.clone(), deadline, id);
                let refused = proxy.queue.push(now, queued).is_err();
                if refused {
                    self.refused(id);
                }
            }
            Err(_) => self.refused(id),
        }
    }

    fn send(&mut self, id: usize, ticket: Ticket) {
        let (now, request) = (self.time(), &mut self.requests[id]);
        let runner = usize::from(ticket.address().port() - 9000);
        self.proxies[request.proxy].queue.count_start(now, &self.service);
        request.tried.push(ticket.runner());
        request.ticket = Some(ticket);
        request.started.get_or_insert(self.now);
        request.tries += 1;
        self.schedule(self.now + HOP_MILLIS, Event::Deliver(id, runner));
    }

    /// Handles a request at the simulated backend server.
    fn deliver(&mut self, id: usize, runner: usize) {
        let answer_at = self.now + HOP_MILLIS;
        let fails = matches!(self.scenario, Scenario::RunnerFails { .. }) && runner == 0;
        if self.leaving[runner] {
            self.schedule(answer_at, Event::End(id, Attempt::Rejected(Rejection::Leaving)));
        } else if fails && self.now >= FAULT {
            self.schedule(answer_at, Event::End(id, Attempt::Failed));
        } else if self.busy[runner] >= SLOTS {
            self.schedule(answer_at, Event::End(id, Attempt::Rejected(Rejection::Busy)));
        } else {
            let service_time = self.exponential(MEAN_SERVICE_MILLIS).round() as u64;
            self.busy[runner] += 1;
            self.schedule(self.now + service_time, Event::Free(runner));
            self.schedule(answer_at + service_time, Event::End(id, Attempt::Answered));
        }
    }

    fn end(&mut self, id: usize, result: Attempt) {
        let (now, request) = (self.time(), &mut self.requests[id]);
        let Some(ticket) = request.ticket.take() else { return };
        let proxy = &mut self.proxies[request.proxy];
        proxy.router.done(now, ticket, result);
        let can_retry = request.tries < MAX_TRIES && result.may_retry(request.idempotent);
        if can_retry && proxy.budget.retry(now) {
            let delay = proxy.delay.next(request.tries - 1).as_millis() as u64;
            self.schedule(self.now + delay, Event::Try(id));
        } else if result.is_not_run() {
            self.refused(id);
        } else {
            self.answered(id, result == Attempt::Answered);
        }
        self.serve_queue(self.requests[id].proxy);
    }

    fn serve_queue(&mut self, i: usize) {
        if self.is_dead(i) {
            return;
        }
        let now = self.time();
        loop {
            let Proxy { queue, router, .. } = &mut self.proxies[i];
            let Some(id) = queue.take(now, |s| router.has_room(now, s)) else { break };
            self.try_once(id);
            if self.requests[id].ticket.is_none() {
                break;
            }
        }
    }

    fn refused(&mut self, id: usize) {
        self.count(id, |totals| totals.refused += 1);
    }

    fn answered(&mut self, id: usize, success: bool) {
        self.proxies[self.requests[id].proxy].served +=
            u64::from(success && self.requests[id].arrived >= FAULT);
        self.count(id, |totals| totals.failed += u64::from(!success));
    }

    /// Counts a request that has ended, if it arrived after the fault.
    fn count(&mut self, id: usize, add: impl FnOnce(&mut Totals)) {
        let request = &self.requests[id];
        if request.arrived < FAULT {
            return;
        }
        let totals = &mut self.totals;
        totals.ended += 1;
        totals.tries += u64::from(request.tries);
        totals.retries += u64::from(request.tries.saturating_sub(1));
        totals.waits.extend(request.started.map(|started| started - request.arrived));
        add(totals);
    }
}
