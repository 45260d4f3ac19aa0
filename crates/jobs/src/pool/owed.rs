//! Which jobs of a pool are owed to their organisations.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use corianderfork_model::Time;

use super::entry::Entry;
use super::{JobKey, Pool};
use crate::id::JobId;
use crate::meter::{Arrivals, Bucket, DIVISION_VALIDITY, MAX_REPORTED, Rate};
use crate::organisation::Key;

/// How often the jobs that are not owed are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How far back a successor looks at the ends of jobs: a job counts for a bucket for 2 s, and the
/// oldest job that still waits is not much older than this.
const RECOVERY_WINDOW: Duration = Duration::from_secs(30);

/// A division of rates among pools, as far as it concerns this pool.
#[derive(Debug)]
struct Division {
    at: Time,
    parts: HashMap<Key, u32>,
    /// The part of organisations that aren't listed, since no pool reported arrivals of them.
    others: u32,
}

/// The metering of a pool.
#[derive(Debug, Default)]
pub(super) struct Meter {
    buckets: Vec<Bucket>,
    arrivals: Vec<Arrivals>,
    division: Option<Division>,
    /// Whether the jobs that a predecessor accepted were marked.
    is_recovered: bool,
    /// Since when jobs are counted for the log, the number of jobs, and that of owed ones.
    counted: Option<(Time, u32, u32)>,
}

impl Meter {
    /// Returns whether the jobs that a predecessor accepted were marked.
    pub fn is_recovered(&self) -> bool {
        self.is_recovered
    }

    /// Returns the pool's part of an organisation's rate: the whole without a valid division.
    fn part(&self, key: Key, at: Time) -> u32 {
        match self.division.as_ref().filter(|division| at - division.at < DIVISION_VALIDITY) {
            None => crate::allowance::WHOLE,
            Some(division) => division.parts.get(&key).copied().unwrap_or(division.others),
        }
    }

    /// Returns whether a valid division lists a part of an organisation for this pool, or there is
    /// none and the whole is used.
    fn is_divided(&self, key: Key, at: Time) -> bool {
        let division = self.division.as_ref().filter(|d| at - d.at < DIVISION_VALIDITY);
        division.is_none_or(|division| division.parts.get(&key).is_some_and(|part| *part > 0))
    }

    fn rate(&self, key: Key, weight: u32, at: Time) -> Rate {
        Rate::of(weight, self.part(key, at))
    }

    /// Returns a bucket filled up to `at`; a division that ended meanwhile counts until then.
    fn filled(&self, key: Key, weight: u32, at: Time) -> Bucket {
        let mut bucket = self.buckets.get(key.0).copied().unwrap_or_default();
        let end = self.division.as_ref().map(|division| division.at + DIVISION_VALIDITY);
        if let Some(end) = end.filter(|end| *end <= at) {
            let last = Time::from_millis(end.as_millis() - 1);
            bucket.fill(last, self.rate(key, weight, last));
        }
        bucket.fill(at, self.rate(key, weight, at));
        bucket
    }

    fn fill(&mut self, key: Key, weight: u32, at: Time) {
        *slot(&mut self.buckets, key) = self.filled(key, weight, at);
    }

    fn take(&mut self, key: Key, weight: u32, at: Time) -> bool {
        self.fill(key, weight, at);
        let rate = self.rate(key, weight, at);
        slot(&mut self.buckets, key).take(at, rate)
    }
}

fn slot<T: Default>(all: &mut Vec<T>, key: Key) -> &mut T {
    if all.len() <= key.0 {
        all.resize_with(key.0 + 1, T::default);
    }
    &mut all[key.0]
}

impl Pool {
    /// Sets the pool's parts of organisations' rates, in units of
    /// [`WHOLE`](crate::allowance::WHOLE), and the part of all other organisations. They hold for
    /// 3 s; without them the pool uses the whole rates.
    pub fn set_meter_parts(&mut self, now: Time, parts: &BTreeMap<String, u32>, others: u32) {
        for key in self.accounts.keys() {
            if let Some(weight) = self.accounts.owed_per_second(key) {
                self.meter.fill(key, weight, now);
            }
        }
        let parts = parts.iter().map(|(name, part)| (self.accounts.key(name), *part)).collect();
        let is_first = self.meter.division.is_none();
        self.meter.division = Some(Division { at: now, parts, others });
        if is_first {
            // The jobs that a predecessor accepted were marked without the parts.
            self.meter.is_recovered = false;
        }
    }

    /// Returns the jobs a second of the organisations with recent arrivals, the largest first and at
    /// most 64.
    pub fn arrivals(&self, now: Time) -> Vec<(String, f64)> {
        let rate = |(index, arrivals): (usize, &Arrivals)| {
            let rate = arrivals.rate(now);
            (rate > 0.0).then(|| (self.accounts.name(Key(index)).to_owned(), rate))
        };
        let mut rates: Vec<_> = self.meter.arrivals.iter().enumerate().filter_map(rate).collect();
        rates.sort_by(|a, b| b.1.total_cmp(&a.1));
        rates.truncate(MAX_REPORTED);
        rates
    }

    /// Returns whether a job is owed to its organisation, as all are that are unknown or not
    /// metered.
    pub fn is_owed(&self, id: JobId) -> bool {
        self.entry(id).is_none_or(|entry| entry.is_owed)
    }

    /// Returns whether the next job of an organisation would be owed to it. Where that isn't metered
    /// or isn't known yet, it is.
    ///
    /// It isn't known while the pool has no part of the organisation's rate: its arrivals here are
    /// too new to count in the division, and it may be owed these jobs.
    pub fn is_next_owed(&self, now: Time, organisation: &str) -> bool {
        if !self.config.contention.meter || !self.meter.is_recovered {
            return true;
        }
        let Some(key) = self.accounts.find(organisation) else { return true };
        self.accounts.owed_per_second(key).is_none_or(|weight| {
            let rate = self.meter.rate(key, weight, now);
            let is_divided = self.meter.is_divided(key, now);
            !is_divided || self.meter.filled(key, weight, now).take(now, rate)
        })
    }

    /// Returns the share of owed jobs in the predicted CPU time of the unfinished work, from 0 to 1,
    /// by queue. A queue without work is left out.
    pub fn owed_shares(&self) -> BTreeMap<String, f64> {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for entry in self.active_jobs().filter(|entry| !entry.long_running) {
            let states = entry.occurrences.values().flat_map(|o| entry.steps.iter().zip(&o.steps));
            let cpu = |(step, state): (&crate::Step, &super::entry::StepState)| {
                let time = self.predict(&entry.queue, step) as f64;
                step.room().cpu as f64 * time * f64::from(state.unfinished)
            };
            let work: f64 = states.map(cpu).sum();
            let (owed, all) = sums.entry(entry.queue.as_str()).or_default();
            *owed += if entry.is_owed { work } else { 0.0 };
            *all += work;
        }
        let shares = sums.into_iter().filter(|(_, (_, all))| *all > 0.0);
        shares.map(|(queue, (owed, all))| (queue.to_owned(), owed / all)).collect()
    }

    /// Marks an accepted job as owed or not. Those that a predecessor accepted are marked together,
    /// in the order of their acceptance, by the next plan.
    pub(super) fn meter_accepted(&mut self, key: JobKey) {
        if self.config.contention.meter && self.meter.is_recovered {
            self.meter_job(key);
        }
    }

    /// Returns the organisation whose rate a job counts for.
    fn metered(entry: &Entry) -> Option<Key> {
        entry.organisation.filter(|_| !entry.long_running && entry.schedule.is_none())
    }

    fn meter_job(&mut self, key: JobKey) {
        let Some(entry) = self.jobs.get(key) else { return };
        let Some(organisation) = Self::metered(entry) else { return };
        let at = entry.accepted;
        let is_owed = self.take_token(organisation, at);
        let (_, all, owed) = self.meter.counted.get_or_insert((at, 0, 0));
        *all += 1;
        *owed += u32::from(is_owed);
        if let Some(entry) = self.jobs.get_mut(key) {
            entry.is_owed = is_owed;
            self.agenda.add_changed(key, entry);
        }
    }

    fn take_token(&mut self, organisation: Key, at: Time) -> bool {
        slot(&mut self.meter.arrivals, organisation).record(at);
        let weight = self.accounts.owed_per_second(organisation);
        weight.is_none_or(|weight| self.meter.take(organisation, weight, at))
    }

    /// Marks the jobs that a predecessor accepted, and logs what was marked.
    ///
    /// The records of ended jobs no longer tell when they were accepted, so they count when they
    /// ended. Otherwise the jobs that the predecessor put last would be owed now, since those that
    /// were owed are done.
    pub(super) fn review_meter(&mut self, now: Time, wall_ms: u64) {
        if !self.config.contention.meter {
            return;
        }
        if !std::mem::replace(&mut self.meter.is_recovered, true) {
            self.meter.buckets.clear();
            self.meter.arrivals.clear();
            let mut events: Vec<(Time, JobId, JobKey)> = Vec::new();
            for (key, entry) in self.jobs.iter().filter(|(_, entry)| Self::metered(entry).is_some())
            {
                let ended_ago = Duration::from_millis(wall_ms.saturating_sub(entry.ended_ms));
                let at = if !entry.state.is_final() {
                    Some(entry.accepted)
                } else if entry.ended_ms > 0 && ended_ago < RECOVERY_WINDOW {
                    let ago = u64::try_from(ended_ago.as_millis()).unwrap_or(u64::MAX);
                    Some(Time::from_millis(now.as_millis().saturating_sub(ago)))
                } else {
                    None
                };
                events.extend(at.map(|at| (at, entry.id, key)));
            }
            events.sort_unstable_by_key(|(at, id, _)| (*at, *id));
            for (at, _, key) in events {
                let Some(entry) = self.jobs.get(key) else { continue };
                match Self::metered(entry) {
                    Some(organisation) if entry.state.is_final() => {
                        self.take_token(organisation, at);
                    }
                    _ => self.meter_job(key),
                }
            }
        }
        let is_due = |(since, _, _): &(Time, u32, u32)| now - *since >= REPORT_INTERVAL;
        if let Some((_, all, owed)) = self.meter.counted.take_if(|counted| is_due(counted))
            && owed < all
        {
            let age = self.meter.division.as_ref().map(|division| now - division.at);
            let why = format!("{owed} of {all} jobs are owed; the division is {age:?} old");
            self.note("jobs beyond what is owed", None, None, why);
        }
    }
}
