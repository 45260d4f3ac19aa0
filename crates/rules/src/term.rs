//! One comparison of a condition.

use std::time::Duration;

use corianderfork_model::place::{DataCentreId, RackId};
use corianderfork_model::service::ServiceId;

use crate::condition::Truth;
use crate::explain::Observation;
use crate::region::Ranges;
use crate::situation::{Quantity, Reading, Situation, Value, Weekday};

/// What a term asks for: one quantity, or several taken together.
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
    /// Age of usage reports above [`Situation::stale_after`].
    UsageStale,
}

/// A test of one subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Term {
    pub subject: Subject,
    /// The subject as conditions write it.
    pub label: String,
    pub test: Test,
}

/// What has to be true of the subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Test {
    /// Its value lies in these ranges.
    In(Ranges),
    /// It has a value at all.
    Known,
}

impl Subject {
    /// The values that the subject can have.
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

    /// The present value, and the greatest age of what it rests on.
    pub(crate) fn reading(&self, now: &Situation) -> Option<Reading> {
        self.read(now, &|quantity| now.get(quantity))
    }

    fn read(&self, now: &Situation, get: &dyn Fn(Quantity) -> Option<Reading>) -> Option<Reading> {
        match self {
            Self::Load(of) => load(of, get),
            Self::Trend(of) => mean(of, get),
            Self::Spare(of) => sum(of, Quantity::Spare, get),
            Self::Licences(of) => sum(of, Quantity::Licences, get).map(in_thousandths),
            Self::Copies(of) => sum(of, Quantity::Copies, get),
            Self::DataCentreDown(of) => any(of, Quantity::DataCentreDown, get),
            Self::RackDown(of) => any(of, Quantity::RackDown, get),
            Self::Hour => get(Quantity::Hour),
            Self::Weekday => get(Quantity::Weekday),
            Self::Wave => get(Quantity::Wave),
            Self::WaveFailures => get(Quantity::WaveFailures),
            Self::StoreDown => get(Quantity::StoreDown),
            Self::UsageAge => get(Quantity::UsageAge),
            Self::UsageStale => {
                let age = get(Quantity::UsageAge)?;
                let limit = i64::try_from(now.stale_after().as_secs()).unwrap_or(i64::MAX);
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
    pub(crate) fn truth(&self, now: &Situation) -> Truth {
        let reading = self.subject.reading(now);
        match (&self.test, reading) {
            (Test::Known, Some(_)) => Truth::True,
            (Test::Known, None) => Truth::False,
            (Test::In(_), None) => Truth::Unknown,
            (Test::In(ranges), Some(reading)) if ranges.contains(reading.value) => Truth::True,
            (Test::In(_), Some(_)) => Truth::False,
        }
    }

    pub(crate) fn observe(&self, now: &Situation) -> Observation {
        let reading = self.subject.reading(now);
        let last = || self.subject.read(now, &|quantity| now.last(quantity));
        Observation {
            label: self.label.clone(),
            value: reading.map(|reading| self.subject.value(reading.value)),
            age: reading.or_else(last).map(|reading| reading.age),
        }
    }
}

/// Licences are held in thousandths of a copy, so that a share of them
/// (`licences(transfer) > 90%`) is compared without rounding.
pub(crate) const THOUSAND: i64 = 1000;

fn in_thousandths(reading: Reading) -> Reading {
    Reading { value: reading.value.saturating_mul(THOUSAND), age: reading.age }
}

type Get<'a> = &'a dyn Fn(Quantity) -> Option<Reading>;

fn sum<I: Copy>(of: &[I], quantity: impl Fn(I) -> Quantity, get: Get<'_>) -> Option<Reading> {
    of.iter().try_fold(Reading { value: 0, age: Duration::ZERO }, |total, id| {
        let one = get(quantity(*id))?;
        Some(Reading { value: total.value.saturating_add(one.value), age: total.age.max(one.age) })
    })
}

/// Requests in hand over slots, in per mille. A service none of whose copies is
/// able to serve counts as fully loaded: were it 0, a rule that adds copies
/// under load would fall silent just when the last copy is lost.
fn load(of: &[ServiceId], get: Get<'_>) -> Option<Reading> {
    let in_flight = sum(of, Quantity::InFlight, get)?;
    let slots = sum(of, Quantity::Slots, get)?;
    let share = in_flight.value.saturating_mul(THOUSAND) / slots.value.max(1);
    let value = if slots.value == 0 { share.max(THOUSAND) } else { share };
    Some(Reading { value, age: in_flight.age.max(slots.age) })
}

/// The trend of a pool is the mean of its services' trends.
fn mean(of: &[ServiceId], get: Get<'_>) -> Option<Reading> {
    let total = sum(of, Quantity::Trend, get)?;
    let count = i64::try_from(of.len().max(1)).unwrap_or(i64::MAX);
    Some(Reading { value: total.value / count, age: total.age })
}

/// One known failure is enough to answer yes; no is known only if all are known.
fn any<I: Copy>(of: &[I], quantity: impl Fn(I) -> Quantity, get: Get<'_>) -> Option<Reading> {
    let down = of.iter().filter_map(|id| get(quantity(*id))).find(|reading| reading.value != 0);
    down.or_else(|| sum(of, quantity, get))
}
