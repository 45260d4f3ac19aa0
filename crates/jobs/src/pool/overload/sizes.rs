//! The sizes of the jobs that arrive at a queue.

use std::collections::VecDeque;

/// Number of recent jobs whose sizes are kept: enough for a tenth of them to be a usable sample.
const SAMPLE: usize = 512;

/// A class of jobs by size within their queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The smaller seven tenths.
    Common,
    /// The fifth below the largest tenth.
    Large,
    /// The largest tenth.
    Largest,
}

/// The distribution of the sizes of a queue's jobs. The default takes all jobs for common ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// The mean.
    pub mean: f64,
    /// The largest size of [`Class::Common`].
    pub common: f64,
    /// The largest size of [`Class::Large`].
    pub large: f64,
}

impl Default for Profile {
    fn default() -> Self {
        Self { mean: 0.0, common: f64::INFINITY, large: f64::INFINITY }
    }
}

impl Profile {
    /// Returns the class of a job.
    pub fn class(&self, size: f64) -> Class {
        if size > self.large {
            Class::Largest
        } else if size > self.common {
            Class::Large
        } else {
            Class::Common
        }
    }

    /// Returns the worth of a job: callers are served by the job and by its size.
    pub fn worth(&self, size: f64) -> f64 {
        f64::midpoint(self.mean, size)
    }
}

/// The sizes of the jobs that arrived last, whether they were served or not. Those that wait aren't
/// representative under overload, since the smaller ones leave sooner.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    recent: VecDeque<f64>,
}

impl Sizes {
    /// Records the size of a job that arrived.
    pub fn record(&mut self, size: f64) {
        if self.recent.len() == SAMPLE {
            self.recent.pop_front();
        }
        self.recent.push_back(size);
    }

    /// Returns the distribution.
    pub fn profile(&self) -> Profile {
        let mut sizes: Vec<f64> = self.recent.iter().copied().collect();
        let count = sizes.len();
        if count == 0 {
            return Profile::default();
        }
        sizes.sort_unstable_by(f64::total_cmp);
        let below = |tenths: usize| sizes[(count * tenths / 10).max(1) - 1];
        let mean = sizes.iter().sum::<f64>() / count as f64;
        Profile { mean, common: below(7), large: below(9) }
    }
}
