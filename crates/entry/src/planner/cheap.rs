//! Maintenance of VMs that are cheap to empty, while VMs are short.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use corianderfork_adapter::config::Wave;
use corianderfork_adapter::fleet::{State as VmState, Vm};
use corianderfork_jobs::maintenance::{self, Candidate, Choice, Rounds, Stock};
use corianderfork_model::Time;
use serde_json::json;

use super::Planner;
use crate::clock;
use crate::owner::ms;
use crate::peer::{Message, Reply};

/// How long a report of the time until a worker is empty is used. Tasks take about this long.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_000);
/// How long the needs of pools are used, which are computed every 0.1 s.
const NEED_VALIDITY: Duration = Duration::from_millis(1_000);
/// The most workers that are asked at once when they would be empty, which bounds the size of
/// messages: the others have their turn at the next interval.
const MAX_ASKED: usize = 64;
/// How often the age of a waiting wave is stored, so that a successor waits no longer. This is less
/// than the reserve before the deadline.
const AGE_INTERVAL: Duration = Duration::from_millis(2_000);
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// The largest share of the orders a second that is kept for urgent waves.
const MAX_ORDER_SHARE: f64 = 0.5;

/// The state of the choice, in the planner's memory.
#[derive(Default)]
pub(super) struct State {
    pub rounds: Rounds,
    /// VMs that are being emptied for waves, and since when.
    vacating: BTreeMap<String, Time>,
    /// When workers would be empty, by instance id, and when that was reported.
    busy: BTreeMap<String, (Time, Duration)>,
    /// What the pools had and wanted at the last decision on their sizes.
    needs: Option<(Time, BTreeMap<String, Need>)>,
    /// Whether the pools wanted more VMs than there are, for work in time. VMs that could only
    /// work on late jobs may be maintained.
    is_scarce: bool,
    /// The VMs whose maintenance has not begun, of all waves.
    remaining: BTreeSet<String>,
    /// Orders that are kept for urgent waves.
    reserved_orders: usize,
    /// The position after the last worker that was asked.
    next_asked: usize,
    age_written: BTreeMap<u64, Time>,
    logged: BTreeMap<u64, (Time, bool)>,
}

/// What a pool has and wants.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Need {
    pub present: usize,
    /// The number that suffices for the work of jobs that can still be in time.
    pub in_time: usize,
    pub missing: usize,
}

impl State {
    /// Begins a look at all waves, with the VMs whose maintenance has not begun.
    pub fn begin_tick(&mut self, now: Time, remaining: BTreeSet<String>) {
        self.vacating.retain(|vm, _| remaining.contains(vm));
        self.busy.retain(|_, (at, _)| now - *at <= REPORT_VALIDITY);
        if let Some(longest) = self.busy.values().map(|(_, busy)| *busy).max() {
            self.rounds.record_longest(longest);
        }
        self.remaining = remaining;
        self.reserved_orders = 0;
    }

    pub fn set_needs(&mut self, now: Time, needs: BTreeMap<String, Need>, total: u32) {
        self.is_scarce = needs.values().map(|need| need.in_time).sum::<usize>() > total as usize;
        self.needs = Some((now, needs));
    }

    /// Whether a VM is still to be maintained.
    pub fn is_remaining(&self, vm: &str) -> bool {
        self.remaining.contains(vm)
    }

    pub fn reserved_orders(&self) -> usize {
        self.reserved_orders
    }
}

impl Planner {
    /// Empties VMs of a wave, of which `remaining` have not begun. Returns those of `ready` that are
    /// empty and whose maintenance may begin.
    pub(super) async fn empty_cheaply<'a>(
        &mut self,
        wave: &Wave,
        remaining: usize,
        ready: &[&'a Vm],
        vms: &BTreeMap<String, Vm>,
    ) -> Vec<&'a Vm> {
        let now = clock::now();
        let left = self
            .wave_age(wave.number)
            .map_or(Duration::ZERO, |elapsed| wave.time_limit.saturating_sub(elapsed));
        let state = maintenance::Wave {
            left,
            remaining,
            max_concurrent: wave.max_concurrent,
            away: self.away.away(now, wave),
            orders: self.cheap.remaining.len(),
            orders_per_s: self.order_rate(),
        };
        let stocks = self.stocks(now, vms);
        let candidates: Vec<Candidate> = ready.iter().map(|vm| self.candidate(now, vm)).collect();
        let choice = maintenance::choose(&state, &candidates, &stocks, &self.cheap.rounds);
        let chosen: Vec<&Vm> = choice.vacate.iter().map(|index| ready[*index]).collect();
        for vm in chosen.iter().filter(|vm| !vm.worker.is_empty()) {
            self.cheap.vacating.entry(vm.name.clone()).or_insert(now);
        }
        if !choice.may_wait {
            let free = self.away.capacity(wave).min(remaining);
            let most = (self.order_rate() * MAX_ORDER_SHARE) as usize;
            self.cheap.reserved_orders = (self.cheap.reserved_orders + free).min(most);
        }
        self.log_choice(now, wave, &state, &choice);
        let empty = self.ask_to_vacate(&chosen, ready).await;
        for vm in &empty {
            if let Some(since) = self.cheap.vacating.get(&vm.name) {
                self.cheap.rounds.record_emptying(clock::now() - *since);
            }
        }
        self.write_age(wave.number).await;
        empty
    }

    fn candidate(&self, now: Time, vm: &Vm) -> Candidate {
        let is_new = |at: &Time| now - *at < self.holder_gap();
        let reported = self.cheap.busy.get(&vm.worker).map(|(_, busy)| *busy);
        Candidate {
            pool: vm.pool.clone(),
            has_worker: !vm.worker.is_empty(),
            empty_in: if vm.worker.is_empty() { Some(Duration::ZERO) } else { reported },
            is_new: self.recent_orders.get(&vm.name).is_some_and(is_new),
            is_vacating: self.cheap.vacating.contains_key(&vm.name),
        }
    }

    /// Returns the VMs of each pool, and how many of them can be done without.
    ///
    /// While VMs are short, a pool that is to shrink can't do without a VM either: the VM is needed
    /// in another pool. Of the spare VMs, those that can be ordered to pools while a maintenance
    /// lasts are left alone. Without recent loads no VM with a worker counts as dispensable.
    fn stocks(&self, now: Time, vms: &BTreeMap<String, Vm>) -> BTreeMap<String, Stock> {
        let mut stocks: BTreeMap<String, Stock> = BTreeMap::new();
        let mut spare = BTreeSet::new();
        for vm in vms.values().filter(|vm| vm.state != VmState::Down) {
            let stock = stocks.entry(vm.pool.clone()).or_default();
            stock.present += 1;
            let is_away = self.away.is_away(&vm.name) || self.cheap.vacating.contains_key(&vm.name);
            stock.away += usize::from(is_away);
            if vm.worker.is_empty() && vm.state == VmState::Up {
                spare.insert(vm.pool.clone());
            }
        }
        let known = self.cheap.needs.as_ref().filter(|(at, _)| now - *at <= NEED_VALIDITY);
        let empty = BTreeMap::new();
        let needs = known.map_or(&empty, |(_, needs)| needs);
        let missing: usize = needs.values().map(|need| need.missing).sum();
        let orderable = (self.order_rate() * maintenance::MIN_SLOT.as_secs_f64()).ceil() as usize;
        let wanted: usize = needs.values().map(|need| need.in_time).sum();
        let present: usize = stocks.values().map(|stock| stock.present).sum();
        let left = present.saturating_sub(wanted);
        for (pool, stock) in &mut stocks {
            stock.dispensable = match needs.get(pool) {
                Some(need) if need.missing == 0 && !self.cheap.is_scarce => {
                    let surplus = need.present.saturating_sub(need.in_time);
                    surplus.max(left * stock.present / present.max(1))
                }
                None if spare.contains(pool) => {
                    stock.present.saturating_sub(missing.min(orderable))
                }
                _ => 0,
            };
            stock.dispensable = stock.dispensable.saturating_sub(stock.away);
        }
        stocks
    }

    /// Asks the owners to vacate `chosen`, and when some others of `ready` would be empty. Returns
    /// those of `chosen` on which nothing runs.
    async fn ask_to_vacate<'a>(&mut self, chosen: &[&'a Vm], ready: &[&'a Vm]) -> Vec<&'a Vm> {
        let mut by_pool: BTreeMap<&str, (Vec<String>, Vec<String>)> = BTreeMap::new();
        let names: BTreeSet<&str> = chosen.iter().map(|vm| vm.name.as_str()).collect();
        let has_worker = |vm: &&&Vm| !vm.worker.is_empty();
        for vm in chosen.iter().filter(has_worker) {
            by_pool.entry(&vm.pool).or_default().0.push(vm.worker.clone());
        }
        let others: Vec<&&Vm> = ready
            .iter()
            .filter(has_worker)
            .filter(|vm| !names.contains(vm.name.as_str()))
            .collect();
        let first = self.cheap.next_asked % others.len().max(1);
        for vm in others.iter().cycle().skip(first).take(others.len().min(MAX_ASKED)) {
            by_pool.entry(&vm.pool).or_default().1.push(vm.worker.clone());
        }
        self.cheap.next_asked = first + MAX_ASKED;
        let to_message = |(pool, (workers, candidates)): (&str, _)| Message::Vacate {
            pool: pool.to_owned(),
            workers,
            candidates,
        };
        let replies = self.send_to_owners(by_pool.into_iter().map(to_message).collect()).await;
        let now = clock::now();
        let mut empty = BTreeSet::new();
        for reply in replies {
            if let Some(Reply::Vacated { empty: workers, busy_ms }) = reply {
                empty.extend(workers);
                let busy = |(id, busy)| (id, (now, Duration::from_millis(busy)));
                self.cheap.busy.extend(busy_ms.into_iter().map(busy));
            }
        }
        let is_empty = |vm: &&&Vm| vm.worker.is_empty() || empty.contains(&vm.worker);
        chosen.iter().filter(is_empty).copied().collect()
    }

    /// Stores the age of a wave if that was long ago. Progress stores it too, but a wave that waits
    /// makes none.
    async fn write_age(&mut self, number: u64) {
        let now = clock::now();
        let written = *self.cheap.age_written.entry(number).or_insert(now);
        if now - written >= AGE_INTERVAL {
            self.cheap.age_written.insert(number, now);
            let progress = self.waves.get(&number).cloned().unwrap_or_default();
            self.write_progress(number, progress).await;
        }
    }

    fn log_choice(&mut self, now: Time, wave: &Wave, state: &maintenance::Wave, choice: &Choice) {
        let may_wait = choice.may_wait;
        let logged = self.cheap.logged.get(&wave.number);
        let has_changed = logged.is_none_or(|(_, known)| *known != may_wait);
        if !has_changed && logged.is_some_and(|(at, _)| now - *at < LOG_INTERVAL) {
            return;
        }
        self.cheap.logged.insert(wave.number, (now, may_wait));
        if has_changed {
            self.node.metrics.event(if may_wait { "wave waits" } else { "wave urgent" });
        }
        let cheap = &self.cheap;
        let needs_ms = cheap.needs.as_ref().map(|(at, _)| ms(now - *at));
        let busy_ms = cheap.busy.values().map(|(at, _)| ms(now - *at)).max();
        self.node.trace.line("maintenance chosen", || {
            json!({ "wave": wave.number, "may_wait": may_wait, "is_scarce": cheap.is_scarce,
                "left_ms": ms(state.left), "needed_ms": ms(choice.time_needed),
                "remaining": state.remaining, "away": state.away.len(),
                "vacate": choice.vacate.len(), "vacating": cheap.vacating.len(),
                "slot_ms": ms(cheap.rounds.slot()), "emptying_ms": ms(cheap.rounds.emptying()), "longest_ms": ms(cheap.rounds.longest()),
                "orders": state.orders, "orders_per_s": state.orders_per_s,
                "loads_ms_ago": needs_ms, "busy_ms_ago": busy_ms })
        });
    }
}
