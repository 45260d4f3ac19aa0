//! An estimate learned from reports, with a declared value as its prior.

/// The maximum count of reports. Without a maximum, the estimate would stop
/// adapting, for example to a release whose copies are larger.
const MAX_COUNT: f64 = 200.0;

/// The mean and variance of the reported values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Estimate {
    /// Records one value.
    pub(crate) fn record(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MAX_COUNT);
        let weight = 1.0 / self.count;
        let deviation = value - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// Returns the number of recorded values, up to `MAX_COUNT`.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Returns an upper bound: at most 1 in 1 + `deviations`² values exceed it
    /// (Cantelli's inequality). With few reports it is shrunk towards `prior`:
    /// the prior's own error counts `prior_weight` / (reports + `prior_weight`).
    pub(crate) fn upper(&self, prior: f64, prior_weight: f64, deviations: f64) -> f64 {
        self.shrink(prior, prior_weight, self.mean + deviations * self.variance.sqrt())
    }

    /// Returns the mean, shrunk towards `prior` in the same way.
    pub(crate) fn mean(&self, prior: f64, prior_weight: f64) -> f64 {
        self.shrink(prior, prior_weight, self.mean)
    }

    fn shrink(&self, prior: f64, prior_weight: f64, observed: f64) -> f64 {
        if self.count == 0.0 {
            return prior;
        }
        let weight = self.count / (self.count + prior_weight.max(0.0));
        prior + weight * (observed - prior)
    }
}
