//! The state of the fleet at one moment, as conditions see it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use corianderfork_model::Time;
use corianderfork_model::place::{DataCentreId, RackId};
use corianderfork_model::service::ServiceId;

/// A quantity in a [`Situation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Quantity {
    /// Requests in flight of a service.
    InFlight(ServiceId),
    /// Slots of a service's copies able to serve.
    Slots(ServiceId),
    /// Change of a service's load, in per mille per minute.
    Trend(ServiceId),
    /// Copies of a service beyond those that its load and budget need.
    Spare(ServiceId),
    /// Licences of a service in use.
    Licences(ServiceId),
    /// Copies of a service able to serve.
    Copies(ServiceId),
    /// Whether a data centre is down.
    DataCentreDown(DataCentreId),
    /// Whether a rack is down.
    RackDown(RackId),
    /// Hour in the operators' time zone, 0 to 23.
    Hour,
    /// Weekday in the operators' time zone, 0 (Monday) to 6.
    Weekday,
    /// Whether a maintenance wave is in progress.
    Wave,
    /// VMs of the current wave that came back failing.
    WaveFailures,
    /// Whether the platform's store is down.
    StoreDown,
    /// Age of the oldest usage report in use, in seconds.
    UsageAge,
}

/// A value and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The value; flags are 0 and 1.
    pub value: i64,
    /// The time since the value was known to be correct.
    pub age: Duration,
}

/// A value as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Value {
    /// A share in thousandths; may exceed 1000.
    PerMille(i64),
    /// A plain number.
    Count(i64),
    /// A flag, shown as `yes` or `no`.
    Flag(bool),
    /// A day of the week.
    Day(Weekday),
    /// A duration in seconds.
    Seconds(i64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::PerMille(n) if n % 10 == 0 => write!(f, "{}%", n / 10),
            Self::PerMille(n) => {
                let sign = if n < 0 { "-" } else { "" };
                write!(f, "{sign}{}.{}%", n.unsigned_abs() / 10, n.unsigned_abs() % 10)
            }
            Self::Count(n) => write!(f, "{n}"),
            Self::Flag(flag) => f.write_str(if flag { "yes" } else { "no" }),
            Self::Day(day) => f.write_str(day.as_str()),
            Self::Seconds(n) => write!(f, "{n}s"),
        }
    }
}

/// A day of the week.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Weekday {
    /// `mon`
    Monday,
    /// `tue`
    Tuesday,
    /// `wed`
    Wednesday,
    /// `thu`
    Thursday,
    /// `fri`
    Friday,
    /// `sat`
    Saturday,
    /// `sun`
    Sunday,
}

impl Weekday {
    /// All days, from Monday.
    pub const ALL: [Self; 7] = [
        Self::Monday,
        Self::Tuesday,
        Self::Wednesday,
        Self::Thursday,
        Self::Friday,
        Self::Saturday,
        Self::Sunday,
    ];

    /// Returns the name used in conditions: `mon` to `sun`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Monday => "mon",
            Self::Tuesday => "tue",
            Self::Wednesday => "wed",
            Self::Thursday => "thu",
            Self::Friday => "fri",
            Self::Saturday => "sat",
            Self::Sunday => "sun",
        }
    }

    /// Parses a name used in conditions.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|day| day.as_str() == text)
    }

    /// Returns the days since Monday, 0 to 6.
    pub const fn number(self) -> i64 {
        self as i64
    }
}

/// The state of the fleet at one moment, each value with its age.
///
/// In a new situation all values are unknown. A value is also unknown if it is
/// older than [`Situation::stale_after`].
///
/// ```
/// use std::time::Duration;
/// use corianderfork_rules::situation::{Quantity, Situation};
///
/// let mut situation = Situation::new();
/// situation.set_store_down(true, Duration::from_secs(5));
/// assert_eq!(situation.get(Quantity::StoreDown).map(|r| r.value), Some(1));
/// assert_eq!(situation.get(Quantity::Hour), None);
///
/// situation.set_store_down(true, Duration::from_secs(600));
/// assert_eq!(situation.get(Quantity::StoreDown), None); // stale
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Situation {
    readings: BTreeMap<Quantity, Reading>,
    stale_after: Duration,
}

impl Default for Situation {
    fn default() -> Self {
        Self::new()
    }
}

impl Situation {
    /// The default age above which a value counts as unknown.
    pub const STALE_AFTER: Duration = Duration::from_secs(60);

    /// Creates a situation in which all values are unknown.
    pub fn new() -> Self {
        Self { readings: BTreeMap::new(), stale_after: Self::STALE_AFTER }
    }

    /// Sets the age above which a value counts as unknown.
    pub fn set_stale_after(&mut self, age: Duration) -> &mut Self {
        self.stale_after = age;
        self
    }

    /// Returns the age above which a value counts as unknown.
    pub fn stale_after(&self) -> Duration {
        self.stale_after
    }

    /// Returns the reading of `quantity`, or `None` if it is unknown or stale.
    pub fn get(&self, quantity: Quantity) -> Option<Reading> {
        self.last(quantity).filter(|reading| reading.age <= self.stale_after)
    }

    /// Returns the last reading of `quantity`, even if it is stale.
    pub fn last(&self, quantity: Quantity) -> Option<Reading> {
        self.readings.get(&quantity).copied()
    }

    fn set(&mut self, quantity: Quantity, value: i64, age: Duration) -> &mut Self {
        self.readings.insert(quantity, Reading { value, age });
        self
    }

    /// Sets the requests in flight of `service`, and the slots of its copies able
    /// to serve. `load(service)` is the ratio of the two.
    pub fn set_load(
        &mut self,
        service: ServiceId,
        in_flight: u32,
        slots: u32,
        age: Duration,
    ) -> &mut Self {
        self.set(Quantity::InFlight(service), in_flight.into(), age);
        self.set(Quantity::Slots(service), slots.into(), age)
    }

    /// Sets the change of a service's load in per mille per minute; positive if it
    /// rises.
    pub fn set_trend(&mut self, service: ServiceId, per_mille: i32, age: Duration) -> &mut Self {
        self.set(Quantity::Trend(service), per_mille.into(), age)
    }

    /// Sets the number of copies of a service beyond those that its load and
    /// budget need; negative if copies are missing.
    pub fn set_spare(&mut self, service: ServiceId, copies: i32, age: Duration) -> &mut Self {
        self.set(Quantity::Spare(service), copies.into(), age)
    }

    /// Sets the number of a service's licences in use.
    pub fn set_licences(&mut self, service: ServiceId, in_use: u32, age: Duration) -> &mut Self {
        self.set(Quantity::Licences(service), in_use.into(), age)
    }

    /// Sets the number of a service's copies able to serve.
    pub fn set_copies(&mut self, service: ServiceId, able: u32, age: Duration) -> &mut Self {
        self.set(Quantity::Copies(service), able.into(), age)
    }

    /// Sets whether a data centre is down.
    pub fn set_data_centre_down(
        &mut self,
        id: DataCentreId,
        down: bool,
        age: Duration,
    ) -> &mut Self {
        self.set(Quantity::DataCentreDown(id), down.into(), age)
    }

    /// Sets whether a rack is down.
    pub fn set_rack_down(&mut self, id: RackId, down: bool, age: Duration) -> &mut Self {
        self.set(Quantity::RackDown(id), down.into(), age)
    }

    /// Sets hour and weekday to those at `unix_time`, the time since the Unix
    /// epoch, in a time zone `utc_offset_minutes` ahead of UTC.
    ///
    /// ```
    /// use corianderfork_model::Time;
    /// use corianderfork_rules::situation::{Quantity, Situation, Weekday};
    ///
    /// // Thursday, 1 January 1970, 20:00 in UTC is Friday, 01:30 in Kolkata.
    /// let mut situation = Situation::new();
    /// situation.set_clock(Time::from_millis(20 * 3_600_000), 330);
    /// assert_eq!(situation.get(Quantity::Hour).map(|r| r.value), Some(1));
    /// let weekday = situation.get(Quantity::Weekday).map(|r| r.value);
    /// assert_eq!(weekday, Some(Weekday::Friday.number()));
    /// ```
    pub fn set_clock(&mut self, unix_time: Time, utc_offset_minutes: i16) -> &mut Self {
        const HOURS: i64 = 24;
        const DAYS: i64 = 7;
        let epoch = Weekday::Thursday.number();
        let minutes = i64::try_from(unix_time.as_millis() / 60_000).unwrap_or(i64::MAX / 2);
        let hours = (minutes + i64::from(utc_offset_minutes)).div_euclid(60);
        let day = (hours.div_euclid(HOURS) + epoch).rem_euclid(DAYS);
        self.set(Quantity::Hour, hours.rem_euclid(HOURS), Duration::ZERO);
        self.set(Quantity::Weekday, day, Duration::ZERO)
    }

    /// Sets whether a maintenance wave is in progress, and how many of its VMs
    /// came back failing.
    pub fn set_wave(&mut self, in_progress: bool, failures: u32, age: Duration) -> &mut Self {
        self.set(Quantity::Wave, in_progress.into(), age);
        self.set(Quantity::WaveFailures, failures.into(), age)
    }

    /// Sets whether the platform's store is down.
    pub fn set_store_down(&mut self, down: bool, age: Duration) -> &mut Self {
        self.set(Quantity::StoreDown, down.into(), age)
    }

    /// Sets the age of the oldest usage report from which sizes are computed. This
    /// value never becomes stale itself.
    pub fn set_usage_age(&mut self, age: Duration) -> &mut Self {
        let seconds = i64::try_from(age.as_secs()).unwrap_or(i64::MAX);
        self.set(Quantity::UsageAge, seconds, Duration::ZERO)
    }
}
