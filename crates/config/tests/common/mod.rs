//! Helpers that edit a valid configuration and return its diagnostics.

use corianderfork_config::diagnostic::Kind;
use corianderfork_config::{Diagnostic, parse};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// The valid configuration that tests edit.
pub const INDUS: &str = include_str!("../../examples-ini/indus.ini");

/// Returns the diagnostics of [`INDUS`] with the first `from` replaced by `to`.
#[allow(dead_code)]
pub fn diagnostics(from: &str, to: &str) -> Vec<Diagnostic> {
    assert!(INDUS.contains(from), "{from:?} is not in the configuration");
    parse(&INDUS.replacen(from, to, 1)).expect_err(to)
}

/// Returns kind and help of the only diagnostic after the same replacement.
#[allow(dead_code)]
pub fn single_diagnostic(from: &str, to: &str) -> (Kind, String) {
    let mut found = diagnostics(from, to);
    assert_eq!(found.len(), 1, "{found:#?}");
    let diagnostic = found.remove(0);
    (diagnostic.kind, diagnostic.help)
}

/// Returns a proptest configuration with a fixed seed, so that failures reproduce.
#[allow(dead_code)]
pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x00c0_71a4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
