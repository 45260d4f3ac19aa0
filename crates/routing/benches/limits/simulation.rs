//! Fake callers, fake backend servers and the event queue between them.

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
use crate::scenario::{Case, END, FAULT, FORGET, RECORDS};
use crate::totals::Totals;

const PROXIES: usize = 8;
const RUNNERS: usize = 10;
const SLOTS: u32 = 8;
const RUN_MILLIS: f64 = 20.0;
const HOP_MILLIS: u64 = 1;
const REPORT_MILLIS: u64 = 250;
const SWEEP_MILLIS: u64 = 50;
const DEADLINE: Duration = Duration::from_secs(1);
const MAX_TRIES: u32 = 3;
enum Event {
    Fault,
    Records,
    Forget,
    Report(usize),
    Sweep(usize),
    Arrive,
    Try(usize),
    Reach(usize, usize),
    Free(usize),
    End(usize, Attempt),
}

pub struct World {
    case: Case,
    per_milli: f64,
    rng: SmallRng,
    now: u64,
    next: u64,
    events: BTreeMap<(u64, u64), Event>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    busy: Vec<u32>,
    leaving: Vec<bool>,
    service: Name,
    totals: Totals,
}

impl World {
    pub fn new(case: Case, load: u32, policy: fn() -> Box<dyn Policy>, seed: u64) -> Self {
        let stay = if case == Case::HalfDrains { RUNNERS / 2 } else { RUNNERS };
        let slots = stay as f64 * f64::from(SLOTS);
        let mut world = Self {
            case,
            per_milli: slots / RUN_MILLIS * f64::from(load) / 100.0,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            next: 0,
            events: BTreeMap::new(),
            proxies: (0..PROXIES).map(|i| Proxy::new(case, policy(), i)).collect(),
            requests: Vec::new(),
            busy: vec![0; RUNNERS],
            leaving: vec![false; RUNNERS],
            service: name("transfer", 0),
            totals: Totals::default(),
        };
        (0..RUNNERS).for_each(|runner| world.record(runner, 1, true));
        for i in 0..PROXIES {
            let at = REPORT_MILLIS * i as u64 / PROXIES as u64;
            world.at(at, Event::Report(i));
            world.at(at, Event::Sweep(i));
        }
        let planned = [(FAULT, Event::Fault), (RECORDS, Event::Records), (FORGET, Event::Forget)];
        planned.into_iter().for_each(|(at, event)| world.at(at, event));
        world.at(2_000, Event::Arrive);
        world
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn record(&mut self, runner: usize, epoch: u64, serving: bool) {
        let address = ([127, 0, 0, 1], 9000 + runner as u16).into();
        let copy = view::Runner::new(self.service.clone(), address, true);
        let vm = view::Vm::new(name("vm", runner), epoch).epoch(epoch).serving(serving);
        let (now, vm) = (self.time(), vm.runner(copy));
        self.proxies.iter_mut().for_each(|p| _ = p.router.apply_record(now, vm.clone()));
    }

    /// Runs to the end and adds what was counted to `totals`.
    pub fn run(mut self, totals: &mut Totals) {
        std::mem::swap(totals, &mut self.totals);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            self.on(event);
        }
        let shares = self.proxies.iter().filter(|p| p.offered > 0);
        let shares: Vec<f64> = shares.map(|p| p.served as f64 / p.offered as f64).collect();
        self.totals.add_fairness(&shares);
        *totals = self.totals;
    }

    fn is_dead(&self, proxy: usize) -> bool {
        self.case == Case::ProxyDies && proxy == PROXIES - 1 && self.now >= FAULT
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Fault if self.case == Case::HalfDrains => {
                self.leaving[..RUNNERS / 2].fill(true);
            }
            Event::Records if self.case == Case::HalfDrains => {
                (0..RUNNERS / 2).for_each(|runner| self.record(runner, 2, false));
            }
            Event::Forget if self.case == Case::ProxyDies => {
                let dead = name("proxy", PROXIES - 1);
                self.proxies.iter_mut().for_each(|p| p.router.remove_member(&dead));
            }
            Event::Fault | Event::Records | Event::Forget => {}
            Event::Report(i) => self.report(i),
            Event::Sweep(i) => self.sweep(i),
            Event::Arrive => self.arrive(),
            Event::Try(request) => self.try_once(request),
            Event::Reach(request, runner) => self.reach(request, runner),
            Event::Free(runner) => self.busy[runner] -= 1,
            Event::End(request, result) => self.end(request, result),
        }
    }

    fn report(&mut self, i: usize) {
        self.at(self.now + REPORT_MILLIS, Event::Report(i));
        if self.is_dead(i) {
            return;
        }
        let now = self.time();
        let report = self.proxies[i].router.report(now);
        let from = self.proxies[i].name.clone();
        self.proxies.iter_mut().for_each(|p| p.router.apply_report(now, &from, &report));
    }

    fn sweep(&mut self, i: usize) {
        self.at(self.now + SWEEP_MILLIS, Event::Sweep(i));
        let now = self.time();
        let refused = self.proxies[i].queue.sweep(now);
        refused.into_iter().for_each(|r| self.refused(r.item));
        self.serve_queue(i);
    }

    /// The arrivals of one millisecond.
    fn arrive(&mut self) {
        self.at(self.now + 1, Event::Arrive);
        let mut passed = self.exponential(1.0 / self.per_milli);
        while passed < 1.0 {
            passed += self.exponential(1.0 / self.per_milli);
            self.admit();
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean
    }

    fn admit(&mut self) {
        let mut proxy = self.rng.random_range(0..PROXIES);
        if self.case == Case::Skewed {
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
        if self.case == Case::ProxyDies && request.proxy == PROXIES - 1 && self.now >= FAULT {
            return;
        }
        let proxy = &mut self.proxies[request.proxy];
        match proxy.router.pick(now, &self.service, &request.tried) {
            Ok(ticket) => self.send(id, ticket),
            Err(refusal) if refusal.reason == Reason::Busy => {
                let deadline = Time::from_millis(request.arrived) + DEADLINE;
                let wait = queue::Request::new(Class::Normal, self.service.clone(), deadline, id);
                let refused = proxy.queue.push(now, wait).is_err();
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
        self.at(self.now + HOP_MILLIS, Event::Reach(id, runner));
    }

    /// The fake backend server.
    fn reach(&mut self, id: usize, runner: usize) {
        let back = self.now + HOP_MILLIS;
        let fails = matches!(self.case, Case::RunnerFails { .. }) && runner == 0;
        if self.leaving[runner] {
            self.at(back, Event::End(id, Attempt::Rejected(Rejection::Leaving)));
        } else if fails && self.now >= FAULT {
            self.at(back, Event::End(id, Attempt::Failed));
        } else if self.busy[runner] >= SLOTS {
            self.at(back, Event::End(id, Attempt::Rejected(Rejection::Busy)));
        } else {
            let run = self.exponential(RUN_MILLIS).round() as u64;
            self.busy[runner] += 1;
            self.at(self.now + run, Event::Free(runner));
            self.at(back + run, Event::End(id, Attempt::Answered));
        }
    }

    fn end(&mut self, id: usize, result: Attempt) {
        let (now, request) = (self.time(), &mut self.requests[id]);
        let Some(ticket) = request.ticket.take() else { return };
        let proxy = &mut self.proxies[request.proxy];
        proxy.router.done(now, ticket, result);
        let may = request.tries < MAX_TRIES && result.may_retry(request.idempotent);
        if may && proxy.budget.retry(now) {
            let delay = proxy.delay.next(request.tries - 1).as_millis() as u64;
            self.at(self.now + delay, Event::Try(id));
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

    fn answered(&mut self, id: usize, well: bool) {
        self.proxies[self.requests[id].proxy].served +=
            u64::from(well && self.requests[id].arrived >= FAULT);
        self.count(id, |totals| totals.failed += u64::from(!well));
    }

    /// Counts a request that ended, if it came after the fault.
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
