//! The example configurations are valid and have the users' fleet sizes.

use corianderfork_config::{Configuration, Severity, parse};
use corianderfork_model::place::Size;

const GOURMOTI: &str = include_str!("../examples-ini/gourmoti.ini");
const INDUS: &str = include_str!("../examples-ini/indus.ini");

fn parse_without_warnings(text: &str) -> Configuration {
    let config = parse(text).unwrap_or_else(|diagnostics| {
        let lines: Vec<_> = diagnostics.iter().map(ToString::to_string).collect();
        panic!("{}", lines.join("\n"))
    });
    let warnings: Vec<_> =
        config.warnings.iter().filter(|w| w.severity > Severity::Advice).collect();
    assert!(warnings.is_empty(), "{warnings:?}");
    config
}

fn assert_fleet_size(config: &Configuration, vm_size: Size) {
    let fleet = &config.fleet;
    assert_eq!(fleet.data_centres().len(), 3);
    assert_eq!(fleet.services().len(), 5);
    assert_eq!(fleet.vms().len(), 60);
    assert!(fleet.vms().all(|(_, vm)| vm.size == vm_size));
    for rack in fleet.rack_ids() {
        assert_eq!(fleet.vms().filter(|(_, vm)| vm.rack == rack).count(), 4);
    }
}

#[test]
fn parse_gourmoti() {
    let config = parse_without_warnings(GOURMOTI);
    assert_fleet_size(&config, Size { milli_cores: 64_000, memory_mib: 262_144, accelerators: 0 });
    assert!(config.fleet.weights.moves > config.fleet.weights.buffer);
    assert_eq!(config.settings.utc_offset_minutes, 330);
}

#[test]
fn parse_indus() {
    let config = parse_without_warnings(INDUS);
    assert_fleet_size(&config, Size { milli_cores: 16_000, memory_mib: 32_768, accelerators: 0 });
    assert!(config.fleet.weights.buffer > config.fleet.weights.moves);
    assert!(config.fleet.weights.roll_out > config.fleet.weights.moves);
}

#[test]
fn parse_documented_example() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let (_, rest) = page.split_once("```ini\n").expect("start of the example");
    let (example, _) = rest.split_once("```").expect("end of the example");
    assert_eq!(parse_without_warnings(example).rules.rules().len(), 4);
    assert!(page.contains("991,808"), "the documented limit");
    assert_eq!(corianderfork_config::MAX_BYTES, 991_808);
}
