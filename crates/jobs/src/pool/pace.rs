//! Control of the speed of backfill tasks beside serving ones.

use std::time::Duration;

use corianderfork_model::Time;

use super::Pool;
use super::entry::Phase;
use super::order::{Action, Order};
use crate::task;
use crate::worker::{self, Worker};

/// Minimum time between two changes of a worker's pace: the gauge covers half a second, and a
/// new pace takes effect a tenth of a second after the order.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Delay until an unconfirmed pace order is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// Share of the target, in percent, above which backfill tasks are slowed down.
const SLOW_ABOVE: u64 = 85;
/// Share of the target, in percent, below which they are sped up again.
const SPEED_UP_BELOW: u64 = 60;
/// Increase of the pace at each step, in percent of full speed.
const SPEED_UP_STEP: u32 = 10;

impl Pool {
    /// Slows down backfill tasks where a serving task is close to its target, and speeds them
    /// up again where it is far below it.
    pub(super) fn pace(&mut self, now: Time, orders: &mut Vec<Order>) {
        let has_backfill = |(_, worker): &(worker::Key, &Worker)| worker.backfill > 0;
        let keys: Vec<worker::Key> =
            self.workers.iter().filter(has_backfill).map(|(key, _)| key).collect();
        for key in keys {
            self.pace_worker(now, key, orders);
        }
    }

    fn pace_worker(&mut self, now: Time, key: worker::Key, orders: &mut Vec<Order>) {
        let Some(worker) = self.workers.get(key) else { return };
        let mut backfills = Vec::new();
        let mut worst = None;
        for name in worker.allocations.keys() {
            let Some(entry) = self.entry(name.job) else { continue };
            let (Some(step), Some(placement)) = (entry.step(*name), entry.placement(*name)) else {
                continue;
            };
            if !matches!(placement.phase, Phase::Running { .. }) || placement.worker != key {
                continue;
            }
            if step.backfill {
                backfills.push((*name, placement.run, placement.pace, placement.pace_sent));
            } else if let Some(share) = (placement.gauge * 100).checked_div(step.target_ms) {
                worst = worst.max(Some(share));
            }
        }
        if backfills.is_empty() {
            return;
        }
        let pace = self.next_pace(now, key, worst);
        backfills.sort();
        for (name, run, current_pace, sent) in backfills {
            if current_pace != pace && now - sent >= RESEND_DELAY {
                self.order_pace(now, key, name, run, pace, orders);
            }
        }
    }

    fn next_pace(&mut self, now: Time, key: worker::Key, worst: Option<u64>) -> u32 {
        let Some(worker) = self.workers.get_mut(key) else { return 100 };
        let Some(share) = worst else {
            worker.pace = 100;
            return 100;
        };
        if now - worker.pace_changed < CHANGE_INTERVAL {
            return worker.pace;
        }
        let pace = match share {
            share if share > 100 => worker.pace / 4,
            share if share > SLOW_ABOVE => worker.pace / 2,
            share if share < SPEED_UP_BELOW => (worker.pace + SPEED_UP_STEP).min(100),
            _ => worker.pace,
        };
        if pace != worker.pace {
            worker.pace = pace;
            worker.pace_changed = now;
        }
        pace
    }

    fn order_pace(
        &mut self,
        now: Time,
        key: worker::Key,
        name: task::Name,
        run: u64,
        pace: u32,
        orders: &mut Vec<Order>,
    ) {
        if let Some(placement) =
            self.entry_mut(name.job).and_then(|entry| entry.placement_mut(name))
        {
            placement.pace_sent = now;
        }
        orders.extend(self.order(key, name, run, Action::Pace(pace)));
        self.note("task paced", Some(name), Some(key), format!("to {pace}%"));
    }
}
