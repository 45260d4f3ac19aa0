//! Division of the rates that organisations are owed among pools.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderfork_jobs::meter::{DIVISION_VALIDITY, MAX_REPORTED, divide};
use corianderfork_model::Time;

use crate::division::{Arrivals, Change, Credit, Update, Version, apply, difference};

/// How often a pool gets its parts and reports its arrivals. Whole maps of 128 organisations of 20
/// bytes in one direction and of 64 in the other take up to 19 kB a second and pool; differences
/// take as much as changes.
const INTERVAL: Duration = Duration::from_millis(300);
/// How often a pool gets also small changes of its parts, in turns by pool. With [`INTERVAL`], it is
/// less than 2 s.
const EXACT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a report counts. A pool that is cut off uses its last parts for
/// [`DIVISION_VALIDITY`], so others don't get them before.
const REPORT_VALIDITY: Duration = DIVISION_VALIDITY.saturating_add(Duration::from_millis(500));

/// The arrivals that a pool reported.
#[derive(Clone, Debug, Default)]
struct Report {
    at: Time,
    arrivals: BTreeMap<String, f64>,
}

/// What a pool was last sent.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    version: Version,
    /// The parts that its owner holds if it got the update.
    parts: BTreeMap<String, u32>,
    /// When the parts were last exact.
    exact_at: Time,
    /// Whether the owner replied that it holds this version.
    is_confirmed: bool,
    credit: Credit,
}

/// The arrivals that pools reported, and the parts that they were sent.
///
/// ```
/// use corianderfork_entry::division::{Arrivals, Update};
/// use corianderfork_entry::meter::Meter;
/// use corianderfork_model::Time;
///
/// let mut meter = Meter::new(7);
/// let at = Time::from_millis;
/// let arrivals = |rate| Arrivals::Whole([("club".to_owned(), rate)].into());
/// meter.note(at(0), "a", arrivals(3.0), true);
/// meter.note(at(0), "b", arrivals(1.0), true);
/// let Some(Update::Whole(_, parts)) = meter.next_update(at(10), "a") else { panic!() };
/// assert_eq!(parts["club"], 7_500);
/// assert_eq!(meter.next_update(at(20), "a"), None);
/// meter.note(at(30), "a", arrivals(3.0), true);
/// let Some(Update::Change(change)) = meter.next_update(at(310), "a") else { panic!() };
/// assert!(change.parts.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Meter {
    reports: BTreeMap<String, Report>,
    sent: BTreeMap<String, Sent>,
    fence: u64,
}

impl Meter {
    /// Returns the meter of a planner with `fence`.
    pub fn new(fence: u64) -> Self {
        Self { fence, ..Self::default() }
    }

    /// Records the arrivals that the owner of a pool replied, and whether it holds the parts that it
    /// was sent, as only owners do that read differences.
    pub fn note(&mut self, now: Time, pool: &str, arrivals: Arrivals, holds_parts: bool) {
        let is_known = match arrivals {
            Arrivals::Whole(arrivals) => {
                self.reports.insert(pool.to_owned(), Report { at: now, arrivals });
                true
            }
            Arrivals::Change(change) => self.reports.get_mut(pool).is_some_and(|report| {
                report.at = now;
                apply(&mut report.arrivals, change)
            }),
        };
        if let Some(sent) = self.sent.get_mut(pool) {
            sent.is_confirmed = holds_parts && is_known;
        }
        self.reports.retain(|_, report| now - report.at < REPORT_VALIDITY);
    }

    /// Returns the update of a pool's parts if it is due: of the organisations of which it reported
    /// arrivals, and of the same number of others of which other pools did, which have no part here.
    ///
    /// It is whole if the owner doesn't confirm that it holds the last one. Between two exact
    /// updates, parts that change by less than a tenth are left out.
    pub fn next_update(&mut self, now: Time, pool: &str) -> Option<Update> {
        if self.sent.get(pool).is_some_and(|sent| now - sent.at < INTERVAL) {
            return None;
        }
        let last = self.sent.get(pool);
        if !last.is_some_and(|last| last.is_confirmed) || !self.reports.contains_key(pool) {
            let version = last.map_or(Version(self.fence, 0), |last| last.version).next();
            let parts = self.parts(now, pool, &BTreeMap::new());
            let sent = Sent {
                at: now,
                version,
                parts: parts.clone(),
                exact_at: now,
                is_confirmed: false,
                credit: Credit::of_parts(),
            };
            self.sent.insert(pool.to_owned(), sent);
            return Some(Update::Whole(version, parts));
        }
        let is_exact = self.is_exact_due(now, pool);
        let wanted = self.parts(now, pool, &self.sent.get(pool)?.parts);
        let pools = self.sent.len();
        let sent = self.sent.get_mut(pool)?;
        let parts = difference(&sent.parts, &wanted, is_exact, sent.credit.grant(pools));
        apply(&mut sent.parts, parts.clone());
        (sent.at, sent.version, sent.is_confirmed) = (now, sent.version.next(), false);
        if is_exact {
            sent.exact_at = now;
        }
        Some(Update::Change(Change { version: sent.version, parts }))
    }

    /// Returns whether the turn of a pool has come since its parts were last exact. Turns are
    /// [`EXACT_INTERVAL`] apart, and those of all pools are spread evenly over it.
    fn is_exact_due(&self, now: Time, pool: &str) -> bool {
        let Some(sent) = self.sent.get(pool) else { return true };
        let rank = self.sent.keys().take_while(|name| *name != pool).count() as u64;
        let interval = EXACT_INTERVAL.as_millis() as u64;
        let offset = rank * interval / self.sent.len() as u64;
        let turn = |at: Time| (at.as_millis() + offset) / interval;
        turn(now) > turn(sent.exact_at)
    }

    /// Returns a pool's exact parts. Of organisations of which only other pools reported arrivals,
    /// those that `held` lists are kept, and others are listed only if it is empty, as it is for a
    /// new owner. One without any arrivals keeps its part, which is the best guess for its next jobs.
    ///
    /// With 400 jobs a second of 570 organisations, most changes would be of organisations whose few
    /// jobs come and go, and each would be sent to all pools.
    fn parts(&self, now: Time, pool: &str, held: &BTreeMap<String, u32>) -> BTreeMap<String, u32> {
        let valid = |report: &&Report| now - report.at < REPORT_VALIDITY;
        let mut parts = BTreeMap::new();
        if let Some((index, own)) = self
            .reports
            .keys()
            .position(|name| name == pool)
            .zip(self.reports.get(pool).filter(valid))
        {
            for organisation in own.arrivals.keys() {
                let rate = |report: &Report| report.arrivals.get(organisation).copied();
                let rates = self.reports.values();
                let rates = rates.map(|r| Some(r).filter(valid).and_then(rate).unwrap_or(0.0));
                parts.insert(organisation.clone(), divide(&rates.collect::<Vec<_>>())[index]);
            }
        }
        let mut others: BTreeMap<&String, f64> = BTreeMap::new();
        for (organisation, rate) in self.reports.values().filter(valid).flat_map(|r| &r.arrivals) {
            if !parts.contains_key(organisation) {
                *others.entry(organisation).or_default() += rate;
            }
        }
        let mut others: Vec<(&String, f64)> = others.into_iter().collect();
        if held.is_empty() {
            others.sort_by(|a, b| b.1.total_cmp(&a.1));
            others.truncate(MAX_REPORTED);
        } else {
            let is_idle = |name: &String| others.binary_search_by_key(&name, |(n, _)| *n).is_err();
            let kept = held.iter().filter(|(name, _)| !parts.contains_key(*name) && is_idle(name));
            let kept: Vec<(String, u32)> = kept.map(|(name, part)| (name.clone(), *part)).collect();
            parts.extend(kept);
            others.retain(|(name, _)| held.contains_key(*name));
        }
        parts.extend(others.into_iter().map(|(name, _)| (name.clone(), 0)));
        parts
    }
}
