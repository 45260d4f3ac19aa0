//! One comparison of a condition.

use std::time::Duration;

use corianderfork_model::place::{DataCentreId, RackId};
use corianderfork_model::service::ServiceId;

use crate::condition::Truth;
use crate::explain::Observation;
use crate::region::Ranges;
use crate::situation::{Quantity, Reading, Situation, Value, Weekday};

/// The subject of a comparison: a quantity, or several of them combined.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Load(Vec<ServiceId>),
    Trend(Vec<ServiceId>),
    Spare(Vec<ServiceId>),
    Licences(Vec<ServiceId>),
    Copies(Vec<ServiceId>),
    DataCentreDown(Vec<DataCentreId>),
    RackDown(Vec<RackId>),
    Hour,
    Weekday,
    Wave,
    WaveFailures,
    StoreDown,
    UsageAge,
    /// Whether the age of usage reports exceeds [`Situation::stale_after`].
    UsageStale,
}

/// A test on a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Term {
    pub subject: Subject,
    /// The subject as written in conditions.
    pub label: String,
    pub test: Test,
}

/// A test on a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Test {
    /// The value is in these ranges.
    In(Ranges),
    /// The value is known.
    Known,
}

impl Subject {
    /// Returns the possible values of the subject.
    pub(crate) fn domain(&self) -> Ranges {
        match self {
            Self::DataCentreDown(_) | Self::RackDown(_) => Ranges::new(0, 1),
            Self::Wave | Self::StoreDown | Self::UsageStale => Ranges::new(0, 1),
            Self::Hour => Ranges::new(0, 23),
            Self::Weekday => Ranges::new(0, 6),
            Self::Trend(_) | Self::Spare(_) => Ranges::all(),
            _ => Ranges::new(0, i64::MAX),
        }
    }

    /// Returns the current value, with the maximum age of its inputs.
    pub(crate) fn reading(&self, situation: &Situation) -> Option<Reading> {
        self.read(situation, &|quantity| situation.get(quantity))
    }

    fn read(
        &self,
        situation: &Situation,
        get: &dyn Fn(Quantity) -> Option<Reading>,
    ) -> Option<Reading> {
        match self {
            Self::Load(ids) => load_per_mille(ids, get),
            Self::Trend(ids) => mean_trend(ids, get),
            Self::Spare(ids) => sum(ids, Quantity::Spare, get),
            Self::Licences(ids) => sum(ids, Quantity::Licences, get).map(in_thousandths),
            Self::Copies(ids) => sum(ids, Quantity::Copies, get),
            Self::DataCentreDown(ids) => any_down(ids, Quantity::DataCentreDown, get),
            Self::RackDown(ids) => any_down(ids, Quantity::RackDown, get),
            Self::Hour => get(Quantity::Hour),
            Self::Weekday => get(Quantity::Weekday),
            Self::Wave => get(Quantity::Wave),
            Self::WaveFailures => get(Quantity::WaveFailures),
            Self::StoreDown => get(Quantity::StoreDown),
            Self::UsageAge => get(Quantity::UsageAge),
            Self::UsageStale => {
                let age = get(Quantity::UsageAge)?;
                let limit = i64::try_from(situation.stale_after().as_secs()).unwrap_or(i64::MAX);
                Some(Reading { value: (age.value > limit).into(), age: age.age })
            }
        }
    }

    fn value(&self, value: i64) -> Value {
        match self {
            Self::Load(_) | Self::Trend(_) => Value::PerMille(value),
            Self::Licences(_) => Value::Count(value / THOUSAND),
            Self::Spare(_) | Self::Copies(_) | Self::Hour | Self::WaveFailures => {
                Value::Count(value)
            }
            Self::UsageAge => Value::Seconds(value),
            Self::Weekday => Value::Day(Weekday::ALL[value.rem_euclid(7) as usize]),
            Self::DataCentreDown(_) | Self::RackDown(_) => Value::Flag(value != 0),
            Self::Wave | Self::StoreDown | Self::UsageStale => Value::Flag(value != 0),
        }
    }
}

impl Term {
    pub(crate) fn truth(&self, situation: &Situation) -> Truth {
        let reading = self.subject.reading(situation);
        match (&self.test, reading) {
            (Test::Known, Some(_)) => Truth::True,
            (Test::Known, None) => Truth::False,
            (Test::In(_), None) => Truth::Unknown,
            (Test::In(ranges), Some(reading)) if ranges.contains(reading.value) => Truth::True,
            (Test::In(_), Some(_)) => Truth::False,
        }
    }

    pub(crate) fn observe(&self, situation: &Situation) -> Observation {
        let reading = self.subject.reading(situation);
        let last = || self.subject.read(situation, &|quantity| situation.last(quantity));
        Observation {
            label: self.label.clone(),
            value: reading.map(|reading| self.subject.value(reading.value)),
            age: reading.or_else(last).map(|reading| reading.age),
        }
    }
}

/// Licences are stored in thousandths of a copy, so that comparisons with a share
/// of them (`licences(transfer) > 90%`) need no rounding.
pub(crate) const THOUSAND: i64 = 1000;

fn in_thousandths(reading: Reading) -> Reading {
    Reading { value: reading.value.saturating_mul(THOUSAND), age: reading.age }
}

/// Looks up the reading of a quantity.
type Get<'a> = &'a dyn Fn(Quantity) -> Option<Reading>;

fn sum<I: Copy>(ids: &[I], quantity: impl Fn(I) -> Quantity, get: Get<'_>) -> Option<Reading> {
    ids.iter().try_fold(Reading { value: 0, age: Duration::ZERO }, |total, id| {
        let reading = get(quantity(*id))?;
        Some(Reading {
            value: total.value.saturating_add(reading.value),
            age: total.age.max(reading.age),
        })
    })
}

/// Returns requests in flight over slots, in per mille. A service without any
/// copy able to serve counts as fully loaded; otherwise a rule that adds copies
/// under load would stop matching when the last copy is lost.
fn load_per_mille(ids: &[ServiceId], get: Get<'_>) -> Option<Reading> {
    let in_flight = sum(ids, Quantity::InFlight, get)?;
    let slots = sum(ids, Quantity::Slots, get)?;
    let share = in_flight.value.saturating_mul(THOUSAND) / slots.value.max(1);
    let value = if slots.value == 0 { share.max(THOUSAND) } else { share };
    Some(Reading { value, age: in_flight.age.max(slots.age) })
}

/// Returns the mean trend of the services.
fn mean_trend(ids: &[ServiceId], get: Get<'_>) -> Option<Reading> {
    let total = sum(ids, Quantity::Trend, get)?;
    let count = i64::try_from(ids.len().max(1)).unwrap_or(i64::MAX);
    Some(Reading { value: total.value / count, age: total.age })
}

/// Returns 1 if any of `ids` is known to be down. The result is 0 only if all are
/// known, and unknown otherwise.
fn any_down<I: Copy>(ids: &[I], quantity: impl Fn(I) -> Quantity, get: Get<'_>) -> Option<Reading> {
    let down = ids.iter().filter_map(|id| get(quantity(*id))).find(|reading| reading.value != 0);
    down.or_else(|| sum(ids, quantity, get))
}
