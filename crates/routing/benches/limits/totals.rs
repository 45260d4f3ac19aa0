//! What is counted, and the line printed of it.

use crate::scenario::Case;

#[derive(Default)]
pub struct Totals {
    pub ended: u64,
    pub refused: u64,
    pub failed: u64,
    pub retries: u64,
    pub tries: u64,
    pub waits: Vec<u64>,
    pub fairness: Vec<f64>,
}

impl Totals {
    /// Adds Jain's index over the proxies' shares of requests answered well.
    pub fn add_fairness(&mut self, shares: &[f64]) {
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        self.fairness.push(sum * sum / (shares.len() as f64 * squares));
    }

    /// Prints a line of CSV.
    pub fn print(mut self, case: Case, load: u32, policy: &str) {
        self.waits.sort_unstable();
        let per_mille = |n: u64| n as f64 * 1000.0 / self.ended as f64;
        let quantile = |q: usize| self.waits[(self.waits.len() - 1) * q / 100];
        let tries = self.tries as f64 / self.ended as f64;
        let (refused, failed) = (per_mille(self.refused), per_mille(self.failed));
        let fairness = self.fairness.iter().sum::<f64>() / self.fairness.len() as f64;
        print!("{}@{load}%,{policy},{refused:.1},{:.1},", case.name(), per_mille(self.retries));
        println!("{},{},{fairness:.4},{tries:.3},{failed:.1}", quantile(50), quantile(99));
    }
}
