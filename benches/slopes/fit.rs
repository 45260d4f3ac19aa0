//! Measured points and the straight line fitted through them.

use std::process::Command;
use std::time::Instant;

/// The flag that makes a new process print one memory measurement.
pub const MEMORY_FLAG: &str = "--held";

/// How often a time is measured. The minimum counts.
const ROUNDS: usize = 7;

/// One quantity measured at several sizes.
pub struct Series {
    role: &'static str,
    what: &'static str,
    per: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Measures `what` at each of `sizes` with `measure`.
    pub fn new(
        role: &'static str,
        what: &'static str,
        (per, unit): (&'static str, &'static str),
        sizes: &[usize],
        mut measure: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|size| (*size as f64, measure(*size))).collect();
        Self { role, what, per, unit, points }
    }

    pub fn print_points(&self) {
        for (x, value) in &self.points {
            let Self { role, what, per, unit, .. } = self;
            println!("point,{role},{what},{x},{per},{value:.3},{unit}");
        }
    }

    pub fn print_slope(&self) {
        let (slope, intercept) = self.line();
        let deviation = |(x, value): &(f64, f64)| (value - (slope * x + intercept)).abs();
        let largest = self.points.iter().map(|(_, value)| *value).fold(0.0, f64::max);
        let spread =
            self.points.iter().map(deviation).fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
        let Self { role, what, per, unit, .. } = self;
        println!("slope,{role},{what},{per},{slope:.6},{intercept:.3},{unit},{spread:.3}");
    }

    /// Returns the slope and the intercept of the least-squares line.
    fn line(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sum_xy = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let sum_xx = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let slope = sum_xy / sum_xx;
        (slope, mean_y - slope * mean_x)
    }
}

/// Returns the minimum time of several rounds of `work`, in microseconds.
pub fn micros<T>(mut work: impl FnMut() -> T) -> f64 {
    let measure = |_| {
        let start = Instant::now();
        std::hint::black_box(work());
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..ROUNDS).map(measure).fold(f64::INFINITY, f64::min)
}

/// Returns the memory that a new process retains after building `what` at `size`, in
/// KiB. This process would reuse memory freed by earlier measurements, which would hide
/// the growth.
pub fn memory_kib(what: &str, size: usize) -> f64 {
    let program = std::env::current_exe().expect("this program");
    let output = Command::new(program).args([MEMORY_FLAG, what, &size.to_string()]).output();
    let text = String::from_utf8(output.expect("runs").stdout).expect("a number");
    text.trim().parse().expect("a number")
}

/// Prints the result of [`memory_kib`] in the new process.
pub fn print_retained<T>(build: impl FnOnce() -> T) {
    let before = resident_kib();
    let value = build();
    println!("{}", resident_kib() - before);
    drop(value);
}

fn resident_kib() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * 4.0
}
