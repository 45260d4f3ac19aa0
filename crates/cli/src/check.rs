//! `check FILE`: checks a configuration.

use corianderfork_config as config;
use serde::Serialize;

use crate::error::Error;
use crate::ini::{self, Mistake};
use crate::report::Report;

#[derive(Serialize)]
struct Json {
    outcome: &'static str,
    vms: usize,
    pools: usize,
    services: usize,
    rules: usize,
    warnings: Vec<Mistake>,
}

/// Checks a file without the platform.
///
/// # Errors
///
/// Fails if the file can't be read, or with all errors of its configuration.
pub fn run(path: &str) -> Result<Report, Error> {
    let text = ini::read(path)?;
    let parsed = ini::check(path, &text)?;
    let json = Json {
        outcome: "valid",
        vms: parsed.fleet.vms().len(),
        pools: parsed.fleet.pools().len(),
        services: parsed.fleet.services().len(),
        rules: parsed.rules.rules().len(),
        warnings: ini::mistakes(&parsed.warnings),
    };
    let Json { vms, pools, services, rules, .. } = json;
    let summary = format!(
        "`{path}` is valid: {vms} VMs, {pools} pools, {services} services, {rules} rules\n"
    );
    Ok(Report::new(summary, &json).note(render_warnings(path, &text, parsed.warnings)))
}

/// Renders the warnings of a file for people, if there are any.
pub fn render_warnings(
    path: &str,
    text: &str,
    warnings: Vec<config::Diagnostic>,
) -> Option<String> {
    if warnings.is_empty() {
        return None;
    }
    let report = config::Report::new(path, text, warnings);
    Some(format!("{:?}", miette::Report::new(report)))
}
