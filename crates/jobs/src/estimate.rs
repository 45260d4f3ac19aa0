//! How long tasks take, learned from those that ended.

/// How much each older end counts against a new one: an end a hundred ends old
/// still counts a third.
const KEEP: f64 = 0.99;
/// How many ends the declared durations count for at the start.
const PRIOR: f64 = 4.0;
/// The spread, in logarithms, that declared durations are assumed to have at the
/// start: a factor of about 1.5 either way.
const SPREAD: f64 = 0.16;

/// Predicts the durations of a queue's tasks from the declared ones.
///
/// A line through the logarithms of declared and actual durations, with the
/// declared one itself as the prior: where declarations are good it leaves them,
/// where they are off by a factor it corrects it, and where they say nothing it
/// tends to the mean.
///
/// ```
/// use corianderfork_jobs::estimate::Estimate;
///
/// let mut estimate = Estimate::default();
/// assert_eq!(estimate.predict(1_000), 1_000);
/// for _ in 0..200 {
///     estimate.learn(1_000, 500);
///     estimate.learn(2_000, 1_000);
/// }
/// assert!((490..=520).contains(&estimate.predict(1_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    weight: f64,
    declared: f64,
    actual: f64,
    declared_squares: f64,
    products: f64,
}

impl Estimate {
    /// Takes in that a task declared to take `declared_ms` took `actual_ms`.
    pub fn learn(&mut self, declared_ms: u64, actual_ms: u64) {
        let (x, y) = (log(declared_ms), log(actual_ms));
        self.weight = self.weight * KEEP + 1.0;
        self.declared = self.declared * KEEP + x;
        self.actual = self.actual * KEEP + y;
        self.declared_squares = self.declared_squares * KEEP + x * x;
        self.products = self.products * KEEP + x * y;
    }

    /// How long a task will take that is declared to take `declared_ms`.
    pub fn predict(&self, declared_ms: u64) -> u64 {
        if self.weight == 0.0 || declared_ms == 0 {
            return declared_ms;
        }
        let (mean_x, mean_y) = (self.declared / self.weight, self.actual / self.weight);
        let variance = self.declared_squares - self.weight * mean_x * mean_x;
        let covariance = self.products - self.weight * mean_x * mean_y;
        let prior = PRIOR * SPREAD;
        let slope = (covariance + prior) / (variance.max(0.0) + prior);
        // The mean's shift is trusted as more ends are known.
        let shift = (mean_y - mean_x) * self.weight / (self.weight + PRIOR);
        let predicted = mean_x + shift + slope.clamp(0.0, 1.5) * (log(declared_ms) - mean_x);
        predicted.exp().clamp(1.0, 1e9).round() as u64
    }
}

fn log(millis: u64) -> f64 {
    (millis.max(1) as f64).ln()
}
