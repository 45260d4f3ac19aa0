//! Settings of the entry daemon.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderfork_entry::settings::Settings;

const GOOD: &str = "
[process]
name = front-1
data_centre = kolkata
ip = 127.0.0.1
[listen]
callers = 127.0.0.1:8101
readiness = 127.0.0.1:8102
peers_port = 8103
[store]
address = 127.0.0.1:8104
[fleet]
address =
[limits]
cpu_share = 0.25
network_mbps = 10
[bounds]
grace_s = 6
max_lease_ms = 6000
";

#[test]
fn parse_whole_file() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.name.as_str(), "front-1");
    assert_eq!(settings.peers, ([127, 0, 0, 1], 8103).into());
    assert_eq!(settings.fleet, None, "an empty address means no service");
    assert_eq!(settings.grace, Duration::from_secs(6));
    assert_eq!(settings.max_lease, Duration::from_secs(6));
    assert_eq!(settings.capacity, 50, "the network limits the capacity");
}

#[test]
fn parse_reports_all_mistakes() {
    let text = GOOD.replace("name = front-1\n", "").replace("cpu_share", "cpu_shares");
    let error = Settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("has no `name`"), "{error}");
    assert!(error.contains("`cpu_shares`"), "{error}");
}
