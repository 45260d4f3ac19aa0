//! HTTP requests to the admin paths of the stand-ins and daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(5);

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent()
}

/// Returns the status and body of `path`, or `None` without a response.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut response = agent().get(format!("http://{address}{path}")).call().ok()?;
    let body = response.body_mut().with_config().limit(64 << 20).read_to_string().ok()?;
    Some((response.status().as_u16(), body))
}

/// Returns the JSON of `path`.
///
/// # Panics
///
/// Panics if there is no response, its status is not 200 or it is not JSON.
pub fn json(address: SocketAddr, path: &str) -> Value {
    let (status, body) = get(address, path).unwrap_or_else(|| panic!("no response from {path}"));
    assert_eq!(status, 200, "{path}: {body}");
    serde_json::from_str(&body).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Posts JSON to a stand-in.
///
/// # Panics
///
/// Panics unless the request succeeds.
pub fn post(address: SocketAddr, path: &str, body: &Value) {
    let result = agent().post(format!("http://{address}{path}")).send(body.to_string());
    let status = result.unwrap_or_else(|error| panic!("{path}: {error}")).status();
    assert!(status.is_success(), "{path}: {status}");
}

/// Returns a metric of a daemon, summed over the lines that begin with `name` and
/// contain `label`.
pub fn metric(address: SocketAddr, name: &str, label: &str) -> Option<f64> {
    let (_, text) = get(address, "/-/metrics")?;
    let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Some(values.sum())
}
