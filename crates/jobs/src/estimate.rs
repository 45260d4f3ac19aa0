//! Estimates of task durations, learned from finished tasks.

/// Decay of older samples for each new one: after a hundred samples, one still counts a third.
const DECAY: f64 = 0.99;
/// Number of samples that the declared durations count for initially.
const PRIOR_WEIGHT: f64 = 4.0;
/// Assumed initial variance of the logarithms of declared durations: a factor of about 1.5
/// either way.
const PRIOR_VARIANCE: f64 = 0.16;

/// Predicts the durations of a queue's tasks from the declared ones.
///
/// Fits a line through the logarithms of declared and actual durations, with the declared
/// duration as the prior. Accurate declarations are left unchanged, a constant factor is
/// corrected, and uninformative declarations are replaced by the mean.
///
/// ```
/// use corianderfork_jobs::estimate::Estimator;
///
/// let mut estimator = Estimator::default();
/// assert_eq!(estimator.predict(1_000), 1_000);
/// for _ in 0..200 {
///     estimator.learn(1_000, 500);
///     estimator.learn(2_000, 1_000);
/// }
/// assert!((490..=520).contains(&estimator.predict(1_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    weight: f64,
    declared: f64,
    actual: f64,
    declared_squares: f64,
    products: f64,
}

impl Estimator {
    /// Records that a task with a declared duration of `declared_ms` took `actual_ms`.
    pub fn learn(&mut self, declared_ms: u64, actual_ms: u64) {
        let (x, y) = (log(declared_ms), log(actual_ms));
        self.weight = self.weight * DECAY + 1.0;
        self.declared = self.declared * DECAY + x;
        self.actual = self.actual * DECAY + y;
        self.declared_squares = self.declared_squares * DECAY + x * x;
        self.products = self.products * DECAY + x * y;
    }

    /// Returns the predicted duration of a task with a declared duration of `declared_ms`.
    pub fn predict(&self, declared_ms: u64) -> u64 {
        if self.weight == 0.0 || declared_ms == 0 {
            return declared_ms;
        }
        let (mean_x, mean_y) = (self.declared / self.weight, self.actual / self.weight);
        let variance = self.declared_squares - self.weight * mean_x * mean_x;
        let covariance = self.products - self.weight * mean_x * mean_y;
        let prior = PRIOR_WEIGHT * PRIOR_VARIANCE;
        let slope = (covariance + prior) / (variance.max(0.0) + prior);
        // The shift of the mean gains weight with the number of samples.
        let shift = (mean_y - mean_x) * self.weight / (self.weight + PRIOR_WEIGHT);
        let predicted = mean_x + shift + slope.clamp(0.0, 1.5) * (log(declared_ms) - mean_x);
        predicted.exp().clamp(1.0, 1e9).round() as u64
    }
}

fn log(millis: u64) -> f64 {
    (millis.max(1) as f64).ln()
}
