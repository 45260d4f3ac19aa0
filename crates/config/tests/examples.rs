//! The two ready configurations are sound and have the users' sizes.

use corianderfork_config::{Configuration, Severity, parse};
use corianderfork_model::place::Size;

const GOURMOTI: &str = include_str!("../examples-ini/gourmoti.ini");
const INDUS: &str = include_str!("../examples-ini/indus.ini");

fn accepted(text: &str) -> Configuration {
    let parsed = parse(text).unwrap_or_else(|found| {
        let lines: Vec<_> = found.iter().map(ToString::to_string).collect();
        panic!("{}", lines.join("\n"))
    });
    let more: Vec<_> = parsed.warnings.iter().filter(|w| w.severity > Severity::Advice).collect();
    assert!(more.is_empty(), "{more:?}");
    parsed
}

fn shape(parsed: &Configuration, vm: Size) {
    let fleet = &parsed.fleet;
    assert_eq!(fleet.data_centres().len(), 3);
    assert_eq!(fleet.services().len(), 5);
    assert_eq!(fleet.vms().len(), 60);
    assert!(fleet.vms().all(|(_, row)| row.size == vm));
    for rack in fleet.rack_ids() {
        assert_eq!(fleet.vms().filter(|(_, vm)| vm.rack == rack).count(), 4);
    }
}

#[test]
fn parse_gourmoti() {
    let parsed = accepted(GOURMOTI);
    shape(&parsed, Size { milli_cores: 64_000, memory_mib: 262_144, accelerators: 0 });
    assert!(parsed.fleet.weights.moves > parsed.fleet.weights.buffer);
    assert_eq!(parsed.settings.utc_offset_minutes, 330);
}

#[test]
fn parse_indus() {
    let parsed = accepted(INDUS);
    shape(&parsed, Size { milli_cores: 16_000, memory_mib: 32_768, accelerators: 0 });
    assert!(parsed.fleet.weights.buffer > parsed.fleet.weights.moves);
    assert!(parsed.fleet.weights.roll_out > parsed.fleet.weights.moves);
}

#[test]
fn parse_documented_example() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let (_, rest) = page.split_once("```ini\n").expect("an example");
    let (example, _) = rest.split_once("```").expect("its end");
    assert_eq!(accepted(example).rules.rules().len(), 4);
    assert!(page.contains("991,808"), "the bound of the page");
    assert_eq!(corianderfork_config::MAX_BYTES, 991_808);
}
