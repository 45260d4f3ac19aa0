//! Formats times for people.

const SECOND_MS: u64 = 1_000;
const DAY_S: u64 = 86_400;
/// Days from 0000-03-01 to 1970-01-01. Years that begin in March end with their
/// leap day, which simplifies the calculation.
const EPOCH_DAYS: u64 = 719_468;
/// Days in the 400 years after which the calendar repeats.
const CYCLE_DAYS: u64 = 146_097;
/// Years after which the calendar repeats.
const CYCLE_YEARS: u64 = 400;

/// Formats milliseconds since the Unix epoch as ISO 8601 in UTC. Returns `-` for 0,
/// which means an unknown time.
///
/// ```
/// use corianderfork_cli::time;
///
/// assert_eq!(time::utc(951_782_400_000), "2000-02-29T00:00:00Z");
/// assert_eq!(time::utc(0), "-");
/// ```
pub fn utc(millis: u64) -> String {
    if millis == 0 {
        return "-".to_owned();
    }
    let seconds = millis / SECOND_MS;
    let (year, month, day) = date(seconds / DAY_S);
    let second = seconds % DAY_S;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of a day since the Unix epoch.
fn date(day: u64) -> (u64, u64, u64) {
    let day = day + EPOCH_DAYS;
    let day_of_cycle = day % CYCLE_DAYS;
    let year = (day_of_cycle - day_of_cycle / 1_460 + day_of_cycle / 36_524
        - day_of_cycle / 146_096)
        / 365;
    let day_of_year = day_of_cycle - (365 * year + year / 4 - year / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 { march_month + 3 } else { march_month - 9 };
    let year = day / CYCLE_DAYS * CYCLE_YEARS + year + u64::from(month <= 2);
    (year, month, day_of_month)
}
