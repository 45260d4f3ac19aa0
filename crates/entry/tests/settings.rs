//! Settings of the entry daemon.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderfork_entry::settings::Settings;
use corianderfork_jobs::contention::{self, Order};

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
    assert_eq!(settings.memory, 256 << 20);
    let small = GOOD.replace("[limits]\n", "[limits]\nmemory_mb = 160\n");
    assert_eq!(Settings::parse(&small).unwrap().memory, 160 << 20);
}

#[test]
fn parse_reports_all_mistakes() {
    let text = GOOD.replace("name = front-1\n", "").replace("cpu_share", "cpu_shares");
    let error = Settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("has no `name`"), "{error}");
    assert!(error.contains("`cpu_shares`"), "{error}");
}

#[test]
fn parse_connect_from() {
    let text = GOOD.replace("[process]\n", "[process]\nconnect_from = 127.0.0.9\n");
    let source = |text| Settings::parse(text).unwrap().connect_from;
    assert_eq!(source(&text), std::net::IpAddr::from([127, 0, 0, 9]));
    assert!(source(GOOD).is_unspecified(), "the system chooses");
}

// Guards against decisions under contention on a deployment that doesn't call for them.
#[test]
fn parse_contention_is_off_unless_called_for() {
    let parse = |section: &str| Settings::parse(&format!("{GOOD}{section}")).unwrap().contention;
    assert_eq!(parse(""), contention::Settings::all(false));
    assert_eq!(
        parse("[contention]\nplatform_rules = base,drain\n"),
        contention::Settings::all(false)
    );
    let announced = "[contention]\nplatform_rules = base,pressure,drain\n";
    let all_on = contention::Settings::all(true);
    let called_for = contention::Settings { preempt: false, limits: false, ..all_on };
    assert_eq!(parse(announced), called_for);
    let all = format!("{announced}preempt = on\nlimits_by_urgency = on\n");
    assert_eq!(parse(&all), all_on);
    let without = contention::Settings { relocate: false, ..called_for };
    assert_eq!(parse(&format!("{announced}relocate = off\n")), without);
    let newest = contention::Settings { order: Order::Newest, ..contention::Settings::default() };
    assert_eq!(parse("[contention]\nin_time_first = newest\n"), newest);
    let only = contention::Settings { refuse: true, ..contention::Settings::default() };
    assert_eq!(parse("[contention]\nrefuse = on\n"), only);
}

#[test]
fn parse_contention_rejects_unknown_words() {
    let error = Settings::parse(&format!("{GOOD}[contention]\nrefuse = yes\n")).unwrap_err();
    assert!(error.to_string().contains("write auto, on or off"), "{error}");
    let text = format!("{GOOD}[contention]\nin_time_first = oldest\n");
    let error = Settings::parse(&text).unwrap_err();
    assert!(error.to_string().contains("write auto, on, newest or off"), "{error}");
}

/// The fields of the platform that the template asks for. Whoever fills it in knows these, and no
/// others: programs of the users and of earlier reviews do, too.
const TEMPLATE_FIELDS: [&str; 21] = [
    "advice",
    "bounds.grace_s",
    "bounds.hold_max_ms",
    "bounds.lease_ms",
    "bounds.remote_factor",
    "bounds.restore_ms",
    "bounds.status_s",
    "bounds.stop_ms",
    "cloud_api.address",
    "cloud_api.duty_per_s",
    "ip",
    "limits.bandwidth_mbps",
    "limits.cpu_share",
    "limits.max_fds",
    "listen.front",
    "listen.ready",
    "node_name",
    "platform.address",
    "policies",
    "port_range.0",
    "zone",
];

// Guards against daemons that can't be started by a program that fills in the template as before: it
// refused a field that it didn't know. What is new goes to the command line or the environment.
#[test]
fn template_asks_for_no_further_field() {
    let template = include_str!("../../../deploy/entry.ini");
    let fields = template.split("{{").skip(1).filter_map(|rest| rest.split("}}").next());
    let fields: std::collections::BTreeSet<&str> = fields.collect();
    assert_eq!(fields.into_iter().collect::<Vec<_>>(), TEMPLATE_FIELDS);
}

// Guards against a daemon that doesn't start where the platform fills in nothing.
#[test]
fn parse_empty_values() {
    let empty = GOOD.replace("[limits]\n", "[limits]\nmemory_mb =\nmax_fds =\n");
    let settings = Settings::parse(&empty).unwrap();
    assert_eq!((settings.memory, settings.max_fds), (256 << 20, 1_024));
    let nameless = GOOD.replace("name = front-1", "name =");
    let error = Settings::parse(&nameless).unwrap_err().to_string();
    assert!(error.contains("has no `name`"), "{error}");
}

#[test]
fn or_memory_beside_the_file() {
    let settings = || Settings::parse(GOOD).unwrap();
    assert_eq!(settings().or_memory(160).memory, 160 << 20);
    assert_eq!(settings().or_memory(0).memory, 256 << 20, "it isn't known");
    let said = GOOD.replace("[limits]\n", "[limits]\nmemory_mb = 512\n");
    assert_eq!(Settings::parse(&said).unwrap().or_memory(160).memory, 512 << 20);
}
