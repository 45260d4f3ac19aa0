//! The recorded load of one service over the last minutes and days.

use std::collections::VecDeque;
use std::time::Duration;

use corianderfork_model::Time;

/// Milliseconds per minute. The greatest load of each minute is kept.
const MINUTE: u64 = 60_000;
/// The number of minutes from which level, trend and noise are computed.
const RECENT_MINUTES: usize = 6;
/// The weight of one minute in the moving average of the noise.
const NOISE_WEIGHT: f64 = 0.1;
/// The number of standard deviations of the noise added to the level.
const NOISE_DEVIATIONS: f64 = 1.5;
/// The standard deviation of normal noise whose neighbouring values have a
/// median absolute difference of 1.
const DEVIATION_OF_MEDIAN: f64 = 1.05;
/// The maximum that a rising trend adds, as a share of the level. A load that
/// returns suddenly after a wave of cancellations looks like a trend; without
/// the cap it would start copies that are stopped again minutes later.
const MAX_RISE: f64 = 0.15;
/// How long peaks are kept.
const PEAK_RETENTION: Duration = Duration::from_secs(48 * 3600);
/// The number of quarter-hours per day.
const QUARTERS: usize = 96;
const QUARTER: u64 = 15 * MINUTE;
const DAY: u64 = QUARTERS as u64 * QUARTER;

/// The load history of a service, in thousandths of a request in flight.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct History {
    /// The last minutes and their loads.
    recent: VecDeque<(u64, f64)>,
    /// The estimated standard deviation of the noise.
    noise: f64,
    /// Minutes and expected loads, with strictly decreasing loads: the first entry
    /// inside a window that ends now is the peak of that window.
    peaks: VecDeque<(u64, f64)>,
    quarters: Vec<Quarter>,
}

/// The peak load in one quarter-hour of the day, on the last recorded day and on
/// the day recorded before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Quarter {
    day: u64,
    peak: f64,
    previous_day: Option<f64>,
}

impl History {
    /// Records the load at `at`, and as a peak the load expected within
    /// `lookahead`. A load older than the last recorded minute counts only for
    /// its quarter-hour of the day.
    pub(crate) fn record(&mut self, at: Time, load: f64, lookahead: Duration) {
        self.record_quarter(at, load);
        let minute = at.as_millis() / MINUTE;
        match self.recent.back_mut() {
            Some(last) if last.0 == minute => last.1 = last.1.max(load),
            Some(last) if last.0 > minute => return,
            _ => {
                self.push_recent(minute, load);
                self.update_noise();
            }
        }
        self.push_peak(minute, self.expected(lookahead));
    }

    /// Updates the noise from the median difference between neighbouring minutes.
    /// The median ignores jumps: if they counted as noise, the end of a wave of
    /// cancellations would start copies that no load needs.
    fn update_noise(&mut self) {
        let minutes = self.recent.iter().zip(self.recent.iter().skip(1));
        let mut steps: Vec<f64> = minutes.map(|(a, b)| (b.1 - a.1).abs()).collect();
        steps.sort_unstable_by(f64::total_cmp);
        let Some(&median) = steps.get(steps.len() / 2) else { return };
        self.noise += NOISE_WEIGHT * (median * DEVIATION_OF_MEDIAN - self.noise);
    }

    fn push_recent(&mut self, minute: u64, load: f64) {
        self.recent.push_back((minute, load));
        if self.recent.len() > RECENT_MINUTES {
            self.recent.pop_front();
        }
    }

    fn push_peak(&mut self, minute: u64, load: f64) {
        while self.peaks.back().is_some_and(|&(_, peak)| peak <= load) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((minute, load));
        let oldest = minute.saturating_sub(PEAK_RETENTION.as_secs() / 60);
        while self.peaks.front().is_some_and(|&(at, _)| at < oldest) {
            self.peaks.pop_front();
        }
    }

    fn record_quarter(&mut self, at: Time, load: f64) {
        self.quarters.resize(QUARTERS, Quarter::default());
        let day = at.as_millis() / DAY;
        let quarter = &mut self.quarters[(at.as_millis() % DAY / QUARTER) as usize];
        if day > quarter.day {
            quarter.previous_day = (quarter.peak > 0.0).then_some(quarter.peak);
            *quarter = Quarter { day, peak: 0.0, previous_day: quarter.previous_day };
        }
        quarter.peak = quarter.peak.max(load);
    }

    /// Returns the minute of the last recorded load.
    pub(crate) fn last_report(&self) -> Option<Time> {
        self.recent.back().map(|&(minute, _)| Time::from_millis(minute * MINUTE))
    }

    /// Returns the load expected within `lookahead` of the last report: level
    /// plus rising trend plus noise.
    pub(crate) fn expected(&self, lookahead: Duration) -> f64 {
        let Some(&(_, last)) = self.recent.back() else { return 0.0 };
        let count = self.recent.len() as f64;
        let level = self.recent.iter().map(|&(_, load)| load).sum::<f64>() / count;
        let rise = self.slope().max(0.0) * (lookahead.as_secs_f64() / 60.0 + count / 2.0);
        let rise = rise.min(MAX_RISE * level);
        (level + rise).max(last) + NOISE_DEVIATIONS * self.noise
    }

    /// Returns the least-squares slope of the recent minutes, in load per minute.
    fn slope(&self) -> f64 {
        let count = self.recent.len() as f64;
        if count < 3.0 {
            return 0.0;
        }
        let first = self.recent[0].0;
        let x = |minute: u64| (minute - first) as f64;
        let mean_x = self.recent.iter().map(|&(minute, _)| x(minute)).sum::<f64>() / count;
        let mean_y = self.recent.iter().map(|&(_, load)| load).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for &(minute, load) in &self.recent {
            covariance += (x(minute) - mean_x) * (load - mean_y);
            variance += (x(minute) - mean_x) * (x(minute) - mean_x);
        }
        if variance > 0.0 { covariance / variance } else { 0.0 }
    }

    /// Returns the greatest load that was expected in the `window` before `now`.
    pub(crate) fn peak(&self, now: Time, window: Duration) -> f64 {
        let oldest = (now.as_millis() / MINUTE).saturating_sub(window.as_secs() / 60);
        let first = self.peaks.partition_point(|&(minute, _)| minute < oldest);
        self.peaks.get(first).map_or(0.0, |&(_, load)| load)
    }

    /// Returns the greatest load of the previous day between the times of day of
    /// `now` and `now + lookahead`.
    pub(crate) fn day_before(&self, now: Time, lookahead: Duration) -> f64 {
        if self.quarters.is_empty() {
            return 0.0;
        }
        let first = now.as_millis() / QUARTER;
        let last = (now + lookahead).as_millis() / QUARTER;
        let last = last.min(first.saturating_add(QUARTERS as u64 - 1));
        (first..=last).map(|quarter| self.quarter_before(quarter)).fold(0.0, f64::max)
    }

    /// Returns the peak of the same quarter-hour one day before `quarter`, which
    /// counts from the Unix epoch.
    fn quarter_before(&self, quarter: u64) -> f64 {
        let recorded = self.quarters[(quarter % QUARTERS as u64) as usize];
        let day = quarter / QUARTERS as u64;
        if recorded.day == day { recorded.previous_day.unwrap_or(0.0) } else { recorded.peak }
    }
}
